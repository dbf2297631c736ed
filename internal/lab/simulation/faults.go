package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"clovergap/internal/lab/spec"
)

// maxMomentDelay is how long a fault waits for its moment; then it comes all the same.
const maxMomentDelay = 3 * time.Second

// faultRun is a fault under way: the day with the machines that it hits. What it does is in effects.
type faultRun struct {
	*world
	fault    *spec.Fault
	rng      *rand.Rand
	targeted []*machine
	// faulted machines count as in trouble while the fault lasts: those that a rule may not hold to anything meanwhile.
	faulted []*machine
}

// effects is what faults do in simulated time. An action without an end calls over itself.
var effects = spec.NodeActions(spec.Table[*faultRun]{
	spec.PowerOffNodes:    func(r *faultRun, _ *spec.Fault) func() { return r.killed(true) },
	spec.KillOrPowerOff:   func(r *faultRun, f *spec.Fault) func() { return r.killed(f.By < 0.5) },
	spec.WipeNodes:        (*faultRun).wipe,
	spec.ReplaceNodes:     (*faultRun).replaceNodes,
	spec.TerminateNodes:   (*faultRun).terminate,
	spec.ResetNodes:       (*faultRun).resetNodes,
	spec.RestartCaller:    (*faultRun).restartCaller,
	spec.PartitionNodes:   (*faultRun).partitionNodes,
	spec.PartitionZone:    (*faultRun).partitionZone,
	spec.PartitionLeader:  (*faultRun).partitionLeader,
	spec.RepeatCalls:      (*faultRun).repeatCalls,
	spec.LoseFrames:       (*faultRun).loseFrames,
	spec.SlowDisks:        (*faultRun).slowDisks,
	spec.HangDisks:        (*faultRun).hangDisks,
	spec.FillDisks:        (*faultRun).fillDisks,
	spec.CrashBackends:    (*faultRun).crashBackends,
	spec.DrainBackends:    (*faultRun).drainBackends,
	spec.LeaveBackends:    (*faultRun).leaveBackends,
	spec.RaiseLoad:        (*faultRun).raiseLoad,
	spec.RushTenant:       (*faultRun).rushTenant,
	spec.SlowBackends:     backendFault(func(b *backend, on, by float64) { b.slowdown = 1 + on*(1+20*by) }),
	spec.ResetSubmissions: backendFault(func(b *backend, on, by float64) { b.resetShare = on * by / 2 }),
	spec.LoseAnswers:      backendFault(func(b *backend, on, by float64) { b.lostAnswers = on * by / 2 }),
	spec.FailBackends:     backendFault(func(b *backend, on, by float64) { b.failShare = on * (0.3 + 0.7*by) }),
})

// play brings a fault at its time, or at its moment after that, and ends it.
func (w *world) play(f *spec.Fault) {
	w.faults++
	w.at(w.now+f.At.D(), func() {
		moment := f.Moment()
		if moment == "" {
			w.applyFault(f)
			return
		}
		w.departBefore(moment, f.Pick)
		w.atNextMoment(moment, maxMomentDelay, func() { w.after(f.Delay.D(), func() { w.applyFault(f) }) })
	})
}

// departBefore lets a backend drain or leave if the moment is the acknowledgement of that, so that the moment comes. Another backend comes in
// its place.
func (w *world) departBefore(moment spec.Moment, pick uint64) {
	if moment != spec.Drained && moment != spec.Deregistered || len(w.timeline.live) == 0 {
		return
	}
	b := w.timeline.live[pick%uint64(len(w.timeline.live))]
	if moment == spec.Drained {
		w.timeline.add(b.service, b.zone, time.Second)
		b.drain()
	} else if !b.departs() {
		w.timeline.add(b.service, b.zone, time.Second)
		b.leave()
	}
}

// cores are the machines with a disk.
func (w *world) cores() []*machine { return w.machines[:w.day.Disks] }

// applyFault brings a fault now.
func (w *world) applyFault(f *spec.Fault) {
	r := &faultRun{world: w, fault: f, rng: f.Source(w.netRand)}
	r.targeted = r.targets()
	if !f.Has(spec.RestartCaller) || w.caller == nil {
		w.logf("fault %s for %s, share %.2f", f.Kind, f.For.D(), f.Share)
	}
	end, err := effects.Begin(r, f)
	if err != nil {
		panic(err)
	}
	if end != nil {
		r.endAfter(end)
	}
}

