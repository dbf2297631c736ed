package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partition loses what two nodes send each other.
func (f *fleet) partition(a, b Slot) {
	f.partitioned[[2]Slot{a, b}], f.partitioned[[2]Slot{b, a}] = true, true
}

// drain has a backend call a node that it is draining, and gives the answer, if there is one at once.
func (f *fleet) drain(s *backend, at Slot) (a Acknowledge, answered bool) {
	s.Seq, s.Phase = s.Seq+1, Draining
	ticket := f.registries[at].Heartbeat(s.Record)
	f.deliverAll()
	a, answered = f.acks[at][ticket]
	return a, answered
}

// A departure is confirmed on the copies that may be lost and one more, however few nodes are in reach: in the first moments of a partition a
// node without a disk reached its upstream alone, and a node with a disk only its followers, and "all in reach have it" was taken for enough.
// Where too few are in reach the call fails at once, so that the backend turns to the next node.
func TestDepartureNeedsMinCopies(t *testing.T) {
	for _, at := range []Slot{0, 3} {
		f := newFleet(t, 5, 3)
		s := newBackend(1)
		f.heartbeat(s, 1)
		f.advance(time.Second)
		for _, isolated := range []Slot{at, 0} { // the node itself, and the one that node 3 follows
			for _, o := range []Slot{1, 2} {
				f.partition(isolated, o)
			}
		}
		f.updateNodes()
		a, answered := f.drain(s, at)
		must.True(t, answered, must.Sprint("at ", at))
		must.False(t, a.Confirmed, must.Sprint("at ", at))
		f.partitioned = map[[2]Slot]bool{}
		f.updateNodes()
		a, answered = f.drain(s, at)
		must.True(t, answered && a.Confirmed, must.Sprint("at ", at))
		f.requirePhase(s.ID, Draining)
	}
}

// One other disk of two that is in reach and acknowledges nothing leaves the departure unconfirmed; one that acknowledges it is enough, and
// followers are not waited for in vain.
func TestDepartureWaitsForAnotherDisk(t *testing.T) {
	f := newFleet(t, 4, 3)
	s := newBackend(1)
	f.heartbeat(s, 0)
	f.advance(time.Second)
	f.partition(0, 2)
	f.updateNodes()
	f.partition(0, 1) // which nobody has noticed
	_, answered := f.drain(s, 0)
	must.False(t, answered)
	f.advance(minCopiesTimeout)
	for ticket, a := range f.acks[0] {
		must.True(t, !a.Confirmed || ticket < f.registries[0].lastTicket)
	}
	delete(f.partitioned, [2]Slot{0, 1})
	delete(f.partitioned, [2]Slot{1, 0})
	f.advance(time.Second)
	a, answered := f.drain(s, 0)
	must.True(t, answered && a.Confirmed)
}

// A departure may come first in a relayed heartbeat, while the updates to this node wait for its acknowledgements. It is sent on as any other is.
// Guards against followers that never had it: by the time its update came, it was no news.
func TestDepartureInRelayedHeartbeatIsBroadcast(t *testing.T) {
	for registrar := range Slot(3) {
		f := newFleet(t, 6, 3)
		s := newBackend(1)
		f.heartbeat(s, 0)
		f.heartbeat(s, s.target)
		f.advance(time.Second)
		w := s.Record
		w.Seq, w.Phase, w.Draining, w.Owner, w.LostOwner = s.Seq+1, Draining, true, NoSlot, NoSlot
		f.registries[registrar].Receive(5, Message{Heartbeats: []Record{w}})
		f.deliverAll()
		f.requirePhase(s.ID, Draining)
	}
}

// Two nodes with a disk that are partitioned from each other alone both reach a majority by the third, and both have followers. A departure that one
// has reaches the other by the third, whoever has it first: also one that was in flight when the partition was noticed.
func TestDeparturesGoAroundAPartition(t *testing.T) {
	for at := range Slot(6) {
		for _, noticed := range []bool{true, false} {
			for i := range 6 { // owned by one or another
				requireDrainAroundPartition(t, newBackend(i), at, noticed)
			}
		}
	}
}

func requireDrainAroundPartition(t *testing.T, s *backend, at Slot, noticed bool) {
	t.Helper()
	f := newFleet(t, 6, 3)
	f.heartbeat(s, 2)
	f.advance(time.Second)
	f.partition(0, 1)
	if at == 5 { // which follows 0, and reaches 2 besides
		f.partition(5, 1)
	}
	if noticed {
		f.updateNodes()
	}
	f.drain(s, at)
	if !noticed {
		f.advance(600 * ms)
		f.updateNodes()
	}
	f.advance(100 * ms)
	f.requirePhase(s.ID, Draining)
	before := f.messages
	f.advance(5 * heartbeatInterval / 2)
	must.LessEq(t, before+60, f.messages, must.Sprint("it is sent around for ever, at ", at))
}

// A new follower is sent departures too, though a backend that has deregistered is none of those that there are. Guards against requests that
// go there for as long as the full sync takes.
func TestNewFollowerReceivesDepartures(t *testing.T) {
	f := newFleet(t, 4, 3)
	s := newBackend(1)
	f.heartbeat(s, 1)
	f.advance(time.Second)
	f.partition(3, 0) // its upstream: it reaches nobody for a while
	for o := range Slot(2) {
		f.partition(3, o+1)
	}
	f.updateNodes()
	f.drain(s, 1)
	f.registries[1].Deregister(s.ID)
	f.advance(time.Second)
	must.Eq(t, Ready, f.views[3][s.ID].Phase)
	f.partitioned = map[[2]Slot]bool{}
	f.partition(3, 0)
	f.updateNodes()
	f.advance(100 * ms)
	must.Eq(t, Gone, f.views[3][s.ID].Phase)
}
