package faultdays

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// Figures of long days: troubles at any hour, some of them several at once, and a change every second or so.
const (
	quietLeast, quietMost   = 2.0, 9.0 // seconds from one trouble, or storm, to the next
	changeLeast, changeMost = 0.3, 1.8
	planLeast, planMost     = 6.0, 16.0
	stormOneIn, stormSize   = 3, 2 // one trouble in so many comes with one or two others
	stormWithin             = 1.5  // seconds
	endCalm                 = 8.0  // before the end none begins
)

// more are the rows of long days beside those of the table, or in the place of one there: troubles that strike machines without a disk as
// well, and those that a site does not list and that may come all the same.
var more = map[string]kind{
	"node_kill": {ofControl, func(d *drawer) Fault {
		if d.IntN(2) == 0 {
			return Fault{Share: d.span(0.08, 0.4), For: d.span(0.3, 5), How: d.how("power|power|")}
		}
		return table["node_kill"].draw(d)
	}},
	"node_freeze": {ofControl, func(d *drawer) Fault {
		if d.IntN(3) == 0 {
			return Fault{Share: d.span(0.08, 0.3), For: d.span(0.5, 6)}
		}
		return Fault{Target: "core", Count: d.counted(), For: d.span(3, 8), How: d.how(which+"turn", meets, drain)}
	}},
	"node_slow": {ofControl, func(d *drawer) Fault {
		return Fault{Share: d.span(0.08, 0.3), Strength: d.span(2, 6), For: d.span(2, 8)}
	}},
	"disk_slow":    {ofControl, func(d *drawer) Fault { return Fault{Count: d.counted(), Strength: d.span(5, 40), For: d.span(2, 10)} }},
	"disk_stall":   {ofControl, func(d *drawer) Fault { return Fault{Count: d.counted(), For: d.span(1, 8)} }},
	"replace_core": {ofControl, func(d *drawer) Fault { return Fault{Strength: d.span(0.5, 2), How: d.how("|oldest|planned")} }},
	"ack_lost":     {ofControl, func(d *drawer) Fault { return Fault{Strength: d.span(0.2, 0.8), For: d.span(2, 10)} }},
	"hup":          {ofPlan, func(d *drawer) Fault { return Fault{Share: d.span(0.2, 1), Gap: d.span(0.5, 3)} }},
	"give_up": {ofService, func(d *drawer) Fault {
		return Fault{Share: d.span(0.1, 0.8), Strength: d.span(60, 500), For: d.span(5, 25)}
	}},
}

// rowOf is a kind's row on long days.
func rowOf(name string) (kind, bool) {
	if row, ok := more[name]; ok {
		return row, true
	}
	row, ok := table[name]
	return row, ok
}

// DrawLong draws a day of a length in seconds, of the kinds that the site lists and of others, by name.
func DrawLong(s *Site, seed uint64, length float64, others []string) (*Day, error) {
	d := &drawer{Rand: rand.New(rand.NewPCG(seed, 0x1046)), site: s}
	day := &Day{Name: fmt.Sprintf("long-%d", seed), Seed: 1 + d.Uint64N(1<<28), Length: length}
	known := map[string]bool{}
	for _, t := range s.Faults {
		known[t.Kind] = true
	}
	for _, name := range others {
		if _, ok := rowOf(name); !ok {
			return nil, fmt.Errorf("no such kind of trouble: %s", name)
		}
		known[name] = true
	}
	var plans, faults []string
	for _, name := range slices.Sorted(maps.Keys(known)) {
		switch row, ok := rowOf(name); {
		case !ok:
		case row.sort == ofPlan:
			plans = append(plans, name)
		default:
			faults = append(faults, name)
		}
	}
	add := func(to *[]Fault, name string, at float64) {
		row, _ := rowOf(name)
		t := row.draw(d)
		t.Kind, t.Start = name, toHundredths(at)
		*to = append(*to, t)
	}
	last := length - endCalm
	for at := d.span(1, 4); at < last && len(faults) > 0; at += d.span(quietLeast, quietMost) {
		add(&day.Faults, faults[d.IntN(len(faults))], at)
		if d.IntN(stormOneIn) > 0 {
			continue
		}
		for range 1 + d.IntN(stormSize) {
			add(&day.Faults, faults[d.IntN(len(faults))], min(at+d.span(0, stormWithin), last))
		}
	}
	for at := d.span(1, 4); at < last && len(plans) > 0; at += d.span(planLeast, planMost) {
		add(&day.Plan, plans[d.IntN(len(plans))], at)
	}
	if slices.Contains(plans, "config_change") {
		for at := d.span(1, 3); at < last; at += d.span(changeLeast, changeMost) {
			add(&day.Plan, "config_change", at)
		}
	}
	day.close(d)
	return day, nil
}
