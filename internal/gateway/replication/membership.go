package replication

import (
	"cmp"
	"slices"
	"time"
)

// Membership changes. The leader compares the member list with the disks that its host reaches. It makes one change at a time, each
// by a joint configuration:
//
//   - A disk that is not a member first receives the log as a learner. Once the learner has all committed entries, the leader changes
//     the member list in one of three ways. If a member is listed with the learner's address, the learner replaces that member,
//     because the disk of that member is gone or at another address. If no member is listed with this address, but members are
//     lost, the learner replaces the member that has been lost longest. If no member is lost, the learner is added. A member that
//     was lost only recently may be restarting. The learner's promotion is then delayed until the member is back or has been lost
//     for replaceLostAfter.
//   - The host passes `tolerates`, the number of further losses that the cluster must survive. A lost member without a replacement
//     is removed if two conditions hold. With the present list, the cluster would survive fewer than `tolerates` further losses.
//     After the removal, at least 2*tolerates+1 members remain: a majority of 2*tolerates+1 keeps tolerates+1 copies of each
//     acknowledged entry.
//
// If l of n members are reachable, l-(n/2+1) more may be lost. Once n = l and l >= 2*tolerates+1, that is at least `tolerates`.
// So after any loss, it takes replaceLostAfter or removeLostAfter plus a round trip until the cluster survives `tolerates` losses again.

const (
	// replaceLostAfter is how long a member may be lost before a learner replaces it. A member that restarts needs less time.
	replaceLostAfter = 2 * time.Second

	// removeLostAfter is how long a member may be lost before it is removed without a replacement. It is longer than
	// replaceLostAfter, because a learner may still appear.
	removeLostAfter = 3 * time.Second

	// drainingLostAge is the age that is recorded for the loss of a draining member. It exceeds the age of any real loss and
	// both limits above, so a draining member is replaced first.
	drainingLostAge = 365 * 24 * time.Hour

	// maxMissedHeartbeats is the number of heartbeats that a member may miss. A member that misses more counts as lost from the
	// time of its last response.
	maxMissedHeartbeats = 3

	// maxLearnerTimeouts times Config.LearnerTimeout is the maximum time since a learner's last progress while other learner
	// candidates exist. After this time, the leader drops the learner.
	maxLearnerTimeouts = 3

	// maxMembers is the maximum length of a member list.
	maxMembers = 15
)

// ReachableNode is a node with a disk that the host reaches.
type ReachableNode struct {
	Member
	Draining bool // the node has announced its shutdown
}

