package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/balancer"
	"clovergap/internal/invariant"
)

// txn is a request that this node holds, until it is answered and its last submission has ended.
type txn struct {
	control.Txn
	route    *Route
	arrived  time.Duration
	targetAt time.Duration // end of the time in which an answer has its full value
	deadline time.Duration // by then it is answered
	rank     [2]int        // its tenant's and its route's priority; 0 is highest

	service       *service // where it goes; nil: not chosen yet
	versionChosen bool     // where there are two
	assignment    Assignment

	// Waiting.
	queued      bool // in its service's queue
	awaitsUnits bool // in Controller.awaitingUnits
	giveUpAt    time.Duration

	// Quota: none or one of these.
	reserved bool // its units are reserved while it is queued
	consumed bool // its units are taken

	// Submissions.
	submissions    int
	attempts       int // of these, ended and may have arrived
	failedConnects int // of these, ended and did not arrive
	attempted      []control.BackendID
	inFlight       bool
	backend        control.BackendID // of the last one
	sentAt         time.Duration
	canceled       bool // the one in flight, in favour of another backend
	mayHaveRun     bool

	// Its end.
	begun        bool // a part of an answer has gone to the client
	ended        bool // answered, or nobody waits
	clientLeft   bool
	clientLeftAt time.Duration // if a submission was in flight then
}

// balancerRequest is what the balancer has to know of it.
func (t *txn) balancerRequest() balancer.Request {
	return balancer.Request{Kind: t.Product, Effectful: t.route.Effectful, Attempted: t.attempted}
}

// mayRunAgain tells whether its effect bears another submission.
func (t *txn) mayRunAgain() bool { return !t.mayHaveRun || !t.route.Effectful }

// mayUseVersion tells whether it may be sent to the version of its service: asked again with each submission.
func (t *txn) mayUseVersion() bool {
	baseline := t.service.baseline
	return baseline == nil || baseline.canaryAccess == CanaryFallback || baseline.canaryAccess == CanaryShared && t.assignment.mayUseCanary()
}

// TxnArrived takes a client's request. Its Product is the route's number, its Customer the tenant whose quota it needs (0: none), its Plan
// that tenant's priority, which goes before the route's.
func (c *Controller) TxnArrived(x control.Txn) {
	if c.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, route: c.routes[x.Product], arrived: c.now, deadline: x.Expiry - deadlineMargin}
	if t.route == nil {
		t.route = &Route{MaxAttempts: 1} // removed a moment ago: it goes nowhere
	}
	if t.route.Deadline > 0 {
		t.deadline = min(t.deadline, c.now+t.route.Deadline-deadlineMargin)
	}
	t.targetAt = t.deadline
	if t.route.LatencyTarget > 0 {
		t.targetAt = min(t.targetAt, c.now+t.route.LatencyTarget)
	}
	t.rank = [2]int{int(x.Plan), t.route.Priority}
	c.txns[x.ID] = t
	c.timers.Add(t.deadline, timer{x.ID, timerExpiry})
	c.undecided = append(c.undecided, t)
	c.counts.arrived++
}

// decide decides about a request that has no submission in flight: it is queued, waits for units, or is answered.
func (c *Controller) decide(t *txn) {
	if t.ended || t.inFlight || t.queued || t.awaitsUnits {
		return
	}
	if t.service == nil {
		if t.service = c.chooseService(t.route); t.service == nil {
			c.finish(t, control.ReasonNoBackend, noBackendRetryAfter)
			return
		}
		t.service.txnCount++
	}
	if t.service.canary != nil || t.service.baseline != nil {
		c.chooseVersion(t)
	}
	switch {
	case !c.mayAnswerInTime(t):
		c.finish(t, control.ReasonNoTime, c.retryAfter(t.service))
	case t.submissions > 0 && !c.mayRetry(t):
		c.finish(t, control.ReasonNoBackend, c.retryAfter(t.service))
	case c.passQuota(t):
		c.enqueue(t)
	}
}

