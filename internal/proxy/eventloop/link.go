package eventloop

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"clovergap/internal/invariant"
	"clovergap/internal/proxy/ringbuffer"
)

var noContext = context.Background()

const (
	// ownDescriptors is how many descriptors the program needs for itself: listeners, pollers, datagrams, standard files and a few to spare.
	ownDescriptors = 24
	// minRing is the size of a ring's first memory, in bytes.
	minRing = 1 << 10
	// writeChunk is how many bytes are given to the poller at a time.
	writeChunk = 64 << 10
)

// Owner is notified, in turns, of what happens on its connection.
type Owner interface {
	// Data reports that bytes were added to Input.
	Data()
	// Sent reports that all bytes given to Send are written to the socket.
	Sent()
	// Closed reports that the other side or an error ended the connection; it is not called for Close.
	Closed()
}

// Link is a connection with a ring buffer a direction. It is used in turns alone.
type Link struct {
	engine *Engine
	conn   *nbio.Conn
	owner  Owner
	Input  ringbuffer.Ring
	output ringbuffer.Ring

	queued        atomic.Int64 // bytes given to the poller, ever
	written       atomic.Int64 // of these, written to the socket
	pending       atomic.Bool  // some are not written yet, and pump is to be called when they are
	duplicate     int          // a second descriptor of the socket, by which it is read to its end: see ReadToEnd; 0: none
	inputEnded    bool         // the other side has ended, and some of its bytes are still in Input
	pollerClosed  bool         // the poller has closed its own descriptor
	unsent        int          // bytes that were not written because of an error
	closed        bool
	closing       bool               // to be closed once all is written
	awaitsWrite   bool               // closing, and not all is written: counted in Engine.closingLinks
	lingering     bool               // all is written and the sending side shut down; input is dropped
	dropped       int                // bytes dropped while it lingers
	inputFull     bool               // Input was full: bytes may wait in the socket
	cancel        context.CancelFunc // of a dial
	seen          uint64             // see descriptorTable.seen
	wasDuplicated bool               // ReadToEnd was used
	registration  atomic.Int32
	source        inputSource // in the account of unread input
	arrivals      arrivals    // of what is in Input
}

// States of an accepted connection: the poller reports it before it watches it. If it were closed in between, the poller would
// then watch the descriptor although it may be another connection's.
const (
	registered int32 = iota
	registering
	closedEarly // to be closed once it is registered
)

func (e *Engine) newLink() *Link {
	return &Link{engine: e, Input: ringbuffer.New(minRing, e.maxRing, &e.spare), output: ringbuffer.New(minRing, 2*e.maxRing, nil)}
}

// Bound changes how many bytes wait on the connection at the most: maxInput of input, twice as many of output.
func (l *Link) Bound(maxInput int) {
	l.Input.Bound(maxInput)
	l.output.Bound(2 * maxInput)
}

// ReadToEnd with on has the socket read to its end although the other side closes, while a body is streamed: the poller closes its descriptor
// at once, and what did not fit into Input would be lost. ReadToEnd without on ends that, and returns whether the other side is
// still there.
func (l *Link) ReadToEnd(on bool) bool {
	l.Input.KeepMemory(on)
	if !on {
		l.closeDuplicate()
		return !l.pollerClosed && !l.closed
	}
	if fd, ok := l.duplicateDescriptor(); ok && !l.closed {
		l.duplicate, l.wasDuplicated = fd, true
		l.engine.open++
	}
	return true
}

// alive tells whether the poller's descriptor is still open. The poller reports a close in a later turn, and the descriptor may be
// another connection's before that.
func (l *Link) alive() bool {
	_, err := l.conn.Write(nil)
	return err == nil || skipAliveCheck
}

