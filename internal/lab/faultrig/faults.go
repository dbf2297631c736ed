package faultrig

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clovergap/internal/failpoint"
	"clovergap/internal/history"
	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

// base is what the experiment says of datagrams without any fault.
func base(s *spec.Spec) netfault.Effect {
	return netfault.Effect{Loss: s.Peers.Loss, Reorder: 1, Delay: s.Peers.Delay[1].D()}
}

// source is the fault's own one, or the run's.
func (r *run) source(f *spec.Fault) *rand.Rand {
	if f.Pick != 0 {
		return f.Source(nil)
	}
	for i := range r.spec.Faults {
		if f == &r.spec.Faults[i] {
			return rand.New(rand.NewPCG(r.spec.Seed, 0xfa017+uint64(i)))
		}
	}
	return nil
}

func (r *run) hits(f *spec.Fault, n int) []int { return spec.Hits(n, f.Share, r.source(f)) }

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// play waits for a fault's time, brings it, and heals it when its time is over or the run ends.
func (r *run) play(ctx context.Context, f *spec.Fault) {
	if f.Has(spec.StartLate) {
		r.startLate(ctx, f)
		return
	}
	sleep(ctx, f.At.D())
	if ctx.Err() != nil {
		return
	}
	over, cancel := context.WithTimeout(ctx, f.For.D())
	defer cancel()
	r.log.Add(history.Event{Who: "rig", Kind: history.FaultBegan, What: f.Kind})
	under := &faultRun{run: r, ctx: over, fault: f}
	if f.Target() == spec.SomeNodes {
		under.hit = r.hits(f, len(r.fleet.Nodes))
	}
	end, err := effects.Begin(under, f)
	r.fail(err)
	<-over.Done()
	if end != nil {
		end()
	}
	r.log.Add(history.Event{Who: "rig", Kind: history.FaultEnded, What: f.Kind})
}

// startLate starts front doors that were not started with the others.
func (r *run) startLate(ctx context.Context, f *spec.Fault) {
	r.log.Add(history.Event{Who: "rig", Kind: history.FaultBegan, What: f.Kind})
	sleep(ctx, f.At.D()+f.For.D())
	r.nodes(r.hits(f, len(r.fleet.Nodes)), (*standin.Node).Again)
	r.log.Add(history.Event{Who: "rig", Kind: history.FaultEnded, What: f.Kind})
}

// fail keeps the first thing that went wrong with the rig itself.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault == nil {
		r.fault = err
	}
}

// discoveryDelay draws how late discovery tells of something.
func (r *run) discoveryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.spec.Discovery.Late
	return l[0].D() + time.Duration(r.rng.Float64()*float64(l[1]-l[0]))
}

// nodes does something to some front doors at once and waits for all.
func (r *run) nodes(which []int, do func(*standin.Node) error) {
	var wg sync.WaitGroup
	for _, number := range which {
		wg.Go(func() { r.fail(do(r.fleet.Nodes[number])) })
	}
	wg.Wait()
}

// faultRun is a fault under way: the run with the front doors that it hits. What it does is in effects.
type faultRun struct {
	*run
	ctx   context.Context // ends with the fault
	fault *spec.Fault
	hit   []int
}

