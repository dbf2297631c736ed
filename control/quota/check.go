package quota

import (
	"time"

	"clovergap/control"
)

// Outcome is the answer to a request for units.
type Outcome int

// The answers to a request for units.
const (
	// Allowed: the units are there; Consume or Reserve takes them.
	Allowed Outcome = iota
	// Pending: ask again when DatagramReceived reports news, and at the time given.
	Pending
	// Exceeded: not covered; it may be worth coming again after the duration given.
	Exceeded
)

// Request asks for units of a customer's quota.
type Request struct {
	Units     float64
	Arrived   time.Duration // time of the clock; the same each time that the request is checked
	SLA       time.Duration // the time in which an answer has its full value: a share of it may be spent waiting
	LateRetry bool          // a client's retry that comes late: it leaves a low bucket to others
}

// Check tells whether a customer's quota covers a request. A customer without a limit is not metered. With Pending comes the time of
// the clock until which to wait at most, with Exceeded the duration after which there may be units. It takes nothing: Consume, or Reserve
// for a request that waits for something else, does.
func (l *Limiter) Check(c control.CustomerID, r Request) (Outcome, time.Duration) {
	a := l.accounts[c]
	if a == nil {
		return Allowed, 0
	}
	a.usedAt = l.now
	outcome, at, _ := l.check(a, r)
	if outcome != Pending { // nothing is granted for what does not wait any more; another request that waits asks for itself
		a.unitsWanted = 0
	}
	return outcome, at
}

// check is Check, with what was lacking if the request is not allowed.
func (l *Limiter) check(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	latest := r.Arrived + time.Duration(unitTimeoutShare*float64(r.SLA))
	if allowed, at := l.checkHardLimit(a, r); !allowed {
		if at < latest {
			return Pending, latest, control.ReasonHardLimit
		}
		return Exceeded, at - l.now, control.ReasonHardLimit
	}
	if a.limit.MaxInFlight > 0 && a.inFlight+a.reservations+l.inFlightElsewhere(a) >= a.limit.MaxInFlight {
		return l.checkSlots(a, latest)
	}
	if a.limit.Rate <= 0 {
		return Allowed, 0, control.ReasonNoUnits
	}
	if a.owner == l.self {
		outcome, at := l.checkBucket(a, r, latest)
		return outcome, at, control.ReasonNoUnits
	}
	outcome, at := l.checkSnapshot(a, r)
	return outcome, at, control.ReasonNoSnapshot
}

// checkSlots answers where as many submissions of the customer are in flight as may be.
func (l *Limiter) checkSlots(a *Account, latest time.Duration) (Outcome, time.Duration, control.Reason) {
	if a.owner != l.self && l.now-a.levelAt > l.answerTimeout(a) {
		l.requestSnapshot(a) // what others had in flight ended long ago, but nobody tells a gateway that sends nothing
	}
	if l.now < latest {
		return Pending, latest, control.ReasonNoSlot
	}
	return Exceeded, 0, control.ReasonNoSlot
}

// checkBucket decides by a bucket that is owned here.
func (l *Limiter) checkBucket(a *Account, r Request, latest time.Duration) (Outcome, time.Duration) {
	l.refill(a)
	left := a.level - l.outstandingGrants(a)
	if left-a.reserved >= l.required(a, r) {
		return Allowed, 0
	}
	after := time.Duration((l.required(a, r) - left) / a.limit.Rate * float64(time.Second))
	if l.now+after < latest && !r.LateRetry {
		return Pending, latest
	}
	return Exceeded, after
}

// required is what a level must hold for a request. A client's retry, which mostly comes late, leaves a low bucket to first attempts.
func (l *Limiter) required(a *Account, r Request) float64 {
	if r.LateRetry {
		return r.Units + retryReserveShare*a.limit.Burst
	}
	return r.Units
}

// remoteView is what a gateway knows, for one request, of a bucket that it does not own.
type remoteView struct {
	age      time.Duration // of the snapshot
	fresh    bool          // the snapshot may be used
	tight    bool          // one such request from each reporter would be more than is left
	pending  float64       // units consumed or reserved here that the snapshot doesn't know of
	share    float64       // units that may be so
	allowed  bool          // in strict mode: the allowance covers the request
	deadline time.Duration // until then a request waits for the owner's answer
}

func (l *Limiter) viewOf(a *Account, r Request) remoteView {
	v := remoteView{
		age: l.now - a.levelAt, pending: a.unacked + a.unreported + a.reserved,
		share: a.burstShare(r.Units), allowed: true, deadline: l.answerDeadline(a, r),
	}
	if l.config.Strict {
		v.allowed = l.allowanceNow(a)-a.reserved >= r.Units
	}
	left, ttl := a.limit.Burst, l.config.SnapshotTTL
	if a.hasSnapshot {
		left = min(left, max(a.level, 0))
	}
	// A tight snapshot is good only for the requests that wait for it: with a set of a hundred gateways each would else consume its
	// share of a used-up bucket.
	if v.tight = r.Units*float64(a.reporters) > left; v.tight {
		ttl = l.answerTimeout(a)
	}
	v.fresh = a.hasSnapshot && v.age < ttl
	return v
}

