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

// conns counts the connections that frames may come on.
func (e *end) conns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.incoming)
}

// isOffered waits until a node's offer is known here.
func (e *end) isOffered(from string) {
	e.t.Helper()
	for o, _ := e.offerOf(from); o.conn == nil; o, _ = e.offerOf(from) {
		runtime.Gosched()
	}
}

// offeredPair is two nodes of which a offers the link that b answers on, up both ways.
func offeredPair(t *testing.T, nr int) (a, b *end) {
	a, b = begin(t, addr(nr)), begin(t, addr(nr+1))
	a.Offer()
	a.Want(b.me)
	a.hears("up " + b.me)
	b.isOffered(a.me)
	b.Want(a.me)
	b.hears("up " + a.me)
	return a, b
}

// exchange has two nodes say so many frames to each other, which both hear in order.
func exchange(a, b *end, frames int) {
	a.say(b, 0, frames)
	b.say(a, frames, 2*frames)
	for nr := range frames {
		b.hears(fmt.Sprintf("%s: %d", a.me, nr))
		a.hears(fmt.Sprintf("%s: %d", b.me, frames+nr))
	}
}

// A node that many others dial answers on the links that they offer: one connection serves both ways, whoever dialed first, and frames
// arrive in order. Guards against a member of the core that runs out of descriptors (two for each of 299 nodes were 598 of its
// 800), and took no control calls any more.
func TestOfferedLinkServesBothWays(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, first := range []string{"the one that offers", "the other"} {
		a, b := begin(t, addr(21)), begin(t, addr(22))
		a.Offer()
		if first == "the other" {
			b.Want(a.me)
			b.hears("up " + a.me)
		}
		a.Want(b.me)
		a.hears("up " + b.me)
		if first == "the other" { // it gives up its own link
			b.hears("down " + a.me)
		} else {
			b.isOffered(a.me)
			b.Want(a.me)
		}
		b.hears("up " + a.me)
		exchange(a, b, 100)
		must.Eq(t, 1, a.conns()) // the one that it dialed itself
		must.Eq(t, 1, b.conns())
		a.turn.Lock()
		must.Positive(t, a.came[b.me])
		a.turn.Unlock()
		b.Stop()
		a.hears("down " + b.me)
		a.Stop()
	}
}

// The end of an offered link is told at both ends, and the next one serves both ways as well.
func TestOfferedLinkEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := offeredPair(t, 23)
	b.mu.Lock()
	b.offers[a.me].conn.Close()
	b.mu.Unlock()
	a.hears("down " + b.me)
	a.hears("up " + b.me)
	b.hears("down " + a.me)
	b.hears("up " + a.me)
	b.say(a, 1, 2)
	a.hears(b.me + ": 1")
	a.say(b, 2, 3)
	b.hears(a.me + ": 2")
	must.Eq(t, 1, a.conns())
	a.Stop() // and one that is gone is dialed as any other
	b.hears("down " + a.me)
	again := begin(t, a.me)
	b.hears("up " + a.me)
	b.say(again, 3, 4)
	again.hears(b.me + ": 3")
	again.Stop()
	b.Stop()
}

// Two nodes that both offer keep a link each: if either gave way to the other they would end each other's for ever.
func TestTwoThatOffer(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := begin(t, addr(25)), begin(t, addr(26))
	a.Offer()
	b.Offer()
	a.Want(b.me)
	a.hears("up " + b.me)
	b.Want(a.me)
	b.hears("up " + a.me)
	exchange(a, b, 50)
	must.Eq(t, 2, a.conns())
	a.Stop()
	b.hears("down " + a.me)
	b.Stop()
}

// A queue keeps the order through its growth and while frames are taken, drops beyond its bound, and gives the memory of a burst back.
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
	must.LessEq(t, 2*(put-took)+2, cap(q.frames)-1<<8) // free places are used again before new ones are made
	add(2 * queueMost)
	must.Eq(t, queueMost, put-took)
	must.Eq(t, 1, len(q.ready))
	take(queueMost)
	must.True(t, q.empty())
	must.Eq(t, 0, cap(q.frames))
	add(1)
	take(1)
	must.Positive(t, cap(q.frames))
}

// Whoever writes to an offered link is told when another takes its place, also where nothing is said over it and nothing else ends it: the
// machine at its other end lost power, and its next life, or the same one over a new connection, offers again. Guards against members that
// said no hello to nodes that came back (incident mvk-anadolu 7): such a node followed its only member into a standstill.
func TestOfferedLinkIsReplaced(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, later := range []opening{{Life: 11, Nr: 2}, {Life: 12, Nr: 1}} {
		for _, spoken := range []bool{false, true} {
			b, from := begin(t, addr(27)), addr(28)
			offer := func(life, nr uint64) (net.Conn, *gob.Decoder) {
				c, err := net.Dial("tcp", b.me)
				must.NoError(t, err)
				must.NoError(t, c.SetDeadline(time.Now().Add(patience)))
				must.NoError(t, gob.NewEncoder(c).Encode(opening{From: from, Life: life, Nr: nr, Both: true}))
				return c, gob.NewDecoder(c)
			}
			reads := func(dec *gob.Decoder, nr int) {
				var o opening
				must.NoError(t, dec.Decode(&o))
				must.Eq(t, b.me, o.From)
				var f frame
				must.NoError(t, dec.Decode(&f))
				must.Eq(t, nr, f.Nr)
			}
			former, dec := offer(11, 1)
			b.isOffered(from)
			b.Want(from)
			b.hears("up " + from)
			if spoken {
				must.True(t, b.Send(from, &frame{Nr: 1}))
				reads(dec, 1)
			}
			now, dec := offer(later.Life, later.Nr)
			b.hears("down " + from)
			b.hears("up " + from)
			must.True(t, b.Send(from, &frame{Nr: 2}))
			reads(dec, 2)
			former.Close()
			now.Close()
			b.Stop()
		}
	}
}
