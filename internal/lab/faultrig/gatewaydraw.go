// Schedules of faults on the gateway's nodes, drawn from seeds.

package faultrig

import (
	"math/rand/v2"
	"slices"
	"time"

	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// draws is the source of a schedule. What it draws, and in which order, decides which schedule a seed gives.
type draws struct{ *rand.Rand }

// newDraws returns the source of a seed for one use.
func newDraws(seed, use uint64) draws { return draws{rand.New(rand.NewPCG(seed, use))} }

// span draws a time between two numbers of seconds.
func (d draws) span(from, to float64) spec.Span {
	return spec.Span((from + d.Float64()*(to-from)) * 1e9)
}

// pick draws the seed of what a fault hits.
func (d draws) pick() uint64 { return d.Uint64()>>1 | 1 }

// GatewaySchedule is random overlapping faults on nodes. The first three have a disk.
type GatewaySchedule struct {
	Play        *gatewaystandin.Play // nil: the small deployment
	Seed        uint64
	Nodes       int
	For         time.Duration
	Early       bool    // faults begin before the first configuration
	Close       bool    // a closing fault right after an acknowledgement: all are killed
	Wipe        bool    // and one disk is lost by it
	CancelShare float64 // share of requests whose client gives up early
	KeepNodes   bool    // clients stay with their node until they get no answer from it
	// Of backends; 0: one second.
	HeartbeatInterval time.Duration
	Lockers           int     // lockers and as many restarters, beside callers of other kinds; 0: no applications call
	ThrottledShare    float64 // share of nodes that have ThrottledCPU
	ThrottledCPU      float64 // of a core, as a quota of each ThrottlePeriod; 0: all nodes have whole cores
	ThrottlePeriod    time.Duration
	Faults            []spec.Fault
	Late              []time.Duration // when each node is started for the first time; none: all at once, and waited for
}

// wipeCalm is how long the core must have been calm before a closing fault takes a disk: what was lost has
// caught up.
const wipeCalm = 9 * time.Second

// DrawGateway draws a schedule from a seed. Only one disk is lost in it, as many as may be lost at once; the
// closing fault may take another, after the core has been calm.
func DrawGateway(seed uint64, nodes int, most int, dur time.Duration) *GatewaySchedule {
	rng := newDraws(seed, 0x805e)
	s := &GatewaySchedule{Seed: seed, Nodes: nodes, For: dur, Early: rng.IntN(4) == 0}
	if rng.IntN(3) == 0 {
		s.Close, s.Wipe = true, rng.IntN(2) == 0
	}
	wiped := false
	kinds := []string{"node-kill", "node-kill", "core-kill", "core-kill", "all-kill", "node-stall",
		"core-stall", "core-stall",
		"disk-wipe", "disk-wipe", "ack-wipe", "ack-kill", "ack-kill", "ack-stall", "node-term", "core-term",
		"crash", "drain",
		"drain", "burst",
		"node-cut", "node-cut", "core-cut", "core-cut", "ack-cut",
		"resets", "lost-answers", "garble", "slow"}
	for range 2 + rng.IntN(max(1, most-1)) {
		f := spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: spec.Span(rng.Float64() * 0.75 * float64(dur)),
			Pick: rng.pick()}
		switch f.Kind {
		case "node-kill":
			f.Share, f.For = 0.1+0.5*rng.Float64(), rng.span(0.05, 3)
		case "core-kill":
			f.Share, f.For = []float64{0.3, 0.6, 1}[rng.IntN(3)], rng.span(0.05, 3)
		case "all-kill":
			f.Share, f.For = 1, rng.span(0.05, 1)
		case "node-stall":
			f.Share, f.For = 0.1+0.4*rng.Float64(), rng.span(0.2, 5)
		case "core-stall", "ack-stall":
			f.Share, f.For = []float64{0.3, 0.3, 0.6}[rng.IntN(3)], rng.span(0.2, 5)
		case "disk-wipe", "ack-wipe":
			if wiped {
				f.Kind = "core-kill"
			}
			wiped = true
			f.Share, f.For = 0.3, rng.span(0.05, 3)
		case "ack-kill":
			f.Share, f.For = []float64{0.3, 0.6, 1}[rng.IntN(3)], rng.span(0.05, 2)
		case "node-term", "core-term":
			f.Share, f.For = 0.3, rng.span(0.5, 2)
		case "node-cut":
			f.Shape, f.Share = []string{"isolated", "isolated", "halves", "bridge", "ring"}[rng.IntN(5)], 0.2+0.4*rng.Float64()
			f.Way, f.For = partitionDirections[rng.IntN(len(partitionDirections))], rng.span(0.3, 6)
		case "core-cut", "ack-cut":
			f.Shape, f.Way = []string{"isolated", "isolated", "bridge"}[rng.IntN(3)], partitionDirections[rng.IntN(len(partitionDirections))]
			f.For = rng.span(0.3, 6)
		case "crash", "drain":
			f.Share, f.For = 0.1+0.3*rng.Float64(), rng.span(0.2, 2)
		case "burst":
			f.By, f.For = 2+2*rng.Float64(), rng.span(1, 5)
		case "resets", "lost-answers", "garble", "slow":
			f.Share, f.By, f.For = 0.1+0.4*rng.Float64(), 0.05+0.4*rng.Float64(), rng.span(0.5, 4)
		}
		s.Faults = append(s.Faults, f)
	}
	if rng.IntN(2) == 0 { // last, so that a seed's other faults are what they were without it
		s.Faults = append(s.Faults, spec.Fault{Kind: "node-reload", At: spec.Span(rng.Float64() * 0.75 * float64(dur)), Share: 0.5,
			Pick: rng.pick()})
	}
	return s
}

