package loadbalancer

import (
	"math"
	"time"
)

// maxWorkUnits is the largest number of units that has its own kind of work. Txns of one product with more units
// count as txns with maxWorkUnits units.
const maxWorkUnits = 63

// workKind returns the number that identifies a txn's kind of work. Txns of the same product with the same units have the same kind.
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

// relativeWork returns the ratio of a txn's work to the mean work of the submitted txns. The result is the number of warm-up tokens
// that a submission of the txn takes, so a long txn takes more tokens than a short one.
func (c *Controller) relativeWork(t *txn) float64 {
	if c.meanUsualLatency <= 0 {
		return 1
	}
	return c.usualLatency(t).Seconds() / c.meanUsualLatency
}

// countCompletion adds a response to the completion rate if the backend is warm. The rate counts responses and not submissions, because
// backends may get more submissions than they can process.
func (c *Controller) countCompletion(b *backend) {
	if b.warmUpShare >= 1 {
		c.completionRate, c.completionRateAt = c.currentCompletionRate()+1/rateWindow, c.now
	}
}

// currentCompletionRate returns the smoothed rate of responses from warm backends, per second.
func (c *Controller) currentCompletionRate() float64 {
	return c.completionRate * math.Exp(-(c.now-c.completionRateAt).Seconds()/rateWindow)
}
