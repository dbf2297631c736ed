package simulation

import (
	"time"

	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// drawHot draws a day on which a metered tenant sends many times its usual, and nodes are cut off from each other about then:
// any number of them, so that the owner of the tenant's bucket stands on the small side as often as on the large one;
// again soon after, or one way, or while nodes start again.
func drawHot(site Site, seed uint64, most int, dur time.Duration) *Day {
	rng := source(seed, 0x407)
	d := &Day{Site: site.Usual(), Seed: seed, For: dur}
	seconds := func(from, to float64) spec.Span { return spec.Span((from + rng.Float64()*(to-from)) * 1e9) }
	add := func(kind string, at, dur spec.Span, share float64) {
		d.Faults = append(d.Faults, spec.Fault{Kind: kind, At: max(at, 0), For: dur, Share: share, By: rng.Float64(),
			Pick: rng.Uint64()>>1 | 1, Way: []string{"both", "both", "both", "in", "out"}[rng.IntN(5)]})
	}
	some := func() float64 { return (float64(rng.IntN(d.Nodes)) + 0.5) / float64(d.Nodes) }
	for len(d.Faults) < most {
		rush := seconds(0, 0.8*dur.Seconds())
		add("hot", rush, seconds(1, 7), 0)
		at, lasts := rush+seconds(-3, 1.5), seconds(0.2, 8)
		add([]string{"node-cut", "node-cut", "node-cut", "core-cut", "zone-cut"}[rng.IntN(5)], at, lasts, some())
		switch rng.IntN(5) {
		case 0: // again, within the window
			add("node-cut", at+lasts+seconds(0, 2), seconds(0.2, 5), some())
		case 1:
			add([]string{"node-kill", "core-kill", "all-kill"}[rng.IntN(3)], at+seconds(-1, 3), seconds(0.1, 3), some())
		case 2:
			add("node-stall", at+seconds(-1, 3), seconds(0.3, 6), some())
		case 3:
			add("loss", at+seconds(-1, 1), seconds(1, 6), 0)
		}
	}
	return d
}

// rush is a tenant that sends more than usual.
type rush struct {
	tenant, key string
	factor      float64 // as much as all others, times this
}

// rushOf is the tenant of a fault that lets one rush.
func (w *world) rushOf(f *spec.Fault) *rush {
	var all []*rush
	for _, t := range gatewaystandin.First().Tenants {
		if t.RatePerS > 0 {
			all = append(all, &rush{t.Name, t.ApiKeys[0], 0.5 + 3*f.By})
		}
	}
	return all[f.Pick%uint64(len(all))]
}

// applyRushes makes some requests those of a tenant that rushes.
func (c *clients) applyRushes(want gatewaystandin.Request) gatewaystandin.Request {
	for _, r := range c.rushes {
		if want.Tenant != "" && c.rng.Float64() < r.factor/(1+r.factor) {
			want.Tenant, want.Key = r.tenant, r.key
		}
	}
	return want
}
