package node

import (
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/statemachine"
)

// heartbeat shows that its sender lives, and reports its contact: the latter not from one node with a disk to another.
type heartbeat struct {
	contact   quorumcontact.Report // its Index is the last entry that the sender applied
	liveSlots []byte               // a bit each; nil from a node without a disk
	clock     uint32               // of the sender, to its upstream, which answers at once; else 0
	leaders   []membership.Slot    // of the coordination groups, to learners; nil: there are none
}

// WireHeartbeat is a heartbeat on a link.
type WireHeartbeat struct {
	Stale time.Duration // the contact's age; quorumcontact.MaxKnownAge and more: there is none
	Index uint64
	Lives []byte
	View  uint64 // the contact's term; 0: a node of the version before
	Clock uint32
	Echo  uint32 // the newest clock of the receiver that the sender has

	Leaders []membership.Slot
}

// wire is the heartbeat as it is sent.
func (h *heartbeat) wire() *WireHeartbeat {
	return &WireHeartbeat{Stale: h.contact.Age, Index: h.contact.Index, Lives: h.liveSlots, View: h.contact.Term, Clock: h.clock,
		Echo: h.contact.Echo, Leaders: h.leaders}
}

// heartbeat is what was received.
func (w *WireHeartbeat) heartbeat() *heartbeat {
	return &heartbeat{contact: quorumcontact.Report{Age: w.Stale, Term: w.View, Echo: w.Echo, Index: w.Index}, liveSlots: w.Lives, clock: w.Clock,
		leaders: w.Leaders}
}

// streamRequest asks a member for the entries after an index, for those to come, and for its registry. It acknowledges what is applied and
// received.
type streamRequest struct {
	after         uint64
	begins        bool // the sender was no learner of the receiver before
	ends          bool // and it is none any longer
	clock         uint32
	receivedChunk *replication.Chunk // what the sender has of a blob that is not complete
	acceptsChunks bool
}

// WireStreamRequest is a request on a link.
type WireStreamRequest struct {
	After uint64
	Anew  bool
	Ends  bool
	Clock uint32

	Had    *replication.Chunk
	Chunks bool
}

// wire is the request as it is sent.
func (s *streamRequest) wire() *WireStreamRequest {
	return &WireStreamRequest{After: s.after, Anew: s.begins, Ends: s.ends, Clock: s.clock, Had: s.receivedChunk, Chunks: s.acceptsChunks}
}

// request is what was received.
func (w *WireStreamRequest) request() *streamRequest {
	return &streamRequest{after: w.After, begins: w.Anew, ends: w.Ends, clock: w.Clock, receivedChunk: w.Had, acceptsChunks: w.Chunks}
}

// streamData carries entries in order, or a state, or a chunk of a blob that holds either.
type streamData struct {
	after        uint64 // the first entry is the one after this; a state holds everything up to it
	state        []byte
	entries      [][]byte             // data of changes; empty ones are the log's own
	contact      quorumcontact.Report // its Index may be beyond the entries: more are to follow
	chunk        *replication.Chunk
	chunkEntries bool // the blob of chunk holds entries by gob, and not a state
}

// WireStreamData is streamData on a link.
type WireStreamData struct {
	After   uint64
	State   []byte
	Entries [][]byte
	Stale   time.Duration // as in WireHeartbeat, with View, Echo and Index
	View    uint64
	Echo    uint32
	Index   uint64

	Chunk *replication.Chunk
	Log   bool
}

// wire is the data as it is sent.
func (s *streamData) wire() *WireStreamData {
	return &WireStreamData{After: s.after, State: s.state, Entries: s.entries, Stale: s.contact.Age, View: s.contact.Term, Echo: s.contact.Echo,
		Index: s.contact.Index, Chunk: s.chunk, Log: s.chunkEntries}
}

// data is what was received.
func (w *WireStreamData) data() *streamData {
	return &streamData{after: w.After, state: w.State, entries: w.Entries,
		contact: quorumcontact.Report{Age: w.Stale, Term: w.View, Echo: w.Echo, Index: w.Index}, chunk: w.Chunk, chunkEntries: w.Log}
}

// WireCall is a forwardedCall on a link.
type WireCall struct {
	Asker uint64 // the requester's incarnation
	Nr    uint32 // the call's sequence number in it
	Kind  statemachine.Kind
	Body  []byte
	Hops  int
}

// wire is the call as it is sent.
func (f *forwardedCall) wire() *WireCall {
	if f == nil {
		return nil
	}
	return &WireCall{Asker: f.id.incarnation, Nr: f.id.sequence, Kind: f.kind, Body: f.body, Hops: f.hops}
}

// call is what was received.
func (w *WireCall) call() *forwardedCall {
	if w == nil {
		return nil
	}
	return &forwardedCall{id: callID{w.Asker, w.Nr}, kind: w.Kind, body: w.Body, hops: w.Hops}
}

// WireReply is a callReply on a link.
type WireReply struct {
	Asker  uint64 // as in WireCall
	Nr     uint32
	Status int
	Body   []byte
}

// wire is the reply as it is sent.
func (c *callReply) wire() *WireReply {
	if c == nil {
		return nil
	}
	return &WireReply{Asker: c.id.incarnation, Nr: c.id.sequence, Status: c.status, Body: c.body}
}

// reply is what was received.
func (w *WireReply) reply() *callReply {
	if w == nil {
		return nil
	}
	return &callReply{id: callID{w.Asker, w.Nr}, status: w.Status, body: w.Body}
}

// WireCallChunk is a callChunk on a link.
type WireCallChunk struct {
	Call  *WireCall
	Reply *WireReply
	Chunk *replication.Chunk
	Had   *replication.Chunk
}

// wire is the chunk as it is sent.
func (c *callChunk) wire() *WireCallChunk {
	return &WireCallChunk{Call: c.call.wire(), Reply: c.reply.wire(), Chunk: c.chunk, Had: c.received}
}

// chunk is what was received.
func (w *WireCallChunk) chunk() *callChunk {
	return &callChunk{call: w.Call.call(), reply: w.Reply.reply(), chunk: w.Chunk, received: w.Had}
}

// WireRolloutMessage is a rolloutMessage on a link.
type WireRolloutMessage struct {
	Seat   membership.Slot
	Hops   int
	Report *rollout.WireReport
	Lap    *rollout.Lap
}

// wire is the message as it is sent.
func (r *rolloutMessage) wire() *WireRolloutMessage {
	w := &WireRolloutMessage{Seat: r.slot, Hops: r.hops, Lap: r.lap}
	if r.report != nil {
		w.Report = r.report.Wire()
	}
	return w
}

// message is what was received.
func (w *WireRolloutMessage) message() *rolloutMessage {
	m := &rolloutMessage{slot: w.Seat, hops: w.Hops, lap: w.Lap}
	if w.Report != nil {
		report := w.Report.Report()
		m.report = &report
	}
	return m
}
