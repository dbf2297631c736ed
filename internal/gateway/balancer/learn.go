// What the balancer learns of a backend from what becomes of requests: answer times, load, failures.

package balancer

import (
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
)

// ---- What happens

// Sent is told when a request went to a backend.
func (b *Balancer) Sent(now time.Duration, id control.BackendID, w Request) {
	backend := b.known[id]
	invariant.That(backend != nil && backend.State == control.Ready, "only a ready backend gets a request")
	if backend == nil {
		return
	}
	side, stride := b.locality(backend.Zone), b.stride(now, backend, w)
	backend.pass = max(backend.pass, b.virtualTime[side]-2*stride)
	b.virtualTime[side] = max(b.virtualTime[side], backend.pass)
	backend.pass += stride
	if backend.unanswered == 0 {
		backend.unansweredSince, backend.expectedLatency = now, 0
	}
	if u, ok := b.UsualLatency(w.Kind); ok {
		backend.expectedLatency = max(backend.expectedLatency, u)
	}
	if backend.unanswered == 1 {
		backend.secondUnansweredAt = now
	}
	backend.sentAt = now
	b.recordSend(now)
	backend.unanswered++
	backend.inFlight++
	b.inFlight++
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
func (b *Balancer) Ended(now time.Duration, id control.BackendID, e Outcome) {
	backend := b.known[id]
	invariant.That(backend != nil && backend.inFlight > 0, "what ends at a backend was sent there")
	if backend == nil || backend.inFlight == 0 {
		return
	}
	dead := b.Dead(now, id)
	backend.inFlight--
	b.inFlight--
	if backend.State == control.Gone && backend.inFlight == 0 {
		delete(b.known, id)
	}
	switch e.Ending {
	case control.Succeeded, control.Errored, control.Rejected:
		backend.unanswered, backend.unansweredSince, backend.secondUnansweredAt, b.answeredAt = backend.inFlight, now, now, now
	default:
		if backend.inFlight == 0 {
			backend.unanswered = 0
		}
	}
	bad := 0.0
	switch e.Ending {
	case control.Canceled:
		// Where clients leave early nothing runs into its time any more: one that was silent for long when its client left has
		// failed all the same.
		silent := e.ClientLeft && !e.SelfInflicted && e.Took > max(minUnresponsiveTime, backend.expectedTime(unresponsiveFactor))
		if !dead && !silent {
			return
		}
		bad = 1
	case control.NotSent:
		backend.rejectingUntil = max(backend.rejectingUntil, now+notSentBackoff)
		return
	case control.Rejected:
		b.recordRejection(now, backend)
		return
	case control.Succeeded:
		backend.rejections = 0
		b.rejectionShare -= serviceSmoothing * b.rejectionShare
		b.recordAnswer(now, backend, e)
	case control.TimedOut:
		if e.SelfInflicted {
			return
		}
		b.recordValueLoss(now, backend, lateCost)
		bad = 1
	default:
		bad = 1
	}
	b.recordResult(now, backend, bad, e.Ending)
}

// recordRejection: a backend turned one away. It is left alone, twice as long each time in a row. It says nothing of the
// others, unless many are turned away.
func (b *Balancer) recordRejection(now time.Duration, backend *backend) {
	pause := rejectionBackoff << min(backend.rejections, maxRejectionDoublings)
	backend.rejectingUntil = now + time.Duration(float64(pause)*(0.75+b.rng.Float64()/2))
	backend.rejections++
	b.rejectionShare += serviceSmoothing * (1 - b.rejectionShare)
	if b.rejectionShare > rejectionThreshold {
		b.capacity *= 1 - rejectionCapacityLoss
		b.boundCapacity()
	}
	b.saturatedAt = now
	b.recordValueLoss(now, backend, lateCost/2)
}

// recordAnswer learns from an answer's time.
func (b *Balancer) recordAnswer(now time.Duration, backend *backend, e Outcome) {
	if e.SelfInflicted {
		return
	}
	took := max(e.Took.Seconds(), 0.0005)
	usual, ok := b.latency[e.Kind]
	if !ok {
		usual = took
	}
	took = min(took, maxLatencyFactor*usual)
	b.latency[e.Kind] = usual + latencySmoothing*(took-usual)
	backend.answers++
	backend.slowdown += max(slowdownSmoothing, 1/float64(backend.answers+4)) * (took/usual - backend.slowdown)
	late := e.LatencyTarget > 0 && float64(e.Took) > lateTargetShare*float64(e.LatencyTarget)
	pain := 0.0
	if late {
		pain = lateCost
	}
	b.recordValueLoss(now, backend, pain)
	used := float64(b.inFlight+1) >= minUtilization*b.capacity || now-b.saturatedAt < 300*time.Millisecond
	switch {
	case !late && used:
		b.capacity += capacityGain * (b.capacity + 1)
	case late && used && now >= backend.WarmingUntil && backend.slowdown < crowdedSlowdown:
		b.capacity *= 1 - capacityLoss
	}
	b.boundCapacity()
}

func (b *Balancer) recordValueLoss(now time.Duration, backend *backend, pain float64) {
	side := b.locality(backend.Zone)
	if side == 1 {
		b.remoteAnswerAt = now
	}
	b.valueLoss[side] += valueLossSmoothing * (pain - b.valueLoss[side])
}

// recordResult sets a failing backend aside for a while. Where all fail alike, no backend is at fault.
func (b *Balancer) recordResult(now time.Duration, backend *backend, fail float64, how control.Ending) {
	backend.endings++
	backend.failureShare += max(failureSmoothing, 1/float64(backend.endings+1)) * (fail - backend.failureShare)
	b.failureShare += serviceSmoothing * (fail - b.failureShare)
	if fail == 0 {
		if backend.suspect {
			backend.suspect, backend.slowStartFrom, backend.failureShare = false, now, min(backend.failureShare, failureThreshold/2)
		} else if backend.failureShare < effectfulFailureThreshold/2 {
			backend.backoff = 0
		}
		return
	}
	// What takes no connection is left at once. A request out from before the pause says nothing new.
	if backend.ejectedUntil > now || how != control.Unreachable && !backend.suspect &&
		(backend.failureShare < failureThreshold || backend.failureShare < failureOutlierFactor*b.failureShare) {
		return
	}
	backend.backoff = min(max(minEjectionTime, 2*backend.backoff), maxEjectionTime)
	backend.ejectedUntil = now + time.Duration(float64(backend.backoff)*(0.8+0.4*b.rng.Float64()))
	backend.suspect = true
}

// Resumed is told that this node stood still until now. Silence and time-outs of that time are of its own making.
func (b *Balancer) Resumed(now time.Duration) {
	for _, backend := range b.ordered {
		backend.unansweredSince, backend.secondUnansweredAt = now, now
	}
	b.answeredAt = now
}
