// Package control decides for one gateway: which txns pass, to which backend, and what its peers are told.
//
// How it is called: the host sets the clock with Now, tells what happened by the input calls (TxnTaken,
// SubmissionEnded and so on), which only update what is known, and then pulls decisions with Next one by one
// until there is none. The interface (ids, Txn, Listing, Decision, Settings) is in types.go, bookkeeping in
// state.go, the peer messages in peer.go, the due queue in internal/due; docs/design.md tells why.
package control

import (
	"math"
	"sort"
	"time"
)

const ms = time.Millisecond

// Tuned values. Shares are of 1.
const (
	period      = 20 * ms   // periodic work while something waits
	lookEvery   = 100 * ms  // and while nothing does
	stallLeast  = 250 * ms  // without a turn: this gateway stood still
	mailUse     = 0.7       // of what a peer takes in
	leastGap    = 10 * ms   // packing delay at the least
	viewLife    = 1000 * ms // a snapshot older than this is stale
	deltaPart   = 4         // eighths of a message that deltas may fill, the rest is for answers
	shareOf     = 2.0       // a low bucket is split too: this times what remains, over the recent reporters
	heardFor    = 1500 * ms // a gateway not heard for longer counts as lost
	reporterFor = 2 * time.Second
	idleAfter   = 10 * time.Second
	askTries    = 2        // a question or its answer may get lost: an owner is silent after so many
	askWait     = 100 * ms // and both packing delays: longest wait for a snapshot
	gapMost     = 2 * time.Second
	gapFall     = 0.5
	viewWait    = 0.4 // of the SLA time at most
	repeatLeave = 0.5 // of the burst: what a repeat must leave
	unitWait    = 0.3 // of the SLA time: longest wait for units or an open slot
	unknownPart = 8   // of the SLA time: a txn's usual time until one is known
	smooth      = 0.1 // weight of a new sample
	smoothLoad  = 0.5 // and of a load report
	sightsTold  = 5   // last answers told to a peer
	crowd       = 8.0 // times the mean load, and one more: a backend with that has enough; reports are late
	firstTry    = 0.9 // of the time left to the SLA time: limit of a submission; a repeat takes as long again
	firstTimes  = 4   // and such a limit is set only above this times the usual answer time
	retryGain   = 0.2 // further submissions earned by a txn
	retryMost   = 30.0
	youth       = 2 * time.Second // gateways of one age started within this
	youngMany   = 3               // of these heard, and none older
	failSeen    = 5.0             // answers that such a share is made of
	failAgain   = 0.95            // of failShare, after a pause: one more failure, and it is passed over again
	slowAside   = 4.0             // times the fleet's median answer time sets a backend aside
	trialEvery  = 700 * ms        // a silent backend gets one inquiry-like txn
	silentAside = 1600 * ms
	asideMost   = 0.5 // share of the backends that may be aside for being slow or failing
	goodProbes  = 2
	ramp        = 4 * time.Second // after its return a backend is passed over by chance
	rateOver    = 3.0             // seconds over which the rate of sends to a backend is smoothed
	coldUse     = 0.5             // of the cold budget
	roomFirst   = 4.0             // submissions out at a usual backend to begin with, from all gateways
	spread      = 1.0             // times the root of the room: txns come unevenly, the more so the fewer
	useLeast    = 0.6             // share of the room in use that makes late answers count
	probeIdle   = 0.05            // of a probe, each look around
	roomStart   = 0.01            // instead of roomUp until room was taken away once: the first room is a guess
	oddCap      = 1.3             // times the median: no place for txns whose plan caps what is open
	oddSlow     = 1.7             // times the median: such a backend's lateness is its own
	pressFor    = 300 * ms
	backWait    = 0.35    // of the SLA time: longest wait for a backend
	travel      = 40 * ms // margin for the way to a backend

	resendAfter, resendMost = 120 * ms, 3          // an unacknowledged delta goes again, twice as late each time
	silence, silenceMin     = 4.0, 200 * ms        // times the usual answer time without any answer passes over
	roomUp, roomDown        = 0.002, 0.025         // shares by a prompt and a late answer
	longTimes, ratioMost    = 5.0, 20.0            // times the usual: an answer counts as no more
	lateShare, lateMost     = 0.4, 0.9             // of the SLA time: a later answer is a sign of crowding
	useSpare, spareAfter    = 0.4, 3 * time.Second // use of room, and calm, at which what pays may go on
	partEven                = 0.5                  // of a ceiling: split evenly; the rest is the owner's pool
	failShare, failOdd      = 0.35, 2.0            // of failing submissions, and this times the share everywhere
	fullPause, fullMost     = 100 * ms, 5          // doubled each time in a row
	asideFirst, asideLast   = 500 * ms, 8 * time.Second
	noteEvery               = 5 * time.Second
	probeGain, probeMost    = 0.2, 10.0                 // such probes earned by a txn
	wholeIn, reportFor      = 100 * ms, 4 * time.Second // of an answer that has begun; a load report's life
	roomLeast, roomMost     = 1.0, 40.0                 // the least from all gateways
)

