package replication

// MessageKind is what a message is for. Its numbers are on the wire.
type MessageKind uint8

// The kinds of messages, with the fields that each of them uses beside ClusterID, Recipient and Term.
const (
	// MsgAppend is the leader's: Entries, perhaps none, follow the entry of Index and LogTerm; or Snapshot has all up to there.
	MsgAppend MessageKind = iota + 1
	// MsgAppendAck reports that the log up to Index is as the leader's and synced, and acknowledges Seq.
	MsgAppendAck
	// MsgAppendReject reports that there is no entry of that Index and LogTerm. Index is the sender's commit index.
	MsgAppendReject
	// MsgStaleTerm answers a message of a term that the sender does not follow any more. Term is the sender's; Rejected: the
	// sender is a candidate itself.
	MsgStaleTerm
	// MsgPreVote asks whether the receiver has lost the leader too. Seq distinguishes attempts.
	MsgPreVote
	// MsgPreVoteResponse answers it. Rejected: the receiver has a leader.
	MsgPreVoteResponse
	// MsgRequestVote asks for a vote in Term.
	MsgRequestVote
	// MsgVoteGranted reports that the vote is on disk. The sender's last entry is of Index and LogTerm.
	MsgVoteGranted
	// MsgFetchLog is a candidate's request for the log after Index, which it has committed.
	MsgFetchLog
	// MsgLogTail answers it: Entries after Index, or Snapshot and the Entries after that.
	MsgLogTail
	// MsgTimeoutNow asks the receiver to start an election at once: the leader transfers its leadership.
	MsgTimeoutNow
	// MsgAppendChunk is as MsgAppend, but Chunk is a part of the state that Snapshot lacks, or of the data that the one of
	// Entries lacks.
	MsgAppendChunk
	// MsgChunkAck reports that all bytes of Chunk's blob before its Offset are in memory, and acknowledges Seq.
	MsgChunkAck
)

// Message is what members send to each other. One that is lost, duplicated, delayed or overtaken does no harm.
type Message struct {
	Kind      MessageKind
	ClusterID uint64
	Recipient MemberID // an empty disk that has taken over the address of the one that was meant ignores the message
	Term      uint64

	Index, LogTerm uint64
	Commit         uint64 // the leader's commit index
	Seq            uint64 // the read sequence, or a pre-vote's attempt
	Rejected       bool
	Entries        []Entry
	Snapshot       *Snapshot
	Chunk          *Chunk

	// ReplicatedElsewhere goes to a member that drains, with heartbeats: see Replica.ReplicatedElsewhere.
	ReplicatedElsewhere uint64

	// AcceptsChunks reports in acknowledgements and rejections that the sender's version takes chunks.
	AcceptsChunks bool

	// Clock is the sender's time, and EchoedClock the newest one that it received from the other in this term; in messages
	// between the leader and others. See contact.go.
	Clock, EchoedClock uint32

	// ContactAgeMillis is how long ago a majority was in contact with the leader, in milliseconds; negative: never in this term.
	ContactAgeMillis int64
}

// messageOverheadBytes is approximately what a message takes beside entries, state and chunk.
const messageOverheadBytes = 64

// Size is approximately how many bytes a message takes on a link.
func (m *Message) Size() int {
	size := messageOverheadBytes + totalEntryBytes(m.Entries)
	if m.Snapshot != nil {
		size += len(m.Snapshot.State)
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}
