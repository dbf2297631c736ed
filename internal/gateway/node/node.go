// Package node is one node of the gateway: its parts put together. All that happens takes its turn under one lock;
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
	"clovergap/internal/gateway/coordination"
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

// Shares and bounds of a node.
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
	// datagramsMost is how many datagrams a second a node takes: the owner of a tenant with a fifth of all requests is asked by each node for
	// nearly each of them. Beyond seven tenths of it nodes are told to write less often, and their requests wait longer than they may.
	datagramsMost = 2000
	// allNewShare of the burst is in buckets after the loss of all nodes: what was spent before it is not known any more,
	// and half a burst more in five seconds is under what the rule on quotas leaves (rate x 5 + burst, a tenth more).
	allNewShare = 0.5
	// newOwner is how long a bucket stays empty at a new owner, where slots are added: the old one goes on until it knows.
	newOwner = time.Second
)

// Node is one node.
type Node struct {
	settings *settings.Settings
	log      *log.Logger
	seed     int64
	life     uint64
	inner    string // where it takes links; its name among nodes

	e       Turns
	own     *sockets // nil in a simulation
	count   *counters.Set
	links   Links
	peers   Datagrams
	roster  *membership.Roster
	core    *core // nil without a disk
	groups  *groupHost
	machine *statemachine.Machine
	applied uint64

	feedLate bool // followers have yet to be told what was applied last: slots
	slotsNew bool // and the roster the order of slots

	registry     *registry.Registry // nil until there is a slot
	registryWake uint32
	registryNews bool // since it was last kept on disk
	beats        map[registry.Ticket]heard

	quota     *control.Quota
	admission *admission.Controller
	gate      *gate.Gate
	rollouts  rollouts
	dispatch  Ways
	front     Front

	table   *routing.Table
	catalog catalog
	words   map[string]word // by address
	feeder  string
	askedAt time.Duration
	fedAt   time.Duration
	saysAt  time.Duration // when anything came from the feeder
	askWait time.Duration
	tickAt  time.Duration
	stoodTo time.Duration // when this node last stood still until
	clock   replication.Clock
	known   known // without a disk: its word of the core
	echoes  map[string]echo
	beganAt time.Duration

	followers    map[string]*follower
	feedIn       replication.BlobReceiver // from the node that is followed
	coordination *coordination.Service

	calls     map[uint32]*call
	parts     parts
	callNr    uint32
	fault     fault // tests put one in
	slotAsked time.Duration
	pingedAt  time.Duration
	slots     int
	reach     int    // nodes in reach
	said      int    // and as last logged
	saidUnmet string // nodes that said no hello, as last logged
	saidAt    time.Duration
	notReady  string // why clients were last not wanted, as logged
	leaving   bool
}

// New puts a node together; Start begins it.
func New(sheet *settings.Settings) (*Node, error) {
	fds := sheet.Limits.MaxFDs
	if fds <= 0 {
		fds = 1024
	}
	memory := sheet.Limits.MemoryMB
	if memory <= 0 {
		memory = 256
	}
	s := newSockets(fds, memory)
	return build(&Node{settings: sheet, own: s, log: newLog(sheet.NodeName)}, s)
}

// Over puts a node together over what it is given to stand on; Begin begins it.
func Over(sheet *settings.Settings, b Base, log *log.Logger) (*Node, error) {
	return build(&Node{settings: sheet, log: log}, b)
}

func build(h *Node, b Base) (*Node, error) {
	h.seed, h.life = b.Draws()
	h.inner = net.JoinHostPort(h.settings.IPAddress, strconv.Itoa(h.settings.InnerPorts[0]))
	h.e, h.count = b, b.Counters()
	h.machine, h.table, h.words, h.followers = statemachine.New(), routing.NewTable(nil), map[string]word{}, map[string]*follower{}
	h.echoes = map[string]echo{}
	h.calls, h.parts, h.beats, h.catalog = map[uint32]*call{}, newParts(), map[registry.Ticket]heard{}, newCatalog()
	h.fault = planted
	h.coordination = coordination.New((*coordinator)(h), coordination.Terms{Address: h.inner, Life: h.life, History: h.settings.Bounds.WatchHistory})
	h.groups = &groupHost{h: h}
	h.coordination.Over(h.groups)
	if h.own != nil {
		h.own.h = h
	}
	if err := h.buildPeers(b); err != nil {
		return nil, err
	}
	if err := h.buildPath(b); err != nil {
		return nil, err
	}
	h.e.Settled(h.pull)
	return h, nil
}

