package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/control/quota"
)

// newUnlimitedLimiter returns a limiter without limits.
func newUnlimitedLimiter() *quota.Limiter {
	return quota.NewLimiter(1, 0, 1, 0, quota.Config{MinInterval: 200 * time.Millisecond, SnapshotTTL: time.Second,
		DatagramsPerSecond: 100})
}

// harness is a controller together with a simulated host.
type harness struct {
	*Controller
	t       *testing.T // set by tests that use isLastSubmissionAtCanary
	now     time.Duration
	decided []control.Decision // all decisions except wake-ups and log entries
}

// newHarness returns the result of newSeededHarness for seed 1.
func newHarness(route Route, backends int) *harness { return newSeededHarness(1, route, backends) }

// newSeededHarness returns a harness with a route, whose product ID is 1, to service 1. backends is the number of ready backends of the service.
// Their IDs are consecutive, and the first ID is 1.
func newSeededHarness(seed int64, route Route, backends int) *harness {
	h := &harness{Controller: New(seed, Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 64, Nodes: 2},
		newUnlimitedLimiter(), 0)}
	route.Targets = []Target{{1, 1}}
	h.SetRoute(1, route)
	h.setBackends(control.Ready, 1, backends)
	h.advanceTo(30 * time.Second) // until the retry budget is filled
	return h
}

// setBackends sets the state of the backends of service 1 whose ID is at least firstID and at most lastID. It adds backends that are not listed yet.
func (h *harness) setBackends(state control.BackendState, firstID, lastID int) {
	for i := firstID; i <= lastID; i++ {
		h.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(i), State: state, Capacity: 4, Service: 1}})
	}
}

// advanceTo advances the time to until, in steps of 10 ms, and calls collectDecisions after each step.
func (h *harness) advanceTo(until time.Duration) {
	for h.now < until {
		h.now = min(h.now+10*time.Millisecond, until)
		h.collectDecisions()
	}
}

// collectDecisions takes all pending decisions from the controller at the present time and appends them to h.decided, except wake-ups and log entries.
func (h *harness) collectDecisions() {
	h.Now(h.now)
	for decision, ok := h.Next(); ok; decision, ok = h.Next() {
		if decision.Action != control.Wake && decision.Action != control.Log {
			h.decided = append(h.decided, decision)
		}
	}
}

// sendRequest lets a request with product ID 1 arrive and calls collectDecisions.
func (h *harness) sendRequest(id control.TxnID) {
	h.TxnArrived(control.Txn{ID: id, Product: 1, Units: 1, Expiry: h.now + 10*time.Second})
	h.collectDecisions()
}

// endLastSubmission reports the end of the submission in the last decision and collects the decisions that follow.
func (h *harness) endLastSubmission(ending control.Ending, answered bool) {
	decision := h.lastDecision()
	h.SubmissionEnded(decision.Txn, h.txns[decision.Txn].submissions-1, decision.Backend, ending, answered, 50*time.Millisecond, nil)
	h.collectDecisions()
}

// lastDecision returns the newest decision that is not a wake-up or a log entry.
func (h *harness) lastDecision() control.Decision { return h.decided[len(h.decided)-1] }

var idempotentRoute = Route{LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2}
var effectfulRoute = Route{Effectful: true, LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2}

// Guards against an effectful request that is sent again although it may have run, and against a second answer to a client that has received a part
// of an answer. The test checks each row of the variable consequences, and that the controller acts as the row says.
func TestConsequenceOfEachEnding(t *testing.T) {
	must.MapLen(t, 4*(int(control.NotSent)+1), consequences)
	for key, want := range consequences {
		provesNotRun := key.ending == control.Rejected || key.ending == control.Unreachable || key.ending == control.NotSent
		must.Eq(t, !provesNotRun, want.mayHaveRun)
		if key.answerStarted || key.ending == control.Succeeded {
			must.Eq(t, noFurtherAnswer, want.answer)
			must.False(t, want.retryable)
		} else {
			must.Eq(t, provesNotRun, want.answer == answerReject) // Reject guarantees that the request has not run
			must.Eq(t, provesNotRun || !key.effectful, want.retryable)
		}
		// The controller must act as the row of consequences says, with a route that allows one attempt and with a route that allows two.
		route := map[bool]Route{false: idempotentRoute, true: effectfulRoute}[key.effectful]
		for route.MaxAttempts = 1; route.MaxAttempts <= 2; route.MaxAttempts++ {
			h := newHarness(route, 3)
			h.sendRequest(1)
			must.Eq(t, control.Submit, h.lastDecision().Action)
			first := h.lastDecision().Backend
			h.endLastSubmission(key.ending, key.answerStarted || key.ending == control.Succeeded)
			decision := h.lastDecision()
			switch {
			case want.answer == noFurtherAnswer:
				must.Len(t, 1, h.decided)
			case want.retryable && (route.MaxAttempts == 2 || !want.mayHaveArrived) && key.ending != control.TimedOut:
				must.Eq(t, control.Submit, decision.Action)
				must.NotEq(t, first, decision.Backend)
				h.endLastSubmission(control.Rejected, false)
				must.Eq(t, want.mayHaveRun, h.lastDecision().Action == control.Fail)
			case want.answer == answerReject:
				must.Eq(t, control.Reject, decision.Action)
			default:
				must.Eq(t, control.Fail, decision.Action)
			}
			must.Eq(t, len(h.txns), h.services[0].txnCount)
		}
	}
}

