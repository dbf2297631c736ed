package control

import (
	"math/rand"
	"slices"
	"time"

	"clovergap/internal/proxy/invariant"
)

// The quota's terms and state. What is decided is in quota.go, one customer's account in account.go, what peers are told in
// quotapeer.go, the form of the messages in peer.go.

// Verdict is what the quota says of a wish.
type Verdict int

// What a quota may say to a request.
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
// and the messages about them. Like Node it does nothing by itself: the host sets the clock with Now, tells
// what happened, and pulls what is to be sent with Datagrams at the time that Next gives. Times are of the host's
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
// Otherwise the terms are Gateway's: a gateway alone spends its share of the burst at once, and then the rate over those
// gateways that it does not know to be lost. Over all gateways that may be twice the quota and more.
func (q *Quota) Covered(c CustomerID, w Wish) (Verdict, time.Duration) {
	a := q.accounts[c]
	if a == nil {
		return Pass, 0
	}
	a.used = q.now
	verdict, at, _ := q.covered(a, w)
	if verdict != Wait { // nothing is lent for what does not wait any more; another that waits asks for itself
		a.wanted = 0
	}
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

// Next is the time of the clock at which Datagrams or Sweep may have something to do.
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
