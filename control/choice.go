package control

import (
	"math"
	"time"
)

// Tuned values. Shares are of 1.
const (
	unknownLatencyDivisor    = 8                      // of the SLA time: a txn's usual time until one is known
	smoothing                = 0.1                    // weight of a new sample
	loadSmoothing            = 0.5                    // and of a load report
	observationsPerMessage   = 5                      // last answers told to a peer
	maxLoadFactor            = 8.0                    // times the mean load, and one more: a backend with that has enough; reports are late
	maxFailureSamples        = 5.0                    // answers that such a share is made of
	retryFailureShare        = 0.95                   // of failureThreshold, after a pause: one more failure, and it is passed over again
	slowEjectionRatio        = 4.0                    // times the fleet's median answer time sets a backend aside
	trialInterval            = 700 * time.Millisecond // a silent backend gets one inquiry-like txn
	unresponsiveEjectionTime = 1600 * time.Millisecond
	maxEjectedShare          = 0.5 // share of the backends that may be aside for being slow or failing
	probesToReturn           = 2
	slowStart                = 4 * time.Second // after its return a backend is passed over by chance
	rateWindow               = 3.0             // seconds over which the rate of sends to a backend is smoothed
	warmUpBudgetShare        = 0.5             // of the cold budget
	initialCapacity          = 4.0             // submissions out at a usual backend to begin with, from all gateways
	burstAllowance           = 1.0             // times the root of the room: txns come unevenly, the more so the fewer
	minUtilization           = 0.6             // share of the room in use that makes late answers count
	idleProbeCredit          = 0.05            // of a probe, each look around
	initialCapacityGain      = 0.01            // instead of capacityGain until room was taken away once: the first room is a guess
	cappedSlowRatio          = 1.3             // times the median: no place for txns whose plan caps what is open
	slowOutlierRatio         = 1.7             // times the median: such a backend's lateness is its own
	logInterval              = 5 * time.Second
	loadReportTTL            = 4 * time.Second // a load report's life

	unresponsiveFactor, minUnresponsiveTime = 4.0, 200 * time.Millisecond // times the usual answer time without any answer passes over
	capacityGain, capacityLoss              = 0.002, 0.025                // shares by a prompt and a late answer
	maxLatencyFactor, maxLatencyRatio       = 5.0, 20.0                   // times the usual: an answer counts as no more
	lateSLAShare, maxLateSLAShare           = 0.4, 0.9                    // of the SLA time: a later answer is a sign of crowding
	failureThreshold, failureOutlierFactor  = 0.35, 2.0                   // of failing submissions, and this times the share everywhere
	rejectionBackoff, maxRejectionDoublings = 100 * time.Millisecond, 5   // doubled each time in a row
	minEjectionTime, maxEjectionTime        = 500 * time.Millisecond, 8 * time.Second
	probeCreditPerTxn, maxProbeCredit       = 0.2, 10.0 // such probes earned by a txn
	minCapacity, maxCapacity                = 1.0, 40.0 // the least from all gateways
)

// ---- Learning

// recordOutcome updates what is known of a backend by an outcome.
func (c *Controller) recordOutcome(t *txn, b *backend, e Ending, took time.Duration, load []float64) {
	answered := e == Succeeded || e == Errored || e == Rejected
	if answered {
		b.unanswered, b.unansweredSince = 0, 0
		if b.inFlight > 1 {
			b.unanswered, b.unansweredSince = b.inFlight-1, c.now
		}
		c.readLoad(b, load)
	}
	if t == nil || t.sentAt < c.pausedUntil && (e == Succeeded || e == TimedOut) {
		return // how long it took is this gateway's own doing
	}
	s := Observation{BackendHash: b.hash & ObservationHashMask, Product: t.Product, Congestion: c.congestionOf(t, b, e)}
	c.adjustCapacity(s.Congestion)
	switch e {
	case Unreachable, ConnectionLost:
		s.Ratio = ObservedLost
	case Errored:
		s.Ratio = ObservedFailed
	case TimedOut:
		if s.Ratio = float64(c.now-t.sentAt) / float64(c.usualLatency(t)); s.Ratio >= 3 {
			s.Ratio = ObservedLost
		}
	case Rejected:
		// A full backend is left alone for twice as long each time in a row. It says nothing of the others:
		// were it to take room from all, one that is always full would starve the fleet.
		b.rejectingUntil = c.now + rejectionBackoff<<min(b.rejections, maxRejectionDoublings)
		b.rejections++
		return
	case Succeeded:
		b.rejections = 0
		s.Ratio = c.recordLatency(t, took)
		c.countCompletion(b)
	case Canceled, NotSent:
		return
	}
	c.applyObservation(b, s)
	c.observations = append(c.observations, s) // told to peers with messages that go anyway
	c.observations = c.observations[max(0, len(c.observations)-observationsPerMessage):]
	c.observationCount++
}

