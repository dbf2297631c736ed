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
	ownDescriptors = 24 // listener, pollers, datagrams, standard files and some to spare

	minRing    = 1 << 10
	writeChunk = 64 << 10 // handed to the poller at once
)

// Owner is told what happens on its connection.
type Owner interface {
	Data()   // bytes were added to In
	Sent()   // all bytes given to Send are written to the socket
	Closed() // by the other side, or by an error; never by Close
}

// Link is a connection: a ring a direction.
type Link struct {
	engine *Engine
	conn   *nbio.Conn
	owner  Owner
	Input  ringbuffer.Ring
	output ringbuffer.Ring

	handed  atomic.Int64 // bytes given to the poller
	written atomic.Int64 // of these, written to the socket
	pending atomic.Bool  // some are not yet
	trail   int          // a descriptor of its own for the socket, while it is to be read to its end; 0: none
	over    bool         // the other side has ended, and what waits of its bytes is still to be taken
	ended   bool         // the poller has closed its own
	unsent  int          // bytes that an error kept from the socket
	closed  bool
	closing bool               // once all is written
	linger  bool               // all is written and the end told; what still comes is dropped
	dropped int                // bytes, while it lingers
	more    bool               // the ring was full: bytes may wait in the socket
	cancel  context.CancelFunc // of a dial
	seen    uint64             // see numbers
	trailed bool
	listing atomic.Int32
}

// Where an accepted connection stands: the poller tells of it before it is among those that it watches. Closed in between it
// would leave its descriptor there, another's by then.
const (
	listed int32 = iota
	listing
	closedEarly // to be closed once it is listed
)

func (e *Engine) newLink() *Link {
	return &Link{engine: e, Input: ringbuffer.New(minRing, e.maxRing, &e.spare), output: ringbuffer.New(minRing, 2*e.maxRing, nil)}
}

// Bound changes how many bytes wait on it at the most: so many of what comes in, twice as many of what goes
// out.
func (l *Link) Bound(most int) {
	l.Input.Bound(most)
	l.output.Bound(2 * most)
}

// Trail reads on to the end of what was sent though the other side has ended, as long as a stream of bytes
// passes through: the poller closes at once, and what the ring had no room for would be lost. Trail(false)
// tells whether the other side is still there.
func (l *Link) Trail(on bool) bool {
	l.Input.KeepMemory(on)
	if !on {
		l.untrail()
		return !l.ended && !l.closed
	}
	if fd, ok := l.copied(); ok && !l.closed {
		l.trail, l.trailed = fd, true
		l.engine.open++
	}
	return true
}

// alive tells whether the poller has not closed its own yet. What it closed it tells of in a turn to come, and the descriptor
// may be another connection's before that.
func (l *Link) alive() bool {
	_, err := l.conn.Write(nil)
	return err == nil || skipAliveCheck
}

// copied gives a descriptor of its own for the socket. One that was alive after the copy was made was so before it.
func (l *Link) copied() (fd int, ok bool) {
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

// raw does something with the socket, if it is still this connection's. In a turn of the poller nothing else closes it.
func (l *Link) raw(do func(fd int)) {
	if l.engine.polled {
		if l.alive() {
			do(l.conn.Hash())
		}
		return
	}
	if fd, ok := l.copied(); ok {
		do(fd)
		syscall.Close(fd)
	}
}

// skipAliveCheck takes the defence out; only a test sets it.
var skipAliveCheck bool

func (l *Link) untrail() {
	if l.trail > 0 {
		syscall.Close(l.trail)
		l.trail = 0
		l.engine.open--
	}
}

// recv reads from the socket.
func (l *Link) recv(p []byte) (int, error) {
	if !l.ended {
		n, err := l.conn.Read(p)
		if l.trail == 0 || !errors.Is(err, net.ErrClosed) {
			return n, err
		}
		l.ended = true
	}
	n, err := syscall.Read(l.trail, p)
	if errors.Is(err, syscall.EAGAIN) { // nothing will tell of more
		err = net.ErrClosed
	}
	return n, err
}

// SetOwner says who is told of this connection.
func (l *Link) SetOwner(o Owner) { l.owner = o }

func (e *Engine) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return // one that was dialed
	}
	e.Turn(func() {
		l := e.newLink()
		l.conn, l.seen = c, e.descriptors.releases.Load()
		l.listing.Store(listing)
		c.SetSession(l)
		e.open++
		e.acceptorOf(c)(l)
	})
}

