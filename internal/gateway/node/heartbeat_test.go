package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
)

// recordingLinks record what a node sends, by receiver.
type recordingLinks struct {
	discardingLinks
	frames map[string][]*Frame
}

func (r *recordingLinks) Send(to string, f *Frame) bool {
	r.frames[to] = append(r.frames[to], f)
	return true
}

// takeHeartbeats is how many heartbeats went to a node since the last call for it.
func (r *recordingLinks) takeHeartbeats(to string) (n int) {
	for _, f := range r.frames[to] {
		if f.Ping != nil {
			n++
		}
	}
	delete(r.frames, to)
	return n
}

// Members sent liveness reports by heartbeats of their own, beside messages of the log each 150 ms, with an age that no member goes by: 9 in
// 100 of a node's bytes in calm. The reports go with the log now. Where the log has no message for a while, the other program does not know
// that way, or a change is urgent, they go by themselves, since a slot that no node reports counts as lost after 2.2 s.
func TestHeartbeatsWithTheLog(t *testing.T) {
	const b, c = "10.0.0.2:7110", "10.0.0.3:7110"
	clock, out := &manualClock{now: time.Minute}, &recordingLinks{frames: map[string][]*Frame{}}
	n := &Node{settings: &settings.Settings{NodeName: "a"}, log: newLogger("a"), loop: clock, links: out}
	n.roster = membership.New(membership.Node{Name: "a", Addr: "10.0.0.1:7110", Disk: 1}, membership.Config{}, clock.now)
	me := replication.Member{ID: 1, Addr: "10.0.0.1:7110"}
	n.core = newCore(n, me)
	n.core.replica = replication.New(me, replication.PersistentState{ID: 1}, replication.DefaultConfig(), 1, clock.now)
	n.openLogStream()
	slots := []membership.SlotHolder{{Addr: me.Addr}}
	for i, a := range []string{b, c} {
		n.roster.HandleHello(a, membership.Hello{Node: membership.Node{Addr: a, Disk: membership.DiskID(i + 2), Incarnation: 1, Bootstrapped: true}})
		n.roster.LinkUp(a)
		slots = append(slots, membership.SlotHolder{Addr: a})
	}
	n.roster.SetSlots(slots)
	ping := func(news bool) [2]int {
		n.sendHeartbeats(news)
		return [2]int{out.takeHeartbeats(b), out.takeHeartbeats(c)}
	}
	must.Eq(t, [2]int{1, 1}, ping(false)) // what the others' programs know is not known
	must.Eq(t, []byte{7}, n.core.coreMessage(b, replication.Message{}).Hears)
	must.Nil(t, n.core.coreMessage(b, replication.Message{}).Hears) // once
	n.core.receiveLiveness(b, &CoreMessage{Hears: []byte{7}})
	must.Eq(t, [2]int{0, 1}, ping(false))
	must.Eq(t, []byte{7}, n.core.coreMessage(b, replication.Message{}).Hears)
	must.Eq(t, [2]int{0, 1}, ping(false))
	clock.now += livenessMaxDelay - 1
	n.sendOverdueLiveness()
	must.Eq(t, 0, out.takeHeartbeats(b))
	clock.now++
	n.sendOverdueLiveness() // the log has no message
	must.Eq(t, 1, out.takeHeartbeats(b))
	must.Nil(t, n.core.coreMessage(b, replication.Message{}).Hears)

	n.core.receiveLiveness(b, &CoreMessage{Hears: []byte{7}})
	must.Eq(t, [2]int{1, 1}, ping(true))
	must.Eq(t, [2]int{0, 1}, ping(false))
	n.PeerConnected(b) // perhaps another program
	must.Eq(t, [2]int{1, 1}, ping(false))
}
