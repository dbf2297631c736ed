package control

import (
	"maps"
	"math"
	"time"
)

// Tuned values. Shares are of 1.
const (
	datagramUse = 0.7       // of what a peer takes in
	leastGap    = 10 * ms   // packing delay at the least
	viewLife    = 1000 * ms // a snapshot older than this is stale
	deltaPart   = 4         // eighths of a message that deltas may fill, the rest is for answers
	shareOf     = 2.0       // a low bucket is split too: this times what remains, over the recent reporters
	heardFor    = 1500 * ms // a gateway not heard for longer counts as lost
	quietFor    = 250 * ms  // and one that has reported may be, for its part of the rate,
	quietMost   = 4200 * ms // until the host would have said so: lost 2.9 s after the next report, due in 1 s
	reporterFor = 2 * time.Second
	debtMost    = 1 * time.Second // of the rate
	goneFor     = 1 * time.Minute // a customer no longer metered is remembered
	idleAfter   = 10 * time.Second
	askTries    = 2        // a question or its answer may get lost: an owner is silent after so many
	askWait     = 100 * ms // and both packing delays: longest wait for a snapshot
	gapMost     = 2 * time.Second
	gapFall     = 0.5
	viewWait    = 0.4             // of the SLA time at most
	repeatLeave = 0.5             // of the burst: what a repeat must leave
	unitWait    = 0.3             // of the SLA time: longest wait for units or an open slot
	youth       = 2 * time.Second // gateways of one age started within this
	youngMany   = 3               // of these heard, and none older
	partEven    = 0.5             // of a ceiling: split evenly; the rest is the owner's pool
	bareStore   = 0.5             // of a gateway's part of what the rule leaves: at once; the rest over a window
	activeIn    = 1 * time.Second // an owner that had a report so lately keeps the part of the rate,
	earlyFrom   = 0.5             // where that is so many units a second at the least
	lostLag     = 1 * time.Second // gateways find each other lost, and back, up to so far apart
	lentFor     = 1 * time.Second // lent units may be spent for so long; their owner holds them for
	lentHeld    = 6 * time.Second // a window more: they may have been spent
	startMost   = 500 * ms        // of the rate: the most in buckets where all is new, away so long
	lentPart    = 4.0             // lent at once: what is left, over so many times the gateways

	resendAfter, resendMost = 120 * ms, 3 // an unacknowledged delta goes again, twice as late each time
)

// draw takes units from an owned bucket; what is not there was beyond the quota and takes nothing.
func (q *Quota) draw(a *account, units float64) {
	least := 0.0
	if q.terms.Parts { // spent without its word: paid back, but old use not for long
		least = -a.limit.rate * debtMost.Seconds()
	}
	a.level = max(least, a.level-units)
	if a.level >= 1 {
		a.spent = false
	} else if !a.spent { // exhaustion is told to recent reporters at once
		a.spent = true
		for _, r := range a.reports {
			if q.now-r.at < reporterFor && r.left >= 1 {
				q.owe(q.peers[r.from], a.id)
			}
		}
	}
}

// meet learns whether the fleet is as young as this gateway: then nobody can have spent before, and buckets
// are full. One older gateway is enough to know better: this one has restarted, its buckets start empty.
func (q *Quota) meet(p *peer, age time.Duration) {
	if age > q.now-q.born+youth {
		q.elders++
	} else if p.heard == 0 {
		q.young++
	}
	if q.terms.Start <= 0 || q.elders > 0 || q.allNew || q.now-q.born > youth ||
		q.young < min(youngMany, q.gateways-1) {
		return
	}
	for _, a := range q.order {
		if a.owner == q.me {
			a.level += q.startOf(a) // capped at the next refill
		}
	}
	q.allNew = true
}

// share is the floored split cap: the burst divided by the recent reporters, one txn's units at least.
func (a *account) share(units float64) float64 {
	most := a.limit.burst
	if a.known {
		most = min(most, shareOf*max(a.level, 0))
	}
	return max(most/float64(max(a.sharers, 1)), units)
}

