package replication

import "clovergap/internal/invariant"

// What a member does with a leader's appends. Chunks of them are in snapshot.go.

// followLeader takes over what every message of a leader has. It returns false if the message is of an earlier term.
func (r *Replica) followLeader(from MemberID, m Message) bool {
	if m.Term < r.term && !r.hasMutation(acceptStaleTerm) {
		r.sendToID(from, Message{Kind: MsgStaleTerm, Term: r.term})
		return false
	}
	if m.Term > r.term || r.votedFor != from && !r.hasMutation(acceptStaleTerm) {
		r.enterTerm(m.Term, from)
	}
	invariant.Assert(r.role != roleLeader, "a term has one leader")
	r.role, r.leaderID, r.leaderContactAt = roleFollower, from, r.now
	r.sawLeader, r.failedElections = true, 0
	r.readSeq = max(r.readSeq, m.Seq)
	if r.leaderClock == 0 || int32(m.Clock-r.leaderClock) > 0 { // the difference, as clocks wrap
		r.leaderClock = m.Clock
	}
	return true
}

// onAppend appends a leader's entries, or installs its snapshot, and acknowledges what is on disk.
func (r *Replica) onAppend(from MemberID, m Message) {
	if !r.followLeader(from, m) {
		return
	}
	heartbeat := len(m.Entries) == 0 && m.Snapshot == nil
	if heartbeat {
		r.replicatedElsewhere = m.ReplicatedElsewhere
	}
	r.installSnapshotIfNewer(m.Snapshot)
	// What is committed is the same everywhere, so that nothing up to there need be compared.
	if m.Index > r.commitIndex && !r.hasPreviousEntry(m) {
		r.resetElectionDeadline()
		r.sendToID(from, Message{Kind: MsgAppendReject, Term: m.Term, Index: r.commitIndex, Seq: r.readSeq,
			Clock: r.clock.Timestamp(r.now), EchoedClock: r.leaderClock, AcceptsChunks: true})
		return
	}
	r.appendAfter(m.Index, m.Entries)
	r.resetElectionDeadline() // after appending: a new list decides whether this member may start elections
	r.matchIndex = max(r.matchIndex, m.Index+uint64(len(m.Entries)))
	r.commitTo(max(r.commitIndex, min(m.Commit, r.matchIndex)))
	r.receiveQuorumContact(m)
	if r.matchIndex <= r.syncedIndex || r.readSeq > r.ackedReadSeq || heartbeat {
		r.sendAck()
	}
	if r.matchIndex > r.syncedIndex {
		r.replyAfterSync(pendingReply{kind: MsgAppendAck, term: r.term, recipient: from})
	}
}

// matchesPrevious reports whether the entry before those of an append is in the log.
func (r *Replica) hasPreviousEntry(m Message) bool {
	term, known := r.log.termAt(m.Index)
	return known && (term == m.LogTerm || r.hasMutation(skipLogMatching))
}

// sendAck acknowledges to the leader what is on disk, and the read sequence, which needs no disk.
func (r *Replica) sendAck() {
	index := min(r.matchIndex, r.syncedIndex)
	if r.hasMutation(ackUnsynced) {
		index = r.matchIndex
	}
	r.ackedReadSeq = r.readSeq
	r.sendToID(r.leaderID, Message{Kind: MsgAppendAck, Term: r.term, Index: index, Seq: r.readSeq,
		Clock: r.clock.Timestamp(r.now), EchoedClock: r.leaderClock, AcceptsChunks: true})
}
