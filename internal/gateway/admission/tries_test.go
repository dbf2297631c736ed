package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// triesStep is one thing that may happen to a try that is held.
type triesStep int

const (
	stepRan         triesStep = iota // its submission fails after it may have run
	stepTurnedAway                   // 421 or X-Not-Run
	stepUnreachable                  // nothing of it was sent
	stepReset                        // the connection broke after a byte of it was written
	stepSilent                       // the backend is silent until it is taken for dead
	stepFrozen                       // this node stands still for a second
	stepLowered                      // a configuration lowers the route's max_tries to one
	stepCrowded                      // all backends turn requests away for a while, so that it waits in line
	stepsOfTries
)

// Whatever the order of the ends of its submissions, of standstills and of a configuration that lowers max_tries, a try runs on no
// more backends than its route allows: at the most as many as when it came, and no further one once one is allowed and it ran.
// Before LowerTries a request under way went on by the bound that it had come with.
func TestTriesInAllOrders(t *testing.T) {
	const depth = 4
	walks := 1
	for range depth {
		walks *= int(stepsOfTries)
	}
	for _, most := range []int{1, 2, 3} {
		again := 0
		for walk := range walks {
			call := pure
			call.MaxTries = most
			d := newDesk(call, 6)
			ran, bound := map[control.BackendID]bool{}, most
			d.take(1)
			for step, rest := 0, walk; step < depth && d.txns[1] != nil; step, rest = step+1, rest/int(stepsOfTries) {
				what := triesStep(rest % int(stepsOfTries))
				if what == stepLowered && bound == most {
					bound = max(len(ran), 1)
					if x := d.txns[1]; x.out && !ran[x.at] && len(ran) > 0 { // on its way already
						bound++
					}
				}
				d.play(what, ran)
				must.LessEq(t, bound, len(ran), must.Sprintf("most %d, walk %o", most, walk))
			}
			if len(ran) > 1 {
				again++
			}
		}
		must.Eq(t, most > 1, again > 0) // some did go to another
	}
}

// play lets one step happen, and notes what a backend may have run by it.
func (d *desk) play(step triesStep, ran map[control.BackendID]bool) {
	out := d.txns[1].out
	at := d.txns[1].at
	switch step {
	case stepLowered:
		d.LowerTries(1, 1)
	case stepFrozen:
		d.now += time.Second
		d.Now(d.now)
	case stepCrowded:
		d.list(control.Draining, 1, 6)
		d.turn()
		d.list(control.Ready, 1, 6)
	case stepSilent:
		if out {
			ran[at] = true
			d.at(d.now + 700*ms)
			if x := d.last(); x.Verb == control.Recall {
				d.ends(control.CalledOff, false)
			}
		}
	default:
		if how := map[triesStep]control.Ending{stepRan: control.Errored, stepTurnedAway: control.Full,
			stepUnreachable: control.Unreachable, stepReset: control.Broken}[step]; out {
			switch {
			case after(how, false, false).ran:
				ran[at] = true
			case ran[at]: // silent until now: it can't say any more that it has not run
				return
			}
			d.SubmissionEnded(1, d.txns[1].nr-1, at, how, false, 50*ms, nil)
		}
	}
	d.turn()
}

// One that waits in line for another backend is not sent there once its route allows one alone; debug builds took it for a send
// that may not be.
func TestTriesAreLoweredInLine(t *testing.T) {
	d := newDesk(pure, 2)
	d.take(1)
	first := d.last().Backend
	other := control.BackendID(3 - first)
	for id := control.TxnID(2); d.services[0].balancer.Out() < 2; id++ {
		d.take(id)
	}
	for id := control.TxnID(2); id < 20; id++ { // the other one turns all away, and is left alone for a while
		if x := d.txns[id]; x != nil && x.out && x.at == other {
			d.SubmissionEnded(id, x.nr-1, other, control.Full, false, ms, nil)
		}
	}
	d.SubmissionEnded(1, 0, first, control.Errored, false, 50*ms, nil)
	d.turn()
	must.True(t, d.txns[1].waits)
	d.LowerTries(1, 1)
	d.at(d.now + 100*ms)
	must.Nil(t, d.txns[1])
	for _, x := range d.seen {
		must.False(t, x.Verb == control.Submit && x.Txn == 1 && x.Backend == other)
	}
}
