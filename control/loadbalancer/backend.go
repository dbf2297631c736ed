package loadbalancer

import (
	"slices"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// backend is the state that the controller keeps for one backend.
type backend struct {
	control.Endpoint
	hash        uint64  // identifies the backend in rankings and observations
	warmUpShare float64 // result of warmUpShareOf at the last refresh; 1 means that the backend is warm
	load        float64 // result of loadOf when the backend was last a candidate of pickBackend

	// Submissions.
	inFlight int           // submissions of this front door in flight at the backend
	sentAt   time.Duration // when the last submission was sent
	// unanswered is the number of submissions still in flight at the last response of the backend, plus the submissions sent since.
	unanswered            int
	unansweredSince       time.Duration // time from which the submissions in unanswered are without a response
	consecutiveRejections int           // rejected submissions in a row
	rejectionBackoffUntil time.Duration // until this time, the backend gets no submissions because it rejected one

	// Load reports.
	inFlightElsewhere float64       // smoothed number of submissions of other front doors in flight at the backend
	loadReportedAt    time.Duration // time at which the last load report arrived

	// Quality.
	slowdown    float64           // smoothed ratio of the response times to the usual response times
	lossShare   float64           // smoothed share of submissions and probes that were lost
	lossSamples float64           // total weight of the samples in lossShare, where older samples weigh less
	failures    []productFailures // indexed by control.ProductID

	// Ejection.
	ejected       bool
	passedProbes  int           // successful probes in a row while the backend is ejected
	probing       bool          // a probe is in flight
	nextProbeAt   time.Duration // earliest time of the next probe; without probes, end of the ejection
	backoff       time.Duration // length of the last ejection
	slowStartedAt time.Duration // end of the last ejection; 0 means that there was none

	// Warming up.
	warmUpTokens   float64       // number of tokens; below 0 after a submission that took more than the tokens left
	warmUpTokensAt time.Duration // time of the last refill of warmUpTokens; 0 means that there was none
	// warmUpTokensExpire is true if the backend may save up less than one token. In this case, unused tokens expire.
	warmUpTokensExpire bool
}

// productFailures holds the failure statistics of one product, either at one backend or over all backends.
type productFailures struct {
	share         float64       // smoothed share of responses that were errors
	samples       float64       // number of responses in share, at most maxFailureSamples
	excludedUntil time.Duration // until this time, the backend gets no txns of the product
	backoff       time.Duration // length of the last exclusion
}

// newBackend returns the state of a backend about which nothing has been learned.
func (c *Controller) newBackend(endpoint control.Endpoint) *backend {
	return &backend{Endpoint: endpoint, hash: control.Hash64(uint64(endpoint.ID)), slowdown: 1, failures: make([]productFailures, len(c.products))}
}

// EndpointsChanged updates the backend list. If complete is true, list replaces the current backend list. If complete is false, list
// contains only the changed entries.
func (c *Controller) EndpointsChanged(complete bool, list []control.Endpoint) {
	if complete {
		for _, b := range c.backendsByID {
			b.State = control.Gone
		}
	}
	for _, endpoint := range list {
		c.setEndpoint(endpoint)
	}
	// Each submission in flight keeps a pointer to its backend, so the pointer stays valid when the backend is removed here.
	c.backendsByID = slices.DeleteFunc(c.backendsByID, func(b *backend) bool {
		if b.State == control.Gone {
			delete(c.backends, b.ID)
			delete(c.backendsByHash, b.hash&quota.ObservationHashMask)
		}
		return b.State == control.Gone
	})
	c.recheckWaiting, c.saturated, c.readyBackends = true, false, c.readyBackends[:0]
}

// setEndpoint adds a backend to the backend list or updates its entry.
func (c *Controller) setEndpoint(endpoint control.Endpoint) {
	b := c.backends[endpoint.ID]
	if b == nil {
		b = c.newBackend(endpoint)
		c.backends[endpoint.ID] = b
		c.backendsByID = append(c.backendsByID, b)
		c.backendsByHash[b.hash&quota.ObservationHashMask] = b
		sort.Slice(c.backendsByID, func(i, j int) bool { return c.backendsByID[i].ID < c.backendsByID[j].ID })
	}
	if endpoint.Started > b.Started { // the backend has restarted, so the statistics of the former process do not apply
		inFlight := b.inFlight
		*b = *c.newBackend(endpoint)
		b.inFlight = inFlight
	}
	b.Endpoint = endpoint
}

// refreshBackends updates the list of ready backends and the statistics that pickBackend uses. It does nothing if the last refresh was
// less than refreshInterval ago and found a ready backend.
func (c *Controller) refreshBackends() {
	if c.now-c.refreshedAt < refreshInterval && len(c.readyBackends) > 0 {
		return
	}
	c.refreshedAt, c.readyBackends = c.now, c.readyBackends[:0]
	warm, slowdowns := 0.0, c.slowdowns[:0]
	for _, b := range c.backendsByID {
		if b.State != control.Ready {
			continue
		}
		b.warmUpShare = c.warmUpShareOf(b)
		c.readyBackends = append(c.readyBackends, b)
		if b.ejected {
			continue
		}
		slowdowns = append(slowdowns, b.slowdown)
		if b.warmUpShare >= 1 {
			warm++
		}
	}
	// The slowdown of each backend is compared with the median slowdown. If all backends are equally slow, no backend is at fault.
	c.slowdowns, c.medianSlowdown = slowdowns, max(median(slowdowns), minSlowdown)
	c.warmRate = c.currentCompletionRate() / max(warm, 1)
}

// warmUpShareOf returns the share of its full capacity that a backend is guaranteed to have at the current time, from 0 to 1. The share
// grows linearly from initialWarmUpShare at the start of the backend to 1 after warmUpTime.
func (c *Controller) warmUpShareOf(b *backend) float64 {
	if b.Started <= 0 || c.warmUpTime <= 0 || c.now-b.Started >= c.warmUpTime {
		return 1
	}
	age := max(0, float64(c.now-b.Started)/float64(c.warmUpTime))
	return c.initialWarmUpShare + (1-c.initialWarmUpShare)*age
}

// median sorts the numbers in place and returns the median. If there are no numbers, it returns 1.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 1
	}
	sort.Float64s(numbers)
	return numbers[len(numbers)/2]
}

// applyLoadReport updates b.inFlightElsewhere from a load report of the backend. It ignores a report of more submissions than
// all front doors together may have in flight at one backend, because such a report must be wrong.
func (c *Controller) applyLoadReport(b *backend, load []float64) {
	reported, ok := reportedInFlight(c.loadReportFields, load)
	if !ok || reported > maxCapacity*float64(c.gateways) {
		return
	}
	elsewhere := max(0, reported-float64(b.inFlight))
	b.inFlightElsewhere += loadSmoothing * (elsewhere - b.inFlightElsewhere)
	b.loadReportedAt = c.now
}

// reportedInFlight returns the number of txns in flight at a backend according to its load report. The number is the field inflight.
// If the report has no field inflight, the number is the queue length plus the number of txns in service. The number in service is the
// completion rate (per_s) multiplied by the service time (Little's law). ok is false if the report has neither inflight nor per_s.
func reportedInFlight(fields []string, load []float64) (n float64, ok bool) {
	values := map[string]float64{}
	for i, f := range fields {
		if i < len(load) && load[i] >= 0 && load[i] < 1e6 {
			values[f] = load[i]
		}
	}
	if n, ok = values["inflight"]; ok {
		return n, true
	}
	rate, ok := values["per_s"]
	return values["queue"] + rate*values["service_ms"]/1000, ok
}
