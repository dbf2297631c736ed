// Package callers is stand-ins of the applications that call for locks, numbers, keys and watches: they die holding, sleep beyond their
// time, give up, ask again and send again. What they saw is checked by callhistory. They run in whatever time and over whatever system
// they are given.
package callers

import (
	"fmt"
	"math/rand/v2"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

// World is the time and the system that callers live in.
type World interface {
	Now() time.Duration
	After(wait time.Duration, do func())
	// Call sends a call to some node. then is told once what came of it: a record that has ended, or one that has not and is given up.
	Call(caller string, c coordination.Call, then func(*callhistory.Record))
}

// Config say how callers behave.
type Config struct {
	Lockers         int
	MaxWatcherPause time.Duration // how long watchers sleep at the most
	LongTTLs        bool          // some locks are held for up to ten seconds
}

// Callers are some callers of each kind, on few names so that they meet.
type Callers struct {
	world      World
	rng        *rand.Rand
	config     Config
	lastValue  int
	stopping   bool
	unanswered []string
}

const (
	lockCount     = 2
	counterCount  = 2
	keyGroupCount = 2
	keysPerGroup  = 3 // of a group
)

// Start has callers begin.
func Start(w World, rng *rand.Rand, t Config) *Callers {
	d := &Callers{world: w, rng: rng, config: t}
	for i := range t.Lockers {
		(&locker{callers: d, name: fmt.Sprintf("a%d", i)}).acquire()
	}
	for i := range 3 {
		d.requestNumbers(fmt.Sprintf("c%d", i), fmt.Sprintf("n%d", i%counterCount))
	}
	for i := range 4 {
		(&editor{callers: d, name: fmt.Sprintf("e%d", i)}).readAndPut()
	}
	for i := range 3 {
		(&watcher{callers: d, name: fmt.Sprintf("w%d", i), keyGroup: fmt.Sprintf("g%d.", i%keyGroupCount)}).watch()
	}
	return d
}

// Stop has them end what they are at, and begin nothing more.
func (c *Callers) Stop() { c.stopping = true }

// Unanswered is what the audit got no answer to.
func (c *Callers) Unanswered() []string { return c.unanswered }

// Names are those that callers use, by group.
func Names() []string { return []string{"l0", "l1", "n0", "g0.", "g1."} }

// randomDuration draws a time.
func (c *Callers) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)+1))
}

// shouldRetry tells whether a call is worth sending again.
func shouldRetry(r *callhistory.Record) bool {
	return !r.IsDefinite() || r.Result.Status == coordination.StatusUnavailable || r.Result.Status == coordination.StatusLimitReached
}

// requestNumbers asks for numbers.
func (c *Callers) requestNumbers(caller, name string) {
	if c.stopping {
		return
	}
	c.world.Call(caller, coordination.Call{Operation: coordination.NumberNext, Name: name}, func(*callhistory.Record) {
		c.world.After(c.randomDuration(0, 100*time.Millisecond), func() { c.requestNumbers(caller, name) })
	})
}

// locker is a caller that takes locks: it holds them for an instant or for long, dies holding, sleeps beyond its time, asks again.
type locker struct {
	callers      *Callers
	name         string
	lock         string
	fencingToken uint64
	ttl          time.Duration
	expiresAt    time.Duration
}

func (l *locker) acquire() {
	if l.callers.stopping {
		return
	}
	if l.lock == "" || l.callers.rng.IntN(3) > 0 {
		l.lock = fmt.Sprintf("l%d", l.callers.rng.IntN(2))
	}
	l.ttl = l.callers.randomDuration(300*time.Millisecond, 2500*time.Millisecond)
	if l.callers.config.LongTTLs && l.callers.rng.IntN(6) == 0 {
		l.ttl *= 4
	}
	sent := l.callers.world.Now()
	l.callers.world.Call(l.name, coordination.Call{Operation: coordination.LockAcquire, Name: l.lock, Holder: l.name, TTL: l.ttl},
		func(r *callhistory.Record) {
			if !r.Succeeded() {
				l.callers.world.After(l.callers.randomDuration(10*time.Millisecond, 200*time.Millisecond), l.acquire)
				return
			}
			l.fencingToken, l.expiresAt = r.Result.FencingToken, sent+l.ttl
			l.keepLock(l.callers.rng.IntN(6))
		})
}

// keepLock goes on holding, for so many heartbeats.
func (l *locker) keepLock(beats int) {
	switch x := l.callers.rng.IntN(20); {
	case x == 0: // dies, and comes back by its name
		l.callers.world.After(l.callers.randomDuration(0, 3*time.Second), l.acquire)
		return
	case x == 1: // sleeps
		l.callers.world.After(l.ttl+l.callers.randomDuration(0, 500*time.Millisecond), func() { l.renew(0) })
		return
	case beats == 0 || l.callers.stopping:
		l.callers.world.After(l.callers.randomDuration(0, 100*time.Millisecond), func() { l.release(l.callers.rng.IntN(3)) })
		return
	}
	l.callers.world.After(l.ttl/3, func() { l.renew(beats - 1) })
}

