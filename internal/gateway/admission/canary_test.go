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
type oddAssigner struct{ comparisons []ComparisonSample }

func (o *oddAssigner) Assign(id control.TxnID, _ control.ProductID, service control.ServiceID) Assignment {
	return Assignment{Number: 7, Side: rollout.Side(id % 2), InComparison: true, Tenant: uint32(service)}
}
func (o *oddAssigner) SubmissionEnded(e ComparisonSample) { o.comparisons = append(o.comparisons, e) }

const firstCanary = 11 // backends from here on are of the canary

func newCanaryHarness(call Route, old, new int) (*harness, *oddAssigner) {
	d, s := newHarness(call, old), &oddAssigner{}
	d.SetAssigner(s)
	d.listCanary(control.Ready, new)
	d.SetRollout(1, 2, CanaryShared)
	return d, s
}

func (h *harness) listCanary(state control.BackendState, n int) {
	for i := range n {
		h.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(firstCanary + i), State: state, Capacity: 4, Service: 2}})
	}
}

func (h *harness) onCanary(what string) bool {
	h.t.Helper()
	must.Eq(h.t, control.Submit, h.last().Action, must.Sprint(what))
	return h.last().Backend >= firstCanary
}

// Where a first submission goes, and where a retry: to the baseline, to the new one only from there and where the
// baseline has nobody; never from baseline to canary. Only first ones are reported.
func TestSides(t *testing.T) {
	d, s := newCanaryHarness(idempotentRoute, 3, 3)
	d.t = t
	d.arrive(1)
	must.True(t, d.onCanary("first, new"))
	d.endLast(control.Errored, false)
	must.False(t, d.onCanary("again, from new"))
	d.endLast(control.Succeeded, true)
	d.arrive(2)
	must.False(t, d.onCanary("first, old"))
	d.endLast(control.Errored, false)
	must.False(t, d.onCanary("again, from old"))
	d.endLast(control.Succeeded, true)
	must.SliceLen(t, 2, s.comparisons)
	must.Eq(t, ComparisonSample{Assignment: Assignment{7, rollout.Canary, true, 1}, Service: 1, Kind: 1, Backend: s.comparisons[0].Backend, Ending: control.Errored,
		Took: 50 * time.Millisecond}, s.comparisons[0])
	must.Eq(t, rollout.Baseline, s.comparisons[1].Side)

	d.list(control.Gone, 1, 3)
	d.arrive(3)
	must.True(t, d.onCanary("new, with no old"))
	d.endLast(control.Errored, false)
	must.True(t, d.onCanary("again, with no old"))
	d.endLast(control.Succeeded, true)
	d.arrive(4)
	d.advance(d.now + time.Second)
	must.Eq(t, control.Reject, d.last().Action) // old, with no old

	d.list(control.Ready, 1, 1)
	d.listCanary(control.Gone, 3)
	n := len(s.comparisons)
	d.arrive(5)
	must.False(t, d.onCanary("new, with no new"))
	d.endLast(control.Errored, false)
	must.SliceLen(t, n, s.comparisons) // that is no finding about the version
	must.Eq(t, control.Fail, d.last().Action)
}

// At a rollback what waits for the canary goes to the baseline; what was sent there ends as it may, and what did not run
// goes on at the baseline.
func TestPullBack(t *testing.T) {
	d, s := newCanaryHarness(effectfulRoute, 5, 1)
	defer func() { must.SliceLen(t, 1, s.comparisons) }() // the one that was sent there and ended
	d.t = t
	id := control.TxnID(1)
	for d.arrive(id); d.last().Txn == id; d.arrive(id) {
		id += 2
	}
	must.Greater(t, 1, id)
	d.SetRollout(1, 2, CanaryClosed)
	d.pull()
	must.Eq(t, id, d.last().Txn)
	must.False(t, d.onCanary("waited"))
	d.endLast(control.Succeeded, true)
	d.SubmissionEnded(1, 0, firstCanary, control.Rejected, false, 50*time.Millisecond, nil) // it has not run
	d.pull()
	must.Eq(t, 1, d.last().Txn)
	must.False(t, d.onCanary("rejected"))
	d.arrive(101)
	must.False(t, d.onCanary("rolled back"))
	d.list(control.Gone, 1, 5)
	d.arrive(103)
	d.advance(d.now + time.Second)
	must.Eq(t, control.Reject, d.last().Action) // not even where there is nobody else
	d.SetRollout(1, 2, CanaryFallback)
	d.listCanary(control.Ready, 2)
	d.arrive(105)
	must.True(t, d.onCanary("spare"))
}

// One that finds the canary short of capacity waits for it, and then goes to the baseline instead of nowhere.
func TestShortOfRoom(t *testing.T) {
	d, s := newCanaryHarness(idempotentRoute, 3, 1)
	d.t = t
	id := control.TxnID(1)
	for d.arrive(id); d.last().Txn == id; d.arrive(id) {
		id += 2
	}
	d.advance(d.now + 100*time.Millisecond)
	must.Eq(t, id, d.last().Txn)
	must.False(t, d.onCanary("no capacity"))
	d.endLast(control.Errored, false)
	must.SliceEmpty(t, s.comparisons) // it did not end on its own side
}

// Whatever comes in whatever order: nothing of the baseline is sent to the canary, nothing at all while that is closed, and
// there is one retry budget.
func TestNeverFromOldToNew(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		d, _ := newCanaryHarness(map[bool]Route{true: idempotentRoute, false: effectfulRoute}[seed%2 == 0], 3, 3)
		open, id := CanaryShared, control.TxnID(0)
		out := map[control.TxnID]control.Decision{}
		nr := map[control.TxnID]int{}
		sent := map[bool]int{}
		for range 600 {
			switch rng.Intn(8) {
			case 0:
				open = CanaryAccess(rng.Intn(2)) * CanaryShared
				d.SetRollout(1, 2, open)
			case 1:
				d.list(control.BackendState(rng.Intn(2)), 1, 3)
			case 2:
				d.listCanary(control.BackendState(rng.Intn(2)), 3)
			case 3, 4:
				id++
				d.arrive(id)
			default:
				for i, x := range out {
					delete(out, i)
					how := control.Ending(rng.Intn(int(control.NotSent)))
					d.SubmissionEnded(i, nr[i]-1, x.Backend, how, how == control.Succeeded, 20*time.Millisecond, nil)
					break
				}
			}
			d.advance(d.now + 10*time.Millisecond)
			for _, x := range d.decided {
				if x.Action != control.Submit {
					continue
				}
				isNew := x.Backend >= firstCanary
				must.False(t, isNew && (x.Txn%2 == 0 || open == CanaryClosed), must.Sprint(seed, " ", x))
				sent[isNew]++
				out[x.Txn] = x
				nr[x.Txn]++
			}
			d.decided = nil
		}
		must.Positive(t, sent[true])
		must.Positive(t, sent[false])
		must.True(t, d.service(1).budget == d.service(2).budget)
	}
}
