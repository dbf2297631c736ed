package node

import (
	"net"
	"net/netip"
	"strconv"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// Came, Heard, Up and Down are the links': each in a turn.

// PeerConnected is told when another node has dialed this one. It may be the node that it follows, which dialed it anew. It may have given up a link before and with it the wish to follow:
// without a new one it would say nothing, and for two seconds nothing would tell of that.
func (n *Node) PeerConnected(from string) {
	n.core.resetLiveness(from)
	if from == n.upstream {
		n.requestStream(from)
	}
}

// FrameReceived takes a frame from another node.
func (n *Node) FrameReceived(from string, f *Frame) {
	n.roster.Tick(n.loop.Now())
	n.roster.FrameReceived(from)
	if from == n.upstream {
		n.upstreamContactAt = n.loop.Now()
	}
	switch {
	case f.Hello != nil:
		n.roster.HandleHello(from, *f.Hello)
		n.calls.chunks.supportedBy[from] = f.Hello.Parts
		n.resendBootstrap(from, f.Hello.Door)
	case f.Ping != nil:
		n.upstreamReports[from] = upstreamReport{n.loop.Now(), f.Ping.Stale, f.Ping.Index, f.Ping.View}
		if f.Ping.Lives != nil && (n.core != nil || from == n.upstream) {
			n.roster.HandleLiveness(from, f.Ping.Lives)
		}
		if from == n.upstream {
			n.updateContact(f.Ping.Stale, f.Ping.View, f.Ping.Echo, f.Ping.Index)
			n.groups.learnLeaders(f.Ping.Leaders)
		}
		if f.Ping.Clock != 0 && n.isLearner(from) {
			n.learnerClocks[from] = clockEcho{f.Ping.Clock, n.loop.Now()}
			n.links.Send(from, &Frame{Ping: n.learnerHeartbeat(from)})
		}
	case f.Found != nil:
		n.bootstrap(f.Found)
	case f.Core != nil && n.core != nil:
		n.core.receiveLiveness(from, f.Core)
		n.core.replica.Tick(n.loop.Now())
		n.core.replica.Step(f.Core.From, f.Core.Message)
	case f.Groups != nil && n.core != nil:
		n.groups.receive(f.Groups)
	case f.Board != nil && n.registry != nil:
		if s := n.roster.Slot(from); s != membership.NoSlot {
			n.registry.Tick(n.loop.Now())
			n.registry.Receive(registry.Slot(s), *f.Board)
		}
	case f.Follow != nil:
		n.receiveStreamRequest(from, f.Follow)
	case f.Feed != nil:
		n.receiveStream(from, f.Feed)
	case f.Call != nil:
		n.calls.receiveCall(from, f.Call)
	case f.Reply != nil:
		n.calls.receiveReply(from, f.Reply)
	case f.Part != nil:
		n.calls.chunks.receive(from, f.Part)
	case f.Rollout != nil:
		n.rollouts.receive(from, f.Rollout)
	case f.Coordination != nil:
		n.receiveCoordination(from, f.Coordination)
	}
}

// LinkUp is told when the link to another node stands.
func (n *Node) LinkUp(to string) {
	n.roster.Tick(n.loop.Now())
	n.roster.LinkUp(to)
	if d, ok := n.roster.Node(to); ok {
		n.resendBootstrap(to, d)
	}
	n.resumeStream(to)
	n.syncRegistryTo(to) // it may have started anew
	if to == n.upstream {
		n.requestStream(to) // so that the wish to follow it may have been lost with the link before
	}
}

// syncRegistryTo tells a node of the backends.
func (n *Node) syncRegistryTo(addr string) {
	if s := n.roster.Slot(addr); s != membership.NoSlot && n.registry != nil {
		n.registry.Tick(n.loop.Now())
		n.registry.SyncPeer(registry.Slot(s))
	}
}

// isLearner tells whether a node gets its news from this one.
func (n *Node) isLearner(addr string) bool {
	_, ok := n.learners[addr]
	return ok
}

// LinkDown is told when the link to another node ended.
func (n *Node) LinkDown(to string) {
	n.roster.Tick(n.loop.Now())
	n.roster.LinkDown(to)
	n.core.resetLiveness(to)
	n.groups.linkDown(to)
	delete(n.learners, to)
	delete(n.learnerClocks, to)
	n.coordination.PeerDisconnected(to)
	n.calls.linkDown(to)
}

// resendBootstrap hands the founding to a founder that missed it: who began it may have died before the word reached the others.
func (n *Node) resendBootstrap(addr string, d membership.Node) {
	if n.core == nil || d.Founded || d.Disk == 0 {
		return
	}
	founders := n.core.replica.BootstrapMembers()
	for _, m := range founders {
		if m.ID == replication.MemberID(d.Disk) && n.roster.MayBootstrap(n.core.replica.ClusterID(), addr) {
			n.links.Send(addr, &Frame{Found: founders})
		}
	}
}

// abandonLoneBootstrap empties a disk that holds the word of a founding and nothing else, where another disk lies at the place of each other
// founder: what that founding ever took is gone with those, and this one, waiting for them, would keep all from beginning anew.
func (c *core) abandonLoneBootstrap() {
	founders := c.replica.BootstrapMembers()
	for _, m := range founders {
		if d, ok := c.node.roster.Node(m.Addr); m.ID != c.self.ID && (!ok || !c.node.roster.Live(m.Addr) || d.Disk == 0 || d.Founded ||
			replication.MemberID(d.Disk) == m.ID || c.node.memberAddr(replication.Member{ID: m.ID}) != "") {
			return
		}
	}
	if len(founders) > 1 && c.replica.DiscardBootstrap() {
		c.node.say(corePart, "the founding of %d nodes that this disk holds alone is laid aside", len(founders))
	}
}

// bootstrap begins the core, if this node's disk is empty.
func (n *Node) bootstrap(members []replication.Member) {
	if n.core == nil {
		return
	}
	if err := n.core.replica.Bootstrap(members); err != nil {
		n.say(corePart, "founding passed over: %v", err)
		return
	}
	n.say(corePart, "founded by %d nodes", len(members))
}

// handleRosterActions carries out what the roster asks for.
func (n *Node) handleRosterActions() {
	n.roster.Tick(n.loop.Now())
	if n.slotsChanged { // once for all that came in this turn
		n.slotsChanged = false
		n.roster.SetSlots(n.machine.Slots())
	}
	for {
		a, ok := n.roster.Next()
		if !ok {
			return
		}
		switch a.Kind {
		case membership.Connect:
			n.links.Connect(a.Addr)
		case membership.Disconnect:
			n.links.Disconnect(a.Addr)
		case membership.SendHello:
			hello := n.roster.HelloTo(a.Addr)
			hello.Parts = true
			n.links.Send(a.Addr, &Frame{Hello: &hello})
		case membership.Bootstrap:
			members := founderMembers(a.Founders)
			if a.Addr == n.peerAddr {
				n.bootstrap(members)
			} else {
				n.links.Send(a.Addr, &Frame{Found: members})
			}
		case membership.LiveNodesChanged:
			n.updateNodes()
		}
	}
}

func founderMembers(founders []membership.Founder) (members []replication.Member) {
	for _, f := range founders {
		members = append(members, replication.Member{ID: replication.MemberID(f.Disk), Addr: f.Addr})
	}
	return members
}

// slot is this node's, or NoSlot.
func (n *Node) slot() membership.Slot { return n.roster.Slot(n.peerAddr) }

// updateNodes tells the parts that go by nodes which there are, and which live.
func (n *Node) updateNodes() {
	n.checkUpstream()
	me := n.slot()
	if me == membership.NoSlot {
		return
	}
	order := n.roster.SlotHolders()
	if n.registry == nil {
		n.registry = registry.New(registry.Slot(me), registry.Config{HeartbeatInterval: n.settings.HeartbeatInterval,
			MinCopies: n.minDrainCopies(), Incarnation: uint32(n.incarnation)}, n.loop.Now())
		n.say(nodePart, "has slot %d of %d", me, len(order))
		if n.core != nil {
			n.core.loadRegistry()
		}
	}
	if len(order) != n.slotCount {
		n.slotCount = len(order)
		if n.sockets != nil {
			n.sockets.reserveLinkFDs(len(order))
		}
		addrs := make([]netip.AddrPort, len(order))
		for i, s := range order {
			addrs[i] = n.datagramAddr(s.Addr)
		}
		n.datagrams.SetPeers(addrs, int(me))
		n.quota.Grow(control.GatewayID(me), len(order))
		n.admission.SetNodes(len(order))
	}
	nodes := make([]registry.Node, 0, len(order))
	reach, place, places, live := 0, 0, 0, make([]bool, len(order))
	for i, s := range order {
		if s.Zone == n.settings.Zone {
			if i == int(me) {
				place = places
			}
			places++
		}
		if live[i] = n.roster.Live(s.Addr); live[i] {
			reach++
		}
		d, _ := n.roster.Node(s.Addr)
		nodes = append(nodes, registry.Node{Slot: registry.Slot(i), ControlAddr: s.Control, Zone: s.Zone,
			Live: live[i], HasDisk: d.Disk != 0, Follows: n.isLearner(s.Addr)})
	}
	if n.core != nil && reach != n.reachable {
		n.heartbeatAt = 0 // who follows goes by this node's word of who lives: an owner in its first second by a third of the rate
	}
	n.reachable = reach
	n.quota.SetReachable(live)
	n.admission.SetZoneIndex(place, places)
	n.registry.Tick(n.loop.Now())
	n.registry.SetNodes(nodes)
}

// minDrainCopies is at how many nodes with a disk the end of a backend is to be before it is acknowledged.
func (n *Node) minDrainCopies() int {
	if n.fault == ackDrainAlone {
		return 0
	}
	return n.settings.Tolerance.Machines + 1
}

// datagramAddr is where a node takes datagrams: the port after that of its links.
func (n *Node) datagramAddr(inner string) netip.AddrPort {
	host, _, _ := net.SplitHostPort(inner)
	a, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a, uint16(n.settings.InnerPorts[0]+1))
}