// buildPeers makes what nodes know of each other.
func (h *Node) buildPeers(b Base) (err error) {
	if h.links, err = b.Links(h); err != nil {
		return err
	}
	h.e.Turn(func() { // the core may have something to say at once: it is pulled once all is there
		err = h.openCore(b)
	})
	if err != nil {
		return errors.Wrap(err, "core")
	}
	me := membership.Node{Name: h.settings.NodeName, Addr: h.inner, Control: h.settings.Bind.Control, Zone: h.settings.Zone,
		First: h.settings.FirstBoot, Life: h.life}
	if h.core != nil {
		me.Disk, me.Founded, me.House = membership.Disk(h.core.me.ID), h.core.p.Bootstrapped(), h.core.p.ClusterID()
	}
	h.roster = membership.New(me, membership.Terms{Seeds: h.innersOf(h.settings.SeedAddrs), Tolerates: h.settings.Tolerance.Machines,
		ClusterID: func(f []membership.Founder) uint64 { return replication.ClusterIDOf(membersOf(f)) }}, h.e.Now())
	h.known.at, h.beganAt, h.clock = -never, h.e.Now(), replication.NewClock(h.life)
	return nil
}

// buildPath makes the way of requests and of calls.
func (h *Node) buildPath(b Base) error {
	h.quota = control.NewQuota(h.seed, 0, 1, h.e.Now(), control.QuotaTerms{Gap: 50 * time.Millisecond,
		ViewLife: time.Second, DatagramsPerSecond: datagramsMost, MostUnits: 1, Parts: true, Start: allNewShare, Fence: newOwner,
		Window: h.settings.Bounds.QuotaWindow, Excess: h.settings.Bounds.QuotaExcess, Margin: float64(h.settings.Bounds.QuotaMargin)})
	h.openRollouts()
	h.admission = admission.New(h.seed, admission.Terms{Zone: h.catalog.zone(h.settings.Zone),
		RetryRatio: h.settings.Bounds.RetryRatio, RetryWindow: h.settings.Bounds.RetryWindow,
		RetryExtra: h.settings.Bounds.RetryExtra, Nodes: 1}, h.quota, h.e.Now())
	h.admission.SetSides((*sides)(h))
	k := &clock{Turns: h.e}
	h.gate = gate.New(h.admission, k, heldMost, h.count, notes{h})
	k.due = h.gate
	p, err := b.Path(h, h.gate)
	if err != nil {
		return err
	}
	h.dispatch, h.peers, h.front = p.Ways, p.Datagrams, p.Front
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
func (h *Node) Start() error {
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
	h.own.mesh.Start()
	h.say(nodePart, "serves at %s, control at %s, disk %v", h.settings.Bind.Front, h.settings.Bind.Control, h.core != nil)
	return nil
}

// Begin begins the periodic work, in a turn.
func (h *Node) Begin() { h.e.At(h.e.Now()+lookEvery, (*tick)(h), 0) }

// DatagramCame takes a peer's datagram to the quota, by the module.
func (h *Node) DatagramCame(from control.GatewayID, payload []byte) { h.gate.Heard(from, payload) }

// pull carries out what the parts decided: the log first, since all else goes by it.
func (h *Node) pull() {
	if h.core != nil {
		h.core.pull()
		h.groups.pull()
		h.coordination.Flush()
		h.groups.pull() // what watches that were told of puts ask for next
		h.core.disk.flush()
	}
	h.pullRoster()
	h.pullRegistry()
	h.gate.Pull()
}

// tick is the one periodic timer.
type tick Node

func (t *tick) Live(uint32) bool { return true }

func (t *tick) Due(uint32) {
	h := (*Node)(t)
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
	} else {
		h.hearsOverdue()
	}
	if h.feedLate {
		h.feedAll()
	}
	h.tendParts()
	h.tendFeed()
	h.wantSlot()
	h.tendRollouts()
	h.groups.want()
	if h.core != nil {
		h.groups.tend()
		h.core.keepRegistry()
	}
	if now-h.saidAt >= time.Second {
		h.tellState()
	}
}

// customerOf names a tenant for the quota: the same at every node. Messages carry 34 bits of it.
func customerOf(tenant string) control.CustomerID {
	f := fnv.New32a()
	f.Write([]byte(tenant))
	return control.CustomerID(f.Sum32()) + 1
}
