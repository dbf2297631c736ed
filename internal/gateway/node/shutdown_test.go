package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
)

// callCounter is a Frontend with so many control calls in flight.
type callCounter struct {
	Frontend
	calls int
}

func (c callCounter) CallsInFlight() int { return c.calls }

// Guards against a process that ends while a control call waits for its answer, or its caller for the rest of it: an operator would have no clear
// answer, and a backend no acknowledgement of its departure. A watch does not hold the process up.
func TestShutdownWaitsForControlCalls(t *testing.T) {
	n := startCluster(t, 1).running[0]
	front := n.frontend
	shutDown := func(calls int) (done bool) {
		n.loop.Turn(func() {
			n.frontend = callCounter{front, calls}
			done = n.ContinueShutdown(stopListeningDelay + 1)
		})
		return done
	}
	n.loop.Turn(n.BeginShutdown)
	must.False(t, shutDown(1))
	must.True(t, shutDown(0))
	n.loop.Turn(func() {
		n.coordination.Submit(coordination.Call{Operation: coordination.KeyWatch, Name: "stock.", AfterRevision: 1, Timeout: coordination.MaxWatchTimeout},
			0, func(coordination.Result) {})
	})
	must.True(t, shutDown(1))
	must.False(t, shutDown(2))
}
