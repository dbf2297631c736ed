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
)

// testTimeout bounds every wait of these tests; none of them depends on how long anything takes within it.
const testTimeout = 20 * time.Second

// frame has a field that is seldom set, as those of nodes have.
type frame struct {
	Number  int
	More    *string
	Payload []byte
}

// testNode is one node, with its events in order.
type testNode struct {
	*Mesh[frame]
	t           *testing.T
	addr        string
	turn        sync.Mutex
	events      chan string
	connections map[string]int // by peer
}

func (t *testNode) PeerConnected(from string) { t.connections[from]++ }
func (t *testNode) FrameReceived(from string, f *frame) {
	more := ""
	if f.More != nil {
		more = *f.More
	}
	t.events <- fmt.Sprintf("%s: %d%s", from, f.Number, more)
}
func (t *testNode) LinkUp(to string)   { t.events <- "up " + to }
func (t *testNode) LinkDown(to string) { t.events <- "down " + to }

// lastIncarnation numbers the starts of nodes.
var lastIncarnation atomic.Uint64

// expect waits for the next event.
func (t *testNode) expect(want string) {
	t.t.Helper()
	select {
	case got := <-t.events:
		must.Eq(t.t, want, got)
	case <-time.After(testTimeout):
		t.t.Fatalf("never told: %s", want)
	}
}

// testAddr is an address of this process's own on the loopback: its port is free for whoever comes again.
func testAddr(nr int) string {
	return fmt.Sprintf("127.%d.%d.%d:17560", 2+os.Getpid()>>8&127, os.Getpid()&255, nr)
}

func startNode(t *testing.T, me string) *testNode {
	e := &testNode{t: t, addr: me, events: make(chan string, 1<<14), connections: map[string]int{}}
	w, err := New[frame](me, lastIncarnation.Add(1), e, func(f func()) {
		e.turn.Lock()
		defer e.turn.Unlock()
		f()
	})
	must.NoError(t, err)
	e.Mesh = w
	w.Start()
	return e
}

func (t *testNode) sendFrames(to *testNode, from, upto int) {
	for nr := from; nr < upto; nr++ {
		must.True(t.t, t.Send(to.addr, &frame{Number: nr}))
	}
}

// Three nodes: links come up by themselves, frames arrive in order, by who sent them; one that was ended is dialed again and receives nothing
// of before; no node has an event once it has stopped.
func TestLinks(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, c := startNode(t, testAddr(1)), startNode(t, testAddr(2)), startNode(t, testAddr(3))
	must.Eq(t, a.addr, a.Addr())
	must.False(t, a.Send(b.addr, &frame{})) // nobody wants that link
	for _, to := range []*testNode{a, b, c} {
		a.Connect(to.addr) // that to itself is passed over
		a.Connect(to.addr)
	}
	first, second := <-a.events, <-a.events
	must.SliceContainsAll(t, []string{"up " + b.addr, "up " + c.addr}, []string{first, second})
	c.Connect(b.addr)
	c.expect("up " + b.addr)
	more := " and more"
	must.True(t, c.Send(b.addr, &frame{Number: 7, More: &more}))
	b.expect(c.addr + ": 7 and more")
	a.sendFrames(b, 0, 3000)
	a.sendFrames(c, 0, 10)
	for nr := range 3000 {
		b.expect(fmt.Sprintf("%s: %d", a.addr, nr))
	}
	for nr := range 10 {
		c.expect(fmt.Sprintf("%s: %d", a.addr, nr))
	}
	_, err := New[frame](b.addr, 1, b, nil)
	must.Error(t, err) // the address is in use

	b.Stop()
	a.expect("down " + b.addr)
	a.Send(b.addr, &frame{Number: -1}) // waits for a link that is no more
	again := startNode(t, b.addr)
	a.expect("up " + b.addr)
	a.sendFrames(b, 5, 6)
	again.expect(a.addr + ": 5")
	c.expect("down " + b.addr)
	c.expect("up " + b.addr)
	c.Disconnect(b.addr)
	c.expect("down " + b.addr)
	must.False(t, c.Send(b.addr, &frame{}))
	c.Connect(b.addr)
	c.expect("up " + b.addr)
	c.sendFrames(b, 8, 9)
	again.expect(c.addr + ": 8")
	again.turn.Lock()
	must.Positive(t, again.connections[a.addr]) // each link that lasts, before what comes on it
	must.Positive(t, again.connections[c.addr])
	again.turn.Unlock()
	for _, e := range []*testNode{a, again, c} {
		e.Stop()
		e.Connect(testAddr(4)) // too late
	}
	must.False(t, a.Send(testAddr(4), &frame{}))
}

