package registry

import "time"

// Ticket names a call of a backend until its Acknowledge.
type Ticket uint64

// Action is what the host is to do: a Send, Changed, Acknowledge or Wake.
type Action interface{ action() }

// Send is a message to another node. It may be lost.
type Send struct {
	Target  Slot
	Message Message
}

// Changed gives a backend that differs from what was last given of it, as requests should see it: Gone too where a younger
// backend has its address.
type Changed struct {
	Record         Record
	SlowStartUntil time.Duration // on the host's clock; past: it is not warming up
}

// Acknowledge ends a call: 200 with OwnerAddr as beat_target where it is Confirmed, else 503, after which the backend turns to
// another node.
type Acknowledge struct {
	Ticket    Ticket
	OwnerAddr string // where the next heartbeats should go; "": no owner is live
	Confirmed bool
}

// Wake asks for Tick at Deadline or before. The newest one counts.
type Wake struct{ Deadline time.Duration }

func (Send) action()        {}
func (Changed) action()     {}
func (Acknowledge) action() {}
func (Wake) action()        {}
