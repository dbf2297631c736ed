package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
)

const (
	// maxGuesses bounds the nodes that a call of a group is sent to.
	maxGuesses = 3
	// leaderHintTTL is how long a hint from another node on a group's leader counts.
	leaderHintTTL = 10 * time.Second
)

// leaderHint is a group's leader, as another node knows it.
type leaderHint struct {
	addr       string
	receivedAt time.Duration
}

// Leader is who leads a group, as far as it is known here.
func (g *groupHost) Leader(id groups.ID) (address string, ok bool) {
	if g.participates() {
		if m, _, known := g.replicas[id].replica.Leader(); known {
			return g.env.memberAddr(m), true
		}
	}
	hint := g.hints[id]
	return hint.addr, hint.addr != "" && g.env.now()-hint.receivedAt < leaderHintTTL
}

// LeaderCandidates are the nodes to send a call of a group to, the likeliest leader first.
func (g *groupHost) LeaderCandidates(id groups.ID) (addrs []string) {
	g.requestGroups()
	if addr, ok := g.Leader(id); ok {
		addrs = append(addrs, addr)
	}
	var disks []uint64
	addrOf := map[uint64]string{}
	for _, d := range g.env.membershipRoster().LiveDiskNodes() {
		if d.Bootstrapped && !d.Leaving {
			disks, addrOf[uint64(d.Disk)] = append(disks, uint64(d.Disk)), d.Addr
		}
	}
	likely := append([]uint64{groups.PreferredLeaders(disks)[id]}, groups.RankDisks(id, disks)...)
	for _, disk := range likely {
		if addr := addrOf[disk]; addr != "" && len(addrs) < maxGuesses && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// HintLeader takes a hint from another node on a group's leader.
func (g *groupHost) HintLeader(id groups.ID, address string) {
	g.hints[id] = leaderHint{address, g.env.now()}
}

// leaderSlots are the slots of the groups' leaders, for the nodes that follow this one; nil: there are no groups.
func (g *groupHost) leaderSlots() (slots []membership.Slot) {
	if !g.participates() {
		return nil
	}
	for id := range groups.ID(groups.Count) {
		slot := membership.NoSlot
		if addr, ok := g.Leader(id); ok {
			slot = g.env.membershipRoster().Slot(addr)
		}
		slots = append(slots, slot)
	}
	return slots
}

// learnLeaders takes them from the node that this one follows.
func (g *groupHost) learnLeaders(slots []membership.Slot) {
	for id, slot := range slots[:min(len(slots), groups.Count)] {
		if s, ok := g.env.membershipRoster().NodeAtSlot(slot); ok {
			g.founded = true
			g.HintLeader(groups.ID(id), s.Addr)
		}
	}
}
