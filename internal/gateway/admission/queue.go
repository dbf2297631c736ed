package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// enqueue puts a request into the queue of its service. Every request passes through it, so that none overtakes one of higher priority.
func (c *Controller) enqueue(t *txn) {
	s := t.service
	if len(s.queue) >= maxQueue {
		c.finish(t, control.ReasonNoBackend, c.retryAfter(s))
		return
	}
	if t.Customer != 0 && !t.consumed && !t.reserved {
		// A snapshot of the quota that grows old while it waits would not cover it any more.
		t.reserved = true
		c.limiter.Reserve(t.Customer, t.Units)
	}
	at, _ := slices.BinarySearchFunc(s.queue, t, compareQueued)
	s.queue = slices.Insert(s.queue, at, t)
	t.queued, s.recheck = true, true
	c.setGiveUp(t, max(c.queueDeadline(t), c.now+minWake))
}

// queueDeadline is until when a request waits for a backend.
func (c *Controller) queueDeadline(t *txn) time.Duration {
	if t.submissions == 0 {
		return t.arrived + time.Duration(queueTimeShare*float64(t.targetAt-t.arrived)) - clientTravelTime
	}
	left := t.targetAt - c.now
	if left <= 0 {
		left = t.deadline - c.now
	}
	return c.now + time.Duration(retryQueueTimeShare*float64(left))
}

// compareQueued is the order of a queue: by priority, then those that were sent before, then by arrival.
func compareQueued(a, b *txn) int {
	switch {
	case a.rank != b.rank:
		return slices.Compare(a.rank[:], b.rank[:])
	case (a.submissions > 0) != (b.submissions > 0):
		return b.submissions - a.submissions
	case a.arrived != b.arrived:
		return int(min(max(a.arrived-b.arrived, -1), 1))
	}
	return -1
}

// sendQueued takes one request out of a queue: it is sent, or answered if no backend is left for it. false: nothing can be done now.
func (c *Controller) sendQueued() bool {
	for _, s := range c.services {
		if !s.recheck {
			continue
		}
		if c.sendFirst(s) {
			return true
		}
		s.recheck = false
	}
	return false
}

// sendFirst looks for the first request of a queue for which the balancer has a backend, or never will have one. Where there is none for an idempotent
// first submission, there is none for those behind it. An effectful one, or a retry, is choosier: those behind it may still go.
func (c *Controller) sendFirst(s *service) bool {
	blocked, effectfulBlocked := 0, false
	for i, t := range s.queue {
		first := len(t.attempted) == 0
		if t.route.Effectful && effectfulBlocked && first || blocked >= maxBlocked {
			continue
		}
		backend, result := s.balancer.Pick(c.now, t.balancerRequest())
		if result == balancer.Saturated || result == balancer.NoBackend && first {
			if !t.route.Effectful && first {
				return false
			}
			blocked, effectfulBlocked = blocked+1, effectfulBlocked || t.route.Effectful && first
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		t.queued = false
		if result == balancer.NoBackend {
			c.finish(t, control.ReasonNoBackend, c.retryAfter(s))
		} else {
			c.submit(t, backend)
		}
		return true
	}
	return false
}
