package admission

import (
	"slices"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// enqueue adds a request to the queue of its service. It rejects the request if the queue is full. Every request passes through the queue, so that no
// request overtakes a request of higher priority.
func (c *Controller) enqueue(t *txn) {
	s := t.service
	if len(s.queue) >= maxQueueLength {
		c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(t))
		return
	}
	if t.Customer != 0 && !t.unitsConsumed && !t.unitsReserved {
		// While the request waits, the limiter's snapshot of the quota may expire and no longer cover the units. So the units are reserved now.
		t.unitsReserved = true
		c.limiter.Reserve(t.Customer, t.Units)
	}
	at, _ := slices.BinarySearchFunc(s.queue, t, compareQueued)
	s.queue = slices.Insert(s.queue, at, t)
	t.queued, t.admitted, s.recheck = true, false, true
	c.setGiveUpTime(t, max(c.latestStart(t), c.now+minWakeDelay))
}

// compareQueued compares two requests by their order in a queue: by priority, then by arrival. It returns -1 if both are equal, so that enqueue
// inserts a new request after equal requests.
func compareQueued(a, b *txn) int {
	switch {
	case a.rank != b.rank:
		return slices.Compare(a.rank[:], b.rank[:])
	case a.arrivedAt != b.arrivedAt:
		return int(min(max(a.arrivedAt-b.arrivedAt, -1), 1))
	}
	return -1
}

// sendQueued removes a request from a queue that can be sent, for which no backend is left, or which waits in vain. It returns false if no request can
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
		if c.rejectUnservable(s) {
			return true
		}
	}
	return false
}

// sendFirstPossible removes one request from the queue of a service: the first request for which the balancer chooses a backend or for which no
// backend is left. It sends the request or, if no backend is left, answers it. If the balancer has no backend for an idempotent request that was sent
// to no backend yet, it has none for the later requests in the queue either. An effectful request, or a request that was sent before, may use fewer
// backends, so later requests in the queue may still be sent. sendFirstPossible returns false if it removes no request.
func (c *Controller) sendFirstPossible(s *service) bool {
	restrictedBlocked, effectfulBlocked := 0, false
	for i, t := range s.queue {
		mayUseAllBackends := len(t.attempted) == 0
		if mayUseAllBackends && t.route.Effectful && effectfulBlocked || !mayUseAllBackends && restrictedBlocked >= maxBlockedInQueue {
			continue
		}
		backend, result := s.balancer.Pick(c.now, t.balancerRequest())
		noneLeft := result == balancer.NoBackend && s.balancer.ReadyCount() > 0
		if result != balancer.Chosen && !noneLeft {
			switch {
			case !mayUseAllBackends:
				restrictedBlocked++
			case t.route.Effectful:
				effectfulBlocked = true
			default:
				return false
			}
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		t.queued = false
		if noneLeft {
			c.answerRequest(t, control.ReasonNoBackend, c.retryAfterTime(t))
		} else {
			c.submit(t, backend)
		}
		return true
	}
	return false
}
