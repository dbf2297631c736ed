package replication

import (
	"slices"

	"clovergap/internal/proxy/invariant"
)

// Step takes a message from a member, or from one who may become one.
func (p *Replica) Step(from MemberID, m Message) {
	if m.To != p.self.ID && p.fault != countWiped || from == p.self.ID {
		return
	}
	if p.clusterID == 0 || m.House != p.clusterID && p.onlyBootstrapped() {
		if m.Kind == MsgAppendChunk {
			p.onChunk(from, m)
		} else if m.Kind == MsgAppend || p.clusterID == 0 && p.fault == countWiped && m.Kind == MsgRequestVote {
			p.joinCluster(from, m)
		}
		return
	}
	if m.House != p.clusterID {
		return
	}
	p.maxSeenTerm = max(p.maxSeenTerm, m.View)
	switch m.Kind {
	case MsgAppend:
		p.onAppend(from, m)
	case MsgAppendChunk:
		p.onChunk(from, m)
	case MsgAppendAck, MsgAppendReject, MsgChunkAck:
		p.onAppendResponse(from, m)
	case MsgStaleTerm:
		// One who knows a newer view takes nothing from this one any more.
		if p.role == roleLeader && m.View > p.term && p.peers[from] != nil && from != p.learner {
			p.stepDown()
		}
		// Two that ask for one view at once keep each other from it: the lower id asks again, and the other one answers it.
		if p.role == roleCandidate && m.No && m.View == p.term && p.self.ID < from && p.fault != asksInTurn {
			p.startElection(true)
		}
	case MsgPreVote:
		lost := p.role != roleLeader && p.now-p.leaderContactAt >= p.config.ElectionTimeout
		p.send(from, Message{Kind: MsgPreVoteResponse, View: p.term, Round: m.Round, No: !lost})
	case MsgPreVoteResponse:
		if p.role == rolePreCandidate && m.Round == p.preVoteSeq && !m.No {
			p.preVotes[from] = true
			p.startElection(false)
		}
	case MsgRequestVote:
		p.onRequestVote(from, m)
	case MsgVoteGranted:
		if p.role == roleCandidate && m.View == p.term {
			p.votes[from] = logPosition{m.At, m.Index}
			p.tallyVotes()
		}
	case MsgFetchLog:
		p.onFetchLog(from, m)
	case MsgLogTail:
		p.onLogTail(m)
	case MsgTimeoutNow:
		if m.View == p.term && p.leaderID == from && p.role == roleFollower && p.isMember(p.self.ID) {
			p.startElection(true)
		}
	}
}

// joinCluster is for an empty disk, or one that holds a founding alone: it has nothing to say to anyone but a leader that gives it the
// state. A leader of another founding has the promises of that one's majority.
func (p *Replica) joinCluster(from MemberID, m Message) {
	if m.Kind == MsgAppend && m.Snap == nil {
		p.send(from, Message{Kind: MsgAppendReject, House: m.House, View: m.View, Round: m.Round, Chunks: true})
		return
	}
	p.reset()
	p.clusterID = m.House
	p.Step(from, m)
}

// onlyBootstrapped tells whether this disk holds the word of a founding and nothing else: it has promised nobody a view, and has never confirmed an
// entry. So it owes its founding nothing, and is worth no more to it than an empty disk that can be handed the word.
func (p *Replica) onlyBootstrapped() bool {
	return p.clusterID != 0 && p.snapshot.Index == 1 && len(p.log) == 0 && (p.term == 1 || p.fault == leaveFounding)
}

// DiscardBootstrap empties a disk that holds a founding alone, whose other members are gone for good; false: it holds more.
func (p *Replica) DiscardBootstrap() bool {
	if !p.onlyBootstrapped() {
		return false
	}
	p.reset()
	p.unwrittenSnapshot = true
	p.markUnwritten(1)
	return true
}

// reset makes it as an empty disk: what is written next says what it holds.
func (p *Replica) reset() {
	invariant.That(len(p.log) == 0 && p.role != roleLeader, "only a founding is laid aside")
	p.clusterID, p.term, p.votedFor, p.maxSeenTerm, p.bootstrapSynced = 0, 0, 0, 0, false
	p.snapshot, p.memberConfigs, p.commitIndex = Snapshot{}, []memberConfig{{}}, 0
	p.invalidateSynced(0)
	p.role, p.leaderID, p.electionDeadline = roleFollower, 0, never
}

// startupTimeoutDivisor as soon a member asks for a view that has heard of no leader since its start. Those who have one say no.
const startupTimeoutDivisor = 3

// maxElectionBackoff is how many times its patience a member waits at most for a view that it asked for, and as much again by chance.
// Each one asked for in vain doubles the next one's time: disks that sync slower than members are patient must not keep all
// from ever being led.
const maxElectionBackoff = 4

