package replication

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// catchUpThirdMember delivers messages until the third member, which lacks twenty entries, has the whole log, or until maxMessages rounds
// have passed. Each round delivers one message to or from the third member, and the other members then compact their logs. An entry is
// proposed before each of the first 40 rounds. It returns the number of bytes that were delivered to the third member, the number of
// snapshots that this member installed, and whether this member has the whole log.
func catchUpThirdMember(c *cluster, maxMessages int) (bytes, restores int, caughtUp bool) {
	c.sendHeartbeat(0)
	for n := 0; n < maxMessages; n++ {
		if n < 40 {
			c.members[0].replica.Propose(1, []byte("x"))
			c.drainActions(0)
		}
		delivered := false
		for i := 0; i < len(c.inflight); {
			m := c.inflight[i]
			if toOrFromThird := m.send.Recipient.ID == 3 || m.from == 3; toOrFromThird && delivered {
				i++
				continue
			} else if toOrFromThird {
				delivered = true
				if m.send.Recipient.ID == 3 {
					bytes += payloadBytes(m.send.Message)
				}
			}
			before := c.members[2].replica.log.snapshot.Index
			c.deliverMessageAt(i)
			if after := c.members[2].replica.log.snapshot.Index; after != before {
				restores++
			}
			c.syncAllWrites(0, 1, 2)
			i = 0
		}
		c.compactLogOf(0)
		c.compactLogOf(1)
		c.syncAllWrites(0, 1)
		if !delivered {
			c.sendHeartbeat(0)
		}
		if c.members[2].replica.syncedIndex == c.members[0].replica.log.lastIndex() && n >= 40 {
			return bytes, restores, true
		}
	}
	return bytes, restores, false
}

// Guards against a snapshot transfer that starts again from offset 0. The snapshot in transfer must be sent once, even if entries are
// proposed and compacted during the transfer, and the entries after the snapshot must follow. Earlier, each compaction made the leader
// send the new snapshot from its start. With one compaction for each message, the member never caught up.
func TestSnapshotInTransferIsKept(t *testing.T) {
	state := strings.Split(strings.Repeat("s", 20), "")
	c := newCluster(3, 0, noMutation, stepBudget{}).withSmallChunks().commitOnFirstTwoMembers(state...)
	bytes, restores, caughtUp := catchUpThirdMember(c, 400)
	must.Eq(t, "", c.violation)
	must.True(t, caughtUp)
	must.Eq(t, 1, restores)
	// The snapshot is sent once, and each entry at most twice.
	must.LessEq(t, len(state)+2*40, bytes)
}

// Guards against a candidate that waits forever for a newer log that is too large for one message. The voter that has this log must start
// an election itself: a large message would delay all other messages on the link, and a candidate without the newest log never leads.
func TestMemberWithLargeTailStartsElection(t *testing.T) {
	c := newCluster(3, 0, noMutation, stepBudget{}).withSmallChunks().commitOnFirstTwoMembers("a", "b", "c")
	c.members[2].replica.startElection()
	c.drainActions(2)
	for range 2 { // first the vote, then the request for the voter's log
		c.syncAllWrites(2)
		c.deliverAmong([]int{2}, []int{1})
		c.syncAllWrites(1)
		c.deliverAmong([]int{1}, []int{2})
	}
	must.Eq(t, roleCandidate, c.members[1].replica.role)
	c.syncAndDeliverAll()
	must.Eq(t, roleLeader, c.members[1].replica.role)
	for range 9 {
		c.sendHeartbeat(1)
		c.syncAndDeliverAll()
	}
	must.Eq(t, "", c.violation)
	must.Eq(t, c.members[1].replica.log.lastIndex(), c.members[2].replica.syncedIndex)
}

// Guards against unlimited memory use for members that lag behind. The trailing log, which is the compacted entries in memory, may have as
// many bytes as a new snapshot. At most maxOutdatedBlobs outdated snapshots are kept for transfers. All receivers of a snapshot share
// one Blob.
func TestTrailingLogIsBounded(t *testing.T) {
	c := newCluster(3, 0, noMutation, stepBudget{}).withSmallChunks()
	replica := c.members[0].replica
	for range 300 {
		replica.Propose(1, make([]byte, 1<<10))
		c.drainActions(0)
		c.syncAndDeliverAll()
		c.sendHeartbeat(0)
		c.syncAndDeliverAll()
		replica.Compact(replica.commitIndex, make([]byte, 100<<10))
		size := 0
		for i := range replica.log.trailing {
			size += replica.log.trailing[i].Size()
		}
		must.LessEq(t, 100<<10, size)
	}
	must.Greater(t, 64, len(replica.log.trailing))
	// The term of the entry before the trailing log must be known. If it were not known, a member that lacks exactly the trailing log
	// would reject each append until the log is compacted again.
	_, known := replica.log.termAt(replica.FirstIndex() - 1)
	must.True(t, known)
	blobAt := func(i uint64) *Blob { return NewBlob(i, 1, []byte{1}) }
	a, b := blobAt(replica.FirstIndex()), blobAt(replica.FirstIndex()+1)
	must.Eq(t, a, replica.BlobToSend(3, []*Blob{a, b}))                                        // the log continues after this blob
	must.Eq(t, replica.latestSnapshotBlob(), replica.BlobToSend(3, []*Blob{blobAt(1), a}[:1])) // the log does not continue after blob 1
	// Two outdated blobs are in transfer already.
	must.Nil(t, replica.BlobToSend(replica.FirstIndex(), []*Blob{blobAt(1), blobAt(2)}))
}
