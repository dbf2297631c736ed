package membership

import (
	"slices"
	"strings"
	"time"
)

// Heartbeats. Each node tells a few watchers that it lives: nodes with a disk, the first ones after its place on a ring. These
// tell each other whom they hear, and all who follow them who lives. So a fleet of n nodes sends a few heartbeats a node and not
// n, and all nodes go by the same word. What comes from a node itself, whatever it is, counts as well.

// maxWatchers is how many watchers a node has: one may be lost and one cut off while the third still hears it.
const maxWatchers = 3

// livenessReport is what another node with a disk last told.
type livenessReport struct {
	slots      []byte
	receivedAt time.Duration
}

// The figures of FNV-1a.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// ringPosition is where a node stands on the ring (FNV-1a, its bits spread: addresses differ in their last digits alone).
func ringPosition(addr string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(addr) {
		h = (h ^ uint64(addr[i])) * fnvPrime
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// Watchers are the nodes to tell that this one lives. A node with a disk tells all others that have one; while none is known,
// or nobody has a slot, all that are known are told.
func (r *Roster) Watchers() (all []string) {
	for a, d := range r.peers {
		if d.introduced && d.Disk != 0 && (d.live || r.self.Disk != 0) {
			all = append(all, a)
		}
	}
	slices.Sort(all)
	if len(all) == 0 || len(r.slotHolders) == 0 { // the core is not there yet
		all = r.Addrs()
		return slices.DeleteFunc(all, func(a string) bool { return !r.peers[a].linkWanted })
	}
	if r.self.Disk != 0 || len(all) <= maxWatchers {
		return all
	}
	me := ringPosition(r.self.Addr)
	slices.SortFunc(all, func(a, b string) int {
		if x, y := ringPosition(a)-me, ringPosition(b)-me; x != y { // the way round the ring
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return all[:maxWatchers]
}

// Prefers tells which of two nodes, a or not, the one at an address turns to where both are as good: each node has an order of its own.
func Prefers(from, a, b string) bool {
	x, y := ringPosition(from+" "+a), ringPosition(from+" "+b)
	return x < y || x == y && a < b
}

func hasSlot(set []byte, s Slot) bool { return s >= 0 && int(s)/8 < len(set) && set[s/8]>>(s%8)&1 == 1 }

func (r *Roster) slotSet(in func(addr string) bool) []byte {
	set := make([]byte, (len(r.slotHolders)+7)/8)
	for i, s := range r.slotHolders {
		if in(s.Addr) {
			set[i/8] |= 1 << (i % 8)
		}
	}
	return set
}

// reachable tells whether anything came from a node of late.
func (r *Roster) reachable(addr string) bool {
	d := r.peers[addr]
	return addr == r.self.Addr || d != nil && d.introduced && r.now-d.receivedAt < livenessTimeout
}

// ReachableSlots are the slots that this node hears itself, a bit each: what nodes with a disk tell each other. It holds no hearsay,
// else two nodes could keep a dead one alive between them.
func (r *Roster) ReachableSlots() []byte { return r.slotSet(r.reachable) }

// LiveSlots are the slots of the live nodes, a bit each: what nodes with a disk tell those who follow them.
func (r *Roster) LiveSlots() []byte {
	return r.slotSet(func(addr string) bool { return r.reachable(addr) || r.reportedLive(r.Slot(addr)) })
}

// HandleLiveness takes the slots that another node hears, or that live where this one has no disk and follows it.
func (r *Roster) HandleLiveness(from string, slots []byte) {
	if r.self.Disk == 0 {
		clear(r.livenessReports) // one word at a time: that of the node that is followed
	}
	r.livenessReports[from] = livenessReport{slots, r.now}
	r.refresh()
}

// reportedLive tells whether a node that is heard hears a slot.
func (r *Roster) reportedLive(s Slot) bool {
	for from, o := range r.livenessReports {
		if hasSlot(o.slots, s) && r.now-o.receivedAt < livenessTimeout && r.reachable(from) {
			return true
		}
	}
	return false
}

// LinkReport tells how a node's links are: what its operators ask first when it hears fewer nodes than others do.
type LinkReport struct {
	Wanted, Connected int
	WithoutHello      []string // addresses of nodes whose link is up, and which have said no hello, in order
}

// Links reports on this node's links. A node without a disk goes by those that it has met alone: one that it has not can't feed it.
func (r *Roster) Links() (linkReport LinkReport) {
	for _, addr := range r.Addrs() {
		p := r.peers[addr]
		if !p.linkWanted {
			continue
		}
		linkReport.Wanted++
		if !p.linkUp {
			continue
		}
		linkReport.Connected++
		if !p.introduced {
			linkReport.WithoutHello = append(linkReport.WithoutHello, addr)
		}
	}
	return linkReport
}
