package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// storeDepartures stores departures on a node's disk, or queues them if the disk refuses writes.
func (f *fleet) storeDepartures(node Slot, departures []Departure) {
	if f.failing[node] {
		f.queued[node] = append(f.queued[node], departures...)
		return
	}
	if f.stored[node] == nil {
		f.stored[node] = map[string]Departure{}
	}
	for _, d := range departures {
		f.stored[node][d.ID] = d
	}
	f.registries[node].DeparturesStored(departures)
}

// repairDisk lets a disk store the departures that it has refused.
func (f *fleet) repairDisk(node Slot) {
	departures := f.queued[node]
	delete(f.failing, node)
	delete(f.queued, node)
	f.storeDepartures(node, departures)
	f.deliverAll()
}

// killAll ends all processes, and starts them again with what their disks hold. The stored backends are as old as softState, the records by
// node. Departures that a disk has refused are lost.
func (f *fleet) killAll(softState map[Slot][]Record) {
	f.queued = map[Slot][]Departure{}
	f.now += 500 * ms
	for s := range Slot(len(f.registries)) {
		f.startNode(s)
		var departures []Departure
		for _, d := range f.stored[s] {
			departures = append(departures, d)
		}
		f.registries[s].RestoreDepartures(departures)
		f.registries[s].Restore(softState[s])
	}
	f.updateNodes()
	f.advanceClock(time.Second)
}

// softStates returns what each node with a disk would store of its backends now.
func (f *fleet) softStates() map[Slot][]Record {
	states := map[Slot][]Record{}
	for s := range Slot(f.disks) {
		states[s] = f.registries[s].Backends()
	}
	return states
}

// deregister has a backend deregister at the node receiver. The results are the answer and whether the node has answered yet.
func (f *fleet) deregister(id string, receiver Slot) (a Acknowledge, answered bool) {
	ticket := f.registries[receiver].Deregister(id)
	f.deliverAll()
	a, answered = f.acks[receiver][ticket]
	return a, answered
}

// TestAcknowledgedLeaveSurvivesKillOfAllNodes guards against requests to a backend whose Backends.Leave was acknowledged before all
// processes were killed. The backend makes no further call. The leave may be taken by any node, also by one without a disk, and any
// disk may be lost with the kill. The stored backends are from before the leave.
func TestAcknowledgedLeaveSurvivesKillOfAllNodes(t *testing.T) {
	for receiver := range Slot(5) {
		for lostDisk := NoSlot; lostDisk < 3; lostDisk++ {
			f := newFleet(t, 5, 3)
			b := newBackend(1)
			f.sendHeartbeat(b, 1)
			f.advanceClock(time.Second)
			before := f.softStates()
			a, answered := f.deregister(b.ID, receiver)
			must.True(t, answered && a.Confirmed, must.Sprint("leave at node ", receiver))
			delete(f.stored, lostDisk)
			delete(before, lostDisk)
			f.killAll(before)
			f.requirePhase(b.ID, Gone)
			f.killAll(before) // a second kill soon after the start
			f.requirePhase(b.ID, Gone)
			must.False(t, f.registries[0].HasReadyBackend(), must.Sprint("leave at node ", receiver, ", lost disk of node ", lostDisk))
		}
	}
}

// TestAcknowledgedDrainSurvivesKillOfAllNodes guards against requests to a backend that has reported that it is draining and whose next
// heartbeat does not come.
func TestAcknowledgedDrainSurvivesKillOfAllNodes(t *testing.T) {
	for receiver := range Slot(5) {
		f := newFleet(t, 5, 3)
		b := newBackend(1)
		f.sendHeartbeat(b, 1)
		f.advanceClock(time.Second)
		before := f.softStates()
		a, answered := f.sendDrainCall(b, receiver)
		must.True(t, answered && a.Confirmed)
		f.killAll(before)
		f.requirePhase(b.ID, Draining)
	}
}

// TestDepartureIsNotConfirmedBeforeStored guards against a departure that is confirmed while too few disks have it. A disk that refuses
// writes does not count, and does not delay the confirmation by the other disks.
func TestDepartureIsNotConfirmedBeforeStored(t *testing.T) {
	for _, c := range []struct {
		name    string
		failing []Slot
		want    bool
	}{
		{"one disk of three fails", []Slot{0}, true},
		{"two disks of three fail", []Slot{0, 2}, false},
		{"all disks fail", []Slot{0, 1, 2}, false},
	} {
		for receiver := range Slot(5) {
			what := fmt.Sprint(c.name, ", leave at node ", receiver)
			f := newFleet(t, 5, 3)
			b := newBackend(1)
			f.sendHeartbeat(b, 1)
			f.advanceClock(time.Second)
			for _, s := range c.failing {
				f.failing[s] = true
			}
			a, answered := f.deregister(b.ID, receiver)
			must.Eq(t, c.want, answered, must.Sprint(what))
			must.Eq(t, c.want, a.Confirmed, must.Sprint(what))
			f.requirePhase(b.ID, Gone) // No node sends requests to the backend, whatever the disks do.
			for _, s := range c.failing {
				f.repairDisk(s)
			}
			a = f.acks[receiver][f.registries[receiver].lastTicket]
			must.True(t, a.Confirmed, must.Sprint(what, ", after the repair"))
		}
	}
}

