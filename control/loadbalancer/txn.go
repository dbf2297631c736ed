package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// txn is the state of a txn, which the front door keeps until the txn is answered and its last submission has ended.
type txn struct {
	control.Txn
	arrived     time.Duration // time at which the txn arrived
	slaDeadline time.Duration // end of the SLA time
	answerBy    time.Duration // time until which an answer is wanted, see setAnswerBy
	ended       bool          // the txn is answered, or its client has left

	// Waiting.
	queued   bool           // the txn is in Controller.waiting
	giveUpAt time.Duration  // time until which the txn may wait
	reason   control.Reason // what the txn lacked at the last decision
	// awaitsQuota means that the txn is counted in Controller.quotaQueues.
	awaitsQuota bool

	// Quota. At most one of reserved, consumed and overQuota is true.
	reserved  bool // the units are reserved while the txn waits for a backend
	consumed  bool // the units are consumed
	overQuota bool // the txn is admitted beyond the quota and consumes no units

	// Submissions.
	submissions     int           // number of submissions so far
	currentBackend  *backend      // backend of the submission in flight, or nil
	previousBackend *backend      // backend of the last submission, or nil
	sentAt          time.Duration // time of the last submission

	// Execution. ranZone and ranPod are the zone and the pod of the backend that got the first submission that may have run.
	mayHaveRun bool          // a submission of the txn has ended and may have run
	firstRanAt time.Duration // time at which the first submission that may have run was sent
	ranZone    control.ZoneID
	ranPod     control.PodID
}

// needsQuotaCheck reports whether the quota has not admitted the txn yet.
func (t *txn) needsQuotaCheck() bool { return !t.consumed && !t.overQuota && !t.reserved }

// TxnArrived adds a txn from a client, to be decided by Next. It ignores a txn whose ID is in use.
func (c *Controller) TxnArrived(request control.Txn) {
	if c.txns[request.ID] != nil {
		return
	}
	request.Units = max(request.Units, 0)
	t := &txn{Txn: request, arrived: c.now}
	if request.Product < 0 || int(request.Product) >= len(c.products) || request.Plan < 0 || int(request.Plan) >= len(c.plans) {
		t.Product, t.Plan, t.Expiry, t.slaDeadline = 0, 0, c.now, c.now // an unknown product or plan is rejected with ReasonNoTime
	} else {
		t.slaDeadline = min(c.now+c.products[t.Product].slaTime, t.Expiry)
		c.setAnswerBy(t)
	}
	c.txns[request.ID] = t
	c.timers.Add(request.Expiry-expiryMargin, request.ID) // rule 1: every txn is answered by its expiry
	c.undecided = append(c.undecided, t)
}

// backdateArrivals moves the SLA deadlines of the txns that arrived during a stall of this process. It assumes that the arrivals were
// spread evenly over the stall.
func (c *Controller) backdateArrivals() {
	n := len(c.undecided)
	for i, t := range c.undecided {
		if t.arrived == c.now && t.submissions == 0 {
			waited := time.Duration(float64(c.stallEnd-c.stallStart) * (float64(n-i) - 0.5) / float64(n))
			t.slaDeadline = min(t.slaDeadline, c.now-waited+c.products[t.Product].slaTime)
			c.setAnswerBy(t)
		}
	}
	c.stallStart = c.stallEnd
}

// decideTxn submits a txn that has no submission in flight, lets it wait, or answers it.
func (c *Controller) decideTxn(t *txn) {
	if t.ended || t.currentBackend != nil || t.queued {
		return
	}
	if !c.canSubmitInTime(t) {
		t.reason = control.ReasonNoTime
		c.rejectOrFail(t, c.maxRetryAfter)
		return
	}
	if t.submissions > 0 && t.mayHaveRun && !c.mayRepeat(t) {
		c.rejectOrFail(t, 0)
		return
	}
	account := c.quota.EnsureAccount(t.Customer, t.Plan, t.SetFirst, t.SetWidth)
	if t.needsQuotaCheck() && !c.checkQuota(t, account) {
		return
	}
	t.reason = control.ReasonNoBackend
	var b *backend
	if !c.saturated || t.mayHaveRun {
		b = c.pickBackend(t)
	}
	if b == nil {
		c.awaitBackend(t, account)
		return
	}
	c.submit(t, account, b)
}

// canSubmitInTime reports whether a response to a submission may be expected by the expiry. A txn that has just arrived may always be
// submitted, because otherwise no response would correct a response time that is longer than all clients wait. For a txn that was
// submitted before, the result is false if the retry budget or the maximum number of submissions is used up.
func (c *Controller) canSubmitInTime(t *txn) bool {
	if t.submissions > 0 && (t.submissions >= c.maxSubmissions || c.retryBudget < 1) {
		return false
	}
	if t.submissions == 0 && c.now == t.arrived {
		return c.now < t.Expiry-expiryMargin
	}
	return c.now+c.expectedWork(t) <= t.Expiry-expiryMargin
}

