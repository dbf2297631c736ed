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
func (b *big) applyFault(f *spec.Fault, zones []string) {
	b.under++
	b.after(f.For.D(), func() {
		if b.under--; b.under == 0 {
			b.calm = b.now
		}
	})
	r := &faultRun{big: b, fault: f, zone: func(i int) string { return zones[i%len(zones)] }, lives: map[int]uint32{}}
	r.hit = spec.Hits(len(b.members), f.Share, f.Source(b.rng))
	end, err := effects.Begin(r, f)
	if err != nil {
		panic(err) // only those of the table are drawn
	}
	if end != nil {
		b.after(f.For.D(), end)
	}
}

// kill ends a front door that runs.
func (b *big) kill(i int) (killed bool) {
	d := b.members[i]
	if !d.up {
		return false
	}
	b.hurt(i)
	d.up = false
	return true
}

// Kill ends the front doors that are hit and run.
func (f *faultRun) Kill() {
	for _, i := range f.hit {
		if f.kill(i) {
			f.lives[i] = f.members[i].life
		}
	}
}

// Start starts those that it ended.
func (f *faultRun) Start() {
	for _, i := range f.hit {
		if _, killed := f.lives[i]; killed {
			f.start(i)
		}
	}
}

// Stall lets front doors stand still, and go on if they still live the same life.
func (f *faultRun) Stall(on bool) {
	for _, i := range f.hit {
		d := f.members[i]
		life, stalled := f.lives[i]
		switch {
		case on && d.up:
			f.hurt(i)
			d.still++
			f.lives[i] = d.life
		case !on && stalled && d.life == life && d.still > 0:
			f.resume(i)
		}
	}
}

// resume ends one reason to stand still; without another, what came meanwhile is done.
func (b *big) resume(i int) {
	d := b.members[i]
	if d.still--; d.still > 0 {
		return
	}
	waits := d.waits
	d.waits = nil
	for _, do := range waits {
		do()
	}
	b.turn(i, d.life, func(*member) {})
}

// roll restarts front doors in waves.
func (f *faultRun) roll(fault *spec.Fault) func() {
	waves := max(1, fault.Waves)
	for k, i := range f.hit {
		f.after(time.Duration(k*waves/len(f.hit))*fault.For.D()/time.Duration(waves), func() {
			if f.kill(i) {
				f.after(fault.For.D()/time.Duration(2*waves), func() { f.start(i) })
			}
		})
	}
	return nil
}

// cutZone lets no datagram in or out of a zone.
func (f *faultRun) cutZone(fault *spec.Fault) func() {
	id := f.links.Bring(netfault.Effect{Cut: true, On: func(a, b int) bool { return (f.zone(a) == fault.Zone) != (f.zone(b) == fault.Zone) }})
	return func() { f.links.End(id) }
}

// troublePeers does something to the datagrams between front doors.
func (f *faultRun) troublePeers(fault *spec.Fault) func() {
	rng := fault.Source(f.rng)
	spec.Hits(len(f.members), fault.Share, rng) // drawn first for all faults
	e, _ := netfault.Of(fault, len(f.members), f.zone, rng)
	id := f.links.Bring(e)
	return func() {
		for _, c := range f.links.End(id) {
			f.deliver(c)
		}
	}
}
