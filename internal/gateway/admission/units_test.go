package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/control/quota"
)

// Guards against a wait for units that is a share of the latency target, and against requests that wait in vain behind others of their tenant. A request
// waits as long as an answer by its target remains possible. It is rejected on arrival if the refill is too slow for it and the requests ahead. Before,
// a request waited for 0.18 of its target, and each request counted on the same units.
func TestUnitsAreAwaitedInOrderByTimeLeft(t *testing.T) {
	const refillInterval = 100 * time.Millisecond // of one unit
	work := 50 * time.Millisecond
	for _, target := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
		h := newHarness(Route{LatencyTarget: target, Deadline: 2 * time.Second, MaxAttempts: 1}, 6)
		h.sendRequest(1)
		h.SubmissionEnded(1, 0, h.lastDecision().Backend, control.Succeeded, true, work, nil)
		h.limiter.(*quota.Limiter).SetLimit(7, 10, 1)
		h.advanceTo(h.now + 5*time.Second)
		h.decided = nil
		start, last := h.now, control.TxnID(30)
		for id := control.TxnID(10); id <= last; id++ {
			h.TxnArrived(control.Txn{ID: id, Product: 1, Customer: 7, Units: 1, Expiry: h.now + time.Minute})
		}
		h.collectDecisions()
		waiting := len(h.awaitingUnits)
		must.Eq(t, int((target-work-1)/refillInterval), waiting)
		must.Eq(t, int(last)-10+1, waiting+len(h.decided)) // each of the other requests was sent or rejected
		rejection := h.decided[0]
		must.Eq(t, control.Reject, rejection.Action)
		must.Between(t, time.Duration(waiting+1)*refillInterval-10*time.Millisecond, rejection.After, time.Duration(waiting+1)*refillInterval)
		h.decided = nil
		h.advanceTo(start + target)
		for i, decision := range h.decided[:waiting] {
			must.Eq(t, control.Submit, decision.Action)
			must.Eq(t, control.TxnID(11+i), decision.Txn)
		}
		must.MapEmpty(t, h.unitsAwaited)
	}
}
