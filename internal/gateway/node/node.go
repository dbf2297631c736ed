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
	"clovergap/control/quota"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
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
	maxConnBufferBytes   = 256 << 10 // bytes that a connection may have waiting
	maxControlBodyBytes  = 4 << 20   // bytes of a control call
	inboundMemoryDivisor = 4         // of the memory holds what comes in
	clientFDDivisor      = 2         // of the descriptors are clients'
	maxControlConns      = 512       // connections of control
	maxInFlight          = 4096      // requests at a time
	dialTimeout          = 700 * time.Millisecond
	unackedTimeout       = 3 * time.Second // of bytes that nobody acknowledges
	tickInterval         = 100 * time.Millisecond
	// maxDatagramsPerSecond is how many datagrams a second a node takes: the owner of a tenant with a fifth of all requests is asked by each node for
	// nearly each of them. Beyond seven tenths of it nodes are told to write less often, and their requests wait longer than they may.
	maxDatagramsPerSecond = 2000
	// initialQuotaShare of the burst is in buckets after the loss of all nodes: what was spent before it is not known any more,
	// and half a burst more in five seconds is under what the rule on quotas leaves (rate x 5 + burst, a tenth more).
	initialQuotaShare = 0.5
	// newOwnerDelay is how long a bucket stays empty at a new owner, where slots are added: the old one goes on until it knows.
	newOwnerDelay = time.Second
)

// Node is one node.
type Node struct {
	settings    *settings.Settings
	log         *log.Logger
	seed        int64
	incarnation uint64
	peerAddr    string // where it takes links; its name among nodes

	loop         EventLoop
	sockets      *sockets // nil in a simulation
	counters     *counters.Set
	links        Links
	datagrams    Datagrams
	roster       *membership.Roster
	core         *core // nil without a disk
	contact      *quorumcontact.Tracker
	groups       *groupHost
	machine      *statemachine.Machine
	appliedIndex uint64

	streamSender   *streamSender
	streamReceiver *streamReceiver
	slotsChanged   bool // the roster has yet to be told the order of slots

	registry          *registry.Registry // nil until there is a slot
	registryTimerSeq  uint32
	registryDirty     bool // since it was last kept on disk
	pendingHeartbeats map[registry.Ticket]pendingHeartbeat

	quota      *quota.Limiter
	admission  *admission.Controller
	gate       *gate.Gate
	rollouts   *rolloutHost
	dispatcher Dispatcher
	frontend   Frontend

	table        *routing.Table
	catalog      catalog
	coordination *coordination.Service

	calls        *callRouter
	knobs        TestingKnobs
	slotRequest  slotRequester
	heartbeatAt  time.Duration
	slotCount    int
	reachable    int // nodes in reach
	logged       loggedState
	shuttingDown bool
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
	s, logger := newSockets(fds, memory), newLogger(sheet.NodeName)
	logPoller(logger)
	return assemble(&Node{settings: sheet, sockets: s, log: logger}, s)
}

// NewWithEnvironment puts a node together over what it is given to stand on; Begin begins it.
func NewWithEnvironment(sheet *settings.Settings, b Environment, log *log.Logger) (*Node, error) {
	return assemble(&Node{settings: sheet, log: log}, b)
}

func assemble(h *Node, b Environment) (*Node, error) {
	h.seed, h.incarnation = b.Identity()
	h.peerAddr = net.JoinHostPort(h.settings.IPAddress, strconv.Itoa(h.settings.InnerPorts[0]))
	h.loop, h.counters = b, b.Counters()
	h.machine, h.table = statemachine.New(), routing.NewTable(nil)
	h.calls, h.pendingHeartbeats, h.catalog = newCallRouter(h, h.incarnation), map[registry.Ticket]pendingHeartbeat{}, newCatalog()
	h.knobs = newNodeKnobs
	h.coordination = coordination.New((*coordinationEnv)(h), coordination.Config{Address: h.peerAddr, Incarnation: h.incarnation, HistoryRetention: h.settings.Bounds.WatchHistory})
	h.groups, h.slotRequest = &groupHost{env: h}, slotRequester{node: h}
	h.coordination.SetHost(h.groups)
	if h.sockets != nil {
		h.sockets.node = h
	}
	if err := h.buildCluster(b); err != nil {
		return nil, err
	}
	if err := h.buildDataPath(b); err != nil {
		return nil, err
	}
	h.loop.OnTurnEnd(h.handleReady)
	return h, nil
}