// resetElectionDeadline starts the waiting for a leader anew.
func (p *Replica) resetElectionDeadline() {
	if p.electionDeadline = never; p.clusterID != 0 && p.isMember(p.self.ID) {
		wait, spread := p.config.ElectionTimeout, p.config.ElectionJitter
		if !p.sawLeader { // nobody has led in this life: after the loss of all there is no leader to be patient with
			wait, spread = wait/startupTimeoutDivisor, spread/startupTimeoutDivisor
		}
		for n := 0; n < p.failedElections && 2*wait <= maxElectionBackoff*p.config.ElectionTimeout; n++ {
			wait, spread = 2*wait, 2*spread
		}
		p.electionDeadline = p.now + wait + p.random(spread)
	}
}

// rise goes on to a newer view, or to another leader than the promised one in the same.
func (p *Replica) enterTerm(view uint64, to MemberID) {
	invariant.That(view >= p.term, "views rise")
	if p.role == roleLeader {
		p.stepDown()
	}
	p.term, p.votedFor = view, to
	p.maxSeenTerm = max(p.maxSeenTerm, view)
	p.role, p.leaderID = roleFollower, 0
	p.matchIndex, p.readSeq, p.ackedReadSeq, p.leaderClock = 0, 0, 0, 0
	p.markUnwritten(0)
}

// startPreVote asks the others whether they have lost the leader too: one who was cut off alone must not disturb.
func (p *Replica) startPreVote() {
	if p.resetElectionDeadline(); p.electionDeadline == never {
		return
	}
	p.role, p.leaderID = rolePreCandidate, 0
	p.preVoteSeq++
	p.preVotes = map[MemberID]bool{p.self.ID: true}
	for _, m := range p.otherMembers() {
		p.sendTo(m, Message{Kind: MsgPreVote, View: p.term, Round: p.preVoteSeq})
	}
	p.startElection(false)
}

// stop asks for the promises, first this member's own: one who can't sync had better not ask.
func (p *Replica) startElection(now bool) {
	if !now && !p.hasQuorum(func(id MemberID) bool { return p.preVotes[id] }) {
		return
	}
	p.enterTerm(max(p.term, p.maxSeenTerm)+1, p.self.ID)
	p.role, p.fetchingLogFrom = roleCandidate, 0
	p.votes, p.voteRequests = map[MemberID]logPosition{}, map[MemberID]Member{}
	p.resetElectionDeadline()
	p.failedElections++
	p.electionStartedAt = p.now
	p.replyAfterSync(pendingReply{kind: MsgRequestVote, term: p.term})
}

// voteWaitFactor is how many times as long as its own disk took a member waits for the promises of others, whose disks may be busier.
const voteWaitFactor = 3

// awaitVotes has the next view wait for the promises of this one: who asks again while the others are still writing asks in vain.
func (p *Replica) awaitVotes() {
	if p.fault != asksInTurn && p.electionDeadline != never {
		p.electionDeadline = max(p.electionDeadline, p.now+min(voteWaitFactor*(p.now-p.electionStartedAt), maxElectionBackoff*p.config.ElectionTimeout))
	}
}

// onRequestVote promises to take nothing from older views.
func (p *Replica) onRequestVote(from MemberID, m Message) {
	if m.View < p.term || m.View == p.term && p.votedFor != from && p.fault != promiseTwo {
		p.send(from, Message{Kind: MsgStaleTerm, View: p.term, No: p.role == roleCandidate})
		return
	}
	if m.View > p.term || p.fault == promiseTwo {
		p.enterTerm(m.View, from)
		p.leaderContactAt, p.sawLeader = p.now, true // whoever asked gets its time
		p.resetElectionDeadline()
	}
	p.replyAfterSync(pendingReply{kind: MsgVoteGranted, term: m.View, recipient: from})
}

// gather looks whether the promises suffice and this log is the newest among them.
func (p *Replica) tallyVotes() {
	if _, ok := p.votes[p.self.ID]; !ok {
		return
	}
	for _, m := range p.otherMembers() {
		if _, ok := p.voteRequests[m.ID]; !ok {
			p.voteRequests[m.ID] = m
			p.sendTo(m, Message{Kind: MsgRequestVote, View: p.term})
		}
	}
	promised := func(id MemberID) bool { _, ok := p.votes[id]; return ok }
	if !p.hasQuorum(promised) && (p.fault != fewPromises || 2*len(p.votes) < len(p.Members())-1) {
		return
	}
	newest, at := p.self.ID, p.lastPosition()
	for id, e := range p.votes {
		if e.newerThan(at) || e == at && newest != p.self.ID && id < newest {
			newest, at = id, e
		}
	}
	if newest != p.self.ID && p.fault != notNewest {
		if p.fetchingLogFrom != newest {
			p.fetchingLogFrom = newest
			p.send(newest, Message{Kind: MsgFetchLog, View: p.term, Index: p.commitIndex})
		}
		return
	}
	if !p.isMember(p.self.ID) { // as the newest log tells: others will ask
		p.role = roleFollower
		p.resetElectionDeadline()
		return
	}
	p.becomeLeader()
}

