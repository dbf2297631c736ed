package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// becomeLeader starts the term with a no-op entry. Entries of earlier terms are not counted as committed before an entry of this
// term is committed.
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

// stepDown ends the leadership. Another leader may still commit the pending proposals.
func (r *Replica) stepDown() {
	r.role, r.leaderID = roleFollower, 0
	r.leaderContactAt = r.now - r.config.ElectionTimeout // accept a pre-vote at once
	r.resetElectionDeadline()
	r.peers, r.learner, r.leadershipTransferDeadline = nil, 0, 0
	r.matchIndex, r.readSeq, r.ackedReadSeq = 0, 0, 0
	r.failProposals()
	for _, read := range r.reads {
		r.finishRequest(read.token, 0, OutcomeNoLeader)
	}
	r.reads = nil
}

// failProposals ends all pending proposals with OutcomeUnknown, in the order of the log.
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

// tickLeader steps down if the quorum is lost, drops a learner that does not respond, and sends heartbeats.
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

// appendInCurrentTerm appends a new entry in the current term and returns its index. The entry is sent to the other members before
// Next returns false.
func (r *Replica) appendInCurrentTerm(e Entry) uint64 {
	e.Index, e.Term = r.log.lastIndex()+1, r.term
	r.appendEntry(e)
	r.requireWriteFrom(e.Index)
	if e.Kind == EntryConfigChange {
		r.trackMembers()
	}
	r.replicationPending = true
	return e.Index
}

// replicateAll sends each member the entries that it lacks. If reads are waiting for the next read sequence (see read.go) and the current
// one is confirmed, it starts the next one.
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
	r.maybeCommit() // needed in a cluster with a single member, because no acknowledgement arrives that would trigger the commit
}

// replicateTo sends a member the entries or the snapshot that the member lacks, up to Config.MaxInflightBytes in flight.
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

// sendableEntryCount returns how many of the entries fit into the next message. The message ends before the entry that would exceed
// the message size or the limit for data in flight, or that must be sent in chunks. If nothing is in flight, the first entry is
// always sent.
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

// sendAppend sets the fields that all messages of a leader have, and sends the message to a member. The default kind is MsgAppend.
func (r *Replica) sendAppend(peer *progress, m Message) {
	if m.Kind == 0 {
		m.Kind = MsgAppend
	}
	m.Term, m.Commit, m.Seq = r.term, r.commitIndex, r.readSeq
	r.attachQuorumContact(peer, &m)
	r.sendToMember(peer.Member, m)
}

// broadcastHeartbeat sends a heartbeat with the commit index to all members and the learner.
func (r *Replica) broadcastHeartbeat() {
	for _, peer := range r.sortedPeers() {
		r.sendHeartbeat(peer)
	}
	r.nextHeartbeatAt = r.now + r.config.HeartbeatInterval
}

// sendHeartbeat sends an append without entries. Its Index and LogTerm name the last entry that was sent to the member. If the
// member lacks that entry because a message was lost, the member rejects the heartbeat. The leader then sends the entries again.
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
		r.sendChunks(peer) // sends unacknowledged chunks again after the timeout
	}
}

// onAppendResponse handles a member's acknowledgement or rejection.
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

// onAppendReject continues replication from the member's commit index, because committed entries are the same on all members.
func (r *Replica) onAppendReject(peer *progress, m Message) {
	if peer.transfer.isActive() && (peer.transfer.snapshot == nil || m.Index >= peer.transfer.sender.Blob.Index()) {
		peer.transfer = blobTransfer{}
	}
	switch {
	case peer.transfer.isActive(): // the snapshot contains the missing entries
		r.replicateTo(peer)
	case r.now >= peer.nextRetryAt:
		// Appends that were in flight are rejected too. These rejections must not cause further retransmissions.
		peer.nextRetryAt = r.now + r.config.HeartbeatInterval/2
		peer.inflightBase = max(m.Index, peer.matchIndex)
		peer.nextIndex = peer.inflightBase + 1
		r.replicateTo(peer)
	}
	r.finishConfirmedReads()
}

// onAppendAck records up to which index a member has the log on disk. Then it commits entries, promotes the learner, sends more entries
// or transfers the leadership, if the acknowledgement permits this.
func (r *Replica) onAppendAck(peer *progress, m Message) {
	if peer.transfer.isActive() && m.Index >= peer.transfer.sender.Blob.Index() {
		peer.transfer = blobTransfer{}
	}
	invariant.Assert(m.Index <= r.log.lastIndex(), "a member acknowledges no index beyond the leader's log")
	progressed := m.Index > peer.matchIndex
	peer.matchIndex = max(peer.matchIndex, m.Index)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	r.maybeCommit()
	if r.role != roleLeader || r.peers[peer.ID] == nil { // a committed member list removed the member or this leader
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

// maybeCommit commits the entries that a majority has on disk. It does so in a loop: a committed member list ends a joint configuration,
// and the majority of the new list alone may have more entries on disk.
func (r *Replica) maybeCommit() {
	for r.role == roleLeader {
		index := r.committableIndex()
		if index <= r.commitIndex {
			break
		}
		joint := !r.isLatestConfigCommitted()
		r.commitUpTo(index)
		r.nextHeartbeatAt = min(r.nextHeartbeatAt, r.now+r.config.CommitNotifyDelay)
		if joint && r.isLatestConfigCommitted() {
			r.exitJointConfiguration()
		}
	}
	r.finishConfirmedReads()
}

// committableIndex returns the highest index up to which a majority has the log on disk, provided that its entry is of the current
// term. An entry of an earlier term is committed only together with a later entry of the current term: even if a majority has the
// older entry, a later leader may lack it (Raft, section 5.4.2).
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

// hasMemberSynced reports whether a member is known to have the log up to an index on disk.
func (r *Replica) hasMemberSynced(id MemberID, index uint64) bool {
	if id == r.self.ID {
		return r.syncedIndex >= index || r.hasMutation(ackUnsynced)
	}
	if r.hasMutation(countLearner) && r.learner != 0 && id == r.otherMembers()[0].ID {
		id = r.learner
	}
	return r.peers[id] != nil && r.peers[id].matchIndex >= index
}

// exitJointConfiguration is called once the new member list is committed. It sends the commit index once more to all members, so that
// the removed members learn of their removal. After that, only the members on the new list are tracked.
func (r *Replica) exitJointConfiguration() {
	r.broadcastHeartbeat()
	r.trackMembers()
	if !r.isMember(r.self.ID) {
		r.stepDown()
	}
}
