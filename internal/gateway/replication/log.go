package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// fault is a defect that tests put in, to see that the explorer finds it.
type fault uint8

const (
	sound        fault = iota
	ackUnsynced        // what is not on disk is acknowledged
	countWiped         // a member with an empty disk promises
	takeOld            // lines of an old view are taken
	forgetful          // promises are not put on disk
	noTruncate         // what the leader does not have stays
	countOld           // entries of old views are committed by counting
	oneMajority        // a change of members needs one majority only
	unreadRounds       // a read is answered without a round
	tellEarly          // a promise is told before it is on disk
	promiseTwo         // a view is promised to two
	fewPromises        // one promise fewer than a majority is enough
	notNewest          // the asker leads by its own log, though another's is newer
	unmatched          // lines are taken behind an entry of another view
	countLearner       // who is no member yet counts
	countLate          // what was confirmed to an older view counts in this one
	keepTokens         // a proposal whose end was told waits on
	readEarly          // a read is answered before an entry of the present view is committed
	mixChunks          // chunks of two blobs are put together
	skipChunks         // a chunk is taken though one before it is missing
	installPart        // a snapshot is installed before it is whole
	unpinned           // a newer snapshot takes the place of the one that is being sent

	contactByReceipt // a leader counts contact from when an answer came
	followByReceipt  // a follower counts it from when the word came
	contactEarly     // a leader tells it before an entry of its view is committed
	contactLeads     // a leader is in contact while it leads
	contactAhead     // a follower takes it though it lacks what the leader has committed
	addOnly          // a new member never takes the place of a lost one, and no lost one leaves
	admitEarly       // a learner becomes a member before it has the state
	hasty            // who restarts counts as lost at once
	shrinkFar        // lost members leave, however few stay
	keepDead         // a learner that is gone is waited for
	leaveEarly       // who leaves does not wait until the others have what it has
	lateLost         // a member is lost from when the host finds it so
	leaveFounding    // a disk that has promised a view leaves its founding for another

	dropMerged  // of two writes of a log that wait, the first is forgotten
	oneFounding // all logs of a disk bear one founding's name
	syncedAhead // a log's write counts as synced with another log's
	asksInTurn  // two that asked for one view both wait until they ask again, however slow the disks are
)

func (f fault) String() string {
	return [...]string{"none", "what is not on disk is acknowledged", "a wiped member counts", "an old view's lines are taken",
		"promises are not put on disk", "a trim is missed", "an old view's entry is delivered by counting",
		"one majority is enough for a change of members", "a read without a round", "a promise is told before it is on disk",
		"a view is promised to two", "one promise too few", "not the newest log leads", "lines behind an entry of another view",
		"a learner counts", "a late confirmation counts", "a proposal ends twice", "a read before the view's first entry",
		"chunks of two snapshots mixed", "a missing chunk is passed over", "a snapshot is installed before it is whole",
		"a newer snapshot in the place of the one under way", "contact by an answer's receipt", "contact by the word's receipt",
		"contact before the view's first entry", "contact while it leads", "contact ahead of the log",
		"nobody is replaced", "a learner counts before it has the state", "who restarts is replaced",
		"too few members stay", "a dead learner blocks the next", "a leaver does not wait", "lost from when it is found",
		"a founding is left after a promise",
		"a write that waits is forgotten", "all logs have one founding", "synced with another log's write",
		"two that ask for one view both wait"}[f]
}

func (r *Replica) lastIndex() uint64 { return r.snapshot.Index + uint64(len(r.log)) }

func (r *Replica) lastPosition() logPosition {
	v, _ := r.termAt(r.lastIndex())
	return logPosition{v, r.lastIndex()}
}

// termAt is the view of the entry at an index, if that is known.
func (r *Replica) termAt(index uint64) (uint64, bool) {
	switch {
	case index == r.snapshot.Index:
		return r.snapshot.View, true
	case index+1 < r.FirstIndex() || index > r.lastIndex():
		return 0, false
	case index+1 == r.FirstIndex():
		return r.trailingTerm, true
	case index < r.snapshot.Index:
		return r.trailing[index-r.FirstIndex()].View, true
	}
	return r.log[index-r.snapshot.Index-1].View, true
}

