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

// Came is told when another node has dialed this one. It may be the node that it follows, which dialed it anew. It may have given up a link before and with it the wish to follow:
// without a new one it would say nothing, and for two seconds nothing would tell of that.
func (h *Node) Came(from string) {
	h.core.forget(from)
	if from == h.feeder {
		h.follow(from)
	}
}

// Heard takes a frame from another node.
func (h *Node) Heard(from string, f *Frame) {
	h.roster.Now(h.e.Now())
	h.roster.Heard(from)
	if from == h.feeder {
		h.saysAt = h.e.Now()
	}
	switch {
	case f.Hello != nil:
		h.roster.Hello(from, *f.Hello)
		h.parts.takes[from] = f.Hello.Parts
		h.remind(from, f.Hello.Door)
	case f.Ping != nil:
		h.words[from] = word{h.e.Now(), f.Ping.Stale, f.Ping.Index, f.Ping.View}
		if f.Ping.Lives != nil && (h.core != nil || from == h.feeder) {
			h.roster.Told(from, f.Ping.Lives)
		}
		if from == h.feeder {
			h.learn(f.Ping.Stale, f.Ping.View, f.Ping.Echo, f.Ping.Index)
			h.groups.told(f.Ping.Leaders)
		}
		if f.Ping.Clock != 0 && h.hears(from) {
			h.echoes[from] = echo{f.Ping.Clock, h.e.Now()}
			h.links.Send(from, &Frame{Ping: h.pingTo(from)})
		}
	case f.Found != nil:
		h.found(f.Found)
	case f.Core != nil && h.core != nil:
		h.core.lineHeard(from, f.Core)
		h.core.p.Tick(h.e.Now())
		h.core.p.Step(f.Core.From, f.Core.Message)
	case f.Groups != nil && h.core != nil:
		h.groups.heard(f.Groups)
	case f.Board != nil && h.registry != nil:
		if s := h.roster.Slot(from); s != membership.NoSlot {
			h.registry.Now(h.e.Now())
			h.registry.Heard(registry.Slot(s), *f.Board)
		}
	case f.Follow != nil:
		h.followed(from, f.Follow)
	case f.Feed != nil:
		h.fed(from, f.Feed)
	case f.Call != nil:
		h.called(from, f.Call)
	case f.Reply != nil:
		h.answered(from, f.Reply)
	case f.Part != nil:
		h.partHeard(from, f.Part)
	case f.Rollout != nil:
		h.rolloutHeard(from, f.Rollout)
	case f.Coordination != nil:
		h.coordinationHeard(from, f.Coordination)
	}
}

// Up is told when the link to another node stands.
func (h *Node) Up(to string) {
	h.roster.Now(h.e.Now())
	h.roster.Up(to)
	if d, ok := h.roster.Node(to); ok {
		h.remind(to, d)
	}
	h.feedAnew(to)
	h.greet(to) // it may have started anew
	if to == h.feeder {
		h.follow(to) // so that the wish to follow it may have been lost with the link before
	}
}

// greet tells a node of the backends.
func (h *Node) greet(addr string) {
	if s := h.roster.Slot(addr); s != membership.NoSlot && h.registry != nil {
		h.registry.Now(h.e.Now())
		h.registry.Greet(registry.Slot(s))
	}
}

// hears tells whether a node gets its news from this one.
func (h *Node) hears(addr string) bool {
	_, ok := h.followers[addr]
	return ok
}

// Down is told when the link to another node ended.
func (h *Node) Down(to string) {
	h.roster.Now(h.e.Now())
	h.roster.Down(to)
	h.core.forget(to)
	h.groups.down(to)
	delete(h.followers, to)
	delete(h.echoes, to)
	h.coordination.Down(to)
	for _, nr := range slices.Sorted(maps.Keys(h.calls)) {
		if c := h.calls[nr]; c.sent == to { // it may have been taken: the same again is answered as the first was
			c.doubt = c.doubt || h.mayHave(c, nr)
			h.cancel(to, nr)
			c.sent, c.next = "", h.e.Now()+callAgain
			h.e.At(c.next, (*callAlarm)(h), nr)
		}
	}
}

// remind hands the founding to a founder that missed it: who began it may have died before the word reached the others.
func (h *Node) remind(addr string, d membership.Node) {
	if h.core == nil || d.Founded || d.Disk == 0 {
		return
	}
	founders := h.core.p.BootstrapMembers()
	for _, m := range founders {
		if m.ID == replication.MemberID(d.Disk) && h.roster.Spreads(h.core.p.ClusterID(), addr) {
			h.links.Send(addr, &Frame{Found: founders})
		}
	}
}

// layAside empties a disk that holds the word of a founding and nothing else, where another disk lies at the place of each other
// founder: what that founding ever took is gone with those, and this one, waiting for them, would keep all from beginning anew.
func (c *core) layAside() {
	founders := c.p.BootstrapMembers()
	for _, m := range founders {
		if d, ok := c.h.roster.Node(m.Addr); m.ID != c.me.ID && (!ok || !c.h.roster.Live(m.Addr) || d.Disk == 0 || d.Founded ||
			replication.MemberID(d.Disk) == m.ID || c.h.addrOf(replication.Member{ID: m.ID}) != "") {
			return
		}
	}
	if len(founders) > 1 && c.p.DiscardBootstrap() {
		c.h.say(corePart, "the founding of %d nodes that this disk holds alone is laid aside", len(founders))
	}
}

