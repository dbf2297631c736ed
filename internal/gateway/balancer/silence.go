package balancer

import (
	"time"

	"clovergap/control"
)

// unresponsive reports whether a backend has left requests unanswered for longer than they usually take. It returns false for one idempotent
// request each trialInterval, which probes the backend.
func (b *Balancer) unresponsive(now time.Duration, backend *backendState, r Request) bool {
	if backend.unanswered == 0 {
		return false
	}
	factor := unresponsiveFactor
	if backend.unanswered == 1 {
		factor = singleUnresponsiveFactor
	}
	if now-backend.unansweredSince <= max(minUnresponsiveTime, backend.expectedTime(factor)) {
		return false
	}
	return r.Effectful || now-backend.sentAt < trialInterval
}

// unresponsiveTime returns the time after which a backend with several unanswered requests is unresponsive.
func (b *backendState) unresponsiveTime() time.Duration {
	return max(minUnresponsiveTime, b.expectedTime(unresponsiveFactor))
}

// expectedTime returns a multiple of the typical latency of the unanswered requests, scaled by the backend's slowdown.
func (b *backendState) expectedTime(factor float64) time.Duration {
	return time.Duration(factor * max(1, min(b.slowdown, maxSlowdown)) * float64(b.expectedLatency))
}

// Dead reports whether a request in flight at a backend is not worth waiting for. This is so if the backend has left several requests, or one
// if it is suspect or gone, unanswered for long while other backends have responded.
func (b *Balancer) Dead(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	if backend == nil || backend.unanswered == 0 {
		return false
	}
	if backend.unanswered < deadUnanswered && backend.State != control.Gone && !backend.suspect {
		return false
	}
	if backend.unanswered >= deadUnanswered && now-backend.secondUnansweredAt <= backend.expectedTime(deadSecondFactor) {
		return false
	}
	timeout := backend.unresponsiveTime()
	return now-backend.unansweredSince > timeout && b.lastResponseAt > backend.unansweredSince+timeout/2
}
