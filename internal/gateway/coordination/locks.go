package coordination

import (
	"maps"
	"slices"
	"time"
)

// lock is one that is held, or was until its time ran out. One that was given back is not kept.
type lock struct {
	holder string
	fence  uint64
	until  time.Duration // of the log clock: from then on it is free
	id     CallID        // of the call by which its holder last asked for it
	begun  time.Duration // when its holder last asked for it
	again  bool          // its holder asked for it more than once
}

// retiredBegin is the call that took a lock which is free again. A copy of the call that comes late must not take the lock anew: nobody
// would know that it holds it.
type retiredBegin struct {
	id CallID
	at time.Duration
}

const (
	// retireFor is longer than a call, or a copy of it, is on its way from the node that took it: see waitedMost and callFor.
	retireFor = 4 * time.Second
	// lateFinish is longer than that too. So long after its holder asked for a lock again a Finish is taken for one sent before that. The
	// holder keeps its fence, so nothing else tells the two apart, and freeing the lock under a holder that goes on is the worse
	// mistake: the lock is then free when its time has run out.
	lateFinish = 1200 * time.Millisecond
)

// free tells whether nobody may hold a lock.
func (s *State) free(l *lock) bool { return l == nil || s.clock >= l.until }

// begin gives a lock to a holder. Fences rise over all locks of the group, so that a lock which nobody holds takes no memory.
func (s *State) begin(x *entry) Answer {
	l := s.locks[x.call.Name]
	until := s.clock + x.call.Hold + roundedOff
	if s.isRetired(x.id) {
		return Answer{Status: Unclear}
	}
	if !s.free(l) {
		if l.holder != x.call.Holder {
			return Answer{Status: Held}
		}
		if l.id != x.id { // else a copy of the call that took it: its time counts from the first
			s.retire(l.id)
			l.id, l.again, l.begun, l.until = x.id, true, s.clock, max(l.until, until)
		}
		return Answer{Fence: l.fence}
	}
	if l != nil {
		s.retire(l.id)
	} else if len(s.locks) >= mostLocks && !s.dropFree() {
		return Answer{Status: Full}
	}
	if s.fault != sameFence || s.fence == 0 {
		s.fence++
	}
	s.locks[x.call.Name] = &lock{holder: x.call.Holder, fence: s.fence, until: until, id: x.id, begun: s.clock}
	return Answer{Fence: s.fence}
}

// heartbeat lengthens a holder's time. One that was taken in after its time is lost, whether or not anybody took the lock since.
func (s *State) heartbeat(c *Call) Answer {
	l := s.locks[c.Name]
	if s.fault == lateHeartbeat && l != nil && l.holder == c.Holder {
		l.until = s.clock + c.Hold
		return Answer{}
	}
	if s.free(l) || !s.isHolder(l, c) {
		return Answer{Status: Lost}
	}
	l.until = max(l.until, s.clock+c.Hold+roundedOff)
	if s.fault == shorterHold {
		l.until = s.clock + c.Hold
	}
	return Answer{}
}

// finish gives a lock back; it is no matter whether it was held.
func (s *State) finish(c *Call) Answer {
	l := s.locks[c.Name]
	if l == nil || !s.isHolder(l, c) {
		return Answer{}
	}
	if l.again && s.clock-l.begun < lateFinish && !s.free(l) && s.fault != finishAfterBegin {
		return Answer{}
	}
	s.retire(l.id)
	delete(s.locks, c.Name)
	return Answer{}
}

// isHolder tells whether a call comes from a lock's holder, in the hold that it is about.
func (s *State) isHolder(l *lock, c *Call) bool {
	return l.holder == c.Holder && (l.fence == c.Fence || s.fault == anyFence)
}

func (s *State) retire(id CallID) {
	gone := 0
	for gone < len(s.retired) && s.clock-s.retired[gone].at > retireFor {
		gone++
	}
	s.retired = append(slices.Delete(s.retired, 0, gone), retiredBegin{id, s.clock})
}

func (s *State) isRetired(id CallID) bool {
	return s.fault != copiesBegin && slices.ContainsFunc(s.retired, func(r retiredBegin) bool { return r.id == id })
}

// dropFree forgets locks whose time has run out; it tells whether there were any.
func (s *State) dropFree() bool {
	before := len(s.locks)
	maps.DeleteFunc(s.locks, func(_ string, l *lock) bool { return s.free(l) })
	return len(s.locks) < before
}

// holds tells whether a lock is another's than a holder's, at a time of the log clock that may be ahead of the state's.
func (s *State) holds(name, holder string, at time.Duration) bool {
	l := s.locks[name]
	return l != nil && l.holder != holder && max(at, s.clock) < l.until
}

// held lists the locks that are held at a time of the log clock.
func (s *State) held(at time.Duration, of func(name string) bool) (all []Lock) {
	for _, name := range slices.Sorted(maps.Keys(s.locks)) {
		if l := s.locks[name]; of(name) && l.until > at {
			all = append(all, Lock{Name: name, Holder: l.holder, Fence: l.fence, Left: l.until - at})
		}
	}
	return all
}
