package loadbalancer

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/timerqueue"
)

// Controller makes the decisions of one front door. A Controller is not safe for concurrent use. All times are on the host's clock.
type Controller struct {
	// Settings.
	gateways           int // number of front doors, including this one; package quota calls a front door a gateway
	zone               control.ZoneID
	products           []product
	plans              []plan
	maxSubmissions     int           // maximum number of submissions of one txn
	maxRetryAfter      time.Duration // longest delay after which a client is advised to retry
	probesAllowed      bool          // ejected backends may be probed
	cancelAllowed      bool          // submissions may be canceled
	retryAfterAllowed  bool          // answers may advise a retry delay
	loadReportsByProbe bool          // load reports come with probe responses, not with responses to txns
	loadReportFields   []string      // names of the numbers in a load report, in their order
	warmUpTime         time.Duration // warm-up time of a backend after its start
	initialWarmUpShare float64       // share of its full capacity that a backend has at its start
	// A backend that is warming up is overloaded if it gets more than overloadFactor times the submissions of a warm backend within
	// overloadWindow.
	overloadWindow time.Duration
	overloadFactor float64

	// Time.
	now        time.Duration
	startedAt  time.Duration
	sweptAt    time.Duration // time of the last sweep
	wakeAt     time.Duration // time of the last scheduled wake-up
	stallStart time.Duration // start of the last stall of this process
	stallEnd   time.Duration // end of the last stall of this process

	quota *quota.Limiter
	rng   *rand.Rand

	// Txns.
	txns           map[control.TxnID]*txn
	timers         timerqueue.Queue[control.TxnID] // expiries of txns and ends of their waiting times
	undecided      []*txn                          // txns to decide next
	waiting        []*txn                          // txns that wait for units, a snapshot, a slot or a backend
	waitingWork    time.Duration                   // sum of the expected work of the txns that wait for a backend
	quotaQueues    map[control.CustomerID]quotaQueue
	recheckWaiting bool               // the waiting txns must be decided again
	decisions      []control.Decision // decisions that Next has not returned yet
	retryBudget    float64            // number of retries that are allowed now
	giveUpCounts   reasonCounts       // txns rejected or failed since the last summary
	loggedAt       time.Duration      // time of the last summary in the log

	// Backends.
	backends       map[control.BackendID]*backend
	backendsByID   []*backend          // all backends, sorted by ID
	backendsByHash map[uint64]*backend // keys are the bits of the hash that observations carry
	readyBackends  []*backend          // backends that were ready at the last refresh
	refreshedAt    time.Duration       // time of the last refresh by refreshBackends
	examinedAt     time.Duration       // time of the last run of examineBackends
	probeBudget    float64             // number of probes that are allowed now
	candidates     []*backend          // reused buffer of pickBackend
	slowdowns      []float64           // reused buffer of refreshBackends
	medianSlowdown float64             // median slowdown of the ready backends that are not ejected

	// Statistics over all backends.
	usualLatencies   map[int]float64     // usual response time for each kind of work, in seconds, without queueing at the backends
	currentLatencies map[int]float64     // smoothed response time for each kind of work, in seconds, with queueing at the backends
	meanUsualLatency float64             // mean usual response time of the submitted txns, in seconds
	fleetFailures    []productFailures   // failures over all backends, indexed by control.ProductID
	fleetLossShare   float64             // smoothed share of submissions that were lost
	completionRate   float64             // smoothed rate of responses from warm backends, per second
	completionRateAt time.Duration       // time of the last update of completionRate
	warmRate         float64             // completionRate divided by the number of warm backends, per second
	observations     []quota.Observation // outcomes of the last submissions
	observationCount int                 // number of observations since the start

	// Capacity.
	capacity     float64 // learned number of submissions that this front door may have in flight at a usual backend
	capacityGain float64 // relative increase of the capacity after a prompt response
	utilization  float64 // share of the capacity of the eligible backends in use at the last pick
	// saturated is true after a txn found no backend with capacity. The end of a submission, a change of the backend list and each sweep
	// set it to false.
	saturated   bool
	saturatedAt time.Duration // time at which a txn last had to wait for a backend with capacity
}

