package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// txn is a txn that this front door holds, until it is answered and its last submission has ended.
type txn struct {
	control.Txn
	arrived     time.Duration
	slaDeadline time.Duration // end of the SLA time
	lateRetry   bool          // a client's retry whose SLA time is over, or may be
	ended       bool          // answered, or its client is gone

	// Waiting.
	queued   bool // in Controller.waiting
	giveUpAt time.Duration
	reason   control.Reason // what it last lacked

	// Quota: none or one of these.
	reserved  bool // its units are reserved while it waits for a backend
	consumed  bool // its units are taken
	overQuota bool // let in beyond the quota

	// Submissions.
	submissions     int
	currentBackend  *backend // where one is in flight
	previousBackend *backend // where the last one was
	sentAt          time.Duration

	// What is known of its running.
	mayHaveRun bool
	firstRanAt time.Duration // when the first submission that may have run was sent
	ranZone    control.ZoneID
	ranPod     control.PodID
}

// needsQuota tells whether the quota still has to let it pass.
func (t *txn) needsQuota() bool { return !t.consumed && !t.overQuota && !t.reserved }

// TxnArrived takes a client's txn.
func (c *Controller) TxnArrived(x control.Txn) {
	if c.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, arrived: c.now}
	if x.Product < 0 || int(x.Product) >= len(c.products) || x.Plan < 0 || int(x.Plan) >= len(c.plans) {
		t.Product, t.Plan, t.slaDeadline = 0, 0, c.now // the settings don't name it: rejected for want of time
	} else {
		c.setDeadlines(t)
	}
	c.txns[x.ID] = t
	c.timers.Add(x.Expiry-expiryMargin, x.ID) // rule 1: every expiry is watched
	c.undecided = append(c.undecided, t)
}

// setDeadlines works out when a txn's SLA time is over. Clients count that from their first attempt, and their time-out as well: an attempt's expiry is
// what is left of it, or less if an attempt may take less, which first attempts show. A retry with time left is as good as a first attempt. One of which
// that is not known, or that still has some value when late, is late: it leaves low buckets and scarce capacity to the others.
func (c *Controller) setDeadlines(t *txn) {
	p := &c.products[t.Product]
	left := t.Expiry - c.now
	t.slaDeadline = min(c.now+p.slaTime, t.Expiry)
	if !t.Retry {
		p.attemptTimeout = min(max(p.attemptTimeout, left), p.clientTimeout)
		return
	}
	elapsed := p.clientTimeout - left
	unknown := p.attemptTimeout <= 0 || left >= p.attemptTimeout-networkMargin && elapsed > networkMargin
	t.lateRetry = unknown || elapsed >= p.slaTime && p.lateValue > 0
	if !t.lateRetry && elapsed > 0 {
		t.slaDeadline = min(t.slaDeadline, c.now+p.slaTime-elapsed)
	}
}

// backdateArrivals spreads the txns that arrived during a standstill evenly over it: those whose SLA time is over by then are rejected at once and take
// no units.
func (c *Controller) backdateArrivals() {
	n := len(c.undecided)
	for i, t := range c.undecided {
		if t.arrived == c.now && t.submissions == 0 {
			waited := time.Duration(float64(c.pausedUntil-c.pausedFrom) * (float64(n-i) - 0.5) / float64(n))
			t.slaDeadline = min(t.slaDeadline, c.now-waited+c.products[t.Product].slaTime)
		}
	}
	c.pausedFrom = c.pausedUntil
}

// decide decides about a txn that has no submission in flight: it is sent, waits, or is answered.
func (c *Controller) decide(t *txn) {
	if t.ended || t.currentBackend != nil || t.queued {
		return
	}
	if !c.canSubmitInTime(t) {
		t.reason = control.ReasonNoTime
		c.finish(t, c.maxRetryAfter)
		return
	}
	if t.submissions > 0 && t.mayHaveRun && !c.repeatable(t) {
		c.finish(t, 0)
		return
	}
	a := c.quota.Account(t.Customer, t.Plan, t.SetFirst, t.SetWidth)
	if t.needsQuota() && !c.checkQuota(t, a) {
		return
	}
	t.reason = control.ReasonNoBackend
	var b *backend
	if !c.saturated || t.mayHaveRun {
		b = c.pick(t)
	}
	switch {
	case t.lateRetry && t.submissions == 0 && (b == nil || c.underPressure()):
		c.finish(t, c.maxRetryAfter) // what capacity there is belongs to first attempts
	case b == nil:
		c.awaitBackend(t, a)
	default:
		c.submit(t, a, b)
	}
}

