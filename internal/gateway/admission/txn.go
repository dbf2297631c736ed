package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/balancer"
	"clovergap/internal/invariant"
)

// txn is a request. It exists from the arrival of the request until the request is answered and its last submission has ended.
type txn struct {
	control.Txn
	route     *Route
	arrivedAt time.Duration
	targetAt  time.Duration // end of the operator's latency target
	deadline  time.Duration // time by which the request must be answered
	answerBy  time.Duration // time until which an answer is wanted, see setAnswerBy; 0 if it is to be determined
	rank      [2]int        // priority of the tenant, then of the route; 0 is the highest

	service       *service   // version of a service to which the request goes; nil until chosen
	versionChosen bool       // chooseVersion has chosen a version
	assignment    Assignment // during a roll-out: the version assigned to the user

	// Waiting.
	queued      bool          // the request is in the queue of its service
	admitted    bool          // the request stays in the queue until its latest start or until it is sent, see wait.go
	awaitsUnits bool          // the request is in Controller.awaitingUnits
	giveUpAt    time.Duration // when the request's wait for units or in the queue ends, see setGiveUpTime

	// Quota. At most one of these is true.
	unitsReserved bool // the request's units are reserved while the request is queued
	unitsConsumed bool // the request's units are consumed

	// Submissions.
	submissions     int                 // number of submissions, including the one in flight
	attempts        int                 // submissions that have ended and may have reached the backend
	failedConnects  int                 // submissions that have ended and did not reach the backend
	attempted       []control.BackendID // backends of all submissions
	inFlight        bool                // a submission is in flight
	lastBackend     control.BackendID   // backend of the last submission
	sentAt          time.Duration       // time of the last submission
	cancelRequested bool                // the submission in flight was canceled at a dead backend, in favour of another backend
	mayHaveRun      bool                // the request may have run in a submission that has ended

	// The end of the request.
	answerStarted bool // a part of an answer has gone to the client
	ended         bool // the request is answered, or its client has left
	clientLeft    bool
	clientLeftAt  time.Duration // when the client left; set only if a submission was in flight then
}

// balancerRequest returns the description of the request for the balancer.
func (t *txn) balancerRequest() balancer.Request {
	return balancer.Request{Kind: t.Product, Effectful: t.route.Effectful, Attempted: t.attempted}
}

// mayRunAgain reports whether the request may be sent again. It may if it certainly has not run or if it is idempotent.
func (t *txn) mayRunAgain() bool { return !t.mayHaveRun || !t.route.Effectful }

// mayUseVersion reports whether the request may be sent to its chosen version. It is called again before each submission, because the access to a
// canary may have changed.
func (t *txn) mayUseVersion() bool {
	baseline := t.service.baseline
	return baseline == nil || baseline.canaryAccess == CanaryFallback || baseline.canaryAccess == CanaryShared && t.assignment.mayUseCanary()
}

// TxnArrived accepts a client's request. Its Product is the product ID of the request's route. Its Customer is the tenant whose quota is used, or 0
// for none. Its Plan is the tenant's priority, which takes precedence over the priority of the route.
func (c *Controller) TxnArrived(arrival control.Txn) {
	if c.txns[arrival.ID] != nil {
		return
	}
	arrival.Units = max(arrival.Units, 0)
	t := &txn{Txn: arrival, route: c.routes[arrival.Product], arrivedAt: c.now, deadline: arrival.Expiry - deadlineMargin}
	if t.route == nil {
		t.route = &Route{MaxAttempts: 1} // the route was removed, so the request will be rejected
	}
	if t.route.Deadline > 0 {
		t.deadline = min(t.deadline, c.now+t.route.Deadline-deadlineMargin)
	}
	t.targetAt = t.deadline
	if t.route.LatencyTarget > 0 {
		t.targetAt = min(t.targetAt, c.now+t.route.LatencyTarget)
	}
	t.rank = [2]int{int(arrival.Plan), t.route.Priority}
	c.txns[arrival.ID] = t
	c.timers.Add(t.deadline, timer{arrival.ID, timerDeadline})
	c.undecided = append(c.undecided, t)
	c.counts.arrived++
}

