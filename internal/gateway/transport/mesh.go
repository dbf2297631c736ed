// Package transport carries frames between the nodes of a deployment: gob streams over TCP that stay open, so that types travel
// once. What is sent is lost when a link ends; whoever sends over it repeats what must arrive. Each node dials the
// nodes that it wants to tell something; what others say comes on links that they dialed, or back on a link that this node
// offers to them: see Offer.
package transport

import (
	"bufio"
	"cmp"
	"context"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"clovergap/internal/failpoint"
	"clovergap/internal/proxy/invariant"
)

// Bounds of a link.
const (
	dialLimit  = 600 * time.Millisecond
	writeLimit = 2 * time.Second
	redialIn   = 40 * time.Millisecond // doubled up to redialMost: nodes that start together are up soon
	redialMost = 640 * time.Millisecond
	giveWay    = 300 * time.Millisecond // a node that offers its links is left so long to dial first
	frameMost  = 16 << 20               // bytes of one frame
)

// Host is told what happens, each in a turn of its own.
type Host[F any] interface {
	Came(from string)        // a link of another node is up: what it sent on one before may be lost
	Heard(from string, f *F) // from: where the sender takes frames itself
	Up(to string)            // a link that was dialed is up; all before is lost
	Down(to string)          // it has ended
}

// Mesh are a node's links. Frames are of one type, gob-friendly.
type Mesh[F any] struct {
	me    string
	host  Host[F]
	turn  func(func())
	ln    net.Listener
	mu    sync.Mutex
	links map[string]*link[F]
	ins   map[net.Conn]*incoming // what frames come on
	tail  uint64                 // place of the last of them
	from  map[string]net.Conn    // the newest link of each node
	lives map[string]uint64      // and its life
	last  map[string]stream      // and which one it is
	nr    uint64                 // of the last stream that this node began
	backs map[string]*back       // links of other nodes that may be written to as well
	life  uint64
	offer bool
	done  bool
	all   sync.WaitGroup
}

// incoming is a connection that frames come on.
type incoming struct {
	place uint64        // among all of them, by their beginning
	ended chan struct{} // closed when nothing more comes on it
}

// opening is the first value on a link. Life differs between two starts of a node.
type opening struct {
	From string
	Life uint64
	Both bool   // its sender takes frames on this link as well, see Offer
	Nr   uint64 // grows with each stream that the sender begins in its life; 0: a node of the version before
}

// stream tells which of a node's streams is the newer one: within a life by what the node says, else by the order in which their
// connections came.
type stream struct{ life, nr, place uint64 }

func (s stream) before(o stream) bool {
	if s.life == o.life && s.nr > 0 && o.nr > 0 {
		return s.nr < o.nr
	}
	return s.place < o.place
}

type link[F any] struct {
	to    string
	queue *queue[F]
	stop  context.CancelFunc
	abort func() // ends the dial, the pause or the connection that it has now
	up    bool
	conn  net.Conn // that it goes over while it is up, where frames may come on that as well
	over  int      // checks in a row that found this to have ended
}

// New listens at an inner address, which is this node's name among the links; life is another one at each start. turn runs
// something as the one owner.
func New[F any](me string, life uint64, host Host[F], turn func(func())) (*Mesh[F], error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", me)
	if err != nil {
		return nil, errors.Wrap(err, "transport")
	}
	return &Mesh[F]{me: me, host: host, turn: turn, ln: ln, links: map[string]*link[F]{}, ins: map[net.Conn]*incoming{},
		from: map[string]net.Conn{}, lives: map[string]uint64{}, last: map[string]stream{}, backs: map[string]*back{}, life: life}, nil
}

// Start takes links of others.
func (w *Mesh[F]) Start() { w.all.Go(w.accept) }

// Addr is where frames come in.
func (w *Mesh[F]) Addr() string { return w.ln.Addr().String() }

