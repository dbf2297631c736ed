package quorumcontact

import "time"

// Bounds provides the maximum ages for the table of permissions. settings.Bounds implements Bounds.
type Bounds interface {
	// ReadyMaxAge returns the contact age below which the node reports itself ready for clients. The contact age is the age of the
	// node's knowledge of the configuration log, see the package comment.
	ReadyMaxAge() time.Duration
	// AuthoritativeMaxAge returns the contact age below which a node may refuse requests on the basis of its own state alone.
	AuthoritativeMaxAge() time.Duration
	// PartitionedAge returns the contact age at which this node counts as partitioned. A caller should then use another node and not
	// wait for this node.
	PartitionedAge() time.Duration
}

// State is the result of comparing a node's contact age with a maximum age. The states are bits, so that a permission can accept
// several states.
type State uint8

// The states.
const (
	LeaderInContact     State = 1 << iota // the node leads, and its contact age is below the maximum
	FollowerInContact                     // the node does not lead, and its contact age is below the maximum
	LeaderPartitioned                     // the node leads, and its contact age has reached the maximum
	FollowerPartitioned                   // the node does not lead, and its contact age has reached the maximum
	Starting                              // no quorum contact since the process started, and its uptime is below the maximum age
	NoContact                             // no quorum contact since the process started, and its uptime has reached the maximum age

	inContact = LeaderInContact | FollowerInContact
)

// Permission identifies an operation that a node may perform for others only in certain states.
type Permission uint8

// The permissions.
const (
	// ServeClients permits the node to report to the platform that it is ready for clients.
	ServeClients Permission = iota
	// RefuseRequests permits the node to answer requests with 401 or 404, and to answer a change with 400 if the change is invalid
	// in any state. The node decides on these answers by its own state alone.
	RefuseRequests
	// AcceptCalls permits the node to accept or forward a change or a read. Without the permission, the node rejects the call at
	// once.
	AcceptCalls
	// StreamLog permits the learners that use this node as their upstream to keep it.
	StreamLog
	// AcknowledgeBackend permits the node to acknowledge the heartbeat of a backend.
	AcknowledgeBackend
	// AcknowledgeDrain permits the node to acknowledge a backend's drain or deregistration once enough other nodes have recorded it.
	AcknowledgeDrain
	// RequestSlot permits the node to request a slot.
	RequestSlot
)

// rule is a row of the table of permissions.
type rule struct {
	states       State    // the permission requires one of these states
	memberMaxAge ageBound // maximum age at a member
	// learnerMaxAge is the maximum age at a learner. A learner's age exceeds the age of its upstream by up to one heartbeat interval.
	learnerMaxAge ageBound
	needsConfig   bool // the permission also requires that a configuration is in force
}

// ageBound returns one of the maximum ages of Bounds.
type ageBound func(Bounds) time.Duration

// rules is the table of permissions. A node needs no contact for the following operations, which are not in the table: serving
// requests with its present configuration (2xx), using its share of quotas among the reachable nodes, answering 200 to a change that
// is in its own committed log, and streaming its log entries to a node that has no newer entries. The following operations do not
// depend on the age, because the log itself obtains a majority for them: accepting, confirming and refusing (412) a change, reading,
// assigning a slot, and changing the members.
var rules = [...]rule{
	ServeClients:       {inContact, Bounds.ReadyMaxAge, Bounds.ReadyMaxAge, true},
	RefuseRequests:     {inContact, Bounds.AuthoritativeMaxAge, Bounds.AuthoritativeMaxAge, true},
	AcceptCalls:        {inContact | Starting, Bounds.PartitionedAge, Bounds.ReadyMaxAge, false},
	StreamLog:          {inContact, Bounds.PartitionedAge, Bounds.PartitionedAge, false},
	AcknowledgeBackend: {inContact | Starting, Bounds.PartitionedAge, Bounds.ReadyMaxAge, false},
	AcknowledgeDrain:   {inContact, Bounds.PartitionedAge, Bounds.PartitionedAge, false},
	RequestSlot:        {inContact, Bounds.ReadyMaxAge, Bounds.ReadyMaxAge, false},
}
