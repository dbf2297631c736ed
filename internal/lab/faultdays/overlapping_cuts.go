package faultdays

import (
	"fmt"
	"math/rand/v2"
)

const (
	overlappingCutsLength                  = 36.0 // seconds
	minOverlappingCuts, maxOverlappingCuts = 2, 4
	minCutSeconds, maxCutSeconds           = 5, 17
	// maxCutShiftSeconds is how long before or after the end of one cut the next begins at most.
	maxCutShiftSeconds = 4
	maxOtherFaults     = 3
	maxOtherPlans      = 3
	calmSeconds        = 8.0 // before the end, where no plan begins
)

// DrawOverlappingCuts draws a day on which members of the core are cut off one after the other, mostly in one direction, each about when the cut before
// ends, while the configuration changes about each second.
func DrawOverlappingCuts(s *Site, seed uint64) *Day {
	d := &drawer{Rand: rand.New(rand.NewPCG(seed, 0x0ca7)), site: s}
	day := &Day{Name: fmt.Sprintf("cuts-%d", seed), Seed: 1 + d.Uint64N(1<<28), Length: overlappingCutsLength}
	for at, cuts := d.span(1, 8), minOverlappingCuts+d.IntN(maxOverlappingCuts-minOverlappingCuts+1); cuts > 0; cuts-- {
		cut := Fault{Kind: "core_cut", Start: toHundredths(at), Count: 1, For: d.span(minCutSeconds, maxCutSeconds),
			How: d.how(which, "one_way|one_way|one_way|both", meets, drain)}
		day.Faults = append(day.Faults, cut)
		at = max(1, at+cut.For+d.span(-maxCutShiftSeconds, maxCutShiftSeconds))
	}
	day.Faults = append(day.Faults, d.some(maxOtherFaults, overlappingCutsLength-calmSeconds, func(of sort) bool { return of != ofPlan })...)
	day.Plan = d.some(maxOtherPlans, overlappingCutsLength-calmSeconds, func(of sort) bool { return of == ofPlan })
	for at := d.span(1, 3); at < overlappingCutsLength; at += d.span(changeLeast, changeMost) {
		change := table["config_change"].draw(d)
		change.Kind, change.Start = "config_change", toHundredths(at)
		day.Plan = append(day.Plan, change)
	}
	day.close(d)
	return day
}

// some draws up to most entries of the kinds that the site lists and whose sort is wanted, at times from 1 s to last.
func (d *drawer) some(most int, last float64, wanted func(sort) bool) (all []Fault) {
	var kinds []string
	for _, name := range d.site.kinds() {
		if wanted(table[name].sort) {
			kinds = append(kinds, name)
		}
	}
	for n := d.IntN(most + 1); n > 0 && len(kinds) > 0; n-- {
		name := kinds[d.IntN(len(kinds))]
		entry := table[name].draw(d)
		entry.Kind, entry.Start = name, toHundredths(d.span(1, last))
		all = append(all, entry)
	}
	return all
}
