package balancer

import (
	"math"
	"time"

	"clovergap/control"
)

// Homes. Where a zone has many nodes and many backends, each node would send to each backend so rarely that it learns
// nothing of it and finds no connection still open. So each sends mostly to some of its zone's backends, its homes: a window on
// the ring of these, placed by the node's place among the nodes of the zone, so that all backends have alike many nodes
// without a word between them (subsetting as in the SRE book, chapter 20, by windows instead of shuffles). The others are
// not shut out: they get a little, and all that the homes have no room for, so that nodes that come and go leave no gap.
//
// How many homes a node has goes by what it sends: each is to be sent to before its idle connection closes, and often enough that its
// speed is known. A window that grows or shrinks keeps its beginning, so that homes stay homes.
const (
	homesLeast = 4               // backends: fewer are all homes
	homesUsual = 12              // no more for the sake of what is sent alone
	homeEvery  = 2 * time.Second // a home is sent to so often in the mean; backends mostly close what was idle for ten
	homeNodes  = 4               // nodes that a backend is a home of, at least
	awayPart   = 0.05            // of its share, for one that is no home
	awayAll    = 0.06            // and of what the homes get, for all that are none
	paceOver   = 2 * time.Second // what is sent is counted for so long
	paceStep   = 0.5             // weight of a count in the pace
)

// homes is what this node's homes are chosen by.
type homes struct {
	want     int     // by the pace
	pace     float64 // requests a second
	sent     int     // since from
	from     time.Duration
	awayPart float64
}

// SetPlace says which of how many nodes of this zone this one is, from 0.
func (c *Balancer) SetPlace(nr, of int) {
	if of = max(of, 1); nr < 0 || nr >= of {
		nr = 0
	}
	if c.place != nr || c.places != of {
		c.place, c.places = nr, of
		c.settleHomes()
	}
}

// paced notes that a request is sent, and follows the pace: more homes at once, fewer only where it is well below.
func (c *Balancer) paced(now time.Duration) {
	h := &c.homes
	if h.sent++; h.from == 0 {
		h.from = now
	}
	over := now - h.from
	if over < paceOver {
		return
	}
	h.pace += paceStep * (float64(h.sent)/over.Seconds() - h.pace)
	h.sent, h.from = 0, now
	want := int(math.Ceil(h.pace * homeEvery.Seconds()))
	if want = min(max(want, homesLeast), homesUsual); want > h.want || want < h.want-1 {
		h.want = want
		c.settleHomes()
	}
}

// settleHomes works out which backends are homes, after the list, the nodes or the pace have changed.
func (c *Balancer) settleHomes() {
	var ring []*backend
	for _, b := range c.list { // by id: a hash
		if b.State == control.Ready && c.side(b.Zone) == 0 {
			ring = append(ring, b)
		}
	}
	n := len(ring)
	count := n
	if c.places > 0 {
		count = min(n, max(homesLeast, c.homes.want, (homeNodes*n+c.places-1)/c.places))
	}
	c.homes.awayPart = awayPart
	if away := n - count; away > 0 {
		c.homes.awayPart = min(awayPart, awayAll*float64(count)/float64(away))
	}
	for i, b := range ring {
		first := 0
		if count < n {
			first = c.place * n / c.places
		}
		away := (i-first+n)%n >= count
		switch size := max(b.Size, 1); {
		case b.away && !away: // its place in the order is far ahead: it takes its turn from now on
			b.pass = min(b.pass, c.turn[0]+c.rng.Float64()/size)
		case away && !b.away: // those that are no homes come one by one, not all of them at first
			b.pass = max(b.pass, c.turn[0]+c.rng.Float64()/(size*c.homes.awayPart))
		}
		b.away = away
	}
}
