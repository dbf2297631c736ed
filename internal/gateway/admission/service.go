package admission

import (
	"fmt"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// Services, advice and periodic work.

// service finds or makes what is known of a service.
func (c *Controller) service(id control.ServiceID) *service {
	at, ok := slices.BinarySearchFunc(c.services, id, func(h *service, id control.ServiceID) int {
		return int(h.id) - int(id)
	})
	if !ok {
		h := &service{id: id, balancer: balancer.New(c.rng, c.config.Zone, c.config.Nodes)}
		h.balancer.SetZoneIndex(c.zoneIndex, c.zoneNodes)
		h.budget = &budget{window: c.config.RetryWindow, updatedAt: c.now,
			part: int64(c.now / (c.config.RetryWindow / budgetParts))}
		c.services = slices.Insert(c.services, at, h)
	}
	return c.services[at]
}

// advanceBudget brings the budget of a service up to now.
func (c *Controller) advanceBudget(h *service) {
	h.budget.advance(c.now, dripShare*c.config.RetryAllowance/float64(c.config.Nodes))
}

// retryTokens is how many further tries the budget of a service allows now.
func (c *Controller) retryTokens(h *service) float64 {
	c.advanceBudget(h)
	return h.budget.available()
}

// chooseService chooses a service by the weights; one without a ready backend only if all are without.
func (c *Controller) chooseService(route *Route) *service {
	for _, any := range []bool{false, true} {
		sum := 0
		for _, t := range route.Targets {
			if any || c.service(t.Service).readyBackends() > 0 {
				sum += max(t.Weight, 0)
			}
		}
		if sum == 0 {
			continue
		}
		n := int(route.nextWeightPoint() * float64(sum))
		for _, t := range route.Targets {
			h := c.service(t.Service)
			if !any && h.readyBackends() == 0 {
				continue
			}
			if n -= max(t.Weight, 0); n < 0 {
				return h
			}
		}
	}
	return nil
}

// retryAfter is when to come back: once those in line are through, by what this node has out and how long it
// takes. A part of it is chance, so that they don't come back together.
func (c *Controller) retryAfter(h *service) time.Duration {
	if h == nil || h.balancer.Ready() == 0 {
		return time.Duration(float64(noBackendRetryAfter) * (0.7 + 0.6*c.rng.Float64()))
	}
	usual := 100 * time.Millisecond
	if len(h.queue) > 0 {
		usual = c.usualLatency(h.queue[0])
	}
	wait := float64(usual) * float64(len(h.queue)+1) / max(h.balancer.Capacity(), 1)
	return min(maxRetryAfter, time.Duration(wait*(0.7+0.6*c.rng.Float64()))+20*time.Millisecond)
}

// workInterval is the time from one periodic work to the next.
func (c *Controller) workInterval() time.Duration {
	if len(c.awaitingUnits) > 0 {
		return busyInterval
	}
	for _, h := range c.services {
		if len(h.queue) > 0 {
			return busyInterval
		}
	}
	if len(c.txns) > 0 {
		return inFlightInterval
	}
	return sweepInterval
}

// periodicWork is all that comes by the clock.
func (c *Controller) periodicWork() {
	c.recheckUnits = len(c.awaitingUnits) > 0
	for _, h := range c.services {
		h.recheck = len(h.queue) > 0 // pauses of backends may be over
	}
	if c.now-c.sweptAt >= sweepInterval {
		c.sweptAt = c.now
		for _, h := range c.services {
			h.concurrency.advance(c.now)
		}
		c.services = slices.DeleteFunc(c.services, func(h *service) bool {
			return h.txnCount == 0 && h.balancer.Empty() && h.stable == nil && h.canary == nil && !c.hasRoute(h)
		})
	}
	if c.now-c.loggedAt >= logInterval && c.counts != (counts{}) {
		c.decisions = append(c.decisions, control.Decision{Action: control.Log, Text: c.counts.text(c)})
		c.counts, c.loggedAt = counts{}, c.now
	}
}

// hasRoute tells whether a call goes to a service.
func (c *Controller) hasRoute(h *service) bool {
	for _, route := range c.routes {
		if slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == h.id }) {
			return true
		}
	}
	return false
}

// wake asks for the time of the next work or due txn.
func (c *Controller) wake() (control.Decision, bool) {
	next := min(c.workedAt+c.workInterval(), max(c.limiter.NextDeadline(), c.now+minDatagramInterval))
	if at, ok := c.timers.Next(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+time.Millisecond)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return control.Decision{}, false
	}
	c.wakeAt = next
	return control.Decision{Action: control.Wake, After: next - c.now}, true
}

// counts are for the line in the log.
type counts struct {
	arrived, retried    int
	clientsLeft         int // clients that went away before their answer
	clientsLeftInFlight int // of these, with a request at a backend
	ranOn               int // of these, requests that may be repeated and were there for over half a second more
	endings             [control.NotSent + 1]int
	reasons             [ReasonNoBackend + 1]int
}

func (c *counts) text(o *Controller) string {
	line, out := 0, 0
	for _, h := range o.services {
		line, out = line+len(h.queue), out+h.balancer.InFlight()
	}
	return fmt.Sprintf("%d taken, %d sent again, %d turned away, %d failed, given up for want of time %d, "+
		"units %d, backends %d; %d wait, %d out; %d clients left, %d with a request at a backend, %d ran on", c.arrived, c.retried, c.endings[control.Rejected],
		c.endings[control.Errored]+c.endings[control.TimedOut]+c.endings[control.Unreachable]+c.endings[control.ConnectionLost],
		c.reasons[ReasonNoTime], c.reasons[ReasonNoUnits], c.reasons[ReasonNoBackend], line, out, c.clientsLeft, c.clientsLeftInFlight, c.ranOn)
}
