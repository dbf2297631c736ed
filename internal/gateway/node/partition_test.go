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
	"clovergap/internal/gateway/settings"
)

// partitionedLinks lose what a node sends to some others, as long as drops is set. It is read and set in turns.
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

// partition cuts one node off from the other nodes with a disk: what it sends ("out"), what they send ("in"), or "both"; "" heals it.
func (t *testCluster) partition(i int, way string) {
	for o, n := range t.running {
		n.loop.Turn(func() {
			c, ok := n.links.(*partitionedLinks)
			if !ok {
				c = &partitionedLinks{Links: n.links}
				n.links = c
			}
			switch {
			case way == "" || n.core == nil:
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

// violations are what a partitioned node does and must not.
func (t *testCluster) violations(i, last int) (all []string) {
	n, b := t.running[i], t.settings[i].Bounds
	bad := func(is bool, what string) {
		if is {
			all = append(all, what)
		}
	}
	n.loop.Turn(func() {
		at := n.contactAge()
		ended := map[string]bool{}
		say := func(what string) func(int, []byte) {
			return func(status int, _ []byte) {
				ended[what] = true
				bad(status/100 != 5, what)
			}
		}
		n.Change('r', []byte(configBody(last+1000, last-1)), say("refused or took an order"))
		n.ReadConfiguration(say("told a read"))
		n.Deregister(fmt.Sprint("nobody-", last), func(ok bool, _ string) {
			ended["end"] = true
			bad(ok, "acknowledged an end")
		})
		if at > b.PartitionedAge() {
			bad(len(ended) < 3, "did not end a call at once")
		}
		if at > b.ReadyMaxAge() {
			bad(n.Ready(), "is ready")
			_, no := n.Admit([]byte("nowhere"), []byte("/"), nil)
			bad(no == ingress.NoRoute, "denies for sure")
		}
	})
	return all
}

// setKnobs takes out defences of a node from now on, in a turn.
func (t *testCluster) setKnobs(n *Node, knobs TestingKnobs) {
	n.knobs = knobs
	n.registry.SetConfig(registry.Config{HeartbeatInterval: n.settings.HeartbeatInterval, MinCopies: n.minDrainCopies()})
}

// On four real nodes, one with a disk is partitioned from the others that have one: the leader, both ways, for twenty seconds; then the
// leader or another one, one way or the other. The others go on, and so does the learner that it had; it does nothing that requires a
// majority, and comes back. Without its defences the violations show.
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
		knobs TestingKnobs
	}{
		{true, "both", 20 * time.Second, TestingKnobs{}},
		{true, "in", 0, TestingKnobs{}}, {true, "out", 0, TestingKnobs{}}, {false, "both", 0, TestingKnobs{}}, {false, "out", 0, TestingKnobs{}},
		{true, "both", 0, grantAll}, {true, "both", 0, ackDrainAlone},
	} {
		l := d.awaitLeader()
		at, other := l, (l+1)%3
		if !x.leads {
			at, other = (l+1)%3, l
		}
		n := d.running[at]
		d.eventually("to be in contact", func() (is bool) { n.loop.Turn(func() { is = n.contactAge() < time.Second }); return is })
		d.running[3].loop.Turn(func() { d.running[3].streamReceiver.request(n.peerAddr) })
		d.eventually("the node without a disk follows", func() bool { s := d.status(3); return s.Feeder == n.peerAddr })
		d.partition(at, x.way)
		n.loop.Turn(func() { d.setKnobs(n, x.knobs) })
		next := last + 10
		d.callUntilClear(other, 200, "POST", "/api/Config.Replace", configBody(next, last))
		last = next
		d.eventually("the follower has it", func() bool { return d.status(3).Generation == uint64(next) })
		var broken []string
		d.eventually("it is cut off for long", func() bool {
			broken = append(broken, d.violations(at, last)...)
			long := false
			n.loop.Turn(func() { long = n.contactAge() > max(x.until, d.settings[at].Bounds.ReadyMaxAge()+time.Second/2) })
			return long
		})
		slices.Sort(broken)
		switch broken = slices.Compact(broken); x.knobs {
		case TestingKnobs{}:
			must.SliceEmpty(t, broken, must.Sprint(x, broken))
		case grantAll: // ends are held by their copies too
			must.Eq(t, []string{"denies for sure", "did not end a call at once", "is ready"}, broken)
		case ackDrainAlone: // once its follower has it, which takes more than this turn
			must.Eq(t, []string{"acknowledged an end", "did not end a call at once"}, broken)
		}
		n.loop.Turn(func() { d.setKnobs(n, TestingKnobs{}) })
		if x.until > 0 {
			d.checkReturn(at)
		}
		d.partition(at, "")
		d.eventuallyAll("to go by the newest and be in contact", func(s controlapi.NodeStatus) bool {
			return s.Generation == uint64(last) && s.StaleMs != nil && *s.StaleMs < d.settings[0].Bounds.PartitionedAge().Milliseconds()
		})
	}
}

// checkReturn checks that a learner leaves an upstream that is partitioned and reports all others as gone: it goes to one of these by the
// links that it has. As long as it believed the report, it stayed for as long as the partition lasted.
func (t *testCluster) checkReturn(at int) {
	cut := t.running[at].peerAddr
	t.eventually("all others to count as gone", func() (gone bool) {
		t.inTurn(3, func(n *Node) {
			if n.knobs.TrustStaleUpstream = true; n.streamReceiver.upstream != cut {
				n.streamReceiver.request(cut)
			}
			n.streamReceiver.requestedAt = n.loop.Now() // it stays meanwhile
			gone = len(n.roster.LiveDiskNodes()) == 1 && n.streamReceiver.reportedAge(cut) > n.settings.Bounds.PartitionedAge()
		})
		return gone
	})
	t.inTurn(3, func(n *Node) {
		for _, trusts := range []bool{true, false} {
			n.knobs.TrustStaleUpstream, n.streamReceiver.requestedAt, n.streamReceiver.pausedUntil = trusts, 1, 0
			n.streamReceiver.check()
			must.Eq(t.t, !trusts, n.streamReceiver.upstream != cut)
		}
	})
}
