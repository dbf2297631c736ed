// A customer's account here: the bucket or the view of it, what was lent, reported and spent of it.

package control

import (
	"math"
	"time"
)

// Account is one customer here: the bucket if this gateway owns it, the view if not.
type Account struct {
	id                  CustomerID
	limit               *Limit
	planID              PlanID
	owner               GatewayID
	setFirst            GatewayID // of the set
	setWidth            int
	placed              bool
	usedAt              time.Duration
	inFlight            int     // submissions out from here
	reserved            float64 // units of txns that are covered and wait for a backend
	reservations        int     // and how many these are
	level               float64 // owner: remaining; other: the snapshot's remaining
	levelAt             time.Duration
	hasSnapshot         bool // a snapshot has come
	version             uint64
	reports             []*report
	exhausted           bool // exhaustion told
	unreported          float64
	unacked             float64
	dirty               bool
	reportedAt          time.Duration // last part of a delta
	requestedAt         time.Duration // oldest ask without an answer
	reporters           int
	inFlightElsewhere   int
	hardShare           float64 // ceiling's part left
	hardShareAt         time.Duration
	inSet               bool
	hardWanted          float64 // of the ceiling, to ask the owner for
	unitsWanted         float64 // units that a txn waits for
	allowance           float64 // by parts: units that it may spend without the owner's word
	allowanceAt         time.Duration
	allowanceUsed       float64       // spent so, and not known to be covered or lost
	allowanceUnreported float64       // of unsent
	usedIsolated        bool          // spent of its part alone, and not all of that is acknowledged
	ackedSince          time.Duration // the owner has heard of it since then at the least
	allowanceAcked      float64       // acknowledged: the owner's next figures tell whether they were covered
	granted             float64       // units that the owner holds for this gateway
	grantedAt           time.Duration
	grantUsed           float64 // spent or let go, and not yet told
}

type report struct {
	from          GatewayID
	snapshotLevel float64 // told last
	receivedAt    time.Duration
	inFlight      int
	hardWanted    float64 // of the ceiling
	unitsWanted   float64 // units that a txn waits for
	granted       float64 // told that it may spend them, and not yet reported; by parts: lent
	grantedAt     time.Duration
	withheld      float64 // of the rate: kept for it while it is silent
}

// addInFlight counts submissions out.
func (l *Limiter) addInFlight(a *Account, n int) {
	a.inFlight += n
	l.inFlightChanged(a)
}

// account finds or makes the account of a customer.
func (l *Limiter) account(id CustomerID, pl PlanID) *Account {
	a := l.accounts[id]
	if a == nil {
		a = &Account{id: id, planID: pl, owner: l.self, reporters: 1, usedAt: l.now, allowanceAt: l.now}
		if l.plans.Limit != nil {
			a.limit = l.plans.Limit(pl)
			a.level, a.levelAt = l.initialLevel(a), l.now
		}
		a.hardShare, a.hardShareAt = 0, l.startedAt
		l.accounts[id] = a
		l.ordered = append(l.ordered, a)
	}
	return a
}

func (l *Limiter) scheduleReport(a *Account) {
	if !a.dirty && a.owner != l.self {
		a.dirty = true
		p := l.peers[a.owner]
		p.dirty = append(p.dirty, a)
		l.schedulePeer(p)
	}
}

func (l *Limiter) inFlightChanged(a *Account) {
	if a.limit.MaxInFlight > 0 {
		l.scheduleReport(a)
	}
}

// recentReporters counts the gateways that reported lately, and, but for one of them, their submissions out and
// the units they have just been told of.
func (l *Limiter) recentReporters(a *Account, but *peer) (n, out int, told float64) {
	for _, r := range a.reports {
		if l.now-r.receivedAt < reporterTTL {
			n++
			if but != nil && r.from == but.id {
				continue
			}
			out += r.inFlight
			if !l.config.Strict && l.now-r.grantedAt < l.answerTimeout(a) {
				told += r.granted
			}
		}
	}
	return n, out, told
}

// outstandingGrants is what is lent of an owned bucket, and may have been spent. A gateway that is silent for a window more has
// spent it before that, or let go of it.
func (l *Limiter) outstandingGrants(a *Account) (units float64) {
	if l.config.Strict {
		for _, r := range a.reports {
			if l.now-r.grantedAt >= grantMaxAge {
				r.granted = 0
			}
			units += r.granted
		}
	}
	return units
}

