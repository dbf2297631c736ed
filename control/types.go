package control

import (
	"fmt"
	"math/rand"
	"sort"
	"strconv"
	"strings"
	"time"

	"clovergap/internal/timerqueue"
)

// TxnID names a request that is not answered yet. Each kind of id is a type of its own, so that none is taken for another.
type TxnID uint32

// BackendID names a backend.
type BackendID uint64

// CustomerID names a customer, whose quota it is.
type CustomerID uint64

// GatewayID is a front door's number among its peers.
type GatewayID int

// ProductID names a kind of request.
type ProductID int

// PlanID names a quota's terms.
type PlanID int

// ZoneID names a zone: a place where backends and front doors stand.
type ZoneID int

// PodID names a group of backends that fail together.
type PodID int

// ServiceID names a service.
type ServiceID int

// Ending is how a submission ended.
type Ending int

// How a submission may end.
const (
	Succeeded Ending = iota
	Errored
	Rejected       // turned away unseen
	TimedOut       // no answer in time
	Unreachable    // no connection made
	ConnectionLost // connection lost on the way
	Canceled
	NotSent
)

// ProvesNotRun tells whether an ending proves that the submission did not run.
func (e Ending) ProvesNotRun() bool { return e == Rejected || e == Unreachable || e == NotSent }

// BackendState is what the list says of a backend.
type BackendState int

// The states of a backend.
const (
	Gone BackendState = iota
	Ready
	Draining
)

// Endpoint is one line of the backend list.
type Endpoint struct {
	ID           BackendID
	Zone         ZoneID
	Pod          PodID
	State        BackendState
	Capacity     float64
	Started      time.Duration // 0: long ago
	Service      ServiceID     // what it serves, where there are several
	WarmingUntil time.Duration // a time of the clock: it is slow until then; 0: as the settings say
}

// Txn is what a client brings.
type Txn struct {
	ID       TxnID
	Customer CustomerID
	Product  ProductID
	Plan     PlanID
	Units    float64
	Expiry   time.Duration // a time of the clock
	SetFirst GatewayID     // first gateway of the customer's set
	SetWidth int
	Retry    bool
}

// Action is what a decision asks of the host.
type Action int

// What the module may decide.
const (
	Submit       Action = iota // pass Txn to Backend, give up after Limit (0: at expiry)
	Reject                     // end Txn; the client may safely come again, best after Limit
	Fail                       // end Txn; it may have run
	Cancel                     // call off submission Nr of Txn
	Probe                      // check Backend
	SendDatagram               // send Payload to Peer
	Wake                       // call Woken after Limit
	Log                        // a line for the log, in Text
)

// Decision is one thing to do now.
type Decision struct {
	Action          Action
	Txn             TxnID
	Attempt         int
	Backend         BackendID
	After           time.Duration
	ResponseTimeout time.Duration // an answer that has begun and is not whole by then is spoilt
	Peer            GatewayID
	Payload         []byte
	Text            string
	Reason          Reason // of Decline and Void: what was lacking
	Token           uint64
}

// Settings are names and values as the host has them.
type Settings map[string]string

// settingsReader reads settings and keeps the first complaint.
type settingsReader struct {
	settings Settings
	err      error
}

func (s *settingsReader) fail(name, why string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: %s", name, why)
	}
}

func (s *settingsReader) text(name string) string {
	v, ok := s.settings[name]
	if !ok {
		s.fail(name, "missing")
	}
	return v
}

func (s *settingsReader) number(name string) float64 {
	v, err := strconv.ParseFloat(s.text(name), 64)
	if err != nil {
		s.fail(name, "not a number")
	}
	return v
}

func (s *settingsReader) count(name string, most int) int {
	v, err := strconv.Atoi(s.text(name))
	if err != nil || v < 0 || v > most {
		s.fail(name, "not a whole number in range")
		return 0
	}
	return v
}

func (s *settingsReader) duration(name string) time.Duration {
	return time.Duration(s.number(name) * float64(time.Microsecond))
}

func (s *settingsReader) boolean(name string) bool { return s.text(name) == "true" }

func (s *settingsReader) list(name string) []string {
	if s.settings[name] == "" {
		return nil
	}
	return strings.Split(s.settings[name], ",")
}

