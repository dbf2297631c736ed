package loadbalancer

import (
	"math"
	"time"
)

// maxWorkUnits is the number of units up to which kinds of work are told apart.
const maxWorkUnits = 63

// workKind numbers the kind of work of a txn, by its product and units.
func (c *Controller) workKind(t *txn) int {
	return int(t.Product)*(maxWorkUnits+1) + int(min(max(t.Units, 0), maxWorkUnits))
}

// usualLatency is the usual answer time of such a txn.
func (c *Controller) usualLatency(t *txn) time.Duration {
	if seconds, ok := c.usualLatencies[c.workKind(t)]; ok {
		return time.Duration(seconds * float64(time.Second))
	}
	return c.products[t.Product].slaTime / unknownLatencyDivisor
}

// slowestLatency is the longest of the products' usual answer times as they are assumed, in seconds.
func (c *Controller) slowestLatency() float64 {
	slowest := 0.0
	for p := range c.products {
		slowest = max(slowest, c.products[p].slaTime.Seconds()/unknownLatencyDivisor)
	}
	return max(slowest, 0.001)
}

// workWeight is a txn's work over the mean of those that were sent: the budget of a backend that is warming up is one of work.
func (c *Controller) workWeight(t *txn) float64 {
	if c.meanUsualLatency <= 0 {
		return 1
	}
	return c.usualLatency(t).Seconds() / c.meanUsualLatency
}

// countCompletion counts an answer of a warm backend: submissions may be more than they can do.
func (c *Controller) countCompletion(b *backend) {
	if b.warmUpShare >= 1 {
		c.completionRate, c.completionRateAt = c.completionRateNow()+1/rateWindow, c.now
	}
}

// completionRateNow is the smoothed rate of such answers, a second.
func (c *Controller) completionRateNow() float64 {
	return c.completionRate * math.Exp(-(c.now-c.completionRateAt).Seconds()/rateWindow)
}
