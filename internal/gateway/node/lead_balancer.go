package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
)

// Where groups are led: spread over the members, and away from those in trouble.
const (
	groupMaintenanceInterval = 300 * time.Millisecond
	minLeadTime              = time.Second            // a leader stays for so long before it hands over for the spread
	minStallTimeout          = 300 * time.Millisecond // a disk that has a write under way for so long stalls,
	maxStallTimeout          = 10 * time.Second       // twice as long each time that the lead was handed over for it: all may be as slow
	stallResetAfter          = 30 * time.Second       // and as at first after so long
	minLeadPenalty           = 5 * time.Second        // who lost the lead to trouble is not given it back for so long,
	maxLeadPenalty           = time.Minute            // twice as long each time
)

// leadBalancer is what a node knows of members that lost the lead.
type leadBalancer struct {
	penalties    map[replication.MemberID]leadPenalty
	stallTimeout time.Duration // how long a write takes now before the leads are handed over; 0: minStallTimeout
	handedOverAt time.Duration // when they were
}

// leadPenalty keeps the lead from a member.
type leadPenalty struct {
	until    time.Duration
	duration time.Duration
}

// penalizeFormerLeader notes that this node leads a group after another one: one that ought to lead it and does no longer is in trouble.
func (l *leadBalancer) penalizeFormerLeader(r *groupReplica, before replication.MemberID, now time.Duration) {
	ought := r.host.assignedLeaders(func(replication.Member) bool { return true })[r.id]
	if ought == r.self.ID || ought != before {
		return
	}
	t := l.penalties[ought]
	switch {
	case now < t.until:
		return
	case t.duration == 0 || now-t.until > maxLeadPenalty:
		t.duration = minLeadPenalty
	default:
		t.duration = min(2*t.duration, maxLeadPenalty)
	}
	t.until = now + t.duration
	l.penalties[ought] = t
}

// assignedLeaders is which member ought to lead each group, of those that may.
func (g *groupHost) assignedLeaders(may func(replication.Member) bool) (to [groups.Count]replication.MemberID) {
	var disks []uint64
	for _, m := range g.node.core.replica.Members() {
		if may(m) {
			disks = append(disks, uint64(m.ID))
		}
	}
	for id, disk := range groups.PreferredLeaders(disks) {
		to[id] = replication.MemberID(disk)
	}
	return to
}

// maintain has the groups follow the configuration's members, and their leads spread.
func (g *groupHost) maintain() {
	if !g.participates() || !g.node.core.replica.Bootstrapped() {
		return
	}
	g.yieldOnStall()
	now := g.node.loop.Now()
	if now-g.maintainedAt < groupMaintenanceInterval {
		return
	}
	g.maintainedAt = now
	var reach []replication.ReachableNode
	for _, r := range g.node.reachableDisks() {
		if containsMember(g.node.core.replica.Members(), r.ID) {
			reach = append(reach, r)
		}
	}
	there := func(m replication.Member) bool {
		for _, r := range reach {
			if r.ID == m.ID {
				return !r.Draining && g.balancer.penalties[m.ID].until <= now
			}
		}
		return false
	}
	assigned := g.assignedLeaders(there)
	for i, r := range g.replicas {
		r.advance().ReconcileMembers(reach, g.node.settings.Tolerance.Machines)
		if to := assigned[i]; r.leadTerm != 0 && to != 0 && to != r.self.ID && now-r.leadSince > minLeadTime && r.replica.CanTransferTo(to) {
			r.replica.TransferLeadershipTo(to)
		}
	}
}

// yieldOnStall hands over what this node leads while its disk stalls.
func (g *groupHost) yieldOnStall() {
	b, now := &g.balancer, g.node.loop.Now()
	if b.stallTimeout == 0 || now-b.handedOverAt > stallResetAfter {
		b.stallTimeout = minStallTimeout
	}
	if g.node.core.disk.stalledFor() > b.stallTimeout && slices.ContainsFunc(g.replicas[:], func(r *groupReplica) bool { return r.replica.IsLeader() }) {
		b.stallTimeout, b.handedOverAt = min(2*b.stallTimeout, maxStallTimeout), now
		g.transferLeadership()
	}
}

// transferLeadership gives each group that this node leads to the one that ought to lead it without this one.
func (g *groupHost) transferLeadership() {
	if !g.participates() {
		return
	}
	assigned := g.assignedLeaders(func(m replication.Member) bool { return m.ID != g.node.core.self.ID && g.node.roster.Live(m.Addr) })
	for i, r := range g.replicas {
		if p := r.advance(); p.IsLeader() {
			p.TransferLeadershipTo(assigned[i])
		}
	}
}

// replicatedElsewhere tells whether the others have what this member has of each group.
func (g *groupHost) replicatedElsewhere() bool {
	if !g.participates() {
		return true
	}
	g.transferLeadership()
	for _, r := range g.replicas {
		if r.replica.IsLeader() && len(r.replica.Members()) > 1 || !r.replica.IsLeader() && r.replica.Bootstrapped() && r.replica.ReplicatedElsewhere() < r.replica.CommitIndex() {
			return false
		}
	}
	return true
}

func containsMember(list []replication.Member, id replication.MemberID) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}
