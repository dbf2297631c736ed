package callers

import (
	"fmt"
	"math/rand/v2"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

// Environment provides the clock that callers run on and the system that they call.
type Environment interface {
	// Now returns the time that has passed on the clock of all callers since a fixed point that the environment chooses.
	Now() time.Duration
	// After runs action once the time wait has passed.
	After(wait time.Duration, action func())
	// Call sends a call to some node. Call invokes done once, after the call has ended or the caller has given it up. The record contains the
	// call and its answer.
	Call(caller string, c coordination.Call, done func(*callhistory.Record))
}

// Config configures the number and the behavior of the callers.
type Config struct {
	// Lockers is the number of callers that acquire locks.
	Lockers int
	// MaxWatcherPause is the longest pause between two calls of a watcher. Watchers occasionally take a random pause up to this limit, so that
	// they fall behind the history that the system retains.
	MaxWatcherPause time.Duration
	// LongTTLs makes the duration of some leases up to ten seconds. Other leases last at most 2.5 seconds.
	LongTTLs bool
	// Restarters is the number of callers that end while they release a lock and acquire it again at once. Each has a lock of its own and a rival.
	Restarters int
}

const (
	// Numbers of callers of each kind besides the lockers.
	numberCallers = 3
	editors       = 4
	watchers      = 3

	// Numbers of locks, counters, key groups and keys that the callers share.
	lockCount     = 2
	counterCount  = 2
	keyGroupCount = 2
	keysPerGroup  = 3
)

func lockName(i int) string     { return fmt.Sprintf("l%d", i) }
func counterName(i int) string  { return fmt.Sprintf("n%d", i) }
func keyGroupName(i int) string { return fmt.Sprintf("g%d.", i) }
func keyName(group, key int) string {
	return fmt.Sprintf("%s%d", keyGroupName(group), key)
}

// SharedNames returns the names of some locks, counters and key groups that the callers use. Tests use the names to find the replicated
// groups that store these objects.
func SharedNames() []string { return []string{"l0", "l1", "n0", "g0.", "g1."} }

// Callers is a set of simulated callers of all kinds.
type Callers struct {
	env        Environment
	rng        *rand.Rand
	config     Config
	lastValue  int // the number in the value of the last put, which makes each value unique
	stopping   bool
	unanswered []string // result of UnansweredAuditCalls
}

// Start creates the callers and starts them.
func Start(env Environment, rng *rand.Rand, config Config) *Callers {
	c := &Callers{env: env, rng: rng, config: config}
	for i := range config.Lockers {
		(&locker{callers: c, name: fmt.Sprintf("a%d", i)}).acquireLock()
	}
	for i := range config.Restarters {
		c.startRestarter(i)
	}
	for i := range numberCallers {
		c.requestNumbers(fmt.Sprintf("c%d", i), counterName(i%counterCount))
	}
	for i := range editors {
		(&editor{callers: c, name: fmt.Sprintf("e%d", i)}).readAndPut()
	}
	for i := range watchers {
		(&watcher{callers: c, name: fmt.Sprintf("w%d", i), keyGroup: keyGroupName(i % keyGroupCount)}).watchRepeatedly()
	}
	return c
}

// Stop lets the callers finish the work that they have begun, and keeps them from starting more.
func (c *Callers) Stop() { c.stopping = true }

// Audit sends a call for each lock, counter, key group and key. Call Audit after all faults have ended and every lease has expired. Each
// call must then be answered with the status OK or NotFound. UnansweredAuditCalls returns the calls that got no such answer.
func (c *Callers) Audit() {
	for i := range counterCount {
		c.sendAuditCall(coordination.Call{Operation: coordination.NumberNext, Name: counterName(i)})
	}
	for i := range lockCount {
		c.sendAuditCall(coordination.Call{Operation: coordination.LockAcquire, Name: lockName(i), Holder: "audit", TTL: time.Second})
	}
	for i := range keyGroupCount {
		c.sendAuditCall(coordination.Call{Operation: coordination.KeyWatch, Name: keyGroupName(i)})
		for k := range keysPerGroup {
			c.sendAuditCall(coordination.Call{Operation: coordination.KeyRead, Name: keyName(i, k)})
		}
	}
}

// sendAuditCall sends one call of the audit and records a missing or wrong answer.
func (c *Callers) sendAuditCall(call coordination.Call) {
	c.env.Call("audit", call, func(r *callhistory.Record) {
		if !r.IsDefinite() || r.Result.Status != coordination.StatusOK && r.Result.Status != coordination.StatusNotFound {
			c.unanswered = append(c.unanswered, fmt.Sprintf("audit call was not answered with status OK or NotFound: %v", r))
		}
	})
}

// UnansweredAuditCalls returns a description of each audit call that got no definite answer or an answer with a status other than OK and
// NotFound.
func (c *Callers) UnansweredAuditCalls() []string { return c.unanswered }

// randomDuration returns a random duration between from and to, both included.
func (c *Callers) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)+1))
}

// shouldRetry reports whether a caller should send the call again.
func shouldRetry(r *callhistory.Record) bool {
	return !r.IsDefinite() || r.Result.Status == coordination.StatusUnavailable || r.Result.Status == coordination.StatusLimitReached
}

// requestNumbers requests one number after the other, with a random pause in between, until the callers stop.
func (c *Callers) requestNumbers(caller, name string) {
	if c.stopping {
		return
	}
	c.env.Call(caller, coordination.Call{Operation: coordination.NumberNext, Name: name}, func(*callhistory.Record) {
		c.env.After(c.randomDuration(0, 100*time.Millisecond), func() { c.requestNumbers(caller, name) })
	})
}
