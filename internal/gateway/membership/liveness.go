package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// livenessTimeout is how long a node from which nothing comes is still taken for reachable: three heartbeats of 700 ms (package node) and
	// 100 ms for their way.
	livenessTimeout = 2200 * time.Millisecond
	// stallThreshold is the step of the clock above which this process stood still.
	stallThreshold = time.Second
	// forgetAfter is how long after it was last heard a node is dropped, unless it is a seed or has a slot.
	forgetAfter = 90 * time.Second
	// refreshInterval is how often liveness, links and hellos are worked out anew, if nothing happens before.
	refreshInterval = 200 * time.Millisecond
	// maxWatchers is how many watchers a node has: one may be lost and one partitioned while the third is still sent its heartbeats.
	maxWatchers = 3
)

// livenessReport is what another node with a disk last sent: slots that it reaches itself, or that are live by what it was sent, a bit each.
type livenessReport struct {
	slots      []byte
	receivedAt time.Duration
}

// ringPosition is where a node stands on the ring: FNV-1a, its bits spread, as addresses differ in their last digits alone.
func ringPosition(addr string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(addr) {
		hash = (hash ^ uint64(addr[i])) * fnvPrime
	}
	hash ^= hash >> 32
	hash *= 0x9e3779b97f4a7c15
	return hash ^ hash>>29
}

// HeartbeatTargets are the addresses to send heartbeats to. A node with a disk sends them to all others that have one; while none is known, or
// nobody has a slot, each node sends them over all its links.
func (r *Roster) HeartbeatTargets() (addrs []string) {
	for addr, p := range r.peers {
		if p.introduced && p.Disk != 0 && (p.live || r.self.Disk != 0) {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	if len(addrs) == 0 || len(r.slotHolders) == 0 {
		addrs = r.Addrs()
		return slices.DeleteFunc(addrs, func(addr string) bool { return !r.peers[addr].linkWanted })
	}
	if r.self.Disk != 0 || len(addrs) <= maxWatchers {
		return addrs
	}
	self := ringPosition(r.self.Addr)
	slices.SortFunc(addrs, func(a, b string) int {
		if x, y := ringPosition(a)-self, ringPosition(b)-self; x != y { // distances, once around the ring
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return addrs[:maxWatchers]
}

// Prefers tells which of two nodes the one at an address turns to where both are as good: a or not. Each node has an order of its own,
// so that they do not all turn to the same.
func Prefers(from, a, b string) bool {
	x, y := ringPosition(from+" "+a), ringPosition(from+" "+b)
	return x < y || x == y && a < b
}

func hasSlot(set []byte, s Slot) bool { return s >= 0 && int(s)/8 < len(set) && set[s/8]>>(s%8)&1 == 1 }

// slotSet has a bit for each slot whose holder is in.
func (r *Roster) slotSet(in func(addr string) bool) []byte {
	set := make([]byte, (len(r.slotHolders)+7)/8)
	for i, holder := range r.slotHolders {
		if in(holder.Addr) {
			set[i/8] |= 1 << (i % 8)
		}
	}
	return set
}

// reachable tells whether anything came from a node within livenessTimeout.
func (r *Roster) reachable(addr string) bool {
	p := r.peers[addr]
	return addr == r.self.Addr || p != nil && p.introduced && r.now-p.receivedAt < livenessTimeout
}

// ReachableSlots are the slots that this node reaches itself, a bit each: what nodes with a disk report to each other. It holds nothing
// that others reported, else two nodes could keep a dead one alive between them.
func (r *Roster) ReachableSlots() []byte { return r.slotSet(r.reachable) }

// LiveSlots are the slots of the live nodes, a bit each: what nodes with a disk report to their followers.
func (r *Roster) LiveSlots() []byte {
	return r.slotSet(func(addr string) bool { return r.reachable(addr) || r.reportedLive(r.Slot(addr)) })
}

// HandleLiveness takes the report of another node: its ReachableSlots, or its LiveSlots where this node follows it. A node without a
// disk goes by one report at a time.
func (r *Roster) HandleLiveness(from string, slots []byte) {
	if r.self.Disk == 0 {
		clear(r.livenessReports)
	}
	r.livenessReports[from] = livenessReport{slots, r.now}
	r.refresh()
}

// reportedLive tells whether a node that is reachable has reported a slot.
func (r *Roster) reportedLive(s Slot) bool {
	for from, report := range r.livenessReports {
		if hasSlot(report.slots, s) && r.now-report.receivedAt < livenessTimeout && r.reachable(from) {
			return true
		}
	}
	return false
}

// FrameReceived notes that anything came from a node.
func (r *Roster) FrameReceived(addr string) {
	if p := r.discover(addr); p != nil {
		p.receivedAt = r.now
		if !p.live {
			r.refresh()
		}
	}
}

// refresh works out who is live, which links are wanted, which hellos are to be repeated, who is forgotten, and whether the core is to be
// bootstrapped.
func (r *Roster) refresh() {
	r.refreshedAt = r.now
	for _, addr := range r.Addrs() { // in order: the actions must not go by a map's
		p := r.peers[addr]
		connected := !p.linkWanted || p.linkUp && p.introduced
		if live := connected && (r.reachable(addr) || r.reportedLive(r.Slot(addr))); live != p.live {
			p.live, r.changed = live, true
		}
		r.updateLink(addr, p)
		r.repeatHello(addr, p)
		if r.Slot(addr) == NoSlot && !slices.Contains(r.seeds, addr) && r.now-max(p.receivedAt, p.discoveredAt) > forgetAfter {
			r.forget(addr, p)
		}
	}
	r.bootstrap()
}

func (r *Roster) forget(addr string, p *peer) {
	delete(r.peers, addr)
	if p.linkWanted {
		r.push(Action{Kind: Disconnect, Addr: addr})
	}
}

// Live tells whether a node is live: see the package's comment.
func (r *Roster) Live(addr string) bool {
	p := r.peers[addr]
	return addr == r.self.Addr || p != nil && p.live
}

// LiveDiskNodes are the live nodes with a disk: this one first if it has one, the others in the order of their addresses.
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
