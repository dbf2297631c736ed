package control

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"clovergap/internal/proxy/invariant"
)

// The quota's types and bookkeeping. What is decided is in quota.go, the form of the messages in peer.go.

// Verdict is what the quota says of a wish.
type Verdict int

const (
	Pass   Verdict = iota
	Wait           // ask again when something was heard, and at the time given
	Beyond         // no; it may be worth coming again after the time given
)

// Wish is what one txn or request asks of its customer's quota.
type Wish struct {
	Units   float64
	Arrived time.Duration // a time of the clock
	SLA     time.Duration // within it the answer is worth most: a part of it may be waited for units
	Late    bool          // a repeat that comes late: it leaves low buckets to others
}

// QuotaTerms are what users of a Quota set differently.
type QuotaTerms struct {
	Gap                time.Duration // packing delay at the least: two messages to a peer are so far apart
	ViewLife           time.Duration // an owner's word is good for so long
	DatagramsPerSecond float64       // messages a second that a gateway is able to take in
	Start              float64       // of the burst: what buckets begin with in a fleet that is all new
	Parts              bool          // a gateway alone has its part of the rate, and no more: see Covered
	// By parts: the rule allows rate x Window + burst, that times Excess more, and Margin units, in any Window.
	Window         time.Duration
	Excess, Margin float64
	Fence          time.Duration // a bucket newly owned, by a start or by Grow, stays empty for so long
	MostUnits      float64       // the units of the largest txn
}

// limit is what a customer may use.
type limit struct {
	rate, burst         float64 // units a second, units
	openCap             int
	ceilRate, ceilBurst float64
}

// Quota is one front door's part in metering all customers: the buckets it owns, its views of the others',
// and the messages about them. Like Door it does nothing by itself: the host sets the clock with Now, tells
// what happened, and pulls what is to be sent with Mail at the time that Next gives. Times are of the host's
// clock.
type Quota struct {
	now, born, since time.Duration // since: the owners were last worked out anew
	stallTo          time.Duration // when this gateway last stood still until
	me               GatewayID
	gateways, reach  int
	reachWas         int           // before it last rose,
	reachAt          time.Duration // at this time
	terms            QuotaTerms
	epoch            uint32 // of this life
	tells            bool

	accounts map[CustomerID]*account
	order    []*account // in order of their coming
	gone     map[CustomerID]time.Duration
	ofPlan   func(PlanID) *limit // the limits of plans; nil: SetLimit says them
	along    func(*peer, *message)
	heardOf  func([]sight) // what goes along with messages, and comes so

	peers        []*peer
	posted       []*peer       // with something due
	gap          time.Duration // between messages to here, as peers are told
	maxDatagrams float64       // messages a second taken in at most
	datagramsIn  int           // messages since the last tick
	writers      int           // and the peers they came from
	tick         time.Duration
	badDatagrams int
	version      uint64
	elders       int  // heard of
	young        int  // started about when this gateway did
	allNew       bool // the whole fleet
}

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

// peer is another gateway.
type peer struct {
	id       GatewayID
	epoch    uint32 // its present life
	retired  []uint32
	high     uint64 // sequences of its deltas that are applied
	mask     uint64
	seq      uint64 // sequence of the last delta sent to it
	flight   []*parcel
	sightNr  int           // the last one told
	since    time.Duration // it owes an acknowledgement
	dirty    []*account
	answers  []CustomerID
	answer   map[CustomerID]bool
	ackDue   bool
	posted   bool          // among those with something due
	gap      time.Duration // between messages to it, as it wishes
	lastSent time.Duration
	heard    time.Duration
	lostAt   time.Duration // when the host last found it out of reach; nought: it is in reach
	granted  uint64        // version of the last message whose grants were taken
}

// parcel is a delta message that waits for its acknowledgement.
type parcel struct {
	seq   uint64
	at    time.Duration
	sent  time.Duration // for the first time
	tries int
	lines []deltaLine
	bare  map[CustomerID]float64 // of their units, those spent on no word
}

// NewQuota starts the part of gateway me of so many. The seed makes its epoch: no two lives should have the
// same. Limits are told by SetLimit; each customer's owner is hashed over all gateways.
func NewQuota(seed int64, me GatewayID, gateways int, now time.Duration, t QuotaTerms) *Quota {
	invariant.That(me >= 0 && int(me) < gateways, "a gateway is one of those there are")
	invariant.That(t.Gap > 0 && t.ViewLife > 0 && t.DatagramsPerSecond > 0, "terms of a quota are set")
	q := newQuota(rand.New(rand.NewSource(seed)).Uint32()|1, me, gateways, now, t)
	q.tells, q.tick = true, now
	return q
}

