package outlier

import (
	"clovergap/internal/gateway/membership"
)

// InstanceID names one start of a backend: each has another, whatever the address.
type InstanceID string

// Mode is how the requests of a route are treated.
type Mode uint8

// Strict is for what must not run twice or vanish, Patient for what may be asked again. Unwatched requests say nothing of their backends.
const (
	Strict Mode = iota
	Patient
	Unwatched
	modeCount = Unwatched
)

var modeNames = [...]string{"strict", "patient", "off"}

// String gives the mode's name in settings and histories.
func (m Mode) String() string { return modeNames[m] }

// Key is an instance in a mode: what an ejection is about.
type Key struct {
	ID   InstanceID
	Mode Mode
}

// compare orders keys.
func (k Key) compare(o Key) int {
	switch {
	case k.ID < o.ID || k.ID == o.ID && k.Mode < o.Mode:
		return -1
	case k == o:
		return 0
	}
	return 1
}

// Phase of an instance, as the registry has it.
type Phase uint8

// The phases of a backend.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Backend is an instance as the registry has it.
type Backend struct {
	ID      InstanceID
	Service string
	Zone    string
	Phase   Phase
	Owned   bool // this node owns its registration, and so probes it
}

// Access is what a node may send to a backend in a mode.
type Access uint8

// How much a backend gets.
const (
	Open    Access = iota
	Limited        // one request at a time, and at intervals
	Closed
)

// Slot of a node; the same in every incarnation of it.
type Slot = membership.Slot