// New returns a controller with the given settings and without any learned state. All random numbers are derived from the seed. If a
// setting is missing or invalid, New returns a *SettingError for the first one.
func New(seed int64, s control.Settings, now time.Duration) (*Controller, error) {
	r := &settingsReader{settings: s}
	self := control.GatewayID(r.readCount("me", 1<<20))
	c := &Controller{
		now: now, startedAt: now, sweptAt: now,
		rng:                rand.New(rand.NewSource(seed)),
		gateways:           r.readCount("gateways", 1<<20),
		zone:               control.ZoneID(r.readCount("zone", 1<<16)),
		probesAllowed:      r.readBoolean("limits.probes"),
		cancelAllowed:      r.readBoolean("limits.cancel"),
		retryAfterAllowed:  r.readBoolean("limits.advice"),
		maxRetryAfter:      r.readDuration("limits.longest_advice"),
		maxSubmissions:     r.readCount("limits.max_submissions", 1<<16),
		loadReportsByProbe: r.readText("report.how") == "probe",
		loadReportFields:   r.readList("report.fields"),
		warmUpTime:         r.readDuration("rules.warm_by"),
		overloadWindow:     r.readDuration("rules.fall_window"),
		initialWarmUpShare: r.readNumber("rules.cold_from"),
		overloadFactor:     r.readNumber("rules.fall_multiple"),
		products:           r.readProducts(),
		plans:              r.readPlans(),
		txns:               map[control.TxnID]*txn{},
		quotaQueues:        map[control.CustomerID]quotaQueue{},
		backends:           map[control.BackendID]*backend{},
		backendsByHash:     map[uint64]*backend{},
		usualLatencies:     map[int]float64{},
		currentLatencies:   map[int]float64{},
		retryBudget:        maxRetryBudget / 3,
		probeBudget:        maxProbeBudget,
		capacityGain:       initialCapacityGain,
		saturatedAt:        -pressureTTL,
	}
	c.capacity = initialCapacity / float64(max(c.gateways, 1))
	c.fleetFailures = make([]productFailures, len(c.products))
	if len(c.products) == 0 || len(c.plans) == 0 {
		r.recordError("products.count and plans.count", "must be at least 1")
	}
	if c.gateways < 1 || int(self) >= c.gateways {
		r.recordError("me", "must be less than the number of gateways, which must be at least 1")
	}
	config := quota.Config{
		MinInterval: minDatagramInterval, SnapshotTTL: snapshotTTL, InitialFill: 1,
		DatagramsPerSecond: r.readNumber("quota.mail_per_s"), MaxUnits: r.readNumber("quota.most_units"),
	}
	plans := quota.PlanLimiterOptions{
		PeersEnabled: r.readBoolean("limits.peers"), PlanLimit: c.planLimit,
		LastObservations: c.recentObservations, ObservationsReceived: c.applyPeerObservations,
	}
	c.quota = quota.NewPlanLimiter(c.rng.Uint32()|1, self, c.gateways, now, config, plans)
	return c, r.err
}

// planLimit returns the limits of a plan. It returns nil if the settings do not define the plan.
func (c *Controller) planLimit(id control.PlanID) *quota.Limit {
	if id < 0 || int(id) >= len(c.plans) {
		return nil
	}
	return &c.plans[id].Limit
}

// Now sets the clock. A time before the current time is ignored. If the clock advances by more than stallThreshold, the process counts
// as stalled between the two times. Time-outs, missing responses and old snapshots that result from a stall do not count against
// backends or peers. The txns that arrived during a stall have used up a part of their SLA time, which backdateArrivals subtracts.
func (c *Controller) Now(now time.Duration) {
	if c.now > c.startedAt && now-c.now > stallThreshold {
		c.stallStart, c.stallEnd = c.now, now
		for _, b := range c.backendsByID {
			b.unansweredSince = now
		}
	}
	c.now = max(c.now, now)
	c.quota.SetNow(now)
}

