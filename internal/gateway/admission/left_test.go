package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// recalls counts the submissions that are called off.
func (d *desk) recalls() (n int) {
	for _, x := range d.seen {
		if x.Verb == control.Recall {
			n++
		}
	}
	return n
}

// A request that may be repeated is called off at its backend when its client leaves, whenever that is: before it is sent, while it is
// out, while it is out a second time, after its backend has been found silent. One that may run once is left to its end. Nothing is
// sent for a client that has left. Guards against backends that work on for nobody (incident mvk-anadolu 7).
func TestClientLeft(t *testing.T) {
	t.Run("while it is out", leftWhileOut)
	t.Run("after another try", leftAfterAnotherTry)
	t.Run("in line", leftInLine)
}

func leftWhileOut(t *testing.T) {
	for _, call := range []Call{pure, bid} {
		for _, how := range []control.Ending{control.CalledOff, control.Settled, control.NotSent, control.Full, control.TimedOut} {
			d := newDesk(call, 2)
			d.take(1)
			d.ClientLeft(1)
			d.turn()
			if call.Effectful {
				must.Len(t, 1, d.seen)
				d.SubmissionEnded(1, 0, d.last().Backend, how, true, 50*ms, nil)
			} else {
				must.Eq(t, control.Decision{Verb: control.Recall, Txn: 1}, d.last())
				d.SubmissionEnded(1, 0, d.seen[0].Backend, how, true, 50*ms, nil)
			}
			seen := len(d.seen)
			d.ClientLeft(1) // told twice
			d.at(d.now + 12*time.Second)
			must.Len(t, seen, d.seen)
			must.MapEmpty(t, d.txns)
			must.Zero(t, d.services[0].holds)
		}
	}
}

// It is called off once, by its second submission as by its first, and not if that is called off already.
func leftAfterAnotherTry(t *testing.T) {
	d := newDesk(pure, 2)
	d.take(1)
	d.ends(control.Full, false)
	must.Eq(t, control.Submit, d.last().Verb)
	d.ClientLeft(1)
	d.turn()
	must.Eq(t, control.Decision{Verb: control.Recall, Txn: 1, Nr: 1}, d.last())
	d.ClientLeft(1)
	d.turn()
	must.Eq(t, 1, d.recalls())

	d = newDesk(pure, 2)
	d.take(1)
	d.take(2)
	for d.recalls() == 0 && d.now < 40*time.Second { // both are silent
		d.at(d.now + 100*ms)
	}
	if n := d.recalls(); n > 0 {
		left := d.last().Txn
		d.ClientLeft(left)
		d.turn()
		must.Eq(t, n, d.recalls())
	}
}

// One that waits for a backend or for units is sent to nobody once its client has left.
func leftInLine(t *testing.T) {
	d := newDesk(pure, 0)
	d.take(1)
	d.ClientLeft(1)
	d.list(control.Ready, 1, 2)
	d.at(d.now + 5*time.Second)
	for _, x := range d.seen {
		must.NotEq(t, control.Submit, x.Verb)
	}
	must.MapEmpty(t, d.txns)
}