// entriesFrom is a copy of the log from an index on.
func (r *Replica) entriesFrom(index uint64) []Entry {
	if index > r.lastIndex() {
		return nil
	}
	if index <= r.snapshot.Index {
		return slices.Concat(r.trailing[index-r.FirstIndex():], r.log)
	}
	return slices.Clone(r.log[index-r.snapshot.Index-1:])
}

// put puts an entry behind the last.
func (r *Replica) appendEntry(e Entry) {
	invariant.That(e.Index == r.lastIndex()+1, "entries follow one another")
	r.log = append(r.log, e)
	if e.Kind == EntryConfigChange {
		r.memberConfigs = append(r.memberConfigs, memberConfig{e.Index, e.Members})
	}
}

// trim takes away all entries from an index on.
func (r *Replica) truncateFrom(from uint64) {
	invariant.That(from > r.commitIndex, "what was delivered stays")
	r.log = slices.Clone(r.log[:from-r.snapshot.Index-1])
	for r.memberConfigs[len(r.memberConfigs)-1].index >= from {
		r.memberConfigs = r.memberConfigs[:len(r.memberConfigs)-1]
	}
	r.invalidateSynced(from - 1)
	r.markUnwritten(from)
}

// invalidateSynced: what is on disk beyond an index is not the log any more.
func (r *Replica) invalidateSynced(upto uint64) {
	r.syncedIndex = min(r.syncedIndex, upto)
	for i := range r.unsyncedWrites {
		r.unsyncedWrites[i].lastIndex = min(r.unsyncedWrites[i].lastIndex, upto)
	}
}

// take makes the log that of a newer one, given the entries after an index that both have.
func (r *Replica) appendAfter(prev uint64, entries []Entry) {
	for i, e := range entries {
		invariant.That(e.Index == prev+1+uint64(i), "entries follow one another")
		if e.Index != prev+1+uint64(i) {
			return
		}
		if e.Index <= r.commitIndex {
			continue
		}
		if v, ok := r.termAt(e.Index); ok {
			if v == e.View || r.fault == noTruncate {
				continue
			}
			r.truncateFrom(e.Index)
		}
		r.markUnwritten(e.Index)
		for _, e := range entries[i:] {
			r.appendEntry(e)
		}
		return
	}
}

// installSnapshot puts a snapshot in the place of everything.
func (r *Replica) installSnapshot(s Snapshot) {
	r.snapshot, r.log, r.trailing = s, nil, nil
	r.memberConfigs = []memberConfig{{s.Index, s.Members}}
	r.commitIndex = s.Index
	r.invalidateSynced(0)
	r.unwrittenSnapshot = true
	r.markUnwritten(s.Index + 1)
	r.actions = append(r.actions, Restore{s.Index, s.State})
}

// needsSnapshot tells whether a snapshot is ahead of what is had here.
func (r *Replica) needsSnapshot(s *Snapshot) bool {
	if s == nil || s.Index <= r.commitIndex {
		return false
	}
	v, ok := r.termAt(s.Index)
	return !ok || v != s.View
}

// deliver hands over all up to an index.
func (r *Replica) commitTo(upto uint64) {
	invariant.That(upto <= r.lastIndex(), "only what is had is delivered")
	for r.commitIndex < min(upto, r.lastIndex()) {
		r.commitIndex++
		e := r.log[r.commitIndex-r.snapshot.Index-1]
		r.actions = append(r.actions, Commit{e})
		if token, ok := r.proposals[e.Index]; ok {
			delete(r.proposals, e.Index)
			r.finish(token, e.Index, OutcomeCommitted)
		}
		if e.Kind == EntryConfigChange {
			r.markUnwritten(0) // that the list is settled must outlast the one who knew
		}
	}
}

// membersCommitted: the newest list is known to be committed.
func (r *Replica) membersCommitted() bool {
	return r.memberConfigs[len(r.memberConfigs)-1].index <= r.commitIndex
}

// hasQuorum tells whether a majority of the members is so, and of those before if the newest list is not
// settled.
func (r *Replica) hasQuorum(is func(MemberID) bool) bool {
	if !hasMajority(r.Members(), is) {
		return false
	}
	return r.membersCommitted() || r.fault == oneMajority || hasMajority(r.memberConfigs[len(r.memberConfigs)-2].members, is)
}

