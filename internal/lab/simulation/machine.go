package simulation

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/transport"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
)

// machine is one node's: it goes on while processes come and go.
type machine struct {
	world                 *world
	index                 int
	name, addr, zone      string
	peerAddr, controlAddr string
	settings              *settings.Settings
	disk                  *simulatedDisk // nil: none
	incarnation           int
	process               *process // nil: none runs
	poweredOff            bool     // it has no power
	linkFreeAt            time.Duration
	activeFaults, stalls  int // faults under way on it; that hold its process
	sent                  Traffic
	meter                 meter
	servingSince          time.Duration // since when, in a recovery
	lastFaultEnd          time.Duration // when its last trouble ended
	successor             *machine      // what stands in its place
}

// clockOffset is what a node's clock shows at its start, as on real machines.
const clockOffset = time.Hour

// process is one life of a node: what its deployment stands on.
type process struct {
	machine      *machine
	world        *world
	born         time.Duration
	seed         int64
	id           uint64
	node         *node.Node
	gate         *gate.Gate
	counters     *counters.Set
	endOfTurn    func()
	ended        bool
	died         time.Duration
	resumedAt    time.Duration // when it went on after its last pause
	backlog      []queuedTurn  // turns that wait while the process is paused, or until it has read what came before
	inputDelay   time.Duration // how long the input of the present turn waited: see InputDelay
	inbox        []func()      // turns that wait for its processor, in a metered day
	busyUntil    time.Duration // until then its processor has no time
	links        map[string]*peerLink
	inbound      map[string]*conn // the newest link of each node
	incarnations map[string]uint64
	datagrams    datagrams
	backendLinks *backendLinks
	upstreams    *upstreams
}

// start begins a life.
func (m *machine) start() {
	if m.process != nil || m.successor != nil {
		return
	}
	w := m.world
	m.incarnation++
	m.poweredOff = false
	r := source(w.day.Seed, uint64(m.index)<<20|uint64(m.incarnation))
	p := &process{machine: m, world: w, born: w.now, seed: int64(r.Uint64() >> 1), id: r.Uint64(), counters: &counters.Set{}, endOfTurn: func() {},
		links: map[string]*peerLink{}, inbound: map[string]*conn{}, incarnations: map[string]uint64{}}
	m.process = p
	w.counters = append(w.counters, p.counters)
	if m.settings.FirstBoot = m.incarnation == 1; w.replaced > 0 {
		m.settings.SeedAddrs = w.seeds()
	}
	h, err := node.NewWithEnvironment(m.settings, p, w.logger(m.name))
	if err != nil {
		panic(err)
	}
	p.node = h
	p.turn(func() { h.StartTimers() })
	w.record(history.Event{Who: m.name, Incarnation: m.incarnation, Kind: history.Up})
	w.logf("%s starts, life %d", m.name, m.incarnation)
}

// kill ends a process at once. Without power nothing tells the others.
func (m *machine) kill(power bool) { m.down(power, "") }

// down ends a process; how is what its history says of that.
func (m *machine) down(power bool, how string) {
	m.poweredOff = m.poweredOff || power
	p := m.process
	if p == nil {
		return
	}
	m.process = nil
	p.ended, p.died = true, m.world.now
	if m.stalls > 0 {
		m.world.record(history.Event{Who: m.name, Kind: history.Resumed})
	}
	m.stalls = 0
	m.world.record(history.Event{Who: m.name, Kind: history.Down, What: how})
	m.world.logf("%s is killed, power off %v", m.name, power)
	if m.disk != nil {
		m.disk.killed()
	}
	m.world.processEnded(p)
	p.backendLinks.lost()
	m.world.clients.processEnded(p, power)
}

// terminate tells a process to end in order.
func (m *machine) terminate() {
	p := m.process
	if p == nil {
		return
	}
	w, began := m.world, m.world.now
	w.record(history.Event{Who: m.name, Kind: gatewaystandin.Terminates})
	w.logf("%s is told to end", m.name)
	p.turn(p.node.BeginShutdown)
	if w.planted == closesOnShutdown {
		p.closeClientConns()
	}
	grace := m.settings.Bounds.ShutdownGrace
	done := false
	w.every(20*time.Millisecond, func() bool {
		if p.ended {
			return false
		}
		if w.now-began > grace {
			m.kill(false)
			return false
		}
		p.turn(func() { done = done || p.node.ContinueShutdown(w.now-began) })
		if done || w.now-began > grace-400*time.Millisecond {
			w.after(150*time.Millisecond, func() {
				if !p.ended {
					m.down(false, history.CleanExit)
				}
			})
			return false
		}
		return true
	})
}

