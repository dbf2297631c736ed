package balancer

import (
	"math"
	"time"

	"clovergap/control"
)

// If a zone has many nodes and backends, a node that sent to all backends would send to each of them rarely. The node would not know how fast a
// backend is, and its connection to the backend would be closed between two requests. So each node sends mostly to a subset of the backends. The
// zone's backends form a ring, and the subset is a range of consecutive backends on the ring. The node's index among the nodes of the zone
// determines where the range starts. So each backend is in the subsets of about the same number of nodes, and the nodes exchange no messages for
// this. The method is deterministic subsetting (SRE book, chapter 20) with ranges on a ring instead of shuffles. Backends outside the subset get
// a small share of the requests and all requests for which the subset has no capacity. So no backend is left without requests when nodes join or
// leave.
//
// The size of the subset depends on the node's request rate. Each backend should get a request before its idle connection is closed, and
// often enough that the node knows the backend's speed. A range that grows or shrinks keeps its start, so that its first backends stay in it.

// subset holds the request rate, the size of the subset that follows from the rate, and the share of the backends outside the subset.
type subset struct {
	sizeByRate   int           // size of the subset that follows from the request rate
	rate         float64       // requests per second, smoothed
	sent         int           // requests since countedSince
	countedSince time.Duration // start of the present count
	outsideShare float64       // factor on the share of a backend outside the subset
}

// SetZoneIndex sets the index of this node among the nodes of its zone, from 0, and the number of these nodes.
func (b *Balancer) SetZoneIndex(index, nodes int) {
	if nodes = max(nodes, 1); index < 0 || index >= nodes {
		index = 0
	}
	if b.zoneIndex != index || b.zoneNodes != nodes {
		b.zoneIndex, b.zoneNodes = index, nodes
		b.updateSubset()
	}
}

// updateRequestRate counts a request that is sent, and updates the request rate and the size of the subset once per rateWindow. The subset grows at
// once. It shrinks only if the size that the rate requires is well below the present size.
func (b *Balancer) updateRequestRate(now time.Duration) {
	s := &b.subset
	if s.sent++; s.countedSince == 0 {
		s.countedSince = now
	}
	elapsed := now - s.countedSince
	if elapsed < rateWindow {
		return
	}
	s.rate += rateSmoothing * (float64(s.sent)/elapsed.Seconds() - s.rate)
	s.sent, s.countedSince = 0, now
	size := int(math.Ceil(s.rate * subsetSendInterval.Seconds()))
	if size = min(max(size, minSubset), maxSubsetByRate); size > s.sizeByRate || size < s.sizeByRate-1 {
		s.sizeByRate = size
		b.updateSubset()
	}
}

// updateSubset determines which backends are in the subset. It is called after a change of the backend list, of the nodes of the zone or of the size
// that follows from the request rate.
func (b *Balancer) updateSubset() {
	ring := b.zoneRing()
	n := len(ring)
	size, first := n, 0
	if b.zoneNodes > 0 {
		size = min(n, max(minSubset, b.subset.sizeByRate, (nodesPerBackend*n+b.zoneNodes-1)/b.zoneNodes))
	}
	if size < n {
		first = b.zoneIndex * n / b.zoneNodes
	}
	b.subset.outsideShare = outsideShare
	if outside := n - size; outside > 0 {
		b.subset.outsideShare = min(outsideShare, maxOutsideTotal*float64(size)/float64(outside))
	}
	for i, backend := range ring {
		b.setInSubset(backend, (i-first+n)%n < size)
	}
}

// zoneRing returns the ready backends of this zone, ordered by ID. IDs are hashes, so the order is random but the same at all nodes.
func (b *Balancer) zoneRing() (ring []*backendState) {
	for _, backend := range b.ordered {
		if backend.State == control.Ready && b.locality(backend.Zone) == ownZone {
			ring = append(ring, backend)
		}
	}
	return ring
}

// setInSubset moves a backend into the subset or out of it. The pass of a backend outside the subset is far ahead in virtual time. When the backend
// enters the subset, its pass is set to about the present virtual time. The passes of backends that leave the subset are distributed over virtual
// time, so that these backends do not all get their next request at the same time.
func (b *Balancer) setInSubset(backend *backendState, inside bool) {
	switch {
	case backend.outsideSubset && inside:
		backend.pass = min(backend.pass, b.virtualTime[ownZone]+b.rng.Float64()/backend.slots())
	case !inside && !backend.outsideSubset:
		backend.pass = max(backend.pass, b.virtualTime[ownZone]+b.rng.Float64()/(backend.slots()*b.subset.outsideShare))
	}
	backend.outsideSubset = !inside
}
