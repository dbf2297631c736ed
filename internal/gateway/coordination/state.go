package coordination

import "time"

// State is the state machine of a group: its locks, numbers and keys. It implements groups.StateMachine. What it holds depends on the
// applied entries alone.
type State struct {
	contents
	historyRetention  time.Duration // how long a watch may take to resume
	knobs             TestingKnobs
	onKeyGroupChanged func(keyGroup string) // called after each put, and for each key group of a restored snapshot
	onLogTimeAdvanced func()                // called with each entry and restored snapshot
}

// contents is the part of the state that snapshots hold.
type contents struct {
	logTime          time.Duration // the newest entry's
	lastFencingToken uint64        // over all locks of the group
	locks            map[string]*lockState
	retiredCalls     []retiredCall // the oldest first
	numbers          map[string]uint64
	keys             keyTable
}

func newContents() contents {
	return contents{locks: map[string]*lockState{}, numbers: map[string]uint64{}, keys: newKeyTable()}
}

// NewState is the state that a group starts with. A watch may resume from any revision that it was given within historyRetention.
func NewState(historyRetention time.Duration) *State {
	return &State{
		contents:          newContents(),
		historyRetention:  historyRetention,
		onKeyGroupChanged: func(string) {},
		onLogTimeAdvanced: func() {},
	}
}

// Apply applies the next entry of the log and gives its encoded result. An entry that can't be decoded changes nothing, and its result
// is StatusAmbiguous: a newer version of the program may know what it does.
func (s *State) Apply(_ uint64, bytes []byte) []byte {
	e, err := decodeEntry(bytes)
	if err != nil {
		return encodeResult(Result{Status: StatusAmbiguous})
	}
	// A new leader may have stamped entries by a clock that was behind. Log time never goes back.
	s.logTime = max(s.logTime, e.logTime)
	s.onLogTimeAdvanced()
	return encodeResult(s.apply(&e))
}

func (s *State) apply(e *entry) Result {
	switch e.call.Operation {
	case LockAcquire:
		return s.acquire(e)
	case LockRenew:
		return s.renew(&e.call)
	case LockRelease:
		return s.release(&e.call)
	case NumberNext:
		return s.nextNumber(e.call.Name)
	case KeyPut:
		return s.put(&e.call)
	}
	return Result{Status: StatusAmbiguous}
}

// nextNumber gives the next number of a name, from 1.
func (s *State) nextNumber(name string) Result {
	if _, known := s.numbers[name]; !known && len(s.numbers) >= maxNumbers {
		return Result{Status: StatusLimitReached}
	}
	s.numbers[name]++
	return Result{Number: s.numbers[name]}
}
