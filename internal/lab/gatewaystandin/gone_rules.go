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
func (x *requestJudge) ranOn(h []history.Event) (bad []history.Broken) {
	over := map[runOf]time.Duration{}
	for _, e := range h {
		if e.Kind == history.Over {
			over[runOf{e.Who, e.Txn, e.N}] = e.T
		}
	}
	for _, r := range x.all {
		if r.end.Kind != history.Left || r.ask.What != "pure" {
			continue
		}
		late := r.end.T + ranOnAfter + x.slack
		if !x.calm.touch(r.ask.At, r.ask.T, late) {
			continue
		}
		for _, run := range r.ran {
			if end, ok := over[runOf{run.Who, run.Txn, run.N}]; run.T > late || ok && end > late {
				bad = append(bad, history.Broken{Rule: "GONE", T: late, Who: r.ask.At, Txn: r.ask.Txn, Timed: true,
					What: fmt.Sprintf("its client left at %.3fs, at %s from %.3fs to %.3fs", r.end.T.Seconds(), run.Who,
						run.T.Seconds(), end.Seconds())})
			}
		}
	}
	if len(bad) <= ranOnMost {
		return nil
	}
	return bad
}
