// Package control decides for one gateway: which txns pass, to which backend, and what its peers are told.
//
// How it is called: the host sets the clock with Now, tells what happened by the input calls (TxnTaken,
// SubmissionEnded and so on), which only update what is known, and then pulls decisions with Next one by one
// until there is none. The interface (ids, Txn, Listing, Decision, Settings) is in types.go, bookkeeping in
// state.go, the peer messages in peer.go, the due queue in internal/proxy/timerqueue; why: docs/design.md.
package control

import (
	"sort"
	"time"
)

const ms = time.Millisecond

// Tuned values. Shares are of 1.
const (
	period     = 20 * ms  // periodic work while something waits
	lookEvery  = 100 * ms // and while nothing does
	stallLeast = 250 * ms // without a turn: this gateway stood still
	firstTry   = 0.9      // of the time left to the SLA time: a submission's limit; a repeat takes as long again
	firstTimes = 4        // and such a limit is set only above this times the usual answer time
	retryGain  = 0.2      // further submissions earned by a txn
	retryMost  = 30.0
	pressFor   = 300 * ms
	backWait   = 0.35     // of the SLA time: longest wait for a backend
	travel     = 40 * ms  // margin for the way to a backend
	wholeIn    = 100 * ms // of an answer that has begun

	useSpare, spareAfter = 0.4, 3 * time.Second // use of room, and calm, at which what pays may go on
)

// New starts an instance: nothing is known but the settings.
func New(seed int64, s Settings, now time.Duration) (*Gateway, error) {
	d, p := newGateway(seed, s, now)
	d.retries, d.pressed, d.room = retryMost/3, -pressFor, roomFirst/float64(max(d.gateways, 1))
	d.probeRight, d.roomUp = probeMost, roomStart
	return d, p.err
}

// Now sets the clock.
func (d *Gateway) Now(now time.Duration) {
	// A gateway that stood still for longer than its periodic work allows finds time-outs, silence and old views
	// of its own making: they are held against nobody. What came meanwhile has waited already, see catchUp.
	if d.now > d.born && now-d.now > stallLeast {
		d.stallFrom, d.stallTo = d.now, now
		for _, b := range d.list {
			b.oweSince = now
		}
	}
	d.now = max(d.now, now)
	d.quota.Now(now)
}

// dates works out when a txn's SLA time is over. Clients count it from their first try, and their patience: a
// try's expiry is what is left of it, unless a try may take less, as first tries show. A repeat with time
// left is as good as a first try; one of which nothing is known, or that still earns something when late, is
// late: it leaves low buckets and scarce room to the others.
func (d *Gateway) dates(t *txn) {
	p := &d.products[t.Product]
	left := t.Expiry - d.now
	t.slaAt = min(d.now+p.slaTime, t.Expiry)
	if !t.Repeat {
		p.tryFor = min(max(p.tryFor, left), p.patience)
		return
	}
	gone := p.patience - left
	t.late = p.tryFor <= 0 || left >= p.tryFor-travel && gone > travel || gone >= p.slaTime && p.late > 0
	if !t.late && gone > 0 {
		t.slaAt = min(t.slaAt, d.now+p.slaTime-gone)
	}
}

// catchUp spreads the txns that came while this gateway stood still over that time: those whose SLA time is
// over by then are declined at once and take no units.
func (d *Gateway) catchUp() {
	n := len(d.todo)
	for i, t := range d.todo {
		if t.arrived == d.now && t.nr == 0 {
			waited := time.Duration(float64(d.stallTo-d.stallFrom) * (float64(n-i) - 0.5) / float64(n))
			t.slaAt = min(t.slaAt, d.now-waited+d.products[t.Product].slaTime)
		}
	}
	d.stallFrom = d.stallTo
}

// ---- Decisions