// duplicateDescriptor duplicates the socket's descriptor. If the connection is alive after that, the copy is of the right socket.
func (l *Link) duplicateDescriptor() (fd int, ok bool) {
	fd, err := unix.FcntlInt(uintptr(l.conn.Hash()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return 0, false
	}
	if !l.alive() {
		syscall.Close(fd)
		return 0, false
	}
	return fd, true
}

// withDescriptor calls do with the socket's descriptor, if it is still this connection's. In a turn of the poller nothing else closes it.
func (l *Link) withDescriptor(do func(fd int)) {
	if l.engine.polled {
		if l.alive() {
			do(l.conn.Hash())
		}
		return
	}
	if fd, ok := l.duplicateDescriptor(); ok {
		do(fd)
		syscall.Close(fd)
	}
}

// skipAliveCheck disables the check of alive; only a test sets it.
var skipAliveCheck bool

// closeDuplicate closes the second descriptor.
func (l *Link) closeDuplicate() {
	if l.duplicate > 0 {
		syscall.Close(l.duplicate)
		l.duplicate = 0
		l.engine.open--
	}
}

// recv reads from the socket, by the second descriptor once the poller has closed its own.
func (l *Link) recv(p []byte) (int, error) {
	if !l.pollerClosed {
		n, err := l.conn.Read(p)
		if l.duplicate == 0 || !errors.Is(err, net.ErrClosed) {
			return n, err
		}
		l.pollerClosed = true
	}
	n, err := syscall.Read(l.duplicate, p)
	if errors.Is(err, syscall.EAGAIN) { // no event will report more
		err = net.ErrClosed
	}
	return n, err
}

// SetOwner sets who is notified of what happens on the connection.
func (l *Link) SetOwner(o Owner) { l.owner = o }

// opened is called by the poller for each connection.
func (e *Engine) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return // a dialed connection
	}
	e.Turn(func() {
		l := e.newLink()
		l.conn, l.seen = c, e.descriptors.releases.Load()
		l.registration.Store(registering)
		c.SetSession(l)
		e.open++
		l.watchInput()
		a := e.acceptorOf(c)
		e.backlog.addUnread(&l.source, a.lastAcceptedSince)
		a.accept(l)
	})
}

// readable is called by the poller when there is input, or the end of it.
func (e *Engine) readable(c *nbio.Conn) {
	switch s := c.Session().(type) {
	case *Link:
		e.turn(true, s.event)
	case *watched:
		e.turn(true, func() { s.event(e) })
	}
}

// event reads what has come.
func (l *Link) event() {
	l.engine.descriptors.seen(&l.seen)
	l.engine.eventLink = l
	l.read()
	l.engine.eventLink = nil
}

// setRegistered reports that the poller watches an accepted connection.
func (l *Link) setRegistered() {
	if !l.registration.CompareAndSwap(registering, registered) {
		l.conn.Close()
		l.engine.descriptors.release(l.conn.Hash(), false)
	}
}

// notifyEvery is how many bytes are read at a time before the owner is notified.
const notifyEvery = 8 << 10

// read reads all that is there, so that decisions are made once for all of it.
func (l *Link) read() {
	shown := 0
	for got := false; !l.closed && l.dropped < maxDropped; {
		free := l.Input.Free()
		if l.inputFull = free == nil; l.inputFull { // the ring is full: the rest waits in the socket
			l.notifyData(got)
			return
		}
		n, err := l.recv(free)
		if n > 0 {
			if l.lingering {
				l.dropped += n
				continue
			}
			l.Input.Filled(n)
			l.arrivals.add(n, l.Input.Len(), l.engine.backlog.since(&l.source))
			if got = true; l.Input.Len()-shown >= notifyEvery {
				l.notifyData(true) // an invalid message is detected before it has filled the ring
				shown = l.Input.Len()
			}
			if n == len(free) {
				continue
			}
			err = syscall.EAGAIN // edge-triggered: what comes later is another event
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		l.notifyData(got)
		if n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) {
			l.endInput()
		} else if !l.closed {
			l.engine.backlog.foundEmpty(&l.source)
		}
		return
	}
}

// notifyData notifies the owner of input, unless it has closed the connection meanwhile.
func (l *Link) notifyData(got bool) {
	if got && !l.closed && l.owner != nil {
		l.owner.Data()
	}
}

// endInput processes the end of input. If the socket is read to its end (ReadToEnd), it waits until the owner has taken what is in Input, as if
// the ring were full.
func (l *Link) endInput() {
	if l.duplicate > 0 && l.Input.Len() > 0 && !l.closed {
		l.inputFull, l.inputEnded = true, true
		return
	}
	l.closeBroken()
}

// InputEnded tells that the other side has ended, and no more comes than what is in Input.
func (l *Link) InputEnded() bool { return l.inputEnded }

// Full tells that no more can be read until some is dropped: this ring is full, or all input rings together are.
func (l *Link) Full() bool { return l.inputFull }

// Resume reads on after bytes were dropped from a full ring.
func (l *Link) Resume() {
	if l.inputFull && !l.closed {
		l.read()
	}
}

