//go:build debug

package transport

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"clovergap/internal/failpoint"
)

// A way that is cut carries nothing, the other way goes on; what was said into the cut arrives when it heals, and a dial into one
// comes through then.
func TestCutOneWay(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, c := begin(t, addr(5)), begin(t, addr(6)), begin(t, addr(7))
	in, orders := io.Pipe()
	failpoint.Listen(in)
	defer orders.Close()
	all := []*end{a, b, c}
	order := func(what string, to *end) {
		host, _, _ := net.SplitHostPort(to.me)
		io.WriteString(orders, what+" "+host+"\n")
		for failpoint.Cut(to.me) != (what == "cut") {
		}
	}
	a.Want(b.me)
	a.hears("up " + b.me)
	b.Want(a.me)
	b.hears("up " + a.me)
	order("cut", b) // one process: nothing that anyone says gets there
	order("cut", c)
	a.Want(c.me)
	a.say(b, 0, 3)
	b.say(a, 7, 9)
	a.hears(b.me + ": 7")
	a.hears(b.me + ": 8")
	must.Eq(t, 0, len(b.told))
	order("mend", b)
	for _, what := range []string{": 0", ": 1", ": 2"} {
		b.hears(a.me + what)
	}
	order("mend", c)
	a.hears("up " + c.me)
	a.say(c, 4, 5)
	c.hears(a.me + ": 4")
	for _, e := range all {
		e.Stop()
	}
}
