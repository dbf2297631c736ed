package simulation

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/lab/gatewaystandin"
)

// Wide is how much a deployment carries beside the small deployment's own services, routes and tenants.
type Wide struct {
	Backends, Services, Routes, Tenants int
}

// Limits of a wide deployment's tenants.
const accountRate, accountBurst = 50, 50

func (w Wide) service(i int) string { return fmt.Sprintf("service-%03d", i) }

// ServiceName is the name of a wide deployment's service: the small deployment's come first.
func ServiceName(i int) string {
	if i < len(gatewaystandin.Services) {
		return gatewaystandin.Services[i].Name
	}
	return Wide{}.service(i - len(gatewaystandin.Services))
}

// AccountKey is the key of a wide deployment's tenant.
func AccountKey(i int) string { return fmt.Sprintf("account-key-%06d", i) }

// first is the configuration that the deployment begins with.
func (w Wide) first() *routing.Config {
	b := gatewaystandin.First()
	for i := range w.Services {
		s := b.Services[0]
		s.Name = w.service(i)
		b.Services = append(b.Services, s)
	}
	wide := routing.ConfigHost{Hostname: "wide.example"}
	for i := range w.Routes {
		r := b.Vhosts[0].PathList[0]
		r.Name, r.PathPrefix = fmt.Sprintf("route-%04d", i), fmt.Sprintf("/route-%04d/", i)
		r.Target = b.Services[i%len(b.Services)].Name
		wide.PathList = append(wide.PathList, r)
	}
	if w.Routes > 0 {
		b.Vhosts = append(b.Vhosts, wide)
	}
	for i := range w.Tenants {
		b.Tenants = append(b.Tenants, routing.ConfigTenant{Name: fmt.Sprintf("account-%06d", i), ApiKeys: []string{AccountKey(i)},
			Priority: 1, RatePerS: accountRate, Burst: accountBurst})
	}
	return b
}

// draw draws a request; in a wide deployment any of its tenants may be the one that asks.
func (c *clients) draw() gatewaystandin.Request {
	want := c.known.Draw(c.rng, c.world.zones)
	if n := c.world.day.Wide.Tenants; n > 0 && want.Key != "" {
		i := c.rng.IntN(n)
		want.Tenant, want.Key = fmt.Sprintf("account-%06d", i), AccountKey(i)
	}
	return want
}

// Tally is bytes and frames by kind.
type Tally struct{ Bytes, Frames Traffic }

func (t *Tally) add(kind string, bytes int) {
	if t.Bytes == nil {
		t.Bytes, t.Frames = Traffic{}, Traffic{}
	}
	t.Bytes[kind] += int64(bytes)
	t.Frames[kind]++
}

// meter counts what one machine does.
type meter struct {
	sent, received Tally
	cpuByKind      map[string]time.Duration // by what a turn was for
	turns          Traffic
	cpuTotal       time.Duration // spent
	frames         int           // sent and taken
}

// recordArrival notes what a turn under way is for.
func (m *meter) recordArrival(w *world, kind string, bytes int) {
	w.turnKind = kind
	m.frames++
	m.received.add(kind, bytes)
}

// turn takes a turn, and the processor time of it. A thread's own clock is read: what else runs on the machine is not in it.
func (m *meter) turn(w *world, do func()) {
	w.turnKind = "timers"
	began := threadTime()
	do()
	if m.cpuByKind == nil {
		m.cpuByKind, m.turns = map[string]time.Duration{}, Traffic{}
	}
	took := threadTime() - began
	m.cpuTotal += took
	m.cpuByKind[w.turnKind] += took
	m.turns[w.turnKind]++
}

// frameTime is what a frame takes beside its turn, at either end: a call of the kernel and its way through it.
const frameTime = 8 * time.Microsecond

// metered takes a turn and counts it; where the processor is bounded, the next one waits for as long as this one took.
func (p *process) metered(do func()) {
	x := &p.machine.meter
	began, frames := x.cpuTotal, x.frames
	x.turn(p.world, func() { do(); p.endOfTurn() })
	if share := p.world.day.Share; share > 0 {
		took := x.cpuTotal - began + time.Duration(x.frames-frames)*frameTime
		p.busyUntil = p.world.now + time.Duration(float64(took)/share)
	}
}

// queue has a turn wait for the processor, behind those that wait already.
func (p *process) queue(do func()) {
	if p.inbox = append(p.inbox, do); len(p.inbox) > 1 {
		return
	}
	var next func()
	next = func() {
		if p.ended || len(p.inbox) == 0 {
			return
		}
		do := p.inbox[0]
		p.inbox = p.inbox[1:]
		if p.machine.stalls > 0 {
			p.backlog = append(p.backlog, queuedTurn{p.world.now, do})
		} else {
			p.metered(do)
		}
		if len(p.inbox) > 0 {
			p.world.at(p.busyUntil, next)
		}
	}
	p.world.at(p.busyUntil, next)
}

