package quota

import (
	"time"

	"clovergap/control"
)

// Account is one customer here: the bucket if this gateway owns it, the view if not.
type Account struct {
	id                  control.CustomerID
	limit               *Limit
	planID              control.PlanID
	owner               control.GatewayID
	setFirst            control.GatewayID // of the set
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
	from          control.GatewayID
	snapshotLevel float64 // told last
	receivedAt    time.Duration
	inFlight      int
	hardWanted    float64 // of the ceiling
	unitsWanted   float64 // units that a txn waits for
	granted       float64 // told that it may spend them, and not yet reported; by parts: lent
	grantedAt     time.Duration
	withheld      float64 // of the rate: kept for it while it is silent
}

// account finds or makes the account of a customer.
func (l *Limiter) account(id control.CustomerID, pl control.PlanID) *Account {
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

// assignOwner works out the owner: rendezvous hashing over the customer's set, the same at every gateway.
func (l *Limiter) assignOwner(a *Account, setFirst control.GatewayID, width int) {
	width = min(max(width, 1), l.gateways)
	first := control.GatewayID(max(int(setFirst), 0) % l.gateways)
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

// OwnerOf is the gateway of the set with the highest hash for the customer: the same at every gateway.
func OwnerOf(c control.CustomerID, first control.GatewayID, width, gateways int) (owner control.GatewayID) {
	best := uint64(0)
	for i := 0; i < width; i++ {
		g := control.GatewayID((int(first) + i) % gateways)
		if h := control.Hash64(uint64(c)*0x9e3779b97f4a7c15 + uint64(g)); h >= best {
			best, owner = h, g
		}
	}
	return owner
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

// addInFlight counts submissions out.
func (l *Limiter) addInFlight(a *Account, n int) {
	a.inFlight += n
	l.inFlightChanged(a)
}

func (l *Limiter) inFlightChanged(a *Account) {
	if a.limit.MaxInFlight > 0 {
		l.scheduleReport(a)
	}
}

// InFlightElsewhere is how many submissions other gateways have out for a customer, as far as told.
func (l *Limiter) inFlightElsewhere(a *Account) int {
	if a.owner == l.self {
		_, out, _ := l.recentReporters(a, nil)
		return out
	}
	return a.inFlightElsewhere
}

// report finds or makes what a gateway reported of a customer.
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
