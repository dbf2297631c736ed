package replication

import (
	"cmp"
	"slices"
	"time"
)

// Changes of members. The leader goes by which disks its host reaches and makes one change at a time, each by a joint
// configuration:
//
//   - A disk that is no member receives the log as a learner first. Once it has what is committed, it replaces the member at its
//     address, whose disk is gone, or the member that was lost longest; if none is lost, it is added. While a member has been lost
//     only for a moment it may be restarting: the learner is delayed until that is known.
//   - A lost member that no learner replaces is removed if otherwise fewer than `tolerates` further members could be lost, and only
//     if 2*tolerates+1 remain: a majority of so many are tolerates+1 copies of whatever is acknowledged.
//
// With l members reached of n, l-(n/2+1) more may be lost. With l >= 2*tolerates+1 that is at least `tolerates` once n = l. So
// after any loss it takes replaceLostAfter or removeLostAfter, and a round trip, until `tolerates` more may be lost.

const (
	// replaceLostAfter is how long a member may take to restart before a learner replaces it.
	replaceLostAfter = 2 * time.Second

	// removeLostAfter is the same for a member without a learner to replace it. It is longer, as a learner may yet come.
	removeLostAfter = 3 * time.Second

	// drainedLongAgo dates the loss of a member that drains: longer than that of any other, and than both of the above.
	drainingLostAge = 365 * 24 * time.Hour

	// maxMissedHeartbeats is how many heartbeats a member may miss before it counts as lost since its last answer.
	maxMissedHeartbeats = 3

	// maxLearnerTimeouts is how many times Config.LearnerTimeout a learner may make no progress while there are others.
	maxLearnerTimeouts = 3

	// maxMembers bounds a list.
	maxMembers = 15
)

// ReachableNode is a node with a disk that the host reaches.
type ReachableNode struct {
	Member
	Draining bool // it has announced that it shuts down
}

// ReconcileMembers takes which disks the host reaches, this one among them, and, at the leader, makes the next change of members
// that is needed for as many further losses as are tolerated. It is to be called every few hundred milliseconds, at followers too: so
// a new leader knows who is lost, and since when.
func (r *Replica) ReconcileMembers(reachable []ReachableNode, tolerates int) {
	r.updateLostMembers(reachable)
	if r.role != roleLeader || r.lostSince[r.self.ID] != 0 { // the successor of a leader that drains does this
		return
	}
	r.updateMemberAddresses(reachable)
	candidates := r.learnerCandidates(reachable)
	if r.hasLearnerFailed(candidates) && !r.hasMutation(keepDeadLearner) {
		r.dropLearner()
	}
	if next, ok := r.chooseLearner(candidates); ok && len(r.Members()) < maxMembers {
		r.reconcileLearner(next, tolerates)
	}
	if id := r.memberToRemove(tolerates); id != 0 {
		r.RemoveMember(id)
	}
}

// updateAddresses changes the list if a member's disk is at another address now. That too is a change by both majorities.
func (r *Replica) updateMemberAddresses(reachable []ReachableNode) {
	members, changed := slices.Clone(r.Members()), false
	for i := range members {
		for _, node := range reachable {
			if node.ID == members[i].ID && node.Addr != members[i].Addr {
				members[i].Addr, changed = node.Addr, true
			}
		}
	}
	if changed && haveDistinctAddresses(members) && r.canReconfigure() {
		r.appendInCurrentTerm(Entry{Kind: EntryConfigChange, Members: members})
	}
}

func haveDistinctAddresses(members []Member) bool {
	addresses := map[string]bool{}
	for _, m := range members {
		addresses[m.Addr] = true
	}
	return len(addresses) == len(members)
}