// decideNextStep determines how a request without a submission in flight proceeds: the request is queued, waits for units, or is answered.
func (c *Controller) decideNextStep(t *txn) {
	if t.ended || t.inFlight || t.queued || t.awaitsUnits {
		return
	}
	if t.service == nil {
		if t.service = c.chooseService(t.route); t.service == nil {
			c.answerRequest(t, control.ReasonNoBackend, noBackendRetryAfter)
			return
		}
		t.service.txnCount++
	}
	if t.service.canary != nil || t.service.baseline != nil {
		c.chooseVersion(t)
	}
	if t.answerBy == 0 {
		c.setAnswerBy(t)
	}
	switch {
	case !c.canMeetDeadline(t):
		c.answerRequest(t, control.ReasonNoTime, c.retryAfterTime(t))
	case t.submissions > 0 && !c.mayRetry(t):
		c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(t))
	case c.checkQuota(t):
		c.enqueue(t)
	}
}

// checkQuota returns true if the tenant's quota covers a request's units, or if the units are already reserved or consumed. If the quota does not
// cover the units, checkQuota answers the request or makes the request wait for units, and returns false.
func (c *Controller) checkQuota(t *txn) bool {
	if t.Customer == 0 || t.unitsConsumed || t.unitsReserved {
		return true
	}
	request := quota.Request{Units: t.Units, Arrived: t.arrivedAt, PendingUntil: t.answerBy - c.typicalLatency(t), UnitsAhead: c.unitsAwaited[t.Customer]}
	switch outcome, at := c.limiter.Check(t.Customer, request); outcome {
	case quota.Exceeded:
		c.answerRequest(t, control.ReasonNoUnits, at)
		return false
	case quota.Pending:
		c.awaitUnits(t, at)
		return false
	}
	return true
}

// mayRetry reports whether a request that was sent before may go to another backend. It only checks whether the retry budget has a token. submit
// withdraws the token.
func (c *Controller) mayRetry(t *txn) bool {
	if !t.mayRunAgain() || t.attempts >= t.route.MaxAttempts || t.failedConnects > maxFailedConnects {
		return false
	}
	return t.attempts == 0 || c.availableRetryTokens(t.service) >= 1
}

// submit sends a request to a backend. No other function sends requests to backends. Before it sends the request, submit checks all rules again.
func (c *Controller) submit(t *txn, backend control.BackendID) {
	s := t.service
	c.advanceBudget(s)
	if t.attempts > 0 && t.attempts >= t.route.MaxAttempts { // LowerMaxAttempts was called while the request was queued
		c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(t))
		return
	}
	allowed := !t.ended && !t.inFlight && t.mayRunAgain() && t.attempts < t.route.MaxAttempts &&
		!slices.Contains(t.attempted, backend) && t.mayUseVersion()
	invariant.Assert(allowed, "a request is submitted only to a backend to which it may be sent")
	if !allowed || !c.canMeetDeadline(t) {
		c.answerRequest(t, control.ReasonNoTime, c.retryAfterTime(t))
		return
	}
	switch {
	case t.submissions == 0:
		s.budget.depositTokens(depositShare * c.config.RetryRatio)
	case t.attempts > 0 && !s.budget.withdrawToken():
		c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(t))
		return
	}
	c.consumeUnits(t)
	s.balancer.RecordSent(c.now, backend, t.balancerRequest())
	if t.submissions > 0 {
		c.counts.retried++
	}
	t.submissions++
	t.inFlight, t.lastBackend, t.sentAt, t.cancelRequested, t.answerBy = true, backend, c.now, false, 0
	t.attempted = append(t.attempted, backend)
	timeLeft := t.deadline - c.now
	c.decisions = append(c.decisions, control.Decision{
		Action: control.Submit, Txn: t.ID, Backend: backend, After: timeLeft, ResponseTimeout: timeLeft + deadlineMargin,
	})
	c.scheduleDeadBackendCheck(t)
}

// consumeUnits consumes a request's units, if they are not consumed yet, and releases their reservation.
func (c *Controller) consumeUnits(t *txn) {
	c.releaseUnits(t)
	if t.Customer != 0 && !t.unitsConsumed {
		c.limiter.Consume(t.Customer, t.Units)
	}
	t.unitsConsumed = true
}

// Begun is called when a part of an answer has gone to the client. From then on the client gets no other answer. If the answer is not complete in
// time, the host ends it.
func (c *Controller) Begun(id control.TxnID) {
	if t := c.txns[id]; t != nil && t.inFlight {
		t.answerStarted = true
	}
}

