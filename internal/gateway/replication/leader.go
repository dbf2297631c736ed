package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// becomeLeader begins the term with a no-op: nothing of earlier terms counts as committed before an entry of this one is.
func (r *Replica) becomeLeader() {
	r.role, r.leaderID = roleLeader, r.self.ID
	r.sawLeader, r.failedElections = true, 0
	r.peers = map[MemberID]*progress{}
	r.readSeq, r.reads, r.leadershipTransferDeadline, r.transferee, r.learner = 0, nil, 0, 0, 0
	r.trackMembers()
	r.termStartIndex = r.appendInCurrentTerm(Entry{Kind: EntryNoOp})
	r.nextHeartbeatAt = r.now + r.config.HeartbeatInterval
	r.maybeCommit()
}

// stepDown stops leading. Proposals that are pending may still be committed by another leader.
func (r *Replica) stepDown() {
	r.role, r.leaderID = roleFollower, 0
	r.leaderContactAt = r.now - r.config.ElectionTimeout // this member accepts a pre-vote at once
	r.resetElectionDeadline()
	r.peers, r.learner, r.leadershipTransferDeadline = nil, 0, 0
	r.matchIndex, r.readSeq, r.ackedReadSeq = 0, 0, 0
	r.failProposals()
	for _, read := range r.reads {
		r.finishRequest(read.token, 0, OutcomeNoLeader)
	}
	r.reads = nil
}

