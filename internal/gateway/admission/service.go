package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// service is one version of a service. Outside of roll-outs a service has a single version.
type service struct {
	id          control.ServiceID
	balancer    *balancer.Balancer
	budget      *retryBudget // for retries; shared by both versions of a service
	queue       []*txn       // requests that wait for a backend, ordered by compareQueued
	recheck     bool         // the queue must be checked again, because a queued request may now have a backend
	txnCount    int          // requests of this node that have chosen this version and have not ended
	concurrency concurrency

	baseline     *service     // the baseline version of the same service; nil if this version is not a canary
	canary       *service     // the canary of this version; nil if this version has no canary
	canaryAccess CanaryAccess // which requests may go to the canary of this version
}

// getOrCreateService returns the service with an ID. It creates the service if there is none.
func (c *Controller) getOrCreateService(id control.ServiceID) *service {
	at, ok := slices.BinarySearchFunc(c.services, id, func(s *service, id control.ServiceID) int {
		return int(s.id) - int(id)
	})
	if !ok {
		s := &service{id: id, balancer: c.newBalancer(), budget: newRetryBudget(c.config.RetryWindow, c.now)}
		c.services = slices.Insert(c.services, at, s)
	}
	return c.services[at]
}

// readyBackendCount returns the number of ready backends of a service. Backends of its canary are included unless canaryAccess is CanaryClosed.
func (s *service) readyBackendCount() int {
	n := s.balancer.ReadyCount()
	if s.canary != nil && s.canaryAccess != CanaryClosed {
		n += s.canary.balancer.ReadyCount()
	}
	return n
}

// baselineVersion returns the baseline version of the service.
func (s *service) baselineVersion() *service {
	if s.baseline != nil {
		return s.baseline
	}
	return s
}

// EndpointsChanged applies changes of the backend list. A complete list replaces the previous list.
func (c *Controller) EndpointsChanged(complete bool, list []control.Endpoint) {
	if complete {
		c.removeUnlisted(list)
	}
	for _, e := range list {
		c.setEndpoint(e)
	}
}

// removeUnlisted removes the backends that a complete list omits or assigns to another service.
func (c *Controller) removeUnlisted(list []control.Endpoint) {
	listed := map[control.BackendID]control.ServiceID{}
	for _, e := range list {
		listed[e.ID] = e.Service
	}
	for id, s := range c.serviceOf {
		if listedService, ok := listed[id]; !ok || listedService != s.id {
			s.balancer.SetEndpoint(c.now, control.Endpoint{ID: id, State: control.Gone})
			delete(c.serviceOf, id)
			s.recheck = true
		}
	}
}

// setEndpoint applies one entry of the backend list. A backend belongs to one service at a time. If the entry names another service than before, the
// backend is removed from its previous service.
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
		s = c.getOrCreateService(e.Service)
		c.serviceOf[e.ID] = s
	}
	s.balancer.SetEndpoint(c.now, e)
	s.recheck = true
	if e.State == control.Gone {
		delete(c.serviceOf, e.ID)
	}
}

// advanceBudget advances the retry budget of a service to the current time.
func (c *Controller) advanceBudget(s *service) {
	s.budget.advance(c.now, refillShare*c.config.RetryAllowance/float64(c.config.Nodes))
}

// availableRetryTokens returns the number of tokens in the retry budget of a service. A retry needs 1.
func (c *Controller) availableRetryTokens(s *service) float64 {
	c.advanceBudget(s)
	return s.budget.availableTokens()
}

const (
	// concurrencySpan is the time over which the number of requests in flight is averaged.
	concurrencySpan = 10 * time.Second
	// concurrencyPeriod is the length of a period. The peak covers the present period and the period before it.
	concurrencyPeriod = 30 * time.Minute
)

// concurrency tracks the number of requests of this node that were in flight at a version of a service. It keeps the highest average over a span of
// concurrencySpan. A submission is the sending of a request to one backend, until the response, failure or cancellation. A request that is retried has
// several submissions.
type concurrency struct {
	spanStart     time.Duration // start of the present span
	busyTime      time.Duration // total duration of the submissions that ended in the present span
	currentPeriod time.Duration // number of the present period
	peaks         [2]float64    // highest average of the present period and of the period before it
}

// endSpanIfOver ends the present span if concurrencySpan has passed since its start.
func (c *concurrency) endSpanIfOver(now time.Duration) {
	if now-c.spanStart < concurrencySpan {
		return
	}
	if period := now / concurrencyPeriod; period != c.currentPeriod {
		c.peaks[1] = 0
		if period == c.currentPeriod+1 {
			c.peaks[1] = c.peaks[0]
		}
		c.peaks[0], c.currentPeriod = 0, period
	}
	c.peaks[0] = max(c.peaks[0], float64(c.busyTime)/float64(now-c.spanStart))
	c.busyTime, c.spanStart = 0, now
}

// highestPeak returns the highest average of the present period and the period before it.
func (c *concurrency) highestPeak() float64 { return max(c.peaks[0], c.peaks[1]) }

// PeakConcurrency returns the peak number of requests that this node had in flight at a service. During a roll-out it is the sum of the peaks of
// both versions. A peak is the highest average over a span of ten seconds, in the present period of 30 minutes and the period before it. 0 means
// that no peak is known, because no request to a backend of the service ended in these periods.
func (c *Controller) PeakConcurrency(id control.ServiceID) float64 {
	s := c.getOrCreateService(id)
	peak := s.concurrency.highestPeak()
	if s.canary != nil {
		peak += s.canary.concurrency.highestPeak()
	}
	return peak
}
