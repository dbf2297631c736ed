package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// service is one version of a service.
type service struct {
	id          control.ServiceID
	balancer    *balancer.Balancer
	budget      *budget // shared by both versions
	queue       []*txn  // waiting for a backend, by compareQueued
	recheck     bool    // something has changed for the queue
	txnCount    int     // requests that are here for it
	concurrency concurrency

	baseline     *service // of a canary: the version beside it
	canary       *service // of a baseline version: the one beside it, if there is one
	canaryAccess CanaryAccess
}

// service finds or makes a service.
func (c *Controller) service(id control.ServiceID) *service {
	at, ok := slices.BinarySearchFunc(c.services, id, func(s *service, id control.ServiceID) int {
		return int(s.id) - int(id)
	})
	if !ok {
		s := &service{id: id, balancer: c.newBalancer(), budget: newBudget(c.config.RetryWindow, c.now)}
		c.services = slices.Insert(c.services, at, s)
	}
	return c.services[at]
}

// readyBackends counts the ready backends of a service, those of a canary that is open included.
func (s *service) readyBackends() int {
	n := s.balancer.Ready()
	if s.canary != nil && s.canaryAccess != CanaryClosed {
		n += s.canary.balancer.Ready()
	}
	return n
}

// baselineVersion is the baseline one of a service's versions.
func (s *service) baselineVersion() *service {
	if s.baseline != nil {
		return s.baseline
	}
	return s
}

// EndpointsChanged takes changes of the backend list; a complete one replaces it.
func (c *Controller) EndpointsChanged(complete bool, list []control.Endpoint) {
	if complete {
		c.removeUnlisted(list)
	}
	for _, e := range list {
		c.setEndpoint(e)
	}
}

// removeUnlisted removes the backends that a complete list does not name, or names at another service.
func (c *Controller) removeUnlisted(list []control.Endpoint) {
	listed := map[control.BackendID]control.ServiceID{}
	for _, e := range list {
		listed[e.ID] = e.Service
	}
	for id, s := range c.serviceOf {
		if at, ok := listed[id]; !ok || at != s.id {
			s.balancer.SetEndpoint(c.now, control.Endpoint{ID: id, State: control.Gone})
			delete(c.serviceOf, id)
			s.recheck = true
		}
	}
}

// setEndpoint takes one line of the backend list. A backend is never at two services.
func (c *Controller) setEndpoint(e control.Endpoint) {
	s := c.serviceOf[e.ID]
	if s != nil && s.id != e.Service && e.State != control.Gone {
		s.balancer.SetEndpoint(c.now, control.Endpoint{ID: e.ID, State: control.Gone})
		s = nil
	}
	if s == nil {
		if e.State == control.Gone {
			return
		}
		s = c.service(e.Service)
		c.serviceOf[e.ID] = s
	}
	s.balancer.SetEndpoint(c.now, e)
	s.recheck = true
	if e.State == control.Gone {
		delete(c.serviceOf, e.ID)
	}
}

// advanceBudget brings the retry budget of a service up to now.
func (c *Controller) advanceBudget(s *service) {
	s.budget.advance(c.now, dripShare*c.config.RetryAllowance/float64(c.config.Nodes))
}

// retryTokens is how many retries the budget of a service allows now.
func (c *Controller) retryTokens(s *service) float64 {
	c.advanceBudget(s)
	return s.budget.available()
}

// retryAfter advises a rejected client when to come again: once those in the queue are through, by the capacity of this node and the usual
// answer time. The service may be nil.
func (c *Controller) retryAfter(s *service) time.Duration {
	if s == nil || s.balancer.Ready() == 0 {
		return time.Duration(float64(noBackendRetryAfter) * (minRetryJitter + retryJitter*c.rng.Float64()))
	}
	usual := unknownQueueLatency
	if len(s.queue) > 0 {
		usual = c.usualLatency(s.queue[0])
	}
	wait := float64(usual) * float64(len(s.queue)+1) / max(s.balancer.Capacity(), 1)
	return min(maxRetryAfter, time.Duration(wait*(minRetryJitter+retryJitter*c.rng.Float64()))+minRetryAfter)
}

const (
	// concurrencySpan is the time over which the requests in flight are averaged.
	concurrencySpan = 10 * time.Second
	// concurrencyPeriod: peaks are of the present period and the one before.
	concurrencyPeriod = 30 * time.Minute
)

// concurrency is how many requests a service had in flight from this node: the highest averages over concurrencySpan.
type concurrency struct {
	since    time.Duration // beginning of the present span
	busyTime time.Duration // that the requests ended in it took
	period   time.Duration // number of the present period
	peaks    [2]float64    // of the present period and the one before
}

// advance ends the span if it is over.
func (c *concurrency) advance(now time.Duration) {
	if now-c.since < concurrencySpan {
		return
	}
	if period := now / concurrencyPeriod; period != c.period {
		c.peaks[1] = 0
		if period == c.period+1 {
			c.peaks[1] = c.peaks[0]
		}
		c.peaks[0], c.period = 0, period
	}
	c.peaks[0] = max(c.peaks[0], float64(c.busyTime)/float64(now-c.since))
	c.busyTime, c.since = 0, now
}

func (c *concurrency) peak() float64 { return max(c.peaks[0], c.peaks[1]) }

// PeakConcurrency is how many requests a service had in flight from this node, on average over ten seconds, at its busiest of the last half hour
// or hour, over both versions; 0: not known.
func (c *Controller) PeakConcurrency(id control.ServiceID) float64 {
	s := c.service(id)
	peak := s.concurrency.peak()
	if s.canary != nil {
		peak += s.canary.concurrency.peak()
	}
	return peak
}
