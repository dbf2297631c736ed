package callers

import (
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

// locker is a caller that acquires a lock, renews the lease up to five times and releases the lock. At random, a locker crashes while it
// holds the lock, pauses for longer than its lease, or acquires the same lock as before.
type locker struct {
	callers      *Callers
	name         string
	lock         string
	fencingToken uint64
	ttl          time.Duration // duration of the lease
	expiresAt    time.Duration // time at which the lease expires, by the clock of the Environment
}

// acquireLock tries to acquire a lock until it succeeds or the callers stop.
func (l *locker) acquireLock() {
	c := l.callers
	if c.stopping {
		return
	}
	if l.lock == "" || c.rng.IntN(3) > 0 {
		l.lock = lockName(c.rng.IntN(lockCount))
	}
	l.ttl = c.randomDuration(300*time.Millisecond, 2500*time.Millisecond)
	if c.config.LongTTLs && c.rng.IntN(6) == 0 {
		l.ttl *= 4
	}
	sent := c.env.Now()
	call := coordination.Call{Operation: coordination.LockAcquire, Name: l.lock, Holder: l.name, TTL: l.ttl}
	c.env.Call(l.name, call, func(r *callhistory.Record) {
		if !r.Succeeded() {
			c.env.After(c.randomDuration(10*time.Millisecond, 200*time.Millisecond), l.acquireLock)
			return
		}
		l.fencingToken = r.Result.FencingToken
		l.expiresAt = sent + l.ttl
		l.keepLock(c.rng.IntN(6))
	})
}

// keepLock holds the lock for the given number of further renewals and then releases it. With a probability of 1 in 20 each, keepLock
// instead simulates a crash of the locker or a pause that is longer than the lease.
func (l *locker) keepLock(renewals int) {
	c := l.callers
	draw := c.rng.IntN(20)
	switch {
	case draw == 0: // the locker crashes and restarts under the same name
		c.env.After(c.randomDuration(0, 3*time.Second), l.acquireLock)
	case draw == 1: // the locker pauses for longer than its lease and then sends a renewal
		c.env.After(l.ttl+c.randomDuration(0, 500*time.Millisecond), func() { l.renewLease(0) })
	case renewals == 0 || c.stopping:
		c.env.After(c.randomDuration(0, 100*time.Millisecond), func() { l.releaseLock(c.rng.IntN(3)) })
	default:
		c.env.After(l.ttl/3, func() { l.renewLease(renewals - 1) })
	}
}

// renewLease renews the lease, sometimes with a shorter duration, and then keeps the lock for the given number of further renewals.
func (l *locker) renewLease(renewals int) {
	c := l.callers
	sent, ttl := c.env.Now(), l.ttl
	if c.rng.IntN(5) == 0 {
		ttl /= 4
	}
	call := coordination.Call{Operation: coordination.LockRenew, Name: l.lock, Holder: l.name, FencingToken: l.fencingToken, TTL: ttl}
	c.env.Call(l.name, call, func(r *callhistory.Record) {
		switch {
		case r.Succeeded() && r.Ended <= l.expiresAt:
			l.expiresAt = max(l.expiresAt, sent+ttl)
			l.keepLock(renewals)
		case shouldRetry(r) && c.env.Now() < l.expiresAt:
			l.renewLease(renewals)
		default:
			l.acquireLock()
		}
	})
}

// releaseLock releases the lock with at most the given number of retries. The locker then acquires the next lock, even if no answer arrived.
func (l *locker) releaseLock(retries int) {
	c := l.callers
	call := coordination.Call{Operation: coordination.LockRelease, Name: l.lock, Holder: l.name, FencingToken: l.fencingToken}
	c.env.Call(l.name, call, func(r *callhistory.Record) {
		if shouldRetry(r) && retries > 0 {
			l.releaseLock(retries - 1)
			return
		}
		l.acquireLock()
	})
}
