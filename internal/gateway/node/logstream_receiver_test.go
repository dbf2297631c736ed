package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/settings"
)

// While there is no leader, the contact of each member is old, and a little older at one than at the other. A learner changed over to
// whichever was younger at the moment, again and again, and each sent it all backends: with two hundred that did so, the members had no
// time left to elect a leader.
func TestNobodyLeads(t *testing.T) {
	n := newLearner(t, "10.0.0.1:7110", "10.0.0.2:7110")
	now := n.loop.Now()
	first := n.streamReceiver.upstream
	other := map[string]string{"10.0.0.1:7110": "10.0.0.2:7110", "10.0.0.2:7110": "10.0.0.1:7110"}[first]
	for i := range 40 {
		now += tickInterval
		n.loop.(*manualClock).now = now
		n.roster.Tick(now)
		for _, a := range []string{first, other} {
			n.roster.FrameReceived(a)
			n.streamReceiver.lastFrameAt = now
			n.streamReceiver.reports[a] = upstreamReport{now, quorumcontact.UnknownAge + time.Duration(i)*heartbeatInterval, 0, 0} // it has just started and knows of no leader
		}
		n.streamReceiver.reports[other] = upstreamReport{now, quorumcontact.UnknownAge - 10*time.Second, 0, 0} // this one did a while ago
		n.streamReceiver.answeredAt = now
		n.streamReceiver.check()
		must.Eq(t, first, n.streamReceiver.upstream)
	}
	// A member that knows of a leader is changed over to.
	n.streamReceiver.reports[other] = upstreamReport{now, 0, 0, 0}
	n.loop.(*manualClock).now = now + minStreamRetry
	n.roster.Tick(now + minStreamRetry)
	n.streamReceiver.check()
	must.Eq(t, other, n.streamReceiver.upstream)
}

// An upstream that sends other frames but no answer is busy: it is waited for, but not for ever.
func TestBusyFeederIsWaitedFor(t *testing.T) {
	n := newLearner(t, "10.0.0.1:7110", "10.0.0.2:7110")
	first, asked := n.streamReceiver.upstream, n.streamReceiver.requestedAt
	n.streamReceiver.answeredAt = asked - 1
	for now := asked; now <= asked+busyUpstreamTimeout+maxStreamRetry; now += tickInterval {
		n.loop.(*manualClock).now = now
		n.roster.Tick(now)
		for _, d := range n.roster.Addrs() {
			n.roster.FrameReceived(d)
		}
		n.streamReceiver.lastFrameAt = now
		n.streamReceiver.reports[first] = upstreamReport{now, 0, 0, 0}
		n.streamReceiver.check()
		if now-asked < busyUpstreamTimeout {
			must.Eq(t, first, n.streamReceiver.upstream)
			must.Eq(t, asked, n.streamReceiver.requestedAt) // nor asked again
		}
	}
	must.NotEq(t, asked, n.streamReceiver.requestedAt)
}

// manualClock is an event loop whose time a test sets.
type manualClock struct {
	EventLoop
	now time.Duration
}

func (m *manualClock) Now() time.Duration { return m.now }

// discardingLinks drop what a node sends.
type discardingLinks struct{ Links }

func (discardingLinks) Send(string, *Frame) bool { return true }

// newLearner is a node without a disk whose upstream is one of these members.
func newLearner(t *testing.T, disks ...string) *Node {
	n := &Node{settings: &settings.Settings{NodeName: "node"}, log: newLogger("node"), table: routing.NewTable(nil),
		loop: &manualClock{now: time.Minute}, links: discardingLinks{}, peerAddr: "10.0.0.9:7110"}
	n.roster = membership.New(membership.Node{Name: "node", Addr: n.peerAddr}, membership.Config{}, n.loop.Now())
	for i, a := range disks {
		n.roster.HandleHello(a, membership.Hello{Node: membership.Node{Name: a, Addr: a, Disk: membership.DiskID(i + 1), Incarnation: 1, Bootstrapped: true}})
		n.roster.LinkUp(a)
	}
	n.openLogStream()
	n.streamReceiver.check()
	must.NotEq(t, "", n.streamReceiver.upstream)
	return n
}
