package prompter

import (
	"slices"

	"clovergap/internal/check"
)

// Heard takes a message from a member, or from one who may become one.
func (p *Prompter) Heard(from MemberID, m Message) {
	if m.To != p.me.ID && p.fault != countWiped || from == p.me.ID {
		return
	}
	if p.house == 0 {
		if m.Kind == Lines || p.fault == countWiped && m.Kind == Stop {
			p.first(from, m)
		}
		return
	}
	if m.House != p.house {
		return
	}
	p.seen = max(p.seen, m.View)
	switch m.Kind {
	case Lines:
		p.lines(from, m)
	case Have, Miss:
		p.answered(from, m)
	case Refuse:
		// One who knows a newer view takes nothing from this one any more.
		if p.role == leading && m.View > p.promise && p.with[from] != nil && from != p.learner {
			p.stepDown()
		}
	case Ask:
		lost := p.role != leading && p.now-p.heardAt >= p.terms.Patience
		p.send(from, Message{Kind: Nod, View: p.promise, Round: m.Round, No: !lost})
	case Nod:
		if p.role == checking && m.Round == p.try && !m.No {
			p.nods[from] = true
			p.stop(false)
		}
	case Stop:
		p.stopFor(from, m)
	case Stopped:
		if p.role == stopping && m.View == p.promise {
			p.stops[from] = place{m.At, m.Index}
			p.gather()
		}
	case Fetch:
		p.fetched(from, m)
	case Script:
		p.script(m)
	case Take:
		if m.View == p.promise && p.leader == from && p.role == following && p.member(p.me.ID) {
			p.stop(true)
		}
	}
}

// first is for an empty disk: it has nothing to say to anyone but a leader that gives it the state.
func (p *Prompter) first(from MemberID, m Message) {
	if m.Kind == Lines && m.Snap == nil {
		p.send(from, Message{Kind: Miss, House: m.House, View: m.View, Round: m.Round})
		return
	}
	p.house = m.House
	p.Heard(from, m)
}

// beginTimes as soon a member asks for a view that has heard of no leader since its start. Those who have one say no.
const beginTimes = 3

// vainMost is how many times its patience a member waits at most for a view that it asked for, and as much again by chance.
// Each one asked for in vain doubles the next one's time: disks that sync slower than members are patient must not keep all
// from ever being led.
const vainMost = 4

// setDue starts the waiting for a leader anew.
func (p *Prompter) setDue() {
	if p.due = never; p.house != 0 && p.member(p.me.ID) {
		wait, spread := p.terms.Patience, p.terms.Spread
		if !p.begun { // nobody has led in this life: after the loss of all there is no leader to be patient with
			wait, spread = wait/beginTimes, spread/beginTimes
		}
		for n := 0; n < p.vain && 2*wait <= vainMost*p.terms.Patience; n++ {
			wait, spread = 2*wait, 2*spread
		}
		p.due = p.now + wait + p.chance(spread)
	}
}

// rise goes on to a newer view, or to another leader than the promised one in the same.
func (p *Prompter) rise(view uint64, to MemberID) {
	check.That(view >= p.promise, "views rise")
	if p.role == leading {
		p.stepDown()
	}
	p.promise, p.promisedTo = view, to
	p.seen = max(p.seen, view)
	p.role, p.leader = following, 0
	p.matched, p.round, p.roundSaid = 0, 0, 0
	p.touch(0)
}

// ask asks the others whether they have lost the leader too: one who was cut off alone must not disturb.
func (p *Prompter) ask() {
	if p.setDue(); p.due == never {
		return
	}
	p.role, p.leader = checking, 0
	p.try++
	p.nods = map[MemberID]bool{p.me.ID: true}
	for _, m := range p.others() {
		p.sendTo(m, Message{Kind: Ask, View: p.promise, Round: p.try})
	}
	p.stop(false)
}

// stop asks for the promises, first this member's own: one who can't sync had better not ask.
func (p *Prompter) stop(now bool) {
	if !now && !p.quorum(func(id MemberID) bool { return p.nods[id] }) {
		return
	}
	p.rise(max(p.promise, p.seen)+1, p.me.ID)
	p.role, p.fetch = stopping, 0
	p.stops, p.asking = map[MemberID]place{}, map[MemberID]Member{}
	p.setDue()
	p.vain++
	p.when(waiting{kind: Stop, view: p.promise})
}

