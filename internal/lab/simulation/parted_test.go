package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/spec"
)

// A core node is cut off from the others for twenty seconds, the one that leads or another, both ways or one way: it confirms,
// refuses and tells nothing, acknowledges no end, is not ready, and sends callers on at once; all rules hold, and orders find their
// answer at the next node.
func TestPartedForTwentySeconds(t *testing.T) {
	t.Parallel()
	var all PartitionTimes
	for n, way := range []string{"both", "in", "out", "mute"} {
		for who, by := range map[string]float64{"who leads": 0, "another": 1} {
			d := &Day{Site: Site{Nodes: 7, Disks: 3}, Seed: uint64(100 + n), For: 24 * time.Second, Faults: []spec.Fault{
				{Kind: "core-part", At: spec.Span(time.Second), For: spec.Span(20 * time.Second), Share: 0.1, By: by, Way: way, Pick: 7}}}
			r := Play(d)
			for _, b := range r.Broken {
				t.Errorf("%s, %s: %s", who, way, b)
			}
			must.Greater(t, 9, len(r.Partitioned.Core), must.Sprint(who, way))
			all.Core, all.Follower = append(all.Core, r.Partitioned.Core...), append(all.Follower, r.Partitioned.Follower...)
		}
	}
	for name, took := range map[string][]time.Duration{"the node itself": all.Core, "who followed it": all.Follower} {
		slices.Sort(took)
		must.NotEq(t, 0, len(took), must.Sprint(name))
		t.Logf("an order to %s until its clear answer: %d, median %s, 99 in 100 %s, worst %s", name, len(took),
			took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
	}
}

// A backend that leaves is acknowledged far within its second: at once in calm, and where copies at other nodes with a disk are waited for
// while one of them is cut off or has just lost its power, after half a second at the worst at the node that is asked, or at the next one. Ten
// seeds each, as the share of those that are asked late changes much from seed to seed. What a backend waits for a machine that has no power is
// taken off: one in seven asks that machine first, and waits its own second before it asks the next node.
func TestEndsAreAcknowledgedSoon(t *testing.T) {
	t.Parallel()
	span := func(s float64) spec.Span { return spec.Span(s * float64(time.Second)) }
	drains := func(with ...spec.Fault) (ends []time.Duration, atDark int) {
		for seed := range uint64(10) {
			faults := slices.Clone(with)
			for n := range uint64(12) {
				faults = append(faults, spec.Fault{Kind: "drain", At: span(1.05 + float64(n)*0.7), For: span(0.5), Share: 0.1, Pick: 12*seed + n})
			}
			for i := range with {
				faults[i].Pick = seed
			}
			for _, e := range Play(&Day{Site: Site{Nodes: 12, Disks: 3}, Seed: seed + 1, For: 16 * time.Second, Faults: faults}).DrainResults {
				ends = append(ends, e.Latency-e.UnpoweredTime)
				if e.UnpoweredTime > 0 {
					atDark++
				}
			}
		}
		slices.Sort(ends)
		return ends, atDark
	}
	for name, with := range map[string][]spec.Fault{
		"calm":         nil,
		"cut one way":  {{Kind: "core-part", At: span(1), For: span(9), Share: 0.1, By: 1, Way: "mute"}},
		"cut":          {{Kind: "core-part", At: span(1), For: span(9), Share: 0.1, By: 0, Way: "both"}},
		"a power loss": {{Kind: "core-power", At: span(1), For: span(3), Share: 0.1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ends, atDark := drains(with...)
			at := func(share float64) time.Duration { return ends[int(share*float64(len(ends)-1))] }
			t.Logf("%s: %d ends, %d at a machine without power; acknowledged after %v in the median, %v of 9 in 10, %v at worst", name, len(ends),
				atDark, at(0.5), at(0.9), at(1))
			must.Greater(t, 60, len(ends), must.Sprint(name))
			must.LessEq(t, len(ends)/5, atDark, must.Sprint(name))
			if with == nil {
				must.Less(t, 50*time.Millisecond, at(1))
			}
			must.Less(t, 900*time.Millisecond, at(0.9), must.Sprint(name))
		})
	}
}
