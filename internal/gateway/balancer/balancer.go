// Package balancer chooses among the backends of one service. No backend reports its load and no node tells
// another what it has out: all that is known comes from this node's own traffic. What is asked of no backend
// can't be wrong: there are no probes.
package balancer

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
)

const ms = time.Millisecond

// Tuned values. Shares are of 1.
const (
	speedStep = 0.08 // weight of a new answer in what is learnt of a backend's speed
	usualStep = 0.03 // and in the usual time of a kind of request
	failStep  = 0.2  // and of an ending in a backend's failing share
	wideStep  = 0.03 // and in shares over the whole service
	longTimes = 5.0  // times the usual: an answer counts as no longer
	speedLow  = 0.4  // bounds of what a backend's speed may do to its share
	speedHigh = 5.0
	speedBend = 1.6 // power of it that goes into the share: a fast one gets more than its speed alone would give
	crowdHigh = 2.5 // times the usual: a backend this slow gets one at a time

	fullFirst, fullTimes = 60 * ms, 5 // pause of a backend that turned one away, doubled so many times
	asideFirst           = 300 * ms   // pause of a failing one, doubled
	asideLast            = 5 * time.Second
	failShare            = 0.3 // of endings: set aside
	failOdd              = 2.0 // and this times the share of the whole service
	careShare            = 0.3 // an effectful request keeps away from one failing more than this
	careTimes            = 3   // of the pause, and it stays away for so long
	notSentPause         = 60 * ms

	silenceTimes = 4.0 // times the usual without any answer: silent
	silenceLeast = 300 * ms
	loneTimes    = 8.0 // with one answer owed only
	trialEvery   = 700 * ms
	deadOwes     = 2   // answers that a dead one owes for long
	deadNext     = 3.0 // times the usual: the second of them

	coldPart  = 0.25            // of its share, for one that is still slow from its start
	rampFor   = 2 * time.Second // after its return, or once warm, its share grows this long
	firstPart = 0.5             // of its share for one that has answered nothing yet
	carePart  = 0.3             // the same, for effectful requests

	roomFirst   = 3.0 // times the even share of the slots: what this node may have out to begin with
	roomMost    = 2.0 // times all slots
	roomUp      = 0.01
	roomDown    = 0.05
	shedDown    = 0.06
	shedShare   = 0.05 // of endings turned away: only then is it more than one backend's own trouble
	useLeast    = 0.7  // share of the room in use at which answers say something of it
	perBackend  = 2.0  // times its even part of the room
	queueFactor = 1.5  // times its slots, and one more: no backend gets more from one node
	lateFrom    = 0.9  // of the aim

	lateCost   = 0.5  // of an answer's worth
	crossCost  = 0.06 // of its worth, by the bytes between zones
	crossPace  = 100 * ms
	crossGain  = 0.3
	crossFall  = 0.93
	crossMost  = 0.85
	painStep   = 0.05
	painMuch   = 0.1             // answers lose this much of their worth: crowded
	painCalm   = 0.04            // what the other zones are taken to cost while nothing is known of them
	painForget = 4 * time.Second // without an answer from there it is forgotten
)

// Want is what a request asks of a backend.
type Want struct {
	Kind      control.ProductID
	Effectful bool
	Tried     []control.BackendID // it goes to none of these
}

// Answer tells what a choice came to.
type Answer int

// What a choice may come to.
const (
	Chosen Answer = iota
	Enough        // there are backends, all of them have enough for now
	None          // there is none to go to
)

// backend is what is known of one.
type backend struct {
	control.Listing
	out       int
	owed      int           // sends since the last answer
	oweSince  time.Duration // when the first of these went
	oweNext   time.Duration // and the second
	expect    time.Duration // longest usual time among them
	speed     float64       // answer time against the usual, smoothed
	answers   int           // that say something of speed
	fails     float64       // share of failing endings, smoothed
	ends      int
	fulls     int // turned away in a row
	fullUntil time.Duration
	pause     time.Duration // present pause as a failing one
	until     time.Duration // and its end
	suspect   bool          // failing: after the pause one request at a time tries it
	rampFrom  time.Duration
	pass      float64 // its place in the order of sends, see Pick
	away      bool    // no home of this node, see SetPlace
	sentAt    time.Duration
}

// Balancer chooses among the backends of one service.
type Balancer struct {
	rng    *rand.Rand
	zone   control.ZoneID
	nodes  int
	place  int // of this node among those of its zone
	places int
	homes  homes

	all   map[control.BackendID]*backend // with gone ones that still owe an answer
	list  []*backend                     // in order of id
	slots float64                        // of the ready ones
	out   int
	usual map[control.ProductID]float64 // seconds
	turn  [2]float64                    // place in the order, in this zone and in the others

	room    float64
	pressed time.Duration // when room last ran out
	sheds   float64       // share of endings turned away
	lost    float64       // share that failed
	heard   time.Duration // last answer of any backend
	pain    [2]float64    // what answers of this zone and of the others lost of their worth
	painAt  time.Duration // of the others, last
	cross   float64       // share sent to other zones though this one has room
	crossAt time.Duration
}

