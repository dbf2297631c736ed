package callers

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

// editor is a caller that reads and puts keys. On average, two of three puts are conditional. A conditional put succeeds only if the key has
// not changed since the read.
type editor struct {
	callers *Callers
	name    string
}

// readAndPut reads a random key and usually puts a new value to the key. A random delay later, the editor starts
// again with readAndPut, until the callers stop.
func (e *editor) readAndPut() {
	c := e.callers
	if c.stopping {
		return
	}
	group := c.rng.IntN(keyGroupCount)
	key := keyName(group, c.rng.IntN(keysPerGroup))
	c.env.Call(e.name, coordination.Call{Operation: coordination.KeyRead, Name: key}, func(r *callhistory.Record) {
		if shouldRetry(r) || c.rng.IntN(4) == 0 {
			c.env.After(c.randomDuration(0, 100*time.Millisecond), e.readAndPut)
			return
		}
		conditional := c.rng.IntN(3) > 0
		c.lastValue++
		call := coordination.Call{Operation: coordination.KeyPut, Name: key, Value: fmt.Sprintf("v%d", c.lastValue),
			Conditional: conditional, ExpectedRevision: r.Result.Revision}
		e.sendPut(call, 1+c.rng.IntN(4))
	})
}

// sendPut sends a put, retries it at most the given number of times, and then starts the next read.
func (e *editor) sendPut(call coordination.Call, retries int) {
	c := e.callers
	c.env.Call(e.name, call, func(r *callhistory.Record) {
		if shouldRetry(r) && retries > 0 {
			c.env.After(c.randomDuration(0, 600*time.Millisecond), func() { e.sendPut(call, retries-1) })
			return
		}
		c.env.After(c.randomDuration(0, 60*time.Millisecond), e.readAndPut)
	})
}

// watcher is a caller that watches a key group repeatedly. Each watch starts after the revision that the previous watch returned.
type watcher struct {
	callers       *Callers
	name          string
	keyGroup      string
	afterRevision uint64
}

// watchRepeatedly sends a watch and schedules the next one after the answer, until the callers stop.
func (w *watcher) watchRepeatedly() {
	c := w.callers
	if c.stopping {
		return
	}
	timeout := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second}[c.rng.IntN(3)]
	call := coordination.Call{Operation: coordination.KeyWatch, Name: w.keyGroup, AfterRevision: w.afterRevision, Timeout: timeout}
	c.env.Call(w.name, call, func(r *callhistory.Record) {
		switch {
		case r.Succeeded():
			w.afterRevision = r.Result.Revision
		case r.IsDefinite() && r.Result.Status == coordination.StatusCompacted:
			w.afterRevision = 0
		}
		pause := c.randomDuration(0, 30*time.Millisecond)
		if c.rng.IntN(15) == 0 {
			pause = c.randomDuration(0, c.config.MaxWatcherPause)
		}
		c.env.After(pause, w.watchRepeatedly)
	})
}
