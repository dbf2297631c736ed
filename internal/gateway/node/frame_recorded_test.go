package node

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/rollout"
)

// testdata/dd5a45a.frames is a link's whole stream as the program wrote it at commit dd5a45a: its opening and frames of each kind in which
// every field is set. The types below have the names of its gob fields and no type of the program: they don't follow a rename there.
type (
	wireFrame struct {
		Hello *struct {
			Door struct {
				Name, Addr, Control, Zone string
				Disk                      uint64
				First                     bool
				Life                      uint64
				Founded, Leaving          bool
				House                     uint64
			}
			Known []string
			Begun bool
			Parts bool
			Knows uint64
		}
		Ping *struct {
			Stale   time.Duration
			Index   uint64
			Lives   []byte
			View    uint64
			Clock   uint32
			Echo    uint32
			Leaders []int
		}
		Found []wireMember
		Core  *struct {
			From    uint64
			Message wireMessage
			Hears   []byte
		}
		Board *struct {
			Nr                   uint64
			Words, Beats, Doubts []wireRecord
			Acks                 []uint64
			All                  bool
			Unreached            []int
		}
		Follow *struct {
			After      uint64
			Anew, Ends bool
			Clock      uint32
			Had        *wireChunk
			Chunks     bool
		}
		Feed *struct {
			After   uint64
			State   []byte
			Entries [][]byte
			Stale   time.Duration
			View    uint64
			Echo    uint32
			Index   uint64
			Chunk   *wireChunk
			Log     bool
		}
		Call    *wireCall
		Reply   *wireReply
		Rollout *struct {
			Seat, Hops int
			Report     *struct {
				Service   string
				Number    uint64
				Step, Lap int
				Life, Seq uint64
				Zone      string
				Alone     bool
				Backs     int
				Counts    [2][2]struct {
					Ends  uint32
					By    [5]uint32
					Times [26]uint32
				}
				Evidence []byte
			}
			Lap *struct {
				Service string
				Number  uint64
				Lap     int
			}
		}
		Part *struct {
			Call       *wireCall
			Reply      *wireReply
			Chunk, Had *wireChunk
		}
		Coordination []byte
		Groups       *struct {
			From  uint64
			Lines []byte
		}
	}
	wireMember struct {
		ID   uint64
		Addr string
	}
	wireChunk struct {
		Index, View, Sum, Size, Offset uint64
		Data                           []byte
	}
	wireCall struct {
		Asker uint64
		Nr    uint32
		Kind  byte
		Body  []byte
		Hops  int
	}
	wireReply struct {
		Asker  uint64
		Nr     uint32
		Status int
		Body   []byte
	}
	wireMessage struct {
		Kind                                         uint8
		House, To, View, Index, At, Delivered, Round uint64
		Elsewhere                                    uint64
		No                                           bool
		Entries                                      []struct {
			Index, View uint64
			Kind        uint8
			Data        []byte
			Members     []wireMember
		}
		Snap *struct {
			Index, View uint64
			Members     []wireMember
			State       []byte
		}
		Chunk       *wireChunk
		Chunks      bool
		Clock, Echo uint32
		Contact     int64
	}
	wireRecord struct {
		ID, Service, Addr, Zone, Generation string
		Capacity                            int
		Phase                               uint8
		ColdLeft                            time.Duration
		Seq                                 uint64
		Drained, Final                      bool
		Age                                 time.Duration
		Keeper                              int
		Fence                               uint64
		Missed                              int
	}
)

// wireRecordSet is a record with a value in every field. As in the other frames the values differ: two fields that change places are seen.
func wireRecordSet(id string) registry.WireRecord {
	return registry.WireRecord{ID: id, Service: "service", Addr: "10.0.0.9:80", Zone: "zone", Generation: "generation", Capacity: 4,
		Phase: registry.Draining, ColdLeft: time.Second, Seq: 5, Drained: true, Final: true, Age: 2 * time.Second, Keeper: 1, Fence: 3, Missed: 2}
}