// effects is what faults do to real processes.
var effects = spec.NodeActions(spec.Table[*faultRun]{
	spec.TerminateNodes:   (*faultRun).terminate,
	spec.RollNodes:        (*faultRun).roll,
	spec.SlowNodes:        (*faultRun).slowNodes,
	spec.SameSeed:         (*faultRun).sameSeed,
	spec.MoveDiscovery:    (*faultRun).moveDiscovery,
	spec.FewSockets:       func(r *faultRun, f *spec.Fault) func() { return r.limit(0, int(f.By)) },
	spec.LittleMemory:     func(r *faultRun, f *spec.Fault) func() { return r.limit(int(f.By), 0) },
	spec.StallAtPoint:     (*faultRun).stallAtPoint,
	spec.ExitAtPoint:      (*faultRun).exitAtPoint,
	spec.LoseZone:         (*faultRun).loseZone,
	spec.PartitionZone:    (*faultRun).partitionZone,
	spec.SlowBackends:     someBackends(func(m *standin.Mode, f *spec.Fault) { m.Slow = max(1, m.Slow) * f.By }),
	spec.FailBackends:     someBackends(func(m *standin.Mode, f *spec.Fault) { m.Fail = either(m.Fail, min(f.By, 1)) }),
	spec.SilenceBackends:  someBackends(func(m *standin.Mode, _ *spec.Fault) { m.Silent = 1 }),
	spec.ResetSubmissions: allBackends(func(m *standin.Mode, f *spec.Fault) { m.ResetIn = either(m.ResetIn, f.Share) }),
	spec.LoseAnswers:      allBackends(func(m *standin.Mode, f *spec.Fault) { m.Silent = either(m.Silent, f.Share) }),
	spec.CrashBackends:    (*faultRun).crashBackends,
	spec.DrainBackends:    (*faultRun).drainBackends,
	spec.DelayLists:       (*faultRun).delayLists,
	spec.RaiseLoad:        (*faultRun).raiseLoad,
	spec.PartitionLinks:   impairLinks(func(f *spec.Fault) standin.LinkFault { return standin.LinkFault{Blocked: true, Delay: f.Delay.D()} }),
	spec.DelayLinks:       impairLinks(func(f *spec.Fault) standin.LinkFault { return standin.LinkFault{Delay: f.Delay.D()} }),
	spec.LimitLinks:       impairLinks(func(f *spec.Fault) standin.LinkFault { return standin.LinkFault{Delay: f.Delay.D(), Rate: f.By} }),
	spec.PartitionPeers:   (*faultRun).impairPeers,
	spec.LosePeers:        (*faultRun).impairPeers,
	spec.DelayPeers:       (*faultRun).impairPeers,
	spec.RepeatPeers:      (*faultRun).impairPeers,
	spec.ReorderPeers:     (*faultRun).impairPeers,
	spec.LimitPeers:       (*faultRun).impairPeers,
	spec.SpoilPeers:       (*faultRun).impairPeers,
	spec.CounterDown:      (*faultRun).impairCounter,
	spec.CounterBusy:      (*faultRun).impairCounter,
	spec.CounterSpoilt:    (*faultRun).impairCounter,
	spec.CounterMute:      (*faultRun).impairCounter,
	spec.CounterLate:      (*faultRun).impairCounter,
	spec.CounterReset:     func(r *faultRun, _ *spec.Fault) func() { r.fleet.Counter.Replace(); return nil },
})

// either is the chance that one of two things happens that don't depend on each other.
func either(a, b float64) float64 { return 1 - (1-a)*(1-b) }

