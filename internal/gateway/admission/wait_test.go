package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// waitCase describes a request that arrives while the backends of its service process as many requests as they can.
type waitCase struct {
	target, deadline time.Duration // of the route
	clientTime       time.Duration // time for which the client waits
	work             time.Duration // typical latency
	// rejectedBefore means that another backend has rejected the request, clientTime before the client leaves.
	rejectedBefore bool
}

// newSaturatedHarness returns a harness whose two backends have answered one request each after the time work and have no free slot now. The next free
// ID is returned too.
func newSaturatedHarness(route Route, work time.Duration) (*harness, control.TxnID) {
	h := newHarness(route, 2)
	for id := control.TxnID(1); id <= 8; id++ {
		h.sendRequest(id)
		h.SubmissionEnded(id, 0, h.lastDecision().Backend, control.Succeeded, true, work, nil)
	}
	id := control.TxnID(100)
	for h.TxnArrived(control.Txn{ID: id, Product: 1, Expiry: h.now + time.Hour}); ; h.TxnArrived(control.Txn{ID: id, Product: 1, Expiry: h.now + time.Hour}) {
		h.collectDecisions()
		if h.lastDecision().Txn != id {
			h.ClientLeft(id)
			return h, id + 1
		}
		id++
	}
}

// wait returns the time after which the request of a case is rejected if no backend gets a free slot. The test fails if it is not rejected. work is the
// time that the request needs: until one of the requests in flight is expected to end, and for its own processing.
func (w waitCase) wait(t *testing.T) (wait, work time.Duration) {
	t.Helper()
	route := Route{LatencyTarget: w.target, Deadline: w.deadline, MaxAttempts: 3}
	h, id := newSaturatedHarness(route, w.work)
	h.TxnArrived(control.Txn{ID: id, Product: 1, Expiry: h.now + w.clientTime})
	if w.rejectedBefore {
		request := h.txns[id]
		h.setBackends(control.Ready, 3, 3)
		h.collectDecisions()
		must.True(t, request.inFlight)
		h.setBackends(control.Gone, 3, 3)
		h.SubmissionEnded(id, 0, 3, control.Rejected, false, 0, nil)
	}
	start := h.now
	h.collectDecisions()
	for h.txns[id] != nil && h.now < start+time.Minute {
		h.now += time.Millisecond
		h.collectDecisions()
	}
	must.Eq(t, control.Reject, h.actionsFor(id)[len(h.actionsFor(id))-1])
	return h.now - start, expectedDelay(w.work, h.services[0].balancer.Concurrency(h.now)) + w.work
}

// Guards against a wait that does not follow from the time that the client has and from the work that is left. Before, the wait was a share of the
// latency target, with another share for a request that had been sent before. The wait ends at the first check of the queue at which the time left is too
// short for the work.
func TestWaitFollowsFromClientTimeAndWork(t *testing.T) {
	for _, target := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		for _, work := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond} {
			base := waitCase{target: target, deadline: 3 * time.Second, clientTime: 3 * time.Second, work: work}
			checkWait(t, base, base.deadline)

			impatient := base
			impatient.clientTime = 1500 * time.Millisecond
			checkWait(t, impatient, impatient.clientTime)

			bounded := base
			bounded.deadline = 1300 * time.Millisecond
			checkWait(t, bounded, bounded.deadline)
		}
	}
}

// checkWait checks that the request of a case waits as long as it can still be answered within the given time.
func checkWait(t *testing.T, w waitCase, within time.Duration) {
	t.Helper()
	wait, work := w.wait(t)
	must.LessEq(t, 2*w.work, work)
	latest := within - deadlineMargin - work
	must.Between(t, latest, wait, latest+waitingInterval)
}

// Guards against requests that are treated differently because they were sent before. With the same time left, the wait must be the same.
func TestRetryWaitsLikeFirstSubmission(t *testing.T) {
	for _, work := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond} {
		for _, clientTime := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			first := waitCase{target: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, clientTime: clientTime, work: work}
			retry := first
			retry.rejectedBefore = true
			firstWait, _ := first.wait(t)
			retryWait, _ := retry.wait(t)
			must.Eq(t, firstWait, retryWait)
		}
	}
}

// Guards against a queue in which a request that was sent before overtakes an earlier request of the same priority.
func TestQueueOrderDependsOnPriorityAndArrivalOnly(t *testing.T) {
	earlier := &txn{arrivedAt: time.Second}
	later := &txn{arrivedAt: 2 * time.Second, submissions: 1, attempted: []control.BackendID{1}}
	urgent := &txn{arrivedAt: 3 * time.Second, rank: [2]int{0, -1}}
	must.Eq(t, -1, compareQueued(earlier, later))
	must.Eq(t, 1, compareQueued(later, earlier))
	must.Eq(t, -1, compareQueued(urgent, earlier))
}

