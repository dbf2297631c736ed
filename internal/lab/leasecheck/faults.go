package leasecheck

import (
	"time"

	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/spec"
)

// faultRun is a fault under way in a big fleet: the fleet with the front doors that it hits. What it does is in effects.
type faultRun struct {
	*fleet
	fault        *spec.Fault
	zone         func(int) string
	targeted     []int
	incarnations map[int]uint32 // of those that it ended, or that stand still by it
}

// effects are the faults that front doors and their datagrams suffer.
var effects = spec.NodeActions(spec.Table[*faultRun]{
	spec.RollNodes:      (*faultRun).roll,
	spec.PartitionZone:  (*faultRun).partitionZone,
	spec.PartitionPeers: (*faultRun).faultPeers,
	spec.LosePeers:      (*faultRun).faultPeers,
	spec.DelayPeers:     (*faultRun).faultPeers,
	spec.RepeatPeers:    (*faultRun).faultPeers,
	spec.ReorderPeers:   (*faultRun).faultPeers,
})

// applyFault begins a fault, and ends it when its time is over.
func (f *fleet) applyFault(fault *spec.Fault, zones []string) {
	f.activeFaults++
	f.after(fault.For.D(), func() {
		if f.activeFaults--; f.activeFaults == 0 {
			f.calmSince = f.now
		}
	})
	r := &faultRun{fleet: f, fault: fault, zone: func(i int) string { return zones[i%len(zones)] }, incarnations: map[int]uint32{}}
	r.targeted = spec.Hits(len(f.members), fault.Share, fault.Source(f.rng))
	end, err := effects.Begin(r, fault)
	if err != nil {
		panic(err) // only those of the table are drawn
	}
	if end != nil {
		f.after(fault.For.D(), end)
	}
}

// kill ends a front door that runs.
func (f *fleet) kill(i int) (killed bool) {
	d := f.members[i]
	if !d.running {
		return false
	}
	f.leasesLost(i)
	d.running = false
	return true
}

// Kill ends the front doors that are hit and run.
func (f *faultRun) Kill() {
	for _, i := range f.targeted {
		if f.kill(i) {
			f.incarnations[i] = f.members[i].incarnation
		}
	}
}

// Start starts those that it ended.
func (f *faultRun) Start() {
	for _, i := range f.targeted {
		if _, killed := f.incarnations[i]; killed {
			f.start(i)
		}
	}
}

// Stall lets front doors stand still, and go on if they still live the same life.
func (f *faultRun) Stall(on bool) {
	for _, i := range f.targeted {
		d := f.members[i]
		life, stalled := f.incarnations[i]
		switch {
		case on && d.running:
			f.leasesLost(i)
			d.stalls++
			f.incarnations[i] = d.incarnation
		case !on && stalled && d.incarnation == life && d.stalls > 0:
			f.resume(i)
		}
	}
}

// resume ends one reason to stand still; without another, what came meanwhile is done.
func (f *fleet) resume(i int) {
	d := f.members[i]
	if d.stalls--; d.stalls > 0 {
		return
	}
	waits := d.pending
	d.pending = nil
	for _, do := range waits {
		do()
	}
	f.turn(i, d.incarnation, func(*member) {})
}

// roll restarts front doors in waves.
func (f *faultRun) roll(fault *spec.Fault) func() {
	waves := max(1, fault.Waves)
	for k, i := range f.targeted {
		f.after(time.Duration(k*waves/len(f.targeted))*fault.For.D()/time.Duration(waves), func() {
			if f.kill(i) {
				f.after(fault.For.D()/time.Duration(2*waves), func() { f.start(i) })
			}
		})
	}
	return nil
}

// partitionZone lets no datagram in or out of a zone.
func (f *faultRun) partitionZone(fault *spec.Fault) func() {
	id := f.links.Begin(netfault.Effect{Blocked: true, Matches: func(a, b int) bool { return (f.zone(a) == fault.Zone) != (f.zone(b) == fault.Zone) }})
	return func() { f.links.End(id) }
}

// faultPeers does something to the datagrams between front doors.
func (f *faultRun) faultPeers(fault *spec.Fault) func() {
	rng := fault.Source(f.rng)
	spec.Hits(len(f.members), fault.Share, rng) // drawn first for all faults
	e, _ := netfault.EffectOf(fault, len(f.members), f.zone, rng)
	id := f.links.Begin(e)
	return func() {
		for _, c := range f.links.End(id) {
			f.deliver(c)
		}
	}
}