// checkSnapshot decides for a customer whose bucket another gateway owns.
func (l *Limiter) checkSnapshot(a *Account, r Request) (Outcome, time.Duration) {
	if l.config.Strict && l.currentGrant(a)-a.reserved >= r.Units {
		return Allowed, 0
	}
	v := l.viewOf(a, r)
	if v.fresh && v.allowed && a.level-v.pending >= l.required(a, r) && v.pending+r.Units <= v.share {
		return Allowed, 0
	}
	if !v.fresh {
		if outcome, at, decided := l.checkStale(a, r, v); decided {
			return outcome, at
		}
	}
	// The owner may have more by now than the snapshot says.
	more := (!v.allowed || v.age > l.answerTimeout(a)) && a.level+a.limit.Rate*v.age.Seconds()-v.pending >= r.Units
	if l.now < v.deadline && (!v.fresh || more || v.pending+r.Units > v.share) {
		l.requestSnapshot(a)
		a.unitsWanted = max(a.unitsWanted, r.Units)
		return Pending, v.deadline
	}
	return Exceeded, time.Duration((l.required(a, r) - max(0, a.level-v.pending)) / a.limit.Rate * float64(time.Second))
}

// checkStale asks the owner for a snapshot, and decides without one where it can.
func (l *Limiter) checkStale(a *Account, r Request, v remoteView) (outcome Outcome, at time.Duration, decided bool) {
	l.requestSnapshot(a)
	unresponsive := l.ownerUnresponsive(a)
	if unresponsive && l.config.Strict {
		if v.allowed {
			return Allowed, 0, true
		}
		return Exceeded, time.Duration(r.Units / a.limit.Rate * float64(l.gateways) * float64(time.Second)), true
	}
	// While the owner is unresponsive the share grows at the rate, divided by the recent reporters without those that are lost: so the
	// survivors of a lost zone serve the whole quota between them.
	share := v.share
	if unresponsive {
		share += a.limit.Rate / float64(l.reachableReporters(a)) * (l.now - a.requestedAt).Seconds()
	}
	if v.allowed && v.pending+r.Units <= share && (unresponsive || l.staleCovers(a, r, v)) {
		return Allowed, 0, true
	}
	return Pending, 0, false
}

// staleCovers tells whether an old snapshot, with this gateway's part of the refill since, covers a request, although the owner answers: else
// many gateways would each consume a share every second of a used-up bucket. A tight one does so only once the owner was asked in good time and has not
// answered.
func (l *Limiter) staleCovers(a *Account, r Request, v remoteView) bool {
	left := a.level + a.limit.Rate*v.age.Seconds()/float64(max(a.reporters, 1)) - v.pending
	if a.hasSnapshot && left < l.required(a, r) {
		return false
	}
	unanswered := l.now >= v.deadline && a.requestedAt > 0 && a.requestedAt < v.deadline && !r.LateRetry
	return !v.tight || unanswered
}

// burstShare is what may be consumed against a snapshot before it is acknowledged: the burst, or twice a low level, divided by
// the recent reporters, but one request's units at the least.
func (a *Account) burstShare(units float64) float64 {
	left := a.limit.Burst
	if a.hasSnapshot {
		left = min(left, lowBucketSplit*max(a.level, 0))
	}
	return max(left/float64(max(a.reporters, 1)), units)
}

// answerTimeout is the time within which a healthy owner answers.
func (l *Limiter) answerTimeout(a *Account) time.Duration {
	return snapshotTimeout + l.interval + l.peers[a.owner].interval
}

// answerDeadline is the time until which a request waits for the owner's answer.
func (l *Limiter) answerDeadline(a *Account, r Request) time.Duration {
	return r.Arrived + min(ownerAttempts*l.answerTimeout(a), time.Duration(snapshotTimeoutShare*float64(r.SLA)))
}

// ownerUnresponsive tells whether an owner was asked and nothing came from it for as long as a healthy one takes.
func (l *Limiter) ownerUnresponsive(a *Account) bool {
	return l.now-max(a.requestedAt, l.peers[a.owner].receivedAt, l.pausedUntil) > ownerAttempts*l.answerTimeout(a)
}

// reachableReporters counts the gateways that share an unresponsive owner's rate. One that owes an acknowledgement for long is lost. From
// the others of a wide set nothing may come for long either, which proves nothing.
func (l *Limiter) reachableReporters(a *Account) int {
	n := a.reporters
	for i := range a.setWidth {
		p := l.peers[(int(a.setFirst)+i)%l.gateways]
		if len(p.unacked) > 0 && l.now-max(p.unackedSince, p.receivedAt, l.pausedUntil) > peerLostAfter {
			n--
		}
	}
	return max(n, 1)
}
