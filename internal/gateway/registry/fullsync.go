package registry

import (
	"slices"
	"time"
)

const (
	// maxFullSyncs bounds the followers that are sent a full sync at a time.
	maxFullSyncs = 16
	// departureRetention is how long a new follower is sent the departure of a backend that is gone: the follower may have been
	// isolated, and go on sending requests there.
	departureRetention = 10 * time.Second
	// fullSyncGrace is how long the upstream may send nothing of a full sync that it has not ended.
	fullSyncGrace = 3 * time.Second
	// fullSyncTimeout is how long a full sync may take in all.
	fullSyncTimeout = 10 * time.Second
)

// syncRequest is a follower's turn to be synced: with the backends of its own zone, with which it can serve, or with all.
type syncRequest struct {
	target   Slot
	zoneOnly bool
}

// SyncPeer syncs a node that is connected anew, or follows anew. A follower gets all backends that are not gone. Nodes with a disk
// send each other the backends that they own, those that the other should own, those whose owner is lost and that fall to the sender, and
// all departures: together they send one the complete registry. A node without a disk sends a node with one the departures of backends that
// are not gone; more of what it knows follows where the other turns out not to have it (reportMissing).
func (r *Registry) SyncPeer(s Slot) {
	p := r.peers[s]
	if p == nil {
		return
	}
	r.resetPeer(p)
	if !r.informs(p) {
		return
	}
	if p.node.Follows {
		r.enqueueSync(p)
		r.startSyncs()
		return
	}
	for _, e := range r.sorted {
		if r.syncs(e, s) {
			r.enqueueUpdate(p, e.record.ID, true)
		}
	}
}

// syncs tells whether a backend is part of what a peer that does not follow this node is synced with.
func (r *Registry) syncs(e *entry, to Slot) bool {
	if r.hasLiveDisk && !r.local.HasDisk {
		return e.phase() != Gone && e.departure() > notDeparting
	}
	owner := e.record.Owner
	return owner == r.localSlot || owner == to || e.departure() > notDeparting ||
		r.unreachable(owner) && r.ownerFor(e, to).Slot == r.localSlot
}

// enqueueSync queues a follower for the backends of its zone, before anybody's full sync, and for its full sync. Where most
// backends are in its zone there is nothing to be gained by the first.
func (r *Registry) enqueueSync(p *peer) {
	inZone, present := 0, 0
	for _, e := range r.sorted {
		if e.phase() != Gone {
			present++
			if e.record.Zone == p.node.Zone {
				inZone++
			}
		}
	}
	if inZone > 0 && 2*inZone < present {
		at := slices.IndexFunc(r.syncQueue, func(s syncRequest) bool { return !s.zoneOnly })
		if at < 0 {
			at = len(r.syncQueue)
		}
		r.syncQueue = slices.Insert(r.syncQueue, at, syncRequest{p.node.Slot, true})
	}
	r.syncQueue = append(r.syncQueue, syncRequest{p.node.Slot, false})
}

// startSyncs begins the syncs that wait, maxFullSyncs at a time. After the loss of all nodes everybody asks at once: what all are sent
// together comes so late to each that they give up and ask another node, for all of it again.
func (r *Registry) startSyncs() {
	if len(r.syncQueue) == 0 {
		return
	}
	running := 0
	for _, s := range r.peerSlots {
		p := r.peers[s]
		if p.syncing && len(p.pendingIDs)+len(p.inFlight) == 0 && !p.fullSyncNext {
			p.syncing = false
		}
		if p.syncing {
			running++
		}
	}
	for ; running < maxFullSyncs && len(r.syncQueue) > 0; running++ {
		request := r.syncQueue[0]
		r.syncQueue = r.syncQueue[1:]
		p := r.peers[request.target]
		r.activate(p)
		p.syncing, p.fullSyncNext = true, p.fullSyncNext || !request.zoneOnly
		for _, e := range r.sorted {
			if r.relevantToFollower(e) && (!request.zoneOnly || e.record.Zone == p.node.Zone) {
				r.enqueueUpdate(p, e.record.ID, true)
			}
		}
	}
}

// relevantToFollower holds for backends that are not gone, and for those whose departure may be news to a follower.
func (r *Registry) relevantToFollower(e *entry) bool {
	return e.phase() != Gone || e.departure() > notDeparting && r.now-e.goneAt < departureRetention
}

// trackFullSync follows the full sync that another node sends to this one.
func (r *Registry) trackFullSync(from Slot, m *Message) {
	if m.FullSync {
		r.syncSource, r.syncStartedAt, r.reportMissingAt = from, r.now, r.now+fullSyncGrace
	}
	if from == r.syncSource && len(m.Updates) > 0 && r.reportMissingAt != never {
		r.reportMissingAt = max(r.reportMissingAt, min(r.now+fullSyncGrace, r.syncStartedAt+fullSyncTimeout))
	}
}

// reportMissing sends the upstream what its full sync left out, once that has ended: so it learns what it should have had, or this
// node that a backend is gone.
func (r *Registry) reportMissing() {
	if r.now < r.reportMissingAt {
		return
	}
	r.reportMissingAt = never
	p := r.peers[r.syncSource]
	if p == nil || !r.informs(p) {
		return
	}
	for _, e := range r.sorted {
		if e.phase() != Gone && e.syncedAt < r.syncStartedAt {
			r.enqueueUpdate(p, e.record.ID, false)
		}
	}
}