// found begins the core, if this node's disk is empty.
func (h *Node) found(members []replication.Member) {
	if h.core == nil {
		return
	}
	if err := h.core.p.Bootstrap(members); err != nil {
		h.say(corePart, "founding passed over: %v", err)
		return
	}
	h.say(corePart, "founded by %d nodes", len(members))
}

// pullRoster carries out what the roster asks for.
func (h *Node) pullRoster() {
	h.roster.Now(h.e.Now())
	if h.slotsNew { // once for all that came in this turn
		h.slotsNew = false
		h.roster.SetSlots(h.machine.Slots())
	}
	for {
		a, ok := h.roster.Next()
		if !ok {
			return
		}
		switch a.Verb {
		case membership.Want:
			h.links.Want(a.Addr)
		case membership.Leave:
			h.links.Leave(a.Addr)
		case membership.Greet:
			hello := h.roster.Say(a.Addr)
			hello.Parts = true
			h.links.Send(a.Addr, &Frame{Hello: &hello})
		case membership.Found:
			members := membersOf(a.Founders)
			if a.Addr == h.inner {
				h.found(members)
			} else {
				h.links.Send(a.Addr, &Frame{Found: members})
			}
		case membership.Changed:
			h.nodesChanged()
		}
	}
}

func membersOf(founders []membership.Founder) (members []replication.Member) {
	for _, f := range founders {
		members = append(members, replication.Member{ID: replication.MemberID(f.Disk), Addr: f.Addr})
	}
	return members
}

// slot is this node's, or NoSlot.
func (h *Node) slot() membership.Slot { return h.roster.Slot(h.inner) }

// nodesChanged tells the parts that go by nodes which there are, and which live.
func (h *Node) nodesChanged() {
	h.tendFeed()
	me := h.slot()
	if me == membership.NoSlot {
		return
	}
	order := h.roster.Order()
	if h.registry == nil {
		h.registry = registry.New(registry.Slot(me), registry.Terms{BeatInterval: h.settings.HeartbeatInterval,
			Enough: h.enoughCopies(), Life: uint32(h.life)}, h.e.Now())
		h.say(nodePart, "has slot %d of %d", me, len(order))
		if h.core != nil {
			h.core.remember()
		}
	}
	if len(order) != h.slots {
		h.slots = len(order)
		if h.own != nil {
			h.own.leaveLinks(len(order))
		}
		addrs := make([]netip.AddrPort, len(order))
		for i, s := range order {
			addrs[i] = h.datagramAddr(s.Addr)
		}
		h.peers.Move(addrs, int(me))
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
		nodes = append(nodes, registry.Node{Seat: registry.Slot(i), Control: s.Control, Zone: s.Zone,
			Live: live[i], Firm: d.Disk != 0, Hears: h.hears(s.Addr)})
	}
	if h.core != nil && reach != h.reach {
		h.pingedAt = 0 // who follows goes by this node's word of who lives: an owner in its first second by a third of the rate
	}
	h.reach = reach
	h.quota.Reach(live)
	h.admission.SetPlace(place, places)
	h.registry.Now(h.e.Now())
	h.registry.SetNodes(nodes)
}

// enoughCopies is at how many nodes with a disk the end of a backend is to be before it is acknowledged.
func (h *Node) enoughCopies() int {
	if h.fault == endsAlone {
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

// innersOf is where the nodes at some control addresses take links: the ports of a deployment are alike.
func (h *Node) innersOf(controls []string) (inners []string) {
	for _, c := range controls {
		if host, _, err := net.SplitHostPort(c); err == nil {
			inners = append(inners, net.JoinHostPort(host, strconv.Itoa(h.settings.InnerPorts[0])))
		}
	}
	return inners
}

// pullRegistry carries out what the registry asks for.
func (h *Node) pullRegistry() {
	if h.registry == nil {
		return
	}
	h.registry.Now(h.e.Now())
	for {
		a, ok := h.registry.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case registry.Send:
			if s, ok := h.roster.At(membership.Slot(a.To)); ok {
				m := a.Message
				h.links.Send(s.Addr, &Frame{Board: &m})
			}
		case registry.Changed:
			h.registryNews = true
			h.listed(a)
		case registry.Acknowledge:
			if then, ok := h.beats[a.Ticket]; ok {
				delete(h.beats, a.Ticket)
				then.answer(a.OK && h.may(then.right), a.Target)
			}
		case registry.Wake:
			h.registryWake++
			h.e.At(a.At, (*registryAlarm)(h), h.registryWake)
		}
	}
}

// registryAlarm brings the registry's due time; the pull at the end of the turn does the rest.
type registryAlarm Node

func (a *registryAlarm) Live(nr uint32) bool { return nr == a.registryWake }
func (a *registryAlarm) Due(uint32)          {}
