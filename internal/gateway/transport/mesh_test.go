package transport

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"clovergap/internal/invariant"
	"clovergap/internal/lab/loopback"
)

// testTimeout limits each wait of these tests. No test depends on how long an operation takes within it.
const testTimeout = 20 * time.Second

// frame is the frame type of these tests. Like the frames of nodes, it has a field that is rarely set.
type frame struct {
	Number  int
	More    *string
	Payload []byte
}

// testNode is a node that records its events in order.
type testNode struct {
	*Mesh[frame]
	t           *testing.T
	addr        string
	turn        sync.Mutex
	events      chan string
	connections map[string]int // by peer
}

func (n *testNode) PeerConnected(from string) { n.connections[from]++ }
func (n *testNode) FrameReceived(from string, f *frame) {
	more := ""
	if f.More != nil {
		more = *f.More
	}
	n.events <- fmt.Sprintf("%s: %d%s", from, f.Number, more)
}
func (n *testNode) LinkUp(to string)   { n.events <- "up " + to }
func (n *testNode) LinkDown(to string) { n.events <- "down " + to }

// lastIncarnation is the incarnation of the node that was started last.
var lastIncarnation atomic.Uint64

// expectEvent waits for the next event and checks that it is the wanted one.
func (n *testNode) expectEvent(want string) {
	n.t.Helper()
	select {
	case got := <-n.events:
		must.Eq(n.t, want, got)
	case <-time.After(testTimeout):
		n.t.Fatalf("no event within the time-out, want %q", want)
	}
}

// testNetwork returns the network of the tests' nodes, which stays reserved until this process ends.
var testNetwork = sync.OnceValues(loopback.Reserve)

// testAddr returns a loopback address that only this process uses, so that its port stays free for a node that restarts.
func testAddr(t *testing.T, lastOctet int) string {
	t.Helper()
	network, err := testNetwork()
	must.NoError(t, err)
	return network.Host(lastOctet) + ":17560"
}

// startNode starts a node with a new incarnation at an address.
func startNode(t *testing.T, addr string) *testNode {
	node := newTestNode(t, addr)
	node.Start()
	return node
}

// newTestNode makes a node with a new incarnation at an address, and does not start it.
func newTestNode(t *testing.T, addr string) *testNode {
	node := &testNode{t: t, addr: addr, events: make(chan string, 1<<14), connections: map[string]int{}}
	mesh, err := New[frame](addr, lastIncarnation.Add(1), node, func(f func()) {
		node.turn.Lock()
		defer node.turn.Unlock()
		f()
	})
	must.NoError(t, err)
	node.Mesh = mesh
	return node
}

// sendFrames sends the frames with the numbers from start to end-1.
func (n *testNode) sendFrames(to *testNode, start, end int) {
	for number := start; number < end; number++ {
		must.True(n.t, n.Send(to.addr, &frame{Number: number}))
	}
}

