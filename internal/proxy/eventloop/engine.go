// Package eventloop puts the poller's connections behind rings and gives the front door its one owner at a time:
// whatever happens (bytes, a dial, a due time, a signal) takes its turn under one lock.
package eventloop

import (
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"clovergap/internal/invariant"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/timerqueue"
)

// Alarm is told when a due time of its own has come, if it is still of interest by then.
type Alarm interface {
	Due(ref uint32)
	Live(ref uint32) bool
}

type alarm struct {
	target Alarm
	ref    uint32
}

// Engine runs the poller, the clock and the turns.
type Engine struct {
	mu               sync.Mutex
	poll             *nbio.Engine
	listeners        []*listener // in the order of listening
	started          time.Time
	now              time.Duration
	alarms           timerqueue.Queue[alarm]
	timer            int           // its descriptor
	armed            time.Duration // 0: not
	turnEnded        func()        // end of each turn: decisions are pulled
	accept           func(*Link)
	outOfDescriptors func() // descriptors ran out
	userTimeout      time.Duration
	open             int // connections, dials among them
	maxConnections   int
	maxRing          int
	spare            int // bytes that all rings of what comes in may still grow by
	inTurn           bool
	polled           bool  // the poller's own turn: it closes nothing beside it
	eventLink        *Link // whose event that is
	descriptors      descriptorTable
	stopped          bool
	stallLength      time.Duration // how long this front door last stood still
	stallEnd         time.Duration
	Count            *counters.Set
}

// clockStart is what the clock shows at the start: a backend may have started before this front door did.
const clockStart = time.Hour

// New makes an engine for at most so many descriptors, some of which are the program's own; a ring holds at
// most bound bytes, and all that hold what comes in no more than spare beyond their least.
func New(listen string, descriptors, bound, spare int) *Engine {
	e := &Engine{started: time.Now(), now: clockStart, maxConnections: descriptors - ownDescriptors, maxRing: bound, spare: spare,
		Count: &counters.Set{}, turnEnded: func() {}, accept: (*Link).CloseSoon, outOfDescriptors: func() {},
		descriptors: descriptorTable{released: map[int]uint64{}}}
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, max(descriptors, 1024)+1024)
	next := 0 // the poller asks for its listeners once, in their order
	e.poll = nbio.NewEngine(nbio.Config{Name: "clovergap", Network: "tcp", NPoller: 1, EpollMod: nbio.EPOLLET,
		ReadBufferSize: 4 << 10, MaxWriteBufferSize: 2 * max(bound, writeChunk),
		Listen: func(string, string) (net.Listener, error) {
			a := e.listeners[next]
			next++
			return a, a.open()
		}})
	if listen != "" {
		e.addListener(listen, func(l *Link) { e.accept(l) })
	}
	e.poll.OnOpen(e.opened)
	e.poll.OnRead(e.readable)
	e.poll.OnClose(e.pollerClosed)
	e.poll.OnWrittenSize(written)
	e.poll.OnAcceptError(func(error) {
		stopped := false
		e.Turn(func() {
			if stopped = e.stopped; !stopped {
				e.Count.Add(counters.AcceptErrors)
				e.outOfDescriptors()
			}
		})
		if stopped {
			runtime.Goexit() // an acceptor that began after Stop has missed the poller's word, and would try for ever
		}
		time.Sleep(10 * time.Millisecond) // the acceptor would spin
	})
	return e
}

// OnAccept says who takes new clients.
func (e *Engine) OnAccept(f func(*Link)) { e.accept = f }

// OnTurnEnd says who pulls decisions at the end of a turn.
func (e *Engine) OnTurnEnd(f func()) { e.turnEnded = f }

// OnOutOfDescriptors says who gives descriptors back when they run out.
func (e *Engine) OnOutOfDescriptors(f func()) { e.outOfDescriptors = f }

// Start begins to listen. It returns once the poller is at work: told to stop before that, it would miss the word.
func (e *Engine) Start() (err error) {
	if err = e.poll.Start(); err != nil {
		return err
	}
	at := make(began)
	e.Turn(func() {
		if err = e.newTimer(); err == nil {
			e.At(e.now, at, 0)
		}
	})
	if err == nil {
		<-at
	}
	return err
}

