// The queue of a service: requests that wait for a backend, and in which order they are taken.

package admission

import (
	"slices"
	"time"

	"clovergap/internal/gateway/balancer"
)

// queue puts a txn in the line of its service. All pass through it, so that no lower one overtakes.
func (o *Controller) queue(t *txn) {
	h := t.service
	if len(h.line) >= lineMost {
		o.end(t, LackBackend, o.advice(h))
		return
	}
	if t.Customer != 0 && !t.drawn && !t.kept {
		// What covers it is kept for it: else a view that ages while it waits would refuse it.
		t.kept = true
		o.meter.Keep(t.Customer, t.Units)
	}
	at, _ := slices.BinarySearchFunc(h.line, t, inLine)
	h.line = slices.Insert(h.line, at, t)
	t.waits, h.look = true, true
	aim := t.aimAt - t.arrived
	until := t.arrived + time.Duration(waitAim*float64(aim)) - waitTravel
	if t.nr > 0 {
		left := t.aimAt - o.now
		if left <= 0 {
			left = t.deadline - o.now
		}
		until = o.now + time.Duration(waitAgain*float64(left))
	}
	o.giveUpAt(t, max(until, o.now+ms))
}

// inLine orders those who wait: by priority, one that was sent before first, then by arrival.
func inLine(a, b *txn) int {
	switch {
	case a.rank != b.rank:
		return slices.Compare(a.rank[:], b.rank[:])
	case (a.nr > 0) != (b.nr > 0):
		return b.nr - a.nr
	case a.arrived != b.arrived:
		return int(min(max(a.arrived-b.arrived, -1), 1))
	}
	return -1
}

// takeFromQueue sends the first of a line for whom there is a backend; false when nobody may go now.
func (o *Controller) takeFromQueue() bool {
	for _, h := range o.services {
		if !h.look {
			continue
		}
		stuck, effectful := 0, false
		for i, t := range h.line {
			if t.call.Effectful && effectful && len(t.tried) == 0 || stuck >= stuckMost {
				continue
			}
			id, a := h.balancer.Pick(o.now, t.want())
			if a == balancer.Enough || a == balancer.None && len(t.tried) == 0 {
				// Nor is there anything for those behind, unless this one is choosier.
				if !t.call.Effectful && len(t.tried) == 0 {
					break
				}
				stuck, effectful = stuck+1, effectful || t.call.Effectful && len(t.tried) == 0
				continue
			}
			if a == balancer.None {
				h.line = slices.Delete(h.line, i, i+1)
				t.waits = false
				o.end(t, LackBackend, o.advice(h))
				return true
			}
			h.line = slices.Delete(h.line, i, i+1)
			t.waits = false
			o.submit(t, id)
			return true
		}
		h.look = false
	}
	return false
}
