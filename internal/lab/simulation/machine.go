package simulation

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"clovergap/internal/gateway/node"
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
	w                *world
	nr               int
	name, ip, zone   string
	inner, control   string
	settings         *settings.Settings
	disk             *simulatedDisk // nil: none
	life             int
	p                *process // nil: none runs
	dark             bool     // it has no power
	free             time.Duration
	trouble, stalled int // faults under way on it; that hold its process
	sent             Traffic
	meter            meter
	serves           time.Duration // since when, in a recovery
	eased            time.Duration // when its last trouble ended
	heir             *machine      // what stands in its place
}

// before is what a node's clock shows at its start, as on real machines.
const before = time.Hour

// process is one life of a node: what its deployment stands on.
type process struct {
	m         *machine
	w         *world
	born      time.Duration
	seed      int64
	id        uint64
	h         *node.Node
	g         *gate.Gate
	count     *counters.Set
	settled   func()
	over      bool
	died      time.Duration
	goes      time.Duration // on, after it last stood still
	stopped   time.Duration // when that began
	backlog   []func()
	inbox     []func()      // turns that wait for its processor, in a metered day
	busy      time.Duration // until then its processor has no time
	links     map[string]*wing
	from      map[string]*conn // the newest link of each node
	lives     map[string]uint64
	datagrams datagrams
	ways      *ways
	upstreams *upstreams
}

// start begins a life.
func (m *machine) start() {
	if m.p != nil || m.heir != nil {
		return
	}
	w := m.w
	m.life++
	m.dark = false
	r := source(w.day.Seed, uint64(m.nr)<<20|uint64(m.life))
	p := &process{m: m, w: w, born: w.now, seed: int64(r.Uint64() >> 1), id: r.Uint64(), count: &counters.Set{}, settled: func() {},
		links: map[string]*wing{}, from: map[string]*conn{}, lives: map[string]uint64{}}
	m.p = p
	if m.settings.FirstBoot = m.life == 1; w.replaced > 0 {
		m.settings.SeedAddrs = w.seeds()
	}
	h, err := node.NewWithEnvironment(m.settings, p, w.logger(m.name))
	if err != nil {
		panic(err)
	}
	p.h = h
	p.turn(func() { h.StartTimers() })
	w.note(history.Event{Who: m.name, Life: m.life, Kind: history.Up})
	w.say("%s starts, life %d", m.name, m.life)
}

// kill ends a process at once. Without power nothing tells the others.
func (m *machine) kill(power bool) { m.down(power, "") }

// down ends a process; how is what its history says of that.
func (m *machine) down(power bool, how string) {
	m.dark = m.dark || power
	p := m.p
	if p == nil {
		return
	}
	m.p = nil
	p.over, p.died = true, m.w.now
	if m.stalled > 0 {
		m.w.note(history.Event{Who: m.name, Kind: history.Goes})
	}
	m.stalled = 0
	m.w.note(history.Event{Who: m.name, Kind: history.Down, What: how})
	m.w.say("%s is killed, power off %v", m.name, power)
	if m.disk != nil {
		m.disk.killed()
	}
	m.w.lost(p)
	p.ways.lost()
	m.w.clients.lost(p, power)
}

// terminate tells a process to end in order.
func (m *machine) terminate() {
	p := m.p
	if p == nil {
		return
	}
	w, began := m.w, m.w.now
	w.note(history.Event{Who: m.name, Kind: gatewaystandin.Terminates})
	w.say("%s is told to end", m.name)
	p.turn(p.h.BeginShutdown)
	if w.planted == cutsAtTheEnd {
		p.cuts()
	}
	grace := m.settings.Bounds.ShutdownGrace
	done := false
	w.every(20*time.Millisecond, func() bool {
		if p.over {
			return false
		}
		if w.now-began > grace {
			m.kill(false)
			return false
		}
		p.turn(func() { done = done || p.h.ContinueShutdown(w.now-began) })
		if done || w.now-began > grace-400*time.Millisecond {
			w.after(150*time.Millisecond, func() {
				if !p.over {
					m.down(false, history.InOrder)
				}
			})
			return false
		}
		return true
	})
}

// stall lets the process stand still, and go on.
func (m *machine) stall(on bool) {
	p := m.p
	switch {
	case p == nil:
	case on:
		if m.stalled++; m.stalled == 1 {
			m.w.note(history.Event{Who: m.name, Kind: history.Stopped})
			m.w.say("%s stands still", m.name)
			p.stopped = m.w.now
		}
	case m.stalled > 0:
		if m.stalled--; m.stalled == 0 {
			m.w.note(history.Event{Who: m.name, Kind: history.Goes})
			m.w.say("%s goes on", m.name)
			p.goes = m.w.now
			all := p.backlog
			p.backlog = nil
			for _, do := range all {
				p.turn(do)
			}
			m.holdsWord()
		}
	}
}

