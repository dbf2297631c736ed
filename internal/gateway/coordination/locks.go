package coordination

import (
	"maps"
	"slices"
	"time"
)

// lockState is one that is held, or was until its time ran out. One that was given back is not kept.
type lockState struct {
	holder        string
	fencingToken  uint64
	expiresAt     time.Duration // of the log clock: from then on it is free
	callID        CallID        // of the call by which its holder last asked for it
	lastAcquireAt time.Duration // when its holder last asked for it
	reacquired    bool          // its holder asked for it more than once
}

// retiredCall is the call that took a lock which is free again. A copy of the call that comes late must not take the lock anew: nobody
// would know that it holds it.
type retiredCall struct {
	callID    CallID
	retiredAt time.Duration
}

const (
	// retiredCallRetention is longer than a call, or a copy of it, is on its way from the node that took it: see maxInputDelay and callTimeout.
	retiredCallRetention = 4 * time.Second
	// staleReleaseWindow is longer than that too. So long after its holder asked for a lock again a Finish is taken for one sent before that. The
	// holder keeps its fence, so nothing else tells the two apart, and freeing the lock under a holder that goes on is the worse
	// mistake: the lock is then free when its time has run out.
	staleReleaseWindow = 1200 * time.Millisecond
)

// isFree tells whether nobody may hold a lock.
func (s *State) isFree(l *lockState) bool { return l == nil || s.logTime >= l.expiresAt }

// acquire gives a lock to a holder. Fences rise over all locks of the group, so that a lock which nobody holds takes no memory.
func (s *State) acquire(x *entry) Result {
	l := s.locks[x.call.Name]
	until := s.logTime + x.call.TTL + roundingSlack
	if s.isRetired(x.callID) {
		return Result{Status: StatusAmbiguous}
	}
	if !s.isFree(l) {
		if l.holder != x.call.Holder {
			return Result{Status: StatusLockHeld}
		}
		if l.callID != x.callID { // else a copy of the call that took it: its time counts from the first
			s.retireCall(l.callID)
			l.callID, l.reacquired, l.lastAcquireAt, l.expiresAt = x.callID, true, s.logTime, max(l.expiresAt, until)
		}
		return Result{FencingToken: l.fencingToken}
	}
	if l != nil {
		s.retireCall(l.callID)
	} else if len(s.locks) >= maxLocks && !s.removeExpiredLocks() {
		return Result{Status: StatusLimitReached}
	}
	if s.fault != sameFence || s.lastFencingToken == 0 {
		s.lastFencingToken++
	}
	s.locks[x.call.Name] = &lockState{holder: x.call.Holder, fencingToken: s.lastFencingToken, expiresAt: until, callID: x.callID, lastAcquireAt: s.logTime}
	return Result{FencingToken: s.lastFencingToken}
}

// renew lengthens a holder's time. One that was taken in after its time is lost, whether or not anybody took the lock since.
func (s *State) renew(c *Call) Result {
	l := s.locks[c.Name]
	if s.fault == lateHeartbeat && l != nil && l.holder == c.Holder {
		l.expiresAt = s.logTime + c.TTL
		return Result{}
	}
	if s.isFree(l) || !s.isLeaseHolder(l, c) {
		return Result{Status: StatusLockLost}
	}
	l.expiresAt = max(l.expiresAt, s.logTime+c.TTL+roundingSlack)
	if s.fault == shorterHold {
		l.expiresAt = s.logTime + c.TTL
	}
	return Result{}
}

// release gives a lock back; it is no matter whether it was held.
func (s *State) release(c *Call) Result {
	l := s.locks[c.Name]
	if l == nil || !s.isLeaseHolder(l, c) {
		return Result{}
	}
	if l.reacquired && s.logTime-l.lastAcquireAt < staleReleaseWindow && !s.isFree(l) && s.fault != finishAfterBegin {
		return Result{}
	}
	s.retireCall(l.callID)
	delete(s.locks, c.Name)
	return Result{}
}

// isLeaseHolder tells whether a call comes from a lock's holder, in the hold that it is about.
func (s *State) isLeaseHolder(l *lockState, c *Call) bool {
	return l.holder == c.Holder && (l.fencingToken == c.FencingToken || s.fault == anyFence)
}

func (s *State) retireCall(id CallID) {
	gone := 0
	for gone < len(s.retiredCalls) && s.logTime-s.retiredCalls[gone].retiredAt > retiredCallRetention {
		gone++
	}
	s.retiredCalls = append(slices.Delete(s.retiredCalls, 0, gone), retiredCall{id, s.logTime})
}

func (s *State) isRetired(id CallID) bool {
	return s.fault != copiesBegin && slices.ContainsFunc(s.retiredCalls, func(r retiredCall) bool { return r.callID == id })
}

// removeExpiredLocks forgets locks whose time has run out; it tells whether there were any.
func (s *State) removeExpiredLocks() bool {
	before := len(s.locks)
	maps.DeleteFunc(s.locks, func(_ string, l *lockState) bool { return s.isFree(l) })
	return len(s.locks) < before
}

// isLockedByOther tells whether a lock is another's than a holder's, at a time of the log clock that may be ahead of the state's.
func (s *State) isLockedByOther(name, holder string, at time.Duration) bool {
	l := s.locks[name]
	return l != nil && l.holder != holder && max(at, s.logTime) < l.expiresAt
}

// listLocks lists the locks that are held at a time of the log clock.
func (s *State) listLocks(at time.Duration, of func(name string) bool) (all []LockInfo) {
	for _, name := range slices.Sorted(maps.Keys(s.locks)) {
		if l := s.locks[name]; of(name) && l.expiresAt > at {
			all = append(all, LockInfo{Name: name, Holder: l.holder, FencingToken: l.fencingToken, TimeLeft: l.expiresAt - at})
		}
	}
	return all
}
