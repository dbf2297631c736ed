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

// Alarm is called when a time given to Engine.At has come.
type Alarm interface {
	// Due is called at the time, in a turn, with the reference given to At. It may be stale by then.
	Due(ref uint32)
	// Live tells whether the time is still of interest. If not, no turn is made for it alone.
	Live(ref uint32) bool
}

// alarm is an entry of the timer queue.
type alarm struct {
	target Alarm
	ref    uint32
}

// Engine runs the poller, the clock and the turns. Unless stated otherwise its methods are called in a turn, or before Start.
type Engine struct {
	mu               sync.Mutex
	poll             *nbio.Engine
	listeners        []*listener // in the order of listening
	started          time.Time
	now              time.Duration
	turnBegan        time.Duration // the clock at the start of the present turn
	alarms           timerqueue.Queue[alarm]
	timer            int           // descriptor of the one timer; 0: none
	armed            time.Duration // when the timer expires; 0: not armed
	turnEnded        func()        // called at the end of each turn
	accept           func(*Link)
	outOfDescriptors func() // called when descriptors have run out
	userTimeout      time.Duration
	open             int // number of connections, dials included
	closingLinks     int // number of connections whose last bytes are not written yet: see Link.CloseSent
	unread           func(peer net.Addr, unwritten int)
	maxConnections   int
	maxRing          int
	spare            int // bytes by which all input rings may still grow
	inTurn           bool
	polled           bool  // the turn is the poller's, which closes no connection meanwhile
	eventLink        *Link // the connection whose event is processed
	descriptors      descriptorTable
	polling          bool // the poller and the acceptors run
	stopped          bool
	backlog          backlog
	Count            *counters.Set
}

// clockStart is the clock's time at the start. It is above 0, since times before the start occur: when a backend started.
const clockStart = time.Hour

// New makes an engine for at most so many descriptors, ownDescriptors of which are the program's own. A ring holds at
// most bound bytes, and all input rings together at most spare bytes beyond their minimal sizes.
func New(listen string, descriptors, bound, spare int) *Engine {
	e := &Engine{started: time.Now(), now: clockStart, maxConnections: descriptors - ownDescriptors, maxRing: bound, spare: spare,
		Count: &counters.Set{}, turnEnded: func() {}, accept: (*Link).CloseSoon, outOfDescriptors: func() {}, unread: func(net.Addr, int) {},
		descriptors: descriptorTable{released: map[int]uint64{}}}
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, max(descriptors, 1024)+1024)
	next := 0 // the poller asks for its listeners once each, in order
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
			runtime.Goexit() // an acceptor that began after Stop does not notice it, and would retry for ever
		}
		time.Sleep(10 * time.Millisecond) // else the acceptor spins
	})
	return e
}

// OnAccept sets what takes the connections of the address given to New.
func (e *Engine) OnAccept(f func(*Link)) { e.accept = f }

// OnTurnEnd sets what is called at the end of each turn.
func (e *Engine) OnTurnEnd(f func()) { e.turnEnded = f }

// OnOutOfDescriptors sets what closes connections when descriptors have run out.
func (e *Engine) OnOutOfDescriptors(f func()) { e.outOfDescriptors = f }

// Start begins to listen. It returns once the poller runs: it would not notice a Stop before that.
func (e *Engine) Start() (err error) {
	if err = e.backlog.open(); err != nil {
		return err
	}
	for _, l := range e.listeners {
		if err = l.open(); err != nil {
			return err
		}
		if err = l.watchQueue(); err != nil {
			return err
		}
	}
	if err = e.poll.Start(); err != nil {
		return err
	}
	e.polling = true
	at := make(began)
	e.Turn(func() {
		if err = e.newTimer(); err == nil {
			e.At(e.now, at, 0)
			e.At(e.now+checkInterval, (*checkAlarm)(e), 0)
		}
	})
	if err == nil {
		<-at
	}
	return err
}

// began is closed by the first alarm.
type began chan struct{}

// Live implements Alarm.
func (began) Live(uint32) bool { return true }

// Due implements Alarm.
func (b began) Due(uint32) { close(b) }

