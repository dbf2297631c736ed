package faultrig

import (
	"context"
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

const (
	// lateInputLockers is the number of lockers and of restarters.
	lateInputLockers = 8
	// wholeCoresShare is the share of schedules, one in so many, on which all nodes have whole cores.
	wholeCoresShare = 3
	// minThrottledCPU and maxThrottledCPU bound the share of a core.
	minThrottledCPU, maxThrottledCPU = 0.1, 0.4
	// lateInputInterval is the mean time between the beginnings of two pauses.
	lateInputInterval = 2500 * time.Millisecond
)

// throttlePeriods are the times in which a node may use its share of a core. It stands still for the rest.
var throttlePeriods = []time.Duration{standin.SlowPeriod, 100 * time.Millisecond}

// lateInputKinds are the faults besides the pauses.
var lateInputKinds = []string{"node-kill", "core-kill", "node-term", "core-term", "node-reload", "node-cut", "core-cut", "resets", "drain", "crash",
	"burst", "lead-kill", "disk-wipe"}

// pauseLengths are the lengths of the pauses of nodes that the deployments name (node_freeze), in seconds, and one that is shorter than a caller waits.
var pauseLengths = []float64{0.7, 2.3, 2.3, 3.5, 4.0}

// DrawLateInput draws a schedule of pauses that follow each other and overlap, with signals, restarts, cuts and resets among them, while applications
// call for locks, numbers, keys and watches over connections that stay open. On most schedules some nodes have a small share of a core, as a quota, so that they read for long what
// came during a pause.
func DrawLateInput(seed uint64, nodes int, dur time.Duration) *GatewaySchedule {
	rng := newDraws(seed, 0x1a7e)
	s := &GatewaySchedule{Seed: seed, Nodes: nodes, For: dur, KeepNodes: true, CancelShare: cancelShare, Lockers: lateInputLockers}
	if rng.IntN(wholeCoresShare) > 0 {
		s.ThrottledShare = 0.2 + 0.4*rng.Float64()
		s.ThrottlePeriod = throttlePeriods[rng.IntN(len(throttlePeriods))]
		s.ThrottledCPU = minThrottledCPU + (maxThrottledCPU-minThrottledCPU)*rng.Float64()
	}
	wiped := false
	for at := time.Second; at < dur; at += time.Duration(rng.span(0.3, 2*lateInputInterval.Seconds()-0.3)) {
		pause := spec.Fault{Kind: []string{"node-stall", "node-stall", "core-stall"}[rng.IntN(3)], At: spec.Span(at), Share: 0.15 + 0.2*rng.Float64(),
			For: spec.Span(pauseLengths[rng.IntN(len(pauseLengths))] * float64(time.Second)), Pick: rng.pick()}
		s.Faults = append(s.Faults, pause)
		if rng.IntN(2) == 0 {
			continue
		}
		f := spec.Fault{Kind: lateInputKinds[rng.IntN(len(lateInputKinds))], At: pause.At + rng.span(0, pause.For.D().Seconds()),
			Share: 0.2 + 0.2*rng.Float64(), For: rng.span(0.1, 2), Pick: rng.pick()}
		switch f.Kind {
		case "disk-wipe":
			if wiped {
				f.Kind = "core-kill"
			}
			wiped = true
		case "node-cut", "core-cut":
			f.Shape, f.Way = "isolated", partitionDirections[rng.IntN(len(partitionDirections))]
		case "resets":
			f.By = 0.05 + 0.3*rng.Float64()
		case "burst":
			f.By = 2 + 2*rng.Float64()
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

// throttle gives the schedule's share of nodes a small share of a core, until the context ends.
func (g *gatewayRun) throttle(ctx context.Context) {
	if g.schedule.ThrottledCPU == 0 {
		return
	}
	nodes := g.deployment.Nodes
	source := spec.Fault{Pick: g.schedule.Seed | 1}
	for _, i := range spec.Hits(len(nodes), g.schedule.ThrottledShare, source.Source(nil)) {
		g.tasks.Go(func() { nodes[i].Slow(ctx, g.schedule.ThrottledCPU, g.schedule.ThrottlePeriod) })
	}
}

// faultsWithApplications plays a schedule's faults while applications call.
func (g *gatewayRun) faultsWithApplications(all context.Context) (bad []history.Violation) {
	ctx, cancel := context.WithCancel(all)
	apps := startApplications(ctx, g.deployment, g.schedule.Lockers, g.schedule.Seed)
	defer apps.close()
	defer cancel()
	throttled, enough := context.WithTimeout(all, g.schedule.For)
	defer enough()
	g.throttle(throttled)
	g.tasks.Go(func() { apps.fillBacklogs(throttled) })
	if bad = g.faults(all); all.Err() != nil {
		return bad
	}
	bad = append(bad, apps.end(all, g.machine)...)
	g.calls, g.definiteCalls = apps.counts()
	g.releaseTimes = apps.releaseTimes()
	for _, r := range apps.stop() {
		g.callTexts = append(g.callTexts, r.String())
	}
	return bad
}
