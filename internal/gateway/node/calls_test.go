package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A call that is on its way to a leader which stands still goes to the one that leads next, once that is known here: it does not
// wait for an answer that never comes.
func TestCallFollowsTheLead(t *testing.T) {
	d := prepare(t, 3)
	for i := range d.settings { // a node whose word is older than half of this ends calls at once: on a busy machine a view takes long
		d.settings[i].Bounds.InTouch = 2 * patience
		d.start(i)
	}
	d.settles(0, 200, "POST", "/api/Config.Replace", config(7, 0))
	leader := -1
	d.until("a leader", func() bool {
		for i, h := range d.live {
			h.e.Turn(func() {
				if h.core.p.IsLeader() {
					leader = i
				}
			})
		}
		return leader >= 0
	})
	still, goOn := make(chan bool), make(chan bool)
	go d.live[leader].e.Turn(func() {
		close(still)
		<-goOn
	})
	<-still
	defer close(goOn)
	h, answer := d.live[(leader+1)%3], make(chan int, 1)
	h.e.Turn(func() {
		h.ask(Read, nil, 0, func(status int, _ []byte) { answer <- status })
		must.Eq(t, d.live[leader].inner, h.calls[h.callNr].sent)
		h.calls[h.callNr].until = h.e.Now() + patience
	})
	must.Eq(t, 200, <-answer)
}
