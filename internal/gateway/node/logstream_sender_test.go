package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/statemachine"
)

// A member that was away for long came back and sent whoever picked it as a feeder the whole state that its disk held, 4 s for a MB on
// 2 Mbit/s, and then the newest. It keeps a large state back until it has word of a majority, or has waited in vain for one.
func TestOldStateIsKeptBack(t *testing.T) {
	const asker, addr = "10.0.0.9:7110", "10.0.0.1:7110"
	made := func(state []byte, members ...replication.Member) (*Node, *recordingLinks, func(time.Duration) int) {
		clock, out := &manualClock{now: time.Minute}, &recordingLinks{frames: map[string][]*Frame{}}
		h := &Node{settings: &settings.Settings{NodeName: "a"}, log: newLogger("a"), loop: clock, links: out, machine: statemachine.New(),
			appliedIndex: 5}
		h.roster = membership.New(membership.Node{Name: "a", Addr: addr, Disk: 1}, membership.Config{}, clock.now)
		h.groups = &groupHost{env: h}
		kept := replication.PersistentState{ID: 1, ClusterID: 1, Term: 1, Commit: 5,
			Snapshot: replication.Snapshot{Index: 5, Term: 1, Members: members, State: state}}
		h.core = &core{liveness: map[string]livenessState{}, replicaHost: replicaHost{node: h, self: members[0],
			replica: replication.New(members[0], kept, replication.DefaultConfig(), 1, clock.now)}}
		h.openLogStream()
		return h, out, func(at time.Duration) (bytes int) { // that a follower is sent which asks then
			clock.now = time.Minute + at
			delete(out.frames, asker)
			h.receiveStreamRequest(asker, &StreamRequest{Chunks: true})
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

	h, _, asks := made(make([]byte, 1<<20), all[0]) // it is a majority by itself
	must.Eq(t, 0, asks(0))
	for at := time.Duration(0); at < staleStateGrace-tickInterval; at += tickInterval {
		h.core.replica.Tick(time.Minute + at)
		for a, ok := h.core.replica.Next(); ok; a, ok = h.core.replica.Next() {
			if w, ok := a.(replication.Write); ok {
				h.core.replica.Synced(w.Seq)
			}
		}
	}
	must.Eq(t, streamConfig.MaxInflightBytes, asks(staleStateGrace-tickInterval))
}