// Storms are troubles that overlap in time. A while after each of them, when the core has settled, one of its members stands still
// for long: what a storm has left behind shows itself there.
const (
	stormLeast, stormMost = 2, 3 // troubles of one
	stormEvery            = 18 * time.Second
	stormWithin           = 1.5 // seconds from the first of its troubles to the last
	stallAfter            = 9 * time.Second
	cancelShare           = 0.15
	lostBy                = 0.3 // of the answers of a few backends, all the time: something is at work whose client leaves
)

// DrawStorms draws a schedule of storms from a seed: in each two or three troubles strike nodes, the core or backends within a moment,
// and last into each other. Clients leave early on such days.
func DrawStorms(seed uint64, nodes int, dur time.Duration) *GatewaySchedule {
	rng := newDraws(seed, 0x5702)
	s := &GatewaySchedule{Seed: seed, Nodes: nodes, For: dur, Close: rng.IntN(3) == 0, CancelShare: cancelShare}
	kinds := []string{"node-power", "node-power", "node-power", "core-power", "core-stall", "node-stall", "node-kill",
		"core-kill", "node-cut", "core-cut", "ack-kill", "ack-stall", "ack-power", "resets", "crash", "drain", "slow"}
	s.Faults = append(s.Faults, spec.Fault{Kind: "lost-answers", For: spec.Span(dur), Share: 0.3, By: lostBy, Pick: rng.pick()})
	for at := time.Second; at < dur; at += stormEvery {
		for range stormLeast + rng.IntN(stormMost-stormLeast+1) {
			f := spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: spec.Span(at) + rng.span(0, stormWithin), For: rng.span(1, 3.5), Pick: rng.pick()}
			switch f.Kind {
			case "node-power", "node-stall", "node-kill":
				f.Share = 0.2 + 0.3*rng.Float64()
			case "core-power", "core-kill", "core-stall", "ack-kill", "ack-stall", "ack-power":
				f.Share = 0.3
			case "node-cut", "core-cut":
				f.Shape, f.Way, f.Share = "isolated", partitionDirections[rng.IntN(len(partitionDirections))], 0.3
			case "resets", "slow":
				f.Share, f.By = 0.1+0.3*rng.Float64(), 0.05+0.3*rng.Float64()
			case "crash", "drain":
				f.Share, f.For = 0.1+0.2*rng.Float64(), rng.span(0.2, 2)
			}
			s.Faults = append(s.Faults, f)
		}
		s.Faults = append(s.Faults, spec.Fault{Kind: "core-stall", At: spec.Span(at + stallAfter), For: rng.span(5.5, 7), Share: 0.3, Pick: rng.pick()})
	}
	return s
}

// Series are bursts of faults with calm times between them. A rule that binds nodes in touch can be broken only in a calm time.
const (
	seriesInterval             = 10 * time.Second // from the begin of one burst to the begin of the next
	seriesBurst                = 3 * time.Second  // from the first fault of a burst to its last
	repeatMinGap, repeatMaxGap = 0.005, 0.6       // seconds from a fault to the same fault again
	fullDiskTail               = 1 * time.Second  // for which disks are full at most when a burst is over
	seriesHeartbeatInterval    = 1500 * time.Millisecond
	// A burst has minBurstFaults to maxBurstFaults faults, without the departures at its end.
	minBurstFaults, maxBurstFaults = 2, 4
)

// seriesKinds are the faults of a series.
var seriesKinds = []string{"leave", "node-term", "core-term", "lead-term", "node-reload", "node-kill", "core-kill", "lead-kill", "all-kill",
	"node-stall", "core-stall", "drain", "crash"}