// SubmissionEnded records the end of a submission. attempt is the number of the submission, from 0. A call for a submission that is not in flight
// is ignored. answered means that the client has an answer or a part of it, or has left.
func (c *Controller) SubmissionEnded(id control.TxnID, attempt int, backend control.BackendID, ending control.Ending,
	answered bool, took time.Duration, _ []float64) {
	t := c.txns[id]
	if t == nil || !t.inFlight || attempt != t.submissions-1 || backend != t.lastBackend {
		return
	}
	t.inFlight = false
	c.recordOutcome(t, ending, took)
	next := consequenceOf(ending, t.route.Effectful, answered || t.ended || t.answerStarted)
	t.mayHaveRun = t.mayHaveRun || next.mayHaveRun
	if next.mayHaveArrived {
		t.attempts++
	} else {
		t.failedConnects++
	}
	c.counts.countEnding(ending)
	switch {
	case next.answer == noFurtherAnswer || t.ended:
		c.removeRequest(t)
	case ending == control.TimedOut: // the deadline has passed
		c.answerRequest(t, control.ReasonNoTime, 0)
	case !next.retryable || !t.mayRunAgain():
		c.answerRequest(t, control.ReasonNoBackend, 0)
	default:
		c.undecided = append(c.undecided, t)
	}
}

// recordOutcome records the end of a submission in the balancer and in the service's concurrency, and reports it for the comparison of a roll-out.
// A submission that was canceled at the deadline counts as timed out.
func (c *Controller) recordOutcome(t *txn, ending control.Ending, took time.Duration) {
	if t.clientLeft && !t.route.Effectful && c.now-t.clientLeftAt > maxRunAfterClientLeft {
		c.counts.ranAfterClientLeft++
		invariant.Assert(false, "an idempotent request ends within maxRunAfterClientLeft after its client has left")
	}
	if ending == control.Canceled && c.now >= t.deadline {
		ending = control.TimedOut
	}
	s := t.service
	s.balancer.RecordEnd(c.now, t.lastBackend, balancer.Outcome{Ending: ending, Kind: t.Product, Took: took, LatencyTarget: t.route.LatencyTarget,
		ProcessPaused: t.sentAt < c.pausedUntil, ClientLeft: t.clientLeft})
	s.recheck = true
	s.concurrency.busyTime += took
	if t.assignment.InComparison && t.submissions == 1 {
		c.reportComparisonSample(t, ending, took)
	}
}

// ClientLeft is called when a client no longer waits for its request. An idempotent request is canceled at its backend, because nobody
// would receive the answer. An effectful request is not canceled, because it may have run and the client wants its effect.
func (c *Controller) ClientLeft(id control.TxnID) {
	t := c.txns[id]
	if t == nil || t.clientLeft {
		return
	}
	t.clientLeft = true
	c.counts.clientsLeft++
	if t.inFlight && !t.ended {
		t.clientLeftAt = c.now
		c.counts.clientsLeftInFlight++
		if !t.route.Effectful && !t.cancelRequested {
			c.cancelSubmission(t)
		}
	}
	c.removeRequest(t)
}

// cancelSubmission cancels the submission in flight of a request.
func (c *Controller) cancelSubmission(t *txn) {
	c.decisions = append(c.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
}

// answerRequest answers a request with Reject or Fail and removes it. No other function sends these answers. Reject guarantees that the request has not run
// and never will.
func (c *Controller) answerRequest(t *txn, reason control.Reason, retryAfter time.Duration) {
	if t.ended {
		return
	}
	decision := control.Decision{Action: control.Fail, Txn: t.ID, Reason: reason}
	if !t.mayHaveRun && !t.inFlight {
		decision.Action, decision.After = control.Reject, min(max(retryAfter, 0), maxRetryAfter)
	}
	c.counts.countReason(reason)
	c.decisions = append(c.decisions, decision)
	if t.inFlight && !t.cancelRequested {
		c.cancelSubmission(t)
	}
	c.removeRequest(t)
}

// removeRequest ends a request. It removes the request from all tables, but keeps a request with a submission in flight in Controller.txns until that
// submission has ended.
func (c *Controller) removeRequest(t *txn) {
	t.ended = true
	c.releaseUnits(t)
	if t.queued {
		t.queued = false
		t.service.queue = slices.DeleteFunc(t.service.queue, func(other *txn) bool { return other == t })
	}
	if t.awaitsUnits {
		c.stopAwaitingUnits(t)
	}
	if t.inFlight || c.txns[t.ID] != t {
		return
	}
	delete(c.txns, t.ID)
	if t.service != nil {
		t.service.txnCount--
	}
}

// releaseUnits ends the reservation of a request's units, if there is one.
func (c *Controller) releaseUnits(t *txn) {
	if t.unitsReserved {
		t.unitsReserved = false
		c.limiter.Release(t.Customer, t.Units)
	}
}
