// Rules on requests: each gets one final answer, and no effect happens twice.

package history

import (
	"fmt"
	"sort"
	"time"
)

// maxUnsentOneIn: beyond one in so many, requests whose connection is closed with nothing sent on for them are lost.
const maxUnsentOneIn = 200

// OneAnswer checks that every request that a running front door has taken gets one final answer, made for it, before its client
// goes. One that stood still or ended meanwhile is not held to it.
func OneAnswer(h []Event, w World) (bad []Violation) {
	const rule = "one final answer"
	off := downtimes(h)
	answers, unheard, sent := map[string][]Event{}, map[string]Event{}, map[string]bool{}
	left := map[string]Event{}
	var asks []Event
	var last time.Duration
	for _, e := range h {
		last = max(last, e.Time)
		switch e.Kind {
		case Requested:
			asks = append(asks, e)
		case Answered:
			answers[e.Txn] = append(answers[e.Txn], e)
		case Unanswered:
			unheard[e.Txn] = e
		case ClientLeft:
			left[e.Txn] = e
		case Arrived, Rejected:
			sent[e.Txn] = true
		}
	}
	var unsent []Event
	for _, a := range asks {
		got := answers[a.Txn]
		if len(got) > 1 {
			bad = append(bad, Violation{Rule: rule, Time: got[1].Time, Who: a.Target, Txn: a.Txn, What: "a second final answer"})
		}
		if len(got) > 0 && got[0].Number == 200 && got[0].What != a.Txn {
			bad = append(bad, Violation{Rule: rule, Time: got[0].Time, Who: a.Target, Txn: a.Txn, What: fmt.Sprintf("settled with the answer of %q", got[0].What)})
		}
		if l, gone := left[a.Txn]; len(got) > 0 || gone && l.Time < a.Deadline { // its client waited no longer for one
			continue
		}
		u, ended := unheard[a.Txn]
		late := a.Deadline + w.Slack
		if ended {
			late = u.Time
		} else if late > last {
			continue // the history ends before it is due
		}
		if overlaps(off[a.Target], a.Time-w.Slack, late+w.Slack) {
			continue
		}
		switch {
		case !ended:
			bad = append(bad, Violation{Rule: rule, Time: late, Who: a.Target, Txn: a.Txn, What: "no answer before its client went", Timed: true})
		case sent[a.Txn]:
			bad = append(bad, Violation{Rule: rule, Time: late, Who: a.Target, Txn: a.Txn, What: "the connection ended without a whole answer"})
		default:
			unsent = append(unsent, a)
		}
	}
	if len(unsent) > 1+len(asks)/maxUnsentOneIn {
		for _, a := range unsent {
			bad = append(bad, Violation{Rule: rule, Time: a.Time, Who: a.Target, Txn: a.Txn, What: "its connection was closed with nothing sent on, as too many were"})
		}
	}
	return bad
}

// NoEffectTwice checks that nothing that has an effect runs again where it may have run before, unless its repeats are dropped
// there; there is one copy at a time; and what may have run is not declined, unless a repeat is harmless.
func NoEffectTwice(h []Event, w World) (bad []Violation) {
	for _, c := range collectCopies(h) {
		c.sort()
		bad = append(bad, c.repeated(w)...)
		bad = append(bad, c.declined(w)...)
	}
	return bad
}

const noEffectTwice = "no effect twice"