// Guards against a long queue in which every request waits in vain, or is answered after its target. Who finds so much work ahead that an answer by the
// target cannot be expected is rejected on arrival, and the Retry-After time grows with the queue. More work for each request makes the queue shorter.
func TestRequestBehindTooMuchWorkIsRejectedOnArrival(t *testing.T) {
	longestQueue := 0
	for _, work := range []time.Duration{150 * time.Millisecond, 50 * time.Millisecond} {
		h, id := newSaturatedHarness(Route{LatencyTarget: 400 * time.Millisecond, Deadline: 3 * time.Second, MaxAttempts: 2}, work)
		h.decided = nil
		for ; len(h.decided) == 0; id++ {
			must.Less(t, 1000, id)
			h.sendRequest(id)
		}
		queueLength, concurrency := len(h.services[0].queue), h.services[0].balancer.Concurrency(h.now)
		must.Eq(t, control.Reject, h.lastDecision().Action)
		must.Eq(t, id-1, h.lastDecision().Txn)
		expectedDelay := time.Duration(float64(queueLength+1) * float64(work) / concurrency) // of the rejected request
		lastWait := time.Duration(float64(queueLength) * float64(work) / concurrency)        // of the last request in the queue
		must.LessEq(t, 400*time.Millisecond, lastWait+work)
		must.Greater(t, 400*time.Millisecond, expectedDelay+work)
		must.Between(t, expectedDelay/2, h.lastDecision().After, 2*expectedDelay)
		must.Greater(t, longestQueue, queueLength)
		longestQueue = queueLength
	}
}

// Guards against a wait in vain that ends only at the deadline. When backends leave, the requests that the remaining backend cannot serve in time are
// rejected at once.
func TestWaitEndsWhenBackendsLeave(t *testing.T) {
	h, id := newSaturatedHarness(Route{LatencyTarget: 1200 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2}, 300*time.Millisecond)
	h.decided = nil
	for ; len(h.decided) == 0; id++ {
		h.sendRequest(id)
	}
	before := len(h.services[0].queue)
	must.Greater(t, 8, before)
	for id := control.TxnID(100); h.txns[id] != nil && h.txns[id].inFlight; id++ { // the backends fail
		h.SubmissionEnded(id, 0, h.txns[id].lastBackend, control.Errored, true, 0, nil)
	}
	h.setBackends(control.Draining, 1, 1)
	h.advanceTo(h.now + waitingInterval)
	must.Less(t, before, len(h.services[0].queue))
	waiting := 0
	concurrency := h.services[0].balancer.Concurrency(h.now)
	for position, t := range h.services[0].queue {
		wait := expectedDelay(time.Duration(position+1)*300*time.Millisecond, concurrency)
		if wait+300*time.Millisecond > t.deadline-h.now+waitingInterval {
			waiting++
		}
	}
	must.Zero(t, waiting)
}

// Guards against a typical latency that keeps all requests from the backends for ever. After a time without responses, a request with less time than
// the typical latency is sent, and the response corrects the typical latency.
func TestOutdatedLatencyDoesNotKeepRequestsFromBackends(t *testing.T) {
	h := newHarness(Route{LatencyTarget: 400 * time.Millisecond, Deadline: time.Minute, MaxAttempts: 1}, 2)
	h.sendRequest(1)
	h.SubmissionEnded(1, 0, h.lastDecision().Backend, control.Succeeded, true, 3*time.Second, nil)
	h.TxnArrived(control.Txn{ID: 2, Product: 1, Expiry: h.now + time.Second})
	h.collectDecisions()
	must.Eq(t, []control.Action{control.Reject}, h.actionsFor(2))
	h.advanceTo(h.now + 6*time.Second)
	h.TxnArrived(control.Txn{ID: 3, Product: 1, Expiry: h.now + time.Second})
	h.collectDecisions()
	must.Eq(t, []control.Action{control.Submit}, h.actionsFor(3))
	h.SubmissionEnded(3, 0, h.lastDecision().Backend, control.Succeeded, true, 50*time.Millisecond, nil)
	h.TxnArrived(control.Txn{ID: 4, Product: 1, Expiry: h.now + time.Second})
	h.collectDecisions()
	must.Eq(t, []control.Action{control.Submit}, h.actionsFor(4))
}