// covered tells whether the quota covers a txn now, may cover it soon, or does not; and what it lacks if not.
func (q *Quota) covered(a *account, w Wish) (Verdict, time.Duration, Lack) {
	last := w.Arrived + time.Duration(unitWait*float64(w.SLA))
	if ok, until := q.underCeiling(a, w); !ok {
		if until < last {
			return Wait, last, lackCeiling
		}
		return Beyond, until - q.now, lackCeiling
	}
	if a.limit.openCap > 0 && a.out+a.keeps+q.outElse(a) >= a.limit.openCap {
		if a.owner != q.me && q.now-a.levelAt > q.answerIn(a) {
			q.ask(a) // what others had out is long ended, but nobody tells a gateway that keeps still
		}
		if q.now < last {
			return Wait, last, lackSlot
		}
		return Beyond, 0, lackSlot
	}
	if a.limit.rate <= 0 {
		return Pass, 0, lackUnits
	}
	if a.owner == q.me {
		q.refill(a)
		left := a.level - q.lentOut(a)
		if left-a.kept >= q.need(a, w) {
			return Pass, 0, lackUnits
		}
		due := time.Duration((q.need(a, w) - left) / a.limit.rate * float64(time.Second))
		if q.now+due < last && !w.Late {
			return Wait, last, lackUnits
		}
		return Beyond, due, lackUnits
	}
	verdict, at := q.byView(a, w)
	return verdict, at, lackView
}

// need is what must be left for a txn: a client's repeat, which mostly comes late, leaves a low bucket to
// first tries.
func (q *Quota) need(a *account, w Wish) float64 {
	if w.Late {
		return w.Units + repeatLeave*a.limit.burst
	}
	return w.Units
}

// byView decides for a customer that another gateway owns.
func (q *Quota) byView(a *account, w Wish) (Verdict, time.Duration) {
	share, bare := a.share(w.Units), true
	if q.terms.Parts && q.lentNow(a)-a.kept >= w.Units {
		return Pass, 0
	} else if q.terms.Parts {
		bare = q.bareNow(a)-a.kept >= w.Units
	}
	pending := a.unacked + a.unsent + a.kept
	age := q.now - a.levelAt
	until := q.answerBy(a, w)
	most, life := a.limit.burst, q.terms.ViewLife
	if a.known {
		most = min(most, max(a.level, 0))
	}
	// Where one such txn for each gateway is more than is left, a view is good only for the txns that wait for
	// it: with a set of a hundred gateways each would else spend its allowance on a used-up bucket.
	tight := w.Units*float64(a.sharers) > most
	if tight {
		life = q.answerIn(a)
	}
	fresh := a.known && age < life
	if fresh && bare && a.level-pending >= q.need(a, w) && pending+w.Units <= share {
		return Pass, 0
	}
	if !fresh {
		q.ask(a)
		// While the owner is silent the allowance grows at the rate, shared by the recent reporters but for those
		// found lost: the survivors of a lost zone then serve the whole quota between them.
		silent := q.silent(a)
		if silent && q.terms.Parts {
			if bare {
				return Pass, 0
			}
			return Beyond, time.Duration(w.Units / a.limit.rate * float64(q.gateways) * float64(time.Second))
		}
		if silent {
			share += a.limit.rate / float64(q.survivors(a)) * (q.now - a.asked).Seconds()
		}
		// An owner that answers is asked first if its last word, with this gateway's part of the refill since,
		// does not cover the txn: else many gateways would each spend an allowance a second on a used-up bucket.
		left := a.level + a.limit.rate*age.Seconds()/float64(max(a.sharers, 1)) - pending
		enough := !a.known || left >= q.need(a, w)
		// Asked in good time and not answered: the allowance is there for that.
		unanswered := q.now >= until && a.asked > 0 && a.asked < until && !w.Late
		if bare && pending+w.Units <= share && (silent || !tight && enough || unanswered && enough) {
			return Pass, 0
		}
	}
	more := (!bare || age > q.answerIn(a)) && a.level+a.limit.rate*age.Seconds()-pending >= w.Units
	if q.now < until && (!fresh || more || pending+w.Units > share) {
		q.ask(a)
		a.wanted = max(a.wanted, w.Units)
		return Wait, until
	}
	return Beyond, time.Duration((q.need(a, w) - max(0, a.level-pending)) / a.limit.rate * float64(time.Second))
}