// Send queues bytes for the socket. It returns false if the connection is closed, also because too many bytes wait.
func (l *Link) Send(p []byte) bool {
	if l.closed || l.closing {
		return false
	}
	if l.Unwritten() == 0 { // the usual case: nothing waits, and the ring is not needed
		n := min(len(p), writeChunk)
		if !l.queueWrite(p[:n]) {
			return false
		}
		p = p[n:]
	}
	if !l.output.Append(p) {
		l.closeBroken()
		return false
	}
	l.pump()
	return !l.closed
}

// queueWrite gives bytes to the poller, which writes what the socket takes and copies the rest.
func (l *Link) queueWrite(p []byte) bool {
	if len(p) == 0 {
		return true
	}
	l.queued.Add(int64(len(p)))
	if n, err := l.conn.Write(p); err != nil || n < 0 {
		l.unsent = len(p)
		l.queued.Add(-int64(len(p)))
		l.closeBroken()
		return false
	}
	return true
}

// pump gives bytes to the poller, one chunk at a time, so that the poller's own queue never has more than that.
func (l *Link) pump() {
	l.pending.Store(false)
	for !l.closed && l.output.Len() > 0 && l.written.Load() == l.queued.Load() {
		head := l.output.Head()
		head = head[:min(len(head), writeChunk)]
		l.output.Drop(len(head)) // before the write: unsent counts what an error keeps back
		if !l.queueWrite(head) {
			return
		}
	}
	if l.closed {
		return
	}
	if l.written.Load() != l.queued.Load() {
		if l.pending.Store(true); l.written.Load() != l.queued.Load() {
			return
		}
		if !l.pending.CompareAndSwap(true, false) {
			return // written calls pump
		}
		l.pump()
		return
	}
	if l.closing {
		l.shutdownWrite()
	} else if l.owner != nil {
		l.owner.Sent()
	}
}

// written counts what the poller wrote to the socket. It is called under nbio's lock of the connection, so the turn
// that follows is another goroutine's.
func written(c *nbio.Conn, _ []byte, n int) {
	l, _ := c.Session().(*Link)
	if l == nil {
		return
	}
	if l.written.Add(int64(n)) == l.queued.Load() && l.pending.CompareAndSwap(true, false) {
		go l.engine.Turn(l.pump)
	}
}

// Unwritten counts bytes given to Send that are not yet written to the socket.
func (l *Link) Unwritten() int {
	return l.output.Len() + l.unsent + int(l.queued.Load()-l.written.Load())
}

// Written counts bytes that were written to the socket, ever. It remains valid after the link is closed.
func (l *Link) Written() int64 { return l.written.Load() }

// watchInput adds the socket to the account of unread input. The connection's descriptor must be open.
func (l *Link) watchInput() {
	err := l.engine.backlog.add(l.conn.Hash(), &l.source)
	invariant.Assert(err == nil, "a socket can be watched for unread input")
}

// InputDelay returns how long ago the last of the first size bytes of Input may have come. They waited in the socket, because this process was
// paused or is slower than its input, or in Input, behind other messages. The true delay is greater by MaxUnknownDelay at most. A delay up to
// minLateness counts as 0. InputDelay advances the clock.
func (l *Link) InputDelay(size int) time.Duration {
	l.engine.Refresh()
	since, ok := l.arrivals.since(size, l.Input.Len())
	if !ok || l.engine.now-since <= minLateness {
		return 0
	}
	return l.engine.now - since
}

// HasUnreadInput reports whether bytes lie unread in the socket. Who is silent for too long must not be blamed for input that came in time.
func (l *Link) HasUnreadInput() bool {
	if l.closed || l.conn == nil {
		return false
	}
	fd := l.duplicate
	if !l.pollerClosed && l.alive() {
		fd = l.conn.Hash()
	}
	if fd == 0 {
		return false
	}
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n > 0
}

// Clean tells whether an idle connection may be used or closed without loss: it is open, and nothing waits on it or in its socket.
func (l *Link) Clean() bool {
	if l.closed || l.closing || l.conn == nil || l.Input.Len() > 0 || l.Unwritten() > 0 || !l.alive() {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(l.conn.Hash(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}

// pollerClosed is called by the poller after it closed a connection.
func (e *Engine) pollerClosed(c *nbio.Conn, _ error) {
	go e.Turn(func() { // in another goroutine: the poller recovers from panics here
		e.open--
		invariant.Assert(e.open >= 0, "no more connections close than were opened")
		l, _ := c.Session().(*Link)
		if l == nil {
			return
		}
		if l.duplicate > 0 && !l.closed {
			l.pollerClosed = true
			l.read()
			return
		}
		l.closeBroken()
	})
}