// peerAddrs is where the nodes at some control addresses take links: the ports of a deployment are alike.
func (n *Node) peerAddrs(controls []string) (inners []string) {
	for _, c := range controls {
		if host, _, err := net.SplitHostPort(c); err == nil {
			inners = append(inners, net.JoinHostPort(host, strconv.Itoa(n.settings.InnerPorts[0])))
		}
	}
	return inners
}

// handleRegistryActions carries out what the registry asks for.
func (n *Node) handleRegistryActions() {
	if n.registry == nil {
		return
	}
	n.registry.Tick(n.loop.Now())
	for {
		a, ok := n.registry.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case registry.Send:
			if s, ok := n.roster.SlotHolderAt(membership.Slot(a.Target)); ok {
				m := a.Message
				n.links.Send(s.Addr, &Frame{Board: &m})
			}
		case registry.Changed:
			n.registryDirty = true
			n.updateListing(a)
		case registry.Acknowledge:
			if then, ok := n.pendingHeartbeats[a.Ticket]; ok {
				delete(n.pendingHeartbeats, a.Ticket)
				then.answer(a.Confirmed && n.permitted(then.permission), a.OwnerAddr)
			}
		case registry.Wake:
			n.registryTimerSeq++
			n.loop.At(a.Deadline, (*registryTimer)(n), n.registryTimerSeq)
		}
	}
}

// registryTimer brings the registry's due time; the pull at the end of the turn does the rest.
type registryTimer Node

func (r *registryTimer) Live(nr uint32) bool { return nr == r.registryTimerSeq }
func (r *registryTimer) Due(uint32)          {}
