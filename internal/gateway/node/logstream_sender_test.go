package node

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/statemachine"
)

// A member that was away for long came back and sent the state of its disk to each learner that chose it, 4 s for a MB on 2 Mbit/s, and then
// the newest one. It keeps a large state back until it has contact with a majority, or has waited in vain for it.
func TestOldStateIsKeptBack(t *testing.T) {
	const asker, addr = "10.0.0.9:7110", "10.0.0.1:7110"
	made := func(state []byte, members ...replication.Member) (*Node, *recordingLinks, func(time.Duration) int) {
		clock, out := &manualClock{now: time.Minute}, &recordingLinks{frames: map[string][]*Frame{}}
		n := &Node{settings: &settings.Settings{NodeName: "a"}, log: newLogger("a"), loop: clock, links: out, machine: statemachine.New(),
			appliedIndex: 5}
		n.roster = membership.New(membership.Node{Name: "a", Addr: addr, Disk: 1}, membership.Config{}, clock.now)
		n.groups = &groupHost{env: n}
		kept := replication.PersistentState{ID: 1, ClusterID: 1, Term: 1, Commit: 5,
			Snapshot: replication.Snapshot{Index: 5, Term: 1, Members: members, State: state}}
		n.core = newCore(n, members[0])
		n.core.replica = replication.New(members[0], kept, replication.DefaultConfig(), 1, clock.now)
		n.openLogStream()
		return n, out, func(at time.Duration) (bytes int) { // that a learner gets which requests then
			clock.now = time.Minute + at
			delete(out.frames, asker)
			n.receiveStreamRequest(asker, &streamRequest{acceptsChunks: true})
			for _, f := range out.frames[asker] {
				if f.Feed != nil && f.Feed.Chunk != nil {
					bytes += len(f.Feed.Chunk.Data)
				} else if f.Feed != nil {
					bytes += len(f.Feed.State)
				}
			}
			return bytes
		}
	}
	all := []replication.Member{{ID: 1, Addr: addr}, {ID: 2, Addr: "b"}, {ID: 3, Addr: "c"}}
	_, _, asks := made(make([]byte, 1<<20), all...)
	must.Eq(t, 0, asks(0))
	must.Eq(t, 0, asks(staleStateGrace-1))
	must.Eq(t, streamConfig.MaxInflightBytes, asks(staleStateGrace))
	_, _, asks = made(make([]byte, 1000), all...) // what is small goes at once
	must.Eq(t, 1000, asks(0))

	n, _, asks := made(make([]byte, 1<<20), all[0]) // it is a majority by itself
	must.Eq(t, 0, asks(0))
	for at := time.Duration(0); at < staleStateGrace-tickInterval; at += tickInterval {
		n.core.replica.Tick(time.Minute + at)
		for a, ok := n.core.replica.Next(); ok; a, ok = n.core.replica.Next() {
			if w, ok := a.(replication.Write); ok {
				n.core.replica.ReportSynced(w.Seq)
			}
		}
	}
	must.Eq(t, streamConfig.MaxInflightBytes, asks(staleStateGrace-tickInterval))
}

// frameRecorder records what a node sends.
type frameRecorder struct {
	Links
	frames []*Frame
}

func (f *frameRecorder) Send(_ string, frame *Frame) bool {
	f.frames = append(f.frames, frame)
	return true
}

// What a learner requested is sent again when the link to it comes up: its request may come before this node's own link is there, and what
// was sent then is lost. Guards against learners that go from one member to the next, half a second at each, after the loss of all.
func TestFollowerIsFedWhenItsLinkComesUp(t *testing.T) {
	now, me := time.Minute, replication.Member{ID: 5, Addr: "10.0.0.9:7110"}
	p := replication.New(me, replication.PersistentState{ID: me.ID}, replication.DefaultConfig(), 1, now)
	must.NoError(t, p.Bootstrap([]replication.Member{me}))
	last := func() uint64 {
		for a, ok := p.Next(); ok; a, ok = p.Next() {
			if w, is := a.(replication.Write); is {
				p.ReportSynced(w.Seq)
			}
		}
		return p.CommitIndex()
	}
	for last(); !p.IsLeader(); last() {
		now += 100 * time.Millisecond
		p.Tick(now)
	}
	p.Propose(1, []byte("one"))
	p.Propose(2, []byte("two"))
	n := newLearner(t, "10.0.0.1:7110")
	n.appliedIndex = last()
	n.core = newCore(n, me)
	n.core.replica = p
	n.openLogStream()
	n.loop.(*manualClock).now = now
	has := func(to *frameRecorder) (all []string) {
		for _, f := range to.frames {
			if f.Feed != nil {
				for _, e := range f.Feed.Entries {
					if len(e) > 0 {
						all = append(all, string(e))
					}
				}
			}
		}
		return all
	}
	early, late, again := &frameRecorder{}, &frameRecorder{}, &frameRecorder{}
	n.links = early
	n.receiveStreamRequest("10.0.0.1:7110", &streamRequest{after: 0, acceptsChunks: true})
	must.Eq(t, []string{"one", "two"}, has(early))
	n.links = late
	n.LinkUp("10.0.0.1:7110")
	must.Eq(t, []string{"one", "two"}, has(late))
	n.receiveStreamRequest("10.0.0.1:7110", &streamRequest{after: n.appliedIndex, acceptsChunks: true})
	n.links = again
	n.LinkUp("10.0.0.1:7110")
	must.SliceEmpty(t, has(again)) // it has all
	must.True(t, slices.ContainsFunc(again.frames, func(f *Frame) bool { return f.Feed != nil && f.Feed.After == n.appliedIndex }))
	n.links = &frameRecorder{}
	n.LinkUp("10.0.0.2:7110") // one that does not follow
	must.SliceEmpty(t, n.links.(*frameRecorder).frames)
}
