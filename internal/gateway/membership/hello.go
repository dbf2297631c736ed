package membership

import "time"

// Hellos are sent when a link comes up and when something of a node changes, and repeated while they are not acknowledged. A node that has
// had none of another one, or only one that is out of date, could turn to it for nothing as long as the link lasts, whatever else
// is lost meanwhile.
const (
	// helloInterval is the least time between two hellos to a node, apart from those that links and changes ask for.
	helloInterval = time.Second
	// maxHelloRepeats bounds the repeats to a node that is as it was: programs that know no acknowledgements never confirm.
	maxHelloRepeats = 6
)

// helloState is what was sent to a peer, and what that has acknowledged.
type helloState struct {
	sentAt       time.Duration // of the last hello
	acknowledged uint64        // fingerprint of the peer that it acknowledged; 0: none
	repeats      int           // since either side has changed
	confirmed    bool          // the peer knows this node as it is
}

// received takes a peer's own hello; p is what was known of it before.
func (h *helloState) received(hello *Hello, p *peer, self *Node) {
	h.confirmed = hello.Acknowledged == self.fingerprint()
	if !p.introduced || p.fingerprint() != hello.Node.fingerprint() {
		h.repeats = 0
	}
}

// needsRepeat tells whether a hello is to be sent again: for as long as it takes to a peer that has sent none, else until each has
// acknowledged the other as it is.
func (h *helloState) needsRepeat(p *peer, now time.Duration) bool {
	if !p.linkWanted || !p.linkUp || now-h.sentAt < helloInterval {
		return false
	}
	return !p.introduced || h.repeats < maxHelloRepeats && (h.acknowledged != p.fingerprint() || !h.confirmed)
}

// sendHello has a hello sent over a link that is up.
func (r *Roster) sendHello(addr string, p *peer) {
	p.hello.sentAt, p.hello.acknowledged = r.now, 0
	if p.introduced {
		p.hello.acknowledged = p.fingerprint()
	}
	r.push(Action{Kind: SendHello, Addr: addr})
}

// repeatHello sends a hello again where it is needed.
func (r *Roster) repeatHello(addr string, p *peer) {
	if p.hello.needsRepeat(p, r.now) {
		p.hello.repeats++
		r.sendHello(addr, p)
	}
}

// helloAll sends hellos to all, as this node has changed.
func (r *Roster) helloAll() {
	for _, addr := range r.Addrs() {
		p := r.peers[addr]
		p.hello.repeats, p.hello.confirmed = 0, false
		if p.linkUp {
			r.sendHello(addr, p)
		}
	}
}

// HelloTo is this node's hello to another one. It names the nodes with a disk, and to one with a disk those without that have no slot
// yet. Slot holders are in the core's log, which all follow: to name them in each hello would cost the square of the deployment.
func (r *Roster) HelloTo(addr string) Hello {
	to := r.peers[addr]
	hello := Hello{Node: r.self, ClusterExists: r.clusterExists()}
	if to != nil && to.introduced {
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

// HandleHello takes what a node says of itself. It is known by the address that its frames come from, whatever address it gives.
func (r *Roster) HandleHello(from string, hello Hello) {
	p := r.discover(from)
	if p == nil {
		return
	}
	hasDisk := hello.Node.Disk != 0
	if hasDisk && p.Disk != hello.Node.Disk {
		r.lastDiskAt = r.now
	}
	restarted := p.introduced && p.Incarnation != hello.Node.Incarnation
	isNewDisk := hasDisk && (!p.introduced || p.Disk != hello.Node.Disk)
	clusterExisted := r.clusterExists()
	p.hello.received(&hello, p, &r.self)
	p.Node, p.introduced, p.knowsCluster, p.receivedAt, p.helloAt = hello.Node, true, hello.ClusterExists, r.now, r.now
	p.Addr = from
	r.updateLink(from, p)
	switch {
	case clusterExisted && !r.clusterExists():
		r.helloAll() // the peer held a bootstrap that nobody joined, and dropped it: who heard of it by this node must not wait for it
	case clusterExisted != r.clusterExists():
		r.notifySeeds()
	}
	r.advertise(hello.KnownAddrs)
	if isNewDisk && r.self.Disk == 0 {
		r.introduceToDiskless()
	}
	if restarted {
		r.changed = true
	}
	r.refresh()
}

// advertise takes addresses that another node named.
func (r *Roster) advertise(addrs []string) {
	for _, addr := range addrs {
		if p := r.discover(addr); p != nil {
			p.advertised = true
			r.updateLink(addr, p)
		}
	}
}

// introduceToDiskless sends hellos, which name the nodes with a disk, to the nodes without one that are linked: who dialed this one as a
// seed waits for such a name.
func (r *Roster) introduceToDiskless() {
	for _, addr := range r.Addrs() {
		if p := r.peers[addr]; p.linkUp && p.Disk == 0 {
			r.sendHello(addr, p)
		}
	}
}

// notifySeeds sends hellos to the seeds that may still bootstrap the core, as another node has or has not: they may not reach that
// one.
func (r *Roster) notifySeeds() {
	for _, addr := range r.config.Seeds {
		if p := r.peers[addr]; p != nil && p.linkUp && p.introduced && p.FirstStart && !p.Bootstrapped {
			r.sendHello(addr, p)
		}
	}
}
