package gatewaystandin

import (
	"fmt"
	"time"

	"clovergap/internal/history"
)

// Run leaves out the arrivals at backends that turned the request away after all, from their queue: it has
// not run.
func Run(h []history.Event) []history.Event {
	type at struct {
		who, txn string
		n        float64
	}
	turned := map[at]bool{}
	for _, e := range h {
		if e.Kind == history.Turned && e.N > 0 {
			turned[at{e.Who, e.Txn, e.N}] = true
		}
	}
	out := make([]history.Event, 0, len(h))
	for _, e := range h {
		if e.Kind != history.Arrived || !turned[at{e.Who, e.Txn, e.N}] {
			out = append(out, e)
		}
	}
	return out
}

// Twice checks that an effectful try runs at most once, and what was answered 429, 503, 408 or 421 has not run and
// never will.
func Twice(h []history.Event) (bad []history.Broken) {
	ask, ran, final := map[string]history.Event{}, map[string][]history.Event{}, map[string]history.Event{}
	for _, e := range Run(h) {
		switch e.Kind {
		case history.Asked:
			ask[e.Txn] = e
		case history.Arrived:
			ran[e.Txn] = append(ran[e.Txn], e)
		case history.Answered:
			final[e.Txn] = e
		}
	}
	for _, e := range h { // in the history's order
		if e.Kind != history.Asked || e.What != "effectful" {
			continue
		}
		runs := ran[e.Txn]
		if len(runs) > 1 {
			bad = append(bad, history.Broken{Rule: "TWICE", T: runs[1].T, Who: e.At, Txn: e.Txn,
				What: fmt.Sprintf("ran at %s and at %s", runs[0].Who, runs[1].Who)})
		}
		if f, ok := final[e.Txn]; ok && len(runs) > 0 && (f.N == 429 || f.N == 503 || f.N == 408 || f.N == 421) {
			bad = append(bad, history.Broken{Rule: "REFUSED", T: f.T, Who: e.At, Txn: e.Txn,
				What: fmt.Sprintf("answered %.0f, ran at %s at %.3fs", f.N, runs[0].Who, runs[0].T.Seconds())})
		}
	}
	return bad
}

// Judge holds a history against the rules that clients, backends and the operator can see broken. Slack is
// how slow the machine itself was.
func Judge(h []history.Event, t *Backends, slack time.Duration) (bad []history.Broken) {
	c := newCalm(h, t)
	bad = append(bad, Twice(h)...)
	bad = append(bad, Quotas(h)...)
	bad = append(bad, budgets(h, t)...)
	bad = append(bad, drains(h, c, slack)...)
	bad = append(bad, reads(h, t)...)
	bad = append(bad, acks(t, c, h)...)
	bad = append(bad, backwards(h, t, c, slack)...)
	bad = append(bad, judgeRequests(h, t, c, slack)...)
	return append(bad, routes(h, t, c, slack)...)
}

// drains: nothing reaches a backend by a node in touch more than the drain after any node, in touch or not, acknowledged that it leaves.
func drains(h []history.Event, c *calm, slack time.Duration) (bad []history.Broken) {
	ask, told := map[string]history.Event{}, map[string]time.Duration{}
	for _, e := range h {
		switch e.Kind {
		case history.Asked:
			ask[e.Txn] = e
		case history.Told:
			if _, ok := told[e.At]; !ok {
				told[e.At] = e.T
			}
		case history.Arrived:
			at, ok := told[e.Who]
			a := ask[e.Txn]
			if ok && e.T > at+Bounds().BackendDrain+slack && c.touch(a.At, min(a.T, at), e.T) {
				bad = append(bad, history.Broken{Rule: "DRAIN", T: e.T, Who: a.At, Txn: e.Txn, Timed: true,
					What: fmt.Sprintf("reached %s %.2fs after its drain was acknowledged", e.Who, (e.T - at).Seconds())})
			}
		}
	}
	return bad
}