// loseDisk takes what is on the machine's disk. Until the core has given it the state again, and a little, it counts as in trouble: a
// system that tolerates one loss does not owe anything while another machine is away too.
func (m *machine) loseDisk() {
	m.w.say("%s loses its disk", m.name)
	m.disk.wipe()
	m.countTrouble(true)
	m.w.every(100*time.Millisecond, func() bool {
		if m.p != nil && m.disk.kept.Commit > 0 {
			m.countTrouble(false)
			return false
		}
		return true
	})
}

// countTrouble marks that a fault on a machine or its links begins or ends.
func (m *machine) countTrouble(on bool) {
	switch {
	case m.heir != nil:
		m.heir.countTrouble(on)
	case on:
		if m.trouble++; m.trouble == 1 {
			m.w.note(history.Event{Who: m.name, Kind: gatewaystandin.Troubled})
		}
	default:
		if m.trouble--; m.trouble == 0 {
			m.eased = m.w.now
			m.w.note(history.Event{Who: m.name, Kind: gatewaystandin.Eased})
		}
	}
}

// runs tells whether a process is there that does something.
func (m *machine) runs() bool { return m.p != nil && m.stalled == 0 }

// turn is one owner's: what happens, then what was decided. What comes while the process stands still waits.
func (p *process) turn(do func()) {
	switch {
	case p.over:
	case p.m.stalled > 0:
		p.backlog = append(p.backlog, do)
	case p.w.day.Share > 0 && (p.busy > p.w.now || len(p.inbox) > 0):
		p.queue(do)
	case p.busy > p.w.now:
		p.w.at(p.busy, func() { p.turn(do) })
	default:
		p.busy = p.w.now + p.w.day.Turn
		if p.w.metered {
			p.metered(do)
			return
		}
		do()
		p.settled()
	}
}

// Now and the others are what the deployment stands on.
func (p *process) Now() time.Duration { return before + p.w.now - p.born }

// late is the least time that a timer takes.
const late = 50 * time.Microsecond

func (p *process) At(at time.Duration, to eventloop.Alarm, ref uint32) {
	p.w.at(max(at-before+p.born, p.w.now+late), func() {
		if !p.over && (p.m.stalled > 0 || to.Live(ref)) {
			p.turn(func() {
				if to.Live(ref) {
					to.Due(ref)
				}
			})
		}
	})
}

// InputDelay is how long the process stood still, where it goes on now.
func (p *process) InputDelay() time.Duration {
	if p.goes > 0 && p.w.now-p.goes <= justNow {
		return p.goes - p.stopped
	}
	return 0
}

// justNow is how long after a standstill what is read may have waited: as in a real node.
const justNow = 20 * time.Millisecond

// Refresh does nothing: no time passes within a simulated turn.
func (p *process) Refresh() {}

func (p *process) Turn(do func()) { do(); p.settled() }

func (p *process) OnTurnEnd(do func()) { p.settled = do }

func (p *process) Identity() (int64, uint64) { return p.seed, p.id }

func (p *process) Counters() *counters.Set { return p.count }

func (p *process) Links(transport.Host[node.Frame]) (node.Links, error) { return p, nil }

func (p *process) Disk() (node.Disk, replication.PersistentState, error) {
	return &drive{p, p.m.disk}, p.m.disk.read(), nil
}

func (p *process) DataPath(h *node.Node, g *gate.Gate) (node.DataPath, error) {
	p.h, p.g = h, g
	p.ways = newWays(p)
	p.upstreams = &upstreams{p: p, tries: map[uint32]*try{}}
	p.datagrams = datagrams{p: p, slots: map[*machine]int{}}
	return node.DataPath{Dispatcher: p.ways, Datagrams: &p.datagrams, Frontend: p.upstreams}, nil
}

// datagrams are a node's datagrams.
type datagrams struct {
	p     *process
	all   []*machine
	slots map[*machine]int
}

func (d *datagrams) SetPeers(addrs []netip.AddrPort, me int) {
	d.all = nil
	clear(d.slots)
	for i, a := range addrs {
		m := d.p.w.byInner[netip.AddrPortFrom(a.Addr(), innerPort).String()]
		d.all = append(d.all, m)
		if i != me {
			d.slots[m] = i
		}
	}
}