// ReconcileMembers takes the nodes that the host reaches, including this one. On the leader, it makes the next membership change
// that is needed to tolerate `tolerates` further losses. The host calls it every few hundred milliseconds, also on followers: a new
// leader then already knows which members are lost, and since when.
func (r *Replica) ReconcileMembers(reachable []ReachableNode, tolerates int) {
	r.updateLostMembers(reachable)
	if r.role != roleLeader || r.lostSince[r.self.ID] != 0 { // the successor of a draining leader makes the changes
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

// updateMemberAddresses changes the member list if the disk of a member is now at another address. Such a change also needs the
// majorities of both lists.
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

// learnerCandidates returns the nodes that are neither members nor draining, sorted by ID.
func (r *Replica) learnerCandidates(reachable []ReachableNode) (candidates []Member) {
	for _, node := range reachable {
		if !node.Draining && !r.isMember(node.ID) {
			candidates = append(candidates, node.Member)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// hasLearnerFailed reports whether the learner is unreachable, or has made no progress for too long while other learner
// candidates exist.
func (r *Replica) hasLearnerFailed(candidates []Member) bool {
	if r.learner == 0 {
		return false
	}
	isReachable := slices.ContainsFunc(candidates, func(m Member) bool { return m.ID == r.learner })
	isStalled := r.now-r.learnerProgressAt > maxLearnerTimeouts*r.config.LearnerTimeout
	return !isReachable || isStalled && len(candidates) > 1
}

// updateLostMembers updates lostSince, which has the time of the loss for each lost member. A member is lost if the host does not reach its
// node or if the member missed more than maxMissedHeartbeats. A draining member also counts as lost.
func (r *Replica) updateLostMembers(reachable []ReachableNode) {
	now := max(r.now, 1) // never 0, because 0 in lostSince means that the member is not lost
	for id := range r.lostSince {
		if !r.isMember(id) {
			delete(r.lostSince, id)
		}
	}
	for _, m := range r.Members() {
		i := slices.IndexFunc(reachable, func(node ReachableNode) bool { return node.ID == m.ID })
		isReachable := i >= 0 || m.ID == r.self.ID
		if now-r.unreachableSince(m.ID, now) > maxMissedHeartbeats*r.config.HeartbeatInterval {
			isReachable = false // the connections of a machine without power stay open
		}
		switch {
		case i >= 0 && reachable[i].Draining:
			r.lostSince[m.ID] = now - drainingLostAge
		case isReachable:
			delete(r.lostSince, m.ID)
		// A member that was draining and is no longer reachable has shut down. It may be restarting, so its loss counts from now.
		case r.lostSince[m.ID] == 0 || r.isDraining(m.ID):
			r.lostSince[m.ID] = r.unreachableSince(m.ID, now)
		default:
			r.lostSince[m.ID] = r.unreachableSince(m.ID, r.lostSince[m.ID])
		}
	}
}

// isDraining reports whether a member has announced its shutdown.
func (r *Replica) isDraining(id MemberID) bool { return r.lostSince[id] < r.now-drainingLostAge/2 }

// unreachableSince returns since when a member counts as unreachable. This is the earlier of two times: detectedAt, when the host detected
// the loss, and the time of the member's last response to this leader. A host takes seconds to detect a loss. If the loss counted only
// from its detection, the replacement would miss the deadline within which the cluster must tolerate the next loss.
func (r *Replica) unreachableSince(id MemberID, detectedAt time.Duration) time.Duration {
	if peer := r.peers[id]; peer != nil && !r.hasMutation(lostFromDetection) {
		return max(min(detectedAt, peer.lastResponseAt), 1)
	}
	return detectedAt
}

// chooseLearner returns the learner candidate that receives the log. The order of preference is the present learner, a candidate
// at the address of a member, and the next ID after the learner that was dropped last. The last rule gives each candidate a turn.
func (r *Replica) chooseLearner(candidates []Member) (Member, bool) {
	if len(candidates) == 0 {
		return Member{}, false
	}
	for _, isPreferred := range []func(Member) bool{
		func(m Member) bool { return m.ID == r.learner },
		func(m Member) bool { return r.memberIDAtAddressOf(m) != 0 && m.ID != r.lastDroppedLearner },
		func(m Member) bool { return m.ID > r.lastDroppedLearner },
	} {
		if i := slices.IndexFunc(candidates, isPreferred); i >= 0 {
			return candidates[i], true
		}
	}
	return candidates[0], true
}

// memberIDAtAddressOf returns the member that is listed with the address of a learner; 0 if there is none. The disk of that member
// is gone or at another address.
func (r *Replica) memberIDAtAddressOf(learner Member) MemberID {
	for _, m := range r.Members() {
		if m.Addr == learner.Addr && m.ID != learner.ID {
			return m.ID
		}
	}
	return 0
}

// reconcileLearner starts or continues the learner. Until the learner has caught up, each call decides again which member the learner
// replaces.
func (r *Replica) reconcileLearner(learner Member, tolerates int) {
	lost, since := r.longestLostMember()
	switch atAddress := r.memberIDAtAddressOf(learner); {
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

// shouldDelayLearner reports whether the learner's promotion must be delayed. It is delayed if the member list is long enough
// without the learner and a member may be lost or restarting: the learner may have to replace that member. A machine without power
// looks reachable until it has missed heartbeats, so all members must have responded since the learner started.
func (r *Replica) shouldDelayLearner(learner Member, lost MemberID, tolerates int) bool {
	if len(r.Members()) <= 2*tolerates || r.hasMutation(replaceAtOnce) {
		return false
	}
	return lost != 0 || r.learner != learner.ID || !r.haveAllRespondedSinceLearnerStart()
}

func (r *Replica) haveAllRespondedSinceLearnerStart() bool {
	for _, m := range r.otherMembers() {
		if peer := r.peers[m.ID]; peer == nil || peer.lastResponseAt <= r.learnerStartedAt {
			return false
		}
	}
	return true
}

// longestLostMember returns the member that has been lost longest, and since when. This member itself is not considered. If several
// members have been lost equally long, it returns the one with the lowest ID. If no member is lost, it returns 0.
func (r *Replica) longestLostMember() (id MemberID, since time.Duration) {
	for _, m := range r.Members() {
		memberLostSince, lost := r.lostSince[m.ID]
		if lost && m.ID != r.self.ID && (id == 0 || memberLostSince < since || memberLostSince == since && m.ID < id) {
			id, since = m.ID, memberLostSince
		}
	}
	return id, since
}

// memberToRemove returns a lost member whose removal lets the cluster tolerate more losses; 0 if there is none.
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

// canReconfigure reports whether the member list may be changed. Only one change at a time is allowed, and only after an entry of
// this term is committed. Before that, an earlier leader's member list that this leader does not know may be in effect. The majorities of
// that list need not overlap with the majorities of the list that this leader knows.
func (r *Replica) canReconfigure() bool {
	return r.isLatestConfigCommitted() && r.commitIndex >= r.termStartIndex
}

// AddMember sends the log to a learner and makes the learner a member once the learner has the log on disk. If a member is listed with the
// learner's address, the learner replaces that member. If none is, the learner replaces the member `replaces`, or no member if
// `replaces` is 0. Only one learner is handled at a time. The host repeats the call until Members contains the learner. AddMember
// returns false if this member is not the leader or if another learner is in progress.
func (r *Replica) AddMember(learner Member, replaces MemberID) bool {
	if r.isMember(learner.ID) {
		return r.role == roleLeader
	}
	if atAddress := r.memberIDAtAddressOf(learner); atAddress != 0 {
		replaces = atAddress // and not the member that the caller named, because one change must not remove two members
	}
	members := slices.DeleteFunc(slices.Clone(r.Members()), func(m Member) bool { return m.ID == replaces })
	if !r.startLearner(learner, append(members, learner)) {
		return false
	}
	r.promoteLearner()
	return true
}

// startLearner starts or continues to send the log to a learner. The member list `members` is appended to the log once the learner has
// caught up. If `members` is nil, the learner's promotion is delayed. startLearner returns false if this member is not the leader or
// if another learner is in progress.
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

// promoteLearner makes the learner a member if it has caught up and its promotion is not delayed. A learner that lacks committed
// entries would count for a majority that does not have these entries.
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
	// If another member list took effect since the learner started, the learner's list is outdated. The host then calls AddMember again.
	if r.learnerConfig.index == r.latestConfig().index {
		r.appendInCurrentTerm(Entry{Kind: EntryConfigChange, Members: r.learnerConfig.members})
	}
	r.trackMembers()
}

func (r *Replica) dropLearner() {
	r.lastDroppedLearner, r.learner = r.learner, 0
	r.trackMembers()
}

// RemoveMember removes a member from the list. The host repeats the call until Members no longer contains the member. It returns
// false if this member is not the leader, if another change is in progress, or if the member is the last one.
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

// IndexReplicatedElsewhere returns the index up to which a majority has the committed entries on disk without counting this member.
// A member that shuts down waits until this index reaches CommitIndex. If it did not wait, the loss of another member right after the
// shutdown could destroy an acknowledged entry of which the member that shut down has one of the copies.
func (r *Replica) IndexReplicatedElsewhere() uint64 {
	switch {
	case r.role == roleLeader:
		return r.indexReplicatedWithout(r.self.ID)
	case !r.isMember(r.self.ID):
		return r.commitIndex
	}
	return min(r.replicatedElsewhere, r.commitIndex)
}

// indexReplicatedWithout returns IndexReplicatedElsewhere of the given member, as known to the leader.
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
