package loadbalancer

import (
	"math/rand"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/timerqueue"
)

// Controller decides for one front door. It is not safe for concurrent use. All times are of the host's clock.
type Controller struct {
	// Settings.
	gateways       int // front doors, this one included
	zone           control.ZoneID
	products       []product
	plans          []plan
	maxSubmissions int           // of one txn
	maxAdvice      time.Duration // longest time after which a client is advised to come again
	probesAllowed  bool
	cancelAllowed  bool
	adviceAllowed  bool
	loadByProbe    bool // load reports come with probes, not with answers
	loadFields     []string
	warmUpTime     time.Duration // of a backend that has started
	initialWarmth  float64       // share of its capacity that such a backend begins with
	fallWindow     time.Duration // more than fallMultiple times what a warm backend gets in it
	fallMultiple   float64       // pushes over a backend that is warming up

	// Time.
	now         time.Duration
	startedAt   time.Duration
	sweptAt     time.Duration
	wakeAt      time.Duration
	pausedFrom  time.Duration // this process last stood still from then
	pausedUntil time.Duration // to then

	quota *quota.Limiter
	rng   *rand.Rand

	// Txns.
	txns        map[control.TxnID]*txn
	timers      timerqueue.Queue[control.TxnID] // expiries, and ends of waiting
	undecided   []*txn                          // to be decided next
	waiting     []*txn                          // for units, a snapshot, a slot or a backend
	recheck     bool                            // what waits is to be decided again
	decisions   []control.Decision              // made and not yet taken by Next
	retryCredit float64
	givenUp     reasonCounts // since the last summary
	loggedAt    time.Duration

	// Backends.
	backends       map[control.BackendID]*backend
	ordered        []*backend // the same, by id
	byHash         map[uint64]*backend
	available      []*backend // the ready ones at the last survey
	surveyedAt     time.Duration
	examinedAt     time.Duration
	probeCredit    float64
	candidates     []*backend // space for pick
	slowdowns      []float64  // space for survey
	medianSlowdown float64

	// What is known of all backends.
	latency          map[int]float64 // usual answer time by kind of work, in seconds
	meanWork         float64         // mean usual answer time of the txns that were sent, in seconds
	fleetFailures    []productFailures
	lostShare        float64 // share of submissions that were lost
	completionRate   float64 // answers a second of warm backends, smoothed
	completionRateAt time.Duration
	warmRate         float64             // the same of one warm backend
	observations     []quota.Observation // how the last submissions went
	observationCount int

	// Capacity.
	capacity     float64
	capacityGain float64
	utilization  float64       // share of the capacity in use
	saturated    bool          // no backend has room until something changes
	saturatedAt  time.Duration // when that was last so
}

// New makes a controller that knows its settings and nothing else. The error is a *SettingError, of the first setting that is missing or wrong.
func New(seed int64, s control.Settings, now time.Duration) (*Controller, error) {
	r := &settingsReader{settings: s}
	self := control.GatewayID(r.count("me", 1<<20))
	c := &Controller{
		now: now, startedAt: now, sweptAt: now,
		rng:            rand.New(rand.NewSource(seed)),
		gateways:       r.count("gateways", 1<<20),
		zone:           control.ZoneID(r.count("zone", 1<<16)),
		probesAllowed:  r.boolean("limits.probes"),
		cancelAllowed:  r.boolean("limits.cancel"),
		adviceAllowed:  r.boolean("limits.advice"),
		maxAdvice:      r.duration("limits.longest_advice"),
		maxSubmissions: r.count("limits.max_submissions", 1<<16),
		loadByProbe:    r.text("report.how") == "probe",
		loadFields:     r.list("report.fields"),
		warmUpTime:     r.duration("rules.warm_by"),
		fallWindow:     r.duration("rules.fall_window"),
		initialWarmth:  r.number("rules.cold_from"),
		fallMultiple:   r.number("rules.fall_multiple"),
		products:       r.products(),
		plans:          r.plans(),
		txns:           map[control.TxnID]*txn{},
		backends:       map[control.BackendID]*backend{},
		byHash:         map[uint64]*backend{},
		latency:        map[int]float64{},
		retryCredit:    maxRetryCredit / 3,
		probeCredit:    maxProbeCredit,
		capacityGain:   initialCapacityGain,
		saturatedAt:    -pressureTTL,
	}
	c.capacity = initialCapacity / float64(max(c.gateways, 1))
	c.fleetFailures = make([]productFailures, len(c.products))
	if len(c.products) == 0 || len(c.plans) == 0 {
		r.fail("products.count and plans.count", "must be one at the least")
	}
	if c.gateways < 1 || int(self) >= c.gateways {
		r.fail("me", "must be under the number of gateways, which is one at the least")
	}
	config := quota.Config{
		MinInterval: minInterval, SnapshotTTL: snapshotTTL, InitialFill: 1,
		DatagramsPerSecond: r.number("quota.mail_per_s"), MaxUnits: r.number("quota.most_units"),
	}
	plans := quota.PlanLimiterOptions{
		PeersEnabled: r.boolean("limits.peers"), PlanLimit: c.planLimit,
		LastObservations: c.lastObservations, ObservationsReceived: c.takeObservations,
	}
	c.quota = quota.NewPlanLimiter(c.rng.Uint32()|1, self, c.gateways, now, config, plans)
	return c, r.err
}

