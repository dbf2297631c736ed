package replication

import "slices"

// memberConfig is a list of members and the index from which it is in effect.
type memberConfig struct {
	index   uint64
	members []Member
}

// latestConfig is the list that is in effect, committed or not.
func (r *Replica) latestConfig() memberConfig { return r.memberConfigs[len(r.memberConfigs)-1] }

// Members is the list that is in effect; nil before a bootstrap.
func (r *Replica) Members() []Member { return r.latestConfig().members }

// membersCommitted reports whether the list in effect is known to be committed. While it is not, the configuration is a joint one.
func (r *Replica) isLatestConfigCommitted() bool { return r.latestConfig().index <= r.commitIndex }

// previousMembers is the other list of a joint configuration. There is always one before a list that is not committed.
func (r *Replica) previousMembers() []Member { return r.memberConfigs[len(r.memberConfigs)-2].members }

// hasQuorum reports whether a condition is true for a majority of the members, and of those before them in a joint configuration.
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

// otherMembers are all members but this one, of both lists in a joint configuration: the newer one may still be removed from the
// log.
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