// stopFor promises to take nothing from older views.
func (p *Prompter) stopFor(from MemberID, m Message) {
	if m.View < p.promise || m.View == p.promise && p.promisedTo != from && p.fault != promiseTwo {
		p.send(from, Message{Kind: Refuse, View: p.promise})
		return
	}
	if m.View > p.promise || p.fault == promiseTwo {
		p.rise(m.View, from)
		p.heardAt, p.begun = p.now, true // whoever asked gets its time
		p.setDue()
	}
	p.when(waiting{kind: Stopped, view: m.View, to: from})
}

// gather looks whether the promises suffice and this log is the newest among them.
func (p *Prompter) gather() {
	if _, ok := p.stops[p.me.ID]; !ok {
		return
	}
	for _, m := range p.others() {
		if _, ok := p.asking[m.ID]; !ok {
			p.asking[m.ID] = m
			p.sendTo(m, Message{Kind: Stop, View: p.promise})
		}
	}
	promised := func(id MemberID) bool { _, ok := p.stops[id]; return ok }
	if !p.quorum(promised) && (p.fault != fewPromises || 2*len(p.stops) < len(p.Members())-1) {
		return
	}
	newest, at := p.me.ID, p.end()
	for id, e := range p.stops {
		if e.newer(at) || e == at && newest != p.me.ID && id < newest {
			newest, at = id, e
		}
	}
	if newest != p.me.ID && p.fault != notNewest {
		if p.fetch != newest {
			p.fetch = newest
			p.send(newest, Message{Kind: Fetch, View: p.promise, Index: p.delivered})
		}
		return
	}
	if !p.member(p.me.ID) { // as the newest log tells: others will ask
		p.role = following
		p.setDue()
		return
	}
	p.lead()
}

// fetched gives the log to the one who was promised the view.
func (p *Prompter) fetched(from MemberID, m Message) {
	if m.View != p.promise || p.promisedTo != from || p.role != following || p.leader != 0 {
		return
	}
	a := Message{Kind: Script, View: p.promise, Index: m.Index}
	if m.Index < p.snap.Index {
		s := p.snap
		a.Snap, a.Index = &s, s.Index
	}
	a.Entries = p.from(a.Index + 1)
	p.send(from, a)
}

// script takes a newer log.
func (p *Prompter) script(m Message) {
	if p.role != stopping || m.View != p.promise {
		return
	}
	var at place
	if n := len(m.Entries); n > 0 {
		at = place{m.Entries[n-1].View, m.Entries[n-1].Index}
	} else if m.Snap != nil {
		at = place{m.Snap.View, m.Snap.Index}
	}
	if !at.newer(p.end()) || m.Snap == nil && m.Index > p.delivered {
		return
	}
	if p.mayInstall(m.Snap) {
		p.install(*m.Snap)
	}
	p.take(m.Index, m.Entries)
	p.gather()
}

// lines takes what a leader says.
func (p *Prompter) lines(from MemberID, m Message) {
	if m.View < p.promise && p.fault != takeOld {
		p.send(from, Message{Kind: Refuse, View: p.promise})
		return
	}
	if m.View > p.promise || p.promisedTo != from && p.fault != takeOld {
		p.rise(m.View, from)
	}
	check.That(p.role != leading, "a view has one leader")
	p.role, p.leader, p.heardAt, p.begun, p.vain = following, from, p.now, true, 0
	p.round = max(p.round, m.Round)
	if p.mayInstall(m.Snap) {
		p.install(*m.Snap)
	}
	if v, ok := p.viewAt(m.Index); m.Index > p.delivered && (!ok || v != m.At && p.fault != unmatched) {
		p.setDue()
		p.send(from, Message{Kind: Miss, View: m.View, Index: p.delivered, Round: p.round})
		return
	}
	p.take(m.Index, m.Entries)
	p.setDue() // the list may be another now
	p.matched = max(p.matched, m.Index+uint64(len(m.Entries)))
	p.deliver(max(p.delivered, min(m.Delivered, p.matched)))
	if p.matched <= p.synced || p.round > p.roundSaid || len(m.Entries) == 0 && m.Snap == nil {
		p.have()
	}
	if p.matched > p.synced {
		p.when(waiting{kind: Have, view: p.promise, to: from})
	}
}

// have tells the leader what is on disk, and the round: that one needs no disk.
func (p *Prompter) have() {
	upto := min(p.matched, p.synced)
	if p.fault == ackUnsynced {
		upto = p.matched
	}
	p.roundSaid = p.round
	p.send(p.leader, Message{Kind: Have, View: p.promise, Index: upto, Round: p.round})
}

// stepDown stops leading.
func (p *Prompter) stepDown() {
	p.role, p.leader = following, 0
	p.heardAt = p.now - p.terms.Patience // nothing speaks against a new view
	p.setDue()
	p.with, p.learner, p.handing = nil, 0, 0
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
