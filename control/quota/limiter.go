package quota

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
)

// Config are what users of a Quota set differently.
type Config struct {
	MinInterval        time.Duration // packing delay at the least: two messages to a peer are so far apart
	SnapshotTTL        time.Duration // an owner's word is good for so long
	DatagramsPerSecond float64       // messages a second that a gateway is able to take in
	InitialFill        float64       // of the burst: what buckets begin with in a fleet that is all new
	Strict             bool          // a gateway alone has its part of the rate, and no more: see Covered
	// By parts: the rule allows rate x Window + burst, that times Excess more, and Margin units, in any Window.
	Window         time.Duration
	Excess, Margin float64
	OwnershipDelay time.Duration // a bucket newly owned, by a start or by Grow, stays empty for so long
	MaxUnits       float64       // the units of the largest txn
}

// Limit is what a customer may use.
type Limit struct {
	Rate, Burst         float64 // units a second, units
	MaxInFlight         int
	HardRate, HardBurst float64
}

// Limiter is one front door's part in metering all customers: the buckets it owns, its views of the others',
// and the messages about them. Like Node it does nothing by itself: the host sets the clock with Now, tells
// what happened, and pulls what is to be sent with Datagrams at the time that Next gives. Times are of the host's
// clock.
type Limiter struct {
	now, startedAt, ownersSince time.Duration // since: the owners were last worked out anew
	pausedUntil                 time.Duration // when this gateway last stood still until
	self                        control.GatewayID
	gateways, reachable         int
	reachableBefore             int           // before it last rose,
	reachableAt                 time.Duration // at this time
	config                      Config
	epoch                       uint32 // of this life
	plans                       Plans

	accounts map[control.CustomerID]*Account
	ordered  []*Account // in order of their coming
	removed  map[control.CustomerID]time.Duration

	peers        []*peer
	pending      []*peer       // with something due
	interval     time.Duration // between messages to here, as peers are told
	maxDatagrams float64       // messages a second taken in at most
	received     int           // messages since the last tick
	senders      int           // and the peers they came from
	sweptAt      time.Duration
	badDatagrams int
	version      uint64
	olderPeers   int  // heard of
	youngPeers   int  // started about when this gateway did
	freshCluster bool // the whole fleet
}

// NewLimiter starts the part of gateway me of so many. The seed makes its epoch: no two lives should have the
// same. Limits are told by SetLimit; each customer's owner is hashed over all gateways.
func NewLimiter(seed int64, me control.GatewayID, gateways int, now time.Duration, t Config) *Limiter {
	invariant.That(me >= 0 && int(me) < gateways, "a gateway is one of those there are")
	invariant.That(t.MinInterval > 0 && t.SnapshotTTL > 0 && t.DatagramsPerSecond > 0, "terms of a quota are set")
	q := newLimiter(rand.New(rand.NewSource(seed)).Uint32()|1, me, gateways, now, t)
	q.plans.PeersEnabled, q.sweptAt = true, now
	return q
}

// Plans is what a limiter needs of a front door, whose customers have the limits of their plans.
type Plans struct {
	PeersEnabled bool                               // false: nothing is sent to peers
	Limit        func(control.PlanID) *Limit        // of a plan; nil for one that there is not
	Observations func() (last []Observation, n int) // of backends, to go along with messages, and how many there were in all
	Observed     func([]Observation)                // takes those of a peer
}

// NewPlanLimiter is NewLimiter for a front door: limits are not set by SetLimit but are those of a customer's plan.
func NewPlanLimiter(epoch uint32, me control.GatewayID, gateways int, now time.Duration, t Config, plans Plans) *Limiter {
	q := newLimiter(epoch, me, gateways, now, t)
	q.plans = plans
	return q
}

func newLimiter(epoch uint32, me control.GatewayID, gateways int, now time.Duration, t Config) *Limiter {
	q := &Limiter{now: now, startedAt: now, ownersSince: now, self: me, gateways: gateways, reachable: gateways, config: t,
		epoch: epoch, interval: t.MinInterval, maxDatagrams: max(1, datagramShare*t.DatagramsPerSecond), accounts: map[control.CustomerID]*Account{},
		removed: map[control.CustomerID]time.Duration{}}
	for i := 0; i < gateways; i++ {
		q.peers = append(q.peers, &peer{id: control.GatewayID(i)})
	}
	return q
}

// Now sets the clock.
func (l *Limiter) Now(t time.Duration) {
	if l.now > l.startedAt && t-l.now > stallThreshold {
		l.pausedUntil = t // it stood still: silence is held against nobody
	}
	l.now = max(l.now, t)
}