func newQuota(epoch uint32, me GatewayID, gateways int, now time.Duration, t QuotaTerms) *Quota {
	q := &Quota{now: now, born: now, since: now, me: me, gateways: gateways, reach: gateways, terms: t,
		epoch: epoch, gap: t.Gap, maxDatagrams: max(1, datagramUse*t.DatagramsPerSecond), accounts: map[CustomerID]*account{},
		gone: map[CustomerID]time.Duration{}}
	for i := 0; i < gateways; i++ {
		q.peers = append(q.peers, &peer{id: GatewayID(i)})
	}
	return q
}

// Now sets the clock.
func (q *Quota) Now(t time.Duration) {
	if q.now > q.born && t-q.now > stallLeast {
		q.stallTo = t // it stood still: silence is held against nobody
	}
	q.now = max(q.now, t)
}

// SetLimit says what a customer may use from now on: units a second, and units at once. A customer is at most
// 1<<34. A lower burst cuts the level, a higher one fills at the rate. With a rate of nought or below it is
// not metered.
func (q *Quota) SetLimit(c CustomerID, rate, burst float64) {
	invariant.That(q.ofPlan == nil && c <= 1<<34, "a limit is of a customer that messages can name")
	a := q.accounts[c]
	if rate <= 0 {
		if a != nil {
			q.carry(a)
			delete(q.accounts, c)
			q.order = slices.DeleteFunc(q.order, func(o *account) bool { return o == a })
		}
		q.gone[c] = q.now
		return
	}
	if a == nil {
		delete(q.gone, c)
		a = q.account(c, 0)
		a.limit = &limit{rate: rate, burst: burst}
		a.level, a.levelAt = q.sinceBirth(a), max(q.now, q.since+q.terms.Fence)
		q.place(a, 0, q.gateways)
		return
	}
	if a.owner == q.me {
		q.refill(a)
	}
	a.limit.rate, a.limit.burst = rate, burst
	a.level = min(a.level, burst)
}

// Reach says which gateways are in touch with this one, by number. Under firm terms the buckets owned here fill by so
// much less as others are out of reach, who have their parts alone; and a little longer than that, since those may
// learn later that they are not alone any more. Until it is told, all are in reach.
func (q *Quota) Reach(live []bool) {
	for _, a := range q.order {
		if a.owner == q.me {
			q.refill(a)
		}
	}
	n := 0
	for i, p := range q.peers {
		switch {
		case i == int(q.me) || i >= len(live) || live[i]:
			p.lostAt = 0
			n++
		case p.lostAt == 0:
			p.lostAt = max(q.now, 1)
		}
	}
	if n > q.reach {
		q.reachWas, q.reachAt = q.reachNow(), q.now
	}
	q.reach = n
}

// reachNow is how many gateways count as in touch. An owner that has just started has nothing saved, and believes what
// it is told.
func (q *Quota) reachNow() int {
	if q.now-q.reachAt < lostLag && q.reachAt-q.born > lentHeld {
		return min(q.reach, q.reachWas)
	}
	return q.reach
}

// Grow says that there are more gateways, or that this one is another of them. Owners are hashed anew over
// all. What is no longer owned here becomes a view that is not known. What is newly owned starts empty, and
// stays so for the fence: that stands for all use before, and nobody spends a bucket twice. Units that the
// old owner has not acknowledged are told to the new one: if the old one had them, they count twice, and a
// customer has too little for a moment. What the old owner had lent here is void. Only an old owner that does
// not learn of the new one, because it is cut off, goes on beside it; so gateways should be added when all
// are in touch.
func (q *Quota) Grow(me GatewayID, gateways int) {
	invariant.That(gateways >= q.gateways && int(me) < gateways, "gateways get more")
	was := q.me
	if me == was && gateways == q.gateways {
		return
	}
	for i := len(q.peers); i < gateways; i++ {
		q.peers = append(q.peers, &peer{id: GatewayID(i)})
	}
	if me != was {
		q.epoch += 2 // to the peers it is one that has just started
	}
	all, fence := q.reach == q.gateways, q.terms.Fence
	if q.gateways == 1 && int(me) < gateways-1 {
		fence = 0 // it has started again in a place that others know: they ask no other owner
	}
	q.me, q.gateways, q.since = me, gateways, q.now+fence-q.terms.Fence
	if q.reach = min(q.reach, gateways); all {
		q.reach = gateways
	}
	for _, a := range q.order {
		owner := ownerOf(a.id, 0, gateways, gateways)
		a.width, a.sharers = gateways, gateways
		if owner == a.owner && me == was {
			continue
		}
		if a.owner != was {
			a.unsent, a.unacked = a.unsent+q.carry(a), 0
		}
		a.owner, a.level, a.levelAt, a.known, a.version, a.asked, a.reports = owner, 0, q.now, false, 0, 0, nil
		a.lent, a.lentGone, a.proving, a.toldAt = 0, 0, 0, 0
		if owner == me {
			a.levelAt, a.unsent, a.bareSent, a.bareOut = q.now+fence, 0, 0, 0
		} else if a.unsent > 0 {
			q.mark(a)
		}
	}
}

