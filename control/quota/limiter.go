package quota

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
)

// Config is the part of the limiter's configuration in which the front door and the gateway program differ. MinInterval, SnapshotTTL
// and DatagramsPerSecond must be above 0.
type Config struct {
	// MinInterval is the minimum interval between two datagrams to one peer.
	MinInterval time.Duration
	// SnapshotTTL is the time after the arrival of an owner's snapshot for which the snapshot may be used.
	SnapshotTTL time.Duration
	// DatagramsPerSecond is the number of datagrams a second that this gateway can receive.
	DatagramsPerSecond float64
	// InitialFill is the fraction of the burst, from 0 to 1, that buckets hold at the start of a new cluster. With 0, buckets start empty.
	InitialFill float64
	// MaxUnits is the number of units of the largest request. Each share of a hard limit can hold at least this number of units.
	MaxUnits float64

	// Strict enables strict mode, which bounds the units that all gateways together consume under any partition. See the package
	// comment.
	Strict bool
	// Window, Excess and Margin define the bound of strict mode, (1 + Excess) x (rate x Window + burst) + Margin units in any Window.
	Window time.Duration
	Excess float64 // fraction of rate x Window + burst; 1 is 100 %
	Margin float64 // units
	// OwnershipDelay is the time for which a bucket stays empty after its owner has changed because of a start or of Grow.
	OwnershipDelay time.Duration
}

// Limit holds the limits of one customer.
type Limit struct {
	Rate        float64 // units a second; 0 means no limit on the rate, while the other limits still apply
	Burst       float64 // units
	MaxInFlight int     // submissions in flight over all gateways; 0 means no limit
	HardRate    float64 // units a second that are never exceeded; 0 means no hard limit
	HardBurst   float64 // units; burst of the hard limit
}

// PlanLimiterOptions configures a front door's limiter, whose customers have the limits of their plans.
type PlanLimiterOptions struct {
	// PeersEnabled reports whether datagrams may be sent to peers.
	PeersEnabled bool
	// PlanLimit returns the limits of a plan, or nil for a plan that does not exist.
	PlanLimit func(control.PlanID) *Limit
	// LastObservations returns the host's latest observations of backends and the total number of observations that the host has
	// made since its start. The limiter adds the latest observations to its datagrams.
	LastObservations func() (last []Observation, count int)
	// ObservationsReceived is called with the observations of backends in a peer's datagram. It may be nil.
	ObservationsReceived func([]Observation)
}

// Limiter meters all customers for one gateway. A Limiter holds the token buckets that this gateway owns. Of every other bucket, it
// holds the last snapshot, which is the state that the owning gateway sent. A Limiter creates the messages to other gateways and
// applies the messages from them. A Limiter is not safe for concurrent use. All times are on the host's clock.
type Limiter struct {
	config  Config
	options PlanLimiterOptions // PlanLimit is nil if limits are set by SetLimit

	now              time.Duration
	startedAt        time.Duration
	pausedUntil      time.Duration // end of the last pause of this process
	ownersAssignedAt time.Duration // start of Config.OwnershipDelay after the last assignment of owners
	sweptAt          time.Duration

	self         control.GatewayID
	gatewayCount int
	epoch        uint32

	reachableCount       int           // number of gateways, including this one, that the host reports as reachable
	reachableCountBefore int           // result of effectiveReachableCount just before the last rise of reachableCount
	reachableRoseAt      time.Duration // time of the last rise of reachableCount

	// olderPeerDatagrams is the number of datagrams received from peers that were started before this gateway.
	olderPeerDatagrams int
	// youngPeerCount is the number of peers that were started at about the same time as this gateway or later.
	youngPeerCount int
	freshCluster   bool // no gateway of the cluster is older than this one

	accounts        map[control.CustomerID]*Account
	orderedAccounts []*Account                           // the values of accounts in the order of their creation
	removedAt       map[control.CustomerID]time.Duration // times at which the metering of customers stopped; kept for removedTTL

	peers               []*peer       // indexed by gateway ID; the entry of this gateway is unused
	pendingPeers        []*peer       // peers to which a message may have to be sent
	version             uint64        // version of the last message that this gateway sent to any peer
	interval            time.Duration // interval that this gateway asks each peer to leave between the datagrams to this gateway
	maxDatagrams        float64       // target for the number of datagrams a second that all peers together send to this gateway
	datagramsSinceSweep int           // datagrams received since the last sweep
	sendersSinceSweep   int           // number of peers that sent datagrams since the last sweep
	badDatagrams        int           // result of BadDatagramCount
}