// failProposals ends all proposals, in the order of the log.
func (r *Replica) failProposals() {
	indexes := make([]uint64, 0, len(r.proposals))
	for index := range r.proposals {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	for _, index := range indexes {
		r.finishRequest(r.proposals[index], index, OutcomeUnknown)
	}
	if !r.hasMutation(keepFinishedProposals) {
		clear(r.proposals)
	}
}

// tickLeader steps down without a quorum, drops a dead learner, and sends heartbeats.
func (r *Replica) tickLeader() {
	isActive := func(id MemberID) bool {
		return id == r.self.ID || r.peers[id] != nil && r.isRecentlyActive(r.peers[id])
	}
	if !r.hasQuorum(isActive) {
		r.stepDown()
		return
	}
	if learner := r.peers[r.learner]; learner != nil && r.now-learner.lastResponseAt > r.config.LearnerTimeout && !r.hasMutation(keepDeadLearner) {
		r.dropLearner()
	}
	if r.now >= r.nextHeartbeatAt {
		r.startReadSeq()
		r.broadcastHeartbeat()
	}
	r.updateQuorumContact()
}

// appendToOwnTerm appends a new entry of this term, to be replicated before Next has nothing more.
func (r *Replica) appendInCurrentTerm(e Entry) uint64 {
	e.Index, e.Term = r.log.lastIndex()+1, r.term
	r.appendEntry(e)
	r.requireWrite(e.Index)
	if e.Kind == EntryConfigChange {
		r.trackMembers()
	}
	r.replicationPending = true
	return e.Index
}

// replicateAll sends every member what it lacks, and starts a read sequence if there are reads for one.
func (r *Replica) replicateAll() {
	if r.role != roleLeader {
		return
	}
	for _, peer := range r.sortedPeers() {
		r.replicateTo(peer)
	}
	if len(r.reads) > 0 && r.confirmedReadSeq() == r.readSeq && r.startReadSeq() {
		r.broadcastReadSeq()
	}
	r.maybeCommit() // the only member of a cluster gets no acknowledgement that would
}

// replicateTo sends a member what it lacks, as far as may be in flight.
func (r *Replica) replicateTo(peer *progress) {
	if outdated := peer.transfer.snapshot; r.hasMutation(abandonTransfer) && outdated != nil && outdated.Index < r.log.snapshot.Index {
		peer.transfer, peer.nextIndex = blobTransfer{}, 0
	}
	switch {
	case peer.transfer.isActive():
		r.sendChunks(peer)
	case peer.nextIndex < r.log.firstIndex():
		r.sendSnapshot(peer)
	case peer.nextIndex <= r.log.lastIndex():
		r.sendEntries(peer)
	}
}

func (r *Replica) sendEntries(peer *progress) {
	entries := r.log.entriesFrom(peer.nextIndex)
	if r.needsChunks(len(entries[0].Data)) && (peer.acceptsChunks || !peer.responded) {
		if peer.responded {
			r.startEntryTransfer(peer, entries[0])
		}
		return
	}
	entries = entries[:r.sendableEntryCount(peer, entries)]
	if len(entries) == 0 {
		return
	}
	previous := peer.nextIndex - 1
	term, _ := r.log.termAt(previous)
	peer.nextIndex += uint64(len(entries))
	r.sendAppend(peer, Message{Index: previous, LogTerm: term, Entries: entries})
}

// countToSend is how many of some entries go in the next message: up to those that exceed it, exceed what may be in flight, or go
// in chunks. The first one goes in any case if nothing is in flight.
func (r *Replica) sendableEntryCount(peer *progress, entries []Entry) int {
	inflight, size := r.inflightBytes(peer), 0
	for i := range entries {
		size += entries[i].Size()
		exceedsInflight := r.config.MaxInflightBytes > 0 && inflight > 0 && inflight+size > r.config.MaxInflightBytes
		exceedsMessage := i > 0 && size > r.config.MaxMessageBytes
		needsTransfer := i > 0 && peer.acceptsChunks && r.needsChunks(len(entries[i].Data))
		if exceedsInflight || exceedsMessage || needsTransfer {
			return i
		}
	}
	return len(entries)
}

// sendAppend sends a message of the leader with what all of them carry.
func (r *Replica) sendAppend(peer *progress, m Message) {
	if m.Kind == 0 {
		m.Kind = MsgAppend
	}
	m.Term, m.Commit, m.Seq = r.term, r.commitIndex, r.readSeq
	r.attachQuorumContact(peer, &m)
	r.sendToMember(peer.Member, m)
}

// broadcastHeartbeat sends all a heartbeat, with the commit index.
func (r *Replica) broadcastHeartbeat() {
	for _, peer := range r.sortedPeers() {
		r.sendHeartbeat(peer)
	}
	r.nextHeartbeatAt = r.now + r.config.HeartbeatInterval
}

// sendHeartbeat sends an append without entries. It names the entry that the member should have next to last: the answer shows
// whether something was lost.
func (r *Replica) sendHeartbeat(peer *progress) {
	previous := logPosition{index: peer.nextIndex - 1}
	var known bool
	previous.term, known = r.log.termAt(previous.index)
	if peer.transfer.isActive() {
		previous, known = peer.transfer.previous, true
	}
	if !known {
		previous = r.log.snapshot.lastPosition()
	}
	m := Message{Index: previous.index, LogTerm: previous.term}
	if r.isDraining(peer.ID) {
		m.ReplicatedElsewhere = r.indexReplicatedWithout(peer.ID)
	}
	r.sendAppend(peer, m)
	if peer.transfer.isActive() {
		r.sendChunks(peer) // those that were not acknowledged in time
	}
}

// onAppendResponse takes a member's acknowledgement or rejection.
func (r *Replica) onAppendResponse(from MemberID, m Message) {
	peer := r.peers[from]
	if r.role != roleLeader || m.Term != r.term && !r.hasMutation(countStaleAcks) || peer == nil {
		return
	}
	peer.lastResponseAt, peer.readSeq = r.now, max(peer.readSeq, m.Seq)
	r.recordMemberContact(peer, m)
	peer.responded, peer.acceptsChunks = true, m.AcceptsChunks
	switch m.Kind {
	case MsgChunkAck:
		peer.transfer.sender.HandleAck(m.Chunk, r.now)
		r.replicateTo(peer)
		r.finishConfirmedReads()
	case MsgAppendReject:
		r.onAppendReject(peer, m)
	default:
		r.onAppendAck(peer, m)
	}
}

// onAppendReject goes back to what the member has committed, which is the same everywhere.
func (r *Replica) onAppendReject(peer *progress, m Message) {
	if peer.transfer.isActive() && (peer.transfer.snapshot == nil || m.Index >= peer.transfer.sender.Blob.Index()) {
		peer.transfer = blobTransfer{}
	}
	switch {
	case peer.transfer.isActive(): // of the snapshot that it lacks
		r.replicateTo(peer)
	case r.now >= peer.nextRetryAt:
		// Appends that were under way are rejected too. They need no retransmission of their own.
		peer.nextRetryAt = r.now + r.config.HeartbeatInterval/2
		peer.inflightBase = max(m.Index, peer.matchIndex)
		peer.nextIndex = peer.inflightBase + 1
		r.replicateTo(peer)
	}
	r.finishConfirmedReads()
}

// onAppendAck takes over what a member has on disk, and goes on with what waited for it.
func (r *Replica) onAppendAck(peer *progress, m Message) {
	if peer.transfer.isActive() && m.Index >= peer.transfer.sender.Blob.Index() {
		peer.transfer = blobTransfer{}
	}
	invariant.Assert(m.Index <= r.log.lastIndex(), "no member matches more than the leader has")
	progressed := m.Index > peer.matchIndex
	peer.matchIndex = max(peer.matchIndex, m.Index)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	r.maybeCommit()
	if r.role != roleLeader || r.peers[peer.ID] == nil { // a list without it, or without this leader, was committed
		return
	}
	if peer.ID == r.learner {
		if progressed {
			r.learnerProgressAt = r.now
		}
		r.promoteLearner()
	}
	if r.peers[peer.ID] != nil && peer.nextIndex <= r.log.lastIndex() {
		r.replicateTo(peer)
	}
	r.maybeTransferLeadership()
}

// maybeCommit commits what a majority has on disk. A committed list can make more of it.
func (r *Replica) maybeCommit() {
	for r.role == roleLeader {
		index := r.committableIndex()
		if index <= r.commitIndex {
			break
		}
		joint := !r.isLatestConfigCommitted()
		r.commitTo(index)
		r.nextHeartbeatAt = min(r.nextHeartbeatAt, r.now+r.config.CommitNotifyDelay)
		if joint && r.isLatestConfigCommitted() {
			r.exitJointConfiguration()
		}
	}
	r.finishConfirmedReads()
}

// committableIndex is up to which index a majority has the log on disk, if the entry there is of this term. One of an earlier term
// is committed only with one of this term behind it: a later leader may not know it, though a majority has it (Raft, 5.4.2).
func (r *Replica) committableIndex() uint64 {
	for index := r.log.lastIndex(); index > r.commitIndex; index-- {
		if term, _ := r.log.termAt(index); term != r.term && !r.hasMutation(commitEarlierTerms) {
			break
		}
		if r.hasQuorum(func(id MemberID) bool { return r.hasMemberSynced(id, index) }) {
			return index
		}
	}
	return r.commitIndex
}

// memberSynced reports whether a member is known to have the log up to an index on disk.
func (r *Replica) hasMemberSynced(id MemberID, index uint64) bool {
	if id == r.self.ID {
		return r.syncedIndex >= index || r.hasMutation(ackUnsynced)
	}
	if r.hasMutation(countLearner) && r.learner != 0 && id == r.otherMembers()[0].ID {
		id = r.learner
	}
	return r.peers[id] != nil && r.peers[id].matchIndex >= index
}

// exitJointConfiguration goes on with only the new list. Members that are not on it learn so by one more commit index.
func (r *Replica) exitJointConfiguration() {
	r.broadcastHeartbeat()
	r.trackMembers()
	if !r.isMember(r.self.ID) {
		r.stepDown()
	}
}