// Guards against retries that multiply the load. The number of retries in any window must stay within the bound of the retry budget, whatever the
// load is. A new budget must be empty.
func TestRetryBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	const nodes, window = 4, 10 * time.Second
	budgets := make([]retryBudget, nodes)
	for i := range budgets {
		budgets[i].window = window
	}
	var firstSubmissions, retries [120]float64 // by second
	for now := time.Duration(0); now < 120*time.Second; now += 10 * time.Millisecond {
		for i := range budgets {
			budgets[i].advance(now, refillShare*64/nodes)
			if s := int(now.Seconds()); s%40 > 25 || now%(500*time.Millisecond) == 0 { // bursts of requests, and few requests between the bursts
				budgets[i].depositTokens(depositShare * 0.2)
				firstSubmissions[s]++
			}
			for s := int(now.Seconds()); (s%20 > 8) && budgets[i].withdrawToken(); { // all tokens are withdrawn after some time without retries
				retries[s]++
			}
			if now == 66*time.Second {
				budgets[i] = retryBudget{window: window, updatedAt: now, slice: int64(now / (window / windowSlices))}
				must.False(t, budgets[i].withdrawToken())
			}
		}
	}
	sum := func(of [120]float64, from int) (n float64) {
		for s := max(from, 0); s < min(from+10, 120); s++ {
			n += of[s]
		}
		return n
	}
	allRetries := 0.0
	for s := range 120 {
		requests := max(sum(firstSubmissions, s), sum(firstSubmissions, s-5), sum(firstSubmissions, s-10))
		must.LessEq(t, 0.2*requests+64, sum(retries, s))
		allRetries += retries[s]
	}
	must.Greater(t, 100, allRetries) // the bound is not kept by allowing no retries
}

// Guards against retries that keep backends overloaded when all backends reject all requests. The number of retries must stay within the bound of the
// retry budget, whatever the seed is. The seed determines how many requests are sent before no backend gets requests any more. Submissions of requests
// that first waited for a backend count too.
func TestRetryBudgetEndsStormOfRejections(t *testing.T) {
	const seeds = 12
	sentInAllRuns := 0
	for seed := range int64(seeds) {
		h := newSeededHarness(seed+1, idempotentRoute, 40)
		sentTxns, retries, examined := map[control.TxnID]bool{}, 0, 0
		rejectSubmissions := func() {
			for ; examined < len(h.decided); examined++ {
				decision := h.decided[examined]
				if decision.Action != control.Submit {
					continue
				}
				if sentTxns[decision.Txn] {
					retries++
				}
				sentTxns[decision.Txn] = true
				h.SubmissionEnded(decision.Txn, h.txns[decision.Txn].submissions-1, decision.Backend, control.Rejected, false, 50*time.Millisecond, nil)
				h.collectDecisions()
			}
		}
		for id := control.TxnID(1); id <= 2000; id++ {
			h.sendRequest(id)
			rejectSubmissions()
			h.advanceTo(h.now + 2*time.Millisecond)
			rejectSubmissions()
		}
		h.advanceTo(h.now + idempotentRoute.Deadline)
		must.LessEq(t, 0.1*float64(len(sentTxns))+2*refillShare*64/2, float64(retries))
		must.MapLen(t, h.services[0].balancer.InFlightCount(), h.txns)
		sentInAllRuns += len(sentTxns)
	}
	must.Greater(t, 50*seeds, sentInAllRuns)
}

// Guards against a request that is not answered by its deadline. A request in flight fails at its deadline and is canceled at its backend. The
// controller keeps the request until the submission has ended.
func TestRequestFailsAtDeadlineAndIsCanceled(t *testing.T) {
	h := newHarness(effectfulRoute, 1)
	start := h.now
	h.sendRequest(1)
	must.Eq(t, 1500*time.Millisecond-deadlineMargin, h.lastDecision().After)
	h.advanceTo(start + 1490*time.Millisecond)
	must.Len(t, 1, h.decided)
	h.advanceTo(start + 1500*time.Millisecond)
	must.Eq(t, []control.Action{control.Submit, control.Fail, control.Cancel}, h.decidedActions())
	must.Eq(t, control.ReasonNoTime, h.decided[1].Reason)
	must.MapLen(t, 1, h.txns) // the end of the submission has not been reported yet
	h.SubmissionEnded(1, 0, 1, control.Canceled, true, 1500*time.Millisecond, nil)
	must.MapEmpty(t, h.txns)
}

