package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// cancellationCount returns the number of decisions that cancel a submission.
func (h *harness) cancellationCount() (n int) {
	for _, decision := range h.decided {
		if decision.Action == control.Cancel {
			n++
		}
	}
	return n
}

// Guards against backends that work on requests whose clients have left (incident mvk-anadolu 7). When the client of an idempotent request leaves,
// the request is canceled. The test covers clients that leave before the request is sent, during its first or second submission, and after its
// backend was found unresponsive. An effectful request that is in flight is not canceled. Nothing is sent for a client that has left.
func TestRequestIsCanceledWhenClientLeaves(t *testing.T) {
	t.Run("while the first submission is in flight", testClientLeavesWhileInFlight)
	t.Run("during or after a retry", testClientLeavesAfterRetry)
	t.Run("while the request is queued", testClientLeavesWhileQueued)
}

// A first submission in flight is canceled if its request is idempotent. The request is removed when the submission has ended.
func testClientLeavesWhileInFlight(t *testing.T) {
	for _, route := range []Route{idempotentRoute, effectfulRoute} {
		for _, ending := range []control.Ending{control.Canceled, control.Succeeded, control.NotSent, control.Rejected, control.TimedOut} {
			h := newHarness(route, 2)
			h.sendRequest(1)
			h.ClientLeft(1)
			h.collectDecisions()
			if route.Effectful {
				must.Len(t, 1, h.decided)
				h.SubmissionEnded(1, 0, h.lastDecision().Backend, ending, true, 50*time.Millisecond, nil)
			} else {
				must.Eq(t, control.Decision{Action: control.Cancel, Txn: 1}, h.lastDecision())
				h.SubmissionEnded(1, 0, h.decided[0].Backend, ending, true, 50*time.Millisecond, nil)
			}
			decisionsBefore := len(h.decided)
			h.ClientLeft(1) // a second call has no effect
			h.advanceTo(h.now + 12*time.Second)
			must.Len(t, decisionsBefore, h.decided)
			must.MapEmpty(t, h.txns)
			must.Zero(t, h.services[0].txnCount)
		}
	}
}

// A second submission is canceled too. A submission is canceled only once, also if it was canceled before the client left.
func testClientLeavesAfterRetry(t *testing.T) {
	h := newHarness(idempotentRoute, 2)
	h.sendRequest(1)
	h.endLastSubmission(control.Rejected, false)
	must.Eq(t, control.Submit, h.lastDecision().Action)
	h.ClientLeft(1)
	h.collectDecisions()
	must.Eq(t, control.Decision{Action: control.Cancel, Txn: 1, Attempt: 1}, h.lastDecision())
	h.ClientLeft(1)
	h.collectDecisions()
	must.Eq(t, 1, h.cancellationCount())

	h = newHarness(idempotentRoute, 2)
	h.sendRequest(1)
	h.sendRequest(2)
	for h.cancellationCount() == 0 && h.now < 40*time.Second { // both backends are unresponsive
		h.advanceTo(h.now + 100*time.Millisecond)
	}
	if n := h.cancellationCount(); n > 0 {
		leftTxn := h.lastDecision().Txn
		h.ClientLeft(leftTxn)
		h.collectDecisions()
		must.Eq(t, n, h.cancellationCount())
	}
}

// A request that waits for a backend is not sent once its client has left.
func testClientLeavesWhileQueued(t *testing.T) {
	h := newHarness(idempotentRoute, 0)
	h.sendRequest(1)
	h.ClientLeft(1)
	h.setBackends(control.Ready, 1, 2)
	h.advanceTo(h.now + 5*time.Second)
	for _, decision := range h.decided {
		must.NotEq(t, control.Submit, decision.Action)
	}
	must.MapEmpty(t, h.txns)
}
