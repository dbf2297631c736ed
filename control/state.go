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
func (d *Controller) EndpointsChanged(whole bool, list []Endpoint) {
	if whole {
		for _, b := range d.ordered {
			b.State = Gone
		}
	}
	for _, l := range list {
		b := d.backends[l.ID]
		if b == nil {
			b = &backend{Endpoint: l, hash: hash64(uint64(l.ID)), slowdown: 1, failures: make([]productFailures, len(d.products))}
			d.backends[l.ID] = b
			d.ordered = append(d.ordered, b)
			d.byHash[b.hash&observationHashMask] = b
			sort.Slice(d.ordered, func(i, j int) bool { return d.ordered[i].ID < d.ordered[j].ID })
		}
		if l.Started > b.Started { // a new process: what was known of the old one is void
			*b = backend{Endpoint: l, hash: b.hash, slowdown: 1, inFlight: b.inFlight,
				failures: make([]productFailures, len(d.products))}
		}
		b.Endpoint = l
	}
	d.ordered = slices.DeleteFunc(d.ordered, func(b *backend) bool { // what is out there keeps its own hold of it
		if b.State == Gone {
			delete(d.backends, b.ID)
			delete(d.byHash, b.hash&observationHashMask)
		}
		return b.State == Gone
	})
	d.recheck, d.saturated, d.available = true, false, d.available[:0]
}

// ClientLeft is told when nobody waits for this txn any more.
func (d *Controller) ClientLeft(id TxnID) {
	if t := d.txns[id]; t != nil {
		d.forget(t)
	}
}

func (d *Controller) forget(t *txn) {
	t.ended = true
	d.release(t)
	if t.current != nil { // the outcome is still to come and counts for the backend
		return
	}
	delete(d.txns, t.ID)
}

// release lets go of the units kept for a txn.
func (d *Controller) release(t *txn) {
	if t.reserved {
		d.quota.Release(t.Customer, t.Units)
	}
	t.reserved = false
}

// usualLatency is the usual answer time of such a txn.
func (d *Controller) usualLatency(t *txn) time.Duration {
	if s, ok := d.latency[d.workKind(t)]; ok {
		return time.Duration(s * float64(time.Second))
	}
	return d.products[t.Product].slaTime / unknownLatencyDivisor
}

// wake asks for the one periodic timer and, if something is due before it, for that time.
func (d *Controller) wake() (Decision, bool) {
	next := d.sweptAt + d.workInterval()
	if at, ok := d.timers.Next(); ok {
		next = min(next, at)
	}
	next = max(next, d.now+millisecond)
	if d.wakeAt > d.now && d.wakeAt <= next {
		return Decision{}, false
	}
	d.wakeAt = next
	return Decision{Action: Wake, After: d.wakeAt - d.now}, true
}

// ProbeEnded takes the answer to a probe.
func (d *Controller) ProbeEnded(at BackendID, good bool, took time.Duration, load []float64) {
	b := d.backends[at]
	if b == nil {
		return
	}
	b.probing = false
	d.readLoad(b, load)
	if !good {
		b.passedProbes = 0
		b.failureShare += smoothing * (1 - b.failureShare)
		return
	}
	b.passedProbes++
}

// TxnArrived takes a client's txn in.
func (d *Controller) TxnArrived(x Txn) {
	if d.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, arrived: d.now}
	if x.Product < 0 || int(x.Product) >= len(d.products) || x.Plan < 0 || int(x.Plan) >= len(d.plans) {
		t.Product, t.Plan, t.slaAt = 0, 0, d.now // a kind that the settings don't name: declined for want of time
	} else {
		d.setDeadlines(t)
	}
	d.txns[x.ID] = t
	d.timers.Add(x.Expiry-2*millisecond, x.ID) // rule 1: every expiry is watched
	d.undecided = append(d.undecided, t)
}

// SubmissionEnded takes the one outcome of a submission.
func (d *Controller) SubmissionEnded(id TxnID, nr int, at BackendID, e Ending, over bool, took time.Duration,
	load []float64) {
	t, b := d.txns[id], d.backends[at]
	if b != nil {
		d.recordOutcome(t, b, e, took, load)
	}
	if t == nil || nr != t.submissions-1 || t.current == nil {
		return
	}
	t.current.inFlight--
	t.current = nil
	if a := d.quota.accounts[t.Customer]; a != nil && a.inFlight > 0 {
		d.quota.addInFlight(a, -1)
	}
	if !e.provesNotRun() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRanAt = true, t.sentAt
		if b != nil {
			t.ranZone, t.ranPod = b.Zone, b.Pod
		}
	}
	d.recheck, d.saturated = true, false
	if over || t.ended {
		d.forget(t)
		return
	}
	d.undecided = append(d.undecided, t)
}

