package simulation

import (
	"math"
	"runtime"
	"slices"
	"time"

	"clovergap/internal/lab/gatewaystandin"
)

// Bounds of a measured day.
const (
	maxConvergence           = 30 * time.Second // for a thing that all nodes should come to
	propagationCheckInterval = 2 * time.Millisecond
	maxPropagation           = 12 * time.Second // to the last node; beyond it a change counts as not arrived
	changeInterval           = 500 * time.Millisecond
	replacementInterval      = 500 * time.Millisecond // between two restarts, or two replaced backends
)

// Phases of a measured day, in their order.
var Phases = []string{"start", "calm", "changes", "releases", "restarts", "zone", "region", "killed"}

// Meter plays a day without a judge, and counts what nodes do in each of its phases; none named: all.
func Meter(s Site, seed uint64, warm, over time.Duration, only []string, tell func(Phase), enough func() string) (r *Measure) {
	runtime.LockOSThread() // a turn's processor time is its thread's
	defer runtime.UnlockOSThread()
	began := time.Now()
	w := newWorld(&Day{Site: s.Usual(), Seed: seed, For: over, Calm: true})
	w.metered, w.enough = true, enough
	x := &metered{world: w, warm: warm, over: over, only: only, report: tell, measure: &Measure{Site: w.day.Site, Seed: seed}}
	defer func() {
		if why, ok := recover().(endReason); ok {
			x.measure.Incomplete = string(why)
		}
		x.measure.TookS = math.Round(time.Since(began).Seconds())
		r = x.measure
	}()
	x.measure.Incomplete = x.play()
	return x.measure
}

// endReason is why a day was not played on.
type endReason string

// stopCheckInterval is after how many events it is asked whether it is enough.
const stopCheckInterval = 1 << 14

// metered is a measured day under way.
type metered struct {
	world   *world
	warm    time.Duration // before the first phase after the start
	over    time.Duration
	only    []string
	report  func(Phase)
	measure *Measure
}

// phase plays one, and adds what all did in it.
func (m *metered) phase(name string, do func(p *Phase)) {
	if !named(m.only, name) {
		return
	}
	w := m.world
	p := Phase{Name: name}
	before, began := w.counts(), w.now
	do(&p)
	over := w.now - began
	p.Seconds = over.Seconds()
	p.Member, p.Other = w.usageSince(before, over, true), w.usageSince(before, over, false)
	for _, machine := range w.machines {
		if machine.process != nil && !machine.process.node.Ready() {
			p.Unready++
		}
	}
	m.measure.Phases = append(m.measure.Phases, p)
	if m.report != nil {
		m.report(p)
	}
}

func (m *metered) play() string {
	w, d := m.world, m.world.day
	all := []string{}
	for _, s := range gatewaystandin.Services {
		all = append(all, s.Name)
	}
	for i := range d.Wide.Services {
		all = append(all, d.Wide.service(i))
	}
	for i := range max(d.Wide.Backends, len(all)) {
		w.timeline.add(all[i%len(all)], w.zones[i/len(all)%len(w.zones)], 0)
	}
	empty := heap()
	opened := false
	before, began := w.counts(), w.now
	for _, machine := range w.machines {
		w.after(span(w.netRand, 0, 300*time.Millisecond), machine.start)
	}
	w.clients.watch()
	w.operator.open(func() { opened = true })
	w.operator.goes = false
	ready := func() bool { return opened && w.ready(nil) }
	ok := w.until(w.now+maxConvergence, w.rateLimited(ready))
	p := Phase{Name: "start", Seconds: (w.now - began).Seconds(), All: secondsOr(ok, w.now-began)}
	p.Member, p.Other = w.usageSince(before, w.now-began, true), w.usageSince(before, w.now-began, false)
	m.measure.Phases = append(m.measure.Phases, p)
	if m.report != nil {
		m.report(p)
	}
	w.operator.goes = false
	if !opened {
		return "no first configuration was taken"
	}
	m.measure.Config = len(w.newestConfig())
	w.clients.begin()
	w.until(w.now+m.warm, nil)
	m.measure.Heap = (heap() - empty) / float64(d.Nodes)
	m.measure.Known = len(w.machines[0].process.node.Status().Nodes)
	m.phase("calm", func(*Phase) { w.until(w.now+m.over, nil) })
	m.phase("changes", func(p *Phase) { m.changes(p, nil) })
	m.phase("releases", m.releases)
	m.phase("restarts", m.restarts)
	m.phase("zone", m.zone)
	m.phase("region", m.region)
	m.phase("killed", m.killed)
	return ""
}

// newestConfig is the configuration as the first member of the core has it.
func (w *world) newestConfig() (text []byte) {
	w.machines[0].process.turn(func() {
		w.machines[0].process.node.ReadConfiguration(func(_ int, b []byte) { text = b })
	})
	w.until(w.now+2*time.Second, func() bool { return text != nil })
	return text
}

// rateLimited asks a costly question a hundred times a second.
func (w *world) rateLimited(is func() bool) func() bool {
	next := w.now
	return func() bool {
		if w.now < next {
			return false
		}
		next = w.now + 10*time.Millisecond
		return is()
	}
}

// ready tells whether all nodes want clients, but those that are away.
func (w *world) ready(away map[*machine]bool) bool {
	for _, m := range w.machines {
		if !away[m] && (m.process == nil || !m.process.node.Ready()) {
			return false
		}
	}
	return true
}

