package registry

import "time"

// Receive takes a message of another node.
func (r *Registry) Receive(from Slot, m Message) {
	p := r.peers[from]
	if p == nil {
		if from < 0 || from == r.localSlot {
			return
		}
		p = r.peerAt(from)
	}
	if p.unresponsive && p.node.Live {
		r.SyncPeer(from)
	}
	r.trackFullSync(from, &m)
	for _, seq := range m.Acks {
		r.handleAck(p, seq)
	}
	for _, update := range m.Updates {
		r.handleUpdate(p, update)
	}
	r.forwardDepartures(&m)
	for _, heartbeat := range m.Heartbeats {
		if e := r.entryFor(heartbeat.ID); e != nil {
			r.handleHeartbeat(e, heartbeat, false)
		}
	}
	for _, suspicion := range m.Suspicions {
		r.handleSuspicion(p, suspicion)
	}
	if m.Seq != 0 && len(p.acks) < maxPendingAcks {
		r.activate(p)
		p.acks = append(p.acks, m.Seq)
	}
	r.answerDecided()
}

// priorState is what was known of a backend before an update.
type priorState struct {
	record          Record
	phase           Phase
	departure       departure
	slowStartUntil  time.Duration
	suspected       bool
	owned           bool // this node watched it
	recentHeartbeat bool // its last heartbeat that came here is recent
}

func (r *Registry) priorState(e *entry) priorState {
	return priorState{record: e.record, phase: e.phase(), departure: e.departure(), slowStartUntil: e.slowStartUntil, suspected: e.suspected,
		owned:           e.record.Owner == r.localSlot && e.phase() != Gone,
		recentHeartbeat: r.now-e.lastHeartbeatAt < missedHeartbeats*r.config.HeartbeatInterval}
}

// handleUpdate merges a record, sends on what is new, and answers the sender where more is known here.
func (r *Registry) handleUpdate(p *peer, update Record) {
	e := r.entryFor(update.ID)
	if e == nil {
		return
	}
	before := r.priorState(e)
	r.merge(e, update)
	if p.node.Slot == r.syncSource {
		e.syncedAt = r.now
	}
	r.forwardUpdate(e, p, &update, &before)
	if update.Phase == Gone && p.node.Slot == e.record.Owner {
		e.suspected = false
	}
	// A sender that names a departure has it, if it has acknowledged anything in its present incarnation: a late message of the former
	// one is no copy.
	if d := update.departure(); d > notDeparting && (p.confirmed || r.config.TestingKnobs.trustUnconfirmedPeers()) {
		e.recordNotified(p.node.Slot, d)
	}
	if r.reclaimOwnership(e, p, &update, &before) {
		return
	}
	r.correctSender(e, p, &update, &before)
}

// forwardUpdate sends on what an update changed.
func (r *Registry) forwardUpdate(e *entry, from *peer, update *Record, before *priorState) {
	// A backend that this node alone suspected is a change to the others when its owner says that it is gone.
	urgent := e.phase() != before.phase || e.departure() > before.departure || before.suspected && update.Phase == Gone
	changed := urgent || e.record.changed(&before.record)
	switch {
	case e.record.Owner == r.localSlot && (before.record.Owner != r.localSlot || changed):
		// The owner answers for what all know: others may have believed the update, or have come up with it.
		r.broadcast(e, urgent)
	case r.local.HasDisk && (changed || e.slowStartUntil != before.slowStartUntil):
		r.forward(e, from, urgent)
	}
	isNew := before.record.Service == "" && e.phase() != Gone
	if owner := r.peers[e.record.Owner]; r.local.HasDisk && isNew && owner != nil && owner != from && owner.node.Live {
		r.enqueueUpdate(owner, e.record.ID, false) // it may have forgotten the backend, and watches it again
	}
}

// reclaimOwnership takes a backend back that another node took from this one as lost, while its heartbeats still come here. Of one that was
// taken from a third node, that one is sent the record. It tells whether the backend was taken back.
func (r *Registry) reclaimOwnership(e *entry, from *peer, update *Record, before *priorState) bool {
	if update.LostOwner == NoSlot || update.FencingToken != e.record.FencingToken || update.Owner != e.record.Owner {
		return false
	}
	if update.LostOwner == r.localSlot && before.owned && before.recentHeartbeat {
		r.takeOwnership(e, NoSlot)
		r.broadcast(e, true)
		return true
	}
	if lost := r.peers[update.LostOwner]; update.LostOwner != from.node.Slot && lost != nil && lost.node.Live {
		r.enqueueUpdate(lost, e.record.ID, true)
	}
	return false
}

// correctSender sends the record back, or to all, where the update was behind what is known here.
func (r *Registry) correctSender(e *entry, from *peer, update *Record, before *priorState) {
	known := r.recordOf(e)
	if update.Phase == Gone && known.Phase != Gone && (e.record.Owner == r.localSlot || before.recentHeartbeat) {
		r.broadcast(e, true) // others may have believed it as well
		return
	}
	staleOwner := update.Owner != known.Owner &&
		(update.FencingToken < known.FencingToken || update.FencingToken == known.FencingToken && update.Owner < known.Owner)
	// An owner that missed the last heartbeat would time the backend out by one that was not the last.
	missedHeartbeat := update.Seq < known.Seq && known.Phase != Gone && from.node.Slot == known.Owner
	if (update.Phase != known.Phase || update.departure() != known.departure() || staleOwner || missedHeartbeat) && from.node.Live {
		r.enqueueUpdate(from, e.record.ID, true)
	}
}

// handleSuspicion takes it that another backend answered at this one's address, and times it out: its next heartbeat shows who is
// right.
func (r *Registry) handleSuspicion(p *peer, suspicion Record) {
	e := r.entryFor(suspicion.ID)
	if e == nil {
		return
	}
	before := e.phase()
	r.merge(e, suspicion)
	if e.phase() != Gone {
		r.expire(e)
	}
	if before != Gone {
		r.broadcast(e, true)
	} else {
		r.enqueueUpdate(p, e.record.ID, true)
	}
}
