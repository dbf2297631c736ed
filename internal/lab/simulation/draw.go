package simulation

import (
	"time"

	"clovergap/internal/lab/spec"
)

// Draw draws a day's faults from its seed, biased to moments that matter: right after an acknowledgement, while a disk writes,
// while a view changes, right after a drain was acknowledged. One disk at the most is lost by them, none in days that
// begin with the first start; the closing fault may take another, after the core has been calm.
func Draw(site Site, seed uint64, most int, dur time.Duration) *Day {
	if site.Hot {
		return drawHot(site, seed, most, dur)
	}
	rng := source(seed, 0x5ced)
	if site.Beat == 0 {
		site.Beat = []time.Duration{time.Second, time.Second, 3 * time.Second}[rng.IntN(3)]
	}
	hot := site.Rate == 0 && rng.IntN(4) == 0
	d := &Day{Site: site.Usual(), Seed: seed, For: dur}
	if hot { // so that quotas, budgets and backends are pressed
		d.Rate *= 4
	}
	d.Early = rng.IntN(4) == 0
	if rng.IntN(3) == 0 {
		d.Closing, d.Wipe = true, rng.IntN(2) == 0 && d.Tolerates() > 0
	}
	seconds := func(from, to float64) spec.Span { return spec.Span((from + rng.Float64()*(to-from)) * 1e9) }
	wiped := d.Tolerates() == 0 || d.Early // a core founded by too few has none to lose: see docs/simulation.md
	for range 1 + rng.IntN(max(1, most)) {
		f := spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: spec.Span(rng.Float64() * 0.8 * float64(dur)), Pick: rng.Uint64()>>1 | 1,
			Share: []float64{0.1, 0.3, 0.3, 0.6, 1}[rng.IntN(5)], For: seconds(0.05, 4), By: rng.Float64(),
			Way: []string{"both", "both", "in", "out"}[rng.IntN(4)]}
		switch {
		case f.Has(spec.WipeNodes):
			if wiped {
				f.Kind = "core-kill"
			}
			wiped, f.Share = true, 0.01
		case f.Has(spec.StallNodes, spec.DrainBackends, spec.CrashBackends, spec.TerminateNodes):
			f.Share = min(f.Share, 0.6)
		case f.Has(spec.FailBackends):
			f.For = seconds(1, 8)
		case f.Has(spec.PartitionLeader):
			f.For = seconds(15, 22)
		case f.Has(spec.SlowDisks, spec.HangDisks, spec.FillDisks):
			f.Share = min(f.Share, 0.6)
		}
		if d.Early && rng.IntN(2) == 0 { // while the core is founded
			f.At, f.For = seconds(0, 1.5), seconds(0.5, 8)
		}
		d.Faults = append(d.Faults, f)
	}
	drawResets(d, dur)
	return d
}

// kinds of faults; those that matter more stand more often.
var kinds = []string{"node-kill", "core-kill", "all-kill", "core-power", "ack-kill", "ack-kill", "ack-power", "sync-kill", "sync-power",
	"view-kill", "view-stall", "drain-kill", "drain-kill", "node-stall", "core-stall", "ack-stall", "disk-wipe", "ack-wipe", "node-term",
	"core-term", "node-cut", "core-cut", "core-cut", "core-part", "ack-cut", "drain-cut", "zone-cut", "loss", "disk-slow", "disk-hang", "disk-full",
	"crash", "drain", "drain", "drain", "burst", "resets", "lost-answers", "slow", "failing"}
