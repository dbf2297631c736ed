package balancer

import (
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
)

// Sent counts a request that was sent to a backend.
func (b *Balancer) Sent(now time.Duration, id control.BackendID, r Request) {
	backend := b.known[id]
	invariant.Assert(backend != nil && backend.State == control.Ready, "only a ready backend gets a request")
	if backend == nil {
		return
	}
	i, stride := b.locality(backend.Zone), b.stride(now, backend, r)
	backend.pass = max(backend.pass, b.virtualTime[i]-maxLag*stride)
	b.virtualTime[i] = max(b.virtualTime[i], backend.pass)
	backend.pass += stride
	if backend.unanswered == 0 {
		backend.unansweredSince, backend.expectedLatency = now, 0
	}
	if usual, ok := b.TypicalLatency(r.Kind); ok {
		backend.expectedLatency = max(backend.expectedLatency, usual)
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
	LatencyTarget time.Duration // in it an answer has its full value; 0: there is none
	ProcessPaused bool          // this process stood still: how long it took is its own doing
	ClientLeft    bool          // its client has left: if it was canceled, then for that
}

// Ended takes the one end of a request that was sent.
func (b *Balancer) Ended(now time.Duration, id control.BackendID, o Outcome) {
	backend := b.known[id]
	invariant.Assert(backend != nil && backend.inFlight > 0, "what ends at a backend was sent there")
	if backend == nil || backend.inFlight == 0 {
		return
	}
	dead := b.Dead(now, id)
	b.countEnded(now, backend, o.Ending)
	switch o.Ending {
	case control.Canceled:
		if dead || unresponsiveWhenCanceled(backend, o) {
			b.recordResult(now, backend, 1, o.Ending)
		}
	case control.NotSent:
		backend.rejectingUntil = max(backend.rejectingUntil, now+notSentBackoff)
	case control.Rejected:
		b.recordRejection(now, backend)
	case control.Succeeded:
		backend.rejections = 0
		b.rejectionShare -= serviceSmoothing * b.rejectionShare
		b.recordAnswer(now, backend, o)
		b.recordResult(now, backend, 0, o.Ending)
	case control.TimedOut:
		if !o.ProcessPaused {
			b.recordValueLoss(now, backend, lateCost)
			b.recordResult(now, backend, 1, o.Ending)
		}
	default:
		b.recordResult(now, backend, 1, o.Ending)
	}
}

// countEnded takes a request out of what is in flight, and what the backend owes.
func (b *Balancer) countEnded(now time.Duration, backend *backendState, e control.Ending) {
	backend.inFlight--
	b.inFlight--
	if backend.State == control.Gone && backend.inFlight == 0 {
		delete(b.known, backend.ID)
	}
	switch e {
	case control.Succeeded, control.Errored, control.Rejected:
		backend.unanswered, backend.unansweredSince, backend.secondUnansweredAt = backend.inFlight, now, now
		b.answeredAt = now
	default:
		if backend.inFlight == 0 {
			backend.unanswered = 0
		}
	}
}

// unresponsiveWhenCanceled tells whether a backend was silent for long when a request was canceled because its client had left. Where clients leave early
// nothing times out any more: it has failed all the same.
func unresponsiveWhenCanceled(backend *backendState, o Outcome) bool {
	return o.ClientLeft && !o.ProcessPaused && o.Took > backend.unresponsiveTime()
}

// recordRejection leaves a backend that rejected a request alone, twice as long each time in a row. It says nothing of the others, unless many
// requests are rejected.
func (b *Balancer) recordRejection(now time.Duration, backend *backendState) {
	pause := rejectionBackoff << min(backend.rejections, maxRejectionDoublings)
	backend.rejectingUntil = now + time.Duration(float64(pause)*(minRejectionJitter+b.rng.Float64()*rejectionJitter))
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
func (b *Balancer) recordAnswer(now time.Duration, backend *backendState, o Outcome) {
	if o.ProcessPaused {
		return
	}
	took := max(o.Took.Seconds(), minLatencySeconds)
	usual, ok := b.latency[o.Kind]
	if !ok {
		usual = took
	}
	took = min(took, maxLatencyFactor*usual)
	b.latency[o.Kind] = usual + latencySmoothing*(took-usual)
	backend.answers++
	backend.slowdown += max(slowdownSmoothing, 1/float64(backend.answers+initialAnswers)) * (took/usual - backend.slowdown)
	late := o.LatencyTarget > 0 && float64(o.Took) > lateTargetShare*float64(o.LatencyTarget)
	loss := 0.0
	if late {
		loss = lateCost
	}
	b.recordValueLoss(now, backend, loss)
	b.adjustCapacity(now, backend, late)
}

// adjustCapacity learns from an answer how much may be in flight, while the capacity is in use. The lateness of a backend that is warming up, or is slow by
// itself, says nothing of it.
func (b *Balancer) adjustCapacity(now time.Duration, backend *backendState, late bool) {
	used := float64(b.inFlight+1) >= minUtilization*b.capacity || now-b.saturatedAt < pressureTTL
	switch {
	case !late && used:
		b.capacity += capacityGain * (b.capacity + 1)
	case late && used && now >= backend.WarmingUntil && backend.slowdown < crowdedSlowdown:
		b.capacity *= 1 - capacityLoss
	}
	b.boundCapacity()
}

// recordResult counts an ending as failed (1) or not (0), and ejects a failing backend for a time. Where all fail alike, no backend is at fault. One that takes
// no connection is ejected at once. A request that was in flight before the ejection says nothing new.
func (b *Balancer) recordResult(now time.Duration, backend *backendState, failed float64, e control.Ending) {
	backend.endings++
	backend.failureShare += max(failureSmoothing, 1/float64(backend.endings+1)) * (failed - backend.failureShare)
	b.failureShare += serviceSmoothing * (failed - b.failureShare)
	if failed == 0 {
		backend.recordSuccess(now)
		return
	}
	failing := backend.failureShare >= failureThreshold && backend.failureShare >= failureOutlierFactor*b.failureShare
	if backend.ejectedUntil > now || e != control.Unreachable && !backend.suspect && !failing {
		return
	}
	backend.backoff = min(max(minEjectionTime, 2*backend.backoff), maxEjectionTime)
	backend.ejectedUntil = now + time.Duration(float64(backend.backoff)*(minEjectionJitter+ejectionJitter*b.rng.Float64()))
	backend.suspect = true
}

// recordSuccess clears the suspicion of a backend, which then has a slow start, or in time the length of its next ejection.
func (b *backendState) recordSuccess(now time.Duration) {
	if b.suspect {
		b.suspect, b.slowStartFrom, b.failureShare = false, now, min(b.failureShare, failureThreshold/2)
	} else if b.failureShare < effectfulFailureThreshold/2 {
		b.backoff = 0
	}
}