// together makes one end of many.
func together(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// Kill ends the front doors that are hit.
func (f *faultRun) Kill() { f.nodes(f.hit, killNode) }

// Start starts those that were ended.
func (f *faultRun) Start() { f.nodes(f.hit, (*standin.Node).Again) }

// Stall lets them stand still, and go on.
func (f *faultRun) Stall(on bool) {
	for _, number := range f.hit {
		f.fleet.Nodes[number].Suspend(on, f.fault.Kind)
	}
}

func killNode(d *standin.Node) error {
	d.Kill()
	return nil
}

// terminate tells front doors to end; those that still run when the fault is over are killed, and all start again.
func (f *faultRun) terminate(*spec.Fault) func() {
	within := f.termWithin()
	go f.nodes(f.hit, func(d *standin.Node) error { d.Term(within); return nil })
	return func() {
		f.nodes(f.hit, func(d *standin.Node) error { d.Term(within); return d.Again() })
	}
}

// slowNodes gives front doors a share of a core.
func (f *faultRun) slowNodes(fault *spec.Fault) func() {
	var wg sync.WaitGroup
	for _, number := range f.hit {
		wg.Go(func() { f.fleet.Nodes[number].Slow(f.ctx, fault.By, standin.SlowPeriod) })
	}
	return wg.Wait
}

// sameSeed restarts front doors whose next life takes the seed, and so the epoch, of the last one.
func (f *faultRun) sameSeed(*spec.Fault) func() {
	f.nodes(f.hit, func(d *standin.Node) error { d.SameSeed(); d.Kill(); return d.Again() })
	return nil
}

// moveDiscovery gives front doors a new configuration, with another list.
func (f *faultRun) moveDiscovery(*spec.Fault) func() {
	f.nodes(f.hit, func(d *standin.Node) error { return d.MoveDiscovery(1500 * time.Millisecond) })
	return nil
}

// limit restarts front doors with little memory or few sockets, and without that when the fault is over; 0: not bounded.
func (f *faultRun) limit(memory, sockets int) func() {
	restart := func(memory, sockets int) {
		f.nodes(f.hit, func(d *standin.Node) error { d.Limits(memory, sockets); d.Kill(); return d.Again() })
	}
	restart(memory, sockets)
	return func() { restart(0, 0) }
}

// someServing draws the backends that the fault hits.
func (f *faultRun) someServing() (all []*standin.Backend) {
	serving := f.fleet.Serving()
	for _, i := range f.hits(f.fault, len(serving)) {
		all = append(all, serving[i])
	}
	return all
}

func bring(to []*standin.Backend, f *spec.Fault, change func(*standin.Mode, *spec.Fault)) func() {
	var ends []func()
	for _, b := range to {
		ends = append(ends, b.Bring(func(m *standin.Mode) { change(m, f) }))
	}
	return together(ends)
}

// someBackends has a share of the backends do something wrong.
func someBackends(change func(*standin.Mode, *spec.Fault)) spec.Action[*faultRun] {
	return func(r *faultRun, f *spec.Fault) func() { return bring(r.someServing(), f, change) }
}

// allBackends has all of them do something wrong with a share of the submissions.
func allBackends(change func(*standin.Mode, *spec.Fault)) spec.Action[*faultRun] {
	return func(r *faultRun, f *spec.Fault) func() { return bring(r.fleet.Serving(), f, change) }
}

// crashBackends ends backends; each is replaced by a cold one when the fault is over.
func (f *faultRun) crashBackends(fault *spec.Fault) func() {
	for _, b := range f.someServing() {
		f.fleet.Replace(b, fault.For.D(), f.discoveryDelay)
	}
	return nil
}

// loseZone ends the backends of a zone and, with a share, its front doors.
func (f *faultRun) loseZone(fault *spec.Fault) func() {
	for _, b := range f.fleet.Serving() {
		if b.Zone == fault.Zone {
			f.fleet.Replace(b, fault.For.D(), f.discoveryDelay)
		}
	}
	if fault.Share <= 0 {
		return nil
	}
	f.hit = f.inZone(fault.Zone)
	f.Kill()
	return f.Start
}

// partitionZone lets no word in or out of a zone.
func (f *faultRun) partitionZone(fault *spec.Fault) func() {
	mine := f.inZone(fault.Zone)
	ends := []func(){f.fleet.Relay.Bring(netfault.Effect{Blocked: true, Matches: func(a, b int) bool {
		return slices.Contains(mine, a) != slices.Contains(mine, b)
	}})}
	for _, d := range f.fleet.Nodes {
		for zone, w := range d.Backends {
			if (zone == fault.Zone) != (d.Zone == fault.Zone) {
				ends = append(ends, w.Bring(standin.LinkFault{Blocked: true}))
			}
		}
	}
	return together(ends)
}

// delayLists has discovery tell what it tells late.
func (f *faultRun) delayLists(*spec.Fault) func() {
	late := func(on bool) {
		for _, a := range f.fleet.Agents {
			a.Late(on)
		}
	}
	late(true)
	return func() { late(false) }
}

// raiseLoad lets clients ask more often.
func (f *faultRun) raiseLoad(fault *spec.Fault) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.load.Add(fault.By)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		end()
	}
}

// impairLinks does something to the ways between front doors and what they call.
func impairLinks(trouble func(*spec.Fault) standin.LinkFault) spec.Action[*faultRun] {
	return func(r *faultRun, f *spec.Fault) func() {
		t := trouble(f)
		t.Only = map[string]standin.Direction{"in": standin.In, "out": standin.Out}[f.Way]
		var ends []func()
		for _, number := range r.hit {
			for _, w := range ways(r.fleet.Nodes[number], f.Link) {
				ends = append(ends, w.Bring(t))
			}
		}
		return together(ends)
	}
}

