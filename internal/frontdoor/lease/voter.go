package lease

import (
	"sort"
	"time"
)

// firstLook is how long a better claim is waited for, in retries; ageWeight makes a wish that waits for so long as good
// as one of the next higher priority.
const (
	firstLook   = 3
	unsealedFor = 6 // a promise that is not sealed lasts no longer, in retries: its asker gives up after four
	ageWeight   = 10 * time.Second
)

// asked takes a question to this voter and answers it.
func (c *Core) asked(from Node, m *message) {
	if m.gen < c.gen() { // of a configuration that this voter has left: its majorities need not meet the new ones
		c.Old++
		c.no(from, m, nil)
		return
	}
	if c.now-c.born < c.conf.silence() { // what was promised before the start is not known
		c.Silent++
		return
	}
	p := c.promise(slot{m.task, int(m.permit)})
	if p == nil {
		c.no(from, m, nil)
		return
	}
	// One that asks anew has given up what it asked for before: its own promise does not stand in its way.
	anew := p.holder == from && p.life == m.life && m.ask > p.ask
	mine := p.until > c.now && p.holder == from && p.life == m.life && p.ask == m.ask
	switch m.op {
	case opAsk:
		c.notice(p, from, m)
		if !mine && (p.until > c.now && !anew || !c.turn(p, from)) {
			c.no(from, m, p)
			return
		}
		if !mine {
			p.holder, p.life, p.ask, p.until, p.sealed = from, m.life, m.ask, c.now+min(c.conf.Length, unsealedFor*c.conf.Retry), false
		}
		a := *m
		a.op, a.number, a.gen = opVote, max(p.highest, c.floor), c.gen()
		c.tell([]Node{from}, &a)
	case opSeal:
		if !mine || m.number < p.highest || m.number <= c.floor {
			c.no(from, m, p)
			return
		}
		p.highest, p.until, p.sealed = m.number, c.now+c.conf.Length, true
		p.waiting = without(p.waiting, from)
		a := *m
		a.op, a.gen = opSealed, c.gen()
		c.tell([]Node{from}, &a)
	case opRelease:
		if m.rank == leaves {
			p.waiting = without(p.waiting, from)
		}
		if !mine {
			return
		}
		p.until, p.keptFor, p.keptTo = 0, from, 0
		if m.node != from {
			p.keptFor, p.keptTo = m.node, c.now+firstLook*c.conf.Retry
			c.tell([]Node{m.node}, &message{op: opFree, gen: c.gen(), task: m.task, permit: m.permit})
		} else if best := c.best(p); best != nil && p.sealed { // who waits longest hears at once; of a permit that nobody got, nobody
			c.tell([]Node{best.who}, &message{op: opFree, gen: c.gen(), task: m.task, permit: m.permit})
		}
	}
}

// promise finds or makes what is kept of a permit. When the table is full, permits that nobody has go: their numbers live
// on in the floor.
func (c *Core) promise(s slot) *promise {
	if p := c.votes[s]; p != nil {
		return p
	}
	if len(c.votes) >= slotsMost {
		var idle []slot
		for k, p := range c.votes {
			if p.until <= c.now {
				idle = append(idle, k)
			}
		}
		if len(idle) == 0 {
			return nil
		}
		for _, k := range idle {
			c.floor = max(c.floor, c.votes[k].highest)
			delete(c.votes, k)
		}
	}
	p := &promise{}
	c.votes[s] = p
	return p
}

// no refuses, and says how long the permit is still promised and how many wait before the asker.
func (c *Core) no(from Node, m *message, p *promise) {
	if m.op == opRelease {
		return
	}
	a := *m
	a.op, a.gen, a.ms, a.rank = opNo, c.gen(), 0, 0
	if p != nil {
		a.number = p.highest
		a.ms = uint32(max(0, p.until-c.now) / time.Millisecond)
		for i, w := range p.waiting {
			if w.who == from {
				a.rank = uint8(min(i, 255))
			}
		}
	}
	c.tell([]Node{from}, &a)
}

// notice keeps a wish in the line of a permit: by priority, which grows with waiting, then by age.
func (c *Core) notice(p *promise, from Node, m *message) {
	p.waiting = without(p.waiting, from)
	since := c.now - time.Duration(m.ms)*time.Millisecond
	p.waiting = append(p.waiting, waiter{from, int(m.rank), since, c.now})
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if c.now-w.seen < 64*c.conf.Retry { // who has not asked for long has gone
			kept = append(kept, w)
		}
	}
	p.waiting = kept
	claim := func(w waiter) time.Duration { return time.Duration(w.priority)*ageWeight + c.now - w.since }
	sort.SliceStable(p.waiting, func(i, j int) bool {
		a, b := claim(p.waiting[i]), claim(p.waiting[j])
		return a > b || a == b && p.waiting[i].who < p.waiting[j].who
	})
	if len(p.waiting) > waitingMost {
		p.waiting = p.waiting[:waitingMost]
	}
}

// best is the first in line that has been heard of lately.
func (c *Core) best(p *promise) *waiter {
	for i := range p.waiting {
		if c.now-p.waiting[i].seen < firstLook*c.conf.Retry {
			return &p.waiting[i]
		}
	}
	if len(p.waiting) > 0 {
		return &p.waiting[0]
	}
	return nil
}

// turn tells whether a free permit may go to this one now: it is kept for whom it was handed on to, and for a better claim
// that asked lately and will ask again. It is a matter of order only: any vote is safe.
func (c *Core) turn(p *promise, from Node) bool {
	if p.keptTo > c.now {
		return p.keptFor == from
	}
	for _, w := range p.waiting {
		if w.who == from {
			return true
		}
		if c.now-w.seen < firstLook*c.conf.Retry {
			return false
		}
	}
	return true
}

func without(all []waiter, n Node) []waiter {
	var kept []waiter
	for _, w := range all {
		if w.who != n {
			kept = append(kept, w)
		}
	}
	return kept
}

// Promised is what a voter has promised, for people to see.
type Promised struct {
	Task    Task
	Permit  int
	Holder  Node
	Number  Number
	Left    time.Duration
	Waiting int
}

// Promises lists what is promised here now, by task and permit.
func (c *Core) Promises() (all []Promised) {
	for s, p := range c.votes {
		if p.until > c.now {
			all = append(all, Promised{s.task, s.permit, p.holder, p.highest, p.until - c.now, len(p.waiting)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].Task < all[j].Task || all[i].Task == all[j].Task && all[i].Permit < all[j].Permit
	})
	return all
}

func sortSlots(all []slot) {
	sort.Slice(all, func(i, j int) bool {
		return all[i].task < all[j].task || all[i].task == all[j].task && all[i].permit < all[j].permit
	})
}

// SilentFor is how long this voter still answers nobody.
func (c *Core) SilentFor() time.Duration { return c.born + c.conf.silence() - c.now }
