package quota

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
)

// Config is what the two programs set differently. MinInterval, SnapshotTTL and DatagramsPerSecond must be above 0.
type Config struct {
	// MinInterval is the least time between two datagrams to one peer.
	MinInterval time.Duration
	// SnapshotTTL is how long an owner's snapshot may be used.
	SnapshotTTL time.Duration
	// DatagramsPerSecond is how many datagrams this gateway is able to take in.
	DatagramsPerSecond float64
	// InitialFill is the share of the burst that buckets begin with in a new cluster; 0: they begin empty.
	InitialFill float64
	// MaxUnits are the units of the largest request: a part of a hard limit holds as many.
	MaxUnits float64

	// Strict bounds what all gateways consume together, whatever is partitioned; see the package comment.
	Strict bool
	// Window, Excess and Margin state that bound: (1 + Excess) x (rate x Window + burst) + Margin units in any Window.
	Window time.Duration
	Excess float64 // a share
	Margin float64 // units
	// OwnershipDelay is how long a bucket stays empty after its ownership changed, by a start or by Grow.
	OwnershipDelay time.Duration
}

// Limit is what a customer may use.
type Limit struct {
	Rate        float64 // units a second; 0: not metered, but for the rest
	Burst       float64 // units
	MaxInFlight int     // submissions in flight over all gateways; 0: no bound
	HardRate    float64 // units a second that are never exceeded; 0: no hard limit
	HardBurst   float64 // units, the same
}

// PlanLimiterOptions is what a limiter needs of a front door, whose customers have the limits of their plans.
type PlanLimiterOptions struct {
	// PeersEnabled is false where nothing may be sent to peers.
	PeersEnabled bool
	// PlanLimit gives the limits of a plan, nil for one that does not exist.
	PlanLimit func(control.PlanID) *Limit
	// LastObservations gives the last observations of backends, which go along with datagrams, and how many there were in all.
	LastObservations func() (last []Observation, count int)
	// ObservationsReceived takes those of a peer.
	ObservationsReceived func([]Observation)
}

// Limiter is one gateway's part in metering all customers: the buckets that it owns, its snapshots of the others, and the messages
// about them. It is not safe for concurrent use. All times are of the host's clock.
type Limiter struct {
	config Config
	plans  PlanLimiterOptions // PlanLimit nil: limits are set by SetLimit

	now         time.Duration
	startedAt   time.Duration
	pausedUntil time.Duration // end of the last time in which this process stood still
	ownersSince time.Duration // when owners were last assigned anew
	sweptAt     time.Duration

	self     control.GatewayID
	gateways int
	epoch    uint32

	reachable       int           // gateways in touch with this one, itself included, as the host says
	reachableBefore int           // before that last rose
	reachableAt     time.Duration // when it last rose

	olderPeers   int  // seen that were started before this gateway
	youngPeers   int  // seen that were started with it
	freshCluster bool // no gateway is older

	accounts map[control.CustomerID]*Account
	ordered  []*Account // the same, in order of their creation
	removed  map[control.CustomerID]time.Duration

	peers        []*peer       // by gateway; the own place is unused
	pending      []*peer       // with something to send
	version      uint64        // of the last message with snapshots
	interval     time.Duration // between datagrams to here, as peers are asked to keep
	maxDatagrams float64       // a second, from all peers
	received     int           // datagrams since the last sweep
	senders      int           // peers that they came from
	badDatagrams int
}

// NewLimiter starts the part of gateway self of so many. The seed makes its epoch: no two runs may have the same. Limits are set by
// SetLimit, and each customer's set is all gateways.
func NewLimiter(seed int64, self control.GatewayID, gateways int, now time.Duration, config Config) *Limiter {
	invariant.Assert(self >= 0 && int(self) < gateways, "a gateway is one of those there are")
	invariant.Assert(config.MinInterval > 0 && config.SnapshotTTL > 0 && config.DatagramsPerSecond > 0, "a quota is configured")
	l := newLimiter(rand.New(rand.NewSource(seed)).Uint32()|1, self, gateways, now, config)
	l.plans.PeersEnabled, l.sweptAt = true, now
	return l
}

// NewPlanLimiter starts the part of a front door: customers have the limits of their plans, and the set that each txn names. The epoch
// must not be 0.
func NewPlanLimiter(epoch uint32, self control.GatewayID, gateways int, now time.Duration, config Config, plans PlanLimiterOptions) *Limiter {
	l := newLimiter(epoch, self, gateways, now, config)
	l.plans = plans
	return l
}

