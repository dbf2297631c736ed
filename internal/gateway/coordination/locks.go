package coordination

import (
	"maps"
	"slices"
	"time"
)

// lockState is a lock that is held or whose lease has expired. A released lock has no lockState, so that released locks take no memory.
type lockState struct {
	holder        string
	fencingToken  uint64
	expiresAt     time.Duration // log time (see the package comment) from which the lock is free
	callID        CallID        // call ID of the holder's last acquire
	lastAcquireAt time.Duration // log time of the holder's last acquire
	reacquired    bool          // the holder acquired the lock again while holding the lock
}

// retiredCall identifies an earlier acquire of a lock that has since been released, has expired or was acquired again. A copy of the earlier
// acquire that arrives late must not take the lock once more, because no caller would know that it holds the lock.
type retiredCall struct {
	callID    CallID
	retiredAt time.Duration // log time at which the lock was released or acquired again after the acquire, or its expired lease was removed
}

// isLockFree reports whether a lock has no holder at the log time of the newest entry. l is nil for a lock without state.
func (s *State) isLockFree(l *lockState) bool { return l == nil || s.logTime >= l.expiresAt }

// acquireLock grants a lock if it is free, or extends the lease if the caller already holds the lock.
func (s *State) acquireLock(e *entry) Result {
	if s.isRetiredCall(e.callID) {
		return Result{Status: StatusAmbiguous}
	}
	l := s.locks[e.call.Name]
	if !s.isLockFree(l) {
		return s.reacquireLock(l, e)
	}
	if l != nil {
		s.recordRetiredCall(l.callID)
	} else if len(s.locks) >= maxLocks && !s.removeExpiredLocks() {
		return Result{Status: StatusLimitReached}
	}
	// All locks of the group share one counter. A counter for each lock would have to be kept after the lock is released.
	if !s.knobs.ReuseFencingToken || s.lastFencingToken == 0 {
		s.lastFencingToken++
	}
	s.locks[e.call.Name] = &lockState{
		holder:        e.call.Holder,
		fencingToken:  s.lastFencingToken,
		expiresAt:     s.leaseExpiry(&e.call),
		callID:        e.callID,
		lastAcquireAt: s.logTime,
	}
	return Result{FencingToken: s.lastFencingToken}
}

// reacquireLock extends the lease of a held lock if the call comes from the lock's holder. The holder keeps its fencing token. For any other
// caller, reacquireLock returns StatusLockHeld.
func (s *State) reacquireLock(l *lockState, e *entry) Result {
	if l.holder != e.call.Holder {
		return Result{Status: StatusLockHeld}
	}
	// A copy of the holder's last acquire does not extend the lease, because the holder measures the lease from the time at which the holder
	// sent the first copy.
	if l.callID != e.callID {
		s.recordRetiredCall(l.callID)
		l.callID = e.callID
		l.reacquired = true
		l.lastAcquireAt = s.logTime
		l.expiresAt = max(l.expiresAt, s.leaseExpiry(&e.call))
	}
	return Result{FencingToken: l.fencingToken}
}

// leaseExpiry returns the log time at which the lease that a call requests expires.
func (s *State) leaseExpiry(c *Call) time.Duration { return s.logTime + c.TTL + leaseRoundingMargin }

// renewLease extends a holder's lease. An expired lease is lost, whether or not another caller has acquired the lock since.
func (s *State) renewLease(c *Call) Result {
	l := s.locks[c.Name]
	if s.knobs.RenewExpiredLease && l != nil && l.holder == c.Holder {
		l.expiresAt = s.logTime + c.TTL
		return Result{}
	}
	if s.isLockFree(l) || !s.isLeaseHolder(l, c) {
		return Result{Status: StatusLockLost}
	}
	// A renewal never shortens the lease, because a delayed copy of an earlier renewal may arrive after a later renewal.
	l.expiresAt = max(l.expiresAt, s.leaseExpiry(c))
	if s.knobs.RenewShortensLease {
		l.expiresAt = s.logTime + c.TTL
	}
	return Result{}
}

// releaseLock frees a lock. releaseLock returns StatusOK whether or not the caller holds the lock, so that callers can repeat a release.
func (s *State) releaseLock(c *Call) Result {
	l := s.locks[c.Name]
	if l == nil || !s.isLeaseHolder(l, c) || s.mayBeStaleRelease(l) {
		return Result{}
	}
	s.recordRetiredCall(l.callID)
	delete(s.locks, c.Name)
	return Result{}
}

// mayBeStaleRelease reports whether a release may have been sent before the holder acquired the lock again. See staleReleaseWindow.
func (s *State) mayBeStaleRelease(l *lockState) bool {
	return l.reacquired && s.logTime-l.lastAcquireAt < staleReleaseWindow && !s.isLockFree(l) && !s.knobs.AcceptStaleRelease
}

// isLeaseHolder reports whether a call comes from the holder of a lock and has the lock's current fencing token.
func (s *State) isLeaseHolder(l *lockState, c *Call) bool {
	return l.holder == c.Holder && (l.fencingToken == c.FencingToken || s.knobs.AcceptAnyFencingToken)
}

// recordRetiredCall records an acquire of which late copies must be rejected. recordRetiredCall removes records that are older than
// retiredCallRetention.
func (s *State) recordRetiredCall(id CallID) {
	outdated := 0
	for outdated < len(s.retiredCalls) && s.logTime-s.retiredCalls[outdated].retiredAt > retiredCallRetention {
		outdated++
	}
	s.retiredCalls = append(slices.Delete(s.retiredCalls, 0, outdated), retiredCall{callID: id, retiredAt: s.logTime})
}

// isRetiredCall reports whether a call ID belongs to an acquire that was recorded by recordRetiredCall and is still stored.
func (s *State) isRetiredCall(id CallID) bool {
	return !s.knobs.AcceptRetiredCall && slices.ContainsFunc(s.retiredCalls, func(r retiredCall) bool { return r.callID == id })
}

// removeExpiredLocks removes all locks whose lease has expired, and reports whether it removed at least one lock.
func (s *State) removeExpiredLocks() bool {
	before := len(s.locks)
	maps.DeleteFunc(s.locks, func(_ string, l *lockState) bool { return s.isLockFree(l) })
	return len(s.locks) < before
}

// isLockedByOther reports whether a holder other than the given one holds a lock at a log time. The log time may be later than the log time
// of the newest entry.
func (s *State) isLockedByOther(name, holder string, at time.Duration) bool {
	l := s.locks[name]
	return l != nil && l.holder != holder && max(at, s.logTime) < l.expiresAt
}

// listLocks returns the locks that are held at a log time, sorted by name. listLocks omits the locks for whose name include returns false.
func (s *State) listLocks(at time.Duration, include func(name string) bool) (list []LockInfo) {
	for _, name := range slices.Sorted(maps.Keys(s.locks)) {
		if l := s.locks[name]; include(name) && l.expiresAt > at {
			list = append(list, LockInfo{Name: name, Holder: l.holder, FencingToken: l.fencingToken, TimeLeft: l.expiresAt - at})
		}
	}
	return list
}
