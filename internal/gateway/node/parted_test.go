package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/node"
	"clovergap/internal/lab/simulation"
	"clovergap/internal/lab/spec"
)

// Each defence of a node without word of a majority is missed by a simulated day, in which a core node is cut off for twenty seconds
// while nodes without a disk stand still. See simulation.TestPartedForTwentySeconds, where all hold.
func TestPartitionedNodesNeedTheirDefences(t *testing.T) {
	play := func(seed uint64) *simulation.Result {
		span := func(s float64) spec.Span { return spec.Span(s * float64(time.Second)) }
		return simulation.Play(&simulation.Day{Site: simulation.Site{Nodes: 7, Disks: 3}, Seed: seed, For: 24 * time.Second, Faults: []spec.Fault{
			{Kind: "core-part", At: span(1), For: span(20), Share: 0.1, By: 0, Way: "both", Pick: 7},
			{Kind: "node-stall", At: span(3), For: span(3), Share: 0.3, Pick: seed*8 + 3},
			{Kind: "node-stall", At: span(12), For: span(2), Share: 0.3, Pick: seed*8 + 5}}})
	}
	defer node.Plant(node.Sound)
	for seed := range uint64(2) {
		must.SliceEmpty(t, play(seed+1).Broken)
	}
	for name, f := range node.Faults {
		node.Plant(f)
		found, began := "", time.Now()
		for seed := uint64(1); seed <= 8 && found == ""; seed++ {
			if r := play(seed); len(r.Broken) > 0 {
				found = r.Broken[0].String()
			}
		}
		t.Logf("%s: %s, %s", name, time.Since(began).Round(time.Millisecond), found)
		must.NotEq(t, "", found, must.Sprint(name))
	}
}
