package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// oddAssigner assigns requests with odd IDs to the canary and records all samples.
type oddAssigner struct{ samples []ComparisonSample }

func (o *oddAssigner) Assign(id control.TxnID, _ control.ProductID, service control.ServiceID) Assignment {
	return Assignment{Number: 7, Side: rollout.Side(id % 2), InComparison: true, Tenant: uint32(service)}
}
func (o *oddAssigner) SubmissionEnded(sample ComparisonSample) { o.samples = append(o.samples, sample) }

const firstCanaryBackend = 11 // backends with this ID or a higher one belong to the canary

// newCanaryHarness returns a harness whose service 1 has service 2 as its canary, with CanaryShared.
func newCanaryHarness(route Route, baselineBackends, canaryBackends int) (*harness, *oddAssigner) {
	h, assigner := newHarness(route, baselineBackends), &oddAssigner{}
	h.SetAssigner(assigner)
	h.setCanaryBackends(control.Ready, canaryBackends)
	h.SetRollout(1, 2, CanaryShared)
	return h, assigner
}

// setCanaryBackends sets the state of the first backendCount backends of the canary. It adds backends that are not listed yet.
func (h *harness) setCanaryBackends(state control.BackendState, backendCount int) {
	for i := range backendCount {
		h.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(firstCanaryBackend + i), State: state, Capacity: 4, Service: 2}})
	}
}

// isLastSubmissionAtCanary reports whether the last decision submits a request to the canary. The test fails if the last decision submits no request.
// The message of the failure is description, which says which submission was expected.
func (h *harness) isLastSubmissionAtCanary(description string) bool {
	h.t.Helper()
	must.Eq(h.t, control.Submit, h.lastDecision().Action, must.Sprint(description))
	return h.lastDecision().Backend >= firstCanaryBackend
}

// actionsFor returns the actions of the decisions on one request, in order.
func (h *harness) actionsFor(id control.TxnID) (all []control.Action) {
	for _, decision := range h.decided {
		if decision.Txn == id {
			all = append(all, decision.Action)
		}
	}
	return all
}

// Guards against submissions to the wrong version. A first submission goes to the assigned version. A retry goes to the baseline version. If the
// baseline version has no backend, the retry of a request that was assigned to the canary goes to the canary. A request never moves from the baseline
// version to the canary. Only first submissions are reported to the assigner.
func TestCanaryRequestsMayRetryAtBaselineButNotTheReverse(t *testing.T) {
	h, assigner := newCanaryHarness(idempotentRoute, 3, 3)
	h.t = t
	h.sendRequest(1)
	must.True(t, h.isLastSubmissionAtCanary("first submission of a canary request"))
	h.endLastSubmission(control.Errored, false)
	must.False(t, h.isLastSubmissionAtCanary("retry of a canary request"))
	h.endLastSubmission(control.Succeeded, true)
	h.sendRequest(2)
	must.False(t, h.isLastSubmissionAtCanary("first submission of a baseline request"))
	h.endLastSubmission(control.Errored, false)
	must.False(t, h.isLastSubmissionAtCanary("retry of a baseline request"))
	h.endLastSubmission(control.Succeeded, true)
	must.SliceLen(t, 2, assigner.samples)
	must.Eq(t, ComparisonSample{Assignment: Assignment{7, rollout.Canary, true, 1}, Service: 1, Kind: 1, Backend: assigner.samples[0].Backend,
		Ending: control.Errored, Took: 50 * time.Millisecond}, assigner.samples[0])
	must.Eq(t, rollout.Baseline, assigner.samples[1].Side)

	h.setBackends(control.Gone, 1, 3)
	h.sendRequest(3)
	must.True(t, h.isLastSubmissionAtCanary("first submission of a canary request without baseline backends"))
	h.endLastSubmission(control.Errored, false)
	must.True(t, h.isLastSubmissionAtCanary("retry of a canary request without baseline backends"))
	h.endLastSubmission(control.Succeeded, true)
	h.sendRequest(4)
	h.advanceTo(h.now + idempotentRoute.Deadline)
	must.Eq(t, control.Reject, h.lastDecision().Action) // a baseline request is rejected if the baseline version has no backend

	h.setBackends(control.Ready, 1, 1)
	h.setCanaryBackends(control.Gone, 3)
	samplesBefore := len(assigner.samples)
	h.sendRequest(5)
	must.False(t, h.isLastSubmissionAtCanary("first submission of a canary request without canary backends"))
	h.endLastSubmission(control.Errored, false)
	must.SliceLen(t, samplesBefore, assigner.samples) // nothing is reported, since the canary had no backend
	must.Eq(t, control.Fail, h.lastDecision().Action)
}