// product, plan: a kind of txn and a kind of customer, as the settings have them.
type product struct {
	slaTime, repeatWindow time.Duration
	clientTimeout         time.Duration // how long a client waits in all, over all its tries
	attemptTimeout        time.Duration // and how long in one, as first tries show
	value, lateValue      float64
	effect, repeatScope   string
}

type plan struct {
	Limit
	price, overValue, overCost float64
}

// txn is one that this gateway holds.
type txn struct {
	Txn
	arrived, slaAt time.Duration
	queued         bool // in the waiting line
	giveUpAt       time.Duration
	consumed       bool // units taken
	overQuota      bool // let in beyond the quota
	late           bool // a repeat whose SLA time is over, or may be
	reserved       bool // its units are kept while it waits for a backend
	ended          bool
	reason         Reason // what it last lacked
	submissions    int    // submissions so far
	current        *backend
	sentAt         time.Duration
	mayHaveRun     bool
	firstRanAt     time.Duration // send of the first submission that may have run
	ranZone        ZoneID
	ranPod         PodID
	previous       *backend
}

// backend is what is known of one.
type backend struct {
	Endpoint
	hash              uint64  // for rankings
	warmth            float64 // share of its capacity that it surely has
	inFlight          int
	inFlightElsewhere float64       // what other gateways keep there, by reports
	loadReportedAt    time.Duration // by the last one
	slowdown          float64       // answer time against the usual, smoothed
	failureShare      float64       // share of failing submissions, smoothed
	failureSamples    float64       // weight of what fails was made of
	unansweredSince   time.Duration
	unanswered        int // sends since the last answer
	rejectingUntil    time.Duration
	failures          []productFailures // by product
	load              float64           // at the last choice
	rejections        int               // full answers in a row
	ejected           bool
	passedProbes      int // good probes in a row while aside
	probing           bool
	nextProbeAt       time.Duration
	backoff           time.Duration
	slowStartFrom     time.Duration
	warmUpTokens      float64 // tokens of the cold budget
	warmUpTokensAt    time.Duration
	tokensLapse       bool // the cold budget is under one send in its window
	sentAt            time.Duration
}

// Observation is how a submission went at a backend: its time against the usual, or one of the two marks.
type Observation struct {
	BackendHash uint64 // the lower part of the backend's
	Product     ProductID
	Ratio       float64
	Congestion  Congestion
}

// Congestion is what an answer says of the fleet.
type Congestion int

const (
	CongestionUnknown Congestion = iota
	NotCongested
	Congested
)

const ObservedLost, ObservedFailed = -1, -2

// productFailures is how a backend does with one product.
type productFailures struct {
	share, samples         float64
	excludedUntil, backoff time.Duration // passed over
}

func (s *settingsReader) products() (all []product) {
	for i := 0; i < s.count("products.count", 255); i++ {
		at := fmt.Sprintf("products.%d.", i)
		all = append(all, product{slaTime: s.duration(at + "sla_time"), effect: s.text(at + "effect"),
			repeatScope: s.text(at + "repeat_scope"), repeatWindow: s.duration(at + "repeat_window"),
			value: s.number(at + "value"), lateValue: s.number(at + "late_value"), clientTimeout: s.duration(at + "expiry")})
	}
	return all
}

func (s *settingsReader) plans() (all []plan) {
	for i := 0; i < s.count("plans.count", 1<<16); i++ {
		at := fmt.Sprintf("plans.%d.", i)
		all = append(all, plan{Limit{Rate: s.number(at + "rate"), Burst: s.number(at + "burst"),
			MaxInFlight: s.count(at+"open_cap", 1<<20), HardRate: s.number(at + "ceiling_rate"),
			HardBurst: s.number(at + "ceiling_burst")},
			s.number(at + "price"), s.number(at + "over_value"), s.number(at + "over_cost")})
	}
	return all
}

// Controller is the decision module of one gateway.
type Controller struct {
	quota                        *Limiter
	now, startedAt, sweptAt      time.Duration
	rng                          *rand.Rand
	gateways                     int
	zone                         ZoneID
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

	txns             map[TxnID]*txn
	timers           timerqueue.Queue[TxnID]
	undecided        []*txn
	waiting          []*txn // waiting for units, a view, a slot or a backend
	recheck          bool
	decisions        []Decision
	backends         map[BackendID]*backend
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
	observations     []Observation // how the last submissions went
	observationCount int
	byHash           map[uint64]*backend
	utilization      float64 // share of the room in use
}

