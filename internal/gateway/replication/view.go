package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// Step takes a message from a member, or from one who may become one.
func (r *Replica) Step(from MemberID, m Message) {
	if m.To != r.self.ID && r.fault != countWiped || from == r.self.ID {
		return
	}
	if r.clusterID == 0 || m.House != r.clusterID && r.onlyBootstrapped() {
		if m.Kind == MsgAppendChunk {
			r.onChunk(from, m)
		} else if m.Kind == MsgAppend || r.clusterID == 0 && r.fault == countWiped && m.Kind == MsgRequestVote {
			r.joinCluster(from, m)
		}
		return
	}
	if m.House != r.clusterID {
		return
	}
	r.maxSeenTerm = max(r.maxSeenTerm, m.View)
	switch m.Kind {
	case MsgAppend:
		r.onAppend(from, m)
	case MsgAppendChunk:
		r.onChunk(from, m)
	case MsgAppendAck, MsgAppendReject, MsgChunkAck:
		r.onAppendResponse(from, m)
	case MsgStaleTerm:
		// One who knows a newer view takes nothing from this one any more.
		if r.role == roleLeader && m.View > r.term && r.peers[from] != nil && from != r.learner {
			r.stepDown()
		}
		// Two that ask for one view at once keep each other from it: the lower id asks again, and the other one answers it.
		if r.role == roleCandidate && m.No && m.View == r.term && r.self.ID < from && r.fault != asksInTurn {
			r.startElection(true)
		}
	case MsgPreVote:
		lost := r.role != roleLeader && r.now-r.leaderContactAt >= r.config.ElectionTimeout
		r.send(from, Message{Kind: MsgPreVoteResponse, View: r.term, Round: m.Round, No: !lost})
	case MsgPreVoteResponse:
		if r.role == rolePreCandidate && m.Round == r.preVoteSeq && !m.No {
			r.preVotes[from] = true
			r.startElection(false)
		}
	case MsgRequestVote:
		r.onRequestVote(from, m)
	case MsgVoteGranted:
		if r.role == roleCandidate && m.View == r.term {
			r.votes[from] = logPosition{m.At, m.Index}
			r.tallyVotes()
		}
	case MsgFetchLog:
		r.onFetchLog(from, m)
	case MsgLogTail:
		r.onLogTail(m)
	case MsgTimeoutNow:
		if m.View == r.term && r.leaderID == from && r.role == roleFollower && r.isMember(r.self.ID) {
			r.startElection(true)
		}
	}
}

// joinCluster is for an empty disk, or one that holds a founding alone: it has nothing to say to anyone but a leader that gives it the
// state. A leader of another founding has the promises of that one's majority.
func (r *Replica) joinCluster(from MemberID, m Message) {
	if m.Kind == MsgAppend && m.Snap == nil {
		r.send(from, Message{Kind: MsgAppendReject, House: m.House, View: m.View, Round: m.Round, Chunks: true})
		return
	}
	r.reset()
	r.clusterID = m.House
	r.Step(from, m)
}

// onlyBootstrapped tells whether this disk holds the word of a founding and nothing else: it has promised nobody a view, and has never confirmed an
// entry. So it owes its founding nothing, and is worth no more to it than an empty disk that can be handed the word.
func (r *Replica) onlyBootstrapped() bool {
	return r.clusterID != 0 && r.snapshot.Index == 1 && len(r.log) == 0 && (r.term == 1 || r.fault == leaveFounding)
}

// DiscardBootstrap empties a disk that holds a founding alone, whose other members are gone for good; false: it holds more.
func (r *Replica) DiscardBootstrap() bool {
	if !r.onlyBootstrapped() {
		return false
	}
	r.reset()
	r.unwrittenSnapshot = true
	r.markUnwritten(1)
	return true
}

// reset makes it as an empty disk: what is written next says what it holds.
func (r *Replica) reset() {
	invariant.That(len(r.log) == 0 && r.role != roleLeader, "only a founding is laid aside")
	r.clusterID, r.term, r.votedFor, r.maxSeenTerm, r.bootstrapSynced = 0, 0, 0, 0, false
	r.snapshot, r.memberConfigs, r.commitIndex = Snapshot{}, []memberConfig{{}}, 0
	r.invalidateSynced(0)
	r.role, r.leaderID, r.electionDeadline = roleFollower, 0, never
}

// startupTimeoutDivisor as soon a member asks for a view that has heard of no leader since its start. Those who have one say no.
const startupTimeoutDivisor = 3

// maxElectionBackoff is how many times its patience a member waits at most for a view that it asked for, and as much again by chance.
// Each one asked for in vain doubles the next one's time: disks that sync slower than members are patient must not keep all
// from ever being led.
const maxElectionBackoff = 4