// bareNow is what a gateway may spend of a customer's on no word, fresh view or none: its part of what the
// rule leaves beyond rate x window + burst, some at once, the rest over it. What an owner acknowledges
// with units left comes back. It begins empty in each life; a silence does not renew it. Once the owner is
// silent, and keeps this gateway's part of the rate or must know it as lost, that is added, nothing saved up.
func (q *Quota) bareNow(a *account) float64 {
	n := float64(q.gateways)
	part := (q.terms.Excess*(a.limit.rate*q.terms.Window.Seconds()+a.limit.burst) + q.terms.Margin) / n
	most := min(part, max(1, bareStore*part))
	fill := (part - most) / max(q.terms.Window, time.Second).Seconds() * (q.now - a.bareAt).Seconds()
	if alone := q.now - max(q.aloneFrom(a), a.bareAt); alone > 0 {
		a.bareOut, most = 0, max(most, 1)
		fill += a.limit.rate / n * alone.Seconds()
	}
	a.bare, a.bareAt = max(a.bare, min(most-a.bareOut, a.bare+fill)), q.now
	return a.bare
}

// lend sets units aside for a gateway whose txns wait: nobody else has them till it tells what became of it.
func (q *Quota) lend(a *account, r *report, left float64) (units float64) {
	if r.wanted > 0 && left >= r.wanted {
		units = max(r.wanted, math.Floor(left/lentPart/float64(q.gateways)))
		r.units, r.told = r.units+units, q.now
	}
	return units
}

// filled is what an owned bucket gets in a time. By parts: gateways out of reach spend theirs alone. One that
// has reported and is silent may do so too: its part is kept, and comes when it is heard, less its spending.
// Kept until the host must have found it lost; if it was not, it had nothing to report.
func (q *Quota) filled(a *account, in time.Duration) float64 {
	if !q.terms.Parts {
		return a.limit.rate * in.Seconds()
	}
	part, reach := a.limit.rate*in.Seconds()/float64(q.gateways), q.reachNow()
	for _, r := range a.reports {
		late := q.now - max(r.at, q.stallTo)
		switch lost := q.peers[r.from].lostAt > 0; {
		case lost && late <= quietFor && r.out == 0: // its own word goes before the host's
			reach++
		case lost || (r.out > 0 || late > quietFor) && late < quietMost && q.early(a):
			if r.part += part; !lost {
				reach--
			}
		case late >= quietMost:
			q.give(a, r, r.part)
		}
	}
	return part * float64(max(1, reach))
}

// silent tells that an owner was asked and that nothing was heard of it for as long as a healthy one takes.
func (q *Quota) silent(a *account) bool {
	return q.now-max(a.asked, q.peers[a.owner].heard, q.stallTo) > askTries*q.answerIn(a)
}

// answerBy is the time until which a txn waits for the owner's word.
func (q *Quota) answerBy(a *account, w Wish) time.Duration {
	return w.Arrived + min(askTries*q.answerIn(a), time.Duration(viewWait*float64(w.SLA)))
}

// survivors counts the gateways that share a silent owner's rate. One that was written to and has not been
// heard since is lost; of the others a wide set's gateways hear little, and that is no sign.
func (q *Quota) survivors(a *account) int {
	n := a.sharers
	for i := 0; i < a.width; i++ {
		p := q.peers[(int(a.first)+i)%q.gateways]
		if len(p.flight) > 0 && q.now-max(p.since, p.heard, q.stallTo) > heardFor {
			n--
		}
	}
	return max(n, 1)
}

// answerIn is the time within which an owner that is well answers.
func (q *Quota) answerIn(a *account) time.Duration { return askWait + q.gap + q.peers[a.owner].gap }

// underCeiling keeps rule 5. A share of the ceiling is split evenly over the set's gateways, so that each has
// some when cut off; the rest is the owner's pool, for those to ask whose customers come unevenly. Parts and
// pool start empty in each life, and their rates and stores add up to the whole, whoever restarts.
func (q *Quota) underCeiling(a *account, w Wish) (bool, time.Duration) {
	if a.limit.ceilRate <= 0 {
		return true, 0
	}
	if !a.listened {
		return false, q.now + time.Second
	}
	need := w.Units + a.kept - q.partNow(a)
	if need <= 0 {
		return true, 0
	}
	if a.owner != q.me {
		a.want = min(max(a.want, need), q.partCap(a))
		q.ask(a)
		return false, q.now
	}
	return false, q.now + time.Duration(need/(a.limit.ceilRate*q.partOf(a))*float64(time.Second))
}

