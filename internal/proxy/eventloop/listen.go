package eventloop

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// ear is one address that is listened on. Once deaf it keeps its acceptor waiting until the end: the poller
// would else ask it for connections without end.
type ear struct {
	net.Listener
	e      *Engine
	last   *nbio.Conn // the last one that was accepted
	addr   string
	accept func(*Link)
	deaf   atomic.Bool
	over   chan struct{}
	closed atomic.Bool
}

// hear adds an address; its socket is opened by Listen, or when the engine starts.
func (e *Engine) hear(addr string, accept func(*Link)) *ear {
	a := &ear{e: e, addr: addr, accept: accept, over: make(chan struct{})}
	e.ears = append(e.ears, a)
	e.poll.Addrs = append(e.poll.Addrs, addr)
	return a
}

// Listen listens on one more address, whose connections go to accept, each in a turn. It is called before
// Start, and fails as a socket does that can't be bound.
func (e *Engine) Listen(addr string, accept func(*Link)) error {
	return e.hear(addr, accept).open()
}

func (e *ear) open() (err error) {
	if e.Listener == nil {
		e.Listener, err = (&net.ListenConfig{KeepAlive: -1}).Listen(noContext, "tcp", e.addr)
	}
	return err
}

// Accept is the poller's. When it asks for the next one, it has the last one among those that it watches.
func (e *ear) Accept() (net.Conn, error) {
	if e.last != nil {
		if l, ok := e.last.Session().(*Link); ok {
			l.added()
		}
		e.last = nil
	}
	conn, err := e.Listener.Accept()
	if err != nil {
		if e.deaf.Load() {
			<-e.over
		}
		return nil, err
	}
	c, err := e.e.numbers.adopt(conn)
	if err != nil {
		return nil, err
	}
	e.last = c
	return c, nil
}

// Close is the poller's, at the end.
func (e *ear) Close() error {
	if e.closed.Swap(true) {
		return nil
	}
	close(e.over)
	return e.Listener.Close()
}

// StopListening takes no new connections from now on, anywhere: they are refused.
func (e *Engine) StopListening() {
	for nr := range e.ears {
		e.DeafenAt(nr)
	}
}

// DeafenAt does so at one of the addresses, in the order of listening.
func (e *Engine) DeafenAt(nr int) {
	if a := e.ears[nr]; !a.deaf.Swap(true) {
		a.Listener.Close()
	}
}

// came finds who takes a new connection: by its port, and by its address where two have the same port.
func (e *Engine) came(c *nbio.Conn) func(*Link) {
	if len(e.ears) == 1 {
		return e.ears[0].accept
	}
	at, _ := c.LocalAddr().(*net.TCPAddr)
	var found *ear
	for _, a := range e.ears {
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
