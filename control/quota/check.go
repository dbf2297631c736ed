package quota

import (
	"time"

	"clovergap/control"
)

// Outcome is the result of a check of a request for units.
type Outcome int

// The results of a check.
const (
	// Allowed means that the quota covers the request. If the request can be forwarded, the caller
	// next calls Consume. If the request waits for another resource, the caller next calls Reserve.
	Allowed Outcome = iota
	// Pending means that the request must be checked again. The caller checks it whenever DatagramReceived returns true, and at the
	// returned time.
	Pending
	// Exceeded means that the quota does not cover the request. The quota may cover a retry after the returned duration.
	Exceeded
)

// Request is a request for units of a customer's quota.
type Request struct {
	Units float64 // units that the request consumes if it is allowed
	// Arrived is the clock time at which the request arrived. Every check of the request must pass the same value.
	Arrived time.Duration
	// PendingUntil is the latest clock time at which the caller can still make use of the units: the time by which an answer is wanted, less the
	// work that is left. The request waits for units or for the owner's answer no longer than that.
	PendingUntil time.Duration
	// UnitsAhead is the number of units for which other requests of the customer wait at this gateway. They come before this request.
	UnitsAhead float64
	// RequestsAhead is the number of these requests.
	RequestsAhead int
	// Work is the expected time from the submission of the request to its response. 0 means that the time is unknown.
	Work time.Duration
}

// Check reports whether a customer's quota covers a request. It returns an Outcome and a duration whose meaning depends on the Outcome. A
// customer without a limit is not metered, so its requests are allowed.
//
// With Pending, the duration is the clock time until which the request may wait. With Exceeded, the duration is the
// delay after which enough units may be available. Check takes no units. Consume takes them, and Reserve keeps them for a request
// that has to wait for another resource.
func (l *Limiter) Check(customer control.CustomerID, r Request) (Outcome, time.Duration) {
	a := l.accounts[customer]
	if a == nil {
		return Allowed, 0
	}
	a.lastUsedAt = l.now
	outcome, at, _ := l.checkWithReason(a, r)
	// A request that is allowed or rejected no longer needs a grant. Another pending request of the customer sets unitsWanted again at
	// its next check.
	if outcome != Pending {
		a.unitsWanted = 0
	}
	return outcome, at
}

// checkWithReason does the work of Check for an account. For a request that is not allowed, checkWithReason also returns the reason.
func (l *Limiter) checkWithReason(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	if outcome, at := l.checkHardLimit(a, r); outcome != Allowed {
		return outcome, at, control.ReasonHardLimit
	}
	if a.limit.MaxInFlight > 0 && a.inFlight+a.reservations+l.inFlightElsewhere(a) >= a.limit.MaxInFlight {
		return l.checkWithoutFreeSlot(a, r)
	}
	if a.limit.Rate <= 0 {
		return Allowed, 0, control.ReasonNoUnits
	}
	if a.owner == l.self {
		outcome, at := l.checkAgainstBucket(a, r)
		return outcome, at, control.ReasonNoUnits
	}
	outcome, at := l.checkAgainstSnapshot(a, r)
	return outcome, at, control.ReasonNoSnapshot
}

// checkWithoutFreeSlot decides on a request of a customer that has reached the maximum number of submissions in flight. A request whose turn
// is expected too late, after the requests ahead of it, is rejected at once.
func (l *Limiter) checkWithoutFreeSlot(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	if a.owner != l.self && l.now-a.levelAt > l.answerTimeout(a) {
		// The submissions at other gateways may have ended since the last snapshot. The owner sends the new number of submissions in
		// flight only in answer to a report.
		l.requestSnapshot(a)
	}
	expectedWait := r.Work * time.Duration(r.RequestsAhead+1) / time.Duration(a.limit.MaxInFlight)
	if l.now+expectedWait < r.PendingUntil {
		return Pending, r.PendingUntil, control.ReasonNoSlot
	}
	return Exceeded, expectedWait, control.ReasonNoSlot
}

// checkAgainstBucket decides on a request of a customer whose bucket this gateway owns. A request for which the refill comes too late, after the
// requests ahead of it, is rejected at once.
func (l *Limiter) checkAgainstBucket(a *Account, r Request) (Outcome, time.Duration) {
	l.refillBucket(a)
	left := a.level - l.outstandingGrants(a) - a.reserved - r.UnitsAhead
	if left >= r.Units {
		return Allowed, 0
	}
	after := time.Duration((r.Units - left) / a.limit.Rate * float64(time.Second))
	if l.now+after < r.PendingUntil {
		return Pending, r.PendingUntil
	}
	return Exceeded, after
}

