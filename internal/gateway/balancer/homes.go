package balancer

import "clovergap/control"

// Homes. Where a zone has many nodes and many backends, each node would send to each backend so rarely that it learns
// nothing of it and finds no connection still open. So each sends mostly to some of its zone's backends, its homes: a window on
// the ring of these, placed by the node's place among the nodes of the zone, so that all backends have alike many nodes
// without a word between them (subsetting as in the SRE book, chapter 20, by windows instead of shuffles). The others are
// not shut out: they get a little, and all that the homes have no room for, so that nodes that come and go leave no gap.
const (
	homesLeast = 12   // backends: fewer are all homes
	homeNodes  = 4    // nodes that a backend is a home of, at least
	awayPart   = 0.05 // of its share, for one that is no home
)

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

// settleHomes works out which backends are homes, after the list or the nodes have changed.
func (c *Balancer) settleHomes() {
	var ring []*backend
	for _, b := range c.list { // by id: a hash
		if b.State == control.Ready && c.side(b.Zone) == 0 {
			ring = append(ring, b)
		}
	}
	n := len(ring)
	homes := n
	if c.places > 0 {
		homes = min(n, max(homesLeast, (homeNodes*n+c.places-1)/c.places))
	}
	for i, b := range ring {
		first := 0
		if homes < n {
			first = c.place * n / c.places
		}
		away := (i-first+n)%n >= homes
		if b.away && !away { // its place in the order is far ahead: it takes its turn from now on
			b.pass = min(b.pass, c.turn[0]+c.rng.Float64()/max(b.Size, 1))
		}
		b.away = away
	}
}
