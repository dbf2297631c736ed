package leasecheck

import (
	"time"

	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/spec"
)

// faultRun is a fault under way in a big fleet: the fleet with the front doors that it hits. What it does is in effects.
type faultRun struct {
	*big
	fault *spec.Fault
	zone  func(int) string
	hit   []int
	lives map[int]uint32 // of those that it ended, or that stand still by it
}

// effects are the faults that front doors and their datagrams suffer.
var effects = spec.NodeActions(spec.Table[*faultRun]{
	spec.RollNodes:    (*faultRun).roll,
	spec.CutZone:      (*faultRun).cutZone,
	spec.CutPeers:     (*faultRun).troublePeers,
	spec.LosePeers:    (*faultRun).troublePeers,
	spec.DelayPeers:   (*faultRun).troublePeers,
	spec.RepeatPeers:  (*faultRun).troublePeers,
	spec.ReorderPeers: (*faultRun).troublePeers,
})

// applyFault begins a fault, and ends it when its time is over.
func (w *big) applyFault(f *spec.Fault, zones []string) {
	w.under++
	w.after(f.For.D(), func() {
		if w.under--; w.under == 0 {
			w.calm = w.now
		}
	})
	r := &faultRun{big: w, fault: f, zone: func(i int) string { return zones[i%len(zones)] }, lives: map[int]uint32{}}
	r.hit = spec.Hits(len(w.members), f.Share, f.Source(w.rng))
	end, err := effects.Begin(r, f)
	if err != nil {
		panic(err) // only those of the table are drawn
	}
	if end != nil {
		w.after(f.For.D(), end)
	}
}

// kill ends a front door that runs.
func (w *big) kill(i int) (killed bool) {
	d := w.members[i]
	if !d.up {
		return false
	}
	w.hurt(i)
	d.up = false
	return true
}

// Kill ends the front doors that are hit and run.
func (r *faultRun) Kill() {
	for _, i := range r.hit {
		if r.kill(i) {
			r.lives[i] = r.members[i].life
		}
	}
}

// Start starts those that it ended.
func (r *faultRun) Start() {
	for _, i := range r.hit {
		if _, killed := r.lives[i]; killed {
			r.start(i)
		}
	}
}

// Stall lets front doors stand still, and go on if they still live the same life.
func (r *faultRun) Stall(on bool) {
	for _, i := range r.hit {
		d := r.members[i]
		life, stalled := r.lives[i]
		switch {
		case on && d.up:
			r.hurt(i)
			d.still++
			r.lives[i] = d.life
		case !on && stalled && d.life == life && d.still > 0:
			r.resume(i)
		}
	}
}

// resume ends one reason to stand still; without another, what came meanwhile is done.
func (w *big) resume(i int) {
	d := w.members[i]
	if d.still--; d.still > 0 {
		return
	}
	waits := d.waits
	d.waits = nil
	for _, do := range waits {
		do()
	}
	w.turn(i, d.life, func(*member) {})
}

// roll restarts front doors in waves.
func (r *faultRun) roll(f *spec.Fault) func() {
	waves := max(1, f.Waves)
	for k, i := range r.hit {
		r.after(time.Duration(k*waves/len(r.hit))*f.For.D()/time.Duration(waves), func() {
			if r.kill(i) {
				r.after(f.For.D()/time.Duration(2*waves), func() { r.start(i) })
			}
		})
	}
	return nil
}

// cutZone lets no datagram in or out of a zone.
func (r *faultRun) cutZone(f *spec.Fault) func() {
	id := r.links.Bring(netfault.Effect{Cut: true, On: func(a, b int) bool { return (r.zone(a) == f.Zone) != (r.zone(b) == f.Zone) }})
	return func() { r.links.End(id) }
}

// troublePeers does something to the datagrams between front doors.
func (r *faultRun) troublePeers(f *spec.Fault) func() {
	rng := f.Source(r.rng)
	spec.Hits(len(r.members), f.Share, rng) // drawn first for all faults
	e, _ := netfault.Of(f, len(r.members), r.zone, rng)
	id := r.links.Bring(e)
	return func() {
		for _, c := range r.links.End(id) {
			r.deliver(c)
		}
	}
}
