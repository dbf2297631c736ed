package replication

import (
	"slices"

	"clovergap/internal/proxy/invariant"
)

// Heard takes a message from a member, or from one who may become one.
func (p *Replica) Heard(from MemberID, m Message) {
	if m.To != p.me.ID && p.fault != countWiped || from == p.me.ID {
		return
	}
	if p.clusterID == 0 || m.House != p.clusterID && p.lone() {
		if m.Kind == AppendChunk {
			p.onChunk(from, m)
		} else if m.Kind == Append || p.clusterID == 0 && p.fault == countWiped && m.Kind == Prepare {
			p.onFirst(from, m)
		}
		return
	}
	if m.House != p.clusterID {
		return
	}
	p.seen = max(p.seen, m.View)
	switch m.Kind {
	case Append:
		p.onAppend(from, m)
	case AppendChunk:
		p.onChunk(from, m)
	case Ack, Reject, AckChunk:
		p.onAck(from, m)
	case RefuseView:
		// One who knows a newer view takes nothing from this one any more.
		if p.role == leading && m.View > p.promise && p.peers[from] != nil && from != p.learner {
			p.stepDown()
		}
		// Two that ask for one view at once keep each other from it: the lower id asks again, and the other one answers it.
		if p.role == preparing && m.No && m.View == p.promise && p.me.ID < from && p.fault != asksInTurn {
			p.prepare(true)
		}
	case PreVote:
		lost := p.role != leading && p.now-p.heardAt >= p.terms.Patience
		p.send(from, Message{Kind: PreVoted, View: p.promise, Round: m.Round, No: !lost})
	case PreVoted:
		if p.role == preVoting && m.Round == p.try && !m.No {
			p.preVotes[from] = true
			p.prepare(false)
		}
	case Prepare:
		p.onPrepare(from, m)
	case Promise:
		if p.role == preparing && m.View == p.promise {
			p.promises[from] = place{m.At, m.Index}
			p.tallyPromises()
		}
	case FetchLog:
		p.onFetchLog(from, m)
	case LogTail:
		p.onLogTail(m)
	case TakeOver:
		if m.View == p.promise && p.leader == from && p.role == following && p.member(p.me.ID) {
			p.prepare(true)
		}
	}
}

// onFirst is for an empty disk, or one that holds a founding alone: it has nothing to say to anyone but a leader that gives it the
// state. A leader of another founding has the promises of that one's majority.
func (p *Replica) onFirst(from MemberID, m Message) {
	if m.Kind == Append && m.Snap == nil {
		p.send(from, Message{Kind: Reject, House: m.House, View: m.View, Round: m.Round, Chunks: true})
		return
	}
	p.forget()
	p.clusterID = m.House
	p.Heard(from, m)
}

// lone tells whether this disk holds the word of a founding and nothing else: it has promised nobody a view, and has never confirmed an
// entry. So it owes its founding nothing, and is worth no more to it than an empty disk that can be handed the word.
func (p *Replica) lone() bool {
	return p.clusterID != 0 && p.snap.Index == 1 && len(p.log) == 0 && (p.promise == 1 || p.fault == leaveFounding)
}

// LayAside empties a disk that holds a founding alone, whose other members are gone for good; false: it holds more.
func (p *Replica) LayAside() bool {
	if !p.lone() {
		return false
	}
	p.forget()
	p.dirtySnap = true
	p.markDirty(1)
	return true
}

// forget makes it as an empty disk: what is written next says what it holds.
func (p *Replica) forget() {
	invariant.That(len(p.log) == 0 && p.role != leading, "only a founding is laid aside")
	p.clusterID, p.promise, p.promisedTo, p.seen, p.held = 0, 0, 0, 0, false
	p.snap, p.configs, p.committed = Snapshot{}, []config{{}}, 0
	p.unsync(0)
	p.role, p.leader, p.due = following, 0, never
}

// beginTimes as soon a member asks for a view that has heard of no leader since its start. Those who have one say no.
const beginTimes = 3

// vainMost is how many times its patience a member waits at most for a view that it asked for, and as much again by chance.
// Each one asked for in vain doubles the next one's time: disks that sync slower than members are patient must not keep all
// from ever being led.
const vainMost = 4

