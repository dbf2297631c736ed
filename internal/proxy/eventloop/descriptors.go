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

// descriptorTable delays the reuse of descriptors. The poller takes events a batch at a time, and finds their connections by the
// descriptor alone. If a descriptor is closed while a batch is processed, and opened again for another connection, that one gets the
// events that the batch still has of the former, above all its end: a client's connection that had just been read from, and its request
// forwarded, was closed that way. It happens on a node short of CPU, which takes long for a batch.
//
// So a descriptor is reused only after its link has been closed and no batch can have an event of it. A batch has one event of each
// descriptor: whatever was released before a connection's last event is in no batch from its present event on.
type descriptorTable struct {
	mu             sync.Mutex
	released       map[int]uint64 // by descriptor: 0 while its link is open, then the value of releases at its release
	blocked        []int          // descriptors that must not be reused yet, kept open as copies of placeholder
	placeholder    int            // descriptor of an eventfd; 0: none was needed
	releases       atomic.Uint64  // number of releases
	passedReleases atomic.Uint64  // this many of them are in no batch any more
}

// reuseAtOnce disables the delay; only a test sets it.
var reuseAtOnce bool

// adopt makes the poller's connection of one that was accepted or dialed, with a descriptor that may be used. It closes conn.
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

// reusable tells whether a descriptor may be used; the lock is held.
func (d *descriptorTable) reusable(fd int) bool {
	at, known := d.released[fd]
	return !known || at > 0 && at <= d.passedReleases.Load() || reuseAtOnce
}

// take reserves a descriptor for a new connection; it returns false if it must not be reused yet.
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

// move gives a connection another descriptor, and blocks the one that it had.
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

// duplicate opens a descriptor's connection on another descriptor.
func (*descriptorTable) duplicate(fd int) (net.Conn, error) {
	other, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(other), "")
	defer f.Close()
	return net.FileConn(f)
}

// stop closes the blocked descriptors.
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

// release reports that the link of a descriptor is closed. atOnce: it may be reused now, since its event of the present batch has been
// processed.
func (d *descriptorTable) release(fd int, atOnce bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if atOnce {
		delete(d.released, fd)
		return
	}
	d.released[fd] = d.releases.Add(1)
}

// seen reports an event of a descriptor. last is the number of releases at its event before, or when it was added.
func (d *descriptorTable) seen(last *uint64) {
	if *last > d.passedReleases.Load() {
		d.passedReleases.Store(*last)
	}
	*last = d.releases.Load()
}
