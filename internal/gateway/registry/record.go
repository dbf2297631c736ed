package registry

import "time"

// Slot is the number of a node. It is the same at every node and in every incarnation of the node.
type Slot int

// NoSlot means no node.
const NoSlot Slot = -1

// Phase is the state of a backend in its life cycle.
type Phase uint8

// The phases of a backend. Their numeric values are sent and stored.
const (
	Ready    Phase = iota // accepts requests
	Draining              // accepts no new requests and never becomes Ready again
	Gone                  // timed out, deregistered, or displaced by another backend at its address
)

// String returns the name of the phase for operators and backends.
func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "gone"
}

// Record is what a node knows about a backend. For Heartbeat, the host sets the fields up to Seq.
type Record struct {
	ID string
	// Service is empty if only the id is known, from a departure that came before any heartbeat.
	Service       string
	Addr          string // host:port
	Zone          string
	Generation    string
	Capacity      int           // concurrent requests
	Phase         Phase         // never Gone in a heartbeat, see Deregister
	SlowStartLeft time.Duration // remaining slow start at the time of the record
	Seq           uint64        // the backend's own count of its calls (call_seq)

	// True once the backend has reported that it is draining. It is never reset.
	Draining bool
	// True once the backend has deregistered. Nothing revives it afterwards.
	Deregistered bool
	// Time since any node first saw the backend, at the time of the record.
	Age   time.Duration
	Owner Slot // node that watches the backend
	// Number of changes of owner. 0 means that there has been no owner.
	FencingToken uint64
	// Former owner that the present owner no longer reached when it took over. Otherwise it is NoSlot.
	LostOwner Slot
}

// differsFrom reports whether the records differ in a field that other nodes depend on, apart from departures.
func (r *Record) differsFrom(other *Record) bool {
	return r.Service != other.Service || r.Addr != other.Addr || r.Zone != other.Zone || r.Generation != other.Generation ||
		r.Capacity != other.Capacity || r.FencingToken != other.FencingToken || r.Owner != other.Owner
}

// departureState returns how far the backend has departed according to the record.
func (r *Record) departureState() departureState {
	switch {
	case r.Deregistered:
		return departed
	case r.Draining || r.Phase == Draining:
		return draining
	}
	return notDeparting
}

// departureState is how far a backend has departed. It never decreases.
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
	// Nodes with a disk that the sender does not reach and the receiver may reach. It is set if Updates contains departures.
	Unreachable []Slot
}
