package node

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// Came, Heard, Up and Down are the links': each in a turn.

// PeerConnected is told when another node has dialed this one. It may be the node that it follows, which dialed it anew. It may have given up a link before and with it the wish to follow:
// without a new one it would say nothing, and for two seconds nothing would tell of that.
func (h *Node) PeerConnected(from string) {
	h.core.resetLiveness(from)
	if from == h.upstream {
		h.requestStream(from)
	}
}

// FrameReceived takes a frame from another node.
func (h *Node) FrameReceived(from string, f *Frame) {
	h.roster.Tick(h.loop.Now())
	h.roster.FrameReceived(from)
	if from == h.upstream {
		h.upstreamContactAt = h.loop.Now()
	}
	switch {
	case f.Hello != nil:
		h.roster.HandleHello(from, *f.Hello)
		h.chunked.supportedBy[from] = f.Hello.Parts
		h.resendBootstrap(from, f.Hello.Door)
	case f.Ping != nil:
		h.upstreamReports[from] = upstreamReport{h.loop.Now(), f.Ping.Stale, f.Ping.Index, f.Ping.View}
		if f.Ping.Lives != nil && (h.core != nil || from == h.upstream) {
			h.roster.HandleLiveness(from, f.Ping.Lives)
		}
		if from == h.upstream {
			h.updateContact(f.Ping.Stale, f.Ping.View, f.Ping.Echo, f.Ping.Index)
			h.groups.learnLeaders(f.Ping.Leaders)
		}
		if f.Ping.Clock != 0 && h.isLearner(from) {
			h.learnerClocks[from] = clockEcho{f.Ping.Clock, h.loop.Now()}
			h.links.Send(from, &Frame{Ping: h.learnerHeartbeat(from)})
		}
	case f.Found != nil:
		h.bootstrap(f.Found)
	case f.Core != nil && h.core != nil:
		h.core.receiveLiveness(from, f.Core)
		h.core.replica.Tick(h.loop.Now())
		h.core.replica.Step(f.Core.From, f.Core.Message)
	case f.Groups != nil && h.core != nil:
		h.groups.receive(f.Groups)
	case f.Board != nil && h.registry != nil:
		if s := h.roster.Slot(from); s != membership.NoSlot {
			h.registry.Tick(h.loop.Now())
			h.registry.Receive(registry.Slot(s), *f.Board)
		}
	case f.Follow != nil:
		h.receiveStreamRequest(from, f.Follow)
	case f.Feed != nil:
		h.receiveStream(from, f.Feed)
	case f.Call != nil:
		h.receiveCall(from, f.Call)
	case f.Reply != nil:
		h.receiveReply(from, f.Reply)
	case f.Part != nil:
		h.receiveChunk(from, f.Part)
	case f.Rollout != nil:
		h.receiveRolloutMessage(from, f.Rollout)
	case f.Coordination != nil:
		h.receiveCoordination(from, f.Coordination)
	}
}

// LinkUp is told when the link to another node stands.
func (h *Node) LinkUp(to string) {
	h.roster.Tick(h.loop.Now())
	h.roster.LinkUp(to)
	if d, ok := h.roster.Node(to); ok {
		h.resendBootstrap(to, d)
	}
	h.resumeStream(to)
	h.syncRegistryTo(to) // it may have started anew
	if to == h.upstream {
		h.requestStream(to) // so that the wish to follow it may have been lost with the link before
	}
}

// syncRegistryTo tells a node of the backends.
func (h *Node) syncRegistryTo(addr string) {
	if s := h.roster.Slot(addr); s != membership.NoSlot && h.registry != nil {
		h.registry.Tick(h.loop.Now())
		h.registry.SyncPeer(registry.Slot(s))
	}
}

// isLearner tells whether a node gets its news from this one.
func (h *Node) isLearner(addr string) bool {
	_, ok := h.learners[addr]
	return ok
}

// LinkDown is told when the link to another node ended.
func (h *Node) LinkDown(to string) {
	h.roster.Tick(h.loop.Now())
	h.roster.LinkDown(to)
	h.core.resetLiveness(to)
	h.groups.linkDown(to)
	delete(h.learners, to)
	delete(h.learnerClocks, to)
	h.coordination.PeerDisconnected(to)
	for _, nr := range slices.Sorted(maps.Keys(h.pendingCalls)) {
		if c := h.pendingCalls[nr]; c.sentTo == to { // it may have been taken: the same again is answered as the first was
			c.ambiguous = c.ambiguous || h.mayBeReceived(c, nr)
			h.cancelTransfer(to, nr)
			c.sentTo, c.retryAt = "", h.loop.Now()+callRetryInterval
			h.loop.At(c.retryAt, (*callTimer)(h), nr)
		}
	}
}