// partOf is the share of a ceiling that is this gateway's.
func (q *Quota) partOf(a *account) float64 {
	width := float64(max(a.width, 1))
	// The largest txn fits into a part.
	even := min(1, max(partEven, q.terms.MostUnits*width/max(a.limit.ceilBurst, 1)))
	if a.owner == q.me {
		return even/width + 1 - even
	}
	return even / width
}

// move tells the owner what this gateway lacks of a ceiling; by parts, what is gone of what was lent.
func (q *Quota) move(a *account) (want float64) {
	if q.terms.Parts {
		want, a.lentGone = a.lentGone, 0
		return want
	}
	want, a.want = a.want, 0
	return -want
}

// grant gives from the owner's pool. It is taken off before it is sent, applied at most once and only in the
// life it was meant for: a lost message merely loses it.
func (q *Quota) grant(a *account, r *report) float64 {
	if r.want <= 0 || !a.listened || a.limit.ceilRate <= 0 {
		return 0
	}
	g := math.Ceil(16*r.want) / 16
	if r.want = 0; g > q.partNow(a)-a.kept {
		return 0 // a fragment lets nobody go
	}
	a.part -= g
	return g
}

// Sweep does the work that comes by the clock, once a second: it drops what is idle and works out how often
// peers may write. Limits set by SetLimit stay.
func (q *Quota) Sweep() {
	if q.now-q.tick < time.Second {
		return
	}
	// The gap between messages to here follows what comes in: a customer whose many gateways all write to
	// its owner is told of less often, all others at once.
	in := float64(q.datagramsIn) / (q.now - q.tick).Seconds()
	q.gap = min(max(q.terms.Gap, time.Duration(float64(q.gap)*max(in/q.maxDatagrams, gapFall))), gapMost)
	if in > q.maxDatagrams {
		q.gap = max(q.gap, time.Duration(float64(q.writers)/q.maxDatagrams*float64(time.Second)))
	}
	q.datagramsIn, q.writers = 0, 0
	kept := q.order[:0]
	for _, a := range q.order {
		full := a.owner != q.me || a.level+a.limit.rate*(q.now-a.levelAt).Seconds() >= a.limit.burst &&
			(a.limit.ceilRate <= 0 || q.partNow(a) >= q.partCap(a))
		if q.ofPlan != nil && q.now-a.used > idleAfter && full && !a.dirty && a.out == 0 && a.keeps == 0 &&
			a.unacked <= 0 {
			delete(q.accounts, a.id)
			continue
		}
		kept = append(kept, a)
	}
	q.order, q.tick = kept, q.now
	maps.DeleteFunc(q.gone, func(_ CustomerID, at time.Duration) bool { return q.now-at > goneFor })
}

// Datagrams gives what is due to a peer now: one packed message, deltas and answers together.
func (q *Quota) Datagrams() (to GatewayID, payload []byte, ok bool) {
	posted := q.posted
	q.posted = q.posted[:0]
	for i, p := range posted {
		p.posted = len(p.dirty) > 0 || p.ackDue || len(p.flight) > 0
		if !p.posted {
			continue
		}
		q.posted = append(q.posted, p)
		if q.now-p.lastSent < max(p.gap, q.terms.Gap) && p.lastSent > 0 {
			continue
		}
		m := &message{epoch: q.epoch, gap: q.gap, age: q.now - q.born,
			ackEpoch: p.epoch, ackHigh: p.high, ackMask: p.mask}
		if len(p.flight) > 0 && q.now-p.flight[0].at > (resendAfter+p.gap)<<p.flight[0].tries {
			f := p.flight[0] // again under its sequence
			f.at, f.tries = q.now, min(f.tries+1, resendMost)
			p.flight = append(p.flight[1:], f)
			m.seq, m.deltas = f.seq, q.told(f.lines)
		} else if len(p.dirty) > 0 {
			q.packDeltas(p, m)
		}
		if m.seq == 0 && !p.ackDue {
			continue
		}
		q.posted = append(q.posted, posted[i+1:]...)
		return p.id, q.seal(p, m), true
	}
	return 0, nil, false
}
