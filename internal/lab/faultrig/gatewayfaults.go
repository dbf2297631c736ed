// What faults do to the gateway's real processes.

package faultrig

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

// each calls do for several nodes at once and waits for all calls.
func (g *gatewayRun) each(which []*gatewaystandin.Node, do func(*gatewaystandin.Node) error) {
	var wg sync.WaitGroup
	for _, d := range which {
		wg.Go(func() { g.fail(do(d)) })
	}
	wg.Wait()
}

func kill(d *gatewaystandin.Node) error    { d.Kill(); return nil }
func restart(d *gatewaystandin.Node) error { return d.Again() }

// ackMost is how long a fault waits for the next acknowledgement.
const ackMost = 3 * time.Second

// gatewayFault is a fault under way: the run with the nodes that it hits. What it does is in gatewayEffects.
type gatewayFault struct {
	*gatewayRun
	ctx   context.Context
	fault *spec.Fault
	hit   []*gatewaystandin.Node
}

// gatewayEffects is what faults do to the gateway's processes. An action without an end is over when it returns.
var gatewayEffects = spec.NodeActions(spec.Table[*gatewayFault]{
	spec.PowerOffNodes:    (*gatewayFault).powerOff,
	spec.WipeNodes:        (*gatewayFault).wipe,
	spec.TerminateNodes:   (*gatewayFault).terminate,
	spec.ReloadNodes:      (*gatewayFault).reload,
	spec.FillDisks:        (*gatewayFault).fillDisks,
	spec.PartitionNodes:   (*gatewayFault).partitionNodes,
	spec.CrashBackends:    (*gatewayFault).crashBackends,
	spec.DrainBackends:    (*gatewayFault).drainBackends,
	spec.LeaveBackends:    (*gatewayFault).leaveBackends,
	spec.ResetSubmissions: backendMode(func(m *standin.Mode, by float64) { m.ResetIn = by }),
	spec.LoseAnswers:      backendMode(func(m *standin.Mode, by float64) { m.Silent = by }),
	spec.GarbleAnswers:    backendMode(func(m *standin.Mode, by float64) { m.Half, m.Spoilt = by/2, by/2 }),
	spec.SlowBackends:     backendMode(func(m *standin.Mode, by float64) { m.Slow = 1 + 20*by }),
	spec.RaiseLoad:        (*gatewayFault).raiseLoad,
})

// play waits for a fault's time and moment, brings it and heals it.
func (g *gatewayRun) play(ctx context.Context, f *spec.Fault) {
	sleep(ctx, f.At.D())
	if ctx.Err() != nil {
		return
	}
	switch f.Moment() {
	case spec.Acknowledged:
		g.acked.wait(ctx, ackMost)
	case spec.Deregistered:
		g.deregistered.wait(ctx, ackMost)
	}
	g.log.Add(history.Event{Who: "rig", Kind: history.FaultBegan, What: f.Kind})
	defer func() { g.log.Add(history.Event{Who: "rig", Kind: history.FaultEnded, What: f.Kind}) }()
	r := &gatewayFault{gatewayRun: g, ctx: ctx, fault: f}
	r.hit = r.targets()
	end, err := gatewayEffects.Begin(r, f)
	g.fail(err)
	if end != nil {
		sleep(ctx, f.For.D())
		end()
	}
}

// fail keeps the first thing that went wrong with the rig itself.
func (g *gatewayRun) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fault == nil {
		g.fault = err
	}
}

// among gives the nodes that the fault may hit.
func (g *gatewayFault) among() []*gatewaystandin.Node {
	if g.fault.Target() == spec.SomeDisks {
		return g.deployment.Cores()
	}
	return g.deployment.Nodes
}

// targets draws the nodes that it hits.
func (g *gatewayFault) targets() (all []*gatewaystandin.Node) {
	switch g.fault.Target() {
	case spec.LeaderNode:
		return g.leader(g.ctx)
	case spec.AllNodes:
		return g.deployment.Nodes
	case spec.SomeNodes, spec.SomeDisks:
		from := g.among()
		for _, i := range spec.Hits(len(from), g.fault.Share, g.fault.Source(nil)) {
			all = append(all, from[i])
		}
	}
	return all
}

// Kill ends the processes of the nodes that are hit.
func (g *gatewayFault) Kill() { g.each(g.hit, kill) }

// Start starts those that were ended.
func (g *gatewayFault) Start() { g.each(g.hit, restart) }

// Stall lets them stand still, and go on.
func (g *gatewayFault) Stall(on bool) {
	g.each(g.hit, func(d *gatewaystandin.Node) error { d.Suspend(on, g.fault.Kind); return nil })
}

// powerOffLead is how long the other nodes have to take a machine for one without power, before its process ends.
const powerOffLead = 50 * time.Millisecond

// powerOff ends processes so that no other node is told, which a debug build plays. What was not synced is kept all the same: the
// machine that all run on goes on.
func (g *gatewayFault) powerOff(*spec.Fault) func() {
	hit := g.hit
	hide := func(on bool) {
		for _, node := range g.deployment.Nodes {
			for _, off := range hit {
				if node != off {
					node.PowerOffHost(off.Host, on)
				}
			}
		}
	}
	hide(true)
	sleep(g.ctx, powerOffLead)
	g.Kill()
	return func() {
		hide(false)
		g.Start()
	}
}

