package control

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Bookkeeping without decisions: lists and ids held. That of the quota is in quotastate.go and account.go.

// EndpointsChanged takes news of the backends; a whole list replaces the old one.
func (c *Controller) EndpointsChanged(whole bool, list []Endpoint) {
	if whole {
		for _, b := range c.ordered {
			b.State = Gone
		}
	}
	for _, l := range list {
		b := c.backends[l.ID]
		if b == nil {
			b = &backend{Endpoint: l, hash: Hash64(uint64(l.ID)), slowdown: 1, failures: make([]productFailures, len(c.products))}
			c.backends[l.ID] = b
			c.ordered = append(c.ordered, b)
			c.byHash[b.hash&ObservationHashMask] = b
			sort.Slice(c.ordered, func(i, j int) bool { return c.ordered[i].ID < c.ordered[j].ID })
		}
		if l.Started > b.Started { // a new process: what was known of the old one is void
			*b = backend{Endpoint: l, hash: b.hash, slowdown: 1, inFlight: b.inFlight,
				failures: make([]productFailures, len(c.products))}
		}
		b.Endpoint = l
	}
	c.ordered = slices.DeleteFunc(c.ordered, func(b *backend) bool { // what is out there keeps its own hold of it
		if b.State == Gone {
			delete(c.backends, b.ID)
			delete(c.byHash, b.hash&ObservationHashMask)
		}
		return b.State == Gone
	})
	c.recheck, c.saturated, c.available = true, false, c.available[:0]
}

// ClientLeft is told when nobody waits for this txn any more.
func (c *Controller) ClientLeft(id TxnID) {
	if t := c.txns[id]; t != nil {
		c.forget(t)
	}
}

func (c *Controller) forget(t *txn) {
	t.ended = true
	c.release(t)
	if t.current != nil { // the outcome is still to come and counts for the backend
		return
	}
	delete(c.txns, t.ID)
}

// release lets go of the units kept for a txn.
func (c *Controller) release(t *txn) {
	if t.reserved {
		c.quota.Release(t.Customer, t.Units)
	}
	t.reserved = false
}

// usualLatency is the usual answer time of such a txn.
func (c *Controller) usualLatency(t *txn) time.Duration {
	if s, ok := c.latency[c.workKind(t)]; ok {
		return time.Duration(s * float64(time.Second))
	}
	return c.products[t.Product].slaTime / unknownLatencyDivisor
}

// wake asks for the one periodic timer and, if something is due before it, for that time.
func (c *Controller) wake() (Decision, bool) {
	next := c.sweptAt + c.workInterval()
	if at, ok := c.timers.Next(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+time.Millisecond)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return Decision{}, false
	}
	c.wakeAt = next
	return Decision{Action: Wake, After: c.wakeAt - c.now}, true
}

// ProbeEnded takes the answer to a probe.
func (c *Controller) ProbeEnded(at BackendID, good bool, took time.Duration, load []float64) {
	b := c.backends[at]
	if b == nil {
		return
	}
	b.probing = false
	c.readLoad(b, load)
	if !good {
		b.passedProbes = 0
		b.failureShare += smoothing * (1 - b.failureShare)
		return
	}
	b.passedProbes++
}

// TxnArrived takes a client's txn in.
func (c *Controller) TxnArrived(x Txn) {
	if c.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, arrived: c.now}
	if x.Product < 0 || int(x.Product) >= len(c.products) || x.Plan < 0 || int(x.Plan) >= len(c.plans) {
		t.Product, t.Plan, t.slaAt = 0, 0, c.now // a kind that the settings don't name: declined for want of time
	} else {
		c.setDeadlines(t)
	}
	c.txns[x.ID] = t
	c.timers.Add(x.Expiry-2*time.Millisecond, x.ID) // rule 1: every expiry is watched
	c.undecided = append(c.undecided, t)
}