// carry takes all of an account out of what waits to be sent to its owner, and gives the unacknowledged
// units.
func (q *Quota) carry(a *account) (units float64) {
	p := q.peers[a.owner]
	p.dirty = slices.DeleteFunc(p.dirty, func(o *account) bool { return o == a })
	a.dirty = false
	for _, f := range p.flight {
		f.lines = slices.DeleteFunc(slices.Clone(f.lines), func(l deltaLine) bool {
			if l.customer == a.id {
				units += l.units
				a.bareSent += f.bare[a.id]
			}
			return l.customer == a.id
		})
	}
	p.flight = slices.DeleteFunc(p.flight, func(f *parcel) bool { return len(f.lines) == 0 })
	return units
}

// Covered tells whether a customer's quota covers a wish: now, perhaps until a time of the clock, or not,
// and then after how long there may be some. A customer without a limit is not metered. What passes is to be
// told by Spend, or by Keep while it waits for something else. What waits is asked for again when PeerSaid
// brings news and at the time given, with Arrived as it was.
//
// By parts, what all gateways spend together in a window is bounded, whoever is cut off from whom, and whoever starts again:
// rate x Window + burst from buckets, and what the rule leaves beyond it, a part of that for each gateway (bareNow). What
// covers a wish at another gateway than the owner is either lent or that gateway's part. docs/gateway.md has why it holds.
//
// Otherwise the terms are Door's: a gateway alone spends its share of the burst at once, and then the rate over those
// gateways that it does not know to be lost. Over all gateways that may be twice the quota and more.
func (q *Quota) Covered(c CustomerID, w Wish) (Verdict, time.Duration) {
	a := q.accounts[c]
	if a == nil {
		return Pass, 0
	}
	a.used = q.now
	verdict, at, _ := q.covered(a, w)
	return verdict, at
}

// Keep keeps units that are covered for one that waits for something else; Unkeep lets go of them.
func (q *Quota) Keep(c CustomerID, units float64) {
	if a := q.accounts[c]; a != nil {
		q.keep(a, units)
	}
}

func (q *Quota) keep(a *account, units float64) { a.kept, a.keeps = a.kept+units, a.keeps+1 }

// Unkeep lets go of kept units.
func (q *Quota) Unkeep(c CustomerID, units float64) {
	if a := q.accounts[c]; a != nil {
		a.kept, a.keeps = max(0, a.kept-units), a.keeps-1
	}
}

// Spend takes units, once, for what goes on its way now.
func (q *Quota) Spend(c CustomerID, units float64) {
	if a := q.accounts[c]; a != nil {
		q.spend(a, units)
	}
}

// Next is the time of the clock at which Mail or Sweep may have something to do.
func (q *Quota) Next() time.Duration {
	next := q.tick + time.Second
	for _, p := range q.posted {
		at := next
		if len(p.flight) > 0 {
			at = p.flight[0].at + (resendAfter+p.gap)<<p.flight[0].tries + 1
		}
		if len(p.dirty) > 0 || p.ackDue {
			at = q.now
		}
		if p.lastSent > 0 {
			at = max(at, p.lastSent+max(p.gap, q.terms.Gap))
		}
		next = min(next, at)
	}
	return max(next, q.now)
}

// BadDatagrams counts the messages, and parts of such, that were not taken.
func (q *Quota) BadDatagrams() int { return q.badDatagrams }

// sent counts submissions out.
func (q *Quota) sent(a *account, n int) {
	a.out += n
	q.outChanged(a)
}