// setDue starts the waiting for a leader anew.
func (p *Replica) setDue() {
	if p.due = never; p.clusterID != 0 && p.member(p.me.ID) {
		wait, spread := p.terms.Patience, p.terms.Spread
		if !p.begun { // nobody has led in this life: after the loss of all there is no leader to be patient with
			wait, spread = wait/beginTimes, spread/beginTimes
		}
		for n := 0; n < p.failedViews && 2*wait <= vainMost*p.terms.Patience; n++ {
			wait, spread = 2*wait, 2*spread
		}
		p.due = p.now + wait + p.chance(spread)
	}
}

// rise goes on to a newer view, or to another leader than the promised one in the same.
func (p *Replica) enterView(view uint64, to MemberID) {
	invariant.That(view >= p.promise, "views rise")
	if p.role == leading {
		p.stepDown()
	}
	p.promise, p.promisedTo = view, to
	p.seen = max(p.seen, view)
	p.role, p.leader = following, 0
	p.matched, p.round, p.roundSaid, p.leaderClock = 0, 0, 0, 0
	p.markDirty(0)
}

// preVote asks the others whether they have lost the leader too: one who was cut off alone must not disturb.
func (p *Replica) preVote() {
	if p.setDue(); p.due == never {
		return
	}
	p.role, p.leader = preVoting, 0
	p.try++
	p.preVotes = map[MemberID]bool{p.me.ID: true}
	for _, m := range p.others() {
		p.sendTo(m, Message{Kind: PreVote, View: p.promise, Round: p.try})
	}
	p.prepare(false)
}

// stop asks for the promises, first this member's own: one who can't sync had better not ask.
func (p *Replica) prepare(now bool) {
	if !now && !p.quorum(func(id MemberID) bool { return p.preVotes[id] }) {
		return
	}
	p.enterView(max(p.promise, p.seen)+1, p.me.ID)
	p.role, p.fetch = preparing, 0
	p.promises, p.prepareSent = map[MemberID]place{}, map[MemberID]Member{}
	p.setDue()
	p.failedViews++
	p.preparedAt = p.now
	p.afterSync(waiting{kind: Prepare, view: p.promise})
}

// promisesIn is how many times as long as its own disk took a member waits for the promises of others, whose disks may be busier.
const promisesIn = 3

// awaitPromises has the next view wait for the promises of this one: who asks again while the others are still writing asks in vain.
func (p *Replica) awaitPromises() {
	if p.fault != asksInTurn && p.due != never {
		p.due = max(p.due, p.now+min(promisesIn*(p.now-p.preparedAt), vainMost*p.terms.Patience))
	}
}

// onPrepare promises to take nothing from older views.
func (p *Replica) onPrepare(from MemberID, m Message) {
	if m.View < p.promise || m.View == p.promise && p.promisedTo != from && p.fault != promiseTwo {
		p.send(from, Message{Kind: RefuseView, View: p.promise, No: p.role == preparing})
		return
	}
	if m.View > p.promise || p.fault == promiseTwo {
		p.enterView(m.View, from)
		p.heardAt, p.begun = p.now, true // whoever asked gets its time
		p.setDue()
	}
	p.afterSync(waiting{kind: Promise, view: m.View, to: from})
}

// gather looks whether the promises suffice and this log is the newest among them.
func (p *Replica) tallyPromises() {
	if _, ok := p.promises[p.me.ID]; !ok {
		return
	}
	for _, m := range p.others() {
		if _, ok := p.prepareSent[m.ID]; !ok {
			p.prepareSent[m.ID] = m
			p.sendTo(m, Message{Kind: Prepare, View: p.promise})
		}
	}
	promised := func(id MemberID) bool { _, ok := p.promises[id]; return ok }
	if !p.quorum(promised) && (p.fault != fewPromises || 2*len(p.promises) < len(p.Members())-1) {
		return
	}
	newest, at := p.me.ID, p.end()
	for id, e := range p.promises {
		if e.newer(at) || e == at && newest != p.me.ID && id < newest {
			newest, at = id, e
		}
	}
	if newest != p.me.ID && p.fault != notNewest {
		if p.fetch != newest {
			p.fetch = newest
			p.send(newest, Message{Kind: FetchLog, View: p.promise, Index: p.committed})
		}
		return
	}
	if !p.member(p.me.ID) { // as the newest log tells: others will ask
		p.role = following
		p.setDue()
		return
	}
	p.becomeLeader()
}

