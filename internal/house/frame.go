package house

import (
	"time"

	"clovergap/internal/callboard"
	"clovergap/internal/company"
	"clovergap/internal/prompter"
	"clovergap/internal/script"
	"clovergap/internal/understudy"
)

// Frame is what doors say to each other on their links: one of its fields is set. Fields that are nil cost nothing.
type Frame struct {
	Hello  *company.Hello
	Ping   *Ping
	Found  []prompter.Member // who begins the core
	Core   *Line
	Board  *callboard.Message
	Follow *Follow
	Feed   *Feed
	Call   *Call
	Reply  *Reply

	Rollout *RolloutWord // while one runs
}

// Kind names what a frame carries.
func (f *Frame) Kind() string {
	switch {
	case f.Hello != nil, f.Found != nil:
		return "hellos"
	case f.Ping != nil:
		return "heartbeats"
	case f.Core != nil:
		return "core"
	case f.Board != nil:
		return "board"
	case f.Follow != nil, f.Feed != nil:
		return "feed"
	case f.Call != nil, f.Reply != nil:
		return "calls"
	case f.Rollout != nil:
		return "roll-outs"
	}
	return "others"
}

// Ping tells that the sender lives, and how old its knowledge of the core is.
type Ping struct {
	Stale time.Duration // since it last heard a leader, or led; over an hour: never
	Index uint64        // of the last entry that it applied
	Lives []byte        // seats, a bit each: see company.Told; nil from a door without a disk
}

// RolloutWord is one of its fields: a report on its way to whoever leads, with the seat of the door that it is of, or the word
// that evidence is gathered afresh, on its way to all doors.
type RolloutWord struct {
	Seat   company.Seat
	Hops   int
	Report *understudy.Report
	Lap    *understudy.Lap
}

// Line is a message between members of the core.
type Line struct {
	From    prompter.MemberID
	Message prompter.Message
}

// Follow asks a door with a disk for the entries after an index, and for those to come, and for its board.
type Follow struct {
	After uint64
	Anew  bool // the sender did not follow it before
	Ends  bool // and it does no longer
}

// Feed carries entries in order. With State, they begin after Index, which that state holds all of.
type Feed struct {
	After   uint64 // the first entry is the one after this
	State   []byte
	Entries [][]byte      // data of changes; empty ones are of the core's own
	Stale   time.Duration // as in Ping
}

// Call is a control call that is passed on to whoever leads.
type Call struct {
	Asker uint64 // the life of the door that passes it on: Nr begins anew in each
	Nr    uint32
	Kind  script.Kind // or Read
	Body  []byte
	Hops  int
}

// Read asks for the newest configuration, ReadRollouts for the roll-outs.
const (
	Read         script.Kind = 'g'
	ReadRollouts script.Kind = 'h'
)

// Reply ends the call of that Asker and Nr. Status is as for the caller: 200, 400, 412 or 503.
type Reply struct {
	Asker  uint64
	Nr     uint32
	Status int
	Body   []byte
}
