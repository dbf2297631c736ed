package replication

import (
	"testing"

	"github.com/shoenig/test/must"
)

// codecMessages are messages for the tests of the compact form. Each field of the compact form is set in at least one of the messages.
var codecMessages = []Message{
	{Kind: MsgAppend, ClusterID: 1<<32 - 1, Recipient: 1<<40 - 1, Term: 7, Index: 300, LogTerm: 7, Commit: 299, Seq: 12, ContactAgeMillis: -1},
	{Kind: MsgAppend, ClusterID: 9, Recipient: 2, Term: 7, Index: 300, LogTerm: 6, ContactAgeMillis: -1,
		Entries: []Entry{{Index: 301, Term: 7, Data: []byte("change")},
			{Index: 302, Term: 7, Kind: EntryConfigChange, Members: []Member{{1, "10.0.0.1:7110"}, {2, "10.0.0.2:7110"}}}, {Index: 303, Term: 7, Kind: EntryNoOp}}},
	{Kind: MsgAppend, ClusterID: 9, Recipient: 2, Term: 7, Index: 5, LogTerm: 2, ContactAgeMillis: -1,
		Snapshot: &Snapshot{Index: 5, Term: 2, Members: []Member{{1, "a"}}, State: []byte("state")}},
	{Kind: MsgAppendChunk, ClusterID: 9, Recipient: 2, Term: 7, ContactAgeMillis: -1, Snapshot: &Snapshot{Index: 5, Term: 2, Members: []Member{{1, "a"}}},
		Chunk: &Chunk{Index: 5, View: 2, Sum: 1<<64 - 1, Size: 100, Offset: 40, Data: []byte("chunk")}},
	{Kind: MsgAppendAck, ClusterID: 9, Recipient: 2, Term: 7, Index: 300, Seq: 12, AcceptsChunks: true, ContactAgeMillis: -1},
	{Kind: MsgPreVoteResponse, ClusterID: 9, Recipient: 2, Term: 7, Seq: 3, Rejected: true, ContactAgeMillis: -1},
	{Kind: MsgAppend, ClusterID: 9, Recipient: 2, Term: 7, ReplicatedElsewhere: 8, ContactAgeMillis: -1},
	{},
}

// Guards against an encoding that loses or changes fields. DecodeMessage must return the bytes after the message, and an error for a message
// that is truncated at any byte.
func TestCompactFormRoundTrip(t *testing.T) {
	for _, m := range codecMessages {
		m.ContactAgeMillis = -1
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

// Guards against malformed input that makes DecodeMessage panic or allocate much more memory than the size of the input. A message that can
// be decoded must be the same after it is encoded and decoded again.
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