// checkQuota reports whether the quota covers a txn or the txn may exceed the quota. If the result is false, checkQuota has queued or
// answered the txn.
func (c *Controller) checkQuota(t *txn, account *quota.Account) bool {
	work, queue := c.expectedWork(t), c.quotaQueues[t.Customer]
	request := quota.Request{
		Units: t.Units, Arrived: t.arrived, PendingUntil: t.answerBy - work, UnitsAhead: queue.units, RequestsAhead: queue.txns, Work: work,
	}
	outcome, at, reason := c.quota.CheckAccount(account, request)
	t.reason = reason
	switch outcome {
	case quota.Pending:
		c.awaitQuota(t)
		c.queueUntil(t, at)
		return false
	case quota.Exceeded:
		if !c.mayExceedQuota(account) {
			c.rejectOrFail(t, at)
			return false
		}
		t.overQuota = true
	}
	return true
}

// awaitBackend adds a txn to the waiting txns until a backend has capacity. It reserves the units of the txn, because the quota
// snapshot that covers the txn may become too old while the txn waits. A txn that is behind more work than the time allows is rejected or
// failed at once.
func (c *Controller) awaitBackend(t *txn, account *quota.Account) {
	c.saturatedAt = c.now
	wait := c.expectedDelay(t)
	if c.now+wait+c.expectedWork(t) > t.answerBy {
		c.rejectOrFail(t, wait)
		return
	}
	if t.needsQuotaCheck() {
		t.reserved = true
		c.quota.ReserveAccount(account, t.Units)
	}
	c.waitingWork += c.expectedWork(t)
	c.queueUntil(t, t.answerBy-c.expectedWork(t))
}

// mayExceedQuota reports whether a txn that exceeds its quota is admitted. Responses beyond the quota must have a value and no
// charge in the plan. The plan must have no hard limit and no limit on submissions in flight. In addition, the
// backends must have spare capacity, and no txn may have lacked capacity within overQuotaCooldown.
func (c *Controller) mayExceedQuota(account *quota.Account) bool {
	p := &c.plans[account.PlanID()]
	return p.overQuotaValue > 0 && p.overQuotaCost <= 0 && p.MaxInFlight == 0 && p.HardRate <= 0 &&
		c.utilization < maxOverQuotaUtilization && c.now-c.saturatedAt > overQuotaCooldown
}

// queueUntil adds a txn to the waiting txns. The txn waits until the given time at the latest. If the given time has passed, the txn is
// rejected or failed at once.
func (c *Controller) queueUntil(t *txn, until time.Duration) {
	if until <= c.now {
		c.rejectOrFail(t, 0)
		return
	}
	t.queued = true
	if t.giveUpAt < until {
		t.giveUpAt = until
		c.timers.Add(until, t.ID)
	}
	c.waiting = append(c.waiting, t)
}

// handleTxnTimer rejects or fails a txn at its expiry or when it has waited for too long. There is one
// exception. At the end of its waiting time, a txn that waits for units or for a snapshot is decided once more, because the burst share
// may cover the txn if the owner of the quota has not answered.
func (c *Controller) handleTxnTimer(t *txn) {
	expired := c.now >= t.Expiry-expiryMargin
	if t.queued && !expired && c.now >= t.giveUpAt && (t.reason == control.ReasonNoUnits || t.reason == control.ReasonNoSnapshot) {
		c.recheckWaiting = true // all waiting txns, so that they get units in the order of their arrival
		return
	}
	if !expired && (t.currentBackend != nil || !t.queued || c.now < t.giveUpAt) {
		return
	}
	c.rejectOrFail(t, 0)
}

// rejectOrFail rejects or fails a txn that gets no response from a backend. No other function does so. Therefore only this function
// has to ensure that such a txn is answered once (rule 1) and is declared safe to retry only if a retry is safe (rule 2). A rejection
// promises the client that a retry is safe. So a txn is rejected only if no submission of it may have run, or if its product allows
// repeats at all backends.
func (c *Controller) rejectOrFail(t *txn, retryAfter time.Duration) {
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
	if t.currentBackend == nil { // if a submission is in flight, SubmissionEnded ends the txn
		c.endTxn(t)
	}
}

// mayRepeat reports whether a txn that may have run may be sent again now (rule 2).
func (c *Controller) mayRepeat(t *txn) bool {
	switch p := c.products[t.Product]; p.effect {
	case inquiryLike:
		return true
	case referenced:
		return c.now < c.repeatDeadline(t)
	}
	return false
}

// repeatDeadline returns the time from which a referenced txn that may have run must not be sent again, because the backends may no longer
// drop the repeat.
func (c *Controller) repeatDeadline(t *txn) time.Duration {
	return t.firstRanAt + c.products[t.Product].repeatWindow - networkMargin
}

