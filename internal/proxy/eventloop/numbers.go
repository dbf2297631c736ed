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

// descriptorTable gives descriptors their life. The poller takes its events a batch at a time and pairs them with connections by the
// descriptor alone. One that is closed while a batch is worked through, and opened again for somebody else, would get what the
// batch still holds of its former life, the end of it above all: a client's connection that was just read from, and its
// request sent on, was closed so. A node short of processor takes long for a batch, and that is when it happened.
//
// So a descriptor is used again only once its link knows of its end and no batch can hold an event of it. There is one
// event of each in a batch: what was let go before a connection's last event was in no batch from its present one on.
type descriptorTable struct {
	mu             sync.Mutex
	released       map[int]uint64 // by descriptor; 0: of a link that is not closed; else its place among those that were let go
	blocked        []int          // not to be used yet, and kept from everybody
	placeholder    int            // what they are copies of; 0: none was needed
	releases       atomic.Uint64  // how many were let go
	passedReleases atomic.Uint64  // so many of them are in no batch any more
}

// reuseAtOnce takes the defence out; only a test sets it.
var reuseAtOnce bool

// adopt makes the poller's connection of one that was accepted or dialed. It closes conn.
func (d *descriptorTable) adopt(conn net.Conn) (*nbio.Conn, error) {
	for {
		c, err := nbio.NBConn(conn)
		if err != nil {
			conn.Close()
			return nil, err
		}
		if d.take(c.Hash()) {
			return c, nil
		}
		if conn, err = d.move(c.Hash()); err != nil {
			return nil, err
		}
	}
}

func (d *descriptorTable) reusable(fd int) bool {
	at, known := d.released[fd]
	return !known || at > 0 && at <= d.passedReleases.Load() || reuseAtOnce
}

// take tells whether a descriptor may be used, and is then its new life's.
func (d *descriptorTable) take(fd int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked = slices.DeleteFunc(d.blocked, func(p int) bool {
		fit := d.reusable(p)
		if fit {
			delete(d.released, p)
			syscall.Close(p)
		}
		return fit
	})
	if !d.reusable(fd) {
		return false
	}
	d.released[fd] = 0
	return true
}

// move gives a connection another descriptor, and keeps the one that it had from being used.
func (d *descriptorTable) move(fd int) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn, err := d.duplicate(fd)
	if err == nil && d.placeholder == 0 {
		d.placeholder, err = unix.Eventfd(0, unix.EFD_CLOEXEC)
	}
	if err == nil {
		err = unix.Dup3(d.placeholder, fd, unix.O_CLOEXEC)
	}
	if err != nil {
		syscall.Close(fd)
		if conn != nil {
			conn.Close()
		}
		return nil, err
	}
	d.blocked = append(d.blocked, fd)
	return conn, nil
}

// duplicate opens a descriptor's connection a second time.
func (*descriptorTable) duplicate(fd int) (net.Conn, error) {
	other, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(other), "")
	defer f.Close()
	return net.FileConn(f)
}

// stop gives back what was kept from use.
func (d *descriptorTable) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.blocked {
		syscall.Close(p)
	}
	if d.blocked = nil; d.placeholder > 0 {
		syscall.Close(d.placeholder)
		d.placeholder = 0
	}
}

// release: the link of a descriptor is closed. At once is for one whose event of the present batch is taken.
func (d *descriptorTable) release(fd int, atOnce bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if atOnce {
		delete(d.released, fd)
		return
	}
	d.released[fd] = d.releases.Add(1)
}

// seen: an event has come of what was last seen, or added, when so many had been let go.
func (d *descriptorTable) seen(last *uint64) {
	if *last > d.passedReleases.Load() {
		d.passedReleases.Store(*last)
	}
	*last = d.releases.Load()
}