// takes tells whether a delta may be taken: here it is known that its customers are metered, and owned here.
// One that comes too early or too late is neither applied nor acknowledged, in no part of it: it comes again.
func (q *Quota) takes(m *message) bool {
	if q.ofPlan != nil {
		return true
	}
	for _, l := range m.deltas {
		a := q.accounts[l.customer]
		if _, gone := q.gone[l.customer]; a == nil && !gone || a != nil && a.owner != q.me {
			return false
		}
	}
	return true
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

// post notes that something is due to a peer.
func (q *Quota) post(p *peer) {
	if !p.posted && q.tells {
		p.posted = true
		q.posted = append(q.posted, p)
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

func (q *Quota) packAnswers(p *peer, m *message) {
	q.version++
	m.version = q.version
	for room := m.room(); len(p.answers) > 0 && room >= snapMost; {
		a := q.accounts[p.answers[0]]
		delete(p.answer, p.answers[0])
		p.answers = p.answers[1:]
		if a == nil || a.owner != q.me {
			continue
		}
		q.refill(a)
		sharers, out, told := q.reporters(a, p)
		r := a.report(p.id)
		left, given := max(0, a.level-told-a.kept-q.lentOut(a)), 0.0
		if r.left = left; q.terms.Parts {
			given = q.lend(a, r, left)
		} else {
			r.units, r.told = 0, q.now
			if left >= r.wanted {
				r.units = r.wanted
			}
			given = q.grant(a, r)
		}
		r.wanted = 0
		m.snaps = append(m.snaps, snapLine{a.id, left, sharers + 1, out + a.out, given})
		room -= len(m.snaps[len(m.snaps)-1].append(nil))
	}
}

// newLife notes that a peer has started again; a message of a life that is over is dropped.
// What was reported to the old life is dropped: the new bucket starts empty, which stands for all use before.
func (q *Quota) newLife(p *peer, epoch uint32) bool {
	if p.over(epoch) {
		return false
	}
	if p.epoch != 0 {
		for _, f := range p.flight {
			for _, l := range f.lines {
				if a := q.accounts[l.customer]; a != nil {
					a.unacked -= l.units
					a.bareOut = max(0, a.bareOut-f.bare[a.id])
				}
			}
		}
		p.flight = nil
		for _, a := range q.order {
			if a.owner == p.id {
				a.known, a.asked, a.version, a.lent, a.lentGone, a.toldAt = false, 0, 0, 0, 0, 0
			}
		}
	}
	for _, a := range q.order {
		for _, r := range a.reports {
			if r.from == p.id {
				r.part = 0 // nobody tells what its former life spent of it
			}
		}
	}
	p.begin(epoch)
	return true
}

// takeDelta applies a delta once and marks its accounts for an answer.
func (q *Quota) takeDelta(p *peer, m *message) {
	if !q.takes(m) {
		q.badDatagrams++
		return
	}
	fresh := p.first(m.seq)
	p.ackDue = true
	q.post(p)
	for _, l := range m.deltas {
		if q.ofPlan == nil && q.accounts[l.customer] == nil {
			continue // not metered any more
		}
		if q.ofPlan != nil && q.ofPlan(l.plan) == nil {
			q.badDatagrams++
			continue
		}
		a := q.account(l.customer, l.plan)
		if !a.inSet { // a txn's own word goes before a peer's
			q.place(a, l.first, l.width)
		}
		if a.owner != q.me {
			q.badDatagrams++
			continue
		}
		q.refill(a)
		r := a.report(p.id)
		if r.at = q.now; m.seq == p.high {
			r.out, r.wanted = l.out, l.wanted
			q.give(a, r, r.part-float64(l.out)) // what it has yet to tell of may have been spent of its part
		}
		if q.terms.Parts && fresh {
			r.units = max(0, r.units-max(l.part, 0))
		} else if !q.terms.Parts {
			r.units = max(0, r.units-l.units)
		}
		if fresh {
			q.give(a, r, l.units-max(l.part, 0))
			q.draw(a, l.units)
		}
		if fresh && m.ackEpoch == q.epoch && a.listened && a.limit.ceilRate > 0 {
			r.want = max(-l.part, 0)
		}
		q.owe(p, a.id)
	}
}

// takeSnapshot settles acknowledged deltas, then takes the owner's figures if they are not older than held.
func (q *Quota) takeSnapshot(p *peer, m *message) {
	kept := p.flight[:0]
	for _, f := range p.flight {
		if !m.acknowledges(f.seq) {
			kept = append(kept, f)
			continue
		}
		for _, l := range f.lines {
			if a := q.accounts[l.customer]; a != nil {
				a.unacked -= l.units
				a.level -= l.units
				a.proving += f.bare[a.id]
				a.toldAt = max(a.toldAt, f.sent)
			}
		}
	}
	p.flight = kept
	once := m.version > p.granted
	p.granted = max(p.granted, m.version)
	for _, l := range m.snaps {
		a := q.accounts[l.customer]
		if once && a != nil && a.owner == p.id && a.limit.ceilRate > 0 && a.listened {
			a.part = min(q.partCap(a), q.partNow(a)+l.grant)
		}
		if once && a != nil && a.owner == p.id && q.terms.Parts {
			if q.lentNow(a); q.now-q.stallTo > q.answerIn(a) && l.grant > 0 { // else it may be of long ago
				a.lent, a.lentAt = a.lent+l.grant, q.now
			}
			q.proved(a, l.left)
		}
		if a == nil || a.owner != p.id || m.version < a.version && a.known {
			continue
		}
		a.level, a.levelAt, a.known, a.version = l.left, q.now, true, m.version
		a.sharers, a.outElse, a.asked = max(l.sharers, 1), l.outElse, 0
	}
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

// told brings up to date, in lines that go again, what else is to be told of.
func (q *Quota) told(lines []deltaLine) []deltaLine {
	for i := range lines {
		if a := q.accounts[lines[i].customer]; q.terms.Parts && a != nil {
			lines[i].out = q.outOf(a, lines[i].units)
		}
	}
	return lines
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

// packDeltas moves unreported use into a new parcel, oldest first, so that none starves.
func (q *Quota) packDeltas(p *peer, m *message) {
	p.seq++
	m.seq = p.seq
	bare := map[CustomerID]float64{}
	for room := m.room() * deltaPart / 8; len(p.dirty) > 0 && room >= deltaMost; {
		a := p.dirty[0]
		p.dirty = p.dirty[1:]
		a.dirty = false
		m.deltas = append(m.deltas, deltaLine{a.id, a.planID, a.unsent, q.outOf(a, a.unsent), q.move(a), a.first, a.wanted,
			a.width})
		if a.bareSent > 0 {
			bare[a.id] = a.bareSent
		}
		a.unacked += a.unsent
		a.unsent, a.wanted, a.packed, a.bareSent = 0, 0, q.now, 0
		room -= len(m.deltas[len(m.deltas)-1].append(nil))
	}
	if len(p.flight) == 0 {
		p.since = q.now
	}
	p.flight = append(p.flight, &parcel{seq: m.seq, at: q.now, sent: q.now, lines: m.deltas, bare: bare})
}

// PeerSaid takes a peer's message and tells whether it may change what is covered. What does not decode is
// dropped and counted.
func (q *Quota) PeerSaid(from GatewayID, payload []byte) (news bool) {
	m, err := decodeMessage(payload)
	if err != nil || from < 0 || int(from) >= len(q.peers) || from == q.me {
		q.badDatagrams++
		return false
	}
	p := q.peers[from]
	q.datagramsIn++
	if p.heard <= q.tick {
		q.writers++
	}
	q.meet(p, m.age)
	p.heard, p.gap = q.now, m.gap
	if m.epoch != p.epoch && !q.newLife(p, m.epoch) {
		return false
	}
	if m.seq > 0 {
		q.takeDelta(p, m)
	}
	if m.ackEpoch == q.epoch {
		q.takeSnapshot(p, m)
	}
	if q.heardOf != nil {
		q.heardOf(m.sights)
	}
	return m.seq > 0 || m.ackEpoch == q.epoch
}

// seal adds to a message what goes along anyway, answers and more, and gives its bytes.
func (q *Quota) seal(p *peer, m *message) []byte {
	q.packAnswers(p, m)
	if q.along != nil {
		q.along(p, m)
	}
	p.ackDue = len(p.answers) > 0
	p.lastSent = q.now
	return m.encode()
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

// owe queues an account for the next snapshot to the peer.
func (q *Quota) owe(p *peer, id CustomerID) {
	p.ackDue = true
	q.post(p)
	if p.answer == nil {
		p.answer = map[CustomerID]bool{}
	}
	if !p.answer[id] {
		p.answer[id] = true
		p.answers = append(p.answers, id)
	}
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
