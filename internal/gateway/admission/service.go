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
func (o *Controller) service(id control.ServiceID) *service {
	at, ok := slices.BinarySearchFunc(o.services, id, func(h *service, id control.ServiceID) int {
		return int(h.id) - int(id)
	})
	if !ok {
		h := &service{id: id, balancer: balancer.New(o.rng, o.config.Zone, o.config.Nodes)}
		h.balancer.SetZoneIndex(o.zoneIndex, o.zoneNodes)
		h.budget = &budget{window: o.config.RetryWindow, updatedAt: o.now,
			part: int64(o.now / (o.config.RetryWindow / budgetParts))}
		o.services = slices.Insert(o.services, at, h)
	}
	return o.services[at]
}

// advanceBudget brings the budget of a service up to now.
func (o *Controller) advanceBudget(h *service) {
	h.budget.advance(o.now, dripShare*o.config.RetryAllowance/float64(o.config.Nodes))
}

// retryTokens is how many further tries the budget of a service allows now.
func (o *Controller) retryTokens(h *service) float64 {
	o.advanceBudget(h)
	return h.budget.available()
}

// chooseService chooses a service by the weights; one without a ready backend only if all are without.
func (o *Controller) chooseService(c *Route) *service {
	for _, any := range []bool{false, true} {
		sum := 0
		for _, t := range c.Targets {
			if any || o.service(t.Service).readyBackends() > 0 {
				sum += max(t.Weight, 0)
			}
		}
		if sum == 0 {
			continue
		}
		n := int(c.nextWeightPoint() * float64(sum))
		for _, t := range c.Targets {
			h := o.service(t.Service)
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
func (o *Controller) retryAfter(h *service) time.Duration {
	if h == nil || h.balancer.Ready() == 0 {
		return time.Duration(float64(noBackendRetryAfter) * (0.7 + 0.6*o.rng.Float64()))
	}
	usual := 100 * millisecond
	if len(h.queue) > 0 {
		usual = o.usualLatency(h.queue[0])
	}
	wait := float64(usual) * float64(len(h.queue)+1) / max(h.balancer.Capacity(), 1)
	return min(maxRetryAfter, time.Duration(wait*(0.7+0.6*o.rng.Float64()))+20*millisecond)
}

// workInterval is the time from one periodic work to the next.
func (o *Controller) workInterval() time.Duration {
	if len(o.awaitingUnits) > 0 {
		return busyInterval
	}
	for _, h := range o.services {
		if len(h.queue) > 0 {
			return busyInterval
		}
	}
	if len(o.txns) > 0 {
		return inFlightInterval
	}
	return sweepInterval
}

// periodicWork is all that comes by the clock.
func (o *Controller) periodicWork() {
	o.recheckUnits = len(o.awaitingUnits) > 0
	for _, h := range o.services {
		h.recheck = len(h.queue) > 0 // pauses of backends may be over
	}
	if o.now-o.sweptAt >= sweepInterval {
		o.sweptAt = o.now
		for _, h := range o.services {
			h.concurrency.advance(o.now)
		}
		o.services = slices.DeleteFunc(o.services, func(h *service) bool {
			return h.txnCount == 0 && h.balancer.Empty() && h.stable == nil && h.canary == nil && !o.hasRoute(h)
		})
	}
	if o.now-o.loggedAt >= logInterval && o.counts != (counts{}) {
		o.decisions = append(o.decisions, control.Decision{Action: control.Log, Text: o.counts.text(o)})
		o.counts, o.loggedAt = counts{}, o.now
	}
}

// hasRoute tells whether a call goes to a service.
func (o *Controller) hasRoute(h *service) bool {
	for _, c := range o.routes {
		if slices.ContainsFunc(c.Targets, func(t Target) bool { return t.Service == h.id }) {
			return true
		}
	}
	return false
}

// wake asks for the time of the next work or due txn.
func (o *Controller) wake() (control.Decision, bool) {
	next := min(o.workedAt+o.workInterval(), max(o.limiter.NextDeadline(), o.now+minDatagramInterval))
	if at, ok := o.timers.Next(); ok {
		next = min(next, at)
	}
	next = max(next, o.now+millisecond)
	if o.wakeAt > o.now && o.wakeAt <= next {
		return control.Decision{}, false
	}
	o.wakeAt = next
	return control.Decision{Action: control.Wake, After: next - o.now}, true
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

func (n *counts) text(o *Controller) string {
	line, out := 0, 0
	for _, h := range o.services {
		line, out = line+len(h.queue), out+h.balancer.InFlight()
	}
	return fmt.Sprintf("%d taken, %d sent again, %d turned away, %d failed, given up for want of time %d, "+
		"units %d, backends %d; %d wait, %d out; %d clients left, %d with a request at a backend, %d ran on", n.arrived, n.retried, n.endings[control.Rejected],
		n.endings[control.Errored]+n.endings[control.TimedOut]+n.endings[control.Unreachable]+n.endings[control.ConnectionLost],
		n.reasons[ReasonNoTime], n.reasons[ReasonNoUnits], n.reasons[ReasonNoBackend], line, out, n.clientsLeft, n.clientsLeftInFlight, n.ranOn)
}
