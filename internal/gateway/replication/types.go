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
	Change       EntryKind = iota // the host's own
	ConfigChange                  // the members from here on
	NoOp                          // the first of a view
)

// Entry is one place in the log.
type Entry struct {
	Index, View uint64
	Kind        EntryKind
	Data        []byte   // of a Change; never changed once proposed
	Members     []Member // of a ConfigChange: the whole new list
}

// Snapshot is the host's state after an index, in the place of the log up to there.
type Snapshot struct {
	Index, View uint64
	Members     []Member
	State       []byte // empty means the state that a system starts with
}

// Kept is what the disk holds. The zero value but for Me is an empty disk.
type Kept struct {
	Me        MemberID
	House     uint64   // tells one founding from another; 0 on an empty disk
	Promise   uint64   // the newest view taken part in or promised
	For       MemberID // who was promised it
	Delivered uint64   // known to be committed up to here, maybe further
	Snap      Snapshot
	Entries   []Entry // from Snap.Index+1 on
}

// Check tells what is wrong with what a disk held.
func (k *Kept) Check() error {
	last := k.Snap.Index + uint64(len(k.Entries))
	switch {
	case k.Me == 0:
		return errors.New("no member's id")
	case k.House == 0 && (k.Promise != 0 || last != 0):
		return errors.New("not founded, yet with entries or a promise")
	case k.House != 0 && (k.Snap.Index == 0 || len(k.Snap.Members) == 0):
		return errors.New("founded, yet without members")
	case k.Delivered < k.Snap.Index || k.Delivered > last:
		return errors.Errorf("delivered up to %d, kept are %d to %d", k.Delivered, k.Snap.Index, last)
	}
	view := k.Snap.View
	for i, e := range k.Entries {
		if e.Index != k.Snap.Index+1+uint64(i) || e.View < view || e.View > k.Promise {
			return errors.Errorf("entry %d of view %d stands in place %d", e.Index, e.View, k.Snap.Index+1+uint64(i))
		}
		view = e.View
	}
	return nil
}

// Apply is what a write does to a disk.
func (k *Kept) Apply(w Write) {
	k.House, k.Promise, k.For, k.Delivered = w.House, w.Promise, w.For, w.Delivered
	if w.Snap != nil {
		gone := min(w.Snap.Index-k.Snap.Index, uint64(len(k.Entries)))
		k.Snap, k.Entries = *w.Snap, slices.Clone(k.Entries[gone:])
	}
	if w.From > 0 {
		keep := min(w.From-k.Snap.Index-1, uint64(len(k.Entries)))
		k.Entries = append(slices.Clone(k.Entries[:keep]), w.Entries...)
	}
}

// Terms are the spans and bounds.
type Terms struct {
	Beat     time.Duration // between a leader's heartbeats
	Patience time.Duration // the least time without a leader before another view is asked for
	Spread   time.Duration // on top of Patience, by chance
	Silence  time.Duration // a leader that no majority answered for so long stops leading
	Tell     time.Duration // others hear at most this late what was committed
	Resend   time.Duration // a window that nobody acknowledged goes again, a whole snapshot wholeAgain times as late
	Learn    time.Duration // a node to be admitted that says nothing for so long is given up
	Pending  int           // most proposals, and most reads, that wait
	Held     int           // bytes of entries that are not committed, but always one entry; 0: not bounded
	Batch    int           // bytes of entries in one message, but always one entry
	Window   int           // bytes in flight to one member; what is larger goes in chunks. 0: not bounded
	Chunk    int           // bytes of a chunk
	Trail    int           // bytes of entries that are kept after they went into a snapshot, at the least
	Log      LogID         // which of its disk's logs it is
	Narrow   bool          // a round of reads asks a bare majority first, and the others with the next heartbeat
}

// DefaultTerms are for links of a few ms and from 2 Mbit/s on, and disks of some ms a sync: a window to each of a handful of
// receivers holds up a heartbeat on such a link by less than a member is patient.
func DefaultTerms() Terms {
	return Terms{Beat: 150 * time.Millisecond, Patience: 400 * time.Millisecond, Spread: 400 * time.Millisecond,
		Silence: time.Second, Tell: 20 * time.Millisecond, Resend: 500 * time.Millisecond, Learn: 3 * time.Second,
		Pending: 1024, Held: 8 << 20, Batch: 16 << 10, Window: 16 << 10, Chunk: 8 << 10, Trail: 64 << 10}
}

// MessageKind tells what a message is.
type MessageKind uint8

