package eventloop

import (
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"clovergap/internal/invariant"
)

// watched is a descriptor that is no connection, yet hangs on the poller: datagrams and the timer. Waiting for
// them in goroutines of their own cost more CPU than all reads and writes of txns together.
type watched struct {
	descriptor int
	readable   func() // in a turn; it takes all that has come
	seen       uint64 // see numbers
}

// descriptorConn lends a descriptor to the poller, which asks for a connection of the standard library, keeps a copy of
// its descriptor and closes it.
type descriptorConn struct {
	net.Conn
	descriptor int
}

func (d descriptorConn) SyscallConn() (syscall.RawConn, error) {
	return rawDescriptor{d.descriptor}, nil
}
func (d descriptorConn) LocalAddr() net.Addr  { return nil }
func (d descriptorConn) RemoteAddr() net.Addr { return nil }
func (d descriptorConn) Close() error         { return syscall.Close(d.descriptor) }

type rawDescriptor struct{ descriptor int }

func (r rawDescriptor) Control(f func(uintptr)) error  { f(uintptr(r.descriptor)); return nil }
func (r rawDescriptor) Read(func(uintptr) bool) error  { return syscall.EINVAL }
func (r rawDescriptor) Write(func(uintptr) bool) error { return syscall.EINVAL }

// Watch hangs a descriptor on the poller, which is given away by it, and gives the one to use from now on.
func (e *Engine) Watch(fd int, readable func()) (int, error) {
	c, err := nbio.NBConn(descriptorConn{descriptor: fd})
	if err != nil {
		return 0, err
	}
	c.SetSession(&watched{descriptor: c.Hash(), readable: readable})
	e.open++ // as any other that the poller tells of when it ends
	if _, err := e.poll.AddConn(c); err != nil {
		return 0, err
	}
	return c.Hash(), nil
}

// newTimer makes the one timer, and hangs it on the poller.
func (e *Engine) newTimer() (err error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return err
	}
	e.timer, err = e.Watch(fd, e.runAlarms)
	return err
}

// setTimer says when the poller wakes by itself.
func (e *Engine) setTimer(in time.Duration) {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(max(in, 1)))}
	err := unix.TimerfdSettime(e.timer, 0, &spec, nil)
	invariant.That(err == nil, "the timer can be set")
}
