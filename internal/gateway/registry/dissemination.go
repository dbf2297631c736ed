package registry

import (
	"slices"
	"time"
)

const (
	// batchDelay is how long a change that nobody waits for is delayed, so that several go in one message.
	batchDelay = 50 * time.Millisecond
	// maxUpdatesPerMessage bounds the records of one message: a few KB, so that a thin link is free for other frames soon.
	maxUpdatesPerMessage = 64
)

// informs tells whether this node sends its updates to a peer: as long as a node with a disk lives, to such ones and to its
// followers alone.
func (r *Registry) informs(p *peer) bool {
	return p.node.Live && (!r.hasLiveDisk || p.node.HasDisk || p.node.Follows)
}

// broadcast sends a backend's record to all that this node informs, at once or together with other changes.
func (r *Registry) broadcast(e *entry, urgent bool) { r.forward(e, nil, urgent) }

// forward sends a backend's record on. What a node with a disk sent, it sent to all others that have one: it is for the followers. What
// another node sent is for all.
func (r *Registry) forward(e *entry, from *peer, urgent bool) {
	for _, s := range r.peerSlots {
		if p := r.peers[s]; p != from && r.informs(p) && !(from != nil && from.node.HasDisk && p.node.HasDisk) {
			r.enqueueUpdate(p, e.record.ID, urgent)
		}
	}
}

// enqueueUpdate has a backend's record sent to a peer, as it is by then.
func (r *Registry) enqueueUpdate(p *peer, id string, urgent bool) {
	at := r.now
	if !urgent {
		at += batchDelay
	}
	r.activate(p)
	if len(p.pendingIDs) == 0 || at < p.sendAt {
		p.sendAt = at
	}
	if !p.pendingSet[id] {
		p.pendingSet[id] = true
		p.pendingIDs = append(p.pendingIDs, id)
	}
}

// relayHeartbeat sends a heartbeat on to a node. It is not repeated: the next heartbeat makes up for a lost one.
func (r *Registry) relayHeartbeat(e *entry, s Slot) {
	if p := r.peers[s]; p != nil && p.node.Live && len(p.heartbeats) < maxUpdatesPerMessage {
		r.activate(p)
		p.heartbeats = append(p.heartbeats, r.recordOf(e))
	}
}

// reportSuspicion sends the owner the suspicion that another backend has its address.
func (r *Registry) reportSuspicion(e *entry) {
	e.ownerSince = r.now
	if p := r.peers[e.record.Owner]; p != nil && p.node.Live && !slices.Contains(p.suspicions, e.record.ID) {
		r.activate(p)
		p.suspicions = append(p.suspicions, e.record.ID)
	}
}

// nextMessage takes the next message for a peer, if there is one.
func (r *Registry) nextMessage(p *peer) (m Message, ok bool) {
	m.Acks, p.acks = p.acks, nil
	if !p.node.Live {
		return m, len(m.Acks) > 0
	}
	m.Heartbeats, p.heartbeats = p.heartbeats, nil
	if len(p.retransmits) > 0 {
		f := p.retransmits[0]
		p.retransmits = p.retransmits[1:]
		r.fillMessage(&m, f)
		return m, true
	}
	updatesDue := len(p.pendingIDs) > 0 && r.now >= p.sendAt || p.fullSyncNext
	if !updatesDue && len(p.suspicions) == 0 || p.unresponsive || len(p.inFlight) >= maxInFlight {
		return m, len(m.Acks)+len(m.Heartbeats) > 0
	}
	r.fillMessage(&m, r.takeInFlight(p, updatesDue))
	return m, true
}

// takeInFlight takes what waits for a peer, its updates where they are due, as one message in flight.
func (r *Registry) takeInFlight(p *peer, updatesDue bool) *inFlightMessage {
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
			d = e.departure()
		}
		f.departures = append(f.departures, d)
	}
	p.inFlight = append(p.inFlight, f)
	return f
}

// fillMessage writes the records of a message in flight as they are now.
func (r *Registry) fillMessage(m *Message, f *inFlightMessage) {
	m.Seq, m.FullSync = f.seq, f.fullSync
	departs := false
	for _, id := range f.ids {
		if e := r.entries[id]; e != nil {
			m.Updates = append(m.Updates, r.recordOf(e))
			departs = departs || e.departure() > notDeparting
		}
	}
	if departs {
		m.Unreachable = r.unreachableDiskNodes()
	}
	for _, id := range f.suspicions {
		if e := r.entries[id]; e != nil {
			m.Suspicions = append(m.Suspicions, r.recordOf(e))
		}
	}
}