// recordLatency learns the usual answer time and gives an answer's time against it.
func (c *Controller) recordLatency(t *txn, took time.Duration) float64 {
	kind := c.workKind(t)
	usual, ok := c.latency[kind]
	if !ok {
		usual = took.Seconds()
	}
	step := smoothing / 2 * (min(took.Seconds(), maxLatencyFactor*usual) - usual)
	if step > 0 && c.underPressure() {
		step = 0 // under pressure answers hold waiting, which is no part of the usual time
	}
	c.latency[kind] = usual + step
	return min(took.Seconds()/max(usual, 0.0005), maxLatencyRatio)
}

// recordLoss counts a submission as lost or not.
func (c *Controller) recordLoss(b *backend, bad float64) {
	b.failureSamples = b.failureSamples*(1-smoothing) + 1
	b.failureShare += max(smoothing, 1/b.failureSamples) * (bad - b.failureShare)
	c.lostShare += smoothing / 5 * (bad - c.lostShare)
}

// applyObservation takes how one submission went at a backend, from here or from a peer. Among hundreds of gateways
// each sees any one backend every ten seconds or so, too seldom to find slow, failing and dead ones alone.
// A peer's word weighs as one answer: it can't open a backend, and what is passed over by it is bounded and
// tried again like all else. Covers slow, failing and lost backends; a slow peer may mislead.
func (c *Controller) applyObservation(b *backend, s Observation) {
	switch s.Ratio {
	case ObservedLost:
		c.recordLoss(b, 1)
		return
	case ObservedFailed:
		c.recordProductResult(s.Product, b, 1)
	default:
		c.recordProductResult(s.Product, b, 0)
		if b.ejected && s.Ratio < slowEjectionRatio {
			b.passedProbes++ // a peer's txn was answered there: as good as a probe
		}
		b.slowdown += smoothing * (s.Ratio - b.slowdown)
	}
	c.recordLoss(b, 0)
}

// recordProductResult learns whether a backend fails one product: it is then passed over for that product alone, twice as
// long each time, and tried again by that product's own txns. When the product fails everywhere alike, no
// backend is at fault. Covers fast errors of whole backends as well as a broken function of one.
func (c *Controller) recordProductResult(p ProductID, b *backend, bad float64) {
	f, all := &b.failures[p], &c.fleetFailures[p]
	f.samples = min(f.samples+1, maxFailureSamples)
	f.share += (bad - f.share) / f.samples
	all.share += smoothing / 5 * (bad - all.share)
	if f.excludedUntil > c.now {
		if bad > 0 {
			f.excludedUntil = c.now + f.backoff // others still find it failing
		}
	} else if f.share > failureThreshold && f.samples >= 2 && f.share > failureOutlierFactor*all.share {
		f.backoff = min(max(minEjectionTime, 2*f.backoff), maxEjectionTime)
		f.excludedUntil, f.share = c.now+f.backoff, retryFailureShare*failureThreshold
	} else if f.share < failureThreshold/4 {
		f.backoff = 0
	}
}

// excludedFor tells whether a backend is passed over for a txn. A once-only txn can't go again after an error, so
// it keeps away while any product fails there, and leaves it to the others to find out.
func (c *Controller) excludedFor(b *backend, t *txn) bool {
	if c.products[t.Product].effect == "once-only" {
		for p, f := range b.failures {
			if ProductID(p) != t.Product && (f.excludedUntil > c.now || f.share > failureThreshold/2) {
				return true
			}
		}
	}
	return b.failures[t.Product].excludedUntil > c.now
}

// congestionOf tells whether an answer says that the fleet is crowded, that it is not, or neither.
func (c *Controller) congestionOf(t *txn, b *backend, e Ending) Congestion {
	if t.current == nil || e != Succeeded && e != TimedOut {
		return CongestionUnknown
	}
	sla := float64(c.products[t.Product].slaTime)
	late := time.Duration(min(lateSLAShare*sla+float64(c.usualLatency(t)), maxLateSLAShare*sla))
	if e == Succeeded && c.now-t.sentAt < late {
		return NotCongested
	}
	if b.warmth < 1 || b.slowdown > slowOutlierRatio*c.medianSlowdown || e == TimedOut && b.unansweredSince <= t.sentAt {
		// A time-out at a backend that has answered nothing since is silence, not crowding.
		return CongestionUnknown // one backend's trouble: its own room is smaller by that, the fleet's is not
	}
	return Congested
}