func newLimiter(epoch uint32, self control.GatewayID, gateways int, now time.Duration, config Config) *Limiter {
	l := &Limiter{
		config: config, epoch: epoch, self: self, gateways: gateways, reachable: gateways,
		now: now, startedAt: now, ownersSince: now,
		interval: config.MinInterval, maxDatagrams: max(1, datagramShare*config.DatagramsPerSecond),
		accounts: map[control.CustomerID]*Account{},
		removed:  map[control.CustomerID]time.Duration{},
	}
	for i := range gateways {
		l.peers = append(l.peers, &peer{id: control.GatewayID(i)})
	}
	return l
}

// Now sets the clock, which never goes back.
func (l *Limiter) Now(now time.Duration) {
	if l.now > l.startedAt && now-l.now > stallThreshold {
		l.pausedUntil = now
	}
	l.now = max(l.now, now)
}

// SetLimit sets a customer's rate, in units a second, and burst, in units. A lower burst cuts the level at once, a higher one fills at
// the rate. A rate of 0 or below ends the metering of this customer. Numbers of customers go up to 1<<34.
func (l *Limiter) SetLimit(c control.CustomerID, rate, burst float64) {
	invariant.Assert(l.plans.PlanLimit == nil && c <= 1<<34, "a limit is of a customer that messages can name")
	a := l.accounts[c]
	switch {
	case rate <= 0:
		l.removeLimit(c)
	case a == nil:
		delete(l.removed, c)
		a = l.account(c, 0)
		a.limit = &Limit{Rate: rate, Burst: burst}
		a.level, a.levelAt = l.initialLevel(a), max(l.now, l.ownersSince+l.config.OwnershipDelay)
		l.assignOwner(a, 0, l.gateways)
	default:
		if a.owner == l.self {
			l.refill(a)
		}
		a.limit.Rate, a.limit.Burst = rate, burst
		a.level = min(a.level, burst)
	}
}

func (l *Limiter) removeLimit(c control.CustomerID) {
	if a := l.accounts[c]; a != nil {
		l.detach(a)
		delete(l.accounts, c)
		l.ordered = slices.DeleteFunc(l.ordered, func(o *Account) bool { return o == a })
	}
	l.removed[c] = l.now
}

// SetReachable says which gateways are in touch with this one, by number; until it is called, all are. In strict mode the buckets owned
// here fill by so much less as others are out of reach, since those consume their parts alone, and for reachabilityLag longer, since they may
// learn later that they are not isolated any more.
func (l *Limiter) SetReachable(live []bool) {
	for _, a := range l.ordered {
		if a.owner == l.self {
			l.refill(a)
		}
	}
	count := 0
	for i, p := range l.peers {
		switch {
		case i == int(l.self) || i >= len(live) || live[i]:
			p.unreachableSince = 0
			count++
		case p.unreachableSince == 0:
			p.unreachableSince = max(l.now, 1)
		}
	}
	if count > l.reachable {
		l.reachableBefore, l.reachableAt = l.reachableNow(), l.now
	}
	l.reachable = count
}

// reachableNow counts the gateways whose parts of the rate go into the buckets. An owner that has just started has withheld nothing, and
// believes its host at once.
func (l *Limiter) reachableNow() int {
	if l.now-l.reachableAt < reachabilityLag && l.reachableAt-l.startedAt > grantMaxAge {
		return min(l.reachable, l.reachableBefore)
	}
	return l.reachable
}

// Grow says that there are more gateways, or that this one has another number among them. Owners are hashed anew. A bucket that is owned
// here from now on stays empty for Config.OwnershipDelay: that stands for everything consumed before, so that nobody spends it twice. Units that the
// old owner has not acknowledged are reported to the new one; if the old one had applied them, they count twice, and the customer has too
// little for a moment. Grants of the old owner are void. Only an old owner that is partitioned off goes on beside the new one, so gateways are to be added
// while all are in touch.
func (l *Limiter) Grow(self control.GatewayID, gateways int) {
	invariant.Assert(gateways >= l.gateways && int(self) < gateways, "gateways get more")
	before := l.self
	if self == before && gateways == l.gateways {
		return
	}
	for i := len(l.peers); i < gateways; i++ {
		l.peers = append(l.peers, &peer{id: control.GatewayID(i)})
	}
	if self != before {
		l.epoch += 2 // to the peers it is a gateway that has just started
	}
	allReachable, delay := l.reachable == l.gateways, l.config.OwnershipDelay
	if l.gateways == 1 && int(self) < gateways-1 {
		delay = 0 // it has started again under a number that the others know: they ask no other owner
	}
	l.self, l.gateways, l.ownersSince = self, gateways, l.now+delay-l.config.OwnershipDelay
	if l.reachable = min(l.reachable, gateways); allReachable {
		l.reachable = gateways
	}
	for _, a := range l.ordered {
		l.reassign(a, before, delay)
	}
}

