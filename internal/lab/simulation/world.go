// Package simulation plays the gateway in simulated time: every node is the whole of internal/gateway/node, the very code that runs on
// machines, over simulated clocks, links, datagrams, disks and ways to backends. Backends, clients and an operator are as the
// protocol has them. One queue of due times and a few sources of chance, all from one seed, decide what happens: the same
// day gives the same history to the byte. No goroutine, no wall clock and no order of a map has a say.
package simulation

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"clovergap/internal/gateway/settings"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/timerqueue"
)

// origin is the clock at the start of a day: nought stands for "not yet" in histories.
const origin = 10 * time.Second

// Ports of all nodes are alike.
const (
	peerPort    = 7110
	controlPort = 7102
)

// Site is the shape of what is played.
type Site struct {
	Nodes, Disks, Zones int
	Each                int     // backends of each service in each zone
	Rate                float64 // requests a second
	Beat                time.Duration
	Mbps                float64       // of each machine's link; 0: not bounded
	Turn                time.Duration // of processor time that a turn takes; 0: none
	Hot                 bool          // days of a tenant that rushes, and of cuts about then
	Share               float64       // of a core that a node has, in metered days: what turns took holds up the next; 0: not bounded
	Regions             int           // zones lie in these in turn; 0 or 1: all in one
	Wide                Wide          // nought: the small deployment
}

// Usual completes a site.
func (s Site) Usual() Site {
	if s.Nodes == 0 {
		s.Nodes = 5
	}
	s.Disks = min(max(s.Disks, 1), s.Nodes)
	if s.Zones == 0 {
		s.Zones = min(3, s.Nodes)
	}
	if s.Each == 0 {
		s.Each = 1 + s.Nodes/24
	}
	if s.Rate == 0 {
		s.Rate = 60 + 4*float64(s.Nodes)
	}
	if s.Beat == 0 {
		s.Beat = time.Second
	}
	return s
}

// Tolerates is how many disks may be lost at once.
func (s Site) Tolerates() int { return max(0, (s.Disks-1)/2) }

// Day is one run: everything in it follows from these.
type Day struct {
	Site
	Seed    uint64
	For     time.Duration // how long faults are brought
	Faults  []spec.Fault
	Early   bool // faults begin with the first start of all, in which nodes start up to some seconds apart
	Closing bool // a closing fault right after an acknowledgement: all are killed
	Wipe    bool // and one disk is lost by it
	Calm    bool // nothing but its time is played: no recovery is waited for
	Changes bool // while the operator goes on, in a calm day
	Callers int  // applications that take locks; with some, all kinds of coordination calls come
	Hard    bool // disks wait their turn to be lost, and the operator sends again what was taken long ago: see DrawHard
	Log     io.Writer

	checkOwnership bool // what is handed over is looked at again: see owned.go
}

// world is a day under way.
type world struct {
	day            *Day
	now            time.Duration
	timers         timerqueue.Queue[func()]
	events         uint64
	history        []history.Event
	machines       []*machine
	byPeerAddr     map[string]*machine
	byControlAddr  map[string]*machine
	zones          []string
	netRand        *rand.Rand // what travels
	diskRand       *rand.Rand
	backendRand    *rand.Rand
	partitions     []*partition
	losses         spec.Factors // of datagrams, and of frames that go again
	timeline       *timeline
	clients        *clients
	operator       *operator
	momentWaiters  map[spec.Moment][]func()
	drainer        *machine // who last acknowledged a drain
	faults         int      // under way
	finished       bool
	trafficHash    uint64 // of what travelled
	countedTime    time.Duration
	partitionTimes PartitionTimes
	drainResults   []DrainResult
	planted        plantedFault
	checkOwnership bool
	orderPending   bool     // an order of a parted node's is under way
	copies         int      // faults under way that let frames come twice
	replaced       int      // machines
	caller         *machine // who last passed on a call, and to whom
	callee         *machine
	broken         []history.Violation // seen while the day went on
	counters       []*counters.Set     // of all processes, also of those that have ended
	metered        bool                // work and frames are counted, and no history is kept
	enough         func() string       // why a metered day is to end at once; nil: never
	turnKind       string              // what the turn under way is for, where it is metered
	applications   *applications       // nil: none call
}

// happens calls those who wait for a moment.
func (w *world) happens(m spec.Moment) {
	all := w.momentWaiters[m]
	if len(all) == 0 {
		return
	}
	delete(w.momentWaiters, m)
	for _, do := range all {
		w.after(0, do)
	}
}

// atNextMoment calls at the next such moment, or after a while.
func (w *world) atNextMoment(m spec.Moment, most time.Duration, do func()) {
	done := false
	once := func() {
		if !done {
			done = true
			do()
		}
	}
	w.momentWaiters[m] = append(w.momentWaiters[m], once)
	w.after(most, once)
}

func source(seed, use uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, use)) }

