// Rules on leases: holders, their acts and their numbers; and on what all processes hold to be so.

package history

import (
	"fmt"
	"sort"
	"time"
)

// NoOverlap checks that at no moment are more acts open for one task than it has permits. An act that is not ended is open until its
// process ends; one that stands still keeps its act open.
func NoOverlap(h []Event, permits func(task string) int) (bad []Violation) {
	type act struct {
		who string
		at  time.Duration
	}
	open := map[string][]act{}
	drop := func(task string, is func(act) bool) {
		kept := open[task][:0]
		for _, a := range open[task] {
			if !is(a) {
				kept = append(kept, a)
			}
		}
		open[task] = kept
	}
	for _, e := range h {
		switch e.Kind {
		case ActBegan:
			open[e.Key] = append(open[e.Key], act{e.Who, e.Time})
			if n := len(open[e.Key]); n > permits(e.Key) {
				bad = append(bad, Violation{Rule: "no two holders act at once", Time: e.Time, Who: e.Who, Key: e.Key,
					What: fmt.Sprintf("%d acts are open, that of %s since %.3fs; %d may be", n, open[e.Key][0].who, open[e.Key][0].at.Seconds(), permits(e.Key))})
			}
		case ActEnded:
			gone := false
			drop(e.Key, func(a act) bool {
				if gone || a.who != e.Who {
					return false
				}
				gone = true
				return true
			})
			if !gone {
				bad = append(bad, Violation{Rule: "no two holders act at once", Time: e.Time, Who: e.Who, Key: e.Key, What: "an act ends that never began"})
			}
		case Down:
			for task := range open {
				drop(task, func(a act) bool { return a.who == e.Who })
			}
		}
	}
	return bad
}

// LeasesExclusive checks that at no moment is one permit of a task held by two, each until the time that it last gave, or until it gave the
// permit back or ended. One that stands still holds on until that time and no longer: its own clock goes on.
func LeasesExclusive(h []Event) (bad []Violation) {
	type permit struct{ task, nr string }
	type hold struct {
		who      string
		from, to time.Duration
		n        float64
	}
	now := map[permit][]hold{}
	for _, e := range h {
		k := permit{e.Key, e.What}
		switch e.Kind {
		case LeaseGranted:
			kept := now[k][:0]
			from := e.Time
			for _, x := range now[k] {
				if x.who == e.Who && x.n == e.Number {
					from = x.from
				} else if x.to > e.Time {
					kept = append(kept, x)
					bad = append(bad, Violation{Rule: "no two hold one permit", Time: e.Time, Who: e.Who, Key: e.Key + "/" + e.What,
						What: fmt.Sprintf("held by number %g while %s holds it by number %g until %.3fs", e.Number, x.who, x.n, x.to.Seconds())})
				}
			}
			now[k] = append(kept, hold{e.Who, from, e.Deadline, e.Number})
		case LeaseReleased, Down:
			for s, all := range now {
				kept := all[:0]
				for _, x := range all {
					if x.who != e.Who || e.Kind == LeaseReleased && s != k {
						kept = append(kept, x)
					}
				}
				now[s] = kept
			}
		}
	}
	return bad
}

// NumbersMonotonic checks that no ledger takes a step with a number lower than one it took before, and one number comes from one holder.
func NumbersMonotonic(h []Event) (bad []Violation) {
	type place struct{ ledger, task string }
	highest := map[place]Event{}
	from := map[string]map[float64]string{}
	for _, e := range h {
		if e.Kind != StepAccepted {
			continue
		}
		k := place{e.Who, e.Key}
		if was, ok := highest[k]; ok && e.Number < was.Number {
			bad = append(bad, Violation{Rule: "numbers rise", Time: e.Time, Who: e.Target, Key: e.Key,
				What: fmt.Sprintf("%s took number %g after %g from %s", e.Who, e.Number, was.Number, was.Target)})
		} else {
			highest[k] = e
		}
		if from[e.Key] == nil {
			from[e.Key] = map[float64]string{}
		}
		if was, ok := from[e.Key][e.Number]; ok && was != e.Target {
			bad = append(bad, Violation{Rule: "numbers rise", Time: e.Time, Who: e.Target, Key: e.Key, What: fmt.Sprintf("number %g is also that of %s", e.Number, was)})
		}
		from[e.Key][e.Number] = e.Target
	}
	return bad
}

// ViewsConverge checks that a stated time after the last fault has healed, all processes that run hold the same to be so of every key.
func ViewsConverge(h []Event, in time.Duration) (bad []Violation) {
	type fact struct{ key, at string }
	var healed, last time.Duration
	struck := 0
	for _, e := range h {
		last = max(last, e.Time)
		switch e.Kind {
		case FaultBegan:
			struck++
		case FaultEnded:
			struck--
			healed = e.Time
		}
	}
	by := healed + in
	if struck > 0 || by > last {
		return []Violation{{Rule: "agreement", Time: last, What: fmt.Sprintf("the history ends before %s after the last heal: nothing is shown", in)}}
	}
	views, off := map[fact]map[string]Event{}, downtimes(h)
	for _, e := range h {
		if e.Time > by {
			break
		}
		if e.Kind == Up { // a new life knows nothing
			for _, v := range views {
				delete(v, e.Who)
			}
		}
		if e.Kind == Observed {
			f := fact{e.Key, e.Target}
			if views[f] == nil {
				views[f] = map[string]Event{}
			}
			views[f][e.Who] = e
		}
	}
	var facts []fact
	for f := range views {
		facts = append(facts, f)
	}
	sort.Slice(facts, func(i, j int) bool {
		return facts[i].key < facts[j].key || facts[i].key == facts[j].key && facts[i].at < facts[j].at
	})
	for _, f := range facts {
		var who []string
		for w := range views[f] {
			if !overlaps(off[w], by, by) {
				who = append(who, w)
			}
		}
		sort.Strings(who)
		for _, w := range who {
			if a, b := views[f][who[0]], views[f][w]; a.What != b.What {
				bad = append(bad, Violation{Rule: "agreement", Time: by, Who: w, Key: f.key + " " + f.at,
					What: fmt.Sprintf("holds %q, %s holds %q", b.What, who[0], a.What)})
				break
			}
		}
	}
	return bad
}
