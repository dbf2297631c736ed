package registry

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	missedHeartbeats          = 3  // without a sign for so long, a backend is gone
	ownerGraceHalfIntervals   = 5  // half beats that a missing registrar is waited for
	takeoverHoldoffHeartbeats = 20 // how long a contested backend is left to the other registrar
	scanInterval              = tickInterval
	batchDelay                = 50 * time.Millisecond  // small news wait so long for roster
	resendTimeout             = 300 * time.Millisecond // for a confirmation
	maxResends                = 6                      // times, over 14 s
	maxResendDoublings        = 4
	maxFullSyncs              = 16          // nodes that are told all there is at a time
	probeInterval             = time.Second // between two questions to a node that confirmed nothing
	maxUpdatesPerMessage      = 64          // in one message
	maxInFlight               = 4           // messages on their way to one node
	allCopiesTimeout          = 500 * time.Millisecond
	minCopiesTimeout          = 800 * time.Millisecond
	callTimeout               = 950 * time.Millisecond // the backend has turned to the next node
	maxPendingAcks            = 256
	departureRetention        = 10 * time.Second // who follows anew is told of backends that left so long ago: it may have been away
)

// SetNodes tells all nodes that are known, this one too. One that is no longer live or named is lost: what it
// kept goes to the next after a grace. One that lives again is greeted.
func (r *Registry) SetNodes(nodes []Node) {
	r.hasNodes = true
	named := map[Slot]bool{}
	r.ownerCandidates, r.knownCount, r.liveCount, r.hasLiveDisk, r.hasKnownDisk = r.ownerCandidates[:0], 0, 0, false, false
	r.local = Node{Slot: r.localSlot}
	var back []Slot
	var adrift []string
	for _, d := range nodes {
		if d.Slot == r.localSlot {
			d.Live = true
			r.local = d
		} else if d.Slot >= 0 {
			named[d.Slot] = true
			r.knownCount++
			p := r.peerAt(d.Slot)
			switch {
			case d.Live && (!p.node.Live || d.HasDisk && !p.node.HasDisk || d.Follows && !p.node.Follows):
				back = append(back, d.Slot)
			case !d.Live && p.node.Live || p.node.Follows && !d.Follows:
				if p.node.HasDisk {
					adrift = append(adrift, r.unconfirmedDepartures(p)...)
				}
				r.resetPeer(p)
			}
			p.node = d
			if d.Live {
				r.liveCount++
			}
		} else {
			continue
		}
		r.hasKnownDisk = r.hasKnownDisk || d.HasDisk
		if d.Live {
			r.hasLiveDisk = r.hasLiveDisk || d.HasDisk
			if d.ControlAddr != "" {
				r.ownerCandidates = append(r.ownerCandidates, d)
			}
		}
	}
	slices.SortFunc(r.ownerCandidates, func(x, y Node) int { return int(x.Slot - y.Slot) })
	if slices.ContainsFunc(r.ownerCandidates, func(d Node) bool { return d.HasDisk }) { // else whoever lives keeps
		r.ownerCandidates = slices.DeleteFunc(r.ownerCandidates, func(d Node) bool { return !d.HasDisk })
	}
	for s, p := range r.peers {
		if !named[s] {
			r.resetPeer(p)
			delete(r.peers, s)
			r.activePeers = slices.DeleteFunc(r.activePeers, func(x Slot) bool { return x == s })
		}
	}
	r.peerSlots = slices.DeleteFunc(r.peerSlots, func(s Slot) bool { return !named[s] })
	for _, s := range back {
		r.SyncPeer(s)
	}
	r.rebroadcastDepartures(adrift)
	r.answerDecided()
}

// SetFollower tells that a node follows this one, or does no longer: what Nodes would tell of it, without looking at all the others.
func (r *Registry) SetFollower(s Slot, on bool) {
	p := r.peers[s]
	if p == nil || p.node.Follows == on {
		return
	}
	if !on {
		r.resetPeer(p)
	}
	p.node.Follows = on
	if on && p.node.Live {
		r.SyncPeer(s)
	}
	r.answerDecided()
}

// unreachable tells that a node is not heard.
func (r *Registry) unreachable(s Slot) bool {
	if s == r.localSlot {
		return false
	}
	p := r.peers[s]
	return p == nil || !p.node.Live
}