// Checks three nodes: links come up, frames arrive in order and with the address of their sender, a link that ended is dialed
// again and delivers no frame that was sent before, and a node has no event after it was stopped.
func TestLinksDeliverInOrderAndReconnect(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, c := startNode(t, testAddr(t, 1)), startNode(t, testAddr(t, 2)), startNode(t, testAddr(t, 3))
	must.Eq(t, a.addr, a.Addr())
	must.False(t, a.Send(b.addr, &frame{})) // the link is not wanted
	for _, to := range []*testNode{a, b, c} {
		a.Connect(to.addr) // a link of a node to itself is ignored
		a.Connect(to.addr)
	}
	first, second := <-a.events, <-a.events
	must.SliceContainsAll(t, []string{"up " + b.addr, "up " + c.addr}, []string{first, second})
	c.Connect(b.addr)
	c.expectEvent("up " + b.addr)
	text := " and more"
	must.True(t, c.Send(b.addr, &frame{Number: 7, More: &text}))
	b.expectEvent(c.addr + ": 7 and more")
	a.sendFrames(b, 0, 3000)
	a.sendFrames(c, 0, 10)
	for number := range 3000 {
		b.expectEvent(fmt.Sprintf("%s: %d", a.addr, number))
	}
	for number := range 10 {
		c.expectEvent(fmt.Sprintf("%s: %d", a.addr, number))
	}
	_, err := New[frame](b.addr, 1, b, nil)
	must.Error(t, err) // the address is in use

	b.Stop()
	a.expectEvent("down " + b.addr)
	a.Send(b.addr, &frame{Number: -1}) // queued for a link that has ended
	restarted := startNode(t, b.addr)
	a.expectEvent("up " + b.addr)
	a.sendFrames(b, 5, 6)
	restarted.expectEvent(a.addr + ": 5")
	c.expectEvent("down " + b.addr)
	c.expectEvent("up " + b.addr)
	c.Disconnect(b.addr)
	c.expectEvent("down " + b.addr)
	must.False(t, c.Send(b.addr, &frame{}))
	c.Connect(b.addr)
	c.expectEvent("up " + b.addr)
	c.sendFrames(b, 8, 9)
	restarted.expectEvent(c.addr + ": 8")
	restarted.turn.Lock()
	must.Positive(t, restarted.connections[a.addr]) // each stream is reported before its frames
	must.Positive(t, restarted.connections[c.addr])
	restarted.turn.Unlock()
	for _, node := range []*testNode{a, restarted, c} {
		node.Stop()
		node.Connect(testAddr(t, 4)) // has no effect after Stop
	}
	must.False(t, a.Send(testAddr(t, 4), &frame{}))
}

// Checks that a stream with a frame that is too long or cannot be decoded ends, and that other streams continue.
func TestInvalidFrameEndsOnlyItsStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(t, 1)), startNode(t, testAddr(t, 2))
	defer a.Stop()
	defer b.Stop()
	b.Connect(a.addr)
	b.expectEvent("up " + a.addr)
	dial := func() (net.Conn, *gob.Encoder) {
		c, err := net.Dial("tcp", a.addr)
		must.NoError(t, err)
		c.SetDeadline(time.Now().Add(testTimeout))
		enc := gob.NewEncoder(c)
		must.NoError(t, enc.Encode(wireHandshake{From: "x"}))
		return c, enc
	}
	expectEnded := func(c net.Conn) {
		t.Helper()
		_, err := c.Read(make([]byte, 1))
		must.Error(t, err)
		must.False(t, os.IsTimeout(err))
		c.Close()
	}
	c, enc := dial()
	for number := range 3 { // the limit applies to each frame separately
		must.NoError(t, enc.Encode(frame{Number: number, Payload: make([]byte, maxFrameBytes*3/4)}))
		a.expectEvent(fmt.Sprintf("x: %d", number))
	}
	enc.Encode(frame{Number: 3, Payload: make([]byte, maxFrameBytes+1<<16)})
	expectEnded(c)
	c, _ = dial()
	c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}) // length prefix that announces a gigabyte
	io.CopyN(c, bytes.NewReader(make([]byte, 2*maxFrameBytes)), 2*maxFrameBytes)
	expectEnded(c)
	c, _ = dial()
	io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\n\r\n", 10))
	expectEnded(c)
	c, enc = dial()
	must.NoError(t, enc.Encode(frame{Number: 5}))
	a.expectEvent("x: 5")
	other, enc := dial() // a new stream of x ends the previous one
	must.NoError(t, enc.Encode(frame{Number: 6}))
	a.expectEvent("x: 6")
	expectEnded(c)
	other.Close()
	b.sendFrames(a, 4, 5)
	a.expectEvent(b.addr + ": 4") // no frame of the other streams came before it
}

// Checks that a peer that does not read blocks neither the sender nor the links to other nodes. The frames that it does not
// read are dropped, and its link ends.
func TestPeerThatDoesNotReadLosesItsLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(t, 1)), startNode(t, testAddr(t, 2))
	defer a.Stop()
	defer b.Stop()
	ln, err := net.Listen("tcp", testAddr(t, 3))
	must.NoError(t, err)
	defer ln.Close()
	blocked := &testNode{addr: testAddr(t, 3)}
	a.Connect(blocked.addr)
	a.expectEvent("up " + blocked.addr)
	a.Connect(b.addr)
	a.expectEvent("up " + b.addr)
	largeFrame := &frame{Payload: make([]byte, 64<<10)}
	sent := 0
	for a.Send(blocked.addr, largeFrame) {
		sent++
	}
	must.Between(t, maxQueuedFrames, sent, 4*maxQueuedFrames)
	a.sendFrames(b, 0, 100)
	for number := range 100 {
		b.expectEvent(fmt.Sprintf("%s: %d", a.addr, number))
	}
	a.expectEvent("down " + blocked.addr)
}

