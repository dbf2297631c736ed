package membership

import (
	"slices"
	"time"
)

// maxNodes is the maximum number of other nodes that a roster keeps. It equals the maximum number of slots. A slot is a node's number, which the
// configuration log assigns once, so a roster has room for every node that has a slot.
const maxNodes = 1024

// Config describes the deployment. All nodes have the same Config.
type Config struct {
	Seeds           []string               // inner addresses in the order of the settings; if empty, no node bootstraps the core
	ToleratedLosses int                    // number of nodes with a disk that may be lost at once
	ClusterID       func([]Founder) uint64 // returns the ID of the cluster of these founders; never 0
}

// Roster holds one node's knowledge of all nodes. It is not safe for concurrent use.
type Roster struct {
	now, startedAt time.Duration // time of the last Tick and of New, on the host's clock
	self           Node
	config         Config
	seeds          []string // seeds from the current settings; config.Seeds holds the seeds from the start of the process

	peers           map[string]*peer          // by address
	slots           map[string]Slot           // by address
	slotHolders     []SlotHolder              // by slot
	livenessReports map[string]livenessReport // by address of the sender
	refreshedAt     time.Duration             // time of the last refresh

	lastDiskAt      time.Duration            // when a node with a new disk last sent a hello
	founders        []Founder                // founders of the core that this node chose; nil if this node has chosen none
	bootstrapSentAt map[string]time.Duration // time of the last bootstrap message to each founder, by address

	actions          []Action // pending, in order
	liveNodesChanged bool     // a LiveNodesChanged action is pending
}

// peer is another node. Until it has sent a hello, only the address in its Node is set.
type peer struct {
	Node
	helloReceived bool          // the peer has sent a hello
	knowsCluster  bool          // the peer has a hello from a node that holds a state of the core
	advertised    bool          // another node named the peer's address in a hello
	linkWanted    bool          // this node keeps a link to the peer
	linkUp        bool          // the link to the peer is up
	receivedAt    time.Duration // when the last frame came from the peer
	discoveredAt  time.Duration // when this node learned of the peer
	helloAt       time.Duration // when the peer last sent a hello
	hello         helloState    // which hellos were sent to the peer and what the peer has acknowledged
	live          bool          // the peer is live, as defined in the package comment
}

// New returns a roster that contains only the seeds.
func New(self Node, config Config, now time.Duration) *Roster {
	r := &Roster{now: now, startedAt: now, self: self, config: config, peers: map[string]*peer{}, slots: map[string]Slot{},
		livenessReports: map[string]livenessReport{}, bootstrapSentAt: map[string]time.Duration{}, refreshedAt: now, lastDiskAt: now}
	r.SetSeeds(config.Seeds)
	return r
}

// Tick advances the clock. A step above stallThreshold means that this process was stalled, and that the frames which other nodes
// sent meanwhile are still unread. Such a step does not count towards any time-out. If it did, this node would briefly consider all
// other nodes lost, and would leave its upstream (the node whose log stream it applies) although frames of the upstream are unread.
func (r *Roster) Tick(now time.Duration) {
	if step := now - r.now; step > stallThreshold {
		// Other nodes may have bootstrapped the core during the stall, and their hellos may be unread. So the quiet period starts again.
		r.lastDiskAt = now
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

// Next returns the next action for the host to perform, and false if there is none. The host calls it after every input and after
// Tick, until it returns false.
func (r *Roster) Next() (Action, bool) {
	if r.now-r.refreshedAt >= refreshInterval {
		r.refresh()
	}
	if len(r.actions) > 0 {
		a := r.actions[0]
		r.actions = r.actions[1:]
		return a, true
	}
	if r.liveNodesChanged {
		r.liveNodesChanged = false
		return Action{Kind: LiveNodesChanged}, true
	}
	return Action{}, false
}

// addAction appends an action that Next returns later.
func (r *Roster) addAction(a Action) { r.actions = append(r.actions, a) }

// Self returns this node's description of itself.
func (r *Roster) Self() Node { return r.self }

// SetCluster sets the ID of this node's disk and the ID of the cluster whose state the disk holds. A cluster ID of 0 means that the
// disk holds no state.
func (r *Roster) SetCluster(disk DiskID, clusterID uint64) {
	if r.self.Disk != disk || r.self.ClusterID != clusterID {
		r.self.Disk, r.self.Bootstrapped, r.self.ClusterID = disk, clusterID != 0, clusterID
		r.sendHelloToAll()
	}
}

// AnnounceShutdown sends a hello to each linked node. The hello says that this node is shutting down.
func (r *Roster) AnnounceShutdown() {
	r.self.Leaving = true
	r.sendHelloToAll()
}

// SetSlots sets the slot holders from the core's log. The caller must not modify the slice afterwards.
func (r *Roster) SetSlots(holders []SlotHolder) {
	r.slotHolders = holders
	clear(r.slots)
	for i, holder := range holders {
		r.slots[holder.Addr] = Slot(i)
		r.findOrAddPeer(holder.Addr)
	}
	r.liveNodesChanged = true
}

// Slot returns the slot of the node at an address, or NoSlot if the node has none.
func (r *Roster) Slot(addr string) Slot {
	if s, ok := r.slots[addr]; ok {
		return s
	}
	return NoSlot
}

// NodeAtSlot returns the node that has a slot, and false if no node has it.
func (r *Roster) NodeAtSlot(s Slot) (SlotHolder, bool) {
	if s < 0 || int(s) >= len(r.slotHolders) {
		return SlotHolder{}, false
	}
	return r.slotHolders[s], true
}

// SlotHolders returns the nodes with a slot, indexed by slot.
func (r *Roster) SlotHolders() []SlotHolder { return r.slotHolders }

// Node returns a node's last description of itself, and false if it has sent none.
func (r *Roster) Node(addr string) (Node, bool) {
	if addr == r.self.Addr {
		return r.self, true
	}
	p := r.peers[addr]
	if p == nil || !p.helloReceived {
		return Node{}, false
	}
	return p.Node, true
}

// Addrs returns the addresses of the other known nodes, sorted.
func (r *Roster) Addrs() []string {
	addrs := make([]string, 0, len(r.peers))
	for addr := range r.peers {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// findOrAddPeer returns the peer at an address, and adds the peer if it is not known yet. It returns nil if the address is empty or
// is this node's own address, or if the peer is not known and the roster already contains maxNodes other nodes.
func (r *Roster) findOrAddPeer(addr string) *peer {
	p := r.peers[addr]
	if p != nil || addr == r.self.Addr || addr == "" || len(r.peers) >= maxNodes {
		return p
	}
	p = &peer{Node: Node{Addr: addr}, receivedAt: r.now - livenessTimeout, discoveredAt: r.now, helloAt: r.now - disklessLinkTimeout}
	r.peers[addr] = p
	r.updateLink(addr, p)
	return p
}
