package lease

import (
	"sort"
	"time"
)

// claimWindow is how long a better claim is waited for, in retries; ageWeight makes a wish that waits for so long as good
// as one of the next higher priority.
const (
	claimWindow      = 3
	unacceptedLength = 6 // a promise that is not sealed lasts no longer, in retries: its asker gives up after four
	ageWeight        = 10 * time.Second
)

// handleRequest takes a question to this voter and answers it.
func (c *Core) handleRequest(from Node, m *message) {
	if m.generation < c.generation() { // of a configuration that this voter has left: its majorities need not meet the new ones
		c.StaleRequests++
		c.reject(from, m, nil)
		return
	}
	if c.now-c.startedAt < c.conf.startupDelay() { // what was promised before the start is not known
		c.IgnoredAtStart++
		return
	}
	p := c.promiseFor(slot{m.task, int(m.permit)})
	if p == nil {
		c.reject(from, m, nil)
		return
	}
	// One that asks anew has given up what it asked for before: its own promise does not stand in its way.
	anew := p.holder == from && p.incarnation == m.incarnation && m.promiseID > p.promiseID
	mine := p.until > c.now && p.holder == from && p.incarnation == m.incarnation && p.promiseID == m.promiseID
	switch m.op {
	case opPrepare:
		c.enqueue(p, from, m)
		if !mine && (p.until > c.now && !anew || !c.isNext(p, from)) {
			c.reject(from, m, p)
			return
		}
		if !mine {
			p.holder, p.incarnation, p.promiseID, p.until, p.accepted = from, m.incarnation, m.promiseID, c.now+min(c.conf.Length, unacceptedLength*c.conf.Retry), false
		}
		a := *m
		a.op, a.number, a.generation = opPromise, max(p.highest, c.floor), c.generation()
		c.send([]Node{from}, &a)
	case opAccept:
		if !mine || m.number < p.highest || m.number <= c.floor {
			c.reject(from, m, p)
			return
		}
		p.highest, p.until, p.accepted = m.number, c.now+c.conf.Length, true
		p.waiting = removeWaiter(p.waiting, from)
		a := *m
		a.op, a.generation = opAccepted, c.generation()
		c.send([]Node{from}, &a)
	case opRelease:
		if m.rank == stopWaiting {
			p.waiting = removeWaiter(p.waiting, from)
		}
		if !mine {
			return
		}
		p.until, p.reservedFor, p.reservedUntil = 0, from, 0
		if m.node != from {
			p.reservedFor, p.reservedUntil = m.node, c.now+claimWindow*c.conf.Retry
			c.send([]Node{m.node}, &message{op: opAvailable, generation: c.generation(), task: m.task, permit: m.permit})
		} else if best := c.nextWaiter(p); best != nil && p.accepted { // who waits longest hears at once; of a permit that nobody got, nobody
			c.send([]Node{best.node}, &message{op: opAvailable, generation: c.generation(), task: m.task, permit: m.permit})
		}
	}
}

// promiseFor finds or makes what is kept of a permit. When the table is full, permits that nobody has go: their numbers live
// on in the floor.
func (c *Core) promiseFor(s slot) *promise {
	if p := c.promises[s]; p != nil {
		return p
	}
	if len(c.promises) >= maxSlots {
		var idle []slot
		for k, p := range c.promises {
			if p.until <= c.now {
				idle = append(idle, k)
			}
		}
		if len(idle) == 0 {
			return nil
		}
		for _, k := range idle {
			c.floor = max(c.floor, c.promises[k].highest)
			delete(c.promises, k)
		}
	}
	p := &promise{}
	c.promises[s] = p
	return p
}

// reject refuses, and says how long the permit is still promised and how many wait before the asker.
func (c *Core) reject(from Node, m *message, p *promise) {
	if m.op == opRelease {
		return
	}
	a := *m
	a.op, a.generation, a.millis, a.rank = opReject, c.generation(), 0, 0
	if p != nil {
		a.number = p.highest
		a.millis = uint32(max(0, p.until-c.now) / time.Millisecond)
		for i, w := range p.waiting {
			if w.node == from {
				a.rank = uint8(min(i, 255))
			}
		}
	}
	c.send([]Node{from}, &a)
}

// enqueue keeps a wish in the line of a permit: by priority, which grows with waiting, then by age.
func (c *Core) enqueue(p *promise, from Node, m *message) {
	p.waiting = removeWaiter(p.waiting, from)
	since := c.now - time.Duration(m.millis)*time.Millisecond
	p.waiting = append(p.waiting, waiter{from, int(m.rank), since, c.now})
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if c.now-w.lastSeen < 64*c.conf.Retry { // who has not asked for long has gone
			kept = append(kept, w)
		}
	}
	p.waiting = kept
	claim := func(w waiter) time.Duration { return time.Duration(w.priority)*ageWeight + c.now - w.requestedAt }
	sort.SliceStable(p.waiting, func(i, j int) bool {
		a, b := claim(p.waiting[i]), claim(p.waiting[j])
		return a > b || a == b && p.waiting[i].node < p.waiting[j].node
	})
	if len(p.waiting) > maxWaiting {
		p.waiting = p.waiting[:maxWaiting]
	}
}

// nextWaiter is the first in line that has been heard of lately.
func (c *Core) nextWaiter(p *promise) *waiter {
	for i := range p.waiting {
		if c.now-p.waiting[i].lastSeen < claimWindow*c.conf.Retry {
			return &p.waiting[i]
		}
	}
	if len(p.waiting) > 0 {
		return &p.waiting[0]
	}
	return nil
}

// isNext tells whether a free permit may go to this one now: it is kept for whom it was handed on to, and for a better claim
// that asked lately and will ask again. It is a matter of order only: any vote is safe.
func (c *Core) isNext(p *promise, from Node) bool {
	if p.reservedUntil > c.now {
		return p.reservedFor == from
	}
	for _, w := range p.waiting {
		if w.node == from {
			return true
		}
		if c.now-w.lastSeen < claimWindow*c.conf.Retry {
			return false
		}
	}
	return true
}

func removeWaiter(all []waiter, n Node) []waiter {
	var kept []waiter
	for _, w := range all {
		if w.node != n {
			kept = append(kept, w)
		}
	}
	return kept
}

// Promised is what a voter has promised, for people to see.
type Promised struct {
	Task      Task
	Permit    int
	Holder    Node
	Number    Number
	Remaining time.Duration
	Waiting   int
}

// Promises lists what is promised here now, by task and permit.
func (c *Core) Promises() (all []Promised) {
	for s, p := range c.promises {
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

// StartupDelayLeft is how long this voter still answers nobody.
func (c *Core) StartupDelayLeft() time.Duration { return c.startedAt + c.conf.startupDelay() - c.now }