func (l *locker) renew(left int) {
	sent, hold := l.callers.world.Now(), l.ttl
	if l.callers.rng.IntN(5) == 0 {
		hold /= 4
	}
	c := coordination.Call{Operation: coordination.LockRenew, Name: l.lock, Holder: l.name, FencingToken: l.fencingToken, TTL: hold}
	l.callers.world.Call(l.name, c, func(r *callhistory.Record) {
		switch {
		case r.Succeeded() && r.Ended <= l.expiresAt:
			l.expiresAt = max(l.expiresAt, sent+hold)
			l.keepLock(left)
		case shouldRetry(r) && l.callers.world.Now() < l.expiresAt:
			l.renew(left)
		default:
			l.acquire()
		}
	})
}

// release gives the lock back, and asks so often again; without an answer it goes on all the same.
func (l *locker) release(tries int) {
	c := coordination.Call{Operation: coordination.LockRelease, Name: l.lock, Holder: l.name, FencingToken: l.fencingToken}
	l.callers.world.Call(l.name, c, func(r *callhistory.Record) {
		if shouldRetry(r) && tries > 0 {
			l.release(tries - 1)
			return
		}
		l.acquire()
	})
}

// editor reads and puts keys.
type editor struct {
	callers *Callers
	name    string
}

func (e *editor) readAndPut() {
	if e.callers.stopping {
		return
	}
	key := fmt.Sprintf("g%d.%d", e.callers.rng.IntN(2), e.callers.rng.IntN(3))
	e.callers.world.Call(e.name, coordination.Call{Operation: coordination.KeyRead, Name: key}, func(r *callhistory.Record) {
		if shouldRetry(r) || e.callers.rng.IntN(4) == 0 {
			e.callers.world.After(e.callers.randomDuration(0, 100*time.Millisecond), e.readAndPut)
			return
		}
		bound := e.callers.rng.IntN(3) > 0
		e.callers.lastValue++
		c := coordination.Call{Operation: coordination.KeyPut, Name: key, Value: fmt.Sprintf("v%d", e.callers.lastValue), Conditional: bound,
			ExpectedRevision: r.Result.Revision}
		e.put(c, 1+e.callers.rng.IntN(4))
	})
}

// put puts a value, again and again for some tries without a clear answer.
func (e *editor) put(c coordination.Call, tries int) {
	e.callers.world.Call(e.name, c, func(r *callhistory.Record) {
		if shouldRetry(r) && tries > 0 {
			e.callers.world.After(e.callers.randomDuration(0, 600*time.Millisecond), func() { e.put(c, tries-1) })
			return
		}
		e.callers.world.After(e.callers.randomDuration(0, 60*time.Millisecond), e.readAndPut)
	})
}

// watcher watches a group of keys, sometimes from a revision that it had before.
type watcher struct {
	callers       *Callers
	name          string
	keyGroup      string
	afterRevision uint64
}

func (w *watcher) watch() {
	if w.callers.stopping {
		return
	}
	wait := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second}[w.callers.rng.IntN(3)]
	c := coordination.Call{Operation: coordination.KeyWatch, Name: w.keyGroup, AfterRevision: w.afterRevision, Timeout: wait}
	w.callers.world.Call(w.name, c, func(r *callhistory.Record) {
		switch {
		case r.Succeeded():
			w.afterRevision = r.Result.Revision
		case r.IsDefinite() && r.Result.Status == coordination.StatusCompacted:
			w.afterRevision = 0
		}
		pause := w.callers.randomDuration(0, 30*time.Millisecond)
		if w.callers.rng.IntN(15) == 0 {
			pause = w.callers.randomDuration(0, w.callers.config.MaxWatcherPause)
		}
		w.callers.world.After(pause, w.watch)
	})
}

// Audit asks for all once more, when all is calm and every lock's time has run out: each must be answered.
func (c *Callers) Audit() {
	ask := func(call coordination.Call) {
		c.world.Call("audit", call, func(r *callhistory.Record) {
			if !r.IsDefinite() || r.Result.Status != coordination.StatusOK && r.Result.Status != coordination.StatusNotFound {
				c.unanswered = append(c.unanswered, fmt.Sprintf("the audit got no answer: %v", r))
			}
		})
	}
	for i := range counterCount {
		ask(coordination.Call{Operation: coordination.NumberNext, Name: fmt.Sprintf("n%d", i)})
	}
	for i := range lockCount {
		ask(coordination.Call{Operation: coordination.LockAcquire, Name: fmt.Sprintf("l%d", i), Holder: "audit", TTL: time.Second})
	}
	for i := range keyGroupCount {
		ask(coordination.Call{Operation: coordination.KeyWatch, Name: fmt.Sprintf("g%d.", i)})
		for k := range keysPerGroup {
			ask(coordination.Call{Operation: coordination.KeyRead, Name: fmt.Sprintf("g%d.%d", i, k)})
		}
	}
}
