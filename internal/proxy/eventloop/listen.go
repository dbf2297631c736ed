package eventloop

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// listener is one address that is listened on. Once deaf it keeps its acceptor waiting until the end: the poller
// would else ask it for connections without end.
type listener struct {
	net.Listener
	engine  *Engine
	last    *nbio.Conn // the last one that was accepted
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

// Listen listens on one more address, whose connections go to accept, each in a turn. It is called before
// Start, and fails as a socket does that can't be bound.
func (e *Engine) Listen(addr string, accept func(*Link)) error {
	return e.addListener(addr, accept).open()
}

func (l *listener) open() (err error) {
	if l.Listener == nil {
		l.Listener, err = (&net.ListenConfig{KeepAlive: -1}).Listen(noContext, "tcp", l.addr)
	}
	return err
}

// Accept is the poller's. When it asks for the next one, it has the last one among those that it watches.
func (l *listener) Accept() (net.Conn, error) {
	if l.last != nil {
		if link, ok := l.last.Session().(*Link); ok {
			link.added()
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

// Close is the poller's, at the end.
func (l *listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	close(l.over)
	return l.Listener.Close()
}

// StopListening takes no new connections from now on, anywhere: they are refused.
func (e *Engine) StopListening() {
	for nr := range e.listeners {
		e.StopListeningAt(nr)
	}
}

// StopListeningAt does so at one of the addresses, in the order of listening.
func (e *Engine) StopListeningAt(nr int) {
	if a := e.listeners[nr]; !a.stopped.Swap(true) {
		a.Listener.Close()
	}
}

// acceptorOf finds who takes a new connection: by its port, and by its address where two have the same port.
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
