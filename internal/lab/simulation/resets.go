package simulation

import (
	"time"

	"clovergap/control"
	"clovergap/internal/lab/spec"
)

// resetInterval is the time from one reset of a machine's connections to the next, while the fault lasts.
const resetInterval = 300 * time.Millisecond

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

// resetConnections ends all connections of a machine: links of nodes both ways, to backends, and of clients.
func (m *machine) resetConnections() {
	p, w := m.process, m.world
	if p == nil {
		return
	}
	w.logf("%s has its connections reset", m.name)
	for _, o := range w.machines {
		if o.process == nil || o == m {
			continue
		}
		for _, v := range []*peerLink{o.process.links[m.peerAddr], p.links[o.peerAddr]} {
			if v != nil && v.conn != nil {
				v.conn.senderLost = true // what was on its way is lost
				v.conn.end()
			}
		}
	}
	for _, b := range p.backendLinks.endpoints {
		b.idle = nil
	}
	p.turn(func() {
		for _, s := range p.backendLinks.sorted() {
			switch {
			case s.dialing:
				s.end(control.Unreachable, false)
			case s.written:
				s.end(control.ConnectionLost, false)
			}
		}
	})
	for _, nr := range sortedKeys(p.upstreams.attempts) {
		t := p.upstreams.attempts[nr]
		w.after(w.delay(m.zone, t.want.Zone), func() { w.clients.timedOut(t) })
	}
}