// Woken is called when a wake-up that was asked for has come.
func (d *Controller) Woken(uint64) {}

// workKind names the kind of work of a txn: work goes by product and units.
func (d *Controller) workKind(t *txn) int { return int(t.Product)*64 + int(min(max(t.Units, 0), 63)) }

// logSummary writes the line for the log.
func (d *Controller) logSummary(aside int) {
	d.decisions = append(d.decisions, Decision{Action: Log, Text: fmt.Sprintf("given up for want of%s; room %.2f, "+
		"%d of %d backends aside, %d txns wait, %d bad messages", d.givenUp.text(), d.capacity, aside, len(d.available),
		len(d.waiting), d.quota.badDatagrams)})
	d.givenUp, d.loggedAt = reasonCounts{}, d.now
}

// slowestLatency is the longest usual answer time, in seconds.
func (d *Controller) slowestLatency() float64 {
	s := 0.0
	for p := range d.products {
		s = max(s, d.products[p].slaTime.Seconds()/unknownLatencyDivisor)
	}
	return max(s, 0.001)
}

// countCompletion counts what warm backends settle: sends may be more than they can do.
func (d *Controller) countCompletion(b *backend) {
	if b.warmth >= 1 {
		d.completionRate, d.completionRateAt = d.completionRateNow()+1/rateWindow, d.now
	}
}

// completionRateNow is its smoothed rate.
func (d *Controller) completionRateNow() float64 {
	return d.completionRate * math.Exp(-(d.now-d.completionRateAt).Seconds()/rateWindow)
}

// workWeight is a txn's work against the mean of those sent: a cold backend's budget is one of work.
func (d *Controller) workWeight(t *txn) float64 {
	if d.meanWork <= 0 {
		return 1
	}
	return d.usualLatency(t).Seconds() / d.meanWork
}

// quotaRequest is what a txn asks of the quota.
func (d *Controller) quotaRequest(t *txn) Request {
	return Request{Units: t.Units, Arrived: t.arrived, SLA: d.products[t.Product].slaTime, Late: t.late}
}

// DatagramReceived takes a peer message. What does not decode is dropped and counted.
func (d *Controller) DatagramReceived(from GatewayID, payload []byte) {
	if d.quota.DatagramReceived(from, payload) {
		d.recheck = true
	}
}

// attachObservations adds to a message to a peer, if there is room, how the last submissions went.
func (d *Controller) attachObservations(p *peer, m *message) {
	if fresh := min(d.observationCount-p.observationsSent, len(d.observations)); m.remaining() >= fresh*observationBytes {
		m.observations, p.observationsSent = d.observations[len(d.observations)-fresh:], d.observationCount
	}
}

// takeObservations takes what a peer tells of backends.
func (d *Controller) takeObservations(sights []observation) {
	for _, s := range sights {
		if b := d.byHash[s.backendHash]; b != nil && int(s.product) < len(d.products) {
			d.applyObservation(b, s)
			d.adjustCapacity(s.congestion)
		}
	}
}

// survey brings up to now what every choice goes by, once for all choices of a short while.
func (d *Controller) survey() {
	if d.now-d.surveyedAt < surveyInterval && len(d.available) > 0 {
		return
	}
	d.surveyedAt, d.available = d.now, d.available[:0]
	n, slow := 0.0, d.slowdowns[:0]
	for _, b := range d.ordered {
		if b.State != Ready {
			continue
		}
		b.warmth = d.warmthOf(b)
		d.available = append(d.available, b)
		if !b.ejected {
			slow = append(slow, b.slowdown)
			if b.warmth >= 1 {
				n++
			}
		}
	}
	// The median answer time against the usual: when all are slow alike, none is at fault.
	d.slowdowns, d.medianSlowdown, d.warmRate = slow, max(median(slow), 0.1), d.completionRateNow()/max(n, 1)
}

// readLoad takes a load report: what others keep there. More than all gateways may have out can't be true.
func (d *Controller) readLoad(b *backend, load []float64) {
	if held, ok := inFlightOf(d.loadFields, load); ok && held <= maxCapacity*float64(d.gateways) {
		b.inFlightElsewhere, b.loadReportedAt = b.inFlightElsewhere+loadSmoothing*(max(0, held-float64(b.inFlight))-b.inFlightElsewhere), d.now
	}
}
