package replication

import (
	"slices"
	"time"
)

// Changes of membership. The leader goes by which disks its host reaches (Reach) and makes one change at a time, each by the
// majorities of both lists:
//
//   - A disk that is no member is given the state first, as a learner that counts for nothing. Once it has it, it takes the place of
//     the member at its address (that one's disk is gone), or of the longest-lost one, in one change; where none is lost, it is added.
//     While one has been lost only for a moment it may be restarting: the learner is held back until that is known.
//   - A lost member for whom none comes is dismissed as soon as otherwise fewer than `tolerates` more might go, and not if that leaves
//     fewer than 2 x tolerates + 1: a majority of so many are tolerates + 1 copies of whatever is acknowledged.
//
// With l members reached of n, l - (n/2 + 1) more may go. With l >= 2 x tolerates + 1 that is tolerates at least once n = l, so that
// after any loss it takes replaceLostAfter or removeLostAfter, and a round trip, until tolerates more may be lost.
const (
	replaceLostAfter    = 2 * time.Second      // a member that is lost for less may be restarting
	removeLostAfter     = 3 * time.Second      // and one for whom none comes gets a little longer
	drainedLongAgo      = 24 * 365 * time.Hour // lost for so long counts whoever says that it ends
	maxMissedHeartbeats = 3                    // beats without an answer, after which a member is lost since the last one
	maxLearnerTimeouts  = 3                    // times Learn without anything new on a learner's disk, while others wait
	maxMembers          = 15                   // on a list
)

// ReachableNode is a node with a disk that the host reaches. Leaving: it has said that it ends.
type ReachableNode struct {
	Member
	Draining bool
}

// ReconcileMembers tells which disks the host reaches, this one among them, and makes the next change of membership that is due, where this
// member leads. It is for calling every few hundred ms, by all members: a new leader knows so who is lost, and since when.
func (r *Replica) ReconcileMembers(reach []ReachableNode, tolerates int) {
	r.trackReachability(reach)
	if r.role != roleLeader || r.lostSince[r.self.ID] != 0 { // one that leaves hands over, and its successor tends
		return
	}
	var learners []Member
	here, moved := false, false
	list := slices.Clone(r.Members())
	for _, reachableNode := range reach {
		if i := slices.IndexFunc(list, func(m Member) bool { return m.ID == reachableNode.ID }); i >= 0 {
			moved = moved || list[i].Addr != reachableNode.Addr
			list[i].Addr = reachableNode.Addr
		} else if !reachableNode.Draining {
			learners, here = append(learners, reachableNode.Member), here || reachableNode.ID == r.learner
		}
	}
	if moved && distinctAddresses(list) && r.canReconfigure() { // a disk is at another address now: a list of the same, by both majorities too
		r.appendToOwnTerm(Entry{Kind: EntryConfigChange, Members: list})
	}
	if r.learner != 0 && (!here || r.now-r.learnerProgressAt > maxLearnerTimeouts*r.config.LearnerTimeout && len(learners) > 1) && r.fault != keepDead {
		r.dropLearner()
	}
	if m, ok := r.nextLearner(learners); ok && len(r.Members()) < maxMembers {
		r.reconcileLearner(m, tolerates)
	}
	if id := r.memberToRemove(tolerates); id != 0 {
		r.RemoveMember(id)
	}
}

// distinctAddresses: no two members are at one address.
func distinctAddresses(list []Member) bool {
	at := map[string]bool{}
	for _, m := range list {
		at[m.Addr] = true
	}
	return len(at) == len(list)
}

// trackReachability notes since when members are not reached.
func (r *Replica) trackReachability(reach []ReachableNode) {
	now := max(r.now, 1) // 0 is not lost
	for id := range r.lostSince {
		if !r.isMember(id) {
			delete(r.lostSince, id)
		}
	}
	for _, m := range r.Members() {
		i := slices.IndexFunc(reach, func(reachableNode ReachableNode) bool { return reachableNode.ID == m.ID })
		here := i >= 0 || m.ID == r.self.ID
		if now-r.unreachableSince(m.ID, now) > maxMissedHeartbeats*r.config.HeartbeatInterval { // without power it ends no link
			here = false
		}
		switch {
		case i >= 0 && reach[i].Draining:
			r.lostSince[m.ID] = now - drainedLongAgo
		case here:
			delete(r.lostSince, m.ID)
		case r.lostSince[m.ID] == 0 || r.isDraining(m.ID): // it has left: from here on it may be restarting
			r.lostSince[m.ID] = r.unreachableSince(m.ID, now)
		default:
			r.lostSince[m.ID] = r.unreachableSince(m.ID, r.lostSince[m.ID])
		}
	}
}

// isDraining tells whether a member has said that it ends.
func (r *Replica) isDraining(id MemberID) bool { return r.lostSince[id] < r.now-drainedLongAgo/2 }

// unreachableSince is since when a member is lost. A host takes seconds to find that out, and with as much again on top of it a successor would
// count only after catch_up: the leader goes by the last answer to its heartbeats, where that is longer ago.
func (r *Replica) unreachableSince(id MemberID, lost time.Duration) time.Duration {
	if w := r.peers[id]; w != nil && r.fault != lateLost {
		return max(min(lost, w.lastResponseAt), 1)
	}
	return lost
}

// allRespondedSinceLearner tells whether all members have answered since the learner came: one that lies without power looks as if it were there.
func (r *Replica) allRespondedSinceLearner() bool {
	for _, m := range r.otherMembers() {
		if w := r.peers[m.ID]; w == nil || w.lastResponseAt <= r.learnerSince {
			return false
		}
	}
	return true
}

