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
func (b *Registry) SetNodes(nodes []Node) {
	b.hasNodes = true
	named := map[Slot]bool{}
	b.ownerCandidates, b.knownCount, b.liveCount, b.hasLiveDisk, b.hasKnownDisk = b.ownerCandidates[:0], 0, 0, false, false
	b.local = Node{Slot: b.localSlot}
	var back []Slot
	var adrift []string
	for _, d := range nodes {
		if d.Slot == b.localSlot {
			d.Live = true
			b.local = d
		} else if d.Slot >= 0 {
			named[d.Slot] = true
			b.knownCount++
			p := b.peerAt(d.Slot)
			switch {
			case d.Live && (!p.node.Live || d.HasDisk && !p.node.HasDisk || d.Follows && !p.node.Follows):
				back = append(back, d.Slot)
			case !d.Live && p.node.Live || p.node.Follows && !d.Follows:
				if p.node.HasDisk {
					adrift = append(adrift, b.unconfirmedDepartures(p)...)
				}
				b.resetPeer(p)
			}
			p.node = d
			if d.Live {
				b.liveCount++
			}
		} else {
			continue
		}
		b.hasKnownDisk = b.hasKnownDisk || d.HasDisk
		if d.Live {
			b.hasLiveDisk = b.hasLiveDisk || d.HasDisk
			if d.ControlAddr != "" {
				b.ownerCandidates = append(b.ownerCandidates, d)
			}
		}
	}
	slices.SortFunc(b.ownerCandidates, func(x, y Node) int { return int(x.Slot - y.Slot) })
	if slices.ContainsFunc(b.ownerCandidates, func(d Node) bool { return d.HasDisk }) { // else whoever lives keeps
		b.ownerCandidates = slices.DeleteFunc(b.ownerCandidates, func(d Node) bool { return !d.HasDisk })
	}
	for s, p := range b.peers {
		if !named[s] {
			b.resetPeer(p)
			delete(b.peers, s)
			b.activePeers = slices.DeleteFunc(b.activePeers, func(x Slot) bool { return x == s })
		}
	}
	b.peerSlots = slices.DeleteFunc(b.peerSlots, func(s Slot) bool { return !named[s] })
	for _, s := range back {
		b.SyncPeer(s)
	}
	b.rebroadcastDepartures(adrift)
	b.answerDecided()
}

// SetFollower tells that a node follows this one, or does no longer: what Nodes would tell of it, without looking at all the others.
func (b *Registry) SetFollower(s Slot, on bool) {
	p := b.peers[s]
	if p == nil || p.node.Follows == on {
		return
	}
	if !on {
		b.resetPeer(p)
	}
	p.node.Follows = on
	if on && p.node.Live {
		b.SyncPeer(s)
	}
	b.answerDecided()
}

// unreachable tells that a node is not heard.
func (b *Registry) unreachable(s Slot) bool {
	if s == b.localSlot {
		return false
	}
	p := b.peers[s]
	return p == nil || !p.node.Live
}

// ownerFor names the registrar of a backend over the live nodes but one; None where there is no node for it.
func (b *Registry) ownerFor(e *entry, but Slot) Node {
	h := fnv.New64a()
	h.Write([]byte(e.record.ID))
	key := h.Sum64()
	best, found, near, top := Node{Slot: NoSlot}, false, false, uint64(0)
	for _, d := range b.ownerCandidates {
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
func (b *Registry) handleHeartbeat(e *entry, w Record, direct bool) {
	before, level := e.record, e.departure()
	revived := b.merge(e, w)
	ends := e.departure() > level // whoever passed it on may have told nobody else
	if e.record.Seq > before.Seq {
		e.lastHeartbeatAt, e.directHeartbeat = b.now, direct
	} else if e.record.Keeper != NoSlot && !direct && !ends {
		return // a late one
	}
	to := b.ownerFor(e, NoSlot)
	claimed := false
	if to.Slot == b.localSlot && e.record.Keeper != b.localSlot && e.phase() != Gone {
		b.takeOwnership(e, NoSlot)
		claimed = true
	}
	news := claimed || revived || recordChanged(before, e.record)
	mine := to.Slot == b.localSlot || e.record.Keeper == b.localSlot
	if news && mine || ends {
		b.broadcast(e, ends || revived)
	}
	if !direct || e.record.Final {
		return
	}
	if to.Slot != NoSlot && to.Slot != b.localSlot {
		b.relayHeartbeat(e, to.Slot)
	}
	// The registrar that is known may not know yet that it is no longer the one: it must not see silence.
	if k := e.record.Keeper; k != to.Slot && k != b.localSlot && !b.unreachable(k) {
		b.relayHeartbeat(e, k)
	}
}

// recordChanged tells whether what travels has changed, ends aside.
func recordChanged(x, y Record) bool {
	return x.Service != y.Service || x.Addr != y.Addr || x.Zone != y.Zone || x.Generation != y.Generation ||
		x.Capacity != y.Capacity || x.Fence != y.Fence || x.Keeper != y.Keeper
}

// takeOwnership makes this node the registrar, under the next fence.
func (b *Registry) takeOwnership(e *entry, missed Slot) {
	b.setOwner(e, b.localSlot, missed)
	e.record.Fence++
	e.timedOut = false
	b.enqueueAddrChanges(e)
}

// scan goes over all backends: silence of those kept here, and those whose registrar is missing.
func (b *Registry) scan() {
	b.nextScanAt = b.now + scanInterval
	b.reportMissing()
	silent := missedHeartbeats * b.config.HeartbeatInterval
	grace := ownerGraceHalfIntervals * b.config.HeartbeatInterval / 2
	old := false
	for _, e := range b.sorted {
		if e.phase() == Gone {
			old = old || b.now-e.goneAt >= tombstoneTTL
			if e.suspected && b.now-e.ownerSince >= b.config.HeartbeatInterval {
				b.reportSuspicion(e)
			}
			continue
		}
		if e.record.Keeper == b.localSlot {
			// A node that hears few others judges only those that last beat here: the rest may beat
			// elsewhere.
			judge := e.directHeartbeat || b.reachesMajority()
			if b.displaced(e) || judge && b.now-max(e.lastSeenAt, b.timeoutFloor) >= silent {
				b.expire(e)
				b.broadcast(e, true)
			}
			continue
		}
		if !b.unreachable(e.record.Keeper) || !b.reachesMajority() || b.now < e.noTakeoverUntil {
			continue
		}
		since := max(e.ownerSince, b.timeoutFloor)
		if p := b.peers[e.record.Keeper]; p != nil {
			since = max(since, p.lostAt)
		}
		if b.now-since < grace {
			continue
		}
		if to := b.ownerFor(e, NoSlot).Slot; to == b.localSlot {
			b.takeOwnership(e, e.record.Keeper)
			b.broadcast(e, false)
		} else if p := b.peers[to]; p != nil && b.now-since >= grace+b.config.HeartbeatInterval {
			// The one whose turn it is may never have heard of it.
			b.enqueueUpdate(p, e.record.ID, false)
			e.ownerSince = b.now
		}
	}
	if old || b.goneCount > maxTombstones || len(b.entries) >= maxBackends {
		b.pruneTombstones()
	}
}

// reachesMajority tells whether this node hears more than half of all, itself among them.
func (b *Registry) reachesMajority() bool { return 2*(b.liveCount+1) > b.knownCount+1 }
