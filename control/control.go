// Package control decides for one gateway: which txns pass, to which backend, and what its peers are told.
//
// How it is called: the host sets the clock with Now, tells what happened by the input calls (TxnArrived,
// SubmissionEnded and so on), which only update what is known, and then pulls decisions with Next one by one
// until there is none. The interface (ids, Txn, Listing, Decision, Settings) is in types.go, bookkeeping in
// state.go, the peer messages in peer.go, the due queue in internal/proxy/timerqueue; why: docs/design.md.
package control

import (
	"sort"
	"time"
)

const millisecond = time.Millisecond

// Tuned values. Shares are of 1.
const (
	busyInterval        = 20 * millisecond  // periodic work while something waits
	surveyInterval      = 100 * millisecond // and while nothing does
	stallThreshold      = 250 * millisecond // without a turn: this gateway stood still
	firstAttemptShare   = 0.9               // of the time left to the SLA time: a submission's limit; a repeat takes as long again
	firstAttemptFactor  = 4                 // and such a limit is set only above this times the usual answer time
	retryCreditPerTxn   = 0.2               // further submissions earned by a txn
	maxRetryCredit      = 30.0
	pressureTTL         = 300 * millisecond
	backendTimeoutShare = 0.35              // of the SLA time: longest wait for a backend
	networkMargin       = 40 * millisecond  // margin for the way to a backend
	responseTimeout     = 100 * millisecond // of an answer that has begun

	maxSpareUtilization, spareCalmTime = 0.4, 3 * time.Second // use of room, and calm, at which what pays may go on
)

// New starts an instance: nothing is known but the settings.
func New(seed int64, s Settings, now time.Duration) (*Controller, error) {
	d, p := newController(seed, s, now)
	d.retryCredit, d.saturatedAt, d.capacity = maxRetryCredit/3, -pressureTTL, initialCapacity/float64(max(d.gateways, 1))
	d.probeCredit, d.capacityGain = maxProbeCredit, initialCapacityGain
	return d, p.err
}

// Now sets the clock.
func (d *Controller) Now(now time.Duration) {
	// A gateway that stood still for longer than its periodic work allows finds time-outs, silence and old views
	// of its own making: they are held against nobody. What came meanwhile has waited already, see backdateArrivals.
	if d.now > d.startedAt && now-d.now > stallThreshold {
		d.pausedFrom, d.pausedUntil = d.now, now
		for _, b := range d.ordered {
			b.unansweredSince = now
		}
	}
	d.now = max(d.now, now)
	d.quota.Now(now)
}

// setDeadlines works out when a txn's SLA time is over. Clients count it from their first try, and their patience: a
// try's expiry is what is left of it, unless a try may take less, as first tries show. A repeat with time
// left is as good as a first try; one of which nothing is known, or that still earns something when late, is
// late: it leaves low buckets and scarce room to the others.
func (d *Controller) setDeadlines(t *txn) {
	p := &d.products[t.Product]
	left := t.Expiry - d.now
	t.slaAt = min(d.now+p.slaTime, t.Expiry)
	if !t.Retry {
		p.attemptTimeout = min(max(p.attemptTimeout, left), p.clientTimeout)
		return
	}
	gone := p.clientTimeout - left
	t.late = p.attemptTimeout <= 0 || left >= p.attemptTimeout-networkMargin && gone > networkMargin || gone >= p.slaTime && p.lateValue > 0
	if !t.late && gone > 0 {
		t.slaAt = min(t.slaAt, d.now+p.slaTime-gone)
	}
}

// backdateArrivals spreads the txns that came while this gateway stood still over that time: those whose SLA time is
// over by then are declined at once and take no units.
func (d *Controller) backdateArrivals() {
	n := len(d.undecided)
	for i, t := range d.undecided {
		if t.arrived == d.now && t.submissions == 0 {
			waited := time.Duration(float64(d.pausedUntil-d.pausedFrom) * (float64(n-i) - 0.5) / float64(n))
			t.slaAt = min(t.slaAt, d.now-waited+d.products[t.Product].slaTime)
		}
	}
	d.pausedFrom = d.pausedUntil
}

// ---- Decisions

