package loadbalancer

import (
	"slices"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// backend is what is known of one.
type backend struct {
	control.Endpoint
	hash              uint64  // for rankings
	warmth            float64 // share of its capacity that it surely has
	inFlight          int
	inFlightElsewhere float64       // what other gateways keep there, by reports
	loadReportedAt    time.Duration // by the last one
	slowdown          float64       // answer time against the usual, smoothed
	failureShare      float64       // share of failing submissions, smoothed
	failureSamples    float64       // weight of what fails was made of
	unansweredSince   time.Duration
	unanswered        int // sends since the last answer
	rejectingUntil    time.Duration
	failures          []productFailures // by product
	load              float64           // at the last choice
	rejections        int               // full answers in a row
	ejected           bool
	passedProbes      int // good probes in a row while aside
	probing           bool
	nextProbeAt       time.Duration
	backoff           time.Duration
	slowStartFrom     time.Duration
	warmUpTokens      float64 // tokens of the cold budget
	warmUpTokensAt    time.Duration
	tokensLapse       bool // the cold budget is under one send in its window
	sentAt            time.Duration
}

// productFailures is how a backend does with one product.
type productFailures struct {
	share, samples         float64
	excludedUntil, backoff time.Duration // passed over
}

// EndpointsChanged takes news of the backends; a whole list replaces the old one.
func (c *Controller) EndpointsChanged(whole bool, list []control.Endpoint) {
	if whole {
		for _, b := range c.ordered {
			b.State = control.Gone
		}
	}
	for _, l := range list {
		b := c.backends[l.ID]
		if b == nil {
			b = &backend{Endpoint: l, hash: control.Hash64(uint64(l.ID)), slowdown: 1, failures: make([]productFailures, len(c.products))}
			c.backends[l.ID] = b
			c.ordered = append(c.ordered, b)
			c.byHash[b.hash&quota.ObservationHashMask] = b
			sort.Slice(c.ordered, func(i, j int) bool { return c.ordered[i].ID < c.ordered[j].ID })
		}
		if l.Started > b.Started { // a new process: what was known of the old one is void
			*b = backend{Endpoint: l, hash: b.hash, slowdown: 1, inFlight: b.inFlight,
				failures: make([]productFailures, len(c.products))}
		}
		b.Endpoint = l
	}
	c.ordered = slices.DeleteFunc(c.ordered, func(b *backend) bool { // what is out there keeps its own hold of it
		if b.State == control.Gone {
			delete(c.backends, b.ID)
			delete(c.byHash, b.hash&quota.ObservationHashMask)
		}
		return b.State == control.Gone
	})
	c.recheck, c.saturated, c.available = true, false, c.available[:0]
}

// share of its capacity that a backend surely has by now.
func (c *Controller) warmthOf(b *backend) float64 {
	if b.Started <= 0 || c.warmUpTime <= 0 || c.now-b.Started >= c.warmUpTime {
		return 1
	}
	age := max(0, float64(c.now-b.Started)/float64(c.warmUpTime))
	return c.initialWarmth + (1-c.initialWarmth)*age
}

// survey brings up to now what every choice goes by, once for all choices of a short while.
func (c *Controller) survey() {
	if c.now-c.surveyedAt < surveyInterval && len(c.available) > 0 {
		return
	}
	c.surveyedAt, c.available = c.now, c.available[:0]
	n, slow := 0.0, c.slowdowns[:0]
	for _, b := range c.ordered {
		if b.State != control.Ready {
			continue
		}
		b.warmth = c.warmthOf(b)
		c.available = append(c.available, b)
		if !b.ejected {
			slow = append(slow, b.slowdown)
			if b.warmth >= 1 {
				n++
			}
		}
	}
	// The median answer time against the usual: when all are slow alike, none is at fault.
	c.slowdowns, c.medianSlowdown, c.warmRate = slow, max(median(slow), 0.1), c.completionRateNow()/max(n, 1)
}

// median is the median of some figures, 1 if there are none.
func median(s []float64) float64 {
	if len(s) == 0 {
		return 1
	}
	sort.Float64s(s)
	return s[len(s)/2]
}

// readLoad takes a load report: what others keep there. More than all gateways may have out can't be true.
func (c *Controller) readLoad(b *backend, load []float64) {
	if held, ok := inFlightOf(c.loadFields, load); ok && held <= maxCapacity*float64(c.gateways) {
		b.inFlightElsewhere, b.loadReportedAt = b.inFlightElsewhere+loadSmoothing*(max(0, held-float64(b.inFlight))-b.inFlightElsewhere), c.now
	}
}

// inFlightOf reads from a load report how many txns a backend holds: in hand, or waiting and in service.
func inFlightOf(fields []string, load []float64) (held float64, ok bool) {
	v := map[string]float64{}
	for i, f := range fields {
		if i < len(load) && load[i] >= 0 && load[i] < 1e6 {
			v[f] = load[i]
		}
	}
	if held, ok = v["inflight"]; ok {
		return held, true
	}
	rate, ok := v["per_s"]
	return v["queue"] + rate*v["service_ms"]/1000, ok
}
