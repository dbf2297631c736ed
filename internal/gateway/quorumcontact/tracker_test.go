package quorumcontact

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/replication"
)

// fixedBounds are bounds of a test.
type fixedBounds struct{}

func (fixedBounds) ReadyMaxAge() time.Duration         { return 3 * time.Second }
func (fixedBounds) AuthoritativeMaxAge() time.Duration { return 2 * time.Second }
func (fixedBounds) PartitionedAge() time.Duration      { return time.Second }

// fakeReplica is a replica whose contact a test sets.
type fakeReplica struct {
	tickedAt time.Duration
	leads    bool
	leader   bool // one is known
	age      time.Duration
	contact  bool
}

func (f *fakeReplica) Tick(now time.Duration) { f.tickedAt = now }
func (f *fakeReplica) IsLeader() bool         { return f.leads }
func (f *fakeReplica) Leader() (replication.Member, uint64, bool) {
	return replication.Member{}, 4, f.leader
}
func (f *fakeReplica) QuorumContact(time.Duration) (time.Duration, uint64, bool) {
	return f.age, 3, f.contact
}

// In all orders of reports from upstreams: a node's contact is never newer than the newest that was reported, counted from when the node
// asked; none of an older term is taken after a newer one's, none that is of more than it has, none that another incarnation asked for.
func TestReportsInAllOrders(t *testing.T) {
	const now = 100 * time.Second
	own, other := replication.NewClock(7), replication.NewClock(8)
	type told struct {
		asked, age  time.Duration
		term, index uint64
		by          replication.Clock
	}
	all := []told{{now - 3*time.Second, time.Second, 5, 9, own}, {now - 2*time.Second, 500 * time.Millisecond, 6, 9, own},
		{now - time.Second, 100 * time.Millisecond, 5, 9, own}, {now - time.Second, 0, 7, 10, own}, {now - time.Second, 0, 6, 9, other}}
	play := func(knobs TestingKnobs) (wrong int) {
		var orders func(left []told, t Tracker)
		orders = func(left []told, t Tracker) {
			for i, w := range left {
				c := t
				before := c.stream
				c.HandleReport(Report{Age: w.age, Term: w.term, Echo: w.by.Timestamp(w.asked), Index: w.index}, 9, now)
				moved := c.stream.appliedAsOf > before.appliedAsOf
				if moved && (c.stream.appliedAsOf > w.asked-w.age || w.term < before.term || w.index > 9 || w.by == other) {
					wrong++
				}
				orders(append(slices.Clone(left[:i]), left[i+1:]...), c)
			}
		}
		orders(all, *New(Config{Bounds: fixedBounds{}, Incarnation: 7, Knobs: &knobs}))
		return wrong
	}
	must.Eq(t, 0, play(TestingKnobs{}))
	must.Greater(t, 0, play(TestingKnobs{AcceptOlderTerms: true}))
	must.Greater(t, 0, play(TestingKnobs{CountFromReceipt: true}))
}

// Each permission is granted in just the states, and up to just the age, of this table, which is written here once more.
func TestPermissionsByStateAndAge(t *testing.T) {
	const started = time.Minute
	all := []Permission{ServeClients, RefuseRequests, AcceptCalls, StreamLog, AcknowledgeBackend, AcknowledgeDrain, RequestSlot}
	b := fixedBounds{}
	member := []time.Duration{b.ReadyMaxAge(), b.AuthoritativeMaxAge(), b.PartitionedAge(), b.PartitionedAge(), b.PartitionedAge(), b.PartitionedAge(), b.ReadyMaxAge()}
	learner := []time.Duration{b.ReadyMaxAge(), b.AuthoritativeMaxAge(), b.ReadyMaxAge(), b.PartitionedAge(), b.ReadyMaxAge(), b.PartitionedAge(), b.ReadyMaxAge()}
	for i, p := range all {
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
		must.Eq(t, UnknownAge, tracker.Age(started))
		now := started + time.Minute
		tracker.HandleReport(Report{Age: 10 * time.Millisecond, Index: 1}, 1, now) // from a program that gives back no clock
		must.True(t, tracker.Permits(p, true, now+learner[i]-11*time.Millisecond))
		must.False(t, tracker.Permits(p, true, now+learner[i]-10*time.Millisecond))
	}
}

// Each knob takes out the defence that it names, and no other.
func TestKnobsGrantWhatTheyName(t *testing.T) {
	granted := func(knobs TestingKnobs) (all []Permission) {
		tracker := New(Config{Replica: &fakeReplica{leader: true, contact: true, age: time.Hour}, Bounds: fixedBounds{}, Knobs: &knobs})
		for p := range Permission(len(rules)) {
			if tracker.Permits(p, true, 2*time.Hour) {
				all = append(all, p)
			}
		}
		return all
	}
	every := []Permission{ServeClients, RefuseRequests, AcceptCalls, StreamLog, AcknowledgeBackend, AcknowledgeDrain, RequestSlot}
	must.SliceEmpty(t, granted(TestingKnobs{}))
	must.Eq(t, every, granted(TestingKnobs{GrantAll: true}))
	must.Eq(t, every, granted(TestingKnobs{TrustHeardLeader: true}))
	must.Eq(t, []Permission{AcknowledgeDrain}, granted(TestingKnobs{AckDrainWithoutContact: true}))
	must.Eq(t, []Permission{ServeClients, RefuseRequests}, granted(TestingKnobs{ServeWithoutContact: true}))
	must.Eq(t, []Permission{AcceptCalls}, granted(TestingKnobs{QueueWithoutContact: true}))
}
