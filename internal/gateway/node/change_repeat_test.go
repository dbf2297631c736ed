package node

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/statemachine"
)

const replaceConfigPath = "/api/Config.Replace"

// An order that was taken is confirmed again by every node, after 300 others, and by nodes that all have started anew since from a
// snapshot: its answer may have been lost, and whoever sent it does not know.
func TestChangeRepeatedAfterMany(t *testing.T) {
	d := startCluster(t, 4)
	d.callUntilClear(0, 200, "POST", replaceConfigPath, configBody(1, 0))
	for v := 2; v <= 301; v++ {
		d.callUntilClear(v%4, 200, "POST", replaceConfigPath, configBody(v, v-1))
	}
	again := func() {
		for i := range 4 {
			for _, v := range []int{1, 2, 45, 300, 301} {
				began := time.Now()
				d.callUntilClear(i, 200, "POST", replaceConfigPath, configBody(v, v-1))
				t.Log("node", i, "version", v, "again", time.Since(began))
			}
			d.callUntilClear(i, 412, "POST", replaceConfigPath, configBody(2, 0)) // that number was taken by another
		}
	}
	again()
	for i := range 4 {
		d.kill(i)
	}
	for i := range 4 {
		d.start(i)
	}
	d.eventuallyAll("the newest version", func(s controlapi.NodeStatus) bool { return s.Generation == 301 })
	again()
}

// Eight changes at once on one version, each through a node of its own: one is taken. The same change through eight: it is confirmed to all.
func TestEightConcurrentChanges(t *testing.T) {
	d := startCluster(t, 8)
	d.callUntilClear(0, 200, "POST", replaceConfigPath, configBody(1, 0))
	d.eventuallyAll("the first version", func(s controlapi.NodeStatus) bool { return s.Generation == 1 })
	at := func(body func(i int) string) (taken, lost int) {
		var all sync.WaitGroup
		var answers [8]int
		for i := range answers {
			all.Go(func() { // until its outcome is clear: an ambiguous answer may be of one that was taken
				for end := time.Now().Add(testTimeout); answers[i] != 200 && answers[i] != 412 && time.Now().Before(end); {
					answers[i], _ = d.call(i, "POST", replaceConfigPath, body(i))
				}
			})
		}
		all.Wait()
		for _, a := range answers {
			switch a {
			case 200:
				taken++
			case 412:
				lost++
			}
		}
		return taken, lost
	}
	for v := 1; v < 40; v += 10 {
		taken, lost := at(func(i int) string { return configBody(v+1+i, v) })
		must.Eq(t, [2]int{1, 7}, [2]int{taken, lost})
		now := 0
		d.eventually("one of them", func() bool { now = int(d.status(0).Generation); return now > v })
		taken, _ = at(func(int) string { return configBody(v+10, now) })
		must.Eq(t, 8, taken)
	}
}

// A node that is behind, and knows neither what was taken nor of any backend, refuses nothing by that: neither an order that was taken
// nor one that is valid on the newest state.
func TestLaggingNode(t *testing.T) {
	var fails atomic.Bool
	d := startCluster(t, 4)
	d.eventuallyAll("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	d.callUntilClear(0, 200, "POST", replaceConfigPath, configBody(7, 0))
	d.startBackend("v1-0", "v1", &fails)
	d.startBackend("v2-0", "v2", &fails)
	d.eventuallyAll("the backends", func(s controlapi.NodeStatus) bool { return len(s.Backends) == 2 && s.Generation == 7 })
	entry := func(rev uint64, mark string) *rollout.Entry {
		return &rollout.Entry{Verb: rollout.Start, Service: "s", CallID: mark, Revision: rev, Capacity: rollout.Capacity{PeakInUse: 9}, Spec: &rollout.Spec{
			Service: "s", Old: "v1", New: "v2", Steps: []rollout.Step{{Share: 100, MinTime: rollout.Duration(time.Second)}}}}
	}
	behind := func(do func(h *Node, then func(int, []byte))) (status int) {
		d.eventually("a clear answer", func() bool {
			answer := make(chan int, 1)
			d.inTurn(3, func(h *Node) {
				newest, registry := h.machine, h.registry
				h.machine, h.registry = statemachine.New(), nil
				do(h, func(status int, _ []byte) { answer <- status })
				h.machine, h.registry = newest, registry
			})
			status = <-answer
			return status < 500
		})
		return status
	}
	change := func(body string) int {
		return behind(func(h *Node, then func(int, []byte)) { h.Change(statemachine.KindReplaceConfig, []byte(body), then) })
	}
	orderRollout := func(rev uint64, mark string) int {
		return behind(func(h *Node, then func(int, []byte)) { h.Rollout(entry(rev, mark), false, then) })
	}
	must.Eq(t, 200, change(configBody(7, 0)))
	must.Eq(t, 200, change(configBody(8, 7)))
	must.Eq(t, 412, change(configBody(9, 7)))
	must.Eq(t, 400, change(configBody(8, 8))) // wrong whatever is current
	must.Eq(t, 200, orderRollout(0, "first"))
	must.Eq(t, 200, orderRollout(0, "first"))
	must.Eq(t, 412, orderRollout(0, "second"))
	rev := d.rolloutStatus(0).Rev
	d.callUntilClear(0, 200, "POST", "/api/Rollout.PullBack/s", fmt.Sprintf(`{"number":1,"rev":%d,"mark":"back"}`, rev))
	must.Eq(t, 200, orderRollout(d.rolloutStatus(0).Rev, "third"))
	d.callUntilClear(0, 200, "POST", replaceConfigPath, `{"generation":9,"parent_version":8}`) // what the order names is there no more
	must.Eq(t, 200, orderRollout(0, "first"))
}
