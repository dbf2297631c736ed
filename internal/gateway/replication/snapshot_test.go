package replication

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// rejoin delivers messages to the third member again, which lacks twenty entries. After each message to or from that member the others compact
// their logs, and before each of the first 40 an entry is proposed. It returns the bytes that the member was sent and the snapshots that it
// installed, until it had the whole log or after a number of messages.
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

// Guards against a snapshot transfer that starts over. The snapshot in transfer must be sent once, whatever is proposed and compacted meanwhile,
// and the entries after it must follow. Earlier, each compaction made the leader send the next snapshot from its start: with one compaction
// for each message, the member never caught up.
func TestSnapshotInTransferIsKept(t *testing.T) {
	state := strings.Split(strings.Repeat("s", 20), "")
	w := newCluster(3, 0, noMutation, stepBudget{}).inChunks().commitOnTwo(state...)
	bytes, restores, level := rejoin(w, 400)
	must.Eq(t, "", w.violation)
	must.True(t, level)
	must.Eq(t, 1, restores)
	// The snapshot is sent once, and each entry at most twice.
	must.LessEq(t, len(state)+2*40, bytes)
}

// Guards against a candidate that waits for a log that is too large for one message. The voter that has this log must start an election itself:
// a large message would delay all others on the link, and a candidate without the newest log never leads.
func TestMemberWithLargeTailStartsElection(t *testing.T) {
	w := newCluster(3, 0, noMutation, stepBudget{}).inChunks().commitOnTwo("a", "b", "c")
	w.members[2].replica.startElection()
	w.drainActions(2)
	for range 2 { // first the vote, then the request for the voter's log
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

// Guards against unbounded memory for members that lag. The trailing log may have as many bytes as a new snapshot. For transfers, one outdated
// snapshot that all receivers share and one more are kept.
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
	// The term before the trailing log must be known. Otherwise a member that lacks exactly the trailing log would reject each append, until the
	// log is compacted again.
	_, known := p.log.termAt(p.FirstIndex() - 1)
	must.True(t, known)
	old := func(i uint64) *Blob { return NewBlob(i, 1, []byte{1}) }
	a, b := old(p.FirstIndex()), old(p.FirstIndex()+1)
	must.Eq(t, a, p.BlobToSend(3, []*Blob{a, b}))                               // the log continues after this blob
	must.Eq(t, p.latestSnapshotBlob(), p.BlobToSend(3, []*Blob{old(1), a}[:1])) // the log does not continue after blob 1
	// Two outdated blobs are in transfer already.
	must.Nil(t, p.BlobToSend(p.FirstIndex(), []*Blob{old(1), old(2)}))
}
