package control

import (
	"fmt"
	"math/rand"
	"sort"
	"strconv"
	"strings"
	"time"

	"clovergap/internal/proxy/timerqueue"
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
	Settled Ending = iota
	Errored
	Full        // turned away unseen
	TimedOut    // no answer in time
	Unreachable // no connection made
	Broken      // connection lost on the way
	CalledOff
	NotSent
)

// neverRan tells whether an ending proves that the submission did not run.
func (e Ending) neverRan() bool { return e == Full || e == Unreachable || e == NotSent }

// BackendState is what the list says of a backend.
type BackendState int

// The states of a backend.
const (
	Gone BackendState = iota
	Ready
	Draining
)

// Listing is one line of the backend list.
type Listing struct {
	ID      BackendID
	Zone    ZoneID
	Pod     PodID
	State   BackendState
	Size    float64
	Started time.Duration // 0: long ago
	Service ServiceID     // what it serves, where there are several
	Cold    time.Duration // a time of the clock: it is slow until then; 0: as the settings say
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
	Repeat   bool
}

// Verb is what a decision asks of the host.
type Verb int

// What the module may decide.
const (
	Submit  Verb = iota // pass Txn to Backend, give up after Limit (0: at expiry)
	Decline             // end Txn; the client may safely come again, best after Limit
	Void                // end Txn; it may have run
	Recall              // call off submission Nr of Txn
	Probe               // check Backend
	Tell                // send Payload to Peer
	Wake                // call Woken after Limit
	Note                // a line for the log, in Text
)

// Decision is one thing to do now.
type Decision struct {
	Verb    Verb
	Txn     TxnID
	Nr      int
	Backend BackendID
	Limit   time.Duration
	Whole   time.Duration // an answer that has begun and is not whole by then is spoilt
	Peer    GatewayID
	Payload []byte
	Text    string
	Why     Lack // of Decline and Void: what was lacking
	Token   uint64
}

// Settings are names and values as the host has them.
type Settings map[string]string

// picker reads settings and keeps the first complaint.
type picker struct {
	s   Settings
	err error
}

func (p *picker) complain(name, why string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", name, why)
	}
}

func (p *picker) text(name string) string {
	v, ok := p.s[name]
	if !ok {
		p.complain(name, "missing")
	}
	return v
}

func (p *picker) number(name string) float64 {
	v, err := strconv.ParseFloat(p.text(name), 64)
	if err != nil {
		p.complain(name, "not a number")
	}
	return v
}

func (p *picker) count(name string, most int) int {
	v, err := strconv.Atoi(p.text(name))
	if err != nil || v < 0 || v > most {
		p.complain(name, "not a whole number in range")
		return 0
	}
	return v
}

func (p *picker) span(name string) time.Duration {
	return time.Duration(p.number(name) * float64(time.Microsecond))
}

func (p *picker) yes(name string) bool { return p.text(name) == "true" }

func (p *picker) list(name string) []string {
	if p.s[name] == "" {
		return nil
	}
	return strings.Split(p.s[name], ",")
}

// product, plan: a kind of txn and a kind of customer, as the settings have them.
type product struct {
	slaTime, window time.Duration
	patience        time.Duration // how long a client waits in all, over all its tries
	tryFor          time.Duration // and how long in one, as first tries show
	value, late     float64
	kind, scope     string
}

type plan struct {
	limit
	price, overValue, overCost float64
}

// txn is one that this gateway holds.
type txn struct {
	Txn
	arrived, slaAt time.Duration
	waits          bool // in the waiting line
	giveUp         time.Duration
	drawn          bool // units taken
	over           bool // let in beyond the quota
	late           bool // a repeat whose SLA time is over, or may be
	kept           bool // its units are kept while it waits for a backend
	ended          bool
	why            Lack // what it last lacked
	nr             int  // submissions so far
	outAt          *backend
	sent           time.Duration
	mayHaveRun     bool
	firstRan       time.Duration // send of the first submission that may have run
	ranZone        ZoneID
	ranPod         PodID
	last           *backend
}

