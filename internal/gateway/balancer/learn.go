// What the balancer learns of a backend from what becomes of requests: answer times, load, failures.

package balancer

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/invariant"
)

// ---- What happens

// Sent is told when a request went to a backend.
func (c *Balancer) Sent(now time.Duration, id control.BackendID, w Request) {
	b := c.known[id]
	invariant.That(b != nil && b.State == control.Ready, "only a ready backend gets a request")
	if b == nil {
		return
	}
	side, stride := c.locality(b.Zone), c.stride(now, b, w)
	b.pass = max(b.pass, c.virtualTime[side]-2*stride)
	c.virtualTime[side] = max(c.virtualTime[side], b.pass)
	b.pass += stride
	if b.unanswered == 0 {
		b.unansweredSince, b.expectedLatency = now, 0
	}
	if u, ok := c.UsualLatency(w.Kind); ok {
		b.expectedLatency = max(b.expectedLatency, u)
	}
	if b.unanswered == 1 {
		b.secondUnansweredAt = now
	}
	b.sentAt = now
	c.recordSend(now)
	b.unanswered++
	b.inFlight++
	c.inFlight++
}

// Outcome is how a request ended at a backend.
type Outcome struct {
	Ending        control.Ending
	Kind          control.ProductID
	Took          time.Duration
	LatencyTarget time.Duration // an answer later than this loses half of its worth
	SelfInflicted bool          // how long it took is this node's own doing
	ClientLeft    bool          // its client had left: if it was called off, then for that
}

// Ended takes the one end of a request that was sent.
func (c *Balancer) Ended(now time.Duration, id control.BackendID, e Outcome) {
	b := c.known[id]
	invariant.That(b != nil && b.inFlight > 0, "what ends at a backend was sent there")
	if b == nil || b.inFlight == 0 {
		return
	}
	dead := c.Dead(now, id)
	b.inFlight--
	c.inFlight--
	if b.State == control.Gone && b.inFlight == 0 {
		delete(c.known, id)
	}
	switch e.Ending {
	case control.Succeeded, control.Errored, control.Rejected:
		b.unanswered, b.unansweredSince, b.secondUnansweredAt, c.answeredAt = b.inFlight, now, now, now
	default:
		if b.inFlight == 0 {
			b.unanswered = 0
		}
	}
	bad := 0.0
	switch e.Ending {
	case control.Canceled:
		// Where clients leave early nothing runs into its time any more: one that was silent for long when its client left has
		// failed all the same.
		silent := e.ClientLeft && !e.SelfInflicted && e.Took > max(minUnresponsiveTime, b.expectedTime(unresponsiveFactor))
		if !dead && !silent {
			return
		}
		bad = 1
	case control.NotSent:
		b.rejectingUntil = max(b.rejectingUntil, now+notSentBackoff)
		return
	case control.Rejected:
		c.recordRejection(now, b)
		return
	case control.Succeeded:
		b.rejections = 0
		c.rejectionShare -= serviceSmoothing * c.rejectionShare
		c.recordAnswer(now, b, e)
	case control.TimedOut:
		if e.SelfInflicted {
			return
		}
		c.recordValueLoss(now, b, lateCost)
		bad = 1
	default:
		bad = 1
	}
	c.recordResult(now, b, bad, e.Ending)
}

// recordRejection: a backend turned one away. It is left alone, twice as long each time in a row. It says nothing of the
// others, unless many are turned away.
func (c *Balancer) recordRejection(now time.Duration, b *backend) {
	pause := rejectionBackoff << min(b.rejections, maxRejectionDoublings)
	b.rejectingUntil = now + time.Duration(float64(pause)*(0.75+c.rng.Float64()/2))
	b.rejections++
	c.rejectionShare += serviceSmoothing * (1 - c.rejectionShare)
	if c.rejectionShare > rejectionThreshold {
		c.capacity *= 1 - rejectionCapacityLoss
		c.boundCapacity()
	}
	c.saturatedAt = now
	c.recordValueLoss(now, b, lateCost/2)
}

// recordAnswer learns from an answer's time.
func (c *Balancer) recordAnswer(now time.Duration, b *backend, e Outcome) {
	if e.SelfInflicted {
		return
	}
	took := max(e.Took.Seconds(), 0.0005)
	usual, ok := c.latency[e.Kind]
	if !ok {
		usual = took
	}
	took = min(took, maxLatencyFactor*usual)
	c.latency[e.Kind] = usual + latencySmoothing*(took-usual)
	b.answers++
	b.slowdown += max(slowdownSmoothing, 1/float64(b.answers+4)) * (took/usual - b.slowdown)
	late := e.LatencyTarget > 0 && float64(e.Took) > lateTargetShare*float64(e.LatencyTarget)
	pain := 0.0
	if late {
		pain = lateCost
	}
	c.recordValueLoss(now, b, pain)
	used := float64(c.inFlight+1) >= minUtilization*c.capacity || now-c.saturatedAt < 300*millisecond
	switch {
	case !late && used:
		c.capacity += capacityGain * (c.capacity + 1)
	case late && used && now >= b.WarmingUntil && b.slowdown < crowdedSlowdown:
		c.capacity *= 1 - capacityLoss
	}
	c.boundCapacity()
}

func (c *Balancer) recordValueLoss(now time.Duration, b *backend, pain float64) {
	side := c.locality(b.Zone)
	if side == 1 {
		c.remoteAnswerAt = now
	}
	c.valueLoss[side] += valueLossSmoothing * (pain - c.valueLoss[side])
}

// recordResult sets a failing backend aside for a while. Where all fail alike, no backend is at fault.
func (c *Balancer) recordResult(now time.Duration, b *backend, fail float64, how control.Ending) {
	b.endings++
	b.failureShare += max(failureSmoothing, 1/float64(b.endings+1)) * (fail - b.failureShare)
	c.failureShare += serviceSmoothing * (fail - c.failureShare)
	if fail == 0 {
		if b.suspect {
			b.suspect, b.slowStartFrom, b.failureShare = false, now, min(b.failureShare, failureThreshold/2)
		} else if b.failureShare < effectfulFailureThreshold/2 {
			b.backoff = 0
		}
		return
	}
	// What takes no connection is left at once. A request out from before the pause says nothing new.
	if b.ejectedUntil > now || how != control.Unreachable && !b.suspect &&
		(b.failureShare < failureThreshold || b.failureShare < failureOutlierFactor*c.failureShare) {
		return
	}
	b.backoff = min(max(minEjectionTime, 2*b.backoff), maxEjectionTime)
	b.ejectedUntil = now + time.Duration(float64(b.backoff)*(0.8+0.4*c.rng.Float64()))
	b.suspect = true
}

// Resumed is told that this node stood still until now. Silence and time-outs of that time are of its own making.
func (c *Balancer) Resumed(now time.Duration) {
	for _, b := range c.ordered {
		b.unansweredSince, b.secondUnansweredAt = now, now
	}
	c.answeredAt = now
}
