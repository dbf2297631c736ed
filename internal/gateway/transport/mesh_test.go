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

	"clovergap/internal/proxy/invariant"
)

// patience bounds every wait of these tests; none of them depends on how long anything takes within it.
const patience = 20 * time.Second

// frame has a field that is seldom set, as those of nodes have.
type frame struct {
	Nr   int
	More *string
	Fat  []byte
}

// end is one node: what it was told, in order.
type end struct {
	*Mesh[frame]
	t    *testing.T
	me   string
	turn sync.Mutex
	told chan string
	came map[string]int // links of others, as told
}

func (e *end) Came(from string) { e.came[from]++ }
func (e *end) Heard(from string, f *frame) {
	more := ""
	if f.More != nil {
		more = *f.More
	}
	e.told <- fmt.Sprintf("%s: %d%s", from, f.Nr, more)
}
func (e *end) Up(to string)   { e.told <- "up " + to }
func (e *end) Down(to string) { e.told <- "down " + to }

// lives numbers the starts.
var lives atomic.Uint64

// hears waits for the next word.
func (e *end) hears(want string) {
	e.t.Helper()
	select {
	case got := <-e.told:
		must.Eq(e.t, want, got)
	case <-time.After(patience):
		e.t.Fatalf("never told: %s", want)
	}
}

// addr is an address of this process's own on the loopback: its port is free for whoever comes again.
func addr(nr int) string {
	return fmt.Sprintf("127.%d.%d.%d:17560", 2+os.Getpid()>>8&127, os.Getpid()&255, nr)
}

func begin(t *testing.T, me string) *end {
	e := &end{t: t, me: me, told: make(chan string, 1<<14), came: map[string]int{}}
	w, err := New[frame](me, lives.Add(1), e, func(f func()) {
		e.turn.Lock()
		defer e.turn.Unlock()
		f()
	})
	must.NoError(t, err)
	e.Mesh = w
	w.Start()
	return e
}

func (e *end) say(to *end, from, upto int) {
	for nr := from; nr < upto; nr++ {
		must.True(e.t, e.Send(to.me, &frame{Nr: nr}))
	}
}

// Three nodes: links come up by themselves, frames arrive in order, by who sent them; one that was ended is dialed
// again, and hears nothing of before; nobody is told anything once it has stopped.
func TestLinks(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, c := begin(t, addr(1)), begin(t, addr(2)), begin(t, addr(3))
	must.Eq(t, a.me, a.Addr())
	must.False(t, a.Send(b.me, &frame{})) // nobody wants that link
	for _, to := range []*end{a, b, c} {
		a.Want(to.me) // its own is passed over
		a.Want(to.me)
	}
	first, second := <-a.told, <-a.told
	must.SliceContainsAll(t, []string{"up " + b.me, "up " + c.me}, []string{first, second})
	c.Want(b.me)
	c.hears("up " + b.me)
	more := " and more"
	must.True(t, c.Send(b.me, &frame{Nr: 7, More: &more}))
	b.hears(c.me + ": 7 and more")
	a.say(b, 0, 3000)
	a.say(c, 0, 10)
	for nr := range 3000 {
		b.hears(fmt.Sprintf("%s: %d", a.me, nr))
	}
	for nr := range 10 {
		c.hears(fmt.Sprintf("%s: %d", a.me, nr))
	}
	_, err := New[frame](b.me, 1, b, nil)
	must.Error(t, err) // taken

	b.Stop()
	a.hears("down " + b.me)
	a.Send(b.me, &frame{Nr: -1}) // waits for a link that is no more
	again := begin(t, b.me)
	a.hears("up " + b.me)
	a.say(b, 5, 6)
	again.hears(a.me + ": 5")
	c.hears("down " + b.me)
	c.hears("up " + b.me)
	c.Leave(b.me)
	c.hears("down " + b.me)
	must.False(t, c.Send(b.me, &frame{}))
	c.Want(b.me)
	c.hears("up " + b.me)
	c.say(b, 8, 9)
	again.hears(c.me + ": 8")
	again.turn.Lock()
	must.Positive(t, again.came[a.me]) // each link that lasts, before what comes on it
	must.Positive(t, again.came[c.me])
	again.turn.Unlock()
	for _, e := range []*end{a, again, c} {
		e.Stop()
		e.Want(addr(4)) // too late
	}
	must.False(t, a.Send(addr(4), &frame{}))
}

