package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// Groups runs the coordination groups at this node: see groups.Host.
func (n *Node) Groups() groups.Host { return n.groups }

// Propose and the others are groups.Host.
func (g *groupHost) Propose(id groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	if !g.requestGroups() {
		then(groups.NotProposed, nil)
		return
	}
	r := g.replicas[id]
	r.lastToken++
	r.pending[r.lastToken] = groupRequest{entry: entry, onProposed: then}
	r.advance().Propose(r.lastToken, entry)
}

func (g *groupHost) ReadIndex(id groups.ID, then func(ok bool)) {
	if !g.requestGroups() {
		then(false)
		return
	}
	r := g.replicas[id]
	r.lastToken++
	r.pending[r.lastToken] = groupRequest{onRead: then}
	r.advance().Read(r.lastToken)
}

func (g *groupHost) Leadership(id groups.ID) (term uint64, since time.Duration, ok bool) {
	if !g.requestGroups() {
		return 0, 0, false
	}
	r := g.replicas[id]
	if view, leads := r.advance().LeaderTerm(); !leads || view != r.leadTerm {
		return 0, 0, false
	}
	return r.leadTerm, r.leadSince, true
}

func (g *groupHost) Leader(id groups.ID) (address string, ok bool) {
	if g.participates() {
		if m, _, known := g.replicas[id].replica.Leader(); known {
			return g.node.memberAddr(m), true
		}
	}
	hint := g.leaderHints[id]
	return hint.addr, hint.addr != "" && g.node.loop.Now()-hint.receivedAt < leaderHintTTL
}

func (g *groupHost) LeaderCandidates(id groups.ID) (addrs []string) {
	g.requestGroups()
	if addr, ok := g.Leader(id); ok {
		addrs = append(addrs, addr)
	}
	var disks []uint64
	at := map[uint64]string{}
	for _, d := range g.node.roster.LiveDiskNodes() {
		if d.Founded && !d.Leaving {
			disks, at[uint64(d.Disk)] = append(disks, uint64(d.Disk)), d.Addr
		}
	}
	likely := append([]uint64{groups.PreferredLeaders(disks)[id]}, groups.RankDisks(id, disks)...)
	for _, disk := range likely {
		if addr := at[disk]; addr != "" && len(addrs) < maxGuesses && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (g *groupHost) HintLeader(id groups.ID, address string) {
	g.leaderHints[id] = leaderHint{address, g.node.loop.Now()}
}

func (g *groupHost) Now() time.Duration { return g.node.loop.Now() }

// requestGroups tells whether this node takes part in the groups. Where they have not begun, they are wanted from now on.
func (g *groupHost) requestGroups() bool {
	if !g.founded && g.requestedAt == 0 {
		g.requestedAt = max(g.node.loop.Now(), 1)
	}
	return g.participates()
}

// requestFounding has the groups founded, where that is wanted: by the deployment's contracts, or by a call that came.
func (g *groupHost) requestFounding() {
	now := g.node.loop.Now()
	if newGroupApplication == nil || g.founded || now-g.foundingSentAt < foundingRetryInterval || !g.node.permitted(quorumcontact.TakeCalls) {
		return
	}
	if g.requestedAt == 0 {
		if !slices.Contains(g.node.settings.Contracts, coordinationContract) || !g.node.isLeader() {
			return
		}
		g.requestedAt = now
	}
	if g.node.isLeader() && !g.membersComplete() {
		return
	}
	g.foundingSentAt = now
	g.node.callLeader(statemachine.KindBootstrapGroups, nil, 0, func(status int, body []byte) {
		if status != 200 {
			g.node.say(groupPart, "not founded yet: %s", body)
		}
	})
}

// membersComplete tells whether all disks in reach are members of the configuration's log, or were waited for.
func (g *groupHost) membersComplete() bool {
	if g.node.loop.Now()-g.requestedAt > foundingWait {
		return true
	}
	for _, r := range g.node.reachableDisks() {
		if !containsMember(g.node.core.replica.Members(), r.ID) {
			return false
		}
	}
	return true
}

// groupFounders words the disks that groups would begin with now.
func (c *core) groupFounders() []byte {
	var all []membership.Founder
	for _, m := range c.replica.Members() {
		all = append(all, membership.Founder{Disk: membership.Disk(m.ID), Addr: m.Addr})
	}
	return statemachine.BootstrapGroupsEntry(all)
}

// leaderSlots are the slots of those who lead the groups, for others to know; nil: there are no groups.
func (g *groupHost) leaderSlots() (slots []membership.Slot) {
	if !g.participates() {
		return nil
	}
	for id := range groups.ID(groups.Count) {
		slot := membership.NoSlot
		if addr, ok := g.Leader(id); ok {
			slot = g.node.roster.Slot(addr)
		}
		slots = append(slots, slot)
	}
	return slots
}

// learnLeaders takes them from the node that this one follows.
func (g *groupHost) learnLeaders(slots []membership.Slot) {
	for id, slot := range slots[:min(len(slots), groups.Count)] {
		if s, ok := g.node.roster.SlotHolderAt(slot); ok {
			g.founded = true
			g.HintLeader(groups.ID(id), s.Addr)
		}
	}
}

// GroupStatus is how a group's replica here stands; false: there is none.
func (n *Node) GroupStatus(id groups.ID) (replication.Status, bool) {
	if !n.groups.participates() {
		return replication.Status{}, false
	}
	return n.groups.replicas[id].replica.Status(), true
}

// TransferGroup has a group that this node leads led by the member at an address; false: it does not lead it, or that one could not at once.
func (n *Node) TransferGroup(id groups.ID, addr string) bool {
	if !n.groups.participates() {
		return false
	}
	p := n.groups.replicas[id].advance()
	for _, m := range p.Members() {
		if n.memberAddr(m) == addr && p.CanTransferTo(m.ID) {
			p.TransferLeadershipTo(m.ID)
			return true
		}
	}
	return false
}