// SubmissionEnded takes the one outcome of a submission.
func (c *Controller) SubmissionEnded(id TxnID, nr int, at BackendID, e Ending, over bool, took time.Duration,
	load []float64) {
	t, b := c.txns[id], c.backends[at]
	if b != nil {
		c.recordOutcome(t, b, e, took, load)
	}
	if t == nil || nr != t.submissions-1 || t.current == nil {
		return
	}
	t.current.inFlight--
	t.current = nil
	c.quota.SubmissionEnded(t.Customer)
	if !e.ProvesNotRun() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRanAt = true, t.sentAt
		if b != nil {
			t.ranZone, t.ranPod = b.Zone, b.Pod
		}
	}
	c.recheck, c.saturated = true, false
	if over || t.ended {
		c.forget(t)
		return
	}
	c.undecided = append(c.undecided, t)
}

// Woken is called when a wake-up that was asked for has come.
func (c *Controller) Woken(uint64) {}

// workKind names the kind of work of a txn: work goes by product and units.
func (c *Controller) workKind(t *txn) int { return int(t.Product)*64 + int(min(max(t.Units, 0), 63)) }

// logSummary writes the line for the log.
func (c *Controller) logSummary(aside int) {
	c.decisions = append(c.decisions, Decision{Action: Log, Text: fmt.Sprintf("given up for want of%s; room %.2f, "+
		"%d of %d backends aside, %d txns wait, %d bad messages", c.givenUp.text(), c.capacity, aside, len(c.available),
		len(c.waiting), c.quota.BadDatagrams())})
	c.givenUp, c.loggedAt = reasonCounts{}, c.now
}

// slowestLatency is the longest usual answer time, in seconds.
func (c *Controller) slowestLatency() float64 {
	s := 0.0
	for p := range c.products {
		s = max(s, c.products[p].slaTime.Seconds()/unknownLatencyDivisor)
	}
	return max(s, 0.001)
}

// countCompletion counts what warm backends settle: sends may be more than they can do.
func (c *Controller) countCompletion(b *backend) {
	if b.warmth >= 1 {
		c.completionRate, c.completionRateAt = c.completionRateNow()+1/rateWindow, c.now
	}
}

// completionRateNow is its smoothed rate.
func (c *Controller) completionRateNow() float64 {
	return c.completionRate * math.Exp(-(c.now-c.completionRateAt).Seconds()/rateWindow)
}

// workWeight is a txn's work against the mean of those sent: a cold backend's budget is one of work.
func (c *Controller) workWeight(t *txn) float64 {
	if c.meanWork <= 0 {
		return 1
	}
	return c.usualLatency(t).Seconds() / c.meanWork
}

// quotaRequest is what a txn asks of the quota.
func (c *Controller) quotaRequest(t *txn) Request {
	return Request{Units: t.Units, Arrived: t.arrived, SLA: c.products[t.Product].slaTime, Late: t.late}
}

// DatagramReceived takes a peer message. What does not decode is dropped and counted.
func (c *Controller) DatagramReceived(from GatewayID, payload []byte) {
	if c.quota.DatagramReceived(from, payload) {
		c.recheck = true
	}
}

// lastObservations are how the last submissions went, and how many there were in all.
func (c *Controller) lastObservations() ([]Observation, int) {
	return c.observations, c.observationCount
}

// takeObservations takes what a peer tells of backends.
func (c *Controller) takeObservations(sights []Observation) {
	for _, s := range sights {
		if b := c.byHash[s.BackendHash]; b != nil && int(s.Product) < len(c.products) {
			c.applyObservation(b, s)
			c.adjustCapacity(s.Congestion)
		}
	}
}

// survey brings up to now what every choice goes by, once for all choices of a short while.
func (c *Controller) survey() {
	if c.now-c.surveyedAt < surveyInterval && len(c.available) > 0 {
		return
	}
	c.surveyedAt, c.available = c.now, c.available[:0]
	n, slow := 0.0, c.slowdowns[:0]
	for _, b := range c.ordered {
		if b.State != Ready {
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

// readLoad takes a load report: what others keep there. More than all gateways may have out can't be true.
func (c *Controller) readLoad(b *backend, load []float64) {
	if held, ok := inFlightOf(c.loadFields, load); ok && held <= maxCapacity*float64(c.gateways) {
		b.inFlightElsewhere, b.loadReportedAt = b.inFlightElsewhere+loadSmoothing*(max(0, held-float64(b.inFlight))-b.inFlightElsewhere), c.now
	}
}
