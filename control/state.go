package control

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Bookkeeping without decisions: lists, ids held, accounts and the packing of answers.

// ListChanged takes news of the backends; a whole list replaces the old one.
func (d *Door) ListChanged(whole bool, list []Listing) {
	if whole {
		for _, b := range d.list {
			b.State = Gone
		}
	}
	for _, l := range list {
		b := d.backends[l.ID]
		if b == nil {
			b = &backend{Listing: l, hash: mix(uint64(l.ID)), slow: 1, fail: make([]failing, len(d.products))}
			d.backends[l.ID] = b
			d.list = append(d.list, b)
			d.byHash[b.hash&sightMask] = b
			sort.Slice(d.list, func(i, j int) bool { return d.list[i].ID < d.list[j].ID })
		}
		if l.Started > b.Started { // a new process: what was known of the old one is void
			*b = backend{Listing: l, hash: b.hash, slow: 1, out: b.out,
				fail: make([]failing, len(d.products))}
		}
		b.Listing = l
	}
	d.list = slices.DeleteFunc(d.list, func(b *backend) bool { // what is out there keeps its own hold of it
		if b.State == Gone {
			delete(d.backends, b.ID)
			delete(d.byHash, b.hash&sightMask)
		}
		return b.State == Gone
	})
	d.recheck, d.noRoom, d.open = true, false, d.open[:0]
}

// ClientLeft: nobody waits for this txn any more.
func (d *Door) ClientLeft(id TxnID) {
	if t := d.txns[id]; t != nil {
		d.forget(t)
	}
}

func (d *Door) forget(t *txn) {
	t.ended = true
	d.unkeep(t)
	if t.outAt != nil { // the outcome is still to come and counts for the backend
		return
	}
	delete(d.txns, t.ID)
}

// unkeep lets go of the units kept for a txn.
func (d *Door) unkeep(t *txn) {
	if a := d.accounts[t.Customer]; t.kept && a != nil {
		a.kept, a.keeps = max(0, a.kept-t.Units), a.keeps-1
	}
	t.kept = false
}

// account finds or makes the account of a customer.
func (d *Door) account(id CustomerID, pl PlanID) *account {
	a := d.accounts[id]
	if a == nil {
		a = &account{id: id, plan: &d.plans[pl], planID: pl, owner: d.me, sharers: 1, used: d.now}
		a.level, a.levelAt = d.sinceBirth(a), d.now
		a.part, a.partAt = 0, d.born
		d.accounts[id] = a
		d.order = append(d.order, a)
	}
	return a
}

func (d *Door) mark(a *account) {
	if !a.dirty && a.owner != d.me {
		a.dirty = true
		p := d.peers[a.owner]
		p.dirty = append(p.dirty, a)
		d.post(p)
	}
}

// post notes that something is due to a peer.
func (d *Door) post(p *peer) {
	if !p.posted && d.tells {
		p.posted = true
		d.posted = append(d.posted, p)
	}
}

func (d *Door) outChanged(a *account) {
	if a.plan.openCap > 0 {
		d.mark(a)
	}
}

