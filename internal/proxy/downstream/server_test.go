package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/slots"
)

// greeter answers all that comes.
type greeter struct{}

func (g greeter) Take(c *Client) { c.Answer(answer.Up) }
func (greeter) Left(slots.Ref)   {}

// alarmFunc is a function as an eventloop.Alarm.
type alarmFunc func()

func (alarmFunc) Live(uint32) bool { return true }
func (a alarmFunc) Due(uint32)     { a() }

// A client whose input lies unread is not silent. A paused process looks at its clients before it has read what came meanwhile, at once (an alarm
// is overdue) or later, since a slow process reads for longer than its alarms were late. Nobody waits: a due time of an hour ago is what a pause leaves.
func TestClientWithUnreadInputIsNotSilent(t *testing.T) {
	defer func() { ignoreUnread = false }()
	for _, play := range []struct{ fault, overdue bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		ignoreUnread = play.fault
		e := eventloop.New("127.0.0.1:0", 256, 64<<10, 1<<20)
		in := New(e, 10, Bounds{}, func() bool { return false })
		in.SetHandler(greeter{})
		begun := make(chan bool, 1)
		e.OnAccept(in.Accept)
		e.OnTurnEnd(func() {
			in.clients.Each(func(_ slots.Ref, c *Client) {
				if c.begun && len(begun) == 0 {
					begun <- true
				}
			})
		})
		must.NoError(t, e.Start())
		c, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		c.Write([]byte("GET /up HTTP/1.1\r\nHo"))
		<-begun
		sweep := func() {
			in.sweepAt = e.Now()
			in.clients.Each(func(_ slots.Ref, c *Client) { c.since -= time.Hour })
			c.Write([]byte("st: a\r\n\r\n")) // it can't be read before this turn is over
			in.Due(0)
		}
		e.Turn(func() {
			if play.overdue {
				e.At(e.Now()-time.Hour, alarmFunc(sweep), 0)
			} else {
				sweep()
			}
		})
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if play.fault {
			must.Error(t, err)
		} else {
			must.NoError(t, err)
			must.Eq(t, 200, r.StatusCode)
		}
		c.Close()
		e.Stop()
	}
}

// largeAnswerBytes is more than the buffers of two sockets hold.
const largeAnswerBytes = 12 << 20

// largeAnswerer answers all that comes with a body of largeAnswerBytes.
type largeAnswerer struct{ answered chan bool }

func (l largeAnswerer) Take(c *Client) {
	c.Answer(func(b []byte, _ bool) []byte {
		b = append(b, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeAnswerBytes)...)
		return append(b, make([]byte, largeAnswerBytes)...)
	})
	l.answered <- true
}
func (largeAnswerer) Left(slots.Ref) {}

// startLargeAnswerer starts a server with a largeAnswerer. bounds may set time-outs.
func startLargeAnswerer(t *testing.T, bounds Bounds) (*eventloop.Engine, *Server, largeAnswerer) {
	e := eventloop.New("127.0.0.1:0", 256, largeAnswerBytes, 4*largeAnswerBytes)
	bounds.Head, bounds.Body, bounds.Raw = 1<<10, 1<<10, largeAnswerBytes
	in := New(e, 10, bounds, func() bool { return false })
	handler := largeAnswerer{make(chan bool, 1)}
	in.SetHandler(handler)
	e.OnAccept(in.Accept)
	must.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	return e, in, handler
}

