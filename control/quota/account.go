package quota

import (
	"time"

	"clovergap/control"
)

// Account is what this gateway keeps of one customer: the bucket if it owns it, the owner's snapshot if not.
type Account struct {
	id     control.CustomerID
	limit  *Limit
	planID control.PlanID
	usedAt time.Duration // when a request last asked for units

	owner    control.GatewayID
	placed   bool              // the set is known
	setFirst control.GatewayID // the set's first gateway,
	setWidth int               // and how many there are
	inSet    bool              // this gateway is one of them

	level   float64       // owner: units in the bucket; otherwise: units in the snapshot
	levelAt time.Duration // owner: of the last refill; otherwise: when the snapshot came

	// Of requests here.
	inFlight     int     // submissions
	reserved     float64 // units that are allowed and wait for something else
	reservations int     // how many these are

	// Owner.
	reports   []*report
	exhausted bool // the recent reporters were sent snapshots without a unit

	// Not the owner: the snapshot.
	hasSnapshot       bool
	version           uint64 // of the snapshot
	reporters         int    // recent ones, this gateway included
	inFlightElsewhere int    // submissions of other gateways

	// Not the owner: reports.
	unreported  float64       // units consumed and not in a delta yet
	unacked     float64       // units in deltas that are not acknowledged
	dirty       bool          // queued for a delta
	reportedAt  time.Duration // when it was last part of one
	requestedAt time.Duration // since when a snapshot is waited for; 0: none is
	ackedSince  time.Duration // sending time of the latest delta that the owner acknowledged
	unitsWanted float64       // units that a pending request needs

	// Hard limit.
	hardShare   float64 // units left of this gateway's part, the owner's pool included
	hardShareAt time.Duration
	hardWanted  float64 // units to ask the owner's pool for

	// Strict mode, not the owner.
	granted             float64 // units that the owner has set aside for this gateway
	grantedAt           time.Duration
	grantUsed           float64 // units of grants consumed or expired, and not reported yet
	allowance           float64 // units that may be consumed without the owner's knowledge
	allowanceAt         time.Duration
	allowanceUsed       float64 // units of it consumed, of which it is not known yet whether the bucket had them
	allowanceUnreported float64 // units of it among unreported
	allowanceAcked      float64 // units of it that the owner acknowledged: its next snapshot shows whether the bucket had them
	usedIsolated        bool    // units were consumed while isolated, and not all of them are acknowledged
}

// report is what an owner knows of one gateway's use of a customer.
type report struct {
	from          control.GatewayID
	receivedAt    time.Duration
	snapshotLevel float64 // units, in the last snapshot to it
	inFlight      int     // submissions; in strict mode units, see reportedInFlight
	unitsWanted   float64 // units that a pending request there needs
	hardWanted    float64 // units that it asks of the pool of the hard limit
	granted       float64 // units set aside for it; not in strict mode: units that its snapshot shows and nobody else's should
	grantedAt     time.Duration
	withheld      float64 // units of the refill kept for it while it is silent
}

// account finds or makes the account of a customer.
func (l *Limiter) account(id control.CustomerID, plan control.PlanID) *Account {
	a := l.accounts[id]
	if a == nil {
		a = &Account{id: id, planID: plan, owner: l.self, reporters: 1, usedAt: l.now, allowanceAt: l.now, hardShareAt: l.startedAt}
		if l.plans.PlanLimit != nil {
			a.limit = l.plans.PlanLimit(plan)
			a.level, a.levelAt = l.initialLevel(a), l.now
		}
		l.accounts[id] = a
		l.ordered = append(l.ordered, a)
	}
	return a
}

// assignOwner sets an account's set of gateways and works out its owner. Numbers that make no sense are brought into range.
func (l *Limiter) assignOwner(a *Account, first control.GatewayID, width int) {
	width = min(max(width, 1), l.gateways)
	first = control.GatewayID(max(int(first), 0) % l.gateways)
	if a.placed && a.setFirst == first && a.setWidth == width {
		return
	}
	if a.placed { // a peer had named another set: the part of a hard limit by that one is void
		a.hardShare, a.hardShareAt = 0, l.now
	}
	a.placed, a.setFirst, a.setWidth, a.reporters = true, first, width, width
	a.owner = OwnerOf(a.id, first, a.setWidth, l.gateways)
	a.inSet = (int(l.self-first)%l.gateways+l.gateways)%l.gateways < a.setWidth
	if a.owner != l.self {
		a.level, a.hasSnapshot = 0, false
	}
}

// OwnerOf is the gateway that owns a customer's bucket: the one of the set with the highest hash (rendezvous hashing), the same at every
// gateway.
func OwnerOf(c control.CustomerID, first control.GatewayID, width, gateways int) (owner control.GatewayID) {
	highest := uint64(0)
	for i := range width {
		g := control.GatewayID((int(first) + i) % gateways)
		if h := control.Hash64(uint64(c)*control.GoldenRatio64 + uint64(g)); h >= highest {
			highest, owner = h, g
		}
	}
	return owner
}

// initialLevel is what a bucket that was empty when its owner was assigned holds by now.
func (l *Limiter) initialLevel(a *Account) float64 {
	level := a.limit.Rate * max(0, l.now-l.ownersSince-l.config.OwnershipDelay).Seconds()
	if l.freshCluster && l.olderPeers == 0 {
		level += l.initialFill(a)
	}
	return min(a.limit.Burst, level)
}

// initialFill is what a bucket begins with in a new cluster.
func (l *Limiter) initialFill(a *Account) float64 {
	fill := l.config.InitialFill * a.limit.Burst
	if l.config.Strict {
		fill = min(fill, a.limit.Rate*maxInitialFill.Seconds())
	}
	return fill
}

// addInFlight counts submissions of this gateway; the owner learns of them where they are bounded.
func (l *Limiter) addInFlight(a *Account, n int) {
	a.inFlight += n
	if a.limit.MaxInFlight > 0 {
		l.scheduleReport(a)
	}
}

// inFlightElsewhere counts the submissions of other gateways, as far as reported.
func (l *Limiter) inFlightElsewhere(a *Account) int {
	if a.owner == l.self {
		_, inFlight, _ := l.recentReporters(a, nil)
		return inFlight
	}
	return a.inFlightElsewhere
}

// report finds or makes what a gateway reported.
func (a *Account) report(from control.GatewayID) *report {
	for _, r := range a.reports {
		if r.from == from {
			return r
		}
	}
	r := &report{from: from, receivedAt: -reporterTTL}
	a.reports = append(a.reports, r)
	return r
}

// recentReporters counts the recent reporters, all included, and of those except one their submissions in flight and the units that
// their last snapshots have promised them.
func (l *Limiter) recentReporters(a *Account, except *peer) (n, inFlight int, promised float64) {
	for _, r := range a.reports {
		if l.now-r.receivedAt >= reporterTTL {
			continue
		}
		n++
		if except != nil && r.from == except.id {
			continue
		}
		inFlight += r.inFlight
		if !l.config.Strict && l.now-r.grantedAt < l.answerTimeout(a) {
			promised += r.granted
		}
	}
	return n, inFlight, promised
}
