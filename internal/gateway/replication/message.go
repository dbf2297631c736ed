// What the replicated log is told and what it gives out: members, entries, messages, actions, and what is kept on disk.

package replication

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// MemberID names a member's disk: drawn at random for each empty disk, never 0. One that was lost never
// comes back.
type MemberID uint64

// Member is a disk and where its node is reached.
type Member struct {
	ID   MemberID
	Addr string // host:port; at most one member of a view is at an address
}

// EntryKind tells what an entry is.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNormal       EntryKind = iota // the host's own
	EntryConfigChange                  // the members from here on
	EntryNoOp                          // the first of a view
)

// Entry is one place in the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte   // of a Change; never changed once proposed
	Members     []Member // of a EntryConfigChange: the whole new list
}

// Snapshot is the host's state after an index, in the place of the log up to there.
type Snapshot struct {
	Index, Term uint64
	Members     []Member
	State       []byte // empty means the state that a system starts with
}

// PersistentState is what the disk holds. The zero value but for Me is an empty disk.
type PersistentState struct {
	ID        MemberID
	ClusterID uint64   // tells one founding from another; 0 on an empty disk
	Term      uint64   // the newest view taken part in or promised
	Vote      MemberID // who was promised it
	Commit    uint64   // known to be committed up to here, maybe further
	Snapshot  Snapshot
	Entries   []Entry // from Snap.Index+1 on
}

// Validate tells what is wrong with what a disk held.
func (p *PersistentState) Validate() error {
	last := p.Snapshot.Index + uint64(len(p.Entries))
	switch {
	case p.ID == 0:
		return errors.New("no member's id")
	case p.ClusterID == 0 && (p.Term != 0 || last != 0):
		return errors.New("not founded, yet with entries or a promise")
	case p.ClusterID != 0 && (p.Snapshot.Index == 0 || len(p.Snapshot.Members) == 0):
		return errors.New("founded, yet without members")
	case p.Commit < p.Snapshot.Index || p.Commit > last:
		return errors.Errorf("delivered up to %d, kept are %d to %d", p.Commit, p.Snapshot.Index, last)
	}
	view := p.Snapshot.Term
	for i, e := range p.Entries {
		if e.Index != p.Snapshot.Index+1+uint64(i) || e.Term < view || e.Term > p.Term {
			return errors.Errorf("entry %d of view %d stands in place %d", e.Index, e.Term, p.Snapshot.Index+1+uint64(i))
		}
		view = e.Term
	}
	return nil
}

// Apply is what a write does to a disk.
func (p *PersistentState) Apply(w Write) {
	p.ClusterID, p.Term, p.Vote, p.Commit = w.ClusterID, w.Term, w.Vote, w.Commit
	if w.Snapshot != nil {
		gone := min(w.Snapshot.Index-p.Snapshot.Index, uint64(len(p.Entries)))
		p.Snapshot, p.Entries = *w.Snapshot, slices.Clone(p.Entries[gone:])
	}
	if w.FirstIndex > 0 {
		keep := min(w.FirstIndex-p.Snapshot.Index-1, uint64(len(p.Entries)))
		p.Entries = append(slices.Clone(p.Entries[:keep]), w.Entries...)
	}
}

// Config are the spans and bounds.
type Config struct {
	HeartbeatInterval   time.Duration // between a leader's heartbeats
	ElectionTimeout     time.Duration // the least time without a leader before another view is asked for
	ElectionJitter      time.Duration // on top of Patience, by chance
	QuorumTimeout       time.Duration // a leader that no majority answered for so long stops leading
	CommitNotifyDelay   time.Duration // others hear at most this late what was committed
	RetransmitTimeout   time.Duration // a window that nobody acknowledged goes again, a whole snapshot snapshotRetransmitFactor times as late
	LearnerTimeout      time.Duration // a node to be admitted that says nothing for so long is given up
	MaxPending          int           // most proposals, and most reads, that wait
	MaxUncommittedBytes int           // bytes of entries that are not committed, but always one entry; 0: not bounded
	MaxMessageBytes     int           // bytes of entries in one message, but always one entry
	MaxInflightBytes    int           // bytes in flight to one member; what is larger goes in chunks. 0: not bounded
	ChunkBytes          int           // bytes of a chunk
	TrailingBytes       int           // bytes of entries that are kept after they went into a snapshot, at the least
	LogID               LogID         // which of its disk's logs it is
	ReadMinimalQuorum   bool          // a round of reads asks a bare majority first, and the others with the next heartbeat
}

// DefaultConfig are for links of a few ms and from 2 Mbit/s on, and disks of some ms a sync: a window to each of a handful of
// receivers holds up a heartbeat on such a link by less than a member is patient.
func DefaultConfig() Config {
	return Config{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, ElectionJitter: 400 * time.Millisecond,
		QuorumTimeout: time.Second, CommitNotifyDelay: 20 * time.Millisecond, RetransmitTimeout: 500 * time.Millisecond, LearnerTimeout: 3 * time.Second,
		MaxPending: 1024, MaxUncommittedBytes: 8 << 20, MaxMessageBytes: 16 << 10, MaxInflightBytes: 16 << 10, ChunkBytes: 8 << 10, TrailingBytes: 64 << 10}
}