// Next gives the next thing to do now, or false when there is none.
func (d *Gateway) Next() (Decision, bool) {
	if d.stallFrom < d.stallTo {
		d.catchUp()
	}
	for {
		if len(d.ready) > 0 {
			x := d.ready[0]
			d.ready = d.ready[1:]
			return x, true
		}
		if d.recheck {
			d.recheck = false
			if len(d.line) > 0 {
				for _, t := range d.line {
					t.waits = false
				}
				d.todo, d.line = append(d.line, d.todo...), nil
				if d.isPressed() { // what is worth most for the time it takes goes first, the older before
					sort.SliceStable(d.todo, func(i, j int) bool { return d.worth(d.todo[i]) > d.worth(d.todo[j]) })
				}
			}
		}
		if len(d.todo) > 0 {
			t := d.todo[0]
			d.todo = d.todo[1:]
			d.decide(t)
			continue
		}
		if id, ok := d.due.Take(d.now); ok {
			if t := d.txns[id]; t != nil {
				d.expire(t)
			}
			continue
		}
		if d.now-d.lastWork >= d.pace() {
			d.lastWork = d.now
			d.sweep()
			continue
		}
		if to, payload, ok := d.quota.Datagrams(); ok {
			return Decision{Verb: Tell, Peer: to, Payload: payload}, true
		}
		return d.wake()
	}
}

// decide settles what happens to a txn that has no submission out.
func (d *Gateway) decide(t *txn) {
	if t.ended || t.outAt != nil || t.waits {
		return
	}
	if t.nr > 0 && (t.nr >= d.submissions || d.retries < 1 || d.isPressed() && t.mayHaveRun) ||
		d.now+min(d.usual(t), d.products[t.Product].slaTime/4)/2 >= t.slaAt {
		t.why = lackTime
		d.end(t, d.adviceMost)
		return
	}
	if t.nr > 0 && t.mayHaveRun && !d.repeatable(t) {
		d.end(t, 0)
		return
	}
	a := d.quota.account(t.Customer, t.Plan)
	d.quota.place(a, t.SetFirst, t.SetWidth)
	a.used = d.now
	if !t.drawn && !t.over && !t.kept {
		verdict, until, lack := d.quota.covered(a, d.wish(t))
		switch t.why = lack; verdict {
		case Wait:
			d.hold(t, until)
			return
		case Beyond:
			if !d.spare(a, t) {
				d.end(t, until)
				return
			}
			t.over = true
		}
	}
	t.why = lackBackend
	var b *backend
	if !d.noRoom || t.mayHaveRun {
		b = d.pick(t)
	}
	if t.late && t.nr == 0 && (b == nil || d.isPressed()) {
		// What room there is belongs to first tries: a repeat is late by now, or soon.
		d.end(t, d.adviceMost)
		return
	}
	if b == nil {
		d.pressed = d.now
		if !t.drawn && !t.over && !t.kept {
			// What covers it is kept for it: a view that ages while it waits for a backend would decline it.
			t.kept = true
			d.quota.keep(a, t.Units)
		}
		d.hold(t, t.arrived+time.Duration(backWait*float64(d.products[t.Product].slaTime)))
		return
	}
	d.submit(t, a, b)
}

// worth is a txn's value for the time it takes. Plans count alike: none is let go for its price.
func (d *Gateway) worth(t *txn) float64 {
	return d.products[t.Product].value * max(t.Units, 1) / max(d.usual(t).Seconds(), 0.001)
}

// spare tells whether a txn beyond its quota may go on: an exception for plans that pay for it and are not
// charged, only while the backends clearly have room and nothing inside a quota lacked any lately.
func (d *Gateway) spare(a *account, t *txn) bool {
	p := &d.plans[a.planID]
	return p.overValue > 0 && p.overCost <= 0 && p.openCap == 0 && p.ceilRate <= 0 && !t.late &&
		d.use < useSpare && d.now-d.pressed > spareAfter
}

// hold puts a txn in the waiting line until a time at which it is given up.
func (d *Gateway) hold(t *txn, until time.Duration) {
	if until <= d.now {
		d.end(t, 0)
		return
	}
	t.waits = true
	if t.giveUp < until {
		t.giveUp = until
		d.due.Add(until, t.ID)
	}
	d.line = append(d.line, t)
}