// New starts an instance: nothing is known but the settings.
func New(seed int64, s Settings, now time.Duration) (*Door, error) {
	d, p := newDoor(seed, s, now)
	d.retries, d.pressed, d.room = retryMost/3, -pressFor, roomFirst/float64(max(d.gateways, 1))
	d.probeRight, d.roomUp = probeMost, roomStart
	d.gap, d.mailMost = leastGap, max(1, mailUse*d.mailMost)
	return d, p.err
}

// ---- Inputs: what is known

// Now sets the clock.
func (d *Door) Now(now time.Duration) {
	// A gateway that stood still for longer than its periodic work allows finds time-outs, silence and old views
	// of its own making: they are held against nobody. What came meanwhile has waited already, see catchUp.
	if d.now > d.born && now-d.now > stallLeast {
		d.stallFrom, d.stallTo = d.now, now
		for _, b := range d.list {
			b.oweSince = now
		}
	}
	d.now = max(d.now, now)
}

// dates works out when a txn's SLA time is over. Clients count it from their first try, and their patience: a
// try's expiry is what is left of it, unless a try may take less, as first tries show. A repeat with time
// left is as good as a first try; one of which nothing is known, or that still earns something when late, is
// late: it leaves low buckets and scarce room to the others.
func (d *Door) dates(t *txn) {
	p := &d.products[t.Product]
	left := t.Expiry - d.now
	t.slaAt = min(d.now+p.slaTime, t.Expiry)
	if !t.Repeat {
		p.tryFor = min(max(p.tryFor, left), p.patience)
		return
	}
	gone := p.patience - left
	t.late = p.tryFor <= 0 || left >= p.tryFor-travel && gone > travel || gone >= p.slaTime && p.late > 0
	if !t.late && gone > 0 {
		t.slaAt = min(t.slaAt, d.now+p.slaTime-gone)
	}
}

// catchUp spreads the txns that came while this gateway stood still over that time: those whose SLA time is
// over by then are declined at once and take no units.
func (d *Door) catchUp() {
	n := len(d.todo)
	for i, t := range d.todo {
		if t.arrived == d.now && t.nr == 0 {
			waited := time.Duration(float64(d.stallTo-d.stallFrom) * (float64(n-i) - 0.5) / float64(n))
			t.slaAt = min(t.slaAt, d.now-waited+d.products[t.Product].slaTime)
		}
	}
	d.stallFrom = d.stallTo
}

// learn updates what is known of a backend by an outcome.
func (d *Door) learn(t *txn, b *backend, e Ending, took time.Duration, load []float64) {
	answered := e == Settled || e == Errored || e == Full
	if answered {
		b.owed, b.oweSince = 0, 0
		if b.out > 1 {
			b.owed, b.oweSince = b.out-1, d.now
		}
		d.readLoad(b, load)
	}
	if t == nil || t.sent < d.stallTo && (e == Settled || e == TimedOut) {
		return // how long it took is this gateway's own doing
	}
	s := sight{hash: b.hash & sightMask, product: t.Product, crowd: d.crowding(t, b, e)}
	d.adjustRoom(s.crowd)
	switch e {
	case Unreachable, Broken:
		s.ratio = sightLost
	case Errored:
		s.ratio = sightFailed
	case TimedOut:
		if s.ratio = float64(d.now-t.sent) / float64(d.usual(t)); s.ratio >= 3 {
			s.ratio = sightLost
		}
	case Full:
		// A full backend is left alone for twice as long each time in a row. It says nothing of the others:
		// were it to take room from all, one that is always full would starve the fleet.
		b.fullUntil = d.now + fullPause<<min(b.fulls, fullMost)
		b.fulls++
		return
	case Settled:
		b.fulls = 0
		s.ratio = d.timed(t, took)
		d.settles(b)
	case CalledOff, NotSent:
		return
	}
	d.observe(b, s)
	d.sights = append(d.sights, s) // told to peers with messages that go anyway
	d.sights = d.sights[max(0, len(d.sights)-sightsTold):]
	d.sightNr++
}

// timed learns the usual answer time and gives an answer's time against it.
func (d *Door) timed(t *txn, took time.Duration) float64 {
	kind := d.sort(t)
	usual, ok := d.typical[kind]
	if !ok {
		usual = took.Seconds()
	}
	step := smooth / 2 * (min(took.Seconds(), longTimes*usual) - usual)
	if step > 0 && d.isPressed() {
		step = 0 // under pressure answers hold waiting, which is no part of the usual time
	}
	d.typical[kind] = usual + step
	return min(took.Seconds()/max(usual, 0.0005), ratioMost)
}

// reckon counts a submission as lost or not.
func (d *Door) reckon(b *backend, bad float64) {
	b.seen = b.seen*(1-smooth) + 1
	b.fails += max(smooth, 1/b.seen) * (bad - b.fails)
	d.lost += smooth / 5 * (bad - d.lost)
}

// readLoad takes a load report: what others keep there. More than all gateways may have out can't be true.
func (d *Door) readLoad(b *backend, load []float64) {
	if held, ok := heldBy(d.fields, load); ok && held <= roomMost*float64(d.gateways) {
		b.others, b.told = b.others+smoothLoad*(max(0, held-float64(b.out))-b.others), d.now
	}
}

