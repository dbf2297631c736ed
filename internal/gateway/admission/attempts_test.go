package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// requestStep is an event during the processing of a request.
type requestStep int

const (
	stepErrored            requestStep = iota // the submission fails after it may have run
	stepRejected                              // the backend answers 421 or X-Not-Run
	stepUnreachable                           // no connection was made, so nothing was sent
	stepConnectionLost                        // the connection is lost after a byte was written
	stepUnresponsive                          // the backend does not answer until it counts as dead
	stepProcessPause                          // this node is paused for a second
	stepMaxAttemptsLowered                    // LowerMaxAttempts lowers the route's maximum to one attempt
	stepAllDraining                           // all backends drain and are ready again, so that the request may wait in the queue
	stepCount
)

// Guards against a request that runs on more backends than its route allows. The test runs all sequences of four steps, see requestStep. A request may
// run on as many backends as its route allowed at the arrival of the request. Once the maximum (max_tries in the configuration) is lowered to one, a
// request that may have run is not retried. Before LowerMaxAttempts existed, the maximum at the arrival remained in force until the request ended.
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
			ran, maxRan := map[control.BackendID]bool{}, maxAttempts
			h.sendRequest(1)
			for step, remaining := 0, sequence; step < depth && h.txns[1] != nil; step, remaining = step+1, remaining/int(stepCount) {
				currentStep := requestStep(remaining % int(stepCount))
				if currentStep == stepMaxAttemptsLowered && maxRan == maxAttempts {
					maxRan = max(len(ran), 1)
					if request := h.txns[1]; request.inFlight && !ran[request.lastBackend] && len(ran) > 0 { // the submission in flight may still run
						maxRan++
					}
				}
				h.playStep(currentStep, ran)
				must.LessEq(t, maxRan, len(ran), must.Sprintf("max attempts %d, sequence %o (octal, lowest digit: first step)", maxAttempts, sequence))
			}
			if len(ran) > 1 {
				retriedSequences++
			}
		}
		must.Eq(t, maxAttempts > 1, retriedSequences > 0) // retries occur in some sequences
	}
}

// playStep performs a step of request 1. It adds the backends that may have run the request to ran.
func (h *harness) playStep(step requestStep, ran map[control.BackendID]bool) {
	inFlight := h.txns[1].inFlight
	backend := h.txns[1].lastBackend
	switch step {
	case stepMaxAttemptsLowered:
		h.LowerMaxAttempts(1, 1)
	case stepProcessPause:
		h.now += time.Second
		h.Now(h.now)
	case stepAllDraining:
		h.setBackends(control.Draining, 1, 6)
		h.collectDecisions()
		h.setBackends(control.Ready, 1, 6)
	case stepUnresponsive:
		if inFlight {
			ran[backend] = true
			h.advanceTo(h.now + 700*time.Millisecond)
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
			case ran[backend]: // the backend was unresponsive and may have run the request, so no ending may say that it has not
				return
			}
			h.SubmissionEnded(1, h.txns[1].submissions-1, backend, ending, false, 50*time.Millisecond, nil)
		}
	}
	h.collectDecisions()
}

// Guards against a retry that is sent from the queue after the maximum number of attempts of its route was lowered to one. Such a submission violates
// an invariant, at which debug builds stopped.
func TestQueuedRetryIsDroppedWhenMaxAttemptsIsLowered(t *testing.T) {
	h := newHarness(idempotentRoute, 2)
	h.sendRequest(1)
	first := h.lastDecision().Backend
	other := control.BackendID(3 - first)
	for id := control.TxnID(2); h.services[0].balancer.InFlightCount() < 2; id++ {
		h.sendRequest(id)
	}
	for id := control.TxnID(2); id < 20; id++ { // the other backend rejects all requests and gets none for a while
		if request := h.txns[id]; request != nil && request.inFlight && request.lastBackend == other {
			h.SubmissionEnded(id, request.submissions-1, other, control.Rejected, false, time.Millisecond, nil)
		}
	}
	h.SubmissionEnded(1, 0, first, control.Errored, false, 50*time.Millisecond, nil)
	h.collectDecisions()
	must.True(t, h.txns[1].queued)
	h.LowerMaxAttempts(1, 1)
	h.advanceTo(h.now + 100*time.Millisecond)
	must.Nil(t, h.txns[1])
	for _, decision := range h.decided {
		must.False(t, decision.Action == control.Submit && decision.Txn == 1 && decision.Backend == other)
	}
}
