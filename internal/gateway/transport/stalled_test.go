package transport

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// stallingListener accepts connections that deliver nothing once they are stalled, as when the sender's kernel waits for a retransmission that has
// backed off. The sender's writes succeed all the same.
type stallingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*stallingConn
}

// stallingConn is a connection that delivers nothing once it is stalled.
type stallingConn struct {
	net.Conn
	stalled chan struct{} // closed when it stalls
	closed  chan struct{}
	ended   sync.Once
}

func (s *stallingListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &stallingConn{Conn: conn, stalled: make(chan struct{}), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// stall stalls all connections that were accepted so far.
func (s *stallingListener) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		close(c.stalled)
	}
	s.conns = nil
}

func (s *stallingConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	select {
	case <-s.stalled:
		<-s.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (s *stallingConn) Close() error {
	s.ended.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// ageLink makes the connection of a link look as old as one that was up before an interruption.
func (n *testNode) ageLink(to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[to].connectedAt = time.Now().Add(-time.Minute)
}

// breakLink ends the connection of a link, as when the peer's machine acknowledges nothing.
func (n *testNode) breakLink(to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[to].abort()
}

// expectEvents waits for events in any order.
func (n *testNode) expectEvents(want ...string) {
	n.t.Helper()
	var got []string
	for range want {
		select {
		case event := <-n.events:
			got = append(got, event)
		case <-time.After(testTimeout):
			n.t.Fatalf("no event within the time-out, got %q, want %q", got, want)
		}
	}
	must.SliceContainsAll(n.t, want, got)
}

// startStallingPair starts two nodes. The connection from the first to the second has carried frame 0, and can be stalled.
func startStallingPair(t *testing.T) (a, b *testNode, stalling *stallingListener) {
	a, b = startNode(t, testAddr(t, 1)), newTestNode(t, testAddr(t, 2))
	stalling = &stallingListener{Listener: b.listener}
	b.listener = stalling
	b.Start()
	a.Connect(b.addr)
	a.expectEvent("up " + b.addr)
	a.sendFrames(b, 0, 1)
	b.expectEvent(a.addr + ": 0")
	return a, b, stalling
}

// Guards against a member that stays behind for ten seconds after an interruption in one direction has ended: the leader's connection to it looked
// intact, and delivered nothing until its kernel's next retransmission. When the peer dials again, the connection is replaced. The connection that the
// peer has just dialed is not: the links come to rest.
func TestStalledConnectionIsReplacedWhenThePeerDialsAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, stalling := startStallingPair(t)
	defer a.Stop()
	defer b.Stop()
	b.Connect(a.addr)
	b.expectEvent("up " + a.addr)
	b.sendFrames(a, 0, 1)
	a.expectEvent(b.addr + ": 0")

	stalling.stall()
	a.sendFrames(b, 1, 2)
	a.ageLink(b.addr)
	b.breakLink(a.addr)
	b.expectEvent("down " + a.addr)
	b.expectEvent("up " + a.addr)
	b.sendFrames(a, 1, 2)
	a.expectEvents("down "+b.addr, "up "+b.addr, b.addr+": 1") // the frame carries the handshake and may be reported first
	a.sendFrames(b, 2, 3)
	b.expectEvent(a.addr + ": 2") // frame 1 is lost with its connection

	for number := 3; number < 50; number++ { // neither side has replaced its connection once more
		a.sendFrames(b, number, number+1)
		b.expectEvent(a.addr + ": " + strconv.Itoa(number))
		b.sendFrames(a, number, number+1)
		a.expectEvent(b.addr + ": " + strconv.Itoa(number))
	}
}

// Guards against the same fault of a node that starts during the interruption: it has never heard of the peer that dials when the interruption is over, and
// its own connection to the peer is the only one so far.
func TestStalledConnectionIsReplacedWhenThePeerDialsForTheFirstTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, stalling := startStallingPair(t)
	defer a.Stop()
	defer b.Stop()

	stalling.stall()
	a.sendFrames(b, 1, 2)
	a.ageLink(b.addr)
	b.Connect(a.addr)
	b.expectEvent("up " + a.addr)
	b.sendFrames(a, 0, 1)
	a.expectEvents("down "+b.addr, "up "+b.addr, b.addr+": 0") // the frame carries the handshake and may be reported first
	a.sendFrames(b, 2, 3)
	b.expectEvent(a.addr + ": 2") // frame 1 is lost with its connection
}

// A connection that has just begun is not replaced when the peer dials, neither for the first time nor again.
func TestYoungConnectionIsKeptWhenThePeerDialsAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(t, 1)), startNode(t, testAddr(t, 2))
	defer a.Stop()
	defer b.Stop()
	a.Connect(b.addr)
	a.expectEvent("up " + b.addr)
	b.Connect(a.addr) // for the first time
	b.expectEvent("up " + a.addr)
	b.sendFrames(a, 0, 1)
	a.expectEvent(b.addr + ": 0")
	must.True(t, a.Send(b.addr, &frame{Number: 0}))
	b.expectEvent(a.addr + ": 0")
	a.mu.Lock()
	a.links[b.addr].connectedAt = time.Now()
	a.mu.Unlock()
	b.breakLink(a.addr)
	b.expectEvent("down " + a.addr)
	b.expectEvent("up " + a.addr)
	b.sendFrames(a, 1, 2)
	a.expectEvent(b.addr + ": 1")
	a.sendFrames(b, 1, 2)
	b.expectEvent(a.addr + ": 1")
}
