package quota

import (
	"time"

	"clovergap/control"
)

// Outcome is what the quota says of a wish.
type Outcome int

// What a quota may say to a request.
const (
	Allowed  Outcome = iota
	Pending          // ask again when something was heard, and at the time given
	Exceeded         // no; it may be worth coming again after the time given
)

// Request is what one txn or request asks of its customer's quota.
type Request struct {
	Units   float64
	Arrived time.Duration // a time of the clock
	SLA     time.Duration // within it the answer is worth most: a part of it may be waited for units
	Late    bool          // a repeat that comes late: it leaves low buckets to others
}

// Check tells whether a customer's quota covers a wish: now, perhaps until a time of the clock, or not,
// and then after how long there may be some. A customer without a limit is not metered. What passes is to be
// told by Spend, or by Keep while it waits for something else. What waits is asked for again when DatagramReceived
// brings news and at the time given, with Arrived as it was.
//
// By parts, what all gateways spend together in a window is bounded, whoever is cut off from whom, and whoever starts again:
// rate x Window + burst from buckets, and what the rule leaves beyond it, a part of that for each gateway (allowanceNow). What
// covers a wish at another gateway than the owner is either lent or that gateway's part. docs/gateway.md has why it holds.
//
// Otherwise the terms are Gateway's: a gateway alone spends its share of the burst at once, and then the rate over those
// gateways that it does not know to be lost. Over all gateways that may be twice the quota and more.
func (l *Limiter) Check(c control.CustomerID, w Request) (Outcome, time.Duration) {
	a := l.accounts[c]
	if a == nil {
		return Allowed, 0
	}
	a.usedAt = l.now
	verdict, at, _ := l.check(a, w)
	if verdict != Pending { // nothing is lent for what does not wait any more; another that waits asks for itself
		a.unitsWanted = 0
	}
	return verdict, at
}

// check tells whether the quota covers a txn now, may cover it soon, or does not; and what it lacks if not.
func (l *Limiter) check(a *Account, w Request) (Outcome, time.Duration, control.Reason) {
	last := w.Arrived + time.Duration(unitTimeoutShare*float64(w.SLA))
	if ok, until := l.checkHardLimit(a, w); !ok {
		if until < last {
			return Pending, last, control.ReasonHardLimit
		}
		return Exceeded, until - l.now, control.ReasonHardLimit
	}
	if a.limit.MaxInFlight > 0 && a.inFlight+a.reservations+l.inFlightElsewhere(a) >= a.limit.MaxInFlight {
		if a.owner != l.self && l.now-a.levelAt > l.answerTimeout(a) {
			l.requestSnapshot(a) // what others had out is long ended, but nobody tells a gateway that keeps still
		}
		if l.now < last {
			return Pending, last, control.ReasonNoSlot
		}
		return Exceeded, 0, control.ReasonNoSlot
	}
	if a.limit.Rate <= 0 {
		return Allowed, 0, control.ReasonNoUnits
	}
	if a.owner == l.self {
		l.refill(a)
		left := a.level - l.outstandingGrants(a)
		if left-a.reserved >= l.required(a, w) {
			return Allowed, 0, control.ReasonNoUnits
		}
		due := time.Duration((l.required(a, w) - left) / a.limit.Rate * float64(time.Second))
		if l.now+due < last && !w.Late {
			return Pending, last, control.ReasonNoUnits
		}
		return Exceeded, due, control.ReasonNoUnits
	}
	verdict, at := l.checkSnapshot(a, w)
	return verdict, at, control.ReasonNoSnapshot
}

// required is what must be left for a txn: a client's repeat, which mostly comes late, leaves a low bucket to
// first tries.
func (l *Limiter) required(a *Account, w Request) float64 {
	if w.Late {
		return w.Units + retryReserveShare*a.limit.Burst
	}
	return w.Units
}

