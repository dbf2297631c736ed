package membership

import (
	"slices"
	"time"
)

const (
	// passiveDialDelay is how long this node waits for a node without a disk, which has sent nothing yet, to dial first. After
	// it, this node dials, because the other node may not be able to establish the link itself.
	passiveDialDelay = 2 * time.Second
	// disklessLinkTimeout is how long a node without a disk keeps its link to another node without a disk after that node's last
	// hello.
	disklessLinkTimeout = 5 * time.Second
)

// updateLink decides whether this node keeps a link to a node, and asks the host to connect or disconnect if that changes. Nodes
// with a disk keep links to all nodes, and the other nodes keep links only to nodes with a disk. The number of links and their
// traffic then grow with the number of nodes and not with the square of that number. Two nodes without a disk are linked only while
// one of them may know no other node. A node without a disk dials its seeds until it has a slot and knows a live node with a disk,
// and the seeds keep their side of the link meanwhile.
//
// A node with a disk lets a node without one, which has sent nothing yet, dial first. Otherwise a node with a disk that starts
// would know hundreds of nodes from their slots, and would dial all of them while all of them dial it.
func (r *Roster) updateLink(addr string, p *peer) {
	isPresent := p.helloReceived || r.now-p.receivedAt < livenessTimeout || r.now-p.discoveredAt >= passiveDialDelay
	hasRecentHello := r.now-p.helloAt < disklessLinkTimeout
	want := r.self.Disk != 0 && isPresent || p.Disk != 0 || p.advertised && !p.helloReceived || hasRecentHello ||
		slices.Contains(r.seeds, addr) && !r.hasJoinedCluster()
	switch {
	case want && !p.linkWanted:
		r.addAction(Action{Kind: Connect, Addr: addr})
	case !want && p.linkWanted:
		p.linkUp = false
		r.addAction(Action{Kind: Disconnect, Addr: addr})
	}
	p.linkWanted = want
}

// attached reports whether this node no longer needs its seeds, because the log has assigned slots and a node with a disk is
// live.
func (r *Roster) hasJoinedCluster() bool {
	if len(r.slotHolders) == 0 {
		return false
	}
	for _, p := range r.peers {
		if p.live && p.Disk != 0 {
			return true
		}
	}
	return false
}

// SetSeeds sets the seeds from the current settings. The bootstrap still uses the seeds from the start of the process, which are
// the same at all nodes.
func (r *Roster) SetSeeds(addrs []string) {
	r.seeds = addrs
	for _, addr := range addrs {
		if p := r.findOrAddPeer(addr); p != nil {
			r.updateLink(addr, p)
		}
	}
}

// LinkUp records that the link to a node is up.
func (r *Roster) LinkUp(addr string) {
	if p := r.peers[addr]; p != nil {
		p.linkUp = true
		r.sendHello(addr, p)
		r.refresh() // the peer's own hello may have come before
	}
}

// LinkDown records that the link to a node has ended.
func (r *Roster) LinkDown(addr string) {
	if p := r.peers[addr]; p != nil {
		p.linkUp = false
		r.refresh()
	}
}

// LinkReport counts this node's links for operators. They look at it first when a node reaches fewer nodes than the others do.
type LinkReport struct {
	Wanted, Connected int
	// WithoutHello lists the addresses of nodes whose link is up but that have sent no hello, sorted.
	WithoutHello []string
}

// LinkReport returns a report on this node's links. A node without a disk can follow only nodes that have sent it a hello.
func (r *Roster) LinkReport() (report LinkReport) {
	for _, addr := range r.Addrs() {
		p := r.peers[addr]
		if !p.linkWanted {
			continue
		}
		report.Wanted++
		if !p.linkUp {
			continue
		}
		report.Connected++
		if !p.helloReceived {
			report.WithoutHello = append(report.WithoutHello, addr)
		}
	}
	return report
}

// LinkedDiskNodes returns the other nodes with a disk whose links are up, live or not, sorted by address. A caller that finds no
// live node in the reports it received can ask these, because one of them may know more.
func (r *Roster) LinkedDiskNodes() (nodes []Node) {
	for _, addr := range r.Addrs() {
		if p := r.peers[addr]; p.linkUp && p.helloReceived && p.Disk != 0 {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}