// currentGrant is what this gateway has of what the owner lent it. What is not used soon it lets go.
func (l *Limiter) currentGrant(a *Account) float64 {
	if l.now-a.grantedAt >= grantTTL {
		a.granted, a.grantUsed = 0, a.grantUsed+a.granted
	}
	return a.granted
}

// confirmAllowance settles acknowledged units that were spent on no word: where the owner has units left, they were covered.
func (l *Limiter) confirmAllowance(a *Account, left float64) {
	back := min(a.allowanceAcked, a.allowanceUsed)
	if l.allowanceNow(a); left > 0 {
		a.allowance += back
	}
	a.allowanceAcked, a.allowanceUsed = 0, a.allowanceUsed-back
}

// releaseWithheld puts of a reporter's part of the rate into the bucket.
func (l *Limiter) releaseWithheld(a *Account, r *report, units float64) {
	if units = min(units, r.withheld); units > 0 {
		a.level, r.withheld = min(a.limit.Burst, a.level+units), r.withheld-units
	}
}

// report finds or makes what a gateway reported of a customer.
func (a *Account) report(from GatewayID) *report {
	for _, r := range a.reports {
		if r.from == from {
			return r
		}
	}
	r := &report{from: from, receivedAt: -reporterTTL}
	a.reports = append(a.reports, r)
	return r
}

// InFlightElsewhere is how many submissions other gateways have out for a customer, as far as told.
func (l *Limiter) inFlightElsewhere(a *Account) int {
	if a.owner == l.self {
		_, out, _ := l.recentReporters(a, nil)
		return out
	}
	return a.inFlightElsewhere
}

// assignOwner works out the owner: rendezvous hashing over the customer's set, the same at every gateway.
func (l *Limiter) assignOwner(a *Account, setFirst GatewayID, width int) {
	width = min(max(width, 1), l.gateways)
	first := GatewayID(max(int(setFirst), 0) % l.gateways)
	if a.placed && a.setFirst == first && a.setWidth == width {
		return
	}
	if a.placed { // a peer had told another set: what this one had of a ceiling by it is void
		a.hardShare, a.hardShareAt = 0, l.now
	}
	a.placed, a.setFirst, a.setWidth, a.reporters = true, first, width, width
	a.owner = OwnerOf(a.id, first, a.setWidth, l.gateways)
	a.inSet = (int(l.self-first)%l.gateways+l.gateways)%l.gateways < a.setWidth
	if a.owner != l.self {
		a.level, a.hasSnapshot = 0, false
	}
}

// hardShareNow brings this gateway's part of a ceiling up to now.
func (l *Limiter) hardShareNow(a *Account) float64 {
	fill := a.limit.HardRate * l.hardFraction(a) * (l.now - a.hardShareAt).Seconds()
	a.hardShare, a.hardShareAt = min(l.hardShareCap(a), a.hardShare+fill), l.now
	return a.hardShare
}

// hardShareCap is what it holds at most.
func (l *Limiter) hardShareCap(a *Account) float64 { return a.limit.HardBurst * l.hardFraction(a) }

// refill brings an owned bucket up to now.
func (l *Limiter) refill(a *Account) {
	if l.now >= a.levelAt {
		a.level = min(a.limit.Burst, a.level+l.refillAmount(a, l.now-a.levelAt))
		a.levelAt = l.now
	}
}

// initialLevel is what a bucket that was empty when this gateway started holds by now.
func (l *Limiter) initialLevel(a *Account) float64 {
	level := a.limit.Rate * max(0, l.now-l.ownersSince-l.config.OwnershipDelay).Seconds()
	if l.freshCluster && l.olderPeers == 0 {
		level += l.initialFill(a)
	}
	return min(a.limit.Burst, level)
}

// initialFill is what a bucket begins with in a fleet that is all new.
func (l *Limiter) initialFill(a *Account) float64 {
	start := l.config.InitialFill * a.limit.Burst
	if l.config.Strict {
		start = min(start, a.limit.Rate*maxInitialFill.Seconds())
	}
	return start
}

// requestSnapshot makes the account part of the next delta, with nought if need be, unless a question is on its way.
func (l *Limiter) requestSnapshot(a *Account) {
	if a.requestedAt == 0 {
		a.requestedAt = l.now
	} else if l.now-a.reportedAt < l.answerTimeout(a) {
		return
	}
	l.scheduleReport(a)
}

