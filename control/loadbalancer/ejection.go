package loadbalancer

import (
	"time"

	"clovergap/control"
)

// examineBackends ejects and readmits backends, sends a probe if one is due, and logs a summary at each logInterval.
func (c *Controller) examineBackends() {
	c.refreshBackends()
	ejected := 0
	for _, b := range c.readyBackends {
		if b.ejected {
			ejected++
		}
	}
	var next *backend // the backend to probe
	for _, b := range c.readyBackends {
		switch {
		case b.ejected:
			if c.readmitIfRecovered(b) {
				ejected--
			}
		case c.shouldEject(b, ejected):
			c.eject(b)
			ejected++
		}
		if c.mayProbe(b) && (next == nil || precedesInProbing(b, next)) {
			next = b
		}
	}
	c.sendProbe(next)
	if c.now-c.loggedAt >= logInterval {
		c.logSummary(ejected)
	}
}

// shouldEject reports whether to eject a backend while ejectedCount backends are ejected. Unresponsive backends are ejected even if more
// than maxEjectedShare of the backends are then ejected, because unresponsive backends get hardly any submissions anyway. Without
// ejection, an unresponsive backend could recover only through inquiry-like txns. An ejected backend is readmitted by probes or, if
// probes are disabled, after its ejection time.
func (c *Controller) shouldEject(b *backend, ejectedCount int) bool {
	if b.unanswered >= 2 && c.now-b.unansweredSince > unresponsiveEjectionTime {
		return true
	}
	if float64(ejectedCount+1) > maxEjectedShare*float64(len(c.readyBackends)) {
		return false
	}
	failing := b.lossSamples >= 2 && b.lossShare > failureThreshold && b.lossShare > failureOutlierFactor*c.fleetLossShare
	return failing || b.slowdown > slowEjectionRatio*c.medianSlowdown
}

// eject ejects a backend. The first ejection of a backend lasts for minEjectionTime. Each further ejection of the backend lasts twice as
// long as the ejection before, up to maxEjectionTime.
func (c *Controller) eject(b *backend) {
	b.ejected, b.passedProbes = true, 0
	b.backoff = min(max(minEjectionTime, 2*b.backoff), maxEjectionTime)
	b.nextProbeAt = c.now + b.backoff
}

// readmitIfRecovered ends the ejection of a backend that has passed enough probes. If probes are disabled, it ends the ejection after
// the ejection time. The slow start of the backend then begins. readmitIfRecovered reports whether it ended the ejection.
func (c *Controller) readmitIfRecovered(b *backend) bool {
	if !c.probesAllowed && c.now < b.nextProbeAt ||
		c.probesAllowed && (b.passedProbes < probesToReadmit || c.now < b.nextProbeAt-b.backoff+minEjectionTime) {
		return false
	}
	b.ejected, b.slowStartedAt = false, c.now
	b.slowdown, b.lossShare, b.lossSamples, b.unanswered = 1, 0, 0, 0
	return true
}

// mayProbe reports whether a backend may be probed now. If load reports come with probes, each backend may be
// probed. If load reports come with responses to txns, only ejected backends are probed.
func (c *Controller) mayProbe(b *backend) bool {
	return (c.loadReportsByProbe || b.ejected && c.probesAllowed) && !b.probing && c.now >= b.nextProbeAt
}

// precedesInProbing reports whether b is probed before other. An ejected backend precedes a backend that is not ejected. If both or
// neither are ejected, the backend with the earlier nextProbeAt precedes the other.
func precedesInProbing(b, other *backend) bool {
	if b.ejected != other.ejected {
		return b.ejected
	}
	return b.nextProbeAt < other.nextProbeAt
}

// sendProbe probes a backend and takes one probe from the probe budget. It does nothing if b is nil or if the budget has less than one
// probe. Most of the budget is earned by txns, so the number of probes depends on the number of txns. It hardly depends on the
// number of front doors.
func (c *Controller) sendProbe(b *backend) {
	c.probeBudget = min(maxProbeBudget, c.probeBudget+idleProbeBudget)
	if b == nil || c.probeBudget < 1 {
		return
	}
	c.probeBudget--
	b.probing, b.nextProbeAt = true, c.now+minEjectionTime
	c.decisions = append(c.decisions, control.Decision{Action: control.Probe, Backend: b.ID})
}

// ProbeEnded records the outcome of a probe and the load report in its response, if there is one.
func (c *Controller) ProbeEnded(backendID control.BackendID, passed bool, _ time.Duration, load []float64) {
	b := c.backends[backendID]
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
