package membership

import "time"

// Hellos are sent when a link comes up and when the description of a node changes, and are repeated while they are not
// acknowledged. Without the repeats, the receiver of a lost hello would have no current description of the sender, and could not use
// the sender as long as the link lasts.
const (
	// helloInterval is the minimum time between two hellos to a node, not counting those sent because a link came up or a
	// description changed.
	helloInterval = time.Second
	// maxHelloRepeats limits the repeated hellos to a node while the descriptions of both nodes stay the same. Versions of the
	// program that do not support acknowledgements never confirm a hello.
	maxHelloRepeats = 6
)

// helloState records which hellos were sent to a peer and what the peer has acknowledged.
type helloState struct {
	sentAt time.Duration // time of the last hello to the peer
	// acknowledged is the fingerprint in the last hello to the peer, which acknowledges the peer's description. 0 means none.
	acknowledged uint64
	repeats      int  // number of repeated hellos since this node's or the peer's description changed
	confirmed    bool // the peer has acknowledged this node's current description
}

// recordReceivedHello updates the state after the peer p has sent a hello. The fields of p still have their values from before this
// hello. self is this node's description of itself.
func (h *helloState) recordReceivedHello(hello *Hello, p *peer, self *Node) {
	h.confirmed = hello.Acknowledged == self.fingerprint()
	if !p.helloReceived || p.fingerprint() != hello.Node.fingerprint() {
		h.repeats = 0
	}
}

// needsRepeat reports whether a hello has to be sent to a peer again. If the peer has sent no hello, hellos are repeated without
// limit. If the peer has sent a hello, hellos are repeated until each side has acknowledged the other's description, but at most
// maxHelloRepeats times.
func (h *helloState) needsRepeat(p *peer, now time.Duration) bool {
	if !p.linkWanted || !p.linkUp || now-h.sentAt < helloInterval {
		return false
	}
	return !p.helloReceived || h.repeats < maxHelloRepeats && (h.acknowledged != p.fingerprint() || !h.confirmed)
}

// sendHello asks the host to send a hello to a peer. The link to the peer must be up.
func (r *Roster) sendHello(addr string, p *peer) {
	p.hello.sentAt, p.hello.acknowledged = r.now, 0
	if p.helloReceived {
		p.hello.acknowledged = p.fingerprint()
	}
	r.addAction(Action{Kind: SendHello, Addr: addr})
}

// repeatHelloIfNeeded sends a hello to a peer again if needsRepeat returns true.
func (r *Roster) repeatHelloIfNeeded(addr string, p *peer) {
	if p.hello.needsRepeat(p, r.now) {
		p.hello.repeats++
		r.sendHello(addr, p)
	}
}

// sendHelloToAll sends hellos to all linked nodes after this node's description has changed.
func (r *Roster) sendHelloToAll() {
	for _, addr := range r.Addrs() {
		p := r.peers[addr]
		p.hello.repeats, p.hello.confirmed = 0, false
		if p.linkUp {
			r.sendHello(addr, p)
		}
	}
}

// HelloTo returns this node's hello to another node. The hello names the nodes with a disk. A hello to a node with a disk also
// names the nodes without a disk that have no slot yet. Nodes without a disk that have a slot are omitted, because all nodes know
// the slot holders from the core's log. Naming all slot holders in each hello would make the traffic grow with the square of the
// number of nodes.
func (r *Roster) HelloTo(addr string) Hello {
	to := r.peers[addr]
	hello := Hello{Node: r.self, ClusterExists: r.knowsExistingCluster()}
	if to != nil && to.helloReceived {
		hello.Acknowledged = to.fingerprint()
	}
	for _, known := range r.Addrs() {
		hasDisk := r.peers[known].Disk != 0
		if known != addr && (hasDisk || to != nil && to.Disk != 0 && r.Slot(known) == NoSlot) {
			hello.KnownAddrs = append(hello.KnownAddrs, known)
		}
	}
	return hello
}

// HandleHello processes a hello that another node sent. The other node is identified by the address from which its frames come, and
// not by the address in the hello.
func (r *Roster) HandleHello(from string, hello Hello) {
	p := r.findOrAddPeer(from)
	if p == nil {
		return
	}
	hasDisk := hello.Node.Disk != 0
	if hasDisk && p.Disk != hello.Node.Disk {
		r.lastDiskAt = r.now
	}
	restarted := p.helloReceived && p.Incarnation != hello.Node.Incarnation
	isNewDisk := hasDisk && (!p.helloReceived || p.Disk != hello.Node.Disk)
	clusterExisted := r.knowsExistingCluster()
	p.hello.recordReceivedHello(&hello, p, &r.self)
	p.Node, p.helloReceived, p.knowsCluster, p.receivedAt, p.helloAt = hello.Node, true, hello.ClusterExists, r.now, r.now
	p.Addr = from
	r.updateLink(from, p)
	switch {
	case clusterExisted && !r.knowsExistingCluster():
		// The peer had stored a list of founders that no other founder stored, and has discarded the list. Nodes that learned from
		// this node that a cluster exists must learn that none exists, because they do not bootstrap the core until then.
		r.sendHelloToAll()
	case clusterExisted != r.knowsExistingCluster():
		r.notifySeedsOfCluster()
	}
	r.addAdvertisedNodes(hello.KnownAddrs)
	if isNewDisk && r.self.Disk == 0 {
		r.sendHelloToDisklessNodes()
	}
	if restarted {
		r.liveNodesChanged = true
	}
	r.refresh()
}

// addAdvertisedNodes adds the nodes whose addresses another node named in its hello.
func (r *Roster) addAdvertisedNodes(addrs []string) {
	for _, addr := range addrs {
		if p := r.findOrAddPeer(addr); p != nil {
			p.advertised = true
			r.updateLink(addr, p)
		}
	}
}

// sendHelloToDisklessNodes sends hellos to the linked nodes without a disk. A hello names the nodes with a disk. A node without a disk
// that dialed this node as a seed needs the address of a node with a disk.
func (r *Roster) sendHelloToDisklessNodes() {
	for _, addr := range r.Addrs() {
		if p := r.peers[addr]; p.linkUp && p.Disk == 0 {
			r.sendHello(addr, p)
		}
	}
}

// notifySeedsOfCluster sends hellos to the seeds that may still bootstrap the core, after this node has learned that a core exists.
// The seeds may not reach the node that holds the state of the core.
func (r *Roster) notifySeedsOfCluster() {
	for _, addr := range r.config.Seeds {
		if p := r.peers[addr]; p != nil && p.linkUp && p.helloReceived && p.FirstStart && !p.Bootstrapped {
			r.sendHello(addr, p)
		}
	}
}