// nextLearner is who is given the state: the one that is, else one at a member's address, else the next after the one that was
// given up last.
func (r *Replica) nextLearner(all []Member) (Member, bool) {
	if len(all) == 0 {
		return Member{}, false
	}
	slices.SortFunc(all, func(a, b Member) int { return compareMemberIDs(a.ID, b.ID) })
	for _, m := range all {
		if m.ID == r.learner {
			return m, true
		}
	}
	for _, m := range all {
		if r.memberAtAddressOf(m) != 0 && m.ID != r.lastDroppedLearner {
			return m, true
		}
	}
	for _, m := range all {
		if m.ID > r.lastDroppedLearner {
			return m, true
		}
	}
	return all[0], true
}

func compareMemberIDs(a, b MemberID) int {
	if a < b {
		return -1
	}
	return 1
}

// memberAtAddressOf is the member at a learner's address, whose disk is gone or elsewhere.
func (r *Replica) memberAtAddressOf(m Member) MemberID {
	for _, o := range r.Members() {
		if o.Addr == m.Addr && o.ID != m.ID {
			return o.ID
		}
	}
	return 0
}

// reconcileLearner lets a learner in: in whose place is decided anew each time until it has the state.
func (r *Replica) reconcileLearner(m Member, tolerates int) {
	id, since := r.longestLost()
	switch held := r.memberAtAddressOf(m); {
	case r.fault == addOnly:
		r.AddMember(m, 0)
	case held != 0:
		r.AddMember(m, held)
	case id != 0 && r.now-since >= replaceLostAfter:
		r.AddMember(m, id)
	case len(r.Members()) > 2*tolerates && r.fault != hasty && (id != 0 || r.learner != m.ID || !r.allRespondedSinceLearner()):
		r.startLearner(m, nil)
	default:
		r.AddMember(m, 0)
	}
}

// longestLost is the member that is lost for longest, of two the lower; 0 if none is.
func (r *Replica) longestLost() (id MemberID, since time.Duration) {
	for _, m := range r.Members() {
		if at, lost := r.lostSince[m.ID]; lost && m.ID != r.self.ID && (id == 0 || at < since || at == since && m.ID < id) {
			id, since = m.ID, at
		}
	}
	return id, since
}

// memberToRemove is a lost member that had better not be counted any more; 0 if there is none.
func (r *Replica) memberToRemove(tolerates int) MemberID {
	n := len(r.Members())
	live := n - len(r.lostSince)
	id, since := r.longestLost()
	floor := 2*tolerates + 1
	if r.fault == shrinkFar {
		floor = 1
	}
	if id == 0 || r.now-since < removeLostAfter || n <= floor || live-majoritySize(n) >= tolerates || r.fault == addOnly {
		return 0
	}
	return id
}

func majoritySize(n int) int { return n/2 + 1 }

// AddMember lets the leader give its state to a new member and, once that has it on disk, make it one: in the
// place of the one at the same address, or else of the member replaces, or on top (replaces 0). One at a time;
// it is to be called again until Members has it. False: not the leader, or not now.
func (r *Replica) AddMember(m Member, replaces MemberID) bool {
	list := slices.Clone(r.Members())
	if slices.ContainsFunc(list, func(o Member) bool { return o.ID == m.ID }) {
		return r.role == roleLeader
	}
	if held := r.memberAtAddressOf(m); held != 0 {
		replaces = held // and nobody else: one change must not take two out
	}
	list = slices.DeleteFunc(list, func(o Member) bool { return o.ID == replaces })
	if !r.startLearner(m, append(list, m)) {
		return false
	}
	r.promoteLearner()
	return true
}

// startLearner begins to give a disk the state, or goes on with it; the list is the one to hold from when it has it, nil: it is held back.
func (r *Replica) startLearner(m Member, list []Member) bool {
	if r.role != roleLeader || m.ID == 0 || r.learner != 0 && r.learner != m.ID {
		return false
	}
	r.learnerConfig = memberConfig{r.memberConfigs[len(r.memberConfigs)-1].index, list}
	if r.learner == m.ID {
		return true
	}
	r.learner, r.learnerProgressAt, r.learnerSince = m.ID, r.now, r.now
	if r.peers[m.ID] == nil {
		r.peers[m.ID] = r.newProgress(m)
	}
	r.sendHeartbeat(r.peers[m.ID])
	return true
}

// promoteLearner makes the learner a member, if it has the state and may be one.
func (r *Replica) promoteLearner() {
	w := r.peers[r.learner]
	if r.learner == 0 || w == nil || r.learnerConfig.members == nil || !r.canReconfigure() ||
		(w.matchIndex < r.commitIndex || w.matchIndex == 0) && r.fault != admitEarly {
		return
	}
	r.learner = 0
	if r.learnerConfig.index == r.memberConfigs[len(r.memberConfigs)-1].index { // else the list has changed since: to be asked for again
		r.appendToOwnTerm(Entry{Kind: EntryConfigChange, Members: r.learnerConfig.members})
	}
	r.trackMembers()
}

// dropLearner gives up the learner.
func (r *Replica) dropLearner() {
	r.lastDroppedLearner, r.learner = r.learner, 0
	r.trackMembers()
}

// RemoveMember takes a member out of the list. It is to be called again until Members is without it. False: not
// the leader, not now, or it is the last one.
func (r *Replica) RemoveMember(id MemberID) bool {
	list := slices.DeleteFunc(slices.Clone(r.Members()), func(o Member) bool { return o.ID == id })
	if len(list) == len(r.Members()) {
		return true
	}
	if r.role != roleLeader || !r.canReconfigure() || len(list) == 0 {
		return false
	}
	r.appendToOwnTerm(Entry{Kind: EntryConfigChange, Members: list})
	return true
}