// Next returns the next decision, or false if there is none at the current time. It returns pending decisions first. Then it handles
// undecided txns, expired timers, periodic work, datagrams and the next wake-up, in this order.
func (c *Controller) Next() (control.Decision, bool) {
	if c.stallStart < c.stallEnd {
		c.backdateArrivals()
	}
	for {
		if len(c.decisions) > 0 {
			d := c.decisions[0]
			c.decisions = c.decisions[1:]
			return d, true
		}
		if c.recheckWaiting {
			c.recheckWaiting = false
			c.requeueWaiting()
		}
		if len(c.undecided) > 0 {
			t := c.undecided[0]
			c.undecided = c.undecided[1:]
			c.decideTxn(t)
			continue
		}
		if id, ok := c.timers.Take(c.now); ok {
			if t := c.txns[id]; t != nil {
				c.handleTxnTimer(t)
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
		return c.scheduleWake()
	}
}

// requeueWaiting moves the waiting txns to the undecided txns, in the order of their arrival.
func (c *Controller) requeueWaiting() {
	if len(c.waiting) == 0 {
		return
	}
	for _, t := range c.waiting {
		t.queued = false
		c.stopAwaitingQuota(t)
	}
	c.undecided, c.waiting, c.waitingWork = append(c.waiting, c.undecided...), nil, 0
	slices.SortStableFunc(c.undecided, func(a, b *txn) int { return cmp.Compare(a.arrived, b.arrived) })
}

// sweepInterval returns the time from one sweep to the next.
func (c *Controller) sweepInterval() time.Duration {
	if len(c.waiting) > 0 || c.quota.HasPending() {
		return busySweepInterval
	}
	return refreshInterval
}

// sweep calls examineBackends once per refreshInterval, sweeps the quota, and makes Next decide the waiting txns again.
func (c *Controller) sweep() {
	c.recheckWaiting, c.saturated = true, false
	if c.now-c.examinedAt >= refreshInterval {
		c.examinedAt = c.now
		c.examineBackends()
	}
	c.quota.Sweep()
}

// scheduleWake returns a wake-up decision for the next sweep or timer. It returns false if an earlier wake-up is already scheduled.
func (c *Controller) scheduleWake() (control.Decision, bool) {
	next := c.sweptAt + c.sweepInterval()
	if at, ok := c.timers.NextDeadline(); ok {
		next = min(next, at)
	}
	next = max(next, c.now+minWakeDelay)
	if c.wakeAt > c.now && c.wakeAt <= next {
		return control.Decision{}, false
	}
	c.wakeAt = next
	return control.Decision{Action: control.Wake, After: c.wakeAt - c.now}, true
}

// Woken is called by the host at a scheduled wake-up. The method does nothing, because the host calls Next after Woken, and Next compares
// the clock with the times at which work is due.
func (c *Controller) Woken(uint64) {}

// DatagramReceived applies a datagram from a peer.
func (c *Controller) DatagramReceived(from control.GatewayID, payload []byte) {
	if c.quota.DatagramReceived(from, payload) {
		c.recheckWaiting = true
	}
}

// logSummary adds a decision to log a summary of the txns that were rejected or failed since the last summary. It then resets their
// counts. ejectedCount is the number of ejected backends.
func (c *Controller) logSummary(ejectedCount int) {
	var fields []control.LogField
	for reason, name := range reasonNames {
		fields = append(fields, control.IntField(name, c.giveUpCounts[reason]))
	}
	fields = append(fields, control.LogField{Name: "capacity", Value: c.capacity}, control.IntField("ejected", ejectedCount),
		control.IntField("backends", len(c.readyBackends)), control.IntField("waiting", len(c.waiting)),
		control.IntField("bad_datagrams", c.quota.BadDatagramCount()))
	c.decisions = append(c.decisions, control.Decision{Action: control.Log, Entry: &control.LogEntry{Message: "txns given up", Fields: fields}})
	c.giveUpCounts, c.loggedAt = reasonCounts{}, c.now
}

// reasonCounts holds, for each reason, the number of txns that were rejected or failed for it.
type reasonCounts [control.ReasonCount]int

// reasonNames has the name of the log field for each reason.
var reasonNames = [control.ReasonCount]string{
	control.ReasonNoTime: "no_time", control.ReasonNoUnits: "no_units", control.ReasonNoSnapshot: "no_snapshot",
	control.ReasonNoSlot: "no_slot", control.ReasonHardLimit: "hard_limit", control.ReasonNoBackend: "no_backend",
}
