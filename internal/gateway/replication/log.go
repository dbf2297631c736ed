package replication

import (
	"slices"

	"clovergap/internal/proxy/invariant"
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

func (p *Replica) lastIndex() uint64 { return p.snapshot.Index + uint64(len(p.log)) }

func (p *Replica) lastPosition() logPosition {
	v, _ := p.termAt(p.lastIndex())
	return logPosition{v, p.lastIndex()}
}

// termAt is the view of the entry at an index, if that is known.
func (p *Replica) termAt(index uint64) (uint64, bool) {
	switch {
	case index == p.snapshot.Index:
		return p.snapshot.View, true
	case index+1 < p.FirstIndex() || index > p.lastIndex():
		return 0, false
	case index+1 == p.FirstIndex():
		return p.trailingTerm, true
	case index < p.snapshot.Index:
		return p.trailing[index-p.FirstIndex()].View, true
	}
	return p.log[index-p.snapshot.Index-1].View, true
}

// entriesFrom is a copy of the log from an index on.
func (p *Replica) entriesFrom(index uint64) []Entry {
	if index > p.lastIndex() {
		return nil
	}
	if index <= p.snapshot.Index {
		return slices.Concat(p.trailing[index-p.FirstIndex():], p.log)
	}
	return slices.Clone(p.log[index-p.snapshot.Index-1:])
}

// put puts an entry behind the last.
func (p *Replica) appendEntry(e Entry) {
	invariant.That(e.Index == p.lastIndex()+1, "entries follow one another")
	p.log = append(p.log, e)
	if e.Kind == EntryConfigChange {
		p.memberConfigs = append(p.memberConfigs, memberConfig{e.Index, e.Members})
	}
}

// trim takes away all entries from an index on.
func (p *Replica) truncateFrom(from uint64) {
	invariant.That(from > p.commitIndex, "what was delivered stays")
	p.log = slices.Clone(p.log[:from-p.snapshot.Index-1])
	for p.memberConfigs[len(p.memberConfigs)-1].index >= from {
		p.memberConfigs = p.memberConfigs[:len(p.memberConfigs)-1]
	}
	p.invalidateSynced(from - 1)
	p.markUnwritten(from)
}

// invalidateSynced: what is on disk beyond an index is not the log any more.
func (p *Replica) invalidateSynced(upto uint64) {
	p.syncedIndex = min(p.syncedIndex, upto)
	for i := range p.unsyncedWrites {
		p.unsyncedWrites[i].lastIndex = min(p.unsyncedWrites[i].lastIndex, upto)
	}
}

// take makes the log that of a newer one, given the entries after an index that both have.
func (p *Replica) appendAfter(prev uint64, entries []Entry) {
	for i, e := range entries {
		invariant.That(e.Index == prev+1+uint64(i), "entries follow one another")
		if e.Index != prev+1+uint64(i) {
			return
		}
		if e.Index <= p.commitIndex {
			continue
		}
		if v, ok := p.termAt(e.Index); ok {
			if v == e.View || p.fault == noTruncate {
				continue
			}
			p.truncateFrom(e.Index)
		}
		p.markUnwritten(e.Index)
		for _, e := range entries[i:] {
			p.appendEntry(e)
		}
		return
	}
}

// installSnapshot puts a snapshot in the place of everything.
func (p *Replica) installSnapshot(s Snapshot) {
	p.snapshot, p.log, p.trailing = s, nil, nil
	p.memberConfigs = []memberConfig{{s.Index, s.Members}}
	p.commitIndex = s.Index
	p.invalidateSynced(0)
	p.unwrittenSnapshot = true
	p.markUnwritten(s.Index + 1)
	p.actions = append(p.actions, Restore{s.Index, s.State})
}

// needsSnapshot tells whether a snapshot is ahead of what is had here.
func (p *Replica) needsSnapshot(s *Snapshot) bool {
	if s == nil || s.Index <= p.commitIndex {
		return false
	}
	v, ok := p.termAt(s.Index)
	return !ok || v != s.View
}

// deliver hands over all up to an index.
func (p *Replica) commitTo(upto uint64) {
	invariant.That(upto <= p.lastIndex(), "only what is had is delivered")
	for p.commitIndex < min(upto, p.lastIndex()) {
		p.commitIndex++
		e := p.log[p.commitIndex-p.snapshot.Index-1]
		p.actions = append(p.actions, Commit{e})
		if token, ok := p.proposals[e.Index]; ok {
			delete(p.proposals, e.Index)
			p.finish(token, e.Index, OutcomeCommitted)
		}
		if e.Kind == EntryConfigChange {
			p.markUnwritten(0) // that the list is settled must outlast the one who knew
		}
	}
}

// membersCommitted: the newest list is known to be committed.
func (p *Replica) membersCommitted() bool {
	return p.memberConfigs[len(p.memberConfigs)-1].index <= p.commitIndex
}

// hasQuorum tells whether a majority of the members is so, and of those before if the newest list is not
// settled.
func (p *Replica) hasQuorum(is func(MemberID) bool) bool {
	if !hasMajority(p.Members(), is) {
		return false
	}
	return p.membersCommitted() || p.fault == oneMajority || hasMajority(p.memberConfigs[len(p.memberConfigs)-2].members, is)
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

func (p *Replica) isMember(id MemberID) bool {
	return slices.ContainsFunc(p.Members(), func(m Member) bool { return m.ID == id })
}

// otherMembers are all who count, now or if the newest list should fall, but for this one.
func (p *Replica) otherMembers() (list []Member) {
	list = slices.Clone(p.Members())
	if !p.membersCommitted() {
		for _, m := range p.memberConfigs[len(p.memberConfigs)-2].members {
			if !p.isMember(m.ID) {
				list = append(list, m)
			}
		}
	}
	return slices.DeleteFunc(list, func(m Member) bool { return m.ID == p.self.ID })
}

// touch notes that the disk is behind, and its entries from an index on if that is not 0.
func (p *Replica) markUnwritten(from uint64) {
	p.unwritten = true
	if from > 0 && (p.unwrittenFrom == 0 || from < p.unwrittenFrom) {
		p.unwrittenFrom = from
	}
}

// takeWrite is all that the disk is behind.
func (p *Replica) takeWrite() Write {
	w := Write{Seq: p.nextWriteSeq, ClusterID: p.clusterID, Term: p.term, Vote: p.votedFor, Commit: p.commitIndex}
	if p.fault == forgetful {
		w.Term, w.Vote = 1, 0
	}
	if p.unwrittenFrom > 0 {
		w.FirstIndex = max(p.unwrittenFrom, p.snapshot.Index+1)
		w.Entries = p.entriesFrom(w.FirstIndex)
	}
	if p.unwrittenSnapshot {
		s := p.snapshot
		w.Snapshot = &s
	}
	p.unsyncedWrites = append(p.unsyncedWrites, unsyncedWrite{p.nextWriteSeq, p.lastIndex()})
	p.nextWriteSeq++
	p.unwritten, p.unwrittenFrom, p.unwrittenSnapshot = false, 0, false
	return w
}

// when says something once all of now is on disk.
func (p *Replica) replyAfterSync(w pendingReply) {
	w.writeSeq = p.nextWriteSeq
	if !p.unwritten {
		w.writeSeq--
	}
	if w.writeSeq <= p.syncedWriteSeq || p.fault == ackUnsynced && w.kind == MsgAppendAck ||
		p.fault == tellEarly && w.kind == MsgVoteGranted {
		p.sendPendingReply(w)
	} else if !slices.Contains(p.pendingReplies, w) {
		p.pendingReplies = append(p.pendingReplies, w)
	}
}

// sendPendingReply says what waited, unless a newer view was promised meanwhile.
func (p *Replica) sendPendingReply(w pendingReply) {
	if w.term != p.term {
		return
	}
	switch w.kind {
	case MsgAppendAck:
		if p.role == roleFollower && p.leaderID == w.recipient {
			p.sendAck()
		}
	case MsgVoteGranted:
		if p.votedFor == w.recipient {
			e := p.lastPosition()
			p.send(w.recipient, Message{Kind: MsgVoteGranted, View: p.term, Index: e.index, At: e.term})
		}
	case MsgRequestVote:
		if p.role == roleCandidate && p.votedFor == p.self.ID {
			p.votes[p.self.ID] = p.lastPosition()
			p.awaitVotes()
			p.tallyVotes()
		}
	}
}

// send sends a message to whom it may be known where to find.
func (p *Replica) send(to MemberID, m Message) {
	if w := p.peers[to]; w != nil {
		p.sendTo(w.Member, m)
		return
	}
	if to == p.self.ID {
		return
	}
	for i := len(p.memberConfigs) - 1; i >= 0; i-- {
		for _, o := range p.memberConfigs[i].members {
			if o.ID == to {
				p.sendTo(o, m)
				return
			}
		}
	}
	p.sendTo(Member{ID: to}, m) // the host may know its address
}

func (p *Replica) sendTo(to Member, m Message) {
	m.To = to.ID
	if m.House == 0 {
		m.House = p.clusterID
	}
	p.actions = append(p.actions, Send{to, m})
}
