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
	to  Alarm
	ref uint32
}

// Engine runs the poller, the clock and the turns.
type Engine struct {
	mu      sync.Mutex
	poll    *nbio.Engine
	ears    []*ear // in the order of listening
	born    time.Time
	now     time.Duration
	dues    timerqueue.Queue[alarm]
	timer   int           // its descriptor
	armed   time.Duration // 0: not
	settled func()        // end of each turn: decisions are pulled
	accept  func(*Link)
	short   func() // descriptors ran out
	silence time.Duration
	open    int // connections, dials among them
	most    int
	bound   int
	spare   int // bytes that all rings of what comes in may still grow by
	inTurn  bool
	polled  bool  // the poller's own turn: it closes nothing beside it
	at      *Link // whose event that is
	numbers numbers
	stopped bool
	stood   time.Duration // how long this front door last stood still
	stoodAt time.Duration
	Count   *counters.Set
}

// before is what the clock shows at the start: a backend may have started before this front door did.
const before = time.Hour

// New makes an engine for at most so many descriptors, some of which are the program's own; a ring holds at
// most bound bytes, and all that hold what comes in no more than spare beyond their least.
func New(listen string, descriptors, bound, spare int) *Engine {
	e := &Engine{born: time.Now(), now: before, most: descriptors - ownFiles, bound: bound, spare: spare,
		Count: &counters.Set{}, settled: func() {}, accept: (*Link).CloseSoon, short: func() {},
		numbers: numbers{held: map[int]uint64{}}}
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, max(descriptors, 1024)+1024)
	next := 0 // the poller asks for its listeners once, in their order
	e.poll = nbio.NewEngine(nbio.Config{Name: "clovergap", Network: "tcp", NPoller: 1, EpollMod: nbio.EPOLLET,
		ReadBufferSize: 4 << 10, MaxWriteBufferSize: 2 * max(bound, chunk),
		Listen: func(string, string) (net.Listener, error) {
			a := e.ears[next]
			next++
			return a, a.open()
		}})
	if listen != "" {
		e.hear(listen, func(l *Link) { e.accept(l) })
	}
	e.poll.OnOpen(e.opened)
	e.poll.OnRead(e.readable)
	e.poll.OnClose(e.gone)
	e.poll.OnWrittenSize(written)
	e.poll.OnAcceptError(func(error) {
		stopped := false
		e.Turn(func() {
			if stopped = e.stopped; !stopped {
				e.Count.Add(counters.AcceptErrors)
				e.short()
			}
		})
		if stopped {
			runtime.Goexit() // an acceptor that began after Stop has missed the poller's word, and would try for ever
		}
		time.Sleep(10 * time.Millisecond) // the acceptor would spin
	})
	return e
}

// Accepted says who takes new clients.
func (e *Engine) Accepted(f func(*Link)) { e.accept = f }

// OnTurnEnd says who pulls decisions at the end of a turn.
func (e *Engine) OnTurnEnd(f func()) { e.settled = f }

// Short says who gives descriptors back when they run out.
func (e *Engine) Short(f func()) { e.short = f }

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
		e.numbers.stop()
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
	e.settled()
	e.arm()
	e.inTurn, e.polled = false, false
}

// tick brings the clock up to now. A due time long past says that this front door stood still: it was paused, or
// got no CPU.
func (e *Engine) tick() {
	e.now = max(e.now, before+time.Since(e.born))
	if at, ok := e.dues.Next(); ok && e.now-at > stoodLeast {
		e.stood, e.stoodAt = e.now-at, e.now
	}
}

// stoodLeast is more than the system's usual lateness; what is read within it after a standstill may have waited.
const stoodLeast = 20 * time.Millisecond

// InputDelay is how long bytes that are read now may have lain in the socket, at the most that can be known.
func (e *Engine) InputDelay() time.Duration {
	if e.stood > 0 && e.now-e.stoodAt <= stoodLeast {
		return e.stood
	}
	return 0
}

// Now is the clock of this turn.
func (e *Engine) Now() time.Duration { return e.now }

// Refresh brings the clock of this turn up to now. What is read from a socket in a turn may have been sent after the turn began, if
// the process stood still between.
func (e *Engine) Refresh() { e.now = max(e.now, before+time.Since(e.born)) }

// AtUnix puts a Unix time on this clock; nought stands for what lies before it.
func (e *Engine) AtUnix(at time.Time) time.Duration {
	return max(0, before+at.Round(0).Sub(e.born.Round(0)))
}

// At asks to be told at a time.
func (e *Engine) At(at time.Duration, to Alarm, ref uint32) { e.dues.Add(at, alarm{to, ref}) }

// ring takes what is due.
func (e *Engine) ring() {
	var times [8]byte
	syscall.Read(e.timer, times[:])
	e.armed = 0
	for {
		a, ok := e.dues.Take(e.now)
		if !ok {
			return
		}
		a.to.Due(a.ref)
	}
}

// arm sets the one timer to the earliest due time that is still of interest: most submissions have long ended
// by their limit, and a turn for nothing costs as much as one for a txn.
func (e *Engine) arm() {
	for e.timer > 0 {
		a, ok := e.dues.Peek()
		if !ok {
			return
		}
		at, _ := e.dues.Next()
		if at > e.now && !a.to.Live(a.ref) {
			e.dues.Take(at)
			continue
		}
		if at != e.armed {
			e.armed = at
			e.setTimer(at - e.now)
		}
		return
	}
}

// Room tells how many more connections may be opened.
func (e *Engine) Room() int { return e.most - e.open }

// Descriptors changes how many there are, some of which are the program's own, for connections from now on. Those that are open stay.
func (e *Engine) Descriptors(n int) { e.most = n - ownFiles }

// Open counts connections, dials among them.
func (e *Engine) Open() int { return e.open }

// Addr is where clients connect: the first that was listened on.
func (e *Engine) Addr() string { return e.AddrOf(0) }

// AddrOf is one of the addresses listened on, in their order, as the system gave it.
func (e *Engine) AddrOf(nr int) string { return e.ears[nr].Listener.Addr().String() }
