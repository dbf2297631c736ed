package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
)

// Guards against requests to a backend whose Backends.Leave was acknowledged right before all processes were killed: the backend makes no
// further call, and the nodes began with the backends as they were stored before the leave. A node without a disk takes the leave.
func TestLeaveSurvivesKillOfAllNodes(t *testing.T) {
	d := startCluster(t, 4)
	d.eventuallyAll("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	ready := func(s controlapi.NodeStatus) bool { return len(s.Backends) == 1 && s.Backends[0].Phase == "ready" }
	d.callUntilClear(3, 200, "POST", "/api/Backends.Heartbeat/i-1", heartbeatBody("ready", 1))
	d.eventuallyAll("a backend", ready)
	for i := range 3 {
		d.eventually("the stored backends", func() (stored bool) {
			d.inTurn(i, func(h *Node) {
				if stored = !h.registryHost.unsaved && !h.core.disk.writing; stored {
					h.registryHost.savedAt = h.loop.Now() + time.Hour // the backends are not stored again
				}
			})
			return stored
		})
	}
	d.callUntilClear(3, 200, "POST", "/api/Backends.Leave/i-1", "")
	for range 2 { // the second kill comes as soon as all nodes reach each other
		for i := range 4 {
			d.kill(i)
		}
		for i := range 4 {
			d.start(i)
		}
		d.eventuallyAll("all nodes", func(s controlapi.NodeStatus) bool {
			live := 0
			for _, other := range s.Nodes {
				if other.Live {
					live++
				}
			}
			return s.Slot != nil && live == 4
		})
	}
	d.eventuallyAll("no backend", func(s controlapi.NodeStatus) bool { return len(s.Backends) == 0 })
	for i := range 4 {
		d.inTurn(i, func(h *Node) { must.False(t, h.registry.HasReadyBackend()) })
	}
}
