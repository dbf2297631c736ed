// Package wings carries frames between the doors of a house: gob streams over TCP that stay open, so that types travel
// once. What is sent is lost when a link ends; whoever sends over it repeats what must arrive. Each door dials the
// doors that it wants to tell something and only writes there; what others say comes on links that they dialed.
package wings

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Bounds of a link.
const (
	dialLimit  = 600 * time.Millisecond
	writeLimit = 2 * time.Second
	redialIn   = 40 * time.Millisecond // doubled up to redialMost: doors that start together are up soon
	redialMost = 640 * time.Millisecond
	queueMost  = 4096     // frames that wait for a link
	frameMost  = 16 << 20 // bytes of one frame
)

// Host is told what happens, each in a turn of its own.
type Host[F any] interface {
	Heard(from string, f *F) // from: where the sender takes frames itself
	Up(to string)            // a link that was dialed is up; all before is lost
	Down(to string)          // it has ended
}

// Wings are a door's links. Frames are of one type, gob-friendly.
type Wings[F any] struct {
	me    string
	host  Host[F]
	turn  func(func())
	ln    net.Listener
	mu    sync.Mutex
	links map[string]*link[F]
	ins   map[net.Conn]bool
	done  bool
}

// opening is the first value on a link.
type opening struct{ From string }

type link[F any] struct {
	to    string
	queue chan *F
	stop  context.CancelFunc
}

// New listens at an inner address, which is this door's name among the links. turn runs something as the one owner.
func New[F any](me string, host Host[F], turn func(func())) (*Wings[F], error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", me)
	if err != nil {
		return nil, errors.Wrap(err, "wings")
	}
	return &Wings[F]{me: me, host: host, turn: turn, ln: ln, links: map[string]*link[F]{}, ins: map[net.Conn]bool{}}, nil
}

// Start takes links of others.
func (w *Wings[F]) Start() { go w.accept() }

// Addr is where frames come in.
func (w *Wings[F]) Addr() string { return w.ln.Addr().String() }

func (w *Wings[F]) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // descriptors ran out
			continue
		}
		w.mu.Lock()
		if w.done {
			c.Close()
		} else {
			w.ins[c] = true
		}
		w.mu.Unlock()
		go w.read(c)
	}
}

// bounded ends a stream whose frame is longer than any may be.
type bounded struct {
	r    io.Reader
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.New("frame too long")
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err
}

func (w *Wings[F]) read(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.ins, c)
		w.mu.Unlock()
	}()
	b := &bounded{r: c, left: frameMost}
	dec := gob.NewDecoder(bufio.NewReaderSize(b, 2<<10))
	var o opening
	if dec.Decode(&o) != nil {
		return
	}
	for {
		f := new(F)
		b.left = frameMost
		if dec.Decode(f) != nil {
			return
		}
		w.turn(func() { w.host.Heard(o.From, f) })
	}
}

// Want keeps a link to a door from now on.
func (w *Wings[F]) Want(to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.links[to] != nil || to == w.me || w.done {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &link[F]{to: to, queue: make(chan *F, queueMost), stop: stop}
	w.links[to] = l
	go w.write(ctx, l)
}

// Leave keeps it no longer.
func (w *Wings[F]) Leave(to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.links[to]; l != nil {
		l.stop()
		delete(w.links, to)
	}
}

// Send gives a frame to a door's link; it tells whether the frame is on its way. A full queue drops it.
func (w *Wings[F]) Send(to string, f *F) bool {
	w.mu.Lock()
	l := w.links[to]
	w.mu.Unlock()
	if l == nil {
		return false
	}
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// write dials, writes, and dials again, until the link is not wanted any more.
func (w *Wings[F]) write(ctx context.Context, l *link[F]) {
	d := net.Dialer{Timeout: dialLimit, KeepAlive: -1, Control: deadPeers}
	for wait := redialIn; ctx.Err() == nil; wait = min(2*wait, redialMost) {
		c, err := d.DialContext(ctx, "tcp", l.to)
		if err == nil {
			wait = redialIn
			for len(l.queue) > 0 { // meant for a link that is no more
				<-l.queue
			}
			w.turn(func() { w.host.Up(l.to) })
			w.pass(ctx, l, c)
			c.Close()
			w.turn(func() { w.host.Down(l.to) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// pass writes frames until the link fails. Nothing comes back on it: a read that ends tells of its end at once.
func (w *Wings[F]) pass(ctx context.Context, l *link[F], c net.Conn) {
	ended := make(chan struct{})
	go func() {
		var b [1]byte
		c.Read(b[:])
		close(ended)
	}()
	out := bufio.NewWriterSize(c, 4<<10)
	enc := gob.NewEncoder(out)
	if enc.Encode(opening{w.me}) != nil {
		return
	}
	for {
		select {
		case f := <-l.queue:
			c.SetWriteDeadline(time.Now().Add(writeLimit))
			if enc.Encode(f) != nil || len(l.queue) == 0 && out.Flush() != nil {
				return
			}
		case <-ended:
			return
		case <-ctx.Done():
			out.Flush()
			return
		}
	}
}

// deadPeers ends links to machines that say nothing: one without power or behind a cut never answers.
func deadPeers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeLimit/time.Millisecond))
	})
}

// Stop ends all links.
func (w *Wings[F]) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.ln.Close()
	for _, l := range w.links {
		l.stop()
	}
	for c := range w.ins {
		c.Close()
	}
}
