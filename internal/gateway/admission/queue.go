// The queue of a service: requests that wait for a backend, and in which order they are taken.

package admission

import (
	"slices"
	"time"

	"clovergap/internal/gateway/balancer"
)

// enqueue puts a txn in the line of its service. All pass through it, so that no lower one overtakes.
func (c *Controller) enqueue(t *txn) {
	h := t.service
	if len(h.queue) >= maxQueue {
		c.finish(t, ReasonNoBackend, c.retryAfter(h))
		return
	}
	if t.Customer != 0 && !t.consumed && !t.reserved {
		// What covers it is kept for it: else a view that ages while it waits would refuse it.
		t.reserved = true
		c.limiter.Reserve(t.Customer, t.Units)
	}
	at, _ := slices.BinarySearchFunc(h.queue, t, compareQueued)
	h.queue = slices.Insert(h.queue, at, t)
	t.queued, h.recheck = true, true
	aim := t.targetAt - t.arrived
	until := t.arrived + time.Duration(queueTimeShare*float64(aim)) - clientTravelTime
	if t.submissions > 0 {
		left := t.targetAt - c.now
		if left <= 0 {
			left = t.deadline - c.now
		}
		until = c.now + time.Duration(retryQueueTimeShare*float64(left))
	}
	c.setGiveUp(t, max(until, c.now+time.Millisecond))
}

// compareQueued orders those who wait: by priority, one that was sent before first, then by arrival.
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

// sendQueued sends the first of a line for whom there is a backend; false when nobody may go now.
func (c *Controller) sendQueued() bool {
	for _, h := range c.services {
		if !h.recheck {
			continue
		}
		stuck, effectful := 0, false
		for i, t := range h.queue {
			if t.route.Effectful && effectful && len(t.attempted) == 0 || stuck >= maxBlocked {
				continue
			}
			id, a := h.balancer.Pick(c.now, t.balancerRequest())
			if a == balancer.Saturated || a == balancer.NoBackend && len(t.attempted) == 0 {
				// Nor is there anything for those behind, unless this one is choosier.
				if !t.route.Effectful && len(t.attempted) == 0 {
					break
				}
				stuck, effectful = stuck+1, effectful || t.route.Effectful && len(t.attempted) == 0
				continue
			}
			if a == balancer.NoBackend {
				h.queue = slices.Delete(h.queue, i, i+1)
				t.queued = false
				c.finish(t, ReasonNoBackend, c.retryAfter(h))
				return true
			}
			h.queue = slices.Delete(h.queue, i, i+1)
			t.queued = false
			c.submit(t, id)
			return true
		}
		h.recheck = false
	}
	return false
}
