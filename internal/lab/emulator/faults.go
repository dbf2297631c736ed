package emulator

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/lab/spec"
)

// faultRun is a fault under way: the run with the front doors that it hits. What it does is in effects.
type faultRun struct {
	*world
	fault    *spec.Fault
	targeted []*node
	killed   []*node // those of them that it ended
}

// effects is what faults do in simulated time.
var effects = spec.NodeActions(spec.Table[*faultRun]{
	spec.RollNodes:     (*faultRun).roll,
	spec.LoseZone:      (*faultRun).loseZone,
	spec.PartitionZone: (*faultRun).partitionZone,
	spec.SlowBackends:  backendFault((*backend).slowed),
	spec.FailBackends: backendFault(func(b *backend, by float64) func() {
		b.failing += by
		return func() { b.failing = max(0, b.failing-by) }
	}),
	spec.SilenceBackends:  backendFault(func(b *backend, _ float64) func() { b.unresponsiveFaults++; return func() { b.unresponsiveFaults-- } }),
	spec.CrashBackends:    (*faultRun).crashBackends,
	spec.DrainBackends:    (*faultRun).drainBackends,
	spec.LosePeers:        func(r *faultRun, f *spec.Fault) func() { return r.lossBy.Add(f.Share) },
	spec.ResetSubmissions: func(r *faultRun, f *spec.Fault) func() { return r.resetBy.Add(f.Share) },
	spec.LoseAnswers:      func(r *faultRun, f *spec.Fault) func() { return r.lostBy.Add(f.Share) },
	spec.RaiseLoad:        func(r *faultRun, f *spec.Fault) func() { return r.clients.load.Add(f.By) },
	spec.DelayLists:       func(r *faultRun, _ *spec.Fault) func() { r.listDelays++; return func() { r.listDelays-- } },
	spec.PartitionPeers:   (*faultRun).faultPeers,
	spec.DelayPeers:       (*faultRun).faultPeers,
	spec.RepeatPeers:      (*faultRun).faultPeers,
	spec.ReorderPeers:     (*faultRun).faultPeers,
	spec.LimitPeers:       (*faultRun).faultPeers,
	spec.SpoilPeers:       (*faultRun).faultPeers,
	spec.CounterDown:      (*faultRun).faultCounter,
	spec.CounterBusy:      (*faultRun).faultCounter,
	spec.CounterSpoilt:    (*faultRun).faultCounter,
	spec.CounterMute:      (*faultRun).faultCounter,
	spec.CounterLate:      (*faultRun).faultCounter,
	spec.CounterReset:     func(r *faultRun, _ *spec.Fault) func() { r.counter.Replace(); return nil },
})

// plan hangs the experiment's faults on the clock.
func (w *world) plan() {
	for i := range w.spec.Faults {
		f := &w.spec.Faults[i]
		w.at(origin+f.At.D(), func() { w.applyFault(f) })
	}
}

// applyFault begins a fault, and ends it when its time is over.
func (w *world) applyFault(f *spec.Fault) {
	w.recorder.logf("%s begins", f.Kind)
	w.after(f.For.D(), func() { w.recorder.logf("%s ends", f.Kind) })
	r := &faultRun{world: w, fault: f}
	if f.Target() == spec.SomeNodes {
		r.targeted = sample(w, w.nodes, f)
	}
	end, err := effects.Begin(r, f)
	if err != nil {
		panic(err) // newWorld has looked at all kinds
	}
	if end != nil {
		w.after(f.For.D(), end)
	}
}

// Kill ends the front doors that are hit and run.
func (f *faultRun) Kill() {
	for _, d := range f.targeted {
		if d.running {
			d.kill()
			f.killed = append(f.killed, d)
		}
	}
}

// Start starts those that the fault ended.
func (f *faultRun) Start() {
	for _, d := range f.killed {
		if !d.running {
			d.start()
		}
	}
}

// Stall lets front doors stand still; each goes on by itself when the fault's time is over.
func (f *faultRun) Stall(on bool) {
	for _, d := range f.targeted {
		if on {
			d.stall(f.fault.For.D())
		}
	}
}

