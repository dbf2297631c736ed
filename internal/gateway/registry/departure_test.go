package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partitionNodes drops all messages between two nodes from now on. The nodes notice the partition at the next updateNodes.
func (f *fleet) partitionNodes(a, b Slot) {
	f.partitioned[[2]Slot{a, b}], f.partitioned[[2]Slot{b, a}] = true, true
}

// sendDrainCall has a backend report to the node receiver that the backend is draining. The results are the answer and
// whether the node has answered yet.
func (f *fleet) sendDrainCall(b *backend, receiver Slot) (a Acknowledge, answered bool) {
	b.Seq, b.Phase = b.Seq+1, Draining
	ticket := f.registries[receiver].Heartbeat(b.Record)
	f.deliverAll()
	a, answered = f.acks[receiver][ticket]
	return a, answered
}

// TestDepartureNeedsMinCopies guards against departures that are confirmed with too few copies. Copies at all reachable
// nodes were once taken as sufficient, although at the start of a partition a node without a disk reached only its upstream,
// and a node with a disk only its followers. If fewer than MinCopies nodes with a disk are reachable, the call must fail at
// once, so that the backend calls the next node.
func TestDepartureNeedsMinCopies(t *testing.T) {
	for _, receiver := range []Slot{0, 3} {
		f := newFleet(t, 5, 3)
		b := newBackend(1)
		f.sendHeartbeat(b, 1)
		f.advanceClock(time.Second)
		for _, isolated := range []Slot{receiver, 0} { // the node that receives the drain call, and node 0, which is the upstream of node 3
			for _, o := range []Slot{1, 2} {
				f.partitionNodes(isolated, o)
			}
		}
		f.updateNodes()
		a, answered := f.sendDrainCall(b, receiver)
		must.True(t, answered, must.Sprint("a drain call during the partition must be answered at once; the call was sent to node ", receiver))
		must.False(t, a.Confirmed, must.Sprint("a drain call with too few reachable disks must not be confirmed; the call was sent to node ", receiver))
		f.partitioned = map[[2]Slot]bool{}
		f.updateNodes()
		a, answered = f.sendDrainCall(b, receiver)
		must.True(t, answered && a.Confirmed,
			must.Sprint("a drain call after the end of the partition must be confirmed at once; the call was sent to node ", receiver))
		f.requirePhase(b.ID, Draining)
	}
}

// TestDepartureNeedsOtherDisksWithoutSlot guards against a departure that rests on one disk alone. At the first start of a
// deployment one node has a slot before the others, and knows no other node by its slot. If other nodes have a disk too, the
// departure must not be confirmed. A node without a disk must not confirm a departure by itself either.
func TestDepartureNeedsOtherDisksWithoutSlot(t *testing.T) {
	for _, test := range []struct {
		name          string
		hasDisk       bool
		others        []Node
		wantConfirmed bool
	}{
		{"only node", true, nil, true},
		{"only node with a disk", true, []Node{{Slot: NoSlot}}, true},
		{"one of two nodes with a disk", true, []Node{{Slot: NoSlot, HasDisk: true}}, false},
		{"node without a disk", false, nil, false},
	} {
		r := New(0, Config{HeartbeatInterval: heartbeatInterval, MinCopies: 2, HasDisk: test.hasDisk}, 0)
		r.SetNodes(append(test.others, Node{Slot: 0, HasDisk: test.hasDisk}))
		r.Deregister("i-1")
		answered := false
		for a, ok := r.Next(); ok; a, ok = r.Next() {
			switch a := a.(type) {
			case StoreDepartures:
				r.DeparturesStored(a.Departures)
			case Acknowledge:
				answered = true
				must.EqOp(t, test.wantConfirmed, a.Confirmed, must.Sprint(test.name))
			}
		}
		must.True(t, answered, must.Sprint(test.name))
	}
}

// TestDepartureWaitsForAnotherDisk guards against a departure that is confirmed although the only other reachable node with
// a disk has not acknowledged the departure. Once that node acknowledges the departure, the departure must be confirmed. The
// call must not wait for followers that cannot answer.
func TestDepartureWaitsForAnotherDisk(t *testing.T) {
	f := newFleet(t, 4, 3)
	b := newBackend(1)
	f.sendHeartbeat(b, 0)
	f.advanceClock(time.Second)
	f.partitionNodes(0, 2)
	f.updateNodes()
	f.partitionNodes(0, 1) // No node notices this partition.
	_, answered := f.sendDrainCall(b, 0)
	must.False(t, answered)
	f.advanceClock(minCopiesTimeout)
	for ticket, a := range f.acks[0] {
		must.True(t, !a.Confirmed || ticket < f.registries[0].lastTicket)
	}
	delete(f.partitioned, [2]Slot{0, 1})
	delete(f.partitioned, [2]Slot{1, 0})
	f.advanceClock(time.Second)
	a, answered := f.sendDrainCall(b, 0)
	must.True(t, answered && a.Confirmed)
}

