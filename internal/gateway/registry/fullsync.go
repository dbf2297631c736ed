package registry

import "slices"

// syncRequest is a follower's wait to be told what there is: first the backends of its own zone, with which it can serve, then all.
type syncRequest struct {
	target   Slot
	zoneOnly bool
}

// enqueueSync has a follower wait for both, its zone's backends before anybody's whole registry. Where most backends are in its zone there
// is nothing to be gained by it.
func (r *Registry) enqueueSync(p *peer) {
	near, there := 0, 0
	for _, e := range r.sorted {
		if e.phase() != Gone {
			there++
			if e.record.Zone == p.node.Zone {
				near++
			}
		}
	}
	if near > 0 && 2*near < there {
		at := slices.IndexFunc(r.syncQueue, func(t syncRequest) bool { return !t.zoneOnly })
		if at < 0 {
			at = len(r.syncQueue)
		}
		r.syncQueue = slices.Insert(r.syncQueue, at, syncRequest{p.node.Slot, true})
	}
	r.syncQueue = append(r.syncQueue, syncRequest{p.node.Slot, false})
}

// startSyncs begins to tell what there is to those who follow and wait for it, a few at a time: after the loss of all nodes everybody
// asks at once, and what all are told together comes so late to each that they give up and ask another node, for all of it again.
func (r *Registry) startSyncs() {
	if len(r.syncQueue) == 0 {
		return
	}
	under := 0
	for _, s := range r.peerSlots {
		p := r.peers[s]
		if p.syncing && len(p.pendingIDs)+len(p.inFlight) == 0 && !p.fullSyncNext {
			p.syncing = false
		}
		if p.syncing {
			under++
		}
	}
	for ; under < maxFullSyncs && len(r.syncQueue) > 0; under++ {
		t := r.syncQueue[0]
		r.syncQueue = r.syncQueue[1:]
		p := r.peers[t.target]
		r.activate(p)
		p.syncing, p.fullSyncNext = true, p.fullSyncNext || !t.zoneOnly
		for _, e := range r.sorted {
			if r.relevantToFollower(e) && (!t.zoneOnly || e.record.Zone == p.node.Zone) {
				r.enqueueUpdate(p, e.record.ID, true)
			}
		}
	}
}

// relevantToFollower holds for backends that are there, and for those whose end may still be news to a follower.
func (r *Registry) relevantToFollower(e *entry) bool {
	return e.phase() != Gone || e.departure() > notDeparting && r.now-e.goneAt < departureRetention
}
