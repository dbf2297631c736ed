package quota

import (
	"time"

	"clovergap/control"
)

// Outcome is the result of a check of a request for units.
type Outcome int

// The results of a check.
const (
	// Allowed means that the quota covers the request. The caller next calls Consume, or Reserve if the request still waits.
	Allowed Outcome = iota
	// Pending means that the request must be checked again, both when DatagramReceived returns true and at the returned time.
	Pending
	// Exceeded means that the quota does not cover the request. The quota may cover a retry after the returned duration.
	Exceeded
)

// Request is a request for units of a customer's quota.
type Request struct {
	Units float64
	// Arrived is the clock time at which the request arrived. Every check of the request must pass the same value.
	Arrived time.Duration
	// SLA is the time from the arrival within which an answer has its full value. The request may wait for a share of this time.
	SLA time.Duration
	// LateRetry marks a late retry by the client. A late retry is allowed only if enough of the bucket is left for first attempts.
	LateRetry bool
}

// Check reports whether a customer's quota covers a request. A customer without a limit is not metered, so its requests are allowed.
//
// With Pending, the returned duration is the clock time until which the request may wait. With Exceeded, the returned duration is the
// delay after which enough units may be available. Check takes no units. Consume takes them, and Reserve keeps them for a request
// that has to wait for another resource.
func (l *Limiter) Check(c control.CustomerID, r Request) (Outcome, time.Duration) {
	a := l.accounts[c]
	if a == nil {
		return Allowed, 0
	}
	a.lastUsedAt = l.now
	outcome, at, _ := l.checkWithReason(a, r)
	// A request that is not pending no longer needs a grant. Another waiting request sets unitsWanted again at its next check.
	if outcome != Pending {
		a.unitsWanted = 0
	}
	return outcome, at
}

// checkWithReason does the work of Check for an account. For a request that is not allowed, checkWithReason also returns the reason.
func (l *Limiter) checkWithReason(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	latest := r.Arrived + time.Duration(unitTimeoutShare*float64(r.SLA))
	if allowed, at := l.checkHardLimit(a, r); !allowed {
		if at < latest {
			return Pending, latest, control.ReasonHardLimit
		}
		return Exceeded, at - l.now, control.ReasonHardLimit
	}
	if a.limit.MaxInFlight > 0 && a.inFlight+a.reservations+l.inFlightElsewhere(a) >= a.limit.MaxInFlight {
		return l.checkWithoutFreeSlot(a, latest)
	}
	if a.limit.Rate <= 0 {
		return Allowed, 0, control.ReasonNoUnits
	}
	if a.owner == l.self {
		outcome, at := l.checkAgainstBucket(a, r, latest)
		return outcome, at, control.ReasonNoUnits
	}
	outcome, at := l.checkAgainstSnapshot(a, r)
	return outcome, at, control.ReasonNoSnapshot
}

// checkWithoutFreeSlot decides on a request of a customer that has reached the maximum number of submissions in flight.
func (l *Limiter) checkWithoutFreeSlot(a *Account, waitUntil time.Duration) (Outcome, time.Duration, control.Reason) {
	if a.owner != l.self && l.now-a.levelAt > l.answerTimeout(a) {
		// The submissions at other gateways may have ended long ago. The owner sends their new number only in answer to a report.
		l.requestSnapshot(a)
	}
	if l.now < waitUntil {
		return Pending, waitUntil, control.ReasonNoSlot
	}
	return Exceeded, 0, control.ReasonNoSlot
}

// checkAgainstBucket decides on a request of a customer whose bucket this gateway owns.
func (l *Limiter) checkAgainstBucket(a *Account, r Request, waitUntil time.Duration) (Outcome, time.Duration) {
	l.refillBucket(a)
	left := a.level - l.outstandingGrants(a)
	if left-a.reserved >= l.requiredLevel(a, r) {
		return Allowed, 0
	}
	after := time.Duration((l.requiredLevel(a, r) - left) / a.limit.Rate * float64(time.Second))
	if l.now+after < waitUntil && !r.LateRetry {
		return Pending, waitUntil
	}
	return Exceeded, after
}

