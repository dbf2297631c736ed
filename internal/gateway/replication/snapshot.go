package replication

import "slices"

// This file sends snapshots and large entries to members and receives them. Data that exceeds Config.MaxInflightBytes is sent in
// chunks if the receiver's software version supports chunks.

const (
	// snapshotRetransmitFactor times Config.RetransmitTimeout is the time after which a snapshot in a single message is sent again.
	snapshotRetransmitFactor = 3

	// maxOutdatedBlobs is the maximum number of older snapshots that stay in memory for transfers in progress.
	maxOutdatedBlobs = 2
)

// needsChunks reports whether data of this size must be sent in chunks.
func (r *Replica) needsChunks(bytes int) bool {
	return r.config.MaxInflightBytes > 0 && bytes > r.config.MaxInflightBytes
}

// latestSnapshotBlob returns the blob of the latest snapshot's state. It creates the blob only once for each snapshot.
func (r *Replica) latestSnapshotBlob() *Blob {
	latest := r.log.snapshot
	if b := r.snapshotBlob; b == nil || b.id.index != latest.Index || b.id.term != latest.Term {
		r.snapshotBlob = NewBlob(latest.Index, latest.Term, latest.State)
	}
	return r.snapshotBlob
}

// BlobToSend returns the snapshot for a receiver that lacks the entries from nextIndex on. inTransfer contains the blobs that are
// being sent to other receivers. If one of these blobs is new enough for the receiver, and the log still has the entries after the
// blob, BlobToSend returns that blob. If none is suitable, it returns the latest snapshot. If maxOutdatedBlobs older blobs are already
// in transfer, it returns nil, and the caller must try again later.
func (r *Replica) BlobToSend(nextIndex uint64, inTransfer []*Blob) *Blob {
	outdated := 0
	for i, b := range inTransfer {
		if b.Index() >= nextIndex && b.Index()+1 >= r.log.firstIndex() {
			return b
		}
		if b.Index() != r.log.snapshot.Index && !slices.Contains(inTransfer[:i], b) {
			outdated++
		}
	}
	if outdated >= maxOutdatedBlobs {
		return nil
	}
	return r.latestSnapshotBlob()
}

// sendSnapshot sends the snapshot to a member that responded recently. It uses a single message if the snapshot is small or the member
// does not support chunks. It sends nothing while the leader does not know whether the member supports chunks.
func (r *Replica) sendSnapshot(peer *progress) {
	if !r.isRecentlyActive(peer) {
		return
	}
	if !r.needsChunks(len(r.log.snapshot.State)) || peer.responded && !peer.acceptsChunks {
		r.sendSnapshotInOneMessage(peer)
		return
	}
	if !peer.responded {
		return
	}
	if blob := r.BlobToSend(peer.nextIndex, r.snapshotsInTransfer(peer)); blob != nil {
		r.startSnapshotTransfer(peer, blob)
	}
}

func (r *Replica) sendSnapshotInOneMessage(peer *progress) {
	if r.now-snapshotRetransmitFactor*r.config.RetransmitTimeout < peer.snapshotSentAt {
		return
	}
	snapshot := r.log.snapshot
	peer.snapshotSentAt = r.now
	peer.nextIndex, peer.inflightBase = snapshot.Index+1, snapshot.Index
	r.sendAppend(peer, Message{Index: snapshot.Index, LogTerm: snapshot.Term, Snapshot: &snapshot})
}

// snapshotsInTransfer returns the snapshots that are being sent to members other than `except`.
func (r *Replica) snapshotsInTransfer(except *progress) (blobs []*Blob) {
	for _, peer := range r.sortedPeers() {
		if peer != except && peer.transfer.isActive() && peer.transfer.snapshot != nil {
			blobs = append(blobs, peer.transfer.sender.Blob)
		}
	}
	return blobs
}

func (r *Replica) startSnapshotTransfer(peer *progress, blob *Blob) {
	snapshot := r.log.snapshot
	for _, other := range r.sortedPeers() {
		if other.transfer.sender.Blob == blob {
			snapshot = *other.transfer.snapshot
		}
	}
	snapshot.State = nil
	peer.transfer = blobTransfer{sender: BlobSender{Blob: blob}, snapshot: &snapshot, previous: snapshot.lastPosition()}
	peer.nextIndex, peer.inflightBase = snapshot.Index+1, snapshot.Index
	r.sendChunks(peer)
}

func (r *Replica) startEntryTransfer(peer *progress, e Entry) {
	previous := logPosition{index: e.Index - 1}
	previous.term, _ = r.log.termAt(previous.index)
	peer.transfer = blobTransfer{sender: BlobSender{Blob: NewBlob(e.Index, e.Term, e.Data)}, entry: &e, previous: previous}
	r.sendChunks(peer)
}

