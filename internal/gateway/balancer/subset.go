package balancer

import (
	"math"
	"time"

	"clovergap/control"
)

// Where a zone has many nodes and many backends, each node would send to each backend so seldom that it learns nothing of it and finds no
// connection still open. So each sends mostly to a subset: a window on the ring of the zone's backends, placed by the node's index among the
// nodes of the zone, so that all backends have about as many nodes without a message between them (deterministic subsetting, SRE book,
// chapter 20, with windows instead of shuffles). The others are not shut out: they get a little, and all that the subset has no room for, so
// that nodes that come and go leave no gap.
//
// How large a subset is goes by what the node sends: each backend is to get a request before its idle connection closes, and often enough
// that its speed is known. A window that grows or shrinks keeps its beginning, so that its backends stay in it.

// subset is what this node's subset goes by.
type subset struct {
	size         int           // by the rate
	rate         float64       // requests a second, smoothed
	sent         int           // since then
	since        time.Duration // beginning of the present count
	outsideShare float64       // of its share, for a backend outside
}

// SetZoneIndex says which of how many nodes of its zone this one is, from 0.
func (b *Balancer) SetZoneIndex(index, nodes int) {
	if nodes = max(nodes, 1); index < 0 || index >= nodes {
		index = 0
	}
	if b.zoneIndex != index || b.zoneNodes != nodes {
		b.zoneIndex, b.zoneNodes = index, nodes
		b.updateSubset()
	}
}

// recordSend counts a request, and lets the size of the subset follow the rate: up at once, down only where the rate is well below.
func (b *Balancer) recordSend(now time.Duration) {
	s := &b.subset
	if s.sent++; s.since == 0 {
		s.since = now
	}
	elapsed := now - s.since
	if elapsed < rateWindow {
		return
	}
	s.rate += rateSmoothing * (float64(s.sent)/elapsed.Seconds() - s.rate)
	s.sent, s.since = 0, now
	size := int(math.Ceil(s.rate * subsetSendInterval.Seconds()))
	if size = min(max(size, minSubset), maxSubsetByRate); size > s.size || size < s.size-1 {
		s.size = size
		b.updateSubset()
	}
}

// updateSubset works out which backends are in the subset, after the list, the nodes or the rate have changed.
func (b *Balancer) updateSubset() {
	ring := b.ring()
	n := len(ring)
	size, first := n, 0
	if b.zoneNodes > 0 {
		size = min(n, max(minSubset, b.subset.size, (nodesPerBackend*n+b.zoneNodes-1)/b.zoneNodes))
	}
	if size < n {
		first = b.zoneIndex * n / b.zoneNodes
	}
	b.subset.outsideShare = outsideShare
	if outside := n - size; outside > 0 {
		b.subset.outsideShare = min(outsideShare, maxOutsideTotal*float64(size)/float64(outside))
	}
	for i, backend := range ring {
		b.moveToSubset(backend, (i-first+n)%n < size)
	}
}

// ring gives the ready backends of this zone, by id, which is a hash.
func (b *Balancer) ring() (ring []*backendState) {
	for _, backend := range b.ordered {
		if backend.State == control.Ready && b.locality(backend.Zone) == ownZone {
			ring = append(ring, backend)
		}
	}
	return ring
}

// moveToSubset takes a backend into the subset or out of it. One that comes in would be due far ahead: it is due from now on. Those that go out
// are to get their little one by one, not all of them at first.
func (b *Balancer) moveToSubset(backend *backendState, inside bool) {
	switch {
	case backend.outsideSubset && inside:
		backend.pass = min(backend.pass, b.virtualTime[ownZone]+b.rng.Float64()/backend.slots())
	case !inside && !backend.outsideSubset:
		backend.pass = max(backend.pass, b.virtualTime[ownZone]+b.rng.Float64()/(backend.slots()*b.subset.outsideShare))
	}
	backend.outsideSubset = !inside
}
