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
	t.Run("while it is out", leftWhileOut)
	t.Run("after another try", leftAfterRetry)
	t.Run("in the queue", leftWhileQueued)
}

func leftWhileOut(t *testing.T) {
	for _, call := range []Route{idempotentRoute, effectfulRoute} {
		for _, how := range []control.Ending{control.Canceled, control.Succeeded, control.NotSent, control.Rejected, control.TimedOut} {
			d := newHarness(call, 2)
			d.arrive(1)
			d.ClientLeft(1)
			d.pull()
			if call.Effectful {
				must.Len(t, 1, d.decided)
				d.SubmissionEnded(1, 0, d.last().Backend, how, true, 50*time.Millisecond, nil)
			} else {
				must.Eq(t, control.Decision{Action: control.Cancel, Txn: 1}, d.last())
				d.SubmissionEnded(1, 0, d.decided[0].Backend, how, true, 50*time.Millisecond, nil)
			}
			seen := len(d.decided)
			d.ClientLeft(1) // called twice
			d.advance(d.now + 12*time.Second)
			must.Len(t, seen, d.decided)
			must.MapEmpty(t, d.txns)
			must.Zero(t, d.services[0].txnCount)
		}
	}
}

// It is canceled once, by its second submission as by its first, and not if that is canceled already.
func leftAfterRetry(t *testing.T) {
	d := newHarness(idempotentRoute, 2)
	d.arrive(1)
	d.endLast(control.Rejected, false)
	must.Eq(t, control.Submit, d.last().Action)
	d.ClientLeft(1)
	d.pull()
	must.Eq(t, control.Decision{Action: control.Cancel, Txn: 1, Attempt: 1}, d.last())
	d.ClientLeft(1)
	d.pull()
	must.Eq(t, 1, d.cancellations())

	d = newHarness(idempotentRoute, 2)
	d.arrive(1)
	d.arrive(2)
	for d.cancellations() == 0 && d.now < 40*time.Second { // both are silent
		d.advance(d.now + 100*time.Millisecond)
	}
	if n := d.cancellations(); n > 0 {
		left := d.last().Txn
		d.ClientLeft(left)
		d.pull()
		must.Eq(t, n, d.cancellations())
	}
}

// One that waits for a backend or for units is sent to nobody once its client has left.
func leftWhileQueued(t *testing.T) {
	d := newHarness(idempotentRoute, 0)
	d.arrive(1)
	d.ClientLeft(1)
	d.list(control.Ready, 1, 2)
	d.advance(d.now + 5*time.Second)
	for _, x := range d.decided {
		must.NotEq(t, control.Submit, x.Action)
	}
	must.MapEmpty(t, d.txns)
}
