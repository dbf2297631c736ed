package coordination

import (
	"time"

	"github.com/go-faster/errors"
)

// errVersion is told of an entry or a state that a newer version wrote.
var errVersion = errors.New("written by another version")

// roundedOff is added to each hold: entries keep times in whole microseconds.
const roundedOff = time.Millisecond

// State is what a group's log folds to: locks, numbers and keys. It is a groups.StateMachine.
type State struct {
	clock    time.Duration // the log clock, at the newest entry
	history  time.Duration // how long events are kept at the least
	fence    uint64        // the last one given, over all locks of the group
	locks    map[string]*lock
	retired  []retiredBegin
	numbers  map[string]uint64
	keys     keyTable
	fault    fault
	changed  func(keyGroup string) // told of each put
	advanced func()                // told when the clock may have gone on
}

// NewState is the state that a group starts with. A watch may resume for as long as history.
func NewState(history time.Duration) *State {
	s := &State{history: history, fault: planted, changed: func(string) {}, advanced: func() {}}
	s.clear()
	return s
}

func (s *State) clear() {
	s.clock, s.fence = 0, 0
	s.locks, s.retired, s.numbers, s.keys = map[string]*lock{}, nil, map[string]uint64{}, newKeyTable()
}

// Apply takes the next entry of the log. One that can't be read changes nothing.
func (s *State) Apply(_ uint64, bytes []byte) []byte {
	x, err := decodeEntry(bytes)
	if err != nil {
		return encodeResult(Answer{Status: Unclear})
	}
	s.clock = max(s.clock, x.at)
	s.advanced()
	return encodeResult(s.apply(&x))
}

func (s *State) apply(x *entry) Answer {
	switch x.call.Operation {
	case LockBegin:
		return s.begin(x)
	case LockHeartbeat:
		return s.heartbeat(&x.call)
	case LockFinish:
		return s.finish(&x.call)
	case Number:
		return s.number(x.call.Name)
	case KeyReplace:
		return s.replace(&x.call)
	}
	return Answer{Status: Unclear}
}

// number gives the next number of a name.
func (s *State) number(name string) Answer {
	if _, known := s.numbers[name]; !known && len(s.numbers) >= mostNumbers {
		return Answer{Status: Full}
	}
	s.numbers[name]++
	return Answer{Number: s.numbers[name]}
}
