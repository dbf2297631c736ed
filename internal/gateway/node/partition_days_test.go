package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/node"
	"clovergap/internal/lab/simulation"
	"clovergap/internal/lab/spec"
)

// Each defence of a node without contact with a majority is missed by a simulated day, in which a member is partitioned for twenty seconds
// while learners are paused. See simulation.TestPartedForTwentySeconds, where all hold.
func TestPartitionedNodesNeedTheirDefences(t *testing.T) {
	play := func(seed uint64) *simulation.Result {
		span := func(s float64) spec.Span { return spec.Span(s * float64(time.Second)) }
		return simulation.Play(&simulation.Day{Site: simulation.Site{Nodes: 7, Disks: 3}, Seed: seed, For: 24 * time.Second, Faults: []spec.Fault{
			{Kind: "core-part", At: span(1), For: span(20), Share: 0.1, By: 0, Way: "both", Pick: 7},
			{Kind: "node-stall", At: span(3), For: span(3), Share: 0.3, Pick: seed*8 + 3},
			{Kind: "node-stall", At: span(12), For: span(2), Share: 0.3, Pick: seed*8 + 5}}})
	}
	defer node.SetKnobs(node.TestingKnobs{})
	for seed := range uint64(2) {
		must.SliceEmpty(t, play(seed+1).Broken)
	}
	for name, knobs := range node.MissedDefences {
		node.SetKnobs(knobs)
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

// A member that receives from the leader, while no other member receives from it, learns of no drain, and its learners learn it from no other
// node: had it gone by that it knows a leader, they would send requests to backends that have drained long ago. It was so on the drawn
// day 22 of the auctions: see docs/incidents/rau-subastas-22.md.
func TestDrainsWhileOneIsNotHeard(t *testing.T) {
	play := func(seed uint64) *simulation.Result {
		span := func(s float64) spec.Span { return spec.Span(s * float64(time.Second)) }
		faults := []spec.Fault{{Kind: "core-part", At: span(1), For: span(20), Share: 0.1, By: 1, Way: "mute", Pick: seed}}
		for n := range uint64(5) {
			faults = append(faults, spec.Fault{Kind: "drain", At: span(5.1 + 3*float64(n)), For: span(1), Share: 0.2, Pick: seed + n})
		}
		return simulation.Play(&simulation.Day{Site: simulation.Site{Nodes: 12, Disks: 3}, Seed: seed, For: 24 * time.Second, Faults: faults})
	}
	defer node.SetKnobs(node.TestingKnobs{})
	for seed := range uint64(6) {
		must.SliceEmpty(t, play(seed+1).Broken, must.Sprint("seed ", seed+1))
	}
	node.SetKnobs(node.TrustHeardLeader)
	found := map[string]int{}
	for seed := range uint64(6) {
		for _, b := range play(seed + 1).Broken {
			found[b.Rule]++
		}
	}
	t.Log("without the defence: ", found)
	must.Greater(t, 0, found["DRAIN"])
}