func wireMessageSet() replication.Message {
	members := []replication.Member{{ID: 21, Addr: "10.0.0.1:7110"}, {ID: 22, Addr: "10.0.0.2:7110"}}
	return replication.Message{Kind: replication.MsgAppend, ClusterID: 41, Recipient: 22, Term: 12, Index: 15, LogTerm: 11, Commit: 14, Seq: 13, ReplicatedElsewhere: 16,
		Rejected: true, Entries: []replication.Entry{{Index: 17, Term: 12, Kind: replication.EntryNormal, Data: []byte("change")},
			{Index: 18, Term: 10, Kind: replication.EntryConfigChange, Members: members}},
		Snapshot: &replication.Snapshot{Index: 9, Term: 8, Members: members, State: []byte("state")},
		Chunk:    wireChunkSet(50, "chunk of the log"), AcceptsChunks: true, Clock: 1234567890, EchoedClock: 987654321, ContactAgeMillis: -2}
}

func wireChunkSet(from uint64, data string) *replication.Chunk {
	return &replication.Chunk{Index: from, View: from + 1, Sum: from + 2, Size: from + 3, Offset: from + 4, Data: []byte(data)}
}

// wireCoordination are a message of each operation, and an answer.
func wireCoordination() (all []*coordination.Message) {
	for _, call := range []coordination.Call{
		{Operation: coordination.LockAcquire, Name: "lock", Holder: "holder", TTL: time.Second},
		{Operation: coordination.LockRenew, Name: "lock", Holder: "holder", FencingToken: 7, TTL: 2 * time.Second},
		{Operation: coordination.LockRelease, Name: "lock", Holder: "holder", FencingToken: 8},
		{Operation: coordination.KeyPut, Name: "group/key", Value: "value", Conditional: true, ExpectedRevision: 9},
		{Operation: coordination.KeyRead, Name: "group/key"},
		{Operation: coordination.KeyWatch, Name: "group", AfterRevision: 10, Timeout: 3 * time.Second},
		{Operation: coordination.LockList, Name: "", Group: 3},
		{Operation: coordination.NumberNext, Name: "counter"},
		{Operation: coordination.LockRead, Name: "lock"},
	} {
		all = append(all, &coordination.Message{Request: &coordination.ForwardRequest{OriginIncarnation: 31, Sequence: 32, Attempt: 33, TargetIncarnation: 34, Deadline: 35 * time.Second, Call: call}})
	}
	return append(all, &coordination.Message{Response: &coordination.ForwardResponse{OriginIncarnation: 41, Sequence: 42, Attempt: 43, Outcome: coordination.AttemptDeadlineInvalid,
		LeaderHint: "10.0.0.2:7110", ResponderIncarnation: 44, ResponderClock: 45 * time.Second, Result: coordination.Result{Status: coordination.StatusAmbiguous, FencingToken: 46, Number: 47,
			Revision: 48, Value: "answer", Events: []coordination.Event{{Name: "key", Value: "put", Revision: 49}},
			Locks: []coordination.LockInfo{{Name: "lock", Holder: "holder", FencingToken: 50, TimeLeft: 51 * time.Second}}}}})
}

// wireGroupLines are the messages of two groups. Their compact form leaves out Clock, Echo and Contact.
func wireGroupLines() []groupMessage {
	first, last := wireMessageSet(), replication.Message{Kind: replication.MsgAppendAck, ClusterID: 42, Recipient: 23, Term: 3, Index: 4, ContactAgeMillis: -1}
	first.Clock, first.EchoedClock, first.ContactAgeMillis = 0, 0, -1
	return []groupMessage{{group: 1, message: first}, {group: groups.Count - 1, message: last}}
}

