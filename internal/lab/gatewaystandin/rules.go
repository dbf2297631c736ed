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
		if e.Kind == history.Rejected && e.Number > 0 {
			turned[at{e.Who, e.Txn, e.Number}] = true
		}
	}
	out := make([]history.Event, 0, len(h))
	for _, e := range h {
		if e.Kind != history.Arrived || !turned[at{e.Who, e.Txn, e.Number}] {
			out = append(out, e)
		}
	}
	return out
}

// Twice checks that an effectful try runs at most once, and what was answered 429, 503, 408 or 421 has not run and
// never will.
func Twice(h []history.Event) (bad []history.Violation) {
	ask, ran, final := map[string]history.Event{}, map[string][]history.Event{}, map[string]history.Event{}
	for _, e := range Run(h) {
		switch e.Kind {
		case history.Requested:
			ask[e.Txn] = e
		case history.Arrived:
			ran[e.Txn] = append(ran[e.Txn], e)
		case history.Answered:
			final[e.Txn] = e
		}
	}
	for _, e := range h { // in the history's order
		if e.Kind != history.Requested || e.What != "effectful" {
			continue
		}
		runs := ran[e.Txn]
		if len(runs) > 1 {
			bad = append(bad, history.Violation{Rule: "TWICE", Time: runs[1].Time, Who: e.Target, Txn: e.Txn,
				What: fmt.Sprintf("ran at %s and at %s", runs[0].Who, runs[1].Who)})
		}
		if f, ok := final[e.Txn]; ok && len(runs) > 0 && (f.Number == 429 || f.Number == 503 || f.Number == 408 || f.Number == 421) {
			bad = append(bad, history.Violation{Rule: "REFUSED", Time: f.Time, Who: e.Target, Txn: e.Txn,
				What: fmt.Sprintf("answered %.0f, ran at %s at %.3fs", f.Number, runs[0].Who, runs[0].Time.Seconds())})
		}
	}
	return bad
}

// Check holds a history against the rules that clients, backends and the operator can see broken. Slack is
// how slow the machine itself was.
func Check(h []history.Event, t *Backends, slack time.Duration) (bad []history.Violation) {
	c := newCalm(h, t)
	bad = append(bad, Twice(h)...)
	bad = append(bad, Quotas(h)...)
	bad = append(bad, budgets(h, t)...)
	bad = append(bad, drains(h, c, slack)...)
	bad = append(bad, reads(h, t)...)
	bad = append(bad, acks(t, c, h)...)
	bad = append(bad, backwards(h, t, c, slack)...)
	bad = append(bad, checkRequests(h, t, c, slack)...)
	return append(bad, routes(h, t, c, slack)...)
}

// drains: nothing reaches a backend by a node in touch more than the drain after any node, in touch or not, acknowledged that it leaves. The
// node must have been in touch when it took the request. What happened to it between the acknowledgement and then is no excuse.
func drains(h []history.Event, c *calm, slack time.Duration) (bad []history.Violation) {
	ask, told := map[string]history.Event{}, map[string]time.Duration{}
	for _, e := range h {
		switch e.Kind {
		case history.Requested:
			ask[e.Txn] = e
		case history.Notified:
			if _, ok := told[e.Target]; !ok {
				told[e.Target] = e.Time
			}
		case history.Arrived:
			at, ok := told[e.Who]
			a := ask[e.Txn]
			if ok && e.Time > at+Bounds().BackendDrain+slack && c.touch(a.Target, a.Time, e.Time) {
				bad = append(bad, history.Violation{Rule: "DRAIN", Time: e.Time, Who: a.Target, Txn: e.Txn, Timed: true,
					What: fmt.Sprintf("reached %s %.2fs after its drain was acknowledged", e.Who, (e.Time - at).Seconds())})
			}
		}
	}
	return bad
}