// canSubmitInTime tells whether an answer may still come in time, and whether a txn that was sent before may be sent again.
func (c *Controller) canSubmitInTime(t *txn) bool {
	if t.submissions > 0 && (t.submissions >= c.maxSubmissions || c.retryBudget < 1 || c.underPressure() && t.mayHaveRun) {
		return false
	}
	return c.now+min(c.usualLatency(t), c.products[t.Product].slaTime/4)/2 < t.slaDeadline
}

// checkQuota asks the quota for a txn's units. A txn that may not go on is queued or answered.
func (c *Controller) checkQuota(t *txn, a *quota.Account) bool {
	request := quota.Request{Units: t.Units, Arrived: t.arrived, SLA: c.products[t.Product].slaTime, Late: t.lateRetry}
	outcome, at, reason := c.quota.CheckAccount(a, request)
	t.reason = reason
	switch outcome {
	case quota.Pending:
		c.enqueue(t, at)
		return false
	case quota.Exceeded:
		if !c.mayExceedQuota(a, t) {
			c.finish(t, at)
			return false
		}
		t.overQuota = true
	}
	return true
}

// awaitBackend lets a txn wait for a backend. Its units are reserved: a snapshot that grows old while it waits would not cover it any more.
func (c *Controller) awaitBackend(t *txn, a *quota.Account) {
	c.saturatedAt = c.now
	if t.needsQuota() {
		t.reserved = true
		c.quota.ReserveAccount(a, t.Units)
	}
	c.enqueue(t, t.arrived+time.Duration(backendQueueTimeShare*float64(c.products[t.Product].slaTime)))
}

// valueRate is a txn's value over the time that it takes. Plans count alike: none is passed over for its price.
func (c *Controller) valueRate(t *txn) float64 {
	return c.products[t.Product].value * max(t.Units, 1) / max(c.usualLatency(t).Seconds(), 0.001)
}

// mayExceedQuota tells whether a txn beyond its quota may pass all the same: an exception for plans that gain by it and are not charged, only while the
// backends clearly have capacity and nothing within a quota lacked any lately.
func (c *Controller) mayExceedQuota(a *quota.Account, t *txn) bool {
	p := &c.plans[a.Plan()]
	return p.overQuotaValue > 0 && p.overQuotaCost <= 0 && p.MaxInFlight == 0 && p.HardRate <= 0 && !t.lateRetry &&
		c.utilization < maxOverQuotaUtilization && c.now-c.saturatedAt > overQuotaCooldown
}

// enqueue lets a txn wait until a time at which it is given up.
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

// expire gives up a txn at its expiry, or when it has waited for too long. One that waits for units is decided a last time: if the owner has not
// answered it may pass by the burst share.
func (c *Controller) expire(t *txn) {
	expired := c.now >= t.Expiry-expiryMargin
	if t.queued && !expired && c.now >= t.giveUpAt && (t.reason == control.ReasonNoUnits || t.reason == control.ReasonNoSnapshot) {
		t.queued = false
		c.undecided = append(c.undecided, t)
		return
	}
	if !expired && (t.currentBackend != nil || !t.queued || c.now < t.giveUpAt) {
		return
	}
	c.finish(t, 0)
}

