package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// enqueue adds a request to the queue of its service. It rejects the request if the queue is full. Every request passes through the queue, so that no
// request overtakes a request of higher priority.
func (c *Controller) enqueue(t *txn) {
	s := t.service
	if len(s.queue) >= maxQueueLength {
		c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(s))
		return
	}
	if t.Customer != 0 && !t.unitsConsumed && !t.unitsReserved {
		// While the request waits, the limiter's snapshot of the quota may expire and no longer cover the units. So the units are reserved now.
		t.unitsReserved = true
		c.limiter.Reserve(t.Customer, t.Units)
	}
	at, _ := slices.BinarySearchFunc(s.queue, t, compareQueued)
	s.queue = slices.Insert(s.queue, at, t)
	t.queued, s.recheck = true, true
	c.setGiveUpTime(t, max(c.queueDeadline(t), c.now+minWakeDelay))
}

// queueDeadline returns the time until which a request may wait for a backend.
func (c *Controller) queueDeadline(t *txn) time.Duration {
	if t.submissions == 0 {
		return t.arrivedAt + time.Duration(queueTimeShare*float64(t.targetAt-t.arrivedAt)) - clientNetworkTime
	}
	timeLeft := t.targetAt - c.now
	if timeLeft <= 0 {
		timeLeft = t.deadline - c.now
	}
	return c.now + time.Duration(retryQueueTimeShare*float64(timeLeft))
}

// compareQueued compares two requests by their order in a queue: by priority, then retries before requests that were never sent, then by arrival. It
// returns -1 if both are equal, so that enqueue inserts a new request after equal requests.
func compareQueued(a, b *txn) int {
	switch {
	case a.rank != b.rank:
		return slices.Compare(a.rank[:], b.rank[:])
	case (a.submissions > 0) != (b.submissions > 0):
		return b.submissions - a.submissions
	case a.arrivedAt != b.arrivedAt:
		return int(min(max(a.arrivedAt-b.arrivedAt, -1), 1))
	}
	return -1
}

// sendQueued removes one request from a queue, and sends the request or, if no backend is left for it, answers it. It returns false if no request can
// leave a queue now.
func (c *Controller) sendQueued() bool {
	for _, s := range c.services {
		if !s.recheck {
			continue
		}
		if c.sendFirstPossible(s) {
			return true
		}
		s.recheck = false
	}
	return false
}

// sendFirstPossible removes one request from the queue of a service: the first request for which the balancer chooses a backend or for which no
// backend is left. It sends the request or, if no backend is left, answers it. If the balancer has no backend for an idempotent request that was
// never sent, the balancer has none for the later requests in the queue either. An effectful request or a retry may use fewer backends, so later
// requests in the queue may still be sent. sendFirstPossible returns false if it removes no request.
func (c *Controller) sendFirstPossible(s *service) bool {
	blocked, effectfulBlocked := 0, false
	for i, t := range s.queue {
		firstSubmission := len(t.attempted) == 0
		if t.route.Effectful && effectfulBlocked && firstSubmission || blocked >= maxBlockedInQueue {
			continue
		}
		backend, result := s.balancer.Pick(c.now, t.balancerRequest())
		if result == balancer.Saturated || result == balancer.NoBackend && firstSubmission {
			if !t.route.Effectful && firstSubmission {
				return false
			}
			blocked, effectfulBlocked = blocked+1, effectfulBlocked || t.route.Effectful && firstSubmission
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		t.queued = false
		if result == balancer.NoBackend {
			c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(s))
		} else {
			c.submit(t, backend)
		}
		return true
	}
	return false
}
