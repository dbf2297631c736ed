package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// oddAssigner sends requests with odd numbers to the canary.
type oddAssigner struct{ samples []ComparisonSample }

func (o *oddAssigner) Assign(id control.TxnID, _ control.ProductID, service control.ServiceID) Assignment {
	return Assignment{Number: 7, Side: rollout.Side(id % 2), InComparison: true, Tenant: uint32(service)}
}
func (o *oddAssigner) SubmissionEnded(e ComparisonSample) { o.samples = append(o.samples, e) }

const firstCanary = 11 // backends from here on are of the canary

func newCanaryHarness(route Route, baselineBackends, canaryBackends int) (*harness, *oddAssigner) {
	h, assigner := newHarness(route, baselineBackends), &oddAssigner{}
	h.SetAssigner(assigner)
	h.setCanaryBackends(control.Ready, canaryBackends)
	h.SetRollout(1, 2, CanaryShared)
	return h, assigner
}

func (h *harness) setCanaryBackends(state control.BackendState, n int) {
	for i := range n {
		h.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(firstCanary + i), State: state, Capacity: 4, Service: 2}})
	}
}

func (h *harness) sentToCanary(what string) bool {
	h.t.Helper()
	must.Eq(h.t, control.Submit, h.lastDecision().Action, must.Sprint(what))
	return h.lastDecision().Backend >= firstCanary
}

// Where a first submission goes, and where a retry: to the baseline, to the new one only from there and where the
// baseline has nobody; never from baseline to canary. Only first ones are reported.
func TestCanaryRequestsMayRetryAtBaselineButNotTheReverse(t *testing.T) {
	h, assigner := newCanaryHarness(idempotentRoute, 3, 3)
	h.t = t
	h.arrive(1)
	must.True(t, h.sentToCanary("first, new"))
	h.endLastSubmission(control.Errored, false)
	must.False(t, h.sentToCanary("again, from new"))
	h.endLastSubmission(control.Succeeded, true)
	h.arrive(2)
	must.False(t, h.sentToCanary("first, old"))
	h.endLastSubmission(control.Errored, false)
	must.False(t, h.sentToCanary("again, from old"))
	h.endLastSubmission(control.Succeeded, true)
	must.SliceLen(t, 2, assigner.samples)
	must.Eq(t, ComparisonSample{Assignment: Assignment{7, rollout.Canary, true, 1}, Service: 1, Kind: 1, Backend: assigner.samples[0].Backend, Ending: control.Errored,
		Took: 50 * time.Millisecond}, assigner.samples[0])
	must.Eq(t, rollout.Baseline, assigner.samples[1].Side)

	h.setBackends(control.Gone, 1, 3)
	h.arrive(3)
	must.True(t, h.sentToCanary("new, with no old"))
	h.endLastSubmission(control.Errored, false)
	must.True(t, h.sentToCanary("again, with no old"))
	h.endLastSubmission(control.Succeeded, true)
	h.arrive(4)
	h.advance(h.now + time.Second)
	must.Eq(t, control.Reject, h.lastDecision().Action) // old, with no old

	h.setBackends(control.Ready, 1, 1)
	h.setCanaryBackends(control.Gone, 3)
	n := len(assigner.samples)
	h.arrive(5)
	must.False(t, h.sentToCanary("new, with no new"))
	h.endLastSubmission(control.Errored, false)
	must.SliceLen(t, n, assigner.samples) // that is no finding about the version
	must.Eq(t, control.Fail, h.lastDecision().Action)
}

// At a rollback what waits for the canary goes to the baseline; what was sent there ends as it may, and what did not run
// goes on at the baseline.
func TestRollbackMovesCanaryRequestsToBaseline(t *testing.T) {
	h, assigner := newCanaryHarness(effectfulRoute, 5, 1)
	defer func() { must.SliceLen(t, 1, assigner.samples) }() // the one that was sent there and ended
	h.t = t
	id := control.TxnID(1)
	for h.arrive(id); h.lastDecision().Txn == id; h.arrive(id) {
		id += 2
	}
	must.Greater(t, 1, id)
	h.SetRollout(1, 2, CanaryClosed)
	h.takeDecisions()
	must.Eq(t, id, h.lastDecision().Txn)
	must.False(t, h.sentToCanary("waited"))
	h.endLastSubmission(control.Succeeded, true)
	h.SubmissionEnded(1, 0, firstCanary, control.Rejected, false, 50*time.Millisecond, nil) // it has not run
	h.takeDecisions()
	must.Eq(t, 1, h.lastDecision().Txn)
	must.False(t, h.sentToCanary("rejected"))
	h.arrive(101)
	must.False(t, h.sentToCanary("rolled back"))
	h.setBackends(control.Gone, 1, 5)
	h.arrive(103)
	h.advance(h.now + time.Second)
	must.Eq(t, control.Reject, h.lastDecision().Action) // not even where there is nobody else
	h.SetRollout(1, 2, CanaryFallback)
	h.setCanaryBackends(control.Ready, 2)
	h.arrive(105)
	must.True(t, h.sentToCanary("spare"))
}

// One that finds the canary short of capacity waits for it, and then goes to the baseline instead of nowhere.
func TestRequestMovesToBaselineWhenCanaryLacksCapacity(t *testing.T) {
	h, assigner := newCanaryHarness(idempotentRoute, 3, 1)
	h.t = t
	id := control.TxnID(1)
	for h.arrive(id); h.lastDecision().Txn == id; h.arrive(id) {
		id += 2
	}
	h.advance(h.now + 100*time.Millisecond)
	must.Eq(t, id, h.lastDecision().Txn)
	must.False(t, h.sentToCanary("no capacity"))
	h.endLastSubmission(control.Errored, false)
	must.SliceEmpty(t, assigner.samples) // it did not end on its own side
}

// Whatever comes in whatever order: nothing of the baseline is sent to the canary, nothing at all while that is closed, and
// there is one retry budget.
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
				h.arrive(id)
			default:
				for i, x := range inFlight {
					delete(inFlight, i)
					ending := control.Ending(rng.Intn(int(control.NotSent)))
					h.SubmissionEnded(i, submissions[i]-1, x.Backend, ending, ending == control.Succeeded, 20*time.Millisecond, nil)
					break
				}
			}
			h.advance(h.now + 10*time.Millisecond)
			for _, x := range h.decided {
				if x.Action != control.Submit {
					continue
				}
				toCanary := x.Backend >= firstCanary
				must.False(t, toCanary && (x.Txn%2 == 0 || access == CanaryClosed), must.Sprint(seed, " ", x))
				sent[toCanary]++
				inFlight[x.Txn] = x
				submissions[x.Txn]++
			}
			h.decided = nil
		}
		must.Positive(t, sent[true])
		must.Positive(t, sent[false])
		must.True(t, h.service(1).budget == h.service(2).budget)
	}
}
