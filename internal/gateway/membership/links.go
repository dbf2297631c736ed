package membership

import (
	"slices"
	"time"
)

const (
	// passiveDialDelay is how long a node with a disk, after it has learned of a node without a disk, waits for that node to dial.
	// After this delay the node with a disk dials, because the other node may not be able to establish the link itself.
	passiveDialDelay = 2 * time.Second
	// disklessLinkTimeout is how long a node without a disk keeps its link to another node without a disk after that node's last
	// hello.
	disklessLinkTimeout = 5 * time.Second
)

// updateLink decides whether this node keeps a link to a node, and asks the host to connect or disconnect if the decision changes.
// Nodes with a disk keep links to all nodes, and the other nodes keep links only to nodes with a disk. The number of links and their
// traffic then grow with the number of nodes and not with the square of that number. Two nodes without a disk are linked only while
// one of the two may not know any other node yet. A node without a disk dials its seeds until slots are assigned and a node with a
// disk is live. Until then the seeds also keep their links to that node.
//
// A node with a disk waits until a node without a disk has dialed first, or until passiveDialDelay has passed. Without this wait, a
// node with a disk that restarts would dial hundreds of slot holders while all slot holders dial that node.
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

// hasJoinedCluster reports whether the configuration log has assigned slots and a node with a disk is live. If both are true, this
// node no longer needs links to seeds without a disk.
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

// SetSeeds sets the seeds from the current settings. The bootstrap continues to use the seeds from the start of the process
// (Config.Seeds), because all nodes have the same Config.Seeds.
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
		r.refresh() // the peer's hello may have arrived before the link came up
	}
}

// LinkDown records that the link to a node has ended.
func (r *Roster) LinkDown(addr string) {
	if p := r.peers[addr]; p != nil {
		p.linkUp = false
		r.refresh()
	}
}

// IsLinkUp reports whether the link to a node is up. Its connection was established by packets in both directions.
func (r *Roster) IsLinkUp(addr string) bool {
	p := r.peers[addr]
	return p != nil && p.linkUp
}

// LinkReport describes this node's links. Operators use it to find out why a node reaches fewer nodes than other nodes do.
type LinkReport struct {
	// Wanted is the number of links that this node wants to keep. Connected is the number of wanted links that are up.
	Wanted, Connected int
	// WithoutHello lists the addresses of the nodes whose link is up and that have sent no hello, sorted.
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

// LinkedDiskNodes returns the other nodes with a disk whose links are up, sorted by address. The nodes need not be live. A caller
// for which no node is live can ask these nodes, because one of them may have newer information.
func (r *Roster) LinkedDiskNodes() (nodes []Node) {
	for _, addr := range r.Addrs() {
		if p := r.peers[addr]; p.linkUp && p.helloReceived && p.Disk != 0 {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}
