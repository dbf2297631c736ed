package coordination

import (
	"maps"
	"slices"
	"time"
)

// lockState is a lock that is held, or whose lease has expired since. A released lock has none, so that free locks take no memory.
type lockState struct {
	holder        string
	fencingToken  uint64
	expiresAt     time.Duration // log time from which on the lock is free
	callID        CallID        // of the holder's last acquire
	lastAcquireAt time.Duration // log time of the holder's last acquire
	reacquired    bool          // the holder acquired the lock again while it held it
}

// retiredCall is an acquire whose lock is free again. A copy of it that arrives late must not take the lock once more, since no caller
// would know that it holds it.
type retiredCall struct {
	callID    CallID
	retiredAt time.Duration // log time
}

// isFree reports whether no caller may hold a lock; l is nil for one without state.
func (s *State) isFree(l *lockState) bool { return l == nil || s.logTime >= l.expiresAt }

// acquire gives a lock to a holder if it is free, or extends the holder's lease.
func (s *State) acquire(e *entry) Result {
	if s.isRetired(e.callID) {
		return Result{Status: StatusAmbiguous}
	}
	l := s.locks[e.call.Name]
	if !s.isFree(l) {
		return s.reacquire(l, e)
	}
	if l != nil {
		s.retireCall(l.callID)
	} else if len(s.locks) >= maxLocks && !s.removeExpiredLocks() {
		return Result{Status: StatusLimitReached}
	}
	// One count for all locks of the group: a count for each lock would have to outlast the lock.
	if !s.knobs.ReuseFencingToken || s.lastFencingToken == 0 {
		s.lastFencingToken++
	}
	s.locks[e.call.Name] = &lockState{
		holder:        e.call.Holder,
		fencingToken:  s.lastFencingToken,
		expiresAt:     s.leaseEnd(&e.call),
		callID:        e.callID,
		lastAcquireAt: s.logTime,
	}
	return Result{FencingToken: s.lastFencingToken}
}

// reacquire extends the lease of a lock that is held, if its holder asks. The holder keeps its fencing token.
func (s *State) reacquire(l *lockState, e *entry) Result {
	if l.holder != e.call.Holder {
		return Result{Status: StatusLockHeld}
	}
	// A copy of the call that took the lock extends nothing: the caller counts its time from when it sent the first one.
	if l.callID != e.callID {
		s.retireCall(l.callID)
		l.callID = e.callID
		l.reacquired = true
		l.lastAcquireAt = s.logTime
		l.expiresAt = max(l.expiresAt, s.leaseEnd(&e.call))
	}
	return Result{FencingToken: l.fencingToken}
}

// leaseEnd is when the lease that a call asks for expires.
func (s *State) leaseEnd(c *Call) time.Duration { return s.logTime + c.TTL + roundingSlack }

// renew extends a holder's lease. A lease that has expired is lost, whether or not another caller acquired the lock since.
func (s *State) renew(c *Call) Result {
	l := s.locks[c.Name]
	if s.knobs.RenewExpiredLease && l != nil && l.holder == c.Holder {
		l.expiresAt = s.logTime + c.TTL
		return Result{}
	}
	if s.isFree(l) || !s.isLeaseHolder(l, c) {
		return Result{Status: StatusLockLost}
	}
	// A shorter lease never shortens the one that the holder counts on: copies of renewals may arrive in another order.
	l.expiresAt = max(l.expiresAt, s.leaseEnd(c))
	if s.knobs.RenewShortensLease {
		l.expiresAt = s.logTime + c.TTL
	}
	return Result{}
}

// release gives a lock back. It succeeds whether or not the caller holds the lock, so that it can be repeated.
func (s *State) release(c *Call) Result {
	l := s.locks[c.Name]
	if l == nil || !s.isLeaseHolder(l, c) || s.mayBeStaleRelease(l) {
		return Result{}
	}
	s.retireCall(l.callID)
	delete(s.locks, c.Name)
	return Result{}
}

// mayBeStaleRelease reports whether a release may have been sent before its holder acquired the lock again, see staleReleaseWindow.
func (s *State) mayBeStaleRelease(l *lockState) bool {
	return l.reacquired && s.logTime-l.lastAcquireAt < staleReleaseWindow && !s.isFree(l) && !s.knobs.AcceptStaleRelease
}

// isLeaseHolder reports whether a call comes from a lock's holder and is about its present lease.
func (s *State) isLeaseHolder(l *lockState, c *Call) bool {
	return l.holder == c.Holder && (l.fencingToken == c.FencingToken || s.knobs.AcceptAnyFencingToken)
}

// retireCall remembers an acquire whose lock is free now, and forgets those that are older than retiredCallRetention.
func (s *State) retireCall(id CallID) {
	outdated := 0
	for outdated < len(s.retiredCalls) && s.logTime-s.retiredCalls[outdated].retiredAt > retiredCallRetention {
		outdated++
	}
	s.retiredCalls = append(slices.Delete(s.retiredCalls, 0, outdated), retiredCall{callID: id, retiredAt: s.logTime})
}

func (s *State) isRetired(id CallID) bool {
	return !s.knobs.AcceptRetiredCall && slices.ContainsFunc(s.retiredCalls, func(r retiredCall) bool { return r.callID == id })
}

// removeExpiredLocks forgets locks whose lease has expired, and reports whether there were any.
func (s *State) removeExpiredLocks() bool {
	before := len(s.locks)
	maps.DeleteFunc(s.locks, func(_ string, l *lockState) bool { return s.isFree(l) })
	return len(s.locks) < before
}

// isLockedByOther reports whether a lock is held by another holder at a log time, which may be ahead of the newest entry's.
func (s *State) isLockedByOther(name, holder string, at time.Duration) bool {
	l := s.locks[name]
	return l != nil && l.holder != holder && max(at, s.logTime) < l.expiresAt
}

// listLocks lists the locks that are held at a log time and whose name is wanted, by name.
func (s *State) listLocks(at time.Duration, wanted func(name string) bool) (list []LockInfo) {
	for _, name := range slices.Sorted(maps.Keys(s.locks)) {
		if l := s.locks[name]; wanted(name) && l.expiresAt > at {
			list = append(list, LockInfo{Name: name, Holder: l.holder, FencingToken: l.fencingToken, TimeLeft: l.expiresAt - at})
		}
	}
	return list
}
