package registry

import "slices"

// Node describes a node that the local node knows, live or not. The description may be that of the local node itself.
type Node struct {
	Slot Slot // NoSlot if the node has none yet
	// Address at which the node receives heartbeats. A node with an empty address cannot own backends.
	ControlAddr string
	// Zone of the node. The node is preferred as owner of the backends of this zone.
	Zone string
	// True if the local node reaches this node. The value is ignored for the local node itself.
	Live bool
	// True if the node has a disk. Only copies of a departure at nodes with a disk count, and these nodes are preferred as
	// owners.
	HasDisk bool
	Follows bool // true if the node receives its updates from the local node
}

// SetNodes sets all known nodes, including the local node. A node without a slot receives no updates yet. A peer that is no longer live or no longer listed is lost, and
// other nodes take over its backends after a grace period. A peer that becomes live is synced.
func (r *Registry) SetNodes(nodes []Node) {
	r.hasNodes = true
	r.local = Node{Slot: r.localSlot}
	r.ownerCandidates, r.knownCount, r.liveCount = r.ownerCandidates[:0], 0, 0
	r.hasLiveDisk, r.hasKnownDisk, r.hasDiskWithoutSlot = false, false, false
	knownSlots := map[Slot]bool{}
	var toSync []Slot
	var undelivered []string // ids of the backends whose departure a lost node with a disk may not have received
	for _, n := range nodes {
		if n.Slot < 0 {
			r.hasDiskWithoutSlot = r.hasDiskWithoutSlot || n.HasDisk
			continue
		}
		if n.Slot == r.localSlot {
			n.Live = true
			r.local = n
		} else {
			knownSlots[n.Slot] = true
			needsSync, departures := r.updatePeer(n)
			if needsSync {
				toSync = append(toSync, n.Slot)
			}
			undelivered = append(undelivered, departures...)
		}
		r.addNodeToCounts(n)
	}
	r.preferDiskOwners()
	r.dropPeersExcept(knownSlots)
	for _, s := range toSync {
		r.SyncPeer(s)
	}
	r.rebroadcastDepartures(undelivered)
	r.answerDecidedCalls()
}

// updatePeer updates the state of another node. needsSync is true if the node must be synced, because it has become live,
// has acquired a disk or has begun to follow this node. If the node has a disk and is no longer live, undelivered lists the
// ids of the backends whose departure the node may not have received.
func (r *Registry) updatePeer(n Node) (needsSync bool, undelivered []string) {
	p := r.findOrCreatePeer(n.Slot)
	switch {
	case n.Live && (!p.node.Live || n.HasDisk && !p.node.HasDisk || n.Follows && !p.node.Follows):
		needsSync = true
	case !n.Live && p.node.Live || p.node.Follows && !n.Follows:
		if p.node.HasDisk {
			undelivered = r.unconfirmedDepartures(p)
		}
		r.resetPeer(p)
	}
	p.node = n
	r.knownCount++
	if n.Live {
		r.liveCount++
	}
	return needsSync, undelivered
}

// addNodeToCounts updates hasKnownDisk, hasLiveDisk and the owner candidates with a known node. Only a live node with a
// control address becomes an owner candidate.
func (r *Registry) addNodeToCounts(n Node) {
	r.hasKnownDisk = r.hasKnownDisk || n.HasDisk
	if !n.Live {
		return
	}
	r.hasLiveDisk = r.hasLiveDisk || n.HasDisk
	if n.ControlAddr != "" {
		r.ownerCandidates = append(r.ownerCandidates, n)
	}
}

// preferDiskOwners sorts the owner candidates by slot. If any candidate has a disk, the candidates without a disk are removed.
func (r *Registry) preferDiskOwners() {
	slices.SortFunc(r.ownerCandidates, func(x, y Node) int { return int(x.Slot - y.Slot) })
	if slices.ContainsFunc(r.ownerCandidates, func(n Node) bool { return n.HasDisk }) {
		r.ownerCandidates = slices.DeleteFunc(r.ownerCandidates, func(n Node) bool { return !n.HasDisk })
	}
}

// dropPeersExcept removes all peers whose slot is not in knownSlots.
func (r *Registry) dropPeersExcept(knownSlots map[Slot]bool) {
	for s, p := range r.peers {
		if !knownSlots[s] {
			r.resetPeer(p)
			delete(r.peers, s)
			r.activePeers = slices.DeleteFunc(r.activePeers, func(x Slot) bool { return x == s })
		}
	}
	r.peerSlots = slices.DeleteFunc(r.peerSlots, func(s Slot) bool { return !knownSlots[s] })
}

// SetFollower records whether a node follows this node. It has the same effect as SetNodes in which only this node changed,
// but does not process all other nodes.
func (r *Registry) SetFollower(s Slot, follows bool) {
	p := r.peers[s]
	if p == nil || p.node.Follows == follows {
		return
	}
	if !follows {
		r.resetPeer(p)
	}
	p.node.Follows = follows
	if follows && p.node.Live {
		r.SyncPeer(s)
	}
	r.answerDecidedCalls()
}

// isUnreachable reports whether the given node is another node that is unknown or not live.
func (r *Registry) isUnreachable(node Slot) bool {
	if node == r.localSlot {
		return false
	}
	p := r.peers[node]
	return p == nil || !p.node.Live
}

// reachesMajority reports whether this node and its live peers are more than half of all known nodes.
func (r *Registry) reachesMajority() bool { return 2*(r.liveCount+1) > r.knownCount+1 }
