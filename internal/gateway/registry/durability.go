package registry

// This file makes the copies of departures durable. A copy in memory does not survive a kill of all processes or a loss of
// power, and a backend that has deregistered makes no further call that would repeat its departure. A copy at a node with a
// disk therefore counts only when the departure is on that disk (StoreDepartures, DeparturesStored).
//
// A node with a disk acknowledges a message at once, also if the message carries departures that are not on the disk yet. It
// then lists the message in Message.Unstored as well. When the departures are on the disk, the node lists them in
// Message.Stored. A slow disk therefore delays the confirmation of departures, but no other updates.

// Departure is the departure of one backend as a node stores it on its disk.
type Departure struct {
	ID string
	// True if the backend has deregistered. False if the backend is draining.
	Deregistered bool
}

// newDeparture returns the departure of the backend with the given id that leads to a departure state.
func newDeparture(id string, state departureState) Departure {
	return Departure{ID: id, Deregistered: state == departed}
}

// state returns the departure state of the backend after the departure.
func (d Departure) state() departureState {
	if d.Deregistered {
		return departed
	}
	return draining
}

// durableCopies is what this node knows about the copies of one backend's departure on disks.
type durableCopies struct {
	// Highest departure state that this node has passed, or will pass, to the host to be stored.
	requested departureState
	// Highest departure state on this node's disk.
	local departureState
	// For each other node, the highest departure state that the node is known to have on its disk. A node of a program
	// version that does not report its disk counts as soon as it has acknowledged the departure.
	remote map[Slot]departureState
	// Nodes that sent this node the departure and must be notified when the departure is on this node's disk.
	waiting map[Slot]bool
}

// recordRemote records that another node has the departure state on its disk.
func (d *durableCopies) recordRemote(node Slot, state departureState) {
	if d.remote == nil {
		d.remote = map[Slot]departureState{}
	}
	d.remote[node] = max(d.remote[node], state)
}

// addWaiting adds a node that must be notified when the departure is on this node's disk.
func (d *durableCopies) addWaiting(node Slot) {
	if d.waiting == nil {
		d.waiting = map[Slot]bool{}
	}
	d.waiting[node] = true
}

// hasCopy reports whether this node's copy of a departure counts. The copy must be on this node's disk, if there is one.
func (r *Registry) hasCopy(e *entry, state departureState) bool {
	return !r.config.HasDisk || e.copies.local >= state || r.config.TestingKnobs.countUnstoredCopies()
}

// enqueueStore queues the departure of a backend for this node's disk, unless the same departure was queued before.
func (r *Registry) enqueueStore(e *entry) {
	state := e.departureState()
	if !r.config.HasDisk || state <= e.copies.requested {
		return
	}
	e.copies.requested = state
	r.unstored = append(r.unstored, newDeparture(e.record.ID, state))
}

// nextStore returns a StoreDepartures action with all queued departures. ok is false if there are none.
func (r *Registry) nextStore() (a StoreDepartures, ok bool) {
	a.Departures, r.unstored = r.unstored, nil
	return a, len(a.Departures) > 0
}

// DeparturesStored records that departures are on this node's disk. The host calls it with the departures of one or more
// StoreDepartures actions. The nodes that wait for these copies are notified.
func (r *Registry) DeparturesStored(departures []Departure) {
	for _, d := range departures {
		e := r.entries[d.ID]
		if e == nil {
			continue
		}
		e.copies.local = max(e.copies.local, d.state())
		for s := range e.copies.waiting {
			if p := r.peers[s]; p != nil {
				r.addActivePeer(p)
				p.stored = append(p.stored, newDeparture(d.ID, e.copies.local))
			}
		}
		if e.copies.local >= e.departureState() {
			e.copies.waiting = nil
		}
	}
	r.answerDecidedCalls()
}

// RestoreDepartures loads the departures that this node's disk stored. The host calls it once, before Restore. The departures
// count as copies at once, and other nodes receive them when they are synced.
func (r *Registry) RestoreDepartures(departures []Departure) {
	for _, d := range departures {
		e := r.findOrCreateEntry(d.ID)
		if e == nil {
			continue
		}
		e.copies.requested = max(e.copies.requested, d.state())
		e.copies.local = max(e.copies.local, d.state())
		update := Record{ID: d.ID, Phase: Draining, Owner: NoSlot, LostOwner: NoSlot, Draining: true}
		if d.Deregistered {
			update.Phase, update.Draining, update.Deregistered = Gone, false, true
		}
		r.merge(e, update)
	}
}

// DepartingIDs returns the ids of all backends whose departure the registry remembers, sorted. The host may remove all other
// departures from its disk.
func (r *Registry) DepartingIDs() (ids []string) {
	for _, e := range r.sorted {
		if e.departureState() > notDeparting {
			ids = append(ids, e.record.ID)
		}
	}
	return ids
}

// awaitsStore reports whether a received message carries a departure that is not on this node's disk yet. If so, the sender
// is notified as soon as each departure is on the disk. A departure of a backend for which the registry has no space is never
// on the disk.
func (r *Registry) awaitsStore(from *peer, updates []Record) (awaits bool) {
	if !r.config.HasDisk {
		return false
	}
	for i := range updates {
		state := updates[i].departureState()
		if state == notDeparting {
			continue
		}
		e := r.entries[updates[i].ID]
		switch {
		case e == nil:
			awaits = true
		case e.copies.local < state:
			e.copies.addWaiting(from.node.Slot)
			awaits = true
		}
	}
	return awaits
}

// handleStored records that the peer p has departures on its disk. The report counts only if the peer has acknowledged a
// message in its present incarnation. A former incarnation may have had another disk.
func (r *Registry) handleStored(p *peer, departures []Departure) {
	if !p.confirmed && !r.config.TestingKnobs.trustUnconfirmedPeers() {
		return
	}
	for _, d := range departures {
		if e := r.entries[d.ID]; e != nil {
			e.copies.recordRemote(p.node.Slot, d.state())
		}
	}
}

// takeStored removes and returns the next departures whose storage is to be reported to the peer.
func (p *peer) takeStored() []Departure {
	n := min(len(p.stored), maxUpdatesPerMessage)
	departures := p.stored[:n:n]
	if p.stored = p.stored[n:]; len(p.stored) == 0 {
		p.stored = nil
	}
	return departures
}
