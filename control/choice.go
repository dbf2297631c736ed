package control

import (
	"math"
	"time"
)

// Tuned values. Shares are of 1.
const (
	unknownPart = 8        // of the SLA time: a txn's usual time until one is known
	smooth      = 0.1      // weight of a new sample
	smoothLoad  = 0.5      // and of a load report
	sightsTold  = 5        // last answers told to a peer
	crowd       = 8.0      // times the mean load, and one more: a backend with that has enough; reports are late
	failSeen    = 5.0      // answers that such a share is made of
	failAgain   = 0.95     // of failShare, after a pause: one more failure, and it is passed over again
	slowAside   = 4.0      // times the fleet's median answer time sets a backend aside
	trialEvery  = 700 * ms // a silent backend gets one inquiry-like txn
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
	noteEvery   = 5 * time.Second
	reportFor   = 4 * time.Second // a load report's life

	silence, silenceMin   = 4.0, 200 * ms // times the usual answer time without any answer passes over
	roomUp, roomDown      = 0.002, 0.025  // shares by a prompt and a late answer
	longTimes, ratioMost  = 5.0, 20.0     // times the usual: an answer counts as no more
	lateShare, lateMost   = 0.4, 0.9      // of the SLA time: a later answer is a sign of crowding
	failShare, failOdd    = 0.35, 2.0     // of failing submissions, and this times the share everywhere
	fullPause, fullMost   = 100 * ms, 5   // doubled each time in a row
	asideFirst, asideLast = 500 * ms, 8 * time.Second
	probeGain, probeMost  = 0.2, 10.0 // such probes earned by a txn
	roomLeast, roomMost   = 1.0, 40.0 // the least from all gateways
)

// ---- Learning

// learn updates what is known of a backend by an outcome.
func (d *Gateway) learn(t *txn, b *backend, e Ending, took time.Duration, load []float64) {
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
func (d *Gateway) timed(t *txn, took time.Duration) float64 {
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
func (d *Gateway) reckon(b *backend, bad float64) {
	b.seen = b.seen*(1-smooth) + 1
	b.fails += max(smooth, 1/b.seen) * (bad - b.fails)
	d.lost += smooth / 5 * (bad - d.lost)
}

// observe takes how one submission went at a backend, from here or from a peer. Among hundreds of gateways
// each sees any one backend every ten seconds or so, too seldom to find slow, failing and dead ones alone.
// A peer's word weighs as one answer: it can't open a backend, and what is passed over by it is bounded and
// tried again like all else. Covers slow, failing and lost backends; a slow peer may mislead.
func (d *Gateway) observe(b *backend, s sight) {
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
func (d *Gateway) judge(p ProductID, b *backend, bad float64) {
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
func (d *Gateway) fails(b *backend, t *txn) bool {
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
func (d *Gateway) crowding(t *txn, b *backend, e Ending) crowding {
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
func (d *Gateway) adjustRoom(c crowding) {
	if c == prompt && d.isPressed() {
		d.room = min(roomMost, d.room*(1+d.roomUp))
	}
	// With room to spare the lateness is not of this gateway's making; and an exponential work time has late
	// answers of its own, which would wear the room down while nothing wears it up.
	if c == crowded && d.use >= useLeast && d.isPressed() {
		d.room, d.roomUp = max(roomLeast/float64(d.gateways), d.room*(1-roomDown)), roomUp
	}
}

func (d *Gateway) isPressed() bool { return d.now-d.pressed < pressFor }

// ---- Choice of backend

// share of its capacity that a backend surely has by now.
func (d *Gateway) warmth(b *backend) float64 {
	if b.Started <= 0 || d.warmBy <= 0 || d.now-b.Started >= d.warmBy {
		return 1
	}
	age := max(0, float64(d.now-b.Started)/float64(d.warmBy))
	return d.coldFrom + (1-d.coldFrom)*age
}

// load is what a backend holds, counted in usual txns of a warm backend.
func (d *Gateway) load(b *backend) float64 {
	others := b.others * max(0, 1-float64(d.now-b.told)/float64(reportFor)) // an old report says ever less
	return (float64(b.out) + others) * max(b.slow/d.median, 0.5) / b.warm
}

// silent tells that a backend owes answers for longer than such txns take. Now and then an inquiry-like txn
// tries it all the same: else one that owes too little to be set aside would never be heard again.
func (d *Gateway) silent(b *backend, t *txn) bool {
	if b.owed < 2 {
		return false
	}
	trial := d.now-b.sentAt > trialEvery && d.products[t.Product].kind == "inquiry-like"
	most := max(silenceMin, time.Duration(silence*float64(d.usual(t))))
	return !trial && d.now-b.oweSince > most
}

// allowed keeps rules 2, 3 and 4 for every send.
func (d *Gateway) allowed(b *backend, t *txn) bool {
	if b.State != Ready {
		return false
	}
	if t.mayHaveRun {
		p := d.products[t.Product]
		if !d.repeatable(t) || p.kind == "referenced" &&
			(p.scope == "zone" && b.Zone != t.ranZone || p.scope == "pod" && b.Pod != t.ranPod) {
			return false
		}
	}
	return b.warm >= 1 || d.coldTokens(b) >= 1
}

// coldTokens is the budget of sends to a cold backend: in each fall window, this gateway's own send rate to a
// warm backend times the cold one's capacity share. All gateways doing so stay under what a warm one bears.
func (d *Gateway) coldTokens(b *backend) float64 {
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

// pick takes the first backend in the customer's ranking that does not have enough: its own zone first.
func (d *Gateway) pick(t *txn) *backend {
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
		if b.Zone == d.zone { // crossing zones has a price
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
func (d *Gateway) anyOf(t *txn) (best *backend) {
	for _, b := range d.open {
		if d.allowed(b, t) && float64(b.out+1) <= max(1, d.room) &&
			(best == nil || b.fails+float64(b.out) < best.fails+float64(best.out)) {
			best = b
		}
	}
	return best
}

func (d *Gateway) rampShare(b *backend) float64 {
	if b.rampFrom == 0 || d.now-b.rampFrom > ramp {
		return 1
	}
	return 0.2 + 0.8*float64(d.now-b.rampFrom)/float64(ramp)
}

// ---- Looking around

// lookAround judges the backends.
func (d *Gateway) lookAround() {
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

// lookAgain probes a backend that is aside and lets it return, warming, after good answers.
func (d *Gateway) lookAgain(b *backend) bool {
	if !d.probes && d.now < b.nextProbe ||
		d.probes && (b.probes < goodProbes || d.now < b.nextProbe-b.backoff+asideFirst) {
		return false
	}
	b.aside, b.rampFrom = false, d.now
	b.slow, b.fails, b.seen, b.owed = 1, 0, 0, 0
	return true
}