// NewLimiter returns the limiter of gateway self in a cluster of the given number of gateways. Limits are set by SetLimit, and every
// gateway may serve every customer. The epoch, which identifies this run of the process, is derived from the seed. So no two runs of a
// gateway may have the same seed.
func NewLimiter(seed int64, self control.GatewayID, gatewayCount int, now time.Duration, config Config) *Limiter {
	invariant.Assert(self >= 0 && int(self) < gatewayCount, "the gateway ID is below the number of gateways")
	invariant.Assert(config.MinInterval > 0 && config.SnapshotTTL > 0 && config.DatagramsPerSecond > 0,
		"MinInterval, SnapshotTTL and DatagramsPerSecond are above 0")
	l := newLimiter(rand.New(rand.NewSource(seed)).Uint32()|1, self, gatewayCount, now, config)
	l.options.PeersEnabled, l.sweptAt = true, now
	return l
}

// NewPlanLimiter returns the limiter of a front door. Each customer has the limits of its plan. The set of gateways that serve a
// customer is named by each txn. The epoch identifies this run of the process and must not be 0.
func NewPlanLimiter(epoch uint32, self control.GatewayID, gatewayCount int, now time.Duration, config Config, options PlanLimiterOptions) *Limiter {
	l := newLimiter(epoch, self, gatewayCount, now, config)
	l.options = options
	return l
}

func newLimiter(epoch uint32, self control.GatewayID, gatewayCount int, now time.Duration, config Config) *Limiter {
	l := &Limiter{
		config: config, epoch: epoch, self: self, gatewayCount: gatewayCount, reachableCount: gatewayCount,
		now: now, startedAt: now, ownersAssignedAt: now,
		interval: config.MinInterval, maxDatagrams: max(1, datagramShare*config.DatagramsPerSecond),
		accounts:  map[control.CustomerID]*Account{},
		removedAt: map[control.CustomerID]time.Duration{},
	}
	for i := range gatewayCount {
		l.peers = append(l.peers, &peer{id: control.GatewayID(i)})
	}
	return l
}

// SetNow sets the limiter's clock. A time before the current one is ignored. If the clock advances by more than stallThreshold, the
// process counts as paused until the new time.
func (l *Limiter) SetNow(now time.Duration) {
	if l.now > l.startedAt && now-l.now > stallThreshold {
		l.pausedUntil = now
	}
	l.now = max(l.now, now)
}

// SetLimit sets a customer's rate in units a second and its burst in units. A lower burst reduces the level at once. Lower limits
// also reduce what was saved up under the higher ones: the withheld parts and the allowance (strict mode). After a higher
// burst, the bucket fills at the rate. A rate of 0 or below stops the metering of the customer. A customer ID above 1<<34 is not allowed.
func (l *Limiter) SetLimit(customer control.CustomerID, rate, burst float64) {
	invariant.Assert(l.options.PlanLimit == nil && customer <= 1<<34, "SetLimit is called only on a limiter without plans, and the customer ID is at most 1<<34")
	a := l.accounts[customer]
	switch {
	case rate <= 0:
		l.removeLimit(customer)
	case a == nil:
		delete(l.removedAt, customer)
		a = l.getOrCreateAccount(customer, 0)
		a.limit = &Limit{Rate: rate, Burst: burst}
		a.level, a.levelAt = l.initialLevel(a), max(l.now, l.ownersAssignedAt+l.config.OwnershipDelay)
		l.assignOwner(a, 0, l.gatewayCount)
	default:
		if a.owner == l.self {
			l.refillBucket(a)
		}
		a.limit.Rate, a.limit.Burst = rate, burst
		a.level = min(a.level, burst)
		a.limitWithheld(burst - a.level)
		l.limitSavedAllowance(a)
	}
}

