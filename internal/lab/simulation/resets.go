package simulation

import (
	"time"

	"clovergap/control"
	"clovergap/internal/lab/spec"
)

// resetEach is the time from one reset of a machine's connections to the next, while the fault lasts.
const resetEach = 300 * time.Millisecond

// drawResets adds, to every third day, that all connections of some machines are reset, of those with a disk as often as of
// any. It draws by itself: a seed's other faults are what they were without it.
func drawResets(d *Day, dur time.Duration) {
	rng := source(d.Seed, 0x2e5e7)
	if rng.IntN(3) != 0 {
		return
	}
	d.Faults = append(d.Faults, spec.Fault{Kind: []string{"core-reset", "node-reset"}[rng.IntN(2)], Share: []float64{0.1, 0.3, 1}[rng.IntN(3)],
		At: spec.Span(rng.Float64() * 0.8 * float64(dur)), For: spec.Span(rng.Float64() * 2e9), Pick: rng.Uint64()>>1 | 1})
}

// resets ends all connections of a machine: links of nodes both ways, to backends, and of clients.
func (m *machine) resets() {
	p, w := m.p, m.w
	if p == nil {
		return
	}
	w.say("%s has its connections reset", m.name)
	for _, o := range w.machines {
		if o.p == nil || o == m {
			continue
		}
		for _, v := range []*wing{o.p.links[m.inner], p.links[o.inner]} {
			if v != nil && v.c != nil {
				v.c.gone = true // what was on its way is lost
				v.c.end()
			}
		}
	}
	for _, b := range p.ways.at {
		b.idle = nil
	}
	p.turn(func() {
		for _, s := range p.ways.sorted() {
			switch {
			case s.dialing:
				s.end(control.Unreachable, false)
			case s.written:
				s.end(control.ConnectionLost, false)
			}
		}
	})
	for _, nr := range sortedKeys(p.upstreams.tries) {
		t := p.upstreams.tries[nr]
		w.after(w.way(m.zone, t.want.Zone), func() { w.clients.unheard(t) })
	}
}
