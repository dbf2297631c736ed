package loadbalancer

import (
	"math"
	"time"
)

// maxWorkUnits is the largest number of units that has its own kind of work. Txns with more units share the kind of this number.
const maxWorkUnits = 63

// workKind returns the number of a txn's kind of work, which is determined by its product and units.
func (c *Controller) workKind(t *txn) int {
	return int(t.Product)*(maxWorkUnits+1) + int(min(max(t.Units, 0), maxWorkUnits))
}

// usualLatency returns the usual response time for the kind of work of a txn. While that time is unknown, the result is the product's
// SLA time divided by unknownLatencyDivisor.
func (c *Controller) usualLatency(t *txn) time.Duration {
	if seconds, ok := c.usualLatencies[c.workKind(t)]; ok {
		return time.Duration(seconds * float64(time.Second))
	}
	return c.products[t.Product].slaTime / unknownLatencyDivisor
}

// longestAssumedLatency returns, in seconds, the longest of the response times that are assumed for the products while the usual
// response times are unknown.
func (c *Controller) longestAssumedLatency() float64 {
	slowest := 0.0
	for p := range c.products {
		slowest = max(slowest, c.products[p].slaTime.Seconds()/unknownLatencyDivisor)
	}
	return max(slowest, 0.001)
}

// relativeWork returns the ratio of a txn's work to the mean work of the submitted txns. The warm-up tokens of a backend count work
// and not txns.
func (c *Controller) relativeWork(t *txn) float64 {
	if c.meanUsualLatency <= 0 {
		return 1
	}
	return c.usualLatency(t).Seconds() / c.meanUsualLatency
}

// countCompletion adds a response of a warm backend to the completion rate. The rate counts responses because backends may get more submissions
// than they can process.
func (c *Controller) countCompletion(b *backend) {
	if b.warmUpShare >= 1 {
		c.completionRate, c.completionRateAt = c.currentCompletionRate()+1/rateWindow, c.now
	}
}

// currentCompletionRate returns the smoothed rate of responses from warm backends, per second.
func (c *Controller) currentCompletionRate() float64 {
	return c.completionRate * math.Exp(-(c.now-c.completionRateAt).Seconds()/rateWindow)
}