// removeLimit stops the metering of a customer and records the time at which it stopped.
func (l *Limiter) removeLimit(customer control.CustomerID) {
	if a := l.accounts[customer]; a != nil {
		l.cancelReports(a)
		delete(l.accounts, customer)
		l.orderedAccounts = slices.DeleteFunc(l.orderedAccounts, func(o *Account) bool { return o == a })
	}
	l.removedAt[customer] = l.now
}

// SetReachable sets which gateways this gateway can reach, indexed by gateway ID. Gateways beyond the end of the list count as
// reachable, and so do all gateways until the first call.
//
// In strict mode, unreachable gateways reduce the refill of the buckets that this gateway owns, because the unreachable gateways consume
// their parts of the rate on their own. The reduction lasts reachabilityLag longer than the fault, because an isolated gateway may
// learn of the end of its isolation later than this gateway.
func (l *Limiter) SetReachable(reachable []bool) {
	for _, a := range l.orderedAccounts {
		if a.owner == l.self {
			l.refillBucket(a)
		}
	}
	count := 0
	for i, p := range l.peers {
		switch {
		case i == int(l.self) || i >= len(reachable) || reachable[i]:
			p.unreachableSince = 0
			count++
		case p.unreachableSince == 0:
			p.unreachableSince = max(l.now, 1)
		}
	}
	if count > l.reachableCount {
		l.reachableCountBefore, l.reachableRoseAt = l.effectiveReachableCount(), l.now
	}
	l.reachableCount = count
}

// effectiveReachableCount returns the number of gateways whose parts of the rate refill the buckets. It delays a rise of
// reachableCount by reachabilityLag. A rise within grantMaxAge after the start of this gateway takes effect at once, because a
// gateway that has just started has withheld nothing.
func (l *Limiter) effectiveReachableCount() int {
	if l.now-l.reachableRoseAt < reachabilityLag && l.reachableRoseAt-l.startedAt > grantMaxAge {
		return min(l.reachableCount, l.reachableCountBefore)
	}
	return l.reachableCount
}

// Grow sets a higher number of gateways, or another ID of this gateway. It recomputes the owners of all buckets.
//
// A bucket that this gateway owns from now on stays empty for Config.OwnershipDelay. The empty bucket accounts for all units that
// were consumed before the change of the owner, so no units are consumed twice. Units that the old owner has not acknowledged are
// reported to the new owner. If the old owner has applied these units without acknowledging them, the units count twice, and the
// customer has too few units for a short time. Grants of the old owner are void. An old owner that is partitioned from the new owner
// continues to grant units. So gateways must be added only while all gateways can reach each other.
func (l *Limiter) Grow(self control.GatewayID, gatewayCount int) {
	invariant.Assert(gatewayCount >= l.gatewayCount && int(self) < gatewayCount,
		"gatewayCount is at least the current number of gateways, and self is below gatewayCount")
	previousSelf := l.self
	if self == previousSelf && gatewayCount == l.gatewayCount {
		return
	}
	for i := len(l.peers); i < gatewayCount; i++ {
		l.peers = append(l.peers, &peer{id: control.GatewayID(i)})
	}
	if self != previousSelf {
		l.epoch += 2 // a new epoch, so that peers treat this gateway as one that has just started
	}
	allReachable, delay := l.reachableCount == l.gatewayCount, l.config.OwnershipDelay
	if l.gatewayCount == 1 && int(self) < gatewayCount-1 {
		delay = 0 // this gateway has restarted under an ID that its peers know, and the peers report to no other owner
	}
	l.self, l.gatewayCount, l.ownersAssignedAt = self, gatewayCount, l.now+delay-l.config.OwnershipDelay
	if l.reachableCount = min(l.reachableCount, gatewayCount); allReachable {
		l.reachableCount = gatewayCount
	}
	for _, a := range l.orderedAccounts {
		l.reassignOwner(a, previousSelf, delay)
	}
}