// upstreams is the front of a node: connections of clients and what was taken from them.
type upstreams struct {
	p       *process
	tries   map[uint32]*try
	drained bool
	deaf    bool
}

func (u *upstreams) SetBounds(downstream.Bounds) {}
func (u *upstreams) Clients() int                { return len(u.tries) }
func (u *upstreams) Drain()                      { u.drained = true }
func (u *upstreams) StopListening()              { u.deaf = true }

// simulatedDisk is a disk: what is on it outlives processes.
type simulatedDisk struct {
	w       *world
	rng     *rand.Rand
	kept    replication.PersistentState
	drawn   replication.MemberID                              // the id that a process has of an empty disk that was full when it began
	groups  map[replication.LogID]replication.PersistentState // the coordination groups' logs
	noted   []byte
	writing *write
	slow    float64 // times as slow as it is
	full    int     // faults under way
	hangs   int
	syncs   int
}

type write struct {
	p      *process
	writes []replication.LogWrite
	note   []byte
	done   func()
	look   func() // see owned
}

func newSimulatedDisk(w *world) *simulatedDisk { return &simulatedDisk{w: w, rng: w.disks, slow: 1} }

// wipe takes all that is on it.
func (s *simulatedDisk) wipe() {
	s.kept, s.groups, s.noted, s.writing = replication.PersistentState{}, nil, nil, nil
}

// read gives what it holds, with an id for an empty one.
func (s *simulatedDisk) read() replication.PersistentState {
	if s.kept.ID == 0 {
		for s.drawn = 0; s.drawn == 0; {
			s.drawn = replication.MemberID(s.rng.Uint64() >> 24)
		}
		if s.full == 0 {
			s.kept.ID = s.drawn
		}
	}
	k := s.kept
	if k.ID == 0 {
		k.ID = s.drawn
	}
	if err := k.Validate(); err != nil {
		panic("a disk does not hold together: " + err.Error())
	}
	k.Entries = append([]replication.Entry(nil), k.Entries...)
	return k
}

// killed ends the writer: what was being written is there whole, or not at all.
func (s *simulatedDisk) killed() {
	if x := s.writing; x != nil && s.hangs == 0 && s.full == 0 && s.rng.IntN(2) == 0 {
		s.apply(x)
	}
	s.writing = nil
}

func (s *simulatedDisk) apply(x *write) {
	if s.kept.ID == 0 {
		s.kept.ID = s.drawn
	}
	for _, a := range x.writes {
		if a.Log == replication.ConfigurationLog {
			s.kept.Apply(a.Write)
			continue
		}
		if s.groups == nil {
			s.groups = map[replication.LogID]replication.PersistentState{}
		}
		k := s.groups[a.Log]
		k.ID = s.kept.ID
		k.Apply(a.Write)
		s.groups[a.Log] = k
	}
	if x.note != nil {
		s.noted = x.note
	}
}

// drive is a disk as a process has it.
type drive struct {
	p *process
	d *simulatedDisk
}

func (d *drive) SoftState() []byte { return d.d.noted }

// GroupLogs are the logs of the coordination groups, as they are read at the start.
func (d *drive) GroupLogs() map[replication.LogID]replication.PersistentState {
	held := map[replication.LogID]replication.PersistentState{}
	for log, k := range d.d.groups {
		if err := k.Validate(); err != nil {
			panic("a group's log does not hold together: " + err.Error())
		}
		k.Entries = append([]replication.Entry(nil), k.Entries...)
		held[log] = k
	}
	return held
}

func (d *drive) Write(writes []replication.LogWrite, note []byte, done func()) {
	x := &write{p: d.p, writes: writes, note: note, done: done}
	d.d.writing = x
	x.look = d.d.w.owned(d.p.m.name, &writes)
	d.d.w.happens(writeMoment(writes))
	d.d.perform(x, 20*time.Millisecond)
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
	took := time.Duration(s.slow * float64(500*time.Microsecond+time.Duration(s.rng.ExpFloat64()*float64(2500*time.Microsecond))))
	s.w.after(took, func() {
		switch {
		case s.writing != x:
		case s.hangs > 0:
			s.perform(x, wait)
		case s.full > 0:
			s.w.after(wait, func() {
				if s.writing == x {
					s.perform(x, min(2*wait, time.Second))
				}
			})
		default:
			x.look()
			s.apply(x)
			s.writing = nil
			s.syncs++
			x.p.turn(x.done)
		}
	})
}