// Hash64 is a hash of one word; ownership and rankings go by it.
func Hash64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// OwnerOf is the gateway of the set with the highest hash for the customer: the same at every gateway.
func OwnerOf(c CustomerID, first GatewayID, width, gateways int) (owner GatewayID) {
	best := uint64(0)
	for i := 0; i < width; i++ {
		g := GatewayID((int(first) + i) % gateways)
		if h := Hash64(uint64(c)*0x9e3779b97f4a7c15 + uint64(g)); h >= best {
			best, owner = h, g
		}
	}
	return owner
}

// inFlightOf reads from a load report how many txns a backend holds: in hand, or waiting and in service.
func inFlightOf(fields []string, load []float64) (held float64, ok bool) {
	v := map[string]float64{}
	for i, f := range fields {
		if i < len(load) && load[i] >= 0 && load[i] < 1e6 {
			v[f] = load[i]
		}
	}
	if held, ok = v["inflight"]; ok {
		return held, true
	}
	rate, ok := v["per_s"]
	return v["queue"] + rate*v["service_ms"]/1000, ok
}

// median is the median of some figures, 1 if there are none.
func median(s []float64) float64 {
	if len(s) == 0 {
		return 1
	}
	sort.Float64s(s)
	return s[len(s)/2]
}

// Reason is what a txn had too little of.
type Reason int

const (
	ReasonNoTime Reason = iota
	ReasonNoUnits
	ReasonNoSnapshot
	ReasonNoSlot
	ReasonHardLimit
	ReasonNoBackend
	ReasonCount
)

// reasonCounts counts txns given up by what they lacked.
type reasonCounts [ReasonCount]int

func (r reasonCounts) text() (s string) {
	for i, name := range []string{"time", "units", "a view", "slots", "ceiling", "backends"} {
		s += fmt.Sprintf(" %s %d", name, r[i])
	}
	return s
}

// newController makes an instance that knows its settings and nothing else.
func newController(seed int64, s Settings, now time.Duration) (*Controller, *settingsReader) {
	p := &settingsReader{settings: s}
	me := GatewayID(p.count("me", 1<<20))
	d := &Controller{now: now, startedAt: now, sweptAt: now, rng: rand.New(rand.NewSource(seed)),
		gateways: p.count("gateways", 1<<20), zone: ZoneID(p.count("zone", 1<<16)), probesAllowed: p.boolean("limits.probes"),
		cancelAllowed: p.boolean("limits.cancel"), adviceAllowed: p.boolean("limits.advice"),
		maxAdvice: p.duration("limits.longest_advice"), maxSubmissions: p.count("limits.max_submissions", 1<<16),
		loadByProbe: p.text("report.how") == "probe", warmUpTime: p.duration("rules.warm_by"),
		fallWindow: p.duration("rules.fall_window"), initialWarmth: p.number("rules.cold_from"),
		fallMultiple: p.number("rules.fall_multiple"), txns: map[TxnID]*txn{}, backends: map[BackendID]*backend{},
		byHash: map[uint64]*backend{}, latency: map[int]float64{}}
	d.loadFields = (&settingsReader{settings: Settings{"f": s["report.fields"]}}).list("f")
	d.products, d.plans = p.products(), p.plans()
	if len(d.products) == 0 || len(d.plans) == 0 {
		p.fail("products.count and plans.count", "must be one at the least")
	}
	d.fleetFailures = make([]productFailures, len(d.products))
	if d.gateways < 1 || int(me) >= d.gateways {
		p.fail("me", "must be under the number of gateways, which is one at the least")
	}
	d.quota = NewPlanLimiter(d.rng.Uint32()|1, me, d.gateways, now, Config{MinInterval: minInterval, SnapshotTTL: snapshotTTL,
		DatagramsPerSecond: p.number("quota.mail_per_s"), InitialFill: 1, MaxUnits: p.number("quota.most_units")},
		Plans{PeersEnabled: p.boolean("limits.peers"), Limit: d.planLimit, Observations: d.lastObservations, Observed: d.takeObservations})
	return d, p
}

// planLimit gives the limits of a plan, nil for one that the settings don't name.
func (c *Controller) planLimit(pl PlanID) *Limit {
	if pl < 0 || int(pl) >= len(c.plans) {
		return nil
	}
	return &c.plans[pl].Limit
}