// DrawSeries draws a schedule of signals, restarts and departures that come in bursts and overlap. Clients stay with a node until its process
// is gone. Each burst ends with backends that deregister without draining. In two of three bursts, all processes are killed right after a
// departure was acknowledged. A third of the faults come twice in a row. In half of the bursts, disks are full when the backends deregister.
func DrawSeries(seed uint64, nodes int, dur time.Duration) *GatewaySchedule {
	rng, diskRNG := newDraws(seed, 0x5e21), newDraws(seed, 0xd15c)
	s := &GatewaySchedule{Seed: seed, Nodes: nodes, For: dur, Close: rng.IntN(2) == 0, KeepNodes: true, HeartbeatInterval: seriesHeartbeatInterval}
	for at := time.Second; at+seriesBurst < dur; at += seriesInterval {
		for range minBurstFaults + rng.IntN(maxBurstFaults-minBurstFaults+1) {
			s.addToSeries(rng, seriesKinds[rng.IntN(len(seriesKinds))], at+time.Duration(rng.Int64N(int64(seriesBurst))))
		}
		s.addToSeries(rng, "leave", at+seriesBurst)
		if rng.IntN(3) > 0 {
			s.addToSeries(rng, "leave-kill", at+seriesBurst)
		}
		if diskRNG.IntN(2) == 0 {
			s.addFullDisks(diskRNG, at)
		}
	}
	return s
}

// addFullDisks adds disks that are full during a part of a burst: one of three disks, or two, or all. With one full disk, departures must
// still be acknowledged. With more, none may be acknowledged that a kill of all processes would make the nodes forget.
func (g *GatewaySchedule) addFullDisks(rng draws, burst time.Duration) {
	begin := time.Duration(rng.Int64N(int64(seriesBurst)))
	end := seriesBurst + time.Duration(rng.Int64N(int64(fullDiskTail)))
	g.Faults = append(g.Faults, spec.Fault{Kind: "disk-full", At: spec.Span(burst + begin), For: spec.Span(end - begin),
		Share: []float64{0.3, 0.3, 0.6, 1}[rng.IntN(4)], Pick: rng.pick()})
}

// addToSeries adds a fault of a kind, and in a third of the cases the same fault once more a moment later.
func (g *GatewaySchedule) addToSeries(rng draws, kind string, at time.Duration) {
	f := spec.Fault{Kind: kind, At: spec.Span(at), Pick: rng.pick()}
	switch kind {
	case "leave":
		f.Share = []float64{0.1, 0.2, 0.3, 1}[rng.IntN(4)]
	case "leave-kill", "all-kill":
		f.For = rng.span(0.05, 1)
	case "drain", "crash":
		f.Share, f.For = 0.1+0.2*rng.Float64(), rng.span(0.2, 2)
	default:
		f.Share, f.For = 0.1+0.4*rng.Float64(), rng.span(0.05, 1.5)
	}
	g.Faults = append(g.Faults, f)
	if rng.IntN(3) == 0 {
		f.At += rng.span(repeatMinGap, repeatMaxGap)
		f.Pick = rng.pick()
		g.Faults = append(g.Faults, f)
	}
}

// partitionDirections of a cut: one of them in is of a node that hears nobody, out of one that nobody hears.
var partitionDirections = []string{"both", "in", "out"}

// needsDebugBuild tells whether any fault parts nodes or takes their power, which only debug builds can play.
func (g *GatewaySchedule) needsDebugBuild() bool {
	return slices.ContainsFunc(g.Faults, func(f spec.Fault) bool { return f.Has(spec.PartitionNodes, spec.PowerOffNodes) })
}

// DrawFounding draws a schedule of the first start of all: nodes start up to some seconds apart, and are killed and
// stand still while the core is founded. No disk is lost.
func DrawFounding(seed uint64, nodes int, most int, dur time.Duration) *GatewaySchedule {
	rng := newDraws(seed, 0xf0d)
	s := &GatewaySchedule{Seed: seed, Nodes: nodes, For: dur, Early: true}
	apart := []float64{0, 0.3, 2, 6}[rng.IntN(4)]
	for range nodes {
		s.Late = append(s.Late, rng.span(0, apart).D())
	}
	kinds := []string{"node-kill", "core-kill", "core-kill", "all-kill", "core-stall", "core-stall", "node-stall"}
	for range rng.IntN(max(1, most)) {
		s.Faults = append(s.Faults, spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: rng.span(0, apart+1.5), For: rng.span(0.05, 4),
			Share: []float64{0.3, 0.6, 1}[rng.IntN(3)], Pick: rng.pick()})
	}
	return s
}
