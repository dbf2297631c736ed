package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// recordOutcome updates the statistics from the outcome of a submission. t is nil if the txn has been removed. took is the response
// time, and load is the load report of the backend.
func (c *Controller) recordOutcome(t *txn, b *backend, ending control.Ending, took time.Duration, load []float64) {
	if ending == control.Succeeded || ending == control.Errored || ending == control.Rejected {
		b.unanswered, b.unansweredSince = 0, 0
		if b.inFlight > 1 {
			b.unanswered, b.unansweredSince = b.inFlight-1, c.now
		}
		c.applyLoadReport(b, load)
	}
	if t == nil || t.sentAt < c.stallEnd && (ending == control.Succeeded || ending == control.TimedOut) {
		return // the response time includes the stall of this process and says nothing about the backend
	}
	observation := quota.Observation{BackendHash: b.hash & quota.ObservationHashMask, Product: t.Product, Congestion: c.congestionOf(t, b, ending)}
	c.adjustCapacity(observation.Congestion)
	switch ending {
	case control.Unreachable, control.ConnectionLost:
		observation.Ratio = quota.ObservedLost
	case control.Errored:
		observation.Ratio = quota.ObservedFailed
	case control.TimedOut:
		if observation.Ratio = float64(c.now-t.sentAt) / float64(c.usualLatency(t)); observation.Ratio >= lostLatencyRatio {
			observation.Ratio = quota.ObservedLost
		}
	case control.Rejected:
		c.recordRejection(b)
		return
	case control.Succeeded:
		b.consecutiveRejections = 0
		observation.Ratio = c.recordLatency(t, took)
		c.countCompletion(b)
	case control.Canceled, control.NotSent:
		return
	}
	c.applyObservation(b, observation)
	c.observations = append(c.observations, observation)
	c.observations = c.observations[max(0, len(c.observations)-observationsPerMessage):]
	c.observationCount++
}

// recordRejection starts a backoff for a backend that rejected a submission. The backoff doubles with each rejection in a row. A
// rejection shows nothing about other backends, so it does not lower the capacity. If it did, one backend that rejects every submission
// would leave the other backends unused.
func (c *Controller) recordRejection(b *backend) {
	b.rejectionBackoffUntil = c.now + rejectionBackoff<<min(b.consecutiveRejections, maxRejectionDoublings)
	b.consecutiveRejections++
}

// recordLatency updates the current and the usual response time of a txn's kind of work and returns the ratio of the new response time to
// the usual one.
func (c *Controller) recordLatency(t *txn, took time.Duration) float64 {
	kind := c.workKind(t)
	current, ok := c.currentLatencies[kind]
	if !ok {
		current = took.Seconds()
	}
	c.currentLatencies[kind] = current + latencySmoothing*(took.Seconds()-current)
	usual, ok := c.usualLatencies[kind]
	if !ok {
		usual = took.Seconds()
	}
	step := latencySmoothing * (min(took.Seconds(), maxLatencyFactor*usual) - usual)
	if step > 0 && c.isUnderPressure() {
		step = 0 // under pressure, response times include queueing time, which is no part of the usual response time
	}
	c.usualLatencies[kind] = usual + step
	return min(took.Seconds()/max(usual, minLatencySeconds), maxLatencyRatio)
}

// applyObservation updates the statistics from the outcome of one submission of this front door or of a peer. The statistics serve to
// detect slow, failing and lost backends. A peer's observation has the weight of one response. One observation of a peer cannot
// readmit an ejected backend. maxEjectedShare bounds the ejections that the observations of peers cause. Backends that are ejected
// because of such observations are readmitted in the same way as other ejected backends. A peer that is itself slow may report misleading
// observations.
func (c *Controller) applyObservation(b *backend, observation quota.Observation) {
	switch observation.Ratio {
	case quota.ObservedLost:
		c.recordLoss(b, 1)
		return
	case quota.ObservedFailed:
		c.recordProductResult(observation.Product, b, 1)
	default:
		c.recordProductResult(observation.Product, b, 0)
		if b.ejected && observation.Ratio < slowEjectionRatio {
			b.passedProbes++ // a prompt response counts as a successful probe
		}
		b.slowdown += smoothing * (observation.Ratio - b.slowdown)
	}
	c.recordLoss(b, 0)
}

// recordLoss updates the loss shares of the backend and the fleet. lost is 1 for a lost submission and 0 for any other submission.
func (c *Controller) recordLoss(b *backend, lost float64) {
	b.lossSamples = b.lossSamples*(1-smoothing) + 1
	b.lossShare += max(smoothing, 1/b.lossSamples) * (lost - b.lossShare)
	c.fleetLossShare += fleetSmoothing * (lost - c.fleetLossShare)
}

// recordProductResult updates the failure share of one product at a backend and excludes the backend for that product if the share is
// too high. failed is 1 for a failed submission and 0 for any other submission. Each exclusion lasts twice as long as the exclusion
// before. After the exclusion, the product's txns use the backend again. If a product fails equally at all backends, no backend is at
// fault and none is excluded. Exclusion serves for two faults. In the first, a backend quickly responds with errors for all products. In
// the second, a product fails at only one backend.
func (c *Controller) recordProductResult(product control.ProductID, b *backend, failed float64) {
	f, fleet := &b.failures[product], &c.fleetFailures[product]
	f.samples = min(f.samples+1, maxFailureSamples)
	f.share += (failed - f.share) / f.samples
	fleet.share += fleetSmoothing * (failed - fleet.share)
	switch {
	case f.excludedUntil > c.now:
		if failed > 0 {
			f.excludedUntil = c.now + f.backoff // the failed submission came from a peer or was sent before the exclusion
		}
	case f.share > failureThreshold && f.samples >= 2 && f.share > failureOutlierFactor*fleet.share:
		f.backoff = min(max(minEjectionTime, 2*f.backoff), maxEjectionTime)
		f.excludedUntil, f.share = c.now+f.backoff, postExclusionShare*failureThreshold
	case f.share < failureThreshold/4:
		f.backoff = 0
	}
}

// recentObservations returns the observations of the last submissions and the number of observations since the start.
func (c *Controller) recentObservations() ([]quota.Observation, int) {
	return c.observations, c.observationCount
}

// applyPeerObservations applies the observations of a peer. It ignores backends that are not in this front door's list.
func (c *Controller) applyPeerObservations(observations []quota.Observation) {
	for _, observation := range observations {
		if b := c.backendsByHash[observation.BackendHash]; b != nil && int(observation.Product) < len(c.products) {
			c.applyObservation(b, observation)
			c.adjustCapacity(observation.Congestion)
		}
	}
}