// SetLimit says what a customer may use from now on: units a second, and units at once. A customer is at most
// 1<<34. A lower burst cuts the level, a higher one fills at the rate. With a rate of nought or below it is
// not metered.
func (l *Limiter) SetLimit(c control.CustomerID, rate, burst float64) {
	invariant.That(l.plans.Limit == nil && c <= 1<<34, "a limit is of a customer that messages can name")
	a := l.accounts[c]
	if rate <= 0 {
		if a != nil {
			l.detach(a)
			delete(l.accounts, c)
			l.ordered = slices.DeleteFunc(l.ordered, func(o *Account) bool { return o == a })
		}
		l.removed[c] = l.now
		return
	}
	if a == nil {
		delete(l.removed, c)
		a = l.account(c, 0)
		a.limit = &Limit{Rate: rate, Burst: burst}
		a.level, a.levelAt = l.initialLevel(a), max(l.now, l.ownersSince+l.config.OwnershipDelay)
		l.assignOwner(a, 0, l.gateways)
		return
	}
	if a.owner == l.self {
		l.refill(a)
	}
	a.limit.Rate, a.limit.Burst = rate, burst
	a.level = min(a.level, burst)
}

// SetReachable says which gateways are in touch with this one, by number. Under firm terms the buckets owned here fill by so
// much less as others are out of reach, who have their parts alone; and a little longer than that, since those may
// learn later that they are not alone any more. Until it is told, all are in reach.
func (l *Limiter) SetReachable(live []bool) {
	for _, a := range l.ordered {
		if a.owner == l.self {
			l.refill(a)
		}
	}
	n := 0
	for i, p := range l.peers {
		switch {
		case i == int(l.self) || i >= len(live) || live[i]:
			p.unreachableSince = 0
			n++
		case p.unreachableSince == 0:
			p.unreachableSince = max(l.now, 1)
		}
	}
	if n > l.reachable {
		l.reachableBefore, l.reachableAt = l.reachableNow(), l.now
	}
	l.reachable = n
}

// reachableNow is how many gateways count as in touch. An owner that has just started has nothing saved, and believes what
// it is told.
func (l *Limiter) reachableNow() int {
	if l.now-l.reachableAt < reachabilityLag && l.reachableAt-l.startedAt > grantMaxAge {
		return min(l.reachable, l.reachableBefore)
	}
	return l.reachable
}

// Grow says that there are more gateways, or that this one is another of them. Owners are hashed anew over
// all. What is no longer owned here becomes a view that is not known. What is newly owned starts empty, and
// stays so for the fence: that stands for all use before, and nobody spends a bucket twice. Units that the
// old owner has not acknowledged are told to the new one: if the old one had them, they count twice, and a
// customer has too little for a moment. What the old owner had lent here is void. Only an old owner that does
// not learn of the new one, because it is cut off, goes on beside it; so gateways should be added when all
// are in touch.
func (l *Limiter) Grow(me control.GatewayID, gateways int) {
	invariant.That(gateways >= l.gateways && int(me) < gateways, "gateways get more")
	was := l.self
	if me == was && gateways == l.gateways {
		return
	}
	for i := len(l.peers); i < gateways; i++ {
		l.peers = append(l.peers, &peer{id: control.GatewayID(i)})
	}
	if me != was {
		l.epoch += 2 // to the peers it is one that has just started
	}
	all, fence := l.reachable == l.gateways, l.config.OwnershipDelay
	if l.gateways == 1 && int(me) < gateways-1 {
		fence = 0 // it has started again in a place that others know: they ask no other owner
	}
	l.self, l.gateways, l.ownersSince = me, gateways, l.now+fence-l.config.OwnershipDelay
	if l.reachable = min(l.reachable, gateways); all {
		l.reachable = gateways
	}
	for _, a := range l.ordered {
		owner := OwnerOf(a.id, 0, gateways, gateways)
		a.setWidth, a.reporters = gateways, gateways
		if owner == a.owner && me == was {
			continue
		}
		if a.owner != was {
			a.unreported, a.unacked = a.unreported+l.detach(a), 0
		}
		a.owner, a.level, a.levelAt, a.hasSnapshot, a.version, a.requestedAt, a.reports = owner, 0, l.now, false, 0, 0, nil
		a.granted, a.grantUsed, a.allowanceAcked, a.ackedSince = 0, 0, 0, 0
		if owner == me {
			a.levelAt, a.unreported, a.allowanceUnreported, a.allowanceUsed = l.now+fence, 0, 0, 0
		} else if a.unreported > 0 {
			l.scheduleReport(a)
		}
	}
}