// sendDeadline returns the time from which the next submission of a txn must not be sent any more, or 0 if there is no such time. The
// host may have to open a connection first.
func (c *Controller) sendDeadline(t *txn) time.Duration {
	if t.mayHaveRun && c.products[t.Product].effect == referenced {
		return c.repeatDeadline(t)
	}
	return 0
}

// submit sends a txn to a backend. All submissions are made by this function. It checks rules 1 to 4 of the package comment again. If a
// rule forbids the submission, the txn is rejected or failed.
func (c *Controller) submit(t *txn, account *quota.Account, b *backend) {
	if t.ended || t.currentBackend != nil || t.submissions >= c.maxSubmissions || c.now >= t.Expiry-expiryMargin || !c.rulesAllow(b, t) {
		c.rejectOrFail(t, 0)
		return
	}
	if t.submissions == 0 {
		c.chargeFirstSubmission(t, account)
	} else {
		c.retryBudget--
	}
	c.countSubmission(t, b)
	c.quota.SubmissionSent(account)
	t.submissions++
	t.currentBackend, t.previousBackend, t.sentAt = b, b, c.now
	c.decisions = append(c.decisions, control.Decision{
		Action: control.Submit, Txn: t.ID, Backend: b.ID, After: c.submissionTimeout(t), ResponseTimeout: responseTimeout, SendDeadline: c.sendDeadline(t),
	})
}

// chargeFirstSubmission consumes the units of a txn at its first submission, and adds to the retry and probe budgets.
func (c *Controller) chargeFirstSubmission(t *txn, account *quota.Account) {
	c.releaseReservation(t)
	if !t.overQuota {
		t.consumed = true
		c.quota.ConsumeAccount(account, t.Units)
	}
	c.retryBudget = min(maxRetryBudget, c.retryBudget+retryBudgetPerTxn)
	c.probeBudget = min(maxProbeBudget, c.probeBudget+probeBudgetPerTxn)
}

// countSubmission records a submission in the statistics of its backend and in the mean work of all txns.
func (c *Controller) countSubmission(t *txn, b *backend) {
	if b.warmUpShare < 1 {
		b.warmUpTokens -= c.relativeWork(t) // the result may be below 0, so that the next submission must wait for more tokens
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

// submissionTimeout returns the time after which a submission times out. A once-only txn is not retried after a time-out, so the result is
// 0 and the submission times out at the expiry of the txn. Any other submission times out in time for a response of another backend within
// the SLA time, if it may be retried and has had several times the current response time by then. Otherwise the client gets the response if it
// comes by the expiry.
func (c *Controller) submissionTimeout(t *txn) time.Duration {
	if c.products[t.Product].effect == onceOnly {
		return 0
	}
	retryAt := t.slaDeadline - c.now - c.expectedWork(t)
	mayRetry := t.submissions < c.maxSubmissions && c.retryBudget >= 1 && !c.isUnderPressure()
	end := t.Expiry - expiryMargin - c.now
	if mayRetry && retryAt > firstAttemptFactor*c.expectedWork(t) {
		return min(retryAt, end)
	}
	return end
}

// SubmissionEnded records the outcome of a submission. The host calls it once for each submission. attempt counts from 0. answered is
// true if the client has an answer or has left. took is the response time, and load is the load report of the backend.
func (c *Controller) SubmissionEnded(id control.TxnID, attempt int, backendID control.BackendID, ending control.Ending, answered bool, took time.Duration,
	load []float64) {
	t, b := c.txns[id], c.backends[backendID]
	if b != nil {
		c.recordOutcome(t, b, ending, took, load)
	}
	if t == nil || attempt != t.submissions-1 || t.currentBackend == nil {
		return
	}
	t.currentBackend.inFlight--
	t.currentBackend = nil
	c.quota.SubmissionEnded(t.Customer)
	if !ending.ProvesNotRun() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRanAt = true, t.sentAt
		if b != nil {
			t.ranZone, t.ranPod = b.Zone, b.Pod
		}
	}
	c.recheckWaiting, c.saturated = true, false
	if answered || t.ended {
		c.endTxn(t)
		return
	}
	c.setAnswerBy(t)
	c.undecided = append(c.undecided, t)
}

// ClientLeft removes a txn whose client no longer waits for an answer.
func (c *Controller) ClientLeft(id control.TxnID) {
	if t := c.txns[id]; t != nil {
		c.endTxn(t)
	}
}

// endTxn ends a txn and removes the txn. If a submission of the txn is in flight, the txn is kept until the submission ends, because the
// outcome of the submission still counts in the statistics of the backend.
func (c *Controller) endTxn(t *txn) {
	t.ended = true
	c.stopAwaitingQuota(t)
	c.releaseReservation(t)
	if t.currentBackend == nil {
		delete(c.txns, t.ID)
	}
}

// releaseReservation releases the units that are reserved for a txn. It does nothing if no units are reserved.
func (c *Controller) releaseReservation(t *txn) {
	if t.reserved {
		c.quota.Release(t.Customer, t.Units)
	}
	t.reserved = false
}
