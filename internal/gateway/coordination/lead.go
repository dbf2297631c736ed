package coordination

import (
	"clovergap/internal/gateway/groups"
)

// replier ends one try of a call.
type replier func(Outcome, Answer)

// serve decides a call, if this node leads its group.
func (s *Service) serve(c *Call, id CallID, reply replier) {
	group := c.GroupID()
	if int(group) >= len(s.led) || !s.leads(group) {
		reply(Refused, Answer{})
		return
	}
	switch c.Operation {
	case LockBegin:
		// Callers that wait for a lock ask again and again: as long as another may hold it this costs no entry.
		if s.led[group].state.holds(c.Name, c.Holder, s.logClock(group)) {
			reply(Done, Answer{Status: Held})
			return
		}
		s.propose(group, c, id, reply)
	case LockHeartbeat, LockFinish, KeyReplace:
		s.propose(group, c, id, reply)
	case Number:
		if s.fault == numbersInMemory {
			s.numbers[c.Name]++
			reply(Done, Answer{Number: s.numbers[c.Name]})
			return
		}
		s.propose(group, c, id, reply)
	case KeyRead, LockRead, LockList:
		s.confirm(group, s.fault == readsAlone, reply, func() Answer { return s.read(group, c) })
	case KeyWatch:
		s.serveWatch(group, c, reply)
	default:
		reply(Done, Answer{Status: Full})
	}
}

// propose puts a call into its group's log, stamped with the time at which it was taken in.
func (s *Service) propose(group groups.ID, c *Call, id CallID, reply replier) {
	x := entry{call: *c, at: s.logClock(group), id: id}
	s.host.Propose(group, x.encode(), func(o groups.Outcome, result []byte) {
		if o != groups.Applied {
			reply(outcomeOf(o), Answer{})
			return
		}
		a, err := decodeResult(result)
		if err != nil || a.Status == Unclear {
			reply(Uncertain, Answer{})
			return
		}
		reply(Done, a)
	})
}

func outcomeOf(o groups.Outcome) Outcome {
	if o == groups.NotProposed {
		return Refused
	}
	return Uncertain
}

// confirm answers from the group's state once it holds all that was acknowledged before.
func (s *Service) confirm(group groups.ID, alone bool, reply replier, answer func() Answer) {
	if alone {
		reply(Done, answer())
		return
	}
	s.host.ReadIndex(group, func(ok bool) {
		if !ok {
			reply(Refused, Answer{})
			return
		}
		reply(Done, answer())
	})
}

// read answers a call that changes nothing.
func (s *Service) read(group groups.ID, c *Call) Answer {
	state := s.led[group].state
	if c.Operation == KeyRead {
		return state.read(c.Name)
	}
	of := func(name string) bool { return c.Operation == LockList || name == c.Name }
	return Answer{Locks: state.held(s.logClock(group), of)}
}
