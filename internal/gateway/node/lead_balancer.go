package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
)

const (
	// groupMaintenanceInterval is how often the groups' members and leaders are looked at.
	groupMaintenanceInterval = 300 * time.Millisecond
	// minLeadTime is how long a leader stays before it hands over to the member that ought to lead.
	minLeadTime = time.Second

	// minStallTimeout is how long a disk's write may take before the node hands over what it leads. It doubles each time, since all
	// disks may be as slow,
	minStallTimeout = 300 * time.Millisecond
	// up to maxStallTimeout,
	maxStallTimeout = 10 * time.Second
	// and is the least one again after stallResetAfter.
	stallResetAfter = 30 * time.Second

	// minLeadPenalty is how long a member that lost the lead is not given it back. It doubles each time, up to maxLeadPenalty.
	minLeadPenalty = 5 * time.Second
	maxLeadPenalty = time.Minute
)

// leadBalancer decides which member leads a group: evenly over the members, but none that has lost the lead of late, or whose disk is stalled.
type leadBalancer struct {
	penalties    map[replication.MemberID]leadPenalty
	stallTimeout time.Duration // now; 0: minStallTimeout
	handedOverAt time.Duration // for a stalled disk
	maintainedAt time.Duration
}

// leadPenalty keeps the lead from a member.
type leadPenalty struct {
	until    time.Duration
	duration time.Duration
}

func newLeadBalancer() leadBalancer {
	return leadBalancer{penalties: map[replication.MemberID]leadPenalty{}}
}

// penalize keeps the lead from a member for a while. One that has a penalty keeps it as it is.
func (l *leadBalancer) penalize(member replication.MemberID, now time.Duration) {
	p := l.penalties[member]
	switch {
	case now < p.until:
		return
	case p.duration == 0 || now-p.until > maxLeadPenalty:
		p.duration = minLeadPenalty
	default:
		p.duration = min(2*p.duration, maxLeadPenalty)
	}
	p.until = now + p.duration
	l.penalties[member] = p
}

// penalized reports whether a member is not to lead now.
func (l *leadBalancer) penalized(member replication.MemberID, now time.Duration) bool {
	return l.penalties[member].until > now
}

// isStalled reports whether a write has taken so long that the node is to hand over what it leads.
func (l *leadBalancer) isStalled(writing, now time.Duration) bool {
	if l.stallTimeout == 0 || now-l.handedOverAt > stallResetAfter {
		l.stallTimeout = minStallTimeout
	}
	return writing > l.stallTimeout
}

// handedOver records a leadership transfer for a stalled disk.
func (l *leadBalancer) handedOver(now time.Duration) {
	l.stallTimeout, l.handedOverAt = min(2*l.stallTimeout, maxStallTimeout), now
}

// maintain has the groups follow the configuration's members, and has them led evenly by these.
func (g *groupHost) maintain() {
	if !g.participates() || !g.env.coreFounded() {
		return
	}
	g.handOverOnStall()
	now := g.env.now()
	if now-g.leads.maintainedAt < groupMaintenanceInterval {
		return
	}
	g.leads.maintainedAt = now
	members, reachable := g.env.coreMembers(), g.env.reachableDisks()
	reachable = slices.DeleteFunc(reachable, func(d replication.ReachableNode) bool { return !containsMember(members, d.ID) })
	assigned := g.assignedLeaders(func(m replication.Member) bool {
		i := slices.IndexFunc(reachable, func(d replication.ReachableNode) bool { return d.ID == m.ID })
		return i >= 0 && !reachable[i].Draining && !g.leads.penalized(m.ID, now)
	})
	for i, r := range g.replicas {
		r.advance().ReconcileMembers(reachable, g.env.toleratedLosses())
		to := assigned[i]
		if r.leadTerm != 0 && to != 0 && to != r.self.ID && now-r.leadSince > minLeadTime && r.replica.CanTransferTo(to) {
			r.replica.TransferLeadershipTo(to)
		}
	}
}

// assignedLeaders is which member ought to lead each group, of those that may.
func (g *groupHost) assignedLeaders(may func(replication.Member) bool) (leaders [groups.Count]replication.MemberID) {
	var disks []uint64
	for _, m := range g.env.coreMembers() {
		if may(m) {
			disks = append(disks, uint64(m.ID))
		}
	}
	for id, disk := range groups.PreferredLeaders(disks) {
		leaders[id] = replication.MemberID(disk)
	}
	return leaders
}

// penalizeFormerLeader penalizes the member that led a group before this one, if it is the one assigned: it has lost the lead by a fault.
func (g *groupHost) penalizeFormerLeader(r *groupReplica) {
	assigned := g.assignedLeaders(func(replication.Member) bool { return true })[r.id]
	if assigned != r.self.ID && assigned == r.leader {
		g.leads.penalize(assigned, r.leadSince)
	}
}

// handOverOnStall hands over what this node leads while its disk is stalled.
func (g *groupHost) handOverOnStall() {
	now := g.env.now()
	leads := func(r *groupReplica) bool { return r.replica.IsLeader() }
	if g.leads.isStalled(g.env.diskStalledFor(), now) && slices.ContainsFunc(g.replicas[:], leads) {
		g.leads.handedOver(now)
		g.transferLeadership()
	}
}

// transferLeadership gives each group that this node leads to the member that ought to lead it without this one.
func (g *groupHost) transferLeadership() {
	if !g.participates() {
		return
	}
	assigned := g.assignedLeaders(func(m replication.Member) bool { return m.ID != g.self() && g.env.membershipRoster().Live(m.Addr) })
	for i, r := range g.replicas {
		if r.advance().IsLeader() {
			r.replica.TransferLeadershipTo(assigned[i])
		}
	}
}

// replicatedElsewhere reports whether the others have what this member has of each group.
func (g *groupHost) replicatedElsewhere() bool {
	if !g.participates() {
		return true
	}
	g.transferLeadership()
	for _, r := range g.replicas {
		if r.replica.IsLeader() {
			if len(r.replica.Members()) > 1 {
				return false
			}
			continue
		}
		if r.replica.Bootstrapped() && r.replica.IndexReplicatedElsewhere() < r.replica.CommitIndex() {
			return false
		}
	}
	return true
}

// TransferGroup has a group that this node leads led by the member at an address; false: it does not lead it, or that one could not at once.
func (n *Node) TransferGroup(id groups.ID, addr string) bool {
	if !n.groups.participates() {
		return false
	}
	r := n.groups.replicas[id]
	for _, m := range r.advance().Members() {
		if n.memberAddr(m) == addr && r.replica.CanTransferTo(m.ID) {
			r.replica.TransferLeadershipTo(m.ID)
			return true
		}
	}
	return false
}
