package prompter

import (
	"slices"

	"clovergap/internal/check"
)

// lead begins the new view.
func (p *Prompter) lead() {
	p.role, p.leader, p.begun, p.vain = leading, p.me.ID, true, 0
	p.with = map[MemberID]*progress{}
	p.round, p.reads, p.handing, p.learner = 0, nil, 0, 0
	p.meet()
	p.blank = p.add(Entry{Kind: Blank})
	p.beatAt = p.now + p.terms.Beat
	p.commit()
}

// meet keeps a progress for all who count, and the learner.
func (p *Prompter) meet() {
	others := p.others()
	for _, m := range others {
		if p.with[m.ID] == nil {
			p.with[m.ID] = p.begin(m)
		}
	}
	for id := range p.with {
		if id != p.learner && !slices.ContainsFunc(others, func(m Member) bool { return m.ID == id }) {
			delete(p.with, id)
		}
	}
}

// begin is a progress of which nothing is known yet.
func (p *Prompter) begin(m Member) *progress {
	return &progress{Member: m, next: p.last() + 1, heard: p.now, snapAt: -never, againAt: -never}
}

// forget gives up the learner.
func (p *Prompter) forget() {
	p.learner = 0
	p.meet()
}

// add puts a new entry of this view into the log and has it pushed.
func (p *Prompter) add(e Entry) uint64 {
	e.Index, e.View = p.last()+1, p.promise
	p.put(e)
	p.touch(e.Index)
	if e.Kind == Cast {
		p.meet()
	}
	p.flush = true
	return e.Index
}

// mayCast: the list may be changed. An entry of this view must have been delivered, else a list of another
// view that is not known here might hold without meeting this one.
func (p *Prompter) mayCast() bool { return p.settled() && p.delivered >= p.blank }

// pushAll sends everyone what is new, and begins a round if reads wait for one.
func (p *Prompter) pushAll() {
	if p.role != leading {
		return
	}
	for _, w := range p.sorted() {
		p.push(w)
	}
	if len(p.reads) > 0 && p.roundDone() == p.round && p.newRound() {
		p.beat()
	}
	p.commit() // one member alone has nobody to answer
}

