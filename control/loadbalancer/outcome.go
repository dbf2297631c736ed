package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// recordOutcome updates what is known of a backend by an outcome.
func (c *Controller) recordOutcome(t *txn, b *backend, e control.Ending, took time.Duration, load []float64) {
	answered := e == control.Succeeded || e == control.Errored || e == control.Rejected
	if answered {
		b.unanswered, b.unansweredSince = 0, 0
		if b.inFlight > 1 {
			b.unanswered, b.unansweredSince = b.inFlight-1, c.now
		}
		c.readLoad(b, load)
	}
	if t == nil || t.sentAt < c.pausedUntil && (e == control.Succeeded || e == control.TimedOut) {
		return // how long it took is this gateway's own doing
	}
	s := quota.Observation{BackendHash: b.hash & quota.ObservationHashMask, Product: t.Product, Congestion: c.congestionOf(t, b, e)}
	c.adjustCapacity(s.Congestion)
	switch e {
	case control.Unreachable, control.ConnectionLost:
		s.Ratio = quota.ObservedLost
	case control.Errored:
		s.Ratio = quota.ObservedFailed
	case control.TimedOut:
		if s.Ratio = float64(c.now-t.sentAt) / float64(c.usualLatency(t)); s.Ratio >= 3 {
			s.Ratio = quota.ObservedLost
		}
	case control.Rejected:
		// A full backend is left alone for twice as long each time in a row. It says nothing of the others:
		// were it to take room from all, one that is always full would starve the fleet.
		b.rejectingUntil = c.now + rejectionBackoff<<min(b.rejections, maxRejectionDoublings)
		b.rejections++
		return
	case control.Succeeded:
		b.rejections = 0
		s.Ratio = c.recordLatency(t, took)
		c.countCompletion(b)
	case control.Canceled, control.NotSent:
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
func (c *Controller) applyObservation(b *backend, s quota.Observation) {
	switch s.Ratio {
	case quota.ObservedLost:
		c.recordLoss(b, 1)
		return
	case quota.ObservedFailed:
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
func (c *Controller) recordProductResult(p control.ProductID, b *backend, bad float64) {
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

// lastObservations are how the last submissions went, and how many there were in all.
func (c *Controller) lastObservations() ([]quota.Observation, int) {
	return c.observations, c.observationCount
}

// takeObservations takes what a peer tells of backends.
func (c *Controller) takeObservations(sights []quota.Observation) {
	for _, s := range sights {
		if b := c.byHash[s.BackendHash]; b != nil && int(s.Product) < len(c.products) {
			c.applyObservation(b, s)
			c.adjustCapacity(s.Congestion)
		}
	}
}
