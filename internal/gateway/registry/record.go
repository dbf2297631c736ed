package registry

import "time"

// Slot is the number of a node. All nodes use the same number for the node, and the number is the same in every incarnation
// of the node.
type Slot int

// NoSlot is the slot that stands for no node.
const NoSlot Slot = -1

// Phase is the lifecycle phase of a backend.
type Phase uint8

// The phases of a backend. Their numeric values are sent and stored.
const (
	Ready    Phase = iota // accepts requests
	Draining              // accepts no new requests and never becomes Ready again
	Gone                  // timed out, deregistered, or displaced by another backend at its address
)

// String returns the lower-case name of the phase, as operators and backends see it.
func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "gone"
}

// Record is what a node knows about a backend. In a call of Registry.Heartbeat, the host sets the fields up to and including
// Seq, and Age.
type Record struct {
	ID string
	// Service is empty if the node has received a deregistration of the backend but no heartbeat yet.
	Service       string
	Addr          string // host:port
	Zone          string
	Generation    string
	Capacity      int           // maximum number of concurrent requests
	Phase         Phase         // Ready or Draining in a heartbeat
	SlowStartLeft time.Duration // remaining slow start when the record was made
	Seq           uint64        // sequence number of the backend's last call, assigned by the backend (call_seq)

	// True once the backend has reported that it is draining. It is never reset.
	Draining bool
	// True once the backend has deregistered. Nothing revives it afterwards.
	Deregistered bool
	// Time from the first sighting of the backend by any node to the making of the record. In a call of Registry.Heartbeat it is the time for
	// which the call may have waited unread.
	Age   time.Duration
	Owner Slot // node that watches the backend for missed heartbeats
	// Number of changes of owner. 0 means that there has been no owner.
	FencingToken uint64
	// Former owner that the present owner no longer reached when it took the backend over. NoSlot if the present owner did not
	// take the backend over from a lost owner.
	LostOwner Slot
}

// differsFrom reports whether the records differ in the service, address, zone, generation, capacity, fencing token or
// owner. A change of one of these fields is sent to other nodes. Departures are compared by departureState.
func (r *Record) differsFrom(other *Record) bool {
	return r.Service != other.Service || r.Addr != other.Addr || r.Zone != other.Zone || r.Generation != other.Generation ||
		r.Capacity != other.Capacity || r.FencingToken != other.FencingToken || r.Owner != other.Owner
}

// departureState returns the departure state of the backend according to the record.
func (r *Record) departureState() departureState {
	switch {
	case r.Deregistered:
		return departed
	case r.Draining || r.Phase == Draining:
		return draining
	}
	return notDeparting
}

// departureState is the progress of a backend's departure. It never decreases.
type departureState uint8

const (
	notDeparting departureState = iota
	draining                    // no longer accepts requests
	departed                    // has deregistered
)

// Message is a message between two nodes. A message whose Seq is 0 is not acknowledged.
type Message struct {
	// Sequence number of the sender's messages to the receiver. The upper 32 bits are the sender's incarnation.
	Seq     uint64
	Updates []Record // changed records, or a part of a full sync
	// Heartbeats of backends that called a node which is not their owner.
	Heartbeats []Record
	// Records of backends at whose address another backend answered.
	Suspicions []Record
	Acks       []uint64 // Seq of the received messages
	// True if the sender starts a full sync with this message.
	FullSync bool
	// Those of Acks whose departures are not all on the sender's disk yet. When they are, the sender lists them in Stored.
	Unstored []uint64
	// Departures that the receiver has sent to the sender and that are now on the sender's disk.
	Stored []Departure
	// Nodes with a disk that the sender does not reach and the receiver may reach. Set only if Updates contains departures.
	Unreachable []Slot
}
