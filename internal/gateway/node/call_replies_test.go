package node

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// inTurn does something in a node's turn.
func (t *testCluster) inTurn(i int, do func(h *Node)) {
	t.running[i].loop.Turn(func() { do(t.running[i]) })
}

// awaitLeader gives the number of the node that leads.
func (t *testCluster) awaitLeader() (leader int) {
	t.t.Helper()
	leader = -1
	t.eventually("a leader", func() bool {
		for i := range t.running {
			t.inTurn(i, func(h *Node) {
				if h.core != nil && h.core.replica.IsLeader() {
					leader = i
				}
			})
		}
		return leader >= 0
	})
	return leader
}

// pause stops nodes in a turn each until goOn is called.
func (t *testCluster) pause(which ...int) (goOn func()) {
	end := make(chan bool)
	for _, i := range which {
		standing := make(chan bool)
		go t.running[i].loop.Turn(func() {
			close(standing)
			<-end
		})
		<-standing
	}
	var once sync.Once
	goOn = func() { once.Do(func() { close(end) }) }
	t.t.Cleanup(goOn) // a test that fails must end all the same
	return goOn
}

// A node that is killed and back before its call was answered numbers its calls anew: the reply to its former incarnation's call must
// not end the one of this incarnation that has the same number, which never left the node.
func TestReplyToFormerIncarnation(t *testing.T) {
	d := startCluster(t, 4)
	d.callUntilClear(3, 200, "POST", "/api/Config.Replace", configBody(7, 0))
	leader, is, answer, nr := 0, false, make(chan int, 1), uint32(0)
	hasSlot := func(h *Node) bool {
		return h.slot() != membership.NoSlot && h.streamReceiver.upstream == d.running[leader].peerAddr && h.streamReceiver.answeredAt >= h.streamReceiver.requestedAt
	}
	d.eventually("to follow the leader", func() bool {
		leader = d.awaitLeader()
		d.inTurn(3, func(h *Node) {
			if h.streamReceiver.upstream != d.running[leader].peerAddr {
				h.streamReceiver.request(d.running[leader].peerAddr)
			}
			is = hasSlot(h) && len(h.calls.pending) == 0
		})
		return is
	})
	before, led := uint32(0), true
	d.inTurn(leader, func(h *Node) { before = h.calls.lastSequence })
	leads := func() bool { // on a busy machine the lead may be lost meanwhile: then this shows nothing
		d.inTurn(leader, func(h *Node) { led = led && h.core.replica.IsLeader() })
		return led
	}
	goOn := d.pause((leader+1)%3, (leader+2)%3) // nothing is acknowledged now
	d.inTurn(3, func(h *Node) {
		h.callLeader(statemachine.KindReplaceConfig, []byte(configBody(8, 7)), 0, func(int, []byte) {})
		nr = h.calls.lastSequence
	})
	d.eventually("the call at the leader", func() bool {
		d.inTurn(leader, func(h *Node) { is = h.calls.lastSequence > before })
		return is || !leads()
	})
	d.kill(3)
	d.start(3)
	d.eventually("the next incarnation to receive the log", func() bool {
		d.inTurn(3, func(h *Node) { is = hasSlot(h) })
		return is || !leads()
	})
	d.inTurn(3, func(h *Node) {
		h.calls.lastSequence = nr - 1
		h.callLeader(statemachine.KindReplaceConfig, []byte(configBody(9, 8)), maxHops, func(status int, _ []byte) { answer <- status }) // goes nowhere
	})
	goOn()
	must.Eq(t, 503, <-answer)
	if leads() {
		d.eventuallyAll("the former incarnation's change", func(s controlapi.NodeStatus) bool { return s.Generation == 8 })
	}
}

// permutations calls do with each order of n messages.
func permutations(n int, do func(order []int)) {
	var step func(order []int)
	step = func(order []int) {
		if len(order) == n {
			do(order)
		}
		for i := range n {
			if !slices.Contains(order, i) {
				step(append(slices.Clone(order), i))
			}
		}
	}
	step(nil)
}

// Replies come in all orders, twice, from a former incarnation, from a node that the call was never sent to, and late from one that it was sent
// to before another: each call ends once, with its own reply.
func TestRepliesInAllOrders(t *testing.T) {
	d := startCluster(t, 1)
	h := d.running[0]
	misled := func(knobs TestingKnobs) (n int) {
		h.knobs = knobs
		defer func() { h.knobs = TestingKnobs{} }()
		permutations(7, func(order []int) {
			got := [2][]string{}
			for i := range got {
				h.calls.lastSequence++
				h.calls.pending[h.calls.lastSequence] = &pendingCall{kind: ReadConfig, deadline: h.loop.Now() + callTimeout,
					recipients: []string{"x:1", "y:1"}[:i+1], sentTo: "xy"[i:i+1] + ":1",
					done: func(status int, body []byte) { got[i] = append(got[i], fmt.Sprint(status, string(body))) }}
			}
			a, b := h.calls.lastSequence-1, h.calls.lastSequence
			all := []struct {
				from string
				WireReply
			}{{"x:1", WireReply{h.incarnation, a, 200, []byte("a")}}, {"x:1", WireReply{h.incarnation, a, 200, []byte("a")}},
				{"y:1", WireReply{h.incarnation, b, 412, []byte("b")}}, {"x:1", WireReply{h.incarnation, b, 503, []byte(replication.OutcomeUnknown.String())}},
				{"x:1", WireReply{h.incarnation + 1, b, 200, nil}}, {"z:1", WireReply{h.incarnation, b, 200, nil}}, {"y:1", WireReply{h.incarnation, b + 1, 200, nil}}}
			for _, i := range order {
				h.FrameReceived(all[i].from, &Frame{Reply: &all[i].WireReply})
			}
			if !slices.Equal(got[0], []string{"200a"}) || !slices.Equal(got[1], []string{"412b"}) {
				n++
			}
			clear(h.calls.pending)
		})
		return n
	}
	d.inTurn(0, func(h *Node) {
		h.openLogStream() // a node that has just begun keeps calls pending, later it would end them at once
		must.Eq(t, 0, misled(TestingKnobs{}))
		must.Positive(t, misled(TestingKnobs{MatchRepliesBySequence: true}))
	})
}
