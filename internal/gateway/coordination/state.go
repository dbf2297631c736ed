package coordination

import "time"

// State is the state machine of a group. State holds the group's locks, numbers and keys, and implements groups.StateMachine. The contents
// of State depend only on the applied entries.
type State struct {
	contents
	historyRetention  time.Duration // how long after an event was received a watch may resume from it
	knobs             TestingKnobs
	onKeyGroupChanged func(keyGroup string) // called after each put, and for each key group of a restored snapshot
	onLogTimeAdvanced func()                // called after an entry or a restored snapshot has set logTime
}

// contents is the part of the state that a snapshot holds.
type contents struct {
	logTime          time.Duration // log time of the newest entry
	lastFencingToken uint64        // the newest token that was granted for any lock of the group
	locks            map[string]*lockState
	retiredCalls     []retiredCall // oldest first
	numbers          map[string]uint64
	keys             keyTable
}

// newContents returns contents without locks, numbers and keys.
func newContents() contents {
	return contents{locks: map[string]*lockState{}, numbers: map[string]uint64{}, keys: newKeyTable()}
}

// NewState returns the initial state of a group. A watch may resume from any revision that the caller received within
// historyRetention.
func NewState(historyRetention time.Duration) *State {
	return &State{
		contents:          newContents(),
		historyRetention:  historyRetention,
		onKeyGroupChanged: func(string) {},
		onLogTimeAdvanced: func() {},
	}
}

// Apply applies the next entry of the log and returns the encoded result. An entry that can't be decoded changes nothing. The result then has
// StatusAmbiguous, because a newer version of the program may be able to apply the entry.
func (s *State) Apply(_ uint64, bytes []byte) []byte {
	e, err := decodeEntry(bytes)
	if err != nil {
		return encodeResult(Result{Status: StatusAmbiguous})
	}
	// The log time of a new leader may be behind the log time of an earlier leader's entries. Log time never goes back.
	s.logTime = max(s.logTime, e.logTime)
	s.onLogTimeAdvanced()
	return encodeResult(s.applyEntry(&e))
}

// applyEntry executes the call of a decoded log entry on the state and returns the call's result.
func (s *State) applyEntry(e *entry) Result {
	switch e.call.Operation {
	case LockAcquire:
		return s.acquireLock(e)
	case LockRenew:
		return s.renewLease(&e.call)
	case LockRelease:
		return s.releaseLock(&e.call)
	case NumberNext:
		return s.nextNumber(e.call.Name)
	case KeyPut:
		return s.putKey(&e.call)
	}
	return Result{Status: StatusAmbiguous}
}

// nextNumber returns the next number under a name, starting at 1.
func (s *State) nextNumber(name string) Result {
	if _, known := s.numbers[name]; !known && len(s.numbers) >= maxNumbers {
		return Result{Status: StatusLimitReached}
	}
	s.numbers[name]++
	return Result{Number: s.numbers[name]}
}
