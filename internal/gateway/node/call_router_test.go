package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A call that is in flight to a paused leader goes to its successor, once that is known here: the reply of the first never comes.
func TestCallFollowsTheLeader(t *testing.T) {
	d := newCluster(t, 3)
	for i := range d.settings { // a node whose contact is older than half of this ends calls at once: on a busy machine an election takes long
		d.settings[i].Bounds.InTouch = 2 * testTimeout
		d.start(i)
	}
	d.callUntilClear(0, 200, "POST", "/api/Config.Replace", configBody(7, 0))
	leader := -1
	d.eventually("a leader", func() bool {
		for i, h := range d.running {
			h.loop.Turn(func() {
				if h.core.replica.IsLeader() {
					leader = i
				}
			})
		}
		return leader >= 0
	})
	still, goOn := make(chan bool), make(chan bool)
	go d.running[leader].loop.Turn(func() {
		close(still)
		<-goOn
	})
	<-still
	defer close(goOn)
	h, answer := d.running[(leader+1)%3], make(chan int, 1)
	h.loop.Turn(func() {
		h.callLeader(ReadConfig, nil, 0, func(status int, _ []byte) { answer <- status })
		must.Eq(t, d.running[leader].peerAddr, h.calls.pending[h.calls.lastSequence].sentTo)
		h.calls.pending[h.calls.lastSequence].deadline = h.loop.Now() + testTimeout
	})
	must.Eq(t, 200, <-answer)
}
