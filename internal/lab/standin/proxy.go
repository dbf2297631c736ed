package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/history"
)

// LinkFault is what a front door's way to one of its others suffers.
type LinkFault struct {
	Blocked bool          // nothing gets through; what is written waits
	Only    Direction     // of a cut: one way, or both
	Delay   time.Duration // of each piece, both ways
	Rate    float64       // bytes a second, each way; 0: no bound
}

// Direction is one of a way's: what the front door says, or what it is told.
type Direction int

// The directions.
const (
	Both Direction = iota
	Out
	In
)

// Link is a front door's way to one kind of others: discovery, backends, the counter.
type Link struct {
	mu   sync.Mutex
	now  map[int]LinkFault
	next int
	open [In + 1]chan struct{} // closed when that direction is open
	shut [In + 1]bool
	sum  LinkFault
}

func newWay() *Link {
	w := &Link{now: map[int]LinkFault{}}
	for d := range w.open {
		w.open[d] = make(chan struct{})
		close(w.open[d])
	}
	return w
}

// Bring begins a trouble and gives what ends it.
func (l *Link) Bring(t LinkFault) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	id := l.next
	l.now[id] = t
	l.add()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.now, id)
		l.add()
	}
}

// add sums up what is under way; the lock is held.
func (l *Link) add() {
	was := l.shut
	l.sum, l.shut = LinkFault{}, [In + 1]bool{}
	for _, t := range l.now {
		for d := range l.shut {
			l.shut[d] = l.shut[d] || t.Blocked && (t.Only == Both || t.Only == Direction(d))
		}
		l.sum.Delay += t.Delay
		if t.Rate > 0 && (l.sum.Rate == 0 || t.Rate < l.sum.Rate) {
			l.sum.Rate = t.Rate
		}
	}
	for d := range l.shut {
		if l.shut[d] && !was[d] {
			l.open[d] = make(chan struct{})
		} else if !l.shut[d] && was[d] {
			close(l.open[d])
		}
	}
}

// pass waits until a piece of so many bytes, come at a time, may go on; false if all is over.
func (l *Link) pass(d Direction, n int, came time.Time, quit <-chan struct{}) bool {
	for {
		l.mu.Lock()
		sum, open, shut := l.sum, l.open[d], l.shut[d]
		l.mu.Unlock()
		if shut {
			select {
			case <-open:
				continue
			case <-quit:
				return false
			}
		}
		wait := time.Until(came.Add(sum.Delay))
		if sum.Rate > 0 {
			wait = max(wait, 0) + time.Duration(float64(n)/sum.Rate*1e9)
		}
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
			return true
		case <-quit:
			return false
		}
	}
}

// blockedDirection tells in which direction nothing gets through now: a connection needs both to come up.
func (l *Link) blockedDirection() (Direction, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range []Direction{Out, In} {
		if l.shut[d] {
			return d, true
		}
	}
	return Both, false
}

// trace is what a proxy knows of a connection from a front door's side.
type trace struct {
	sent   atomic.Int64 // when the front door last began to write
	closed atomic.Int64 // when it had closed its side
}

// traces finds them by both ends' addresses: a port is used again, at the same time, towards another address.
type traces struct{ all sync.Map }

func ends(near, far string) string { return near + ">" + far }

// of finds a connection's; nil if it came by no proxy.
func (t *traces) of(remote, here string) *trace {
	if t == nil {
		return nil
	}
	x, _ := t.all.Load(ends(remote, here))
	tr, _ := x.(*trace)
	return tr
}

// proxy stands between one front door and one of its others.
type proxy struct {
	listener net.Listener
	target   string
	way      *Link
	traces   *traces
	mu       sync.Mutex
	conns    map[net.Conn]bool
	over     bool
	tasks    sync.WaitGroup
	quit     chan struct{}
}

func newProxy(to string, way *Link, marks *traces) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, way: way, traces: marks, conns: map[net.Conn]bool{}, quit: make(chan struct{})}
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !p.track(c) {
				c.Close()
				return
			}
			p.tasks.Add(1)
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// serve joins a front door's connection with one to the other side; while the way is cut neither hears anything.
func (p *proxy) serve(near net.Conn) {
	defer p.tasks.Done()
	defer p.drop(near)
	if d, cut := p.way.blockedDirection(); cut { // it never comes up, and is reset once the way is open
		p.way.pass(d, 0, time.Now(), p.quit)
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(near) // refused there: the front door sees its own connection end
		return
	}
	if !p.track(far) {
		far.Close()
		return
	}
	defer p.drop(far)
	t := &trace{}
	if p.traces != nil {
		key := ends(far.LocalAddr().String(), p.target)
		p.traces.all.Store(key, t)
		defer time.AfterFunc(5*time.Second, func() { p.traces.all.CompareAndDelete(key, t) })
	}
	both := make(chan struct{}, 2)
	go func() { defer func() { both <- struct{}{} }(); p.pump(Out, near, far, t) }()
	go func() { defer func() { both <- struct{}{} }(); p.pump(In, far, near, nil) }()
	<-both
	<-both
}

// chunk is what was read at once, or how the reading ended.
type chunk struct {
	data []byte
	came time.Time
	err  error
}

// maxQueuedChunks wait on a way in one direction; beyond them the sender is slowed down.
const maxQueuedChunks = 64

// pump takes bytes from one side to the other until either ends, and passes the end on as it came. What is read is
// noted at once, however long it waits: a front door that has closed its side has done so, whoever knows.
func (p *proxy) pump(d Direction, from, to net.Conn, t *trace) {
	line, over := make(chan chunk, maxQueuedChunks), make(chan struct{})
	defer close(over)
	go func() {
		defer close(line)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if t != nil && n > 0 {
				t.sent.Store(int64(history.Now()))
			}
			if t != nil && err != nil {
				t.closed.CompareAndSwap(0, int64(history.Now()))
			}
			select {
			case line <- chunk{b[:n], time.Now(), err}:
			case <-over:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range line {
		open := p.way.pass(d, len(x.data), x.came, p.quit)
		if !open || len(x.data) > 0 && write(to, x.data) != nil || x.err != nil && !errors.Is(x.err, io.EOF) {
			reset(to)
			reset(from)
			return
		}
		if errors.Is(x.err, io.EOF) {
			if half, ok := to.(*net.TCPConn); ok {
				half.CloseWrite()
			}
			return
		}
	}
}

func write(to net.Conn, b []byte) error {
	_, err := to.Write(b)
	return err
}

// Close ends it with all its connections.
func (p *proxy) Close() {
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		return
	}
	p.over = true
	close(p.quit)
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.listener.Close()
	p.tasks.Wait()
}