// backend is what is known of one.
type backend struct {
	Listing
	hash      uint64  // for rankings
	warm      float64 // share of its capacity that it surely has
	out       int
	others    float64       // what other gateways keep there, by reports
	told      time.Duration // by the last one
	slow      float64       // answer time against the usual, smoothed
	fails     float64       // share of failing submissions, smoothed
	seen      float64       // weight of what fails was made of
	oweSince  time.Duration
	owed      int // sends since the last answer
	fullUntil time.Duration
	fail      []failing // by product
	load      float64   // at the last choice
	fulls     int       // full answers in a row
	aside     bool
	probes    int // good probes in a row while aside
	probing   bool
	nextProbe time.Duration
	backoff   time.Duration
	rampFrom  time.Duration
	cold      float64 // tokens of the cold budget
	coldAt    time.Duration
	lapses    bool // the cold budget is under one send in its window
	sentAt    time.Duration
}

// sight is how a submission went at a backend: its time against the usual, or one of the two marks.
type sight struct {
	hash    uint64 // the lower part of the backend's
	product ProductID
	ratio   float64
	crowd   crowding
}

// crowding is what an answer says of the fleet.
type crowding int

const (
	unclear crowding = iota
	prompt
	crowded
)

const sightLost, sightFailed = -1, -2

// failing is how a backend does with one product.
type failing struct {
	share, seen  float64
	until, pause time.Duration // passed over
}

func (p *picker) products() (all []product) {
	for i := 0; i < p.count("products.count", 255); i++ {
		at := fmt.Sprintf("products.%d.", i)
		all = append(all, product{slaTime: p.span(at + "sla_time"), kind: p.text(at + "effect"),
			scope: p.text(at + "repeat_scope"), window: p.span(at + "repeat_window"),
			value: p.number(at + "value"), late: p.number(at + "late_value"), patience: p.span(at + "expiry")})
	}
	return all
}

func (p *picker) plans() (all []plan) {
	for i := 0; i < p.count("plans.count", 1<<16); i++ {
		at := fmt.Sprintf("plans.%d.", i)
		all = append(all, plan{limit{rate: p.number(at + "rate"), burst: p.number(at + "burst"),
			openCap: p.count(at+"open_cap", 1<<20), ceilRate: p.number(at + "ceiling_rate"),
			ceilBurst: p.number(at + "ceiling_burst")},
			p.number(at + "price"), p.number(at + "over_value"), p.number(at + "over_cost")})
	}
	return all
}

// Gateway is the decision module of one gateway.
type Gateway struct {
	quota               *Quota
	now, born, lastWork time.Duration
	rng                 *rand.Rand
	gateways            int
	zone                ZoneID
	products            []product
	plans               []plan
	probes              bool
	cancel, advice      bool
	adviceMost          time.Duration
	submissions         int
	byProbe             bool
	fields              []string
	warmBy, fallWindow  time.Duration
	coldFrom, fallTimes float64

	txns       map[TxnID]*txn
	due        timerqueue.Queue[TxnID]
	todo       []*txn
	line       []*txn // waiting for units, a view, a slot or a backend
	recheck    bool
	ready      []Decision
	backends   map[BackendID]*backend
	list       []*backend      // in order of id
	typical    map[int]float64 // usual answer time by product and units, in seconds
	retries    float64
	probeRight float64 // probes that may go out to learn of load
	wakeAt     time.Duration
	stallFrom  time.Duration // when this gateway stood still last
	stallTo    time.Duration
	room       float64       // submissions out at a usual backend, at most
	pressed    time.Duration // when room last ran out
	gaveUp     tally
	noted      time.Duration
	surveyed   time.Duration
	open       []*backend // ready ones
	can        []*backend
	slows      []float64
	median     float64
	warmRate   float64 // sends a second to a warm backend
	noRoom     bool
	work       float64   // mean usual time of the txns sent, in seconds
	everywhere []failing // failing shares of the fleet
	looked     time.Duration
	roomUp     float64 // share that a prompt answer adds to the room
	lost       float64 // share of submissions, everywhere
	doneRate   float64 // settled a second at warm backends, smoothed
	doneAt     time.Duration
	sights     []sight // how the last submissions went
	sightNr    int
	byHash     map[uint64]*backend
	use        float64 // share of the room in use
}

