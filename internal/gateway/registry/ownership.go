package registry

import (
	"hash/fnv"
	"time"
)

const (
	// missedHeartbeats is how many intervals without a heartbeat time a backend out.
	missedHeartbeats = 3
	// ownerGraceHalfIntervals is how many half intervals a lost owner is waited for before another node takes over. It is less than
	// missedHeartbeats: the new owner watches from then on, and the loss of an owner must not look like that of its backends.
	ownerGraceHalfIntervals = 5
	// takeoverHoldoffHeartbeats is for how many intervals a backend is left to an owner that another node reaches and this one does not.
	takeoverHoldoffHeartbeats = 20
	// scanInterval is how often all backends are looked at. It is the longest that the host sleeps while there are any.
	scanInterval = 500 * time.Millisecond
)

// ownerFor gives the node that ought to own a backend, by rendezvous hashing over the candidates but one: first those of the
// backend's zone, then all. Its Slot is NoSlot where there is none.
func (r *Registry) ownerFor(e *entry, except Slot) Node {
	h := fnv.New64a()
	h.Write([]byte(e.record.ID))
	key := h.Sum64()
	best, found, bestInZone, bestWeight := Node{Slot: NoSlot}, false, false, uint64(0)
	for _, n := range r.ownerCandidates {
		if n.Slot == except {
			continue
		}
		inZone := n.Zone == e.record.Zone
		weight := mix64(key ^ mix64(uint64(n.Slot)+1))
		if !found || inZone && !bestInZone || inZone == bestInZone && weight > bestWeight {
			best, found, bestInZone, bestWeight = n, true, inZone, weight
		}
	}
	return best
}

// mix64 spreads the bits of a number over all of them: the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// handleHeartbeat takes a heartbeat that came from the backend itself (direct), or that another node relayed.
func (r *Registry) handleHeartbeat(e *entry, heartbeat Record, direct bool) {
	before, departureBefore := e.record, e.departure()
	revived := r.merge(e, heartbeat)
	departs := e.departure() > departureBefore // whoever relayed it may have sent it to nobody else
	if e.record.Seq > before.Seq {
		e.lastHeartbeatAt, e.directHeartbeat = r.now, direct
	} else if e.record.Owner != NoSlot && !direct && !departs {
		return // a late one
	}
	owner := r.ownerFor(e, NoSlot)
	takes := owner.Slot == r.localSlot && e.record.Owner != r.localSlot && e.phase() != Gone
	if takes {
		r.takeOwnership(e, NoSlot)
	}
	changed := takes || revived || e.record.changed(&before)
	owns := owner.Slot == r.localSlot || e.record.Owner == r.localSlot
	if changed && owns || departs {
		r.broadcast(e, departs || revived)
	}
	if direct && !e.record.Deregistered {
		r.relayToOwners(e, owner.Slot)
	}
}

// relayToOwners relays a heartbeat to the node that ought to own the backend, and to the one that is known to: that one may not know
// yet that it is no longer the owner, and must not time the backend out.
func (r *Registry) relayToOwners(e *entry, owner Slot) {
	if owner != NoSlot && owner != r.localSlot {
		r.relayHeartbeat(e, owner)
	}
	if known := e.record.Owner; known != owner && known != r.localSlot && !r.unreachable(known) {
		r.relayHeartbeat(e, known)
	}
}

// takeOwnership makes this node the owner under the next fencing token.
func (r *Registry) takeOwnership(e *entry, lostOwner Slot) {
	r.setOwner(e, r.localSlot, lostOwner)
	e.record.FencingToken++
	e.timedOut = false
	r.enqueueAddrChanges(e)
}

// scan looks at all backends: for time-outs of those that this node owns, and for those whose owner is lost.
func (r *Registry) scan() {
	r.nextScanAt = r.now + scanInterval
	r.reportMissing()
	expiredTombstone := false
	for _, e := range r.sorted {
		switch {
		case e.phase() == Gone:
			expiredTombstone = expiredTombstone || r.now-e.goneAt >= tombstoneTTL
			if e.suspected && r.now-e.ownerSince >= r.config.HeartbeatInterval {
				r.reportSuspicion(e) // the first may be lost
			}
		case e.record.Owner == r.localSlot:
			r.checkTimeout(e)
		default:
			r.checkOwner(e)
		}
	}
	if expiredTombstone || r.goneCount > maxTombstones || len(r.entries) >= maxBackends {
		r.pruneTombstones()
	}
}

// checkTimeout times out a backend of this node that missed its heartbeats. A node that reaches no majority judges only those which last
// sent their heartbeats here: the others may send theirs to nodes that it does not reach.
func (r *Registry) checkTimeout(e *entry) {
	timeout := missedHeartbeats * r.config.HeartbeatInterval
	mayJudge := e.directHeartbeat || r.reachesMajority()
	if r.displaced(e) || mayJudge && r.now-max(e.lastSeenAt, r.timeoutFloor) >= timeout {
		r.expire(e)
		r.broadcast(e, true)
	}
}

// checkOwner takes over a backend whose owner is lost, if that falls to this node. A node that reaches no majority takes nothing over:
// the owner may live on the other side of a partition.
func (r *Registry) checkOwner(e *entry) {
	if !r.unreachable(e.record.Owner) || !r.reachesMajority() || r.now < e.noTakeoverUntil {
		return
	}
	lostAt := max(e.ownerSince, r.timeoutFloor)
	if p := r.peers[e.record.Owner]; p != nil {
		lostAt = max(lostAt, p.lostAt)
	}
	lostFor := r.now - lostAt
	grace := ownerGraceHalfIntervals * r.config.HeartbeatInterval / 2
	if lostFor < grace {
		return
	}
	next := r.ownerFor(e, NoSlot).Slot
	if next == r.localSlot {
		r.takeOwnership(e, e.record.Owner)
		r.broadcast(e, false)
	} else if p := r.peers[next]; p != nil && lostFor >= grace+r.config.HeartbeatInterval {
		r.enqueueUpdate(p, e.record.ID, false) // the one that it falls to may never have heard of the backend
		e.ownerSince = r.now
	}
}