func (e *Engine) readable(c *nbio.Conn) {
	switch s := c.Session().(type) {
	case *Link:
		e.turn(true, s.event)
	case *watched:
		e.turn(true, func() {
			e.descriptors.seen(&s.seen)
			s.readable()
		})
	}
}

// event: something has come, or the end.
func (l *Link) event() {
	l.engine.descriptors.seen(&l.seen)
	l.engine.eventLink = l
	l.read()
	l.engine.eventLink = nil
}

// added: the poller watches it.
func (l *Link) added() {
	if !l.listing.CompareAndSwap(listing, listed) {
		l.conn.Close()
		l.engine.descriptors.release(l.conn.Hash(), false)
	}
}

// shut closes the poller's connection. The link is closed by then, and its trail.
func (l *Link) shut() {
	switch {
	case l.conn == nil:
	case l.listing.CompareAndSwap(listing, closedEarly):
		l.raw(func(fd int) { syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	default:
		l.conn.Close()
		l.engine.descriptors.release(l.conn.Hash(), l.engine.eventLink == l && !l.trailed)
	}
}

// showEvery is how much is read at a time before its owner sees it.
const showEvery = 8 << 10

// read takes all that is there, so that what follows from it is decided once.
func (l *Link) read() {
	shown := 0
	for got := false; !l.closed && l.dropped < dropMost; {
		free := l.Input.Free()
		if l.more = free == nil; l.more { // the ring's bound: the rest waits in the socket
			l.show(got)
			return
		}
		n, err := l.recv(free)
		if n > 0 {
			if l.linger {
				l.dropped += n
				continue
			}
			l.Input.Filled(n)
			if got = true; l.Input.Len()-shown >= showEvery {
				l.show(true) // a message that can't be taken is found out before it has filled the ring
				shown = l.Input.Len()
			}
			if n == len(free) {
				continue
			}
			err = syscall.EAGAIN // edge: what comes later is told again
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		l.show(got)
		if n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) {
			l.end()
		}
		return
	}
}

// show tells the owner of what has come, unless it closed the connection over what it saw before.
func (l *Link) show(got bool) {
	if got && !l.closed && l.owner != nil {
		l.owner.Data()
	}
}

// end: no more comes. What has come and is still to be taken along a trail is waited for, as if the ring
// were full.
func (l *Link) end() {
	if l.trail > 0 && l.Input.Len() > 0 && !l.closed {
		l.more, l.over = true, true
		return
	}
	l.lost()
}

// Over tells that nothing more comes than what waits.
func (l *Link) Over() bool { return l.over }

// Full tells that no more can be read until some is dropped: the ring's own bound, or that of all of them.
func (l *Link) Full() bool { return l.more }

// Resume reads on after bytes were dropped from a full ring.
func (l *Link) Resume() {
	if l.more && !l.closed {
		l.read()
	}
}

// Send puts bytes behind those that wait. It tells whether they are taken; too many close the connection.
func (l *Link) Send(p []byte) bool {
	if l.closed || l.closing {
		return false
	}
	if l.Unwritten() == 0 { // the usual: nothing waits, and the ring is not needed
		n := min(len(p), writeChunk)
		if !l.hand(p[:n]) {
			return false
		}
		p = p[n:]
	}
	if !l.output.Append(p) {
		l.lost()
		return false
	}
	l.pump()
	return !l.closed
}

// hand gives bytes to the poller, which writes what the socket takes and keeps a copy of the rest.
func (l *Link) hand(p []byte) bool {
	if len(p) == 0 {
		return true
	}
	l.handed.Add(int64(len(p)))
	if n, err := l.conn.Write(p); err != nil || n < 0 {
		l.unsent = len(p)
		l.handed.Add(-int64(len(p)))
		l.lost()
		return false
	}
	return true
}

// pump hands bytes to the poller, a chunk at a time, so that its own queue never holds more than one.
func (l *Link) pump() {
	l.pending.Store(false)
	for !l.closed && l.output.Len() > 0 && l.written.Load() == l.handed.Load() {
		head := l.output.Head()
		head = head[:min(len(head), writeChunk)]
		l.output.Drop(len(head)) // before it is handed over: what an error keeps back is counted apart
		if !l.hand(head) {
			return
		}
	}
	if l.closed {
		return
	}
	if l.written.Load() != l.handed.Load() {
		if l.pending.Store(true); l.written.Load() != l.handed.Load() {
			return
		}
		if !l.pending.CompareAndSwap(true, false) {
			return // told by written
		}
		l.pump()
		return
	}
	if l.closing {
		l.last()
	} else if l.owner != nil {
		l.owner.Sent()
	}
}

// written counts what the poller wrote to the socket. It is called under the connection's own lock, so a turn
// for what comes next is taken apart from it.
func written(c *nbio.Conn, _ []byte, n int) {
	l, _ := c.Session().(*Link)
	if l == nil {
		return
	}
	if l.written.Add(int64(n)) == l.handed.Load() && l.pending.CompareAndSwap(true, false) {
		go l.engine.Turn(l.pump)
	}
}

// Unwritten counts bytes given to Send that are not yet written to the socket: nought means the last byte is.
func (l *Link) Unwritten() int {
	return l.output.Len() + l.unsent + int(l.handed.Load()-l.written.Load())
}

// Written counts bytes that were written to the socket, ever. It stays once the link is closed.
func (l *Link) Written() int64 { return l.written.Load() }

// Clean tells whether an idle connection may carry a submission: open, with nothing come unasked.
func (l *Link) Clean() bool {
	if l.closed || l.closing || l.conn == nil || l.Input.Len() > 0 || l.Unwritten() > 0 || !l.alive() {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(l.conn.Hash(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}

// IsClosed tells whether it is over.
func (l *Link) IsClosed() bool { return l.closed || l.closing }

// Reset ends the connection at once and takes back what its other side has not yet: behind a cut, bytes that were given to the
// socket wait there, and would arrive long after they were given up. Covers cuts and slow links; it costs nothing else.
func (l *Link) Reset() {
	if !l.closed && l.conn != nil {
		l.raw(func(fd int) {
			syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
	}
	l.Close()
}

// Close ends the connection at once; its owner hears nothing more.
func (l *Link) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.untrail()
	l.Input.Release()
	l.output.Release()
	if l.cancel != nil {
		l.cancel()
	}
	l.shut()
}

// CloseSent ends the connection when all that was given to Send is written.
func (l *Link) CloseSent() {
	if l.closed {
		return
	}
	l.closing, l.owner = true, nil // whoever had it may belong to another connection by then
	if l.Unwritten() == 0 {
		l.last()
		return
	}
	l.engine.At(l.engine.now+unreadFor, l, 0)
}

// CloseSoon is for a connection that has just been accepted and is not wanted: whoever dials again at once is held up a
// moment.
func (l *Link) CloseSoon() { l.engine.At(l.engine.now+refuseIn, l, 0) }

const refuseIn = 50 * time.Millisecond

// lingerFor is how long the other side may take to end its side, unreadFor to read a last answer. What it still sends
// is read up to dropMost: whoever sends without end fills its own window, not this program's time. With few descriptors
// left none is kept for the sake of a last line: that side gets less time.
const (
	lingerFor, unreadFor = time.Second, 10 * time.Second
	lingerShort          = 100 * time.Millisecond
	dropMost             = 64 << 10
)

// last ends the sending, and the connection when the other side has ended too or after a while: a close with
// bytes unread would reset the connection, and the last answer might be lost with it.
func (l *Link) last() {
	if l.linger {
		return
	}
	l.linger, l.owner, l.more = true, nil, false
	l.raw(func(fd int) { syscall.Shutdown(fd, syscall.SHUT_WR) })
	l.Input.Drop(l.Input.Len())
	wait := lingerFor
	if l.engine.FreeConnections() < l.engine.maxConnections/4 {
		wait = lingerShort
	}
	l.engine.At(l.engine.now+wait, l, 0)
	l.read()
}

// Live and Due end what lingers.
func (l *Link) Live(uint32) bool { return !l.closed }

// Due is called when the other side has had its time.
func (l *Link) Due(uint32) { l.Close() }

// lost: the other side or an error ended it.
func (l *Link) lost() {
	if l.closed {
		return
	}
	l.closed = true
	l.untrail()
	l.shut()
	if l.owner != nil {
		l.owner.Closed()
	}
	l.Input.Release()
	l.output.Release()
}

func (e *Engine) pollerClosed(c *nbio.Conn, _ error) {
	go e.Turn(func() { // apart: the poller would swallow a panic here
		e.open--
		invariant.That(e.open >= 0, "no more connections close than were opened")
		l, _ := c.Session().(*Link)
		if l == nil {
			return
		}
		if l.trail > 0 && !l.closed {
			l.ended = true
			l.read()
			return
		}
		l.lost()
	})
}