// TestDepartureInRelayedHeartbeatIsBroadcast guards against followers that never receive a departure. If updates to a node
// are delayed, a relayed heartbeat with a departure may arrive before the update with the same departure. The later update
// then changed nothing and was not forwarded. The departure in the heartbeat must therefore be broadcast.
func TestDepartureInRelayedHeartbeatIsBroadcast(t *testing.T) {
	for registrar := range Slot(3) {
		f := newFleet(t, 6, 3)
		b := newBackend(1)
		f.sendHeartbeat(b, 0)
		f.sendHeartbeat(b, b.target)
		f.advanceClock(time.Second)
		departing := b.Record
		departing.Seq, departing.Phase, departing.Draining, departing.Owner, departing.LostOwner = b.Seq+1, Draining, true, NoSlot, NoSlot
		f.registries[registrar].Receive(5, Message{Heartbeats: []Record{departing}})
		f.deliverAll()
		f.requirePhase(b.ID, Draining)
	}
}

// TestDeparturesAreRelayedAroundPartition guards against a departure that does not pass a partition between two of the three
// nodes with a disk. Both nodes are in contact with a majority, because both reach the third node with a disk. A departure
// that one of the two nodes has must reach the other through the third, whichever node receives the call. This also holds for
// a departure that was in flight when the partition was noticed.
func TestDeparturesAreRelayedAroundPartition(t *testing.T) {
	for receiver := range Slot(6) {
		for _, noticed := range []bool{true, false} {
			for i := range 6 { // backends with different owners
				requireDrainAroundPartition(t, newBackend(i), receiver, noticed)
			}
		}
	}
}

// requireDrainAroundPartition partitions nodes 0 and 1 from each other and has the backend send a drain call to the node
// receiver. All nodes must then know the departure and must stop sending the departure. If noticed is true, the nodes notice
// the partition before the call. If noticed is false, they notice the partition after the call.
func requireDrainAroundPartition(t *testing.T, b *backend, receiver Slot, noticed bool) {
	t.Helper()
	f := newFleet(t, 6, 3)
	f.sendHeartbeat(b, 2)
	f.advanceClock(time.Second)
	f.partitionNodes(0, 1)
	if receiver == 5 { // Node 5 follows node 0 and also reaches node 2.
		f.partitionNodes(5, 1)
	}
	if noticed {
		f.updateNodes()
	}
	f.sendDrainCall(b, receiver)
	if !noticed {
		f.advanceClock(600 * ms)
		f.updateNodes()
	}
	f.advanceClock(100 * ms)
	f.requirePhase(b.ID, Draining)
	before := f.messages
	f.advanceClock(5 * heartbeatInterval / 2)
	must.LessEq(t, before+60, f.messages,
		must.Sprint("more than 60 messages were sent after all nodes had the departure; the drain call was sent to node ", receiver))
}

// TestNewFollowerReceivesDepartures guards against a new follower that keeps sending requests to a backend that deregistered
// while the follower was isolated. The full sync must include recent departures in addition to the backends that are not
// gone.
func TestNewFollowerReceivesDepartures(t *testing.T) {
	f := newFleet(t, 4, 3)
	b := newBackend(1)
	f.sendHeartbeat(b, 1)
	f.advanceClock(time.Second)
	// Node 0 is the upstream of node 3. Node 3 reaches no node for a while.
	f.partitionNodes(3, 0)
	for o := range Slot(2) {
		f.partitionNodes(3, o+1)
	}
	f.updateNodes()
	f.sendDrainCall(b, 1)
	f.registries[1].Deregister(b.ID)
	f.advanceClock(time.Second)
	must.Eq(t, Ready, f.views[3][b.ID].Phase)
	f.partitioned = map[[2]Slot]bool{}
	f.partitionNodes(3, 0)
	f.updateNodes()
	f.advanceClock(100 * ms)
	must.Eq(t, Gone, f.views[3][b.ID].Phase)
}
