package replication

import (
	"cmp"
	"slices"
	"time"
)

// progress is what a leader knows of another member or of the learner.
type progress struct {
	Member
	nextIndex         uint64 // of the next entry to send
	matchIndex        uint64 // its synced log is as the leader's up to here
	inflightBase      uint64 // entries after it are in flight; raised above matchIndex when a retransmission or snapshot skips some
	readSeq           uint64 // the newest acknowledged
	lastResponseAt    time.Duration
	snapshotSentAt    time.Duration // in one message
	nextRetryAt       time.Duration // rejections before it are not answered again
	lastReceivedClock uint32        // the newest received from it
	lastContactAt     time.Duration // it followed this term then

	responded     bool // in this term; until then it is not known whether it accepts chunks
	acceptsChunks bool
	transfer      blobTransfer
}

// transfer is a snapshot's state or an entry's data on its way to a member in chunks. The zero value is none. It is kept until the
// member has all of it, also if there is a newer snapshot: one that started over at each compaction might never end.
type blobTransfer struct {
	sender   BlobSender
	snapshot *Snapshot   // without State, which is what is sent
	entry    *Entry      // or without Data, which is what is sent
	previous logPosition // that the member must have before it takes what is sent
}

func (t *blobTransfer) isActive() bool { return t.sender.Blob != nil }

// newProgress is that of a member of which nothing is known in this term.
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

// trackMembers has a progress for each member of a list in effect and for the learner, and for no other.
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

// sortedPeers are all by ID: the same inputs must give the same outputs, and a map has no order.
func (r *Replica) sortedPeers() []*progress {
	peers := make([]*progress, 0, len(r.peers))
	for _, peer := range r.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *progress) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// recentlyActive reports whether a member counts for the leader's quorum.
func (r *Replica) isRecentlyActive(peer *progress) bool {
	return r.now-peer.lastResponseAt <= r.config.QuorumTimeout
}

// inflightBytes is the size of the entries that a member was sent and has not acknowledged.
func (r *Replica) inflightBytes(peer *progress) int {
	return r.log.bytesBetween(max(peer.matchIndex, peer.inflightBase), peer.nextIndex-1)
}
