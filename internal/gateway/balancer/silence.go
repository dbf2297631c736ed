package balancer

import (
	"time"

	"clovergap/control"
)

// unresponsive tells whether a backend owes answers for longer than such requests take. Now and then an idempotent request tries it all the same.
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

// unresponsiveTime is after how long a backend that owes several answers is unresponsive.
func (b *backendState) unresponsiveTime() time.Duration {
	return max(minUnresponsiveTime, b.expectedTime(unresponsiveFactor))
}

// expectedTime is a number of times the usual answer time of what a backend owes, at its speed.
func (b *backendState) expectedTime(factor float64) time.Duration {
	return time.Duration(factor * max(1, min(b.slowdown, maxSlowdown)) * float64(b.expectedLatency))
}

// Dead tells whether what is in flight at a backend is not worth waiting for: it owes several answers for long, or one where it is suspect or gone,
// and others have answered meanwhile.
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
	return now-backend.unansweredSince > timeout && b.answeredAt > backend.unansweredSince+timeout/2
}
