package callers

import (
	"fmt"
	"math/rand/v2"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

// World is the clock and the system that callers use.
type Environment interface {
	Now() time.Duration
	After(wait time.Duration, action func())
	// Call sends a call to some node. done is called once: with a record that has ended, or with one that the caller has given up.
	Call(caller string, c coordination.Call, done func(*callhistory.Record))
}

// Config says how callers behave.
type Config struct {
	Lockers         int
	MaxWatcherPause time.Duration // between two watches of a watcher that falls behind now and then
	LongTTLs        bool          // some leases are up to ten seconds long
}

// How many callers of each kind there are beside the lockers, and how many names they share.
const (
	numberCallers = 3
	editors       = 4
	watchers      = 3

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

// Names are a lock's, a counter's and key groups' of those that callers use, by which a test finds their replicated groups.
func Names() []string { return []string{"l0", "l1", "n0", "g0.", "g1."} }

// Callers are some callers of each kind.
type Callers struct {
	env        Environment
	rng        *rand.Rand
	config     Config
	lastValue  int // of a put: each one has its own value
	stopping   bool
	unanswered []string
}

// Start makes callers and has them begin.
func Start(env Environment, rng *rand.Rand, config Config) *Callers {
	c := &Callers{env: env, rng: rng, config: config}
	for i := range config.Lockers {
		(&locker{callers: c, name: fmt.Sprintf("a%d", i)}).acquire()
	}
	for i := range numberCallers {
		c.requestNumbers(fmt.Sprintf("c%d", i), counterName(i%counterCount))
	}
	for i := range editors {
		(&editor{callers: c, name: fmt.Sprintf("e%d", i)}).readAndPut()
	}
	for i := range watchers {
		(&watcher{callers: c, name: fmt.Sprintf("w%d", i), keyGroup: keyGroupName(i % keyGroupCount)}).watch()
	}
	return c
}

// Stop has them end what they have begun, and begin nothing more.
func (c *Callers) Stop() { c.stopping = true }

// Audit makes a call on each name. It is for when no fault is left and every lease has expired: each call must be answered, see Unanswered.
func (c *Callers) Audit() {
	for i := range counterCount {
		c.auditCall(coordination.Call{Operation: coordination.NumberNext, Name: counterName(i)})
	}
	for i := range lockCount {
		c.auditCall(coordination.Call{Operation: coordination.LockAcquire, Name: lockName(i), Holder: "audit", TTL: time.Second})
	}
	for i := range keyGroupCount {
		c.auditCall(coordination.Call{Operation: coordination.KeyWatch, Name: keyGroupName(i)})
		for k := range keysPerGroup {
			c.auditCall(coordination.Call{Operation: coordination.KeyRead, Name: keyName(i, k)})
		}
	}
}

func (c *Callers) auditCall(call coordination.Call) {
	c.env.Call("audit", call, func(r *callhistory.Record) {
		if !r.IsDefinite() || r.Result.Status != coordination.StatusOK && r.Result.Status != coordination.StatusNotFound {
			c.unanswered = append(c.unanswered, fmt.Sprintf("the audit got no answer: %v", r))
		}
	})
}

// Unanswered describes the calls of the audit that got no answer.
func (c *Callers) Unanswered() []string { return c.unanswered }

func (c *Callers) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)+1))
}

// shouldRetry reports whether a caller sends a call again.
func shouldRetry(r *callhistory.Record) bool {
	return !r.IsDefinite() || r.Result.Status == coordination.StatusUnavailable || r.Result.Status == coordination.StatusLimitReached
}

// requestNumbers asks for one number after the other.
func (c *Callers) requestNumbers(caller, name string) {
	if c.stopping {
		return
	}
	c.env.Call(caller, coordination.Call{Operation: coordination.NumberNext, Name: name}, func(*callhistory.Record) {
		c.env.After(c.randomDuration(0, 100*time.Millisecond), func() { c.requestNumbers(caller, name) })
	})
}
