package quorumcontact

import "time"

// Bounds are the ages that the table of permissions compares with. settings.Bounds implements it.
type Bounds interface {
	// ReadyMaxAge is the age up to which clients are wanted.
	ReadyMaxAge() time.Duration
	// AuthoritativeMaxAge is the age up to which a node refuses requests by its own state.
	AuthoritativeMaxAge() time.Duration
	// PartitionedAge is the age from which another node is to be asked rather than waited for.
	PartitionedAge() time.Duration
}

// State is how a node stands to the majority, for a permission that ends at some age. States are bits, so that a permission can require
// one of several.
type State uint8

// The states.
const (
	LeaderInContact     State = 1 << iota // it leads, and a majority was in contact within the age
	FollowerInContact                     // it does not lead, and its contact is within the age
	LeaderPartitioned                     // it leads, and its contact is older
	FollowerPartitioned                   // it does not lead, and its contact is older
	Starting                              // no contact in this incarnation, which is younger than the age
	NoContact                             // no contact in this incarnation

	inContact = LeaderInContact | FollowerInContact
)

// Permission is something that a node does for others.
type Permission uint8

// The permissions.
const (
	ServeClients       Permission = iota // the platform is told that clients may come
	RefuseRequests                       // 401 and 404, and 400 to a change that is invalid in itself, by this node's own state
	AcceptCalls                          // a change or a read is taken or forwarded; without it, it is rejected at once
	StreamLog                            // the learners of this node need not look for another upstream
	AcknowledgeBackend                   // the heartbeat of a backend is acknowledged
	AcknowledgeDrain                     // a backend's drain or deregistration is, once enough other nodes have it
	RequestSlot                          // the node asks for a slot
)

// rule is a row of the table.
type rule struct {
	states        State // one of which is required
	memberMaxAge  ageBound
	learnerMaxAge ageBound // of a node without a disk, whose age is up to a heartbeat's interval older than its upstream's
	needsConfig   bool     // also: a configuration must be in force
}

// ageBound selects one of the bounds.
type ageBound func(Bounds) time.Duration

// rules is the table. What is not in it needs no contact: serving by the configuration that is there (2xx), the node's share of quotas
// by the nodes in reach, 200 to a change that is in its own committed log, and streaming what it has to a node that knows nothing newer.
// What needs a majority gets it from the log itself, whatever the age: taking, confirming and refusing (412) a change, reading, giving a
// slot, and changes of members.
var rules = [...]rule{
	ServeClients:       {inContact, Bounds.ReadyMaxAge, Bounds.ReadyMaxAge, true},
	RefuseRequests:     {inContact, Bounds.AuthoritativeMaxAge, Bounds.AuthoritativeMaxAge, true},
	AcceptCalls:        {inContact | Starting, Bounds.PartitionedAge, Bounds.ReadyMaxAge, false},
	StreamLog:          {inContact, Bounds.PartitionedAge, Bounds.PartitionedAge, false},
	AcknowledgeBackend: {inContact | Starting, Bounds.PartitionedAge, Bounds.ReadyMaxAge, false},
	AcknowledgeDrain:   {inContact, Bounds.PartitionedAge, Bounds.PartitionedAge, false},
	RequestSlot:        {inContact, Bounds.ReadyMaxAge, Bounds.ReadyMaxAge, false},
}
