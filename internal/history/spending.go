// Rules on what customers spend.

package history

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Consumption is what a key had taken from its books, and when: the first submission of each request that begins.
func Consumption(h []Event) map[string][]Event {
	asks, seen, out := map[string]Event{}, map[string]bool{}, map[string][]Event{}
	for _, e := range h {
		if e.Kind == Requested {
			asks[e.Txn] = e
		}
	}
	for _, e := range h {
		if e.Kind != Arrived || seen[e.Txn] {
			continue
		}
		seen[e.Txn] = true
		if a, ok := asks[e.Txn]; ok {
			out[a.Key] = append(out[a.Key], Event{Time: e.Time, Who: a.Target, Txn: e.Txn, Number: a.Number})
		}
	}
	return out
}

// Bound is what may be spent in any stretch of time: Store at once, and Rate for each second of it.
type Bound struct{ Burst, Rate float64 }

// Max is what may be spent in a stretch so long.
func (b Bound) Max(d time.Duration) float64 { return b.Burst + b.Rate*d.Seconds() }

// WithinBound checks that in no stretch of time does a key spend more than its bound. A key without a bound is passed over. One
// line is given for each key: that of the worst stretch.
func WithinBound(rule string, h []Event, bound func(key string) (Bound, bool)) (bad []Violation) {
	all := Consumption(h)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		most, has := bound(key)
		if !has {
			continue
		}
		if s := worstStretch(all[key], most); s.over > 0 {
			last := all[key][s.last]
			d := last.Time - all[key][s.first].Time
			bad = append(bad, Violation{Rule: rule, Time: last.Time, Who: last.Who, Txn: last.Txn, Key: key,
				What: fmt.Sprintf("%.1f units in %s, %.1f is the most", s.sum, d.Round(time.Millisecond), most.Max(d))})
		}
	}
	return bad
}

// stretch is a run of events, by their places, with what is spent in it and how far that is over the bound.
type stretch struct {
	first, last int
	sum, over   float64
}

// unitsTolerance is how close sums of units are taken to be alike.
const unitsTolerance = 1e-9

// worstStretch finds the stretch that is furthest over a bound, in one pass: what was spent before an event, less what the
// rate had earned by then, is lowest before the best beginning for all stretches that end later.
func worstStretch(spends []Event, most Bound) (worst stretch) {
	spent, lowest, begin, before := 0.0, math.Inf(1), 0, 0.0 // before: spent until the beginning
	for i, e := range spends {
		earned := most.Rate * (e.Time - spends[0].Time).Seconds()
		if spent-earned < lowest-unitsTolerance {
			lowest, begin, before = spent-earned, i, spent
		}
		spent += e.Number
		if over := spent - earned - lowest - most.Burst; over > worst.over+unitsTolerance {
			worst = stretch{first: begin, last: i, sum: spent - before, over: over}
		}
	}
	return worst
}
