package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// congestionOf tells whether an answer, or a time-out, shows that the fleet is congested, that it is not, or neither.
func (c *Controller) congestionOf(t *txn, b *backend, e control.Ending) quota.Congestion {
	if t.currentBackend == nil || e != control.Succeeded && e != control.TimedOut {
		return quota.CongestionUnknown
	}
	sla := float64(c.products[t.Product].slaTime)
	late := time.Duration(min(lateSLAShare*sla+float64(c.usualLatency(t)), maxLateSLAShare*sla))
	if e == control.Succeeded && c.now-t.sentAt < late {
		return quota.NotCongested
	}
	// What is one backend's fault makes its own capacity smaller, not the fleet's. A time-out at a backend that has answered nothing since is
	// unresponsiveness, not congestion.
	unresponsive := e == control.TimedOut && b.unansweredSince <= t.sentAt
	if b.warmUpShare < 1 || b.slowdown > slowOutlierRatio*c.medianSlowdown || unresponsive {
		return quota.CongestionUnknown
	}
	return quota.Congested
}

// adjustCapacity learns how much this front door may have in flight, from its own submissions and from those that peers tell of: late ones take
// capacity away, prompt ones give it back while it is in use. That holds against overload, a slow fleet and lost backends alike; it may do harm
// where the work of a product takes nearly its SLA time by itself.
func (c *Controller) adjustCapacity(seen quota.Congestion) {
	if seen == quota.NotCongested && c.underPressure() {
		c.capacity = min(maxCapacity, c.capacity*(1+c.capacityGain))
	}
	// With capacity to spare the lateness is not of this front door's making. And exponential work times have late answers of their own,
	// which would wear the capacity down while nothing brings it up.
	if seen == quota.Congested && c.utilization >= minUtilization && c.underPressure() {
		c.capacity, c.capacityGain = max(minCapacity/float64(c.gateways), c.capacity*(1-capacityLoss)), capacityGain
	}
}

// underPressure tells whether capacity ran out a short time ago.
func (c *Controller) underPressure() bool { return c.now-c.saturatedAt < pressureTTL }
