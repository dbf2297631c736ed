package transport

import (
	"encoding/gob"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// incomingCount counts the connections that frames may come on.
func (t *testNode) incomingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.incoming)
}

// awaitOffer waits until a node's offer is known here.
func (t *testNode) awaitOffer(from string) {
	t.t.Helper()
	for o, _ := t.offerOf(from); o.conn == nil; o, _ = t.offerOf(from) {
		runtime.Gosched()
	}
}

// awaitIncoming waits until so many connections come in here. One that the other end has given up counts until its end is read, which may
// be after frames on another connection.
func (t *testNode) awaitIncoming(count int) {
	t.t.Helper()
	for deadline := time.Now().Add(testTimeout); t.incomingCount() != count; {
		must.True(t.t, time.Now().Before(deadline), must.Sprintf("%d connections come in, not %d", t.incomingCount(), count))
		runtime.Gosched()
	}
}

// startOfferedPair is two nodes of which a offers the link that b answers on, up both ways.
func startOfferedPair(t *testing.T, nr int) (a, b *testNode) {
	a, b = startNode(t, testAddr(nr)), startNode(t, testAddr(nr+1))
	a.OfferLinks()
	a.Connect(b.addr)
	a.expect("up " + b.addr)
	b.awaitOffer(a.addr)
	b.Connect(a.addr)
	b.expect("up " + a.addr)
	return a, b
}

// exchange has two nodes send so many frames to each other, which both receive in order.
func exchange(a, b *testNode, frames int) {
	a.sendFrames(b, 0, frames)
	b.sendFrames(a, frames, 2*frames)
	for nr := range frames {
		b.expect(fmt.Sprintf("%s: %d", a.addr, nr))
		a.expect(fmt.Sprintf("%s: %d", b.addr, frames+nr))
	}
}

// A node that many others dial answers on the links that they offer: one connection serves both ways, whoever dialed first, and frames
// arrive in order. Guards against a member of the core that runs out of descriptors (two for each of 299 nodes were 598 of its
// 800), and took no control calls any more.
func TestOfferedLinkServesBothWays(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, first := range []string{"the one that offers", "the other"} {
		a, b := startNode(t, testAddr(21)), startNode(t, testAddr(22))
		a.OfferLinks()
		if first == "the other" {
			b.Connect(a.addr)
			b.expect("up " + a.addr)
		}
		a.Connect(b.addr)
		a.expect("up " + b.addr)
		if first == "the other" { // it gives up the connection that it dialed
			b.expect("down " + a.addr)
		} else {
			b.awaitOffer(a.addr)
			b.Connect(a.addr)
		}
		b.expect("up " + a.addr)
		exchange(a, b, 100)
		a.awaitIncoming(1) // the one that it dialed itself
		must.Eq(t, 1, b.incomingCount())
		a.turn.Lock()
		must.Positive(t, a.connections[b.addr])
		a.turn.Unlock()
		b.Stop()
		a.expect("down " + b.addr)
		a.Stop()
	}
}

// Both ends notice the end of an offered link, and the next one serves both ways as well.
func TestOfferedLinkEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startOfferedPair(t, 23)
	b.mu.Lock()
	b.offers[a.addr].conn.Close()
	b.mu.Unlock()
	a.expect("down " + b.addr)
	a.expect("up " + b.addr)
	b.expect("down " + a.addr)
	b.expect("up " + a.addr)
	b.sendFrames(a, 1, 2)
	a.expect(b.addr + ": 1")
	a.sendFrames(b, 2, 3)
	b.expect(a.addr + ": 2")
	must.Eq(t, 1, a.incomingCount())
	a.Stop() // and one that is gone is dialed as any other
	b.expect("down " + a.addr)
	again := startNode(t, a.addr)
	b.expect("up " + a.addr)
	b.sendFrames(again, 3, 4)
	again.expect(b.addr + ": 3")
	again.Stop()
	b.Stop()
}

// Two nodes that both offer keep a link each: if either gave way to the other they would end each other's for ever.
func TestBothOfferLinks(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(25)), startNode(t, testAddr(26))
	a.OfferLinks()
	b.OfferLinks()
	a.Connect(b.addr)
	a.expect("up " + b.addr)
	b.Connect(a.addr)
	b.expect("up " + a.addr)
	exchange(a, b, 50)
	must.Eq(t, 2, a.incomingCount())
	a.Stop()
	b.expect("down " + a.addr)
	b.Stop()
}

// A queue keeps the order through its growth and while frames are taken, drops beyond its bound, and gives back the memory of a burst.
func TestQueue(t *testing.T) {
	q := newQueue[int]()
	put, took := 0, 0
	add := func(n int) {
		for range n {
			v := put
			if q.put(&v) {
				put++
			}
		}
	}
	take := func(n int) {
		for range n {
			v := q.take()
			must.NotNil(t, v)
			must.Eq(t, took, *v)
			took++
		}
	}
	must.Nil(t, q.take())
	must.True(t, q.empty())
	for round := range 200 {
		add(round%7 + 1)
		take(min(put-took, round%5+1))
	}
	must.LessEq(t, 2*(put-took)+2, cap(q.frames)-1<<8) // free capacity is used again before more is allocated
	add(2 * maxQueuedFrames)
	must.Eq(t, maxQueuedFrames, put-took)
	must.Eq(t, 1, len(q.ready))
	take(maxQueuedFrames)
	must.True(t, q.empty())
	must.Eq(t, 0, cap(q.frames))
	add(1)
	take(1)
	must.Positive(t, cap(q.frames))
}

// Who writes to an offered link notices when another takes its place, also where nothing is sent over it and nothing else ends it: the machine at
// its other end lost power, and its next incarnation, or the same one over a new connection, offers again. Guards against members that sent
// no hello to nodes that came back (incident mvk-anadolu 7): such a node followed its only member until nothing went on.
func TestOfferedLinkIsReplaced(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, later := range []wireHandshake{{Life: 11, Nr: 2}, {Life: 12, Nr: 1}} {
		for _, hasSent := range []bool{false, true} {
			b, from := startNode(t, testAddr(27)), testAddr(28)
			offer := func(incarnation, seq uint64) (net.Conn, *gob.Decoder) {
				c, err := net.Dial("tcp", b.addr)
				must.NoError(t, err)
				must.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
				must.NoError(t, gob.NewEncoder(c).Encode(wireHandshake{From: from, Life: incarnation, Nr: seq, Both: true}))
				return c, gob.NewDecoder(c)
			}
			reads := func(dec *gob.Decoder, nr int) {
				var o wireHandshake
				must.NoError(t, dec.Decode(&o))
				must.Eq(t, b.addr, o.From)
				var f frame
				must.NoError(t, dec.Decode(&f))
				must.Eq(t, nr, f.Number)
			}
			former, dec := offer(11, 1)
			b.awaitOffer(from)
			b.Connect(from)
			b.expect("up " + from)
			if hasSent {
				must.True(t, b.Send(from, &frame{Number: 1}))
				reads(dec, 1)
			}
			current, dec := offer(later.Life, later.Nr)
			b.expect("down " + from)
			b.expect("up " + from)
			must.True(t, b.Send(from, &frame{Number: 2}))
			reads(dec, 2)
			former.Close()
			current.Close()
			b.Stop()
		}
	}
}
