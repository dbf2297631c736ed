package replication

import "slices"

// memberConfig is a member list and the index from which the list is in effect.
type memberConfig struct {
	index   uint64
	members []Member
}

// latestConfig returns the configuration in effect, whether or not it is committed.
func (r *Replica) latestConfig() memberConfig { return r.memberConfigs[len(r.memberConfigs)-1] }

// Members returns the member list in effect; nil before the bootstrap.
func (r *Replica) Members() []Member { return r.latestConfig().members }

// isLatestConfigCommitted reports whether the member list in effect is known to be committed. An uncommitted member list forms a joint
// configuration together with the list before it.
func (r *Replica) isLatestConfigCommitted() bool { return r.latestConfig().index <= r.commitIndex }

// previousMembers returns the older member list of a joint configuration. It must be called only if the latest list is not committed: an
// uncommitted list always has a predecessor.
func (r *Replica) previousMembers() []Member { return r.memberConfigs[len(r.memberConfigs)-2].members }

// hasQuorum reports whether a condition holds for a majority of the members. In a joint configuration, it must also hold for a
// majority of the previous members.
func (r *Replica) hasQuorum(condition func(MemberID) bool) bool {
	if !hasMajority(r.Members(), condition) {
		return false
	}
	return r.isLatestConfigCommitted() || r.hasMutation(singleMajority) || hasMajority(r.previousMembers(), condition)
}

func hasMajority(members []Member, condition func(MemberID) bool) bool {
	count := 0
	for _, m := range members {
		if condition(m.ID) {
			count++
		}
	}
	return count >= majoritySize(len(members))
}

func majoritySize(memberCount int) int { return memberCount/2 + 1 }

func (r *Replica) isMember(id MemberID) bool {
	return slices.ContainsFunc(r.Members(), func(m Member) bool { return m.ID == id })
}

// otherMembers returns all members except this one. In a joint configuration, the result includes the members of both lists, because the
// newer list is not committed and may still be removed from the log.
func (r *Replica) otherMembers() []Member {
	others := slices.Clone(r.Members())
	if !r.isLatestConfigCommitted() {
		for _, m := range r.previousMembers() {
			if !r.isMember(m.ID) {
				others = append(others, m)
			}
		}
	}
	return slices.DeleteFunc(others, func(m Member) bool { return m.ID == r.self.ID })
}
