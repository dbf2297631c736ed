package eventloop

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
)

// listener is one address that is listened on. Once stopped it blocks its acceptor until the end, which would spin
// otherwise.
type listener struct {
	net.Listener
	engine *Engine
	// queue is a second descriptor of the socket, by which the acceptor waits for the next connection; nil before the start.
	queue  *os.File
	source inputSource // the queue of connections in the account of unread input
	// lastAcceptedSince is the time after which the connection that was accepted last came into the queue, but for MaxUnknownDelay.
	lastAcceptedSince time.Duration
	last              *nbio.Conn // that was accepted
	addr              string
	accept            func(*Link)
	stopped           atomic.Bool
	drained           chan struct{} // closed when the poller knows all connections that were accepted before stopped
	over              chan struct{}
	closed            atomic.Bool
}

// addListener adds an address; its socket is opened by Listen, or when the engine starts.
func (e *Engine) addListener(addr string, accept func(*Link)) *listener {
	a := &listener{engine: e, addr: addr, accept: accept, drained: make(chan struct{}), over: make(chan struct{})}
	e.listeners = append(e.listeners, a)
	e.poll.Addrs = append(e.poll.Addrs, addr)
	return a
}

// Listen listens on one more address; accept is called with each connection, in a turn. It is called before Start, and
// fails if the address can't be bound.
func (e *Engine) Listen(addr string, accept func(*Link)) error {
	return e.addListener(addr, accept).open()
}

// open binds the socket, once.
func (l *listener) open() (err error) {
	if l.Listener == nil {
		l.Listener, err = (&net.ListenConfig{KeepAlive: -1}).Listen(noContext, "tcp", l.addr)
	}
	return err
}

// Accept implements net.Listener for the poller. When it asks for the next connection, it watches the one before.
func (l *listener) Accept() (net.Conn, error) {
	if l.last != nil {
		if link, ok := l.last.Session().(*Link); ok {
			link.setRegistered()
		}
		l.last = nil
	}
	conn, err := l.acceptNext()
	if err != nil {
		if l.stopped.Load() {
			close(l.drained)
			<-l.over
		}
		return nil, err
	}
	c, err := l.engine.descriptors.adopt(conn)
	if err != nil {
		return nil, err
	}
	l.last = c
	return c, nil
}

// watchQueue adds the queue of connections to the account of unread input.
func (l *listener) watchQueue() (err error) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return errors.Errorf("listen on %s: not a TCP listener", l.addr)
	}
	if l.queue, err = tcp.File(); err != nil {
		return errors.Wrapf(err, "duplicate the listener of %s", l.addr)
	}
	raw, err := l.queue.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) { err = l.engine.backlog.add(int(fd), &l.source) }); controlErr != nil {
		return controlErr
	}
	return err
}

// acceptNext accepts the next connection. Before, it records since when the connection may have been in the queue: its first input may have waited for
// as long.
func (l *listener) acceptNext() (net.Conn, error) {
	raw, err := l.queue.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Read(func(fd uintptr) (ok bool) {
		l.lastAcceptedSince, ok = l.engine.backlog.headOfQueue(int(fd), &l.source, l.engine.clock)
		return ok
	})
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// Close implements net.Listener for the poller, which calls it at the end.
func (l *listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	close(l.over)
	return l.closeSocket()
}

// closeSocket closes both descriptors of the socket. It ends a wait of acceptNext.
func (l *listener) closeSocket() error {
	l.engine.backlog.remove(&l.source)
	err := l.Listener.Close()
	if l.queue != nil {
		l.queue.Close() // it is closed already at the end of a process that stopped listening before
	}
	return err
}

// StopListening refuses new connections at all addresses from now on.
func (e *Engine) StopListening() {
	for i := range e.listeners {
		e.StopListeningAt(i)
	}
}

// StopListeningAt refuses new connections at listener i, in the order of listening.
func (e *Engine) StopListeningAt(i int) {
	if a := e.listeners[i]; !a.stopped.Swap(true) {
		a.closeSocket() // the caller can't do anything about an error
	}
}

// acceptorOf finds what takes a new connection: by its port, and by its address if two listeners have the same port.
func (e *Engine) acceptorOf(c *nbio.Conn) *listener {
	if len(e.listeners) == 1 {
		return e.listeners[0]
	}
	at, _ := c.LocalAddr().(*net.TCPAddr)
	var found *listener
	for _, a := range e.listeners {
		if its, _ := a.Listener.Addr().(*net.TCPAddr); at != nil && its != nil && its.Port == at.Port &&
			(found == nil || its.IP.Equal(at.IP)) {
			found = a
		}
	}
	if found == nil {
		return &listener{accept: (*Link).CloseSoon}
	}
	return found
}