// backendFault does something to some backends in service, and takes it back; by is the fault's strength.
func backendFault(begin func(b *backend, by float64) (end func())) spec.Action[*faultRun] {
	return func(r *faultRun, f *spec.Fault) func() {
		var ends []func()
		for _, b := range r.ready(f) {
			ends = append(ends, begin(b, f.By))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}

// slowed makes a backend some times slower.
func (b *backend) slowed(by float64) (end func()) {
	b.advance()
	b.slow *= by
	b.plan()
	return func() {
		b.advance()
		b.slow /= by
		b.plan()
	}
}

// crashBackends ends backends; each is replaced by a cold one when the fault is over.
func (f *faultRun) crashBackends(fault *spec.Fault) func() { return f.crash(f.ready(fault)) }

// loseZone ends the backends of a zone and, with a share, its front doors.
func (f *faultRun) loseZone(fault *spec.Fault) func() {
	zone := f.zoneNumber(fault.Zone)
	var lost []*backend
	for _, b := range f.backends {
		if b.zone == zone {
			lost = append(lost, b)
		}
	}
	replace := f.crash(lost)
	for _, d := range f.nodes {
		if d.zone == zone && fault.Share > 0 {
			f.targeted = append(f.targeted, d)
		}
	}
	f.Kill()
	return func() {
		replace()
		f.Start()
	}
}

// partitionZone lets no word in or out of a zone.
func (f *faultRun) partitionZone(fault *spec.Fault) func() {
	zone := f.zoneNumber(fault.Zone)
	f.partitionedZones[zone]++
	return func() { f.partitionedZones[zone]-- }
}

func (w *world) zoneNumber(name string) int { return max(0, slices.Index(w.spec.Zones.Names, name)) }

// faultPeers does something to the datagrams between front doors.
func (f *faultRun) faultPeers(fault *spec.Fault) func() {
	zone := func(i int) string { return f.spec.Zones.Names[f.nodes[i].zone] }
	e, _ := netfault.EffectOf(fault, len(f.nodes), zone, fault.Source(f.netRand))
	id := f.links.Begin(e)
	return func() {
		for _, c := range f.links.End(id) {
			f.deliverDatagram(c)
		}
	}
}

// faultCounter has the counter do something wrong.
func (f *faultRun) faultCounter(fault *spec.Fault) func() {
	change := sharedcounter.FaultOf(fault)
	place := len(f.counterFaults)
	f.counterFaults = append(f.counterFaults, change)
	sum := func() {
		f.counter.Mode = sharedcounter.Mode{}
		for _, change := range f.counterFaults {
			if change != nil {
				change(&f.counter.Mode)
			}
		}
	}
	sum()
	return func() {
		f.counterFaults[place] = nil
		sum()
	}
}

// deliverDatagram delivers a datagram.
func (w *world) deliverDatagram(c netfault.Copy) {
	w.after(c.After, func() {
		to := w.nodes[c.Target]
		to.turn(func() { to.decider.DatagramReceived(control.GatewayID(c.Source), c.Payload) })
	})
}

// ready samples the backends in service.
func (w *world) ready(f *spec.Fault) []*backend {
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

// crash ends the processes of backends; what it gives puts one of a new id in the place of each, cold.
func (w *world) crash(all []*backend) (replace func()) {
	for _, b := range all {
		b.die()
	}
	return func() {
		for _, b := range all {
			w.replace(b)
		}
	}
}

// replace puts a new backend in the place of one that is gone.
func (w *world) replace(b *backend) {
	w.remove(b)
	n := w.addBackend(b.zone, b.pod, w.now)
	n.speed = b.speed
	w.announce(n, w.spec.Discovery.Added)
}

// waveTime gives when, within a fault's time, the nth of so many things has its turn.
func waveTime(f *spec.Fault, n, all int) time.Duration {
	waves := max(1, f.Waves)
	return time.Duration(float64(n*waves/all) * float64(f.For) / float64(waves))
}

// drainBackends drains backends in waves, each replaced by a cold one.
func (f *faultRun) drainBackends(fault *spec.Fault) func() {
	all := f.ready(fault)
	for i, b := range all {
		f.after(waveTime(fault, i, len(all)), func() {
			if b.dead || b.state != control.Ready {
				return
			}
			b.drain(func() { f.remove(b) })
			n := f.addBackend(b.zone, b.pod, f.now)
			f.announce(n, f.spec.Discovery.Added)
		})
	}
	return nil
}

// bounce kills a front door and starts it again.
func (w *world) bounce(d *node, down time.Duration) {
	if !d.running {
		return
	}
	d.kill()
	w.after(down, func() {
		if !d.running {
			d.start()
		}
	})
}

// roll restarts front doors in waves.
func (f *faultRun) roll(fault *spec.Fault) func() {
	down := time.Duration(float64(fault.For) / float64(max(1, fault.Waves)) / 2)
	for i, d := range f.targeted {
		f.after(waveTime(fault, i, len(f.targeted)), func() { f.bounce(d, down) })
	}
	return nil
}
