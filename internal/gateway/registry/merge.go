package registry

import "time"

// slowStartTolerance is how far the reported end of a slow start may differ from the known end and still count as the same
// slow start. Each heartbeat reports the remaining time with a small deviation.
const slowStartTolerance = 500 * time.Millisecond

// merge merges an update into the entry of a backend. It reports whether the update changed the phase from Gone to another
// phase.
//
// The result does not depend on the order or the repetition of updates. The record with the highest Seq determines what
// the backend reports about itself, and the record with the highest fencing token determines its owner. Departures are
// kept. A time-out counts only at exactly the highest Seq and fencing token. A later heartbeat therefore revives the
// backend, and a former owner cannot override its successor.
func (r *Registry) merge(e *entry, update Record) (revived bool) {
	before := e.phase()
	timeout := update.Phase == Gone && !update.Deregistered
	seq, token := max(e.record.Seq, update.Seq), max(e.record.FencingToken, update.FencingToken)
	timedOut := e.timedOut && e.record.Seq == seq && e.record.FencingToken == token ||
		timeout && update.Seq == seq && update.FencingToken == token
	if update.Service != "" && (update.Seq > e.record.Seq || e.record.Service == "") {
		r.mergeDetails(e, update)
	}
	if update.Seq > e.record.Seq {
		e.lastSeenAt, e.directHeartbeat = r.now, false
	}
	if update.FencingToken > e.record.FencingToken ||
		// The fencing tokens are equal if two nodes took the backend over at the same time. All nodes then choose the owner with
		// the higher slot.
		update.FencingToken == e.record.FencingToken && update.Owner > e.record.Owner {
		r.setOwner(e, update.Owner, update.LostOwner)
	}
	e.record.Seq, e.record.FencingToken = seq, token
	e.record.Draining = e.record.Draining || update.Draining || update.Phase == Draining
	e.record.Deregistered = e.record.Deregistered || update.Deregistered
	r.enqueueStore(e)
	e.firstSeenAt = min(e.firstSeenAt, r.now-update.Age)
	r.setTimedOut(e, before, timedOut)
	r.enqueueChangesAtAddr(e)
	return before == Gone && e.phase() != Gone
}

// mergeDetails copies the service, address, zone, generation, capacity and slow start of an update to the entry. The backend
// reports these values about itself. It also reports its departure, which merge applies.
func (r *Registry) mergeDetails(e *entry, update Record) {
	if e.record.Addr != update.Addr {
		r.reindexAddr(e, update.Addr)
	}
	e.record.Service, e.record.Zone, e.record.Generation, e.record.Capacity = update.Service, update.Zone, update.Generation, update.Capacity
	until := r.now + update.SlowStartLeft
	if update.SlowStartLeft > 0 && max(until-e.slowStartUntil, e.slowStartUntil-until) > slowStartTolerance {
		e.slowStartUntil = until
	}
}

// setOwner sets the owner of a backend. lostOwner is the lost owner from which the backend was taken over, or NoSlot.
func (r *Registry) setOwner(e *entry, owner, lostOwner Slot) {
	if e.record.Owner == r.localSlot && owner != r.localSlot && r.isUnreachable(owner) {
		// Another node reaches the new owner, and this node does not. The hold-off prevents this node and the new owner from
		// taking the backend from each other forever.
		e.noTakeoverUntil = r.now + takeoverHoldoffHeartbeats*r.config.HeartbeatInterval
	}
	e.record.Owner, e.record.LostOwner = owner, lostOwner
	e.ownerSince, e.lastSeenAt = r.now, r.now
}

// setTimedOut sets whether the backend is timed out, and updates the number of gone backends. before is the phase of the
// backend before the change.
func (r *Registry) setTimedOut(e *entry, before Phase, timedOut bool) {
	e.timedOut, e.suspected = timedOut, timedOut && e.suspected
	switch after := e.phase(); {
	case before != Gone && after == Gone:
		r.goneCount++
		e.goneAt = r.now
	case before == Gone && after != Gone:
		r.goneCount--
	}
}

// timeOutBackend sets the phase of a backend to Gone until a newer heartbeat arrives, and enqueues the change for
// publication.
func (r *Registry) timeOutBackend(e *entry) {
	r.setTimedOut(e, e.phase(), true)
	r.enqueueChangesAtAddr(e)
}
