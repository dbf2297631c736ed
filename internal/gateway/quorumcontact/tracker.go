package quorumcontact

import (
	"time"

	"clovergap/internal/gateway/replication"
)

const (
	// UnknownAge is the age that is sent and compared while there was no contact in this incarnation.
	UnknownAge = 24 * time.Hour
	// MaxKnownAge is the age from which a report means that its sender had no contact.
	MaxKnownAge = UnknownAge / 2
)

// Replica is the part of a member's replica of the configuration log that the tracker uses. *replication.Replica implements it.
type Replica interface {
	// Tick advances the replica's clock. A leader that was paused steps down on this call if the other members have timed it out
	// meanwhile.
	Tick(now time.Duration)
	IsLeader() bool
	// Leader returns the known leader and its term, and false if no leader is known.
	Leader() (leader replication.Member, term uint64, ok bool)
	// QuorumContact returns the contact age and the newest term in which the contact is known, and false if there was no contact.
	QuorumContact(now time.Duration) (age time.Duration, term uint64, ok bool)
}

// Config holds the parameters of a tracker.
type Config struct {
	Replica     Replica // nil at a node without a disk
	Bounds      Bounds  // read anew for each decision, because the settings may be reloaded
	Incarnation uint64
	StartedAt   time.Duration
	Knobs       *TestingKnobs // nil outside of tests
}

// TestingKnobs disable one safeguard each, so that tests can show that the safeguard is needed. They may change while the tracker
// is in use.
type TestingKnobs struct {
	GrantAll               bool // every permission is granted
	CountFromReceipt       bool // the age of an upstream's report counts from its receipt
	AcceptOlderTerms       bool // a report of an older term is accepted after one of a newer term
	AckDrainWithoutContact bool
	ServeWithoutContact    bool // clients are served and requests are refused at any age
	QueueWithoutContact    bool // a call is queued even if no node can accept it
	// TrustHeardLeader makes a member count as in contact while it hears a leader, whether or not the leader hears the member.
	TrustHeardLeader bool
}

// Tracker tracks the contact of one node. Only the goroutine that runs the current turn of the node's event loop may call its methods. They take
// the current time as an argument.
type Tracker struct {
	config Config
	clock  replication.Clock
	stream streamContact // what the upstreams reported, at a node without a disk
}

// streamContact is the contact of a node without a disk.
type streamContact struct {
	appliedAsOf time.Duration // all changes acknowledged before this time have been applied here
	term        uint64        // the newest term of a report
}

// noReport is the value of appliedAsOf before the first report.
const noReport = -UnknownAge

// New returns the tracker of an incarnation that begins at config.StartedAt.
func New(config Config) *Tracker {
	if config.Knobs == nil {
		config.Knobs = &TestingKnobs{}
	}
	return &Tracker{config: config, clock: replication.NewClock(config.Incarnation), stream: streamContact{appliedAsOf: noReport}}
}

// IsLeader reports whether this node leads the configuration log. It advances the replica's clock first, because a leader that
// was paused does not know yet that the other members have timed it out.
func (t *Tracker) IsLeader(now time.Duration) bool {
	if t.config.Replica == nil {
		return false
	}
	t.config.Replica.Tick(now)
	return t.config.Replica.IsLeader()
}

// Contact returns the maximum age of this node's knowledge and the newest term in which that is known. It returns false while
// there was no contact in this incarnation.
func (t *Tracker) Contact(now time.Duration) (age time.Duration, term uint64, ok bool) {
	if r := t.config.Replica; r != nil {
		if _, term, ok := r.Leader(); ok && t.config.Knobs.TrustHeardLeader {
			return 0, term, true
		}
		return r.QuorumContact(now)
	}
	return now - t.stream.appliedAsOf, t.stream.term, t.stream.appliedAsOf > noReport
}

// Age returns the contact age, or UnknownAge if there was no contact.
func (t *Tracker) Age(now time.Duration) time.Duration {
	if age, _, ok := t.Contact(now); ok {
		return age
	}
	return UnknownAge
}

// State returns the node's contact compared with a maximum age.
func (t *Tracker) State(maxAge, now time.Duration) State {
	leading := t.IsLeader(now) // this call advances the replica's clock, on which the contact depends
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

// Permits reports whether the node has a permission now. configured is true if a configuration is in force at this node.
func (t *Tracker) Permits(p Permission, configured bool, now time.Duration) bool {
	return (configured || !rules[p].needsConfig) && t.ContactSuffices(p, now)
}

// ContactSuffices reports whether the contact suffices for a permission, whether or not a configuration is in force.
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

// grants reports whether the knobs grant a permission without its safeguard.
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

// Report is an upstream's description of its own contact.
type Report struct {
	Age time.Duration
	// Term is 0 if the sender's version does not send terms. Such a version echoes no timestamp either.
	Term uint64
	// Echo is the newest timestamp of the receiver of the report that the sender has received. See Timestamp.
	Echo  uint32
	Index uint64 // index of the last entry that the sender had applied
}

// HandleReport processes a report of the current upstream. It ignores a report that covers more entries than the appliedIndex of
// this node, whose sender had no contact, whose term is older than the newest reported one, or that echoes a timestamp that this
// incarnation did not send recently. A report without a term echoes no timestamp, so its age counts from its receipt.
func (t *Tracker) HandleReport(r Report, appliedIndex uint64, now time.Duration) {
	sentAt, ok := t.clock.TimeOf(r.Echo, now)
	switch {
	case t.config.Replica != nil || r.Age >= MaxKnownAge || r.Index > appliedIndex:
		return
	case r.Term == 0 || t.config.Knobs.CountFromReceipt:
		sentAt = now
	case !ok || t.IsStaleTerm(r.Term):
		return
	}
	if appliedAsOf := sentAt - r.Age; appliedAsOf > t.stream.appliedAsOf {
		t.stream = streamContact{appliedAsOf, max(t.stream.term, r.Term)}
	}
}

// IsStaleTerm reports whether a term is older than the newest term that an upstream reported. The sender of a stale term has
// missed a change of leaders.
func (t *Tracker) IsStaleTerm(term uint64) bool {
	return term < t.stream.term && !t.config.Knobs.AcceptOlderTerms
}

// ReportedTerm returns the newest term that an upstream reported, or 0 if there was no report.
func (t *Tracker) ReportedTerm() uint64 { return t.stream.term }

// Timestamp returns this node's current timestamp. Other nodes echo it in a Report.
func (t *Tracker) Timestamp(now time.Duration) uint32 { return t.clock.Timestamp(now) }

// Uptime returns the time since this incarnation began.
func (t *Tracker) Uptime(now time.Duration) time.Duration { return now - t.config.StartedAt }

// StreamMaxAge returns the age of an upstream's contact from which a learner looks for another upstream.
func (t *Tracker) StreamMaxAge() time.Duration { return rules[StreamLog].memberMaxAge(t.config.Bounds) }