// detach takes all of an account out of what waits to be sent to its owner, and gives the unacknowledged
// units.
func (l *Limiter) detach(a *Account) (units float64) {
	p := l.peers[a.owner]
	p.dirty = slices.DeleteFunc(p.dirty, func(o *Account) bool { return o == a })
	a.dirty = false
	for _, f := range p.unacked {
		f.deltas = slices.DeleteFunc(slices.Clone(f.deltas), func(item Delta) bool {
			if item.Customer == a.id {
				units += item.Units
				a.allowanceUnreported += f.allowance[a.id]
			}
			return item.Customer == a.id
		})
	}
	p.unacked = slices.DeleteFunc(p.unacked, func(f *unackedDelta) bool { return len(f.deltas) == 0 })
	return units
}

// learnAge learns whether the fleet is as young as this gateway: then nobody can have spent before, and buckets
// are full. One older gateway is enough to know better: this one has restarted, its buckets start empty.
func (l *Limiter) learnAge(p *peer, age time.Duration) {
	if age > l.now-l.startedAt+startSkew {
		l.olderPeers++
	} else if p.receivedAt == 0 {
		l.youngPeers++
	}
	if l.config.InitialFill <= 0 || l.olderPeers > 0 || l.freshCluster || l.now-l.startedAt > startSkew ||
		l.youngPeers < min(minYoungPeers, l.gateways-1) {
		return
	}
	for _, a := range l.ordered {
		if a.owner == l.self {
			a.level += l.initialFill(a) // capped at the next refill
		}
	}
	l.freshCluster = true
}

// Sweep does the work that comes by the clock, once a second: it drops what is idle and works out how often
// peers may write. Limits set by SetLimit stay.
func (l *Limiter) Sweep() {
	if l.now-l.sweptAt < time.Second {
		return
	}
	// The gap between messages to here follows what comes in: a customer whose many gateways all write to
	// its owner is told of less often, all others at once.
	in := float64(l.received) / (l.now - l.sweptAt).Seconds()
	l.interval = min(max(l.config.MinInterval, time.Duration(float64(l.interval)*max(in/l.maxDatagrams, intervalDecay))), maxInterval)
	if in > l.maxDatagrams {
		l.interval = max(l.interval, time.Duration(float64(l.senders)/l.maxDatagrams*float64(time.Second)))
	}
	l.received, l.senders = 0, 0
	kept := l.ordered[:0]
	for _, a := range l.ordered {
		full := a.owner != l.self || a.level+a.limit.Rate*(l.now-a.levelAt).Seconds() >= a.limit.Burst &&
			(a.limit.HardRate <= 0 || l.hardShareNow(a) >= l.hardShareCap(a))
		if l.plans.Limit != nil && l.now-a.usedAt > idleAfter && full && !a.dirty && a.inFlight == 0 && a.reservations == 0 &&
			a.unacked <= 0 {
			delete(l.accounts, a.id)
			continue
		}
		kept = append(kept, a)
	}
	l.ordered, l.sweptAt = kept, l.now
	maps.DeleteFunc(l.removed, func(_ control.CustomerID, at time.Duration) bool { return l.now-at > removedTTL })
}

// NextDeadline is the time of the clock at which Datagrams or Sweep may have something to do.
func (l *Limiter) NextDeadline() time.Duration {
	next := l.sweptAt + time.Second
	for _, p := range l.pending {
		at := next
		if len(p.unacked) > 0 {
			at = p.unacked[0].sentAt + (resendAfter+p.interval)<<p.unacked[0].resends + 1
		}
		if len(p.dirty) > 0 || p.ackPending {
			at = l.now
		}
		if p.sentAt > 0 {
			at = max(at, p.sentAt+max(p.interval, l.config.MinInterval))
		}
		next = min(next, at)
	}
	return max(next, l.now)
}

// Epoch is the number of this limiter's life, which its messages bear and peers acknowledge.
func (l *Limiter) Epoch() uint32 { return l.epoch }

// HasPending tells whether something is due to a peer.
func (l *Limiter) HasPending() bool { return len(l.pending) > 0 }

// Customers counts those of which something is kept.
func (l *Limiter) Customers() int { return len(l.accounts) }

// AccountState is what is kept of a customer, for those who look for causes.
type AccountState struct {
	Owner    control.GatewayID
	Level    float64 // units: the bucket's, or those of the owner's last snapshot
	Reserved float64 // units
}

// State gives what is kept of a customer; false if nothing is.
func (l *Limiter) State(c control.CustomerID) (AccountState, bool) {
	a := l.accounts[c]
	if a == nil {
		return AccountState{}, false
	}
	return AccountState{Owner: a.owner, Level: a.level, Reserved: a.reserved}, true
}

// BadDatagrams counts the messages, and parts of such, that were not taken.
func (l *Limiter) BadDatagrams() int { return l.badDatagrams }
