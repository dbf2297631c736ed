package balancer

import (
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
)

// RecordSent records that a request was sent to a backend.
func (b *Balancer) RecordSent(now time.Duration, id control.BackendID, r Request) {
	backend := b.known[id]
	invariant.Assert(backend != nil && backend.State == control.Ready, "a request is sent only to a ready backend")
	if backend == nil {
		return
	}
	locality, stride := b.locality(backend.Zone), b.strideOf(now, backend, r)
	backend.pass = max(backend.pass, b.virtualTime[locality]-maxLag*stride)
	b.virtualTime[locality] = max(b.virtualTime[locality], backend.pass)
	backend.pass += stride
	if backend.unanswered == 0 {
		backend.unansweredSince, backend.expectedLatency = now, 0
	}
	typical, _ := b.TypicalLatency(now, r.Kind)
	backend.expectedLatency = max(backend.expectedLatency, typical)
	if backend.unanswered == 1 {
		backend.secondUnansweredAt = now
	}
	backend.sentAt = now
	b.updateRequestRate(now)
	backend.unanswered++
	backend.inFlight++
	b.inFlight++
}

// Outcome describes how a request ended at a backend.
type Outcome struct {
	Ending        control.Ending
	Kind          control.ProductID // kind of the request; requests of the same kind have similar latencies
	Took          time.Duration     // time from sending the request to its end
	LatencyTarget time.Duration     // a response is late after this time; 0 means that no response is late
	ProcessPaused bool              // this process was paused during the request, so Took says nothing about the backend
	ClientLeft    bool              // the client has left; if Ending is Canceled, this is the reason
}

// RecordEnd records the end of a request. It must be called once for each request that was recorded with RecordSent.
func (b *Balancer) RecordEnd(now time.Duration, id control.BackendID, outcome Outcome) {
	backend := b.known[id]
	invariant.Assert(backend != nil && backend.inFlight > 0, "a request that ends at a backend is in flight there")
	if backend == nil || backend.inFlight == 0 {
		return
	}
	dead := b.IsDead(now, id)
	b.removeFromInFlight(now, backend, outcome.Ending)
	switch outcome.Ending {
	case control.Canceled:
		if dead || wasUnresponsiveWhenCanceled(backend, outcome) {
			b.recordResult(now, backend, 1, outcome.Ending)
		}
	case control.NotSent:
		backend.backoffUntil = max(backend.backoffUntil, now+notSentBackoff)
	case control.Rejected:
		b.recordRejection(now, backend)
	case control.Succeeded:
		backend.rejections = 0
		b.rejectionShare -= serviceSmoothing * b.rejectionShare
		b.recordResponse(now, backend, outcome)
		b.recordResult(now, backend, 0, outcome.Ending)
	case control.TimedOut:
		if !outcome.ProcessPaused {
			b.recordMiss(now, backend, true)
			b.recordResult(now, backend, 1, outcome.Ending)
		}
	default:
		b.recordResult(now, backend, 1, outcome.Ending)
	}
}

// removeFromInFlight removes a request that has ended from the counts of requests in flight and of unanswered requests.
func (b *Balancer) removeFromInFlight(now time.Duration, backend *backendState, ending control.Ending) {
	backend.inFlight--
	b.inFlight--
	if backend.State == control.Gone && backend.inFlight == 0 {
		delete(b.known, backend.ID)
	}
	switch ending {
	case control.Succeeded, control.Errored, control.Rejected:
		backend.unanswered, backend.unansweredSince, backend.secondUnansweredAt = backend.inFlight, now, now
		b.lastResponseAt = now
	default:
		if backend.inFlight == 0 {
			backend.unanswered = 0
		}
	}
}

// wasUnresponsiveWhenCanceled reports whether a backend was unresponsive when a request was canceled because its client had left. Such a cancellation
// counts as a failure. If all clients leave early, no request times out, so only cancellations show that the backend does not respond.
func wasUnresponsiveWhenCanceled(backend *backendState, o Outcome) bool {
	return o.ClientLeft && !o.ProcessPaused && o.Took > backend.unresponsiveTimeout()
}