// targets draws the machines that the fault hits.
func (f *faultRun) targets() []*machine {
	from := f.cores()
	target := f.fault.Target()
	if target == spec.SomeNodes || target == spec.AllNodes {
		from = f.machines
	}
	var some []*machine // drawn for each fault, so that what is drawn later is the same for all
	for _, i := range spec.Hits(len(from), f.fault.Share, f.rng) {
		some = append(some, from[i])
	}
	switch {
	case target == spec.AllNodes:
		return slices.Clone(f.machines)
	case target == spec.DrainerNode && f.drainer != nil:
		return []*machine{f.drainer}
	case target == spec.CallerNode && f.caller != nil:
		return []*machine{f.caller}
	}
	return some
}

// endAfter ends the fault when its time is over. The harmed machines are in trouble until then.
func (f *faultRun) endAfter(end func()) {
	f.after(f.fault.For.D(), func() {
		end()
		for _, m := range f.faulted {
			m.countFault(false)
		}
		f.finished()
	})
}

// finished notes that the fault has ended.
func (f *faultRun) finished() {
	f.logf("fault %s ends", f.fault.Kind)
	f.faults--
}

// countFaulted marks machines as in trouble while the fault lasts.
func (f *faultRun) countFaulted(all []*machine) {
	f.faulted = all
	for _, m := range all {
		m.countFault(true)
	}
}

// Kill ends the processes of the machines that are hit.
func (f *faultRun) Kill() { f.killed(false) }

// Start starts those that do not run.
func (f *faultRun) Start() {
	for _, m := range f.targeted {
		m.start()
	}
}

// Stall lets them stand still, and go on.
func (f *faultRun) Stall(on bool) {
	for _, m := range f.targeted {
		m.stall(on)
	}
}

// killed ends them, or takes their power.
func (f *faultRun) killed(power bool) (end func()) {
	for _, m := range f.targeted {
		m.kill(power)
	}
	return f.Start
}

// wipe kills machines and takes what is on their disks; on hard days each such loss waits for its turn.
func (f *faultRun) wipe(fault *spec.Fault) func() {
	wipe := func() {
		for _, m := range f.targeted {
			m.kill(fault.By < 0.5)
			m.loseDisk()
		}
	}
	if !f.day.Hard {
		wipe()
		return f.Start
	}
	f.awaitDiskTurn(func() {
		for i, m := range f.targeted { // by its place: it may have been replaced meanwhile
			f.targeted[i] = f.machines[m.index]
		}
		wipe()
		f.endAfter(f.Start)
	})
	return nil
}

// replaceNodes puts new machines in the place of those that are hit, when their turn has come.
func (f *faultRun) replaceNodes(*spec.Fault) func() {
	f.awaitDiskTurn(func() {
		for i, m := range f.targeted { // by its place: it may have been replaced meanwhile
			f.targeted[i] = f.machines[m.index].replace()
		}
		f.endAfter(f.Start)
	})
	return nil
}

// terminate tells processes to end; they start again when their grace and the fault's time are over.
func (f *faultRun) terminate(*spec.Fault) func() {
	for _, m := range f.targeted {
		m.terminate()
	}
	f.after(f.machines[0].settings.Bounds.ShutdownGrace+200*time.Millisecond, func() { f.endAfter(f.Start) })
	return nil
}

// resetNodes resets all connections of the machines that are hit, again and again.
func (f *faultRun) resetNodes(fault *spec.Fault) func() {
	until := f.now + fault.For.D()
	reset := func() {
		for _, m := range f.targeted {
			m.resetConnections()
		}
	}
	f.countFaulted(f.targeted)
	reset()
	f.every(resetInterval, func() bool {
		if f.now < until {
			reset()
		}
		return f.now < until
	})
	return func() {}
}

// restartCaller kills the node that has passed on a call, some times. Where none has, it kills some, as a kind without the moment.
func (f *faultRun) restartCaller(fault *spec.Fault) func() {
	if f.caller == nil {
		return f.killed(fault.Kind == callPower)
	}
	f.restarts(fault, f.caller, 1+int(4*fault.By))
	return nil
}

// callPower is the kind that takes the power of the node that passed on a call.
const callPower = "call-power"

// partitionNodes lets the machines that are hit not hear the others, or not be heard, or both.
func (f *faultRun) partitionNodes(fault *spec.Fault) func() {
	return f.addPartition(&partition{blocksInbound: fault.Way != "out", blocksOutbound: fault.Way != "in"})
}

// partitionZone lets no word in or out of a zone, of its machines or of its backends.
func (f *faultRun) partitionZone(*spec.Fault) func() {
	zone := f.zones[f.rng.IntN(len(f.zones))]
	f.targeted = nil
	for _, m := range f.machines {
		if m.zone == zone {
			f.targeted = append(f.targeted, m)
		}
	}
	return f.addPartition(&partition{zone: zone, backends: true, blocksInbound: true, blocksOutbound: true})
}