// observe takes how one submission went at a backend, from here or from a peer. Among hundreds of gateways
// each sees any one backend every ten seconds or so, too seldom to find slow, failing and dead ones alone.
// A peer's word weighs as one answer: it can't open a backend, and what is passed over by it is bounded and
// tried again like all else. Covers slow, failing and lost backends; a slow peer may mislead.
func (d *Door) observe(b *backend, s sight) {
	switch s.ratio {
	case sightLost:
		d.reckon(b, 1)
		return
	case sightFailed:
		d.judge(s.product, b, 1)
	default:
		d.judge(s.product, b, 0)
		if b.aside && s.ratio < slowAside {
			b.probes++ // a peer's txn was answered there: as good as a probe
		}
		b.slow += smooth * (s.ratio - b.slow)
	}
	d.reckon(b, 0)
}

// judge learns whether a backend fails one product: it is then passed over for that product alone, twice as
// long each time, and tried again by that product's own txns. When the product fails everywhere alike, no
// backend is at fault. Covers fast errors of whole backends as well as a broken function of one.
func (d *Door) judge(p ProductID, b *backend, bad float64) {
	f, all := &b.fail[p], &d.everywhere[p]
	f.seen = min(f.seen+1, failSeen)
	f.share += (bad - f.share) / f.seen
	all.share += smooth / 5 * (bad - all.share)
	if f.until > d.now {
		if bad > 0 {
			f.until = d.now + f.pause // others still find it failing
		}
	} else if f.share > failShare && f.seen >= 2 && f.share > failOdd*all.share {
		f.pause = min(max(asideFirst, 2*f.pause), asideLast)
		f.until, f.share = d.now+f.pause, failAgain*failShare
	} else if f.share < failShare/4 {
		f.pause = 0
	}
}

// fails tells whether a backend is passed over for a txn. A once-only txn can't go again after an error, so
// it keeps away while any product fails there, and leaves it to the others to find out.
func (d *Door) fails(b *backend, t *txn) bool {
	if d.products[t.Product].kind == "once-only" {
		for p, f := range b.fail {
			if ProductID(p) != t.Product && (f.until > d.now || f.share > failShare/2) {
				return true
			}
		}
	}
	return b.fail[t.Product].until > d.now
}

// crowding tells whether an answer says that the fleet is crowded, that it is not, or neither.
func (d *Door) crowding(t *txn, b *backend, e Ending) crowding {
	if t.outAt == nil || e != Settled && e != TimedOut {
		return unclear
	}
	sla := float64(d.products[t.Product].slaTime)
	late := time.Duration(min(lateShare*sla+float64(d.usual(t)), lateMost*sla))
	if e == Settled && d.now-t.sent < late {
		return prompt
	}
	if b.warm < 1 || b.slow > oddSlow*d.median || e == TimedOut && b.oweSince <= t.sent {
		// A time-out at a backend that has answered nothing since is silence, not crowding.
		return unclear // one backend's trouble: its own room is smaller by that, the fleet's is not
	}
	return crowded
}

// adjustRoom learns how much this gateway may have out, by its own answers and those that peers tell of: late
// ones take room away, prompt ones give it back while it is in use. It holds against overload, a slow fleet
// and lost backends alike; it may hurt when a product's work is by itself near its SLA time.
func (d *Door) adjustRoom(c crowding) {
	if c == prompt && d.isPressed() {
		d.room = min(roomMost, d.room*(1+d.roomUp))
	}
	// With room to spare the lateness is not of this gateway's making; and an exponential work time has late
	// answers of its own, which would wear the room down while nothing wears it up.
	if c == crowded && d.use >= useLeast && d.isPressed() {
		d.room, d.roomUp = max(roomLeast/float64(d.gateways), d.room*(1-roomDown)), roomUp
	}
}

func (d *Door) isPressed() bool { return d.now-d.pressed < pressFor }

// ---- Decisions

// Next gives the next thing to do now, or false when there is none.
func (d *Door) Next() (Decision, bool) {
	if d.stallFrom < d.stallTo {
		d.catchUp()
	}
	for {
		if len(d.ready) > 0 {
			x := d.ready[0]
			d.ready = d.ready[1:]
			return x, true
		}
		if d.recheck {
			d.recheck = false
			if len(d.line) > 0 {
				for _, t := range d.line {
					t.waits = false
				}
				d.todo, d.line = append(d.line, d.todo...), nil
				if d.isPressed() { // what is worth most for the time it takes goes first, the older before
					sort.SliceStable(d.todo, func(i, j int) bool { return d.worth(d.todo[i]) > d.worth(d.todo[j]) })
				}
			}
		}
		if len(d.todo) > 0 {
			t := d.todo[0]
			d.todo = d.todo[1:]
			d.decide(t)
			continue
		}
		if id, ok := d.due.Take(d.now); ok {
			if t := d.txns[id]; t != nil {
				d.expire(t)
			}
			continue
		}
		if d.now-d.lastWork >= d.pace() {
			d.lastWork = d.now
			d.sweep()
			continue
		}
		if d.mail() {
			continue
		}
		return d.wake()
	}
}

