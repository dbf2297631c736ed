package loadbalancer

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/timerqueue"
)

// Controller is the decision module of one gateway.
type Controller struct {
	quota                        *quota.Limiter
	now, startedAt, sweptAt      time.Duration
	rng                          *rand.Rand
	gateways                     int
	zone                         control.ZoneID
	products                     []product
	plans                        []plan
	probesAllowed                bool
	cancelAllowed, adviceAllowed bool
	maxAdvice                    time.Duration
	maxSubmissions               int
	loadByProbe                  bool
	loadFields                   []string
	warmUpTime, fallWindow       time.Duration
	initialWarmth, fallMultiple  float64

	txns             map[control.TxnID]*txn
	timers           timerqueue.Queue[control.TxnID]
	undecided        []*txn
	waiting          []*txn // waiting for units, a view, a slot or a backend
	recheck          bool
	decisions        []control.Decision
	backends         map[control.BackendID]*backend
	ordered          []*backend      // in order of id
	latency          map[int]float64 // usual answer time by product and units, in seconds
	retryCredit      float64
	probeCredit      float64 // probes that may go out to learn of load
	wakeAt           time.Duration
	pausedFrom       time.Duration // when this gateway stood still last
	pausedUntil      time.Duration
	capacity         float64       // submissions out at a usual backend, at most
	saturatedAt      time.Duration // when room last ran out
	givenUp          reasonCounts
	loggedAt         time.Duration
	surveyedAt       time.Duration
	available        []*backend // ready ones
	candidates       []*backend
	slowdowns        []float64
	medianSlowdown   float64
	warmRate         float64 // sends a second to a warm backend
	saturated        bool
	meanWork         float64           // mean usual time of the txns sent, in seconds
	fleetFailures    []productFailures // failing shares of the fleet
	examinedAt       time.Duration
	capacityGain     float64 // share that a prompt answer adds to the room
	lostShare        float64 // share of submissions, everywhere
	completionRate   float64 // settled a second at warm backends, smoothed
	completionRateAt time.Duration
	observations     []quota.Observation // how the last submissions went
	observationCount int
	byHash           map[uint64]*backend
	utilization      float64 // share of the room in use
}

// New starts an instance: nothing is known but the settings.
func New(seed int64, s control.Settings, now time.Duration) (*Controller, error) {
	d, p := newController(seed, s, now)
	d.retryCredit, d.saturatedAt, d.capacity = maxRetryCredit/3, -pressureTTL, initialCapacity/float64(max(d.gateways, 1))
	d.probeCredit, d.capacityGain = maxProbeCredit, initialCapacityGain
	return d, p.err
}

// newController makes an instance that knows its settings and nothing else.
func newController(seed int64, s control.Settings, now time.Duration) (*Controller, *settingsReader) {
	p := &settingsReader{settings: s}
	me := control.GatewayID(p.count("me", 1<<20))
	d := &Controller{now: now, startedAt: now, sweptAt: now, rng: rand.New(rand.NewSource(seed)),
		gateways: p.count("gateways", 1<<20), zone: control.ZoneID(p.count("zone", 1<<16)), probesAllowed: p.boolean("limits.probes"),
		cancelAllowed: p.boolean("limits.cancel"), adviceAllowed: p.boolean("limits.advice"),
		maxAdvice: p.duration("limits.longest_advice"), maxSubmissions: p.count("limits.max_submissions", 1<<16),
		loadByProbe: p.text("report.how") == "probe", warmUpTime: p.duration("rules.warm_by"),
		fallWindow: p.duration("rules.fall_window"), initialWarmth: p.number("rules.cold_from"),
		fallMultiple: p.number("rules.fall_multiple"), txns: map[control.TxnID]*txn{}, backends: map[control.BackendID]*backend{},
		byHash: map[uint64]*backend{}, latency: map[int]float64{}}
	d.loadFields = (&settingsReader{settings: control.Settings{"f": s["report.fields"]}}).list("f")
	d.products, d.plans = p.products(), p.plans()
	if len(d.products) == 0 || len(d.plans) == 0 {
		p.fail("products.count and plans.count", "must be one at the least")
	}
	d.fleetFailures = make([]productFailures, len(d.products))
	if d.gateways < 1 || int(me) >= d.gateways {
		p.fail("me", "must be under the number of gateways, which is one at the least")
	}
	d.quota = quota.NewPlanLimiter(d.rng.Uint32()|1, me, d.gateways, now, quota.Config{MinInterval: minInterval, SnapshotTTL: snapshotTTL,
		DatagramsPerSecond: p.number("quota.mail_per_s"), InitialFill: 1, MaxUnits: p.number("quota.most_units")},
		quota.Plans{PeersEnabled: p.boolean("limits.peers"), Limit: d.planLimit, Observations: d.lastObservations, Observed: d.takeObservations})
	return d, p
}

