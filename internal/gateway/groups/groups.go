// Package groups is the contract between the replicated groups and the coordination calls that they order. A group is one
// replicated log and what it folds to; each name belongs to one group, which orders all calls on it.
//
// Everything here is called within a turn of the node: by one goroutine at a time. Nothing blocks.
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

// StateMachine is what a group's log folds to. It does no I/O and reads no clock: the same entries give the same state and the
// same results at each member.
type StateMachine interface {
	// Apply takes the next entry and gives its result, which goes to whoever proposed it. Indexes rise, with gaps: the log has
	// entries of its own between. An entry that can't be read changes nothing.
	Apply(index uint64, entry []byte) (result []byte)
	// Snapshot is the whole state, the same bytes at each member for the same entries.
	Snapshot() []byte
	// Restore takes the place of the whole state. Empty means the state that a group starts with. It may come at any time:
	// a member that was away is given the state in the place of the entries.
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

func (o Outcome) String() string { return [...]string{"applied", "not proposed", "unclear"}[o] }

// Host runs the groups at a node.
type Host interface {
	// Propose puts an entry into a group's log, where this node leads it. The entry must not be changed afterwards. then is
	// called once, in a turn, maybe before Propose returns. It is bounded in entries and bytes that wait, beyond which the
	// outcome is NotProposed; it has no bound in time: who waits for it gives up by itself, and takes it for Unclear then.
	Propose(group ID, entry []byte, then func(outcome Outcome, result []byte))
	// ReadIndex calls then once all entries that were committed before it was asked are applied here, and a majority confirmed
	// after it was asked that this node still led. False: this node does not lead, or lost the lead meanwhile. then may be
	// called before Read returns. A leader that stood still finds out by it before it answers.
	ReadIndex(group ID, then func(ok bool))
	// Leadership tells whether this node leads a group: in which term, and since when by this node's steady clock. It does so once
	// an entry of its own term is committed and applied, so that all that earlier leaders acknowledged is applied too. It
	// is true of the past alone: another may lead by now, which Propose and Read find out.
	Leadership(group ID) (term uint64, since time.Duration, ok bool)
	// Leader is the address among nodes of the one who leads a group, as far as is known here; false: not known.
	Leader(group ID) (address string, ok bool)
	// LeaderCandidates are the addresses to be asked for a group, the likeliest first, this node's own among them where it has a
	// disk; three at the most.
	LeaderCandidates(group ID) []string
	// HintLeader notes that another node said who leads a group: in a reply to a call that was passed on.
	HintLeader(group ID, address string)
	// Now is this node's steady time.
	Now() time.Duration
}

// Application is told by the host at a node with a disk, each time in a turn. All calls on one group come in the order of its
// log.
type Application interface {
	// StateMachine is a group's, asked for once, before anything else is told of the group.
	StateMachine(group ID) StateMachine
	// LeadershipGained tells that this node leads a group now, in the sense of Host.Leading.
	LeadershipGained(group ID, term uint64)
	// LeadershipLost tells that it does no longer. What was proposed and not ended is told Unclear before it.
	LeadershipLost(group ID, term uint64)
}
