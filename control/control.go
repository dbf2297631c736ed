// Package control decides for one gateway: which txns pass, to which backend, and what its peers are told.
//
// How it is called: the host sets the clock with Now, tells what happened by the input calls (TxnArrived,
// SubmissionEnded and so on), which only update what is known, and then pulls decisions with Next one by one
// until there is none. The interface (ids, Txn, Listing, Decision, Settings) is in types.go, bookkeeping in
// state.go, the peer messages in peer.go, the due queue in internal/timerqueue; why: docs/design.md.
package control

import (
	"sort"
	"time"
)

// Tuned values. Shares are of 1.
const (
	busyInterval        = 20 * time.Millisecond  // periodic work while something waits
	surveyInterval      = 100 * time.Millisecond // and while nothing does
	stallThreshold      = 250 * time.Millisecond // without a turn: this gateway stood still
	firstAttemptShare   = 0.9                    // of the time left to the SLA time: a submission's limit; a repeat takes as long again
	firstAttemptFactor  = 4                      // and such a limit is set only above this times the usual answer time
	retryCreditPerTxn   = 0.2                    // further submissions earned by a txn
	maxRetryCredit      = 30.0
	pressureTTL         = 300 * time.Millisecond
	backendTimeoutShare = 0.35                   // of the SLA time: longest wait for a backend
	networkMargin       = 40 * time.Millisecond  // margin for the way to a backend
	responseTimeout     = 100 * time.Millisecond // of an answer that has begun

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
func (c *Controller) Now(now time.Duration) {
	// A gateway that stood still for longer than its periodic work allows finds time-outs, silence and old views
	// of its own making: they are held against nobody. What came meanwhile has waited already, see backdateArrivals.
	if c.now > c.startedAt && now-c.now > stallThreshold {
		c.pausedFrom, c.pausedUntil = c.now, now
		for _, b := range c.ordered {
			b.unansweredSince = now
		}
	}
	c.now = max(c.now, now)
	c.quota.Now(now)
}

// setDeadlines works out when a txn's SLA time is over. Clients count it from their first try, and their patience: a
// try's expiry is what is left of it, unless a try may take less, as first tries show. A repeat with time
// left is as good as a first try; one of which nothing is known, or that still earns something when late, is
// late: it leaves low buckets and scarce room to the others.
func (c *Controller) setDeadlines(t *txn) {
	p := &c.products[t.Product]
	left := t.Expiry - c.now
	t.slaAt = min(c.now+p.slaTime, t.Expiry)
	if !t.Retry {
		p.attemptTimeout = min(max(p.attemptTimeout, left), p.clientTimeout)
		return
	}
	gone := p.clientTimeout - left
	t.late = p.attemptTimeout <= 0 || left >= p.attemptTimeout-networkMargin && gone > networkMargin || gone >= p.slaTime && p.lateValue > 0
	if !t.late && gone > 0 {
		t.slaAt = min(t.slaAt, c.now+p.slaTime-gone)
	}
}

// backdateArrivals spreads the txns that came while this gateway stood still over that time: those whose SLA time is
// over by then are declined at once and take no units.
func (c *Controller) backdateArrivals() {
	n := len(c.undecided)
	for i, t := range c.undecided {
		if t.arrived == c.now && t.submissions == 0 {
			waited := time.Duration(float64(c.pausedUntil-c.pausedFrom) * (float64(n-i) - 0.5) / float64(n))
			t.slaAt = min(t.slaAt, c.now-waited+c.products[t.Product].slaTime)
		}
	}
	c.pausedFrom = c.pausedUntil
}

// ---- Decisions

// Next gives the next thing to do now, or false when there is none.
func (c *Controller) Next() (Decision, bool) {
	if c.pausedFrom < c.pausedUntil {
		c.backdateArrivals()
	}
	for {
		if len(c.decisions) > 0 {
			x := c.decisions[0]
			c.decisions = c.decisions[1:]
			return x, true
		}
		if c.recheck {
			c.recheck = false
			if len(c.waiting) > 0 {
				for _, t := range c.waiting {
					t.queued = false
				}
				c.undecided, c.waiting = append(c.waiting, c.undecided...), nil
				if c.underPressure() { // what is worth most for the time it takes goes first, the older before
					sort.SliceStable(c.undecided, func(i, j int) bool { return c.valueRate(c.undecided[i]) > c.valueRate(c.undecided[j]) })
				}
			}
		}
		if len(c.undecided) > 0 {
			t := c.undecided[0]
			c.undecided = c.undecided[1:]
			c.decide(t)
			continue
		}
		if id, ok := c.timers.Take(c.now); ok {
			if t := c.txns[id]; t != nil {
				c.expire(t)
			}
			continue
		}
		if c.now-c.sweptAt >= c.workInterval() {
			c.sweptAt = c.now
			c.sweep()
			continue
		}
		if to, payload, ok := c.quota.NextDatagram(); ok {
			return Decision{Action: SendDatagram, Peer: to, Payload: payload}, true
		}
		return c.wake()
	}
}

// decide settles what happens to a txn that has no submission out.
func (c *Controller) decide(t *txn) {
	if t.ended || t.current != nil || t.queued {
		return
	}
	if t.submissions > 0 && (t.submissions >= c.maxSubmissions || c.retryCredit < 1 || c.underPressure() && t.mayHaveRun) ||
		c.now+min(c.usualLatency(t), c.products[t.Product].slaTime/4)/2 >= t.slaAt {
		t.reason = ReasonNoTime
		c.finish(t, c.maxAdvice)
		return
	}
	if t.submissions > 0 && t.mayHaveRun && !c.repeatable(t) {
		c.finish(t, 0)
		return
	}
	a := c.quota.Account(t.Customer, t.Plan, t.SetFirst, t.SetWidth)
	if !t.consumed && !t.overQuota && !t.reserved {
		verdict, until, lack := c.quota.CheckAccount(a, c.quotaRequest(t))
		switch t.reason = lack; verdict {
		case Pending:
			c.enqueue(t, until)
			return
		case Exceeded:
			if !c.mayUseSpare(a, t) {
				c.finish(t, until)
				return
			}
			t.overQuota = true
		}
	}
	t.reason = ReasonNoBackend
	var b *backend
	if !c.saturated || t.mayHaveRun {
		b = c.pick(t)
	}
	if t.late && t.submissions == 0 && (b == nil || c.underPressure()) {
		// What room there is belongs to first tries: a repeat is late by now, or soon.
		c.finish(t, c.maxAdvice)
		return
	}
	if b == nil {
		c.saturatedAt = c.now
		if !t.consumed && !t.overQuota && !t.reserved {
			// What covers it is kept for it: a view that ages while it waits for a backend would decline it.
			t.reserved = true
			c.quota.ReserveAccount(a, t.Units)
		}
		c.enqueue(t, t.arrived+time.Duration(backendTimeoutShare*float64(c.products[t.Product].slaTime)))
		return
	}
	c.submit(t, a, b)
}

// valueRate is a txn's value for the time it takes. Plans count alike: none is let go for its price.
func (c *Controller) valueRate(t *txn) float64 {
	return c.products[t.Product].value * max(t.Units, 1) / max(c.usualLatency(t).Seconds(), 0.001)
}

// mayUseSpare tells whether a txn beyond its quota may go on: an exception for plans that pay for it and are not
// charged, only while the backends clearly have room and nothing inside a quota lacked any lately.
func (c *Controller) mayUseSpare(a *Account, t *txn) bool {
	p := &c.plans[a.Plan()]
	return p.overValue > 0 && p.overCost <= 0 && p.MaxInFlight == 0 && p.HardRate <= 0 && !t.late &&
		c.utilization < maxSpareUtilization && c.now-c.saturatedAt > spareCalmTime
}

// enqueue puts a txn in the waiting line until a time at which it is given up.
func (c *Controller) enqueue(t *txn, until time.Duration) {
	if until <= c.now {
		c.finish(t, 0)
		return
	}
	t.queued = true
	if t.giveUpAt < until {
		t.giveUpAt = until
		c.timers.Add(until, t.ID)
	}
	c.waiting = append(c.waiting, t)
}

// expire gives up a txn whose due time has come.
func (c *Controller) expire(t *txn) {
	if t.queued && c.now < t.Expiry-2*time.Millisecond && c.now >= t.giveUpAt && (t.reason == ReasonNoUnits || t.reason == ReasonNoSnapshot) {
		t.queued = false // decided a last time: without an answer of the owner it may have the allowance
		c.undecided = append(c.undecided, t)
		return
	}
	if c.now < t.Expiry-2*time.Millisecond && (t.current != nil || !t.queued || c.now < t.giveUpAt) {
		return
	}
	c.finish(t, 0)
}

// finish is the one place where a txn gets its final answer (rules 1 and 2), at once.
// A decline promises that a repeat is safe: only if nothing ran, or the product bears repeats everywhere.
func (c *Controller) finish(t *txn, advice time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	c.givenUp[t.reason]++
	p := c.products[t.Product]
	again := p.effect == "inquiry-like" || p.effect == "referenced" && p.repeatScope == "all"
	x := Decision{Action: Fail, Txn: t.ID, Reason: t.reason}
	if again || !t.mayHaveRun && t.current == nil {
		x.Action = Reject
		if c.adviceAllowed {
			x.After = max(0, min(advice, c.maxAdvice))
		}
	}
	c.decisions = append(c.decisions, x)
	if t.current != nil {
		if c.cancelAllowed {
			c.decisions = append(c.decisions, Decision{Action: Cancel, Txn: t.ID, Attempt: t.submissions - 1})
		}
		return // its outcome still comes
	}
	c.forget(t)
}

// repeatable tells whether a txn that may have run may go out again now (rule 2).
func (c *Controller) repeatable(t *txn) bool {
	switch p := c.products[t.Product]; p.effect {
	case "inquiry-like":
		return true
	case "referenced":
		return c.now+networkMargin < t.firstRanAt+p.repeatWindow
	}
	return false
}

// submit is the one gate that every send passes; every rule is asked again here.
func (c *Controller) submit(t *txn, a *Account, b *backend) {
	if t.ended || t.current != nil || t.submissions >= c.maxSubmissions || c.now >= t.Expiry-2*time.Millisecond || !c.allowed(b, t) {
		c.finish(t, 0)
		return
	}
	if t.submissions == 0 {
		c.release(t)
		if !t.overQuota {
			t.consumed = true
			c.quota.ConsumeAccount(a, t.Units)
		}
		c.retryCredit = min(maxRetryCredit, c.retryCredit+retryCreditPerTxn)
		c.probeCredit = min(maxProbeCredit, c.probeCredit+probeCreditPerTxn)
	} else {
		c.retryCredit--
	}
	if b.warmth < 1 {
		b.warmUpTokens -= c.workWeight(t) // may go below nought: a big txn is paid off before the next
	}
	if c.meanWork <= 0 {
		c.meanWork = c.usualLatency(t).Seconds()
	}
	c.meanWork += smoothing / 5 * (c.usualLatency(t).Seconds() - c.meanWork)
	b.sentAt = c.now
	if b.unanswered == 0 {
		b.unansweredSince = c.now
	}
	b.unanswered++
	b.inFlight++
	c.quota.SubmissionSent(a)
	t.submissions++
	t.current, t.previous, t.sentAt = b, b, c.now
	x := Decision{Action: Submit, Txn: t.ID, Backend: b.ID, ResponseTimeout: responseTimeout}
	p := c.products[t.Product]
	if p.effect != "once-only" {
		x.After = t.slaAt - c.now - 4*time.Millisecond // an answer past the SLA time is hardly worth the work
		if t.submissions == 1 && !c.underPressure() && firstAttemptFactor*c.usualLatency(t) < time.Duration(firstAttemptShare*float64(x.After)) {
			x.After = time.Duration(firstAttemptShare * float64(x.After))
		}
	}
	c.decisions = append(c.decisions, x)
}

// ---- Periodic work

// workInterval is the time from one periodic work to the next.
func (c *Controller) workInterval() time.Duration {
	if len(c.waiting) > 0 || c.quota.HasPending() {
		return busyInterval
	}
	return surveyInterval
}

// sweep is all work that comes by the clock.
func (c *Controller) sweep() {
	c.recheck, c.saturated = true, false
	if c.now-c.examinedAt >= surveyInterval {
		c.examinedAt = c.now
		c.examineBackends()
	}
	c.quota.Sweep()
}