// planLimit gives the limits of a plan, nil for one that the settings don't name.
func (c *Controller) planLimit(pl control.PlanID) *quota.Limit {
	if pl < 0 || int(pl) >= len(c.plans) {
		return nil
	}
	return &c.plans[pl].Limit
}

// Now sets the clock.
func (c *Controller) Now(now time.Duration) {
	// A gateway that stood still for longer than its periodic work allows finds time-outs, silence and old views
	// of its own making: they are held against nobody. What came meanwhile has waited already, see backdateArrivals.
	if c.now > c.startedAt && now-c.now > stallThreshold {
		c.pausedFrom, c.pausedUntil = c.now, now
		for _, b := range c.ordered {
			b.unansweredSince = now
		}
	}
	c.now = max(c.now, now)
	c.quota.Now(now)
}

// Next gives the next thing to do now, or false when there is none.
func (c *Controller) Next() (control.Decision, bool) {
	if c.pausedFrom < c.pausedUntil {
		c.backdateArrivals()
	}
	for {
		if len(c.decisions) > 0 {
			x := c.decisions[0]
			c.decisions = c.decisions[1:]
			return x, true
		}
		if c.recheck {
			c.recheck = false
			if len(c.waiting) > 0 {
				for _, t := range c.waiting {
					t.queued = false
				}
				c.undecided, c.waiting = append(c.waiting, c.undecided...), nil
				if c.underPressure() { // what is worth most for the time it takes goes first, the older before
					sort.SliceStable(c.undecided, func(i, j int) bool { return c.valueRate(c.undecided[i]) > c.valueRate(c.undecided[j]) })
				}
			}
		}
		if len(c.undecided) > 0 {
			t := c.undecided[0]
			c.undecided = c.undecided[1:]
			c.decide(t)
			continue
		}
		if id, ok := c.timers.Take(c.now); ok {
			if t := c.txns[id]; t != nil {
				c.expire(t)
			}
			continue
		}
		if c.now-c.sweptAt >= c.workInterval() {
			c.sweptAt = c.now
			c.sweep()
			continue
		}
		if to, payload, ok := c.quota.NextDatagram(); ok {
			return control.Decision{Action: control.SendDatagram, Peer: to, Payload: payload}, true
		}
		return c.wake()
	}
}

// workInterval is the time from one periodic work to the next.
func (c *Controller) workInterval() time.Duration {
	if len(c.waiting) > 0 || c.quota.HasPending() {
		return busyInterval
	}
	return surveyInterval
}

// sweep is all work that comes by the clock.
func (c *Controller) sweep() {
	c.recheck, c.saturated = true, false
	if c.now-c.examinedAt >= surveyInterval {
		c.examinedAt = c.now
		c.examineBackends()
	}
	c.quota.Sweep()
}

// wake asks for the one periodic timer and, if something is due before it, for that time.
func (c *Controller) wake() (control.Decision, bool) {
	next := c.sweptAt + c.workInterval()
	if at, ok := c.timers.Next(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+time.Millisecond)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return control.Decision{}, false
	}
	c.wakeAt = next
	return control.Decision{Action: control.Wake, After: c.wakeAt - c.now}, true
}

// Woken is called when a wake-up that was asked for has come.
func (c *Controller) Woken(uint64) {}

// DatagramReceived takes a peer message. What does not decode is dropped and counted.
func (c *Controller) DatagramReceived(from control.GatewayID, payload []byte) {
	if c.quota.DatagramReceived(from, payload) {
		c.recheck = true
	}
}

// logSummary writes the line for the log.
func (c *Controller) logSummary(aside int) {
	c.decisions = append(c.decisions, control.Decision{Action: control.Log, Text: fmt.Sprintf("given up for want of%s; room %.2f, "+
		"%d of %d backends aside, %d txns wait, %d bad messages", c.givenUp.text(), c.capacity, aside, len(c.available),
		len(c.waiting), c.quota.BadDatagrams())})
	c.givenUp, c.loggedAt = reasonCounts{}, c.now
}

// reasonCounts counts txns given up by what they lacked.
type reasonCounts [control.ReasonCount]int

func (r reasonCounts) text() (s string) {
	for i, name := range []string{"time", "units", "a view", "slots", "ceiling", "backends"} {
		s += fmt.Sprintf(" %s %d", name, r[i])
	}
	return s
}
