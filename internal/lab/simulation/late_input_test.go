package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
)

// lateInputSeeds is how many seeds TestReleaseReadAfterAPauseFreesNothing plays.
const lateInputSeeds = 6

// Guards against two holders of one lock (review/4): a node without a disk is paused, and a caller's release lies unread in its backlog. The caller ends, starts
// again and acquires its lock again, by another node, while the pause lasts. The node reads its backlog for longer than its alarms were late.
// Nobody else may get the lock while the caller's lease lasts.
func TestReleaseReadAfterAPauseFreesNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(lateInputSeeds) {
		l := &lateRelease{world: groupWorldOf(t, seed, 6, 3), test: t}
		l.paused, l.lock = l.world.machines[3], nameIn(0)
		l.play(2300*time.Millisecond, 50+50*int(seed))
	}
}

// lateRelease is a caller x whose release is read late, and a caller y that asks for the lock.
type lateRelease struct {
	world  *world
	test   *testing.T
	paused *machine
	lock   string
}

const lateReleaseTTL = 8 * time.Second

// play pauses the node with so many calls before the release in its backlog.
func (l *lateRelease) play(pause time.Duration, callsBefore int) {
	w := l.world
	token := l.acquire(w.machines[0], "x", 5*time.Second)
	must.Positive(l.test, token)
	l.paused.stall(true)
	for range callsBefore {
		l.send(l.paused, coordination.Call{Operation: coordination.LockRead, Name: l.lock}, func(coordination.Result) {})
	}
	released := false
	l.send(l.paused, coordination.Call{Operation: coordination.LockRelease, Name: l.lock, Holder: "x", FencingToken: token},
		func(coordination.Result) { released = true })
	w.until(w.now+200*time.Millisecond, nil)
	heldSince := w.now
	must.Eq(l.test, token, l.acquire(w.machines[1], "x", time.Second), must.Sprint("the holder keeps its token"))
	w.until(heldSince+pause, nil)
	l.paused.stall(false)
	must.True(l.test, w.until(w.now+5*time.Second, func() bool { return released }), must.Sprint("the release is answered"))
	other := l.acquire(w.machines[2], "y", heldSince+lateReleaseTTL-w.now-time.Second)
	must.Zero(l.test, other, must.Sprintf("seed %d: y gets the lock %v before x's lease ends", w.day.Seed, heldSince+lateReleaseTTL-w.now))
}

// send sends a call to a node, in a turn of the node.
func (l *lateRelease) send(to *machine, c coordination.Call, done func(coordination.Result)) {
	p := to.process
	p.turn(func() { p.node.Coordinate(c, p.InputDelay(), done) })
}

// acquire asks a node for the lock each 50 ms until the node grants it, for a time at the most. It returns the fencing token, or 0.
func (l *lateRelease) acquire(at *machine, holder string, limit time.Duration) (token uint64) {
	w := l.world
	for end := w.now + limit; token == 0 && w.now < end; w.until(w.now+50*time.Millisecond, nil) {
		l.send(at, coordination.Call{Operation: coordination.LockAcquire, Name: l.lock, Holder: holder, TTL: lateReleaseTTL},
			func(r coordination.Result) {
				if r.Status == coordination.StatusOK {
					token = r.FencingToken
				}
			})
	}
	return token
}