// reporters counts the gateways that reported lately, and, but for one of them, their submissions out and
// the units they have just been told of.
func (d *Door) reporters(a *account, but *peer) (n, out int, told float64) {
	for _, r := range a.reports {
		if d.now-r.at < reporterFor {
			n++
			if but != nil && r.from == but.id {
				continue
			}
			out += r.out
			if d.now-r.told < d.answerIn(a) {
				told += r.units
			}
		}
	}
	return n, out, told
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
func (d *Door) outElse(a *account) int {
	if a.owner == d.me {
		_, out, _ := d.reporters(a, nil)
		return out
	}
	return a.outElse
}

func (d *Door) packAnswers(p *peer, m *message) {
	d.version++
	m.version = d.version
	for room := m.room(); len(p.answers) > 0 && room >= snapMost; {
		a := d.accounts[p.answers[0]]
		delete(p.answer, p.answers[0])
		p.answers = p.answers[1:]
		if a == nil || a.owner != d.me {
			continue
		}
		d.refill(a)
		sharers, out, told := d.reporters(a, p)
		r := a.report(p.id)
		left := max(0, a.level-told-a.kept)
		r.units, r.told, r.left = 0, d.now, left
		if left >= r.wanted {
			r.units = r.wanted
		}
		r.wanted = 0
		m.snaps = append(m.snaps, snapLine{a.id, left, sharers + 1, out + a.out, d.grant(a, r)})
		room -= len(m.snaps[len(m.snaps)-1].append(nil))
	}
}

// newLife notes that a peer has started again; a message of a life that is over is dropped.
// What was reported to the old life is dropped: the new bucket starts empty, which stands for all use before.
func (d *Door) newLife(p *peer, epoch uint32) bool {
	if p.over(epoch) {
		return false
	}
	if p.epoch != 0 {
		for _, f := range p.flight {
			for _, l := range f.lines {
				if a := d.accounts[l.customer]; a != nil {
					a.unacked -= l.units
				}
			}
		}
		p.flight = nil
		for _, a := range d.order {
			if a.owner == p.id {
				a.known, a.asked = false, 0
			}
		}
	}
	p.begin(epoch)
	return true
}

// takeDelta applies a delta once and marks its accounts for an answer.
func (d *Door) takeDelta(p *peer, m *message) {
	fresh := p.first(m.seq)
	p.ackDue = true
	d.post(p)
	for _, l := range m.deltas {
		if int(l.plan) >= len(d.plans) {
			d.badMail++
			continue
		}
		a := d.account(l.customer, l.plan)
		if !a.inSet { // a txn's own word goes before a peer's
			d.place(a, l.first, l.width)
		}
		if a.owner != d.me {
			d.badMail++
			continue
		}
		d.refill(a)
		r := a.report(p.id)
		if r.at = d.now; m.seq == p.high {
			r.out, r.wanted = l.out, l.wanted
		}
		r.units = max(0, r.units-l.units)
		if fresh {
			d.draw(a, l.units)
		}
		if fresh && m.ackEpoch == d.epoch && a.listened && a.plan.ceilRate > 0 {
			r.want = max(-l.part, 0)
		}
		d.owe(p, a.id)
	}
	d.recheck = true
}

// takeSnapshot settles acknowledged deltas, then takes the owner's figures if they are not older than held.
func (d *Door) takeSnapshot(p *peer, m *message) {
	kept := p.flight[:0]
	for _, f := range p.flight {
		if !m.acknowledges(f.seq) {
			kept = append(kept, f)
			continue
		}
		for _, l := range f.lines {
			if a := d.accounts[l.customer]; a != nil {
				a.unacked -= l.units
				a.level -= l.units
			}
		}
	}
	p.flight = kept
	once := m.version > p.granted
	p.granted = max(p.granted, m.version)
	for _, l := range m.snaps {
		a := d.accounts[l.customer]
		if once && a != nil && a.owner == p.id && a.plan.ceilRate > 0 && a.listened {
			a.part = min(d.partCap(a), d.partNow(a)+l.grant)
		}
		if a == nil || a.owner != p.id || m.version < a.version && a.known {
			continue
		}
		a.level, a.levelAt, a.known, a.version = l.left, d.now, true, m.version
		a.sharers, a.outElse, a.asked = max(l.sharers, 1), l.outElse, 0
	}
	d.recheck = true
}

// place works out the owner: rendezvous hashing over the customer's set, the same at every gateway.
func (d *Door) place(a *account, setFirst GatewayID, width int) {
	width = min(max(width, 1), d.gateways)
	first := GatewayID(max(int(setFirst), 0) % d.gateways)
	if a.inSet && a.first == first && a.width == width {
		return
	}
	if a.inSet { // a peer had told another set: what this one had of a ceiling by it is void
		a.part, a.partAt = 0, d.now
	}
	a.inSet, a.first, a.width, a.sharers = true, first, width, width
	a.owner = ownerOf(a.id, first, a.width, d.gateways)
	a.listened = (int(d.me-first)%d.gateways+d.gateways)%d.gateways < a.width
	if a.owner != d.me {
		a.level, a.known = 0, false
	}
}

// partNow brings this gateway's part of a ceiling up to now.
func (d *Door) partNow(a *account) float64 {
	fill := a.plan.ceilRate * d.partOf(a) * (d.now - a.partAt).Seconds()
	a.part, a.partAt = min(d.partCap(a), a.part+fill), d.now
	return a.part
}

// partCap is what it holds at most.
func (d *Door) partCap(a *account) float64 { return a.plan.ceilBurst * d.partOf(a) }

// refill brings an owned bucket up to now.
func (d *Door) refill(a *account) {
	a.level = min(a.plan.burst, a.level+a.plan.rate*(d.now-a.levelAt).Seconds())
	a.levelAt = d.now
}

// sinceBirth is what a bucket that was empty when this gateway started holds by now.
func (d *Door) sinceBirth(a *account) float64 {
	if d.allNew && d.elders == 0 {
		return a.plan.burst
	}
	return min(a.plan.burst, a.plan.rate*(d.now-d.born).Seconds())
}

// ask makes the account part of the next delta, with nought if need be, unless a question is on its way.
func (d *Door) ask(a *account) {
	if a.asked == 0 {
		a.asked = d.now
	} else if d.now-a.packed < d.answerIn(a) {
		return
	}
	d.mark(a)
}

// usual is the usual answer time of such a txn.
func (d *Door) usual(t *txn) time.Duration {
	if s, ok := d.typical[d.sort(t)]; ok {
		return time.Duration(s * float64(time.Second))
	}
	return d.products[t.Product].slaTime / unknownPart
}

// packDeltas moves unreported use into a new parcel, oldest first, so that none starves.
func (d *Door) packDeltas(p *peer, m *message) {
	p.seq++
	m.seq = p.seq
	for room := m.room() * deltaPart / 8; len(p.dirty) > 0 && room >= deltaMost; {
		a := p.dirty[0]
		p.dirty = p.dirty[1:]
		a.dirty = false
		m.deltas = append(m.deltas, deltaLine{a.id, a.planID, a.unsent, a.out, d.move(a), a.first, a.wanted, a.width})
		a.unacked += a.unsent
		a.unsent, a.wanted, a.packed = 0, 0, d.now
		room -= len(m.deltas[len(m.deltas)-1].append(nil))
	}
	if len(p.flight) == 0 {
		p.since = d.now
	}
	p.flight = append(p.flight, &parcel{seq: m.seq, at: d.now, lines: m.deltas})
}

// wake asks for the one periodic timer and, if something is due before it, for that time.
func (d *Door) wake() (Decision, bool) {
	next := d.lastWork + d.pace()
	if at, ok := d.due.Next(); ok {
		next = min(next, at)
	}
	next = max(next, d.now+ms)
	if d.wakeAt > d.now && d.wakeAt <= next {
		return Decision{}, false
	}
	d.wakeAt = next
	return Decision{Verb: Wake, Limit: d.wakeAt - d.now}, true
}

// ProbeEnded takes the answer to a probe.
func (d *Door) ProbeEnded(at BackendID, good bool, took time.Duration, load []float64) {
	b := d.backends[at]
	if b == nil {
		return
	}
	b.probing = false
	d.readLoad(b, load)
	if !good {
		b.probes = 0
		b.fails += smooth * (1 - b.fails)
		return
	}
	b.probes++
}

// PeerSaid takes a peer message. What does not decode is dropped and counted.
func (d *Door) PeerSaid(from GatewayID, payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil || from < 0 || int(from) >= len(d.peers) || from == d.me {
		d.badMail++
		return
	}
	p := d.peers[from]
	d.mailIn++
	if p.heard <= d.tick {
		d.writers++
	}
	d.meet(p, m.age)
	p.heard, p.gap = d.now, m.gap
	if m.epoch != p.epoch && !d.newLife(p, m.epoch) {
		return
	}
	if m.seq > 0 {
		d.takeDelta(p, m)
	}
	if m.ackEpoch == d.epoch {
		d.takeSnapshot(p, m)
	}
	for _, s := range m.sights {
		if b := d.byHash[s.hash]; b != nil && int(s.product) < len(d.products) {
			d.observe(b, s)
			d.adjustRoom(s.crowd)
		}
	}
}

// TxnTaken takes a client's txn in.
func (d *Door) TxnTaken(x Txn) {
	if d.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, arrived: d.now}
	if x.Product < 0 || int(x.Product) >= len(d.products) || x.Plan < 0 || int(x.Plan) >= len(d.plans) {
		t.Product, t.Plan, t.slaAt = 0, 0, d.now // a kind that the settings don't name: declined for want of time
	} else {
		d.dates(t)
	}
	d.txns[x.ID] = t
	d.due.Add(x.Expiry-2*ms, x.ID) // rule 1: every expiry is watched
	d.todo = append(d.todo, t)
}

