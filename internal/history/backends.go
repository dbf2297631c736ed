// Rules on backends: drains are kept, and no cold one is pushed over.

package history

import (
	"fmt"
	"time"
)

// DrainsKept checks that no front door sends to a backend longer than the grace after it was told that it drains or is gone.
func DrainsKept(h []Event, w World, grace time.Duration) (bad []Violation) {
	type way struct{ node, backend string }
	told, node, off := map[way]time.Duration{}, map[string]string{}, downtimes(h)
	for _, e := range h {
		if e.Kind == Requested {
			node[e.Txn] = e.Target
		}
	}
	for _, e := range h {
		switch e.Kind {
		case Up: // a new life begins from what it is told then
			for k := range told {
				if k.node == e.Who {
					delete(told, k)
				}
			}
		case Notified:
			k := way{e.Who, e.Target}
			if e.What == "Ready" {
				delete(told, k)
			} else if _, ok := told[k]; !ok {
				told[k] = e.Time
			}
		case Arrived, Rejected:
			since, ok := told[way{node[e.Txn], e.Who}]
			for _, s := range off[node[e.Txn]] { // one that stood still reads it when it goes on
				if ok && s.from <= sentAt(e) && s.to > since && s.to < forever {
					since = s.to
				}
			}
			if ok && sentAt(e) > since+grace+w.Slack {
				bad = append(bad, Violation{Rule: "drains kept", Time: e.Time, Who: node[e.Txn], Txn: e.Txn, Timed: true,
					What: fmt.Sprintf("sent to %s, %.1fs after it was told that it drains or is gone", e.Who, (sentAt(e) - since).Seconds())})
			}
		}
	}
	return bad
}

// WarmUp is what the rule on cold backends goes by.
type WarmUp struct {
	From, Times, Cores float64 // share of its capacity at the start; times what it can; core seconds a second when warm
	Length, Window     time.Duration
}

// NoOverloadDuringWarmUp checks that in no window does a cold backend get more work than the stated times of what it can do by then.
func NoOverloadDuringWarmUp(h []Event, w World, c WarmUp) (bad []Violation) {
	asks := map[string]Event{}
	came := map[string][]Event{}
	fallen := map[string]bool{}
	for _, e := range h {
		if e.Kind == Requested {
			asks[e.Txn] = e
		}
		if e.Kind != Arrived {
			continue
		}
		b, ok := w.Backends[e.Who]
		age := e.Time - b.Start
		if !ok || b.Start <= 0 || age >= c.Length || fallen[e.Who] || c.Length <= 0 {
			continue
		}
		list := append(came[e.Who], e)
		for len(list) > 0 && list[0].Time < e.Time-c.Window {
			list = list[1:]
		}
		came[e.Who] = list
		sum := 0.0
		for _, x := range list {
			sum += w.Products[asks[x.Txn].What].Work
		}
		warm := c.From + (1-c.From)*float64(age)/float64(c.Length)
		if most := c.Times * c.Cores * warm * c.Window.Seconds(); sum > most && age >= c.Window/4 {
			fallen[e.Who] = true
			bad = append(bad, Violation{Rule: "no cold backend pushed over", Time: e.Time, Who: asks[e.Txn].Target, Txn: e.Txn, Key: e.Who,
				What: fmt.Sprintf("%.1fs old, got %.2f core seconds of work in the window, %.2f is the most", age.Seconds(), sum, most)})
		}
	}
	return bad
}
