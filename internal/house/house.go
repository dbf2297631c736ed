// Package house is one door of the gateway: its parts put together. All that happens takes its turn under one lock;
// at the end of a turn the parts are pulled for what they decided. What the parts decide is theirs: this package only
// carries between them, the sockets and the disk.
package house

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"clovergap/control"
	"clovergap/internal/boxoffice"
	"clovergap/internal/callboard"
	"clovergap/internal/callsheet"
	"clovergap/internal/company"
	"clovergap/internal/dispatch"
	"clovergap/internal/foyer"
	"clovergap/internal/gate"
	"clovergap/internal/intake"
	"clovergap/internal/link"
	"clovergap/internal/peers"
	"clovergap/internal/playbill"
	"clovergap/internal/script"
	"clovergap/internal/stagedoor"
	"clovergap/internal/wings"
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
)

// House is one door.
type House struct {
	sheet *callsheet.Sheet
	log   *log.Logger
	seed  int64
	life  uint64
	inner string // where it takes links; its name among doors

	e       *link.Engine
	wings   *wings.Wings[Frame]
	peers   *peers.Peers
	company *company.Company
	core    *core // nil without a disk
	script  *script.Script
	applied uint64
	tail    []line

	board     *callboard.Board // nil until there is a seat
	boardWake uint32
	boardNews bool // since it was last kept on disk
	beats     map[callboard.Ticket]func(ok bool, target string)

	quota    *control.Quota
	office   *boxoffice.Office
	gate     *gate.Gate
	foyer    *foyer.Foyer
	rollouts rollouts
	dispatch *dispatch.Dispatch
	front    *intake.Intake
	callers  *intake.Intake
	askers   *intake.Intake // the platform, asking whether this door is ready

	table   *playbill.Table
	stock   stock
	words   map[string]word // by address
	feeder  string
	askedAt time.Duration
	fedAt   time.Duration
	ledAt   time.Duration // when a leader was last heard of by this member of the core

	followers map[string]uint64
	calls     map[uint64]*call
	callNr    uint64
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
func New(sheet *callsheet.Sheet) (*House, error) {
	h := &House{sheet: sheet, log: newLog(sheet.NodeName), seed: int64(rand.Uint64() >> 1), life: rand.Uint64(),
		inner:  net.JoinHostPort(sheet.IP, strconv.Itoa(sheet.InnerPorts[0])),
		script: script.New(), table: playbill.NewTable(nil), words: map[string]word{}, followers: map[string]uint64{},
		calls: map[uint64]*call{}, beats: map[callboard.Ticket]func(bool, string){}, stock: newStock()}
	fds := sheet.Limits.MaxFDs
	if fds <= 0 {
		fds = 1024
	}
	memory := sheet.Limits.MemoryMB
	if memory <= 0 {
		memory = 256
	}
	h.e = link.New("", fds-200, ringBound, memory<<20/ringShare)
	h.e.Silence(silence)
	if err := h.buildDoors(); err != nil {
		return nil, err
	}
	if err := h.buildPath(fds); err != nil {
		return nil, err
	}
	h.e.Settled(h.pull)
	return h, nil
}

// buildDoors makes what doors know of each other.
func (h *House) buildDoors() (err error) {
	if h.wings, err = wings.New[Frame](h.inner, h.life, h, h.e.Turn); err != nil {
		return err
	}
	h.e.Turn(func() { // the core may have something to say at once: it is pulled once all is there
		err = h.openCore()
	})
	if err != nil {
		return errors.Wrap(err, "core")
	}
	me := company.Door{Name: h.sheet.NodeName, Addr: h.inner, Control: h.sheet.Bind.Control, Zone: h.sheet.Zone,
		First: h.sheet.FirstBoot, Life: h.life}
	if h.core != nil {
		me.Disk, me.Founded = company.Disk(h.core.me.ID), h.core.p.Founded()
	}
	h.company = company.New(me, company.Terms{Seeds: h.innersOf(h.sheet.SeedAddrs), Tolerates: h.sheet.Tolerates.Machines}, h.e.Now())
	h.ledAt = h.e.Now() - never
	return nil
}

// buildPath makes the way of requests and of calls.
func (h *House) buildPath(fds int) (err error) {
	h.quota = control.NewQuota(h.seed, 0, 1, h.e.Now(), control.QuotaTerms{Gap: 50 * time.Millisecond,
		ViewLife: time.Second, MailPerS: 400, MostUnits: 1, Parts: true, Start: allNewShare})
	h.openRollouts()
	h.office = boxoffice.New(h.seed, boxoffice.Terms{Zone: h.stock.zone(h.sheet.Zone),
		RetryRatio: h.sheet.Bounds.RetryRatio, RetryWindow: h.sheet.Bounds.RetryWindow,
		RetryExtra: float64(h.sheet.Bounds.RetryExtra), Doors: 1}, h.quota, h.e.Now())
	h.office.SetSides((*sides)(h))
	k := &clock{Engine: h.e}
	h.gate = gate.New(h.office, k, heldMost, h.e.Count, notes{h})
	k.due = h.gate
	h.dispatch = dispatch.New(h.e, &usher{h.gate, h}, foyer.Terms(h, dialLimit),
		func() bool { return h.front.Evict() })
	bounds := foyer.Bounds(foyer.Limits{Head: playbill.DefaultMostHeader, Body: playbill.DefaultMostBody,
		HeadIn: playbill.DefaultHeaderTimeout, Idle: playbill.DefaultIdleTimeout})
	h.front = intake.New(h.e, max(1, (fds-200)/clientShare), bounds, func() bool { return h.dispatch.Evict(nil) })
	h.foyer = foyer.New(h.front, h.e, h.gate, h)
	h.callers = intake.New(h.e, callersMost, intake.Bounds{Body: controlBound}, func() bool { return h.front.Evict() })
	h.callers.Serves(stagedoor.New(h.callers, h))
	h.askers = intake.New(h.e, 64, intake.Bounds{}, func() bool { return h.front.Evict() })
	h.askers.Serves(stagedoor.New(h.askers, h))
	mail := h.mailAt(h.inner).String()
	if h.peers, err = peers.New(h.e, mail, []netip.AddrPort{h.mailAt(h.inner)}, 0, h.mailed); err != nil {
		return err
	}
	h.gate.Through(h.dispatch, h.peers)
	h.e.Short(func() {
		if !h.dispatch.Evict(nil) {
			h.front.Evict()
		}
	})
	for _, l := range []struct {
		addr string
		to   func(*link.Link)
	}{{h.sheet.Bind.Front, h.front.Accept}, {h.sheet.Bind.Readiness, h.askers.Accept}, {h.sheet.Bind.Control, h.callers.Accept}} {
		if l.addr != "" {
			if err := h.e.Listen(l.addr, l.to); err != nil {
				return err
			}
		}
	}
	return nil
}

// clock gives the gate the engine's time; the module's next due time is an entry among all others.
type clock struct {
	*link.Engine
	due link.Alarm
}

func (c *clock) Wake(at time.Duration, nr uint32) { c.At(at, c.due, nr) }

// Start begins to listen and to say hello.
func (h *House) Start() error {
	if err := h.e.Start(); err != nil {
		return err
	}
	var err error
	h.e.Turn(func() {
		if err = h.peers.Start(); err == nil {
			h.e.At(h.e.Now()+lookEvery, (*tick)(h), 0)
		}
	})
	if err != nil {
		return err
	}
	h.wings.Start()
	h.say(doorPart, "serves at %s, control at %s, disk %v", h.sheet.Bind.Front, h.sheet.Bind.Control, h.core != nil)
	return nil
}

// mailed takes a peer's datagram to the quota, by the module.
func (h *House) mailed(from control.GatewayID, payload []byte) { h.gate.Heard(from, payload) }

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
	if now-h.pingedAt >= pingEvery {
		h.pingedAt = now
		h.ping()
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
