package registry

import (
	"slices"
	"time"
)

const (
	// maxFullSyncs limits the number of followers that are synced at the same time.
	maxFullSyncs = 16
	// departureRetention is the time after the end of a backend during which the backend's departure is sent to each new
	// follower. The follower may have been isolated, and may continue to send requests to the backend.
	departureRetention = 10 * time.Second
	// fullSyncGrace is the time since the last update of a full sync after which the receiver treats the full sync as ended.
	fullSyncGrace = 3 * time.Second
	// fullSyncTimeout limits the total duration of a full sync.
	fullSyncTimeout = 10 * time.Second
)

// syncRequest is a queued sync of a follower. If zoneOnly is true, the sync covers only the backends of the follower's
// zone. The follower can already serve requests with these backends. If zoneOnly is false, the sync covers all backends.
type syncRequest struct {
	target   Slot
	zoneOnly bool
}

// SyncPeer sends a node the records that the node may lack. The host calls it when a node has reconnected. It does nothing
// if the node is unknown.
//
//   - A follower receives all backends that are not gone, and recent departures (departureRetention).
//   - Nodes with a disk send each other all departures, the backends that they own, the backends that the receiver
//     should own, and the backends of a lost owner that the sender would take over. The syncs of all nodes with a disk
//     together give the receiver the complete registry.
//   - A node without a disk sends a node with a disk the departures of backends that are not gone. The node without a
//     disk later also sends the other records that the receiver lacks (reportMissingBackends).
func (r *Registry) SyncPeer(s Slot) {
	p := r.peers[s]
	if p == nil {
		return
	}
	r.resetPeer(p)
	if !r.sendsUpdatesTo(p) {
		return
	}
	if p.node.Follows {
		r.enqueueSync(p)
		r.startSyncs()
		return
	}
	for _, e := range r.sorted {
		if r.isIncludedInPeerSync(e, s) {
			r.enqueueUpdate(p, e.record.ID, true)
		}
	}
}

// isIncludedInPeerSync reports whether a backend is part of the sync of a peer that does not follow this node.
func (r *Registry) isIncludedInPeerSync(e *entry, receiver Slot) bool {
	if r.hasLiveDisk && !r.local.HasDisk {
		return e.phase() != Gone && e.departureState() > notDeparting
	}
	owner := e.record.Owner
	return owner == r.localSlot || owner == receiver || e.departureState() > notDeparting ||
		r.isUnreachable(owner) && r.ownerFor(e, receiver).Slot == r.localSlot
}

// enqueueSync queues a follower for a sync of the backends of its zone, ahead of all full syncs, and for a full sync. If
// at least half of the backends are in its zone, the zone sync saves nothing and is omitted.
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

// startSyncs starts queued syncs while fewer than maxFullSyncs are running. After the loss of all nodes, every follower
// needs a full sync at the same time. If all followers were synced together, each follower would receive its records so
// late that the follower would time out and request all records from another node.
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
		r.addActivePeer(p)
		p.syncing, p.fullSyncNext = true, p.fullSyncNext || !request.zoneOnly
		for _, e := range r.sorted {
			if r.isIncludedInFollowerSync(e) && (!request.zoneOnly || e.record.Zone == p.node.Zone) {
				r.enqueueUpdate(p, e.record.ID, true)
			}
		}
	}
}

// isIncludedInFollowerSync reports whether a backend is part of the sync of a follower. Backends that are not gone are part of
// it, and so are backends that departed less than departureRetention ago.
func (r *Registry) isIncludedInFollowerSync(e *entry) bool {
	return e.phase() != Gone || e.departureState() > notDeparting && r.now-e.goneAt < departureRetention
}

// trackReceivedFullSync records the start of a full sync that another node sends to this node. Each further update of the
// sync postpones the time of reportMissingBackends.
func (r *Registry) trackReceivedFullSync(from Slot, m *Message) {
	if m.FullSync {
		r.syncSource, r.syncStartedAt, r.reportMissingAt = from, r.now, r.now+fullSyncGrace
	}
	if from == r.syncSource && len(m.Updates) > 0 && r.reportMissingAt != never {
		r.reportMissingAt = max(r.reportMissingAt, min(r.now+fullSyncGrace, r.syncStartedAt+fullSyncTimeout))
	}
}

// reportMissingBackends sends the upstream the records of the backends that its full sync left out. It does nothing before
// the sync has ended. The upstream either adopts such a record or answers that the backend is gone.
func (r *Registry) reportMissingBackends() {
	if r.now < r.reportMissingAt {
		return
	}
	r.reportMissingAt = never
	p := r.peers[r.syncSource]
	if p == nil || !r.sendsUpdatesTo(p) {
		return
	}
	for _, e := range r.sorted {
		if e.phase() != Gone && e.syncedAt < r.syncStartedAt {
			r.enqueueUpdate(p, e.record.ID, false)
		}
	}
}
