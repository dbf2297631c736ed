package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// split cuts two nodes from each other, both ways.
func (tr *fleet) split(a, b Slot) { tr.cut[[2]Slot{a, b}], tr.cut[[2]Slot{b, a}] = true, true }

// drains has a backend say at a node that it leaves, and gives the answer, if there is one at once.
func (tr *fleet) drains(s *backend, at Slot) (a Acknowledge, answered bool) {
	s.Seq, s.Phase = s.Seq+1, Draining
	ticket := tr.registries[at].Beat(s.Record)
	tr.pump()
	a, answered = tr.acks[at][ticket]
	return a, answered
}

// An end is acknowledged on the copies that may be lost and one more, however few nodes are heard: in the first moments of a cut a
// node without a disk heard its feeder alone, and a node with a disk only those who follow it, and "all that are heard have it" was
// taken for enough. Where too few are heard the answer is unclear at once, so that the backend turns to the next node.
func TestEndsRestOnEnoughDisks(t *testing.T) {
	for _, at := range []Slot{0, 3} {
		tr := open(t, 5, 3)
		s := server(1)
		tr.beat(s, 1)
		tr.step(time.Second)
		for _, cutOff := range []Slot{at, 0} { // the node itself, and the one that node 3 follows
			for _, o := range []Slot{1, 2} {
				tr.split(cutOff, o)
			}
		}
		tr.meet()
		a, answered := tr.drains(s, at)
		must.True(t, answered, must.Sprint("at ", at))
		must.False(t, a.OK, must.Sprint("at ", at))
		tr.cut = map[[2]Slot]bool{}
		tr.meet()
		a, answered = tr.drains(s, at)
		must.True(t, answered && a.OK, must.Sprint("at ", at))
		tr.phases(s.ID, Draining)
	}
}

// A node with a disk whose other half is heard no more than by its followers waits for none of them in vain: one other disk of two
// that is heard and silent leaves the end unclear, and one that confirms is enough.
func TestEndsWaitForADisk(t *testing.T) {
	tr := open(t, 4, 3)
	s := server(1)
	tr.beat(s, 0)
	tr.step(time.Second)
	tr.split(0, 2)
	tr.meet()
	tr.split(0, 1) // and that nobody has noticed
	_, answered := tr.drains(s, 0)
	must.False(t, answered)
	tr.step(waitEnough)
	for ticket, a := range tr.acks[0] {
		must.True(t, !a.OK || ticket < tr.registries[0].tail)
	}
	delete(tr.cut, [2]Slot{0, 1})
	delete(tr.cut, [2]Slot{1, 0})
	tr.step(time.Second)
	a, answered := tr.drains(s, 0)
	must.True(t, answered && a.OK)
}

// The word of an end may come first in a beat that is passed on, when what else the node is told waits for its confirmations. It goes
// on from there as any other does: once it was known the word itself told nothing new, and those who follow never had it.
func TestEndInAPassedOnBeatGoesOn(t *testing.T) {
	for registrar := range Slot(3) {
		tr := open(t, 6, 3)
		s := server(1)
		tr.beat(s, 0)
		tr.beat(s, s.target)
		tr.step(time.Second)
		w := s.Record
		w.Seq, w.Phase, w.Drained, w.Keeper, w.Missed = s.Seq+1, Draining, true, None, None
		tr.registries[registrar].Heard(5, Message{Beats: []Record{w}})
		tr.pump()
		tr.phases(s.ID, Draining)
	}
}

// Two nodes with a disk that are cut from each other alone both have word of a majority by the third, and both are followed. What one
// is told of an end reaches the other by the third, whoever is told first: also what was under way when the cut was noticed.
func TestEndsGoRoundACutBetweenTwo(t *testing.T) {
	for at := range Slot(6) {
		for _, noticed := range []bool{true, false} {
			for i := range 6 { // kept by one or another
				endsGoRound(t, server(i), at, noticed)
			}
		}
	}
}

func endsGoRound(t *testing.T, s *backend, at Slot, noticed bool) {
	tr := open(t, 6, 3)
	tr.beat(s, 2)
	tr.step(time.Second)
	tr.split(0, 1)
	if at == 5 { // which follows 0, and reaches 2 besides
		tr.split(5, 1)
	}
	if noticed {
		tr.meet()
	}
	tr.drains(s, at)
	if !noticed {
		tr.step(600 * ms)
		tr.meet()
	}
	tr.step(100 * ms)
	tr.phases(s.ID, Draining)
	before := tr.messages
	tr.step(5 * beat / 2)
	must.LessEq(t, before+60, tr.messages, must.Sprint("it goes round for good, at ", at))
}

// Who follows anew is told of ends too, though a backend that has left is none of those that there are: it would go on being sent
// requests for as long as the whole list may take.
func TestWhoFollowsAnewIsToldOfEnds(t *testing.T) {
	tr := open(t, 4, 3)
	s := server(1)
	tr.beat(s, 1)
	tr.step(time.Second)
	tr.split(3, 0) // its feeder: it hears nobody for a while
	for o := range Slot(2) {
		tr.split(3, o+1)
	}
	tr.meet()
	tr.drains(s, 1)
	tr.registries[1].Leave(s.ID, 9)
	tr.step(time.Second)
	must.Eq(t, Ready, tr.views[3][s.ID].Phase)
	tr.cut = map[[2]Slot]bool{}
	tr.split(3, 0)
	tr.meet()
	tr.step(100 * ms)
	must.Eq(t, Gone, tr.views[3][s.ID].Phase)
}
