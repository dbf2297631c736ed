package membership

import (
	"slices"
	"time"
)

// maxNodes bounds the other nodes that are known: as many as there may be slots.
const maxNodes = 1024

// Config binds a roster to its deployment. It is alike at all nodes.
type Config struct {
	Seeds           []string               // inner addresses, in the order of the settings; none: nobody bootstraps
	ToleratedLosses int                    // nodes with a disk that may be lost at once
	ClusterID       func([]Founder) uint64 // names the cluster of some founders; never 0
}

// Roster is one node's knowledge of all nodes. It is not safe for concurrent use.
type Roster struct {
	now, startedAt time.Duration // on the host's clock
	self           Node
	config         Config
	seeds          []string // as the settings name them by now

	peers           map[string]*peer // by address
	slots           map[string]Slot  // by address
	slotHolders     []SlotHolder     // by slot
	livenessReports map[string]livenessReport
	refreshedAt     time.Duration

	lastDiskAt      time.Duration            // when a node with a disk was last met for the first time
	founders        []Founder                // that this node chose; nil: none
	bootstrapSentAt map[string]time.Duration // to founders, by address

	actions []Action // due
	changed bool     // LiveNodesChanged is due
}

// peer is another node. Until it is introduced, its Node is an address and nothing else.
type peer struct {
	Node
	introduced   bool          // has sent a hello
	knowsCluster bool          // has met a node that holds a state of the core
	advertised   bool          // another node named its address
	linkWanted   bool          // this node keeps a link to it
	linkUp       bool          // and that is up
	receivedAt   time.Duration // when anything came from it
	discoveredAt time.Duration
	helloAt      time.Duration // when it last sent a hello
	hello        helloState
	live         bool
}

// New makes a roster that knows its seeds.
func New(self Node, config Config, now time.Duration) *Roster {
	r := &Roster{now: now, startedAt: now, self: self, config: config, peers: map[string]*peer{}, slots: map[string]Slot{},
		livenessReports: map[string]livenessReport{}, bootstrapSentAt: map[string]time.Duration{}, refreshedAt: now, lastDiskAt: now}
	r.SetSeeds(config.Seeds)
	return r
}

// Tick moves the clock. A step above stallThreshold means that this process stood still and what others sent lies unread: no time of
// it counts. Else this node would take all others for lost for a moment, and leave its upstream while the messages of that wait to be
// read.
func (r *Roster) Tick(now time.Duration) {
	if step := now - r.now; step > stallThreshold {
		r.lastDiskAt = now // others may have bootstrapped the core meanwhile: their hellos lie unread
		for _, p := range r.peers {
			p.receivedAt += step
		}
		for addr, report := range r.livenessReports {
			report.receivedAt += step
			r.livenessReports[addr] = report
		}
	}
	r.now = max(r.now, now)
}

// Next gives what is to be done. It is called after every input, and after Tick, until there is nothing more.
func (r *Roster) Next() (Action, bool) {
	if r.now-r.refreshedAt >= refreshInterval {
		r.refresh()
	}
	if len(r.actions) > 0 {
		a := r.actions[0]
		r.actions = r.actions[1:]
		return a, true
	}
	if r.changed {
		r.changed = false
		return Action{Kind: LiveNodesChanged}, true
	}
	return Action{}, false
}

func (r *Roster) push(a Action) { r.actions = append(r.actions, a) }

// Self is what this node says of itself.
func (r *Roster) Self() Node { return r.self }

// SetCluster says of which cluster this node's disk holds a state from now on; 0: of none.
func (r *Roster) SetCluster(disk DiskID, clusterID uint64) {
	if r.self.Disk != disk || r.self.ClusterID != clusterID {
		r.self.Disk, r.self.Bootstrapped, r.self.ClusterID = disk, clusterID != 0, clusterID
		r.helloAll()
	}
}

// AnnounceShutdown says that this node is shutting down.
func (r *Roster) AnnounceShutdown() {
	r.self.Leaving = true
	r.helloAll()
}

// SetSlots takes the slot holders as the core's log has them. They are not changed afterwards.
func (r *Roster) SetSlots(holders []SlotHolder) {
	r.slotHolders = holders
	clear(r.slots)
	for i, holder := range holders {
		r.slots[holder.Addr] = Slot(i)
		r.discover(holder.Addr)
	}
	r.changed = true
}

// Slot is that of an address, or NoSlot.
func (r *Roster) Slot(addr string) Slot {
	if s, ok := r.slots[addr]; ok {
		return s
	}
	return NoSlot
}

// SlotHolderAt is the node that has a slot, if any has.
func (r *Roster) SlotHolderAt(s Slot) (SlotHolder, bool) {
	if s < 0 || int(s) >= len(r.slotHolders) {
		return SlotHolder{}, false
	}
	return r.slotHolders[s], true
}

// SlotHolders are the nodes with a slot, by slot.
func (r *Roster) SlotHolders() []SlotHolder { return r.slotHolders }

// Node is what a node last said of itself, if it has.
func (r *Roster) Node(addr string) (Node, bool) {
	if addr == r.self.Addr {
		return r.self, true
	}
	p := r.peers[addr]
	if p == nil || !p.introduced {
		return Node{}, false
	}
	return p.Node, true
}

// Addrs are the addresses of the other nodes that are known, in order.
func (r *Roster) Addrs() []string {
	addrs := make([]string, 0, len(r.peers))
	for addr := range r.peers {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// discover finds or adds the node at an address; nil if that is this node's, empty, or new while maxNodes are known.
func (r *Roster) discover(addr string) *peer {
	p := r.peers[addr]
	if p != nil || addr == r.self.Addr || addr == "" || len(r.peers) >= maxNodes {
		return p
	}
	p = &peer{Node: Node{Addr: addr}, receivedAt: r.now - livenessTimeout, discoveredAt: r.now, helloAt: r.now - guestLinkTimeout}
	r.peers[addr] = p
	r.updateLink(addr, p)
	return p
}