// reassign assigns an account's owner after Grow; before is the own number until then.
func (l *Limiter) reassign(a *Account, before control.GatewayID, delay time.Duration) {
	owner := OwnerOf(a.id, 0, l.gateways, l.gateways)
	a.setWidth, a.reporters = l.gateways, l.gateways
	if owner == a.owner && l.self == before {
		return
	}
	if a.owner != before {
		a.unreported, a.unacked = a.unreported+l.detach(a), 0
	}
	a.owner, a.level, a.levelAt, a.reports = owner, 0, l.now, nil
	a.hasSnapshot, a.version, a.requestedAt = false, 0, 0
	a.granted, a.grantUsed, a.allowanceAcked, a.ackedSince = 0, 0, 0, 0
	if owner == l.self {
		a.levelAt, a.unreported, a.allowanceUnreported, a.allowanceUsed = l.now+delay, 0, 0, 0
	} else if a.unreported > 0 {
		l.scheduleReport(a)
	}
}

// detach takes an account out of everything that waits to be sent to its owner or acknowledged by it, and gives the unacknowledged units.
func (l *Limiter) detach(a *Account) (units float64) {
	p := l.peers[a.owner]
	p.dirty = slices.DeleteFunc(p.dirty, func(o *Account) bool { return o == a })
	a.dirty = false
	for _, u := range p.unacked {
		u.deltas = slices.DeleteFunc(slices.Clone(u.deltas), func(d Delta) bool {
			if d.Customer == a.id {
				units += d.Units
				a.allowanceUnreported += u.allowance[a.id]
			}
			return d.Customer == a.id
		})
	}
	p.unacked = slices.DeleteFunc(p.unacked, func(u *unackedDelta) bool { return len(u.deltas) == 0 })
	return units
}

// learnAge finds out whether the whole cluster was started with this gateway: then nobody can have consumed anything before, and buckets
// begin with their initial fill. One older peer is proof of the contrary: this gateway has restarted, and its buckets begin empty.
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

// Sweep does the periodic work, once a second; other calls do nothing.
func (l *Limiter) Sweep() {
	if l.now-l.sweptAt < time.Second {
		return
	}
	l.adjustInterval()
	l.dropIdle()
	l.sweptAt = l.now
	maps.DeleteFunc(l.removed, func(_ control.CustomerID, at time.Duration) bool { return l.now-at > removedTTL })
}

// adjustInterval lets the interval that peers are asked to keep follow the load: a gateway that owns a customer of many gateways gets
// fewer datagrams of each of them.
func (l *Limiter) adjustInterval() {
	rate := float64(l.received) / (l.now - l.sweptAt).Seconds()
	l.interval = min(max(l.config.MinInterval, time.Duration(float64(l.interval)*max(rate/l.maxDatagrams, intervalDecay))), maxInterval)
	if rate > l.maxDatagrams {
		l.interval = max(l.interval, time.Duration(float64(l.senders)/l.maxDatagrams*float64(time.Second)))
	}
	l.received, l.senders = 0, 0
}

// dropIdle drops the accounts that a new one would equal. Those with a limit of their own (SetLimit) stay.
func (l *Limiter) dropIdle() {
	kept := l.ordered[:0]
	for _, a := range l.ordered {
		full := a.owner != l.self || a.level+a.limit.Rate*(l.now-a.levelAt).Seconds() >= a.limit.Burst &&
			(a.limit.HardRate <= 0 || l.hardShareNow(a) >= l.hardShareCap(a))
		if l.plans.PlanLimit != nil && l.now-a.usedAt > idleAfter && full && !a.dirty && a.inFlight == 0 && a.reservations == 0 &&
			a.unacked <= 0 {
			delete(l.accounts, a.id)
			continue
		}
		kept = append(kept, a)
	}
	l.ordered = kept
}

// NextDeadline is the time at which NextDatagram or Sweep may have something to do, now at the earliest.
func (l *Limiter) NextDeadline() time.Duration {
	next := l.sweptAt + time.Second
	for _, p := range l.pending {
		at := next
		if len(p.unacked) > 0 {
			at = p.resendAt() + 1
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

// Epoch is the number of this run of the limiter; messages carry it, and peers acknowledge it.
func (l *Limiter) Epoch() uint32 { return l.epoch }

// HasPending tells whether there is something to send to a peer, now or later.
func (l *Limiter) HasPending() bool { return len(l.pending) > 0 }

// CustomerCount counts the customers of which an account is kept.
func (l *Limiter) CustomerCount() int { return len(l.accounts) }

// BadDatagrams counts the datagrams that were malformed or from no peer, and the deltas that could not be applied.
func (l *Limiter) BadDatagrams() int { return l.badDatagrams }

// AccountState is a part of an account, for diagnosis.
type AccountState struct {
	Owner    control.GatewayID
	Level    float64 // units: in the bucket, or in the owner's last snapshot
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
