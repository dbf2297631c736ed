package eventloop

import (
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// numbers gives descriptors their life. The poller takes its events a batch at a time and pairs them with connections by the
// descriptor alone. One that is closed while a batch is worked through, and opened again for somebody else, would get what the
// batch still holds of its former life, the end of it above all: a client's connection that was just read from, and its
// request sent on, was closed so. A node short of processor takes long for a batch, and that is when it happened.
//
// So a descriptor is used again only once its link knows of its end and no batch can hold an event of it. There is one
// event of each in a batch: what was let go before a connection's last event was in no batch from its present one on.
type numbers struct {
	mu     sync.Mutex
	held   map[int]uint64 // by descriptor; 0: of a link that is not closed; else its place among those that were let go
	plugs  []int          // not to be used yet, and kept from everybody
	plug   int            // what they are copies of; 0: none was needed
	let    atomic.Uint64  // how many were let go
	passed atomic.Uint64  // so many of them are in no batch any more
}

// reuseAtOnce takes the defence out; only a test sets it.
var reuseAtOnce bool

// adopt makes the poller's connection of one that was accepted or dialed. It closes conn.
func (n *numbers) adopt(conn net.Conn) (*nbio.Conn, error) {
	for {
		c, err := nbio.NBConn(conn)
		if err != nil {
			conn.Close()
			return nil, err
		}
		if n.take(c.Hash()) {
			return c, nil
		}
		if conn, err = n.move(c.Hash()); err != nil {
			return nil, err
		}
	}
}

func (n *numbers) fit(fd int) bool {
	at, known := n.held[fd]
	return !known || at > 0 && at <= n.passed.Load() || reuseAtOnce
}

// take tells whether a descriptor may be used, and is then its new life's.
func (n *numbers) take(fd int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plugs = slices.DeleteFunc(n.plugs, func(p int) bool {
		fit := n.fit(p)
		if fit {
			delete(n.held, p)
			syscall.Close(p)
		}
		return fit
	})
	if !n.fit(fd) {
		return false
	}
	n.held[fd] = 0
	return true
}

// move gives a connection another descriptor, and keeps the one that it had from being used.
func (n *numbers) move(fd int) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn, err := n.again(fd)
	if err == nil && n.plug == 0 {
		n.plug, err = unix.Eventfd(0, unix.EFD_CLOEXEC)
	}
	if err == nil {
		err = unix.Dup3(n.plug, fd, unix.O_CLOEXEC)
	}
	if err != nil {
		syscall.Close(fd)
		if conn != nil {
			conn.Close()
		}
		return nil, err
	}
	n.plugs = append(n.plugs, fd)
	return conn, nil
}

// again opens a descriptor's connection a second time.
func (*numbers) again(fd int) (net.Conn, error) {
	other, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(other), "")
	defer f.Close()
	return net.FileConn(f)
}

// stop gives back what was kept from use.
func (n *numbers) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.plugs {
		syscall.Close(p)
	}
	if n.plugs = nil; n.plug > 0 {
		syscall.Close(n.plug)
		n.plug = 0
	}
}

// letGo: the link of a descriptor is closed. At once is for one whose event of the present batch is taken.
func (n *numbers) letGo(fd int, atOnce bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if atOnce {
		delete(n.held, fd)
		return
	}
	n.held[fd] = n.let.Add(1)
}

// seen: an event has come of what was last seen, or added, when so many had been let go.
func (n *numbers) seen(last *uint64) {
	if *last > n.passed.Load() {
		n.passed.Store(*last)
	}
	*last = n.let.Load()
}
