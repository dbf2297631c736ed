package node

import (
	"time"

	"clovergap/internal/gateway/settings"
)

// Authority: what a node may do without word of a majority. A node's word of the core (contact) is an age: all that was acknowledged
// so long ago has been applied here. A member has it from the log (replica/contact.go), a node without a disk from the one that
// it follows, counted from when it asked and not from when the answer came, so that what stood on a link or came while this
// process stood still is as old as it is. The age runs by the steady clock alone, and is looked at anew for each
// decision: after a standstill nothing that was fresh before it still is.
//
// Nothing is written, confirmed or read by it: that takes a majority, whatever the age. Here is stated the rest, in one table.

// contactState is how a node stands to the core, for a right that ends at some age.
type contactState uint8

const (
	leaderInContact     contactState = 1 << iota // it leads, and a majority was in contact within the age
	followerInContact                            // its word of whoever leads is within the age
	leaderPartitioned                            // it leads, its word is older
	followerPartitioned                          // it does not lead, its word is older
	starting                                     // no word in this life, which is no older than an election takes
	noContact                                    // no word in this life

	inContact = leaderInContact | followerInContact
)

// permission is something that a node does for others.
type permission uint8

const (
	permitReady        permission = iota // clients are wanted here
	permitRefuse                         // 401 and 404, and 400 to a change that is wrong in itself, by its own state
	permitCalls                          // an order or a read is taken or passed on; otherwise it ends at once
	permitStream                         // its followers need not look for another node
	permitAckHeartbeat                   // a beat is acknowledged
	permitAckDrain                       // a draining or Leave is, once enough others have it
	permitRequestSlot                    // it asks for a slot
)

// permissions is the table: who has a right, within which age at a node with a disk and at one without, whose word is older by up to the time
// between two pings, and whether it takes a configuration. What is not named here needs no word of a majority: serving
// by the configuration that is there (2xx), its buckets' share by the nodes in reach, 200 to an order that is in its own
// committed log, feeding what it has to who knows nothing newer. And what needs a majority has it from the log itself,
// whatever the age: taking, confirming and refusing (412) an order, reading, giving a slot, members.
var permissions = [...]struct {
	who        contactState
	member     ageBound
	follower   ageBound
	configured bool
}{
	permitReady:        {inContact, settings.Bounds.ReadyMaxAge, settings.Bounds.ReadyMaxAge, true},
	permitRefuse:       {inContact, settings.Bounds.AuthoritativeMaxAge, settings.Bounds.AuthoritativeMaxAge, true},
	permitCalls:        {inContact | starting, settings.Bounds.PartitionedAge, settings.Bounds.ReadyMaxAge, false},
	permitStream:       {inContact, settings.Bounds.PartitionedAge, settings.Bounds.PartitionedAge, false},
	permitAckHeartbeat: {inContact | starting, settings.Bounds.PartitionedAge, settings.Bounds.ReadyMaxAge, false},
	permitAckDrain:     {inContact, settings.Bounds.PartitionedAge, settings.Bounds.PartitionedAge, false},
	permitRequestSlot:  {inContact, settings.Bounds.ReadyMaxAge, settings.Bounds.ReadyMaxAge, false},
}

// ageBound is a bound on that of a node's word, from the settings.
type ageBound func(settings.Bounds) time.Duration

// permitted tells whether this node has a right now.
func (n *Node) permitted(r permission) bool {
	return (!permissions[r].configured || n.table.Version() > 0) && n.hasContactFor(r)
}

// hasContactFor tells whether its word of a majority is enough for a right.
func (n *Node) hasContactFor(r permission) bool {
	within := permissions[r].member
	if n.core == nil {
		within = permissions[r].follower
	}
	switch without := n.fault; {
	case without == ackDrainAlone && r == permitAckDrain, without == queueWithoutContact && r == permitCalls,
		without == readyWithoutContact && (r == permitReady || r == permitRefuse), without == grantAllPermissions:
		return true
	}
	return permissions[r].who&n.contactState(within(n.settings.Bounds)) != 0
}

// contactState is this node's, for a right that ends at an age.
func (n *Node) contactState(within time.Duration) contactState {
	leading := n.isLeader() // the clock first
	age, _, ok := n.quorumContact()
	switch {
	case !ok && n.loop.Now()-n.startedAt < within:
		return starting
	case !ok:
		return noContact
	case leading && age < within:
		return leaderInContact
	case leading:
		return leaderPartitioned
	case age < within:
		return followerInContact
	}
	return followerPartitioned
}

// isLeader tells whether this node leads: the clock runs first, since one that stood still does not know that it was missed.
func (n *Node) isLeader() bool {
	if n.core == nil {
		return false
	}
	n.core.replica.Tick(n.loop.Now())
	return n.core.replica.IsLeader()
}

// quorumContact is how old this node's word of a majority is at the most, and the view that it is of; false: none came in this life.
func (n *Node) quorumContact() (age time.Duration, view uint64, ok bool) {
	if n.core != nil {
		if _, view, ok := n.core.replica.Leader(); ok && n.fault == trustLeaderAlone {
			return 0, view, true
		}
		return n.core.replica.QuorumContact(n.loop.Now())
	}
	return n.loop.Now() - n.streamContact.appliedAsOf, n.streamContact.term, n.streamContact.appliedAsOf > -neverAge
}

// contactAge is that age; never and more if there is none.
func (n *Node) contactAge() time.Duration {
	if age, _, ok := n.quorumContact(); ok {
		return age
	}
	return neverAge
}

// streamContact is a node's word without a disk.
type streamContact struct {
	appliedAsOf time.Duration // all that was acknowledged before it has been applied
	term        uint64        // the newest that a feeder's word was of
}

// updateContact takes the feeder's word, once what it had applied is applied here. Word of an older view is not taken after a newer one's, nor
// what came back from another life. A feeder of the version before gives nothing back: then it is when it came.
func (n *Node) updateContact(age time.Duration, view uint64, echo uint32, index uint64) {
	now := n.loop.Now()
	at, ok := n.clock.SentAt(echo, now)
	switch {
	case n.core != nil || age >= maxKnownAge || index > n.appliedIndex:
		return
	case view == 0 || n.fault == countFromReceipt:
		at = now
	case !ok || view < n.streamContact.term && n.fault != acceptOlderTerms:
		return
	}
	if at -= age; at > n.streamContact.appliedAsOf {
		n.streamContact = streamContact{at, max(n.streamContact.term, view)}
	}
}

// fault is a defect that tests put in, to see that they find it.
type fault uint8

// noFault is none.
const noFault fault = 0

// Defences that tests take out; planted is what new nodes go without.
const (
	grantAllPermissions fault = 100 + iota // all have all rights
	countFromReceipt                       // word counts from when it came
	acceptOlderTerms                       // word of an older view is taken after a newer one's
	ackDrainAlone                          // an end is acknowledged by who cannot pass it on, on whatever copies there are
	readyWithoutContact                    // who has old word is ready, and denies
	queueWithoutContact                    // an order waits where nobody can take it
	trustLeaderAlone                       // a node with a disk goes by that it hears a leader, whoever hears it
	trustStaleUpstream                     // who lives is told by the feeder, however old its word
)

var plantedFault = noFault
