package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendLateHeartbeat has a node read a backend's heartbeat that waited unread for a time.
func (f *fleet) sendLateHeartbeat(b *backend, receiver Slot, waited time.Duration) Acknowledge {
	b.Age = waited
	return f.sendHeartbeat(b, receiver)
}

// Guards against a backend that lives again by its last heartbeat, which lay unread at a paused node until the backend had timed out: it gets requests
// although it has ended.
func TestLateHeartbeatRevivesNoBackend(t *testing.T) {
	f := newFleet(t, 4, 3)
	b := newBackend(1)
	f.sendHeartbeat(b, 0)
	f.requirePhase(b.ID, Ready)
	f.advanceClock((missedHeartbeats + 2) * heartbeatInterval)
	f.requirePhase(b.ID, Gone)
	must.False(t, f.sendLateHeartbeat(b, 1, 2300*ms).Confirmed)
	f.advanceClock(time.Second)
	f.requirePhase(b.ID, Gone)
	f.sendLateHeartbeat(b, 1, 0)
	f.requirePhase(b.ID, Ready)
}

// Guards against a backend that takes its address back from its successor: a node reads the first heartbeat of the former backend after the successor
// is known.
func TestLateHeartbeatDoesNotDisplaceSuccessor(t *testing.T) {
	for _, waited := range []time.Duration{800 * ms, 2300 * ms} {
		f := newFleet(t, 4, 3)
		former, successor := newBackend(1), newBackend(2)
		successor.Addr = former.Addr
		f.sendHeartbeat(successor, 0)
		f.advanceClock(500 * ms)
		f.sendLateHeartbeat(former, 3, waited)
		f.advanceClock(500 * ms)
		f.requirePhase(successor.ID, Ready)
		f.requirePhase(former.ID, Gone)
	}
}

// A drain counts however late it is read, since it is never taken back.
func TestLateDrainCounts(t *testing.T) {
	f := newFleet(t, 4, 3)
	b := newBackend(1)
	f.sendHeartbeat(b, 0)
	b.Phase, b.Age = Draining, 5*time.Second
	f.sendHeartbeat(b, 1)
	f.requirePhase(b.ID, Draining)
}
