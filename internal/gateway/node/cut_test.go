package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/ingress"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
)

// cut is a node's links to the others with what it says to some lost, as long as it is set: it is read and set in turns.
type cut struct {
	Links
	to func(addr string) bool
}

func (c *cut) Send(to string, f *Frame) bool {
	if c.to != nil && c.to(to) {
		return true
	}
	return c.Links.Send(to, f)
}

// parts cuts one node off from the others with a disk: what it says, what they say, or both; an empty way joins them again.
func (d *nodes) parts(i int, way string) {
	for o, h := range d.live {
		h.e.Turn(func() {
			c, ok := h.links.(*cut)
			if !ok {
				c = &cut{Links: h.links}
				h.links = c
			}
			switch {
			case way == "" || h.core == nil:
				c.to = nil
			case o == i && way != "in":
				c.to = func(addr string) bool { return d.disk(addr) }
			case o != i && way != "out":
				at := d.settings[i].IPAddress + ":17560"
				c.to = func(addr string) bool { return addr == at }
			}
		})
	}
}

func (d *nodes) disk(addr string) bool {
	return slices.ContainsFunc(d.settings[:3], func(s *settings.Settings) bool { return s.IPAddress+":17560" == addr })
}

// broken is what a node that is cut off does and must not.
func (d *nodes) broken(i, last int) (all []string) {
	h, b := d.live[i], d.settings[i].Bounds
	bad := func(is bool, what string) {
		if is {
			all = append(all, what)
		}
	}
	h.e.Turn(func() {
		at := h.stale()
		ended := map[string]bool{}
		say := func(what string) func(int, []byte) {
			return func(status int, _ []byte) {
				ended[what] = true
				bad(status/100 != 5, what)
			}
		}
		h.Change('r', []byte(config(last+1000, last-1)), say("refused or took an order"))
		h.Newest(say("told a read"))
		h.Leave(fmt.Sprint("nobody-", last), func(ok bool, _ string) {
			ended["end"] = true
			bad(ok, "acknowledged an end")
		})
		if at > b.PartitionedAge() {
			bad(len(ended) < 3, "did not end a call at once")
		}
		if at > b.ReadyMaxAge() {
			bad(h.Ready(), "is ready")
			_, no := h.Admit([]byte("nowhere"), []byte("/"), nil)
			bad(no == ingress.NoRoute, "denies for sure")
		}
	})
	return all
}

// without has a node go without a defence from now on, in a turn.
func (d *nodes) without(h *Node, f fault) {
	h.fault = f
	h.registry.SetTerms(registry.Terms{BeatInterval: h.settings.HeartbeatInterval, Enough: h.enoughCopies()})
}