// resendBootstrap hands the founding to a founder that missed it: who began it may have died before the word reached the others.
func (h *Node) resendBootstrap(addr string, d membership.Node) {
	if h.core == nil || d.Founded || d.Disk == 0 {
		return
	}
	founders := h.core.replica.BootstrapMembers()
	for _, m := range founders {
		if m.ID == replication.MemberID(d.Disk) && h.roster.MayBootstrap(h.core.replica.ClusterID(), addr) {
			h.links.Send(addr, &Frame{Found: founders})
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
func (h *Node) bootstrap(members []replication.Member) {
	if h.core == nil {
		return
	}
	if err := h.core.replica.Bootstrap(members); err != nil {
		h.say(corePart, "founding passed over: %v", err)
		return
	}
	h.say(corePart, "founded by %d nodes", len(members))
}

// handleRosterActions carries out what the roster asks for.
func (h *Node) handleRosterActions() {
	h.roster.Tick(h.loop.Now())
	if h.slotsChanged { // once for all that came in this turn
		h.slotsChanged = false
		h.roster.SetSlots(h.machine.Slots())
	}
	for {
		a, ok := h.roster.Next()
		if !ok {
			return
		}
		switch a.Kind {
		case membership.Connect:
			h.links.Connect(a.Addr)
		case membership.Disconnect:
			h.links.Disconnect(a.Addr)
		case membership.SendHello:
			hello := h.roster.HelloTo(a.Addr)
			hello.Parts = true
			h.links.Send(a.Addr, &Frame{Hello: &hello})
		case membership.Bootstrap:
			members := founderMembers(a.Founders)
			if a.Addr == h.peerAddr {
				h.bootstrap(members)
			} else {
				h.links.Send(a.Addr, &Frame{Found: members})
			}
		case membership.LiveNodesChanged:
			h.updateNodes()
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
func (h *Node) slot() membership.Slot { return h.roster.Slot(h.peerAddr) }

// updateNodes tells the parts that go by nodes which there are, and which live.
func (h *Node) updateNodes() {
	h.checkUpstream()
	me := h.slot()
	if me == membership.NoSlot {
		return
	}
	order := h.roster.SlotHolders()
	if h.registry == nil {
		h.registry = registry.New(registry.Slot(me), registry.Config{HeartbeatInterval: h.settings.HeartbeatInterval,
			MinCopies: h.minDrainCopies(), Incarnation: uint32(h.incarnation)}, h.loop.Now())
		h.say(nodePart, "has slot %d of %d", me, len(order))
		if h.core != nil {
			h.core.loadRegistry()
		}
	}
	if len(order) != h.slotCount {
		h.slotCount = len(order)
		if h.sockets != nil {
			h.sockets.reserveLinkFDs(len(order))
		}
		addrs := make([]netip.AddrPort, len(order))
		for i, s := range order {
			addrs[i] = h.datagramAddr(s.Addr)
		}
		h.datagrams.SetPeers(addrs, int(me))
		h.quota.Grow(control.GatewayID(me), len(order))
		h.admission.SetNodes(len(order))
	}
	nodes := make([]registry.Node, 0, len(order))
	reach, place, places, live := 0, 0, 0, make([]bool, len(order))
	for i, s := range order {
		if s.Zone == h.settings.Zone {
			if i == int(me) {
				place = places
			}
			places++
		}
		if live[i] = h.roster.Live(s.Addr); live[i] {
			reach++
		}
		d, _ := h.roster.Node(s.Addr)
		nodes = append(nodes, registry.Node{Slot: registry.Slot(i), ControlAddr: s.Control, Zone: s.Zone,
			Live: live[i], HasDisk: d.Disk != 0, Follows: h.isLearner(s.Addr)})
	}
	if h.core != nil && reach != h.reachable {
		h.heartbeatAt = 0 // who follows goes by this node's word of who lives: an owner in its first second by a third of the rate
	}
	h.reachable = reach
	h.quota.SetReachable(live)
	h.admission.SetZoneIndex(place, places)
	h.registry.Tick(h.loop.Now())
	h.registry.SetNodes(nodes)
}

// minDrainCopies is at how many nodes with a disk the end of a backend is to be before it is acknowledged.
func (h *Node) minDrainCopies() int {
	if h.fault == ackDrainAlone {
		return 0
	}
	return h.settings.Tolerance.Machines + 1
}

// datagramAddr is where a node takes datagrams: the port after that of its links.
func (h *Node) datagramAddr(inner string) netip.AddrPort {
	host, _, _ := net.SplitHostPort(inner)
	a, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a, uint16(h.settings.InnerPorts[0]+1))
}

// peerAddrs is where the nodes at some control addresses take links: the ports of a deployment are alike.
func (h *Node) peerAddrs(controls []string) (inners []string) {
	for _, c := range controls {
		if host, _, err := net.SplitHostPort(c); err == nil {
			inners = append(inners, net.JoinHostPort(host, strconv.Itoa(h.settings.InnerPorts[0])))
		}
	}
	return inners
}

// handleRegistryActions carries out what the registry asks for.
func (h *Node) handleRegistryActions() {
	if h.registry == nil {
		return
	}
	h.registry.Tick(h.loop.Now())
	for {
		a, ok := h.registry.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case registry.Send:
			if s, ok := h.roster.SlotHolderAt(membership.Slot(a.Target)); ok {
				m := a.Message
				h.links.Send(s.Addr, &Frame{Board: &m})
			}
		case registry.Changed:
			h.registryDirty = true
			h.updateListing(a)
		case registry.Acknowledge:
			if then, ok := h.pendingHeartbeats[a.Ticket]; ok {
				delete(h.pendingHeartbeats, a.Ticket)
				then.answer(a.Confirmed && h.permitted(then.permission), a.OwnerAddr)
			}
		case registry.Wake:
			h.registryTimerSeq++
			h.loop.At(a.Deadline, (*registryTimer)(h), h.registryTimerSeq)
		}
	}
}

// registryTimer brings the registry's due time; the pull at the end of the turn does the rest.
type registryTimer Node

func (a *registryTimer) Live(nr uint32) bool { return nr == a.registryTimerSeq }
func (a *registryTimer) Due(uint32)          {}