// decidedActions returns the actions of all decisions, in order.
func (h *harness) decidedActions() (all []control.Action) {
	for _, decision := range h.decided {
		all = append(all, decision.Action)
	}
	return all
}

// Guards against sending requests that expired during a pause of the process.
func TestExpiredRequestsAreNotSentAfterProcessPause(t *testing.T) {
	h := newHarness(idempotentRoute, 1)
	h.TxnArrived(control.Txn{ID: 1, Product: 1, Expiry: h.now + 1500*time.Millisecond})
	h.TxnArrived(control.Txn{ID: 2, Product: 1, Expiry: h.now + 60*time.Second})
	h.routes[1].Deadline = 0
	h.TxnArrived(control.Txn{ID: 3, Product: 1, Expiry: h.now + 60*time.Second})
	h.now += 2 * time.Second
	h.collectDecisions()
	must.Eq(t, []control.Action{control.Reject, control.Reject, control.Submit}, h.decidedActions())
	must.Eq(t, h.now, h.pausedUntil)
}

// Guards against a queue that is not ordered by priority, and against requests that wait without a bound while all backends are saturated. A draining
// backend gets no new requests, and its requests in flight continue.
func TestQueueIsOrderedByPriorityAndBoundedInTime(t *testing.T) {
	h := newHarness(idempotentRoute, 1)
	lowPriorityRoute := idempotentRoute
	lowPriorityRoute.Priority, lowPriorityRoute.Targets = 5, []Target{{1, 1}}
	h.SetRoute(2, lowPriorityRoute)
	id := control.TxnID(1)
	for h.sendRequest(id); h.lastDecision().Txn == id; h.sendRequest(id) {
		id++
	}
	h.TxnArrived(control.Txn{ID: 100, Product: 2, Expiry: h.now + time.Minute})
	h.sendRequest(101)
	h.decided = h.decided[:1]
	h.SubmissionEnded(1, 0, 1, control.Succeeded, true, 50*time.Millisecond, nil) // the backend has answered, so it gets more requests
	h.collectDecisions()
	for i, want := range []control.TxnID{1, id, 101, 100} {
		must.Eq(t, want, h.decided[i].Txn)
	}
	h.setBackends(control.Draining, 1, 1)
	h.sendRequest(200)
	start := h.now
	lastStart := start + idempotentRoute.Deadline - 50*time.Millisecond // 50 ms is the typical latency
	h.advanceTo(lastStart - 20*time.Millisecond)
	must.Eq(t, 100, h.lastDecision().Txn)
	h.advanceTo(lastStart)
	must.Eq(t, control.Reject, h.lastDecision().Action)
	must.Eq(t, 200, h.lastDecision().Txn)
	must.Greater(t, 0, h.lastDecision().After)
	h.SubmissionEnded(101, 0, 1, control.Succeeded, true, 50*time.Millisecond, nil)
	must.MapLen(t, h.services[0].balancer.InFlightCount(), h.txns)
}

// Guards against a request beyond its quota that waits or is rejected without a useful Retry-After time. The request must be rejected at once, with the
// time after which units are available.
func TestRequestBeyondQuotaIsRejectedWithRetryAfter(t *testing.T) {
	h := newHarness(idempotentRoute, 3)
	h.limiter.(*quota.Limiter).SetLimit(7, 1, 2)
	h.advanceTo(h.now + 5*time.Second)
	for id := control.TxnID(1); id <= 3; id++ {
		h.TxnArrived(control.Txn{ID: id, Product: 1, Customer: 7, Units: 1, Expiry: h.now + time.Minute})
		h.collectDecisions()
	}
	must.Eq(t, []control.Action{control.Submit, control.Submit, control.Reject}, h.decidedActions())
	must.Eq(t, control.ReasonNoUnits, h.lastDecision().Reason)
	must.Between(t, 500*time.Millisecond, h.lastDecision().After, 1001*time.Millisecond)
}

