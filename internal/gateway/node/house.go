// Package node is one door of the gateway: its parts put together. All that happens takes its turn under one lock;
// at the end of a turn the parts are pulled for what they decided. What the parts decide is theirs: this package only
// carries between them, the sockets and the disk.
package node

import (
	"hash/fnv"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"clovergap/control"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
)

// Shares and bounds of a door.
const (
	ringBound    = 256 << 10 // bytes that a connection may have waiting
	controlBound = 4 << 20   // bytes of a control call
	ringShare    = 4         // of the memory holds what comes in
	clientShare  = 2         // of the descriptors are clients'
	callersMost  = 512       // connections of control
	heldMost     = 4096      // requests at a time
	dialLimit    = 700 * time.Millisecond
	silence      = 3 * time.Second // of bytes that nobody acknowledges
	lookEvery    = 100 * time.Millisecond
	// allNewShare of the burst is in buckets after the loss of all doors: what was spent before it is not known any more,
	// and half a burst more in five seconds is under what the rule on quotas leaves (rate x 5 + burst, a tenth more).
	allNewShare = 0.5
	// newOwner is how long a bucket stays empty at a new owner, where seats are added: the old one goes on until it knows.
	newOwner = time.Second
)

// House is one door.
type House struct {
	sheet *settings.Sheet
	log   *log.Logger
	seed  int64
	life  uint64
	inner string // where it takes links; its name among doors

	e       Turns
	own     *sockets // nil in a rehearsal
	count   *counters.Set
	wings   Links
	peers   Mail
	company *membership.Company
	core    *core // nil without a disk
	script  *statemachine.Script
	applied uint64

	feedLate bool // followers have yet to be told what was applied last: seats
	seatsNew bool // and the company the order of seats

	board     *registry.Board // nil until there is a seat
	boardWake uint32
	boardNews bool // since it was last kept on disk
	beats     map[registry.Ticket]heard

	quota    *control.Quota
	office   *admission.Office
	gate     *gate.Gate
	rollouts rollouts
	dispatch Ways
	front    Front

	table   *routing.Table
	stock   stock
	words   map[string]word // by address
	feeder  string
	askedAt time.Duration
	fedAt   time.Duration
	saysAt  time.Duration // when anything came from the feeder
	askWait time.Duration
	tickAt  time.Duration
	stoodTo time.Duration // when this door last stood still until
	clock   replication.Clock
	known   known // without a disk: its word of the core
	echoes  map[string]echo
	beganAt time.Duration

	followers map[string]*follower
	feedIn    replication.Incoming // from the door that is followed
	calls     map[uint32]*call
	callNr    uint32
	fault     fault // tests put one in
	seatAsked time.Duration
	pingedAt  time.Duration
	seats     int
	reach     int // doors in reach
	said      int // and as last logged
	saidAt    time.Duration
	notReady  string // why clients were last not wanted, as logged
	leaving   bool
}

// New puts a door together; Start begins it.
func New(sheet *settings.Sheet) (*House, error) {
	fds := sheet.Limits.MaxFDs
	if fds <= 0 {
		fds = 1024
	}
	memory := sheet.Limits.MemoryMB
	if memory <= 0 {
		memory = 256
	}
	s := newSockets(fds, memory)
	return build(&House{sheet: sheet, own: s, log: newLog(sheet.NodeName)}, s)
}

// Over puts a door together over what it is given to stand on; Begin begins it.
func Over(sheet *settings.Sheet, b Base, log *log.Logger) (*House, error) {
	return build(&House{sheet: sheet, log: log}, b)
}

func build(h *House, b Base) (*House, error) {
	h.seed, h.life = b.Draws()
	h.inner = net.JoinHostPort(h.sheet.IP, strconv.Itoa(h.sheet.InnerPorts[0]))
	h.e, h.count = b, b.Counters()
	h.script, h.table, h.words, h.followers = statemachine.New(), routing.NewTable(nil), map[string]word{}, map[string]*follower{}
	h.echoes = map[string]echo{}
	h.calls, h.beats, h.stock = map[uint32]*call{}, map[registry.Ticket]heard{}, newStock()
	h.fault = planted
	if h.own != nil {
		h.own.h = h
	}
	if err := h.buildDoors(b); err != nil {
		return nil, err
	}
	if err := h.buildPath(b); err != nil {
		return nil, err
	}
	h.e.Settled(h.pull)
	return h, nil
}