// A link whose frames are longer than any may be, or are none, ends; others do not.
func TestFrameBound(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := begin(t, addr(1)), begin(t, addr(2))
	defer a.Stop()
	defer b.Stop()
	b.Want(a.me)
	b.hears("up " + a.me)
	dial := func() (net.Conn, *gob.Encoder) {
		c, err := net.Dial("tcp", a.me)
		must.NoError(t, err)
		c.SetDeadline(time.Now().Add(patience))
		enc := gob.NewEncoder(c)
		must.NoError(t, enc.Encode(opening{From: "x"}))
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
		must.NoError(t, enc.Encode(frame{Nr: nr, Fat: make([]byte, frameMost*3/4)}))
		a.hears(fmt.Sprintf("x: %d", nr))
	}
	enc.Encode(frame{Nr: 3, Fat: make([]byte, frameMost+1<<16)})
	ended(c)
	c, _ = dial()
	c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}) // a gigabyte is said to come
	io.CopyN(c, bytes.NewReader(make([]byte, 2*frameMost)), 2*frameMost)
	ended(c)
	c, _ = dial()
	io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\n\r\n", 10))
	ended(c)
	c, enc = dial()
	must.NoError(t, enc.Encode(frame{Nr: 5}))
	a.hears("x: 5")
	other, enc := dial() // another life of x: what the one before had to say is over
	must.NoError(t, enc.Encode(frame{Nr: 6}))
	a.hears("x: 6")
	ended(c)
	other.Close()
	b.say(a, 4, 5)
	a.hears(b.me + ": 4") // and nothing of the others before it
}

// A peer that does not read holds up neither who sends nor links to others: what it does not take is dropped, and its
// link ends.
func TestPeerThatDoesNotRead(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := begin(t, addr(1)), begin(t, addr(2))
	defer a.Stop()
	defer b.Stop()
	ln, err := net.Listen("tcp", addr(3))
	must.NoError(t, err)
	defer ln.Close()
	deaf := &end{me: addr(3)}
	a.Want(deaf.me)
	a.hears("up " + deaf.me)
	a.Want(b.me)
	a.hears("up " + b.me)
	fat := &frame{Fat: make([]byte, 64<<10)}
	sent := 0
	for a.Send(deaf.me, fat) {
		sent++
	}
	must.Between(t, queueMost, sent, 4*queueMost)
	a.say(b, 0, 100)
	for nr := range 100 {
		b.hears(fmt.Sprintf("%s: %d", a.me, nr))
	}
	a.hears("down " + deaf.me)
}

// A link may look well though its node has started anew: where a machine lost power nothing ends it while nothing is sent.
// The node's own word that it lives again, by a link with another life, ends it and has it dialed again at once.
func TestAnotherLifeIsDialedAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := begin(t, addr(1)), begin(t, addr(2))
	a.Want(b.me)
	a.hears("up " + b.me)
	said := func(life uint64) net.Conn {
		c, err := net.Dial("tcp", a.me)
		must.NoError(t, err)
		must.NoError(t, gob.NewEncoder(c).Encode(opening{From: b.me, Life: life}))
		return c
	}
	first := said(11)
	defer first.Close()
	for !a.knows(b.me, 11) { // the same life says nothing of the link
		runtime.Gosched()
	}
	second := said(12)
	defer second.Close()
	a.hears("down " + b.me)
	a.hears("up " + b.me)
	a.Stop()
	b.Stop()
}

func (e *end) knows(from string, life uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lives[from] == life
}

// A node that was killed and came back: the link of its former life is read last, as where the reader has no processor. It
// neither takes the place of the new one nor is any frame of it taken.
func TestFormerLifeReadLast(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := begin(t, addr(41))
	from := addr(42)
	dial := func() (net.Conn, *gob.Encoder) {
		c, err := net.Dial("tcp", a.Addr())
		must.NoError(t, err)
		return c, gob.NewEncoder(c)
	}
	old, oldSays := dial()
	now, says := dial()
	must.NoError(t, says.Encode(opening{From: from, Life: 2}))
	must.NoError(t, says.Encode(&frame{Nr: 1}))
	a.hears(from + ": 1")
	oldSays.Encode(opening{From: from, Life: 1})
	oldSays.Encode(&frame{Nr: 9})
	must.NoError(t, old.SetReadDeadline(time.Now().Add(patience)))
	_, err := old.Read(make([]byte, 1)) // it is ended
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	must.NoError(t, says.Encode(&frame{Nr: 2}))
	a.hears(from + ": 2")
	a.mu.Lock()
	must.Eq(t, 2, a.lives[from])
	a.mu.Unlock()
	old.Close()
	now.Close()
	a.Stop()
}

// What must hold of links is noticed where it does not: a link that stays up though its connection has ended. One that has just ended, and
// whose writer is on its way to say so, is none.
func TestCheckFindsLinkWithoutConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := offeredPair(t, 51)
	check := func() (broken bool) {
		defer func() { broken = recover() != nil || broken }()
		before := invariant.Broken()
		b.Check()
		return invariant.Broken() > before
	}
	for range 3 * overMost {
		must.False(t, check())
	}
	b.mu.Lock()
	conn := b.links[a.me].conn
	in := b.incoming[conn]
	delete(b.incoming, conn) // as if its reading had ended, and nobody had been told
	b.mu.Unlock()
	for range overMost - 1 {
		must.False(t, check())
	}
	must.True(t, check())
	b.mu.Lock()
	b.incoming[conn] = in
	b.mu.Unlock()
	must.False(t, check())
	a.Stop()
	b.hears("down " + a.me)
	b.Stop()
}
