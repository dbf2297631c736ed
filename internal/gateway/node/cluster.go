package node

import (
	"net"
	"net/netip"
	"strconv"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
)

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
			hello.ChunkedCalls = true
			n.links.Send(a.Addr, &Frame{Hello: hello.Wire()})
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

// slot is this node's, or NoSlot.
func (n *Node) slot() membership.Slot { return n.roster.Slot(n.peerAddr) }

// updateNodes tells the parts that go by nodes which there are, and which live.
func (n *Node) updateNodes() {
	n.streamReceiver.check()
	me := n.slot()
	if me == membership.NoSlot {
		return
	}
	order := n.roster.SlotHolders()
	if n.registry == nil {
		n.registry = registry.New(registry.Slot(me), registry.Config{HeartbeatInterval: n.settings.HeartbeatInterval,
			MinCopies: n.minDrainCopies(), Incarnation: uint32(n.incarnation)}, n.loop.Now())
		n.logInfo(nodePart).Int("slot", int(me)).Int("slots", len(order)).Msg("slot assigned")
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
			Live: live[i], HasDisk: d.Disk != 0, Follows: n.streamSender.isLearner(s.Addr)})
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
