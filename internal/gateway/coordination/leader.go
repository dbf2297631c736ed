package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// hostedGroup is a group at a node that has its state: a member, as leader or follower.
type hostedGroup struct {
	state    *State
	isLeader bool
	// The anchor of the log time: at anchoredAt, by this node's monotonic clock, it was at least anchorLogTime. A leader's log time goes
	// on from there.
	anchorLogTime time.Duration
	anchoredAt    time.Duration
}

// anchorClock sets the anchor to the newest entry's log time, which it was at the latest now. So a follower that comes to lead knows how
// the log time went on since that entry. A follower never keeps an anchor that is ahead of the log: another leader may have stamped entries
// by a clock that was behind, and leases by those stamps must not end early. A leader's clock goes on by itself.
func (h *hostedGroup) anchorClock(now time.Duration) {
	if h.isLeader {
		return
	}
	if h.state.knobs.KeepOwnLogTime && h.state.logTime <= h.anchorLogTime+now-h.anchoredAt {
		return
	}
	h.anchorLogTime = h.state.logTime
	h.anchoredAt = now
}

// StateMachine makes a group's state. It is part of groups.Application.
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
	state.onLogTimeAdvanced = func() { g.anchorClock(s.host.Now()) }
	return state
}

// LeadershipGained begins to lead a group. It is part of groups.Application.
func (s *Service) LeadershipGained(id groups.ID, _ uint64) {
	g := &s.hosted[id]
	g.isLeader = true
	if s.config.TestingKnobs.SkipLeasesOnElection {
		g.anchorLogTime += MaxTTL
	}
	s.counters.LeadershipsGained++
}

// LeadershipLost ends leading a group: the watches that are parked here are rejected, so that their nodes ask the new leader. It is part
// of groups.Application.
func (s *Service) LeadershipLost(id groups.ID, _ uint64) {
	g := &s.hosted[id]
	g.isLeader = false
	g.anchorClock(s.host.Now()) // another leader may have stamped entries before this one learned of its end
	s.counters.LeadershipsLost++
	for _, w := range s.parkedIn(id) {
		s.unpark(w)
		w.reply(AttemptRejected, Result{})
	}
}

// logTime is the present log time of a group that this node leads.
func (s *Service) logTime(id groups.ID) time.Duration {
	g := &s.hosted[id]
	return max(g.state.logTime, g.anchorLogTime+s.host.Now()-g.anchoredAt)
}

// isLeader reports whether this node leads a group, as far as it knows. Another one may lead by now.
func (s *Service) isLeader(id groups.ID) bool {
	if s.hosted[id].state == nil || !s.hosted[id].isLeader {
		return false
	}
	_, _, ok := s.host.Leadership(id)
	return ok
}

// replyFunc ends one attempt of a call.
type replyFunc func(AttemptOutcome, Result)

// serveAsLeader serves a call if this node leads its group, and rejects it if not.
func (s *Service) serveAsLeader(c *Call, id CallID, reply replyFunc) {
	group := c.GroupID()
	if int(group) >= len(s.hosted) || !s.isLeader(group) {
		reply(AttemptRejected, Result{})
		return
	}
	knobs := &s.config.TestingKnobs
	switch c.Operation {
	case LockAcquire:
		// Callers that wait for a lock ask again and again. While another one holds it this costs no entry. A leader that lost its
		// leadership without knowing may say so wrongly; that is harmless, since the caller gets nothing.
		if s.hosted[group].state.isLockedByOther(c.Name, c.Holder, s.logTime(group)) {
			reply(AttemptDone, Result{Status: StatusLockHeld})
			return
		}
		s.propose(group, c, id, reply)
	case LockRenew, LockRelease, KeyPut:
		s.propose(group, c, id, reply)
	case NumberNext:
		if knobs.NextNumber != nil {
			reply(AttemptDone, Result{Number: knobs.NextNumber(s.config.Incarnation, c.Name)})
			return
		}
		s.propose(group, c, id, reply)
	case KeyRead, LockRead, LockList:
		s.readLinearizable(group, knobs.ReadWithoutQuorum, reply, func() Result { return s.readState(group, c) })
	case KeyWatch:
		s.serveWatch(group, c, reply)
	default: // of a newer version of the program
		reply(AttemptDone, Result{Status: StatusLimitReached})
	}
}

// propose appends a call to its group's log, stamped with the present log time.
func (s *Service) propose(group groups.ID, c *Call, id CallID, reply replyFunc) {
	e := entry{call: *c, logTime: s.logTime(group), callID: id}
	s.host.Propose(group, e.encode(), func(outcome groups.Outcome, encoded []byte) {
		if outcome != groups.Applied {
			reply(attemptOutcome(outcome), Result{})
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

// attemptOutcome is the outcome of a call whose proposal was not applied.
func attemptOutcome(o groups.Outcome) AttemptOutcome {
	if o == groups.NotProposed {
		return AttemptRejected
	}
	return AttemptAmbiguous
}

// readLinearizable answers from the group's state once a majority has confirmed the leadership and all that was committed before is
// applied. withoutQuorum is a testing knob.
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

// readState answers a call that changes nothing.
func (s *Service) readState(group groups.ID, c *Call) Result {
	state := s.hosted[group].state
	if c.Operation == KeyRead {
		return state.readKey(c.Name)
	}
	wanted := func(name string) bool { return c.Operation == LockList || name == c.Name }
	return Result{Locks: state.listLocks(s.logTime(group), wanted)}
}
