package callers

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

const (
	// restarterTTL is the lease of a restarter: longer than the pauses of nodes.
	restarterTTL = 8 * time.Second
	// maxRestartTime is the longest time from the end of a restarter to its first call after it.
	maxRestartTime = 300 * time.Millisecond
	// maxRestarterHold is the longest time for which a restarter holds its lock again. It holds it for half of that time at least.
	maxRestarterHold = 6 * time.Second
	// rivalInterval is the time between two calls of a rival.
	rivalInterval = 100 * time.Millisecond
)

// restarter is a caller that ends while it releases its lock, and acquires the lock again after its restart, under the same name. A rival wants the lock
// all the time. If a node reads the release after the restart, the lock must stay the restarter's.
type restarter struct {
	callers      *Callers
	name, lock   string
	fencingToken uint64
}

// startRestarter starts a restarter and its rival.
func (c *Callers) startRestarter(i int) {
	r := &restarter{callers: c, name: fmt.Sprintf("r%d", i), lock: fmt.Sprintf("restart%d", i)}
	r.acquire(r.abandonRelease)
	c.rival(fmt.Sprintf("v%d", i), r.lock)
}

// acquire tries to acquire the lock until it succeeds or the callers stop, and goes on with then.
func (r *restarter) acquire(then func()) {
	c := r.callers
	if c.stopping {
		return
	}
	call := coordination.Call{Operation: coordination.LockAcquire, Name: r.lock, Holder: r.name, TTL: restarterTTL}
	c.env.Call(r.name, call, func(record *callhistory.Record) {
		if !record.Succeeded() {
			c.env.After(c.randomDuration(10*time.Millisecond, 100*time.Millisecond), func() { r.acquire(then) })
			return
		}
		r.fencingToken = record.Result.FencingToken
		then()
	})
}

// abandonRelease sends a release, after a while, and ends before the answer. After its restart the restarter acquires the lock again.
func (r *restarter) abandonRelease() {
	c := r.callers
	c.env.After(c.randomDuration(0, maxRestartTime), func() {
		r.release(func() {})
		c.env.After(c.randomDuration(maxRestartTime/6, maxRestartTime), func() { r.acquire(r.hold) })
	})
}

// hold keeps the lock for a while and releases it.
func (r *restarter) hold() {
	c := r.callers
	c.env.After(c.randomDuration(maxRestarterHold/2, maxRestarterHold), func() {
		r.release(func() { r.acquire(r.abandonRelease) })
	})
}

// release sends a release. then is called when it has ended.
func (r *restarter) release(then func()) {
	call := coordination.Call{Operation: coordination.LockRelease, Name: r.lock, Holder: r.name, FencingToken: r.fencingToken}
	r.callers.env.Call(r.name, call, func(*callhistory.Record) { then() })
}

// rival acquires a lock for a moment whenever the lock is free, until the callers stop.
func (c *Callers) rival(name, lock string) {
	if c.stopping {
		return
	}
	again := func() { c.env.After(rivalInterval, func() { c.rival(name, lock) }) }
	call := coordination.Call{Operation: coordination.LockAcquire, Name: lock, Holder: name, TTL: 2 * rivalInterval}
	c.env.Call(name, call, func(record *callhistory.Record) {
		if !record.Succeeded() {
			again()
			return
		}
		release := coordination.Call{Operation: coordination.LockRelease, Name: lock, Holder: name, FencingToken: record.Result.FencingToken}
		c.env.Call(name, release, func(*callhistory.Record) { again() })
	})
}
