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
	// defaultMaxFDs and defaultMemoryMB stand for limits that the settings leave out.
	defaultMaxFDs   = 1024
	defaultMemoryMB = 256

	maxConnBufferBytes   = 256 << 10 // bytes that wait on one connection
	maxControlBodyBytes  = 4 << 20   // bytes of a control call's body
	inboundMemoryDivisor = 4         // of the memory limit, for input that is not yet parsed
	clientFDDivisor      = 2         // of the descriptors, for clients
	maxControlConns      = 512
	maxReadinessConns    = 64
	maxInFlight          = 4096 // requests

	dialTimeout    = 700 * time.Millisecond // to a backend
	unackedTimeout = 3 * time.Second        // a connection whose peer acknowledges no byte for so long is closed
	tickInterval   = 100 * time.Millisecond

	// maxDatagramsPerSecond is what a node takes: the owner of a tenant with a fifth of all requests is asked by each node for nearly each of
	// them. Beyond seven tenths of it nodes are asked to write less often, and their requests wait longer than they may.
	maxDatagramsPerSecond = 2000
	// minQuotaInterval is the least time between two datagrams of the quota to the same node.
	minQuotaInterval = 50 * time.Millisecond
	// quotaSnapshotTTL is how long what an owner reported of a bucket counts.
	quotaSnapshotTTL = time.Second
	// initialQuotaShare of the burst is in buckets after the loss of all nodes: what was spent before is not known any more, and half a burst
	// more in five seconds is under what the rule on quotas leaves (rate x 5 + burst, a tenth more).
	initialQuotaShare = 0.5
	// newOwnerDelay is how long a bucket stays empty at a new owner, where slots are added: the old one goes on until it knows.
	newOwnerDelay = time.Second
)

// Node is one node: the parts that it wires together, and what belongs to no part alone. All methods but those that say otherwise are called
// in a turn.
type Node struct {
	settings    *settings.Settings
	log         *log.Logger
	seed        int64
	incarnation uint64
	peerAddr    string // where it takes links; its name among nodes
	knobs       TestingKnobs

	loop     EventLoop
	sockets  *sockets // nil in a simulation
	counters *counters.Set
	links    Links

	// The configuration log, and what is applied of it.
	core           *core // nil without a disk
	contact        *quorumcontact.Tracker
	staleness      quorumcontact.StalenessWatch
	streamSender   *streamSender
	streamReceiver *streamReceiver
	machine        *statemachine.Machine
	appliedIndex   uint64
	table          *routing.Table // of the configuration in force
	catalog        catalog

	// Other nodes.
	roster       *membership.Roster
	slotsChanged bool // the roster has yet to get the slots
	slotRequest  slotRequester
	slotCount    int
	reachable    int           // nodes with a slot that live
	heartbeatAt  time.Duration // when heartbeats last went out; 0: they are due at the next tick
	calls        *callRouter

	// Coordination.
	groups       *groupHost
	coordination *coordination.Service

	// Backends.
	registry     *registry.Registry // nil until there is a slot
	registryHost registryHost

	// Requests.
	quota      *quota.Limiter
	admission  *admission.Controller
	gate       *gate.Gate
	rollouts   *rolloutHost
	dispatcher Dispatcher
	datagrams  Datagrams
	frontend   Frontend

	logged       loggedState
	unreadLog    unreadLog
	shuttingDown bool
}

// New makes a node on sockets, a clock and a disk; Start begins it.
func New(settings *settings.Settings) (*Node, error) {
	maxFDs, memory := settings.Limits.MaxFDs, settings.Limits.MemoryMB
	if maxFDs <= 0 {
		maxFDs = defaultMaxFDs
	}
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	s, logger := newSockets(maxFDs, memory), newLogger(settings.NodeName)
	logPoller(logger)
	return assemble(&Node{settings: settings, sockets: s, log: logger}, s)
}

// NewWithEnvironment makes a node in an environment; StartTimers begins it.
func NewWithEnvironment(settings *settings.Settings, env Environment, log *log.Logger) (*Node, error) {
	return assemble(&Node{settings: settings, log: log}, env)
}

