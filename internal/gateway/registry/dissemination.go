package registry

import (
	"slices"
	"time"
)

const (
	// batchDelay is how long a change that is not urgent is delayed, so that one message can carry several changes.
	batchDelay = 50 * time.Millisecond
	// maxUpdatesPerMessage limits the records in one message to a few KB, so that a message does not block other frames on a
	// slow link for long.
	maxUpdatesPerMessage = 64
)

// sendsUpdatesTo reports whether this node sends its updates to a peer. While a node with a disk is live, the node sends
// updates only to live nodes with a disk and to its followers. If no node with a disk is live, it sends updates to all live
// peers.
func (r *Registry) sendsUpdatesTo(p *peer) bool {
	return p.node.Live && (!r.hasLiveDisk || p.node.HasDisk || p.node.Follows)
}

// broadcastRecord enqueues a backend's record for all peers that this node sends updates to. An urgent record is sent at once.
// A record that is not urgent is delayed by at most batchDelay and sent together with other changes.
func (r *Registry) broadcastRecord(e *entry, urgent bool) { r.forwardRecord(e, nil, urgent) }

// forwardRecord enqueues a backend's record for the peers that this node sends updates to. The parameter from is the peer
// that sent the record, or nil if the record did not come from a peer. The record is not sent back to this peer. If this
// peer has a disk, it has already sent the record to all other nodes with a disk. The record is then forwarded only to peers
// without a disk.
func (r *Registry) forwardRecord(e *entry, from *peer, urgent bool) {
	for _, s := range r.peerSlots {
		if p := r.peers[s]; p != from && r.sendsUpdatesTo(p) && !(from != nil && from.node.HasDisk && p.node.HasDisk) {
			r.enqueueUpdate(p, e.record.ID, urgent)
		}
	}
}

// enqueueUpdate enqueues the record of a backend for a peer. The message will carry the state of the record at the time of
// sending.
func (r *Registry) enqueueUpdate(p *peer, id string, urgent bool) {
	at := r.now
	if !urgent {
		at += batchDelay
	}
	r.addActivePeer(p)
	if len(p.pendingIDs) == 0 || at < p.sendAt {
		p.sendAt = at
	}
	if !p.pendingSet[id] {
		p.pendingSet[id] = true
		p.pendingIDs = append(p.pendingIDs, id)
	}
}

// relayHeartbeat enqueues the record of a backend as a heartbeat for the node receiver. A relayed heartbeat that gets lost is not
// resent, because the backend's next heartbeat replaces it.
func (r *Registry) relayHeartbeat(e *entry, receiver Slot) {
	if p := r.peers[receiver]; p != nil && p.node.Live && len(p.heartbeats) < maxUpdatesPerMessage {
		r.addActivePeer(p)
		p.heartbeats = append(p.heartbeats, r.currentRecord(e))
	}
}

// reportSuspicion enqueues a suspicion for the backend's owner, if the owner is a live peer.
func (r *Registry) reportSuspicion(e *entry) {
	e.ownerSince = r.now
	if p := r.peers[e.record.Owner]; p != nil && p.node.Live && !slices.Contains(p.suspicions, e.record.ID) {
		r.addActivePeer(p)
		p.suspicions = append(p.suspicions, e.record.ID)
	}
}

// nextMessage returns the next message for a peer. ok is false if there is nothing to send. A peer that is not live is sent
// acknowledgements only.
func (r *Registry) nextMessage(p *peer) (m Message, ok bool) {
	m.Acks, m.Unstored, p.acks, p.unstoredAcks = p.acks, p.unstoredAcks, nil, nil
	if !p.node.Live {
		return m, len(m.Acks) > 0
	}
	m.Stored = p.takeStored()
	m.Heartbeats, p.heartbeats = p.heartbeats, nil
	if len(p.retransmits) > 0 {
		f := p.retransmits[0]
		p.retransmits = p.retransmits[1:]
		r.fillMessage(&m, f)
		return m, true
	}
	updatesDue := len(p.pendingIDs) > 0 && r.now >= p.sendAt || p.fullSyncNext
	if !updatesDue && len(p.suspicions) == 0 || p.unresponsive || len(p.inFlight) >= maxInFlight {
		return m, len(m.Acks)+len(m.Stored)+len(m.Heartbeats) > 0
	}
	r.fillMessage(&m, r.newInFlightMessage(p, updatesDue))
	return m, true
}

// newInFlightMessage moves the pending suspicions and the full sync marker of a peer into a new message in flight. If
// updatesDue is true, it also moves up to maxUpdatesPerMessage pending updates.
func (r *Registry) newInFlightMessage(p *peer, updatesDue bool) *inFlightMessage {
	p.seq++
	f := &inFlightMessage{seq: p.seq, sentAt: r.now, suspicions: p.suspicions, fullSync: p.fullSyncNext}
	p.suspicions, p.fullSyncNext = nil, false
	if updatesDue {
		n := min(len(p.pendingIDs), maxUpdatesPerMessage)
		f.ids, p.pendingIDs = slices.Clone(p.pendingIDs[:n]), p.pendingIDs[n:]
	}
	for _, id := range f.ids {
		delete(p.pendingSet, id)
		d := notDeparting
		if e := r.entries[id]; e != nil {
			d = e.departureState()
		}
		f.departures = append(f.departures, d)
	}
	p.inFlight = append(p.inFlight, f)
	return f
}

// fillMessage copies a message in flight to m, with the present state of its records.
func (r *Registry) fillMessage(m *Message, f *inFlightMessage) {
	m.Seq, m.FullSync = f.seq, f.fullSync
	departs := false
	for _, id := range f.ids {
		if e := r.entries[id]; e != nil {
			m.Updates = append(m.Updates, r.currentRecord(e))
			departs = departs || e.departureState() > notDeparting
		}
	}
	if departs {
		m.Unreachable = r.unreachableDiskNodes()
	}
	for _, id := range f.suspicions {
		if e := r.entries[id]; e != nil {
			m.Suspicions = append(m.Suspicions, r.currentRecord(e))
		}
	}
}