// fetched gives the log to the one who was promised the view.
func (p *Replica) onFetchLog(from MemberID, m Message) {
	if m.View != p.promise || p.promisedTo != from || p.role != following || p.leader != 0 {
		return
	}
	a := Message{Kind: LogTail, View: p.promise, Index: m.Index}
	if m.Index < p.snap.Index {
		s := p.snap
		a.Snap, a.Index = &s, s.Index
	}
	a.Entries = p.from(a.Index + 1)
	size := 0
	if a.Snap != nil {
		size = len(a.Snap.State)
	}
	for i := range a.Entries {
		size += a.Entries[i].size()
	}
	if p.large(size) && p.member(p.me.ID) {
		// It would hold up all else on the link for as long: who has the newest log asks for the next view itself, and
		// brings the other up to it as its leader, in chunks.
		p.prepare(true)
		return
	}
	p.send(from, a)
}

// script takes a newer log.
func (p *Replica) onLogTail(m Message) {
	if p.role != preparing || m.View != p.promise {
		return
	}
	var at place
	if n := len(m.Entries); n > 0 {
		at = place{m.Entries[n-1].View, m.Entries[n-1].Index}
	} else if m.Snap != nil {
		at = place{m.Snap.View, m.Snap.Index}
	}
	if !at.newer(p.end()) || m.Snap == nil && m.Index > p.committed {
		return
	}
	if p.mayInstall(m.Snap) {
		p.install(*m.Snap)
	}
	p.merge(m.Index, m.Entries)
	p.tallyPromises()
}

// hearLeader takes what each of a leader's messages tells. False: it is of an older view.
func (p *Replica) hearLeader(from MemberID, m Message) bool {
	if m.View < p.promise && p.fault != takeOld {
		p.send(from, Message{Kind: RefuseView, View: p.promise})
		return false
	}
	if m.View > p.promise || p.promisedTo != from && p.fault != takeOld {
		p.enterView(m.View, from)
	}
	invariant.That(p.role != leading, "a view has one leader")
	p.role, p.leader, p.heardAt, p.begun, p.failedViews = following, from, p.now, true, 0
	p.round = max(p.round, m.Round)
	if p.leaderClock == 0 || int32(m.Clock-p.leaderClock) > 0 {
		p.leaderClock = m.Clock
	}
	return true
}

// onAppend takes what a leader sends.
func (p *Replica) onAppend(from MemberID, m Message) {
	if !p.hearLeader(from, m) {
		return
	}
	if len(m.Entries) == 0 && m.Snap == nil {
		p.elsewhere = m.Elsewhere
	}
	if p.mayInstall(m.Snap) {
		p.install(*m.Snap)
	}
	if v, ok := p.viewAt(m.Index); m.Index > p.committed && (!ok || v != m.At && p.fault != unmatched) {
		p.setDue()
		p.send(from, Message{Kind: Reject, View: m.View, Index: p.committed, Round: p.round,
			Clock: p.clock.Tell(p.now), Echo: p.leaderClock, Chunks: true})
		return
	}
	p.merge(m.Index, m.Entries)
	p.setDue() // the list may be another now
	p.matched = max(p.matched, m.Index+uint64(len(m.Entries)))
	p.commitUpTo(max(p.committed, min(m.Delivered, p.matched)))
	p.heardContact(m)
	if p.matched <= p.synced || p.round > p.roundSaid || len(m.Entries) == 0 && m.Snap == nil {
		p.ack()
	}
	if p.matched > p.synced {
		p.afterSync(waiting{kind: Ack, view: p.promise, to: from})
	}
}

// have tells the leader what is on disk, and the round: that one needs no disk.
func (p *Replica) ack() {
	upto := min(p.matched, p.synced)
	if p.fault == ackUnsynced {
		upto = p.matched
	}
	p.roundSaid = p.round
	p.send(p.leader, Message{Kind: Ack, View: p.promise, Index: upto, Round: p.round, Clock: p.clock.Tell(p.now), Echo: p.leaderClock,
		Chunks: true})
}

// stepDown stops leading.
func (p *Replica) stepDown() {
	p.role, p.leader = following, 0
	p.heardAt = p.now - p.terms.Patience // nothing speaks against a new view
	p.setDue()
	p.peers, p.learner, p.handingOver = nil, 0, 0
	p.matched, p.round, p.roundSaid = 0, 0, 0
	indexes := make([]uint64, 0, len(p.tokens))
	for i := range p.tokens {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		p.outcome(p.tokens[i], i, Unknown)
	}
	if p.fault != keepTokens {
		clear(p.tokens)
	}
	for _, r := range p.reads {
		p.outcome(r.token, 0, NoLeader)
	}
	p.reads = nil
}