// TestUnstoredDepartureFailsInTime guards against a call that is never answered while the disks refuse writes.
func TestUnstoredDepartureFailsInTime(t *testing.T) {
	f := newFleet(t, 5, 3)
	b := newBackend(1)
	f.sendHeartbeat(b, 1)
	f.failing[0], f.failing[1], f.failing[2] = true, true, true
	for receiver := range Slot(5) {
		f.deregister(b.ID, receiver)
		f.advanceClock(minCopiesTimeout)
		a, answered := f.acks[receiver][f.registries[receiver].lastTicket]
		must.True(t, answered && !a.Confirmed)
	}
	f.repairDisk(0)
	f.repairDisk(1)
	a, answered := f.deregister(b.ID, 1) // the backend calls again
	must.True(t, answered && a.Confirmed)
}

// TestNewBackendAtAddressOfDepartedBackend guards against a new backend that gets no requests because a departed backend with the same
// address was restored, and against requests to the departed one.
func TestNewBackendAtAddressOfDepartedBackend(t *testing.T) {
	f := newFleet(t, 5, 3)
	departed := newBackend(1)
	f.sendHeartbeat(departed, 1)
	f.advanceClock(time.Second)
	before := f.softStates()
	a, _ := f.deregister(departed.ID, 4)
	must.True(t, a.Confirmed)
	f.killAll(before)
	successor := newBackend(2)
	successor.Addr = departed.Addr
	f.sendHeartbeat(successor, 2)
	f.advanceClock(time.Second)
	f.requirePhase(departed.ID, Gone)
	f.requirePhase(successor.ID, Ready)
}

// TestWholeServiceLeavesAtOnce guards against departures that are stored one by one. Those that arrive while a disk writes must be stored
// together.
func TestWholeServiceLeavesAtOnce(t *testing.T) {
	const backends = 300
	f := newFleet(t, 5, 3)
	for i := range backends {
		f.sendHeartbeat(newBackend(i), Slot(i%5))
	}
	f.advanceClock(time.Second)
	before := f.softStates()
	clear(f.acks[3])
	for i := range backends {
		f.registries[3].Deregister(newBackend(i).ID)
	}
	f.failing[0], f.failing[1], f.failing[2] = true, true, true // until the disks are repaired, all of them write
	f.deliverAll()
	must.MapEmpty(t, f.acks[3])
	for s := range Slot(3) {
		must.SliceLen(t, backends, f.queued[s])
		f.repairDisk(s)
	}
	must.MapLen(t, backends, f.acks[3])
	for _, a := range f.acks[3] {
		must.True(t, a.Confirmed)
	}
	f.killAll(before)
	for i := range backends {
		f.requirePhase(newBackend(i).ID, Gone)
	}
}

// TestOldProgramCountsByItsAcknowledgement guards against departures that are never confirmed beside nodes of an older program, which
// do not report what their disks have.
func TestOldProgramCountsByItsAcknowledgement(t *testing.T) {
	r := New(0, Config{HeartbeatInterval: heartbeatInterval, MinCopies: 2, HasDisk: true}, 0)
	r.SetNodes([]Node{{Slot: 0, HasDisk: true}, {Slot: 1, HasDisk: true, Live: true}})
	ticket := r.Deregister("i-1")
	var sent, confirmed bool
	for a, ok := r.Next(); ok; a, ok = r.Next() {
		switch a := a.(type) {
		case StoreDepartures:
			r.DeparturesStored(a.Departures)
		case Send:
			sent = true
			r.Receive(1, Message{Acks: []uint64{a.Message.Seq}})
		case Acknowledge:
			confirmed = a.Confirmed && a.Ticket == ticket
		}
	}
	must.True(t, sent)
	must.True(t, confirmed)
}

// TestForgottenBackendsAreNotRetained guards against a disk that fills with departures of backends that the registry no longer remembers.
func TestForgottenBackendsAreNotRetained(t *testing.T) {
	f := newFleet(t, 3, 3)
	b := newBackend(1)
	f.sendHeartbeat(b, 1)
	f.deregister(b.ID, 1)
	must.Eq(t, []string{b.ID}, f.registries[2].DepartingIDs())
	f.sendHeartbeat(newBackend(2), 1) // a live backend keeps the scans going
	f.advanceClock(tombstoneTTL / 2)
	must.Eq(t, []string{b.ID}, f.registries[2].DepartingIDs())
	for end := f.now + tombstoneTTL; f.now < end; {
		f.advanceClock(time.Second)
		f.sendHeartbeat(newBackend(int(f.now/time.Second)), 1)
	}
	must.SliceNotContains(t, f.registries[2].DepartingIDs(), b.ID)
}