func hasMajority(list []Member, is func(MemberID) bool) bool {
	n := 0
	for _, m := range list {
		if is(m.ID) {
			n++
		}
	}
	return n > len(list)/2
}

func (r *Replica) isMember(id MemberID) bool {
	return slices.ContainsFunc(r.Members(), func(m Member) bool { return m.ID == id })
}

// otherMembers are all who count, now or if the newest list should fall, but for this one.
func (r *Replica) otherMembers() (list []Member) {
	list = slices.Clone(r.Members())
	if !r.membersCommitted() {
		for _, m := range r.memberConfigs[len(r.memberConfigs)-2].members {
			if !r.isMember(m.ID) {
				list = append(list, m)
			}
		}
	}
	return slices.DeleteFunc(list, func(m Member) bool { return m.ID == r.self.ID })
}

// touch notes that the disk is behind, and its entries from an index on if that is not 0.
func (r *Replica) markUnwritten(from uint64) {
	r.unwritten = true
	if from > 0 && (r.unwrittenFrom == 0 || from < r.unwrittenFrom) {
		r.unwrittenFrom = from
	}
}

// takeWrite is all that the disk is behind.
func (r *Replica) takeWrite() Write {
	w := Write{Seq: r.nextWriteSeq, ClusterID: r.clusterID, Term: r.term, Vote: r.votedFor, Commit: r.commitIndex}
	if r.fault == forgetful {
		w.Term, w.Vote = 1, 0
	}
	if r.unwrittenFrom > 0 {
		w.FirstIndex = max(r.unwrittenFrom, r.snapshot.Index+1)
		w.Entries = r.entriesFrom(w.FirstIndex)
	}
	if r.unwrittenSnapshot {
		s := r.snapshot
		w.Snapshot = &s
	}
	r.unsyncedWrites = append(r.unsyncedWrites, unsyncedWrite{r.nextWriteSeq, r.lastIndex()})
	r.nextWriteSeq++
	r.unwritten, r.unwrittenFrom, r.unwrittenSnapshot = false, 0, false
	return w
}

// when says something once all of now is on disk.
func (r *Replica) replyAfterSync(w pendingReply) {
	w.writeSeq = r.nextWriteSeq
	if !r.unwritten {
		w.writeSeq--
	}
	if w.writeSeq <= r.syncedWriteSeq || r.fault == ackUnsynced && w.kind == MsgAppendAck ||
		r.fault == tellEarly && w.kind == MsgVoteGranted {
		r.sendPendingReply(w)
	} else if !slices.Contains(r.pendingReplies, w) {
		r.pendingReplies = append(r.pendingReplies, w)
	}
}

// sendPendingReply says what waited, unless a newer view was promised meanwhile.
func (r *Replica) sendPendingReply(w pendingReply) {
	if w.term != r.term {
		return
	}
	switch w.kind {
	case MsgAppendAck:
		if r.role == roleFollower && r.leaderID == w.recipient {
			r.sendAck()
		}
	case MsgVoteGranted:
		if r.votedFor == w.recipient {
			e := r.lastPosition()
			r.send(w.recipient, Message{Kind: MsgVoteGranted, View: r.term, Index: e.index, At: e.term})
		}
	case MsgRequestVote:
		if r.role == roleCandidate && r.votedFor == r.self.ID {
			r.votes[r.self.ID] = r.lastPosition()
			r.awaitVotes()
			r.tallyVotes()
		}
	}
}

// send sends a message to whom it may be known where to find.
func (r *Replica) send(to MemberID, m Message) {
	if w := r.peers[to]; w != nil {
		r.sendTo(w.Member, m)
		return
	}
	if to == r.self.ID {
		return
	}
	for i := len(r.memberConfigs) - 1; i >= 0; i-- {
		for _, o := range r.memberConfigs[i].members {
			if o.ID == to {
				r.sendTo(o, m)
				return
			}
		}
	}
	r.sendTo(Member{ID: to}, m) // the host may know its address
}

func (r *Replica) sendTo(to Member, m Message) {
	m.To = to.ID
	if m.House == 0 {
		m.House = r.clusterID
	}
	r.actions = append(r.actions, Send{to, m})
}
