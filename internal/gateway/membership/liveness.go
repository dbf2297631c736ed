package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// livenessTimeout is how long a node counts as reachable after its last frame. The time covers three heartbeat intervals of
	// 700 ms (package node) and 100 ms of transit.
	livenessTimeout = 2200 * time.Millisecond
	// stallThreshold is the step of the clock above which this process is assumed to have been stalled.
	stallThreshold = time.Second
	// forgetAfter is the time after a node's last frame at which the node is forgotten, unless it is a seed or has a slot.
	forgetAfter = 90 * time.Second
	// refreshInterval is the maximum time between two evaluations of liveness, links and hellos.
	refreshInterval = 200 * time.Millisecond
	// maxHeartbeatTargets is the maximum number of nodes to which a node without a disk sends heartbeats. If one of these three nodes
	// is lost and another of the three is partitioned, the third still receives the heartbeats.
	maxHeartbeatTargets = 3
)

// livenessReport is the last report from another node. Its bit set contains either the slots that the sender reaches itself (see
// ReachableSlots) or the slots that the sender considers live (see LiveSlots).
type livenessReport struct {
	slots      []byte
	receivedAt time.Duration
}

// ringPosition returns the position of an address on the hash ring. The position is an FNV-1a hash whose bits are mixed further,
// because addresses often differ only in their last digits.
func ringPosition(addr string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(addr) {
		hash = (hash ^ uint64(addr[i])) * fnvPrime
	}
	hash ^= hash >> 32
	hash *= 0x9e3779b97f4a7c15
	return hash ^ hash>>29
}

// HeartbeatTargets returns the addresses to which this node sends heartbeats. A node with a disk sends heartbeats to all other nodes
// with a disk. A node without a disk sends them to at most maxHeartbeatTargets live nodes with a disk. If there is no such node, or
// if no node has a slot, each node sends heartbeats over all its links.
func (r *Roster) HeartbeatTargets() (addrs []string) {
	for addr, p := range r.peers {
		if p.helloReceived && p.Disk != 0 && (p.live || r.self.Disk != 0) {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	if len(addrs) == 0 || len(r.slotHolders) == 0 {
		addrs = r.Addrs()
		return slices.DeleteFunc(addrs, func(addr string) bool { return !r.peers[addr].linkWanted })
	}
	if r.self.Disk != 0 || len(addrs) <= maxHeartbeatTargets {
		return addrs
	}
	self := ringPosition(r.self.Addr)
	slices.SortFunc(addrs, func(a, b string) int {
		// x and y are clockwise distances from this node. The subtraction wraps around the ring.
		if x, y := ringPosition(a)-self, ringPosition(b)-self; x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return addrs[:maxHeartbeatTargets]
}

// Prefers reports whether the node at fromAddr prefers the node at addrA to the node at addrB as its upstream. The upstream of a node
// without a disk is the node with a disk whose log stream it applies. The preference decides only between nodes that are equally
// suitable. Each node has its own order of preference, so that the nodes do not all choose the same upstream.
func Prefers(fromAddr, addrA, addrB string) bool {
	x, y := ringPosition(fromAddr+" "+addrA), ringPosition(fromAddr+" "+addrB)
	return x < y || x == y && addrA < addrB
}

// containsSlot reports whether a bit set of slots contains a slot.
func containsSlot(set []byte, s Slot) bool {
	return s >= 0 && int(s)/8 < len(set) && set[s/8]>>(s%8)&1 == 1
}

// slotSet returns a bit set of slots. It contains the slot of each holder for whose address include returns true.
func (r *Roster) slotSet(include func(addr string) bool) []byte {
	set := make([]byte, (len(r.slotHolders)+7)/8)
	for i, holder := range r.slotHolders {
		if include(holder.Addr) {
			set[i/8] |= 1 << (i % 8)
		}
	}
	return set
}

// isReachable reports whether any frame came from a node within livenessTimeout. It is always true for this node, and false for a
// node that has sent no hello.
func (r *Roster) isReachable(addr string) bool {
	p := r.peers[addr]
	return addr == r.self.Addr || p != nil && p.helloReceived && r.now-p.receivedAt < livenessTimeout
}

// ReachableSlots returns the bit set of the slots whose holders this node reaches itself. Nodes with a disk report this set to each
// other. The set includes nothing that other nodes reported. If it did, two nodes could repeat each other's reports and count a dead
// node as live forever.
func (r *Roster) ReachableSlots() []byte { return r.slotSet(r.isReachable) }

// LiveSlots returns the bit set of the slots of live nodes. Nodes with a disk report this set to the nodes that follow them.
func (r *Roster) LiveSlots() []byte {
	return r.slotSet(func(addr string) bool { return r.isReachable(addr) || r.isReportedLive(r.Slot(addr)) })
}

// HandleLiveness stores the liveness report of another node. The report holds the sender's ReachableSlots, or its LiveSlots if
// this node follows the sender. A node without a disk keeps only the newest report.
func (r *Roster) HandleLiveness(from string, slots []byte) {
	if r.self.Disk == 0 {
		clear(r.livenessReports)
	}
	r.livenessReports[from] = livenessReport{slots, r.now}
	r.refresh()
}

// isReportedLive reports whether a node that is reachable has sent, within livenessTimeout, a report that contains a slot.
func (r *Roster) isReportedLive(s Slot) bool {
	for from, report := range r.livenessReports {
		if containsSlot(report.slots, s) && r.now-report.receivedAt < livenessTimeout && r.isReachable(from) {
			return true
		}
	}
	return false
}

// FrameReceived records that a frame of any kind came from a node.
func (r *Roster) FrameReceived(addr string) {
	if p := r.findOrAddPeer(addr); p != nil {
		p.receivedAt = r.now
		if !p.live {
			r.refresh()
		}
	}
}

// refresh re-evaluates which nodes are live, which links are wanted, which hellos to repeat, which nodes to forget, and whether
// to bootstrap the core.
func (r *Roster) refresh() {
	r.refreshedAt = r.now
	// Addrs is sorted, so the actions do not depend on the iteration order of a map.
	for _, addr := range r.Addrs() {
		p := r.peers[addr]
		connected := !p.linkWanted || p.linkUp && p.helloReceived
		if live := connected && (r.isReachable(addr) || r.isReportedLive(r.Slot(addr))); live != p.live {
			p.live, r.liveNodesChanged = live, true
		}
		r.updateLink(addr, p)
		r.repeatHelloIfNeeded(addr, p)
		if r.Slot(addr) == NoSlot && !slices.Contains(r.seeds, addr) && r.now-max(p.receivedAt, p.discoveredAt) > forgetAfter {
			r.forgetPeer(addr, p)
		}
	}
	r.bootstrapIfNeeded()
}

// forgetPeer removes a peer and asks the host to close the link to it.
func (r *Roster) forgetPeer(addr string, p *peer) {
	delete(r.peers, addr)
	if p.linkWanted {
		r.addAction(Action{Kind: Disconnect, Addr: addr})
	}
}

// IsLive reports whether a node is live, as defined in the package comment. This node is always live.
func (r *Roster) IsLive(addr string) bool {
	p := r.peers[addr]
	return addr == r.self.Addr || p != nil && p.live
}

// LiveDiskNodes returns the live nodes with a disk. This node comes first if it has a disk, and the others follow, sorted by
// address.
func (r *Roster) LiveDiskNodes() (nodes []Node) {
	if r.self.Disk != 0 {
		nodes = append(nodes, r.self)
	}
	for _, addr := range r.Addrs() {
		if p := r.peers[addr]; p.live && p.Disk != 0 {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}