// sendChunks sends as many chunks of a transfer as may be in flight.
func (r *Replica) sendChunks(peer *progress) {
	if !r.isRecentlyActive(peer) {
		return
	}
	t := &peer.transfer
	if t.snapshot == nil && t.sender.ackedBytes == 0 && peer.nextIndex < r.log.firstIndex() {
		// The entry was compacted, and the member has acknowledged none of its bytes. The snapshot includes the entry.
		peer.transfer = blobTransfer{}
		r.sendSnapshot(peer)
		return
	}
	for c := t.sender.NextChunk(&r.config, r.now); c != nil; c = t.sender.NextChunk(&r.config, r.now) {
		m := Message{Kind: MsgAppendChunk, Index: t.previous.index, LogTerm: t.previous.term, Snapshot: t.snapshot, Chunk: c}
		if t.snapshot == nil {
			withoutData := *t.entry
			withoutData.Data = nil
			m.Entries = []Entry{withoutData}
		}
		r.sendAppend(peer, m)
	}
}

// onChunk handles a chunk of a leader's append. The last chunk has the same effect as an append in a single message.
func (r *Replica) onChunk(from MemberID, m Message) {
	joining := r.clusterID == 0 || m.ClusterID != r.clusterID && r.hasOnlyBootstrap()
	if m.Chunk == nil || m.Snapshot == nil && len(m.Entries) != 1 || !joining && !r.followLeader(from, m) {
		return
	}
	chunk := m.Chunk
	m.Kind, m.Chunk = MsgAppend, nil
	switch {
	case joining && m.Snapshot == nil:
		r.joinCluster(from, m) // requests the snapshot
		return
	case !joining && !r.wantsChunk(&m, chunk):
		m.Snapshot, m.Entries = nil, nil
		r.onAppend(from, m) // acknowledges, or rejects if a preceding entry is missing
		return
	}
	r.incoming.knobs = r.config.TestingKnobs
	complete, ack := r.incoming.Receive(chunk)
	if complete == nil {
		r.ackChunk(from, m, ack, joining)
		return
	}
	m.attachChunkedData(complete)
	if joining {
		r.joinCluster(from, m)
		return
	}
	r.onAppend(from, m)
}

// wantsChunk reports whether a chunk is part of data that this member lacks and could append now. If the member already has the
// entry, wantsChunk sets Index and LogTerm of the message to that entry, so that the acknowledgement includes the entry.
func (r *Replica) wantsChunk(m *Message, c *Chunk) bool {
	if m.Snapshot != nil {
		return r.needsSnapshot(m.Snapshot)
	}
	if r.log.hasEntry(c.Index, c.View) {
		m.Index, m.LogTerm = c.Index, c.View
		return false
	}
	previousMissing := m.Index > r.commitIndex && !r.log.hasEntry(m.Index, m.LogTerm)
	return c.Index > r.commitIndex && !previousMissing
}

// ackChunk sends the leader the acknowledgement of the bytes of a blob that this member has received so far. `joining` means that this
// member does not belong to the leader's cluster yet.
func (r *Replica) ackChunk(from MemberID, m Message, ack *Chunk, joining bool) {
	if !joining {
		r.resetElectionDeadline()
		r.ackedReadSeq = r.readSeq
	}
	if ack == nil {
		return
	}
	r.sendToID(from, Message{Kind: MsgChunkAck, ClusterID: m.ClusterID, Term: m.Term, Seq: m.Seq, Chunk: ack, AcceptsChunks: true,
		Clock: r.clock.Timestamp(r.now), EchoedClock: r.leaderClock})
}

// attachChunkedData puts the data that was received in chunks into the message, as the state of its snapshot or the data of its entry.
func (m *Message) attachChunkedData(data []byte) {
	if m.Snapshot != nil {
		snapshot := *m.Snapshot
		snapshot.State = data
		m.Snapshot = &snapshot
		return
	}
	e := m.Entries[0]
	e.Data = data
	m.Entries = []Entry{e}
}

// needsSnapshot reports whether this member needs a snapshot: its index is above the commit index, and this member's log does not
// contain the last entry that the snapshot includes.
func (r *Replica) needsSnapshot(s *Snapshot) bool {
	return s != nil && s.Index > r.commitIndex && !r.log.hasEntry(s.Index, s.Term)
}

// installSnapshotIfNeeded replaces the log and the host's state by a snapshot, if this member needs the snapshot. It does nothing if the
// snapshot is nil.
func (r *Replica) installSnapshotIfNeeded(s *Snapshot) {
	if !r.needsSnapshot(s) {
		return
	}
	r.log = entryLog{snapshot: *s}
	r.memberConfigs = []memberConfig{{s.Index, s.Members}}
	r.commitIndex = s.Index
	r.lowerSyncedIndex(0)
	r.unwrittenSnapshot = true
	r.requireWriteFrom(s.Index + 1)
	r.actions = append(r.actions, Restore{s.Index, s.State})
}
