package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// cancellations counts the submissions that are canceled.
func (h *harness) cancellations() (n int) {
	for _, x := range h.decided {
		if x.Action == control.Cancel {
			n++
		}
	}
	return n
}

// An idempotent request is canceled at its backend when its client leaves, whenever that is: before it is sent, while it is
// out, while it is out a second time, after its backend has been found silent. An effectful one is left to its end. Nothing is
// sent for a client that has left. Guards against backends that work on for nobody (incident mvk-anadolu 7).
func TestClientLeft(t *testing.T) {
	t.Run("while it is out", clientLeavesWhileInFlight)
	t.Run("after another try", clientLeavesAfterRetry)
	t.Run("in the queue", clientLeavesWhileQueued)
}

func clientLeavesWhileInFlight(t *testing.T) {
	for _, route := range []Route{idempotentRoute, effectfulRoute} {
		for _, ending := range []control.Ending{control.Canceled, control.Succeeded, control.NotSent, control.Rejected, control.TimedOut} {
			h := newHarness(route, 2)
			h.arrive(1)
			h.ClientLeft(1)
			h.takeDecisions()
			if route.Effectful {
				must.Len(t, 1, h.decided)
				h.SubmissionEnded(1, 0, h.lastDecision().Backend, ending, true, 50*time.Millisecond, nil)
			} else {
				must.Eq(t, control.Decision{Action: control.Cancel, Txn: 1}, h.lastDecision())
				h.SubmissionEnded(1, 0, h.decided[0].Backend, ending, true, 50*time.Millisecond, nil)
			}
			decisionsBefore := len(h.decided)
			h.ClientLeft(1) // called twice
			h.advance(h.now + 12*time.Second)
			must.Len(t, decisionsBefore, h.decided)
			must.MapEmpty(t, h.txns)
			must.Zero(t, h.services[0].txnCount)
		}
	}
}

// It is canceled once, by its second submission as by its first, and not if that is canceled already.
func clientLeavesAfterRetry(t *testing.T) {
	h := newHarness(idempotentRoute, 2)
	h.arrive(1)
	h.endLastSubmission(control.Rejected, false)
	must.Eq(t, control.Submit, h.lastDecision().Action)
	h.ClientLeft(1)
	h.takeDecisions()
	must.Eq(t, control.Decision{Action: control.Cancel, Txn: 1, Attempt: 1}, h.lastDecision())
	h.ClientLeft(1)
	h.takeDecisions()
	must.Eq(t, 1, h.cancellations())

	h = newHarness(idempotentRoute, 2)
	h.arrive(1)
	h.arrive(2)
	for h.cancellations() == 0 && h.now < 40*time.Second { // both are silent
		h.advance(h.now + 100*time.Millisecond)
	}
	if n := h.cancellations(); n > 0 {
		left := h.lastDecision().Txn
		h.ClientLeft(left)
		h.takeDecisions()
		must.Eq(t, n, h.cancellations())
	}
}

// One that waits for a backend or for units is sent to nobody once its client has left.
func clientLeavesWhileQueued(t *testing.T) {
	h := newHarness(idempotentRoute, 0)
	h.arrive(1)
	h.ClientLeft(1)
	h.setBackends(control.Ready, 1, 2)
	h.advance(h.now + 5*time.Second)
	for _, x := range h.decided {
		must.NotEq(t, control.Submit, x.Action)
	}
	must.MapEmpty(t, h.txns)
}