// checkSnapshot decides for a customer that another gateway owns.
func (l *Limiter) checkSnapshot(a *Account, w Request) (Outcome, time.Duration) {
	share, bare := a.burstShare(w.Units), true
	if l.config.Strict && l.currentGrant(a)-a.reserved >= w.Units {
		return Allowed, 0
	} else if l.config.Strict {
		bare = l.allowanceNow(a)-a.reserved >= w.Units
	}
	pending := a.unacked + a.unreported + a.reserved
	age := l.now - a.levelAt
	until := l.answerDeadline(a, w)
	most, life := a.limit.Burst, l.config.SnapshotTTL
	if a.hasSnapshot {
		most = min(most, max(a.level, 0))
	}
	// Where one such txn for each gateway is more than is left, a view is good only for the txns that wait for
	// it: with a set of a hundred gateways each would else spend its allowance on a used-up bucket.
	tight := w.Units*float64(a.reporters) > most
	if tight {
		life = l.answerTimeout(a)
	}
	fresh := a.hasSnapshot && age < life
	if fresh && bare && a.level-pending >= l.required(a, w) && pending+w.Units <= share {
		return Allowed, 0
	}
	if !fresh {
		l.requestSnapshot(a)
		// While the owner is silent the allowance grows at the rate, shared by the recent reporters but for those
		// found lost: the survivors of a lost zone then serve the whole quota between them.
		silent := l.ownerUnresponsive(a)
		if silent && l.config.Strict {
			if bare {
				return Allowed, 0
			}
			return Exceeded, time.Duration(w.Units / a.limit.Rate * float64(l.gateways) * float64(time.Second))
		}
		if silent {
			share += a.limit.Rate / float64(l.reachableReporters(a)) * (l.now - a.requestedAt).Seconds()
		}
		// An owner that answers is asked first if its last word, with this gateway's part of the refill since,
		// does not cover the txn: else many gateways would each spend an allowance a second on a used-up bucket.
		left := a.level + a.limit.Rate*age.Seconds()/float64(max(a.reporters, 1)) - pending
		enough := !a.hasSnapshot || left >= l.required(a, w)
		// Asked in good time and not answered: the allowance is there for that.
		unanswered := l.now >= until && a.requestedAt > 0 && a.requestedAt < until && !w.Late
		if bare && pending+w.Units <= share && (silent || !tight && enough || unanswered && enough) {
			return Allowed, 0
		}
	}
	more := (!bare || age > l.answerTimeout(a)) && a.level+a.limit.Rate*age.Seconds()-pending >= w.Units
	if l.now < until && (!fresh || more || pending+w.Units > share) {
		l.requestSnapshot(a)
		a.unitsWanted = max(a.unitsWanted, w.Units)
		return Pending, until
	}
	return Exceeded, time.Duration((l.required(a, w) - max(0, a.level-pending)) / a.limit.Rate * float64(time.Second))
}

// burstShare is the floored split cap: the burst divided by the recent reporters, one txn's units at least.
func (a *Account) burstShare(units float64) float64 {
	most := a.limit.Burst
	if a.hasSnapshot {
		most = min(most, lowBucketSplit*max(a.level, 0))
	}
	return max(most/float64(max(a.reporters, 1)), units)
}

// ownerUnresponsive tells that an owner was asked and that nothing was heard of it for as long as a healthy one takes.
func (l *Limiter) ownerUnresponsive(a *Account) bool {
	return l.now-max(a.requestedAt, l.peers[a.owner].receivedAt, l.pausedUntil) > ownerAttempts*l.answerTimeout(a)
}

// answerDeadline is the time until which a txn waits for the owner's word.
func (l *Limiter) answerDeadline(a *Account, w Request) time.Duration {
	return w.Arrived + min(ownerAttempts*l.answerTimeout(a), time.Duration(snapshotTimeoutShare*float64(w.SLA)))
}

// answerTimeout is the time within which an owner that is well answers.
func (l *Limiter) answerTimeout(a *Account) time.Duration {
	return snapshotTimeout + l.interval + l.peers[a.owner].interval
}

// reachableReporters counts the gateways that share a silent owner's rate. One that was written to and has not been
// heard since is lost; of the others a wide set's gateways hear little, and that is no sign.
func (l *Limiter) reachableReporters(a *Account) int {
	n := a.reporters
	for i := 0; i < a.setWidth; i++ {
		p := l.peers[(int(a.setFirst)+i)%l.gateways]
		if len(p.unacked) > 0 && l.now-max(p.unackedSince, p.receivedAt, l.pausedUntil) > peerLostAfter {
			n--
		}
	}
	return max(n, 1)
}
