package admission

import (
	"math"
	"slices"
	"time"

	"clovergap/control"
)

// Target is a service that a route's requests may go to, and its part of the sum of weights.
type Target struct {
	Service control.ServiceID
	Weight  int
}

// Route is what requests of one number may do.
type Route struct {
	// Effectful requests run at most once.
	Effectful bool
	// LatencyTarget, from its arrival, is the time in which an answer has its full value; 0: the deadline.
	LatencyTarget time.Duration
	// Deadline is how long a request is held at the most; 0: until its expiry.
	Deadline time.Duration
	// MaxAttempts is the number of backends that one request may reach, 1 at the least.
	MaxAttempts int
	// Priority: 0 is highest.
	Priority int
	Targets  []Target

	// weightPoint is where the last request was, from 0 to 1, in the sum of the targets' weights.
	weightPoint float64
}

// goldenRatio is the step of weightPoint: with it any few requests in a row lie evenly over the sum, whatever the weights are.
const goldenRatio = 0.6180339887498949

// nextWeightPoint moves on to the next request.
func (r *Route) nextWeightPoint() float64 {
	_, r.weightPoint = math.Modf(r.weightPoint + goldenRatio)
	return r.weightPoint
}

// SetRoute says what requests of a number may do from now on. Those that are here keep what they came with.
func (c *Controller) SetRoute(id control.ProductID, route Route) {
	route.Targets = slices.Clone(route.Targets)
	route.MaxAttempts = max(route.MaxAttempts, 1)
	route.weightPoint = c.rng.Float64() // nodes begin at different points
	if old := c.routes[id]; old != nil {
		route.weightPoint = old.weightPoint
	}
	c.routes[id] = &route
	for _, t := range route.Targets {
		c.service(t.Service)
	}
}

// RemoveRoute forgets a number. Requests that are here keep what they came with.
func (c *Controller) RemoveRoute(id control.ProductID) { delete(c.routes, id) }

// LowerMaxAttempts bounds the backends that requests of a number may reach from now on, also of those that are here: a newer configuration, of which this
// node knows no more, may allow fewer. It never allows more.
func (c *Controller) LowerMaxAttempts(id control.ProductID, most int) {
	if route := c.routes[id]; route != nil {
		route.MaxAttempts = min(route.MaxAttempts, max(most, 1))
	}
}

// chooseService chooses one of a route's targets by weight: one that has a ready backend, or any if none has. nil: all weights are 0.
func (c *Controller) chooseService(route *Route) *service {
	ready := func(s *service) bool { return s.readyBackends() > 0 }
	anyService := func(*service) bool { return true }
	if s := c.chooseByWeight(route, ready); s != nil {
		return s
	}
	return c.chooseByWeight(route, anyService)
}

// chooseByWeight chooses among the targets that fit.
func (c *Controller) chooseByWeight(route *Route, fits func(*service) bool) *service {
	sum := 0
	for _, t := range route.Targets {
		if fits(c.service(t.Service)) {
			sum += max(t.Weight, 0)
		}
	}
	if sum == 0 {
		return nil
	}
	point := int(route.nextWeightPoint() * float64(sum))
	for _, t := range route.Targets {
		s := c.service(t.Service)
		if !fits(s) {
			continue
		}
		if point -= max(t.Weight, 0); point < 0 {
			return s
		}
	}
	return nil
}

// hasRoute tells whether a route has a service as target.
func (c *Controller) hasRoute(s *service) bool {
	for _, route := range c.routes {
		if slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == s.id }) {
			return true
		}
	}
	return false
}