// The kinds of messages; the comments tell what their fields hold.
const (
	Append      MessageKind = iota + 1 // leader's: Entries (maybe none) after Index of view At, or a Snap up to there
	Ack                                // all up to Index is as the leader's, and synced; Round as heard
	Reject                             // Index is not as told; committed is Index; Round as heard
	RefuseView                         // promised to a newer View
	PreVote                            // has the leader been lost? Round tells this asking from others
	PreVoted                           // No: it has not
	Prepare                            // stop the views before View and wait for its leader
	Promise                            // promised, on disk; the last entry is Index of view At
	FetchLog                           // the log after Index, please
	LogTail                            // the log after Index, or a Snap and all after it
	TakeOver                           // the leader leaves: ask for the next view now
	AppendChunk                        // leader's: as Append, but Chunk is a part of what Snap or the one of Entries lacks
	AckChunk                           // of the blob that Chunk names all before its Offset is had, in memory; Round as heard
)

// Message is what members say. One lost, doubled or late does no harm.
type Message struct {
	Kind      MessageKind
	House     uint64
	To        MemberID // who moved in at the same address since must not take it
	View      uint64
	Index, At uint64
	Delivered uint64
	Round     uint64
	Elsewhere uint64 // of a heartbeat to one that leaves: see Elsewhere
	No        bool
	Entries   []Entry
	Snap      *Snapshot
	Chunk     *Chunk
	Chunks    bool // in acks and rejects: the sender takes chunks

	Clock, Echo uint32 // of Append, Ack and Reject: the sender's, and the newest heard from the other in this view
	Contact     int64  // of Append: how old its majority's contact is, in ms; below nought while there was none
}

// Action is what the host is to do: Send, Write, Commit, Restore, Outcome or Wake.
type Action interface{ action() }

// Send is a message to be sent, or lost.
type Send struct {
	To      Member
	Message Message
}

// Write is to be put on disk and synced as a whole, in the order of Nr; then Synced(Nr) is due. If it
// fails, it is to be tried again, or the process must end: a later one must not be written without it.
type Write struct {
	Nr        uint64
	House     uint64
	Promise   uint64
	For       MemberID
	Delivered uint64
	Snap      *Snapshot // if set, it takes the place of the old one and of the entries up to its index
	From      uint64    // if not 0, the entries from here on are Entries and no others
	Entries   []Entry
}

// Then is one write that does what two do, one after the other.
func (w Write) Then(next Write) Write {
	if s := next.Snap; s == nil {
		next.Snap = w.Snap
	} else if w.From > 0 && w.From <= s.Index {
		w.Entries = w.Entries[min(uint64(len(w.Entries)), s.Index+1-w.From):]
		w.From = s.Index + 1
	}
	switch {
	case w.From == 0:
	case next.From == 0:
		next.From, next.Entries = w.From, w.Entries
	case next.From > w.From:
		keep := min(uint64(len(w.Entries)), next.From-w.From)
		next.From, next.Entries = w.From, slices.Concat(w.Entries[:keep], next.Entries)
	}
	return next
}

// Commit is the next entry of the order. NoOp and ConfigChange are committed too: Index has no gaps.
type Commit struct{ Entry Entry }

// Restore is the state to start from; Commit goes on after its Index. It comes first when the disk held
// one, and later if the log up to there was not to be had from the leader.
type Restore struct {
	Index uint64
	State []byte // empty means the state that a system starts with
}

// Verdict tells how a proposal or a read ended.
type Verdict uint8

// The verdicts. All but Done and Unknown promise that nothing was or will be taken.
const (
	Done      Verdict = iota
	NotLeader         // Leader is the one to ask
	NoLeader          // no leader is known, or this one hears no majority
	Busy              // too many wait
	Unknown           // may have been taken, or may still be
)

func (v Verdict) String() string {
	return [...]string{"done", "not the leader", "no leader that hears a majority", "too many wait", "unknown"}[v]
}

// Outcome is the end of a proposal (Index: its place; it was committed just before) or of a read (Index:
// what was committed up to here is as new as anything acknowledged before the read came).
type Outcome struct {
	Token   uint64
	Index   uint64
	Verdict Verdict
	Leader  Member // with NotLeader
}

// Wake asks for Now at that time, in the place of any earlier Wake.
type Wake struct{ At time.Duration }

func (Send) action()    {}
func (Write) action()   {}
func (Commit) action()  {}
func (Restore) action() {}
func (Outcome) action() {}
func (Wake) action()    {}
