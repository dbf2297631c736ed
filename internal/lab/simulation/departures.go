package simulation

import (
	"math/rand/v2"
	"time"

	"clovergap/internal/lab/spec"
)

// A day of departures has bursts of faults with calm times between them: what has departed before a burst is over must get no requests in the
// calm time after it.
const (
	departuresInterval = 10 * time.Second // from the begin of one burst to the begin of the next
	departuresBurst    = 2 * time.Second  // from the first fault of a burst to its last
	maxLossDelay       = 300 * time.Millisecond
	diskFaultTail      = 500 * time.Millisecond // for which disks have a fault at most when a burst is over
	maxOutage          = 1.2                    // seconds for which a loss lasts at most
)

// departureKinds are the faults that overlap with departures.
var departureKinds = []string{"node-term", "core-term", "node-kill", "core-kill", "core-power", "all-kill", "node-stall", "core-stall", "sync-kill",
	"sync-power", "node-cut", "core-cut", "disk-slow", "disk-hang", "disk-full", "disk-full", "drain", "crash"}

// allLosses end all processes at once, right after a backend's leave was acknowledged.
var allLosses = []string{"leave-kill", "leave-power"}

// diskFaults keep departures from being stored. In half of the bursts one of them strikes one, two or all of three disks while backends
// deregister.
var diskFaults = []string{"disk-full", "disk-hang", "disk-slow"}

// DrawDepartures draws a day from its seed on which backends deregister without draining, while nodes and disks have faults, and all processes
// are lost up to 300 ms after the acknowledgement, in a third of the cases twice in a row.
func DrawDepartures(site Site, seed uint64, dur time.Duration) *Day {
	rng := source(seed, 0x1eaf)
	d := &Day{Site: site.Usual(), Seed: seed, For: dur}
	for at := 500 * time.Millisecond; at+departuresBurst < dur; at += departuresInterval {
		for range rng.IntN(4) {
			d.addDeparturesFault(rng, departureKinds[rng.IntN(len(departureKinds))], at+time.Duration(rng.Int64N(int64(departuresBurst))))
		}
		if rng.IntN(2) == 0 {
			d.addDiskFault(rng, at)
		}
		d.addDeparturesFault(rng, "leave", at+departuresBurst)
		if rng.IntN(4) > 0 {
			d.addDeparturesFault(rng, allLosses[rng.IntN(len(allLosses))], at+departuresBurst)
		}
	}
	return d
}

// addDiskFault adds a fault of disks that lasts until a burst is over, or a little longer.
func (d *Day) addDiskFault(rng *rand.Rand, burst time.Duration) {
	begin := time.Duration(rng.Int64N(int64(departuresBurst)))
	end := departuresBurst + time.Duration(rng.Int64N(int64(diskFaultTail)))
	d.Faults = append(d.Faults, spec.Fault{Kind: diskFaults[rng.IntN(len(diskFaults))], At: spec.Span(burst + begin), For: spec.Span(end - begin),
		Share: []float64{0.3, 0.6, 1}[rng.IntN(3)], By: rng.Float64(), Pick: rng.Uint64()>>1 | 1})
}

// addDeparturesFault adds a fault of a kind, and in a third of the cases the same fault once more a moment later.
func (d *Day) addDeparturesFault(rng *rand.Rand, kind string, at time.Duration) {
	f := spec.Fault{Kind: kind, At: spec.Span(at), For: spec.Span((0.05 + rng.Float64()*(maxOutage-0.05)) * 1e9), Way: "both",
		Share: []float64{0.1, 0.3, 0.3, 0.6, 1}[rng.IntN(5)], By: rng.Float64(), Pick: rng.Uint64()>>1 | 1}
	if f.Moment() == spec.Deregistered && rng.IntN(2) == 0 {
		f.Delay = spec.Span(rng.Int64N(int64(maxLossDelay)))
	}
	d.Faults = append(d.Faults, f)
	if rng.IntN(3) == 0 {
		f.At += spec.Span(rng.Int64N(int64(maxLossDelay)))
		f.Pick = rng.Uint64()>>1 | 1
		d.Faults = append(d.Faults, f)
	}
}
