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
	for i := range r.s.Faults {
		if f == &r.s.Faults[i] {
			return rand.New(rand.NewPCG(r.s.Seed, 0xfa017+uint64(i)))
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
	r.log.Add(history.Event{Who: "rig", Kind: history.Strikes, What: f.Kind})
	under := &faultRun{run: r, ctx: over, fault: f}
	if f.Target() == spec.SomeNodes {
		under.hit = r.hits(f, len(r.f.Nodes))
	}
	end, err := effects.Begin(under, f)
	r.fail(err)
	<-over.Done()
	if end != nil {
		end()
	}
	r.log.Add(history.Event{Who: "rig", Kind: history.Heals, What: f.Kind})
}

// startLate starts front doors that were not started with the others.
func (r *run) startLate(ctx context.Context, f *spec.Fault) {
	r.log.Add(history.Event{Who: "rig", Kind: history.Strikes, What: f.Kind})
	sleep(ctx, f.At.D()+f.For.D())
	r.nodes(r.hits(f, len(r.f.Nodes)), (*standin.Node).Again)
	r.log.Add(history.Event{Who: "rig", Kind: history.Heals, What: f.Kind})
}

// fail keeps the first thing that went wrong with the rig itself.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault == nil {
		r.fault = err
	}
}

// told draws how late discovery tells of something.
func (r *run) told() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.s.Discovery.Late
	return l[0].D() + time.Duration(r.rng.Float64()*float64(l[1]-l[0]))
}