// resetElectionDeadline starts the waiting for a leader anew.
func (r *Replica) resetElectionDeadline() {
	if r.electionDeadline = never; r.clusterID != 0 && r.isMember(r.self.ID) {
		wait, spread := r.config.ElectionTimeout, r.config.ElectionJitter
		if !r.sawLeader { // nobody has led in this life: after the loss of all there is no leader to be patient with
			wait, spread = wait/startupTimeoutDivisor, spread/startupTimeoutDivisor
		}
		for n := 0; n < r.failedElections && 2*wait <= maxElectionBackoff*r.config.ElectionTimeout; n++ {
			wait, spread = 2*wait, 2*spread
		}
		r.electionDeadline = r.now + wait + r.random(spread)
	}
}

// rise goes on to a newer view, or to another leader than the promised one in the same.
func (r *Replica) enterTerm(view uint64, to MemberID) {
	invariant.That(view >= r.term, "views rise")
	if r.role == roleLeader {
		r.stepDown()
	}
	r.term, r.votedFor = view, to
	r.maxSeenTerm = max(r.maxSeenTerm, view)
	r.role, r.leaderID = roleFollower, 0
	r.matchIndex, r.readSeq, r.ackedReadSeq, r.leaderClock = 0, 0, 0, 0
	r.markUnwritten(0)
}

// startPreVote asks the others whether they have lost the leader too: one who was cut off alone must not disturb.
func (r *Replica) startPreVote() {
	if r.resetElectionDeadline(); r.electionDeadline == never {
		return
	}
	r.role, r.leaderID = rolePreCandidate, 0
	r.preVoteSeq++
	r.preVotes = map[MemberID]bool{r.self.ID: true}
	for _, m := range r.otherMembers() {
		r.sendTo(m, Message{Kind: MsgPreVote, View: r.term, Round: r.preVoteSeq})
	}
	r.startElection(false)
}

// stop asks for the promises, first this member's own: one who can't sync had better not ask.
func (r *Replica) startElection(now bool) {
	if !now && !r.hasQuorum(func(id MemberID) bool { return r.preVotes[id] }) {
		return
	}
	r.enterTerm(max(r.term, r.maxSeenTerm)+1, r.self.ID)
	r.role, r.fetchingLogFrom = roleCandidate, 0
	r.votes, r.voteRequests = map[MemberID]logPosition{}, map[MemberID]Member{}
	r.resetElectionDeadline()
	r.failedElections++
	r.electionStartedAt = r.now
	r.replyAfterSync(pendingReply{kind: MsgRequestVote, term: r.term})
}

// voteWaitFactor is how many times as long as its own disk took a member waits for the promises of others, whose disks may be busier.
const voteWaitFactor = 3

// awaitVotes has the next view wait for the promises of this one: who asks again while the others are still writing asks in vain.
func (r *Replica) awaitVotes() {
	if r.fault != asksInTurn && r.electionDeadline != never {
		r.electionDeadline = max(r.electionDeadline, r.now+min(voteWaitFactor*(r.now-r.electionStartedAt), maxElectionBackoff*r.config.ElectionTimeout))
	}
}

// onRequestVote promises to take nothing from older views.
func (r *Replica) onRequestVote(from MemberID, m Message) {
	if m.View < r.term || m.View == r.term && r.votedFor != from && r.fault != promiseTwo {
		r.send(from, Message{Kind: MsgStaleTerm, View: r.term, No: r.role == roleCandidate})
		return
	}
	if m.View > r.term || r.fault == promiseTwo {
		r.enterTerm(m.View, from)
		r.leaderContactAt, r.sawLeader = r.now, true // whoever asked gets its time
		r.resetElectionDeadline()
	}
	r.replyAfterSync(pendingReply{kind: MsgVoteGranted, term: m.View, recipient: from})
}

// gather looks whether the promises suffice and this log is the newest among them.
func (r *Replica) tallyVotes() {
	if _, ok := r.votes[r.self.ID]; !ok {
		return
	}
	for _, m := range r.otherMembers() {
		if _, ok := r.voteRequests[m.ID]; !ok {
			r.voteRequests[m.ID] = m
			r.sendTo(m, Message{Kind: MsgRequestVote, View: r.term})
		}
	}
	promised := func(id MemberID) bool { _, ok := r.votes[id]; return ok }
	if !r.hasQuorum(promised) && (r.fault != fewPromises || 2*len(r.votes) < len(r.Members())-1) {
		return
	}
	newest, at := r.self.ID, r.lastPosition()
	for id, e := range r.votes {
		if e.newerThan(at) || e == at && newest != r.self.ID && id < newest {
			newest, at = id, e
		}
	}
	if newest != r.self.ID && r.fault != notNewest {
		if r.fetchingLogFrom != newest {
			r.fetchingLogFrom = newest
			r.send(newest, Message{Kind: MsgFetchLog, View: r.term, Index: r.commitIndex})
		}
		return
	}
	if !r.isMember(r.self.ID) { // as the newest log tells: others will ask
		r.role = roleFollower
		r.resetElectionDeadline()
		return
	}
	r.becomeLeader()
}

