package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partition cuts two nodes from each other, both ways.
func (f *fleet) partition(a, b Slot) {
	f.partitioned[[2]Slot{a, b}], f.partitioned[[2]Slot{b, a}] = true, true
}

// drain has a backend say at a node that it leaves, and gives the answer, if there is one at once.
func (f *fleet) drain(s *backend, at Slot) (a Acknowledge, answered bool) {
	s.Seq, s.Phase = s.Seq+1, Draining
	ticket := f.registries[at].Heartbeat(s.Record)
	f.deliverAll()
	a, answered = f.acks[at][ticket]
	return a, answered
}

// An end is acknowledged on the copies that may be lost and one more, however few nodes are heard: in the first moments of a cut a
// node without a disk heard its feeder alone, and a node with a disk only those who follow it, and "all that are heard have it" was
// taken for enough. Where too few are heard the answer is unclear at once, so that the backend turns to the next node.
func TestDepartureNeedsMinCopies(t *testing.T) {
	for _, at := range []Slot{0, 3} {
		tr := newFleet(t, 5, 3)
		s := newBackend(1)
		tr.heartbeat(s, 1)
		tr.advance(time.Second)
		for _, cutOff := range []Slot{at, 0} { // the node itself, and the one that node 3 follows
			for _, o := range []Slot{1, 2} {
				tr.partition(cutOff, o)
			}
		}
		tr.updateNodes()
		a, answered := tr.drain(s, at)
		must.True(t, answered, must.Sprint("at ", at))
		must.False(t, a.Confirmed, must.Sprint("at ", at))
		tr.partitioned = map[[2]Slot]bool{}
		tr.updateNodes()
		a, answered = tr.drain(s, at)
		must.True(t, answered && a.Confirmed, must.Sprint("at ", at))
		tr.requirePhase(s.ID, Draining)
	}
}

// A node with a disk whose other half is heard no more than by its followers waits for none of them in vain: one other disk of two
// that is heard and silent leaves the end unclear, and one that confirms is enough.
func TestDepartureWaitsForAnotherDisk(t *testing.T) {
	tr := newFleet(t, 4, 3)
	s := newBackend(1)
	tr.heartbeat(s, 0)
	tr.advance(time.Second)
	tr.partition(0, 2)
	tr.updateNodes()
	tr.partition(0, 1) // and that nobody has noticed
	_, answered := tr.drain(s, 0)
	must.False(t, answered)
	tr.advance(minCopiesTimeout)
	for ticket, a := range tr.acks[0] {
		must.True(t, !a.Confirmed || ticket < tr.registries[0].lastTicket)
	}
	delete(tr.partitioned, [2]Slot{0, 1})
	delete(tr.partitioned, [2]Slot{1, 0})
	tr.advance(time.Second)
	a, answered := tr.drain(s, 0)
	must.True(t, answered && a.Confirmed)
}

// The word of an end may come first in a beat that is passed on, when what else the node is told waits for its confirmations. It goes
// on from there as any other does: once it was known the word itself told nothing new, and those who follow never had it.
func TestDepartureInRelayedHeartbeatIsBroadcast(t *testing.T) {
	for registrar := range Slot(3) {
		tr := newFleet(t, 6, 3)
		s := newBackend(1)
		tr.heartbeat(s, 0)
		tr.heartbeat(s, s.target)
		tr.advance(time.Second)
		w := s.Record
		w.Seq, w.Phase, w.Draining, w.Owner, w.LostOwner = s.Seq+1, Draining, true, NoSlot, NoSlot
		tr.registries[registrar].Receive(5, Message{Heartbeats: []Record{w}})
		tr.deliverAll()
		tr.requirePhase(s.ID, Draining)
	}
}

// Two nodes with a disk that are cut from each other alone both have word of a majority by the third, and both are followed. What one
// is told of an end reaches the other by the third, whoever is told first: also what was under way when the cut was noticed.
func TestDeparturesGoAroundAPartition(t *testing.T) {
	for at := range Slot(6) {
		for _, noticed := range []bool{true, false} {
			for i := range 6 { // kept by one or another
				requireDrainAroundPartition(t, newBackend(i), at, noticed)
			}
		}
	}
}

func requireDrainAroundPartition(t *testing.T, s *backend, at Slot, noticed bool) {
	tr := newFleet(t, 6, 3)
	tr.heartbeat(s, 2)
	tr.advance(time.Second)
	tr.partition(0, 1)
	if at == 5 { // which follows 0, and reaches 2 besides
		tr.partition(5, 1)
	}
	if noticed {
		tr.updateNodes()
	}
	tr.drain(s, at)
	if !noticed {
		tr.advance(600 * ms)
		tr.updateNodes()
	}
	tr.advance(100 * ms)
	tr.requirePhase(s.ID, Draining)
	before := tr.messages
	tr.advance(5 * heartbeatInterval / 2)
	must.LessEq(t, before+60, tr.messages, must.Sprint("it goes round for good, at ", at))
}

// Who follows anew is told of ends too, though a backend that has left is none of those that there are: it would go on being sent
// requests for as long as the whole list may take.
func TestNewFollowerReceivesDepartures(t *testing.T) {
	tr := newFleet(t, 4, 3)
	s := newBackend(1)
	tr.heartbeat(s, 1)
	tr.advance(time.Second)
	tr.partition(3, 0) // its feeder: it hears nobody for a while
	for o := range Slot(2) {
		tr.partition(3, o+1)
	}
	tr.updateNodes()
	tr.drain(s, 1)
	tr.registries[1].Deregister(s.ID, 9)
	tr.advance(time.Second)
	must.Eq(t, Ready, tr.views[3][s.ID].Phase)
	tr.partitioned = map[[2]Slot]bool{}
	tr.partition(3, 0)
	tr.updateNodes()
	tr.advance(100 * ms)
	must.Eq(t, Gone, tr.views[3][s.ID].Phase)
}
