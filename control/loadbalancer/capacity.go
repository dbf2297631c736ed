package loadbalancer

import (
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// congestionOf tells whether an answer says that the fleet is crowded, that it is not, or neither.
func (c *Controller) congestionOf(t *txn, b *backend, e control.Ending) quota.Congestion {
	if t.current == nil || e != control.Succeeded && e != control.TimedOut {
		return quota.CongestionUnknown
	}
	sla := float64(c.products[t.Product].slaTime)
	late := time.Duration(min(lateSLAShare*sla+float64(c.usualLatency(t)), maxLateSLAShare*sla))
	if e == control.Succeeded && c.now-t.sentAt < late {
		return quota.NotCongested
	}
	if b.warmth < 1 || b.slowdown > slowOutlierRatio*c.medianSlowdown || e == control.TimedOut && b.unansweredSince <= t.sentAt {
		// A time-out at a backend that has answered nothing since is silence, not crowding.
		return quota.CongestionUnknown // one backend's trouble: its own room is smaller by that, the fleet's is not
	}
	return quota.Congested
}

// adjustCapacity learns how much this gateway may have out, by its own answers and those that peers tell of: late
// ones take room away, prompt ones give it back while it is in use. It holds against overload, a slow fleet
// and lost backends alike; it may hurt when a product's work is by itself near its SLA time.
func (c *Controller) adjustCapacity(seen quota.Congestion) {
	if seen == quota.NotCongested && c.underPressure() {
		c.capacity = min(maxCapacity, c.capacity*(1+c.capacityGain))
	}
	// With room to spare the lateness is not of this gateway's making; and an exponential work time has late
	// answers of its own, which would wear the room down while nothing wears it up.
	if seen == quota.Congested && c.utilization >= minUtilization && c.underPressure() {
		c.capacity, c.capacityGain = max(minCapacity/float64(c.gateways), c.capacity*(1-capacityLoss)), capacityGain
	}
}

func (c *Controller) underPressure() bool { return c.now-c.saturatedAt < pressureTTL }
