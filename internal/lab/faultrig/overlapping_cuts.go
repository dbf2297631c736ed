package faultrig

import (
	"time"

	"clovergap/internal/lab/spec"
)

const (
	minOverlappingCuts, maxOverlappingCuts = 2, 4
	minCutSeconds, maxCutSeconds           = 5, 16
	// maxCutShiftSeconds is how long before or after the end of one cut the next begins at most.
	maxCutShiftSeconds = 3
	// maxFaultsBesideCuts come while nodes are cut off.
	maxFaultsBesideCuts = 3
)

// overlappingCutWays are the directions of overlapping cuts. A node that nobody hears ("out") leaves connections to it stalled.
var overlappingCutWays = []string{"out", "out", "out", "in", "both"}

// kindsBesideCuts are the faults that come while nodes are cut off.
var kindsBesideCuts = []string{"drain", "leave", "node-kill", "node-term", "core-stall", "ack-stall"}

// DrawOverlappingCuts draws a schedule on which nodes with a disk are cut off from each other, mostly in one direction. The next cut begins about when
// one ends, and hits another node. Connections that got no acknowledgement in a cut deliver nothing until their next retransmission, which may be as long after the cut as the
// cut was long.
func DrawOverlappingCuts(seed uint64, nodes int, dur time.Duration) *GatewaySchedule {
	rng := newDraws(seed, 0x0ca7)
	s := &GatewaySchedule{Seed: seed, Nodes: nodes, For: dur}
	at, last := rng.span(1, maxCutShiftSeconds), -1
	for range minOverlappingCuts + rng.IntN(maxOverlappingCuts-minOverlappingCuts+1) {
		cut := spec.Fault{Kind: "core-cut", At: at, For: rng.span(minCutSeconds, maxCutSeconds), Shape: "isolated",
			Way: overlappingCutWays[rng.IntN(len(overlappingCutWays))], Pick: rng.pick()}
		for isolatedNode(&cut) == last {
			cut.Pick = rng.pick()
		}
		last = isolatedNode(&cut)
		s.Faults = append(s.Faults, cut)
		at = max(0, cut.At+cut.For+rng.span(-maxCutShiftSeconds, maxCutShiftSeconds))
	}
	for range rng.IntN(maxFaultsBesideCuts + 1) {
		s.Faults = append(s.Faults, spec.Fault{Kind: kindsBesideCuts[rng.IntN(len(kindsBesideCuts))], At: rng.span(0, dur.Seconds()),
			For: rng.span(0.5, 2), Share: 0.3, Pick: rng.pick()})
	}
	return s
}

// isolatedNode returns which node with a disk a cut isolates from the others, in any direction.
func isolatedNode(cut *spec.Fault) int {
	parted := cut.Pairs(Disks, nil, cut.Source(nil))
	for node := range Disks {
		next, other := (node+1)%Disks, (node+2)%Disks
		if (parted(node, next) || parted(next, node)) && (parted(node, other) || parted(other, node)) {
			return node
		}
	}
	return -1
}