// Checks that the first stream of a new incarnation of a node ends the link to the previous incarnation and dials again at
// once. If the machine of the node lost power, the link looks intact, and nothing else ends it as long as nothing is sent.
func TestNewIncarnationIsRedialed(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(t, 1)), startNode(t, testAddr(t, 2))
	a.Connect(b.addr)
	a.expectEvent("up " + b.addr)
	beginStream := func(incarnation uint64) net.Conn {
		c, err := net.Dial("tcp", a.addr)
		must.NoError(t, err)
		must.NoError(t, gob.NewEncoder(c).Encode(wireHandshake{From: b.addr, Life: incarnation}))
		return c
	}
	first := beginStream(11)
	defer first.Close()
	for !a.knowsIncarnation(b.addr, 11) { // the first known incarnation does not restart the link
		runtime.Gosched()
	}
	second := beginStream(12)
	defer second.Close()
	a.expectEvent("down " + b.addr)
	a.expectEvent("up " + b.addr)
	a.Stop()
	b.Stop()
}

// knowsIncarnation reports whether a node last connected with the given incarnation.
func (n *testNode) knowsIncarnation(from string, incarnation uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnations[from] == incarnation
}

// Checks that a stream of the previous incarnation of a restarted node is rejected when it is read after the stream of the new
// incarnation. This happens when the reader of the previous stream gets no processor time. The late stream must neither replace
// the new stream nor deliver a frame.
func TestStreamOfPreviousIncarnationIsRejected(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := startNode(t, testAddr(t, 41))
	from := testAddr(t, 42)
	dial := func() (net.Conn, *gob.Encoder) {
		c, err := net.Dial("tcp", a.Addr())
		must.NoError(t, err)
		return c, gob.NewEncoder(c)
	}
	previous, previousEncoder := dial()
	current, encoder := dial()
	must.NoError(t, encoder.Encode(wireHandshake{From: from, Life: 2}))
	must.NoError(t, encoder.Encode(&frame{Number: 1}))
	a.expectEvent(from + ": 1")
	previousEncoder.Encode(wireHandshake{From: from, Life: 1})
	previousEncoder.Encode(&frame{Number: 9})
	must.NoError(t, previous.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := previous.Read(make([]byte, 1)) // the node has closed the connection
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	must.NoError(t, encoder.Encode(&frame{Number: 2}))
	a.expectEvent(from + ": 2")
	a.mu.Lock()
	must.Eq(t, 2, a.incarnations[from])
	a.mu.Unlock()
	previous.Close()
	current.Close()
	a.Stop()
}

// Checks that Check reports a link that stays up after its connection has ended. It must not report a link whose connection has
// just ended and whose writer is about to take it down.
func TestCheckReportsLinkWithoutConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startOfferedPair(t, 51)
	violatesInvariant := func() (violated bool) {
		defer func() { violated = recover() != nil || violated }()
		before := invariant.Violations()
		b.Check()
		return invariant.Violations() > before
	}
	for range 3 * maxEndedChecks {
		must.False(t, violatesInvariant())
	}
	b.mu.Lock()
	conn := b.links[a.addr].conn
	in := b.incoming[conn]
	delete(b.incoming, conn) // as if the connection were no longer read but the writer had not been notified
	b.mu.Unlock()
	for range maxEndedChecks - 1 {
		must.False(t, violatesInvariant())
	}
	must.True(t, violatesInvariant())
	b.mu.Lock()
	b.incoming[conn] = in
	b.mu.Unlock()
	must.False(t, violatesInvariant())
	a.Stop()
	b.expectEvent("down " + a.addr)
	b.Stop()
}
