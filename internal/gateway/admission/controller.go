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

// defaultRetryWindow is the window of the retry budget if none is configured.
const defaultRetryWindow = 10 * time.Second

// Limiter enforces the quotas of tenants, which package quota calls customers. *quota.Limiter implements Limiter. A customer without a limit is not
// limited. The creator of the Limiter sets its limits and its gateways, which are the nodes. DatagramReceived reports whether requests that wait for
// units should be checked again.
type Limiter interface {
	SetNow(now time.Duration)
	Check(c control.CustomerID, r quota.Request) (quota.Outcome, time.Duration)
	Reserve(c control.CustomerID, units float64)
	Release(c control.CustomerID, units float64)
	Consume(c control.CustomerID, units float64)
	DatagramReceived(from control.GatewayID, payload []byte) (changed bool)
	Sweep()
	NextDatagram() (to control.GatewayID, payload []byte, ok bool)
	NextDeadline() time.Duration
}

// Config holds the settings of a controller. Only Nodes may change after New, see SetNodes.
type Config struct {
	Zone control.ZoneID
	// RetryRatio is the number of retries allowed per request, in any period of length RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration // 0 means 10 s
	// RetryAllowance is the number of retries allowed in addition, in any period of length RetryWindow and over all nodes together.
	RetryAllowance float64
	// Nodes is the number of nodes that share the allowance and the backends. A number that is too high is safe. A number that is too low allows
	// more retries than RetryAllowance.
	Nodes int
}

// Controller makes the decisions of one node. It is not safe for concurrent use. All times are readings of the host's clock.
type Controller struct {
	config    Config
	limiter   Limiter
	assigner  Assigner // may be nil while there is no roll-out
	rng       *rand.Rand
	zoneIndex int // index of this node among the nodes of its zone
	zoneNodes int // number of nodes in this zone

	now            time.Duration
	periodicWorkAt time.Duration // time of the last round of periodic work
	sweptAt        time.Duration // time at which unused services were last removed
	wakeAt         time.Duration // time of the last requested wake-up
	pausedUntil    time.Duration // end of the last pause of this process

	routes    map[control.ProductID]*Route
	services  []*service // sorted by ID
	serviceOf map[control.BackendID]*service

	txns          map[control.TxnID]*txn
	timers        timerqueue.Queue[timer]
	undecided     []*txn                         // requests to pass to decideNextStep, in order
	awaitingUnits []*txn                         // requests that wait for units of their tenant's quota
	unitsAwaited  map[control.CustomerID]float64 // units for which these requests wait, by tenant
	recheckUnits  bool                           // the requests in awaitingUnits are to be decided again
	decisions     []control.Decision             // made, but not yet returned by Next

	counts   counts // events since the last summary
	loggedAt time.Duration
}

// New returns a controller without routes and backends.
func New(seed int64, config Config, limiter Limiter, now time.Duration) *Controller {
	config.Nodes = max(config.Nodes, 1)
	if config.RetryWindow <= 0 {
		config.RetryWindow = defaultRetryWindow
	}
	return &Controller{
		config: config, limiter: limiter, rng: rand.New(rand.NewSource(seed)),
		now: now, periodicWorkAt: now, sweptAt: now, loggedAt: now,
		routes:    map[control.ProductID]*Route{},
		serviceOf: map[control.BackendID]*service{},
		txns:      map[control.TxnID]*txn{},

		unitsAwaited: map[control.CustomerID]float64{},
	}
}

// SetZoneIndex sets the index of this node among the nodes of its zone, from 0, and the number of these nodes.
func (c *Controller) SetZoneIndex(index, nodes int) {
	c.zoneIndex, c.zoneNodes = index, nodes
	for _, s := range c.services {
		s.balancer.SetZoneIndex(index, nodes)
	}
}

// SetNodes sets the number of nodes that share the retry allowance and the backends.
func (c *Controller) SetNodes(nodeCount int) {
	for _, s := range c.services {
		c.advanceBudget(s) // the previous number of nodes applies until now
		s.balancer.SetNodes(nodeCount)
	}
	c.config.Nodes = max(nodeCount, 1)
}

