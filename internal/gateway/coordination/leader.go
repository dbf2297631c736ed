package coordination

import (
	"clovergap/internal/gateway/groups"
)

// replyFunc ends one try of a call.
type replyFunc func(AttemptOutcome, Result)

// serveAsLeader decides a call, if this node leads its group.
func (s *Service) serveAsLeader(c *Call, id CallID, reply replyFunc) {
	group := c.GroupID()
	if int(group) >= len(s.hosted) || !s.isLeader(group) {
		reply(AttemptRejected, Result{})
		return
	}
	switch c.Operation {
	case LockAcquire:
		// Callers that wait for a lock ask again and again: as long as another may hold it this costs no entry.
		if s.hosted[group].state.isLockedByOther(c.Name, c.Holder, s.logTime(group)) {
			reply(AttemptDone, Result{Status: StatusLockHeld})
			return
		}
		s.propose(group, c, id, reply)
	case LockRenew, LockRelease, KeyPut:
		s.propose(group, c, id, reply)
	case NumberNext:
		if s.fault == numbersInMemory {
			s.numbers[c.Name]++
			reply(AttemptDone, Result{Number: s.numbers[c.Name]})
			return
		}
		s.propose(group, c, id, reply)
	case KeyRead, LockRead, LockList:
		s.readLinearizable(group, s.fault == readsAlone, reply, func() Result { return s.readState(group, c) })
	case KeyWatch:
		s.serveWatch(group, c, reply)
	default:
		reply(AttemptDone, Result{Status: StatusLimitReached})
	}
}

// propose puts a call into its group's log, stamped with the time at which it was taken in.
func (s *Service) propose(group groups.ID, c *Call, id CallID, reply replyFunc) {
	x := entry{call: *c, logTime: s.logTime(group), callID: id}
	s.host.Propose(group, x.encode(), func(o groups.Outcome, result []byte) {
		if o != groups.Applied {
			reply(attemptOutcome(o), Result{})
			return
		}
		a, err := decodeResult(result)
		if err != nil || a.Status == StatusAmbiguous {
			reply(AttemptAmbiguous, Result{})
			return
		}
		reply(AttemptDone, a)
	})
}

func attemptOutcome(o groups.Outcome) AttemptOutcome {
	if o == groups.NotProposed {
		return AttemptRejected
	}
	return AttemptAmbiguous
}

// readLinearizable answers from the group's state once it holds all that was acknowledged before.
func (s *Service) readLinearizable(group groups.ID, alone bool, reply replyFunc, answer func() Result) {
	if alone {
		reply(AttemptDone, answer())
		return
	}
	s.host.ReadIndex(group, func(ok bool) {
		if !ok {
			reply(AttemptRejected, Result{})
			return
		}
		reply(AttemptDone, answer())
	})
}

// readState answers a call that changes nothing.
func (s *Service) readState(group groups.ID, c *Call) Result {
	state := s.hosted[group].state
	if c.Operation == KeyRead {
		return state.readKey(c.Name)
	}
	of := func(name string) bool { return c.Operation == LockList || name == c.Name }
	return Result{Locks: state.listLocks(s.logTime(group), of)}
}
