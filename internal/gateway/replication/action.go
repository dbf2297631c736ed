package replication

import "time"

// Action is what Replica.Next has the host do: a Send, Write, Commit, Restore, Outcome or Wake.
type Action interface{ action() }

// Send has a message sent. It may be lost.
type Send struct {
	Recipient Member // with an empty Addr if only the host can know it
	Message   Message
}

// Commit hands over the next committed entry. EntryNoOp and EntryConfigChange are handed over too: Index has no gaps.
type Commit struct{ Entry Entry }

// Restore replaces the host's state; Commit continues after its Index. It comes first if the disk had a snapshot, and later if
// the leader had compacted what this member lacks.
type Restore struct {
	Index uint64
	State []byte // empty: the state that a system starts with
}

// Outcome ends a proposal or a read.
type Outcome struct {
	Token  uint64 // as given to Propose or Read
	Index  uint64 // of a proposal: its entry's, committed just before; of a read: the state up to here is new enough
	Status OutcomeStatus
	Leader Member // with OutcomeNotLeader
}

// OutcomeStatus is how a proposal or a read ended.
type OutcomeStatus uint8

// The statuses. All but OutcomeCommitted and OutcomeUnknown guarantee that a proposal was not taken and never will be.
const (
	OutcomeCommitted OutcomeStatus = iota
	OutcomeNotLeader               // Outcome.Leader is the one to ask
	OutcomeNoLeader                // no leader is known, or this one has no quorum or transfers its leadership
	OutcomeBusy                    // too many proposals, bytes or reads are pending
	OutcomeUnknown                 // may have been committed, or may still be
)

// String is the text that callers of the control API see.
func (o OutcomeStatus) String() string {
	return [...]string{"done", "not the leader", "no leader that hears a majority", "too many wait", "unknown"}[o]
}

// Wake asks for a Tick at Deadline. It replaces any earlier Wake.
type Wake struct{ Deadline time.Duration }

func (Send) action()    {}
func (Write) action()   {}
func (Commit) action()  {}
func (Restore) action() {}
func (Outcome) action() {}
func (Wake) action()    {}
