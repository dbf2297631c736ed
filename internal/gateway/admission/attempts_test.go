package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// attemptsStep is one thing that may happen to a request.
type attemptsStep int

const (
	stepRan            attemptsStep = iota // its submission fails after it may have run
	stepRejected                           // 421 or X-Not-Run
	stepUnreachable                        // nothing of it was sent
	stepConnectionLost                     // the connection broke after a byte of it was written
	stepUnresponsive                       // the backend is silent until it counts as dead
	stepProcessPause                       // this node stands still for a second
	stepLowered                            // a configuration lowers the route's max_tries to one
	stepAllRejecting                       // all backends reject requests for a while, so that it waits in the queue
	stepCount
)

// Whatever the order of the ends of its submissions, of standstills and of a configuration that lowers max_tries, a request runs on no
// more backends than its route allows: at the most as many as when it came, and no retry once one is allowed and it ran.
// Before LowerMaxAttempts a request under way went on by the bound that it had come with.
func TestTriesInAllOrders(t *testing.T) {
	const depth = 4
	walks := 1
	for range depth {
		walks *= int(stepCount)
	}
	for _, most := range []int{1, 2, 3} {
		again := 0
		for walk := range walks {
			call := idempotentRoute
			call.MaxAttempts = most
			d := newHarness(call, 6)
			ran, bound := map[control.BackendID]bool{}, most
			d.arrive(1)
			for step, rest := 0, walk; step < depth && d.txns[1] != nil; step, rest = step+1, rest/int(stepCount) {
				what := attemptsStep(rest % int(stepCount))
				if what == stepLowered && bound == most {
					bound = max(len(ran), 1)
					if x := d.txns[1]; x.inFlight && !ran[x.backend] && len(ran) > 0 { // on its way already
						bound++
					}
				}
				d.playStep(what, ran)
				must.LessEq(t, bound, len(ran), must.Sprintf("most %d, walk %o", most, walk))
			}
			if len(ran) > 1 {
				again++
			}
		}
		must.Eq(t, most > 1, again > 0) // some did go to another
	}
}

// playStep lets one step happen, and notes what a backend may have run by it.
func (h *harness) playStep(step attemptsStep, ran map[control.BackendID]bool) {
	out := h.txns[1].inFlight
	at := h.txns[1].backend
	switch step {
	case stepLowered:
		h.LowerMaxAttempts(1, 1)
	case stepProcessPause:
		h.now += time.Second
		h.Now(h.now)
	case stepAllRejecting:
		h.list(control.Draining, 1, 6)
		h.pull()
		h.list(control.Ready, 1, 6)
	case stepUnresponsive:
		if out {
			ran[at] = true
			h.advance(h.now + 700*time.Millisecond)
			if x := h.last(); x.Action == control.Cancel {
				h.endLast(control.Canceled, false)
			}
		}
	default:
		if how := map[attemptsStep]control.Ending{stepRan: control.Errored, stepRejected: control.Rejected,
			stepUnreachable: control.Unreachable, stepConnectionLost: control.ConnectionLost}[step]; out {
			switch {
			case consequenceOf(how, false, false).mayHaveRun:
				ran[at] = true
			case ran[at]: // silent until now: it can't say any more that it has not run
				return
			}
			h.SubmissionEnded(1, h.txns[1].submissions-1, at, how, false, 50*time.Millisecond, nil)
		}
	}
	h.pull()
}

// One that waits in the queue for another backend is not sent there once its route allows one alone; debug builds took it for a send
// that may not be.
func TestTriesAreLoweredInLine(t *testing.T) {
	d := newHarness(idempotentRoute, 2)
	d.arrive(1)
	first := d.last().Backend
	other := control.BackendID(3 - first)
	for id := control.TxnID(2); d.services[0].balancer.InFlight() < 2; id++ {
		d.arrive(id)
	}
	for id := control.TxnID(2); id < 20; id++ { // the other one rejects all, and is left alone for a while
		if x := d.txns[id]; x != nil && x.inFlight && x.backend == other {
			d.SubmissionEnded(id, x.submissions-1, other, control.Rejected, false, time.Millisecond, nil)
		}
	}
	d.SubmissionEnded(1, 0, first, control.Errored, false, 50*time.Millisecond, nil)
	d.pull()
	must.True(t, d.txns[1].queued)
	d.LowerMaxAttempts(1, 1)
	d.advance(d.now + 100*time.Millisecond)
	must.Nil(t, d.txns[1])
	for _, x := range d.decided {
		must.False(t, x.Action == control.Submit && x.Txn == 1 && x.Backend == other)
	}
}