// reportedInFlight is what a delta tells beside units: submissions out; by parts, after a time alone, what may be part of that and is
// yet to be told of or acknowledged, but for the delta's own.
func (l *Limiter) reportedInFlight(a *Account, but float64) int {
	switch {
	case !l.config.Strict:
		return a.inFlight
	case a.unacked <= 0:
		a.usedIsolated = false
	case a.usedIsolated:
		return int(math.Ceil(max(0, a.unacked+a.unreported-but)))
	}
	return 0
}

// consume draws units from the bucket, the view and the ceiling's part.
func (l *Limiter) consume(a *Account, units float64) {
	if a.limit.HardRate > 0 {
		a.hardShare -= units
	}
	if a.limit.Rate <= 0 {
		return
	}
	if a.owner == l.self {
		l.refill(a)
		l.draw(a, units)
		return
	}
	if l.config.Strict {
		l.consumeRemote(a, units)
	}
	a.unreported += units
	l.scheduleReport(a)
}

// consumeRemote takes units of what is lent or, where that is not enough, of what may be spent on no word.
func (l *Limiter) consumeRemote(a *Account, units float64) {
	if l.currentGrant(a) >= units {
		a.granted, a.grantUsed = a.granted-units, a.grantUsed+units
		return
	}
	l.allowanceNow(a)
	if a.allowance -= units; l.isolatedFrom(a) >= l.now {
		a.allowanceUsed, a.allowanceUnreported = a.allowanceUsed+units, a.allowanceUnreported+units
	} else {
		a.usedIsolated = true
	}
}

// withholdsEarly tells whether parts of the rate are kept for gateways that have just fallen silent. Of a small quota they come to
// nothing in that time, and to keep them would only delay it.
func (l *Limiter) withholdsEarly(a *Account) bool {
	return a.limit.Rate >= minWithholdRate*float64(l.gateways)
}

// isolatedFrom is when this gateway's part of the rate is its own, or later than now. The owner is silent, and either lost for
// so long that it knows that of this gateway too, or it was told of the customer shortly before: then it keeps the part.
func (l *Limiter) isolatedFrom(a *Account) time.Duration {
	p, asked := l.peers[a.owner], a.requestedAt
	for _, f := range p.unacked {
		if asked == 0 || f.firstSentAt < asked {
			asked = f.firstSentAt
		}
	}
	if asked == 0 {
		return l.now
	}
	from := max(asked, p.receivedAt, l.pausedUntil) + ownerAttempts*l.answerTimeout(a)
	if l.withholdsEarly(a) && a.ackedSince > 0 && asked-a.ackedSince < recentReport {
		return from
	}
	if p.unreachableSince == 0 {
		return l.now
	}
	return max(from, p.unreachableSince+reachabilityLag)
}

// ---- What a front door asks of an account; callers by customer use Check, Reserve and so on.

// Account finds or makes the account of a txn's customer, with the set of gateways that the txn names.
func (l *Limiter) Account(id CustomerID, plan PlanID, setFirst GatewayID, setWidth int) *Account {
	a := l.account(id, plan)
	l.assignOwner(a, setFirst, setWidth)
	a.usedAt = l.now
	return a
}

// Plan is the customer's plan, as it was when the account was made.
func (a *Account) Plan() PlanID { return a.planID }

// CheckAccount is Check, and tells besides what the request lacks if it is not covered.
func (l *Limiter) CheckAccount(a *Account, w Request) (Outcome, time.Duration, Reason) {
	return l.check(a, w)
}

// ReserveAccount is Reserve.
func (l *Limiter) ReserveAccount(a *Account, units float64) { l.reserve(a, units) }

// ConsumeAccount is Consume.
func (l *Limiter) ConsumeAccount(a *Account, units float64) { l.consume(a, units) }

// SubmissionSent counts a submission that is out; plans may bound how many of a customer's are.
func (l *Limiter) SubmissionSent(a *Account) { l.addInFlight(a, 1) }

// SubmissionEnded counts one that is out no more.
func (l *Limiter) SubmissionEnded(id CustomerID) {
	if a := l.accounts[id]; a != nil && a.inFlight > 0 {
		l.addInFlight(a, -1)
	}
}
