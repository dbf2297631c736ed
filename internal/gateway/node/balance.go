package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
)

// Where groups are led: spread over the members, and away from those in trouble.
const (
	tendGroups  = 300 * time.Millisecond
	leadFirst   = time.Second            // a leader stays for so long before it hands over for the spread
	stallAfter  = 300 * time.Millisecond // a disk that has a write under way for so long stalls,
	stallMost   = 10 * time.Second       // twice as long each time that the lead was handed over for it: all may be as slow
	stallCalm   = 30 * time.Second       // and as at first after so long
	troubleFor  = 5 * time.Second        // who lost the lead to trouble is not given it back for so long,
	troubleMost = time.Minute            // twice as long each time
)

// balancer is what a node knows of members that lost the lead.
type balancer struct {
	trouble map[replication.MemberID]trouble
	stall   time.Duration // how long a write takes now before the leads are handed over; 0: stallAfter
	yielded time.Duration // when they were
}

// trouble keeps the lead from a member.
type trouble struct {
	until time.Duration
	wait  time.Duration
}

// gained notes that this node leads a group after another one: one that ought to lead it and does no longer is in trouble.
func (b *balancer) gained(r *groupReplica, before replication.MemberID, now time.Duration) {
	ought := r.host.assigned(func(replication.Member) bool { return true })[r.id]
	if ought == r.me.ID || ought != before {
		return
	}
	t := b.trouble[ought]
	switch {
	case now < t.until:
		return
	case t.wait == 0 || now-t.until > troubleMost:
		t.wait = troubleFor
	default:
		t.wait = min(2*t.wait, troubleMost)
	}
	t.until = now + t.wait
	b.trouble[ought] = t
}

// assigned is which member ought to lead each group, of those that may.
func (g *groupHost) assigned(may func(replication.Member) bool) (to [groups.Count]replication.MemberID) {
	var disks []uint64
	for _, m := range g.h.core.p.Members() {
		if may(m) {
			disks = append(disks, uint64(m.ID))
		}
	}
	for id, disk := range groups.PreferredLeaders(disks) {
		to[id] = replication.MemberID(disk)
	}
	return to
}

// tend has the groups follow the configuration's members, and their leads spread.
func (g *groupHost) tend() {
	if !g.runs() || !g.h.core.p.Bootstrapped() {
		return
	}
	g.yield()
	now := g.h.e.Now()
	if now-g.tendedAt < tendGroups {
		return
	}
	g.tendedAt = now
	var reach []replication.ReachableNode
	for _, r := range g.h.disksInReach() {
		if memberOf(g.h.core.p.Members(), r.ID) {
			reach = append(reach, r)
		}
	}
	there := func(m replication.Member) bool {
		for _, r := range reach {
			if r.ID == m.ID {
				return !r.Draining && g.balancer.trouble[m.ID].until <= now
			}
		}
		return false
	}
	assigned := g.assigned(there)
	for i, r := range g.replicas {
		r.now().ReconcileMembers(reach, g.h.settings.Tolerance.Machines)
		if to := assigned[i]; r.term != 0 && to != 0 && to != r.me.ID && now-r.since > leadFirst && r.p.CanTransferTo(to) {
			r.p.TransferLeadershipTo(to)
		}
	}
}

// yield hands over what this node leads while its disk stalls.
func (g *groupHost) yield() {
	b, now := &g.balancer, g.h.e.Now()
	if b.stall == 0 || now-b.yielded > stallCalm {
		b.stall = stallAfter
	}
	if g.h.core.disk.stalled() > b.stall && slices.ContainsFunc(g.replicas[:], func(r *groupReplica) bool { return r.p.IsLeader() }) {
		b.stall, b.yielded = min(2*b.stall, stallMost), now
		g.handOver()
	}
}

// handOver gives each group that this node leads to the one that ought to lead it without this one.
func (g *groupHost) handOver() {
	if !g.runs() {
		return
	}
	assigned := g.assigned(func(m replication.Member) bool { return m.ID != g.h.core.me.ID && g.h.roster.Live(m.Addr) })
	for i, r := range g.replicas {
		if p := r.now(); p.IsLeader() {
			p.TransferLeadershipTo(assigned[i])
		}
	}
}

// left tells whether the others have what this member has of each group.
func (g *groupHost) left() bool {
	if !g.runs() {
		return true
	}
	g.handOver()
	for _, r := range g.replicas {
		if r.p.IsLeader() && len(r.p.Members()) > 1 || !r.p.IsLeader() && r.p.Bootstrapped() && r.p.ReplicatedElsewhere() < r.p.CommitIndex() {
			return false
		}
	}
	return true
}

func memberOf(list []replication.Member, id replication.MemberID) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}