// A link whose frames are longer than any may be, or are none, ends; others do not.
func TestFrameBound(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(1)), startNode(t, testAddr(2))
	defer a.Stop()
	defer b.Stop()
	b.Connect(a.addr)
	b.expect("up " + a.addr)
	dial := func() (net.Conn, *gob.Encoder) {
		c, err := net.Dial("tcp", a.addr)
		must.NoError(t, err)
		c.SetDeadline(time.Now().Add(testTimeout))
		enc := gob.NewEncoder(c)
		must.NoError(t, enc.Encode(wireHandshake{From: "x"}))
		return c, enc
	}
	ended := func(c net.Conn) {
		t.Helper()
		_, err := c.Read(make([]byte, 1))
		must.Error(t, err)
		must.False(t, os.IsTimeout(err))
		c.Close()
	}
	c, enc := dial()
	for nr := range 3 { // each has the bound for itself
		must.NoError(t, enc.Encode(frame{Number: nr, Payload: make([]byte, maxFrameBytes*3/4)}))
		a.expect(fmt.Sprintf("x: %d", nr))
	}
	enc.Encode(frame{Number: 3, Payload: make([]byte, maxFrameBytes+1<<16)})
	ended(c)
	c, _ = dial()
	c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}) // a gigabyte is said to come
	io.CopyN(c, bytes.NewReader(make([]byte, 2*maxFrameBytes)), 2*maxFrameBytes)
	ended(c)
	c, _ = dial()
	io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\n\r\n", 10))
	ended(c)
	c, enc = dial()
	must.NoError(t, enc.Encode(frame{Number: 5}))
	a.expect("x: 5")
	other, enc := dial() // another incarnation of x: what the former one sends is over
	must.NoError(t, enc.Encode(frame{Number: 6}))
	a.expect("x: 6")
	ended(c)
	other.Close()
	b.sendFrames(a, 4, 5)
	a.expect(b.addr + ": 4") // and nothing of the others before it
}

// A peer that does not read holds up neither who sends nor links to others: what it does not take is dropped, and its
// link ends.
func TestPeerThatDoesNotRead(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(1)), startNode(t, testAddr(2))
	defer a.Stop()
	defer b.Stop()
	ln, err := net.Listen("tcp", testAddr(3))
	must.NoError(t, err)
	defer ln.Close()
	stuck := &testNode{addr: testAddr(3)}
	a.Connect(stuck.addr)
	a.expect("up " + stuck.addr)
	a.Connect(b.addr)
	a.expect("up " + b.addr)
	fat := &frame{Payload: make([]byte, 64<<10)}
	sent := 0
	for a.Send(stuck.addr, fat) {
		sent++
	}
	must.Between(t, maxQueuedFrames, sent, 4*maxQueuedFrames)
	a.sendFrames(b, 0, 100)
	for nr := range 100 {
		b.expect(fmt.Sprintf("%s: %d", a.addr, nr))
	}
	a.expect("down " + stuck.addr)
}

// A link may look well though its node has started anew: where a machine lost power nothing ends it while nothing is sent. A stream of the node's
// new incarnation ends it and has it dialed again at once.
func TestAnotherIncarnationIsDialedAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(1)), startNode(t, testAddr(2))
	a.Connect(b.addr)
	a.expect("up " + b.addr)
	begin := func(incarnation uint64) net.Conn {
		c, err := net.Dial("tcp", a.addr)
		must.NoError(t, err)
		must.NoError(t, gob.NewEncoder(c).Encode(wireHandshake{From: b.addr, Life: incarnation}))
		return c
	}
	first := begin(11)
	defer first.Close()
	for !a.knowsIncarnation(b.addr, 11) { // the same incarnation says nothing of the link
		runtime.Gosched()
	}
	second := begin(12)
	defer second.Close()
	a.expect("down " + b.addr)
	a.expect("up " + b.addr)
	a.Stop()
	b.Stop()
}

func (t *testNode) knowsIncarnation(from string, life uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnations[from] == life
}

// A node that was killed and came back: the stream of its former incarnation is read last, as where the reader has no processor. It neither takes
// the place of the new one nor is any frame of it taken.
func TestFormerIncarnationReadLast(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := startNode(t, testAddr(41))
	from := testAddr(42)
	dial := func() (net.Conn, *gob.Encoder) {
		c, err := net.Dial("tcp", a.Addr())
		must.NoError(t, err)
		return c, gob.NewEncoder(c)
	}
	former, formerEncoder := dial()
	current, encoder := dial()
	must.NoError(t, encoder.Encode(wireHandshake{From: from, Life: 2}))
	must.NoError(t, encoder.Encode(&frame{Number: 1}))
	a.expect(from + ": 1")
	formerEncoder.Encode(wireHandshake{From: from, Life: 1})
	formerEncoder.Encode(&frame{Number: 9})
	must.NoError(t, former.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := former.Read(make([]byte, 1)) // it is ended
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	must.NoError(t, encoder.Encode(&frame{Number: 2}))
	a.expect(from + ": 2")
	a.mu.Lock()
	must.Eq(t, 2, a.incarnations[from])
	a.mu.Unlock()
	former.Close()
	current.Close()
	a.Stop()
}

// Check finds a link that stays up though its connection has ended. One that has just ended, and whose writer is on its way to take it down,
// is none.
func TestCheckFindsLinkWithoutConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startOfferedPair(t, 51)
	check := func() (broken bool) {
		defer func() { broken = recover() != nil || broken }()
		before := invariant.Violations()
		b.Check()
		return invariant.Violations() > before
	}
	for range 3 * maxEndedChecks {
		must.False(t, check())
	}
	b.mu.Lock()
	conn := b.links[a.addr].conn
	in := b.incoming[conn]
	delete(b.incoming, conn) // as if its reading had ended and its writer had not been notified
	b.mu.Unlock()
	for range maxEndedChecks - 1 {
		must.False(t, check())
	}
	must.True(t, check())
	b.mu.Lock()
	b.incoming[conn] = in
	b.mu.Unlock()
	must.False(t, check())
	a.Stop()
	b.expect("down " + a.addr)
	b.Stop()
}
