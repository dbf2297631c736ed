package eventloop

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// listener is one address that is listened on. Once stopped it blocks its acceptor until the end, which would spin
// otherwise.
type listener struct {
	net.Listener
	engine  *Engine
	last    *nbio.Conn // that was accepted
	addr    string
	accept  func(*Link)
	stopped atomic.Bool
	over    chan struct{}
	closed  atomic.Bool
}

// addListener adds an address; its socket is opened by Listen, or when the engine starts.
func (e *Engine) addListener(addr string, accept func(*Link)) *listener {
	a := &listener{engine: e, addr: addr, accept: accept, over: make(chan struct{})}
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
	conn, err := l.Listener.Accept()
	if err != nil {
		if l.stopped.Load() {
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

// Close implements net.Listener for the poller, which calls it at the end.
func (l *listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	close(l.over)
	return l.Listener.Close()
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
		a.Listener.Close()
	}
}

// acceptorOf finds what takes a new connection: by its port, and by its address if two listeners have the same port.
func (e *Engine) acceptorOf(c *nbio.Conn) func(*Link) {
	if len(e.listeners) == 1 {
		return e.listeners[0].accept
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
		return (*Link).CloseSoon
	}
	return found.accept
}
