package loadbalancer

import (
	"time"

	"clovergap/control"
)

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
		c.decisions = append(c.decisions, control.Decision{Action: control.Probe, Backend: turn.ID})
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

// ProbeEnded takes the answer to a probe.
func (c *Controller) ProbeEnded(at control.BackendID, good bool, took time.Duration, load []float64) {
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