// decide settles what happens to a txn that has no submission out.
func (d *Door) decide(t *txn) {
	if t.ended || t.outAt != nil || t.waits {
		return
	}
	if t.nr > 0 && (t.nr >= d.submissions || d.retries < 1 || d.isPressed() && t.mayHaveRun) ||
		d.now+min(d.usual(t), d.products[t.Product].slaTime/4)/2 >= t.slaAt {
		t.why = lackTime
		d.end(t, d.adviceMost)
		return
	}
	if t.nr > 0 && t.mayHaveRun && !d.repeatable(t) {
		d.end(t, 0)
		return
	}
	a := d.account(t.Customer, t.Plan)
	d.place(a, t.SetFirst, t.SetWidth)
	a.used = d.now
	if !t.drawn && !t.over && !t.kept {
		switch verdict, until := d.covered(a, t); verdict {
		case wait:
			d.hold(t, until)
			return
		case beyond:
			if !d.spare(a, t) {
				d.end(t, until)
				return
			}
			t.over = true
		}
	}
	t.why = lackBackend
	var b *backend
	if !d.noRoom || t.mayHaveRun {
		b = d.pick(t)
	}
	if t.late && t.nr == 0 && (b == nil || d.isPressed()) {
		// What room there is belongs to first tries: a repeat is late by now, or soon.
		d.end(t, d.adviceMost)
		return
	}
	if b == nil {
		d.pressed = d.now
		if !t.drawn && !t.over && !t.kept {
			// What covers it is kept for it: a view that ages while it waits for a backend would decline it.
			t.kept, a.kept, a.keeps = true, a.kept+t.Units, a.keeps+1
		}
		d.hold(t, t.arrived+time.Duration(backWait*float64(d.products[t.Product].slaTime)))
		return
	}
	d.submit(t, a, b)
}

// worth is a txn's value for the time it takes. Plans count alike: none is let go for its price.
func (d *Door) worth(t *txn) float64 {
	return d.products[t.Product].value * max(t.Units, 1) / max(d.usual(t).Seconds(), 0.001)
}

// spare tells whether a txn beyond its quota may go on: an exception for plans that pay for it and are not
// charged, only while the backends clearly have room and nothing inside a quota lacked any lately.
func (d *Door) spare(a *account, t *txn) bool {
	p := a.plan
	return p.overValue > 0 && p.overCost <= 0 && p.openCap == 0 && p.ceilRate <= 0 && !t.late &&
		d.use < useSpare && d.now-d.pressed > spareAfter
}

// hold puts a txn in the waiting line until a time at which it is given up.
func (d *Door) hold(t *txn, until time.Duration) {
	if until <= d.now {
		d.end(t, 0)
		return
	}
	t.waits = true
	if t.giveUp < until {
		t.giveUp = until
		d.due.Add(until, t.ID)
	}
	d.line = append(d.line, t)
}

// expire gives up a txn whose due time has come.
func (d *Door) expire(t *txn) {
	if t.waits && d.now < t.Expiry-2*ms && d.now >= t.giveUp && (t.why == lackUnits || t.why == lackView) {
		t.waits = false // decided a last time: without an answer of the owner it may have the allowance
		d.todo = append(d.todo, t)
		return
	}
	if d.now < t.Expiry-2*ms && (t.outAt != nil || !t.waits || d.now < t.giveUp) {
		return
	}
	d.end(t, 0)
}

// end is the one place where a txn gets its final answer (rules 1 and 2), at once.
// A decline promises that a repeat is safe: only if nothing ran, or the product bears repeats everywhere.
func (d *Door) end(t *txn, advice time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	d.gaveUp[t.why]++
	p := d.products[t.Product]
	again := p.kind == "inquiry-like" || p.kind == "referenced" && p.scope == "all"
	x := Decision{Verb: Void, Txn: t.ID, Why: t.why}
	if again || !t.mayHaveRun && t.outAt == nil {
		x.Verb = Decline
		if d.advice {
			x.Limit = max(0, min(advice, d.adviceMost))
		}
	}
	d.ready = append(d.ready, x)
	if t.outAt != nil {
		if d.cancel {
			d.ready = append(d.ready, Decision{Verb: Recall, Txn: t.ID, Nr: t.nr - 1})
		}
		return // its outcome still comes
	}
	d.forget(t)
}

// repeatable tells whether a txn that may have run may go out again now (rule 2).
func (d *Door) repeatable(t *txn) bool {
	switch p := d.products[t.Product]; p.kind {
	case "inquiry-like":
		return true
	case "referenced":
		return d.now+travel < t.firstRan+p.window
	}
	return false
}

// ---- Quota

// draw takes units from an owned bucket; what is not there was beyond the quota and takes nothing.
func (d *Door) draw(a *account, units float64) {
	a.level = max(0, a.level-units)
	if a.level >= 1 {
		a.spent = false
	} else if !a.spent { // exhaustion is told to recent reporters at once
		a.spent = true
		for _, r := range a.reports {
			if d.now-r.at < reporterFor && r.left >= 1 {
				d.owe(d.peers[r.from], a.id)
			}
		}
	}
}