func newWorld(d *Day) *world {
	w := &world{day: d, checkOwnership: d.checkOwnership, now: origin, byPeerAddr: map[string]*machine{}, byControlAddr: map[string]*machine{},
		momentWaiters: map[spec.Moment][]func(){}, countedTime: 1 << 62, netRand: source(d.Seed, 0x6e6574), diskRand: source(d.Seed, 0xd15c), backendRand: source(d.Seed, 0xbac)}
	for i := range d.Zones {
		w.zones = append(w.zones, fmt.Sprintf("zone-%d", i))
	}
	var seeds []string
	for i := range d.Nodes {
		m := &machine{world: w, index: i, name: fmt.Sprintf("node-%d", i), addr: fmt.Sprintf("10.%d.%d.%d", i%d.Zones, i/200, i%200+1),
			zone: w.zones[i%d.Zones]}
		m.peerAddr, m.controlAddr = net.JoinHostPort(m.addr, strconv.Itoa(peerPort)), net.JoinHostPort(m.addr, strconv.Itoa(controlPort))
		w.machines = append(w.machines, m)
		w.byPeerAddr[m.peerAddr], w.byControlAddr[m.controlAddr] = m, m
		if i < d.Disks {
			m.disk = newSimulatedDisk(w)
			if len(seeds) < 3 {
				seeds = append(seeds, m.controlAddr)
			}
		}
	}
	for _, m := range w.machines {
		m.settings = &settings.Settings{NodeName: m.name, Role: "node", Serves: []string{"edge", "control"}, IPAddress: m.addr, Zone: m.zone,
			InnerPorts: [2]int{peerPort, peerPort + 15}, SeedAddrs: seeds, FirstBoot: true, CountsAsLoss: m.disk != nil,
			Bind:              settings.Bind{Front: "front", Readiness: "ready", Control: m.controlAddr},
			HeartbeatInterval: d.Beat, Tolerance: settings.Tolerance{Machines: d.Tolerates()}, Bounds: gatewaystandin.Bounds()}
		if m.disk != nil {
			m.settings.DataDir = "disk"
		}
		if d.Callers > 0 {
			m.settings.Contracts = []string{"coord"}
		}
	}
	w.timeline = newTimeline(w)
	w.clients = newClients(w)
	w.operator = newOperator(w)
	return w
}

// at hangs something on the clock; what is past is due now.
func (w *world) at(t time.Duration, do func())    { w.timers.Add(max(t, w.now), do) }
func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// every calls until it is told not to, or the day is over.
func (w *world) every(d time.Duration, do func() bool) {
	w.after(d, func() {
		if !w.finished && do() {
			w.every(d, do)
		}
	})
}

// maxEvents bounds a day: one that has come so far goes round and round.
const maxEvents = 1 << 28

// until plays up to a time, or until something is so.
func (w *world) until(t time.Duration, is func() bool) bool {
	for {
		at, ok := w.timers.NextDeadline()
		if !ok || at > t {
			w.now = t
			return is != nil && is()
		}
		do, _ := w.timers.Take(at)
		w.now = at
		if w.events++; w.events > maxEvents {
			panic("the day does not end")
		}
		if w.enough != nil && w.events%stopCheckInterval == 0 {
			if why := w.enough(); why != "" {
				panic(endReason(why))
			}
		}
		do()
		if is != nil && is() {
			return true
		}
	}
}

// record adds to the history.
func (w *world) record(e history.Event) {
	if w.metered {
		return
	}
	e.Time = w.now
	w.history = append(w.history, e)
}

// span draws a time, evenly.
func span(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Float64()*float64(to-from))
}

// delay is how long something travels between two zones, one way.
func (w *world) delay(from, to string) time.Duration {
	if from == to {
		return span(w.netRand, 200*time.Microsecond, 600*time.Microsecond)
	}
	if n := w.day.Regions; n > 1 && w.region(from) != w.region(to) {
		return span(w.netRand, minRegionDelay, maxRegionDelay)
	}
	return span(w.netRand, 800*time.Microsecond, 3*time.Millisecond)
}

// One way between two regions.
const minRegionDelay, maxRegionDelay = 50 * time.Millisecond, 60 * time.Millisecond

// region is where a zone lies.
func (w *world) region(zone string) int { return slices.Index(w.zones, zone) % max(w.day.Regions, 1) }

// digest is of all that was seen and of every byte that travelled between nodes.
func (w *world) digest() string {
	f := fnv.New64a()
	for _, e := range w.history {
		fmt.Fprintln(f, e)
	}
	fmt.Fprintln(f, w.trafficHash, w.events)
	return fmt.Sprintf("%016x", f.Sum64())
}

// nodeLog are a node's, by the day's clock.
type nodeLog struct {
	world *world
	name  string
}

func (n *nodeLog) Write(b []byte) (int, error) {
	text := b
	if i := bytes.Index(b, []byte(`"part":`)); i >= 0 { // what comes before is the wall clock's
		text = b[i:]
	}
	n.world.logf("%-8s %s", n.name, bytes.TrimRight(text, "}\n"))
	return len(b), nil
}

func (w *world) logger(name string) *log.Logger {
	if w.day.Log == nil {
		return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &nodeLog{w, name}}}
}

// logf writes a line of the world's own.
func (w *world) logf(format string, args ...any) {
	if w.day.Log != nil {
		fmt.Fprintf(w.day.Log, "%9.4fs "+format+"\n", append([]any{(w.now - origin).Seconds()}, args...)...)
	}
}