// reassignOwner computes the owner of an account after Grow. previousSelf is the ID that this gateway had before Grow. delay is the time
// for which a bucket stays empty if this gateway becomes its owner.
func (l *Limiter) reassignOwner(a *Account, previousSelf control.GatewayID, delay time.Duration) {
	owner := OwnerOf(a.id, 0, l.gatewayCount, l.gatewayCount)
	a.setWidth, a.reporterCount = l.gatewayCount, l.gatewayCount
	if owner == a.owner && l.self == previousSelf {
		return
	}
	if a.owner != previousSelf {
		a.unreported, a.unacked = a.unreported+l.cancelReports(a), 0
	}
	a.owner, a.level, a.levelAt, a.reporterStates = owner, 0, l.now, nil
	a.hasSnapshot, a.version, a.snapshotRequestedAt = false, 0, 0
	a.granted, a.grantUsed, a.allowanceAcked, a.lastAckedSentAt = 0, 0, 0, 0
	if owner == l.self {
		a.levelAt, a.unreported, a.allowanceUnreported, a.allowanceUsed = l.now+delay, 0, 0, 0
	} else if a.unreported > 0 {
		l.scheduleReport(a)
	}
}

// cancelReports removes an account from the queue of reports to its owner. It also removes the account's deltas from the messages that
// the owner has not acknowledged, and returns the number of units in these deltas.
func (l *Limiter) cancelReports(a *Account) (units float64) {
	p := l.peers[a.owner]
	p.reportQueue = slices.DeleteFunc(p.reportQueue, func(o *Account) bool { return o == a })
	a.reportQueued = false
	for _, u := range p.unacked {
		u.deltas = slices.DeleteFunc(slices.Clone(u.deltas), func(d Delta) bool {
			if d.Customer == a.id {
				units += d.Units
				a.allowanceUnreported += u.allowanceUnits[a.id]
			}
			return d.Customer == a.id
		})
	}
	p.unacked = slices.DeleteFunc(p.unacked, func(u *unackedMessage) bool { return len(u.deltas) == 0 })
	return units
}

// detectFreshCluster uses the age of a peer, which is the time since the start of the peer, to find out whether the whole cluster was
// started together with this gateway. In such a new cluster, no units can have been consumed before the start, so the buckets get their
// initial fill. One older peer proves that the cluster is not new, so the buckets of this gateway start empty.
func (l *Limiter) detectFreshCluster(p *peer, age time.Duration) {
	if age > l.now-l.startedAt+maxStartSkew {
		l.olderPeerDatagrams++
	} else if p.receivedAt == 0 {
		l.youngPeerCount++
	}
	if l.config.InitialFill <= 0 || l.olderPeerDatagrams > 0 || l.freshCluster || l.now-l.startedAt > maxStartSkew ||
		l.youngPeerCount < min(minYoungPeers, l.gatewayCount-1) {
		return
	}
	for _, a := range l.orderedAccounts {
		if a.owner == l.self {
			a.level += l.initialFillUnits(a) // the next refill limits the level to the burst
		}
	}
	l.freshCluster = true
}

