package registry

import "time"

// Slot is a node's number, the same at every node and in every incarnation of it.
type Slot int

// NoSlot is the slot of no node.
const NoSlot Slot = -1

// Phase is where a backend is in its life cycle.
type Phase uint8

// The phases of a backend. Their numbers are sent and stored.
const (
	Ready    Phase = iota // takes requests
	Draining              // takes no new ones; never becomes Ready again
	Gone                  // timed out, deregistered, or another backend is at its address
)

// String names a phase as operators and backends see it.
func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "gone"
}

// Record is what one node knows of one backend. For Heartbeat, the host sets the fields up to Seq.
type Record struct {
	ID            string
	Service       string // "": only known by name, from a departure that came before any heartbeat
	Addr          string // host:port
	Zone          string
	Generation    string
	Capacity      int           // requests at a time
	Phase         Phase         // Gone is not for heartbeats: see Deregister
	SlowStartLeft time.Duration // how long the backend still warms up, from the time of the record
	Seq           uint64        // the backend's own count of its calls, call_seq

	Draining     bool          // has ever said that it is draining; never taken back
	Deregistered bool          // has deregistered; nothing revives it
	Age          time.Duration // since any node first heard of it, at the time of the record
	Owner        Slot          // watches it
	FencingToken uint64        // counts changes of owner; 0: it has had none
	LostOwner    Slot          // from whom the owner took it, as it no longer reached that node; else NoSlot
}

// changed tells whether anything differs that other nodes go by, departures aside.
func (r *Record) changed(since *Record) bool {
	return r.Service != since.Service || r.Addr != since.Addr || r.Zone != since.Zone || r.Generation != since.Generation ||
		r.Capacity != since.Capacity || r.FencingToken != since.FencingToken || r.Owner != since.Owner
}

// departure is how far a record says that the backend has gone.
func (r *Record) departure() departure {
	switch {
	case r.Deregistered:
		return departed
	case r.Draining || r.Phase == Draining:
		return draining
	}
	return notDeparting
}

// departure is how far a backend has gone. It only rises.
type departure uint8

const (
	notDeparting departure = iota
	draining
	departed
)

// Message is what nodes send each other. One without Seq wants no acknowledgement.
type Message struct {
	Seq         uint64   // counts the sender's messages to the receiver; its upper half is the sender's incarnation
	Updates     []Record // what changed, or a part of a full sync
	Heartbeats  []Record // from backends that called a node which is not their owner
	Suspicions  []Record // another backend answered at the address of these
	Acks        []uint64 // Seq of messages taken in
	FullSync    bool     // from here on the sender sends everything that it has
	Unreachable []Slot   // with departures among Updates: nodes with a disk that the sender does not reach, and the receiver may
}
