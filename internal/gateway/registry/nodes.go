package registry

import "slices"

// Node is a node that is known, this one too, live or not.
type Node struct {
	Slot        Slot
	ControlAddr string // where it takes heartbeats; "": it can own no backends
	Zone        string // its own backends are of this zone, where a node lives there
	Live        bool   // of the local node it does not matter
	HasDisk     bool   // it can be the copy of a departure, and owns backends before those without one
	Follows     bool   // it takes its updates from this node
}

// SetNodes gives all nodes that are known, the local one too. A peer that is no longer live or given is lost: its backends go
// to others after a grace. One that is live anew is synced.
func (r *Registry) SetNodes(nodes []Node) {
	r.hasNodes = true
	r.local = Node{Slot: r.localSlot}
	r.ownerCandidates, r.knownCount, r.liveCount, r.hasLiveDisk, r.hasKnownDisk = r.ownerCandidates[:0], 0, 0, false, false
	given := map[Slot]bool{}
	var toSync []Slot
	var undelivered []string // departures that a lost node with a disk may not have had
	for _, n := range nodes {
		if n.Slot < 0 {
			continue
		}
		if n.Slot == r.localSlot {
			n.Live = true
			r.local = n
		} else {
			given[n.Slot] = true
			needsSync, departures := r.updatePeer(n)
			if needsSync {
				toSync = append(toSync, n.Slot)
			}
			undelivered = append(undelivered, departures...)
		}
		r.countNode(n)
	}
	r.preferDiskOwners()
	r.dropPeersBut(given)
	for _, s := range toSync {
		r.SyncPeer(s)
	}
	r.rebroadcastDepartures(undelivered)
	r.answerDecided()
}

// updatePeer takes what is known of another node. It tells whether the node is to be synced, as it is live or follows anew; and
// which departures it may not have had, if it is lost.
func (r *Registry) updatePeer(n Node) (needsSync bool, undelivered []string) {
	p := r.peerAt(n.Slot)
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

// countNode takes a node among those that may own backends, if it can.
func (r *Registry) countNode(n Node) {
	r.hasKnownDisk = r.hasKnownDisk || n.HasDisk
	if !n.Live {
		return
	}
	r.hasLiveDisk = r.hasLiveDisk || n.HasDisk
	if n.ControlAddr != "" {
		r.ownerCandidates = append(r.ownerCandidates, n)
	}
}

// preferDiskOwners leaves ownership to the nodes with a disk, as long as one of them lives.
func (r *Registry) preferDiskOwners() {
	slices.SortFunc(r.ownerCandidates, func(x, y Node) int { return int(x.Slot - y.Slot) })
	if slices.ContainsFunc(r.ownerCandidates, func(n Node) bool { return n.HasDisk }) {
		r.ownerCandidates = slices.DeleteFunc(r.ownerCandidates, func(n Node) bool { return !n.HasDisk })
	}
}

// dropPeersBut forgets the nodes that are not among those given.
func (r *Registry) dropPeersBut(given map[Slot]bool) {
	for s, p := range r.peers {
		if !given[s] {
			r.resetPeer(p)
			delete(r.peers, s)
			r.activePeers = slices.DeleteFunc(r.activePeers, func(x Slot) bool { return x == s })
		}
	}
	r.peerSlots = slices.DeleteFunc(r.peerSlots, func(s Slot) bool { return !given[s] })
}

// SetFollower notes that a node follows this one, or does no longer: what SetNodes would find, without a look at all the others.
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
	r.answerDecided()
}

// unreachable tells whether a node is another one that is not live.
func (r *Registry) unreachable(s Slot) bool {
	if s == r.localSlot {
		return false
	}
	p := r.peers[s]
	return p == nil || !p.node.Live
}

// reachesMajority tells whether this node and those that it reaches are more than half of all that are known.
func (r *Registry) reachesMajority() bool { return 2*(r.liveCount+1) > r.knownCount+1 }
