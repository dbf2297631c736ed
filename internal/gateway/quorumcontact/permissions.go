package quorumcontact

import "time"

// Bounds provides the ages that the table of permissions refers to. settings.Bounds implements it.
type Bounds interface {
	// ReadyMaxAge returns the age up to which the node reports itself ready for clients.
	ReadyMaxAge() time.Duration
	// AuthoritativeMaxAge returns the age up to which a node may refuse requests by its own state alone.
	AuthoritativeMaxAge() time.Duration
	// PartitionedAge returns the age from which a caller should ask another node rather than wait for this one.
	PartitionedAge() time.Duration
}

// State is a node's contact with the majority, compared with a maximum age. The states are bits, so that a permission can accept
// several of them.
type State uint8

// The states.
const (
	LeaderInContact     State = 1 << iota // the node leads, and its contact age is below the maximum
	FollowerInContact                     // the node does not lead, and its contact age is below the maximum
	LeaderPartitioned                     // the node leads, and its contact age has reached the maximum
	FollowerPartitioned                   // the node does not lead, and its contact age has reached the maximum
	Starting                              // there was no contact in this incarnation, and its uptime is below the maximum age
	NoContact                             // there was no contact in this incarnation, and its uptime has reached the maximum age

	inContact = LeaderInContact | FollowerInContact
)

// Permission is something that a node does for others if its contact allows it.
type Permission uint8

// The permissions.
const (
	// ServeClients permits the node to tell the platform that it is ready for clients.
	ServeClients Permission = iota
	// RefuseRequests permits the node to answer 401, 404, or 400 to a change that is invalid in itself. The node decides these
	// answers by its own state alone.
	RefuseRequests
	// AcceptCalls permits the node to accept or forward a change or a read. Without the permission, the node rejects the call at
	// once.
	AcceptCalls
	// StreamLog means that the learners of this node need not look for another upstream.
	StreamLog
	// AcknowledgeBackend permits the node to acknowledge the heartbeat of a backend.
	AcknowledgeBackend
	// AcknowledgeDrain permits the node to acknowledge a backend's drain or deregistration, once enough other nodes hold it.
	AcknowledgeDrain
	// RequestSlot permits the node to request a slot.
	RequestSlot
)

// rule is a row of the table of permissions.
type rule struct {
	states       State // the permission requires one of these states
	memberMaxAge ageBound
	// learnerMaxAge is the maximum age for a node without a disk. Its age exceeds its upstream's by up to one heartbeat interval.
	learnerMaxAge ageBound
	needsConfig   bool // the permission also requires that a configuration is in force
}

// ageBound selects one of the bounds.
type ageBound func(Bounds) time.Duration

// rules is the table of permissions. What is not in the table needs no contact: serving requests with the present configuration
// (2xx), using the node's share of quotas among the nodes in reach, answering 200 to a change that is in its own committed log,
// and streaming its entries to a node that knows nothing newer. Operations that need a majority get it from the log itself,
// whatever the age is: accepting, confirming and refusing (412) a change, reading, assigning a slot, and changing the members.
var rules = [...]rule{
	ServeClients:       {inContact, Bounds.ReadyMaxAge, Bounds.ReadyMaxAge, true},
	RefuseRequests:     {inContact, Bounds.AuthoritativeMaxAge, Bounds.AuthoritativeMaxAge, true},
	AcceptCalls:        {inContact | Starting, Bounds.PartitionedAge, Bounds.ReadyMaxAge, false},
	StreamLog:          {inContact, Bounds.PartitionedAge, Bounds.PartitionedAge, false},
	AcknowledgeBackend: {inContact | Starting, Bounds.PartitionedAge, Bounds.ReadyMaxAge, false},
	AcknowledgeDrain:   {inContact, Bounds.PartitionedAge, Bounds.PartitionedAge, false},
	RequestSlot:        {inContact, Bounds.ReadyMaxAge, Bounds.ReadyMaxAge, false},
}
