// One request's way: looked at, submitted or queued, ended and forgotten.

package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
	"clovergap/internal/proxy/invariant"
)

// fireTimer does what is due for a txn.
func (o *Controller) fireTimer(t *txn, what int) {
	switch what {
	case timerExpiry: // ids come round: it may be one that is long gone that this was for
		if !t.begun && o.now >= t.deadline {
			o.finish(t, ReasonNoTime, 0)
		}
	case timerGiveUp:
		switch {
		case t.ended || t.inFlight || o.now < t.giveUpAt:
		case t.queued && o.fallBackToStable(t):
		case t.queued:
			o.finish(t, ReasonNoBackend, o.retryAfter(t.service))
		case t.awaitsUnits: // decided a last time, as the owner of its quota has been silent
			o.awaitingUnits = slices.DeleteFunc(o.awaitingUnits, func(x *txn) bool { return x == t })
			t.awaitsUnits = false
			o.undecided = append(o.undecided, t)
		}
	case timerDeadBackend:
		if t.ended || !t.inFlight || t.canceled || t.begun || o.now < t.sentAt+minDeadTime {
			return
		}
		may := t.attempts+1 < t.route.MaxAttempts && o.mayAnswerInTime(t) && o.retryTokens(t.service) >= 1
		if may && t.service.balancer.Dead(o.now, t.backend) {
			t.canceled = true
			o.decisions = append(o.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
			return
		}
		o.timers.Add(o.now+deadCheckInterval, timer{t.ID, timerDeadBackend})
	}
}

// usualLatency is the usual time of an answer to a txn.
func (o *Controller) usualLatency(t *txn) time.Duration {
	if t.service != nil {
		if u, ok := t.service.balancer.UsualLatency(t.Product); ok {
			return u
		}
	}
	return t.route.LatencyTarget / unknownLatencyDivisor
}

// mayAnswerInTime tells whether an answer may still come in time. A late answer is worth something, so only the deadline
// counts.
func (o *Controller) mayAnswerInTime(t *txn) bool {
	usual := min(o.usualLatency(t), max(t.route.Deadline, t.deadline-t.arrived)/4)
	return o.now+usual/2 < t.deadline
}

// decide settles what happens to a txn that has no submission out.
func (o *Controller) decide(t *txn) {
	if t.ended || t.inFlight || t.queued || t.awaitsUnits {
		return
	}
	if t.service == nil {
		if t.service = o.chooseService(t.route); t.service == nil {
			o.finish(t, ReasonNoBackend, noBackendRetryAfter)
			return
		}
		t.service.txnCount++
	}
	if t.service.canary != nil || t.service.stable != nil {
		o.chooseVersion(t)
	}
	if !o.mayAnswerInTime(t) {
		o.finish(t, ReasonNoTime, o.retryAfter(t.service))
		return
	}
	if t.submissions > 0 && !o.mayRetry(t) {
		o.finish(t, ReasonNoBackend, o.retryAfter(t.service))
		return
	}
	if t.Customer != 0 && !t.consumed && !t.reserved {
		switch v, until := o.limiter.Check(t.Customer, o.quotaRequest(t)); v {
		case control.Exceeded:
			o.finish(t, ReasonNoUnits, until)
			return
		case control.Pending:
			if until = min(until, t.targetAt); until <= o.now {
				o.finish(t, ReasonNoUnits, busyInterval)
				return
			}
			t.awaitsUnits = true
			o.awaitingUnits = append(o.awaitingUnits, t)
			o.setGiveUp(t, until)
			return
		}
	}
	o.enqueue(t)
}

func (o *Controller) quotaRequest(t *txn) control.Request {
	return control.Request{Units: t.Units, Arrived: t.arrived, Late: t.Retry,
		SLA: time.Duration(quotaTargetShare * float64(t.targetAt-t.arrived))}
}

// mayRetry tells whether a txn that was sent before may go to another backend: tries, and the budget, last. The
// token itself is taken with the send.
func (o *Controller) mayRetry(t *txn) bool {
	if t.mayHaveRun && t.route.Effectful || t.attempts >= t.route.MaxAttempts || t.failedConnects > maxFreeConnects {
		return false
	}
	return t.attempts == 0 || o.retryTokens(t.service) >= 1
}

func (o *Controller) setGiveUp(t *txn, at time.Duration) {
	if t.giveUpAt == at {
		return
	}
	t.giveUpAt = at
	o.timers.Add(at, timer{t.ID, timerGiveUp})
}

func (t *txn) balancerRequest() balancer.Request {
	return balancer.Request{Kind: t.Product, Effectful: t.route.Effectful, Attempted: t.attempted}
}

// submit is the one gate that every send passes; every rule is asked again here.
func (o *Controller) submit(t *txn, to control.BackendID) {
	h := t.service
	o.advanceBudget(h)
	if t.attempts > 0 && t.attempts >= t.route.MaxAttempts { // these were lowered while it was in line
		o.finish(t, ReasonNoBackend, o.retryAfter(h))
		return
	}
	may := !t.ended && !t.inFlight && !(t.mayHaveRun && t.route.Effectful) && t.attempts < t.route.MaxAttempts &&
		!slices.Contains(t.attempted, to) && t.mayUseVersion()
	invariant.That(may, "what is sent may be sent")
	if !may || !o.mayAnswerInTime(t) {
		o.finish(t, ReasonNoTime, o.retryAfter(h))
		return
	}
	switch {
	case t.submissions == 0:
		h.budget.earn(earnShare * o.config.RetryRatio)
	case t.attempts > 0 && !h.budget.take():
		o.finish(t, ReasonNoBackend, o.retryAfter(h))
		return
	}
	o.release(t)
	if t.Customer != 0 && !t.consumed {
		o.limiter.Consume(t.Customer, t.Units)
	}
	t.consumed = true
	h.balancer.Sent(o.now, to, t.balancerRequest())
	if t.submissions > 0 {
		o.counts.retried++
	}
	t.submissions++
	t.inFlight, t.backend, t.sentAt, t.canceled = true, to, o.now, false
	t.attempted = append(t.attempted, to)
	limit := t.deadline - o.now
	o.decisions = append(o.decisions, control.Decision{Action: control.Submit, Txn: t.ID, Backend: to,
		After: limit, ResponseTimeout: limit + deadlineMargin})
	if !t.route.Effectful && t.attempts+1 < t.route.MaxAttempts {
		from := max(o.now+max(minDeadTime, time.Duration(deadLatencyFactor*float64(o.usualLatency(t)))),
			t.arrived+time.Duration(deadTargetShare*float64(t.targetAt-t.arrived)))
		if from < t.deadline {
			o.timers.Add(from, timer{t.ID, timerDeadBackend})
		}
	}
}

// finish is the one place where a txn gets its final answer, at once. A decline is a promise that it has not run
// and never will.
func (o *Controller) finish(t *txn, why control.Reason, advice time.Duration) {
	if t.ended {
		return
	}
	x := control.Decision{Action: control.Fail, Txn: t.ID, Reason: why}
	if !t.mayHaveRun && !t.inFlight {
		x.Action, x.After = control.Reject, min(max(advice, 0), maxRetryAfter)
	}
	o.counts.reasons[min(max(int(why), 0), len(o.counts.reasons)-1)]++
	o.decisions = append(o.decisions, x)
	if t.inFlight && !t.canceled {
		o.decisions = append(o.decisions, control.Decision{Action: control.Cancel, Txn: t.ID, Attempt: t.submissions - 1})
	}
	o.forget(t)
}

// forget lets go of a txn, but for a submission that is still out.
func (o *Controller) forget(t *txn) {
	t.ended = true
	o.release(t)
	if t.queued {
		t.queued = false
		t.service.queue = slices.DeleteFunc(t.service.queue, func(x *txn) bool { return x == t })
	}
	if t.awaitsUnits {
		t.awaitsUnits = false
		o.awaitingUnits = slices.DeleteFunc(o.awaitingUnits, func(x *txn) bool { return x == t })
	}
	if t.inFlight {
		return
	}
	if o.txns[t.ID] == t {
		delete(o.txns, t.ID)
		if t.service != nil {
			t.service.txnCount--
		}
	}
}

func (o *Controller) release(t *txn) {
	if t.reserved {
		t.reserved = false
		o.limiter.Release(t.Customer, t.Units)
	}
}