// meet learns whether the fleet is as young as this gateway: then nobody can have spent before, and buckets
// are full. One older gateway is enough to know better: this one has restarted, its buckets start empty.
func (d *Door) meet(p *peer, age time.Duration) {
	if age > d.now-d.born+youth {
		d.elders++
	} else if p.heard == 0 {
		d.young++
	}
	if d.elders > 0 || d.allNew || d.young < min(youngMany, d.gateways-1) || d.now-d.born > youth {
		return
	}
	for _, a := range d.order {
		if a.owner == d.me {
			a.level += a.plan.burst - d.sinceBirth(a) // capped at the next refill
		}
	}
	d.allNew = true
}

// share is the floored split cap: the burst divided by the recent reporters, one txn's units at least.
func (a *account) share(units float64) float64 {
	most := a.plan.burst
	if a.known {
		most = min(most, shareOf*max(a.level, 0))
	}
	return max(most/float64(max(a.sharers, 1)), units)
}

// covered tells whether the quota covers a txn now, may cover it soon, or does not.
func (d *Door) covered(a *account, t *txn) (verdict, time.Duration) {
	sla := d.products[t.Product].slaTime
	last := t.arrived + time.Duration(unitWait*float64(sla))
	if ok, until := d.underCeiling(a, t); !ok {
		t.why = lackCeiling
		if until < last {
			return wait, last
		}
		return beyond, until - d.now
	}
	if a.plan.openCap > 0 && a.out+a.keeps+d.outElse(a) >= a.plan.openCap {
		t.why = lackSlot
		if a.owner != d.me && d.now-a.levelAt > d.answerIn(a) {
			d.ask(a) // what others had out is long ended, but nobody tells a gateway that keeps still
		}
		if d.now < last {
			return wait, last
		}
		return beyond, 0
	}
	if a.plan.rate <= 0 {
		return pass, 0
	}
	if a.owner == d.me {
		d.refill(a)
		if a.level-a.kept >= d.need(a, t) {
			return pass, 0
		}
		t.why = lackUnits
		due := time.Duration((d.need(a, t) - a.level) / a.plan.rate * float64(time.Second))
		if d.now+due < last && !t.late {
			return wait, last
		}
		return beyond, due
	}
	return d.byView(a, t)
}

// need is what must be left for a txn: a client's repeat, which mostly comes late, leaves a low bucket to
// first tries.
func (d *Door) need(a *account, t *txn) float64 {
	if t.late {
		return t.Units + repeatLeave*a.plan.burst
	}
	return t.Units
}

// byView decides for a customer that another gateway owns.
func (d *Door) byView(a *account, t *txn) (verdict, time.Duration) {
	t.why = lackView
	share := a.share(t.Units)
	pending := a.unacked + a.unsent + a.kept
	age := d.now - a.levelAt
	sla := float64(d.products[t.Product].slaTime)
	until := t.arrived + min(askTries*d.answerIn(a), time.Duration(viewWait*sla))
	most, life := a.plan.burst, viewLife
	if a.known {
		most = min(most, max(a.level, 0))
	}
	// Where one such txn for each gateway is more than is left, a view is good only for the txns that wait for
	// it: with a set of a hundred gateways each would else spend its allowance on a used-up bucket.
	tight := t.Units*float64(a.sharers) > most
	if tight {
		life = d.answerIn(a)
	}
	fresh := a.known && age < life
	if fresh && a.level-pending >= d.need(a, t) && pending+t.Units <= share {
		return pass, 0
	}
	if !fresh {
		d.ask(a)
		// While the owner is silent the allowance grows at the rate, shared by the recent reporters but for those
		// found lost: the survivors of a lost hall then serve the whole quota between them.
		silent := d.now-max(a.asked, d.peers[a.owner].heard, d.stallTo) > askTries*d.answerIn(a)
		if silent {
			share += a.plan.rate / float64(d.survivors(a)) * (d.now - a.asked).Seconds()
		}
		// An owner that answers is asked first if its last word, with this gateway's part of the refill since,
		// does not cover the txn: else many gateways would each spend an allowance a second on a used-up bucket.
		left := a.level + a.plan.rate*age.Seconds()/float64(max(a.sharers, 1)) - pending
		enough := !a.known || left >= d.need(a, t)
		// Asked in good time and not answered: the allowance is there for that.
		unanswered := d.now >= until && a.asked > 0 && a.asked < until && !t.late
		if pending+t.Units <= share && (silent || !tight && enough || unanswered && enough) {
			return pass, 0
		}
	}
	mayBe := a.level + a.plan.rate*age.Seconds() - pending // if no other spent since
	if (!fresh || age > d.answerIn(a) && mayBe >= t.Units || pending+t.Units > share) && d.now < until {
		d.ask(a)
		a.wanted = max(a.wanted, t.Units)
		return wait, until
	}
	return beyond, time.Duration((d.need(a, t) - max(0, a.level-pending)) / a.plan.rate * float64(time.Second))
}

