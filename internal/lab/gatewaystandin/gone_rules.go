// The rule GONE: nothing works on for a client that has left.

package gatewaystandin

import (
	"fmt"
	"time"

	"clovergap/internal/history"
)

// Figures of the rule, as the operators' pages have them.
const (
	ranOnMost  = 3                      // requests that may reach a backend, or run on there, so late
	ranOnAfter = 500 * time.Millisecond // after their client has left
)

// arrivalID names one arrival of a try at a backend.
type arrivalID struct {
	who, txn string
	number   float64
}

// ranOn: a request that may be repeated reaches a backend, or is still there, over half a second after its client has left, by a node
// in touch.
func (r *requestChecker) ranOn(h []history.Event) (bad []history.Violation) {
	over := map[arrivalID]time.Duration{}
	for _, e := range h {
		if e.Kind == history.Finished {
			over[arrivalID{e.Who, e.Txn, e.Number}] = e.Time
		}
	}
	for _, clientTry := range r.all {
		if clientTry.end.Kind != history.ClientLeft || clientTry.ask.What != "pure" {
			continue
		}
		late := clientTry.end.Time + ranOnAfter + r.slack
		if !r.calm.touch(clientTry.ask.Target, clientTry.ask.Time, late) {
			continue
		}
		for _, run := range clientTry.ran {
			if end, ok := over[arrivalID{run.Who, run.Txn, run.Number}]; run.Time > late || ok && end > late {
				bad = append(bad, history.Violation{Rule: "GONE", Time: late, Who: clientTry.ask.Target, Txn: clientTry.ask.Txn, Timed: true,
					What: fmt.Sprintf("its client left at %.3fs, at %s from %.3fs to %.3fs", clientTry.end.Time.Seconds(), run.Who,
						run.Time.Seconds(), end.Seconds())})
			}
		}
	}
	if len(bad) <= ranOnMost {
		return nil
	}
	return bad
}