// requiredLevel returns the level that a request needs. First attempts go before retries that usually come too late, so a late retry
// must also leave a part of the bucket for first attempts.
func (l *Limiter) requiredLevel(a *Account, r Request) float64 {
	if r.LateRetry {
		return r.Units + retryReserveShare*a.limit.Burst
	}
	return r.Units
}

// remoteView holds the values with which a gateway checks one request if another gateway owns the bucket.
type remoteView struct {
	age             time.Duration // age of the snapshot
	fresh           bool          // the snapshot is recent enough to be used
	scarce          bool          // one request of this size from each recent reporter would need more units than are left
	notInSnapshot   float64       // units consumed or reserved at this gateway that are not in the snapshot
	burstShare      float64       // upper bound of notInSnapshot
	allowanceCovers bool          // the allowance covers the request (always true without strict mode)
	deadline        time.Duration // end of the wait for the owner's answer
}

// remoteViewFor returns the remoteView of an account for one request.
func (l *Limiter) remoteViewFor(a *Account, r Request) remoteView {
	v := remoteView{
		age: l.now - a.levelAt, notInSnapshot: a.unacked + a.unreported + a.reserved,
		burstShare: a.burstShare(r.Units), allowanceCovers: true, deadline: l.answerDeadline(a, r),
	}
	if l.config.Strict {
		v.allowanceCovers = l.refillAllowance(a)-a.reserved >= r.Units
	}
	left, ttl := a.limit.Burst, l.config.SnapshotTTL
	if a.hasSnapshot {
		left = min(left, max(a.level, 0))
	}
	// A scarce snapshot is valid only for the requests that waited for the snapshot. With a longer validity, each gateway of a set of
	// a hundred would consume its share of an empty bucket.
	if v.scarce = r.Units*float64(a.reporterCount) > left; v.scarce {
		ttl = l.answerTimeout(a)
	}
	v.fresh = a.hasSnapshot && v.age < ttl
	return v
}

// checkAgainstSnapshot decides on a request of a customer whose bucket another gateway owns.
func (l *Limiter) checkAgainstSnapshot(a *Account, r Request) (Outcome, time.Duration) {
	if l.config.Strict && l.currentGrant(a)-a.reserved >= r.Units {
		return Allowed, 0
	}
	v := l.remoteViewFor(a, r)
	if v.fresh && v.allowanceCovers && a.level-v.notInSnapshot >= l.requiredLevel(a, r) && v.notInSnapshot+r.Units <= v.burstShare {
		return Allowed, 0
	}
	if !v.fresh {
		if outcome, at, decided := l.checkWithStaleSnapshot(a, r, v); decided {
			return outcome, at
		}
	}
	// The refill since the snapshot may have raised the level of the owner's bucket.
	ownerMayHaveMore := (!v.allowanceCovers || v.age > l.answerTimeout(a)) && a.level+a.limit.Rate*v.age.Seconds()-v.notInSnapshot >= r.Units
	if l.now < v.deadline && (!v.fresh || ownerMayHaveMore || v.notInSnapshot+r.Units > v.burstShare) {
		l.requestSnapshot(a)
		a.unitsWanted = max(a.unitsWanted, r.Units)
		return Pending, v.deadline
	}
	return Exceeded, time.Duration((l.requiredLevel(a, r) - max(0, a.level-v.notInSnapshot)) / a.limit.Rate * float64(time.Second))
}