// fetched gives the log to the one who was promised the view.
func (r *Replica) onFetchLog(from MemberID, m Message) {
	if m.View != r.term || r.votedFor != from || r.role != roleFollower || r.leaderID != 0 {
		return
	}
	a := Message{Kind: MsgLogTail, View: r.term, Index: m.Index}
	if m.Index < r.snapshot.Index {
		s := r.snapshot
		a.Snap, a.Index = &s, s.Index
	}
	a.Entries = r.entriesFrom(a.Index + 1)
	size := 0
	if a.Snap != nil {
		size = len(a.Snap.State)
	}
	for i := range a.Entries {
		size += a.Entries[i].size()
	}
	if r.needsChunks(size) && r.isMember(r.self.ID) {
		// It would hold up all else on the link for as long: who has the newest log asks for the next view itself, and
		// brings the other up to it as its leader, in chunks.
		r.startElection(true)
		return
	}
	r.send(from, a)
}

// script takes a newer log.
func (r *Replica) onLogTail(m Message) {
	if r.role != roleCandidate || m.View != r.term {
		return
	}
	var at logPosition
	if n := len(m.Entries); n > 0 {
		at = logPosition{m.Entries[n-1].View, m.Entries[n-1].Index}
	} else if m.Snap != nil {
		at = logPosition{m.Snap.View, m.Snap.Index}
	}
	if !at.newerThan(r.lastPosition()) || m.Snap == nil && m.Index > r.commitIndex {
		return
	}
	if r.needsSnapshot(m.Snap) {
		r.installSnapshot(*m.Snap)
	}
	r.appendAfter(m.Index, m.Entries)
	r.tallyVotes()
}

// followLeader takes what each of a leader's messages tells. False: it is of an older view.
func (r *Replica) followLeader(from MemberID, m Message) bool {
	if m.View < r.term && r.fault != takeOld {
		r.send(from, Message{Kind: MsgStaleTerm, View: r.term})
		return false
	}
	if m.View > r.term || r.votedFor != from && r.fault != takeOld {
		r.enterTerm(m.View, from)
	}
	invariant.That(r.role != roleLeader, "a view has one leader")
	r.role, r.leaderID, r.leaderContactAt, r.sawLeader, r.failedElections = roleFollower, from, r.now, true, 0
	r.readSeq = max(r.readSeq, m.Round)
	if r.leaderClock == 0 || int32(m.Clock-r.leaderClock) > 0 {
		r.leaderClock = m.Clock
	}
	return true
}

// onAppend takes what a leader sends.
func (r *Replica) onAppend(from MemberID, m Message) {
	if !r.followLeader(from, m) {
		return
	}
	if len(m.Entries) == 0 && m.Snap == nil {
		r.replicatedElsewhere = m.Elsewhere
	}
	if r.needsSnapshot(m.Snap) {
		r.installSnapshot(*m.Snap)
	}
	if v, ok := r.termAt(m.Index); m.Index > r.commitIndex && (!ok || v != m.At && r.fault != unmatched) {
		r.resetElectionDeadline()
		r.send(from, Message{Kind: MsgAppendReject, View: m.View, Index: r.commitIndex, Round: r.readSeq,
			Clock: r.clock.Stamp(r.now), Echo: r.leaderClock, Chunks: true})
		return
	}
	r.appendAfter(m.Index, m.Entries)
	r.resetElectionDeadline() // the list may be another now
	r.matchIndex = max(r.matchIndex, m.Index+uint64(len(m.Entries)))
	r.commitTo(max(r.commitIndex, min(m.Delivered, r.matchIndex)))
	r.receiveContact(m)
	if r.matchIndex <= r.syncedIndex || r.readSeq > r.ackedReadSeq || len(m.Entries) == 0 && m.Snap == nil {
		r.sendAck()
	}
	if r.matchIndex > r.syncedIndex {
		r.replyAfterSync(pendingReply{kind: MsgAppendAck, term: r.term, recipient: from})
	}
}

// have tells the leader what is on disk, and the round: that one needs no disk.
func (r *Replica) sendAck() {
	upto := min(r.matchIndex, r.syncedIndex)
	if r.fault == ackUnsynced {
		upto = r.matchIndex
	}
	r.ackedReadSeq = r.readSeq
	r.send(r.leaderID, Message{Kind: MsgAppendAck, View: r.term, Index: upto, Round: r.readSeq, Clock: r.clock.Stamp(r.now), Echo: r.leaderClock,
		Chunks: true})
}

// stepDown stops leading.
func (r *Replica) stepDown() {
	r.role, r.leaderID = roleFollower, 0
	r.leaderContactAt = r.now - r.config.ElectionTimeout // nothing speaks against a new view
	r.resetElectionDeadline()
	r.peers, r.learner, r.transferDeadline = nil, 0, 0
	r.matchIndex, r.readSeq, r.ackedReadSeq = 0, 0, 0
	indexes := make([]uint64, 0, len(r.proposals))
	for i := range r.proposals {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		r.finish(r.proposals[i], i, OutcomeUnknown)
	}
	if r.fault != keepTokens {
		clear(r.proposals)
	}
	for _, pendingRead := range r.reads {
		r.finish(pendingRead.token, 0, OutcomeNoLeader)
	}
	r.reads = nil
}