func (w *Mesh[F]) accept() {
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
			w.note(c)
			w.all.Go(func() { w.read(c, "") })
		}
		w.mu.Unlock()
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
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// note gives a connection that frames may come on its place; the mesh is locked.
func (w *Mesh[F]) note(c net.Conn) *incoming {
	w.tail++
	in := &incoming{place: w.tail, ended: make(chan struct{})}
	w.ins[c] = in
	return in
}

// read takes what comes on a connection until it ends. One that this node dialed bears the name of whom it leads to.
func (w *Mesh[F]) read(c net.Conn, dialed string) {
	var o opening
	defer func() {
		hideEnd(c, cmp.Or(o.From, dialed))
		c.Close()
		w.mu.Lock()
		w.drop(o.From, c)
		if w.from[o.From] == c {
			delete(w.from, o.From)
		}
		w.mu.Unlock()
	}()
	b := &bounded{r: c, left: frameMost}
	dec := gob.NewDecoder(bufio.NewReaderSize(b, 2<<10))
	if dec.Decode(&o) != nil || dialed != "" && o.From != dialed {
		return
	}
	// What a link before this one still holds is of an earlier time, perhaps of an earlier life; and where its machine
	// lost power, nothing else ever ends it. Which is the earlier one is told by the order in which they came: which is read
	// first is chance.
	w.mu.Lock()
	this := stream{o.Life, o.Nr, w.ins[c].place}
	if this.before(w.last[o.From]) {
		w.mu.Unlock()
		return
	}
	w.last[o.From] = this
	if old := w.from[o.From]; old != nil {
		old.Close()
	}
	w.from[o.From] = c
	if dialed == "" {
		w.kick(o, c)
	}
	w.mu.Unlock()
	w.turn(func() {
		if w.newestOf(o.From, c) {
			w.host.Came(o.From)
		}
	})
	for {
		f := new(F)
		b.left = frameMost
		if dec.Decode(f) != nil {
			return
		}
		w.turn(func() {
			if w.newestOf(o.From, c) {
				w.host.Heard(o.From, f)
			}
		})
	}
}

// kick: a node has dialed us, so that it can be reached. A dial to it that hangs since its machine was dark, or a pause, ends;
// and a connection to an earlier life of it, which may look well for as long as nothing is sent.
// Where it offers the link that it dialed, what this node has to say goes there from now on.
func (w *Mesh[F]) kick(o opening, c net.Conn) {
	anew := w.lives[o.From] != 0 && w.lives[o.From] != o.Life
	w.lives[o.From] = o.Life
	offered := w.offered(o, c)
	if l := w.links[o.From]; l != nil && l.abort != nil && (!l.up || anew || offered) {
		l.abort()
	}
}

// has says what a link's abort is to end. conn is what it goes over; nil: it is not up.
func (w *Mesh[F]) has(l *link[F], conn net.Conn, abort func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.up, l.abort, l.conn, l.over = conn != nil, abort, nil, 0
	if _, both := w.ins[conn]; both {
		l.conn = conn
	}
}

// overMost is how many checks in a row may find that the connection of a link has ended, while its writer is still on its way to say so.
const overMost = 5

// Check looks whether every link that is up goes over a connection that has not ended: else whoever is linked waits for word that never
// comes. It is to be called each second.
func (w *Mesh[F]) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		if _, both := w.ins[l.conn]; !l.up || l.conn == nil || both {
			l.over = 0
			continue
		}
		l.over++
		invariant.That(l.over != overMost, "a link that is up goes over a connection that has not ended")
	}
}

