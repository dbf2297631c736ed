package membership

import (
	"slices"
	"time"
)

const (
	// passiveDialDelay is how long a node without a disk that has sent nothing yet is left to dial first. It may not find its way, and is
	// dialed then.
	passiveDialDelay = 2 * time.Second
	// guestLinkTimeout is how long after its last hello a node without a disk keeps its link to another one without.
	guestLinkTimeout = 5 * time.Second
)

// updateLink keeps a link to a node, or leaves it. Nodes with a disk keep links to all, the others to those with one alone, so that links and
// what goes over them grow with the nodes and not with their square. Two nodes without a disk are linked only while one of
// them may know nobody else: it dials its seeds until it has a slot and knows a live node with a disk, and is answered meanwhile.
//
// A node without a disk that has sent nothing is left to dial first: a node with a disk that starts knows hundreds by their slots, and would
// dial them all in the moment in which they all dial it.
func (r *Roster) updateLink(addr string, p *peer) {
	isPresent := p.introduced || r.now-p.receivedAt < livenessTimeout || r.now-p.discoveredAt >= passiveDialDelay
	isGuest := r.now-p.helloAt < guestLinkTimeout
	want := r.self.Disk != 0 && isPresent || p.Disk != 0 || p.advertised && !p.introduced || isGuest ||
		slices.Contains(r.seeds, addr) && !r.attached()
	switch {
	case want && !p.linkWanted:
		r.push(Action{Kind: Connect, Addr: addr})
	case !want && p.linkWanted:
		p.linkUp = false
		r.push(Action{Kind: Disconnect, Addr: addr})
	}
	p.linkWanted = want
}

// attached tells whether this node needs its seeds no more: the log has given slots, and a node with a disk is live.
func (r *Roster) attached() bool {
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

// SetSeeds takes the seeds that the settings name by now. The bootstrap goes by those of the start, which are alike at all nodes.
func (r *Roster) SetSeeds(addrs []string) {
	r.seeds = addrs
	for _, addr := range addrs {
		if p := r.discover(addr); p != nil {
			r.updateLink(addr, p)
		}
	}
}

// LinkUp notes that the link to a node is up.
func (r *Roster) LinkUp(addr string) {
	if p := r.peers[addr]; p != nil {
		p.linkUp = true
		r.sendHello(addr, p)
		r.refresh() // the peer's own hello may have come before
	}
}

// LinkDown notes that the link to a node has ended.
func (r *Roster) LinkDown(addr string) {
	if p := r.peers[addr]; p != nil {
		p.linkUp = false
		r.refresh()
	}
}

// LinkReport counts this node's links, for operators: what they ask first where a node reaches fewer nodes than others do.
type LinkReport struct {
	Wanted, Connected int
	WithoutHello      []string // addresses of nodes whose link is up and which have sent no hello, in order
}

// Links reports on this node's links. A node without a disk can follow only nodes that have sent it a hello.
func (r *Roster) Links() (report LinkReport) {
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
		if !p.introduced {
			report.WithoutHello = append(report.WithoutHello, addr)
		}
	}
	return report
}

// LinkedDiskNodes are the other nodes with a disk whose links are up, live or not, in the order of their addresses: where nobody is
// live by what this node was sent, one of these may know more.
func (r *Roster) LinkedDiskNodes() (nodes []Node) {
	for _, addr := range r.Addrs() {
		if p := r.peers[addr]; p.linkUp && p.introduced && p.Disk != 0 {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}