// checkWithStaleSnapshot handles a request without a fresh snapshot. It requests a new snapshot from the owner and decides at once if
// the stale state suffices. Otherwise decided is false, and the request must wait for the owner's answer or be rejected.
func (l *Limiter) checkWithStaleSnapshot(a *Account, r Request, v remoteView) (outcome Outcome, at time.Duration, decided bool) {
	l.requestSnapshot(a)
	unresponsive := l.ownerUnresponsive(a)
	if unresponsive && l.config.Strict {
		if v.allowanceCovers {
			return Allowed, 0, true
		}
		return Exceeded, time.Duration(r.Units / a.limit.Rate * float64(l.gatewayCount) * float64(time.Second)), true
	}
	// While the owner is unresponsive, the share grows at the rate divided by the number of reachable reporters. So, after the loss
	// of a zone, the remaining gateways together serve the whole quota.
	share := v.burstShare
	if unresponsive {
		share += a.limit.Rate / float64(l.reachableReporterCount(a)) * (l.now - a.snapshotRequestedAt).Seconds()
	}
	if v.allowanceCovers && v.notInSnapshot+r.Units <= share && (unresponsive || l.staleSnapshotCovers(a, r, v)) {
		return Allowed, 0, true
	}
	return Pending, 0, false
}

// staleSnapshotCovers reports whether an expired snapshot covers a request while the owner is responsive. The level of the snapshot
// is raised by this gateway's part of the refill since then. Without this condition, many gateways would each consume a share of an
// empty bucket every second. A scarce snapshot covers a request only if the owner was asked before the request's deadline and has not
// answered by that deadline.
func (l *Limiter) staleSnapshotCovers(a *Account, r Request, v remoteView) bool {
	left := a.level + a.limit.Rate*v.age.Seconds()/float64(max(a.reporterCount, 1)) - v.notInSnapshot
	if a.hasSnapshot && left < l.requiredLevel(a, r) {
		return false
	}
	unanswered := l.now >= v.deadline && a.snapshotRequestedAt > 0 && a.snapshotRequestedAt < v.deadline && !r.LateRetry
	return !v.scarce || unanswered
}

// burstShare returns the number of units that may be consumed against a snapshot before the owner acknowledges them. This number is
// the lesser of the burst and lowLevelFactor times the level, divided by the number of recent reporters. The result is at least the
// given units of one request.
func (a *Account) burstShare(requestUnits float64) float64 {
	left := a.limit.Burst
	if a.hasSnapshot {
		left = min(left, lowLevelFactor*max(a.level, 0))
	}
	return max(left/float64(max(a.reporterCount, 1)), requestUnits)
}

// answerTimeout returns the time within which a healthy owner answers a report.
func (l *Limiter) answerTimeout(a *Account) time.Duration {
	return snapshotTimeout + l.interval + l.peers[a.owner].interval
}

// answerDeadline returns the time until which a request waits for the owner's answer.
func (l *Limiter) answerDeadline(a *Account, r Request) time.Duration {
	return r.Arrived + min(ownerAttempts*l.answerTimeout(a), time.Duration(snapshotTimeoutShare*float64(r.SLA)))
}

// ownerUnresponsive reports whether the owner has sent nothing for more than ownerAttempts answer time-outs since a snapshot was
// requested.
func (l *Limiter) ownerUnresponsive(a *Account) bool {
	return l.now-max(a.snapshotRequestedAt, l.peers[a.owner].receivedAt, l.pausedUntil) > ownerAttempts*l.answerTimeout(a)
}

// reachableReporterCount returns the number of gateways that share the rate while the owner is unresponsive. A gateway counts as lost
// if an acknowledgement from the gateway has been outstanding for longer than peerLostAfter. Silence of the other gateways proves
// nothing, because in a wide set two gateways may have nothing to send to each other for a long time.
func (l *Limiter) reachableReporterCount(a *Account) int {
	n := a.reporterCount
	for i := range a.setWidth {
		p := l.peers[(int(a.setFirst)+i)%l.gatewayCount]
		if len(p.unacked) > 0 && l.now-max(p.unackedSince, p.receivedAt, l.pausedUntil) > peerLostAfter {
			n--
		}
	}
	return max(n, 1)
}
