package node

import (
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/statemachine"
)

// Frame is what nodes say to each other on their links: one of its fields is set. Fields that are nil cost nothing.
type Frame struct {
	Hello  *membership.WireHello
	Ping   *Heartbeat
	Found  []replication.Member // who begins the core
	Core   *CoreMessage
	Board  *registry.WireMessage
	Follow *StreamRequest
	Feed   *StreamData
	Call   *Call
	Reply  *Reply

	Rollout *RolloutMessage // while one runs
	Part    *CallChunk      // of a large call or answer, to a program that takes it

	Coordination []byte         // a coordination.Message
	Groups       *GroupMessages // once there are coordination groups
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
		return "registry"
	case f.Follow != nil, f.Feed != nil:
		return "feed"
	case f.Call != nil, f.Reply != nil, f.Part != nil:
		return "calls"
	case f.Groups != nil:
		return "groups"
	case f.Rollout != nil:
		return "roll-outs"
	case f.Coordination != nil:
		return "coordination"
	}
	return "others"
}

// Heartbeat tells that the sender lives, and how old its knowledge of the core is: the latter not from one node with a disk to another.
type Heartbeat struct {
	Stale time.Duration // all acknowledged so long ago has been applied (see authority.go); over an hour: not known
	Index uint64        // of the last entry that it applied
	Lives []byte        // slots, a bit each: see roster.Told; nil from a node without a disk
	View  uint64        // that its word is of; 0: a node of the version before
	Clock uint32        // the sender's, to the node that it follows, which answers at once
	Echo  uint32        // the newest that it heard of the receiver's

	Leaders []membership.Slot // of the coordination groups, to those who follow; nil: there are none
}

// RolloutMessage is one of its fields: a report on its way to whoever leads, with the slot of the node that it is of, or the word
// that evidence is gathered afresh, on its way to all nodes.
type RolloutMessage struct {
	Seat   membership.Slot
	Hops   int
	Report *rollout.Report
	Lap    *rollout.Lap
}

// CoreMessage is a message between members of the core.
type CoreMessage struct {
	From    replication.MemberID
	Message replication.WireMessage
	Hears   []byte // at times: the slots that the sender hears, in the place of a Ping between nodes with a disk
}

// GroupMessages are messages between members of the coordination groups: all that a node has for another one at the end of a turn.
type GroupMessages struct {
	From  replication.MemberID
	Lines []byte // each a group, and a message in its compact form: see replication.AppendMessage
}

// groupMessage is a message of one group.
type groupMessage struct {
	group   groups.ID
	message replication.Message
}

// append adds a line.
func (g *GroupMessages) append(l *groupMessage) {
	g.Lines = replication.AppendMessage(append(g.Lines, byte(l.group)), &l.message)
}

// forEach gives the lines in their order, until one can't be read.
func (g *GroupMessages) forEach(do func(l *groupMessage)) error {
	for rest := g.Lines; len(rest) > 0; {
		l := groupMessage{group: groups.ID(rest[0])}
		var err error
		if l.message, rest, err = replication.DecodeMessage(rest[1:]); err != nil {
			return err
		}
		if l.group < groups.Count {
			do(&l)
		}
	}
	return nil
}

// StreamRequest asks a node with a disk for the entries after an index, and for those to come, and for its registry.
type StreamRequest struct {
	After uint64
	Anew  bool // the sender did not follow it before
	Ends  bool // and it does no longer
	Clock uint32

	Had    *replication.Chunk // what it has of what was not whole yet
	Chunks bool               // its program takes chunks
}

// StreamData carries entries in order. With State, they begin after Index, which that state holds all of.
type StreamData struct {
	After   uint64 // the first entry is the one after this
	State   []byte
	Entries [][]byte      // data of changes; empty ones are of the core's own
	Stale   time.Duration // as in Ping, with View and Echo
	View    uint64
	Echo    uint32
	Index   uint64 // that the word is of: the sender may be about to send more

	Chunk *replication.Chunk // a part of State, or with Log of Entries by gob, which are too large for one frame
	Log   bool
}

// Call is a control call that is passed on to whoever leads.
type Call struct {
	Asker uint64 // the life of the node that passes it on: Nr begins anew in each
	Nr    uint32
	Kind  statemachine.Kind // or Read
	Body  []byte
	Hops  int
}

// Read asks for the newest configuration, ReadRollouts for the roll-outs.
const (
	ReadConfig   statemachine.Kind = 'g'
	ReadRollouts statemachine.Kind = 'h'
)

// Reply ends the call of that Asker and Nr. Status is as for the caller: 200, 400, 412, 413 or 503.
type Reply struct {
	Asker  uint64
	Nr     uint32
	Status int
	Body   []byte
}
