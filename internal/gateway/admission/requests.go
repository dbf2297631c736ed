// One request's way: looked at, submitted or queued, ended and forgotten.

package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
	"clovergap/internal/proxy/invariant"
)

// lookAt does what is due for a txn.
func (o *Controller) lookAt(t *txn, what int) {
	switch what {
	case lookExpiry: // ids come round: it may be one that is long gone that this was for
		if !t.begun && o.now >= t.deadline {
			o.end(t, LackTime, 0)
		}
	case lookGiveUp:
		switch {
		case t.ended || t.out || o.now < t.giveUp:
		case t.waits && o.crossed(t):
		case t.waits:
			o.end(t, LackBackend, o.advice(t.service))
		case t.asks: // decided a last time, as the owner of its quota has been silent
			o.asking = slices.DeleteFunc(o.asking, func(x *txn) bool { return x == t })
			t.asks = false
			o.todo = append(o.todo, t)
		}
	case lookDead:
		if t.ended || !t.out || t.quit || t.begun || o.now < t.sent+deadLeast {
			return
		}
		may := t.tries+1 < t.call.MaxTries && o.fits(t) && o.held(t.service) >= 1
		if may && t.service.balancer.Dead(o.now, t.at) {
			t.quit = true
			o.ready = append(o.ready, control.Decision{Verb: control.Recall, Txn: t.ID, Nr: t.nr - 1})
			return
		}
		o.due.Add(o.now+deadAgain, look{t.ID, lookDead})
	}
}

// usual is the usual time of an answer to a txn.
func (o *Controller) usual(t *txn) time.Duration {
	if t.service != nil {
		if u, ok := t.service.balancer.Usual(t.Product); ok {
			return u
		}
	}
	return t.call.Aim / unknown
}

// fits tells whether an answer may still come in time. A late answer is worth something, so only the deadline
// counts.
func (o *Controller) fits(t *txn) bool {
	usual := min(o.usual(t), max(t.call.Deadline, t.deadline-t.arrived)/4)
	return o.now+usual/2 < t.deadline
}

// decide settles what happens to a txn that has no submission out.
func (o *Controller) decide(t *txn) {
	if t.ended || t.out || t.waits || t.asks {
		return
	}
	if t.service == nil {
		if t.service = o.chooseService(t.call); t.service == nil {
			o.end(t, LackBackend, adviceNone)
			return
		}
		t.service.holds++
	}
	if t.service.under != nil || t.service.main != nil {
		o.side(t)
	}
	if !o.fits(t) {
		o.end(t, LackTime, o.advice(t.service))
		return
	}
	if t.nr > 0 && !o.again(t) {
		o.end(t, LackBackend, o.advice(t.service))
		return
	}
	if t.Customer != 0 && !t.drawn && !t.kept {
		switch v, until := o.meter.Covered(t.Customer, o.wish(t)); v {
		case control.Beyond:
			o.end(t, LackUnits, until)
			return
		case control.Wait:
			if until = min(until, t.aimAt); until <= o.now {
				o.end(t, LackUnits, period)
				return
			}
			t.asks = true
			o.asking = append(o.asking, t)
			o.giveUpAt(t, until)
			return
		}
	}
	o.queue(t)
}

func (o *Controller) wish(t *txn) control.Wish {
	return control.Wish{Units: t.Units, Arrived: t.arrived, Late: t.Repeat,
		SLA: time.Duration(unitAim * float64(t.aimAt-t.arrived))}
}

// again tells whether a txn that was sent before may go to another backend: tries, and the budget, last. The
// token itself is taken with the send.
func (o *Controller) again(t *txn) bool {
	if t.ran && t.call.Effectful || t.tries >= t.call.MaxTries || t.hops > freeHops {
		return false
	}
	return t.tries == 0 || o.held(t.service) >= 1
}

func (o *Controller) giveUpAt(t *txn, at time.Duration) {
	if t.giveUp == at {
		return
	}
	t.giveUp = at
	o.due.Add(at, look{t.ID, lookGiveUp})
}

func (t *txn) want() balancer.Want {
	return balancer.Want{Kind: t.Product, Effectful: t.call.Effectful, Tried: t.tried}
}

// submit is the one gate that every send passes; every rule is asked again here.
func (o *Controller) submit(t *txn, to control.BackendID) {
	h := t.service
	o.turn(h)
	if t.tries > 0 && t.tries >= t.call.MaxTries { // these were lowered while it was in line
		o.end(t, LackBackend, o.advice(h))
		return
	}
	may := !t.ended && !t.out && !(t.ran && t.call.Effectful) && t.tries < t.call.MaxTries &&
		!slices.Contains(t.tried, to) && t.mayGo()
	invariant.That(may, "what is sent may be sent")
	if !may || !o.fits(t) {
		o.end(t, LackTime, o.advice(h))
		return
	}
	switch {
	case t.nr == 0:
		h.budget.earn(earnPart * o.terms.RetryRatio)
	case t.tries > 0 && !h.budget.spend():
		o.end(t, LackBackend, o.advice(h))
		return
	}
	o.unkeep(t)
	if t.Customer != 0 && !t.drawn {
		o.meter.Spend(t.Customer, t.Units)
	}
	t.drawn = true
	h.balancer.Sent(o.now, to, t.want())
	if t.nr > 0 {
		o.count.again++
	}
	t.nr++
	t.out, t.at, t.sent, t.quit = true, to, o.now, false
	t.tried = append(t.tried, to)
	limit := t.deadline - o.now
	o.ready = append(o.ready, control.Decision{Verb: control.Submit, Txn: t.ID, Backend: to,
		Limit: limit, Whole: limit + margin})
	if !t.call.Effectful && t.tries+1 < t.call.MaxTries {
		from := max(o.now+max(deadLeast, time.Duration(deadTimes*float64(o.usual(t)))),
			t.arrived+time.Duration(deadFrom*float64(t.aimAt-t.arrived)))
		if from < t.deadline {
			o.due.Add(from, look{t.ID, lookDead})
		}
	}
}

// end is the one place where a txn gets its final answer, at once. A decline is a promise that it has not run
// and never will.
func (o *Controller) end(t *txn, why control.Lack, advice time.Duration) {
	if t.ended {
		return
	}
	x := control.Decision{Verb: control.Void, Txn: t.ID, Why: why}
	if !t.ran && !t.out {
		x.Verb, x.Limit = control.Decline, min(max(advice, 0), adviceMost)
	}
	o.count.lacks[min(max(int(why), 0), len(o.count.lacks)-1)]++
	o.ready = append(o.ready, x)
	if t.out && !t.quit {
		o.ready = append(o.ready, control.Decision{Verb: control.Recall, Txn: t.ID, Nr: t.nr - 1})
	}
	o.forget(t)
}

// forget lets go of a txn, but for a submission that is still out.
func (o *Controller) forget(t *txn) {
	t.ended = true
	o.unkeep(t)
	if t.waits {
		t.waits = false
		t.service.line = slices.DeleteFunc(t.service.line, func(x *txn) bool { return x == t })
	}
	if t.asks {
		t.asks = false
		o.asking = slices.DeleteFunc(o.asking, func(x *txn) bool { return x == t })
	}
	if t.out {
		return
	}
	if o.txns[t.ID] == t {
		delete(o.txns, t.ID)
		if t.service != nil {
			t.service.holds--
		}
	}
}

func (o *Controller) unkeep(t *txn) {
	if t.kept {
		t.kept = false
		o.meter.Unkeep(t.Customer, t.Units)
	}
}
