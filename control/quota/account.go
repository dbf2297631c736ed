package quota

import (
	"time"

	"clovergap/control"
)

// Account is the state that this gateway keeps of one customer. The owner of the customer holds the token bucket. Every other gateway
// holds the owner's last snapshot.
type Account struct {
	id         control.CustomerID
	limit      *Limit
	planID     control.PlanID
	lastUsedAt time.Duration // time of the last check of a request of the customer

	owner       control.GatewayID
	setAssigned bool              // the set has been assigned; the set is the gateways that may serve the customer
	setFirst    control.GatewayID // first gateway of the set
	setWidth    int               // number of gateways in the set
	inSet       bool              // this gateway belongs to the set

	level   float64       // units in the bucket (owner) or in the last snapshot (other gateways)
	levelAt time.Duration // time of the last refill (owner) or of the arrival of the last snapshot (other gateways)

	// Requests at this gateway.
	inFlight     int     // submissions in flight
	reserved     float64 // units that are reserved for requests that wait for another resource
	reservations int     // number of reservations

	// Reports of the other gateways, used by the owner.
	reporterStates []*reporterState
	exhausted      bool // the bucket has less than one unit, and snapshots with the low level are scheduled for recent reporters

	// Snapshot of the owner, used by the other gateways.
	hasSnapshot       bool
	version           uint64 // version of the snapshot
	reporterCount     int    // number of recent reporters, including this gateway
	inFlightElsewhere int    // submissions in flight at other gateways

	// Reports to the owner, used by the other gateways.
	unreported          float64       // units consumed that are not in a delta yet
	unacked             float64       // units in sent deltas that the owner has not acknowledged
	reportQueued        bool          // the account is in the report queue of the owner's peer
	reportedAt          time.Duration // time at which the last new delta was sent
	snapshotRequestedAt time.Duration // start of the wait for a snapshot; 0 if no snapshot is awaited
	lastAckedSentAt     time.Duration // time at which the latest acknowledged delta was first sent; 0 if no delta is acknowledged
	unitsWanted         float64       // units that a pending request at this gateway needs; 0 if there is none

	// Hard limit.
	hardShare       float64       // units left in this gateway's share of the hard limit; the owner's share includes the pool for grants
	hardShareAt     time.Duration // time of the last refill of hardShare
	hardUnitsWanted float64       // units of the hard limit to request from the owner's pool

	// Strict mode, used by gateways that do not own the bucket.
	granted     float64       // units that the owner has set aside for this gateway
	grantedAt   time.Duration // time of the arrival of the last grant
	grantUsed   float64       // units of grants that were consumed or expired and are not reported yet
	allowance   float64       // units that may be consumed without the owner's knowledge
	allowanceAt time.Duration // time of the last refill of allowance
	// allowanceUsed is the number of units consumed from the allowance while it is unknown whether the owner's bucket covered them.
	allowanceUsed       float64
	allowanceUnreported float64 // the part of the field unreported that was consumed from the allowance
	// allowanceAcked is the number of units consumed from the allowance that the owner has acknowledged since its last snapshot. The
	// owner's next snapshot shows whether the bucket covered these units.
	allowanceAcked float64
	// consumedWhileIsolated is true if this gateway consumed units while it got no answers from the owner (isolationStart), and the
	// owner has not acknowledged all units yet.
	consumedWhileIsolated bool
}

// reporterState is the owner's record of how one other gateway uses a customer's bucket.
type reporterState struct {
	from            control.GatewayID
	receivedAt      time.Duration // time of the last delta from the reporter
	snapshotLevel   float64       // level in the last snapshot for this reporter, in units
	inFlight        int           // submissions in flight (in strict mode, a number of units; see reportedInFlight)
	unitsWanted     float64       // units that a pending request at the reporter needs
	hardUnitsWanted float64       // units that the reporter requests from the pool of the hard limit
	// granted is the number of units that only this reporter may consume. In strict mode, the owner has set the units aside in a grant.
	// Without strict mode, the units are a part of the level in the reporter's last snapshot, and snapshots for other gateways leave
	// the units out.
	granted   float64
	grantedAt time.Duration // time at which granted last rose (without strict mode, time of the last snapshot)
	withheld  float64       // units of the refill kept out of the bucket because the reporter sends no messages
}

// getOrCreateAccount returns the account of a customer. If the customer has none, the account is created with the given plan.
func (l *Limiter) getOrCreateAccount(id control.CustomerID, plan control.PlanID) *Account {
	a := l.accounts[id]
	if a == nil {
		a = &Account{id: id, planID: plan, owner: l.self, reporterCount: 1, lastUsedAt: l.now, allowanceAt: l.now, hardShareAt: l.startedAt}
		if l.options.PlanLimit != nil {
			a.limit = l.options.PlanLimit(plan)
			a.level, a.levelAt = l.initialLevel(a), l.now
		}
		l.accounts[id] = a
		l.orderedAccounts = append(l.orderedAccounts, a)
	}
	return a
}