// changes makes one change after the other, and takes the time until each node has it.
func (m *metered) changes(p *Phase, away map[*machine]bool) {
	w := m.world
	var times, lasts, acks []float64
	end := w.now + m.over
	for w.now < end {
		began := w.now
		version, done := uint64(0), false
		v := w.operator.versions[w.operator.known]
		draw := func(n int) int {
			switch n {
			case 10: // an amendment
				return 0
			case 3: // of a new route
				return 2
			}
			return w.operator.rng.IntN(n)
		}
		number := func() uint64 { w.operator.highest++; return w.operator.highest }
		c := gatewaystandin.Draft(draw, number, w.operator.known, v.Config)[0]
		w.operator.propose(c, func(status int, _ bool) {
			if done = true; status == 200 {
				version = c.Config.Generation
			}
		})
		w.until(w.now+20*time.Second, func() bool { return done })
		if version == 0 {
			p.Acks, p.AckMost = -1, -1
			return
		}
		acked := w.now
		p.Events++
		acks = append(acks, ms(acked-began))
		last := time.Duration(0)
		left := map[*machine]bool{}
		for _, machine := range w.machines {
			if !away[machine] && machine.process != nil {
				left[machine] = true
			}
		}
		for len(left) > 0 && w.now-acked < maxPropagation {
			for _, item := range w.machines {
				if left[item] && item.process != nil && item.process.node.Version() >= version {
					delete(left, item)
					last = w.now - acked
					times = append(times, ms(last))
				}
			}
			if len(left) > 0 {
				w.until(w.now+propagationCheckInterval, nil)
			}
		}
		if len(left) > 0 {
			last = maxPropagation
		}
		lasts = append(lasts, ms(last))
		w.until(max(w.now, began+changeInterval), nil)
	}
	p.Median, p.Mean99, p.Worst = quantile(times, 0.5), quantile(times, 0.99), slices.Max(append(lasts, 0))
	p.Acks, p.AckMost = quantile(acks, 0.5), slices.Max(append(acks, 0))
}

// releases replaces backends, one after the other: a new one comes, an old one drains.
func (m *metered) releases(p *Phase) {
	w := m.world
	end := w.now + m.over
	for w.now < end {
		var old *backend
		for _, b := range w.timeline.live {
			if !b.draining && !b.dead {
				old = b
				break
			}
		}
		if old == nil {
			return
		}
		w.timeline.add(old.service, old.zone, 0)
		old.drain()
		p.Events++
		w.until(w.now+replacementInterval, nil)
	}
}

// restarts kills and starts nodes without a disk, one after the other.
func (m *metered) restarts(p *Phase) {
	w := m.world
	rng := source(w.day.Seed, 0x2e57)
	end := w.now + m.over
	for w.now < end && w.day.Nodes > w.day.Disks {
		machine := w.machines[w.day.Disks+rng.IntN(w.day.Nodes-w.day.Disks)]
		machine.kill(false)
		w.until(w.now+replacementInterval/5, nil)
		machine.start()
		p.Events++
		w.until(w.now+replacementInterval*4/5, nil)
	}
	began := w.now
	p.All = secondsOr(w.until(w.now+maxConvergence, w.rateLimited(func() bool { return w.ready(nil) })), w.now-began)
}

// zone takes the power of one, with its backends, goes on with changes, and gives it back.
func (m *metered) zone(p *Phase) {
	w := m.world
	if len(w.zones) < 2 {
		return
	}
	lost, away := w.zones[0], map[*machine]bool{}
	for _, machine := range w.machines {
		if machine.zone == lost {
			away[machine] = true
			machine.kill(true)
		}
	}
	var dead []*backend
	for _, b := range slices.Clone(w.timeline.live) {
		if b.zone == lost {
			dead = append(dead, b)
			b.crash()
		}
	}
	m.changes(p, away)
	for _, item := range w.machines {
		if away[item] {
			w.after(span(w.netRand, 0, time.Second), item.start)
		}
	}
	for _, b := range dead {
		w.timeline.add(b.service, b.zone, 0)
	}
	began := w.now
	w.until(w.now+time.Second, nil)
	p.All = secondsOr(w.until(w.now+maxConvergence, w.rateLimited(func() bool { return w.ready(nil) })), w.now-began)
}

// region cuts one off from the others, goes on with changes, and joins it again.
func (m *metered) region(p *Phase) {
	w := m.world
	if w.day.Regions < 2 {
		return
	}
	c := &partition{members: map[*machine]bool{}, blocksInbound: true, blocksOutbound: true}
	for _, machine := range w.machines {
		if w.region(machine.zone) == w.day.Regions-1 {
			c.members[machine] = true
		}
	}
	w.partitions = append(w.partitions, c)
	w.until(w.now+4*time.Second, nil) // the others have noticed
	m.changes(p, c.members)
	w.partitions = nil
	began, newest := w.now, w.operator.known
	p.All = secondsOr(w.until(w.now+maxConvergence, w.rateLimited(func() bool {
		for item := range c.members {
			if item.process.node.Version() < newest || !item.process.node.Ready() {
				return false
			}
		}
		return true
	})), w.now-began)
}

// killed ends all at once; they start again within a second.
func (m *metered) killed(p *Phase) {
	w := m.world
	for _, machine := range w.machines {
		machine.kill(false)
	}
	began := w.now
	for _, item := range w.machines {
		w.after(span(w.netRand, 200*time.Millisecond, time.Second), item.start)
	}
	w.until(w.now+time.Second, nil)
	p.All = secondsOr(w.until(w.now+maxConvergence, w.rateLimited(func() bool { return w.ready(nil) })), w.now-began)
	w.until(max(w.now, began+m.over), nil)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// secondsOr gives a time, or -1 where what was waited for did not come about.
func secondsOr(ok bool, d time.Duration) float64 {
	if !ok {
		return -1
	}
	return d.Seconds()
}

// quantile is what a share of values lies under.
func quantile(all []float64, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[min(len(s)-1, int(share*float64(len(s))))]
}