// mix is a hash of one word; ownership and rankings go by it.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ownerOf is the gateway of the set with the highest hash for the customer: the same at every gateway.
func ownerOf(c CustomerID, first GatewayID, width, gateways int) (owner GatewayID) {
	best := uint64(0)
	for i := 0; i < width; i++ {
		g := GatewayID((int(first) + i) % gateways)
		if h := mix(uint64(c)*0x9e3779b97f4a7c15 + uint64(g)); h >= best {
			best, owner = h, g
		}
	}
	return owner
}

// heldBy reads from a load report how many txns a backend holds: in hand, or waiting and in service.
func heldBy(fields []string, load []float64) (held float64, ok bool) {
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

// middle is the median of some figures, 1 if there are none.
func middle(s []float64) float64 {
	if len(s) == 0 {
		return 1
	}
	sort.Float64s(s)
	return s[len(s)/2]
}

// Lack is what a txn had too little of.
type Lack int

const (
	lackTime Lack = iota
	lackUnits
	lackView
	lackSlot
	lackCeiling
	lackBackend
	lacks
)

// tally counts txns given up by what they lacked.
type tally [lacks]int

func (n tally) text() (s string) {
	for i, name := range []string{"time", "units", "a view", "slots", "ceiling", "backends"} {
		s += fmt.Sprintf(" %s %d", name, n[i])
	}
	return s
}

// newGateway makes an instance that knows its settings and nothing else.
func newGateway(seed int64, s Settings, now time.Duration) (*Gateway, *picker) {
	p := &picker{s: s}
	me := GatewayID(p.count("me", 1<<20))
	d := &Gateway{now: now, born: now, lastWork: now, rng: rand.New(rand.NewSource(seed)),
		gateways: p.count("gateways", 1<<20), zone: ZoneID(p.count("zone", 1<<16)), probes: p.yes("limits.probes"),
		cancel: p.yes("limits.cancel"), advice: p.yes("limits.advice"),
		adviceMost: p.span("limits.longest_advice"), submissions: p.count("limits.max_submissions", 1<<16),
		byProbe: p.text("report.how") == "probe", warmBy: p.span("rules.warm_by"),
		fallWindow: p.span("rules.fall_window"), coldFrom: p.number("rules.cold_from"),
		fallTimes: p.number("rules.fall_multiple"), txns: map[TxnID]*txn{}, backends: map[BackendID]*backend{},
		byHash: map[uint64]*backend{}, typical: map[int]float64{}}
	d.fields = (&picker{s: Settings{"f": s["report.fields"]}}).list("f")
	d.products, d.plans = p.products(), p.plans()
	if len(d.products) == 0 || len(d.plans) == 0 {
		p.complain("products.count and plans.count", "must be one at the least")
	}
	d.everywhere = make([]failing, len(d.products))
	if d.gateways < 1 || int(me) >= d.gateways {
		p.complain("me", "must be under the number of gateways, which is one at the least")
	}
	d.quota = newQuota(d.rng.Uint32()|1, me, d.gateways, now, QuotaTerms{Gap: leastGap, ViewLife: viewLife,
		DatagramsPerSecond: p.number("quota.mail_per_s"), Start: 1, MostUnits: p.number("quota.most_units")})
	d.quota.tells = p.yes("limits.peers")
	d.quota.ofPlan = func(pl PlanID) *limit {
		if pl < 0 || int(pl) >= len(d.plans) {
			return nil
		}
		return &d.plans[pl].limit
	}
	d.quota.along, d.quota.heardOf = d.tellSights, d.hearSights
	return d, p
}
