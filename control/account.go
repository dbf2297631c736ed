// A customer's account here: the bucket or the view of it, what was lent, reported and spent of it.

package control

import (
	"math"
	"time"
)

// account is one customer here: the bucket if this gateway owns it, the view if not.
type account struct {
	id       CustomerID
	limit    *limit
	planID   PlanID
	owner    GatewayID
	first    GatewayID // of the set
	width    int
	inSet    bool
	used     time.Duration
	out      int     // submissions out from here
	kept     float64 // units of txns that are covered and wait for a backend
	keeps    int     // and how many these are
	level    float64 // owner: remaining; other: the snapshot's remaining
	levelAt  time.Duration
	known    bool // a snapshot has come
	version  uint64
	reports  []*report
	spent    bool // exhaustion told
	unsent   float64
	unacked  float64
	dirty    bool
	packed   time.Duration // last part of a delta
	asked    time.Duration // oldest ask without an answer
	sharers  int
	outElse  int
	part     float64 // ceiling's part left
	partAt   time.Duration
	listened bool
	want     float64 // of the ceiling, to ask the owner for
	wanted   float64 // units that a txn waits for
	bare     float64 // by parts: units that it may spend without the owner's word
	bareAt   time.Duration
	bareOut  float64       // spent so, and not known to be covered or lost
	bareSent float64       // of unsent
	solo     bool          // spent of its part alone, and not all of that is acknowledged
	toldAt   time.Duration // the owner has heard of it since then at the least
	proving  float64       // acknowledged: the owner's next figures tell whether they were covered
	lent     float64       // units that the owner holds for this gateway
	lentAt   time.Duration
	lentGone float64 // spent or let go, and not yet told
}

type report struct {
	from   GatewayID
	left   float64 // told last
	at     time.Duration
	out    int
	want   float64 // of the ceiling
	wanted float64 // units that a txn waits for
	units  float64 // told that it may spend them, and not yet reported; by parts: lent
	told   time.Duration
	part   float64 // of the rate: kept for it while it is silent
}

// sent counts submissions out.
func (q *Quota) sent(a *account, n int) {
	a.out += n
	q.outChanged(a)
}

// account finds or makes the account of a customer.
func (q *Quota) account(id CustomerID, pl PlanID) *account {
	a := q.accounts[id]
	if a == nil {
		a = &account{id: id, planID: pl, owner: q.me, sharers: 1, used: q.now, bareAt: q.now}
		if q.ofPlan != nil {
			a.limit = q.ofPlan(pl)
			a.level, a.levelAt = q.sinceBirth(a), q.now
		}
		a.part, a.partAt = 0, q.born
		q.accounts[id] = a
		q.order = append(q.order, a)
	}
	return a
}

func (q *Quota) mark(a *account) {
	if !a.dirty && a.owner != q.me {
		a.dirty = true
		p := q.peers[a.owner]
		p.dirty = append(p.dirty, a)
		q.post(p)
	}
}

func (q *Quota) outChanged(a *account) {
	if a.limit.openCap > 0 {
		q.mark(a)
	}
}

// reporters counts the gateways that reported lately, and, but for one of them, their submissions out and
// the units they have just been told of.
func (q *Quota) reporters(a *account, but *peer) (n, out int, told float64) {
	for _, r := range a.reports {
		if q.now-r.at < reporterFor {
			n++
			if but != nil && r.from == but.id {
				continue
			}
			out += r.out
			if !q.terms.Parts && q.now-r.told < q.answerIn(a) {
				told += r.units
			}
		}
	}
	return n, out, told
}

// lentOut is what is lent of an owned bucket, and may have been spent. A gateway that is silent for a window more has
// spent it before that, or let go of it.
func (q *Quota) lentOut(a *account) (units float64) {
	if q.terms.Parts {
		for _, r := range a.reports {
			if q.now-r.told >= lentHeld {
				r.units = 0
			}
			units += r.units
		}
	}
	return units
}

// lentNow is what this gateway has of what the owner lent it. What is not used soon it lets go.
func (q *Quota) lentNow(a *account) float64 {
	if q.now-a.lentAt >= lentFor {
		a.lent, a.lentGone = 0, a.lentGone+a.lent
	}
	return a.lent
}

// proved settles acknowledged units that were spent on no word: where the owner has units left, they were covered.
func (q *Quota) proved(a *account, left float64) {
	back := min(a.proving, a.bareOut)
	if q.bareNow(a); left > 0 {
		a.bare += back
	}
	a.proving, a.bareOut = 0, a.bareOut-back
}

// give puts of a reporter's part of the rate into the bucket.
func (q *Quota) give(a *account, r *report, units float64) {
	if units = min(units, r.part); units > 0 {
		a.level, r.part = min(a.limit.burst, a.level+units), r.part-units
	}
}

// report finds or makes what a gateway reported of a customer.
func (a *account) report(from GatewayID) *report {
	for _, r := range a.reports {
		if r.from == from {
			return r
		}
	}
	r := &report{from: from, at: -reporterFor}
	a.reports = append(a.reports, r)
	return r
}