// buildCluster makes what nodes know of each other.
func (n *Node) buildCluster(b Environment) (err error) {
	if n.links, err = b.Links(n); err != nil {
		return err
	}
	n.loop.Turn(func() { // the core may have something to say at once: it is pulled once all is there
		err = n.openCore(b)
	})
	if err != nil {
		return errors.Wrap(err, "core")
	}
	me := membership.Node{Name: n.settings.NodeName, Addr: n.peerAddr, ControlAddr: n.settings.Bind.Control, Zone: n.settings.Zone,
		FirstStart: n.settings.FirstBoot, Incarnation: n.incarnation}
	if n.core != nil {
		me.Disk, me.Bootstrapped, me.ClusterID = membership.Disk(n.core.self.ID), n.core.replica.Bootstrapped(), n.core.replica.ClusterID()
	}
	n.roster = membership.New(me, membership.Config{Seeds: n.peerAddrs(n.settings.SeedAddrs), ToleratedLosses: n.settings.Tolerance.Machines,
		ClusterID: func(f []membership.Founder) uint64 { return replication.ClusterIDOf(founderMembers(f)) }}, n.loop.Now())
	n.openLogStream()
	return nil
}

// buildDataPath makes the way of requests and of calls.
func (n *Node) buildDataPath(b Environment) error {
	n.quota = quota.NewLimiter(n.seed, 0, 1, n.loop.Now(), quota.Config{MinInterval: 50 * time.Millisecond,
		SnapshotTTL: time.Second, DatagramsPerSecond: maxDatagramsPerSecond, MaxUnits: 1, Strict: true, InitialFill: initialQuotaShare, OwnershipDelay: newOwnerDelay,
		Window: n.settings.Bounds.QuotaWindow, Excess: n.settings.Bounds.QuotaExcess, Margin: float64(n.settings.Bounds.QuotaMargin)})
	n.rollouts = newRolloutHost(n, n, n.settings.Zone, n.incarnation)
	n.admission = admission.New(n.seed, admission.Config{Zone: n.catalog.zoneID(n.settings.Zone),
		RetryRatio: n.settings.Bounds.RetryRatio, RetryWindow: n.settings.Bounds.RetryWindow,
		RetryAllowance: n.settings.Bounds.RetryExtra, Nodes: 1}, n.quota, n.loop.Now())
	n.admission.SetAssigner((*requestSides)(n))
	k := &gateClock{EventLoop: n.loop}
	n.gate = gate.New(n.admission, k, maxInFlight, n.counters, gateLog{n})
	k.timer = n.gate
	p, err := b.DataPath(n, n.gate)
	if err != nil {
		return err
	}
	n.dispatcher, n.datagrams, n.frontend = p.Dispatcher, p.Datagrams, p.Frontend
	n.gate.Through(n.dispatcher, n.datagrams)
	return nil
}

// gateClock gives the gate the engine's time; the module's next due time is an entry among all others.
type gateClock struct {
	EventLoop
	timer eventloop.Alarm
}

func (g *gateClock) Wake(at time.Duration, nr uint32) { g.At(at, g.timer, nr) }

// Start begins to listen and to say hello.
func (n *Node) Start() error {
	if err := n.sockets.Start(); err != nil {
		return err
	}
	var err error
	n.loop.Turn(func() {
		if err = n.sockets.peers.Start(); err == nil {
			n.StartTimers()
		}
	})
	if err != nil {
		return err
	}
	n.sockets.mesh.Start()
	n.logInfo(nodePart).Str("front", n.settings.Bind.Front).Str("control", n.settings.Bind.Control).Bool("disk", n.core != nil).Msg("serving")
	return nil
}

// StartTimers begins the periodic work, in a turn.
func (n *Node) StartTimers() { n.loop.At(n.loop.Now()+tickInterval, (*tickTimer)(n), 0) }

// ReceiveDatagram takes a peer's datagram to the quota, by the module.
func (n *Node) ReceiveDatagram(from control.GatewayID, payload []byte) { n.gate.Heard(from, payload) }

// handleReady carries out what the parts decided: the log first, since all else goes by it.
func (n *Node) handleReady() {
	if n.core != nil {
		n.core.handleReady()
		n.groups.handleReady()
		n.coordination.NotifyWatchers()
		n.groups.handleReady() // what watches that were told of puts ask for next
		n.core.disk.flush()
	}
	n.handleRosterActions()
	n.handleRegistryActions()
	n.gate.Pull()
}

// tickTimer is the one periodic timer.
type tickTimer Node

func (t *tickTimer) Live(uint32) bool { return true }

func (t *tickTimer) Due(uint32) {
	h := (*Node)(t)
	now := h.loop.Now()
	h.loop.At(now+tickInterval, t, 0)
	h.streamReceiver.tick(now)
	if now-h.heartbeatAt >= heartbeatInterval {
		news := h.heartbeatAt == 0
		h.heartbeatAt = now
		h.sendHeartbeats(news)
	} else {
		h.sendOverdueLiveness()
	}
	h.streamSender.tick()
	h.calls.chunks.tick()
	h.streamReceiver.check()
	h.slotRequest.tick()
	h.rollouts.tick()
	h.groups.requestFounding()
	if h.core != nil {
		h.groups.maintain()
		h.core.saveRegistry()
	}
	h.logStateChanges()
}

// customerID names a tenant for the quota: the same at every node. Messages carry 34 bits of it.
func customerID(tenant string) control.CustomerID {
	f := fnv.New32a()
	f.Write([]byte(tenant))
	return control.CustomerID(f.Sum32()) + 1
}
