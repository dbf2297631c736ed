// Read-only views of a replica: its leader, members and figures.

package replication

import "slices"

// ClusterID names the founding whose state this disk holds, synced; 0: none.
func (p *Replica) ClusterID() uint64 {
	if !p.bootstrapSynced {
		return 0
	}
	return p.clusterID
}

// ReplicatedElsewhere is up to which index all that is known here to be committed is on the disks of a majority of the members without
// this one, where it leaves, and Committed what is known to be: who leaves waits until the one has come up to the other.
func (p *Replica) ReplicatedElsewhere() uint64 {
	switch {
	case p.role == roleLeader:
		return p.replicatedWithout(p.self.ID)
	case !p.isMember(p.self.ID): // nothing rests on it
		return p.commitIndex
	}
	return min(p.replicatedElsewhere, p.commitIndex)
}

// CommitIndex is up to which index entries are known to be committed.
func (p *Replica) CommitIndex() uint64 { return p.commitIndex }

// Leader is who leads, as far as is known here, and the view.
func (p *Replica) Leader() (Member, uint64, bool) {
	if p.leaderID == p.self.ID {
		return p.self, p.term, true
	}
	if p.leaderID == 0 || p.now-p.leaderContactAt > p.config.QuorumTimeout {
		return Member{}, p.term, false
	}
	for _, c := range p.memberConfigs {
		if i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == p.leaderID }); i >= 0 {
			return c.members[i], p.term, true
		}
	}
	return Member{}, p.term, false
}

// IsLeader tells whether this member leads and has heard a majority of late. It says nothing for sure about
// this very moment: that takes a Read.
func (p *Replica) IsLeader() bool { return p.role == roleLeader }

// Members is the newest list; nil before a founding.
func (p *Replica) Members() []Member { return p.memberConfigs[len(p.memberConfigs)-1].members }

// BootstrapMembers are those of view 1, while nothing is known to be committed after the founding: one of them with an empty disk has
// missed the word, and may be handed it by any other. Nil otherwise.
func (p *Replica) BootstrapMembers() []Member {
	if p.clusterID == 0 || p.snapshot.Index != 1 {
		return nil
	}
	return slices.Clone(p.snapshot.Members)
}

// Bootstrapped tells whether there is anything on this disk but the member's id.
func (p *Replica) Bootstrapped() bool { return p.clusterID != 0 }

// Status is for operators.
type Status struct {
	Self                                            Member
	Role                                            string
	Term                                            uint64
	Leader                                          Member // zero if not known
	Members                                         []Member
	MembersCommitted                                bool // the newest list is known to be committed
	Learner                                         MemberID
	FirstIndex, LastIndex, SyncedIndex, Uncommitted uint64 // the log; Behind: entries not committed here
	Pending                                         int    // proposals and reads
}

// Status is how things stand.
func (p *Replica) Status() Status {
	leader, _, _ := p.Leader()
	return Status{Self: p.self, Role: p.role.String(), Term: p.term, Leader: leader, Members: p.Members(),
		MembersCommitted: p.membersCommitted(), Learner: p.learner, FirstIndex: p.snapshot.Index + 1, LastIndex: p.lastIndex(), SyncedIndex: p.syncedIndex,
		Uncommitted: p.lastIndex() - p.commitIndex, Pending: len(p.proposals) + len(p.reads)}
}
