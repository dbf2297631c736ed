package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// recordOutcome learns from how a submission ended. The txn is nil if it has been answered and forgotten.
func (c *Controller) recordOutcome(t *txn, b *backend, e control.Ending, took time.Duration, load []float64) {
	if e == control.Succeeded || e == control.Errored || e == control.Rejected {
		b.unanswered, b.unansweredSince = 0, 0
		if b.inFlight > 1 {
			b.unanswered, b.unansweredSince = b.inFlight-1, c.now
		}
		c.applyLoadReport(b, load)
	}
	if t == nil || t.sentAt < c.pausedUntil && (e == control.Succeeded || e == control.TimedOut) {
		return // how long it took is this process's own doing
	}
	o := quota.Observation{BackendHash: b.hash & quota.ObservationHashMask, Product: t.Product, Congestion: c.congestionOf(t, b, e)}
	c.adjustCapacity(o.Congestion)
	switch e {
	case control.Unreachable, control.ConnectionLost:
		o.Ratio = quota.ObservedLost
	case control.Errored:
		o.Ratio = quota.ObservedFailed
	case control.TimedOut:
		if o.Ratio = float64(c.now-t.sentAt) / float64(c.usualLatency(t)); o.Ratio >= lostLatencyRatio {
			o.Ratio = quota.ObservedLost
		}
	case control.Rejected:
		c.recordRejection(b)
		return
	case control.Succeeded:
		b.consecutiveRejections = 0
		o.Ratio = c.recordLatency(t, took)
		c.countCompletion(b)
	case control.Canceled, control.NotSent:
		return
	}
	c.applyObservation(b, o)
	c.observations = append(c.observations, o)
	c.observations = c.observations[max(0, len(c.observations)-observationsPerMessage):]
	c.observationCount++
}

// recordRejection leaves a backend that rejected a submission alone, twice as long each time in a row. It says nothing of the others: were it
// to take capacity from all, one that always rejects would starve the fleet.
func (c *Controller) recordRejection(b *backend) {
	b.rejectionBackoffUntil = c.now + rejectionBackoff<<min(b.consecutiveRejections, maxRejectionDoublings)
	b.consecutiveRejections++
}

// recordLatency learns the usual answer time from an answer, and gives the answer's ratio to it.
func (c *Controller) recordLatency(t *txn, took time.Duration) float64 {
	kind := c.workKind(t)
	usual, ok := c.usualLatencies[kind]
	if !ok {
		usual = took.Seconds()
	}
	step := latencySmoothing * (min(took.Seconds(), maxLatencyFactor*usual) - usual)
	if step > 0 && c.underPressure() {
		step = 0 // under pressure answers wait in queues, which is no part of the usual time
	}
	c.usualLatencies[kind] = usual + step
	return min(took.Seconds()/max(usual, minLatencySeconds), maxLatencyRatio)
}

// applyObservation learns from how one submission went, from here or from a peer. A peer's observation weighs as one answer, and can't bring an ejected
// backend back; what is ejected by it is bounded, and tried again like all else. It finds slow, failing and lost backends; a peer that is
// slow itself may mislead.
func (c *Controller) applyObservation(b *backend, o quota.Observation) {
	switch o.Ratio {
	case quota.ObservedLost:
		c.recordLoss(b, 1)
		return
	case quota.ObservedFailed:
		c.recordProductResult(o.Product, b, 1)
	default:
		c.recordProductResult(o.Product, b, 0)
		if b.ejected && o.Ratio < slowEjectionRatio {
			b.passedProbes++ // as good as a probe
		}
		b.slowdown += smoothing * (o.Ratio - b.slowdown)
	}
	c.recordLoss(b, 0)
}

// recordLoss counts a submission as lost (1) or not (0).
func (c *Controller) recordLoss(b *backend, lost float64) {
	b.lossSamples = b.lossSamples*(1-smoothing) + 1
	b.lossShare += max(smoothing, 1/b.lossSamples) * (lost - b.lossShare)
	c.fleetLossShare += fleetSmoothing * (lost - c.fleetLossShare)
}

// recordProductResult learns whether a backend fails one product (failed is 1 or 0). A backend that does is excluded for that product alone, twice
// as long each time, and tried again by that product's own txns. When a product fails everywhere alike, no backend is at fault. It finds
// backends that answer errors fast as well as a function that is broken at one of them.
func (c *Controller) recordProductResult(p control.ProductID, b *backend, failed float64) {
	f, fleet := &b.failures[p], &c.fleetFailures[p]
	f.samples = min(f.samples+1, maxFailureSamples)
	f.share += (failed - f.share) / f.samples
	fleet.share += fleetSmoothing * (failed - fleet.share)
	switch {
	case f.excludedUntil > c.now:
		if failed > 0 {
			f.excludedUntil = c.now + f.backoff // others still find it failing
		}
	case f.share > failureThreshold && f.samples >= 2 && f.share > failureOutlierFactor*fleet.share:
		f.backoff = min(max(minEjectionTime, 2*f.backoff), maxEjectionTime)
		f.excludedUntil, f.share = c.now+f.backoff, postExclusionShare*failureThreshold
	case f.share < failureThreshold/4:
		f.backoff = 0
	}
}

// recentObservations gives how the last submissions went, and how many there were in all.
func (c *Controller) recentObservations() ([]quota.Observation, int) {
	return c.observations, c.observationCount
}

// applyPeerObservations takes those of a peer. Backends that the own list does not name are unknown.
func (c *Controller) applyPeerObservations(observations []quota.Observation) {
	for _, o := range observations {
		if b := c.backendsByHash[o.BackendHash]; b != nil && int(o.Product) < len(c.products) {
			c.applyObservation(b, o)
			c.adjustCapacity(o.Congestion)
		}
	}
}