// buildDoors makes what doors know of each other.
func (h *House) buildDoors(b Base) (err error) {
	if h.wings, err = b.Links(h); err != nil {
		return err
	}
	h.e.Turn(func() { // the core may have something to say at once: it is pulled once all is there
		err = h.openCore(b)
	})
	if err != nil {
		return errors.Wrap(err, "core")
	}
	me := membership.Door{Name: h.sheet.NodeName, Addr: h.inner, Control: h.sheet.Bind.Control, Zone: h.sheet.Zone,
		First: h.sheet.FirstBoot, Life: h.life}
	if h.core != nil {
		me.Disk, me.Founded, me.House = membership.Disk(h.core.me.ID), h.core.p.Founded(), h.core.p.House()
	}
	h.company = membership.New(me, membership.Terms{Seeds: h.innersOf(h.sheet.SeedAddrs), Tolerates: h.sheet.Tolerates.Machines,
		House: func(f []membership.Founder) uint64 { return replication.HouseOf(membersOf(f)) }}, h.e.Now())
	h.known.at, h.beganAt, h.clock = -never, h.e.Now(), replication.NewClock(h.life)
	return nil
}

// buildPath makes the way of requests and of calls.
func (h *House) buildPath(b Base) error {
	h.quota = control.NewQuota(h.seed, 0, 1, h.e.Now(), control.QuotaTerms{Gap: 50 * time.Millisecond,
		ViewLife: time.Second, MailPerS: 400, MostUnits: 1, Parts: true, Start: allNewShare, Fence: newOwner,
		Window: h.sheet.Bounds.QuotaWindow, Excess: h.sheet.Bounds.QuotaExcess, Margin: float64(h.sheet.Bounds.QuotaMargin)})
	h.openRollouts()
	h.office = admission.New(h.seed, admission.Terms{Zone: h.stock.zone(h.sheet.Zone),
		RetryRatio: h.sheet.Bounds.RetryRatio, RetryWindow: h.sheet.Bounds.RetryWindow,
		RetryExtra: h.sheet.Bounds.RetryExtra, Doors: 1}, h.quota, h.e.Now())
	h.office.SetSides((*sides)(h))
	k := &clock{Turns: h.e}
	h.gate = gate.New(h.office, k, heldMost, h.count, notes{h})
	k.due = h.gate
	p, err := b.Path(h, h.gate)
	if err != nil {
		return err
	}
	h.dispatch, h.peers, h.front = p.Ways, p.Mail, p.Front
	h.gate.Through(h.dispatch, h.peers)
	return nil
}

// clock gives the gate the engine's time; the module's next due time is an entry among all others.
type clock struct {
	Turns
	due eventloop.Alarm
}

func (c *clock) Wake(at time.Duration, nr uint32) { c.At(at, c.due, nr) }

// Start begins to listen and to say hello.
func (h *House) Start() error {
	if err := h.own.Start(); err != nil {
		return err
	}
	var err error
	h.e.Turn(func() {
		if err = h.own.peers.Start(); err == nil {
			h.Begin()
		}
	})
	if err != nil {
		return err
	}
	h.own.wings.Start()
	h.say(doorPart, "serves at %s, control at %s, disk %v", h.sheet.Bind.Front, h.sheet.Bind.Control, h.core != nil)
	return nil
}

// Begin begins the periodic work, in a turn.
func (h *House) Begin() { h.e.At(h.e.Now()+lookEvery, (*tick)(h), 0) }

// Mailed takes a peer's datagram to the quota, by the module.
func (h *House) Mailed(from control.GatewayID, payload []byte) { h.gate.Heard(from, payload) }

// pull carries out what the parts decided: the log first, since all else goes by it.
func (h *House) pull() {
	if h.core != nil {
		h.core.pull()
	}
	h.pullDoors()
	h.pullBoard()
	h.gate.Pull()
}

// tick is the one periodic timer.
type tick House

func (t *tick) Live(uint32) bool { return true }

func (t *tick) Due(uint32) {
	h := (*House)(t)
	now := h.e.Now()
	h.e.At(now+lookEvery, t, 0)
	if h.tickAt > 0 && now-h.tickAt > standstill {
		h.stoodTo = now
	}
	h.tickAt = now
	if now-h.pingedAt >= pingEvery {
		news := h.pingedAt == 0
		h.pingedAt = now
		h.ping(news)
	}
	if h.feedLate {
		h.feedAll()
	}
	h.tendFeed()
	h.wantSeat()
	h.tendRollouts()
	if h.core != nil {
		h.core.keepBoard()
	}
	if now-h.saidAt >= time.Second {
		h.tellState()
	}
}

// customerOf names a tenant for the quota: the same at every door. Messages carry 34 bits of it.
func customerOf(tenant string) control.CustomerID {
	f := fnv.New32a()
	f.Write([]byte(tenant))
	return control.CustomerID(f.Sum32()) + 1
}
