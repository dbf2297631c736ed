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
		h := &service{id: id, balancer: balancer.New(o.rng, o.terms.Zone, o.terms.Nodes)}
		h.balancer.SetPlace(o.place, o.places)
		h.budget = &budget{window: o.terms.RetryWindow, at: o.now,
			nr: int64(o.now / (o.terms.RetryWindow / parts))}
		o.services = slices.Insert(o.services, at, h)
	}
	return o.services[at]
}

// turn brings the budget of a service up to now.
func (o *Controller) turn(h *service) {
	h.budget.turn(o.now, dripPart*o.terms.RetryExtra/float64(o.terms.Nodes))
}

// held is how many further tries the budget of a service allows now.
func (o *Controller) held(h *service) float64 {
	o.turn(h)
	return h.budget.held()
}

// chooseService chooses a service by the weights; one without a ready backend only if all are without.
func (o *Controller) chooseService(c *Call) *service {
	for _, any := range []bool{false, true} {
		sum := 0
		for _, t := range c.Targets {
			if any || o.service(t.Service).ready() > 0 {
				sum += max(t.Weight, 0)
			}
		}
		if sum == 0 {
			continue
		}
		n := int(c.next() * float64(sum))
		for _, t := range c.Targets {
			h := o.service(t.Service)
			if !any && h.ready() == 0 {
				continue
			}
			if n -= max(t.Weight, 0); n < 0 {
				return h
			}
		}
	}
	return nil
}

// advice is when to come back: once those in line are through, by what this node has out and how long it
// takes. A part of it is chance, so that they don't come back together.
func (o *Controller) advice(h *service) time.Duration {
	if h == nil || h.balancer.Ready() == 0 {
		return time.Duration(float64(adviceNone) * (0.7 + 0.6*o.rng.Float64()))
	}
	usual := 100 * ms
	if len(h.line) > 0 {
		usual = o.usual(h.line[0])
	}
	wait := float64(usual) * float64(len(h.line)+1) / max(h.balancer.Room(), 1)
	return min(adviceMost, time.Duration(wait*(0.7+0.6*o.rng.Float64()))+20*ms)
}

// pace is the time from one periodic work to the next.
func (o *Controller) pace() time.Duration {
	if len(o.asking) > 0 {
		return period
	}
	for _, h := range o.services {
		if len(h.line) > 0 {
			return period
		}
	}
	if len(o.txns) > 0 {
		return outPeriod
	}
	return sweepEvery
}

// work is all that comes by the clock.
func (o *Controller) work() {
	o.askAgain = len(o.asking) > 0
	for _, h := range o.services {
		h.look = len(h.line) > 0 // pauses of backends may be over
	}
	if o.now-o.swept >= sweepEvery {
		o.swept = o.now
		for _, h := range o.services {
			h.use.turn(o.now)
		}
		o.services = slices.DeleteFunc(o.services, func(h *service) bool {
			return h.holds == 0 && h.balancer.Idle() && h.main == nil && h.under == nil && !o.named(h)
		})
	}
	if o.now-o.noted >= noteEvery && o.count != (counts{}) {
		o.ready = append(o.ready, control.Decision{Verb: control.Note, Text: o.count.text(o)})
		o.count, o.noted = counts{}, o.now
	}
}

// named tells whether a call goes to a service.
func (o *Controller) named(h *service) bool {
	for _, c := range o.calls {
		if slices.ContainsFunc(c.Targets, func(t Target) bool { return t.Service == h.id }) {
			return true
		}
	}
	return false
}

// wake asks for the time of the next work or due txn.
func (o *Controller) wake() (control.Decision, bool) {
	next := min(o.lastWork+o.pace(), max(o.meter.Next(), o.now+minDatagrams))
	if at, ok := o.due.Next(); ok {
		next = min(next, at)
	}
	next = max(next, o.now+ms)
	if o.wakeAt > o.now && o.wakeAt <= next {
		return control.Decision{}, false
	}
	o.wakeAt = next
	return control.Decision{Verb: control.Wake, Limit: next - o.now}, true
}

// counts are for the line in the log.
type counts struct {
	taken, again int
	left         int // clients that went away before their answer
	leftOut      int // of these, with a request at a backend
	ranOn        int // of these, requests that may be repeated and were there for over half a second more
	ends         [control.NotSent + 1]int
	lacks        [LackBackend + 1]int
}

func (n *counts) text(o *Controller) string {
	line, out := 0, 0
	for _, h := range o.services {
		line, out = line+len(h.line), out+h.balancer.Out()
	}
	return fmt.Sprintf("%d taken, %d sent again, %d turned away, %d failed, given up for want of time %d, "+
		"units %d, backends %d; %d wait, %d out; %d clients left, %d with a request at a backend, %d ran on", n.taken, n.again, n.ends[control.Full],
		n.ends[control.Errored]+n.ends[control.TimedOut]+n.ends[control.Unreachable]+n.ends[control.Broken],
		n.lacks[LackTime], n.lacks[LackUnits], n.lacks[LackBackend], line, out, n.left, n.leftOut, n.ranOn)
}