// New makes a cast without backends. Of its nodes many share the service, this one is in the zone given.
func New(rng *rand.Rand, zone control.ZoneID, nodes int) *Balancer {
	return &Balancer{rng: rng, zone: zone, nodes: max(nodes, 1), all: map[control.BackendID]*backend{},
		usual: map[control.ProductID]float64{}, pain: [2]float64{painCalm, painCalm}, pressed: -time.Minute}
}

// SetNodes says how many nodes share the service.
func (c *Balancer) SetNodes(n int) { c.nodes = max(n, 1) }

// List takes one line of the list. A backend that drains or is gone gets nothing from now on.
func (c *Balancer) List(now time.Duration, l control.Listing) {
	b := c.all[l.ID]
	if b == nil {
		if l.State == control.Gone {
			return
		}
		b = &backend{speed: 1, rampFrom: -rampFor}
		c.all[l.ID] = b
	}
	if b.State == control.Gone && l.State != control.Gone { // new, or back
		at, _ := slices.BinarySearchFunc(c.list, l.ID, byID)
		c.list = slices.Insert(c.list, at, b)
		b.pass = c.turn[c.side(l.Zone)] + c.rng.Float64()/max(l.Size, 1)
	}
	b.Listing = l
	if l.State == control.Gone {
		c.drop(b)
	}
	c.count()
}

func byID(b *backend, id control.BackendID) int {
	if b.ID < id {
		return -1
	}
	if b.ID > id {
		return 1
	}
	return 0
}

func (c *Balancer) drop(b *backend) {
	if at, ok := slices.BinarySearchFunc(c.list, b.ID, byID); ok {
		c.list = slices.Delete(c.list, at, at+1)
	}
	if b.out == 0 {
		delete(c.all, b.ID)
	}
}

// count brings the sum of the slots up to now. The room follows it: with half the backends gone, half is
// left.
func (c *Balancer) count() {
	was := c.slots
	c.slots = 0
	for _, b := range c.list {
		if b.State == control.Ready {
			c.slots += max(b.Size, 1)
		}
	}
	if was > 0 && c.slots > 0 && c.room > 0 {
		c.room *= c.slots / was
	} else if c.slots > 0 {
		c.room = roomFirst * c.slots / float64(c.nodes)
	}
	c.bound()
	c.settleHomes()
}

func (c *Balancer) bound() { c.room = min(max(c.room, 1), max(1, roomMost*c.slots)) }

// Ready counts the backends that may get something.
func (c *Balancer) Ready() (n int) {
	for _, b := range c.list {
		if b.State == control.Ready {
			n++
		}
	}
	return n
}

// Cold tells whether a backend is still slow from its start, or not known any more.
func (c *Balancer) Cold(now time.Duration, id control.BackendID) bool {
	b := c.all[id]
	return b == nil || now < b.Cold
}

// Idle tells that there is nothing to keep: no backend and nothing out.
func (c *Balancer) Idle() bool { return len(c.all) == 0 }

// Out counts what this node has out at the service.
func (c *Balancer) Out() int { return c.out }

// Room is how much it may have out now.
func (c *Balancer) Room() float64 { return c.room }

// Usual is the usual answer time of a kind of request; false while none has been answered.
func (c *Balancer) Usual(kind control.ProductID) (time.Duration, bool) {
	s, ok := c.usual[kind]
	return time.Duration(s * float64(time.Second)), ok
}

func (c *Balancer) side(zone control.ZoneID) int {
	if zone == c.zone {
		return 0
	}
	return 1
}

// ---- Choice

// Pick chooses a backend. Each has a place in an order of sends, that of stride scheduling: a send moves it
// on by its stride, which is small for many slots and a good speed, and what it has out counts as sends to
// come. So each gets its part of the traffic, evenly spread. The fastest of all would be the choice of a
// dozen nodes at once; a part by speed is not.
func (c *Balancer) Pick(now time.Duration, w Want) (control.BackendID, Answer) {
	if c.out >= int(max(1, c.room)) {
		c.pressed = now
		if c.Has(w) {
			return 0, Enough
		}
		return 0, None
	}
	var best [2]*backend
	var score [2]float64
	enough, some := false, false
	for careful := w.Effectful; ; careful = false {
		for _, b := range c.list {
			if b.State != control.Ready || slices.Contains(w.Tried, b.ID) {
				continue
			}
			some = true
			switch c.grade(now, b, w, careful) {
			case bad:
				continue
			case busy:
				enough = true
				continue
			}
			stride := c.stride(now, b, w)
			s := max(b.pass, c.turn[c.side(b.Zone)]-2*stride) + stride*(float64(b.out)+c.rng.Float64()/4)
			if i := c.side(b.Zone); best[i] == nil || s < score[i] {
				best[i], score[i] = b, s
			}
		}
		if best[0] != nil || best[1] != nil || enough || !careful {
			break
		}
	}
	switch {
	case best[0] != nil && best[1] != nil && c.rng.Float64() < c.crossing(now):
		return best[1].ID, Chosen
	case best[0] != nil:
		return best[0].ID, Chosen
	case best[1] != nil && (!enough || c.pain[1] < painMuch || c.pain[1]+crossCost < c.pain[0]):
		// This zone has enough. Where the others are as crowded, each would only fill the place of another.
		return best[1].ID, Chosen
	case enough:
		c.pressed = now
		return 0, Enough
	case !some:
		return 0, None
	}
	return c.anyOf(now, w)
}

