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

// Terms say how callers behave.
type Terms struct {
	Lockers   int
	History   time.Duration // how long watchers sleep at the most
	LongHolds bool          // some locks are held for up to ten seconds
}

// Callers are some callers of each kind, on few names so that they meet.
type Callers struct {
	world  World
	rng    *rand.Rand
	terms  Terms
	values int
	calm   bool
	missed []string
}

const (
	locks     = 2
	counters  = 2
	keyGroups = 2
	keys      = 3 // of a group
)

// Begin has callers begin.
func Begin(w World, rng *rand.Rand, t Terms) *Callers {
	d := &Callers{world: w, rng: rng, terms: t}
	for i := range t.Lockers {
		(&locker{d: d, name: fmt.Sprintf("a%d", i)}).next()
	}
	for i := range 3 {
		d.numbers(fmt.Sprintf("c%d", i), fmt.Sprintf("n%d", i%counters))
	}
	for i := range 4 {
		(&editor{d: d, name: fmt.Sprintf("e%d", i)}).next()
	}
	for i := range 3 {
		(&watcher{d: d, name: fmt.Sprintf("w%d", i), group: fmt.Sprintf("g%d.", i%keyGroups)}).next()
	}
	return d
}

// Calm has them end what they are at, and begin nothing more.
func (d *Callers) Calm() { d.calm = true }

// Missed is what the audit got no answer to.
func (d *Callers) Missed() []string { return d.missed }

// Names are those that callers use, by group.
func Names() []string { return []string{"l0", "l1", "n0", "g0.", "g1."} }

// between draws a time.
func (d *Callers) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)+1))
}

// again tells whether a call is worth sending again.
func again(r *callhistory.Record) bool {
	return !r.Clear() || r.Answer.Status == coordination.Unavailable || r.Answer.Status == coordination.Full
}

// numbers asks for numbers.
func (d *Callers) numbers(caller, name string) {
	if d.calm {
		return
	}
	d.world.Call(caller, coordination.Call{Operation: coordination.Number, Name: name}, func(*callhistory.Record) {
		d.world.After(d.between(0, 100*time.Millisecond), func() { d.numbers(caller, name) })
	})
}

// locker is a caller that takes locks: it holds them for an instant or for long, dies holding, sleeps beyond its time, asks again.
type locker struct {
	d     *Callers
	name  string
	lock  string
	fence uint64
	hold  time.Duration
	until time.Duration
}

func (l *locker) next() {
	if l.d.calm {
		return
	}
	if l.lock == "" || l.d.rng.IntN(3) > 0 {
		l.lock = fmt.Sprintf("l%d", l.d.rng.IntN(2))
	}
	l.hold = l.d.between(300*time.Millisecond, 2500*time.Millisecond)
	if l.d.terms.LongHolds && l.d.rng.IntN(6) == 0 {
		l.hold *= 4
	}
	sent := l.d.world.Now()
	l.d.world.Call(l.name, coordination.Call{Operation: coordination.LockBegin, Name: l.lock, Holder: l.name, Hold: l.hold},
		func(r *callhistory.Record) {
			if !r.Good() {
				l.d.world.After(l.d.between(10*time.Millisecond, 200*time.Millisecond), l.next)
				return
			}
			l.fence, l.until = r.Answer.Fence, sent+l.hold
			l.holds(l.d.rng.IntN(6))
		})
}

// holds goes on holding, for so many heartbeats.
func (l *locker) holds(beats int) {
	switch x := l.d.rng.IntN(20); {
	case x == 0: // dies, and comes back by its name
		l.d.world.After(l.d.between(0, 3*time.Second), l.next)
		return
	case x == 1: // sleeps
		l.d.world.After(l.hold+l.d.between(0, 500*time.Millisecond), func() { l.beat(0) })
		return
	case beats == 0 || l.d.calm:
		l.d.world.After(l.d.between(0, 100*time.Millisecond), func() { l.finish(l.d.rng.IntN(3)) })
		return
	}
	l.d.world.After(l.hold/3, func() { l.beat(beats - 1) })
}