// assignOwner sets the gateways that may serve a customer and computes the owner of the customer's bucket. A negative first gateway
// counts as 0, and a first gateway that is too high is reduced modulo the number of gateways. The width is limited to the range from 1
// to the number of gateways.
func (l *Limiter) assignOwner(a *Account, setFirst control.GatewayID, setWidth int) {
	setWidth = min(max(setWidth, 1), l.gatewayCount)
	setFirst = control.GatewayID(max(int(setFirst), 0) % l.gatewayCount)
	if a.setAssigned && a.setFirst == setFirst && a.setWidth == setWidth {
		return
	}
	// The earlier set may be the one that a delta of a peer named. The share of the hard limit that was computed from the earlier set
	// is void.
	if a.setAssigned {
		a.hardShare, a.hardShareAt = 0, l.now
	}
	a.setAssigned, a.setFirst, a.setWidth, a.reporterCount = true, setFirst, setWidth, setWidth
	a.owner = OwnerOf(a.id, setFirst, a.setWidth, l.gatewayCount)
	a.inSet = (int(l.self-setFirst)%l.gatewayCount+l.gatewayCount)%l.gatewayCount < a.setWidth
	if a.owner != l.self {
		a.level, a.hasSnapshot = 0, false
	}
}

// OwnerOf returns the gateway that owns a customer's bucket. The set of gateways that serve the customer starts at setFirst and has
// setWidth gateways. The owner is the gateway of the set with the highest hash (rendezvous hashing), so all gateways compute the same owner.
func OwnerOf(customer control.CustomerID, setFirst control.GatewayID, setWidth, gatewayCount int) (owner control.GatewayID) {
	highest := uint64(0)
	for i := range setWidth {
		g := control.GatewayID((int(setFirst) + i) % gatewayCount)
		if h := control.Hash64(uint64(customer)*control.GoldenRatio64 + uint64(g)); h >= highest {
			highest, owner = h, g
		}
	}
	return owner
}

// initialLevel returns the level of a new bucket that this gateway owns. The bucket counts as empty until Config.OwnershipDelay after
// the assignment of owners and as refilled at the rate from then on. In a new cluster, the level also includes the initial fill.
func (l *Limiter) initialLevel(a *Account) float64 {
	level := a.limit.Rate * max(0, l.now-l.ownersAssignedAt-l.config.OwnershipDelay).Seconds()
	if l.freshCluster && l.olderPeerDatagrams == 0 {
		level += l.initialFillUnits(a)
	}
	return min(a.limit.Burst, level)
}

// initialFillUnits returns the number of units in a bucket at the start of a new cluster.
func (l *Limiter) initialFillUnits(a *Account) float64 {
	fill := l.config.InitialFill * a.limit.Burst
	if l.config.Strict {
		fill = min(fill, a.limit.Rate*maxInitialFillTime.Seconds())
	}
	return fill
}

// addInFlight adds n to the customer's submissions in flight at this gateway. If the customer has a limit on submissions in flight,
// addInFlight schedules a report to the owner.
func (l *Limiter) addInFlight(a *Account, n int) {
	a.inFlight += n
	if a.limit.MaxInFlight > 0 {
		l.scheduleReport(a)
	}
}

// inFlightElsewhere returns the number of submissions in flight at other gateways, as far as these gateways have reported their
// submissions.
func (l *Limiter) inFlightElsewhere(a *Account) int {
	if a.owner == l.self {
		_, inFlight, _ := l.recentReporterTotals(a, nil)
		return inFlight
	}
	return a.inFlightElsewhere
}

// getOrCreateReporterState returns the state of a reporter. If there is none, the state is created.
func (a *Account) getOrCreateReporterState(from control.GatewayID) *reporterState {
	for _, r := range a.reporterStates {
		if r.from == from {
			return r
		}
	}
	r := &reporterState{from: from, receivedAt: -reporterTTL}
	a.reporterStates = append(a.reporterStates, r)
	return r
}

// recentReporterTotals returns the number n of recent reporters, which are the gateways that sent a delta for the customer within
// reporterTTL. It also returns two totals over all recent reporters except excludedPeer. inFlight is the total of the submissions in
// flight. promised is the total of the units that the last snapshots promised to one reporter only, or 0 in strict mode. If excludedPeer
// is nil, both totals include all recent reporters.
func (l *Limiter) recentReporterTotals(a *Account, excludedPeer *peer) (n, inFlight int, promised float64) {
	for _, r := range a.reporterStates {
		if l.now-r.receivedAt >= reporterTTL {
			continue
		}
		n++
		if excludedPeer != nil && r.from == excludedPeer.id {
			continue
		}
		inFlight += r.inFlight
		if !l.config.Strict && l.now-r.grantedAt < l.answerTimeout(a) {
			promised += r.granted
		}
	}
	return n, inFlight, promised
}
