package replication

import "slices"

// Status is a summary of a replica for operators.
type Status struct {
	Self             Member
	Role             string
	Term             uint64
	Leader           Member // zero if not known
	Members          []Member
	MembersCommitted bool     // false in a joint configuration
	Learner          MemberID // 0: none
	FirstIndex       uint64   // index of the first entry after the snapshot
	LastIndex        uint64
	SyncedIndex      uint64
	Uncommitted      uint64 // number of entries that are not known to be committed here
	Pending          int    // number of pending proposals and reads
}

// Status returns a summary of this member for operators: its role and term, the member lists and the bounds of its log. The summary shows
// what this member knows, which may be outdated.
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

// CommitIndex returns the index up to which this member knows the log to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// Leader returns the current term and its leader. It returns false if this member does not know the leader, or has received no message
// from the leader for longer than Config.QuorumTimeout.
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

// IsLeader reports whether this member considers itself the leader. A leader steps down if a majority has not responded within
// Config.QuorumTimeout. Only a Read confirms that no newer leader exists at the moment.
func (r *Replica) IsLeader() bool { return r.role == roleLeader }

// LeaderTerm returns the current term, and whether this member is its leader and has committed an entry of the term. In that case,
// this member has committed everything that was acknowledged in earlier terms. Only a Read confirms that no newer leader exists at the
// moment.
func (r *Replica) LeaderTerm() (term uint64, leads bool) {
	return r.term, r.role == roleLeader && r.commitIndex >= r.termStartIndex
}
