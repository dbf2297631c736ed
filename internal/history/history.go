// Package history keeps what the processes of a fleet and its stand-ins did, by the one clock of the machine, and
// checks it: pure functions over a history tell what in it may not be.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Version of the form. A reader refuses a newer one.
const Version = 1

// Kind is what happened. The set is open: what is not known here is kept and passed on.
type Kind string

// The kinds that the rig, its stand-ins and front doors write.
const (
	Header        Kind = "history"   // first line of a file: N is the version
	Requested     Kind = "ask"       // a client's request is written whole: Key plan/customer, At the front door, N units, What the product
	Answered      Kind = "answer"    // its final answer, by the client: N the status, What whose answer a settled one is
	Unanswered    Kind = "unheard"   // its connection ended without a whole answer
	ClientLeft    Kind = "left"      // its client has given it up, and closed its connection
	Arrived       Kind = "arrive"    // a submission has begun at a backend; Own is when the front door began to send it
	Rejected      Kind = "turn-away" // a submission was turned away there unseen
	Finished      Kind = "over"      // a submission is out no longer
	Notified      Kind = "told"      // discovery has written news of the backend At to the front door Who; What is its state
	Up            Kind = "up"        // a process serves; Life counts its starts
	Down          Kind = "down"      // it has ended; What is "in order" where it did so by itself when told
	Paused        Kind = "stop"      // it stands still
	Resumed       Kind = "go"        // and goes on
	FaultBegan    Kind = "strike"    // a fault begins; What names it
	FaultEnded    Kind = "heal"      // and ends
	ActBegan      Kind = "begin"     // an act under a grant: Key the task, N the permit
	ActEnded      Kind = "end"       // and its end
	StepAccepted  Kind = "took"      // the ledger Who took a step numbered N for Key, from At
	LeaseGranted  Kind = "hold"      // Who holds a permit, What, of the task Key until Due, by number N
	LeaseReleased Kind = "gave"      // and holds it no longer
	Observed      Kind = "see"       // Who holds What to be so of Key
	Invoke        Kind = "invoke"    // of an operation on the register or lock Key: What is the operation, N its value
	Return        Kind = "return"    // its answer
	Complete      Kind = "closes"    // nothing more is to come: all that was due by now would be here
	Dropped       Kind = "lost"      // N events were not kept: there was no room
)

// Event is one thing that happened.
type Event struct {
	Time        time.Duration `json:"t"`             // the machine's monotonic clock
	OwnTime     time.Duration `json:"own,omitempty"` // the process's own view of it
	Who         string        `json:"who"`
	Incarnation int           `json:"life,omitempty"`
	Kind        Kind          `json:"kind"`
	Txn         string        `json:"txn,omitempty"`
	Key         string        `json:"key,omitempty"`
	Target      string        `json:"at,omitempty"`
	Number      float64       `json:"n,omitempty"`
	Deadline    time.Duration `json:"due,omitempty"` // of a request: when its client waits no longer
	Success     bool          `json:"ok,omitempty"`
	What        string        `json:"what,omitempty"`
}

// Now is the machine's monotonic clock: the same in all processes.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic("no monotonic clock: " + err.Error()) // there is no Linux without it
	}
	return time.Duration(t.Nano())
}

// queueCapacity events wait to be written; beyond these they are counted as lost.
const queueCapacity = 1 << 14

// Log takes events from many goroutines, into memory or a file, and is bounded in both: what there is no room for is
// counted, and told by an event at the end. A nil log takes nothing.
type Log struct {
	mu          sync.Mutex
	events      []Event // in memory
	maxEvents   int
	dropped     atomic.Uint64
	queueMu     sync.RWMutex // of the queue's end
	closed      bool
	queue       chan Event // to a file
	done        chan struct{}
	who         string
	incarnation int
	err         error
}

// InMemory keeps at most so many events.
func InMemory(most int) *Log { return &Log{maxEvents: most} }

// ToFile appends to a file, up to so many bytes. Who and life name the process in events that do not.
func ToFile(path, who string, life int, mostBytes int64) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	l := &Log{queue: make(chan Event, queueCapacity), done: make(chan struct{}), who: who, incarnation: life}
	go l.write(f, mostBytes)
	return l, nil
}

