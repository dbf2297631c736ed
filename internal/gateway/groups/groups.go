package groups

import (
	"hash/fnv"
	"strings"
	"time"
)

// Count is the number of groups. Stored data depends on it: another number would move names from one group to another.
const Count = 8

// ID is the number of a group, from 0 to Count-1.
type ID uint8

// GroupOf returns the group of a name. The name is the full name of a lock or a counter, or the name of a key group (see
// KeyGroup).
func GroupOf(name string) ID {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	hash := sum.Sum32()
	return ID((hash ^ hash>>16) % Count)
}

// KeyGroup returns the name of the key group that a key belongs to: the part of the key up to and including its first dot. A
// key without a dot forms a group by itself, which has the name of the key.
func KeyGroup(key string) string {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1]
	}
	return key
}

// StateMachine is the state machine to which the log of a group is applied. It does no I/O and reads no clock, so that the same
// entries produce the same state and the same results at each member.
type StateMachine interface {
	// Apply applies the next entry and returns its result, which the host passes to the proposer. The indexes rise, but with
	// gaps, because the log also holds internal entries. An entry that cannot be decoded changes nothing.
	Apply(index uint64, entry []byte) (result []byte)
	// Snapshot returns the complete encoded state. The same entries give the same bytes at each member.
	Snapshot() []byte
	// Restore replaces the complete state. An empty argument means the initial state of a group. Restore may be called at any
	// time, because a member that was away receives a snapshot instead of the entries that it missed.
	Restore(state []byte) error
}

// Outcome is the way in which a proposal ended.
type Outcome uint8

// Outcomes of a proposal.
const (
	// Applied means that the entry was committed and applied at this node. The result is that of Apply.
	Applied Outcome = iota
	// NotProposed means that the entry was not appended to a log and never will be. The caller may propose it again, at this
	// node or another.
	NotProposed
	// Ambiguous means that the entry may have been committed or may still be committed.
	Ambiguous
)

// String returns the outcome in words.
func (o Outcome) String() string { return [...]string{"applied", "not proposed", "unclear"}[o] }

// Host runs the groups at a node.
type Host interface {
	// Propose appends an entry to the log of a group if this node is its leader. The caller must not change the entry
	// afterwards. Propose calls done exactly once, in a turn of the node, possibly before Propose returns. The number and total
	// size of pending proposals are bounded. Beyond these bounds the outcome is NotProposed. A proposal has no time-out: a
	// caller that stops waiting must treat the outcome as Ambiguous.
	Propose(group ID, entry []byte, done func(outcome Outcome, result []byte))
	// ReadIndex calls done with true once this node has applied all entries that were committed before the call and a majority
	// has confirmed after the call that this node is still the leader. A leader that was suspended therefore detects a newer
	// leader before it answers a read. ReadIndex calls done with false if this node is not the leader or loses the leadership
	// in the meantime. It may call done before it returns.
	ReadIndex(group ID, done func(ok bool))
	// Leadership reports whether this node leads a group, in which term, and since when by the monotonic clock of this node. It
	// reports true only once an entry of the current term is committed and applied, so that everything that earlier leaders
	// acknowledged is applied too. The result describes the past: another node may lead by now, which Propose and ReadIndex
	// detect.
	Leadership(group ID) (term uint64, since time.Duration, ok bool)
	// Leader returns the inner address of the leader of a group, at which other nodes reach it, or false if this node does not
	// know the leader.
	Leader(group ID) (address string, ok bool)
	// LeaderCandidates returns at most three addresses of nodes to which a call for a group may be sent, the most likely leader
	// first. They include the address of this node if it has a disk.
	LeaderCandidates(group ID) []string
	// HintLeader records the leader of a group that another node named in its reply to a forwarded call.
	HintLeader(group ID, address string)
	// Now returns the time of the monotonic clock of this node.
	Now() time.Duration
}

// Application implements the calls that the groups order. The host calls its methods at a node with a disk, each in a turn of
// the node.
type Application interface {
	// StateMachine returns the state machine of a group. It is called once for each group, before any other call for that
	// group.
	StateMachine(group ID) StateMachine
	// LeadershipGained reports that this node now leads the group, as defined by Host.Leadership.
	LeadershipGained(group ID, term uint64)
	// LeadershipLost reports that this node no longer leads the group. All of its pending proposals have ended as Ambiguous
	// before this call.
	LeadershipLost(group ID, term uint64)
}