// recordRejection starts the backoff of a backend that rejected a request. The backoff doubles with each consecutive rejection. A rejection also lowers
// the capacity while the service's share of rejections is above rejectionThreshold. A lower share of rejections says nothing about the other backends.
func (b *Balancer) recordRejection(now time.Duration, backend *backendState) {
	backoff := rejectionBackoff << min(backend.rejections, maxRejectionDoublings)
	backend.backoffUntil = now + time.Duration(float64(backoff)*(rejectionJitterBase+b.rng.Float64()*rejectionJitter))
	backend.rejections++
	b.rejectionShare += serviceSmoothing * (1 - b.rejectionShare)
	if b.rejectionShare > rejectionThreshold {
		b.capacity *= 1 - rejectionCapacityLoss
		b.boundCapacity()
	}
	b.saturatedAt = now
	b.recordMiss(now, backend, true)
}

// recordResponse updates the typical latency, the backend's slowdown and the capacity from the time of a response.
func (b *Balancer) recordResponse(now time.Duration, backend *backendState, o Outcome) {
	if o.ProcessPaused {
		return
	}
	took, typical := b.recordLatency(now, o.Kind, o.Took)
	backend.responses++
	backend.slowdown += max(slowdownSmoothing, 1/float64(backend.responses+initialResponses)) * (took/typical - backend.slowdown)
	late := o.LatencyTarget > 0 && o.Took > o.LatencyTarget
	b.recordMiss(now, backend, late)
	b.adjustCapacity(now, backend, late)
}

// adjustCapacity raises the capacity after a prompt response and lowers the capacity after a late response, if most of the capacity was in use. A late
// response of a backend that is warming up, or that is much slower than the others, says nothing about the capacity and does not lower it.
func (b *Balancer) adjustCapacity(now time.Duration, backend *backendState, late bool) {
	used := float64(b.inFlight+1) >= minUtilization*b.capacity || now-b.saturatedAt < saturationTTL
	switch {
	case !late && used:
		b.capacity += capacityGain * (b.capacity + 1)
	case late && used && now >= backend.WarmingUntil && backend.slowdown < overloadSlowdown:
		b.capacity *= 1 - capacityLoss
	}
	b.boundCapacity()
}

// recordResult counts a request as failed (failed is 1) or successful (failed is 0) and ejects a failing backend for a time. If all backends have
// similar shares of failures, no single backend is at fault, and no backend is ejected for its share of failures. A backend that accepts no connection
// is ejected at once. Failures during an ejection do not extend it, because the failed requests were in flight before the ejection.
func (b *Balancer) recordResult(now time.Duration, backend *backendState, failed float64, ending control.Ending) {
	backend.endedRequests++
	backend.failureShare += max(failureSmoothing, 1/float64(backend.endedRequests+1)) * (failed - backend.failureShare)
	b.failureShare += serviceSmoothing * (failed - b.failureShare)
	if failed == 0 {
		backend.recordSuccess(now)
		return
	}
	failing := backend.failureShare >= failureThreshold && backend.failureShare >= failureOutlierFactor*b.failureShare
	if backend.ejectedUntil > now || ending != control.Unreachable && !backend.suspect && !failing {
		return
	}
	backend.ejectionTime = min(max(minEjectionTime, 2*backend.ejectionTime), maxEjectionTime)
	backend.ejectedUntil = now + time.Duration(float64(backend.ejectionTime)*(ejectionJitterBase+ejectionJitter*b.rng.Float64()))
	backend.suspect = true
}

// recordSuccess records a successful request of a backend. A suspect backend is no longer suspect afterwards, and its slow start begins. If the
// backend was not suspect and few of its requests fail, the length of its next ejection is reset to minEjectionTime.
func (b *backendState) recordSuccess(now time.Duration) {
	if b.suspect {
		b.suspect, b.slowStartFrom, b.failureShare = false, now, min(b.failureShare, failureThreshold/2)
	} else if b.failureShare < effectfulFailureThreshold/2 {
		b.ejectionTime = 0
	}
}