// Guards against requests that remain at a canary after a rollback. A rollback moves the requests in the canary's queue to the baseline version.
// Submissions in flight end at the canary. If a request did not run in such a submission, it is retried at the baseline version.
func TestRollbackMovesCanaryRequestsToBaseline(t *testing.T) {
	h, assigner := newCanaryHarness(effectfulRoute, 5, 1)
	defer func() { must.SliceLen(t, 1, assigner.samples) }() // only the submission that ended at the canary is a sample
	h.t = t
	h.setBackends(control.Draining, 1, 5) // so that requests wait for the canary
	id := control.TxnID(1)
	for h.sendRequest(id); h.lastDecision().Txn == id; h.sendRequest(id) {
		id += 2
	}
	must.Greater(t, 1, id)
	h.SetRollout(1, 2, CanaryClosed)
	h.setBackends(control.Ready, 1, 5)
	h.collectDecisions()
	must.Eq(t, id, h.lastDecision().Txn)
	must.False(t, h.isLastSubmissionAtCanary("request from the canary's queue after a rollback"))
	h.endLastSubmission(control.Succeeded, true)
	h.SubmissionEnded(1, 0, firstCanaryBackend, control.Rejected, false, 50*time.Millisecond, nil) // the request has not run
	h.collectDecisions()
	must.Eq(t, 1, h.lastDecision().Txn)
	must.False(t, h.isLastSubmissionAtCanary("request that the canary rejected after a rollback"))
	h.sendRequest(101)
	must.False(t, h.isLastSubmissionAtCanary("new request after a rollback"))
	h.setBackends(control.Gone, 1, 5)
	h.sendRequest(103)
	h.advanceTo(h.now + effectfulRoute.Deadline)
	must.Eq(t, []control.Action{control.Reject}, h.actionsFor(103)) // the closed canary is not used, even if the baseline version has no backend
	h.SetRollout(1, 2, CanaryFallback)
	h.setCanaryBackends(control.Ready, 2)
	h.sendRequest(105)
	must.True(t, h.isLastSubmissionAtCanary("new request with the canary as fallback"))
}

// Guards against requests that wait or are rejected for lack of capacity at the canary, whether or not they were sent before. A request that the canary
// cannot take at once must go to the baseline version.
func TestRequestMovesToBaselineWhenCanaryLacksCapacity(t *testing.T) {
	h, assigner := newCanaryHarness(idempotentRoute, 3, 1)
	h.t = t
	id := control.TxnID(1)
	for h.sendRequest(id); h.isLastSubmissionAtCanary("request of the canary"); h.sendRequest(id) {
		must.Eq(t, id, h.lastDecision().Txn)
		id += 2
	}
	must.Greater(t, 1, id)
	must.Eq(t, id, h.lastDecision().Txn)
	h.endLastSubmission(control.Errored, false)
	must.SliceEmpty(t, assigner.samples) // the request did not end at its assigned version

	// Both backends of the canary are in use. A request that one of them rejected waits for the other one until the baseline version has a backend.
	h, _ = newCanaryHarness(idempotentRoute, 0, 2)
	h.t = t
	for id = 1; len(h.getOrCreateService(2).queue) == 0; id += 2 {
		h.sendRequest(id)
	}
	first := h.decided[0]
	h.SubmissionEnded(first.Txn, 0, first.Backend, control.Rejected, false, 50*time.Millisecond, nil)
	h.collectDecisions()
	must.True(t, h.txns[first.Txn].queued)
	h.setBackends(control.Ready, 1, 3)
	h.advanceTo(h.now + 3*waitingInterval)
	must.Eq(t, []control.Action{control.Submit, control.Submit}, h.actionsFor(first.Txn))
	must.Less(t, firstCanaryBackend, h.txns[first.Txn].lastBackend)
}

// Guards against requests at the canary that may not go there. Under random events, no request that is assigned to the baseline version is sent to the
// canary, a closed canary gets no requests, and both versions share one retry budget.
func TestBaselineRequestsNeverReachCanary(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		h, _ := newCanaryHarness(map[bool]Route{true: idempotentRoute, false: effectfulRoute}[seed%2 == 0], 3, 3)
		access, id := CanaryShared, control.TxnID(0)
		inFlight := map[control.TxnID]control.Decision{}
		submissions := map[control.TxnID]int{}
		sent := map[bool]int{}
		for range 600 {
			switch rng.Intn(8) {
			case 0:
				access = CanaryAccess(rng.Intn(2)) * CanaryShared
				h.SetRollout(1, 2, access)
			case 1:
				h.setBackends(control.BackendState(rng.Intn(2)), 1, 3)
			case 2:
				h.setCanaryBackends(control.BackendState(rng.Intn(2)), 3)
			case 3, 4:
				id++
				h.sendRequest(id)
			default:
				for txnID, decision := range inFlight {
					delete(inFlight, txnID)
					ending := control.Ending(rng.Intn(int(control.NotSent)))
					h.SubmissionEnded(txnID, submissions[txnID]-1, decision.Backend, ending, ending == control.Succeeded, 20*time.Millisecond, nil)
					break
				}
			}
			h.advanceTo(h.now + 10*time.Millisecond)
			for _, decision := range h.decided {
				if decision.Action != control.Submit {
					continue
				}
				toCanary := decision.Backend >= firstCanaryBackend
				must.False(t, toCanary && (decision.Txn%2 == 0 || access == CanaryClosed),
					must.Sprint(seed, " is the seed of the run with the decision ", decision))
				sent[toCanary]++
				inFlight[decision.Txn] = decision
				submissions[decision.Txn]++
			}
			h.decided = nil
		}
		must.Positive(t, sent[true])
		must.Positive(t, sent[false])
		must.True(t, h.getOrCreateService(1).budget == h.getOrCreateService(2).budget)
	}
}