// stall lets the process stand still, and go on.
func (m *machine) stall(on bool) {
	p := m.process
	switch {
	case p == nil:
	case on:
		if m.stalls++; m.stalls == 1 {
			m.world.record(history.Event{Who: m.name, Kind: history.Paused})
			m.world.logf("%s stands still", m.name)
		}
	case m.stalls > 0:
		if m.stalls--; m.stalls == 0 {
			m.world.record(history.Event{Who: m.name, Kind: history.Resumed})
			m.world.logf("%s goes on", m.name)
			p.resumedAt = m.world.now
			p.readBacklog()
			m.checkContact()
		}
	}
}

// loseDisk takes what is on the machine's disk. Until the core has given it the state again, and a little, it counts as in trouble: a
// system that tolerates one loss does not owe anything while another machine is away too.
func (m *machine) loseDisk() {
	m.world.logf("%s loses its disk", m.name)
	m.disk.wipe()
	m.countFault(true)
	m.world.every(100*time.Millisecond, func() bool {
		if m.process != nil && m.disk.persisted.Commit > 0 {
			m.countFault(false)
			return false
		}
		return true
	})
}

// countFault marks that a fault on a machine or its links begins or ends.
func (m *machine) countFault(on bool) {
	switch {
	case m.successor != nil:
		m.successor.countFault(on)
	case on:
		if m.activeFaults++; m.activeFaults == 1 {
			m.world.record(history.Event{Who: m.name, Kind: gatewaystandin.Troubled})
		}
	default:
		if m.activeFaults--; m.activeFaults == 0 {
			m.lastFaultEnd = m.world.now
			m.world.record(history.Event{Who: m.name, Kind: gatewaystandin.Eased})
		}
	}
}

// runs tells whether a process is there that does something.
func (m *machine) runs() bool { return m.process != nil && m.stalls == 0 }

// turn is one owner's: what happens, then what was decided. What comes while the process stands still waits.
func (p *process) turn(do func()) {
	switch {
	case p.ended:
	case p.machine.stalls > 0 || len(p.backlog) > 0:
		p.backlog = append(p.backlog, queuedTurn{p.world.now, do})
	case p.world.day.Share > 0 && (p.busyUntil > p.world.now || len(p.inbox) > 0):
		p.queue(do)
	case p.busyUntil > p.world.now:
		p.world.at(p.busyUntil, func() { p.turn(do) })
	default:
		p.busyUntil = p.world.now + p.world.day.Turn
		p.inputDelay = 0
		p.execute(do)
	}
}

// execute does a turn's work, and measures it on a metered day.
func (p *process) execute(do func()) {
	if p.world.metered {
		p.metered(do)
		return
	}
	do()
	p.endOfTurn()
}

// queuedTurn is a turn that waits, and the time at which its input came.
type queuedTurn struct {
	arrivedAt time.Duration
	run       func()
}

const (
	// backlogTurnTime is how long a process takes for a turn that came while it was paused: as long as a process with a small share of a
	// core takes for a request. So the backlog is read for longer than any alarm was late.
	backlogTurnTime = 2 * time.Millisecond
	// turnTimeBehindBacklog is how long a process takes for a turn that came while it read a backlog.
	turnTimeBehindBacklog = 100 * time.Microsecond
)

// readBacklog takes the waiting turns one after the other. What comes meanwhile waits behind them.
func (p *process) readBacklog() {
	if p.ended || p.machine.stalls > 0 || len(p.backlog) == 0 {
		return
	}
	first := p.backlog[0]
	p.inputDelay = max(0, p.world.now-first.arrivedAt-eventloop.MaxUnknownDelay)
	p.execute(first.run)
	p.backlog = p.backlog[1:]
	took := turnTimeBehindBacklog
	if first.arrivedAt < p.resumedAt {
		took = backlogTurnTime
	}
	p.world.at(max(p.world.now+took, p.busyUntil), p.readBacklog)
}

