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
func (p *Replica) ReconcileMembers(reach []ReachableNode, tolerates int) {
	p.trackReachability(reach)
	if p.role != roleLeader || p.lostSince[p.self.ID] != 0 { // one that leaves hands over, and its successor tends
		return
	}
	var learners []Member
	here, moved := false, false
	list := slices.Clone(p.Members())
	for _, r := range reach {
		if i := slices.IndexFunc(list, func(m Member) bool { return m.ID == r.ID }); i >= 0 {
			moved = moved || list[i].Addr != r.Addr
			list[i].Addr = r.Addr
		} else if !r.Draining {
			learners, here = append(learners, r.Member), here || r.ID == p.learner
		}
	}
	if moved && distinctAddresses(list) && p.canReconfigure() { // a disk is at another address now: a list of the same, by both majorities too
		p.appendToOwnTerm(Entry{Kind: EntryConfigChange, Members: list})
	}
	if p.learner != 0 && (!here || p.now-p.learnerProgressAt > maxLearnerTimeouts*p.config.LearnerTimeout && len(learners) > 1) && p.fault != keepDead {
		p.dropLearner()
	}
	if m, ok := p.nextLearner(learners); ok && len(p.Members()) < maxMembers {
		p.reconcileLearner(m, tolerates)
	}
	if id := p.memberToRemove(tolerates); id != 0 {
		p.RemoveMember(id)
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
func (p *Replica) trackReachability(reach []ReachableNode) {
	now := max(p.now, 1) // 0 is not lost
	for id := range p.lostSince {
		if !p.isMember(id) {
			delete(p.lostSince, id)
		}
	}
	for _, m := range p.Members() {
		i := slices.IndexFunc(reach, func(r ReachableNode) bool { return r.ID == m.ID })
		here := i >= 0 || m.ID == p.self.ID
		if now-p.unreachableSince(m.ID, now) > maxMissedHeartbeats*p.config.HeartbeatInterval { // without power it ends no link
			here = false
		}
		switch {
		case i >= 0 && reach[i].Draining:
			p.lostSince[m.ID] = now - drainedLongAgo
		case here:
			delete(p.lostSince, m.ID)
		case p.lostSince[m.ID] == 0 || p.isDraining(m.ID): // it has left: from here on it may be restarting
			p.lostSince[m.ID] = p.unreachableSince(m.ID, now)
		default:
			p.lostSince[m.ID] = p.unreachableSince(m.ID, p.lostSince[m.ID])
		}
	}
}

// isDraining tells whether a member has said that it ends.
func (p *Replica) isDraining(id MemberID) bool { return p.lostSince[id] < p.now-drainedLongAgo/2 }

// unreachableSince is since when a member is lost. A host takes seconds to find that out, and with as much again on top of it a successor would
// count only after catch_up: the leader goes by the last answer to its heartbeats, where that is longer ago.
func (p *Replica) unreachableSince(id MemberID, lost time.Duration) time.Duration {
	if w := p.peers[id]; w != nil && p.fault != lateLost {
		return max(min(lost, w.lastResponseAt), 1)
	}
	return lost
}

// allRespondedSinceLearner tells whether all members have answered since the learner came: one that lies without power looks as if it were there.
func (p *Replica) allRespondedSinceLearner() bool {
	for _, m := range p.otherMembers() {
		if w := p.peers[m.ID]; w == nil || w.lastResponseAt <= p.learnerSince {
			return false
		}
	}
	return true
}

// nextLearner is who is given the state: the one that is, else one at a member's address, else the next after the one that was
// given up last.
func (p *Replica) nextLearner(all []Member) (Member, bool) {
	if len(all) == 0 {
		return Member{}, false
	}
	slices.SortFunc(all, func(a, b Member) int { return compareMemberIDs(a.ID, b.ID) })
	for _, m := range all {
		if m.ID == p.learner {
			return m, true
		}
	}
	for _, m := range all {
		if p.memberAtAddressOf(m) != 0 && m.ID != p.lastDroppedLearner {
			return m, true
		}
	}
	for _, m := range all {
		if m.ID > p.lastDroppedLearner {
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
func (p *Replica) memberAtAddressOf(m Member) MemberID {
	for _, o := range p.Members() {
		if o.Addr == m.Addr && o.ID != m.ID {
			return o.ID
		}
	}
	return 0
}

// reconcileLearner lets a learner in: in whose place is decided anew each time until it has the state.
func (p *Replica) reconcileLearner(m Member, tolerates int) {
	id, since := p.longestLost()
	switch held := p.memberAtAddressOf(m); {
	case p.fault == addOnly:
		p.AddMember(m, 0)
	case held != 0:
		p.AddMember(m, held)
	case id != 0 && p.now-since >= replaceLostAfter:
		p.AddMember(m, id)
	case len(p.Members()) > 2*tolerates && p.fault != hasty && (id != 0 || p.learner != m.ID || !p.allRespondedSinceLearner()):
		p.startLearner(m, nil)
	default:
		p.AddMember(m, 0)
	}
}

// longestLost is the member that is lost for longest, of two the lower; 0 if none is.
func (p *Replica) longestLost() (id MemberID, since time.Duration) {
	for _, m := range p.Members() {
		if at, lost := p.lostSince[m.ID]; lost && m.ID != p.self.ID && (id == 0 || at < since || at == since && m.ID < id) {
			id, since = m.ID, at
		}
	}
	return id, since
}

// memberToRemove is a lost member that had better not be counted any more; 0 if there is none.
func (p *Replica) memberToRemove(tolerates int) MemberID {
	n := len(p.Members())
	live := n - len(p.lostSince)
	id, since := p.longestLost()
	floor := 2*tolerates + 1
	if p.fault == shrinkFar {
		floor = 1
	}
	if id == 0 || p.now-since < removeLostAfter || n <= floor || live-majoritySize(n) >= tolerates || p.fault == addOnly {
		return 0
	}
	return id
}

func majoritySize(n int) int { return n/2 + 1 }

// AddMember lets the leader give its state to a new member and, once that has it on disk, make it one: in the
// place of the one at the same address, or else of the member replaces, or on top (replaces 0). One at a time;
// it is to be called again until Members has it. False: not the leader, or not now.
func (p *Replica) AddMember(m Member, replaces MemberID) bool {
	list := slices.Clone(p.Members())
	if slices.ContainsFunc(list, func(o Member) bool { return o.ID == m.ID }) {
		return p.role == roleLeader
	}
	if held := p.memberAtAddressOf(m); held != 0 {
		replaces = held // and nobody else: one change must not take two out
	}
	list = slices.DeleteFunc(list, func(o Member) bool { return o.ID == replaces })
	if !p.startLearner(m, append(list, m)) {
		return false
	}
	p.promoteLearner()
	return true
}

// startLearner begins to give a disk the state, or goes on with it; the list is the one to hold from when it has it, nil: it is held back.
func (p *Replica) startLearner(m Member, list []Member) bool {
	if p.role != roleLeader || m.ID == 0 || p.learner != 0 && p.learner != m.ID {
		return false
	}
	p.learnerConfig = memberConfig{p.memberConfigs[len(p.memberConfigs)-1].index, list}
	if p.learner == m.ID {
		return true
	}
	p.learner, p.learnerProgressAt, p.learnerSince = m.ID, p.now, p.now
	if p.peers[m.ID] == nil {
		p.peers[m.ID] = p.newProgress(m)
	}
	p.sendHeartbeat(p.peers[m.ID])
	return true
}

// promoteLearner makes the learner a member, if it has the state and may be one.
func (p *Replica) promoteLearner() {
	w := p.peers[p.learner]
	if p.learner == 0 || w == nil || p.learnerConfig.members == nil || !p.canReconfigure() ||
		(w.matchIndex < p.commitIndex || w.matchIndex == 0) && p.fault != admitEarly {
		return
	}
	p.learner = 0
	if p.learnerConfig.index == p.memberConfigs[len(p.memberConfigs)-1].index { // else the list has changed since: to be asked for again
		p.appendToOwnTerm(Entry{Kind: EntryConfigChange, Members: p.learnerConfig.members})
	}
	p.trackMembers()
}

// dropLearner gives up the learner.
func (p *Replica) dropLearner() {
	p.lastDroppedLearner, p.learner = p.learner, 0
	p.trackMembers()
}

// RemoveMember takes a member out of the list. It is to be called again until Members is without it. False: not
// the leader, not now, or it is the last one.
func (p *Replica) RemoveMember(id MemberID) bool {
	list := slices.DeleteFunc(slices.Clone(p.Members()), func(o Member) bool { return o.ID == id })
	if len(list) == len(p.Members()) {
		return true
	}
	if p.role != roleLeader || !p.canReconfigure() || len(list) == 0 {
		return false
	}
	p.appendToOwnTerm(Entry{Kind: EntryConfigChange, Members: list})
	return true
}
