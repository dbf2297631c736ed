package emulator

import (
	"math"
	"time"

	"clovergap/control"
	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/lab/spec"
)

// plan hangs the experiment's faults on the clock.
func (w *world) plan() {
	for _, f := range w.s.Faults {
		f := f
		w.at(origin+f.At.D(), func() { w.applyFault(f) })
	}
}

// until ends a fault's part.
func (w *world) until(f spec.Fault, do func()) { w.after(f.For.D(), do) }

// with holds a share in a list for as long as the fault lasts.
func (w *world) with(f spec.Fault, list *[]float64, x float64) {
	*list = append(*list, x)
	w.until(f, func() {
		for i, v := range *list {
			if v == x {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return
			}
		}
	})
}

func (w *world) hallNr(name string) int {
	for i, h := range w.s.Halls.Names {
		if h == name {
			return i
		}
	}
	return 0
}

// applyFault begins a fault.
func (w *world) applyFault(f spec.Fault) {
	w.res.note("%s begins", f.Kind)
	w.until(f, func() { w.res.note("%s ends", f.Kind) })
	switch f.Kind {
	case "slow":
		for _, b := range w.ready(f) {
			b := b
			b.advance()
			b.slow *= f.By
			b.plan()
			w.until(f, func() { b.advance(); b.slow /= f.By; b.plan() })
		}
	case "failing":
		for _, b := range w.ready(f) {
			b := b
			b.failing += f.By
			w.until(f, func() { b.failing = max(0, b.failing-f.By) })
		}
	case "silent":
		for _, b := range w.ready(f) {
			b := b
			b.silent++
			w.until(f, func() { b.silent-- })
		}
	case "crash":
		for _, b := range w.ready(f) {
			w.crash(b, f.For.D())
		}
	case "drain", "release":
		w.release(f)
	case "hall-loss":
		hall := w.hallNr(f.Hall)
		for _, b := range append([]*backend(nil), w.backends...) {
			if b.hall == hall {
				w.crash(b, f.For.D())
			}
		}
		if f.Share > 0 { // its front doors too
			for _, d := range w.doors {
				if d.hall == hall {
					w.bounce(d, f.For.D())
				}
			}
		}
	case "hall-cut":
		hall := w.hallNr(f.Hall)
		w.cutHall[hall]++
		w.until(f, func() { w.cutHall[hall]-- })
	case "door-kill":
		for _, d := range sample(w, w.doors, f) {
			w.bounce(d, f.For.D())
		}
	case "door-stall":
		for _, d := range sample(w, w.doors, f) {
			d.stall(f.For.D())
		}
	case "door-roll":
		w.roll(f)
	case "peer-loss":
		w.with(f, &w.lossBy, f.Share)
	case "resets":
		w.with(f, &w.resetBy, f.Share)
	case "lost-answers":
		w.with(f, &w.lostBy, f.Share)
	case "burst":
		w.with(f, &w.clients.load, f.By)
	case "late-lists":
		w.lateBy++
		w.until(f, func() { w.lateBy-- })
	case "counter-down":
		w.troubled(f, func(m *sharedcounter.Mode) { m.Down = true })
	case "counter-busy":
		w.troubled(f, func(m *sharedcounter.Mode) { m.Busy = 1 - (1-m.Busy)*(1-f.Share) })
	case "counter-spoilt":
		w.troubled(f, func(m *sharedcounter.Mode) { m.Spoilt = 1 - (1-m.Spoilt)*(1-f.Share) })
	case "counter-mute":
		w.troubled(f, func(m *sharedcounter.Mode) { m.Mute = 1 - (1-m.Mute)*(1-f.Share) })
	case "counter-late":
		w.troubled(f, func(m *sharedcounter.Mode) { m.Late += f.Delay.D() })
	case "counter-reset":
		w.counter.Replace()
	default:
		hall := func(i int) string { return w.s.Halls.Names[w.doors[i].hall] }
		if e, ok := netfault.Of(&f, len(w.doors), hall, f.Source(w.net)); ok {
			id := w.links.Bring(e)
			w.until(f, func() {
				for _, c := range w.links.End(id) {
					w.hear(c)
				}
			})
		}
	}
}

// troubled has the counter do something wrong while the fault lasts.
func (w *world) troubled(f spec.Fault, change func(*sharedcounter.Mode)) {
	i := len(w.countBy)
	w.countBy = append(w.countBy, change)
	sum := func() {
		w.counter.Mode = sharedcounter.Mode{}
		for _, do := range w.countBy {
			if do != nil {
				do(&w.counter.Mode)
			}
		}
	}
	sum()
	w.until(f, func() { w.countBy[i] = nil; sum() })
}

// hear delivers a datagram.
func (w *world) hear(c netfault.Copy) {
	w.after(c.After, func() {
		to := w.doors[c.To]
		to.turn(func() { to.brain.Heard(control.GatewayID(c.From), c.Payload) })
	})
}

// ready samples the backends in service.
func (w *world) ready(f spec.Fault) []*backend {
	var all []*backend
	for _, b := range w.backends {
		if !b.dead && b.state == control.Ready {
			all = append(all, b)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return sample(w, all, f)
}

// crash ends a backend's process; one of a new id takes its place, cold, when the fault is over.
func (w *world) crash(b *backend, gone time.Duration) {
	b.die()
	w.after(gone, func() { w.replace(b) })
}

// replace puts a new backend in the place of one that is gone.
func (w *world) replace(b *backend) {
	w.gone(b)
	n := w.addBackend(b.hall, b.pod, w.now)
	n.speed = b.speed
	w.tell(n, w.s.Discovery.Added)
}

// release drains backends in waves, each replaced by a cold one.
func (w *world) release(f spec.Fault) {
	all := w.ready(f)
	for i, b := range all {
		b := b
		wave := float64(i * max(1, f.Waves) / len(all))
		w.after(time.Duration(wave*float64(f.For)/float64(max(1, f.Waves))), func() {
			if b.dead || b.state != control.Ready {
				return
			}
			b.drain(func() { w.gone(b) })
			n := w.addBackend(b.hall, b.pod, w.now)
			w.tell(n, w.s.Discovery.Added)
		})
	}
}

// bounce kills a front door and starts it again.
func (w *world) bounce(d *door, down time.Duration) {
	if !d.up {
		return
	}
	d.kill()
	w.after(down, func() {
		if !d.up {
			d.start()
		}
	})
}

// roll restarts front doors in waves.
func (w *world) roll(f spec.Fault) {
	all := sample(w, w.doors, f)
	waves := max(1, f.Waves)
	step := float64(f.For) / float64(waves)
	for i, d := range all {
		d := d
		wave := math.Floor(float64(i) * float64(waves) / float64(len(all)))
		w.after(time.Duration(wave*step), func() { w.bounce(d, time.Duration(step/2)) })
	}
}
