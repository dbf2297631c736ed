package loadbalancer

import (
	"clovergap/control"
	"clovergap/control/quota"
)

// congestionOf returns whether the ending of a submission shows that the fleet is congested, that the fleet is not congested, or
// neither.
func (c *Controller) congestionOf(t *txn, b *backend, ending control.Ending) quota.Congestion {
	if t.currentBackend == nil || ending != control.Succeeded && ending != control.TimedOut {
		return quota.CongestionUnknown
	}
	if ending == control.Succeeded && c.now-t.sentAt <= c.products[t.Product].slaTime {
		return quota.NotCongested
	}
	// A fault of one backend is no congestion of the fleet. If a submission timed out at a backend that has not responded since the
	// submission was sent, the backend is unresponsive.
	unresponsive := ending == control.TimedOut && b.unansweredSince <= t.sentAt
	if b.warmUpShare < 1 || b.slowdown > slowOutlierRatio*c.medianSlowdown || unresponsive {
		return quota.CongestionUnknown
	}
	return quota.Congested
}

// adjustCapacity adapts the capacity to one observation of congestion. The observation comes from a submission of this front door or
// of a peer. A late response lowers the capacity. A prompt response under pressure raises the capacity. This adaptation protects
// against overload, a slow fleet and lost backends. The adaptation may lower the capacity needlessly if the work of a product takes
// nearly its SLA time.
func (c *Controller) adjustCapacity(congestion quota.Congestion) {
	if congestion == quota.NotCongested && c.isUnderPressure() {
		c.capacity = min(maxCapacity, c.capacity*(1+c.capacityGain))
	}
	// A front door with spare capacity does not cause the lateness. Exponentially distributed work times also cause some late responses
	// without any congestion. Without the conditions on utilization and pressure, such late responses would lower the capacity while no
	// response raises it.
	if congestion == quota.Congested && c.utilization >= minUtilization && c.isUnderPressure() {
		c.capacity, c.capacityGain = max(minCapacity/float64(c.gateways), c.capacity*(1-capacityLoss)), capacityGain
	}
}

// isUnderPressure reports whether a txn found no backend with capacity less than pressureTTL ago.
func (c *Controller) isUnderPressure() bool { return c.now-c.saturatedAt < pressureTTL }