// planLimit gives the limits of a plan, nil for one that the settings don't name.
func (c *Controller) planLimit(id control.PlanID) *quota.Limit {
	if id < 0 || int(id) >= len(c.plans) {
		return nil
	}
	return &c.plans[id].Limit
}

// Now sets the clock, which never goes back. After a standstill of this process time-outs, silence and old snapshots are of its own making, and
// are held against nobody. What arrived meanwhile has waited already, see backdateArrivals.
func (c *Controller) Now(now time.Duration) {
	if c.now > c.startedAt && now-c.now > stallThreshold {
		c.pausedFrom, c.pausedUntil = c.now, now
		for _, b := range c.ordered {
			b.unansweredSince = now
		}
	}
	c.now = max(c.now, now)
	c.quota.Now(now)
}

// Next gives the next decision, or false when there is none now: made ones, then txns, timers, periodic work, datagrams, the next wake-up.
func (c *Controller) Next() (control.Decision, bool) {
	if c.pausedFrom < c.pausedUntil {
		c.backdateArrivals()
	}
	for {
		if len(c.decisions) > 0 {
			d := c.decisions[0]
			c.decisions = c.decisions[1:]
			return d, true
		}
		if c.recheck {
			c.recheck = false
			c.requeueWaiting()
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
		if c.now-c.sweptAt >= c.sweepInterval() {
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

// requeueWaiting puts what waits before what is undecided. Under pressure what is worth most for the time it takes goes first, of the same
// worth the older.
func (c *Controller) requeueWaiting() {
	if len(c.waiting) == 0 {
		return
	}
	for _, t := range c.waiting {
		t.queued = false
	}
	c.undecided, c.waiting = append(c.waiting, c.undecided...), nil
	if c.underPressure() {
		sort.SliceStable(c.undecided, func(i, j int) bool { return c.valueRate(c.undecided[i]) > c.valueRate(c.undecided[j]) })
	}
}

// sweepInterval is the time from one sweep to the next.
func (c *Controller) sweepInterval() time.Duration {
	if len(c.waiting) > 0 || c.quota.HasPending() {
		return busyInterval
	}
	return surveyInterval
}

// sweep does the periodic work.
func (c *Controller) sweep() {
	c.recheck, c.saturated = true, false
	if c.now-c.examinedAt >= surveyInterval {
		c.examinedAt = c.now
		c.examineBackends()
	}
	c.quota.Sweep()
}

// wake asks to be woken for the next sweep or timer, unless that was asked before.
func (c *Controller) wake() (control.Decision, bool) {
	next := c.sweptAt + c.sweepInterval()
	if at, ok := c.timers.NextDeadline(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+minWake)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return control.Decision{}, false
	}
	c.wakeAt = next
	return control.Decision{Action: control.Wake, After: c.wakeAt - c.now}, true
}

// Woken is called when a wake-up that was asked for has come. Next finds what is due by the clock.
func (c *Controller) Woken(uint64) {}

// DatagramReceived takes a peer's datagram.
func (c *Controller) DatagramReceived(from control.GatewayID, payload []byte) {
	if c.quota.DatagramReceived(from, payload) {
		c.recheck = true
	}
}

// logSummary writes the summary for the log.
func (c *Controller) logSummary(ejected int) {
	var fields []control.LogField
	for reason, name := range reasonNames {
		fields = append(fields, control.IntField(name, c.givenUp[reason]))
	}
	fields = append(fields, control.LogField{Name: "capacity", Value: c.capacity}, control.IntField("ejected", ejected),
		control.IntField("backends", len(c.available)), control.IntField("waiting", len(c.waiting)),
		control.IntField("bad_datagrams", c.quota.BadDatagrams()))
	c.decisions = append(c.decisions, control.Decision{Action: control.Log, Entry: &control.LogEntry{Message: "txns given up", Fields: fields}})
	c.givenUp, c.loggedAt = reasonCounts{}, c.now
}

// reasonCounts counts txns by what they lacked when they were given up.
type reasonCounts [control.ReasonCount]int

// reasonNames are the names of the counts in the log.
var reasonNames = [control.ReasonCount]string{
	control.ReasonNoTime: "no_time", control.ReasonNoUnits: "no_units", control.ReasonNoSnapshot: "no_snapshot",
	control.ReasonNoSlot: "no_slot", control.ReasonHardLimit: "hard_limit", control.ReasonNoBackend: "no_backend",
}
