package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// This file tracks what is on disk, which writes are pending, and which messages must not be sent before a write is synced.
// Nothing in it blocks: the replica continues while the host writes.

// unsyncedWrite is a write that was passed to the host. Once it is synced, the log up to lastIndex is on disk.
type unsyncedWrite struct{ seq, lastIndex uint64 }

// pendingReply is a message that must be sent only after a write is synced.
type pendingReply struct {
	writeSeq uint64
	// kind is MsgAppendAck, MsgVoteGranted or MsgRequestVote. With MsgRequestVote, the write contains a candidate's own vote, and
	// the vote requests to the other members are sent once the vote is synced.
	kind      MessageKind
	term      uint64
	recipient MemberID
}

// requireWriteFrom records that the replica's state must be written to disk: the term, vote, commit index and snapshot. If firstIndex is
// above 0, the entries from this log index on must be written too.
func (r *Replica) requireWriteFrom(firstIndex uint64) {
	r.writeNeeded = true
	if firstIndex > 0 && (r.unwrittenFromIndex == 0 || firstIndex < r.unwrittenFromIndex) {
		r.unwrittenFromIndex = firstIndex
	}
}

// takeWrite returns a write with everything that is not yet on disk.
func (r *Replica) takeWrite() Write {
	w := Write{Seq: r.nextWriteSeq, ClusterID: r.clusterID, Term: r.term, Vote: r.votedFor, Commit: r.commitIndex}
	if r.hasMutation(forgetVotes) {
		w.Term, w.Vote = 1, 0
	}
	if r.unwrittenFromIndex > 0 {
		w.FirstIndex = max(r.unwrittenFromIndex, r.log.snapshot.Index+1)
		w.Entries = r.log.entriesFrom(w.FirstIndex)
	}
	if r.unwrittenSnapshot {
		snapshot := r.log.snapshot
		w.Snapshot = &snapshot
	}
	r.unsyncedWrites = append(r.unsyncedWrites, unsyncedWrite{r.nextWriteSeq, r.log.lastIndex()})
	r.nextWriteSeq++
	r.writeNeeded, r.unwrittenFromIndex, r.unwrittenSnapshot = false, 0, false
	return w
}

// ReportSynced reports that the write with this sequence number and all earlier writes are on disk.
func (r *Replica) ReportSynced(seq uint64) {
	invariant.Assert(seq < r.nextWriteSeq, "only writes returned by Next are reported as synced")
	r.syncedWriteSeq = max(r.syncedWriteSeq, seq)
	for len(r.unsyncedWrites) > 0 && r.unsyncedWrites[0].seq <= seq {
		r.syncedIndex = max(r.syncedIndex, r.unsyncedWrites[0].lastIndex)
		r.bootstrapSynced = r.bootstrapSynced || r.clusterID != 0 && r.syncedIndex > 0
		r.unsyncedWrites = r.unsyncedWrites[1:]
	}
	readyCount := 0
	for ; readyCount < len(r.pendingReplies) && r.pendingReplies[readyCount].writeSeq <= r.syncedWriteSeq; readyCount++ {
		r.sendPendingReply(r.pendingReplies[readyCount])
	}
	r.pendingReplies = r.pendingReplies[readyCount:]
	if r.role == roleLeader {
		r.maybeCommit()
	}
}

// lowerSyncedIndex records that the disk does not have the current log beyond an index. It also lowers the last index of each write that
// is not synced yet, because such a write contains entries that were removed from the log after the write was passed to the host.
func (r *Replica) lowerSyncedIndex(index uint64) {
	r.syncedIndex = min(r.syncedIndex, index)
	for i := range r.unsyncedWrites {
		r.unsyncedWrites[i].lastIndex = min(r.unsyncedWrites[i].lastIndex, index)
	}
}

// replyAfterSync sends a reply once the present state of the replica is on disk. A reply that is sent earlier has two dangers. If a power
// loss erases a vote, two leaders can be elected in one term. If a power loss erases an acknowledged entry, a committed entry can be lost.
func (r *Replica) replyAfterSync(reply pendingReply) {
	reply.writeSeq = r.nextWriteSeq
	if !r.writeNeeded {
		reply.writeSeq--
	}
	switch {
	case reply.writeSeq <= r.syncedWriteSeq,
		r.hasMutation(ackUnsynced) && reply.kind == MsgAppendAck,
		r.hasMutation(voteBeforeSync) && reply.kind == MsgVoteGranted:
		r.sendPendingReply(reply)
	case !slices.Contains(r.pendingReplies, reply):
		r.pendingReplies = append(r.pendingReplies, reply)
	}
}

// sendPendingReply sends a reply. It does nothing if this member has moved to a newer term since the reply became pending.
func (r *Replica) sendPendingReply(reply pendingReply) {
	if reply.term != r.term {
		return
	}
	switch reply.kind {
	case MsgAppendAck:
		if r.role == roleFollower && r.leaderID == reply.recipient {
			r.sendAck()
		}
	case MsgVoteGranted:
		if r.votedFor == reply.recipient {
			last := r.log.lastPosition()
			r.sendToID(reply.recipient, Message{Kind: MsgVoteGranted, Term: r.term, Index: last.index, LogTerm: last.term})
		}
	case MsgRequestVote:
		if r.role == roleCandidate && r.votedFor == r.self.ID {
			r.votes[r.self.ID] = r.log.lastPosition()
			r.extendElectionDeadline()
			r.tallyVotes()
		}
	}
}