// collectCopies gathers the submissions of each request that was asked or began, in the history's order.
func collectCopies(h []Event) (order []*copies) {
	type submission struct {
		at     string
		number float64
	}
	ends := map[submission]time.Duration{} // a way that was cut lets it arrive when it is over already
	for _, e := range h {
		if e.Kind == Finished {
			ends[submission{e.Who, e.Number}] = e.Time
		}
	}
	all := map[string]*copies{}
	for _, e := range h {
		if e.Txn == "" {
			continue
		}
		c := all[e.Txn]
		if c == nil && e.Kind != Requested && e.Kind != Arrived {
			continue
		}
		if c == nil {
			c = &copies{id: e.Txn}
			all[e.Txn], order = c, append(order, c)
		}
		switch e.Kind {
		case Requested:
			c.ask = e
		case Arrived:
			over, ok := ends[submission{e.Who, e.Number}]
			if !ok {
				over = forever
			}
			c.began, c.over = append(c.began, e), append(c.over, over)
		case Answered:
			if c.final == nil {
				x := e
				c.final = &x
			}
		}
	}
	return order
}

// violation is a breach of the rule by the request, seen at an event.
func (c *copies) violation(e Event, timed bool, what string, values ...any) Violation {
	return Violation{Rule: noEffectTwice, Time: e.Time, Who: c.ask.Target, Txn: c.id, Key: c.ask.Key, What: fmt.Sprintf(what, values...), Timed: timed}
}

// repeated holds each submission against the ones before it and the final answer.
func (c *copies) repeated(w World) (bad []Violation) {
	for i, b := range c.began {
		sent := sentAt(b)
		if c.final != nil && sent > c.final.Time+w.Slack {
			bad = append(bad, c.violation(b, true, "sent to %s after its final answer", b.Who))
		}
		if i == 0 {
			continue
		}
		if broken, is := c.again(b, w); is {
			bad = append(bad, broken)
		}
		for k := range c.began[:i] {
			if c.over[k] > sent+w.Slack {
				bad = append(bad, c.violation(b, true, "a second copy at %s while the one at %s is out", b.Who, c.began[k].Who))
				break
			}
		}
	}
	return bad
}

// again tells whether a later submission may run an effect once more.
func (c *copies) again(b Event, w World) (Violation, bool) {
	product, first := w.Products[c.ask.What], c.began[0]
	reached := func(e Event) Submission { return Submission{w.Backends[e.Who], sentAt(e)} }
	switch product.Repeats(reached(first), reached(b), w.Slack) {
	case OnceOnly:
		return c.violation(b, false, "once-only, and begun at %s after it had begun at %s", b.Who, first.Who), true
	case OutsideScope:
		return c.violation(b, false, "begun at %s, outside the %s of %s that drops its repeats", b.Who, product.Scope, first.Who), true
	case RecordExpired:
		return c.violation(b, true, "begun again %s after its first time, its repeats are forgotten after %s",
			(sentAt(b) - sentAt(first)).Round(time.Millisecond), product.Window), true
	}
	return Violation{}, false
}

// declined tells whether the request was declined, so that its client may repeat it, though it had begun.
func (c *copies) declined(w World) (bad []Violation) {
	f := c.final
	if f == nil || f.Number != 429 && f.Number != 503 || w.Products[c.ask.What].Safe() {
		return nil
	}
	for _, b := range c.began {
		if sentAt(b) <= f.Time {
			return []Violation{c.violation(*f, false, "declined, so that its client may repeat it, though it had begun at %s", b.Who)}
		}
	}
	return nil
}

// copies are the submissions of one request that began, and when each was over.
type copies struct {
	id    string
	ask   Event
	began []Event
	over  []time.Duration
	final *Event
}

// sort puts them in the order in which they were sent: they may arrive in another.
func (c *copies) sort() {
	at := make([]int, len(c.began))
	for i := range at {
		at[i] = i
	}
	sort.SliceStable(at, func(i, j int) bool { return sentAt(c.began[at[i]]) < sentAt(c.began[at[j]]) })
	began, over := make([]Event, len(at)), make([]time.Duration, len(at))
	for i, k := range at {
		began[i], over[i] = c.began[k], c.over[k]
	}
	c.began, c.over = began, over
}

// sentAt is when the front door began to send a submission.
func sentAt(e Event) time.Duration {
	if e.OwnTime > 0 {
		return e.OwnTime
	}
	return e.Time
}