// Next gives the next thing to do now, or false when there is none.
func (d *Controller) Next() (Decision, bool) {
	if d.pausedFrom < d.pausedUntil {
		d.backdateArrivals()
	}
	for {
		if len(d.decisions) > 0 {
			x := d.decisions[0]
			d.decisions = d.decisions[1:]
			return x, true
		}
		if d.recheck {
			d.recheck = false
			if len(d.waiting) > 0 {
				for _, t := range d.waiting {
					t.queued = false
				}
				d.undecided, d.waiting = append(d.waiting, d.undecided...), nil
				if d.underPressure() { // what is worth most for the time it takes goes first, the older before
					sort.SliceStable(d.undecided, func(i, j int) bool { return d.valueRate(d.undecided[i]) > d.valueRate(d.undecided[j]) })
				}
			}
		}
		if len(d.undecided) > 0 {
			t := d.undecided[0]
			d.undecided = d.undecided[1:]
			d.decide(t)
			continue
		}
		if id, ok := d.timers.Take(d.now); ok {
			if t := d.txns[id]; t != nil {
				d.expire(t)
			}
			continue
		}
		if d.now-d.sweptAt >= d.workInterval() {
			d.sweptAt = d.now
			d.sweep()
			continue
		}
		if to, payload, ok := d.quota.NextDatagram(); ok {
			return Decision{Action: SendDatagram, Peer: to, Payload: payload}, true
		}
		return d.wake()
	}
}

// decide settles what happens to a txn that has no submission out.
func (d *Controller) decide(t *txn) {
	if t.ended || t.current != nil || t.queued {
		return
	}
	if t.submissions > 0 && (t.submissions >= d.maxSubmissions || d.retryCredit < 1 || d.underPressure() && t.mayHaveRun) ||
		d.now+min(d.usualLatency(t), d.products[t.Product].slaTime/4)/2 >= t.slaAt {
		t.reason = reasonNoTime
		d.finish(t, d.maxAdvice)
		return
	}
	if t.submissions > 0 && t.mayHaveRun && !d.repeatable(t) {
		d.finish(t, 0)
		return
	}
	a := d.quota.account(t.Customer, t.Plan)
	d.quota.assignOwner(a, t.SetFirst, t.SetWidth)
	a.usedAt = d.now
	if !t.consumed && !t.overQuota && !t.reserved {
		verdict, until, lack := d.quota.check(a, d.quotaRequest(t))
		switch t.reason = lack; verdict {
		case Pending:
			d.enqueue(t, until)
			return
		case Exceeded:
			if !d.mayUseSpare(a, t) {
				d.finish(t, until)
				return
			}
			t.overQuota = true
		}
	}
	t.reason = reasonNoBackend
	var b *backend
	if !d.saturated || t.mayHaveRun {
		b = d.pick(t)
	}
	if t.late && t.submissions == 0 && (b == nil || d.underPressure()) {
		// What room there is belongs to first tries: a repeat is late by now, or soon.
		d.finish(t, d.maxAdvice)
		return
	}
	if b == nil {
		d.saturatedAt = d.now
		if !t.consumed && !t.overQuota && !t.reserved {
			// What covers it is kept for it: a view that ages while it waits for a backend would decline it.
			t.reserved = true
			d.quota.reserve(a, t.Units)
		}
		d.enqueue(t, t.arrived+time.Duration(backendTimeoutShare*float64(d.products[t.Product].slaTime)))
		return
	}
	d.submit(t, a, b)
}

// valueRate is a txn's value for the time it takes. Plans count alike: none is let go for its price.
func (d *Controller) valueRate(t *txn) float64 {
	return d.products[t.Product].value * max(t.Units, 1) / max(d.usualLatency(t).Seconds(), 0.001)
}

// mayUseSpare tells whether a txn beyond its quota may go on: an exception for plans that pay for it and are not
// charged, only while the backends clearly have room and nothing inside a quota lacked any lately.
func (d *Controller) mayUseSpare(a *account, t *txn) bool {
	p := &d.plans[a.planID]
	return p.overValue > 0 && p.overCost <= 0 && p.maxInFlight == 0 && p.hardRate <= 0 && !t.late &&
		d.utilization < maxSpareUtilization && d.now-d.saturatedAt > spareCalmTime
}

// enqueue puts a txn in the waiting line until a time at which it is given up.
func (d *Controller) enqueue(t *txn, until time.Duration) {
	if until <= d.now {
		d.finish(t, 0)
		return
	}
	t.queued = true
	if t.giveUpAt < until {
		t.giveUpAt = until
		d.timers.Add(until, t.ID)
	}
	d.waiting = append(d.waiting, t)
}