// outElse is how many submissions other gateways have out for a customer, as far as told.
func (q *Quota) outElse(a *account) int {
	if a.owner == q.me {
		_, out, _ := q.reporters(a, nil)
		return out
	}
	return a.outElse
}

// place works out the owner: rendezvous hashing over the customer's set, the same at every gateway.
func (q *Quota) place(a *account, setFirst GatewayID, width int) {
	width = min(max(width, 1), q.gateways)
	first := GatewayID(max(int(setFirst), 0) % q.gateways)
	if a.inSet && a.first == first && a.width == width {
		return
	}
	if a.inSet { // a peer had told another set: what this one had of a ceiling by it is void
		a.part, a.partAt = 0, q.now
	}
	a.inSet, a.first, a.width, a.sharers = true, first, width, width
	a.owner = ownerOf(a.id, first, a.width, q.gateways)
	a.listened = (int(q.me-first)%q.gateways+q.gateways)%q.gateways < a.width
	if a.owner != q.me {
		a.level, a.known = 0, false
	}
}

// partNow brings this gateway's part of a ceiling up to now.
func (q *Quota) partNow(a *account) float64 {
	fill := a.limit.ceilRate * q.partOf(a) * (q.now - a.partAt).Seconds()
	a.part, a.partAt = min(q.partCap(a), a.part+fill), q.now
	return a.part
}

// partCap is what it holds at most.
func (q *Quota) partCap(a *account) float64 { return a.limit.ceilBurst * q.partOf(a) }

// refill brings an owned bucket up to now.
func (q *Quota) refill(a *account) {
	if q.now >= a.levelAt {
		a.level = min(a.limit.burst, a.level+q.filled(a, q.now-a.levelAt))
		a.levelAt = q.now
	}
}

// sinceBirth is what a bucket that was empty when this gateway started holds by now.
func (q *Quota) sinceBirth(a *account) float64 {
	level := a.limit.rate * max(0, q.now-q.since-q.terms.Fence).Seconds()
	if q.allNew && q.elders == 0 {
		level += q.startOf(a)
	}
	return min(a.limit.burst, level)
}

// startOf is what a bucket begins with in a fleet that is all new.
func (q *Quota) startOf(a *account) float64 {
	start := q.terms.Start * a.limit.burst
	if q.terms.Parts {
		start = min(start, a.limit.rate*startMost.Seconds())
	}
	return start
}

// ask makes the account part of the next delta, with nought if need be, unless a question is on its way.
func (q *Quota) ask(a *account) {
	if a.asked == 0 {
		a.asked = q.now
	} else if q.now-a.packed < q.answerIn(a) {
		return
	}
	q.mark(a)
}

// outOf is what a delta tells beside units: submissions out; by parts, after a time alone, what may be part of that and is
// yet to be told of or acknowledged, but for the delta's own.
func (q *Quota) outOf(a *account, but float64) int {
	switch {
	case !q.terms.Parts:
		return a.out
	case a.unacked <= 0:
		a.solo = false
	case a.solo:
		return int(math.Ceil(max(0, a.unacked+a.unsent-but)))
	}
	return 0
}

// spend draws units from the bucket, the view and the ceiling's part.
func (q *Quota) spend(a *account, units float64) {
	if a.limit.ceilRate > 0 {
		a.part -= units
	}
	if a.limit.rate <= 0 {
		return
	}
	if a.owner == q.me {
		q.refill(a)
		q.draw(a, units)
		return
	}
	if q.terms.Parts {
		q.spendAway(a, units)
	}
	a.unsent += units
	q.mark(a)
}

// spendAway takes units of what is lent or, where that is not enough, of what may be spent on no word.
func (q *Quota) spendAway(a *account, units float64) {
	if q.lentNow(a) >= units {
		a.lent, a.lentGone = a.lent-units, a.lentGone+units
		return
	}
	q.bareNow(a)
	if a.bare -= units; q.aloneFrom(a) >= q.now {
		a.bareOut, a.bareSent = a.bareOut+units, a.bareSent+units
	} else {
		a.solo = true
	}
}

// early tells whether parts of the rate are kept for gateways that have just fallen silent. Of a small quota they come to
// nothing in that time, and to keep them would only delay it.
func (q *Quota) early(a *account) bool { return a.limit.rate >= earlyFrom*float64(q.gateways) }

// aloneFrom is when this gateway's part of the rate is its own, or later than now. The owner is silent, and either lost for
// so long that it knows that of this gateway too, or it was told of the customer shortly before: then it keeps the part.
func (q *Quota) aloneFrom(a *account) time.Duration {
	p, asked := q.peers[a.owner], a.asked
	for _, f := range p.flight {
		if asked == 0 || f.sent < asked {
			asked = f.sent
		}
	}
	if asked == 0 {
		return q.now
	}
	from := max(asked, p.heard, q.stallTo) + askTries*q.answerIn(a)
	if q.early(a) && a.toldAt > 0 && asked-a.toldAt < activeIn {
		return from
	}
	if p.lostAt == 0 {
		return q.now
	}
	return max(from, p.lostAt+lostLag)
}