// addPartition brings a cut of the machines that are hit; all machines are in trouble by it.
func (f *faultRun) addPartition(c *partition) func() {
	c.members = map[*machine]bool{}
	for _, m := range f.targeted {
		c.members[m] = true
	}
	f.countFaulted(f.machines)
	f.partitions = append(f.partitions, c)
	return func() { f.partitions = slices.DeleteFunc(f.partitions, func(x *partition) bool { return x == c }) }
}

// partitionLeader parts the leader, or another machine with a disk, from the others with one.
func (f *faultRun) partitionLeader(fault *spec.Fault) func() {
	m := f.targeted[0]
	if l := f.leader(); l != nil && fault.By < 0.6 {
		m = l
	}
	if len(f.cores()) < 3 { // one of two is half
		f.faults--
		return nil
	}
	f.partitionNode(fault, m)
	return nil
}

// repeatCalls lets calls and replies between nodes come once more, late.
func (f *faultRun) repeatCalls(*spec.Fault) func() {
	f.copies++
	return func() { f.copies-- }
}

// loseFrames loses a share of the datagrams; frames that would be lost go again.
func (f *faultRun) loseFrames(fault *spec.Fault) func() {
	f.countFaulted(f.machines)
	return f.losses.Add(0.02 + 0.3*fault.By)
}

// faultDisks does something to the disks that are hit, whose machines are in trouble by it, and undoes it.
func (f *faultRun) faultDisks(begin, end func(*simulatedDisk)) func() {
	f.countFaulted(f.targeted)
	for _, m := range f.targeted {
		begin(m.disk)
	}
	return func() {
		for _, m := range f.targeted {
			end(m.disk)
		}
	}
}

func (f *faultRun) slowDisks(fault *spec.Fault) func() {
	by := 5 + 100*fault.By
	return f.faultDisks(func(d *simulatedDisk) { d.slowdown *= by }, func(d *simulatedDisk) { d.slowdown /= by })
}

func (f *faultRun) hangDisks(*spec.Fault) func() {
	return f.faultDisks(func(d *simulatedDisk) { d.hangFaults++ }, func(d *simulatedDisk) { d.hangFaults-- })
}

func (f *faultRun) fillDisks(*spec.Fault) func() {
	return f.faultDisks(func(d *simulatedDisk) { d.fullFaults++ }, func(d *simulatedDisk) { d.fullFaults-- })
}

// backends draws the backends that the fault hits.
func (f *faultRun) targetedBackends() (all []*backend) {
	for _, i := range spec.Hits(len(f.timeline.live), f.fault.Share, f.rng) {
		all = append(all, f.timeline.live[i])
	}
	return all
}

// backendFault sets something of some backends, with on at 1, and takes it back, at 0; by is the fault's strength.
func backendFault(set func(b *backend, on, by float64)) spec.Action[*faultRun] {
	return func(r *faultRun, f *spec.Fault) func() {
		hit := r.targetedBackends()
		for _, b := range hit {
			set(b, 1, f.By)
		}
		return func() {
			for _, b := range hit {
				set(b, 0, f.By)
			}
		}
	}
}

// crashBackends ends backends at once; others come in their place when the fault is over.
func (f *faultRun) crashBackends(fault *spec.Fault) func() {
	for _, b := range f.targetedBackends() {
		if !b.departs() {
			f.after(0, b.crash)
			f.after(fault.For.D(), func() { f.timeline.add(b.service, b.zone, time.Second) })
		}
	}
	return func() {}
}

// drainBackends lets backends leave in order, each replaced by another at once.
func (f *faultRun) drainBackends(*spec.Fault) func() {
	for _, b := range f.targetedBackends() {
		if !b.departs() {
			f.timeline.add(b.service, b.zone, time.Second)
			b.drain()
		}
	}
	return func() {}
}

// leaveBackends lets backends deregister without draining first, each replaced by another at once.
func (f *faultRun) leaveBackends(*spec.Fault) func() {
	for _, b := range f.targetedBackends() {
		if !b.departs() {
			f.timeline.add(b.service, b.zone, time.Second)
			b.leave()
		}
	}
	return func() {}
}

// raiseLoad lets clients ask more often.
func (f *faultRun) raiseLoad(fault *spec.Fault) func() { return f.clients.burst.Add(2 + 2*fault.By) }

// rushTenant lets one tenant send many times its usual.
func (f *faultRun) rushTenant(fault *spec.Fault) func() {
	rushing := f.rushOf(fault)
	f.clients.rushes = append(f.clients.rushes, rushing)
	return func() {
		f.clients.rushes = slices.DeleteFunc(f.clients.rushes, func(x *rush) bool { return x == rushing })
	}
}