// Want keeps a link to a node from now on.
func (w *Mesh[F]) Want(to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.links[to] != nil || to == w.me || w.done {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &link[F]{to: to, queue: newQueue[F](), stop: stop}
	w.links[to] = l
	w.all.Go(func() { w.write(ctx, l) })
}

// Leave keeps it no longer.
func (w *Mesh[F]) Leave(to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.links[to]; l != nil {
		l.stop()
		delete(w.links, to)
	}
}

// Send gives a frame to a node's link; it tells whether the frame is on its way. A full queue drops it.
func (w *Mesh[F]) Send(to string, f *F) bool {
	w.mu.Lock()
	l := w.links[to]
	w.mu.Unlock()
	return l != nil && l.queue.put(f)
}

// write dials, writes, and dials again, until the link is not wanted any more.
func (w *Mesh[F]) write(ctx context.Context, l *link[F]) {
	for wait := redialIn; ctx.Err() == nil; wait = min(2*wait, redialMost) {
		now, abort := context.WithCancel(ctx)
		c, ended, err := w.reach(now, l, abort)
		if err == nil {
			wait = redialIn
			l.queue.clear() // meant for a link that is no more
			w.has(l, c, func() {
				abort()
				c.Close()
			})
			if b, _ := w.open(l.to); b.conn != nil && b.conn != c { // it was offered meanwhile
				c.Close()
				abort()
				continue
			}
			w.turn(func() { w.host.Up(l.to) })
			w.pass(ctx, l, c, ended)
			w.has(l, nil, abort)
			c.Close()
			w.turn(func() {
				if w.newest(l) { // else the one in its place may be up already
					w.host.Down(l.to)
				}
			})
		}
		select {
		case <-now.Done():
			wait = redialIn
		case <-time.After(wait):
		}
		abort()
	}
}

// cutLook is how often a debug build looks whether a cut has healed.
const cutLook = 5 * time.Millisecond

// dial dials; into a cut it hangs, as it would without an answer.
func dial(ctx context.Context, d *net.Dialer, to string) (net.Conn, error) {
	if failpoint.Cut(to) && !through(ctx, to, dialLimit) {
		return nil, errors.New("cut off")
	}
	return d.DialContext(ctx, "tcp", to)
}

// through waits while a test has this node cut off from another; false if that takes too long. What is sent into a cut goes
// out when it heals, as TCP's does, and a link over which nothing got through for writeLimit ends.
func through(ctx context.Context, to string, most time.Duration) bool {
	for end := time.Now().Add(most); failpoint.Cut(to); time.Sleep(cutLook) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

// newestOf tells whether a node has dialed no other link since this one.
func (w *Mesh[F]) newestOf(from string, c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.from[from] == c
}

// newest tells whether no other link has been wanted since in the place of this one.
func (w *Mesh[F]) newest(l *link[F]) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.links[l.to]
	return now == nil || now == l
}

// opens is the first value of the next stream that this node begins.
func (w *Mesh[F]) opens() opening {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nr++
	return opening{From: w.me, Life: w.life, Both: w.offer, Nr: w.nr}
}

// pass writes frames until the link fails, or ended tells that nothing more comes on its connection.
func (w *Mesh[F]) pass(ctx context.Context, l *link[F], c net.Conn, ended <-chan struct{}) {
	out := bufio.NewWriterSize(c, 4<<10)
	enc := gob.NewEncoder(out)
	if enc.Encode(w.opens()) != nil || w.offer && out.Flush() != nil {
		return
	}
	for {
		select {
		case <-l.queue.ready:
			f := l.queue.take()
			if f == nil {
				continue
			}
			if failpoint.Cut(l.to) && !through(ctx, l.to, writeLimit) {
				return
			}
			c.SetWriteDeadline(time.Now().Add(writeLimit))
			if enc.Encode(f) != nil || l.queue.empty() && out.Flush() != nil {
				return
			}
		case <-ended:
			return
		case <-ctx.Done():
			if !failpoint.Cut(l.to) {
				out.Flush()
			}
			return
		}
	}
}

// hideEnd plays a machine without power in a debug build: nothing tells this side of the end of a connection, until it closes that
// itself.
func hideEnd(c net.Conn, from string) {
	if !failpoint.Dark(from) {
		return
	}
	for b := make([]byte, 1); ; time.Sleep(cutLook) {
		if _, err := c.Read(b); errors.Is(err, net.ErrClosed) {
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

// Stop ends all links, and returns when nothing more is told. It is not for a turn.
func (w *Mesh[F]) Stop() {
	w.mu.Lock()
	w.done = true
	w.ln.Close()
	for _, l := range w.links {
		l.stop()
	}
	for c := range w.ins {
		c.Close()
	}
	w.mu.Unlock()
	w.all.Wait()
}