// survivors counts the gateways that share a silent owner's rate. One that was written to and has not been
// heard since is lost; of the others a wide set's gateways hear little, and that is no sign.
func (d *Door) survivors(a *account) int {
	n := a.sharers
	for i := 0; i < a.width; i++ {
		p := d.peers[(int(a.first)+i)%d.gateways]
		if len(p.flight) > 0 && d.now-max(p.since, p.heard, d.stallTo) > heardFor {
			n--
		}
	}
	return max(n, 1)
}

// answerIn is the time within which an owner that is well answers.
func (d *Door) answerIn(a *account) time.Duration { return askWait + d.gap + d.peers[a.owner].gap }

// underCeiling keeps rule 5. A share of the ceiling is split evenly over the set's gateways, so that each has
// some when cut off; the rest is the owner's pool, for those to ask whose customers come unevenly. Parts and
// pool start empty in each life, and their rates and stores add up to the whole, whoever restarts.
func (d *Door) underCeiling(a *account, t *txn) (bool, time.Duration) {
	if a.plan.ceilRate <= 0 {
		return true, 0
	}
	if !a.listened {
		return false, d.now + time.Second
	}
	need := t.Units + a.kept - d.partNow(a)
	if need <= 0 {
		return true, 0
	}
	if a.owner != d.me {
		a.want = min(max(a.want, need), d.partCap(a))
		d.ask(a)
		return false, d.now
	}
	return false, d.now + time.Duration(need/(a.plan.ceilRate*d.partOf(a))*float64(time.Second))
}

// partOf is the share of a ceiling that is this gateway's.
func (d *Door) partOf(a *account) float64 {
	width := float64(max(a.width, 1))
	even := min(1, max(partEven, d.mostUnits*width/max(a.plan.ceilBurst, 1))) // the largest txn fits into a part
	if a.owner == d.me {
		return even/width + 1 - even
	}
	return even / width
}

// move tells the owner what this gateway lacks of a ceiling.
func (d *Door) move(a *account) (want float64) {
	want, a.want = a.want, 0
	return -want
}

// grant gives from the owner's pool. It is taken off before it is sent, applied at most once and only in the
// life it was meant for: a lost message merely loses it.
func (d *Door) grant(a *account, r *report) float64 {
	if r.want <= 0 || !a.listened || a.plan.ceilRate <= 0 {
		return 0
	}
	g := math.Ceil(16*r.want) / 16
	if r.want = 0; g > d.partNow(a)-a.kept {
		return 0 // a fragment lets nobody go
	}
	a.part -= g
	return g
}

// ---- Choice of backend

// share of its capacity that a backend surely has by now.
func (d *Door) warmth(b *backend) float64 {
	if b.Started <= 0 || d.warmBy <= 0 || d.now-b.Started >= d.warmBy {
		return 1
	}
	age := max(0, float64(d.now-b.Started)/float64(d.warmBy))
	return d.coldFrom + (1-d.coldFrom)*age
}

// load is what a backend holds, counted in usual txns of a warm backend.
func (d *Door) load(b *backend) float64 {
	others := b.others * max(0, 1-float64(d.now-b.told)/float64(reportFor)) // an old report says ever less
	return (float64(b.out) + others) * max(b.slow/d.median, 0.5) / b.warm
}

// survey brings up to now what every choice goes by, once for all choices of a short while.
func (d *Door) survey() {
	if d.now-d.surveyed < lookEvery && len(d.open) > 0 {
		return
	}
	d.surveyed, d.open = d.now, d.open[:0]
	n, slow := 0.0, d.slows[:0]
	for _, b := range d.list {
		if b.State != Ready {
			continue
		}
		b.warm = d.warmth(b)
		d.open = append(d.open, b)
		if !b.aside {
			slow = append(slow, b.slow)
			if b.warm >= 1 {
				n++
			}
		}
	}
	// The median answer time against the usual: when all are slow alike, none is at fault.
	d.slows, d.median, d.warmRate = slow, max(middle(slow), 0.1), d.doneNow()/max(n, 1)
}

// silent tells that a backend owes answers for longer than such txns take. Now and then an inquiry-like txn
// tries it all the same: else one that owes too little to be set aside would never be heard again.
func (d *Door) silent(b *backend, t *txn) bool {
	if b.owed < 2 {
		return false
	}
	trial := d.now-b.sentAt > trialEvery && d.products[t.Product].kind == "inquiry-like"
	most := max(silenceMin, time.Duration(silence*float64(d.usual(t))))
	return !trial && d.now-b.oweSince > most
}

// allowed keeps rules 2, 3 and 4 for every send.
func (d *Door) allowed(b *backend, t *txn) bool {
	if b.State != Ready {
		return false
	}
	if t.mayHaveRun {
		p := d.products[t.Product]
		if !d.repeatable(t) || p.kind == "referenced" &&
			(p.scope == "hall" && b.Hall != t.ranHall || p.scope == "pod" && b.Pod != t.ranPod) {
			return false
		}
	}
	return b.warm >= 1 || d.coldTokens(b) >= 1
}

