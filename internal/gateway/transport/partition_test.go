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

// A direction that is partitioned carries nothing, the other goes on; what was sent into the partition arrives when it heals, and a dial into one
// comes through then.
func TestOneWayPartition(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, c := startNode(t, testAddr(5)), startNode(t, testAddr(6)), startNode(t, testAddr(7))
	in, orders := io.Pipe()
	failpoint.Listen(in)
	defer orders.Close()
	all := []*testNode{a, b, c}
	order := func(what string, to *testNode) {
		host, _, _ := net.SplitHostPort(to.addr)
		io.WriteString(orders, what+" "+host+"\n")
		for failpoint.Partitioned(to.addr) != (what == "cut") {
		}
	}
	a.Connect(b.addr)
	a.expect("up " + b.addr)
	b.Connect(a.addr)
	b.expect("up " + a.addr)
	order("cut", b) // one process: nothing that any node sends gets there
	order("cut", c)
	a.Connect(c.addr)
	a.sendFrames(b, 0, 3)
	b.sendFrames(a, 7, 9)
	a.expect(b.addr + ": 7")
	a.expect(b.addr + ": 8")
	must.Eq(t, 0, len(b.events))
	order("mend", b)
	for _, what := range []string{": 0", ": 1", ": 2"} {
		b.expect(a.addr + what)
	}
	order("mend", c)
	a.expect("up " + c.addr)
	a.sendFrames(c, 4, 5)
	c.expect(a.addr + ": 4")
	for _, e := range all {
		e.Stop()
	}
}
