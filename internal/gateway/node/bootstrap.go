package node

import (
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
)

// resendBootstrap sends the bootstrap to a founder that missed it: the node that began it may have died before it reached all of them.
func (n *Node) resendBootstrap(addr string, d membership.Node) {
	if n.core == nil || d.Bootstrapped || d.Disk == 0 {
		return
	}
	founders := n.core.replica.BootstrapMembers()
	for _, m := range founders {
		if m.ID == replication.MemberID(d.Disk) && n.roster.MaySendFounders(n.core.replica.ClusterID(), addr) {
			n.links.Send(addr, &Frame{Found: founders})
		}
	}
}

// abandonLoneBootstrap empties a disk that holds a bootstrap and nothing else, if each other founder's disk was replaced: whatever that
// bootstrap took is lost with them, and this member, waiting for them, would keep all nodes from a new bootstrap.
func (c *core) abandonLoneBootstrap() {
	founders := c.replica.BootstrapMembers()
	for _, m := range founders {
		if m.ID != c.self.ID && !c.isReplaced(m) {
			return
		}
	}
	if len(founders) > 1 && c.replica.DiscardBootstrap() {
		c.env.logInfo(corePart).Int("members", len(founders)).Msg("bootstrap discarded, no other founder has it")
	}
}

// isReplaced reports whether a node with another, empty disk lives at a founder's address, and the founder's disk is at no other node.
func (c *core) isReplaced(founder replication.Member) bool {
	roster := c.env.membershipRoster()
	present, ok := roster.Node(founder.Addr)
	return ok && roster.IsLive(founder.Addr) && present.Disk != 0 && !present.Bootstrapped && replication.MemberID(present.Disk) != founder.ID &&
		c.env.memberAddr(replication.Member{ID: founder.ID}) == ""
}

// bootstrap makes this node a member of a new log, if its disk is empty.
func (n *Node) bootstrap(members []replication.Member) {
	if n.core == nil {
		return
	}
	if err := n.core.replica.Bootstrap(members); err != nil {
		n.logInfo(corePart).Err(err).Msg("bootstrap ignored")
		return
	}
	n.logInfo(corePart).Int("members", len(members)).Msg("bootstrapped")
}

// founderMembers are the founders as members of the log.
func founderMembers(founders []membership.Founder) (members []replication.Member) {
	for _, f := range founders {
		members = append(members, replication.Member{ID: replication.MemberID(f.Disk), Addr: f.Addr})
	}
	return members
}