// remoteView holds the values with which this gateway checks one request of a customer whose bucket another gateway owns.
type remoteView struct {
	age             time.Duration // time since the arrival of the owner's last snapshot
	fresh           bool          // the owner's last snapshot is recent enough to be used
	scarce          bool          // one request of this size at each recent reporter would need more units than are left
	notInSnapshot   float64       // units consumed or reserved at this gateway that the snapshot's level still includes
	burstShare      float64       // upper bound of notInSnapshot, in units
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
	// A scarce snapshot (see remoteView) is used only for the time of one answer, so that it serves the requests that waited for it.
	// With a longer time, each gateway of a set of a hundred gateways would consume its share of an empty bucket.
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
	if v.fresh && v.allowanceCovers && a.level-v.notInSnapshot >= r.Units && v.notInSnapshot+r.Units <= v.burstShare {
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
	return Exceeded, time.Duration((r.Units - max(0, a.level-v.notInSnapshot)) / a.limit.Rate * float64(time.Second))
}

// checkWithStaleSnapshot handles a request for which this gateway has no fresh snapshot. It requests a new snapshot from the owner. If
// the state that this gateway has is enough for a decision, decided is true. If decided is false, the request must wait for the
// owner's answer or be rejected.
func (l *Limiter) checkWithStaleSnapshot(a *Account, r Request, v remoteView) (outcome Outcome, at time.Duration, decided bool) {
	l.requestSnapshot(a)
	unresponsive := l.ownerUnresponsive(a)
	if unresponsive && l.config.Strict {
		if v.allowanceCovers {
			return Allowed, 0, true
		}
		return Exceeded, time.Duration(r.Units / a.limit.Rate * float64(l.gatewayCount) * float64(time.Second)), true
	}
	// While the owner is unresponsive, the burst share grows at the rate divided by the number of reachable reporters. So the
	// remaining gateways together allow the whole rate after the loss of a zone.
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
// is raised by this gateway's part of the refill since the arrival of the snapshot. If the raised level is too low for the request, the
// snapshot does not cover the request. Without this condition, many gateways would each consume a share of an empty bucket every second.
// A scarce snapshot covers a request only if the owner was asked before v.deadline and has not answered by v.deadline. If there is no
// snapshot yet, only the condition for a scarce snapshot applies.
func (l *Limiter) staleSnapshotCovers(a *Account, r Request, v remoteView) bool {
	left := a.level + a.limit.Rate*v.age.Seconds()/float64(max(a.reporterCount, 1)) - v.notInSnapshot
	if a.hasSnapshot && left < r.Units {
		return false
	}
	unanswered := l.now >= v.deadline && a.snapshotRequestedAt > 0 && a.snapshotRequestedAt < v.deadline
	return !v.scarce || unanswered
}

// burstShare returns the number of units that this gateway may consume against a snapshot before the owner acknowledges the units. The
// result is the lesser of the burst and lowLevelFactor times the snapshot's level, divided by the number of recent reporters. The
// result is at least requestUnits, so that one request is never larger than the burst share. If there is no snapshot, the result depends
// only on the burst.
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

// answerDeadline returns the clock time until which a request waits for the owner's answer.
func (l *Limiter) answerDeadline(a *Account, r Request) time.Duration {
	return min(r.Arrived+ownerAttempts*l.answerTimeout(a), r.PendingUntil)
}

// ownerUnresponsive reports whether the owner has sent nothing for more than ownerAttempts answer time-outs (answerTimeout) while a
// snapshot was requested. The time before the end of this process's last pause does not count.
func (l *Limiter) ownerUnresponsive(a *Account) bool {
	return l.now-max(a.snapshotRequestedAt, l.peers[a.owner].receivedAt, l.pausedUntil) > ownerAttempts*l.answerTimeout(a)
}

// reachableReporterCount returns the number of gateways among which the rate is divided while the owner is unresponsive. The result is
// the number of recent reporters less the lost gateways. A gateway counts as lost if it has sent nothing for longer than peerLostAfter
// while this gateway waited for its acknowledgement. A gateway that owes no acknowledgement is not counted as lost, because two gateways
// of a large set may have nothing to send to each other for a long time.
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
