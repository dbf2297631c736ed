package eventloop

import (
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"clovergap/internal/invariant"
)

// watched is a descriptor of the poller's that is no connection: datagrams and the timer. Goroutines that waited for them
// cost more CPU than all reads and writes of requests together.
type watched struct {
	descriptor int
	readable   ReadableFunc
	source     inputSource // in the account of unread input
	seen       uint64      // see descriptorTable.seen
}

// ReadableFunc reads all that has come on a descriptor (edge-triggered). It is called in a turn. The input came after the time since, but for
// MaxUnknownDelay.
type ReadableFunc func(since time.Duration)

// event reads what has come.
func (w *watched) event(e *Engine) {
	e.descriptors.seen(&w.seen)
	w.readable(e.backlog.since(&w.source))
	e.backlog.foundEmpty(&w.source)
}

// descriptorConn is a descriptor as a net.Conn, as nbio.NBConn wants it: it duplicates the descriptor and closes this one.
type descriptorConn struct {
	net.Conn
	descriptor int
}

// SyscallConn implements syscall.Conn.
func (d descriptorConn) SyscallConn() (syscall.RawConn, error) {
	return rawDescriptor{d.descriptor}, nil
}

// LocalAddr implements net.Conn; there is none.
func (d descriptorConn) LocalAddr() net.Addr { return nil }

// RemoteAddr implements net.Conn; there is none.
func (d descriptorConn) RemoteAddr() net.Addr { return nil }

// Close implements net.Conn.
func (d descriptorConn) Close() error { return syscall.Close(d.descriptor) }

// rawDescriptor is a descriptor as a syscall.RawConn, of which Control alone is used.
type rawDescriptor struct{ descriptor int }

// Control implements syscall.RawConn.
func (r rawDescriptor) Control(f func(uintptr)) error { f(uintptr(r.descriptor)); return nil }

// Read implements syscall.RawConn; it is not used.
func (r rawDescriptor) Read(func(uintptr) bool) error { return syscall.EINVAL }

// Write implements syscall.RawConn; it is not used.
func (r rawDescriptor) Write(func(uintptr) bool) error { return syscall.EINVAL }

// Watch gives a descriptor to the poller and returns the one to use instead from now on. readable is called in a turn whenever there
// is something to read.
func (e *Engine) Watch(fd int, readable ReadableFunc) (int, error) {
	c, err := nbio.NBConn(descriptorConn{descriptor: fd})
	if err != nil {
		return 0, err
	}
	w := &watched{descriptor: c.Hash(), readable: readable}
	c.SetSession(w)
	if err := e.backlog.add(c.Hash(), &w.source); err != nil {
		return 0, err
	}
	e.open++ // counted down when the poller reports its end
	if _, err := e.poll.AddConn(c); err != nil {
		return 0, err
	}
	return c.Hash(), nil
}

// newTimer makes the one timer, and gives it to the poller.
func (e *Engine) newTimer() (err error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return err
	}
	e.timer, err = e.Watch(fd, func(time.Duration) { e.runAlarms() })
	return err
}

// setTimer sets when the timer expires.
func (e *Engine) setTimer(in time.Duration) {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(max(in, 1)))}
	err := unix.TimerfdSettime(e.timer, 0, &spec, nil)
	invariant.Assert(err == nil, "the timer can be set")
}
