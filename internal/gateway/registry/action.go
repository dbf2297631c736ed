package registry

import "time"

// Ticket identifies a call of a backend until the registry answers it with an Acknowledge.
type Ticket uint64

// Action is what the host must do next. It is a Send, StoreDepartures, Changed, Acknowledge or Wake.
type Action interface{ action() }

// Send asks the host to send Message to the node Target. The message may be lost.
type Send struct {
	Target  Slot
	Message Message
}

// StoreDepartures asks the host to store departures on this node's disk. The host repeats a write that fails, and calls
// DeparturesStored when the departures are durable. Of two departures of one backend, the later one replaces the earlier one.
type StoreDepartures struct{ Departures []Departure }

// Changed reports a backend that has changed since the last Changed for the backend. Record.Phase is the phase that the host
// applies to requests. The phase is Gone also if the backend is displaced, which means that another backend with the same
// address was first seen later.
type Changed struct {
	Record Record
	// End of the backend's slow start, on the host's clock. A time in the past means that the backend is not in slow start.
	SlowStartUntil time.Duration
}

// Acknowledge asks the host to answer a call. If Confirmed is true, the host answers HTTP 200 with OwnerAddr in the field
// beat_target. If Confirmed is false, the host answers HTTP 503, and the backend retries the call at another node.
type Acknowledge struct {
	Ticket Ticket
	// Control address for the next heartbeats. It is empty if no live node can own backends, or if the call is rejected.
	OwnerAddr string
	Confirmed bool
}

// Wake asks the host to call Tick at Deadline or earlier. A newer Wake replaces an older one.
type Wake struct{ Deadline time.Duration }

func (Send) action()            {}
func (StoreDepartures) action() {}
func (Changed) action()         {}
func (Acknowledge) action()     {}
func (Wake) action()            {}