// MessageKind tells what a message is.
type MessageKind uint8

// The kinds of messages; the comments tell what their fields hold.
const (
	MsgAppend          MessageKind = iota + 1 // leader's: Entries (maybe none) after Index of view At, or a Snap up to there
	MsgAppendAck                              // all up to Index is as the leader's, and synced; Round as heard
	MsgAppendReject                           // Index is not as told; committed is Index; Round as heard
	MsgStaleTerm                              // promised to a newer View
	MsgPreVote                                // has the leader been lost? Round tells this asking from others
	MsgPreVoteResponse                        // No: it has not
	MsgRequestVote                            // stop the views before View and wait for its leader
	MsgVoteGranted                            // promised, on disk; the last entry is Index of view At
	MsgFetchLog                               // the log after Index, please
	MsgLogTail                                // the log after Index, or a Snap and all after it
	MsgTimeoutNow                             // the leader leaves: ask for the next view now
	MsgAppendChunk                            // leader's: as Append, but Chunk is a part of what Snap or the one of Entries lacks
	MsgChunkAck                               // of the blob that Chunk names all before its Offset is had, in memory; Round as heard
)

// Message is what members say. One lost, doubled or late does no harm.
type Message struct {
	Kind                MessageKind
	ClusterID           uint64
	Recipient           MemberID // who moved in at the same address since must not take it
	Term                uint64
	Index, LogTerm      uint64
	Commit              uint64
	Seq                 uint64
	ReplicatedElsewhere uint64 // of a heartbeat to one that leaves: see Elsewhere
	Rejected            bool
	Entries             []Entry
	Snapshot            *Snapshot
	Chunk               *Chunk
	AcceptsChunks       bool // in acks and rejects: the sender takes chunks

	Clock, EchoedClock uint32 // of Append, Ack and Reject: the sender's, and the newest heard from the other in this view
	ContactAgeMillis   int64  // of Append: how old its majority's contact is, in ms; below nought while there was none
}

// Action is what the host is to do: Send, Write, Commit, Restore, Outcome or Wake.
type Action interface{ action() }

// Send is a message to be sent, or lost.
type Send struct {
	Recipient Member
	Message   Message
}

// Write is to be put on disk and synced as a whole, in the order of Nr; then Synced(Nr) is due. If it
// fails, it is to be tried again, or the process must end: a later one must not be written without it.
type Write struct {
	Seq        uint64
	ClusterID  uint64
	Term       uint64
	Vote       MemberID
	Commit     uint64
	Snapshot   *Snapshot // if set, it takes the place of the old one and of the entries up to its index
	FirstIndex uint64    // if not 0, the entries from here on are Entries and no others
	Entries    []Entry
}

// Merge is one write that does what two do, one after the other.
func (w Write) Merge(next Write) Write {
	if s := next.Snapshot; s == nil {
		next.Snapshot = w.Snapshot
	} else if w.FirstIndex > 0 && w.FirstIndex <= s.Index {
		w.Entries = w.Entries[min(uint64(len(w.Entries)), s.Index+1-w.FirstIndex):]
		w.FirstIndex = s.Index + 1
	}
	switch {
	case w.FirstIndex == 0:
	case next.FirstIndex == 0:
		next.FirstIndex, next.Entries = w.FirstIndex, w.Entries
	case next.FirstIndex > w.FirstIndex:
		keep := min(uint64(len(w.Entries)), next.FirstIndex-w.FirstIndex)
		next.FirstIndex, next.Entries = w.FirstIndex, slices.Concat(w.Entries[:keep], next.Entries)
	}
	return next
}

// Commit is the next entry of the order. EntryNoOp and EntryConfigChange are committed too: Index has no gaps.
type Commit struct{ Entry Entry }

// Restore is the state to start from; Commit goes on after its Index. It comes first when the disk held
// one, and later if the log up to there was not to be had from the leader.
type Restore struct {
	Index uint64
	State []byte // empty means the state that a system starts with
}

// OutcomeStatus tells how a proposal or a read ended.
type OutcomeStatus uint8

// The verdicts. All but Done and Unknown promise that nothing was or will be taken.
const (
	OutcomeCommitted OutcomeStatus = iota
	OutcomeNotLeader               // Leader is the one to ask
	OutcomeNoLeader                // no leader is known, or this one hears no majority
	OutcomeBusy                    // too many wait
	OutcomeUnknown                 // may have been taken, or may still be
)

func (o OutcomeStatus) String() string {
	return [...]string{"done", "not the leader", "no leader that hears a majority", "too many wait", "unknown"}[o]
}

// Outcome is the end of a proposal (Index: its place; it was committed just before) or of a read (Index:
// what was committed up to here is as new as anything acknowledged before the read came).
type Outcome struct {
	Token  uint64
	Index  uint64
	Status OutcomeStatus
	Leader Member // with OutcomeNotLeader
}

// Wake asks for Now at that time, in the place of any earlier Wake.
type Wake struct{ Deadline time.Duration }

func (Send) action()    {}
func (Write) action()   {}
func (Commit) action()  {}
func (Restore) action() {}
func (Outcome) action() {}
func (Wake) action()    {}