// learnerCandidates are the nodes that are no members and stay, by ID.
func (r *Replica) learnerCandidates(reachable []ReachableNode) (candidates []Member) {
	for _, node := range reachable {
		if !node.Draining && !r.isMember(node.ID) {
			candidates = append(candidates, node.Member)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// learnerFailed reports whether the learner is gone, or makes no progress while there are others.
func (r *Replica) hasLearnerFailed(candidates []Member) bool {
	if r.learner == 0 {
		return false
	}
	isReachable := slices.ContainsFunc(candidates, func(m Member) bool { return m.ID == r.learner })
	isStalled := r.now-r.learnerProgressAt > maxLearnerTimeouts*r.config.LearnerTimeout
	return !isReachable || isStalled && len(candidates) > 1
}

// trackReachability records since when members are lost.
func (r *Replica) updateLostMembers(reachable []ReachableNode) {
	now := max(r.now, 1) // 0 is no entry
	for id := range r.lostSince {
		if !r.isMember(id) {
			delete(r.lostSince, id)
		}
	}
	for _, m := range r.Members() {
		i := slices.IndexFunc(reachable, func(node ReachableNode) bool { return node.ID == m.ID })
		isReachable := i >= 0 || m.ID == r.self.ID
		if now-r.unreachableSince(m.ID, now) > maxMissedHeartbeats*r.config.HeartbeatInterval {
			isReachable = false // a machine without power closes no connection
		}
		switch {
		case i >= 0 && reachable[i].Draining:
			r.lostSince[m.ID] = now - drainingLostAge
		case isReachable:
			delete(r.lostSince, m.ID)
		case r.lostSince[m.ID] == 0 || r.isDraining(m.ID): // one that has drained is gone, and may be restarting from now on
			r.lostSince[m.ID] = r.unreachableSince(m.ID, now)
		default:
			r.lostSince[m.ID] = r.unreachableSince(m.ID, r.lostSince[m.ID])
		}
	}
}

// isDraining reports whether a member has announced that it shuts down.
func (r *Replica) isDraining(id MemberID) bool { return r.lostSince[id] < r.now-drainingLostAge/2 }

// unreachableSince is the earlier of when a host found a member lost, and its last answer to the leader. A host takes seconds to
// find out: counted from there a replacement would come too late for the deadlines within which a site must tolerate the next loss.
func (r *Replica) unreachableSince(id MemberID, detected time.Duration) time.Duration {
	if peer := r.peers[id]; peer != nil && !r.hasMutation(lostFromDetection) {
		return max(min(detected, peer.lastResponseAt), 1)
	}
	return detected
}

// nextLearner is the candidate that receives the log: the present learner, else one at a member's address, else the next by ID
// after the one that was dropped last, so that all get their turn.
func (r *Replica) chooseLearner(candidates []Member) (Member, bool) {
	if len(candidates) == 0 {
		return Member{}, false
	}
	for _, isPreferred := range []func(Member) bool{
		func(m Member) bool { return m.ID == r.learner },
		func(m Member) bool { return r.memberAtAddressOf(m) != 0 && m.ID != r.lastDroppedLearner },
		func(m Member) bool { return m.ID > r.lastDroppedLearner },
	} {
		if i := slices.IndexFunc(candidates, isPreferred); i >= 0 {
			return candidates[i], true
		}
	}
	return candidates[0], true
}

// memberAtAddressOf is the member at a learner's address, whose disk is gone or elsewhere; 0 if there is none.
func (r *Replica) memberAtAddressOf(learner Member) MemberID {
	for _, m := range r.Members() {
		if m.Addr == learner.Addr && m.ID != learner.ID {
			return m.ID
		}
	}
	return 0
}

// reconcileLearner continues with the learner. Which member it replaces is decided anew each time, until it has caught up.
func (r *Replica) reconcileLearner(learner Member, tolerates int) {
	lost, since := r.longestLostMember()
	switch atAddress := r.memberAtAddressOf(learner); {
	case r.hasMutation(neverReplace):
		r.AddMember(learner, 0)
	case atAddress != 0:
		r.AddMember(learner, atAddress)
	case lost != 0 && r.now-since >= replaceLostAfter:
		r.AddMember(learner, lost)
	case r.shouldDelayLearner(learner, lost, tolerates):
		r.startLearner(learner, nil)
	default:
		r.AddMember(learner, 0)
	}
}

// delaysLearner reports whether a learner is delayed, while a list that is long enough without it has a member that may be lost or
// restarting: it might have to replace that one. A machine without power looks reachable until it has missed heartbeats, so all
// must have responded since the learner came.
func (r *Replica) shouldDelayLearner(learner Member, lost MemberID, tolerates int) bool {
	if len(r.Members()) <= 2*tolerates || r.hasMutation(replaceAtOnce) {
		return false
	}
	return lost != 0 || r.learner != learner.ID || !r.allRespondedSinceLearnerStart()
}

func (r *Replica) allRespondedSinceLearnerStart() bool {
	for _, m := range r.otherMembers() {
		if peer := r.peers[m.ID]; peer == nil || peer.lastResponseAt <= r.learnerStartedAt {
			return false
		}
	}
	return true
}

// longestLost is the member, not this one, that is lost for longest, the lowest ID of several; 0 if none is.
func (r *Replica) longestLostMember() (id MemberID, since time.Duration) {
	for _, m := range r.Members() {
		memberLostSince, lost := r.lostSince[m.ID]
		if lost && m.ID != r.self.ID && (id == 0 || memberLostSince < since || memberLostSince == since && m.ID < id) {
			id, since = m.ID, memberLostSince
		}
	}
	return id, since
}

// memberToRemove is a lost member without which more losses are tolerated; 0 if there is none.
func (r *Replica) memberToRemove(tolerates int) MemberID {
	members := len(r.Members())
	liveMembers := members - len(r.lostSince)
	lost, since := r.longestLostMember()
	minMembers := 2*tolerates + 1
	if r.hasMutation(shrinkBelowMinimum) {
		minMembers = 1
	}
	tolerated := liveMembers - majoritySize(members)
	if lost == 0 || r.now-since < removeLostAfter || members <= minMembers || tolerated >= tolerates || r.hasMutation(neverReplace) {
		return 0
	}
	return lost
}

// canReconfigure reports whether the list may be changed: one change at a time, and only after an entry of this term is committed.
// Before that an earlier leader's list that is not known here could be in effect, whose majorities need not meet this one's.
func (r *Replica) canReconfigure() bool {
	return r.isLatestConfigCommitted() && r.commitIndex >= r.termStartIndex
}

// AddMember has the leader send its log to a learner and, once that has it on disk, make it a member: it replaces the member
// at its address, or else the member `replaces`, or none (0). One at a time. It is to be called again until
// Members has it. It returns false if this member does not lead or is occupied with another learner.
func (r *Replica) AddMember(learner Member, replaces MemberID) bool {
	if r.isMember(learner.ID) {
		return r.role == roleLeader
	}
	if atAddress := r.memberAtAddressOf(learner); atAddress != 0 {
		replaces = atAddress // and nobody else: one change must not remove two
	}
	members := slices.DeleteFunc(slices.Clone(r.Members()), func(m Member) bool { return m.ID == replaces })
	if !r.startLearner(learner, append(members, learner)) {
		return false
	}
	r.promoteLearner()
	return true
}

// startLearner starts to send the log to a learner, or continues. The list takes effect once the learner has caught up; nil delays
// it.
func (r *Replica) startLearner(learner Member, members []Member) bool {
	if r.role != roleLeader || learner.ID == 0 || r.learner != 0 && r.learner != learner.ID {
		return false
	}
	r.learnerConfig = memberConfig{r.latestConfig().index, members}
	if r.learner == learner.ID {
		return true
	}
	r.learner, r.learnerProgressAt, r.learnerStartedAt = learner.ID, r.now, r.now
	if r.peers[learner.ID] == nil {
		r.peers[learner.ID] = r.newProgress(learner)
	}
	r.sendHeartbeat(r.peers[learner.ID])
	return true
}

// promoteLearner makes the learner a member if it has caught up and is not delayed. One that lacked committed entries would
// count for a majority that does not have them.
func (r *Replica) promoteLearner() {
	peer := r.peers[r.learner]
	if r.learner == 0 || peer == nil || r.learnerConfig.members == nil || !r.canReconfigure() {
		return
	}
	caughtUp := peer.matchIndex >= r.commitIndex && peer.matchIndex > 0
	if !caughtUp && !r.hasMutation(promoteEarly) {
		return
	}
	r.learner = 0
	if r.learnerConfig.index == r.latestConfig().index { // else another list took effect since: AddMember is called again
		r.appendInCurrentTerm(Entry{Kind: EntryConfigChange, Members: r.learnerConfig.members})
	}
	r.trackMembers()
}

func (r *Replica) dropLearner() {
	r.lastDroppedLearner, r.learner = r.learner, 0
	r.trackMembers()
}

// RemoveMember takes a member off the list. It is to be called again until Members is without it. It returns false if this member
// does not lead, if another change is under way, or if it is the last member.
func (r *Replica) RemoveMember(id MemberID) bool {
	members := slices.DeleteFunc(slices.Clone(r.Members()), func(m Member) bool { return m.ID == id })
	if len(members) == len(r.Members()) {
		return true
	}
	if r.role != roleLeader || !r.canReconfigure() || len(members) == 0 {
		return false
	}
	r.appendInCurrentTerm(Entry{Kind: EntryConfigChange, Members: members})
	return true
}

// ReplicatedElsewhere is up to which index a majority of the members without this one has on disk what is known here to be
// committed. A member that shuts down stays until that reaches CommitIndex: else a loss right after it could lose an acknowledged
// entry of which it had one of the copies.
func (r *Replica) IndexReplicatedElsewhere() uint64 {
	switch {
	case r.role == roleLeader:
		return r.indexReplicatedWithout(r.self.ID)
	case !r.isMember(r.self.ID):
		return r.commitIndex
	}
	return min(r.replicatedElsewhere, r.commitIndex)
}

// replicatedWithout is ReplicatedElsewhere of a member, as the leader knows it.
func (r *Replica) indexReplicatedWithout(id MemberID) (replicated uint64) {
	if r.hasMutation(drainEarly) {
		return r.commitIndex
	}
	syncedIndexOf := func(member MemberID) uint64 {
		switch peer := r.peers[member]; {
		case member == id:
			return 0
		case member == r.self.ID:
			return r.syncedIndex
		case peer != nil:
			return peer.matchIndex
		}
		return 0
	}
	for _, m := range append(r.otherMembers(), r.self) {
		index := min(syncedIndexOf(m.ID), r.commitIndex)
		if index > replicated && r.hasQuorum(func(member MemberID) bool { return syncedIndexOf(member) >= index }) {
			replicated = index
		}
	}
	return replicated
}
