package admission

import (
	"math"
	"slices"
	"time"

	"clovergap/control"
)

// Target is a service to which a route's requests may go. The share of a target is its weight divided by the sum of the weights of the route.
type Target struct {
	Service control.ServiceID
	Weight  int
}

// Route holds the rules for requests of one product ID.
type Route struct {
	// Effectful means that a request may run only once. If Effectful is false, the requests are idempotent and may run several times.
	Effectful bool
	// LatencyTarget is the time from a request's arrival within which the operator wants an answer. 0 means until the deadline.
	LatencyTarget time.Duration
	// Deadline is the time from a request's arrival within which the request is answered. 0 means that only the request's Expiry counts.
	Deadline time.Duration
	// MaxAttempts is the number of backends that one request may reach, at least 1.
	MaxAttempts int
	// Priority is the priority of requests of tenants with equal priority. 0 is the highest.
	Priority int
	// Targets are the services among which requests are distributed.
	Targets []Target

	// weightPoint determined the target of the last request. It is a position in the sum of the targets' weights, expressed as a fraction of the
	// sum. The fraction is at least 0 and below 1.
	weightPoint float64
}

// goldenRatio is the amount by which weightPoint advances with each request. With this step, even a few consecutive requests are distributed over
// the targets in proportion to their weights, whatever the weights are.
const goldenRatio = 0.6180339887498949

// advanceWeightPoint advances weightPoint by goldenRatio, modulo 1, and returns the new value.
func (r *Route) advanceWeightPoint() float64 {
	_, r.weightPoint = math.Modf(r.weightPoint + goldenRatio)
	return r.weightPoint
}

// SetRoute sets the rules for requests of a product ID that arrive from now on. Requests that arrived before keep their rules.
func (c *Controller) SetRoute(id control.ProductID, route Route) {
	route.Targets = slices.Clone(route.Targets)
	route.MaxAttempts = max(route.MaxAttempts, 1)
	route.weightPoint = c.rng.Float64() // nodes start at different points, so that they do not all choose the same targets at the same time
	if old := c.routes[id]; old != nil {
		route.weightPoint = old.weightPoint
	}
	c.routes[id] = &route
	for _, t := range route.Targets {
		c.getOrCreateService(t.Service)
	}
}

// RemoveRoute removes the route of a product ID. Requests that arrived before keep their rules.
func (c *Controller) RemoveRoute(id control.ProductID) { delete(c.routes, id) }

// LowerMaxAttempts lowers the number of backends that a request of a product ID may reach, also for requests that arrived before. The host calls
// LowerMaxAttempts if a newer configuration may allow fewer attempts and this node does not have that configuration. LowerMaxAttempts never raises
// the number.
func (c *Controller) LowerMaxAttempts(id control.ProductID, maxAttempts int) {
	if route := c.routes[id]; route != nil {
		route.MaxAttempts = min(route.MaxAttempts, max(maxAttempts, 1))
	}
}

// chooseService chooses one of a route's targets by weight. It prefers targets with a ready backend. It returns nil if all weights are 0.
func (c *Controller) chooseService(route *Route) *service {
	hasReadyBackend := func(s *service) bool { return s.readyBackendCount() > 0 }
	anyService := func(*service) bool { return true }
	if s := c.chooseByWeight(route, hasReadyBackend); s != nil {
		return s
	}
	return c.chooseByWeight(route, anyService)
}

// chooseByWeight chooses one of the eligible targets by weight. It returns nil if the sum of their weights is 0.
func (c *Controller) chooseByWeight(route *Route, eligible func(*service) bool) *service {
	sum := 0
	for _, t := range route.Targets {
		if eligible(c.getOrCreateService(t.Service)) {
			sum += max(t.Weight, 0)
		}
	}
	if sum == 0 {
		return nil
	}
	point := int(route.advanceWeightPoint() * float64(sum))
	for _, t := range route.Targets {
		s := c.getOrCreateService(t.Service)
		if !eligible(s) {
			continue
		}
		if point -= max(t.Weight, 0); point < 0 {
			return s
		}
	}
	return nil
}

// isRouteTarget reports whether a service is a target of any route.
func (c *Controller) isRouteTarget(s *service) bool {
	for _, route := range c.routes {
		if slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == s.id }) {
			return true
		}
	}
	return false
}