// Add takes an event; it gets the time if it has none.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if e.Time == 0 {
		e.Time = Now()
	}
	if l.queue != nil {
		if e.Who == "" {
			e.Who, e.Incarnation = l.who, l.incarnation
		}
		l.queueMu.RLock()
		defer l.queueMu.RUnlock()
		if l.closed {
			return
		}
		select {
		case l.queue <- e:
		default:
			l.dropped.Add(1)
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= l.maxEvents {
		l.dropped.Add(1)
		return
	}
	l.events = append(l.events, e)
}

// write takes what waits to the file, flushing when nothing more waits: a process that is killed loses little.
func (l *Log) write(f *os.File, room int64) {
	defer close(l.done)
	defer f.Close()
	out := bufio.NewWriter(f)
	line := func(e Event) {
		b, err := json.Marshal(e)
		if err != nil || int64(len(b)+1) > room {
			l.dropped.Add(1)
			return
		}
		room -= int64(len(b) + 1)
		if _, err := out.Write(append(b, '\n')); err != nil {
			l.err = err
		}
	}
	line(Event{Time: Now(), Who: l.who, Incarnation: l.incarnation, Kind: Header, Number: Version})
	out.Flush()
	for e := range l.queue {
		line(e)
		if len(l.queue) == 0 {
			out.Flush()
		}
	}
	if n := l.dropped.Load(); n > 0 {
		room += 1 << 10 // that some were lost is told in any case
		line(Event{Time: Now(), Who: l.who, Incarnation: l.incarnation, Kind: Dropped, Number: float64(n)})
	}
	if err := out.Flush(); err != nil {
		l.err = err
	}
}

// Close ends a log to a file; what is added after it is passed over.
func (l *Log) Close() error {
	if l == nil || l.queue == nil {
		return nil
	}
	l.queueMu.Lock()
	was := l.closed
	l.closed = true
	l.queueMu.Unlock()
	if was {
		return l.err
	}
	close(l.queue)
	<-l.done
	return l.err
}

// Events gives what is kept in memory, in order of time, with a last one if any were lost.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append([]Event(nil), l.events...)
	if n := l.dropped.Load(); n > 0 {
		all = append(all, Event{Time: Now(), Who: "rig", Kind: Dropped, Number: float64(n)})
	}
	return Merge(all)
}

// Merge puts histories into one, in order of time; what happened at one time keeps its order.
func Merge(parts ...[]Event) []Event {
	var all []Event
	for _, p := range parts {
		all = append(all, p...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	return all
}

// Write writes a history as a file of JSON lines.
func Write(to io.Writer, all []Event) error {
	out := bufio.NewWriter(to)
	enc := json.NewEncoder(out)
	first := Event{Who: "rig", Kind: Header, Number: Version}
	if len(all) > 0 {
		first.Time = all[0].Time
	}
	if err := enc.Encode(first); err != nil {
		return err
	}
	for _, e := range all {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return out.Flush()
}

// Read reads one. A last line that was cut off, as by a crash, is left out and told of; a newer version is refused.
// A front door that was started again adds a header line of its own.
func Read(name string, from io.Reader) (all []Event, cut bool, err error) {
	in := bufio.NewReaderSize(from, 1<<20)
	for n := 1; ; n++ {
		line, end := in.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			var e Event
			if bad := json.Unmarshal(line, &e); bad != nil {
				if errors.Is(end, io.EOF) {
					return all, true, nil
				}
				return all, false, fmt.Errorf("%s:%d: %w", name, n, bad)
			}
			if e.Kind == Header && e.Number > Version {
				return all, false, fmt.Errorf("%s:%d: version %g, newer than %d, which this program reads", name, n, e.Number, Version)
			}
			if n == 1 && e.Kind != Header {
				return all, false, fmt.Errorf("%s:1: no history: its first line must be of kind %q", name, Header)
			}
			if e.Kind != Header {
				all = append(all, e)
			}
		}
		if errors.Is(end, io.EOF) {
			return all, false, nil
		} else if end != nil {
			return all, false, end
		}
	}
}

// ReadFile reads one by its name.
func ReadFile(name string) ([]Event, bool, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	return Read(name, f)
}
