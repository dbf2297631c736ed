package node

import (
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// Frame is what nodes send each other on their links: one of its fields is set, and those that are nil cost nothing on the wire.
//
// Links carry frames as gob, which goes by the names of fields. So the names here, and in the types named Wire, are those of the versions
// before: a node of either version reads the other's frames. testdata holds recorded ones.
type Frame struct {
	Hello  *membership.WireHello
	Ping   *WireHeartbeat
	Found  []replication.Member // the founders of a new log
	Core   *CoreMessage
	Board  *registry.WireMessage
	Follow *WireStreamRequest
	Feed   *WireStreamData
	Call   *WireCall
	Reply  *WireReply

	Rollout *WireRolloutMessage // while a roll-out runs
	Part    *WireCallChunk      // of a large call or reply, to a program that takes these

	Coordination []byte         // a coordination.Message
	Groups       *GroupMessages // once there are coordination groups
}

// Kind names what a frame carries, for figures on the traffic between nodes.
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

// CoreMessage is a message between members of the configuration log.
type CoreMessage struct {
	From    replication.MemberID
	Message replication.WireMessage
	Hears   []byte // at times: the sender's liveness report, see heartbeat.go
}

// GroupMessages are all messages of the coordination groups that a node has for another one at the end of a turn.
type GroupMessages struct {
	From  replication.MemberID
	Lines []byte // for each message its group, a byte, and its compact form: see replication.AppendMessage
}

// groupMessage is a message of one group.
type groupMessage struct {
	group   groups.ID
	message replication.Message
}

// append adds a message.
func (g *GroupMessages) append(m *groupMessage) {
	g.Lines = replication.AppendMessage(append(g.Lines, byte(m.group)), &m.message)
}

// forEach gives the messages in their order, until one can't be read. Those of groups that this program does not know are passed over.
func (g *GroupMessages) forEach(do func(m *groupMessage)) error {
	for rest := g.Lines; len(rest) > 0; {
		m := groupMessage{group: groups.ID(rest[0])}
		var err error
		if m.message, rest, err = replication.DecodeMessage(rest[1:]); err != nil {
			return err
		}
		if m.group < groups.Count {
			do(&m)
		}
	}
	return nil
}

// ReadConfig reads the newest configuration, ReadRollouts the roll-outs. They are kinds of calls, never of entries.
const (
	ReadConfig   statemachine.Kind = 'g'
	ReadRollouts statemachine.Kind = 'h'
)