// wireFrames are the frames of the stream, as the program has them.
func wireFrames() []*Frame {
	message := wireMessageSet()
	report := &rollout.Report{Service: "service", Number: 3, Step: 1, Lap: 2, Incarnation: 9, Seq: 4, Zone: "zone", RolledBack: true, CanaryBackends: 5,
		Evidence: []byte("evidence")}
	report.Counts[1][0] = rollout.Tally{Outcomes: 15, ByCause: [5]uint32{1, 2, 3, 4, 5}, Latencies: [rollout.LatencyBuckets]uint32{3: 7, 25: 1}}
	report.Counts[0][1] = rollout.Tally{Outcomes: 16, ByCause: [5]uint32{4: 16}}
	call := &WireCall{Asker: 31, Nr: 2, Kind: 'r', Body: []byte("call"), Hops: 1}
	reply := &WireReply{Asker: 32, Nr: 3, Status: 412, Body: []byte("reply")}
	lines := &GroupMessages{From: 24}
	for _, l := range wireGroupLines() {
		lines.append(&l)
	}
	frames := []*Frame{
		{Hello: &membership.WireHello{Door: membership.WireNode{Name: "node-0", Addr: "10.0.0.1:7110", Control: "10.0.0.1:7000", Zone: "zone", Disk: 21,
			First: true, Life: 31, Founded: true, Leaving: true, House: 41}, Known: []string{"10.0.0.2:7110", "10.0.0.3:7110"}, Begun: true, Parts: true,
			Knows: 51}},
		{Ping: &WireHeartbeat{Stale: 150 * time.Millisecond, Index: 6, Lives: []byte{7}, View: 2, Clock: 1234567890, Echo: 987654321,
			Leaders: []membership.Slot{2, 1}}},
		{Found: []replication.Member{{ID: 21, Addr: "10.0.0.1:7110"}, {ID: 22, Addr: "10.0.0.2:7110"}}},
		{Core: &CoreMessage{From: 21, Message: message.Wire(), Hears: []byte{5}}},
		{Board: &registry.WireMessage{Nr: 8, Words: []registry.WireRecord{wireRecordSet("word")}, Beats: []registry.WireRecord{wireRecordSet("beat")},
			Doubts: []registry.WireRecord{wireRecordSet("doubt")}, Acks: []uint64{1, 2}, All: true, Unreached: []registry.Slot{3, 4}}},
		{Follow: &WireStreamRequest{After: 6, Anew: true, Ends: true, Clock: 5, Had: wireChunkSet(60, "had"), Chunks: true}},
		{Feed: &WireStreamData{After: 6, State: []byte("state"), Entries: [][]byte{[]byte("entry"), []byte("e")}, Stale: 20 * time.Millisecond, View: 2,
			Echo: 3, Index: 7, Chunk: wireChunkSet(70, "chunk"), Log: true}},
		{Call: call},
		{Reply: reply},
		{Rollout: &WireRolloutMessage{Seat: 2, Hops: 1, Report: report.Wire()}},
		{Rollout: &WireRolloutMessage{Lap: &rollout.Lap{Service: "service", Number: 3, Lap: 2}}},
		{Part: &WireCallChunk{Call: call, Chunk: wireChunkSet(80, "part")}},
		{Part: &WireCallChunk{Reply: reply, Had: wireChunkSet(90, "had of the part")}},
		{Groups: lines},
	}
	for _, m := range wireCoordination() {
		frames = append(frames, &Frame{Coordination: m.Encode()})
	}
	return frames
}

