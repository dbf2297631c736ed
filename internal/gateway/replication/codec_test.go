package replication

import (
	"testing"

	"github.com/shoenig/test/must"
)

// codecMessages are of each kind, with each field.
var codecMessages = []Message{
	{Kind: MsgAppend, House: 1<<32 - 1, To: 1<<40 - 1, View: 7, Index: 300, At: 7, Delivered: 299, Round: 12, Contact: -1},
	{Kind: MsgAppend, House: 9, To: 2, View: 7, Index: 300, At: 6, Contact: -1, Entries: []Entry{{Index: 301, View: 7, Data: []byte("change")},
		{Index: 302, View: 7, Kind: EntryConfigChange, Members: []Member{{1, "10.0.0.1:7110"}, {2, "10.0.0.2:7110"}}}, {Index: 303, View: 7, Kind: EntryNoOp}}},
	{Kind: MsgAppend, House: 9, To: 2, View: 7, Index: 5, At: 2, Contact: -1, Snap: &Snapshot{Index: 5, View: 2, Members: []Member{{1, "a"}}, State: []byte("state")}},
	{Kind: MsgAppendChunk, House: 9, To: 2, View: 7, Contact: -1, Snap: &Snapshot{Index: 5, View: 2, Members: []Member{{1, "a"}}},
		Chunk: &Chunk{Index: 5, View: 2, Sum: 1<<64 - 1, Size: 100, Offset: 40, Data: []byte("chunk")}},
	{Kind: MsgAppendAck, House: 9, To: 2, View: 7, Index: 300, Round: 12, Chunks: true, Contact: -1},
	{Kind: MsgPreVoteResponse, House: 9, To: 2, View: 7, Round: 3, No: true, Contact: -1},
	{Kind: MsgAppend, House: 9, To: 2, View: 7, Elsewhere: 8, Contact: -1},
	{},
}

// A message comes out as it went in, and what follows it is left; cut short anywhere it is an error.
func TestMessagesInCompactForm(t *testing.T) {
	for _, m := range codecMessages {
		m.Contact = -1
		b := AppendMessage(nil, &m)
		got, rest, err := DecodeMessage(append(b, "more"...))
		must.NoError(t, err)
		must.Eq(t, m, got)
		must.Eq(t, "more", string(rest))
		for n := range b {
			_, _, err := DecodeMessage(b[:n])
			must.ErrorIs(t, err, ErrTruncatedMessage)
		}
	}
	must.Less(t, 32, len(AppendMessage(nil, &codecMessages[0])))
}

// Whatever comes, reading it neither ends the process nor takes more memory than it has bytes; what can be read is worded the same again.
func FuzzReadMessage(f *testing.F) {
	for _, m := range codecMessages {
		f.Add(AppendMessage(nil, &m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, _, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, rest, err := DecodeMessage(AppendMessage(nil, &m))
		must.NoError(t, err)
		must.Eq(t, 0, len(rest))
		must.Eq(t, m, again)
	})
}