// expire gives up a txn whose due time has come.
func (d *Controller) expire(t *txn) {
	if t.queued && d.now < t.Expiry-2*millisecond && d.now >= t.giveUpAt && (t.reason == reasonNoUnits || t.reason == reasonNoSnapshot) {
		t.queued = false // decided a last time: without an answer of the owner it may have the allowance
		d.undecided = append(d.undecided, t)
		return
	}
	if d.now < t.Expiry-2*millisecond && (t.current != nil || !t.queued || d.now < t.giveUpAt) {
		return
	}
	d.finish(t, 0)
}

// finish is the one place where a txn gets its final answer (rules 1 and 2), at once.
// A decline promises that a repeat is safe: only if nothing ran, or the product bears repeats everywhere.
func (d *Controller) finish(t *txn, advice time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	d.givenUp[t.reason]++
	p := d.products[t.Product]
	again := p.effect == "inquiry-like" || p.effect == "referenced" && p.repeatScope == "all"
	x := Decision{Action: Fail, Txn: t.ID, Reason: t.reason}
	if again || !t.mayHaveRun && t.current == nil {
		x.Action = Reject
		if d.adviceAllowed {
			x.After = max(0, min(advice, d.maxAdvice))
		}
	}
	d.decisions = append(d.decisions, x)
	if t.current != nil {
		if d.cancelAllowed {
			d.decisions = append(d.decisions, Decision{Action: Cancel, Txn: t.ID, Attempt: t.submissions - 1})
		}
		return // its outcome still comes
	}
	d.forget(t)
}

// repeatable tells whether a txn that may have run may go out again now (rule 2).
func (d *Controller) repeatable(t *txn) bool {
	switch p := d.products[t.Product]; p.effect {
	case "inquiry-like":
		return true
	case "referenced":
		return d.now+networkMargin < t.firstRanAt+p.repeatWindow
	}
	return false
}

// submit is the one gate that every send passes; every rule is asked again here.
func (d *Controller) submit(t *txn, a *account, b *backend) {
	if t.ended || t.current != nil || t.submissions >= d.maxSubmissions || d.now >= t.Expiry-2*millisecond || !d.allowed(b, t) {
		d.finish(t, 0)
		return
	}
	if t.submissions == 0 {
		d.release(t)
		if !t.overQuota {
			t.consumed = true
			d.quota.consume(a, t.Units)
		}
		d.retryCredit = min(maxRetryCredit, d.retryCredit+retryCreditPerTxn)
		d.probeCredit = min(maxProbeCredit, d.probeCredit+probeCreditPerTxn)
	} else {
		d.retryCredit--
	}
	if b.warmth < 1 {
		b.warmUpTokens -= d.workWeight(t) // may go below nought: a big txn is paid off before the next
	}
	if d.meanWork <= 0 {
		d.meanWork = d.usualLatency(t).Seconds()
	}
	d.meanWork += smoothing / 5 * (d.usualLatency(t).Seconds() - d.meanWork)
	b.sentAt = d.now
	if b.unanswered == 0 {
		b.unansweredSince = d.now
	}
	b.unanswered++
	b.inFlight++
	d.quota.addInFlight(a, 1)
	t.submissions++
	t.current, t.previous, t.sentAt = b, b, d.now
	x := Decision{Action: Submit, Txn: t.ID, Backend: b.ID, ResponseTimeout: responseTimeout}
	p := d.products[t.Product]
	if p.effect != "once-only" {
		x.After = t.slaAt - d.now - 4*millisecond // an answer past the SLA time is hardly worth the work
		if t.submissions == 1 && !d.underPressure() && firstAttemptFactor*d.usualLatency(t) < time.Duration(firstAttemptShare*float64(x.After)) {
			x.After = time.Duration(firstAttemptShare * float64(x.After))
		}
	}
	d.decisions = append(d.decisions, x)
}

// ---- Periodic work

// workInterval is the time from one periodic work to the next.
func (d *Controller) workInterval() time.Duration {
	if len(d.waiting) > 0 || len(d.quota.pending) > 0 {
		return busyInterval
	}
	return surveyInterval
}

// sweep is all work that comes by the clock.
func (d *Controller) sweep() {
	d.recheck, d.saturated = true, false
	if d.now-d.examinedAt >= surveyInterval {
		d.examinedAt = d.now
		d.examineBackends()
	}
	d.quota.Sweep()
}