// Guards against idempotent requests that stay at a backend that does not respond. They must be canceled there while another backend responds.
func TestIdempotentRequestIsCanceledAtDeadBackend(t *testing.T) {
	h := newHarness(idempotentRoute, 2)
	for id := control.TxnID(1); id <= 60; id++ { // backend 1 does not respond
		h.sendRequest(id)
		if h.lastDecision().Action == control.Submit && h.lastDecision().Txn == id && h.lastDecision().Backend == 2 {
			h.advanceTo(h.now + 20*time.Millisecond)
			h.SubmissionEnded(id, 0, 2, control.Succeeded, true, 20*time.Millisecond, nil)
		}
	}
	cancellations := 0
	for _, decision := range h.decided {
		if decision.Action == control.Cancel {
			cancellations++
		}
	}
	must.Greater(t, 0, cancellations)
}

// Guards against a check for a dead backend that waits for a share of the latency target. Whether a backend is dead follows from the time that its
// responses usually take, so a request must leave the backend after the same time, whatever the target of its route is.
func TestDeadBackendIsFoundRegardlessOfLatencyTarget(t *testing.T) {
	cancellationTime := func(target time.Duration) time.Duration {
		h := newHarness(Route{LatencyTarget: target, Deadline: 5 * time.Second, MaxAttempts: 2}, 2)
		for id := control.TxnID(1); id <= 200; id++ { // backend 1 does not respond
			h.sendRequest(id)
			if h.lastDecision().Action == control.Submit && h.lastDecision().Txn == id && h.lastDecision().Backend == 2 {
				h.advanceTo(h.now + 20*time.Millisecond)
				h.SubmissionEnded(id, 0, 2, control.Succeeded, true, 20*time.Millisecond, nil)
				h.collectDecisions()
			}
			for _, decision := range h.decided {
				if decision.Action == control.Cancel {
					return h.now - h.txns[decision.Txn].sentAt
				}
			}
		}
		t.Fatal("no request left the dead backend")
		return 0
	}
	short := cancellationTime(400 * time.Millisecond)
	must.Between(t, minDeadTime, short, 2*minDeadTime)
	must.Eq(t, short, cancellationTime(3*time.Second))
}

var _ Limiter = (*quota.Limiter)(nil)

// Guards against a timer of an earlier request that ends a later request with the same ID. Request IDs are reused.
func TestTimerOfEarlierRequestWithSameIDHasNoEffect(t *testing.T) {
	h := newHarness(Route{Effectful: true, LatencyTarget: time.Second, MaxAttempts: 1}, 1)
	h.sendRequest(7) // expires in 10 s
	h.collectDecisions()
	h.SubmissionEnded(7, 0, 1, control.Succeeded, true, time.Millisecond, nil)
	h.advanceTo(h.now + 9*time.Second)
	h.sendRequest(7)
	h.collectDecisions()
	h.decided = nil
	h.advanceTo(h.now + 5*time.Second)
	must.SliceEmpty(t, h.decided)
	h.advanceTo(h.now + 6*time.Second)
	must.Eq(t, control.Fail, h.decided[0].Action)
}

// Guards against a random choice of targets, which differs from the weights by 0.05 or more in one of twelve runs of 300 requests. Over all nodes
// together, each target must get the share of its weight within few requests, even if configurations change. A target without backends gets no
// requests, and the other targets get its share.
func TestTargetsGetTheirShareOfWeights(t *testing.T) {
	const nodes, requestsPerNode = 12, 25
	for _, weights := range [][]int{{50, 50}, {90, 10}, {1, 2, 3}, {97, 3}} {
		weightSum, requests := 0, map[control.ServiceID]int{}
		for _, w := range weights {
			weightSum += w
		}
		for n := range nodes {
			controller := New(int64(n), Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, Nodes: nodes}, newUnlimitedLimiter(), 0)
			route := Route{Deadline: time.Second}
			for i, w := range weights {
				id := control.ServiceID(i + 1)
				route.Targets = append(route.Targets, Target{id, w})
				controller.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(id), State: control.Ready, Capacity: 4, Service: id}})
			}
			for i := range requestsPerNode {
				if i%4 == 0 {
					controller.SetRoute(1, route)
				}
				requests[controller.chooseService(controller.routes[1]).id]++
			}
		}
		for i, w := range weights {
			share := float64(requests[control.ServiceID(i+1)]) / (nodes * requestsPerNode)
			must.Between(t, float64(w)/float64(weightSum)-0.02, share, float64(w)/float64(weightSum)+0.02, must.Sprint(weights, requests))
		}
	}
	controller := New(1, Config{Nodes: 1}, newUnlimitedLimiter(), 0)
	controller.SetRoute(1, Route{Targets: []Target{{1, 50}, {2, 50}}})
	controller.EndpointsChanged(false, []control.Endpoint{{ID: 2, State: control.Ready, Capacity: 4, Service: 2}})
	for range 20 {
		must.Eq(t, 2, controller.chooseService(controller.routes[1]).id)
	}
}
