package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// attemptsStep is one thing that may happen to a request.
type requestStep int

const (
	stepErrored            requestStep = iota // its submission fails after it may have run
	stepRejected                              // 421 or X-Not-Run
	stepUnreachable                           // nothing of it was sent
	stepConnectionLost                        // the connection broke after a byte of it was written
	stepUnresponsive                          // the backend is silent until it counts as dead
	stepProcessPause                          // this node stands still for a second
	stepMaxAttemptsLowered                    // a configuration lowers the route's max_tries to one
	stepAllRejecting                          // all backends reject requests for a while, so that it waits in the queue
	stepCount
)

// Whatever the order of the ends of its submissions, of standstills and of a configuration that lowers max_tries, a request runs on no
// more backends than its route allows: at the most as many as when it came, and no retry once one is allowed and it ran.
// Before LowerMaxAttempts a request under way went on by the bound that it had come with.
func TestRequestStaysWithinMaxAttemptsInAnyOrderOfEvents(t *testing.T) {
	const depth = 4
	sequences := 1
	for range depth {
		sequences *= int(stepCount)
	}
	for _, maxAttempts := range []int{1, 2, 3} {
		retriedSequences := 0
		for sequence := range sequences {
			route := idempotentRoute
			route.MaxAttempts = maxAttempts
			h := newHarness(route, 6)
			ran, bound := map[control.BackendID]bool{}, maxAttempts
			h.arrive(1)
			for step, remaining := 0, sequence; step < depth && h.txns[1] != nil; step, remaining = step+1, remaining/int(stepCount) {
				currentStep := requestStep(remaining % int(stepCount))
				if currentStep == stepMaxAttemptsLowered && bound == maxAttempts {
					bound = max(len(ran), 1)
					if request := h.txns[1]; request.inFlight && !ran[request.lastBackend] && len(ran) > 0 { // on its way already
						bound++
					}
				}
				h.playStep(currentStep, ran)
				must.LessEq(t, bound, len(ran), must.Sprintf("most %d, walk %o", maxAttempts, sequence))
			}
			if len(ran) > 1 {
				retriedSequences++
			}
		}
		must.Eq(t, maxAttempts > 1, retriedSequences > 0) // some did go to another
	}
}

// playStep lets one step happen, and notes what a backend may have run by it.
func (h *harness) playStep(step requestStep, ran map[control.BackendID]bool) {
	inFlight := h.txns[1].inFlight
	backend := h.txns[1].lastBackend
	switch step {
	case stepMaxAttemptsLowered:
		h.LowerMaxAttempts(1, 1)
	case stepProcessPause:
		h.now += time.Second
		h.Now(h.now)
	case stepAllRejecting:
		h.setBackends(control.Draining, 1, 6)
		h.takeDecisions()
		h.setBackends(control.Ready, 1, 6)
	case stepUnresponsive:
		if inFlight {
			ran[backend] = true
			h.advance(h.now + 700*time.Millisecond)
			if decision := h.lastDecision(); decision.Action == control.Cancel {
				h.endLastSubmission(control.Canceled, false)
			}
		}
	default:
		if ending := map[requestStep]control.Ending{stepErrored: control.Errored, stepRejected: control.Rejected,
			stepUnreachable: control.Unreachable, stepConnectionLost: control.ConnectionLost}[step]; inFlight {
			switch {
			case consequenceOf(ending, false, false).mayHaveRun:
				ran[backend] = true
			case ran[backend]: // silent until now: it can't say any more that it has not run
				return
			}
			h.SubmissionEnded(1, h.txns[1].submissions-1, backend, ending, false, 50*time.Millisecond, nil)
		}
	}
	h.takeDecisions()
}

// One that waits in the queue for another backend is not sent there once its route allows one alone; debug builds took it for a send
// that may not be.
func TestQueuedRetryIsDroppedWhenMaxAttemptsIsLowered(t *testing.T) {
	h := newHarness(idempotentRoute, 2)
	h.arrive(1)
	first := h.lastDecision().Backend
	other := control.BackendID(3 - first)
	for id := control.TxnID(2); h.services[0].balancer.InFlight() < 2; id++ {
		h.arrive(id)
	}
	for id := control.TxnID(2); id < 20; id++ { // the other one rejects all, and is left alone for a while
		if x := h.txns[id]; x != nil && x.inFlight && x.lastBackend == other {
			h.SubmissionEnded(id, x.submissions-1, other, control.Rejected, false, time.Millisecond, nil)
		}
	}
	h.SubmissionEnded(1, 0, first, control.Errored, false, 50*time.Millisecond, nil)
	h.takeDecisions()
	must.True(t, h.txns[1].queued)
	h.LowerMaxAttempts(1, 1)
	h.advance(h.now + 100*time.Millisecond)
	must.Nil(t, h.txns[1])
	for _, x := range h.decided {
		must.False(t, x.Action == control.Submit && x.Txn == 1 && x.Backend == other)
	}
}
