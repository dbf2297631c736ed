package groups

import (
	"hash/fnv"
	"strings"
	"time"
)

// Count is the number of groups. It is part of what is on disk: another number would move names between groups.
const Count = 8

// ID names a group: 0 to Count-1.
type ID uint8

// GroupOf is the group of a lock's or a counter's whole name, or of a key group's name: see KeyGroup.
func GroupOf(name string) ID {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	hash := sum.Sum32()
	return ID((hash ^ hash>>16) % Count)
}

// KeyGroup is the name of the group of keys that a key belongs to: up to its first dot, with the dot. A key without a dot is a
// group of its own, by its whole name.
func KeyGroup(key string) string {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1]
	}
	return key
}

// StateMachine is what a group's log is applied to. It does no I/O and reads no clock: the same entries give the same state and the
// same results at each member.
type StateMachine interface {
	// Apply applies the next entry and gives its result, which goes to whoever proposed it. Indexes rise, with gaps: the log has
	// entries of its own between. An entry that can't be read changes nothing.
	Apply(index uint64, entry []byte) (result []byte)
	// Snapshot is the complete state, the same bytes at each member for the same entries.
	Snapshot() []byte
	// Restore replaces the complete state. Empty means the state that a group starts with. It may come at any time: a member that was
	// away is sent a snapshot in the place of the entries.
	Restore(state []byte) error
}

// Outcome tells how a proposal ended.
type Outcome uint8

// The outcomes.
const (
	Applied     Outcome = iota // committed and applied here; the result is Apply's
	NotProposed                // nothing was proposed and never will be: it may be proposed again, here or elsewhere
	Ambiguous                  // may have been committed, or may still be
)

// String words an outcome.
func (o Outcome) String() string { return [...]string{"applied", "not proposed", "unclear"}[o] }

// Host runs the groups at a node.
type Host interface {
	// Propose appends an entry to a group's log, where this node leads it. The entry must not be changed afterwards. done is called
	// once, in a turn, maybe before Propose returns. Proposals are bounded in number and bytes, beyond which the outcome is
	// NotProposed. They are not bounded in time: a caller gives up by itself, and takes the outcome for Ambiguous then.
	Propose(group ID, entry []byte, done func(outcome Outcome, result []byte))
	// ReadIndex calls done once all entries that were committed before the call are applied here, and a majority confirmed after the
	// call that this node still led: a leader that stood still finds out by it before it answers. False: this node does not lead, or
	// lost the lead meanwhile. done may be called before ReadIndex returns.
	ReadIndex(group ID, done func(ok bool))
	// Leadership tells whether this node leads a group: in which term, and since when by this node's steady clock. It does so once an
	// entry of its own term is committed and applied, so that all that earlier leaders acknowledged is applied too. It is true of the
	// past alone: another may lead by now, which Propose and ReadIndex find out.
	Leadership(group ID) (term uint64, since time.Duration, ok bool)
	// Leader is the address among nodes of a group's leader, as far as is known here; false: not known.
	Leader(group ID) (address string, ok bool)
	// LeaderCandidates are the addresses to ask for a group, the likeliest first, this node's own among them where it has a disk; three
	// at the most.
	LeaderCandidates(group ID) []string
	// HintLeader notes that another node named a group's leader, in its reply to a call that was forwarded to it.
	HintLeader(group ID, address string)
	// Now is this node's steady clock.
	Now() time.Duration
}

// Application is what the groups order. Its methods are called by the host at a node with a disk, each in a turn.
type Application interface {
	// StateMachine is a group's. It is called once for each, before anything else that concerns the group.
	StateMachine(group ID) StateMachine
	// LeadershipGained says that this node leads a group now, in the sense of Host.Leadership.
	LeadershipGained(group ID, term uint64)
	// LeadershipLost says that it does no longer. Proposals that had not ended have ended as Ambiguous before.
	LeadershipLost(group ID, term uint64)
}