// Sweep adapts the interval that each peer leaves between its datagrams to this gateway. It also removes idle accounts, and removes
// old records of customers that are no longer metered. A call less than a second after the last sweep does nothing.
func (l *Limiter) Sweep() {
	if l.now-l.sweptAt < time.Second {
		return
	}
	l.adjustInterval()
	l.removeIdleAccounts()
	l.sweptAt = l.now
	maps.DeleteFunc(l.removedAt, func(_ control.CustomerID, at time.Duration) bool { return l.now-at > removedTTL })
}

// adjustInterval sets the interval that this gateway asks each peer to leave between its datagrams. The interval grows with the rate of
// received datagrams, so that each peer sends fewer datagrams if many peers report to this gateway.
func (l *Limiter) adjustInterval() {
	rate := float64(l.datagramsSinceSweep) / (l.now - l.sweptAt).Seconds()
	l.interval = min(max(l.config.MinInterval, time.Duration(float64(l.interval)*max(rate/l.maxDatagrams, intervalDecay))), maxInterval)
	if rate > l.maxDatagrams {
		l.interval = max(l.interval, time.Duration(float64(l.sendersSinceSweep)/l.maxDatagrams*float64(time.Second)))
	}
	l.datagramsSinceSweep, l.sendersSinceSweep = 0, 0
}

// removeIdleAccounts removes the idle accounts whose state equals the state of a new account. It keeps accounts whose limits were set
// by SetLimit.
func (l *Limiter) removeIdleAccounts() {
	kept := l.orderedAccounts[:0]
	for _, a := range l.orderedAccounts {
		full := a.owner != l.self || a.level+a.limit.Rate*(l.now-a.levelAt).Seconds() >= a.limit.Burst &&
			(a.limit.HardRate <= 0 || l.refillHardShare(a) >= l.hardShareCap(a))
		if l.options.PlanLimit != nil && l.now-a.lastUsedAt > idleAfter && full && !a.reportQueued && a.inFlight == 0 && a.reservations == 0 &&
			a.unacked <= 0 {
			delete(l.accounts, a.id)
			continue
		}
		kept = append(kept, a)
	}
	l.orderedAccounts = kept
}

// NextDeadline returns the next time at which NextDatagram may return a datagram or Sweep may be due. The result is the current time or
// later.
func (l *Limiter) NextDeadline() time.Duration {
	next := l.sweptAt + time.Second
	for _, p := range l.pendingPeers {
		at := next
		if len(p.unacked) > 0 {
			at = p.resendTime() + 1
		}
		if len(p.reportQueue) > 0 || p.ackPending {
			at = l.now
		}
		if p.sentAt > 0 {
			at = max(at, p.sentAt+max(p.interval, l.config.MinInterval))
		}
		next = min(next, at)
	}
	return max(next, l.now)
}

// Epoch returns the epoch of this limiter. Messages carry the epoch, and peers repeat it in their acknowledgements.
func (l *Limiter) Epoch() uint32 { return l.epoch }

// HasPending reports whether any peer is queued for a datagram, which may be due at the current time or later.
func (l *Limiter) HasPending() bool { return len(l.pendingPeers) > 0 }

// CustomerCount returns the number of customers with an account.
func (l *Limiter) CustomerCount() int { return len(l.accounts) }

// BadDatagramCount returns the sum of two numbers since the start. The first is the number of datagrams that were malformed or did not
// come from a known peer. The second is the number of rejections of single deltas or of all deltas of a message.
func (l *Limiter) BadDatagramCount() int { return l.badDatagrams }

// AccountState is an excerpt of an account for diagnosis.
type AccountState struct {
	Owner    control.GatewayID
	Level    float64 // units in the bucket or in the owner's last snapshot
	Reserved float64 // units reserved for requests that wait for another resource
}

// AccountState returns an excerpt of a customer's account, and false if there is no account.
func (l *Limiter) AccountState(customer control.CustomerID) (AccountState, bool) {
	a := l.accounts[customer]
	if a == nil {
		return AccountState{}, false
	}
	return AccountState{Owner: a.owner, Level: a.level, Reserved: a.reserved}, true
}