// nodes does something to some front doors at once and waits for all.
func (r *run) nodes(which []int, do func(*standin.Node) error) {
	var wg sync.WaitGroup
	for _, number := range which {
		wg.Go(func() { r.fail(do(r.f.Nodes[number])) })
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
	spec.CutZone:          (*faultRun).cutZone,
	spec.SlowBackends:     someBackends(func(m *standin.Mode, f *spec.Fault) { m.Slow = max(1, m.Slow) * f.By }),
	spec.FailBackends:     someBackends(func(m *standin.Mode, f *spec.Fault) { m.Fail = either(m.Fail, min(f.By, 1)) }),
	spec.SilenceBackends:  someBackends(func(m *standin.Mode, _ *spec.Fault) { m.Silent = 1 }),
	spec.ResetSubmissions: allBackends(func(m *standin.Mode, f *spec.Fault) { m.ResetIn = either(m.ResetIn, f.Share) }),
	spec.LoseAnswers:      allBackends(func(m *standin.Mode, f *spec.Fault) { m.Silent = either(m.Silent, f.Share) }),
	spec.CrashBackends:    (*faultRun).crashBackends,
	spec.DrainBackends:    (*faultRun).drainBackends,
	spec.DelayLists:       (*faultRun).delayLists,
	spec.RaiseLoad:        (*faultRun).raiseLoad,
	spec.CutLinks:         troubleLinks(func(f *spec.Fault) standin.Trouble { return standin.Trouble{Cut: true, Delay: f.Delay.D()} }),
	spec.DelayLinks:       troubleLinks(func(f *spec.Fault) standin.Trouble { return standin.Trouble{Delay: f.Delay.D()} }),
	spec.LimitLinks:       troubleLinks(func(f *spec.Fault) standin.Trouble { return standin.Trouble{Delay: f.Delay.D(), Rate: f.By} }),
	spec.CutPeers:         (*faultRun).troublePeers,
	spec.LosePeers:        (*faultRun).troublePeers,
	spec.DelayPeers:       (*faultRun).troublePeers,
	spec.RepeatPeers:      (*faultRun).troublePeers,
	spec.ReorderPeers:     (*faultRun).troublePeers,
	spec.LimitPeers:       (*faultRun).troublePeers,
	spec.SpoilPeers:       (*faultRun).troublePeers,
	spec.CounterDown:      (*faultRun).troubleCounter,
	spec.CounterBusy:      (*faultRun).troubleCounter,
	spec.CounterSpoilt:    (*faultRun).troubleCounter,
	spec.CounterMute:      (*faultRun).troubleCounter,
	spec.CounterLate:      (*faultRun).troubleCounter,
	spec.CounterReset:     func(r *faultRun, _ *spec.Fault) func() { r.f.Counter.Replace(); return nil },
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
func (r *faultRun) Kill() { r.nodes(r.hit, killNode) }

// Start starts those that were ended.
func (r *faultRun) Start() { r.nodes(r.hit, (*standin.Node).Again) }

// Stall lets them stand still, and go on.
func (r *faultRun) Stall(on bool) {
	for _, number := range r.hit {
		r.f.Nodes[number].Hold(on, r.fault.Kind)
	}
}

func killNode(d *standin.Node) error {
	d.Kill()
	return nil
}

// terminate tells front doors to end; those that still run when the fault is over are killed, and all start again.
func (r *faultRun) terminate(*spec.Fault) func() {
	within := r.termWithin()
	go r.nodes(r.hit, func(d *standin.Node) error { d.Term(within); return nil })
	return func() {
		r.nodes(r.hit, func(d *standin.Node) error { d.Term(within); return d.Again() })
	}
}

// slowNodes gives front doors a share of a core.
func (r *faultRun) slowNodes(f *spec.Fault) func() {
	var wg sync.WaitGroup
	for _, number := range r.hit {
		wg.Go(func() { r.f.Nodes[number].Slow(r.ctx, f.By) })
	}
	return wg.Wait
}

// sameSeed restarts front doors whose next life takes the seed, and so the epoch, of the last one.
func (r *faultRun) sameSeed(*spec.Fault) func() {
	r.nodes(r.hit, func(d *standin.Node) error { d.SameSeed(); d.Kill(); return d.Again() })
	return nil
}

// moveDiscovery gives front doors a new configuration, with another list.
func (r *faultRun) moveDiscovery(*spec.Fault) func() {
	r.nodes(r.hit, func(d *standin.Node) error { return d.MoveDiscovery(1500 * time.Millisecond) })
	return nil
}

// limit restarts front doors with little memory or few sockets, and without that when the fault is over; 0: not bounded.
func (r *faultRun) limit(memory, sockets int) func() {
	restart := func(memory, sockets int) {
		r.nodes(r.hit, func(d *standin.Node) error { d.Limits(memory, sockets); d.Kill(); return d.Again() })
	}
	restart(memory, sockets)
	return func() { restart(0, 0) }
}

// someServing draws the backends that the fault hits.
func (r *faultRun) someServing() (all []*standin.Backend) {
	serving := r.f.Serving()
	for _, i := range r.hits(r.fault, len(serving)) {
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
	return func(r *faultRun, f *spec.Fault) func() { return bring(r.f.Serving(), f, change) }
}

// crashBackends ends backends; each is replaced by a cold one when the fault is over.
func (r *faultRun) crashBackends(f *spec.Fault) func() {
	for _, b := range r.someServing() {
		r.f.Replace(b, f.For.D(), r.told)
	}
	return nil
}

// loseZone ends the backends of a zone and, with a share, its front doors.
func (r *faultRun) loseZone(f *spec.Fault) func() {
	for _, b := range r.f.Serving() {
		if b.Zone == f.Zone {
			r.f.Replace(b, f.For.D(), r.told)
		}
	}
	if f.Share <= 0 {
		return nil
	}
	r.hit = r.inZone(f.Zone)
	r.Kill()
	return r.Start
}

// cutZone lets no word in or out of a zone.
func (r *faultRun) cutZone(f *spec.Fault) func() {
	mine := r.inZone(f.Zone)
	ends := []func(){r.f.Relay.Bring(netfault.Effect{Cut: true, On: func(a, b int) bool {
		return slices.Contains(mine, a) != slices.Contains(mine, b)
	}})}
	for _, d := range r.f.Nodes {
		for zone, w := range d.Backends {
			if (zone == f.Zone) != (d.Zone == f.Zone) {
				ends = append(ends, w.Bring(standin.Trouble{Cut: true}))
			}
		}
	}
	return together(ends)
}

// delayLists has discovery tell what it tells late.
func (r *faultRun) delayLists(*spec.Fault) func() {
	late := func(on bool) {
		for _, a := range r.f.Agents {
			a.Late(on)
		}
	}
	late(true)
	return func() { late(false) }
}

// raiseLoad lets clients ask more often.
func (r *faultRun) raiseLoad(f *spec.Fault) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.load.Hold(f.By)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		end()
	}
}

// troubleLinks does something to the ways between front doors and what they call.
func troubleLinks(trouble func(*spec.Fault) standin.Trouble) spec.Action[*faultRun] {
	return func(r *faultRun, f *spec.Fault) func() {
		t := trouble(f)
		t.Only = map[string]standin.Direction{"in": standin.In, "out": standin.Out}[f.Way]
		var ends []func()
		for _, number := range r.hit {
			for _, w := range ways(r.f.Nodes[number], f.Link) {
				ends = append(ends, w.Bring(t))
			}
		}
		return together(ends)
	}
}

// troublePeers does something to the datagrams between front doors.
func (r *faultRun) troublePeers(f *spec.Fault) func() {
	e, _ := netfault.Of(f, len(r.f.Nodes), func(i int) string { return r.f.Nodes[i].Zone }, r.source(f))
	return r.f.Relay.Bring(e)
}

// troubleCounter has the shared counter do something wrong.
func (r *faultRun) troubleCounter(f *spec.Fault) func() {
	return r.f.Counter.Bring(sharedcounter.Trouble(f))
}

func ways(d *standin.Node, link string) (all []*standin.Way) {
	switch link {
	case "discovery":
		return []*standin.Way{d.Discovery}
	case "counter":
		return []*standin.Way{d.Counter}
	}
	for _, w := range d.Backends {
		all = append(all, w)
	}
	return all
}

func (r *run) inZone(zone string) (mine []int) {
	for _, d := range r.f.Nodes {
		if d.Zone == zone {
			mine = append(mine, d.Nr)
		}
	}
	return mine
}

// termWithin is when a front door that was told to end is killed.
func (r *run) termWithin() time.Duration {
	longest := 3 * time.Second
	for _, p := range r.s.Products {
		longest = max(longest, p.Expiry.D())
	}
	return longest + 700*time.Millisecond
}

// drainBackends drains backends in waves; each ends once all front doors have been told, and a cold one takes its place.
func (r *faultRun) drainBackends(f *spec.Fault) func() {
	waves, some := max(1, f.Waves), r.someServing()
	for i, b := range some {
		wave := math.Floor(float64(i*waves) / float64(len(some)))
		r.f.Later(time.Duration(wave*float64(f.For)/float64(waves)), func() {
			r.f.Later(r.told(), func() { r.f.TellAll(b, "Terminating") })
			r.f.Replaced(b, r.s.Discovery.Late[1].D()+r.s.Rules.DrainGrace.D()+time.Second, r.told)
		})
	}
	return nil
}

// roll restarts front doors in waves, each told to end and started again a while later.
func (r *faultRun) roll(f *spec.Fault) func() {
	waves := max(1, f.Waves)
	step := f.For.D() / time.Duration(waves)
	for i, number := range r.hit {
		d := r.f.Nodes[number]
		wait := time.Duration(i*waves/len(r.hit)) * step
		r.wg.Go(func() {
			sleep(r.ctx, wait)
			d.Term(r.termWithin())
			r.fail(d.Again())
		})
	}
	return nil
}

// pointTimes is how often a point is passed, at the most, before an order strikes there, and pointHold how long it lasts
// where the fault does not say.
const (
	pointTimes = 40
	pointHold  = 400 * time.Millisecond
)

// atPoint gives, for each front door that is hit, at which time of passing a point an order strikes.
func (r *faultRun) atPoint(order func(d *standin.Node, nth int)) {
	rng := r.source(r.fault)
	for _, number := range spec.Hits(len(r.f.Nodes), r.fault.Share, rng) {
		nth := 1 + rng.IntN(pointTimes)
		if r.fault.Waves > 0 {
			nth = r.fault.Waves
		}
		order(r.f.Nodes[number], nth)
	}
}

// stallAtPoint tells front doors to stand still at a point in their code.
func (r *faultRun) stallAtPoint(f *spec.Fault) func() {
	hold := f.Delay.D()
	if hold <= 0 {
		hold = pointHold
	}
	r.atPoint(func(d *standin.Node, nth int) { d.Order("stop", failpoint.Name(f.Point), nth, hold) })
	return nil
}

// exitAtPoint tells front doors to end at a point; they are started again when the fault is over.
func (r *faultRun) exitAtPoint(f *spec.Fault) func() {
	r.atPoint(func(d *standin.Node, nth int) { d.Order("exit", failpoint.Name(f.Point), nth, 0) })
	return func() {
		r.Kill() // those that never reached the point
		r.Start()
	}
}