// Now sets the current time. An earlier time than the last one is ignored. A wake-up is always requested. So if a call of Now comes more than
// stallThreshold after the requested time, this process was paused. Time-outs and missing responses during the pause do not count against the
// backends.
func (c *Controller) Now(now time.Duration) {
	if c.wakeAt > 0 && now-c.wakeAt > stallThreshold {
		c.pausedUntil = now
		for _, s := range c.services {
			s.balancer.RecordResume(now)
		}
	}
	c.now = max(c.now, now)
	c.limiter.SetNow(c.now)
}

// DatagramReceived passes a datagram of another node to the limiter.
func (c *Controller) DatagramReceived(from control.GatewayID, payload []byte) {
	c.recheckUnits = c.limiter.DatagramReceived(from, payload) || c.recheckUnits
}

// ProbeEnded does nothing, because this controller requests no probes.
func (c *Controller) ProbeEnded(control.BackendID, bool, time.Duration, []float64) {}

// Woken is called at a requested wake-up. It does nothing, because Next compares all timers with the current time.
func (c *Controller) Woken(uint64) {}

// Next returns the next decision, or false if there is none now. Timers fire before requests are sent. So a request whose deadline has passed
// during a pause of this process is not sent.
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
			c.decideNextStep(t)
			continue
		}
		if c.sendQueued() {
			continue
		}
		if c.now-c.periodicWorkAt >= c.periodicWorkInterval() {
			c.periodicWorkAt = c.now
			c.doPeriodicWork()
			continue
		}
		if c.limiter.NextDeadline() <= c.now {
			c.limiter.Sweep()
		}
		if to, payload, ok := c.limiter.NextDatagram(); ok {
			return control.Decision{Action: control.SendDatagram, Peer: to, Payload: payload}, true
		}
		return c.requestWakeUp()
	}
}

// periodicWorkInterval returns the time between two rounds of periodic work.
func (c *Controller) periodicWorkInterval() time.Duration {
	if len(c.awaitingUnits) > 0 || slices.ContainsFunc(c.services, func(s *service) bool { return len(s.queue) > 0 }) {
		return waitingInterval
	}
	if len(c.txns) > 0 {
		return inFlightInterval
	}
	return sweepInterval
}

// doPeriodicWork marks all waiting requests for another check, because backoffs of backends may have ended. Once per sweepInterval it removes
// services that are no longer used. Once per logInterval it logs a summary if there were any events.
func (c *Controller) doPeriodicWork() {
	c.recheckUnits = len(c.awaitingUnits) > 0
	for _, s := range c.services {
		s.recheck = len(s.queue) > 0
	}
	if c.now-c.sweptAt >= sweepInterval {
		c.sweptAt = c.now
		for _, s := range c.services {
			s.concurrency.endSpanIfOver(c.now)
		}
		c.services = slices.DeleteFunc(c.services, func(s *service) bool {
			return s.txnCount == 0 && s.balancer.IsEmpty() && s.baseline == nil && s.canary == nil && !c.isRouteTarget(s)
		})
	}
	if c.now-c.loggedAt >= logInterval && c.counts != (counts{}) {
		c.logSummary()
	}
}

// requestWakeUp returns a decision that requests a wake-up for the next timer or the next periodic work. It returns false if a wake-up at that time
// or earlier is already requested.
func (c *Controller) requestWakeUp() (control.Decision, bool) {
	next := min(c.periodicWorkAt+c.periodicWorkInterval(), max(c.limiter.NextDeadline(), c.now+minDatagramInterval))
	if at, ok := c.timers.NextDeadline(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+minWakeDelay)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return control.Decision{}, false
	}
	c.wakeAt = next
	return control.Decision{Action: control.Wake, After: next - c.now}, true
}

// newBalancer returns a balancer for a service.
func (c *Controller) newBalancer() *balancer.Balancer {
	b := balancer.New(c.rng, c.config.Zone, c.config.Nodes)
	b.SetZoneIndex(c.zoneIndex, c.zoneNodes)
	return b
}
