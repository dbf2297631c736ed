package outlier

import (
	"clovergap/internal/gateway/membership"
)

// InstanceID identifies one start of a backend. A backend that restarts at the same address has a new ID.
type InstanceID string

// Mode determines how the outcomes of a route's requests are evaluated.
type Mode uint8

// Strict is the mode of requests that must neither run twice nor get lost. Patient is the mode of requests that may be repeated. The outcomes
// of Unwatched requests are not evaluated.
const (
	Strict Mode = iota
	Patient
	Unwatched
	modeCount = Unwatched
)

var modeNames = [...]string{"strict", "patient", "off"}

// String returns the mode's name, as it is used in settings and histories.
func (m Mode) String() string { return modeNames[m] }

// Key identifies an instance in a mode. Ejections and evidence refer to a Key.
type Key struct {
	ID   InstanceID
	Mode Mode
}

// compare orders keys by ID, then by mode. It returns -1, 0 or 1.
func (k Key) compare(other Key) int {
	switch {
	case k.ID < other.ID || k.ID == other.ID && k.Mode < other.Mode:
		return -1
	case k == other:
		return 0
	}
	return 1
}

// Phase is the lifecycle phase of an instance, as recorded in the registry.
type Phase uint8

// A Ready backend receives new requests. A Draining backend only finishes its current requests. A Gone backend has ended.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Backend describes an instance, as recorded in the registry.
type Backend struct {
	ID      InstanceID
	Service string
	Zone    string
	Phase   Phase
	// True if this node is the backend's owner in the registry. Only the owner probes the backend.
	Owned bool
}

// Access limits the requests that a node may send to a backend in a mode.
type Access uint8

// Open sets no limit. Limited permits one request at a time, with a minimum interval between two requests (SetAccess.Interval). Closed permits
// no request.
const (
	Open Access = iota
	Limited
	Closed
)

// Slot identifies a node. It is the same in every incarnation of the node.
type Slot = membership.Slot
