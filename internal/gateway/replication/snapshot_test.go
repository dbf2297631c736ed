package replication

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// rejoin lets the third member, which lacks twenty changes, hear again, while a change is proposed and all is compacted for each
// message that reaches it. It returns what it was sent until it was level, or after so many messages.
func rejoin(w *cluster, most int) (bytes, restores int, level bool) {
	w.heartbeat(0)
	for n := 0; n < most; n++ {
		if n < 40 {
			w.members[0].replica.Propose(1, []byte("x"))
			w.drainActions(0)
		}
		reached := false
		for i := 0; i < len(w.inflight); {
			m := w.inflight[i]
			if far := m.sent.Recipient.ID == 3 || m.from == 3; far && reached {
				i++
				continue
			} else if far {
				reached = true
				if m.sent.Recipient.ID == 3 {
					bytes += payloadBytes(m.sent.Message)
				}
			}
			before := w.members[2].replica.log.snapshot.Index
			w.deliver(i)
			if after := w.members[2].replica.log.snapshot.Index; after != before {
				restores++
			}
			w.syncAll(0, 1, 2)
			i = 0
		}
		w.compact(0)
		w.compact(1)
		w.syncAll(0, 1)
		if !reached {
			w.heartbeat(0)
		}
		if w.members[2].replica.syncedIndex == w.members[0].replica.log.lastIndex() && n >= 40 {
			return bytes, restores, true
		}
	}
	return bytes, restores, false
}

// Changes that go on while a member is sent a snapshot neither replace it nor make it go anew: it is sent once, and the changes
// after it follow. Without that, each compaction had the next snapshot sent from its begin: with one a message, it was never level.
func TestSnapshotInTransferIsKept(t *testing.T) {
	state := strings.Split(strings.Repeat("s", 20), "")
	w := newCluster(3, 0, noMutation, stepBudget{}).inChunks().commitOnTwo(state...)
	bytes, restores, level := rejoin(w, 400)
	must.Eq(t, "", w.violation)
	must.True(t, level)
	must.Eq(t, 1, restores)
	must.LessEq(t, len(state)+2*40, bytes) // the snapshot once, a change at most twice
}

// A voter whose newer log is too large for a message starts an election itself: a large tail would delay everything on the link, and a
// candidate without the newest log never leads.
func TestMemberWithLargeTailStartsElection(t *testing.T) {
	w := newCluster(3, 0, noMutation, stepBudget{}).inChunks().commitOnTwo("a", "b", "c")
	w.members[2].replica.startElection()
	w.drainActions(2)
	for range 2 { // the vote, then the request for its log
		w.syncAll(2)
		w.deliverAmong([]int{2}, []int{1})
		w.syncAll(1)
		w.deliverAmong([]int{1}, []int{2})
	}
	must.Eq(t, roleCandidate, w.members[1].replica.role)
	w.deliverAll()
	must.Eq(t, roleLeader, w.members[1].replica.role)
	for range 9 {
		w.heartbeat(1)
		w.deliverAll()
	}
	must.Eq(t, "", w.violation)
	must.Eq(t, w.members[1].replica.log.lastIndex(), w.members[2].replica.syncedIndex)
}

// What is kept for members is bounded: as many bytes as a new snapshot would be, one snapshot in transfer for all, and one more.
func TestTrailingLogIsBounded(t *testing.T) {
	w := newCluster(3, 0, noMutation, stepBudget{}).inChunks()
	p := w.members[0].replica
	for range 300 {
		p.Propose(1, make([]byte, 1<<10))
		w.drainActions(0)
		w.deliverAll()
		w.heartbeat(0)
		w.deliverAll()
		p.Compact(p.commitIndex, make([]byte, 100<<10))
		size := 0
		for i := range p.log.trailing {
			size += p.log.trailing[i].Size()
		}
		must.LessEq(t, 100<<10, size)
	}
	must.Greater(t, 64, len(p.log.trailing))
	_, known := p.log.termAt(p.FirstIndex() - 1) // else who lacks just what is kept was rejected each time, until it was compacted
	must.True(t, known)
	old := func(i uint64) *Blob { return NewBlob(i, 1, []byte{1}) }
	a, b := old(p.FirstIndex()), old(p.FirstIndex()+1)
	must.Eq(t, a, p.BlobToSend(3, []*Blob{a, b}))                               // the log goes on after it
	must.Eq(t, p.latestSnapshotBlob(), p.BlobToSend(3, []*Blob{old(1), a}[:1])) // not after that one
	must.Nil(t, p.BlobToSend(p.FirstIndex(), []*Blob{old(1), old(2)}))
}