// impairPeers does something to the datagrams between front doors.
func (f *faultRun) impairPeers(fault *spec.Fault) func() {
	e, _ := netfault.EffectOf(fault, len(f.fleet.Nodes), func(i int) string { return f.fleet.Nodes[i].Zone }, f.source(fault))
	return f.fleet.Relay.Bring(e)
}

// impairCounter has the shared counter do something wrong.
func (f *faultRun) impairCounter(fault *spec.Fault) func() {
	return f.fleet.Counter.Bring(sharedcounter.FaultOf(fault))
}

func ways(d *standin.Node, link string) (all []*standin.Link) {
	switch link {
	case "discovery":
		return []*standin.Link{d.Discovery}
	case "counter":
		return []*standin.Link{d.Counter}
	}
	for _, w := range d.Backends {
		all = append(all, w)
	}
	return all
}

func (r *run) inZone(zone string) (mine []int) {
	for _, d := range r.fleet.Nodes {
		if d.Zone == zone {
			mine = append(mine, d.Index)
		}
	}
	return mine
}

// termWithin is when a front door that was told to end is killed.
func (r *run) termWithin() time.Duration {
	longest := 3 * time.Second
	for _, p := range r.spec.Products {
		longest = max(longest, p.Expiry.D())
	}
	return longest + 700*time.Millisecond
}

// drainBackends drains backends in waves; each ends once all front doors have been told, and a cold one takes its place.
func (f *faultRun) drainBackends(fault *spec.Fault) func() {
	waves, some := max(1, fault.Waves), f.someServing()
	for i, b := range some {
		wave := math.Floor(float64(i*waves) / float64(len(some)))
		f.fleet.Later(time.Duration(wave*float64(fault.For)/float64(waves)), func() {
			f.fleet.Later(f.discoveryDelay(), func() { f.fleet.NotifyAll(b, "Terminating") })
			f.fleet.Replaced(b, f.spec.Discovery.Late[1].D()+f.spec.Rules.DrainGrace.D()+time.Second, f.discoveryDelay)
		})
	}
	return nil
}

// roll restarts front doors in waves, each told to end and started again a while later.
func (f *faultRun) roll(fault *spec.Fault) func() {
	waves := max(1, fault.Waves)
	step := fault.For.D() / time.Duration(waves)
	for i, number := range f.hit {
		d := f.fleet.Nodes[number]
		wait := time.Duration(i*waves/len(f.hit)) * step
		f.tasks.Go(func() {
			sleep(f.ctx, wait)
			d.Term(f.termWithin())
			f.fail(d.Again())
		})
	}
	return nil
}

// maxPointPasses is how often a point is passed, at the most, before an order strikes there, and pointStallDuration how long it lasts
// where the fault does not say.
const (
	maxPointPasses     = 40
	pointStallDuration = 400 * time.Millisecond
)

// atPoint gives, for each front door that is hit, at which time of passing a point an order strikes.
func (f *faultRun) atPoint(order func(d *standin.Node, nth int)) {
	rng := f.source(f.fault)
	for _, number := range spec.Hits(len(f.fleet.Nodes), f.fault.Share, rng) {
		nth := 1 + rng.IntN(maxPointPasses)
		if f.fault.Waves > 0 {
			nth = f.fault.Waves
		}
		order(f.fleet.Nodes[number], nth)
	}
}

// stallAtPoint tells front doors to stand still at a point in their code.
func (f *faultRun) stallAtPoint(fault *spec.Fault) func() {
	hold := fault.Delay.D()
	if hold <= 0 {
		hold = pointStallDuration
	}
	f.atPoint(func(d *standin.Node, nth int) { d.Order("stop", failpoint.Name(fault.Point), nth, hold) })
	return nil
}

// exitAtPoint tells front doors to end at a point; they are started again when the fault is over.
func (f *faultRun) exitAtPoint(fault *spec.Fault) func() {
	f.atPoint(func(d *standin.Node, nth int) { d.Order("exit", failpoint.Name(fault.Point), nth, 0) })
	return func() {
		f.Kill() // those that never reached the point
		f.Start()
	}
}
