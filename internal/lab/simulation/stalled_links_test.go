package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/spec"
)

// stalledLinkDay has a core node that nobody hears for 15 s. When it is heard again, its peers' connections to it carry nothing until
// their next retransmission, ten seconds later, and another core node is cut off meanwhile.
func stalledLinkDay(seed uint64) *Day {
	unheard := spec.Fault{Kind: "core-part", At: spec.Span(time.Second), For: spec.Span(15 * time.Second), Share: 0.1, By: 1, Way: "mute", Pick: 7}
	leader := spec.Fault{Kind: "core-part", At: spec.Span(18 * time.Second), For: spec.Span(8 * time.Second), Share: 0.1, By: 0, Way: "both", Pick: 8}
	return &Day{Site: Site{Nodes: 6, Disks: 3}, Seed: seed, For: 28 * time.Second, Faults: []spec.Fault{unheard, leader}}
}

// Guards against a core node that stays behind after a cut in one direction, because its peers go on writing to connections that
// carry nothing. A peer that dials again shows that its connection was broken, and the link to it is replaced.
func TestStalledLinksAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := Play(stalledLinkDay(seed + 1))
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed+1, b)
		}
		must.EqOp(t, 0, r.StaleInContact, must.Sprint("seed ", seed+1))
	}
}

// Days of overlapping cuts keep all rules. Those of the first two seeds break CONFIG if stalled links are kept. On the day of the third a node
// with a disk is cut off at the first start, when it alone has a slot: it breaks PARTED if that node acknowledges a departure by itself.
func TestOverlappingCuts(t *testing.T) {
	t.Parallel()
	site := Site{Nodes: 6, Disks: 3}
	for _, seed := range []uint64{16, 57, 333, 1} {
		day := DrawOverlappingCuts(site, seed, 30*time.Second)
		must.Eq(t, day, DrawOverlappingCuts(site, seed, 30*time.Second))
		r := Play(day)
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		must.Greater(t, 2, r.AcceptedConfigs, must.Sprint("seed ", seed))
	}
}

// The same day breaks CONFIG if such links are kept, and the nodes count it themselves.
func TestKeptStalledLinksAreFound(t *testing.T) {
	t.Parallel()
	found, staleInContact := map[string]int{}, uint64(0)
	for seed := range uint64(4) {
		day := stalledLinkDay(seed + 1)
		day.Site = day.Site.Usual()
		world := newWorld(day)
		world.planted = keepsStalledLinks
		result := &Result{Day: day}
		world.run(result)
		for _, b := range result.Broken {
			found[b.Rule]++
		}
		staleInContact += result.StaleInContact
	}
	must.MapContainsKey(t, found, "CONFIG")
	must.Positive(t, staleInContact)
}

func TestRetransmission(t *testing.T) {
	var r retransmission
	must.EqOp(t, time.Second, r.resumesAt(time.Second))
	for now := time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
		r.unacknowledged(now)
	}
	// Repetitions come 0.2, 0.6, 1.4 and 3.0 s after the first segment.
	must.EqOp(t, 4*time.Second, r.resumesAt(3950*time.Millisecond))
	must.EqOp(t, 4*time.Second, r.resumesAt(4*time.Second))
	must.EqOp(t, 5*time.Second, r.resumesAt(5*time.Second))
}