// fetched gives the log to the one who was promised the view.
func (p *Replica) onFetchLog(from MemberID, m Message) {
	if m.View != p.term || p.votedFor != from || p.role != roleFollower || p.leaderID != 0 {
		return
	}
	a := Message{Kind: MsgLogTail, View: p.term, Index: m.Index}
	if m.Index < p.snapshot.Index {
		s := p.snapshot
		a.Snap, a.Index = &s, s.Index
	}
	a.Entries = p.entriesFrom(a.Index + 1)
	size := 0
	if a.Snap != nil {
		size = len(a.Snap.State)
	}
	for i := range a.Entries {
		size += a.Entries[i].size()
	}
	if p.needsChunks(size) && p.isMember(p.self.ID) {
		// It would hold up all else on the link for as long: who has the newest log asks for the next view itself, and
		// brings the other up to it as its leader, in chunks.
		p.startElection(true)
		return
	}
	p.send(from, a)
}

// script takes a newer log.
func (p *Replica) onLogTail(m Message) {
	if p.role != roleCandidate || m.View != p.term {
		return
	}
	var at logPosition
	if n := len(m.Entries); n > 0 {
		at = logPosition{m.Entries[n-1].View, m.Entries[n-1].Index}
	} else if m.Snap != nil {
		at = logPosition{m.Snap.View, m.Snap.Index}
	}
	if !at.newerThan(p.lastPosition()) || m.Snap == nil && m.Index > p.commitIndex {
		return
	}
	if p.needsSnapshot(m.Snap) {
		p.installSnapshot(*m.Snap)
	}
	p.appendAfter(m.Index, m.Entries)
	p.tallyVotes()
}

// followLeader takes what each of a leader's messages tells. False: it is of an older view.
func (p *Replica) followLeader(from MemberID, m Message) bool {
	if m.View < p.term && p.fault != takeOld {
		p.send(from, Message{Kind: MsgStaleTerm, View: p.term})
		return false
	}
	if m.View > p.term || p.votedFor != from && p.fault != takeOld {
		p.enterTerm(m.View, from)
	}
	invariant.That(p.role != roleLeader, "a view has one leader")
	p.role, p.leaderID, p.leaderContactAt, p.sawLeader, p.failedElections = roleFollower, from, p.now, true, 0
	p.readSeq = max(p.readSeq, m.Round)
	if p.leaderClock == 0 || int32(m.Clock-p.leaderClock) > 0 {
		p.leaderClock = m.Clock
	}
	return true
}

// onAppend takes what a leader sends.
func (p *Replica) onAppend(from MemberID, m Message) {
	if !p.followLeader(from, m) {
		return
	}
	if len(m.Entries) == 0 && m.Snap == nil {
		p.replicatedElsewhere = m.Elsewhere
	}
	if p.needsSnapshot(m.Snap) {
		p.installSnapshot(*m.Snap)
	}
	if v, ok := p.termAt(m.Index); m.Index > p.commitIndex && (!ok || v != m.At && p.fault != unmatched) {
		p.resetElectionDeadline()
		p.send(from, Message{Kind: MsgAppendReject, View: m.View, Index: p.commitIndex, Round: p.readSeq,
			Clock: p.clock.Stamp(p.now), Echo: p.leaderClock, Chunks: true})
		return
	}
	p.appendAfter(m.Index, m.Entries)
	p.resetElectionDeadline() // the list may be another now
	p.matchIndex = max(p.matchIndex, m.Index+uint64(len(m.Entries)))
	p.commitTo(max(p.commitIndex, min(m.Delivered, p.matchIndex)))
	p.receiveContact(m)
	if p.matchIndex <= p.syncedIndex || p.readSeq > p.ackedReadSeq || len(m.Entries) == 0 && m.Snap == nil {
		p.sendAck()
	}
	if p.matchIndex > p.syncedIndex {
		p.replyAfterSync(pendingReply{kind: MsgAppendAck, term: p.term, recipient: from})
	}
}

// have tells the leader what is on disk, and the round: that one needs no disk.
func (p *Replica) sendAck() {
	upto := min(p.matchIndex, p.syncedIndex)
	if p.fault == ackUnsynced {
		upto = p.matchIndex
	}
	p.ackedReadSeq = p.readSeq
	p.send(p.leaderID, Message{Kind: MsgAppendAck, View: p.term, Index: upto, Round: p.readSeq, Clock: p.clock.Stamp(p.now), Echo: p.leaderClock,
		Chunks: true})
}

// stepDown stops leading.
func (p *Replica) stepDown() {
	p.role, p.leaderID = roleFollower, 0
	p.leaderContactAt = p.now - p.config.ElectionTimeout // nothing speaks against a new view
	p.resetElectionDeadline()
	p.peers, p.learner, p.transferDeadline = nil, 0, 0
	p.matchIndex, p.readSeq, p.ackedReadSeq = 0, 0, 0
	indexes := make([]uint64, 0, len(p.proposals))
	for i := range p.proposals {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		p.finish(p.proposals[i], i, OutcomeUnknown)
	}
	if p.fault != keepTokens {
		clear(p.proposals)
	}
	for _, r := range p.reads {
		p.finish(r.token, 0, OutcomeNoLeader)
	}
	p.reads = nil
}