// SubmissionEnded takes the one outcome of a submission.
func (d *Door) SubmissionEnded(id TxnID, nr int, at BackendID, e Ending, over bool, took time.Duration,
	load []float64) {
	t, b := d.txns[id], d.backends[at]
	if b != nil {
		d.learn(t, b, e, took, load)
	}
	if t == nil || nr != t.nr-1 || t.outAt == nil {
		return
	}
	t.outAt.out--
	t.outAt = nil
	if a := d.accounts[t.Customer]; a != nil && a.out > 0 {
		a.out--
		d.outChanged(a)
	}
	if !e.neverRan() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRan = true, t.sent
		if b != nil {
			t.ranHall, t.ranPod = b.Hall, b.Pod
		}
	}
	d.recheck, d.noRoom = true, false
	if over || t.ended {
		d.forget(t)
		return
	}
	d.todo = append(d.todo, t)
}

// Woken: a wake-up asked for has come.
func (d *Door) Woken(uint64) {}

// sort names the kind of work of a txn: work goes by product and units.
func (d *Door) sort(t *txn) int { return int(t.Product)*64 + int(min(max(t.Units, 0), 63)) }

// note writes the line for the log.
func (d *Door) note(aside int) {
	d.ready = append(d.ready, Decision{Verb: Note, Text: fmt.Sprintf("given up for want of%s; room %.2f, "+
		"%d of %d backends aside, %d txns wait, %d bad messages", d.gaveUp.text(), d.room, aside, len(d.open),
		len(d.line), d.badMail)})
	d.gaveUp, d.noted = tally{}, d.now
}

