package quorumcontact

import (
	"time"

	"clovergap/internal/gateway/replication"
)

const (
	// UnknownAge is the contact age that a node reports until it has quorum contact for the first time in this incarnation, which is
	// the present run of its process.
	UnknownAge = 24 * time.Hour
	// MaxKnownAge is the lowest age in a report that means that the sender of the report had no quorum contact.
	MaxKnownAge = UnknownAge / 2
)

// Replica is the part of a member's replica of the configuration log that the tracker uses. *replication.Replica implements it.
type Replica interface {
	// Tick advances the replica's clock. If the process of a leader was paused for so long that the other members may have elected
	// another leader, the leader steps down on this call.
	Tick(now time.Duration)
	// IsLeader reports whether this member leads the log.
	IsLeader() bool
	// Leader returns the known leader and its term, and false if no leader is known.
	Leader() (leader replication.Member, term uint64, ok bool)
	// QuorumContact returns the contact age and the newest term to which the age refers. It returns false if the replica has had no
	// quorum contact.
	QuorumContact(now time.Duration) (age time.Duration, term uint64, ok bool)
}

// Config holds the parameters of a tracker.
type Config struct {
	Replica     Replica // nil at a learner
	Bounds      Bounds  // called for each decision, because the settings may be reloaded
	Incarnation uint64
	StartedAt   time.Duration
	Knobs       *TestingKnobs // nil outside of tests
}

// TestingKnobs disable safeguards, so that tests can show that each safeguard is needed. Each knob disables one safeguard, except
// GrantAll. The knobs may change while the tracker is in use.
type TestingKnobs struct {
	GrantAll               bool // every permission is granted
	CountFromReceipt       bool // the age of an upstream's report counts from its receipt
	AcceptOlderTerms       bool // a report of an older term is accepted after a report of a newer term
	AckDrainWithoutContact bool // drains and deregistrations of backends are acknowledged at any age
	ServeWithoutContact    bool // clients are served and requests are refused at any age
	QueueWithoutContact    bool // calls are accepted at any age, so a call is queued even if no node can process it
	// TrustHeardLeader makes the contact age of a member 0 while the member knows a leader, even if the leader receives nothing from
	// the member.
	TrustHeardLeader bool
}

// Tracker tracks the quorum contact of one node: its contact age (the age of its knowledge of the configuration log) and the newest
// term to which the age refers. The methods of a Tracker may be called only by the goroutine that runs the current turn of the node's
// event loop. The argument now of a method is the current time on the node's monotonic clock.
type Tracker struct {
	config Config
	clock  replication.Clock
	stream streamContact // contact according to the upstreams' reports; used at a learner only
}

// streamContact is the quorum contact of a learner, which is a node that applies the log stream of a member, its upstream.
type streamContact struct {
	appliedAsOf time.Duration // all changes acknowledged before this time have been applied at this node
	term        uint64        // the newest term in an accepted report
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

// IsLeader reports whether this node leads the configuration log. It advances the replica's clock first. Without this, a node whose
// process was paused could still count as the leader although the other members have elected another leader.
func (t *Tracker) IsLeader(now time.Duration) bool {
	if t.config.Replica == nil {
		return false
	}
	t.config.Replica.Tick(now)
	return t.config.Replica.IsLeader()
}

// Contact returns the contact age and the newest term to which the age refers. It returns false until the node has quorum contact for
// the first time in this incarnation.
func (t *Tracker) Contact(now time.Duration) (age time.Duration, term uint64, ok bool) {
	if r := t.config.Replica; r != nil {
		if _, term, ok := r.Leader(); ok && t.config.Knobs.TrustHeardLeader {
			return 0, term, true
		}
		return r.QuorumContact(now)
	}
	return now - t.stream.appliedAsOf, t.stream.term, t.stream.appliedAsOf > noReport
}

// ContactAge returns the contact age, or UnknownAge if the node has had no quorum contact in this incarnation.
func (t *Tracker) ContactAge(now time.Duration) time.Duration {
	if age, _, ok := t.Contact(now); ok {
		return age
	}
	return UnknownAge
}

// State returns the result of comparing the node's contact age with a maximum age.
func (t *Tracker) State(maxAge, now time.Duration) State {
	leading := t.IsLeader(now) // called first, because it advances the replica's clock, on which the contact depends
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

// ContactSuffices reports whether the contact age suffices for a permission. It does not check whether a configuration is in force.
func (t *Tracker) ContactSuffices(p Permission, now time.Duration) bool {
	if t.config.Knobs.grantsAtAnyAge(p) {
		return true
	}
	r := &rules[p]
	maxAge := r.memberMaxAge
	if t.config.Replica == nil {
		maxAge = r.learnerMaxAge
	}
	return r.states&t.State(maxAge(t.config.Bounds), now) != 0
}

// grantsAtAnyAge reports whether the knobs grant a permission whatever the contact age is.
func (t *TestingKnobs) grantsAtAnyAge(p Permission) bool {
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

// Report is an upstream's description of its own quorum contact. A learner receives reports with the log stream of its upstream.
type Report struct {
	// Age is the contact age of the sender. An age of MaxKnownAge or more means that the sender had no quorum contact.
	Age time.Duration
	// Term is the newest term to which Age refers, or 0 if the sender's version does not send terms. Such a version echoes no timestamp.
	Term uint64
	// Echo is the newest timestamp that the sender has received from the receiver of the report. See Tracker.Timestamp.
	Echo  uint32
	Index uint64 // index of the last entry that the sender had applied
}

// HandleReport processes a report of the current upstream. appliedIndex is the index of the last entry that this node has applied.
// HandleReport ignores a report in each of the following cases: the report covers an entry after appliedIndex; the sender had no
// quorum contact; the term is older than the newest reported term; or this incarnation did not send the echoed timestamp recently. A
// report without a term echoes no timestamp, so its age counts from the receipt of the report.
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

// IsStaleTerm reports whether a term is older than the newest term that an upstream reported. The sender of a stale term does not
// know of a later change of the leader.
func (t *Tracker) IsStaleTerm(term uint64) bool {
	return term < t.stream.term && !t.config.Knobs.AcceptOlderTerms
}

// ReportedTerm returns the newest term that an upstream reported, or 0 if there was no report.
func (t *Tracker) ReportedTerm() uint64 { return t.stream.term }

// Timestamp returns this node's current timestamp. Upstreams echo the timestamp in a Report.
func (t *Tracker) Timestamp(now time.Duration) uint32 { return t.clock.Timestamp(now) }

// Uptime returns the time since this incarnation began.
func (t *Tracker) Uptime(now time.Duration) time.Duration { return now - t.config.StartedAt }

// StreamMaxAge returns the contact age that an upstream must not reach. If the upstream's age reaches it, a learner looks for another
// upstream.
func (t *Tracker) StreamMaxAge() time.Duration { return rules[StreamLog].memberMaxAge(t.config.Bounds) }