func threadTime() time.Duration {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// Share is what nodes of one role did in a span, a second of it. Most is the busiest node's, by bytes sent.
type Share struct {
	Nodes              int
	Mean, Median, Most float64            // bytes sent
	Got                float64            // bytes that came, in the mean
	GotMost            float64            // at whoever got the most
	Kinds, MostKinds   map[string]float64 // bytes sent by kind, in the mean and at the busiest
	Frames             map[string]float64 // sent by kind, in the mean
	GotKinds           map[string]float64 // bytes that came by kind, in the mean
	Core               float64            // of one core, in the mean
	CoreMost           float64
	Spent              map[string]float64 // of one core, by what turns were for, in the mean
	Turns              map[string]float64
	Links              float64 // that are up, both ways, in the mean
	LinksMost          float64
}

// Phase is a span of a measured day.
type Phase struct {
	Name          string
	Seconds       float64
	Member, Other Share   // members of the core, and nodes without a disk
	Events        int     // changes, restarts: whatever the phase is of
	All           float64 // seconds until all nodes in reach were there again; below nought: not within the time
	Median, Worst float64 // milliseconds from an acknowledgement to a node, and to the last of all
	Acks, AckMost float64 // milliseconds from a change's sending to its acknowledgement, median and worst
	Unready       int     // nodes in reach that were not ready at its end
	Mean99        float64 // milliseconds within which 99 in 100 of all nodes had a change
}

// Measure is what came of a measured day.
type Measure struct {
	Site
	Seed       uint64
	Config     int     // bytes of the configuration
	Heap       float64 // bytes of a node in memory, in the mean, all of its process's parts
	Known      int     // nodes that a member of the core knows, itself too
	Phases     []Phase
	TookS      float64
	Incomplete string // why a day was not played to its end
}

// counts is a copy of what all machines did so far.
func (w *world) counts() []meter {
	all := make([]meter, len(w.machines))
	for i, m := range w.machines {
		x := m.meter
		x.sent.Bytes, x.sent.Frames = copyOf(x.sent.Bytes), copyOf(x.sent.Frames)
		x.received.Bytes, x.received.Frames = copyOf(x.received.Bytes), copyOf(x.received.Frames)
		x.cpuByKind, x.turns = copyOf(x.cpuByKind), copyOf(x.turns)
		all[i] = x
	}
	return all
}

func copyOf[K comparable, V any, M ~map[K]V](m M) M {
	to := make(M, len(m))
	for k, v := range m {
		to[k] = v
	}
	return to
}

// countLinks counts connections of a machine, those that it dialed and those that came.
func (w *world) countLinks() map[*machine]int {
	n := map[*machine]int{}
	for _, m := range w.machines {
		if m.process != nil {
			for _, v := range m.process.links {
				if v.conn != nil {
					n[m]++
					n[v.target]++
				}
			}
		}
	}
	return n
}

// usageSince sums what nodes of one role did since a copy was taken.
func (w *world) usageSince(before []meter, over time.Duration, member bool) (s Share) {
	s.Kinds, s.MostKinds, s.Frames, s.Spent = map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]float64{}
	s.Turns, s.GotKinds = map[string]float64{}, map[string]float64{}
	var sums []float64
	links, secs := w.countLinks(), over.Seconds()
	per := func(to map[string]float64, now, then Traffic) {
		for k, v := range now {
			to[k] += float64(v-then[k]) / secs
		}
	}
	for i, m := range w.machines {
		if (m.disk != nil) != member {
			continue
		}
		s.Nodes++
		sum := float64(m.meter.sent.Bytes.Sum()-before[i].sent.Bytes.Sum()) / secs
		sums = append(sums, sum)
		if sum >= s.Most {
			s.Most = sum
			clear(s.MostKinds)
			per(s.MostKinds, m.meter.sent.Bytes, before[i].sent.Bytes)
		}
		per(s.Kinds, m.meter.sent.Bytes, before[i].sent.Bytes)
		per(s.GotKinds, m.meter.received.Bytes, before[i].received.Bytes)
		per(s.Frames, m.meter.sent.Frames, before[i].sent.Frames)
		per(s.Turns, m.meter.turns, before[i].turns)
		got := float64(m.meter.received.Bytes.Sum()-before[i].received.Bytes.Sum()) / secs
		s.Got += got
		s.GotMost = max(s.GotMost, got)
		var core float64
		for k, v := range m.meter.cpuByKind {
			x := (v - before[i].cpuByKind[k]).Seconds() / secs
			s.Spent[k] += x
			core += x
		}
		s.Core += core
		s.CoreMost = max(s.CoreMost, core)
		s.Links += float64(links[m])
		s.LinksMost = max(s.LinksMost, float64(links[m]))
	}
	if s.Nodes == 0 {
		return s
	}
	n := float64(s.Nodes)
	for _, all := range []map[string]float64{s.Kinds, s.Frames, s.Spent, s.Turns, s.GotKinds} {
		for k := range all {
			all[k] /= n
		}
	}
	s.Got, s.Core, s.Links = s.Got/n, s.Core/n, s.Links/n
	for _, x := range sums {
		s.Mean += x / n
	}
	s.Median = quantile(sums, 0.5)
	return s
}

// heap is what is in use after all that is not was let go.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// named tells whether a phase is wanted.
func named(all []string, name string) bool {
	for _, x := range all {
		if strings.EqualFold(x, name) {
			return true
		}
	}
	return len(all) == 0
}

// FirstText is the configuration that a wide deployment begins with, as an operator sends it.
func FirstText(x Wide) []byte {
	text, err := json.Marshal(x.first())
	if err != nil {
		panic(err)
	}
	return text
}