func (l *locker) beat(left int) {
	sent, hold := l.d.world.Now(), l.hold
	if l.d.rng.IntN(5) == 0 {
		hold /= 4
	}
	c := coordination.Call{Operation: coordination.LockHeartbeat, Name: l.lock, Holder: l.name, Fence: l.fence, Hold: hold}
	l.d.world.Call(l.name, c, func(r *callhistory.Record) {
		switch {
		case r.Good() && r.Ended <= l.until:
			l.until = max(l.until, sent+hold)
			l.holds(left)
		case again(r) && l.d.world.Now() < l.until:
			l.beat(left)
		default:
			l.next()
		}
	})
}

// finish gives the lock back, and asks so often again; without an answer it goes on all the same.
func (l *locker) finish(tries int) {
	c := coordination.Call{Operation: coordination.LockFinish, Name: l.lock, Holder: l.name, Fence: l.fence}
	l.d.world.Call(l.name, c, func(r *callhistory.Record) {
		if again(r) && tries > 0 {
			l.finish(tries - 1)
			return
		}
		l.next()
	})
}

// editor reads and puts keys.
type editor struct {
	d    *Callers
	name string
}

func (e *editor) next() {
	if e.d.calm {
		return
	}
	key := fmt.Sprintf("g%d.%d", e.d.rng.IntN(2), e.d.rng.IntN(3))
	e.d.world.Call(e.name, coordination.Call{Operation: coordination.KeyRead, Name: key}, func(r *callhistory.Record) {
		if again(r) || e.d.rng.IntN(4) == 0 {
			e.d.world.After(e.d.between(0, 100*time.Millisecond), e.next)
			return
		}
		bound := e.d.rng.IntN(3) > 0
		e.d.values++
		c := coordination.Call{Operation: coordination.KeyReplace, Name: key, Value: fmt.Sprintf("v%d", e.d.values), Bound: bound,
			Expected: r.Answer.Revision}
		e.put(c, 1+e.d.rng.IntN(4))
	})
}

// put puts a value, again and again for some tries without a clear answer.
func (e *editor) put(c coordination.Call, tries int) {
	e.d.world.Call(e.name, c, func(r *callhistory.Record) {
		if again(r) && tries > 0 {
			e.d.world.After(e.d.between(0, 600*time.Millisecond), func() { e.put(c, tries-1) })
			return
		}
		e.d.world.After(e.d.between(0, 60*time.Millisecond), e.next)
	})
}

// watcher watches a group of keys, sometimes from a revision that it had before.
type watcher struct {
	d     *Callers
	name  string
	group string
	after uint64
}

func (w *watcher) next() {
	if w.d.calm {
		return
	}
	wait := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second}[w.d.rng.IntN(3)]
	c := coordination.Call{Operation: coordination.KeyWatch, Name: w.group, After: w.after, Wait: wait}
	w.d.world.Call(w.name, c, func(r *callhistory.Record) {
		switch {
		case r.Good():
			w.after = r.Answer.Revision
		case r.Clear() && r.Answer.Status == coordination.Compacted:
			w.after = 0
		}
		pause := w.d.between(0, 30*time.Millisecond)
		if w.d.rng.IntN(15) == 0 {
			pause = w.d.between(0, w.d.terms.History)
		}
		w.d.world.After(pause, w.next)
	})
}

// Audit asks for all once more, when all is calm and every lock's time has run out: each must be answered.
func (d *Callers) Audit() {
	ask := func(c coordination.Call) {
		d.world.Call("audit", c, func(r *callhistory.Record) {
			if !r.Clear() || r.Answer.Status != coordination.OK && r.Answer.Status != coordination.NotFound {
				d.missed = append(d.missed, fmt.Sprintf("the audit got no answer: %v", r))
			}
		})
	}
	for i := range counters {
		ask(coordination.Call{Operation: coordination.Number, Name: fmt.Sprintf("n%d", i)})
	}
	for i := range locks {
		ask(coordination.Call{Operation: coordination.LockBegin, Name: fmt.Sprintf("l%d", i), Holder: "audit", Hold: time.Second})
	}
	for i := range keyGroups {
		ask(coordination.Call{Operation: coordination.KeyWatch, Name: fmt.Sprintf("g%d.", i)})
		for k := range keys {
			ask(coordination.Call{Operation: coordination.KeyRead, Name: fmt.Sprintf("g%d.%d", i, k)})
		}
	}
}