// passQuota asks the quota for a request's units, unless it has them. A request that may not go on waits for units or is answered.
func (c *Controller) passQuota(t *txn) bool {
	if t.Customer == 0 || t.consumed || t.reserved {
		return true
	}
	request := quota.Request{Units: t.Units, Arrived: t.arrived, LateRetry: t.Retry,
		SLA: time.Duration(quotaTargetShare * float64(t.targetAt-t.arrived))}
	switch outcome, at := c.limiter.Check(t.Customer, request); outcome {
	case quota.Exceeded:
		c.finish(t, control.ReasonNoUnits, at)
		return false
	case quota.Pending:
		if at = min(at, t.targetAt); at <= c.now {
			c.finish(t, control.ReasonNoUnits, busyInterval)
			return false
		}
		t.awaitsUnits = true
		c.awaitingUnits = append(c.awaitingUnits, t)
		c.setGiveUp(t, at)
		return false
	}
	return true
}

// usualLatency is the usual answer time of a request.
func (c *Controller) usualLatency(t *txn) time.Duration {
	if t.service != nil {
		if usual, ok := t.service.balancer.TypicalLatency(t.Product); ok {
			return usual
		}
	}
	return t.route.LatencyTarget / unknownLatencyDivisor
}

// mayAnswerInTime tells whether an answer may still come in time: by the deadline, since a late answer has some value.
func (c *Controller) mayAnswerInTime(t *txn) bool {
	usual := min(c.usualLatency(t), max(t.route.Deadline, t.deadline-t.arrived)/4)
	return c.now+usual/2 < t.deadline
}

// mayRetry tells whether a request that was sent before may go to another backend. The token of the budget is taken only as it is sent.
func (c *Controller) mayRetry(t *txn) bool {
	if !t.mayRunAgain() || t.attempts >= t.route.MaxAttempts || t.failedConnects > maxFreeConnects {
		return false
	}
	return t.attempts == 0 || c.retryTokens(t.service) >= 1
}

// submit sends a request to a backend. It is the one place that does, and asks for every rule again.
func (c *Controller) submit(t *txn, to control.BackendID) {
	s := t.service
	c.advanceBudget(s)
	if t.attempts > 0 && t.attempts >= t.route.MaxAttempts { // lowered while it was queued
		c.finish(t, control.ReasonNoBackend, c.retryAfter(s))
		return
	}
	allowed := !t.ended && !t.inFlight && t.mayRunAgain() && t.attempts < t.route.MaxAttempts &&
		!slices.Contains(t.attempted, to) && t.mayUseVersion()
	invariant.Assert(allowed, "what is sent may be sent")
	if !allowed || !c.mayAnswerInTime(t) {
		c.finish(t, control.ReasonNoTime, c.retryAfter(s))
		return
	}
	switch {
	case t.submissions == 0:
		s.budget.earn(earnShare * c.config.RetryRatio)
	case t.attempts > 0 && !s.budget.take():
		c.finish(t, control.ReasonNoBackend, c.retryAfter(s))
		return
	}
	c.consumeUnits(t)
	s.balancer.Sent(c.now, to, t.balancerRequest())
	if t.submissions > 0 {
		c.counts.retried++
	}
	t.submissions++
	t.inFlight, t.backend, t.sentAt, t.canceled = true, to, c.now, false
	t.attempted = append(t.attempted, to)
	left := t.deadline - c.now
	c.decisions = append(c.decisions, control.Decision{
		Action: control.Submit, Txn: t.ID, Backend: to, After: left, ResponseTimeout: left + deadlineMargin,
	})
	c.watchForDeadBackend(t)
}

// consumeUnits takes a request's units with its first submission.
func (c *Controller) consumeUnits(t *txn) {
	c.release(t)
	if t.Customer != 0 && !t.consumed {
		c.limiter.Consume(t.Customer, t.Units)
	}
	t.consumed = true
}

// Begun is called when a part of an answer has gone to the client. From now on there is no other answer; the host ends this one when it is
// not complete in time.
func (c *Controller) Begun(id control.TxnID) {
	if t := c.txns[id]; t != nil && t.inFlight {
		t.begun = true
	}
}

