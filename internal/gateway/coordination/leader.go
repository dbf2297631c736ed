package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// hostedGroup is a group whose state this node has, as leader or follower.
type hostedGroup struct {
	state    *State
	isLeader bool
	// The anchor of the log time. At the time anchoredAt of this node's monotonic clock, the log time was at least anchorLogTime. A leader
	// adds the time since anchoredAt to anchorLogTime.
	anchorLogTime time.Duration
	anchoredAt    time.Duration
}

// updateClockAnchor sets the anchor to the log time of the newest entry, at the current monotonic time. A follower that becomes leader thus
// knows how far log time has advanced since that entry. A follower never keeps an anchor that is ahead of the log. Another leader may have
// stamped entries with an earlier log time, and leases that start at those stamps must not end early. On a leader the function does nothing,
// because the leader's log time advances by the leader's own clock.
func (h *hostedGroup) updateClockAnchor(now time.Duration) {
	if h.isLeader {
		return
	}
	if h.state.knobs.KeepOwnLogTime && h.state.logTime <= h.anchorLogTime+now-h.anchoredAt {
		return
	}
	h.anchorLogTime = h.state.logTime
	h.anchoredAt = now
}

// StateMachine creates and returns the state machine of a group. StateMachine is part of groups.Application.
func (s *Service) StateMachine(id groups.ID) groups.StateMachine {
	state := NewState(s.config.HistoryRetention)
	state.knobs = s.config.TestingKnobs
	state.onKeyGroupChanged = func(keyGroup string) {
		if s.parkedByKeyGroup[keyGroup] != nil {
			s.changedKeyGroups = append(s.changedKeyGroups, keyGroup)
		}
	}
	g := &s.hosted[id]
	g.state = state
	g.anchorLogTime = 0
	g.anchoredAt = s.host.Now()
	state.onLogTimeAdvanced = func() { g.updateClockAnchor(s.host.Now()) }
	return state
}

// LeadershipGained records that this node has become the leader of a group. LeadershipGained is part of groups.Application.
func (s *Service) LeadershipGained(id groups.ID, _ uint64) {
	g := &s.hosted[id]
	g.isLeader = true
	if s.config.TestingKnobs.SkipLeasesOnElection {
		g.anchorLogTime += MaxTTL
	}
	s.counters.LeadershipsGained++
}

// LeadershipLost handles the end of this node's leadership of a group. LeadershipLost rejects the watches that are parked here. The nodes
// that forwarded these watches then send them to the new leader. LeadershipLost is part of groups.Application.
func (s *Service) LeadershipLost(id groups.ID, _ uint64) {
	g := &s.hosted[id]
	g.isLeader = false
	g.updateClockAnchor(s.host.Now()) // another leader may have stamped entries before this node learned that its leadership had ended
	s.counters.LeadershipsLost++
	for _, w := range s.parkedWatchesOfGroup(id) {
		s.unparkWatch(w)
		w.reply(AttemptRejected, Result{})
	}
}

// currentLogTime returns the current log time of a group that this node leads. Log time is the clock of a group's log, by which leases
// expire. It advances at the rate of the leader's clock and stops while the group has no leader (see the package comment).
func (s *Service) currentLogTime(id groups.ID) time.Duration {
	g := &s.hosted[id]
	return max(g.state.logTime, g.anchorLogTime+s.host.Now()-g.anchoredAt)
}

// isLeader reports whether this node believes that it leads a group. Another node may already be the leader.
func (s *Service) isLeader(id groups.ID) bool {
	if s.hosted[id].state == nil || !s.hosted[id].isLeader {
		return false
	}
	_, _, ok := s.host.Leadership(id)
	return ok
}

// replyFunc reports the outcome of one attempt of a call.
type replyFunc func(AttemptOutcome, Result)

// serveAsLeader serves a call if this node leads the call's group. If another node leads the group, it replies with AttemptRejected.
func (s *Service) serveAsLeader(c *Call, id CallID, reply replyFunc) {
	group := c.GroupID()
	if int(group) >= len(s.hosted) || !s.isLeader(group) {
		reply(AttemptRejected, Result{})
		return
	}
	knobs := &s.config.TestingKnobs
	switch c.Operation {
	case LockAcquire:
		// Callers that wait for a lock retry the acquire. While another caller holds the lock, such a retry appends no log entry. A node that
		// does not know yet that it lost its leadership may wrongly answer StatusLockHeld. A wrong StatusLockHeld is harmless, because it
		// grants nothing to the caller.
		if s.hosted[group].state.isLockedByOther(c.Name, c.Holder, s.currentLogTime(group)) {
			reply(AttemptDone, Result{Status: StatusLockHeld})
			return
		}
		s.proposeCall(group, c, id, reply)
	case LockRenew, LockRelease, KeyPut:
		s.proposeCall(group, c, id, reply)
	case NumberNext:
		if knobs.NextNumber != nil {
			reply(AttemptDone, Result{Number: knobs.NextNumber(s.config.Incarnation, c.Name)})
			return
		}
		s.proposeCall(group, c, id, reply)
	case KeyRead, LockRead, LockList:
		s.readLinearizable(group, knobs.ReadWithoutQuorum, reply, func() Result { return s.executeRead(group, c) })
	case KeyWatch:
		s.serveWatch(group, c, reply)
	default: // an operation of a newer version of the program
		reply(AttemptDone, Result{Status: StatusLimitReached})
	}
}

// proposeCall proposes a call as an entry of its group's log, stamped with the current log time.
func (s *Service) proposeCall(group groups.ID, c *Call, id CallID, reply replyFunc) {
	e := entry{call: *c, logTime: s.currentLogTime(group), callID: id}
	s.host.Propose(group, e.encode(), func(outcome groups.Outcome, encoded []byte) {
		if outcome != groups.Applied {
			reply(outcomeOfUnappliedProposal(outcome), Result{})
			return
		}
		result, err := decodeResult(encoded)
		if err != nil || result.Status == StatusAmbiguous {
			reply(AttemptAmbiguous, Result{})
			return
		}
		reply(AttemptDone, result)
	})
}

// outcomeOfUnappliedProposal returns the outcome of an attempt whose proposal was not applied.
func outcomeOfUnappliedProposal(o groups.Outcome) AttemptOutcome {
	if o == groups.NotProposed {
		return AttemptRejected
	}
	return AttemptAmbiguous
}

// readLinearizable replies with the result of read. readLinearizable calls read when a majority has confirmed the leadership and this
// node has applied all entries that were committed before the confirmation began. withoutQuorum is a testing knob that skips the confirmation.
func (s *Service) readLinearizable(group groups.ID, withoutQuorum bool, reply replyFunc, read func() Result) {
	if withoutQuorum {
		reply(AttemptDone, read())
		return
	}
	s.host.ReadIndex(group, func(ok bool) {
		if !ok {
			reply(AttemptRejected, Result{})
			return
		}
		reply(AttemptDone, read())
	})
}

// executeRead returns the result of a KeyRead, LockRead or LockList call from the node's current state.
func (s *Service) executeRead(group groups.ID, c *Call) Result {
	state := s.hosted[group].state
	if c.Operation == KeyRead {
		return state.readKey(c.Name)
	}
	include := func(name string) bool { return c.Operation == LockList || name == c.Name }
	return Result{Locks: state.listLocks(s.currentLogTime(group), include)}
}
