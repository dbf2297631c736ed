package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// txn is one that this gateway holds.
type txn struct {
	control.Txn
	arrived, slaAt time.Duration
	queued         bool // in the waiting line
	giveUpAt       time.Duration
	consumed       bool // units taken
	overQuota      bool // let in beyond the quota
	late           bool // a repeat whose SLA time is over, or may be
	reserved       bool // its units are kept while it waits for a backend
	ended          bool
	reason         control.Reason // what it last lacked
	submissions    int            // submissions so far
	current        *backend
	sentAt         time.Duration
	mayHaveRun     bool
	firstRanAt     time.Duration // send of the first submission that may have run
	ranZone        control.ZoneID
	ranPod         control.PodID
	previous       *backend
}

// TxnArrived takes a client's txn in.
func (c *Controller) TxnArrived(x control.Txn) {
	if c.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, arrived: c.now}
	if x.Product < 0 || int(x.Product) >= len(c.products) || x.Plan < 0 || int(x.Plan) >= len(c.plans) {
		t.Product, t.Plan, t.slaAt = 0, 0, c.now // a kind that the settings don't name: declined for want of time
	} else {
		c.setDeadlines(t)
	}
	c.txns[x.ID] = t
	c.timers.Add(x.Expiry-2*time.Millisecond, x.ID) // rule 1: every expiry is watched
	c.undecided = append(c.undecided, t)
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

// decide settles what happens to a txn that has no submission out.
func (c *Controller) decide(t *txn) {
	if t.ended || t.current != nil || t.queued {
		return
	}
	if t.submissions > 0 && (t.submissions >= c.maxSubmissions || c.retryCredit < 1 || c.underPressure() && t.mayHaveRun) ||
		c.now+min(c.usualLatency(t), c.products[t.Product].slaTime/4)/2 >= t.slaAt {
		t.reason = control.ReasonNoTime
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
		case quota.Pending:
			c.enqueue(t, until)
			return
		case quota.Exceeded:
			if !c.mayUseSpare(a, t) {
				c.finish(t, until)
				return
			}
			t.overQuota = true
		}
	}
	t.reason = control.ReasonNoBackend
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

// quotaRequest is what a txn asks of the quota.
func (c *Controller) quotaRequest(t *txn) quota.Request {
	return quota.Request{Units: t.Units, Arrived: t.arrived, SLA: c.products[t.Product].slaTime, Late: t.late}
}

// valueRate is a txn's value for the time it takes. Plans count alike: none is let go for its price.
func (c *Controller) valueRate(t *txn) float64 {
	return c.products[t.Product].value * max(t.Units, 1) / max(c.usualLatency(t).Seconds(), 0.001)
}

// mayUseSpare tells whether a txn beyond its quota may go on: an exception for plans that pay for it and are not
// charged, only while the backends clearly have room and nothing inside a quota lacked any lately.
func (c *Controller) mayUseSpare(a *quota.Account, t *txn) bool {
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
	if t.queued && c.now < t.Expiry-2*time.Millisecond && c.now >= t.giveUpAt && (t.reason == control.ReasonNoUnits || t.reason == control.ReasonNoSnapshot) {
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
	x := control.Decision{Action: control.Fail, Txn: t.ID, Reason: t.reason}
	if again || !t.mayHaveRun && t.current == nil {
		x.Action = control.Reject
		if c.adviceAllowed {
			x.After = max(0, min(advice, c.maxAdvice))
		}
	}
	c.decisions = append(c.decisions, x)
	if t.current != nil {
		if c.cancelAllowed {
			c.decisions = append(c.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
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
func (c *Controller) submit(t *txn, a *quota.Account, b *backend) {
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
	x := control.Decision{Action: control.Submit, Txn: t.ID, Backend: b.ID, ResponseTimeout: responseTimeout}
	p := c.products[t.Product]
	if p.effect != "once-only" {
		x.After = t.slaAt - c.now - 4*time.Millisecond // an answer past the SLA time is hardly worth the work
		if t.submissions == 1 && !c.underPressure() && firstAttemptFactor*c.usualLatency(t) < time.Duration(firstAttemptShare*float64(x.After)) {
			x.After = time.Duration(firstAttemptShare * float64(x.After))
		}
	}
	c.decisions = append(c.decisions, x)
}

// SubmissionEnded takes the one outcome of a submission.
func (c *Controller) SubmissionEnded(id control.TxnID, nr int, at control.BackendID, e control.Ending, over bool, took time.Duration,
	load []float64) {
	t, b := c.txns[id], c.backends[at]
	if b != nil {
		c.recordOutcome(t, b, e, took, load)
	}
	if t == nil || nr != t.submissions-1 || t.current == nil {
		return
	}
	t.current.inFlight--
	t.current = nil
	c.quota.SubmissionEnded(t.Customer)
	if !e.ProvesNotRun() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRanAt = true, t.sentAt
		if b != nil {
			t.ranZone, t.ranPod = b.Zone, b.Pod
		}
	}
	c.recheck, c.saturated = true, false
	if over || t.ended {
		c.forget(t)
		return
	}
	c.undecided = append(c.undecided, t)
}

// ClientLeft is told when nobody waits for this txn any more.
func (c *Controller) ClientLeft(id control.TxnID) {
	if t := c.txns[id]; t != nil {
		c.forget(t)
	}
}

func (c *Controller) forget(t *txn) {
	t.ended = true
	c.release(t)
	if t.current != nil { // the outcome is still to come and counts for the backend
		return
	}
	delete(c.txns, t.ID)
}

// release lets go of the units kept for a txn.
func (c *Controller) release(t *txn) {
	if t.reserved {
		c.quota.Release(t.Customer, t.Units)
	}
	t.reserved = false
}
