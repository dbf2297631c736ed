package downstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/proxy/answer"
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

// A node that stood still looks at its clients only after it has read what came meanwhile: half a request whose rest lies
// unread is no client that keeps silent. Nobody waits: a due time of an hour ago is what a standstill leaves.
func TestStandstillIsNotTheClients(t *testing.T) {
	defer func() { ignoreStall = false }()
	for _, fault := range []bool{false, true} {
		ignoreStall = fault
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
		e.Turn(func() {
			e.At(e.Now()-time.Hour, alarmFunc(func() {
				in.clients.Each(func(_ slots.Ref, c *Client) { c.since -= time.Hour })
				c.Write([]byte("st: a\r\n\r\n")) // it can't be read before this turn is over
				in.Due(0)
			}), 0)
		})
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if fault {
			must.Error(t, err)
		} else {
			must.NoError(t, err)
			must.Eq(t, 200, r.StatusCode)
		}
		c.Close()
		e.Stop()
	}
}