// request sends a request and waits until it is answered. The answer waits in the server for the most part.
func (l largeAnswerer) request(t *testing.T, e *eventloop.Engine) net.Conn {
	c, err := net.Dial("tcp", e.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = c.Write([]byte("GET /large HTTP/1.1\r\nHost: a\r\n\r\n"))
	must.NoError(t, err)
	<-l.answered
	return c
}

// Guards against a process that ends while a slow client still reads its last answer (review/2): a client counts until its answer is written.
func TestClientCountsUntilItsLastAnswerIsWritten(t *testing.T) {
	e, in, handler := startLargeAnswerer(t, Bounds{})
	e.Turn(in.Drain)
	clients := func() (n int) {
		e.Turn(func() { n = in.Clients() })
		return n
	}
	c := handler.request(t, e)
	must.Eq(t, 1, clients())
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	read, err := io.Copy(io.Discard, r.Body)
	must.NoError(t, err)
	must.Eq(t, largeAnswerBytes, int(read))
	c.Close()
	for end := time.Now().Add(time.Minute); clients() > 0; {
		must.True(t, time.Now().Before(end), must.Sprint("the client counts on"))
	}
}

// streamTaker is a handler that streams bodies, and answers nothing.
type streamTaker struct{ taken int }

func (s *streamTaker) Take(c *Client) { s.taken++; c.AwaitAnswer(1, "") }
func (*streamTaker) Left(slots.Ref)   {}
func (*streamTaker) More(*Client)     {}

// Guards against the end of the process by a client that resets its connection when it is asked for the body, while no memory is left for more
// input: what the client sent is released inside the write, and was read after it.
func TestClientResetsWhenAskedToContinue(t *testing.T) {
	const ring = 1 << 10 // an input ring's first memory: there is none beyond it
	e := eventloop.New("127.0.0.1:0", 256, 64<<10, 0)
	in := New(e, 10, Bounds{Head: 16 << 10, Body: 1 << 20, Buffer: 4 << 10}, func() bool { return false })
	handler := &streamTaker{}
	in.SetHandler(handler)
	e.OnAccept(in.Accept)
	must.NoError(t, e.Start())
	defer e.Stop()
	c, err := net.Dial("tcp", e.Addr())
	must.NoError(t, err)
	clients := func(want int) {
		for end := time.Now().Add(time.Minute); ; {
			n := 0
			e.Turn(func() { n = in.Clients() })
			if n == want {
				return
			}
			must.True(t, time.Now().Before(end), must.Sprint("never: clients ", want))
		}
	}
	clients(1)
	e.Turn(func() { // the poller finds both at once
		head := "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4000\r\n\r\n"
		c.Write(append([]byte(head), make([]byte, ring)...))
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	clients(0)
	must.Eq(t, 0, handler.taken)
}

// A client that does not read its answer within AnswerTimeout is cut off, and counts as one that did not read.
func TestUnreadAnswerEndsTheConnection(t *testing.T) {
	e, in, handler := startLargeAnswerer(t, Bounds{AnswerTimeout: time.Minute})
	handler.request(t, e)
	punctualTurn(e, in, func() {
		unreadFor(in, time.Minute-time.Second)
		in.Due(0)
		must.Eq(t, 1, in.Clients())
		must.Eq(t, 1, in.InFlight(), must.Sprint("an answer that is not written counts"))
		unreadFor(in, time.Minute)
		in.Due(0)
		must.Eq(t, 0, in.Clients())
		must.Eq(t, 1, e.Count[counters.Unread])
		must.Eq(t, 1, e.Count[counters.ClientsStuck])
	})
}

// unreadFor sets how long each client has left its answer unread.
func unreadFor(in *Server, unread time.Duration) {
	in.clients.Each(func(_ slots.Ref, c *Client) { c.since = in.engine.Now() - unread })
}

// punctualTurn runs f in a turn in which no sweep is overdue. Server.Due does not count the time by which a sweep is late.
func punctualTurn(e *eventloop.Engine, in *Server, f func()) {
	e.Turn(func() {
		in.sweepAt = e.Now() + sweepInterval
		f()
	})
}

// delayRecorder is a handler that keeps the first request waiting, and records how long each request waited before.
type delayRecorder struct {
	first  Ticket
	delays []time.Duration
}

func (d *delayRecorder) Take(c *Client) {
	if d.delays = append(d.delays, c.InputDelay()); len(d.delays) == 1 {
		d.first = c.Ticket()
		c.AwaitAnswer(1, "")
		return
	}
	c.Answer(answer.Up)
}
func (*delayRecorder) Left(slots.Ref) {}

// Guards against a request that counts as fresh although it waited behind the request before it: a caller that sent both has given up the second by the
// time at which the first is answered.
func TestInputDelayCountsTheWaitBehindAnotherRequest(t *testing.T) {
	const wait = 500 * time.Millisecond
	e := eventloop.New("127.0.0.1:0", 256, 64<<10, 1<<20)
	in := New(e, 10, Bounds{}, func() bool { return false })
	handler := &delayRecorder{}
	in.SetHandler(handler)
	e.OnAccept(in.Accept)
	came := make(chan bool, 1)
	e.OnTurnEnd(func() {
		if len(handler.delays) == 1 && len(came) == 0 {
			came <- true
		}
	})
	must.NoError(t, e.Start())
	defer e.Stop()
	c, err := net.Dial("tcp", e.Addr())
	must.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n"))
	must.NoError(t, err)
	<-came
	e.Turn(func() {
		for began := time.Now(); time.Since(began) < wait; {
		}
	})
	e.Turn(func() {
		must.True(t, in.Answer(handler.first, answer.Up))
		must.Len(t, 2, handler.delays)
		must.GreaterEq(t, wait-eventloop.MaxUnknownDelay, handler.delays[1])
	})
}
