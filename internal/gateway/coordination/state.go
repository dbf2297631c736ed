package coordination

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrUnknownVersion is told of an entry or a state that a newer version wrote.
var ErrUnknownVersion = errors.New("written by another version")

// roundingSlack is added to each hold: entries keep times in whole microseconds.
const roundingSlack = time.Millisecond

// State is what a group's log folds to: locks, numbers and keys. It is a groups.StateMachine.
type State struct {
	logTime           time.Duration // the log clock, at the newest entry
	historyRetention  time.Duration // how long events are kept at the least
	lastFencingToken  uint64        // the last one given, over all locks of the group
	locks             map[string]*lockState
	retiredCalls      []retiredCall
	numbers           map[string]uint64
	keys              keyTable
	fault             fault
	onKeyGroupChanged func(keyGroup string) // told of each put
	onLogTimeAdvanced func()                // told when the clock may have gone on
}

// NewState is the state that a group starts with. A watch may resume for as long as history.
func NewState(history time.Duration) *State {
	s := &State{historyRetention: history, fault: planted, onKeyGroupChanged: func(string) {}, onLogTimeAdvanced: func() {}}
	s.reset()
	return s
}

func (s *State) reset() {
	s.logTime, s.lastFencingToken = 0, 0
	s.locks, s.retiredCalls, s.numbers, s.keys = map[string]*lockState{}, nil, map[string]uint64{}, newKeyTable()
}

// Apply takes the next entry of the log. One that can't be read changes nothing.
func (s *State) Apply(_ uint64, bytes []byte) []byte {
	x, err := decodeEntry(bytes)
	if err != nil {
		return encodeResult(Result{Status: StatusAmbiguous})
	}
	s.logTime = max(s.logTime, x.logTime)
	s.onLogTimeAdvanced()
	return encodeResult(s.apply(&x))
}

func (s *State) apply(x *entry) Result {
	switch x.call.Operation {
	case LockAcquire:
		return s.acquire(x)
	case LockRenew:
		return s.renew(&x.call)
	case LockRelease:
		return s.release(&x.call)
	case NumberNext:
		return s.nextNumber(x.call.Name)
	case KeyPut:
		return s.put(&x.call)
	}
	return Result{Status: StatusAmbiguous}
}

// nextNumber gives the next number of a name.
func (s *State) nextNumber(name string) Result {
	if _, known := s.numbers[name]; !known && len(s.numbers) >= maxNumbers {
		return Result{Status: StatusLimitReached}
	}
	s.numbers[name]++
	return Result{Number: s.numbers[name]}
}