// sorted are the others in a fixed order: the same inputs must give the same outputs.
func (p *Prompter) sorted() (all []*progress) {
	for _, w := range p.with {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *progress) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// push sends a member the next it has not been sent.
func (p *Prompter) push(w *progress) {
	switch {
	case w.next <= p.snap.Index:
		if !p.fresh(w) || p.now-p.terms.Resend < w.snapAt {
			return
		}
		s := p.snap
		w.snapAt, w.next = p.now, s.Index+1
		p.linesTo(w, Message{Index: s.Index, At: s.View, Snap: &s})
	case w.next <= p.last():
		entries, size := p.from(w.next), 0
		for i, e := range entries {
			if size += len(e.Data) + 32; size > p.terms.Batch && i > 0 {
				entries = entries[:i]
				break
			}
		}
		v, _ := p.viewAt(w.next - 1)
		m := Message{Index: w.next - 1, At: v, Entries: entries}
		w.next += uint64(len(entries))
		p.linesTo(w, m)
	}
}

func (p *Prompter) linesTo(w *progress, m Message) {
	m.Kind, m.View, m.Delivered, m.Round = Lines, p.promise, p.delivered, p.round
	p.sendTo(w.Member, m)
}

// beat tells all that the leader is there, and what was delivered.
func (p *Prompter) beat() {
	for _, w := range p.sorted() {
		p.beatTo(w)
	}
	p.beatAt = p.now + p.terms.Beat
}

func (p *Prompter) beatTo(w *progress) {
	prev := max(w.next-1, p.snap.Index)
	v, _ := p.viewAt(prev)
	p.linesTo(w, Message{Index: prev, At: v})
}

// answered takes a member's answer to the leader's lines.
func (p *Prompter) answered(from MemberID, m Message) {
	w := p.with[from]
	if p.role != leading || m.View != p.promise && p.fault != countLate || w == nil {
		return
	}
	w.heard, w.round = p.now, max(w.round, m.Round)
	if m.Kind == Miss {
		// The lines sent since come back as missed too: once is enough.
		if p.now >= w.againAt {
			w.againAt = p.now + p.terms.Beat/2
			w.next = max(m.Index, w.match) + 1
			p.push(w)
		}
		p.answerReads()
		return
	}
	check.That(m.Index <= p.last(), "nobody has more than the leader")
	w.match = max(w.match, m.Index)
	w.next = max(w.next, w.match+1)
	p.commit()
	if p.role != leading || p.with[from] == nil {
		return
	}
	if from == p.learner && w.match >= p.delivered && w.match > 0 && p.mayCast() {
		list := p.learns
		p.learner = 0
		if list.index == p.casts[len(p.casts)-1].index { // else the list has changed since: to be asked for again
			p.add(Entry{Kind: Cast, Members: list.members})
		}
		p.meet()
	}
	if p.with[from] != nil && w.next <= p.last() {
		p.push(w)
	}
	p.handOver()
}

// commit delivers what a majority has on disk, through an entry of this view.
func (p *Prompter) commit() {
	for p.role == leading {
		had := func(n uint64) bool {
			return p.quorum(func(id MemberID) bool {
				if id == p.me.ID {
					return p.synced >= n || p.fault == ackUnsynced
				}
				if p.fault == countLearner && p.learner != 0 && id == p.others()[0].ID {
					id = p.learner // stands for one who counts
				}
				return p.with[id] != nil && p.with[id].match >= n
			})
		}
		n := p.last()
		for ; n > p.delivered; n-- {
			if v, _ := p.viewAt(n); v != p.promise && p.fault != countOld {
				n = p.delivered
				break
			}
			if had(n) {
				break
			}
		}
		if n <= p.delivered {
			break
		}
		before := p.settled()
		p.deliver(n)
		p.beatAt = min(p.beatAt, p.now+p.terms.Tell)
		if !before && p.settled() {
			p.beat() // those who are no members any more hear so, once
			p.meet()
			if !p.member(p.me.ID) {
				p.stepDown()
			}
		}
	}
	p.answerReads()
}

// newRound begins a round if reads wait for one.
func (p *Prompter) newRound() bool {
	if n := len(p.reads); n == 0 || p.reads[n-1].round <= p.round {
		return false
	}
	p.round++
	return true
}

// roundDone is the newest round that a majority has heard.
func (p *Prompter) roundDone() (done uint64) {
	heard := func(r uint64) bool {
		return p.quorum(func(id MemberID) bool {
			return id == p.me.ID || p.with[id] != nil && p.with[id].round >= r
		})
	}
	if len(p.with) == 0 && heard(p.round) {
		return p.round
	}
	for _, w := range p.with {
		if w.round > done && heard(w.round) {
			done = w.round
		}
	}
	return done
}

// answerReads answers the reads whose round is through. Before the first entry of this view is delivered,
// others' entries may be acknowledged and not yet known here to be.
func (p *Prompter) answerReads() {
	if p.role != leading || len(p.reads) == 0 || p.delivered < p.blank && p.fault != readEarly {
		return
	}
	done, n := p.roundDone(), 0
	if p.fault == unreadRounds {
		done = p.round + 1
	}
	for ; n < len(p.reads) && p.reads[n].round <= done; n++ {
		p.outcome(p.reads[n].token, p.delivered, Done)
	}
	if p.reads = p.reads[n:]; len(p.reads) > 0 && done >= p.round {
		p.flush = true // those that came during the round
	}
}

// handOver asks one who has all to take the lead.
func (p *Prompter) handOver() {
	if p.role != leading || p.now >= p.handing || p.delivered < p.last() {
		return
	}
	for _, w := range p.sorted() {
		if w.match == p.last() && p.fresh(w) && p.member(w.ID) {
			p.sendTo(w.Member, Message{Kind: Take, View: p.promise})
			return
		}
	}
}
