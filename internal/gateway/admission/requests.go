// One request's way: looked at, submitted or queued, ended and forgotten.

package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/balancer"
	"clovergap/internal/invariant"
)

// fireTimer does what is due for a txn.
func (c *Controller) fireTimer(t *txn, what int) {
	switch what {
	case timerExpiry: // ids come round: it may be one that is long gone that this was for
		if !t.begun && c.now >= t.deadline {
			c.finish(t, ReasonNoTime, 0)
		}
	case timerGiveUp:
		switch {
		case t.ended || t.inFlight || c.now < t.giveUpAt:
		case t.queued && c.fallBackToStable(t):
		case t.queued:
			c.finish(t, ReasonNoBackend, c.retryAfter(t.service))
		case t.awaitsUnits: // decided a last time, as the owner of its quota has been silent
			c.awaitingUnits = slices.DeleteFunc(c.awaitingUnits, func(x *txn) bool { return x == t })
			t.awaitsUnits = false
			c.undecided = append(c.undecided, t)
		}
	case timerDeadBackend:
		if t.ended || !t.inFlight || t.canceled || t.begun || c.now < t.sentAt+minDeadTime {
			return
		}
		may := t.attempts+1 < t.route.MaxAttempts && c.mayAnswerInTime(t) && c.retryTokens(t.service) >= 1
		if may && t.service.balancer.Dead(c.now, t.backend) {
			t.canceled = true
			c.decisions = append(c.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
			return
		}
		c.timers.Add(c.now+deadCheckInterval, timer{t.ID, timerDeadBackend})
	}
}

// usualLatency is the usual time of an answer to a txn.
func (c *Controller) usualLatency(t *txn) time.Duration {
	if t.service != nil {
		if u, ok := t.service.balancer.UsualLatency(t.Product); ok {
			return u
		}
	}
	return t.route.LatencyTarget / unknownLatencyDivisor
}

// mayAnswerInTime tells whether an answer may still come in time. A late answer is worth something, so only the deadline
// counts.
func (c *Controller) mayAnswerInTime(t *txn) bool {
	usual := min(c.usualLatency(t), max(t.route.Deadline, t.deadline-t.arrived)/4)
	return c.now+usual/2 < t.deadline
}

// decide settles what happens to a txn that has no submission out.
func (c *Controller) decide(t *txn) {
	if t.ended || t.inFlight || t.queued || t.awaitsUnits {
		return
	}
	if t.service == nil {
		if t.service = c.chooseService(t.route); t.service == nil {
			c.finish(t, ReasonNoBackend, noBackendRetryAfter)
			return
		}
		t.service.txnCount++
	}
	if t.service.canary != nil || t.service.stable != nil {
		c.chooseVersion(t)
	}
	if !c.mayAnswerInTime(t) {
		c.finish(t, ReasonNoTime, c.retryAfter(t.service))
		return
	}
	if t.submissions > 0 && !c.mayRetry(t) {
		c.finish(t, ReasonNoBackend, c.retryAfter(t.service))
		return
	}
	if t.Customer != 0 && !t.consumed && !t.reserved {
		switch v, until := c.limiter.Check(t.Customer, c.quotaRequest(t)); v {
		case quota.Exceeded:
			c.finish(t, ReasonNoUnits, until)
			return
		case quota.Pending:
			if until = min(until, t.targetAt); until <= c.now {
				c.finish(t, ReasonNoUnits, busyInterval)
				return
			}
			t.awaitsUnits = true
			c.awaitingUnits = append(c.awaitingUnits, t)
			c.setGiveUp(t, until)
			return
		}
	}
	c.enqueue(t)
}

func (c *Controller) quotaRequest(t *txn) quota.Request {
	return quota.Request{Units: t.Units, Arrived: t.arrived, Late: t.Retry,
		SLA: time.Duration(quotaTargetShare * float64(t.targetAt-t.arrived))}
}

// mayRetry tells whether a txn that was sent before may go to another backend: tries, and the budget, last. The
// token itself is taken with the send.
func (c *Controller) mayRetry(t *txn) bool {
	if t.mayHaveRun && t.route.Effectful || t.attempts >= t.route.MaxAttempts || t.failedConnects > maxFreeConnects {
		return false
	}
	return t.attempts == 0 || c.retryTokens(t.service) >= 1
}

func (c *Controller) setGiveUp(t *txn, at time.Duration) {
	if t.giveUpAt == at {
		return
	}
	t.giveUpAt = at
	c.timers.Add(at, timer{t.ID, timerGiveUp})
}

func (t *txn) balancerRequest() balancer.Request {
	return balancer.Request{Kind: t.Product, Effectful: t.route.Effectful, Attempted: t.attempted}
}

// submit is the one gate that every send passes; every rule is asked again here.
func (c *Controller) submit(t *txn, to control.BackendID) {
	h := t.service
	c.advanceBudget(h)
	if t.attempts > 0 && t.attempts >= t.route.MaxAttempts { // these were lowered while it was in line
		c.finish(t, ReasonNoBackend, c.retryAfter(h))
		return
	}
	may := !t.ended && !t.inFlight && !(t.mayHaveRun && t.route.Effectful) && t.attempts < t.route.MaxAttempts &&
		!slices.Contains(t.attempted, to) && t.mayUseVersion()
	invariant.That(may, "what is sent may be sent")
	if !may || !c.mayAnswerInTime(t) {
		c.finish(t, ReasonNoTime, c.retryAfter(h))
		return
	}
	switch {
	case t.submissions == 0:
		h.budget.earn(earnShare * c.config.RetryRatio)
	case t.attempts > 0 && !h.budget.take():
		c.finish(t, ReasonNoBackend, c.retryAfter(h))
		return
	}
	c.release(t)
	if t.Customer != 0 && !t.consumed {
		c.limiter.Consume(t.Customer, t.Units)
	}
	t.consumed = true
	h.balancer.Sent(c.now, to, t.balancerRequest())
	if t.submissions > 0 {
		c.counts.retried++
	}
	t.submissions++
	t.inFlight, t.backend, t.sentAt, t.canceled = true, to, c.now, false
	t.attempted = append(t.attempted, to)
	limit := t.deadline - c.now
	c.decisions = append(c.decisions, control.Decision{Action: control.Submit, Txn: t.ID, Backend: to,
		After: limit, ResponseTimeout: limit + deadlineMargin})
	if !t.route.Effectful && t.attempts+1 < t.route.MaxAttempts {
		from := max(c.now+max(minDeadTime, time.Duration(deadLatencyFactor*float64(c.usualLatency(t)))),
			t.arrived+time.Duration(deadTargetShare*float64(t.targetAt-t.arrived)))
		if from < t.deadline {
			c.timers.Add(from, timer{t.ID, timerDeadBackend})
		}
	}
}

// finish is the one place where a txn gets its final answer, at once. A decline is a promise that it has not run
// and never will.
func (c *Controller) finish(t *txn, why control.Reason, advice time.Duration) {
	if t.ended {
		return
	}
	x := control.Decision{Action: control.Fail, Txn: t.ID, Reason: why}
	if !t.mayHaveRun && !t.inFlight {
		x.Action, x.After = control.Reject, min(max(advice, 0), maxRetryAfter)
	}
	c.counts.reasons[min(max(int(why), 0), len(c.counts.reasons)-1)]++
	c.decisions = append(c.decisions, x)
	if t.inFlight && !t.canceled {
		c.decisions = append(c.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
	}
	c.forget(t)
}

// forget lets go of a txn, but for a submission that is still out.
func (c *Controller) forget(t *txn) {
	t.ended = true
	c.release(t)
	if t.queued {
		t.queued = false
		t.service.queue = slices.DeleteFunc(t.service.queue, func(x *txn) bool { return x == t })
	}
	if t.awaitsUnits {
		t.awaitsUnits = false
		c.awaitingUnits = slices.DeleteFunc(c.awaitingUnits, func(x *txn) bool { return x == t })
	}
	if t.inFlight {
		return
	}
	if c.txns[t.ID] == t {
		delete(c.txns, t.ID)
		if t.service != nil {
			t.service.txnCount--
		}
	}
}

func (c *Controller) release(t *txn) {
	if t.reserved {
		t.reserved = false
		c.limiter.Release(t.Customer, t.Units)
	}
}
