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

// partitionedLinks is a node's links to the others with what it says to some lost, as long as it is set: it is read and set in turns.
type partitionedLinks struct {
	Links
	drops func(addr string) bool
}

func (p *partitionedLinks) Send(to string, f *Frame) bool {
	if p.drops != nil && p.drops(to) {
		return true
	}
	return p.Links.Send(to, f)
}

// partition cuts one node off from the others with a disk: what it says, what they say, or both; an empty way joins them again.
func (t *testCluster) partition(i int, way string) {
	for o, h := range t.running {
		h.loop.Turn(func() {
			c, ok := h.links.(*partitionedLinks)
			if !ok {
				c = &partitionedLinks{Links: h.links}
				h.links = c
			}
			switch {
			case way == "" || h.core == nil:
				c.drops = nil
			case o == i && way != "in":
				c.drops = func(addr string) bool { return t.isDiskNode(addr) }
			case o != i && way != "out":
				at := t.settings[i].IPAddress + ":17560"
				c.drops = func(addr string) bool { return addr == at }
			}
		})
	}
}

func (t *testCluster) isDiskNode(addr string) bool {
	return slices.ContainsFunc(t.settings[:3], func(s *settings.Settings) bool { return s.IPAddress+":17560" == addr })
}

// violations is what a node that is cut off does and must not.
func (t *testCluster) violations(i, last int) (all []string) {
	h, b := t.running[i], t.settings[i].Bounds
	bad := func(is bool, what string) {
		if is {
			all = append(all, what)
		}
	}
	h.loop.Turn(func() {
		at := h.contactAge()
		ended := map[string]bool{}
		say := func(what string) func(int, []byte) {
			return func(status int, _ []byte) {
				ended[what] = true
				bad(status/100 != 5, what)
			}
		}
		h.Change('r', []byte(configBody(last+1000, last-1)), say("refused or took an order"))
		h.ReadConfiguration(say("told a read"))
		h.Deregister(fmt.Sprint("nobody-", last), func(ok bool, _ string) {
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

// plantFault has a node go without a defence from now on, in a turn.
func (t *testCluster) plantFault(h *Node, f fault) {
	h.fault = f
	h.registry.SetConfig(registry.Config{HeartbeatInterval: h.settings.HeartbeatInterval, MinCopies: h.minDrainCopies()})
}

// On four real nodes, one with a disk is cut off from the others that have one: who leads, both ways, for twenty seconds; then who
// leads or another, one way or the other. The others go on, and so does the node that followed it; it does nothing that takes a
// majority, and comes back. Without its defences it is found out.
func TestCutOffNode(t *testing.T) {
	d := startCluster(t, 4)
	d.eventuallyAll("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	d.callUntilClear(0, 200, "POST", "/api/Config.Replace", configBody(10, 0))
	d.callUntilClear(3, 200, "POST", "/api/Backends.Heartbeat/i-1", heartbeatBody("ready", 1))
	d.eventuallyAll("to be ready", func(s controlapi.NodeStatus) bool { return s.Ready })
	last := 10
	for _, x := range []struct {
		leads bool
		way   string
		until time.Duration
		fault fault
	}{
		{true, "both", 20 * time.Second, noFault},
		{true, "in", 0, noFault}, {true, "out", 0, noFault}, {false, "both", 0, noFault}, {false, "out", 0, noFault},
		{true, "both", 0, grantAllPermissions}, {true, "both", 0, ackDrainAlone},
	} {
		l := d.awaitLeader()
		at, other := l, (l+1)%3
		if !x.leads {
			at, other = (l+1)%3, l
		}
		h := d.running[at]
		d.eventually("to be in contact", func() (is bool) { h.loop.Turn(func() { is = h.contactAge() < time.Second }); return is })
		d.running[3].loop.Turn(func() { d.running[3].requestStream(h.peerAddr) })
		d.eventually("the node without a disk follows", func() bool { s := d.status(3); return s.Feeder == h.peerAddr })
		d.partition(at, x.way)
		h.loop.Turn(func() { d.plantFault(h, x.fault) })
		next := last + 10
		d.callUntilClear(other, 200, "POST", "/api/Config.Replace", configBody(next, last))
		last = next
		d.eventually("the follower has it", func() bool { return d.status(3).Generation == uint64(next) })
		var broken []string
		d.eventually("it is cut off for long", func() bool {
			broken = append(broken, d.violations(at, last)...)
			long := false
			h.loop.Turn(func() { long = h.contactAge() > max(x.until, d.settings[at].Bounds.ReadyMaxAge()+time.Second/2) })
			return long
		})
		slices.Sort(broken)
		switch broken = slices.Compact(broken); x.fault {
		case noFault:
			must.SliceEmpty(t, broken, must.Sprint(x, broken))
		case grantAllPermissions: // ends are held by their copies too
			must.Eq(t, []string{"denies for sure", "did not end a call at once", "is ready"}, broken)
		case ackDrainAlone: // once its follower has it, which takes more than this turn
			must.Eq(t, []string{"acknowledged an end", "did not end a call at once"}, broken)
		}
		h.loop.Turn(func() { d.plantFault(h, noFault) })
		if x.until > 0 {
			d.checkReturn(at)
		}
		d.partition(at, "")
		d.eventuallyAll("to go by the newest and be in contact", func(s controlapi.NodeStatus) bool {
			return s.Generation == uint64(last) && s.StaleMs != nil && *s.StaleMs < d.settings[0].Bounds.PartitionedAge().Milliseconds()
		})
	}
}

// checkReturn: a node without a disk that follows a node that is cut off hears from it that all others are gone. It goes to one of
// these all the same, by the links that it has; as long as it went by that word, it stayed for as long as the cut lasted.
func (t *testCluster) checkReturn(at int) {
	cut := t.running[at].peerAddr
	t.eventually("all others to count as gone", func() (gone bool) {
		t.inTurn(3, func(h *Node) {
			if h.fault = trustStaleUpstream; h.upstream != cut {
				h.requestStream(cut)
			}
			h.streamRequestedAt = h.loop.Now() // it stays meanwhile
			gone = len(h.roster.LiveDiskNodes()) == 1 && h.upstreamAge(cut) > h.settings.Bounds.PartitionedAge()
		})
		return gone
	})
	t.inTurn(3, func(h *Node) {
		for _, f := range []fault{trustStaleUpstream, noFault} {
			h.fault, h.streamRequestedAt, h.pausedUntil = f, 1, 0
			h.checkUpstream()
			must.Eq(t.t, f == noFault, h.upstream != cut)
		}
	})
}

// fixedClock is a clock that stands.
type fixedClock struct {
	EventLoop
	now time.Duration
}

func (f fixedClock) Now() time.Duration { return f.now }

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
				before := c.streamContact
				c.updateContact(w.age, w.view, w.by.Stamp(w.asked), w.index)
				moved := c.streamContact.appliedAsOf > before.appliedAsOf
				if moved && (c.streamContact.appliedAsOf > w.asked-w.age || w.view < before.term || w.index > 9 || w.by == other) {
					wrong++
				}
				orders(append(slices.Clone(left[:i]), left[i+1:]...), c)
			}
		}
		orders(all, Node{loop: fixedClock{now: now}, clock: own, appliedIndex: 9, streamContact: streamContact{appliedAsOf: -neverAge}, fault: f})
		return wrong
	}
	must.Eq(t, 0, play(noFault))
	must.Greater(t, 0, play(acceptOlderTerms))
	must.Greater(t, 0, play(countFromReceipt))
}