// coldTokens is the budget of sends to a cold backend: in each fall window, this gateway's own send rate to a
// warm backend times the cold one's capacity share. All gateways doing so stay under what a warm one bears.
func (d *Door) coldTokens(b *backend) float64 {
	floor := coldUse / float64(d.gateways) / d.slowest()
	rate := b.warm * max(d.warmRate, floor) * d.fallTimes * coldUse
	if b.coldAt == 0 { // starts anywhere between two sends: many gateways together keep the rate at once
		b.cold, b.coldAt = d.rng.Float64(), d.now
	}
	b.cold, b.coldAt = b.cold+rate*(d.now-b.coldAt).Seconds(), d.now
	most := rate * d.fallWindow.Seconds() / 2
	if b.lapses = most < 1; !b.lapses {
		b.cold = min(b.cold, most)
	} else if b.cold > 1+most { // not used in time: what hundreds of gateways save up could come at once
		b.cold -= math.Floor(b.cold - most)
	}
	return b.cold
}

// pick takes the first backend in the customer's ranking that does not have enough: its own hall first.
func (d *Door) pick(t *txn) *backend {
	d.survey()
	can := d.can[:0]
	mean, out, roomAll, some := 0.0, 0.0, 0.0, false
	capped := d.plans[t.Plan].openCap > 0 // a slot is scarce: it is not kept long at a slow one
	for _, b := range d.open {
		if b.aside || b == t.last || b.fullUntil > d.now || d.fails(b, t) ||
			d.silent(b, t) || !d.allowed(b, t) || capped && b.slow > oddCap*d.median {
			continue
		}
		w := b.warm * d.rampShare(b)
		room := d.room * w * min(1, d.median/max(b.slow, 0.1))
		out, roomAll, some = out+float64(b.out), roomAll+room, true
		if w < 1 && d.rng.Float64() > w || float64(b.out+1) > max(1, 1.5*room) {
			continue // a fresh one is passed over by chance; a full one has enough
		}
		can = append(can, b)
		b.load = d.load(b)
		mean += b.load
	}
	d.can = can
	d.use = out / max(roomAll, 1)
	if !some {
		return d.anyOf(t)
	}
	if len(can) == 0 || out+1 > max(1, roomAll+spread*math.Sqrt(roomAll)) {
		d.noRoom = d.noRoom || !t.mayHaveRun
		return nil // all have enough
	}
	enough := crowd*mean/float64(len(can)) + 1
	var first, least *backend
	var highest uint64
	for _, b := range can {
		if least == nil || b.load < least.load {
			least = b
		}
		if b.load+1 > enough {
			continue
		}
		h := mix(uint64(t.Customer)*0x9e3779b97f4a7c15^b.hash) >> 2
		if b.Hall == d.hall { // crossing halls has a price
			h |= 1 << 63
			if b.warm < 1 && b.lapses { // one send, and only now: it would be lost on a lower rank
				h |= 1 << 62
			}
		}
		if h >= highest {
			first, highest = b, h
		}
	}
	if first == nil {
		return least
	}
	return first
}

// anyOf: when none is good, the least failing and loaded that the rules allow.
func (d *Door) anyOf(t *txn) (best *backend) {
	for _, b := range d.open {
		if d.allowed(b, t) && float64(b.out+1) <= max(1, d.room) &&
			(best == nil || b.fails+float64(b.out) < best.fails+float64(best.out)) {
			best = b
		}
	}
	return best
}

func (d *Door) rampShare(b *backend) float64 {
	if b.rampFrom == 0 || d.now-b.rampFrom > ramp {
		return 1
	}
	return 0.2 + 0.8*float64(d.now-b.rampFrom)/float64(ramp)
}

// submit is the one gate that every send passes; every rule is asked again here.
func (d *Door) submit(t *txn, a *account, b *backend) {
	if t.ended || t.outAt != nil || t.nr >= d.submissions || d.now >= t.Expiry-2*ms || !d.allowed(b, t) {
		d.end(t, 0)
		return
	}
	if t.nr == 0 {
		d.unkeep(t)
		if !t.over {
			d.spend(a, t)
		}
		d.retries = min(retryMost, d.retries+retryGain)
		d.probeRight = min(probeMost, d.probeRight+probeGain)
	} else {
		d.retries--
	}
	if b.warm < 1 {
		b.cold -= d.weight(t) // may go below nought: a big txn is paid off before the next
	}
	if d.work <= 0 {
		d.work = d.usual(t).Seconds()
	}
	d.work += smooth / 5 * (d.usual(t).Seconds() - d.work)
	b.sentAt = d.now
	if b.owed == 0 {
		b.oweSince = d.now
	}
	b.owed++
	b.out++
	a.out++
	d.outChanged(a)
	t.nr++
	t.outAt, t.last, t.sent = b, b, d.now
	x := Decision{Verb: Submit, Txn: t.ID, Backend: b.ID, Whole: wholeIn}
	p := d.products[t.Product]
	if p.kind != "once-only" {
		x.Limit = t.slaAt - d.now - 4*ms // an answer past the SLA time is hardly worth the work
		if t.nr == 1 && !d.isPressed() && firstTimes*d.usual(t) < time.Duration(firstTry*float64(x.Limit)) {
			x.Limit = time.Duration(firstTry * float64(x.Limit))
		}
	}
	d.ready = append(d.ready, x)
}

