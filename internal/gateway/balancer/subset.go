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
	minSubset          = 4               // backends: fewer are all homes
	maxSubsetByRate    = 12              // no more for the sake of what is sent alone
	subsetSendInterval = 2 * time.Second // a home is sent to so often in the mean; backends mostly close what was idle for ten
	nodesPerBackend    = 4               // nodes that a backend is a home of, at least
	outsideShare       = 0.05            // of its share, for one that is no home
	maxOutsideTotal    = 0.06            // and of what the homes get, for all that are none
	rateWindow         = 2 * time.Second // what is sent is counted for so long
	rateSmoothing      = 0.5             // weight of a count in the pace
)

// subset is what this node's homes are chosen by.
type subset struct {
	size         int     // by the pace
	rate         float64 // requests a second
	sent         int     // since from
	since        time.Duration
	outsideShare float64
}

// SetZoneIndex says which of how many nodes of this zone this one is, from 0.
func (b *Balancer) SetZoneIndex(nr, of int) {
	if of = max(of, 1); nr < 0 || nr >= of {
		nr = 0
	}
	if b.zoneIndex != nr || b.zoneNodes != of {
		b.zoneIndex, b.zoneNodes = nr, of
		b.updateSubset()
	}
}

// recordSend notes that a request is sent, and follows the pace: more homes at once, fewer only where it is well below.
func (b *Balancer) recordSend(now time.Duration) {
	h := &b.subset
	if h.sent++; h.since == 0 {
		h.since = now
	}
	over := now - h.since
	if over < rateWindow {
		return
	}
	h.rate += rateSmoothing * (float64(h.sent)/over.Seconds() - h.rate)
	h.sent, h.since = 0, now
	want := int(math.Ceil(h.rate * subsetSendInterval.Seconds()))
	if want = min(max(want, minSubset), maxSubsetByRate); want > h.size || want < h.size-1 {
		h.size = want
		b.updateSubset()
	}
}

// updateSubset works out which backends are homes, after the list, the nodes or the pace have changed.
func (b *Balancer) updateSubset() {
	var ring []*backend
	for _, backend := range b.ordered { // by id: a hash
		if backend.State == control.Ready && b.locality(backend.Zone) == 0 {
			ring = append(ring, backend)
		}
	}
	n := len(ring)
	count := n
	if b.zoneNodes > 0 {
		count = min(n, max(minSubset, b.subset.size, (nodesPerBackend*n+b.zoneNodes-1)/b.zoneNodes))
	}
	b.subset.outsideShare = outsideShare
	if away := n - count; away > 0 {
		b.subset.outsideShare = min(outsideShare, maxOutsideTotal*float64(count)/float64(away))
	}
	for i, candidate := range ring {
		first := 0
		if count < n {
			first = b.zoneIndex * n / b.zoneNodes
		}
		away := (i-first+n)%n >= count
		switch size := max(candidate.Capacity, 1); {
		case candidate.outsideSubset && !away: // its place in the order is far ahead: it takes its turn from now on
			candidate.pass = min(candidate.pass, b.virtualTime[0]+b.rng.Float64()/size)
		case away && !candidate.outsideSubset: // those that are no homes come one by one, not all of them at first
			candidate.pass = max(candidate.pass, b.virtualTime[0]+b.rng.Float64()/(size*b.subset.outsideShare))
		}
		candidate.outsideSubset = away
	}
}
