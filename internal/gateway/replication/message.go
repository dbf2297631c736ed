package replication

// MessageKind is the kind of a message. Its values are part of the wire format.
type MessageKind uint8

// Kinds of messages, with the fields that each kind uses in addition to ClusterID, Recipient and Term.
const (
	// MsgAppend is sent by the leader. It contains either Entries, which follow the entry with Index and LogTerm, or a Snapshot with
	// the state up to Index. An MsgAppend without entries and snapshot is a heartbeat.
	MsgAppend MessageKind = iota + 1
	// MsgAppendAck reports that the sender's log up to Index equals the leader's log and is synced. It also acknowledges the read
	// sequence Seq.
	MsgAppendAck
	// MsgAppendReject reports that the sender has no entry with the Index and LogTerm of the append. The Index of the MsgAppendReject
	// itself is the sender's commit index.
	MsgAppendReject
	// MsgStaleTerm answers a message that the sender does not accept because of the term of that message. Term is the sender's own
	// term. Rejected means that the sender is itself a candidate.
	MsgStaleTerm
	// MsgPreVote asks whether the receiver has lost the leader too. Seq is the number of the pre-vote attempt.
	MsgPreVote
	// MsgPreVoteResponse answers MsgPreVote. Rejected means that its sender has a leader or is the leader.
	MsgPreVoteResponse
	// MsgRequestVote requests a vote in Term.
	MsgRequestVote
	// MsgVoteGranted reports that the sender's vote is on disk. Index and LogTerm identify the last entry of the sender's log.
	MsgVoteGranted
	// MsgFetchLog is a candidate's request for the log after Index, which is the candidate's commit index.
	MsgFetchLog
	// MsgLogTail answers MsgFetchLog with the Entries after Index, or with Snapshot and the Entries after it.
	MsgLogTail
	// MsgTimeoutNow asks the receiver to start an election at once, because the leader transfers its leadership.
	MsgTimeoutNow
	// MsgAppendChunk is an MsgAppend with only a part of its data. Chunk is a part of the state of Snapshot, whose State is empty,
	// or of the data of the only entry in Entries, whose Data is empty.
	MsgAppendChunk
	// MsgChunkAck reports that the sender has all bytes of the blob before the Offset of Chunk in memory. It also acknowledges the read
	// sequence Seq.
	MsgChunkAck
)

// Message is a message between members. Messages may be lost, duplicated, delayed or reordered without harm.
type Message struct {
	Kind      MessageKind
	ClusterID uint64
	// Recipient is the ID of the receiving disk. An empty disk that has taken over the address of that disk ignores the message.
	Recipient MemberID
	Term      uint64

	Index, LogTerm uint64
	Commit         uint64 // the leader's commit index
	Seq            uint64 // the read sequence (number of a round of heartbeats, see read.go), or the number of a pre-vote attempt
	Rejected       bool
	Entries        []Entry
	Snapshot       *Snapshot
	Chunk          *Chunk

	// ReplicatedElsewhere is the index up to which a majority has the committed entries without the recipient. It is set in heartbeats
	// to a draining member: see Replica.IndexReplicatedElsewhere.
	ReplicatedElsewhere uint64

	// AcceptsChunks is set in acknowledgements and rejections if the sender's software version supports chunks.
	AcceptsChunks bool

	// Clock is the sender's time. EchoedClock is the newest clock that the sender has received from the other side in this
	// term. Both are set in messages between the leader and other members. See contact.go.
	Clock, EchoedClock uint32

	// ContactAgeMillis is the time since the leader's last known quorum contact (see contact.go), in milliseconds. Negative: no quorum
	// contact is known.
	ContactAgeMillis int64
}

// messageOverheadBytes is the approximate size of a message without entries, state and chunk.
const messageOverheadBytes = 64

// Size returns the approximate size of the message in bytes on a link.
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
