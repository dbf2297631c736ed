package quorumcontact

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/replication"
)

// fixedBounds implements Bounds with constants.
type fixedBounds struct{}

func (fixedBounds) ReadyMaxAge() time.Duration         { return 3 * time.Second }
func (fixedBounds) AuthoritativeMaxAge() time.Duration { return 2 * time.Second }
func (fixedBounds) PartitionedAge() time.Duration      { return time.Second }

// fakeReplica implements Replica with a contact that the test sets.
type fakeReplica struct {
	tickedAt    time.Duration // time of the last call of Tick
	leads       bool          // result of IsLeader
	leaderKnown bool          // whether Leader returns a leader
	age         time.Duration // contact age that QuorumContact returns
	contact     bool          // whether QuorumContact returns true
}

func (f *fakeReplica) Tick(now time.Duration) { f.tickedAt = now }
func (f *fakeReplica) IsLeader() bool         { return f.leads }
func (f *fakeReplica) Leader() (replication.Member, uint64, bool) {
	return replication.Member{}, 4, f.leaderKnown
}
func (f *fakeReplica) QuorumContact(time.Duration) (time.Duration, uint64, bool) {
	return f.age, 3, f.contact
}

// Guards against a contact age that is less than the true age. Reports from upstreams are handled in every order. A node's contact
// must never be newer than the reported contact, counted from the time when the node sent the timestamp. A report must not be
// accepted if its term is older than the term of a report accepted before, if the report covers more entries than the node has
// applied, or if it echoes a timestamp of another incarnation.
func TestContactIsNeverNewerThanReported(t *testing.T) {
	const now = 100 * time.Second
	own, other := replication.NewClock(7), replication.NewClock(8)
	type testReport struct {
		sentAt, age time.Duration     // when the learner sent the echoed timestamp; contact age of the upstream
		term, index uint64            // term of the report; index of the last entry that the upstream had applied
		clock       replication.Clock // clock of the incarnation that sent the echoed timestamp
	}
	reports := []testReport{{now - 3*time.Second, time.Second, 5, 9, own}, {now - 2*time.Second, 500 * time.Millisecond, 6, 9, own},
		{now - time.Second, 100 * time.Millisecond, 5, 9, own}, {now - time.Second, 0, 7, 10, own}, {now - time.Second, 0, 6, 9, other}}
	countViolations := func(knobs TestingKnobs) (violations int) {
		var handleInAllOrders func(remaining []testReport, t Tracker)
		handleInAllOrders = func(remaining []testReport, t Tracker) {
			for i, r := range remaining {
				tracker := t
				before := tracker.stream
				tracker.HandleReport(Report{Age: r.age, Term: r.term, Echo: r.clock.Timestamp(r.sentAt), Index: r.index}, 9, now)
				advanced := tracker.stream.appliedAsOf > before.appliedAsOf
				if advanced && (tracker.stream.appliedAsOf > r.sentAt-r.age || r.term < before.term || r.index > 9 || r.clock == other) {
					violations++
				}
				handleInAllOrders(append(slices.Clone(remaining[:i]), remaining[i+1:]...), tracker)
			}
		}
		handleInAllOrders(reports, *New(Config{Bounds: fixedBounds{}, Incarnation: 7, Knobs: &knobs}))
		return violations
	}
	must.Eq(t, 0, countViolations(TestingKnobs{}))
	must.Greater(t, 0, countViolations(TestingKnobs{AcceptOlderTerms: true}))
	must.Greater(t, 0, countViolations(TestingKnobs{CountFromReceipt: true}))
}

// Guards against an unintended change of the table of permissions. The test lists for each permission the states and the maximum age
// independently of that table. Each permission must be granted in exactly these states and below exactly this age.
func TestPermissionsByStateAndAge(t *testing.T) {
	const started = time.Minute
	permissions := []Permission{ServeClients, RefuseRequests, AcceptCalls, StreamLog, AcknowledgeBackend, AcknowledgeDrain, RequestSlot}
	b := fixedBounds{}
	member := []time.Duration{b.ReadyMaxAge(), b.AuthoritativeMaxAge(), b.PartitionedAge(), b.PartitionedAge(), b.PartitionedAge(),
		b.PartitionedAge(), b.ReadyMaxAge()}
	learner := []time.Duration{b.ReadyMaxAge(), b.AuthoritativeMaxAge(), b.ReadyMaxAge(), b.PartitionedAge(), b.ReadyMaxAge(),
		b.PartitionedAge(), b.ReadyMaxAge()}
	for i, p := range permissions {
		starting := p == AcceptCalls || p == AcknowledgeBackend
		config := p == ServeClients || p == RefuseRequests
		for _, leads := range []bool{false, true} {
			r := &fakeReplica{leads: leads, contact: true}
			tracker := New(Config{Replica: r, Bounds: b, StartedAt: started})
			for _, age := range []time.Duration{0, member[i] - 1, member[i], time.Hour} {
				r.age = age
				must.Eq(t, age < member[i], tracker.Permits(p, true, started+age), must.Sprint(p, leads, age))
				must.Eq(t, age < member[i] && !config, tracker.Permits(p, false, started+age))
				must.Eq(t, started+age, r.tickedAt)
			}
			r.contact = false
			must.Eq(t, starting, tracker.Permits(p, true, started+member[i]-1))
			must.False(t, tracker.Permits(p, true, started+member[i]))
		}
		tracker := New(Config{Bounds: b, StartedAt: started, Incarnation: 1})
		must.Eq(t, starting, tracker.Permits(p, true, started+learner[i]-1))
		must.False(t, tracker.Permits(p, true, started+learner[i]))
		must.Eq(t, UnknownAge, tracker.ContactAge(started))
		now := started + time.Minute
		tracker.HandleReport(Report{Age: 10 * time.Millisecond, Index: 1}, 1, now) // from a version that echoes no timestamp
		must.True(t, tracker.Permits(p, true, now+learner[i]-11*time.Millisecond))
		must.False(t, tracker.Permits(p, true, now+learner[i]-10*time.Millisecond))
	}
}

// Guards against a knob that disables other safeguards than its name says.
func TestKnobsDisableOnlyTheirSafeguard(t *testing.T) {
	grantedPermissions := func(knobs TestingKnobs) (permissions []Permission) {
		tracker := New(Config{Replica: &fakeReplica{leaderKnown: true, contact: true, age: time.Hour}, Bounds: fixedBounds{}, Knobs: &knobs})
		for p := range Permission(len(rules)) {
			if tracker.Permits(p, true, 2*time.Hour) {
				permissions = append(permissions, p)
			}
		}
		return permissions
	}
	every := []Permission{ServeClients, RefuseRequests, AcceptCalls, StreamLog, AcknowledgeBackend, AcknowledgeDrain, RequestSlot}
	must.SliceEmpty(t, grantedPermissions(TestingKnobs{}))
	must.Eq(t, every, grantedPermissions(TestingKnobs{GrantAll: true}))
	must.Eq(t, every, grantedPermissions(TestingKnobs{TrustHeardLeader: true}))
	must.Eq(t, []Permission{AcknowledgeDrain}, grantedPermissions(TestingKnobs{AckDrainWithoutContact: true}))
	must.Eq(t, []Permission{ServeClients, RefuseRequests}, grantedPermissions(TestingKnobs{ServeWithoutContact: true}))
	must.Eq(t, []Permission{AcceptCalls}, grantedPermissions(TestingKnobs{QueueWithoutContact: true}))
}
