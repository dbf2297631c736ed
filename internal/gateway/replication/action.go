package replication

import "time"

// Action is a step that Replica.Next returns for the host to execute: a Send, Write, Commit, Restore, Outcome or Wake.
type Action interface{ action() }

// Send is a message to be sent. The message may be lost.
type Send struct {
	Recipient Member // Addr is empty if the replica does not know the address
	Message   Message
}

// Commit contains the next committed entry. Entries of kind EntryNoOp and EntryConfigChange are included, so Index has no gaps.
type Commit struct{ Entry Entry }

// Restore replaces the host's state. The next Commit has the index after Index. Restore is the first action if the disk contains
// a snapshot. It also occurs later, when the leader has compacted entries that this member lacks.
type Restore struct {
	Index uint64
	State []byte // empty: the initial state of a new system
}

// Outcome is the result of a proposal or a read.
type Outcome struct {
	Token uint64 // the token that was passed to Propose or Read
	// For a proposal, Index is the index of its entry, whose Commit came just before. For a read,
	// the host may answer from its state once it has applied all entries up to Index.
	Index  uint64
	Status OutcomeStatus
	Leader Member // the known leader if Status is OutcomeNotLeader; empty for all other statuses
}

// OutcomeStatus is the status of a finished proposal or read.
type OutcomeStatus uint8

// A proposal with the status OutcomeNotLeader, OutcomeNoLeader or OutcomeBusy was not accepted and will never be committed.
const (
	OutcomeCommitted OutcomeStatus = iota
	OutcomeNotLeader               // the request must go to Outcome.Leader
	OutcomeNoLeader                // no leader is known, or the leader has no quorum or is transferring its leadership
	OutcomeBusy                    // the limit for pending proposals, uncommitted bytes or pending reads is reached
	OutcomeUnknown                 // the proposal may have been committed, or may still be committed
)

// String returns the text that callers of the control API see. In the text of OutcomeBusy, "too many wait" refers to proposals and
// reads that wait for their Outcome.
func (o OutcomeStatus) String() string {
	return [...]string{"done", "not the leader", "no leader that hears a majority", "too many wait", "unknown"}[o]
}

// Wake requests a call of Tick at Deadline. A Wake replaces any earlier Wake. Deadline counts from the same start as the times that
// the host passes to Tick.
type Wake struct{ Deadline time.Duration }

func (Send) action()    {}
func (Write) action()   {}
func (Commit) action()  {}
func (Restore) action() {}
func (Outcome) action() {}
func (Wake) action()    {}