// expire gives up a txn whose due time has come.
func (d *Gateway) expire(t *txn) {
	if t.waits && d.now < t.Expiry-2*ms && d.now >= t.giveUp && (t.why == lackUnits || t.why == lackView) {
		t.waits = false // decided a last time: without an answer of the owner it may have the allowance
		d.todo = append(d.todo, t)
		return
	}
	if d.now < t.Expiry-2*ms && (t.outAt != nil || !t.waits || d.now < t.giveUp) {
		return
	}
	d.end(t, 0)
}

// end is the one place where a txn gets its final answer (rules 1 and 2), at once.
// A decline promises that a repeat is safe: only if nothing ran, or the product bears repeats everywhere.
func (d *Gateway) end(t *txn, advice time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	d.gaveUp[t.why]++
	p := d.products[t.Product]
	again := p.kind == "inquiry-like" || p.kind == "referenced" && p.scope == "all"
	x := Decision{Verb: Void, Txn: t.ID, Why: t.why}
	if again || !t.mayHaveRun && t.outAt == nil {
		x.Verb = Decline
		if d.advice {
			x.Limit = max(0, min(advice, d.adviceMost))
		}
	}
	d.ready = append(d.ready, x)
	if t.outAt != nil {
		if d.cancel {
			d.ready = append(d.ready, Decision{Verb: Recall, Txn: t.ID, Nr: t.nr - 1})
		}
		return // its outcome still comes
	}
	d.forget(t)
}

// repeatable tells whether a txn that may have run may go out again now (rule 2).
func (d *Gateway) repeatable(t *txn) bool {
	switch p := d.products[t.Product]; p.kind {
	case "inquiry-like":
		return true
	case "referenced":
		return d.now+travel < t.firstRan+p.window
	}
	return false
}

// submit is the one gate that every send passes; every rule is asked again here.
func (d *Gateway) submit(t *txn, a *account, b *backend) {
	if t.ended || t.outAt != nil || t.nr >= d.submissions || d.now >= t.Expiry-2*ms || !d.allowed(b, t) {
		d.end(t, 0)
		return
	}
	if t.nr == 0 {
		d.unkeep(t)
		if !t.over {
			t.drawn = true
			d.quota.spend(a, t.Units)
		}
		d.retries = min(retryMost, d.retries+retryGain)
		d.probeRight = min(probeMost, d.probeRight+probeGain)
	} else {
		d.retries--
	}
	if b.warm < 1 {
		b.cold -= d.weight(t) // may go below nought: a big txn is paid off before the next
	}
	if d.work <= 0 {
		d.work = d.usual(t).Seconds()
	}
	d.work += smooth / 5 * (d.usual(t).Seconds() - d.work)
	b.sentAt = d.now
	if b.owed == 0 {
		b.oweSince = d.now
	}
	b.owed++
	b.out++
	d.quota.sent(a, 1)
	t.nr++
	t.outAt, t.last, t.sent = b, b, d.now
	x := Decision{Verb: Submit, Txn: t.ID, Backend: b.ID, Whole: wholeIn}
	p := d.products[t.Product]
	if p.kind != "once-only" {
		x.Limit = t.slaAt - d.now - 4*ms // an answer past the SLA time is hardly worth the work
		if t.nr == 1 && !d.isPressed() && firstTimes*d.usual(t) < time.Duration(firstTry*float64(x.Limit)) {
			x.Limit = time.Duration(firstTry * float64(x.Limit))
		}
	}
	d.ready = append(d.ready, x)
}

// ---- Periodic work

// pace is the time from one periodic work to the next.
func (d *Gateway) pace() time.Duration {
	if len(d.line) > 0 || len(d.quota.posted) > 0 {
		return period
	}
	return lookEvery
}

// sweep is all work that comes by the clock.
func (d *Gateway) sweep() {
	d.recheck, d.noRoom = true, false
	if d.now-d.looked >= lookEvery {
		d.looked = d.now
		d.lookAround()
	}
	d.quota.Sweep()
}
