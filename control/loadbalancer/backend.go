package loadbalancer

import (
	"slices"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// backend is what is known of one backend.
type backend struct {
	control.Endpoint
	hash        uint64  // for rankings and observations
	warmUpShare float64 // share of its capacity that it has for sure, at the last survey
	load        float64 // at the last choice

	// Submissions.
	inFlight              int
	sentAt                time.Duration // of the last one
	unanswered            int           // since the last answer
	unansweredSince       time.Duration // since when it owes one
	consecutiveRejections int           // in a row
	rejectionBackoffUntil time.Duration

	// Load reports.
	inFlightElsewhere float64 // submissions of other front doors, smoothed
	loadReportedAt    time.Duration

	// Quality.
	slowdown    float64 // answer time over the usual one, smoothed
	lossShare   float64 // share of lost submissions, smoothed
	lossSamples float64 // weight of what that is made of
	failures    []productFailures

	// Ejection.
	ejected       bool
	passedProbes  int // in a row, while ejected
	probing       bool
	nextProbeAt   time.Duration
	backoff       time.Duration
	slowStartedAt time.Duration // when it was last readmitted; 0: never

	// Warming up.
	warmUpTokens       float64
	warmUpTokensAt     time.Duration
	warmUpTokensExpire bool // the budget is under one submission in its window: what is not used in time is lost
}

// productFailures is how submissions of one product fail, at one backend or at all.
type productFailures struct {
	share         float64 // smoothed
	samples       float64 // answers that it is made of
	excludedUntil time.Duration
	backoff       time.Duration
}

// newBackend makes a backend of which nothing is known.
func (c *Controller) newBackend(e control.Endpoint) *backend {
	return &backend{Endpoint: e, hash: control.Hash64(uint64(e.ID)), slowdown: 1, failures: make([]productFailures, len(c.products))}
}

// EndpointsChanged takes changes of the backend list; a complete one replaces it.
func (c *Controller) EndpointsChanged(complete bool, list []control.Endpoint) {
	if complete {
		for _, b := range c.backendsByID {
			b.State = control.Gone
		}
	}
	for _, e := range list {
		c.setEndpoint(e)
	}
	// A submission that is in flight keeps its own pointer to its backend.
	c.backendsByID = slices.DeleteFunc(c.backendsByID, func(b *backend) bool {
		if b.State == control.Gone {
			delete(c.backends, b.ID)
			delete(c.backendsByHash, b.hash&quota.ObservationHashMask)
		}
		return b.State == control.Gone
	})
	c.recheckWaiting, c.saturated, c.readyBackends = true, false, c.readyBackends[:0]
}

func (c *Controller) setEndpoint(e control.Endpoint) {
	b := c.backends[e.ID]
	if b == nil {
		b = c.newBackend(e)
		c.backends[e.ID] = b
		c.backendsByID = append(c.backendsByID, b)
		c.backendsByHash[b.hash&quota.ObservationHashMask] = b
		sort.Slice(c.backendsByID, func(i, j int) bool { return c.backendsByID[i].ID < c.backendsByID[j].ID })
	}
	if e.Started > b.Started { // a new process: what is known is of the former one
		inFlight := b.inFlight
		*b = *c.newBackend(e)
		b.inFlight = inFlight
	}
	b.Endpoint = e
}

// survey brings up to date what every choice goes by; one survey is good for all choices of a short time.
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
	// When all are slow alike, none is at fault: backends are compared with the median.
	c.slowdowns, c.medianSlowdown = slowdowns, max(median(slowdowns), minSlowdown)
	c.warmRate = c.completionRateNow() / max(warm, 1)
}

// warmUpShareOf is the share of its capacity that a backend has for sure by now: it grows evenly from its start.
func (c *Controller) warmUpShareOf(b *backend) float64 {
	if b.Started <= 0 || c.warmUpTime <= 0 || c.now-b.Started >= c.warmUpTime {
		return 1
	}
	age := max(0, float64(c.now-b.Started)/float64(c.warmUpTime))
	return c.initialWarmUpShare + (1-c.initialWarmUpShare)*age
}

// median sorts figures and gives the middle one, 1 if there are none.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 1
	}
	sort.Float64s(numbers)
	return numbers[len(numbers)/2]
}

// applyLoadReport takes a load report. One above what all front doors may have in flight can't be true.
func (c *Controller) applyLoadReport(b *backend, load []float64) {
	reported, ok := reportedInFlight(c.loadReportFields, load)
	if !ok || reported > maxCapacity*float64(c.gateways) {
		return
	}
	elsewhere := max(0, reported-float64(b.inFlight))
	b.inFlightElsewhere += loadSmoothing * (elsewhere - b.inFlightElsewhere)
	b.loadReportedAt = c.now
}

// reportedInFlight reads from a load report how many txns a backend holds: it says so, or how many are queued and how many are in service by
// their rate and time.
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
