package replication

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// rejoin lets the third member, which lacks twenty changes, hear again, while a change is proposed and all is compacted for each
// message that reaches it. It tells what it was sent until it was level, or after so many messages.
func rejoin(w *cluster, most int) (bytes, restores int, level bool) {
	w.heartbeat(0)
	for n := 0; n < most; n++ {
		if n < 40 {
			w.places[0].p.Propose(1, []byte("x"))
			w.pull(0)
		}
		reached := false
		for i := 0; i < len(w.flight); {
			m := w.flight[i]
			if far := m.s.To.ID == 3 || m.from == 3; far && reached {
				i++
				continue
			} else if far {
				reached = true
				if m.s.To.ID == 3 {
					bytes += carried(m.s.Message)
				}
			}
			before := w.places[2].p.snap.Index
			w.arrive(i)
			if after := w.places[2].p.snap.Index; after != before {
				restores++
			}
			w.syncs(0, 1, 2)
			i = 0
		}
		w.compact(0)
		w.compact(1)
		w.syncs(0, 1)
		if !reached {
			w.heartbeat(0)
		}
		if w.places[2].p.synced == w.places[0].p.last() && n >= 40 {
			return bytes, restores, true
		}
	}
	return bytes, restores, false
}

// Changes that go on while a member is sent a snapshot neither replace it nor make it go anew: it is sent once, and the changes
// after it follow. Without that, each compaction made the next snapshot whole: with one a message, it was never level.
func TestSnapshotUnderWayIsKept(t *testing.T) {
	state := strings.Split(strings.Repeat("s", 20), "")
	w := newCluster(3, 0, sound, budget{}).inChunks().changes(state...)
	bytes, restores, level := rejoin(w, 400)
	must.Eq(t, "", w.wrong)
	must.True(t, level)
	must.Eq(t, 1, restores)
	must.LessEq(t, len(state)+2*40, bytes) // the snapshot once, a change at most twice
	w = newCluster(3, 0, unpinned, budget{}).inChunks().changes(state...)
	bytes, _, level = rejoin(w, 400)
	must.True(t, !level || bytes > 2*len(state)+2*40, must.Sprint("the fault is not seen"))
}

// Who has the newest log and can't send it in a message asks for the next view itself: a large tail would hold up the link for
// as long as it takes, and one with an old log never leads.
func TestLargeTailLeadsItself(t *testing.T) {
	w := newCluster(3, 0, sound, budget{}).inChunks().changes("a", "b", "c")
	w.places[2].p.prepare(true)
	w.pull(2)
	for range 2 { // the promise, then the wish for its log
		w.syncs(2)
		w.among([]int{2}, []int{1})
		w.syncs(1)
		w.among([]int{1}, []int{2})
	}
	must.Eq(t, preparing, w.places[1].p.role)
	w.settle()
	must.Eq(t, leading, w.places[1].p.role)
	for range 9 {
		w.heartbeat(1)
		w.settle()
	}
	must.Eq(t, "", w.wrong)
	must.Eq(t, w.places[1].p.last(), w.places[2].p.synced)
}

// What is kept for members is bounded: as many bytes as a new snapshot would be, one pinned snapshot for all, and one more.
func TestWhatIsKeptIsBounded(t *testing.T) {
	w := newCluster(3, 0, sound, budget{}).inChunks()
	p := w.places[0].p
	for range 300 {
		p.Propose(1, make([]byte, 1<<10))
		w.pull(0)
		w.settle()
		w.heartbeat(0)
		w.settle()
		p.Compact(p.committed, make([]byte, 100<<10))
		size := 0
		for i := range p.trail {
			size += p.trail[i].size()
		}
		must.LessEq(t, 100<<10, size)
	}
	must.Greater(t, 64, len(p.trail))
	_, known := p.viewAt(p.First() - 1) // else who lacks just what is kept was refused each message, until it was compacted away
	must.True(t, known)
	old := func(i uint64) *Blob { return NewBlob(i, 1, []byte{1}) }
	a, b := old(p.First()), old(p.First()+1)
	must.Eq(t, a, p.Pinned(3, []*Blob{a, b}))                     // the log goes on after it
	must.Eq(t, p.snapBlob(), p.Pinned(3, []*Blob{old(1), a}[:1])) // not after that one
	must.Nil(t, p.Pinned(p.First(), []*Blob{old(1), old(2)}))
}