// ---- Periodic work

// pace is the time from one periodic work to the next.
func (d *Door) pace() time.Duration {
	if len(d.line) > 0 || len(d.posted) > 0 {
		return period
	}
	return lookEvery
}

// sweep is all work that comes by the clock.
func (d *Door) sweep() {
	d.recheck, d.noRoom = true, false
	if d.now-d.looked >= lookEvery {
		d.looked = d.now
		d.lookAround()
	}
	if d.now-d.tick >= time.Second {
		d.clearUp()
		d.tick = d.now
	}
}

// lookAround judges the backends.
func (d *Door) lookAround() {
	d.survey()
	aside := 0
	var turn *backend // whose load is asked next
	for _, b := range d.open {
		if b.aside {
			aside++
		}
	}
	for _, b := range d.open {
		if b.aside {
			if d.lookAgain(b) {
				aside--
			}
		} else if unheard := b.owed >= 2 && d.now-b.oweSince > silentAside; unheard ||
			float64(aside+1) <= asideMost*float64(len(d.open)) &&
				(b.seen >= 2 && b.fails > failShare && b.fails > failOdd*d.lost || b.slow > slowAside*d.median) {
			// One that owes answers is passed over anyhow, so there is no bound on how many of these are set
			// aside: only from there a way leads back, by probes or trial, whatever products come.
			b.aside, b.probes = true, 0
			b.backoff = min(max(asideFirst, 2*b.backoff), asideLast)
			b.nextProbe = d.now + b.backoff
			aside++
		}
		if (d.byProbe || b.aside && d.probes) && !b.probing && d.now >= b.nextProbe && (turn == nil ||
			b.aside && !turn.aside || b.aside == turn.aside && b.nextProbe < turn.nextProbe) {
			turn = b
		}
	}
	d.probeRight = min(probeMost, d.probeRight+probeIdle)
	if turn != nil && d.probeRight >= 1 { // txns pay for most probes: many gateways ask no more than few
		d.probeRight--
		turn.probing, turn.nextProbe = true, d.now+asideFirst
		d.ready = append(d.ready, Decision{Verb: Probe, Backend: turn.ID})
	}
	if d.now-d.noted >= noteEvery {
		d.note(aside)
	}
}

// clearUp drops what is idle and works out how often peers may write.
func (d *Door) clearUp() {
	// The gap between messages to here follows what comes in: a customer whose many gateways all write to
	// its owner is told of less often, all others at once.
	in := float64(d.mailIn) / (d.now - d.tick).Seconds()
	d.gap = min(max(leastGap, time.Duration(float64(d.gap)*max(in/d.mailMost, gapFall))), gapMost)
	if in > d.mailMost {
		d.gap = max(d.gap, time.Duration(float64(d.writers)/d.mailMost*float64(time.Second)))
	}
	d.mailIn, d.writers = 0, 0
	kept := d.order[:0]
	for _, a := range d.order {
		full := a.owner != d.me || a.level+a.plan.rate*(d.now-a.levelAt).Seconds() >= a.plan.burst &&
			(a.plan.ceilRate <= 0 || d.partNow(a) >= d.partCap(a))
		if d.now-a.used > idleAfter && full && !a.dirty && a.out == 0 && a.keeps == 0 && a.unacked <= 0 {
			delete(d.accounts, a.id)
			continue
		}
		kept = append(kept, a)
	}
	d.order = kept
}

// lookAgain probes a backend that is aside and lets it return, warming, after good answers.
func (d *Door) lookAgain(b *backend) bool {
	if !d.probes && d.now < b.nextProbe ||
		d.probes && (b.probes < goodProbes || d.now < b.nextProbe-b.backoff+asideFirst) {
		return false
	}
	b.aside, b.rampFrom = false, d.now
	b.slow, b.fails, b.seen, b.owed = 1, 0, 0, 0
	return true
}

// ---- Peer messages

// mail sends what is due to a peer: one packed message, deltas and answers together.
func (d *Door) mail() bool {
	posted := d.posted
	d.posted = d.posted[:0]
	for i, p := range posted {
		p.posted = len(p.dirty) > 0 || p.ackDue || len(p.flight) > 0
		if !p.posted {
			continue
		}
		d.posted = append(d.posted, p)
		if d.now-p.lastSent < max(p.gap, leastGap) && p.lastSent > 0 {
			continue
		}
		m := &message{epoch: d.epoch, gap: d.gap, age: d.now - d.born,
			ackEpoch: p.epoch, ackHigh: p.high, ackMask: p.mask}
		if len(p.flight) > 0 && d.now-p.flight[0].at > (resendAfter+p.gap)<<p.flight[0].tries {
			f := p.flight[0] // again under its sequence
			f.at, f.tries = d.now, min(f.tries+1, resendMost)
			p.flight = append(p.flight[1:], f)
			m.seq, m.deltas = f.seq, f.lines
		} else if len(p.dirty) > 0 {
			d.packDeltas(p, m)
		}
		if m.seq == 0 && !p.ackDue {
			continue
		}
		d.seal(p, m)
		d.posted = append(d.posted, posted[i+1:]...)
		return true
	}
	return false
}
