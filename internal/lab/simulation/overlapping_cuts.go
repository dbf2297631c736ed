package simulation

import (
	"math/rand/v2"
	"time"

	"clovergap/internal/lab/spec"
)

const (
	maxOverlappingCuts = 4
	minCut             = 3 * time.Second
	maxCut             = 17 * time.Second
	// maxCutShift is how long before or after the end of one cut the next begins at most.
	maxCutShift = 4 * time.Second
)

// cutWays are the ways of cuts. A node that is "mute" is heard by nobody, and connections to it last.
var cutWays = []string{"in", "out", "mute", "mute", "both"}

// kindsBesideCuts are the faults that come while core nodes are cut off.
var kindsBesideCuts = []string{"drain", "leave", "node-kill", "node-term", "core-stall", "ack-stall", "view-stall"}

// DrawOverlappingCuts draws a day from its seed on which core nodes are cut off from each other, mostly in one direction. The next cut
// begins about when one ends. Connections that have got no acknowledgement for long stall, and carry nothing for as long again when a cut is over.
func DrawOverlappingCuts(site Site, seed uint64, dur time.Duration) *Day {
	rng := source(seed, 0x0ca7)
	d := &Day{Site: site.Usual(), Seed: seed, For: dur}
	at := time.Duration(rng.Int64N(int64(maxCutShift)))
	for range 2 + rng.IntN(maxOverlappingCuts-1) {
		cut := drawCut(rng, at)
		d.Faults = append(d.Faults, cut)
		at = max(0, at+cut.For.D()+time.Duration(rng.Int64N(int64(2*maxCutShift)))-maxCutShift)
	}
	for range rng.IntN(4) {
		d.Faults = append(d.Faults, spec.Fault{Kind: kindsBesideCuts[rng.IntN(len(kindsBesideCuts))], At: spec.Span(rng.Float64() * float64(dur)),
			For: spec.Span(time.Second), Share: 0.3, By: rng.Float64(), Way: "both", Pick: rng.Uint64()>>1 | 1})
	}
	return d
}

// drawCut draws a cut of one core node that begins at a time.
func drawCut(rng *rand.Rand, at time.Duration) spec.Fault {
	return spec.Fault{Kind: "core-part", At: spec.Span(at), For: spec.Span(minCut + time.Duration(rng.Int64N(int64(maxCut-minCut)))),
		Share: 0.1, By: rng.Float64(), Way: cutWays[rng.IntN(len(cutWays))], Pick: rng.Uint64()>>1 | 1}
}