// adjustCapacity learns how much this gateway may have out, by its own answers and those that peers tell of: late
// ones take room away, prompt ones give it back while it is in use. It holds against overload, a slow fleet
// and lost backends alike; it may hurt when a product's work is by itself near its SLA time.
func (c *Controller) adjustCapacity(seen Congestion) {
	if seen == NotCongested && c.underPressure() {
		c.capacity = min(maxCapacity, c.capacity*(1+c.capacityGain))
	}
	// With room to spare the lateness is not of this gateway's making; and an exponential work time has late
	// answers of its own, which would wear the room down while nothing wears it up.
	if seen == Congested && c.utilization >= minUtilization && c.underPressure() {
		c.capacity, c.capacityGain = max(minCapacity/float64(c.gateways), c.capacity*(1-capacityLoss)), capacityGain
	}
}

func (c *Controller) underPressure() bool { return c.now-c.saturatedAt < pressureTTL }

// ---- Choice of backend

// share of its capacity that a backend surely has by now.
func (c *Controller) warmthOf(b *backend) float64 {
	if b.Started <= 0 || c.warmUpTime <= 0 || c.now-b.Started >= c.warmUpTime {
		return 1
	}
	age := max(0, float64(c.now-b.Started)/float64(c.warmUpTime))
	return c.initialWarmth + (1-c.initialWarmth)*age
}

// loadOf is what a backend holds, counted in usual txns of a warm backend.
func (c *Controller) loadOf(b *backend) float64 {
	others := b.inFlightElsewhere * max(0, 1-float64(c.now-b.loadReportedAt)/float64(loadReportTTL)) // an old report says ever less
	return (float64(b.inFlight) + others) * max(b.slowdown/c.medianSlowdown, 0.5) / b.warmth
}

// unresponsive tells that a backend owes answers for longer than such txns take. Now and then an inquiry-like txn
// tries it all the same: else one that owes too little to be set aside would never be heard again.
func (c *Controller) unresponsive(b *backend, t *txn) bool {
	if b.unanswered < 2 {
		return false
	}
	trial := c.now-b.sentAt > trialInterval && c.products[t.Product].effect == "inquiry-like"
	most := max(minUnresponsiveTime, time.Duration(unresponsiveFactor*float64(c.usualLatency(t))))
	return !trial && c.now-b.unansweredSince > most
}

// allowed keeps rules 2, 3 and 4 for every send.
func (c *Controller) allowed(b *backend, t *txn) bool {
	if b.State != Ready {
		return false
	}
	if t.mayHaveRun {
		p := c.products[t.Product]
		if !c.repeatable(t) || p.effect == "referenced" &&
			(p.repeatScope == "zone" && b.Zone != t.ranZone || p.repeatScope == "pod" && b.Pod != t.ranPod) {
			return false
		}
	}
	return b.warmth >= 1 || c.warmUpTokens(b) >= 1
}

// warmUpTokens is the budget of sends to a cold backend: in each fall window, this gateway's own send rate to a
// warm backend times the cold one's capacity share. All gateways doing so stay under what a warm one bears.
func (c *Controller) warmUpTokens(b *backend) float64 {
	floor := warmUpBudgetShare / float64(c.gateways) / c.slowestLatency()
	rate := b.warmth * max(c.warmRate, floor) * c.fallMultiple * warmUpBudgetShare
	if b.warmUpTokensAt == 0 { // starts anywhere between two sends: many gateways together keep the rate at once
		b.warmUpTokens, b.warmUpTokensAt = c.rng.Float64(), c.now
	}
	b.warmUpTokens, b.warmUpTokensAt = b.warmUpTokens+rate*(c.now-b.warmUpTokensAt).Seconds(), c.now
	most := rate * c.fallWindow.Seconds() / 2
	if b.tokensLapse = most < 1; !b.tokensLapse {
		b.warmUpTokens = min(b.warmUpTokens, most)
	} else if b.warmUpTokens > 1+most { // not used in time: what hundreds of gateways save up could come at once
		b.warmUpTokens -= math.Floor(b.warmUpTokens - most)
	}
	return b.warmUpTokens
}

