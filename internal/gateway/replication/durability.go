package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// What is on disk, what is being written, and the messages that must not be sent before a write is synced. Nothing here blocks:
// the replica goes on while the host writes.

// unsyncedWrite is a write that the host has been given: once it is synced the log up to lastIndex is on disk.
type unsyncedWrite struct{ seq, lastIndex uint64 }

// pendingReply is a message to be sent once a write is synced.
type pendingReply struct {
	writeSeq  uint64
	kind      MessageKind // MsgAppendAck; MsgVoteGranted; MsgRequestVote: a candidate's vote for itself
	term      uint64
	recipient MemberID
}

// requireWrite records that the disk lacks something: the entries from an index on if that is not 0, else only term, vote, commit
// index or snapshot.
func (r *Replica) requireWrite(from uint64) {
	r.writeNeeded = true
	if from > 0 && (r.unwrittenFromIndex == 0 || from < r.unwrittenFromIndex) {
		r.unwrittenFromIndex = from
	}
}

// takeWrite returns everything that the disk lacks.
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

// Synced reports that the write of this Seq and all before it are on disk.
func (r *Replica) ReportSynced(seq uint64) {
	invariant.Assert(seq < r.nextWriteSeq, "only writes that were handed out are synced")
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

// invalidateSynced records that the disk does not have this log beyond an index, also once writes that are under way are synced:
// they have entries that were removed since.
func (r *Replica) lowerSyncedIndex(index uint64) {
	r.syncedIndex = min(r.syncedIndex, index)
	for i := range r.unsyncedWrites {
		r.unsyncedWrites[i].lastIndex = min(r.unsyncedWrites[i].lastIndex, index)
	}
}

// replyAfterSync sends a reply once all that the replica now has is on disk: a vote or an acknowledgement that power takes back
// would let two leaders be elected, or lose a committed entry.
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

// sendPendingReply sends a reply, unless this member has gone on to a newer term meanwhile.
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
