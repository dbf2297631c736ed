package eventloop

import (
	"net"
	"syscall"
	"time"

	"clovergap/internal/proxy/counters"
)

// IsClosed tells whether the connection is closed, or about to be.
func (l *Link) IsClosed() bool { return l.closed || l.closing }

// Reset closes the connection with a RST and discards what the other side does not have yet (SO_LINGER 0): in a partition, bytes that
// were written wait in the socket, and would arrive long after their request was given up.
func (l *Link) Reset() {
	if !l.closed && l.conn != nil {
		l.withDescriptor(func(fd int) {
			syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
	}
	l.Close()
}

// Close closes the connection at once; its owner is not notified any more.
func (l *Link) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.endCloseSent()
	l.closeDuplicate()
	l.Input.Release()
	l.output.Release()
	if l.cancel != nil {
		l.cancel()
	}
	l.closeConn()
}

// OnUnread sets what is called, in a turn, when a connection is cut off because the other side does not read. It gets the address of the other
// side, and the number of bytes that were not written.
func (e *Engine) OnUnread(f func(peer net.Addr, unwritten int)) { e.unread = f }

// CloseUnread closes the connection at once because the other side has not read in time what it was sent. Its owner is not notified.
func (l *Link) CloseUnread() {
	if l.closed || l.conn == nil {
		return
	}
	l.engine.Count.Add(counters.Unread)
	l.engine.unread(l.conn.RemoteAddr(), l.Unwritten())
	l.Close()
}

// CloseSent closes the connection when all that was given to Send is written.
func (l *Link) CloseSent() {
	if l.closed {
		return
	}
	l.closing, l.owner = true, nil // the owner may be reused for another connection by then
	if l.Unwritten() == 0 {
		l.shutdownWrite()
		return
	}
	if !l.awaitsWrite {
		l.awaitsWrite = true
		l.engine.closingLinks++
	}
	l.engine.At(l.engine.now+unreadFor, l, 0)
}

// endCloseSent records that nothing more will be written after CloseSent.
func (l *Link) endCloseSent() {
	if l.awaitsWrite {
		l.awaitsWrite = false
		l.engine.closingLinks--
	}
}

// ClosingLinks returns the number of connections that CloseSent closes as soon as their last bytes are written.
func (e *Engine) ClosingLinks() int { return e.closingLinks }

// CloseSoon closes a connection that was accepted and is refused, after a delay: it slows down clients that dial again at once.
func (l *Link) CloseSoon() { l.engine.At(l.engine.now+refuseDelay, l, 0) }

// refuseDelay is how long a refused connection stays open.
const refuseDelay = 50 * time.Millisecond

// Bounds of closing.
const (
	// lingerFor is how long the other side may take to close its side after this one.
	lingerFor = time.Second
	// lingerShort takes its place when less than a quarter of the descriptors is left.
	lingerShort = 100 * time.Millisecond
	// unreadFor is how long the other side may take to read the last answer.
	unreadFor = 10 * time.Second
	// maxDropped is how many bytes of input are read and dropped meanwhile: who sends more fills its own window, and takes no
	// time of this process.
	maxDropped = 64 << 10
)

// shutdownWrite shuts the sending side down, and closes the connection when the other side has closed too, or after lingerFor: a close with
// unread input would reset the connection, and the last answer might be lost with it.
func (l *Link) shutdownWrite() {
	if l.lingering {
		return
	}
	l.lingering, l.owner, l.inputFull = true, nil, false
	l.endCloseSent()
	l.withDescriptor(func(fd int) { syscall.Shutdown(fd, syscall.SHUT_WR) })
	l.Input.Drop(l.Input.Len())
	wait := lingerFor
	if l.engine.FreeConnections() < l.engine.maxConnections/4 {
		wait = lingerShort
	}
	l.engine.At(l.engine.now+wait, l, 0)
	l.read()
}

// Live implements Alarm.
func (l *Link) Live(uint32) bool { return !l.closed }

// Due implements Alarm: the time for closing has passed.
func (l *Link) Due(uint32) {
	if l.awaitsWrite {
		l.CloseUnread()
		return
	}
	l.Close()
}

// closeBroken closes the connection after the other side or an error ended it.
func (l *Link) closeBroken() {
	if l.closed {
		return
	}
	l.closed = true
	l.endCloseSent()
	l.closeDuplicate()
	l.closeConn()
	if l.owner != nil {
		l.owner.Closed()
	}
	l.Input.Release()
	l.output.Release()
}

// closeConn closes the poller's connection; the link and its second descriptor are closed before.
func (l *Link) closeConn() {
	l.engine.backlog.remove(&l.source)
	switch {
	case l.conn == nil:
	case l.registration.CompareAndSwap(registering, closedEarly):
		l.withDescriptor(func(fd int) { syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	default:
		l.conn.Close()
		l.engine.descriptors.release(l.conn.Hash(), l.engine.eventLink == l && !l.wasDuplicated)
	}
}
