package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// Groups runs the coordination groups at this node: see groups.Host.
func (h *Node) Groups() groups.Host { return h.groups }

// Propose and the others are groups.Host.
func (g *groupHost) Propose(id groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	if !g.asked() {
		then(groups.NotProposed, nil)
		return
	}
	r := g.replicas[id]
	r.token++
	r.waits[r.token] = groupCall{entry: entry, proposed: then}
	r.now().Propose(r.token, entry)
}

func (g *groupHost) ReadIndex(id groups.ID, then func(ok bool)) {
	if !g.asked() {
		then(false)
		return
	}
	r := g.replicas[id]
	r.token++
	r.waits[r.token] = groupCall{read: then}
	r.now().Read(r.token)
}

func (g *groupHost) Leadership(id groups.ID) (term uint64, since time.Duration, ok bool) {
	if !g.asked() {
		return 0, 0, false
	}
	r := g.replicas[id]
	if view, leads := r.now().LeaderTerm(); !leads || view != r.term {
		return 0, 0, false
	}
	return r.term, r.since, true
}

func (g *groupHost) Leader(id groups.ID) (address string, ok bool) {
	if g.runs() {
		if m, _, known := g.replicas[id].p.Leader(); known {
			return g.h.addrOf(m), true
		}
	}
	hint := g.hints[id]
	return hint.addr, hint.addr != "" && g.h.e.Now()-hint.at < hintFor
}

func (g *groupHost) LeaderCandidates(id groups.ID) (addrs []string) {
	g.asked()
	if addr, ok := g.Leader(id); ok {
		addrs = append(addrs, addr)
	}
	var disks []uint64
	at := map[uint64]string{}
	for _, d := range g.h.roster.Disks() {
		if d.Founded && !d.Leaving {
			disks, at[uint64(d.Disk)] = append(disks, uint64(d.Disk)), d.Addr
		}
	}
	likely := append([]uint64{groups.PreferredLeaders(disks)[id]}, groups.RankDisks(id, disks)...)
	for _, disk := range likely {
		if addr := at[disk]; addr != "" && len(addrs) < guessesMost && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (g *groupHost) HintLeader(id groups.ID, address string) {
	g.hints[id] = hint{address, g.h.e.Now()}
}

func (g *groupHost) Now() time.Duration { return g.h.e.Now() }

// asked tells whether this node takes part in the groups. Where they have not begun, they are wanted from now on.
func (g *groupHost) asked() bool {
	if !g.begun && g.wanted == 0 {
		g.wanted = max(g.h.e.Now(), 1)
	}
	return g.runs()
}

// want has the groups founded, where that is wanted: by the deployment's contracts, or by a call that came.
func (g *groupHost) want() {
	now := g.h.e.Now()
	if newApplication == nil || g.begun || now-g.wantedAt < wantEvery || !g.h.may(takeCalls) {
		return
	}
	if g.wanted == 0 {
		if !slices.Contains(g.h.settings.Contracts, coordinates) || !g.h.leading() {
			return
		}
		g.wanted = now
	}
	if g.h.leading() && !g.complete() {
		return
	}
	g.wantedAt = now
	g.h.ask(statemachine.KindBootstrapGroups, nil, 0, func(status int, body []byte) {
		if status != 200 {
			g.h.say(groupPart, "not founded yet: %s", body)
		}
	})
}

// complete tells whether all disks in reach are members of the configuration's log, or were waited for.
func (g *groupHost) complete() bool {
	if g.h.e.Now()-g.wanted > foundWithin {
		return true
	}
	for _, r := range g.h.disksInReach() {
		if !memberOf(g.h.core.p.Members(), r.ID) {
			return false
		}
	}
	return true
}

// founders words the disks that groups would begin with now.
func (c *core) founders() []byte {
	var all []membership.Founder
	for _, m := range c.p.Members() {
		all = append(all, membership.Founder{Disk: membership.Disk(m.ID), Addr: m.Addr})
	}
	return statemachine.BootstrapGroupsEntry(all)
}

// leaders are the slots of those who lead the groups, for others to know; nil: there are no groups.
func (g *groupHost) leaders() (slots []membership.Slot) {
	if !g.runs() {
		return nil
	}
	for id := range groups.ID(groups.Count) {
		slot := membership.NoSlot
		if addr, ok := g.Leader(id); ok {
			slot = g.h.roster.Slot(addr)
		}
		slots = append(slots, slot)
	}
	return slots
}

// told takes them from the node that this one follows.
func (g *groupHost) told(slots []membership.Slot) {
	for id, slot := range slots[:min(len(slots), groups.Count)] {
		if s, ok := g.h.roster.At(slot); ok {
			g.begun = true
			g.HintLeader(groups.ID(id), s.Addr)
		}
	}
}

// GroupStatus is how a group's replica here stands; false: there is none.
func (h *Node) GroupStatus(id groups.ID) (replication.Status, bool) {
	if !h.groups.runs() {
		return replication.Status{}, false
	}
	return h.groups.replicas[id].p.Status(), true
}

// MoveGroup has a group that this node leads led by the member at an address; false: it does not lead it, or that one could not at once.
func (h *Node) MoveGroup(id groups.ID, addr string) bool {
	if !h.groups.runs() {
		return false
	}
	p := h.groups.replicas[id].now()
	for _, m := range p.Members() {
		if h.addrOf(m) == addr && p.CanTransferTo(m.ID) {
			p.TransferLeadershipTo(m.ID)
			return true
		}
	}
	return false
}