// Stop ends listening and all connections. It is called outside of turns. The poller closes the connections that it knows, and waits for
// all that were ever opened. So no connection may be accepted while the poller stops, and no dial may complete.
func (e *Engine) Stop() {
	if e.polling {
		e.drainListeners()
	}
	e.Turn(func() { e.stopped = true })
	e.poll.Stop()
	e.Turn(func() {
		if e.timer > 0 { // the poller closes connections only
			syscall.Close(e.timer)
		}
		e.timer = 0
		e.descriptors.stop()
		e.backlog.close()
	})
}

// drainListeners ends listening, and waits until the poller knows all connections that were accepted.
func (e *Engine) drainListeners() {
	e.StopListening()
	for _, l := range e.listeners {
		<-l.drained
	}
}

// checkAlarm makes a turn at least each checkInterval, so that a pause of this process is noticed and unread input is found.
type checkAlarm Engine

// Live implements Alarm.
func (*checkAlarm) Live(uint32) bool { return true }

// Due implements Alarm. The next time counts from the start of the turn: the clock may have advanced since.
func (c *checkAlarm) Due(uint32) {
	e := (*Engine)(c)
	e.At(e.turnBegan+checkInterval, c, 0)
}

// Turn runs f under the lock, and what OnTurnEnd set after it. It is called outside of turns.
func (e *Engine) Turn(f func()) { e.turn(false, f) }

// turn is a Turn; polled: in the poller's goroutine.
func (e *Engine) turn(polled bool, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	invariant.Assert(!e.inTurn, "one owner at a time")
	e.inTurn, e.polled = true, polled
	e.Count.Add(counters.Turns)
	e.tick()
	f()
	e.turnEnded()
	e.armTimer()
	e.inTurn, e.polled = false, false
}

// tick advances the clock at the start of a turn. An alarm that is long overdue shows that this process was paused, or got no CPU.
func (e *Engine) tick() {
	e.Refresh()
	e.turnBegan = e.now
	at, ok := e.alarms.NextDeadline()
	e.backlog.beginTurn(e.now, ok && e.now-at > minLateness)
}

// Now is the clock of this turn.
func (e *Engine) Now() time.Duration { return e.now }

// Refresh advances the clock within a turn. What is read from a socket in a turn may have been sent after the turn began, if the
// process stalled between.
func (e *Engine) Refresh() { e.now = max(e.now, e.clock()) }

// clock reads the clock; it may be called outside of turns.
func (e *Engine) clock() time.Duration { return clockStart + time.Since(e.started) }

// AtUnix converts a wall-clock time to this clock; it is 0 for times before the clock's 0.
func (e *Engine) AtUnix(at time.Time) time.Duration {
	return max(0, clockStart+at.Round(0).Sub(e.started.Round(0)))
}

// At calls an alarm at a time of this clock.
func (e *Engine) At(at time.Duration, to Alarm, ref uint32) { e.alarms.Add(at, alarm{to, ref}) }

// runAlarms calls the alarms that are due.
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

// armTimer sets the one timer to the earliest alarm that is still live: most attempts have long ended by their deadline,
// and a turn for nothing costs as much as one for a request.
func (e *Engine) armTimer() {
	for e.timer > 0 {
		a, ok := e.alarms.Peek()
		if !ok {
			return
		}
		at, _ := e.alarms.NextDeadline()
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

// FreeConnections is how many more connections may be opened; below 0: too many are open.
func (e *Engine) FreeConnections() int { return e.maxConnections - e.open }

// SetDescriptors changes how many descriptors there are, ownDescriptors of which are the program's own. Open connections stay.
func (e *Engine) SetDescriptors(n int) { e.maxConnections = n - ownDescriptors }

// Open counts connections, dials included.
func (e *Engine) Open() int { return e.open }

// SpareInput is how many bytes all input rings together may still grow by, beyond their minimal sizes.
func (e *Engine) SpareInput() int { return e.spare }

// Addr is the first address that is listened on.
func (e *Engine) Addr() string { return e.AddrOf(0) }

// AddrOf is the address of listener i, in the order of listening, as the system assigned it.
func (e *Engine) AddrOf(i int) string { return e.listeners[i].Listener.Addr().String() }
