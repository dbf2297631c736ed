package loadbalancer

import (
	"math"
	"time"
)

// workKind names the kind of work of a txn: work goes by product and units.
func (c *Controller) workKind(t *txn) int { return int(t.Product)*64 + int(min(max(t.Units, 0), 63)) }

// usualLatency is the usual answer time of such a txn.
func (c *Controller) usualLatency(t *txn) time.Duration {
	if s, ok := c.latency[c.workKind(t)]; ok {
		return time.Duration(s * float64(time.Second))
	}
	return c.products[t.Product].slaTime / unknownLatencyDivisor
}

// slowestLatency is the longest usual answer time, in seconds.
func (c *Controller) slowestLatency() float64 {
	s := 0.0
	for p := range c.products {
		s = max(s, c.products[p].slaTime.Seconds()/unknownLatencyDivisor)
	}
	return max(s, 0.001)
}

// workWeight is a txn's work against the mean of those sent: a cold backend's budget is one of work.
func (c *Controller) workWeight(t *txn) float64 {
	if c.meanWork <= 0 {
		return 1
	}
	return c.usualLatency(t).Seconds() / c.meanWork
}

// countCompletion counts what warm backends settle: sends may be more than they can do.
func (c *Controller) countCompletion(b *backend) {
	if b.warmth >= 1 {
		c.completionRate, c.completionRateAt = c.completionRateNow()+1/rateWindow, c.now
	}
}

// completionRateNow is its smoothed rate.
func (c *Controller) completionRateNow() float64 {
	return c.completionRate * math.Exp(-(c.now-c.completionRateAt).Seconds()/rateWindow)
}