// On four real nodes, one with a disk is cut off from the others that have one: who leads, both ways, for twenty seconds; then who
// leads or another, one way or the other. The others go on, and so does the node that followed it; it does nothing that takes a
// majority, and comes back. Without its defences it is found out.
func TestCutOffNode(t *testing.T) {
	d := open(t, 4)
	d.all("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	d.settles(0, 200, "POST", "/api/Config.Replace", config(10, 0))
	d.settles(3, 200, "POST", "/api/Backends.Heartbeat/i-1", beat("ready", 1))
	d.all("to be ready", func(s controlapi.NodeStatus) bool { return s.Ready })
	last := 10
	for _, x := range []struct {
		leads bool
		way   string
		until time.Duration
		fault fault
	}{
		{true, "both", 20 * time.Second, sound},
		{true, "in", 0, sound}, {true, "out", 0, sound}, {false, "both", 0, sound}, {false, "out", 0, sound},
		{true, "both", 0, noAuthority}, {true, "both", 0, endsAlone},
	} {
		l := d.leader()
		at, other := l, (l+1)%3
		if !x.leads {
			at, other = (l+1)%3, l
		}
		h := d.live[at]
		d.until("to be in contact", func() (is bool) { h.e.Turn(func() { is = h.stale() < time.Second }); return is })
		d.live[3].e.Turn(func() { d.live[3].follow(h.inner) })
		d.until("the node without a disk follows", func() bool { s := d.status(3); return s.Feeder == h.inner })
		d.parts(at, x.way)
		h.e.Turn(func() { d.without(h, x.fault) })
		next := last + 10
		d.settles(other, 200, "POST", "/api/Config.Replace", config(next, last))
		last = next
		d.until("the follower has it", func() bool { return d.status(3).Generation == uint64(next) })
		var broken []string
		d.until("it is cut off for long", func() bool {
			broken = append(broken, d.broken(at, last)...)
			long := false
			h.e.Turn(func() { long = h.stale() > max(x.until, d.settings[at].Bounds.ReadyMaxAge()+time.Second/2) })
			return long
		})
		slices.Sort(broken)
		switch broken = slices.Compact(broken); x.fault {
		case sound:
			must.SliceEmpty(t, broken, must.Sprint(x, broken))
		case noAuthority: // ends are held by their copies too
			must.Eq(t, []string{"denies for sure", "did not end a call at once", "is ready"}, broken)
		case endsAlone: // once its follower has it, which takes more than this turn
			must.Eq(t, []string{"acknowledged an end", "did not end a call at once"}, broken)
		}
		h.e.Turn(func() { d.without(h, sound) })
		if x.until > 0 {
			d.comesBack(at)
		}
		d.parts(at, "")
		d.all("to go by the newest and be in contact", func(s controlapi.NodeStatus) bool {
			return s.Generation == uint64(last) && s.StaleMs != nil && *s.StaleMs < d.settings[0].Bounds.PartitionedAge().Milliseconds()
		})
	}
}

// comesBack: a node without a disk that follows a node that is cut off hears from it that all others are gone. It goes to one of
// these all the same, by the links that it has; as long as it went by that word, it stayed for as long as the cut lasted.
func (d *nodes) comesBack(at int) {
	cut := d.live[at].inner
	d.until("all others to count as gone", func() (gone bool) {
		d.turn(3, func(h *Node) {
			if h.fault = feederTells; h.feeder != cut {
				h.follow(cut)
			}
			h.askedAt = h.e.Now() // it stays meanwhile
			gone = len(h.roster.Disks()) == 1 && h.feeds(cut) > h.settings.Bounds.PartitionedAge()
		})
		return gone
	})
	d.turn(3, func(h *Node) {
		for _, f := range []fault{feederTells, sound} {
			h.fault, h.askedAt, h.stoodTo = f, 1, 0
			h.tendFeed()
			must.Eq(d.t, f == sound, h.feeder != cut)
		}
	})
}

// fixed is a clock that stands.
type fixed struct {
	Turns
	now time.Duration
}

func (f fixed) Now() time.Duration { return f.now }

// In all orders of words from feeders: a node's own is never newer than the newest that it was told, counted from when it asked;
// none of an older view is taken after a newer one's, none that is of more than it has, none that another life asked for.
func TestWordsInAllOrders(t *testing.T) {
	const now = 100 * time.Second
	own, other := replication.NewClock(7), replication.NewClock(8)
	type told struct {
		asked, age  time.Duration
		view, index uint64
		by          replication.Clock
	}
	all := []told{{now - 3*time.Second, time.Second, 5, 9, own}, {now - 2*time.Second, 500 * time.Millisecond, 6, 9, own},
		{now - time.Second, 100 * time.Millisecond, 5, 9, own}, {now - time.Second, 0, 7, 10, own}, {now - time.Second, 0, 6, 9, other}}
	play := func(f fault) (wrong int) {
		var orders func(left []told, h Node)
		orders = func(left []told, h Node) {
			for i, w := range left {
				c := h
				before := c.known
				c.learn(w.age, w.view, w.by.Stamp(w.asked), w.index)
				moved := c.known.at > before.at
				if moved && (c.known.at > w.asked-w.age || w.view < before.view || w.index > 9 || w.by == other) {
					wrong++
				}
				orders(append(slices.Clone(left[:i]), left[i+1:]...), c)
			}
		}
		orders(all, Node{e: fixed{now: now}, clock: own, applied: 9, known: known{at: -never}, fault: f})
		return wrong
	}
	must.Eq(t, 0, play(sound))
	must.Greater(t, 0, play(oldViews))
	must.Greater(t, 0, play(byReceipt))
}
