package node

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/replication"
	"clovergap/internal/proxy/eventloop"
)

// A node with a disk leaves descriptors for a link to each of the others, and still has some for requests and calls where the others are
// very many. Guards against a core that takes no calls: 299 links beside connections bounded as if there were 200.
func TestDescriptorsLeftForLinks(t *testing.T) {
	for _, c := range []struct {
		disk             bool
		fds, nodes, room int
	}{
		{true, 800, 3, 600}, {true, 800, 300, 400}, {true, 800, 720, 200}, {false, 800, 720, 600}, {false, 220, 3, 55},
	} {
		s := &sockets{Engine: eventloop.New("", 800, maxConnBufferBytes, 1<<20), maxFDs: c.fds}
		if c.disk {
			s.disk = &diskWriter{}
		}
		whole := s.Room()
		s.reserveLinkFDs(c.nodes)
		must.Eq(t, c.room, s.Room()+800-whole, must.Sprintf("%+v", c))
	}
}

// frameRecorder takes what a node sends.
type frameRecorder struct {
	Links
	frames []*Frame
}

func (f *frameRecorder) Send(_ string, frame *Frame) bool {
	f.frames = append(f.frames, frame)
	return true
}

// What a follower asked for is sent again when the link to it comes up: its wish may come before this node's own link is there, and what it was
// sent then went nowhere. Guards against nodes that go from one member to the next, half a second at each, after the loss of all.
func TestFollowerIsFedWhenItsLinkComesUp(t *testing.T) {
	now, me := time.Minute, replication.Member{ID: 5, Addr: "10.0.0.9:7110"}
	p := replication.New(me, replication.PersistentState{ID: me.ID}, replication.DefaultConfig(), 1, now)
	must.NoError(t, p.Bootstrap([]replication.Member{me}))
	last := func() uint64 {
		for a, ok := p.Next(); ok; a, ok = p.Next() {
			if w, is := a.(replication.Write); is {
				p.Synced(w.Seq)
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
	h := newLearner(t, "10.0.0.1:7110")
	h.appliedIndex = last()
	h.core = &core{replicaHost: replicaHost{node: h, replica: p}}
	h.openLogStream()
	h.loop.(*manualClock).now = now
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
	h.links = early
	h.receiveStreamRequest("10.0.0.1:7110", &StreamRequest{After: 0, Chunks: true})
	must.Eq(t, []string{"one", "two"}, has(early))
	h.links = late
	h.LinkUp("10.0.0.1:7110")
	must.Eq(t, []string{"one", "two"}, has(late))
	h.receiveStreamRequest("10.0.0.1:7110", &StreamRequest{After: h.appliedIndex, Chunks: true})
	h.links = again
	h.LinkUp("10.0.0.1:7110")
	must.SliceEmpty(t, has(again)) // it has all
	must.True(t, slices.ContainsFunc(again.frames, func(f *Frame) bool { return f.Feed != nil && f.Feed.After == h.appliedIndex }))
	h.links = &frameRecorder{}
	h.LinkUp("10.0.0.2:7110") // one that does not follow
	must.SliceEmpty(t, h.links.(*frameRecorder).frames)
}
