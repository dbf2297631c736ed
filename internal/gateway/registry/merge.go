package registry

import "time"

// slowStartTolerance is how far the end of a slow start may differ from what is known without counting as another: each heartbeat
// gives what is left of it, a little differently.
const slowStartTolerance = 500 * time.Millisecond

// merge adds a record to what is known. The result is the same in every order and with every repetition: the newest Seq gives
// what the backend says of itself, the highest fencing token its owner; departures stay. A time-out counts only at exactly the newest
// Seq and token: a later heartbeat revives the backend, and a former owner can't undo what its successor knows. It tells
// whether the backend was gone and is not any more.
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
		update.FencingToken == e.record.FencingToken && update.Owner > e.record.Owner { // two took it at once: any rule that all go by will do
		r.setOwner(e, update.Owner, update.LostOwner)
	}
	e.record.Seq, e.record.FencingToken = seq, token
	e.record.Draining = e.record.Draining || update.Draining || update.Phase == Draining
	e.record.Deregistered = e.record.Deregistered || update.Deregistered
	e.firstSeenAt = min(e.firstSeenAt, r.now-update.Age)
	r.setTimedOut(e, before, timedOut)
	r.enqueueAddrChanges(e)
	return before == Gone && e.phase() != Gone
}

// mergeDetails takes what the backend says of itself.
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

// setOwner notes who watches the backend from now on, and from whom it was taken.
func (r *Registry) setOwner(e *entry, owner, lostOwner Slot) {
	if e.record.Owner == r.localSlot && owner != r.localSlot && r.unreachable(owner) {
		// Another node reaches an owner that this one does not: the two must not take the backend from each other for ever.
		e.noTakeoverUntil = r.now + takeoverHoldoffHeartbeats*r.config.HeartbeatInterval
	}
	e.record.Owner, e.record.LostOwner = owner, lostOwner
	e.ownerSince, e.lastSeenAt = r.now, r.now
}

// setTimedOut sets whether the backend is timed out, and counts those that are gone. before is its phase until now.
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

// expire times a backend out.
func (r *Registry) expire(e *entry) {
	r.setTimedOut(e, e.phase(), true)
	r.enqueueAddrChanges(e)
}