// Now and the others are what the deployment stands on.
func (p *process) Now() time.Duration { return clockOffset + p.world.now - p.born }

// minTimerDelay is the least time that a timer takes.
const minTimerDelay = 50 * time.Microsecond

func (p *process) At(at time.Duration, to eventloop.Alarm, ref uint32) {
	p.world.at(max(at-clockOffset+p.born, p.world.now+minTimerDelay), func() {
		if !p.ended && (p.machine.stalls > 0 || to.Live(ref)) {
			p.turn(func() {
				if to.Live(ref) {
					to.Due(ref)
				}
			})
		}
	})
}

// InputDelay is how long the input of the present turn waited unread: as little as eventloop.Link.InputDelay may return.
func (p *process) InputDelay() time.Duration { return p.inputDelay }

// Refresh does nothing: no time passes within a simulated turn.
func (p *process) Refresh() {}

func (p *process) Turn(do func()) { do(); p.endOfTurn() }

func (p *process) OnTurnEnd(do func()) { p.endOfTurn = do }

func (p *process) Identity() (int64, uint64) { return p.seed, p.id }

func (p *process) Counters() *counters.Set { return p.counters }

func (p *process) Links(transport.Host[node.Frame]) (node.Links, error) { return p, nil }

func (p *process) Disk() (node.Disk, replication.PersistentState, error) {
	return &drive{p, p.machine.disk}, p.machine.disk.read(), nil
}

func (p *process) DataPath(h *node.Node, g *gate.Gate) (node.DataPath, error) {
	p.node, p.gate = h, g
	p.backendLinks = newWays(p)
	p.upstreams = &upstreams{process: p, attempts: map[uint32]*attempt{}}
	p.datagrams = datagrams{process: p, slots: map[*machine]int{}}
	return node.DataPath{Dispatcher: p.backendLinks, Datagrams: &p.datagrams, Frontend: p.upstreams}, nil
}

// datagrams are a node's datagrams.
type datagrams struct {
	process *process
	all     []*machine
	slots   map[*machine]int
}

func (d *datagrams) SetPeers(addrs []netip.AddrPort, me int) {
	d.all = nil
	clear(d.slots)
	for i, a := range addrs {
		m := d.process.world.byPeerAddr[netip.AddrPortFrom(a.Addr(), peerPort).String()]
		d.all = append(d.all, m)
		if i != me {
			d.slots[m] = i
		}
	}
}

// upstreams is the front of a node: connections of clients and what was taken from them.
type upstreams struct {
	process          *process
	attempts         map[uint32]*attempt
	drained          bool
	stoppedListening bool
}

func (u *upstreams) SetBounds(downstream.Bounds) {}
func (u *upstreams) Clients() int                { return len(u.attempts) }
func (u *upstreams) CallsInFlight() int          { return 0 }
func (u *upstreams) Drain()                      { u.drained = true }
func (u *upstreams) StopListening()              { u.stoppedListening = true }

// simulatedDisk is a disk: what is on it outlives processes.
type simulatedDisk struct {
	world      *world
	rng        *rand.Rand
	persisted  replication.PersistentState
	drawnID    replication.MemberID                              // the id that a process has of an empty disk that was full when it began
	groups     map[replication.LogID]replication.PersistentState // the coordination groups' logs
	softState  []byte
	departures map[string]registry.Departure // of backends, by id
	writing    *write
	slowdown   float64 // times as slow as it is
	fullFaults int     // faults under way
	hangFaults int
	syncs      int
}

type write struct {
	process        *process
	batch          node.DiskBatch
	done           func()
	checkUnchanged func() // see owned
}

func newSimulatedDisk(w *world) *simulatedDisk {
	return &simulatedDisk{world: w, rng: w.diskRand, slowdown: 1}
}

// wipe takes all that is on it.
func (s *simulatedDisk) wipe() {
	s.persisted, s.groups, s.softState, s.departures, s.writing = replication.PersistentState{}, nil, nil, nil, nil
}