// ownerFor names the registrar of a backend over the live nodes but one; None where there is no node for it.
func (r *Registry) ownerFor(e *entry, but Slot) Node {
	h := fnv.New64a()
	h.Write([]byte(e.record.ID))
	key := h.Sum64()
	best, found, near, top := Node{Slot: NoSlot}, false, false, uint64(0)
	for _, d := range r.ownerCandidates {
		if d.Slot == but {
			continue
		}
		n := d.Zone == e.record.Zone
		w := mix64(key ^ mix64(uint64(d.Slot)+1))
		if !found || n && !near || n == near && w > top {
			best, found, near, top = d, true, n, w
		}
	}
	return best
}

// mix64 spreads the bits of a number (the end of splitmix64).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// handleHeartbeat takes a beat that came to this node itself, or was passed on by another.
func (r *Registry) handleHeartbeat(e *entry, w Record, direct bool) {
	before, level := e.record, e.departure()
	revived := r.merge(e, w)
	ends := e.departure() > level // whoever passed it on may have told nobody else
	if e.record.Seq > before.Seq {
		e.lastHeartbeatAt, e.directHeartbeat = r.now, direct
	} else if e.record.Owner != NoSlot && !direct && !ends {
		return // a late one
	}
	to := r.ownerFor(e, NoSlot)
	claimed := false
	if to.Slot == r.localSlot && e.record.Owner != r.localSlot && e.phase() != Gone {
		r.takeOwnership(e, NoSlot)
		claimed = true
	}
	news := claimed || revived || recordChanged(before, e.record)
	mine := to.Slot == r.localSlot || e.record.Owner == r.localSlot
	if news && mine || ends {
		r.broadcast(e, ends || revived)
	}
	if !direct || e.record.Left {
		return
	}
	if to.Slot != NoSlot && to.Slot != r.localSlot {
		r.relayHeartbeat(e, to.Slot)
	}
	// The registrar that is known may not know yet that it is no longer the one: it must not see silence.
	if k := e.record.Owner; k != to.Slot && k != r.localSlot && !r.unreachable(k) {
		r.relayHeartbeat(e, k)
	}
}

// recordChanged tells whether what travels has changed, ends aside.
func recordChanged(x, y Record) bool {
	return x.Service != y.Service || x.Addr != y.Addr || x.Zone != y.Zone || x.Generation != y.Generation ||
		x.Capacity != y.Capacity || x.FencingToken != y.FencingToken || x.Owner != y.Owner
}

// takeOwnership makes this node the registrar, under the next fence.
func (r *Registry) takeOwnership(e *entry, missed Slot) {
	r.setOwner(e, r.localSlot, missed)
	e.record.FencingToken++
	e.timedOut = false
	r.enqueueAddrChanges(e)
}

// scan goes over all backends: silence of those kept here, and those whose registrar is missing.
func (r *Registry) scan() {
	r.nextScanAt = r.now + scanInterval
	r.reportMissing()
	silent := missedHeartbeats * r.config.HeartbeatInterval
	grace := ownerGraceHalfIntervals * r.config.HeartbeatInterval / 2
	old := false
	for _, e := range r.sorted {
		if e.phase() == Gone {
			old = old || r.now-e.goneAt >= tombstoneTTL
			if e.suspected && r.now-e.ownerSince >= r.config.HeartbeatInterval {
				r.reportSuspicion(e)
			}
			continue
		}
		if e.record.Owner == r.localSlot {
			// A node that hears few others judges only those that last beat here: the rest may beat
			// elsewhere.
			judge := e.directHeartbeat || r.reachesMajority()
			if r.displaced(e) || judge && r.now-max(e.lastSeenAt, r.timeoutFloor) >= silent {
				r.expire(e)
				r.broadcast(e, true)
			}
			continue
		}
		if !r.unreachable(e.record.Owner) || !r.reachesMajority() || r.now < e.noTakeoverUntil {
			continue
		}
		since := max(e.ownerSince, r.timeoutFloor)
		if p := r.peers[e.record.Owner]; p != nil {
			since = max(since, p.lostAt)
		}
		if r.now-since < grace {
			continue
		}
		if to := r.ownerFor(e, NoSlot).Slot; to == r.localSlot {
			r.takeOwnership(e, e.record.Owner)
			r.broadcast(e, false)
		} else if p := r.peers[to]; p != nil && r.now-since >= grace+r.config.HeartbeatInterval {
			// The one whose turn it is may never have heard of it.
			r.enqueueUpdate(p, e.record.ID, false)
			e.ownerSince = r.now
		}
	}
	if old || r.goneCount > maxTombstones || len(r.entries) >= maxBackends {
		r.pruneTombstones()
	}
}

// reachesMajority tells whether this node hears more than half of all, itself among them.
func (r *Registry) reachesMajority() bool { return 2*(r.liveCount+1) > r.knownCount+1 }