// pick takes the first backend in the customer's ranking that does not have enough: its own zone first.
func (c *Controller) pick(t *txn) *backend {
	c.survey()
	can := c.candidates[:0]
	mean, out, roomAll, some := 0.0, 0.0, 0.0, false
	capped := c.plans[t.Plan].MaxInFlight > 0 // a slot is scarce: it is not kept long at a slow one
	for _, b := range c.available {
		if b.ejected || b == t.previous || b.rejectingUntil > c.now || c.excludedFor(b, t) ||
			c.unresponsive(b, t) || !c.allowed(b, t) || capped && b.slowdown > cappedSlowRatio*c.medianSlowdown {
			continue
		}
		w := b.warmth * c.slowStartShare(b)
		room := c.capacity * w * min(1, c.medianSlowdown/max(b.slowdown, 0.1))
		out, roomAll, some = out+float64(b.inFlight), roomAll+room, true
		if w < 1 && c.rng.Float64() > w || float64(b.inFlight+1) > max(1, 1.5*room) {
			continue // a fresh one is passed over by chance; a full one has enough
		}
		can = append(can, b)
		b.load = c.loadOf(b)
		mean += b.load
	}
	c.candidates = can
	c.utilization = out / max(roomAll, 1)
	if !some {
		return c.pickLeastBad(t)
	}
	if len(can) == 0 || out+1 > max(1, roomAll+burstAllowance*math.Sqrt(roomAll)) {
		c.saturated = c.saturated || !t.mayHaveRun
		return nil // all have enough
	}
	enough := maxLoadFactor*mean/float64(len(can)) + 1
	var first, least *backend
	var highest uint64
	for _, b := range can {
		if least == nil || b.load < least.load {
			least = b
		}
		if b.load+1 > enough {
			continue
		}
		h := Hash64(uint64(t.Customer)*0x9e3779b97f4a7c15^b.hash) >> 2
		if b.Zone == c.zone { // crossing zones has a price
			h |= 1 << 63
			if b.warmth < 1 && b.tokensLapse { // one send, and only now: it would be lost on a lower rank
				h |= 1 << 62
			}
		}
		if h >= highest {
			first, highest = b, h
		}
	}
	if first == nil {
		return least
	}
	return first
}

// pickLeastBad: when none is good, the least failing and loaded that the rules allow.
func (c *Controller) pickLeastBad(t *txn) (best *backend) {
	for _, b := range c.available {
		if c.allowed(b, t) && float64(b.inFlight+1) <= max(1, c.capacity) &&
			(best == nil || b.failureShare+float64(b.inFlight) < best.failureShare+float64(best.inFlight)) {
			best = b
		}
	}
	return best
}

func (c *Controller) slowStartShare(b *backend) float64 {
	if b.slowStartFrom == 0 || c.now-b.slowStartFrom > slowStart {
		return 1
	}
	return 0.2 + 0.8*float64(c.now-b.slowStartFrom)/float64(slowStart)
}

// ---- Looking around

// examineBackends judges the backends.
func (c *Controller) examineBackends() {
	c.survey()
	aside := 0
	var turn *backend // whose load is asked next
	for _, b := range c.available {
		if b.ejected {
			aside++
		}
	}
	for _, b := range c.available {
		if b.ejected {
			if c.readmit(b) {
				aside--
			}
		} else if unheard := b.unanswered >= 2 && c.now-b.unansweredSince > unresponsiveEjectionTime; unheard ||
			float64(aside+1) <= maxEjectedShare*float64(len(c.available)) &&
				(b.failureSamples >= 2 && b.failureShare > failureThreshold && b.failureShare > failureOutlierFactor*c.lostShare || b.slowdown > slowEjectionRatio*c.medianSlowdown) {
			// One that owes answers is passed over anyhow, so there is no bound on how many of these are set
			// aside: only from there a way leads back, by probes or trial, whatever products come.
			b.ejected, b.passedProbes = true, 0
			b.backoff = min(max(minEjectionTime, 2*b.backoff), maxEjectionTime)
			b.nextProbeAt = c.now + b.backoff
			aside++
		}
		if (c.loadByProbe || b.ejected && c.probesAllowed) && !b.probing && c.now >= b.nextProbeAt && (turn == nil ||
			b.ejected && !turn.ejected || b.ejected == turn.ejected && b.nextProbeAt < turn.nextProbeAt) {
			turn = b
		}
	}
	c.probeCredit = min(maxProbeCredit, c.probeCredit+idleProbeCredit)
	if turn != nil && c.probeCredit >= 1 { // txns pay for most probes: many gateways ask no more than few
		c.probeCredit--
		turn.probing, turn.nextProbeAt = true, c.now+minEjectionTime
		c.decisions = append(c.decisions, Decision{Action: Probe, Backend: turn.ID})
	}
	if c.now-c.loggedAt >= logInterval {
		c.logSummary(aside)
	}
}

// readmit probes a backend that is aside and lets it return, warming, after good answers.
func (c *Controller) readmit(b *backend) bool {
	if !c.probesAllowed && c.now < b.nextProbeAt ||
		c.probesAllowed && (b.passedProbes < probesToReturn || c.now < b.nextProbeAt-b.backoff+minEjectionTime) {
		return false
	}
	b.ejected, b.slowStartFrom = false, c.now
	b.slowdown, b.failureShare, b.failureSamples, b.unanswered = 1, 0, 0, 0
	return true
}
