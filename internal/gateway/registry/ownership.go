package registry

import (
	"hash/fnv"
	"time"
)

const (
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which a backend is timed out.
	missedHeartbeats = 3
	// ownerGraceHalfIntervals is the number of half heartbeat intervals after which another node takes over the backends of a
	// lost owner. These 2.5 heartbeat intervals are shorter than the time-out of a backend (missedHeartbeats intervals). The
	// new owner measures time-outs from the takeover on. The backends of a lost owner are therefore not timed out for
	// heartbeats that the lost owner did not receive.
	ownerGraceHalfIntervals = 5
	// takeoverHoldoffHeartbeats is the number of heartbeat intervals during which this node does not take a backend over again
	// after another node that this node does not reach has become the owner.
	takeoverHoldoffHeartbeats = 20
	// scanInterval is the interval between two scans of all backends. While there are backends that are not gone, the host
	// must call Tick at least once in this interval.
	scanInterval = 500 * time.Millisecond
)

// ownerFor returns the node that should own a backend. It chooses the node by rendezvous hashing over the owner candidates.
// The parameter except is the slot of a candidate to leave out, or NoSlot. Candidates in the backend's zone are preferred.
// The Slot of the result is NoSlot if there is no candidate.
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

// mix64 mixes the bits of x so that each bit affects the whole result. It is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// handleHeartbeat processes a heartbeat. direct is true if the backend itself sent the heartbeat to this node, and false if
// another node relayed the heartbeat.
func (r *Registry) handleHeartbeat(e *entry, heartbeat Record, direct bool) {
	before, departureBefore := e.record, e.departureState()
	revived := r.merge(e, heartbeat)
	// The node that relayed the heartbeat may have sent the departure to no other node.
	departureAdvanced := e.departureState() > departureBefore
	if e.record.Seq > before.Seq {
		e.lastHeartbeatAt, e.directHeartbeat = r.now, direct
	} else if e.record.Owner != NoSlot && !direct && !departureAdvanced {
		return // A heartbeat with this or a higher sequence number is already known.
	}
	owner := r.ownerFor(e, NoSlot)
	becomesOwner := owner.Slot == r.localSlot && e.record.Owner != r.localSlot && e.phase() != Gone
	if becomesOwner {
		r.takeOwnership(e, NoSlot)
	}
	changed := becomesOwner || revived || e.record.differsFrom(&before)
	isOwner := owner.Slot == r.localSlot || e.record.Owner == r.localSlot
	if changed && isOwner || departureAdvanced {
		r.broadcastRecord(e, departureAdvanced || revived)
	}
	if direct && !e.record.Deregistered {
		r.relayToOwners(e, owner.Slot)
	}
}

// relayToOwners relays a heartbeat to the node that should own the backend (owner) and, if the recorded owner is another
// node, to the recorded owner. The recorded owner may not know yet that its ownership has ended, and must not time out the
// backend.
func (r *Registry) relayToOwners(e *entry, owner Slot) {
	if owner != NoSlot && owner != r.localSlot {
		r.relayHeartbeat(e, owner)
	}
	if known := e.record.Owner; known != owner && known != r.localSlot && !r.isUnreachable(known) {
		r.relayHeartbeat(e, known)
	}
}

// takeOwnership makes this node the owner of a backend with the next fencing token, and revives the backend if it was
// timed out.
func (r *Registry) takeOwnership(e *entry, lostOwner Slot) {
	r.setOwner(e, r.localSlot, lostOwner)
	e.record.FencingToken++
	e.timedOut = false
	r.enqueueChangesAtAddr(e)
}

// scanBackends checks all backends. It times out backends that this node owns, takes over backends whose owner is lost, resends
// suspicions, reports missing backends and prunes tombstones.
func (r *Registry) scanBackends() {
	r.nextScanAt = r.now + scanInterval
	r.reportMissingBackends()
	expiredTombstone := false
	for _, e := range r.sorted {
		switch {
		case e.phase() == Gone:
			expiredTombstone = expiredTombstone || r.now-e.goneAt >= tombstoneTTL
			if e.suspected && r.now-e.ownerSince >= r.config.HeartbeatInterval {
				r.reportSuspicion(e) // The first report may have been lost.
			}
		case e.record.Owner == r.localSlot:
			r.timeOutOwnedIfOverdue(e)
		default:
			r.takeOverIfOwnerLost(e)
		}
	}
	if expiredTombstone || r.goneCount > maxTombstones || len(r.entries) >= maxBackends {
		r.pruneTombstones()
	}
}

// timeOutOwnedIfOverdue times out a backend that this node owns if the backend missed its heartbeats or if it is displaced
// (isDisplaced). If this node reaches no majority, missed heartbeats count only for backends that sent their last heartbeat
// directly to this node. Other backends may send their heartbeats to nodes that this node does not reach.
func (r *Registry) timeOutOwnedIfOverdue(e *entry) {
	timeout := missedHeartbeats * r.config.HeartbeatInterval
	mayTimeOut := e.directHeartbeat || r.reachesMajority()
	if r.isDisplaced(e) || mayTimeOut && r.now-max(e.lastSeenAt, r.timeoutFloor) >= timeout {
		r.timeOutBackend(e)
		r.broadcastRecord(e, true)
	}
}

// takeOverIfOwnerLost handles a backend whose owner has been lost for the grace period (ownerGraceHalfIntervals). If ownerFor
// returns this node, this node takes the backend over. If ownerFor returns another node, and that node has not taken the
// backend over after one more heartbeat interval, the function sends that node the record. A node that reaches no majority
// takes over nothing, because the owner may be live on the other side of a partition.
func (r *Registry) takeOverIfOwnerLost(e *entry) {
	if !r.isUnreachable(e.record.Owner) || !r.reachesMajority() || r.now < e.noTakeoverUntil {
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
		r.broadcastRecord(e, false)
	} else if p := r.peers[next]; p != nil && lostFor >= grace+r.config.HeartbeatInterval {
		// The next owner may not know the backend.
		r.enqueueUpdate(p, e.record.ID, false)
		e.ownerSince = r.now
	}
}
