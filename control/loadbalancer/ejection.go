package loadbalancer

import (
	"time"

	"clovergap/control"
)

// examineBackends ejects and readmits backends, and sends a probe where one is due.
func (c *Controller) examineBackends() {
	c.refreshBackends()
	ejected := 0
	for _, b := range c.readyBackends {
		if b.ejected {
			ejected++
		}
	}
	var next *backend // to be probed
	for _, b := range c.readyBackends {
		switch {
		case b.ejected:
			if c.readmit(b) {
				ejected--
			}
		case c.shouldEject(b, ejected):
			c.eject(b)
			ejected++
		}
		if c.mayProbe(b) && (next == nil || probeBefore(b, next)) {
			next = b
		}
	}
	c.sendProbe(next)
	if c.now-c.loggedAt >= logInterval {
		c.logSummary(ejected)
	}
}

// shouldEject tells whether a backend is to be ejected, where so many are already. There is no bound on the unresponsive ones, which are passed over
// anyhow: only from an ejection a way leads back, by probes or by trial, whatever txns come.
func (c *Controller) shouldEject(b *backend, ejected int) bool {
	if b.unanswered >= 2 && c.now-b.unansweredSince > unresponsiveEjectionTime {
		return true
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(c.readyBackends)) {
		return false
	}
	failing := b.lossSamples >= 2 && b.lossShare > failureThreshold && b.lossShare > failureOutlierFactor*c.fleetLossShare
	return failing || b.slowdown > slowEjectionRatio*c.medianSlowdown
}

// eject passes over a backend, twice as long each time.
func (c *Controller) eject(b *backend) {
	b.ejected, b.passedProbes = true, 0
	b.backoff = min(max(minEjectionTime, 2*b.backoff), maxEjectionTime)
	b.nextProbeAt = c.now + b.backoff
}

// readmit ends an ejection after successful probes or, where there are none, after its time. The backend comes back with a slow start.
func (c *Controller) readmit(b *backend) bool {
	if !c.probesAllowed && c.now < b.nextProbeAt ||
		c.probesAllowed && (b.passedProbes < probesToReadmit || c.now < b.nextProbeAt-b.backoff+minEjectionTime) {
		return false
	}
	b.ejected, b.slowStartedAt = false, c.now
	b.slowdown, b.lossShare, b.lossSamples, b.unanswered = 1, 0, 0, 0
	return true
}

// mayProbe tells whether a backend may be probed now: an ejected one, or any where load reports come with probes.
func (c *Controller) mayProbe(b *backend) bool {
	return (c.loadReportsByProbe || b.ejected && c.probesAllowed) && !b.probing && c.now >= b.nextProbeAt
}

// probeBefore tells whether b is to be probed before another: ejected ones first, then by when the probe was due.
func probeBefore(b, other *backend) bool {
	if b.ejected != other.ejected {
		return b.ejected
	}
	return b.nextProbeAt < other.nextProbeAt
}

// sendProbe probes a backend, if there is one, at the cost of a probe credit. Txns earn most of these: so many front doors probe no more than few.
func (c *Controller) sendProbe(b *backend) {
	c.probeBudget = min(maxProbeBudget, c.probeBudget+idleProbeBudget)
	if b == nil || c.probeBudget < 1 {
		return
	}
	c.probeBudget--
	b.probing, b.nextProbeAt = true, c.now+minEjectionTime
	c.decisions = append(c.decisions, control.Decision{Action: control.Probe, Backend: b.ID})
}

// ProbeEnded takes the outcome of a probe, with a load report if there is one.
func (c *Controller) ProbeEnded(at control.BackendID, passed bool, _ time.Duration, load []float64) {
	b := c.backends[at]
	if b == nil {
		return
	}
	b.probing = false
	c.applyLoadReport(b, load)
	if !passed {
		b.passedProbes = 0
		b.lossShare += smoothing * (1 - b.lossShare)
		return
	}
	b.passedProbes++
}