// SubmissionEnded takes the one outcome of a submission; attempts count from 0. answered: the client has an answer or a part of one, or is gone.
func (c *Controller) SubmissionEnded(id control.TxnID, attempt int, at control.BackendID, e control.Ending,
	answered bool, took time.Duration, _ []float64) {
	t := c.txns[id]
	if t == nil || !t.inFlight || attempt != t.submissions-1 || at != t.backend {
		return
	}
	t.inFlight = false
	c.recordOutcome(t, e, took)
	next := consequenceOf(e, t.route.Effectful, answered || t.ended || t.begun)
	t.mayHaveRun = t.mayHaveRun || next.mayHaveRun
	if next.arrived {
		t.attempts++
	} else {
		t.failedConnects++
	}
	c.counts.countEnding(e)
	switch {
	case next.answer == clientHasIt || t.ended:
		c.forget(t)
	case e == control.TimedOut: // by the deadline
		c.finish(t, control.ReasonNoTime, 0)
	case !next.retryable || !t.mayRunAgain():
		c.finish(t, control.ReasonNoBackend, 0)
	default:
		c.undecided = append(c.undecided, t)
	}
}

// recordOutcome lets the balancer, the service's concurrency and a roll-out's comparison learn from the end of a submission. One that was
// canceled at the deadline timed out.
func (c *Controller) recordOutcome(t *txn, e control.Ending, took time.Duration) {
	if t.clientLeft && !t.route.Effectful && c.now-t.clientLeftAt > maxRunOn {
		c.counts.ranOn++
		invariant.Assert(false, "nothing that may be repeated runs on for a client that has left")
	}
	if e == control.Canceled && c.now >= t.deadline {
		e = control.TimedOut
	}
	s := t.service
	s.balancer.Ended(c.now, t.backend, balancer.Outcome{Ending: e, Kind: t.Product, Took: took, LatencyTarget: t.route.LatencyTarget,
		ProcessPaused: t.sentAt < c.pausedUntil, ClientLeft: t.clientLeft})
	s.recheck = true
	s.concurrency.busyTime += took
	if t.assignment.InComparison && t.submissions == 1 {
		c.reportComparison(t, e, took)
	}
}

// ClientLeft is called when nobody waits for a request any more. An idempotent one is canceled at its backend, which would otherwise work
// for nobody. An effectful one is left to its end: it may have run, and its effect is wanted.
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
		if !t.route.Effectful && !t.canceled {
			c.cancel(t)
		}
	}
	c.forget(t)
}

// cancel cancels the submission in flight.
func (c *Controller) cancel(t *txn) {
	c.decisions = append(c.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
}

// finish is the one place where a request gets its final answer, at once. Reject promises that it has not run and never will.
func (c *Controller) finish(t *txn, reason control.Reason, advice time.Duration) {
	if t.ended {
		return
	}
	d := control.Decision{Action: control.Fail, Txn: t.ID, Reason: reason}
	if !t.mayHaveRun && !t.inFlight {
		d.Action, d.After = control.Reject, min(max(advice, 0), maxRetryAfter)
	}
	c.counts.countReason(reason)
	c.decisions = append(c.decisions, d)
	if t.inFlight && !t.canceled {
		c.cancel(t)
	}
	c.forget(t)
}

// forget drops a request, unless a submission is in flight, whose outcome is still to come.
func (c *Controller) forget(t *txn) {
	t.ended = true
	c.release(t)
	same := func(other *txn) bool { return other == t }
	if t.queued {
		t.queued = false
		t.service.queue = slices.DeleteFunc(t.service.queue, same)
	}
	if t.awaitsUnits {
		t.awaitsUnits = false
		c.awaitingUnits = slices.DeleteFunc(c.awaitingUnits, same)
	}
	if t.inFlight || c.txns[t.ID] != t {
		return
	}
	delete(c.txns, t.ID)
	if t.service != nil {
		t.service.txnCount--
	}
}

// release gives up a request's reservation.
func (c *Controller) release(t *txn) {
	if t.reserved {
		t.reserved = false
		c.limiter.Release(t.Customer, t.Units)
	}
}