// assemble makes the parts, those first that others need.
func assemble(n *Node, env Environment) (*Node, error) {
	n.seed, n.incarnation = env.Identity()
	n.peerAddr = net.JoinHostPort(n.settings.IPAddress, strconv.Itoa(n.settings.InnerPorts[0]))
	n.loop, n.counters, n.knobs = env, env.Counters(), newNodeKnobs
	n.machine, n.table = statemachine.New(), routing.NewTable(nil)
	n.calls, n.catalog = newCallRouter(n, n.incarnation, &n.knobs), newCatalog()
	n.registryHost.pending = map[registry.Ticket]pendingHeartbeat{}
	n.coordination = coordination.New((*coordinationEnv)(n), coordination.Config{Address: n.peerAddr, Incarnation: n.incarnation,
		HistoryRetention: n.settings.Bounds.WatchHistory})
	n.groups, n.slotRequest = &groupHost{env: n}, slotRequester{node: n}
	n.coordination.SetHost(n.groups)
	if n.sockets != nil {
		n.sockets.node = n
	}
	if err := n.buildCluster(env); err != nil {
		return nil, err
	}
	if err := n.buildDataPath(env); err != nil {
		return nil, err
	}
	n.loop.OnTurnEnd(n.handleReady)
	return n, nil
}

// buildCluster makes the links, the core, the roster and the log stream.
func (n *Node) buildCluster(env Environment) (err error) {
	if n.links, err = env.Links(n); err != nil {
		return err
	}
	n.loop.Turn(func() { err = n.openCore(env) }) // what the core decides is carried out once all parts are there
	if err != nil {
		return errors.Wrap(err, "core")
	}
	self := membership.Node{Name: n.settings.NodeName, Addr: n.peerAddr, ControlAddr: n.settings.Bind.Control, Zone: n.settings.Zone,
		FirstStart: n.settings.FirstBoot, Incarnation: n.incarnation}
	if n.core != nil {
		self.Disk, self.Bootstrapped, self.ClusterID = membership.DiskID(n.core.self.ID), n.core.replica.Bootstrapped(), n.core.replica.ClusterID()
	}
	clusterID := func(f []membership.Founder) uint64 { return replication.ClusterIDOf(founderMembers(f)) }
	n.roster = membership.New(self, membership.Config{Seeds: n.peerAddrs(n.settings.SeedAddrs),
		ToleratedLosses: n.settings.Tolerance.Machines, ClusterID: clusterID}, n.loop.Now())
	n.openLogStream()
	return nil
}

// buildDataPath makes what requests go through.
func (n *Node) buildDataPath(env Environment) error {
	bounds := &n.settings.Bounds
	n.quota = quota.NewLimiter(n.seed, 0, 1, n.loop.Now(), quota.Config{MinInterval: minQuotaInterval, SnapshotTTL: quotaSnapshotTTL,
		DatagramsPerSecond: maxDatagramsPerSecond, MaxUnits: 1, Strict: true, InitialFill: initialQuotaShare, OwnershipDelay: newOwnerDelay,
		Window: bounds.QuotaWindow, Excess: bounds.QuotaExcess, Margin: float64(bounds.QuotaMargin)})
	n.rollouts = newRolloutHost(n, n, n.settings.Zone, n.incarnation)
	n.admission = admission.New(n.seed, admission.Config{Zone: n.catalog.zoneID(n.settings.Zone), RetryRatio: bounds.RetryRatio,
		RetryWindow: bounds.RetryWindow, RetryAllowance: bounds.RetryExtra, Nodes: 1}, n.quota, n.loop.Now())
	n.admission.SetAssigner((*requestSides)(n))
	clock := &gateClock{EventLoop: n.loop}
	n.gate = gate.New(n.admission, clock, maxInFlight, n.counters, gateLog{n})
	clock.timer = n.gate
	path, err := env.DataPath(n, n.gate)
	if err != nil {
		return err
	}
	n.dispatcher, n.datagrams, n.frontend = path.Dispatcher, path.Datagrams, path.Frontend
	n.gate.SetTransport(n.dispatcher, n.datagrams)
	return nil
}

// gateClock gives the gate the time of the event loop, and a timer for its next deadline.
type gateClock struct {
	EventLoop
	timer eventloop.Alarm
}

// Wake sets the timer.
func (g *gateClock) Wake(at time.Duration, seq uint32) { g.At(at, g.timer, seq) }

// Start listens, and connects to other nodes. It is not for a turn.
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

// StartTimers begins the periodic work.
func (n *Node) StartTimers() { n.loop.At(n.loop.Now()+tickInterval, (*tickTimer)(n), 0) }

// ReceiveDatagram takes a datagram of another node's quota.
func (n *Node) ReceiveDatagram(from control.GatewayID, payload []byte) {
	n.gate.DatagramReceived(from, payload)
}

// customerID is a tenant in the quota: the same at every node. Datagrams carry 34 bits of it.
func customerID(tenant string) control.CustomerID {
	f := fnv.New32a()
	f.Write([]byte(tenant))
	return control.CustomerID(f.Sum32()) + 1
}
