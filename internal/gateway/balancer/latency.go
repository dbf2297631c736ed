package balancer

import (
	"time"

	"clovergap/control"
)

// latencyEstimate is the typical latency of one kind of request.
type latencyEstimate struct {
	seconds   float64
	responses int           // number of responses that the estimate includes
	updatedAt time.Duration // time of the last response
}

// isCurrent reports whether a response is recent enough for the estimate to be used.
func (l latencyEstimate) isCurrent(now time.Duration) bool {
	return l.responses > 0 && now-l.updatedAt <= latencyTTL
}

// TypicalLatency returns the typical latency of a kind of request, or 0 if no such request was answered yet. current reports whether such a request
// was answered within the last latencyTTL.
func (b *Balancer) TypicalLatency(now time.Duration, kind control.ProductID) (typical time.Duration, current bool) {
	estimate := b.latency[kind]
	return time.Duration(estimate.seconds * float64(time.Second)), estimate.isCurrent(now)
}

// recordLatency adds a response to the typical latency of its kind of request. It returns the response time and the typical latency before the
// response, in seconds. The response time is bounded for the statistics. The first responses have equal weights, so that the first of them does not
// determine the estimate.
func (b *Balancer) recordLatency(now time.Duration, kind control.ProductID, took time.Duration) (tookSeconds, typicalSeconds float64) {
	estimate := b.latency[kind]
	tookSeconds = max(took.Seconds(), minLatencySeconds)
	if !estimate.isCurrent(now) {
		estimate = latencyEstimate{seconds: tookSeconds}
	}
	typicalSeconds = estimate.seconds
	tookSeconds = min(tookSeconds, maxLatencyFactor*typicalSeconds)
	estimate.responses++
	estimate.seconds += max(latencySmoothing, 1/float64(estimate.responses)) * (tookSeconds - typicalSeconds)
	estimate.updatedAt = now
	b.latency[kind] = estimate
	return tookSeconds, typicalSeconds
}

// Concurrency returns the number of this node's requests that the ready backends process at a time now. It follows backends that leave, stop
// responding or join. A request in flight at a backend that has timed out does not count. A backend that would accept a request counts as at least one. The result
// is at least 1, or 0 if there is no ready backend.
func (b *Balancer) Concurrency(now time.Duration) float64 {
	if b.ReadyCount() == 0 {
		return 0
	}
	sum, mayUseOtherZones := 0, b.mayUseOtherZones()
	for _, backend := range b.ordered {
		if backend.ejectedUntil > now || backend.hasTimedOut(now) {
			continue
		}
		requests := backend.inFlight
		if backend.State == control.Ready && backend.backoffUntil <= now && (mayUseOtherZones || b.locality(backend.Zone) == ownZone) {
			requests = max(requests, 1)
		}
		sum += requests
	}
	return max(1, min(float64(sum), b.capacity))
}
