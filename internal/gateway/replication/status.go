// Read-only views of a replica: its leader, members and figures.

package replication

import "slices"

// ClusterID names the founding whose state this disk holds, synced; 0: none.
func (r *Replica) ClusterID() uint64 {
	if !r.bootstrapSynced {
		return 0
	}
	return r.clusterID
}

// ReplicatedElsewhere is up to which index all that is known here to be committed is on the disks of a majority of the members without
// this one, where it leaves, and Committed what is known to be: who leaves waits until the one has come up to the other.
func (r *Replica) ReplicatedElsewhere() uint64 {
	switch {
	case r.role == roleLeader:
		return r.replicatedWithout(r.self.ID)
	case !r.isMember(r.self.ID): // nothing rests on it
		return r.commitIndex
	}
	return min(r.replicatedElsewhere, r.commitIndex)
}

// CommitIndex is up to which index entries are known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// Leader is who leads, as far as is known here, and the view.
func (r *Replica) Leader() (Member, uint64, bool) {
	if r.leaderID == r.self.ID {
		return r.self, r.term, true
	}
	if r.leaderID == 0 || r.now-r.leaderContactAt > r.config.QuorumTimeout {
		return Member{}, r.term, false
	}
	for _, c := range r.memberConfigs {
		if i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == r.leaderID }); i >= 0 {
			return c.members[i], r.term, true
		}
	}
	return Member{}, r.term, false
}

// IsLeader tells whether this member leads and has heard a majority of late. It says nothing for sure about
// this very moment: that takes a Read.
func (r *Replica) IsLeader() bool { return r.role == roleLeader }

// Members is the newest list; nil before a founding.
func (r *Replica) Members() []Member { return r.memberConfigs[len(r.memberConfigs)-1].members }

// BootstrapMembers are those of view 1, while nothing is known to be committed after the founding: one of them with an empty disk has
// missed the word, and may be handed it by any other. Nil otherwise.
func (r *Replica) BootstrapMembers() []Member {
	if r.clusterID == 0 || r.snapshot.Index != 1 {
		return nil
	}
	return slices.Clone(r.snapshot.Members)
}

// Bootstrapped tells whether there is anything on this disk but the member's id.
func (r *Replica) Bootstrapped() bool { return r.clusterID != 0 }

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
func (r *Replica) Status() Status {
	leader, _, _ := r.Leader()
	return Status{Self: r.self, Role: r.role.String(), Term: r.term, Leader: leader, Members: r.Members(),
		MembersCommitted: r.membersCommitted(), Learner: r.learner, FirstIndex: r.snapshot.Index + 1, LastIndex: r.lastIndex(), SyncedIndex: r.syncedIndex,
		Uncommitted: r.lastIndex() - r.commitIndex, Pending: len(r.proposals) + len(r.reads)}
}