// finish is the one place where a txn gets its final answer, at once (rules 1 and 2). A rejection promises that a retry is safe: only if nothing may
// have run, or where the product bears it everywhere.
func (c *Controller) finish(t *txn, retryAfter time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	c.giveUpCounts[t.reason]++
	p := c.products[t.Product]
	retryable := p.effect == inquiryLike || p.effect == referenced && p.repeatScope == scopeAll
	d := control.Decision{Action: control.Fail, Txn: t.ID, Reason: t.reason}
	if retryable || !t.mayHaveRun && t.currentBackend == nil {
		d.Action = control.Reject
		if c.retryAfterAllowed {
			d.After = max(0, min(retryAfter, c.maxRetryAfter))
		}
	}
	c.decisions = append(c.decisions, d)
	if t.currentBackend != nil && c.cancelAllowed {
		c.decisions = append(c.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
	}
	if t.currentBackend == nil { // otherwise the submission's outcome is still to come
		c.forget(t)
	}
}

// repeatable tells whether a txn that may have run may be sent again now (rule 2).
func (c *Controller) repeatable(t *txn) bool {
	switch p := c.products[t.Product]; p.effect {
	case inquiryLike:
		return true
	case referenced:
		return c.now+networkMargin < t.firstRanAt+p.repeatWindow
	}
	return false
}

// submit sends a txn to a backend. It is the one place that does, and asks for every rule again.
func (c *Controller) submit(t *txn, a *quota.Account, b *backend) {
	if t.ended || t.currentBackend != nil || t.submissions >= c.maxSubmissions || c.now >= t.Expiry-expiryMargin || !c.allowedByRules(b, t) {
		c.finish(t, 0)
		return
	}
	if t.submissions == 0 {
		c.chargeFirstSubmission(t, a)
	} else {
		c.retryBudget--
	}
	c.countSubmission(t, b)
	c.quota.SubmissionSent(a)
	t.submissions++
	t.currentBackend, t.previousBackend, t.sentAt = b, b, c.now
	c.decisions = append(c.decisions, control.Decision{
		Action: control.Submit, Txn: t.ID, Backend: b.ID, After: c.submissionTimeout(t), ResponseTimeout: responseTimeout,
	})
}

// chargeFirstSubmission takes a txn's units with its first submission, which earns retries and probes.
func (c *Controller) chargeFirstSubmission(t *txn, a *quota.Account) {
	c.releaseReservation(t)
	if !t.overQuota {
		t.consumed = true
		c.quota.ConsumeAccount(a, t.Units)
	}
	c.retryBudget = min(maxRetryBudget, c.retryBudget+retryBudgetPerTxn)
	c.probeBudget = min(maxProbeBudget, c.probeBudget+probeBudgetPerTxn)
}

// countSubmission notes a submission at its backend.
func (c *Controller) countSubmission(t *txn, b *backend) {
	if b.warmUpShare < 1 {
		b.warmUpTokens -= c.workWeight(t) // may go below 0: a large txn is paid off before the next
	}
	if c.meanUsualLatency <= 0 {
		c.meanUsualLatency = c.usualLatency(t).Seconds()
	}
	c.meanUsualLatency += fleetSmoothing * (c.usualLatency(t).Seconds() - c.meanUsualLatency)
	b.sentAt = c.now
	if b.unanswered == 0 {
		b.unansweredSince = c.now
	}
	b.unanswered++
	b.inFlight++
}

// submissionTimeout is when a submission is given up: by the end of the SLA time, a first one earlier if there is time for a retry. 0 leaves it until the
// expiry: of a once-only txn, which has no retry, a late answer is better than none.
func (c *Controller) submissionTimeout(t *txn) time.Duration {
	if c.products[t.Product].effect == onceOnly {
		return 0
	}
	timeout := t.slaDeadline - c.now - slaMargin
	first := time.Duration(firstAttemptShare * float64(timeout))
	if t.submissions == 1 && !c.underPressure() && firstAttemptFactor*c.usualLatency(t) < first {
		return first
	}
	return timeout
}

// SubmissionEnded takes the one outcome of a submission; attempts count from 0. answered: the client has an answer, or is gone.
func (c *Controller) SubmissionEnded(id control.TxnID, attempt int, at control.BackendID, e control.Ending, answered bool, took time.Duration,
	load []float64) {
	t, b := c.txns[id], c.backends[at]
	if b != nil {
		c.recordOutcome(t, b, e, took, load)
	}
	if t == nil || attempt != t.submissions-1 || t.currentBackend == nil {
		return
	}
	t.currentBackend.inFlight--
	t.currentBackend = nil
	c.quota.SubmissionEnded(t.Customer)
	if !e.ProvesNotRun() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRanAt = true, t.sentAt
		if b != nil {
			t.ranZone, t.ranPod = b.Zone, b.Pod
		}
	}
	c.recheckWaiting, c.saturated = true, false
	if answered || t.ended {
		c.forget(t)
		return
	}
	c.undecided = append(c.undecided, t)
}

// ClientLeft is called when nobody waits for a txn any more.
func (c *Controller) ClientLeft(id control.TxnID) {
	if t := c.txns[id]; t != nil {
		c.forget(t)
	}
}

// forget drops a txn, unless a submission is in flight, whose outcome still counts for its backend.
func (c *Controller) forget(t *txn) {
	t.ended = true
	c.releaseReservation(t)
	if t.currentBackend == nil {
		delete(c.txns, t.ID)
	}
}

// release gives up a txn's reservation.
func (c *Controller) releaseReservation(t *txn) {
	if t.reserved {
		c.quota.Release(t.Customer, t.Units)
	}
	t.reserved = false
}
