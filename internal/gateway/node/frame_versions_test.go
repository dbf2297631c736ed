package node

import (
	"encoding/gob"
	"io"
	"net"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/transport"
)

// testdata/before.frames is a link's whole stream as the version before wrote it (of 2 December 2026, before all was renamed): its opening
// and a frame of each kind in which every field is set.

// Fields that are newer than that: the version before neither sends nor reads them.
var newer = []string{"Board.Stored", "Board.Unreached", "Board.Unstored", "Coordination", "Core.Hears", "Groups", "Hello.Knows", "Hello.Parts", "Part", "Ping.Leaders"}

// The types of the version before, as far as gob goes by them: names and kinds of fields.
type (
	pastFrame struct {
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
		}
		Ping *struct {
			Stale time.Duration
			Index uint64
			Lives []byte
			View  uint64
			Clock uint32
			Echo  uint32
		}
		Found []pastMember
		Core  *struct {
			From    uint64
			Message struct {
				Kind                                         uint8
				House, To, View, Index, At, Delivered, Round uint64
				Elsewhere                                    uint64
				No                                           bool
				Entries                                      []struct {
					Index, View uint64
					Kind        uint8
					Data        []byte
					Members     []pastMember
				}
				Snap *struct {
					Index, View uint64
					Members     []pastMember
					State       []byte
				}
				Chunk       *pastChunk
				Chunks      bool
				Clock, Echo uint32
				Contact     int64
			}
		}
		Board *struct {
			Nr                   uint64
			Words, Beats, Doubts []pastRecord
			Acks                 []uint64
			All                  bool
		}
		Follow *struct {
			After      uint64
			Anew, Ends bool
			Clock      uint32
			Had        *pastChunk
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
			Chunk   *pastChunk
			Log     bool
		}
		Call *struct {
			Asker uint64
			Nr    uint32
			Kind  byte
			Body  []byte
			Hops  int
		}
		Reply *struct {
			Asker  uint64
			Nr     uint32
			Status int
			Body   []byte
		}
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
				Counts    [2][2]pastTally
				Evidence  []byte
			}
			Lap *struct {
				Service string
				Number  uint64
				Lap     int
			}
		}
	}
	pastMember struct {
		ID   uint64
		Addr string
	}
	pastChunk struct {
		Index, View, Sum, Size, Offset uint64
		Data                           []byte
	}
	pastRecord struct {
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
	pastTally struct {
		Ends  uint32
		By    [5]uint32
		Times [26]uint32
	}
)

// pastFrames are the frames of the version before, as this one has them.
func pastFrames() []*Frame {
	word := registry.WireRecord{ID: "i-1", Service: "s", Addr: "10.0.0.9:80", Zone: "z", Generation: "g", Capacity: 4, Phase: registry.Draining,
		ColdLeft: time.Second, Seq: 5, Drained: true, Final: true, Age: 2 * time.Second, Keeper: 1, Fence: 3, Missed: 2}
	chunk := &replication.Chunk{Index: 7, View: 2, Sum: 11, Size: 12, Offset: 4, Data: []byte("chunk")}
	members := []replication.Member{{ID: 21, Addr: "10.0.0.1:7110"}, {ID: 22, Addr: "10.0.0.2:7110"}}
	report := &rollout.Report{Service: "s", Number: 3, Step: 1, Lap: 2, Incarnation: 9, Seq: 4, Zone: "z", RolledBack: true, CanaryBackends: 2, Evidence: []byte("e")}
	report.Counts[1][0] = rollout.Tally{Outcomes: 5, ByCause: [5]uint32{1, 2, 3, 4, 5}, Latencies: [rollout.LatencyBuckets]uint32{3: 7, 25: 1}}
	return []*Frame{
		{Hello: &membership.WireHello{Door: membership.WireNode{Name: "door-0", Addr: "10.0.0.1:7110", Control: "10.0.0.1:7000", Zone: "z", Disk: 21,
			First: true, Life: 31, Founded: true, Leaving: true, House: 41}, Known: []string{"10.0.0.2:7110"}, Begun: true}},
		{Ping: &WireHeartbeat{Stale: 150 * time.Millisecond, Index: 6, Lives: []byte{7}, View: 2, Clock: 1234567890, Echo: 987654321}},
		{Found: members},
		{Core: &CoreMessage{From: 21, Message: replication.WireMessage{Kind: replication.MsgAppend, House: 41, To: 22, View: 2, Index: 5, At: 1, Delivered: 4,
			Round: 3, Elsewhere: 2, No: true, Entries: []replication.WireEntry{{Index: 6, View: 2, Kind: replication.EntryNormal, Data: []byte("rbody")},
				{Index: 7, View: 2, Kind: replication.EntryConfigChange, Members: members}},
			Snap:  &replication.WireSnapshot{Index: 5, View: 1, Members: members, State: []byte("state")},
			Chunk: chunk, Chunks: true, Clock: 1234567890, Echo: 987654321, Contact: -1}}},
		{Board: &registry.WireMessage{Nr: 8, Words: []registry.WireRecord{word}, Beats: []registry.WireRecord{word}, Doubts: []registry.WireRecord{word},
			Acks: []uint64{1, 2}, All: true}},
		{Follow: &WireStreamRequest{After: 6, Anew: true, Ends: true, Clock: 5, Had: chunk, Chunks: true}},
		{Feed: &WireStreamData{After: 6, State: []byte("state"), Entries: [][]byte{[]byte("rbody"), []byte("s")}, Stale: 20 * time.Millisecond, View: 2,
			Echo: 3, Index: 7, Chunk: chunk, Log: true}},
		{Call: &WireCall{Asker: 31, Nr: 2, Kind: 'r', Body: []byte("{}"), Hops: 1}},
		{Reply: &WireReply{Asker: 31, Nr: 2, Status: 412, Body: []byte("conflict")}},
		{Rollout: &WireRolloutMessage{Seat: 2, Hops: 1, Report: report.Wire()}},
		{Rollout: &WireRolloutMessage{Lap: &rollout.Lap{Service: "s", Number: 3, Lap: 2}}},
	}
}

