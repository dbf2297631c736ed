package replication

import (
	"cmp"
	"slices"
	"time"
)

// progress is the leader's knowledge of another member or of the learner.
type progress struct {
	Member
	nextIndex  uint64 // index of the next entry to send
	matchIndex uint64 // the member's synced log equals the leader's log up to this index
	// Entries after inflightBase are in flight. inflightBase exceeds matchIndex when a retransmission or a snapshot skips some
	// entries.
	inflightBase      uint64
	readSeq           uint64 // the newest read sequence that the member has acknowledged
	lastResponseAt    time.Duration
	snapshotSentAt    time.Duration // when a snapshot was last sent in a single message
	nextRetryAt       time.Duration // rejections before this time cause no retransmission
	lastReceivedClock uint32        // newest clock received from the member
	lastContactAt     time.Duration // latest time at which the member is known to have followed this leader's term

	// responded reports whether the member has responded in this term. Before the first response, acceptsChunks is not known.
	responded     bool
	acceptsChunks bool
	transfer      blobTransfer
}

// blobTransfer sends the state of a snapshot or the data of an entry to a member in chunks. The zero value means that there is no
// transfer. A transfer continues until the member has all of the data, even if there is a newer snapshot: a transfer that restarted
// at each compaction might never end.
type blobTransfer struct {
	sender   BlobSender
	snapshot *Snapshot // without State, which is sent in chunks
	entry    *Entry    // without Data, which is sent in chunks; nil for a snapshot
	// previous is the entry after which the data is appended. For a snapshot, it is the last entry that the snapshot includes.
	previous logPosition
}

func (b *blobTransfer) isActive() bool { return b.sender.Blob != nil }

// newProgress returns the progress of a member that has not responded in this term.
func (r *Replica) newProgress(m Member) *progress {
	return &progress{
		Member:         m,
		nextIndex:      r.log.lastIndex() + 1,
		inflightBase:   r.log.lastIndex(),
		lastResponseAt: r.now,
		snapshotSentAt: -never,
		nextRetryAt:    -never,
		lastContactAt:  noContact,
	}
}

// trackMembers adds the missing progress for each member of the lists in effect, and removes the progress of all others except the
// learner.
func (r *Replica) trackMembers() {
	others := r.otherMembers()
	for _, m := range others {
		if r.peers[m.ID] == nil {
			r.peers[m.ID] = r.newProgress(m)
		}
		r.peers[m.ID].Member = m
	}
	for id := range r.peers {
		if id != r.learner && !slices.ContainsFunc(others, func(m Member) bool { return m.ID == id }) {
			delete(r.peers, id)
		}
	}
}

// sortedPeers returns all peers in the order of their IDs. The order of a map is random, but the same inputs must give the same
// outputs.
func (r *Replica) sortedPeers() []*progress {
	peers := make([]*progress, 0, len(r.peers))
	for _, peer := range r.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *progress) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// isRecentlyActive reports whether a member responded recently enough to count for the leader's quorum.
func (r *Replica) isRecentlyActive(peer *progress) bool {
	return r.now-peer.lastResponseAt <= r.config.QuorumTimeout
}

// inflightBytes returns the size of the entries that were sent to a member and are not acknowledged.
func (r *Replica) inflightBytes(peer *progress) int {
	return r.log.bytesBetween(max(peer.matchIndex, peer.inflightBase), peer.nextIndex-1)
}
