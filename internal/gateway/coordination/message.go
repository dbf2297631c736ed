package coordination

import "time"

// Message is what services say to each other: one of its fields is set.
type Message struct {
	Ask   *Ask
	Reply *Reply
}

// Ask is a call on its way to whoever leads its group. It counts until a time by the clock of the life that it is meant for: one that
// stood on a link, or was read after a standstill, does nothing.
type Ask struct {
	Asker  uint64 // the life of the node that took the call
	Number uint32 // of the call there
	Try    uint8
	Life   uint64        // that Until is of; 0: its clock is not known yet
	Until  time.Duration // by that life's steady clock
	Call   Call
}

// Reply ends an Ask.
type Reply struct {
	Asker   uint64
	Number  uint32
	Try     uint8
	Outcome Outcome
	Leader  string        // where the asked node isn't: who leads, as far as it knows
	Life    uint64        // of the node that answers
	Clock   time.Duration // and its steady clock
	Answer  Answer
}

// Outcome tells how one try of a call ended.
type Outcome uint8

// The outcomes.
const (
	Done      Outcome = iota // the answer holds
	Refused                  // this try did nothing and never will
	Uncertain                // it may have taken effect, or may still
	Undated                  // Refused, since it bore no time of this life's clock
)