// receivedFrames is a node's end of the links, for a test.
type receivedFrames struct {
	frames  chan *Frame
	linksUp chan string
}

func (receivedFrames) PeerConnected(string)               {}
func (r receivedFrames) FrameReceived(_ string, f *Frame) { r.frames <- f }
func (r receivedFrames) LinkUp(to string)                 { r.linksUp <- to }
func (receivedFrames) LinkDown(string)                    {}

func startMesh(t *testing.T, x receivedFrames) *transport.Mesh[Frame] {
	m, err := transport.New[Frame]("127.0.0.1:0", 31, x, func(do func()) { do() })
	must.NoError(t, err)
	m.Start()
	t.Cleanup(m.Stop)
	return m
}

// What the version before says on a link is understood by this one, to the last field.
func TestFramesOfTheVersionBefore(t *testing.T) {
	stream, err := os.ReadFile("testdata/before.frames")
	must.NoError(t, err)
	x := receivedFrames{make(chan *Frame, 100), make(chan string, 100)}
	c, err := net.Dial("tcp", startMesh(t, x).Addr())
	must.NoError(t, err)
	defer c.Close()
	_, err = c.Write(stream)
	must.NoError(t, err)
	unset := map[string]bool{}
	for _, want := range pastFrames() {
		got := <-x.frames
		must.Eq(t, want, got)
	}
	unsetFields(pastFrames(), unset)
	var names []string
	for name := range unset {
		names = append(names, name)
	}
	slices.Sort(names)
	must.Eq(t, newer, names)
}

// unsetFields finds the fields that no frame sets.
func unsetFields(frames []*Frame, unset map[string]bool) {
	set := map[string]bool{}
	var look func(path string, v reflect.Value)
	look = func(path string, v reflect.Value) {
		switch v.Kind() {
		case reflect.Pointer:
			if !v.IsNil() {
				look(path, v.Elem())
			}
		case reflect.Slice, reflect.Array:
			for i := range v.Len() {
				look(path, v.Index(i))
			}
		case reflect.Struct:
			for i := range v.NumField() {
				name := path + "." + v.Type().Field(i).Name
				if path == "" {
					name = v.Type().Field(i).Name
				}
				set[name] = set[name] || !v.Field(i).IsZero()
				look(name, v.Field(i))
			}
		}
	}
	for _, f := range frames {
		look("", reflect.ValueOf(f))
	}
	for name, is := range set {
		if !is {
			unset[name] = true
		}
	}
}

// What this version says is understood by the version before: the same frames decode alike by its types, and one that it does not know
// is none of those that it does.
func TestFramesForTheVersionBefore(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	x := receivedFrames{make(chan *Frame, 100), make(chan string, 100)}
	m, to := startMesh(t, x), ln.Addr().String()
	m.Connect(to)
	c, err := ln.Accept()
	must.NoError(t, err)
	defer c.Close()
	was, err := os.Open("testdata/before.frames")
	must.NoError(t, err)
	defer was.Close()
	type opening struct {
		From string
		Life uint64
	}
	old, now := gob.NewDecoder(was), gob.NewDecoder(c)
	var a, b opening
	must.NoError(t, old.Decode(&a))
	must.Eq(t, to, <-x.linksUp) // what was sent before is lost
	frames := pastFrames()
	for _, f := range frames {
		must.True(t, m.Send(to, f))
	}
	must.NoError(t, now.Decode(&b))
	must.Eq(t, a.Life, b.Life)
	for range frames {
		var a, b pastFrame
		must.NoError(t, old.Decode(&a))
		must.NoError(t, now.Decode(&b))
		must.Eq(t, a, b)
	}
	must.ErrorIs(t, old.Decode(&pastFrame{}), io.EOF)
	f := &Frame{Part: &WireCallChunk{Call: &WireCall{Nr: 1}, Chunk: &replication.Chunk{Size: 1}}}
	must.True(t, m.Send(to, f))
	var empty pastFrame
	must.NoError(t, now.Decode(&empty))
	must.Eq(t, pastFrame{}, empty)
	f = &Frame{Core: &CoreMessage{From: 3, Hears: []byte{1}}}
	must.True(t, m.Send(to, f))
	must.NoError(t, now.Decode(&empty))
	must.Eq(t, 3, empty.Core.From)
}
