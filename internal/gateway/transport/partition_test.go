//go:build debug

package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"clovergap/internal/failpoint"
)

// Checks that a partition of one direction blocks that direction only. Frames that are sent during the partition arrive when
// the partition ends. A dial that the partition blocks succeeds when the partition ends.
func TestOneWayPartition(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, c := startNode(t, testAddr(t, 5)), startNode(t, testAddr(t, 6)), startNode(t, testAddr(t, 7))
	in, commands := io.Pipe()
	failpoint.Listen(in)
	defer commands.Close()
	nodes := []*testNode{a, b, c}
	sendFailpointCommand := func(command string, to *testNode) {
		host, _, _ := net.SplitHostPort(to.addr)
		io.WriteString(commands, command+" "+host+"\n")
		for failpoint.Partitioned(to.addr) != (command == "cut") {
		}
	}
	a.Connect(b.addr)
	a.expectEvent("up " + b.addr)
	b.Connect(a.addr)
	b.expectEvent("up " + a.addr)
	sendFailpointCommand("cut", b) // failpoints are shared by the whole process, so this blocks the frames of all nodes to b
	sendFailpointCommand("cut", c)
	a.Connect(c.addr)
	a.sendFrames(b, 0, 3)
	b.sendFrames(a, 7, 9)
	a.expectEvent(b.addr + ": 7")
	a.expectEvent(b.addr + ": 8")
	must.Eq(t, 0, len(b.events))
	sendFailpointCommand("mend", b)
	for _, event := range []string{": 0", ": 1", ": 2"} {
		b.expectEvent(a.addr + event)
	}
	sendFailpointCommand("mend", c)
	a.expectEvent("up " + c.addr)
	a.sendFrames(c, 4, 5)
	c.expectEvent(a.addr + ": 4")
	for _, node := range nodes {
		node.Stop()
	}
}

// Checks that a connection which got no acknowledgements for a while delivers nothing until its next retransmission, and then all of it in order, and
// that a new connection delivers at once.
func TestRetransmissionAfterLostAcknowledgements(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startNode(t, testAddr(t, 8)), startNode(t, testAddr(t, 9))
	in, commands := io.Pipe()
	failpoint.Listen(in)
	defer commands.Close()
	host, _, _ := net.SplitHostPort(b.addr)
	beforeDial := time.Now()
	a.Connect(b.addr)
	a.expectEvent("up " + b.addr)
	a.sendFrames(b, 0, 1)
	b.expectEvent(a.addr + ": 0")
	io.WriteString(commands, "unacked "+host+"\nacked "+host+"\n")
	for failpoint.ResumesAt(b.addr, beforeDial).IsZero() {
	}
	resumesAt := failpoint.ResumesAt(b.addr, beforeDial)
	a.sendFrames(b, 1, 4)
	for _, event := range []string{": 1", ": 2", ": 3"} {
		b.expectEvent(a.addr + event)
	}
	must.False(t, time.Now().Before(resumesAt), must.Sprint("a frame came before the retransmission"))

	io.WriteString(commands, "unacked "+host+"\n")
	a.sendFrames(b, 4, 5)
	b.expectEvent(a.addr + ": 4") // what is sent arrives; only the acknowledgement is lost
	io.WriteString(commands, "acked "+host+"\n")
	a.breakLink(b.addr)
	a.expectEvent("down " + b.addr)
	a.expectEvent("up " + b.addr)
	a.sendFrames(b, 5, 6)
	b.expectEvent(a.addr + ": 5")
	a.Stop()
	b.Stop()
}
