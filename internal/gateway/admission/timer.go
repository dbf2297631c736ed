package admission

import (
	"slices"
	"time"

	"clovergap/control"
)

// timer is something to be looked at at a time. Numbers of requests come round, so it may be for one that is long gone; each kind asks
// for what it is about.
type timer struct {
	txn  control.TxnID
	kind timerKind
}

type timerKind int

const (
	timerExpiry      timerKind = iota // the deadline
	timerGiveUp                       // the end of a wait, see setGiveUp
	timerDeadBackend                  // a submission may be at a dead backend
)

// setGiveUp bounds how long a request waits for units or in its queue.
func (c *Controller) setGiveUp(t *txn, at time.Duration) {
	if t.giveUpAt == at {
		return
	}
	t.giveUpAt = at
	c.timers.Add(at, timer{t.ID, timerGiveUp})
}

// watchForDeadBackend has the submission in flight examined, if the request could go to another backend.
func (c *Controller) watchForDeadBackend(t *txn) {
	if t.route.Effectful || t.attempts+1 >= t.route.MaxAttempts {
		return
	}
	from := max(c.now+max(minDeadTime, time.Duration(deadLatencyFactor*float64(c.usualLatency(t)))),
		t.arrived+time.Duration(deadTargetShare*float64(t.targetAt-t.arrived)))
	if from < t.deadline {
		c.timers.Add(from, timer{t.ID, timerDeadBackend})
	}
}

func (c *Controller) fireTimer(t *txn, kind timerKind) {
	switch kind {
	case timerExpiry:
		if !t.begun && c.now >= t.deadline {
			c.finish(t, control.ReasonNoTime, 0)
		}
	case timerGiveUp:
		c.giveUp(t)
	case timerDeadBackend:
		c.cancelAtDeadBackend(t)
	}
}

// giveUp ends a wait. A request that waits for units is decided a last time, since the owner of its quota has not answered; one in the queue of a
// canary goes to the baseline version.
func (c *Controller) giveUp(t *txn) {
	switch {
	case t.ended || t.inFlight || c.now < t.giveUpAt:
	case t.queued && c.fallBackToBaseline(t):
	case t.queued:
		c.finish(t, control.ReasonNoBackend, c.retryAfter(t.service))
	case t.awaitsUnits:
		c.awaitingUnits = slices.DeleteFunc(c.awaitingUnits, func(other *txn) bool { return other == t })
		t.awaitsUnits = false
		c.undecided = append(c.undecided, t)
	}
}

// cancelAtDeadBackend cancels a submission at a dead backend, if the request may go to another one; otherwise it is examined again.
func (c *Controller) cancelAtDeadBackend(t *txn) {
	if t.ended || !t.inFlight || t.canceled || t.begun || c.now < t.sentAt+minDeadTime {
		return
	}
	mayRetry := t.attempts+1 < t.route.MaxAttempts && c.mayAnswerInTime(t) && c.retryTokens(t.service) >= 1
	if mayRetry && t.service.balancer.Dead(c.now, t.backend) {
		t.canceled = true
		c.cancel(t)
		return
	}
	c.timers.Add(c.now+deadCheckInterval, timer{t.ID, timerDeadBackend})
}