// What a node of commit dd5a45a sends is read with every field's value, those of the messages within included, and the stream sets
// every field there is.
func TestFramesOfDD5A45A(t *testing.T) {
	stream, err := os.ReadFile("testdata/dd5a45a.frames")
	must.NoError(t, err)
	x := receivedFrames{make(chan *Frame, 100), make(chan string, 100)}
	c, err := net.Dial("tcp", startMesh(t, x).Addr())
	must.NoError(t, err)
	defer c.Close()
	_, err = c.Write(stream)
	must.NoError(t, err)
	var messages []*coordination.Message
	var lines []groupMessage
	for _, want := range wireFrames() {
		got := <-x.frames
		must.Eq(t, want, got)
		if got.Coordination != nil {
			m, err := coordination.DecodeMessage(got.Coordination)
			must.NoError(t, err)
			messages = append(messages, m)
		}
		if got.Groups != nil {
			must.NoError(t, got.Groups.forEach(func(l *groupMessage) { lines = append(lines, *l) }))
		}
	}
	must.Eq(t, wireCoordination(), messages)
	must.True(t, reflect.DeepEqual(wireGroupLines(), lines))
	unset := map[string]bool{}
	unsetFields(wireFrames(), unset)
	must.Eq(t, newerThanDD5A45A, unset)
}

// newerThanDD5A45A are the fields that the program at commit dd5a45a neither sends nor reads.
var newerThanDD5A45A = map[string]bool{"Board.Unstored": true, "Board.Stored": true}

// What this program sends is read by a node of commit dd5a45a, by that program's names of fields, with the same values: none is missing.
func TestFramesForDD5A45A(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	x := receivedFrames{make(chan *Frame, 100), make(chan string, 100)}
	m, to := startMesh(t, x), ln.Addr().String()
	m.Connect(to)
	c, err := ln.Accept()
	must.NoError(t, err)
	defer c.Close()
	must.Eq(t, to, <-x.linksUp) // what was sent before is lost
	frames := wireFrames()
	for _, f := range frames {
		must.True(t, m.Send(to, f))
	}
	was, err := os.Open("testdata/dd5a45a.frames")
	must.NoError(t, err)
	defer was.Close()
	type opening struct {
		From string
		Life uint64
		Both bool
		Nr   uint64
	}
	old, now := gob.NewDecoder(was), gob.NewDecoder(c)
	var a, b opening
	must.NoError(t, old.Decode(&a))
	must.NoError(t, now.Decode(&b))
	must.Eq(t, opening{From: "127.0.0.1:0", Life: 31, Nr: 1}, a)
	must.Eq(t, a, b)
	set := map[string]bool{}
	for range frames {
		var a, b wireFrame
		must.NoError(t, old.Decode(&a))
		must.NoError(t, now.Decode(&b))
		must.Eq(t, a, b)
		setFields("", reflect.ValueOf(a), set)
	}
	must.ErrorIs(t, old.Decode(&wireFrame{}), io.EOF)
	for name, is := range set {
		must.True(t, is, must.Sprintf("the stream sets %s", name))
	}
}

// setFields notes of each field whether it has a value anywhere below v.
func setFields(path string, v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			setFields(path, v.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			setFields(path, v.Index(i), set)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name := path + "." + v.Type().Field(i).Name
			set[name] = set[name] || !v.Field(i).IsZero()
			setFields(name, v.Field(i), set)
		}
	}
}

// testdata/dd5a45a.registry is the registry as it was stored beside the log at commit dd5a45a.
func TestRegistryOnDiskOfDD5A45A(t *testing.T) {
	kept, err := os.ReadFile("testdata/dd5a45a.registry")
	must.NoError(t, err)
	want := []registry.WireRecord{wireRecordSet("one"), wireRecordSet("two")}
	got, err := decodeBackends(kept)
	must.NoError(t, err)
	must.Eq(t, registry.FromWireRecords(want), got)
	var before, after []wireRecord
	must.NoError(t, gob.NewDecoder(bytes.NewReader(kept)).Decode(&before))
	must.NoError(t, gob.NewDecoder(bytes.NewReader(encodeBackends(got))).Decode(&after))
	must.Eq(t, before, after)
	set := map[string]bool{}
	setFields("", reflect.ValueOf(before), set)
	for name, is := range set {
		must.True(t, is, must.Sprintf("the record sets %s", name))
	}
}
