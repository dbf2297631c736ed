package node

import (
	"net"
	"net/netip"
	"strconv"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
)

// handleRosterActions carries out what the roster decided.
func (n *Node) handleRosterActions() {
	n.roster.Tick(n.loop.Now())
	if n.slotsChanged { // once for all that came in this turn
		n.slotsChanged = false
		n.roster.SetSlots(n.machine.SlotHolders())
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

// updateNodes gives the parts that depend on the other nodes which there are, and which live.
func (n *Node) updateNodes() {
	n.streamReceiver.check()
	self, holders := n.slot(), n.roster.SlotHolders()
	if self == membership.NoSlot {
		return
	}
	if n.registry == nil {
		n.openRegistry(self, len(holders))
	}
	if len(holders) != n.slotCount {
		n.resizeCluster(self, holders)
	}
	live := make([]bool, len(holders))
	reachable := 0
	for i, s := range holders {
		if live[i] = n.roster.IsLive(s.Addr); live[i] {
			reachable++
		}
	}
	if n.core != nil && reachable != n.reachable {
		n.heartbeatAt = 0 // learners know from here which nodes live; by it an owner grants a third of the rate in its first second
	}
	n.reachable = reachable
	n.quota.SetReachable(live)
	n.admission.SetZoneIndex(n.zoneIndex(self, holders))
	n.registry.Tick(n.loop.Now())
	n.registry.SetNodes(n.registryNodes(holders, live))
}

// resizeCluster gives the parts that depend on it the number of slots.
func (n *Node) resizeCluster(self membership.Slot, holders []membership.SlotHolder) {
	n.slotCount = len(holders)
	if n.sockets != nil {
		n.sockets.reserveLinkFDs(len(holders))
	}
	addrs := make([]netip.AddrPort, len(holders))
	for i, s := range holders {
		addrs[i] = n.datagramAddr(s.Addr)
	}
	n.datagrams.SetPeers(addrs, int(self))
	n.quota.Grow(control.GatewayID(self), len(holders))
	n.admission.SetNodes(len(holders))
}

// zoneIndex is this node's place among the nodes of its zone, and their number.
func (n *Node) zoneIndex(self membership.Slot, holders []membership.SlotHolder) (index, count int) {
	for i, s := range holders {
		if s.Zone != n.settings.Zone {
			continue
		}
		if i == int(self) {
			index = count
		}
		count++
	}
	return index, count
}

// registryNodes are the nodes as the registry knows them.
func (n *Node) registryNodes(holders []membership.SlotHolder, live []bool) []registry.Node {
	nodes := make([]registry.Node, 0, len(holders))
	for i, s := range holders {
		known, _ := n.roster.Node(s.Addr)
		nodes = append(nodes, registry.Node{Slot: registry.Slot(i), ControlAddr: s.Control, Zone: s.Zone, Live: live[i],
			HasDisk: known.Disk != 0, Follows: n.streamSender.isLearner(s.Addr)})
	}
	return append(nodes, n.disksWithoutSlot()...)
}

// disksWithoutSlot are the members of the configuration log that have no slot yet, as the registry knows them.
func (n *Node) disksWithoutSlot() (nodes []registry.Node) {
	if n.core == nil {
		return nil
	}
	for _, m := range n.coreMembers() {
		if n.roster.Slot(n.memberAddr(m)) == membership.NoSlot {
			nodes = append(nodes, registry.Node{Slot: registry.NoSlot, HasDisk: true})
		}
	}
	return nodes
}

// datagramAddr is where a node takes datagrams: the port after that of its links.
func (n *Node) datagramAddr(peerAddr string) netip.AddrPort {
	host, _, _ := net.SplitHostPort(peerAddr)
	a, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a, uint16(n.settings.InnerPorts[0]+1))
}

// peerAddrs are where the nodes at some control addresses take links: the ports of a deployment are alike.
func (n *Node) peerAddrs(controls []string) (addrs []string) {
	for _, c := range controls {
		if host, _, err := net.SplitHostPort(c); err == nil {
			addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(n.settings.InnerPorts[0])))
		}
	}
	return addrs
}
