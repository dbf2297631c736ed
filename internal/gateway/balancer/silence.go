package balancer

import (
	"time"

	"clovergap/control"
)

// isUnresponsive reports whether a backend has left requests unanswered for much longer than such requests usually take. If no request was sent to
// the backend for trialInterval, isUnresponsive returns false for an idempotent request, so that this request probes the backend.
func (b *Balancer) isUnresponsive(now time.Duration, backend *backendState, r Request) bool {
	return backend.hasTimedOut(now) && (r.Effectful || now-backend.sentAt < trialInterval)
}

// hasTimedOut reports whether the backend has left requests unanswered for much longer than such requests usually take.
func (b *backendState) hasTimedOut(now time.Duration) bool {
	if b.unanswered == 0 {
		return false
	}
	factor := unresponsiveFactor
	if b.unanswered == 1 {
		factor = singleUnresponsiveFactor
	}
	return now-b.unansweredSince > max(minUnresponsiveTime, b.expectedResponseTime(factor))
}

// unresponsiveTimeout returns the time after which a backend with several unanswered requests is unresponsive.
func (b *backendState) unresponsiveTimeout() time.Duration {
	return max(minUnresponsiveTime, b.expectedResponseTime(unresponsiveFactor))
}

// expectedResponseTime returns factor times the backend's expectedLatency, multiplied by its slowdown. A slowdown below 1 counts as 1, and a
// slowdown above maxSlowdown counts as maxSlowdown.
func (b *backendState) expectedResponseTime(factor float64) time.Duration {
	return time.Duration(factor * max(1, min(b.slowdown, maxSlowdown)) * float64(b.expectedLatency))
}

// IsDead reports whether a backend is dead, so that its requests in flight should be sent to another backend. A dead backend has left at least
// deadUnanswered requests unanswered for long, and other backends have responded during this time. For a backend that is suspect or gone, one unanswered
// request suffices.
func (b *Balancer) IsDead(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	if backend == nil || backend.unanswered == 0 {
		return false
	}
	if backend.unanswered < deadUnanswered && backend.State != control.Gone && !backend.suspect {
		return false
	}
	if backend.unanswered >= deadUnanswered && now-backend.secondUnansweredAt <= backend.expectedResponseTime(deadSecondFactor) {
		return false
	}
	timeout := backend.unresponsiveTimeout()
	return now-backend.unansweredSince > timeout && b.lastResponseAt > backend.unansweredSince+timeout/2
}