// wipe ends processes and takes what is on their disks.
func (g *gatewayFault) wipe(*spec.Fault) func() {
	g.each(g.hit, (*gatewaystandin.Node).Wipe)
	return g.Start
}

// terminate tells processes to end, within their grace.
func (g *gatewayFault) terminate(*spec.Fault) func() {
	g.each(g.hit, func(d *gatewaystandin.Node) error { d.Term(gatewaystandin.Bounds().ShutdownGrace); return nil })
	return g.Start
}

// reload has nodes read their settings again, in the middle of traffic.
func (g *gatewayFault) reload(*spec.Fault) func() {
	g.each(g.hit, func(d *gatewaystandin.Node) error { d.Reload(); return nil })
	return nil
}

// fillDisks makes disks refuse all writes.
func (g *gatewayFault) fillDisks(*spec.Fault) func() {
	refuse := func(on bool) {
		g.each(g.hit, func(node *gatewaystandin.Node) error { return node.RefuseWrites(on) })
	}
	refuse(true)
	return func() { refuse(false) }
}

// partitionNodes parts nodes by the fault's shape, which a debug build plays.
func (g *gatewayFault) partitionNodes(f *spec.Fault) func() {
	of := g.among()
	parts := f.Pairs(len(of), nil, f.Source(nil))
	part := func(on bool) {
		for i, from := range of {
			for j, to := range of {
				if i != j && parts(i, j) {
					from.SetLinkDown(to, on)
				}
			}
		}
	}
	part(true)
	return func() { part(false) }
}

// serving draws the backends that the fault hits.
func (g *gatewayFault) serving() (all []*gatewaystandin.HeartbeatBackend) {
	serving := g.deployment.Serving()
	for _, i := range spec.Hits(len(serving), g.fault.Share, g.fault.Source(nil)) {
		all = append(all, serving[i])
	}
	return all
}

// add starts a backend like another.
func (g *gatewayFault) add(like *gatewaystandin.HeartbeatBackend) {
	if _, err := g.deployment.Add(like.Service, like.Zone, 0); g.ctx.Err() == nil {
		g.fail(err)
	}
}

// crashBackends ends backends at once; others come in their place when the fault is over.
func (g *gatewayFault) crashBackends(*spec.Fault) func() {
	hit := g.serving()
	for _, b := range hit {
		b.Crash()
	}
	return func() {
		var wg sync.WaitGroup
		for _, b := range hit {
			wg.Go(func() { g.add(b) })
		}
		wg.Wait()
	}
}

// drainBackends lets backends leave in order, others coming in their place first.
func (g *gatewayFault) drainBackends(*spec.Fault) func() {
	var wg sync.WaitGroup
	for _, b := range g.serving() {
		wg.Go(func() {
			g.add(b)
			b.Drain(g.ctx)
		})
	}
	wg.Wait()
	return nil
}

// leaveBackends lets backends deregister without draining first, others coming in their place first.
func (g *gatewayFault) leaveBackends(*spec.Fault) func() {
	var wg sync.WaitGroup
	for _, b := range g.serving() {
		wg.Go(func() {
			g.add(b)
			b.Leave(g.ctx, g.deregistered.notify)
		})
	}
	wg.Wait()
	return nil
}

// backendMode has some backends do something wrong; by is the fault's strength.
func backendMode(change func(m *standin.Mode, by float64)) spec.Action[*gatewayFault] {
	return func(r *gatewayFault, f *spec.Fault) func() {
		var ends []func()
		for _, b := range r.serving() {
			ends = append(ends, b.Bring(func(m *standin.Mode) { change(m, f.By) }))
		}
		return together(ends)
	}
}

// raiseLoad lets clients ask more often.
func (g *gatewayFault) raiseLoad(f *spec.Fault) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.burst.Add(f.By)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		end()
	}
}

// leader is the node that leads the core, by the first word of any of the core.
func (g *gatewayRun) leader(ctx context.Context) []*gatewaystandin.Node {
	for _, d := range g.deployment.Cores() {
		s := g.deployment.Status(ctx, d, 300*time.Millisecond)
		for _, x := range g.deployment.Cores() {
			if s != nil && s.Core != nil && strings.HasPrefix(s.Core.Leader, x.Host+":") {
				return []*gatewaystandin.Node{x}
			}
		}
	}
	return g.deployment.Cores()[:1]
}

// closing kills all right after an acknowledgement; one disk may be lost by it.
func (g *gatewayRun) closing(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.schedule.Seed, 0xc105))
	lost := g.deployment.Cores()[rng.IntN(Disks)]
	g.acked.wait(ctx, 5*time.Second)
	g.log.Add(history.Event{Who: "rig", Kind: history.FaultBegan, What: "closing"})
	g.each(g.deployment.Nodes, func(d *gatewaystandin.Node) error {
		if g.schedule.Wipe && d == lost {
			return d.Wipe()
		}
		return kill(d)
	})
	sleep(ctx, time.Duration(200+rng.IntN(800))*time.Millisecond)
	g.each(g.deployment.Nodes, restart)
	g.log.Add(history.Event{Who: "rig", Kind: history.FaultEnded, What: "closing"})
}
