package quorumcontact

import (
	"time"

	"clovergap/internal/gateway/replication"
)

const (
	// UnknownAge is the age that is sent and compared where there was no contact in this incarnation.
	UnknownAge = 24 * time.Hour
	// MaxKnownAge is the age from which on a report says that its sender had no contact.
	MaxKnownAge = UnknownAge / 2
)

// Replica is what the tracker asks a member's replica of the configuration log; *replication.Replica implements it.
type Replica interface {
	// Tick tells the replica the time. A leader that was paused steps down by it, if it was missed meanwhile.
	Tick(now time.Duration)
	IsLeader() bool
	// Leader is the known leader and its term, if there is one.
	Leader() (leader replication.Member, term uint64, ok bool)
	// QuorumContact is the contact age and the newest term that it is known of.
	QuorumContact(now time.Duration) (age time.Duration, term uint64, ok bool)
}

// Config is what a tracker is made with.
type Config struct {
	Replica     Replica // nil at a node without a disk
	Bounds      Bounds  // asked anew at each decision: settings may be reloaded
	Incarnation uint64
	StartedAt   time.Duration
	Knobs       *TestingKnobs // nil outside of tests
}

// TestingKnobs each take out one defence, so that tests can see that it is needed. They may change while the tracker is in use.
type TestingKnobs struct {
	GrantAll               bool // every permission is granted
	CountFromReceipt       bool // an upstream's report counts from when it came
	AcceptOlderTerms       bool // a report of an older term is taken after a newer one's
	AckDrainWithoutContact bool
	ServeWithoutContact    bool // clients are wanted, and refused, whatever the age
	QueueWithoutContact    bool // a call waits where nobody can take it
	TrustHeardLeader       bool // a member goes by that it hears a leader, whether or not the leader hears it
}

// Tracker knows one node's contact. All methods are for the owner of the node's turn, and take the time as an argument.
type Tracker struct {
	config Config
	clock  replication.Clock
	stream contact // at a node without a disk: what its upstreams reported
}

// contact is what a node without a disk was told.
type contact struct {
	appliedAsOf time.Duration // all that was acknowledged before it has been applied
	term        uint64        // the newest that a report was of
}

// never is appliedAsOf before any report.
const never = -UnknownAge

// New makes the tracker of an incarnation that begins now.
func New(config Config) *Tracker {
	if config.Knobs == nil {
		config.Knobs = &TestingKnobs{}
	}
	return &Tracker{config: config, clock: replication.NewClock(config.Incarnation), stream: contact{appliedAsOf: never}}
}

// IsLeader reports whether this node leads the configuration log. The replica's clock runs first: a leader that was paused does not know
// that it was missed.
func (t *Tracker) IsLeader(now time.Duration) bool {
	if t.config.Replica == nil {
		return false
	}
	t.config.Replica.Tick(now)
	return t.config.Replica.IsLeader()
}

// Contact is how old this node's knowledge is at the most, and the newest term that it is known of; false while there was no contact in
// this incarnation.
func (t *Tracker) Contact(now time.Duration) (age time.Duration, term uint64, ok bool) {
	if r := t.config.Replica; r != nil {
		if _, term, ok := r.Leader(); ok && t.config.Knobs.TrustHeardLeader {
			return 0, term, true
		}
		return r.QuorumContact(now)
	}
	return now - t.stream.appliedAsOf, t.stream.term, t.stream.appliedAsOf > never
}

// Age is the contact's age, or UnknownAge.
func (t *Tracker) Age(now time.Duration) time.Duration {
	if age, _, ok := t.Contact(now); ok {
		return age
	}
	return UnknownAge
}

// State compares the contact with a bound.
func (t *Tracker) State(maxAge, now time.Duration) State {
	leading := t.IsLeader(now) // advances the replica's clock, which the contact depends on
	age, _, ok := t.Contact(now)
	switch {
	case !ok && t.Uptime(now) < maxAge:
		return Starting
	case !ok:
		return NoContact
	case leading && age < maxAge:
		return LeaderInContact
	case leading:
		return LeaderPartitioned
	case age < maxAge:
		return FollowerInContact
	}
	return FollowerPartitioned
}

// Permits reports whether the node has a permission now; configured: a configuration is in force here.
func (t *Tracker) Permits(p Permission, configured bool, now time.Duration) bool {
	return (configured || !rules[p].needsConfig) && t.ContactSuffices(p, now)
}

// ContactSuffices reports whether the contact suffices for a permission, whatever the configuration.
func (t *Tracker) ContactSuffices(p Permission, now time.Duration) bool {
	if t.config.Knobs.grants(p) {
		return true
	}
	r := &rules[p]
	maxAge := r.memberMaxAge
	if t.config.Replica == nil {
		maxAge = r.learnerMaxAge
	}
	return r.states&t.State(maxAge(t.config.Bounds), now) != 0
}

// grants reports whether a permission is granted without its defence.
func (t *TestingKnobs) grants(p Permission) bool {
	switch p {
	case AcknowledgeDrain:
		return t.AckDrainWithoutContact || t.GrantAll
	case AcceptCalls:
		return t.QueueWithoutContact || t.GrantAll
	case ServeClients, RefuseRequests:
		return t.ServeWithoutContact || t.GrantAll
	}
	return t.GrantAll
}

// Report is what an upstream says of its own contact.
type Report struct {
	Age   time.Duration
	Term  uint64 // 0 from a program that does not send it, which gives back no clock either
	Echo  uint32 // the newest clock of the receiver that its sender has received, see Timestamp
	Index uint64 // of the last entry that its sender had applied
}

// HandleReport takes the report of the current upstream, once what its sender had applied is applied here. A report is passed over if it is of
// an older term than the newest, or answers a clock that this incarnation did not send of late.
func (t *Tracker) HandleReport(r Report, appliedIndex uint64, now time.Duration) {
	sentAt, ok := t.clock.SentAt(r.Echo, now)
	switch {
	case t.config.Replica != nil || r.Age >= MaxKnownAge || r.Index > appliedIndex:
		return
	case r.Term == 0 || t.config.Knobs.CountFromReceipt:
		sentAt = now
	case !ok || t.IsStaleTerm(r.Term):
		return
	}
	if appliedAsOf := sentAt - r.Age; appliedAsOf > t.stream.appliedAsOf {
		t.stream = contact{appliedAsOf, max(t.stream.term, r.Term)}
	}
}

// IsStaleTerm reports whether a term is older than the newest that an upstream reported: its sender has missed a change of leaders.
func (t *Tracker) IsStaleTerm(term uint64) bool {
	return term < t.stream.term && !t.config.Knobs.AcceptOlderTerms
}

// ReportedTerm is the newest term that an upstream reported, 0 if none did.
func (t *Tracker) ReportedTerm() uint64 { return t.stream.term }

// Timestamp is this node's clock for others, who give it back in a Report.
func (t *Tracker) Timestamp(now time.Duration) uint32 { return t.clock.Timestamp(now) }

// Uptime is how long ago this incarnation began.
func (t *Tracker) Uptime(now time.Duration) time.Duration { return now - t.config.StartedAt }

// StreamMaxAge is the age of an upstream's contact from which a learner looks for another one.
func (t *Tracker) StreamMaxAge() time.Duration { return rules[StreamLog].memberMaxAge(t.config.Bounds) }
