package admission

import (
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/balancer"
	"clovergap/internal/timerqueue"
)

// defaultRetryWindow is the window of the retry budget where none is configured.
const defaultRetryWindow = 10 * time.Second

// Limiter keeps the quotas of customers; *quota.Limiter is one. A customer that it does not know is not metered. Whoever makes it
// sets its limits and gateways.
type Limiter interface {
	Now(now time.Duration)
	Check(c control.CustomerID, r quota.Request) (quota.Outcome, time.Duration)
	Reserve(c control.CustomerID, units float64)
	Release(c control.CustomerID, units float64)
	Consume(c control.CustomerID, units float64)
	DatagramReceived(from control.GatewayID, payload []byte) (news bool)
	Sweep()
	NextDatagram() (to control.GatewayID, payload []byte, ok bool)
	NextDeadline() time.Duration
}

// Config is what does not change while a node lives, except Nodes (SetNodes).
type Config struct {
	Zone control.ZoneID
	// RetryRatio retries are allowed for each request, in any RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration // 0: 10 s
	// RetryAllowance retries are allowed besides, over all nodes together.
	RetryAllowance float64
	// Nodes share the allowance and the backends: rather too many than too few.
	Nodes int
}

// Controller decides for one node. It is not safe for concurrent use. All times are of the host's clock.
type Controller struct {
	config    Config
	limiter   Limiter
	assigner  Assigner // nil while there is no roll-out
	rng       *rand.Rand
	zoneIndex int // of this node among those of its zone
	zoneNodes int // how many these are

	now         time.Duration
	workedAt    time.Duration // last periodic work
	sweptAt     time.Duration
	wakeAt      time.Duration
	pausedUntil time.Duration // end of the last time in which this process stood still

	routes    map[control.ProductID]*Route
	services  []*service // by id
	serviceOf map[control.BackendID]*service

	txns          map[control.TxnID]*txn
	timers        timerqueue.Queue[timer]
	undecided     []*txn // to be decided next
	awaitingUnits []*txn
	recheckUnits  bool               // those are to be decided again
	decisions     []control.Decision // made and not yet taken by Next

	counts   counts // since the last summary
	loggedAt time.Duration
}

// New makes a controller that knows neither routes nor backends.
func New(seed int64, config Config, limiter Limiter, now time.Duration) *Controller {
	config.Nodes = max(config.Nodes, 1)
	if config.RetryWindow <= 0 {
		config.RetryWindow = defaultRetryWindow
	}
	return &Controller{
		config: config, limiter: limiter, rng: rand.New(rand.NewSource(seed)),
		now: now, workedAt: now, sweptAt: now, loggedAt: now,
		routes:    map[control.ProductID]*Route{},
		serviceOf: map[control.BackendID]*service{},
		txns:      map[control.TxnID]*txn{},
	}
}

// SetZoneIndex says which of how many nodes of its zone this one is, from 0.
func (c *Controller) SetZoneIndex(index, nodes int) {
	c.zoneIndex, c.zoneNodes = index, nodes
	for _, s := range c.services {
		s.balancer.SetZoneIndex(index, nodes)
	}
}

// SetNodes says how many nodes share the retry allowance and the backends.
func (c *Controller) SetNodes(n int) {
	for _, s := range c.services {
		c.advanceBudget(s) // with the old number until now
		s.balancer.SetNodes(n)
	}
	c.config.Nodes = max(n, 1)
}

// Now sets the clock, which never goes back. A wake-up is always asked for, so one that comes late shows that this process stood
// still. Time-outs and silence of that time are of its own making.
func (c *Controller) Now(now time.Duration) {
	if c.wakeAt > 0 && now-c.wakeAt > stallThreshold {
		c.pausedUntil = now
		for _, s := range c.services {
			s.balancer.Resumed(now)
		}
	}
	c.now = max(c.now, now)
	c.limiter.Now(c.now)
}