// slowest is the longest usual answer time, in seconds.
func (d *Door) slowest() float64 {
	s := 0.0
	for p := range d.products {
		s = max(s, d.products[p].slaTime.Seconds()/unknownPart)
	}
	return max(s, 0.001)
}

// seal adds to a message what goes along anyway, answers and sights, and hands it out.
func (d *Door) seal(p *peer, m *message) {
	d.packAnswers(p, m)
	if fresh := min(d.sightNr-p.sightNr, len(d.sights)); m.room() >= fresh*sightSize {
		m.sights, p.sightNr = d.sights[len(d.sights)-fresh:], d.sightNr
	}
	p.ackDue = len(p.answers) > 0
	p.lastSent = d.now
	d.ready = append(d.ready, Decision{Verb: Tell, Peer: p.id, Payload: m.encode()})
}

// settles counts what warm backends settle: sends may be more than they can do.
func (d *Door) settles(b *backend) {
	if b.warm >= 1 {
		d.doneRate, d.doneAt = d.doneNow()+1/rateOver, d.now
	}
}

// doneNow is its smoothed rate.
func (d *Door) doneNow() float64 {
	return d.doneRate * math.Exp(-(d.now-d.doneAt).Seconds()/rateOver)
}

// spend draws a txn's units at its first submission: from the bucket, the view and the ceiling's part.
func (d *Door) spend(a *account, t *txn) {
	t.drawn = true
	if a.plan.ceilRate > 0 {
		a.part -= t.Units
	}
	if a.plan.rate <= 0 {
		return
	}
	if a.owner == d.me {
		d.refill(a)
		d.draw(a, t.Units)
		return
	}
	a.unsent += t.Units
	d.mark(a)
}

// weight is a txn's work against the mean of those sent: a cold backend's budget is one of work.
func (d *Door) weight(t *txn) float64 {
	if d.work <= 0 {
		return 1
	}
	return d.usual(t).Seconds() / d.work
}