// began is closed by the first due time.
type began chan struct{}

func (began) Live(uint32) bool { return true }
func (b began) Due(uint32)     { close(b) }

// Stop ends listening and all connections. The poller waits for those that it knows, so none may come up later.
func (e *Engine) Stop() {
	e.Turn(func() { e.stopped = true })
	e.poll.Stop()
	e.Turn(func() {
		if e.timer > 0 { // the poller closes connections alone
			syscall.Close(e.timer)
		}
		e.timer = 0
		e.descriptors.stop()
	})
}

// Turn runs something as the one owner and pulls decisions after it.
func (e *Engine) Turn(f func()) { e.turn(false, f) }

func (e *Engine) turn(polled bool, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	invariant.That(!e.inTurn, "one owner at a time")
	e.inTurn, e.polled = true, polled
	e.Count.Add(counters.Turns)
	e.tick()
	f()
	e.turnEnded()
	e.armTimer()
	e.inTurn, e.polled = false, false
}

// tick brings the clock up to now. A due time long past says that this front door stood still: it was paused, or
// got no CPU.
func (e *Engine) tick() {
	e.now = max(e.now, clockStart+time.Since(e.started))
	if at, ok := e.alarms.Next(); ok && e.now-at > minStall {
		e.stallLength, e.stallEnd = e.now-at, e.now
	}
}

// minStall is more than the system's usual lateness; what is read within it after a standstill may have waited.
const minStall = 20 * time.Millisecond

// InputDelay is how long bytes that are read now may have lain in the socket, at the most that can be known.
func (e *Engine) InputDelay() time.Duration {
	if e.stallLength > 0 && e.now-e.stallEnd <= minStall {
		return e.stallLength
	}
	return 0
}

// Now is the clock of this turn.
func (e *Engine) Now() time.Duration { return e.now }

// Refresh brings the clock of this turn up to now. What is read from a socket in a turn may have been sent after the turn began, if
// the process stood still between.
func (e *Engine) Refresh() { e.now = max(e.now, clockStart+time.Since(e.started)) }

// AtUnix puts a Unix time on this clock; nought stands for what lies before it.
func (e *Engine) AtUnix(at time.Time) time.Duration {
	return max(0, clockStart+at.Round(0).Sub(e.started.Round(0)))
}

// At asks to be told at a time.
func (e *Engine) At(at time.Duration, to Alarm, ref uint32) { e.alarms.Add(at, alarm{to, ref}) }

// runAlarms takes what is due.
func (e *Engine) runAlarms() {
	var times [8]byte
	syscall.Read(e.timer, times[:])
	e.armed = 0
	for {
		a, ok := e.alarms.Take(e.now)
		if !ok {
			return
		}
		a.target.Due(a.ref)
	}
}

// armTimer sets the one timer to the earliest due time that is still of interest: most submissions have long ended
// by their limit, and a turn for nothing costs as much as one for a txn.
func (e *Engine) armTimer() {
	for e.timer > 0 {
		a, ok := e.alarms.Peek()
		if !ok {
			return
		}
		at, _ := e.alarms.Next()
		if at > e.now && !a.target.Live(a.ref) {
			e.alarms.Take(at)
			continue
		}
		if at != e.armed {
			e.armed = at
			e.setTimer(at - e.now)
		}
		return
	}
}

// FreeConnections tells how many more connections may be opened.
func (e *Engine) FreeConnections() int { return e.maxConnections - e.open }

// SetDescriptors changes how many there are, some of which are the program's own, for connections from now on. Those that are open stay.
func (e *Engine) SetDescriptors(n int) { e.maxConnections = n - ownDescriptors }

// Open counts connections, dials among them.
func (e *Engine) Open() int { return e.open }

// Addr is where clients connect: the first that was listened on.
func (e *Engine) Addr() string { return e.AddrOf(0) }

// AddrOf is one of the addresses listened on, in their order, as the system gave it.
func (e *Engine) AddrOf(nr int) string { return e.listeners[nr].Listener.Addr().String() }
