package registry

import "time"

// Ticket identifies a call of a backend until the registry answers it with an Acknowledge.
type Ticket uint64

// Action is what the host must do next. It is a Send, Changed, Acknowledge or Wake.
type Action interface{ action() }

// Send asks the host to send Message to the node Target. The message may be lost.
type Send struct {
	Target  Slot
	Message Message
}

// Changed reports a backend that differs from its last report. Record.Phase is the phase that requests should see. It is
// Gone also when a more recently seen backend has the same address.
type Changed struct {
	Record Record
	// End of the slow start on the host's clock. The backend is not in slow start if this time is past.
	SlowStartUntil time.Duration
}

// Acknowledge answers a call. If Confirmed is true, the host answers 200 with OwnerAddr as beat_target. Otherwise it
// answers 503, and the backend retries the call at another node.
type Acknowledge struct {
	Ticket Ticket
	// Control address for the next heartbeats. It is empty if no owner is live.
	OwnerAddr string
	Confirmed bool
}

// Wake asks the host to call Tick at Deadline or earlier. A newer Wake replaces an older one.
type Wake struct{ Deadline time.Duration }

func (Send) action()        {}
func (Changed) action()     {}
func (Acknowledge) action() {}
func (Wake) action()        {}
