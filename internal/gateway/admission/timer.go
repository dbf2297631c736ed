package admission

import (
	"time"

	"clovergap/control"
)

// timer is a scheduled check of a request. Request IDs are reused, so the request that has the ID when the timer fires may be a later request. A
// timer that fires therefore first checks whether its condition holds for that request.
type timer struct {
	txn  control.TxnID
	kind timerKind
}

type timerKind int

const (
	timerDeadline    timerKind = iota // the request's deadline
	timerGiveUp                       // the end of the wait for units or in a queue, see setGiveUpTime
	timerDeadBackend                  // a check whether the backend of a submission is dead
)

// setGiveUpTime sets the time at which a request's wait for units or in its queue ends.
func (c *Controller) setGiveUpTime(t *txn, at time.Duration) {
	if t.giveUpAt == at {
		return
	}
	t.giveUpAt = at
	c.timers.Add(at, timer{t.ID, timerGiveUp})
}

// scheduleDeadBackendCheck schedules a check whether the backend of the submission in flight is dead, if the request could go to another backend.
func (c *Controller) scheduleDeadBackendCheck(t *txn) {
	if t.route.Effectful || t.attempts+1 >= t.route.MaxAttempts {
		return
	}
	if checkAt := c.deadCheckTime(t); checkAt < t.deadline {
		c.timers.Add(checkAt, timer{t.ID, timerDeadBackend})
	}
}

// deadCheckTime returns the earliest time at which the backend of the submission in flight may count as dead.
func (c *Controller) deadCheckTime(t *txn) time.Duration {
	return t.sentAt + max(minDeadTime, time.Duration(deadLatencyFactor*float64(c.typicalLatency(t))))
}

// fireTimer performs the check of a timer that is due.
func (c *Controller) fireTimer(t *txn, kind timerKind) {
	switch kind {
	case timerDeadline:
		if !t.answerStarted && c.now >= t.deadline {
			c.answerRequest(t, control.ReasonNoTime, 0)
		}
	case timerGiveUp:
		c.handleGiveUpTime(t)
	case timerDeadBackend:
		c.cancelAtDeadBackend(t)
	}
}

// handleGiveUpTime ends the wait of a request. If the request waits for units, the node that owns the quota has not answered in time, so this node decides on
// the request again. The wait of a request in a queue ends at its latest start.
func (c *Controller) handleGiveUpTime(t *txn) {
	switch {
	case t.ended || t.inFlight || c.now < t.giveUpAt:
	case t.queued && c.now < c.latestStart(t): // the typical latency has become shorter
		c.setGiveUpTime(t, c.latestStart(t))
	case t.queued:
		c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(t))
	case t.awaitsUnits:
		c.stopAwaitingUnits(t)
		c.undecided = append(c.undecided, t)
	}
}

// cancelAtDeadBackend cancels a request's submission in flight if its backend is dead and the request may go to another backend. If one of the two
// does not hold, it schedules another check. It does nothing if the submission has ended, was already canceled or has delivered a part of an answer.
func (c *Controller) cancelAtDeadBackend(t *txn) {
	if t.ended || !t.inFlight || t.cancelRequested || t.answerStarted || c.now < t.sentAt+minDeadTime {
		return
	}
	known := c.typicalLatency(t) > 0 // while it is unknown, nothing shows that the answer is late
	mayRetry := t.attempts+1 < t.route.MaxAttempts && c.canMeetDeadline(t) && c.availableRetryTokens(t.service) >= 1
	if known && c.now >= c.deadCheckTime(t) && mayRetry && t.service.balancer.IsDead(c.now, t.lastBackend) {
		t.cancelRequested = true
		c.cancelSubmission(t)
		return
	}
	c.timers.Add(c.now+deadCheckInterval, timer{t.ID, timerDeadBackend})
}