type grade int

const (
	good grade = iota
	busy
	bad
)

// grade tells whether a backend may be chosen now.
func (c *Balancer) grade(now time.Duration, b *backend, w Want, careful bool) grade {
	if b.until > now || c.silent(now, b, w) {
		return bad
	}
	if careful && (b.fails > careShare || b.suspect && now < b.until+(careTimes-1)*b.pause) {
		return bad
	}
	if b.fullUntil > now || b.out >= c.most(now, b) {
		return busy
	}
	return good
}

// most is how many this node may have out there.
func (c *Balancer) most(now time.Duration, b *backend) int {
	if b.suspect || now < b.Cold || b.speed > crowdHigh || b.fulls > 0 {
		return 1
	}
	n := perBackend * c.room * max(b.Size, 1) / max(c.slots, 1)
	n = min(n, queueFactor*max(b.Size, 1)+1)
	if b.answers == 0 {
		n = min(n, 2)
	}
	return max(1, int(n+0.5))
}

// stride is the distance between two sends to a backend.
func (c *Balancer) stride(now time.Duration, b *backend, w Want) float64 {
	part := 1.0
	if now < b.Cold {
		part = coldPart
	} else if from := max(b.rampFrom, b.Cold); now-from < rampFor {
		part = coldPart + (1-coldPart)*float64(now-from)/float64(rampFor)
	}
	if b.answers == 0 {
		if w.Effectful {
			part *= carePart
		} else {
			part *= firstPart
		}
	}
	if b.away {
		part *= c.homes.awayPart
	}
	return math.Pow(min(max(b.speed, speedLow), speedHigh), speedBend) / (max(b.Size, 1) * part)
}

// silent tells that a backend owes answers for longer than such requests take. Now and then a pure one tries
// it all the same.
func (c *Balancer) silent(now time.Duration, b *backend, w Want) bool {
	if b.owed == 0 {
		return false
	}
	times := silenceTimes
	if b.owed == 1 {
		times = loneTimes
	}
	if now-b.oweSince <= max(silenceLeast, b.usually(times)) {
		return false
	}
	return w.Effectful || now-b.sentAt < trialEvery
}

// usually is some times the usual time of what a backend owes, at its speed.
func (b *backend) usually(times float64) time.Duration {
	return time.Duration(times * max(1, min(b.speed, speedHigh)) * float64(b.expect))
}

// Dead tells that what is out at a backend is not worth waiting for: it owes several answers for long, or one
// where it is under suspicion or gone, and others have answered meanwhile.
func (c *Balancer) Dead(now time.Duration, id control.BackendID) bool {
	b := c.all[id]
	if b == nil || b.owed == 0 || b.owed < deadOwes && b.State != control.Gone && !b.suspect {
		return false
	}
	most := max(silenceLeast, b.usually(silenceTimes))
	if b.owed >= deadOwes && now-b.oweNext <= b.usually(deadNext) {
		return false // one may take long by chance, not two
	}
	return now-b.oweSince > most && c.heard > b.oweSince+most/2
}

// Has tells whether any backend is ready that a request was not sent to before.
func (c *Balancer) Has(w Want) bool {
	return slices.ContainsFunc(c.list, func(b *backend) bool {
		return b.State == control.Ready && !slices.Contains(w.Tried, b.ID)
	})
}

// anyOf: when all are failing or silent, the least so that has little out. Never is everyone set aside.
func (c *Balancer) anyOf(now time.Duration, w Want) (control.BackendID, Answer) {
	var best *backend
	least := 0.0
	for _, b := range c.list {
		if b.State != control.Ready || slices.Contains(w.Tried, b.ID) || b.out >= c.most(now, b) {
			continue
		}
		s := b.fails + float64(b.out) + c.rng.Float64()/2
		if c.side(b.Zone) > 0 {
			s += crossCost
		}
		if best == nil || s < least {
			best, least = b, s
		}
	}
	if best == nil {
		c.pressed = now
		return 0, Enough
	}
	return best.ID, Chosen
}

// crossing is the share of requests that leave this zone though it has room: it grows while answers from here
// lose clearly more of their worth than those from elsewhere, by more than the way between zones costs. It
// moves slowly, so that nodes don't rush together to where it is quiet.
func (c *Balancer) crossing(now time.Duration) float64 {
	if now-c.crossAt < crossPace {
		return c.cross
	}
	c.crossAt = now
	if now-c.painAt > painForget {
		c.pain[1] = painCalm
	}
	if diff := c.pain[0] - c.pain[1] - crossCost; diff > 0 {
		c.cross = min(crossMost, c.cross+crossGain*diff)
	} else if c.cross *= crossFall; c.cross < 0.01 {
		c.cross = 0
	}
	return c.cross
}
