package registry

import (
	"slices"
	"time"
)

// Receive processes a message from another node.
func (r *Registry) Receive(from Slot, m Message) {
	p := r.peers[from]
	if p == nil {
		if from < 0 || from == r.localSlot {
			return
		}
		p = r.findOrCreatePeer(from)
	}
	if p.unresponsive && p.node.Live {
		r.SyncPeer(from)
	}
	r.trackReceivedFullSync(from, &m)
	for _, seq := range m.Acks {
		r.handleAck(p, seq, !slices.Contains(m.Unstored, seq))
	}
	r.handleStored(p, m.Stored)
	for _, update := range m.Updates {
		r.handleUpdate(p, update)
	}
	r.forwardDepartures(&m)
	for _, heartbeat := range m.Heartbeats {
		if e := r.findOrCreateEntry(heartbeat.ID); e != nil {
			r.handleHeartbeat(e, heartbeat, false)
		}
	}
	for _, suspicion := range m.Suspicions {
		r.handleSuspicion(p, suspicion)
	}
	if m.Seq != 0 && len(p.acks) < maxPendingAcks {
		r.addActivePeer(p)
		p.acks = append(p.acks, m.Seq)
		if r.awaitsStore(p, m.Updates) {
			p.unstoredAcks = append(p.unstoredAcks, m.Seq)
		}
	}
	r.answerDecidedCalls()
}

// priorState is the state of a backend before an update.
type priorState struct {
	record         Record
	phase          Phase
	departure      departureState
	slowStartUntil time.Duration
	suspected      bool
	// True if this node owned the backend and the backend was not gone.
	owned bool
	// True if this node received a heartbeat of the backend within the last missedHeartbeats heartbeat intervals.
	recentHeartbeat bool
}

// capturePriorState returns the state of a backend before an update.
func (r *Registry) capturePriorState(e *entry) priorState {
	return priorState{record: e.record, phase: e.phase(), departure: e.departureState(), slowStartUntil: e.slowStartUntil, suspected: e.suspected,
		owned:           e.record.Owner == r.localSlot && e.phase() != Gone,
		recentHeartbeat: r.now-e.lastHeartbeatAt < missedHeartbeats*r.config.HeartbeatInterval}
}

// handleUpdate merges the record of a backend that the peer p sent, and forwards the record if the merge changed the entry. If
// this node knows newer values than the received record, it sends its own record to p (correctSender).
func (r *Registry) handleUpdate(p *peer, update Record) {
	e := r.findOrCreateEntry(update.ID)
	if e == nil {
		return
	}
	before := r.capturePriorState(e)
	r.merge(e, update)
	if p.node.Slot == r.syncSource {
		e.syncedAt = r.now
	}
	r.forwardUpdate(e, p, &update, &before)
	if update.Phase == Gone && p.node.Slot == e.record.Owner {
		e.suspected = false
	}
	// The sender of a departure counts as a holder of the departure only if the sender has acknowledged a message in its
	// present incarnation. A late message of a former incarnation does not prove a copy.
	if d := update.departureState(); d > notDeparting && (p.confirmed || r.config.TestingKnobs.trustUnconfirmedPeers()) {
		e.recordNotified(p.node.Slot, d)
	}
	if r.reclaimOwnership(e, p, &update, &before) {
		return
	}
	r.correctSender(e, p, &update, &before)
}

// forwardUpdate forwards an update to other nodes if the update changed this node's record of the backend. A node with a
// disk also sends the record of a backend that it did not know before to the backend's owner.
func (r *Registry) forwardUpdate(e *entry, from *peer, update *Record, before *priorState) {
	// If this node already timed out the backend by a suspicion, the owner's time-out does not change the phase. The update is
	// urgent nevertheless, because the other nodes do not know of the time-out yet.
	urgent := e.phase() != before.phase || e.departureState() > before.departure || before.suspected && update.Phase == Gone
	changed := urgent || e.record.differsFrom(&before.record)
	switch {
	case e.record.Owner == r.localSlot && (before.record.Owner != r.localSlot || changed):
		// The owner must inform all nodes. Other nodes may have applied the update, or one of them may be the origin of the
		// update.
		r.broadcastRecord(e, urgent)
	case r.local.HasDisk && (changed || e.slowStartUntil != before.slowStartUntil):
		r.forwardRecord(e, from, urgent)
	}
	isNew := before.record.Service == "" && e.phase() != Gone
	if owner := r.peers[e.record.Owner]; r.local.HasDisk && isNew && owner != nil && owner != from && owner.node.Live {
		// The owner may have lost its record of the backend. With the record, the owner watches the backend again.
		r.enqueueUpdate(owner, e.record.ID, false)
	}
}

// reclaimOwnership takes back a backend that another node took over because the other node no longer reached this node. It
// takes the backend back only if this node still receives the backend's heartbeats. If the backend was taken over from a
// third node that this node reaches, reclaimOwnership sends the record to the third node. It reports whether this node took
// the backend back.
func (r *Registry) reclaimOwnership(e *entry, from *peer, update *Record, before *priorState) bool {
	if update.LostOwner == NoSlot || update.FencingToken != e.record.FencingToken || update.Owner != e.record.Owner {
		return false
	}
	if update.LostOwner == r.localSlot && before.owned && before.recentHeartbeat {
		r.takeOwnership(e, NoSlot)
		r.broadcastRecord(e, true)
		return true
	}
	if lost := r.peers[update.LostOwner]; update.LostOwner != from.node.Slot && lost != nil && lost.node.Live {
		r.enqueueUpdate(lost, e.record.ID, true)
	}
	return false
}

// correctSender sends the record of a backend to the sender of an outdated update. If the update is an outdated time-out,
// which other nodes may also have applied, correctSender broadcasts the record.
func (r *Registry) correctSender(e *entry, from *peer, update *Record, before *priorState) {
	known := r.currentRecord(e)
	if update.Phase == Gone && known.Phase != Gone && (e.record.Owner == r.localSlot || before.recentHeartbeat) {
		// The time-out is outdated, and other nodes may have applied it.
		r.broadcastRecord(e, true)
		return
	}
	staleOwner := update.Owner != known.Owner &&
		(update.FencingToken < known.FencingToken || update.FencingToken == known.FencingToken && update.Owner < known.Owner)
	// An owner that missed the last heartbeat would measure the time-out from an earlier heartbeat.
	missedHeartbeat := update.Seq < known.Seq && known.Phase != Gone && from.node.Slot == known.Owner
	if (update.Phase != known.Phase || update.departureState() != known.departureState() || staleOwner || missedHeartbeat) && from.node.Live {
		r.enqueueUpdate(from, e.record.ID, true)
	}
}

// handleSuspicion times out a backend because another backend answered at the same address. If the timed-out backend still
// exists, its next heartbeat revives it. If the backend was already gone, the peer p that sent the suspicion is sent the
// record.
func (r *Registry) handleSuspicion(p *peer, suspicion Record) {
	e := r.findOrCreateEntry(suspicion.ID)
	if e == nil {
		return
	}
	before := e.phase()
	r.merge(e, suspicion)
	if e.phase() != Gone {
		r.timeOutBackend(e)
	}
	if before != Gone {
		r.broadcastRecord(e, true)
	} else {
		r.enqueueUpdate(p, e.record.ID, true)
	}
}
