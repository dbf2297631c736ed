package replication

import "clovergap/internal/invariant"

// This file handles the leader's append messages at a follower. Chunks of appends are handled in snapshot.go.

// followLeader processes the fields that all messages of a leader have. If the message has an earlier term than this member, followLeader
// rejects the message and returns false.
func (r *Replica) followLeader(from MemberID, m Message) bool {
	if m.Term < r.term && !r.hasMutation(acceptStaleTerm) {
		r.sendToID(from, Message{Kind: MsgStaleTerm, Term: r.term})
		return false
	}
	if m.Term > r.term || r.votedFor != from && !r.hasMutation(acceptStaleTerm) {
		r.enterTerm(m.Term, from)
	}
	invariant.Assert(r.role != roleLeader, "a term has at most one leader")
	r.role, r.leaderID, r.leaderContactAt = roleFollower, from, r.now
	r.sawLeader, r.failedElections = true, 0
	r.readSeq = max(r.readSeq, m.Seq)
	// Clocks wrap around, so only the sign of their difference shows which clock is newer.
	if r.leaderClock == 0 || int32(m.Clock-r.leaderClock) > 0 {
		r.leaderClock = m.Clock
	}
	return true
}

// onAppend appends the entries of the leader's message or installs the snapshot of the message. It then acknowledges the part of the
// log that is on disk.
func (r *Replica) onAppend(from MemberID, m Message) {
	if !r.followLeader(from, m) {
		return
	}
	heartbeat := len(m.Entries) == 0 && m.Snapshot == nil
	if heartbeat {
		r.replicatedElsewhere = m.ReplicatedElsewhere
	}
	r.installSnapshotIfNeeded(m.Snapshot)
	// Committed entries are the same on all members, so entries up to the commit index need no comparison.
	if m.Index > r.commitIndex && !r.hasPreviousEntry(m) {
		r.resetElectionDeadline()
		r.sendToID(from, Message{Kind: MsgAppendReject, Term: m.Term, Index: r.commitIndex, Seq: r.readSeq,
			Clock: r.clock.Timestamp(r.now), EchoedClock: r.leaderClock, AcceptsChunks: true})
		return
	}
	r.appendEntriesAfter(m.Index, m.Entries)
	r.resetElectionDeadline() // after appending, because a new member list determines whether this member may start elections
	r.matchIndex = max(r.matchIndex, m.Index+uint64(len(m.Entries)))
	r.commitUpTo(max(r.commitIndex, min(m.Commit, r.matchIndex)))
	r.receiveQuorumContact(m)
	if r.matchIndex <= r.syncedIndex || r.readSeq > r.ackedReadSeq || heartbeat {
		r.sendAck()
	}
	if r.matchIndex > r.syncedIndex {
		r.replyAfterSync(pendingReply{kind: MsgAppendAck, term: r.term, recipient: from})
	}
}

// hasPreviousEntry reports whether this member's log has the entry that directly precedes the entries of an append.
func (r *Replica) hasPreviousEntry(m Message) bool {
	term, known := r.log.termAt(m.Index)
	return known && (term == m.LogTerm || r.hasMutation(skipLogMatching))
}

// sendAck acknowledges to the leader the part of the log that is on disk and equal to the leader's log. It also acknowledges the newest
// read sequence, which needs no disk write.
func (r *Replica) sendAck() {
	index := min(r.matchIndex, r.syncedIndex)
	if r.hasMutation(ackUnsynced) {
		index = r.matchIndex
	}
	r.ackedReadSeq = r.readSeq
	r.sendToID(r.leaderID, Message{Kind: MsgAppendAck, Term: r.term, Index: index, Seq: r.readSeq,
		Clock: r.clock.Timestamp(r.now), EchoedClock: r.leaderClock, AcceptsChunks: true})
}