// read gives what it holds, with an id for an empty one.
func (s *simulatedDisk) read() replication.PersistentState {
	if s.persisted.ID == 0 {
		for s.drawnID = 0; s.drawnID == 0; {
			s.drawnID = replication.MemberID(s.rng.Uint64() >> 24)
		}
		if s.fullFaults == 0 {
			s.persisted.ID = s.drawnID
		}
	}
	k := s.persisted
	if k.ID == 0 {
		k.ID = s.drawnID
	}
	if err := k.Validate(); err != nil {
		panic("a disk does not hold together: " + err.Error())
	}
	k.Entries = append([]replication.Entry(nil), k.Entries...)
	return k
}

// killed ends the writer: what was being written is there whole, or not at all.
func (s *simulatedDisk) killed() {
	if x := s.writing; x != nil && s.hangFaults == 0 && s.fullFaults == 0 && s.rng.IntN(2) == 0 {
		s.apply(x)
	}
	s.writing = nil
}

func (s *simulatedDisk) apply(x *write) {
	if s.persisted.ID == 0 {
		s.persisted.ID = s.drawnID
	}
	for _, a := range x.batch.Logs {
		if a.Log == replication.ConfigurationLog {
			s.persisted.Apply(a.Write)
			continue
		}
		if s.groups == nil {
			s.groups = map[replication.LogID]replication.PersistentState{}
		}
		k := s.groups[a.Log]
		k.ID = s.persisted.ID
		k.Apply(a.Write)
		s.groups[a.Log] = k
	}
	s.applyDepartures(x.batch)
}

// applyDepartures stores the departures of a batch, then its soft state, and then removes the departures that the soft state no longer
// names.
func (s *simulatedDisk) applyDepartures(batch node.DiskBatch) {
	if s.departures == nil {
		s.departures = map[string]registry.Departure{}
	}
	for _, d := range batch.Departures {
		s.departures[d.ID] = d
	}
	if batch.SoftState == nil {
		return
	}
	s.softState = batch.SoftState.Backends
	maps.DeleteFunc(s.departures, func(id string, _ registry.Departure) bool { return !slices.Contains(batch.SoftState.DepartingIDs, id) })
}

// drive is a disk as a process has it.
type drive struct {
	process *process
	disk    *simulatedDisk
}

func (d *drive) SoftState() []byte { return d.disk.softState }

// GroupLogs are the logs of the coordination groups, as they are read at the start.
func (d *drive) GroupLogs() map[replication.LogID]replication.PersistentState {
	held := map[replication.LogID]replication.PersistentState{}
	for log, k := range d.disk.groups {
		if err := k.Validate(); err != nil {
			panic("a group's log does not hold together: " + err.Error())
		}
		k.Entries = append([]replication.Entry(nil), k.Entries...)
		held[log] = k
	}
	return held
}

// Departures are those of backends, sorted by id.
func (d *drive) Departures() (departures []registry.Departure) {
	for _, id := range slices.Sorted(maps.Keys(d.disk.departures)) {
		departures = append(departures, d.disk.departures[id])
	}
	return departures
}

func (d *drive) Write(batch node.DiskBatch, done func()) {
	x := &write{process: d.process, batch: batch, done: done}
	d.disk.writing = x
	x.checkUnchanged = d.disk.world.watchUnchanged(d.process.machine.name, &batch.Logs)
	d.disk.world.happens(writeMoment(batch.Logs))
	d.disk.perform(x, 20*time.Millisecond)
}

// writeMoment is a moment only where something of the log is written.
func writeMoment(all []replication.LogWrite) spec.Moment {
	for _, a := range all {
		if a.Log == replication.ConfigurationLog && len(a.Write.Entries) > 0 {
			return spec.Writes
		}
	}
	return ""
}

// perform writes and syncs. A full disk refuses, and is tried again; one that hangs answers when it goes on.
func (s *simulatedDisk) perform(x *write, wait time.Duration) {
	took := time.Duration(s.slowdown * float64(500*time.Microsecond+time.Duration(s.rng.ExpFloat64()*float64(2500*time.Microsecond))))
	s.world.after(took, func() {
		switch {
		case s.writing != x:
		case s.hangFaults > 0:
			s.perform(x, wait)
		case s.fullFaults > 0:
			s.world.after(wait, func() {
				if s.writing == x {
					s.perform(x, min(2*wait, time.Second))
				}
			})
		default:
			x.checkUnchanged()
			s.apply(x)
			s.writing = nil
			s.syncs++
			x.process.turn(x.done)
		}
	})
}
