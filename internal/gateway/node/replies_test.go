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

// turn is something done, or looked at, in a node's turn.
func (d *nodes) turn(i int, do func(h *Node)) { d.live[i].e.Turn(func() { do(d.live[i]) }) }

// leader is the number of the node that leads.
func (d *nodes) leader() (leader int) {
	d.t.Helper()
	leader = -1
	d.until("a leader", func() bool {
		for i := range d.live {
			d.turn(i, func(h *Node) {
				if h.core != nil && h.core.p.IsLeader() {
					leader = i
				}
			})
		}
		return leader >= 0
	})
	return leader
}

// still holds nodes in a turn each until they are told to go on.
func (d *nodes) still(which ...int) (goOn func()) {
	end := make(chan bool)
	for _, i := range which {
		standing := make(chan bool)
		go d.live[i].e.Turn(func() {
			close(standing)
			<-end
		})
		<-standing
	}
	var once sync.Once
	goOn = func() { once.Do(func() { close(end) }) }
	d.t.Cleanup(goOn) // a test that fails must end all the same
	return goOn
}

// A node that is killed and back before its call was answered numbers its calls anew: the answer to its former life's call must
// not end the one of this life that bears the same number, which never left the node.
func TestReplyOfAFormerLife(t *testing.T) {
	d := open(t, 4)
	d.settles(3, 200, "POST", "/api/Config.Replace", config(7, 0))
	leader, is, answer, nr := 0, false, make(chan int, 1), uint32(0)
	hasSlot := func(h *Node) bool {
		return h.slot() != membership.NoSlot && h.feeder == d.live[leader].inner && h.fedAt >= h.askedAt
	}
	d.until("to follow the leader", func() bool {
		leader = d.leader()
		d.turn(3, func(h *Node) {
			if h.feeder != d.live[leader].inner {
				h.follow(d.live[leader].inner)
			}
			is = hasSlot(h) && len(h.calls) == 0
		})
		return is
	})
	before, led := uint32(0), true
	d.turn(leader, func(h *Node) { before = h.callNr })
	leads := func() bool { // on a machine that is busy it may be lost meanwhile: then this shows nothing
		d.turn(leader, func(h *Node) { led = led && h.core.p.IsLeader() })
		return led
	}
	goOn := d.still((leader+1)%3, (leader+2)%3) // nothing is acknowledged now
	d.turn(3, func(h *Node) {
		h.ask(statemachine.KindReplaceConfig, []byte(config(8, 7)), 0, func(int, []byte) {})
		nr = h.callNr
	})
	d.until("the call at the leader", func() bool {
		d.turn(leader, func(h *Node) { is = h.callNr > before })
		return is || !leads()
	})
	d.kill(3)
	d.start(3)
	d.until("the next life to be fed", func() bool {
		d.turn(3, func(h *Node) { is = hasSlot(h) })
		return is || !leads()
	})
	d.turn(3, func(h *Node) {
		h.callNr = nr - 1
		h.ask(statemachine.KindReplaceConfig, []byte(config(9, 8)), hopsMost, func(status int, _ []byte) { answer <- status }) // goes nowhere
	})
	goOn()
	must.Eq(t, 503, <-answer)
	if leads() {
		d.all("the former life's change", func(s controlapi.NodeStatus) bool { return s.Generation == 8 })
	}
}

// orders calls do with all orders of n messages.
func orders(n int, do func(order []int)) {
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

// Answers come in all orders, twice, from a former life, from a node that was never asked, and late from one that was asked
// before another: each call ends once, with its own answer.
func TestRepliesInAllOrders(t *testing.T) {
	d := open(t, 1)
	h := d.live[0]
	misled := func(f fault) (n int) {
		h.fault = f
		defer func() { h.fault = sound }()
		orders(7, func(order []int) {
			got := [2][]string{}
			for i := range got {
				h.callNr++
				h.calls[h.callNr] = &call{kind: Read, until: h.e.Now() + callFor, asked: []string{"x:1", "y:1"}[:i+1], sent: "xy"[i:i+1] + ":1",
					then: func(status int, body []byte) { got[i] = append(got[i], fmt.Sprint(status, string(body))) }}
			}
			a, b := h.callNr-1, h.callNr
			all := []struct {
				from string
				Reply
			}{{"x:1", Reply{h.life, a, 200, []byte("a")}}, {"x:1", Reply{h.life, a, 200, []byte("a")}},
				{"y:1", Reply{h.life, b, 412, []byte("b")}}, {"x:1", Reply{h.life, b, 503, []byte(replication.OutcomeUnknown.String())}},
				{"x:1", Reply{h.life + 1, b, 200, nil}}, {"z:1", Reply{h.life, b, 200, nil}}, {"y:1", Reply{h.life, b + 1, 200, nil}}}
			for _, i := range order {
				h.Heard(all[i].from, &Frame{Reply: &all[i].Reply})
			}
			if !slices.Equal(got[0], []string{"200a"}) || !slices.Equal(got[1], []string{"412b"}) {
				n++
			}
			clear(h.calls)
		})
		return n
	}
	d.turn(0, func(h *Node) {
		h.beganAt = h.e.Now() // one that has just begun waits for whoever leads, later it would end calls at once
		must.Eq(t, 0, misled(sound))
		must.Positive(t, misled(numberAlone))
	})
}
