// Rules on limits: quotas of tenants and the budgets of further tries.

package gatewaystandin

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"clovergap/internal/history"
)

// Quotas checks that in no window do a tenant's requests that were sent and that ran in it pass (rate x window + burst)
// x (1 + excess) + margin, over all nodes.
func Quotas(h []history.Event) (bad []history.Violation) {
	b := Bounds()
	sent := map[string]history.Event{}
	for _, e := range h {
		if e.Kind == history.Requested {
			sent[e.Txn] = e
		}
	}
	type run struct{ sent, ran time.Duration }
	by, seen := map[string][]run{}, map[string]bool{}
	for _, e := range Run(h) {
		if a, ok := sent[e.Txn]; ok && e.Kind == history.Arrived && !seen[e.Txn] && a.Key != "" {
			seen[e.Txn] = true
			by[a.Key] = append(by[a.Key], run{a.Time, e.Time})
		}
	}
	for _, t := range First().Tenants {
		if t.RatePerS <= 0 {
			continue
		}
		most := (t.RatePerS*b.QuotaWindow.Seconds()+t.Burst)*(1+b.QuotaExcess) + b.QuotaMargin
		worst, at := 0, time.Duration(0)
		runs := by[t.Name] // in the order of ran
		for _, first := range runs {
			n, from := 0, sort.Search(len(runs), func(i int) bool { return runs[i].ran >= first.sent }) // none runs before it is sent
			for _, r := range runs[from:] {
				if r.ran > first.sent+b.QuotaWindow {
					break
				}
				if r.sent >= first.sent {
					n++
				}
			}
			if n > worst {
				worst, at = n, first.sent
			}
		}
		if float64(worst) > most {
			bad = append(bad, history.Violation{Rule: "QUOTA", Time: at, Key: t.Name,
				What: fmt.Sprintf("%d ran in %s, %.0f is the most", worst, b.QuotaWindow, most)})
		}
	}
	return bad
}

// budgets: in no window does a service receive more arrivals after the first of each request than its share
// of the requests for it and the extra. What was turned away counts, and the best of three windows of
// requests does.
func budgets(h []history.Event, t *Backends) (bad []history.Violation) {
	b := Bounds()
	service, versions := t.Services, t.Versions
	prefixes := map[string][]string{} // services that any version names, by host and the path's first part
	named := func(e history.Event) []string {
		key := e.Key + e.Target[:strings.Index(e.Target[1:], "/")+2]
		if all, ok := prefixes[key]; ok {
			return all
		}
		var all []string
		for _, v := range versions {
			all = append(all, targets(v.Config, e)...)
		}
		slices.Sort(all)
		prefixes[key] = slices.Compact(all)
		return prefixes[key]
	}
	asks, again := map[string][]time.Duration{}, map[string][]time.Duration{}
	came, counted := map[string]bool{}, map[string]bool{}
	for _, e := range h {
		switch at := service[e.Who]; {
		case e.Kind == Route:
			for _, s := range named(e) {
				asks[s] = append(asks[s], e.Time)
			}
		case at == "" || e.Kind != history.Arrived && e.Kind != history.Rejected:
		case e.Number > 0 && counted[fmt.Sprint(e.Who, e.Txn, e.Number)]: // turned away from its queue: it had arrived
		default:
			counted[fmt.Sprint(e.Who, e.Txn, e.Number)] = true
			if came[at+e.Txn] {
				again[at] = append(again[at], e.Time)
			}
			came[at+e.Txn] = true
		}
	}
	for s, list := range again {
		for _, end := range list {
			n, w := countWithin(list, end-b.RetryWindow, end), b.RetryWindow
			if float64(n) <= b.RetryExtra {
				continue
			}
			asked := max(countWithin(asks[s], end-w, end), countWithin(asks[s], end-2*w, end-w),
				countWithin(asks[s], end-3*w/2, end-w/2))
			if most := b.RetryRatio*float64(asked) + b.RetryExtra; float64(n) > most {
				bad = append(bad, history.Violation{Rule: "BUDGET", Time: end, Key: s,
					What: fmt.Sprintf("%d further arrivals in %s, %.0f are the most", n, w, most)})
				break
			}
		}
	}
	return bad
}

// countWithin counts the times from one to another, both included; the times are in order.
func countWithin(all []time.Duration, from, to time.Duration) int {
	first := sort.Search(len(all), func(i int) bool { return all[i] >= from })
	behind := sort.Search(len(all), func(i int) bool { return all[i] > to })
	return max(0, behind-first)
}