// DatagramReceived takes a peer's datagram for the quota.
func (c *Controller) DatagramReceived(from control.GatewayID, payload []byte) {
	c.recheckUnits = c.limiter.DatagramReceived(from, payload) || c.recheckUnits
}

// ProbeEnded does nothing: no probe is asked for.
func (c *Controller) ProbeEnded(control.BackendID, bool, time.Duration, []float64) {}

// Woken is called when a wake-up that was asked for has come. Next finds what is due by the clock.
func (c *Controller) Woken(uint64) {}

// Next gives the next decision, or false when there is none now. Timers go before what is sent: after a standstill nothing is sent that
// nobody waits for.
func (c *Controller) Next() (control.Decision, bool) {
	for {
		if len(c.decisions) > 0 {
			d := c.decisions[0]
			c.decisions = c.decisions[1:]
			return d, true
		}
		if due, ok := c.timers.Take(c.now); ok {
			if t := c.txns[due.txn]; t != nil {
				c.fireTimer(t, due.kind)
			}
			continue
		}
		if c.recheckUnits {
			c.recheckUnits = false
			c.requeueAwaitingUnits()
			continue
		}
		if len(c.undecided) > 0 {
			t := c.undecided[0]
			c.undecided = c.undecided[1:]
			c.decide(t)
			continue
		}
		if c.sendQueued() {
			continue
		}
		if c.now-c.workedAt >= c.workInterval() {
			c.workedAt = c.now
			c.periodicWork()
			continue
		}
		if c.limiter.NextDeadline() <= c.now {
			c.limiter.Sweep()
		}
		if to, payload, ok := c.limiter.NextDatagram(); ok {
			return control.Decision{Action: control.SendDatagram, Peer: to, Payload: payload}, true
		}
		return c.wake()
	}
}

// requeueAwaitingUnits puts the requests that wait for units before those that are undecided.
func (c *Controller) requeueAwaitingUnits() {
	c.undecided = append(c.awaitingUnits, c.undecided...)
	for _, t := range c.awaitingUnits {
		t.awaitsUnits = false
	}
	c.awaitingUnits = nil
}

// workInterval is the time from one periodic work to the next.
func (c *Controller) workInterval() time.Duration {
	if len(c.awaitingUnits) > 0 || slices.ContainsFunc(c.services, func(s *service) bool { return len(s.queue) > 0 }) {
		return busyInterval
	}
	if len(c.txns) > 0 {
		return inFlightInterval
	}
	return sweepInterval
}

// periodicWork lets all that waits be looked at again, since pauses of backends may be over, and once a second drops what is no
// longer used.
func (c *Controller) periodicWork() {
	c.recheckUnits = len(c.awaitingUnits) > 0
	for _, s := range c.services {
		s.recheck = len(s.queue) > 0
	}
	if c.now-c.sweptAt >= sweepInterval {
		c.sweptAt = c.now
		for _, s := range c.services {
			s.concurrency.advance(c.now)
		}
		c.services = slices.DeleteFunc(c.services, func(s *service) bool {
			return s.txnCount == 0 && s.balancer.Empty() && s.baseline == nil && s.canary == nil && !c.hasRoute(s)
		})
	}
	if c.now-c.loggedAt >= logInterval && c.counts != (counts{}) {
		c.logSummary()
	}
}

// wake asks to be woken for the next timer or work, unless that was asked before.
func (c *Controller) wake() (control.Decision, bool) {
	next := min(c.workedAt+c.workInterval(), max(c.limiter.NextDeadline(), c.now+minDatagramInterval))
	if at, ok := c.timers.NextDeadline(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+minWake)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return control.Decision{}, false
	}
	c.wakeAt = next
	return control.Decision{Action: control.Wake, After: next - c.now}, true
}

// newBalancer makes the balancer of a service.
func (c *Controller) newBalancer() *balancer.Balancer {
	b := balancer.New(c.rng, c.config.Zone, c.config.Nodes)
	b.SetZoneIndex(c.zoneIndex, c.zoneNodes)
	return b
}
