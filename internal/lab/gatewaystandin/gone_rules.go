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

// runOf names one arrival of a try at a backend.
type runOf struct {
	who, txn string
	n        float64
}

// ranOn: a request that may be repeated reaches a backend, or is still there, over half a second after its client has left, by a node
// in touch.
func (r *requestJudge) ranOn(h []history.Event) (bad []history.Broken) {
	over := map[runOf]time.Duration{}
	for _, e := range h {
		if e.Kind == history.Over {
			over[runOf{e.Who, e.Txn, e.N}] = e.T
		}
	}
	for _, clientTry := range r.all {
		if clientTry.end.Kind != history.Left || clientTry.ask.What != "pure" {
			continue
		}
		late := clientTry.end.T + ranOnAfter + r.slack
		if !r.calm.touch(clientTry.ask.At, clientTry.ask.T, late) {
			continue
		}
		for _, run := range clientTry.ran {
			if end, ok := over[runOf{run.Who, run.Txn, run.N}]; run.T > late || ok && end > late {
				bad = append(bad, history.Broken{Rule: "GONE", T: late, Who: clientTry.ask.At, Txn: clientTry.ask.Txn, Timed: true,
					What: fmt.Sprintf("its client left at %.3fs, at %s from %.3fs to %.3fs", clientTry.end.T.Seconds(), run.Who,
						run.T.Seconds(), end.Seconds())})
			}
		}
	}
	if len(bad) <= ranOnMost {
		return nil
	}
	return bad
}
