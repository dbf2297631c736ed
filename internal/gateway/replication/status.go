package replication

import "slices"

// Status is how a replica stands, for operators.
type Status struct {
	Self             Member
	Role             string
	Term             uint64
	Leader           Member // zero if not known
	Members          []Member
	MembersCommitted bool     // false while the configuration is a joint one
	Learner          MemberID // 0: none
	FirstIndex       uint64   // of the entries after the snapshot
	LastIndex        uint64
	SyncedIndex      uint64
	Uncommitted      uint64 // entries that are not known to be committed here
	Pending          int    // proposals and reads
}

// Status returns how the replica stands.
func (r *Replica) Status() Status {
	leader, _, _ := r.Leader()
	return Status{
		Self:             r.self,
		Role:             r.role.String(),
		Term:             r.term,
		Leader:           leader,
		Members:          r.Members(),
		MembersCommitted: r.isLatestConfigCommitted(),
		Learner:          r.learner,
		FirstIndex:       r.log.snapshot.Index + 1,
		LastIndex:        r.log.lastIndex(),
		SyncedIndex:      r.syncedIndex,
		Uncommitted:      r.log.lastIndex() - r.commitIndex,
		Pending:          len(r.proposals) + len(r.reads),
	}
}

// CommitIndex is up to which index entries are known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// Leader returns the present leader, as far as is known here, and the present term.
func (r *Replica) Leader() (leader Member, term uint64, known bool) {
	if r.leaderID == r.self.ID {
		return r.self, r.term, true
	}
	if r.leaderID == 0 || r.now-r.leaderContactAt > r.config.QuorumTimeout {
		return Member{}, r.term, false
	}
	for _, config := range r.memberConfigs {
		if i := slices.IndexFunc(config.members, func(m Member) bool { return m.ID == r.leaderID }); i >= 0 {
			return config.members[i], r.term, true
		}
	}
	return Member{}, r.term, false
}

// IsLeader reports whether this member leads and was recently in contact with a majority. That it leads at this very moment only a
// Read confirms.
func (r *Replica) IsLeader() bool { return r.role == roleLeader }

// LeaderTerm returns the present term, and whether this member leads it with an entry of it committed: then all that was
// acknowledged in earlier terms is committed here. That it leads at this very moment only a Read confirms.
func (r *Replica) LeaderTerm() (term uint64, leads bool) {
	return r.term, r.role == roleLeader && r.commitIndex >= r.termStartIndex
}
