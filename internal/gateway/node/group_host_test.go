package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/groups"
)

// listMachine is a state machine that keeps all entries, in their order.
type listMachine struct{ entries []string }

func (l *listMachine) Apply(_ uint64, entry []byte) []byte {
	l.entries = append(l.entries, string(entry))
	return fmt.Append(nil, len(l.entries))
}

func (l *listMachine) Snapshot() []byte { return []byte(strings.Join(l.entries, "\n")) }

func (l *listMachine) Restore(state []byte) error {
	l.entries = nil
	if len(state) > 0 {
		l.entries = strings.Split(string(state), "\n")
	}
	return nil
}

// listApplication is an application of such machines at one node.
type listApplication struct {
	machines  [groups.Count]*listMachine
	led       [groups.Count]uint64
	violation string
}

func (l *listApplication) StateMachine(id groups.ID) groups.StateMachine {
	l.machines[id] = &listMachine{}
	return l.machines[id]
}

func (l *listApplication) LeadershipGained(id groups.ID, term uint64) {
	if l.led[id] >= term {
		l.violation = fmt.Sprintf("group %d: term %d after %d", id, term, l.led[id])
	}
	l.led[id] = term
}

func (l *listApplication) LeadershipLost(id groups.ID, term uint64) {
	if l.led[id] != term {
		l.violation = fmt.Sprintf("group %d: lost %d, led was %d", id, term, l.led[id])
	}
}

// listApplications makes them.
type listApplications struct{}

func (listApplications) NewApplication() groups.Application { return &listApplication{} }

// useListApplication has all nodes of a test order lists.
func useListApplication(t *testing.T) {
	before := newNodeKnobs
	newNodeKnobs.GroupApplications = listApplications{}
	t.Cleanup(func() { newNodeKnobs = before })
}

// groupLeader gives the node that leads a group, once there is one.
func (t *testCluster) groupLeader(id groups.ID) (leader int) {
	t.t.Helper()
	t.eventually(fmt.Sprint("group ", id, " is led"), func() bool {
		for i, h := range t.running {
			led := false
			h.loop.Turn(func() { _, _, led = h.groups.Leadership(id) })
			if led {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// proposeEntry proposes an entry to the leader of a group until it is applied, and counts the ambiguous outcomes. A leader that hands over
// proposes nothing for a moment.
func (t *testCluster) proposeEntry(id groups.ID, entry string) (unclear int) {
	t.t.Helper()
	t.eventually(fmt.Sprint("group ", id, " takes an entry"), func() bool {
		outcome := make(chan groups.Outcome, 1)
		h := t.running[t.groupLeader(id)]
		h.loop.Turn(func() { h.groups.Propose(id, []byte(entry), func(o groups.Outcome, _ []byte) { outcome <- o }) })
		o := <-outcome
		if o == groups.Ambiguous {
			unclear++
		}
		return o == groups.Applied
	})
	return unclear
}

// groupEntries are the entries of a group that a node has applied.
func (t *testCluster) groupEntries(i int, id groups.ID) (all []string) {
	h := t.running[i]
	h.loop.Turn(func() { all = append(all, h.groups.app.(*listApplication).machines[id].entries...) })
	return all
}

// Groups are founded where the contracts name coordination, led evenly by the disks, keep one order at all nodes, go on under another
// leader when one is killed, and have all that was applied after a start of all.
func TestGroupsOrderAndOutlastTheirLeaders(t *testing.T) {
	useListApplication(t)
	d := newCluster(t, 4)
	for i := range d.settings {
		d.settings[i].Contracts = []string{coordinationContract}
		d.start(i)
	}
	want, unclear := map[groups.ID][]string{}, 0
	add := func(id groups.ID, n int) {
		for range n {
			entry := fmt.Sprintf("%d.%d", id, len(want[id]))
			unclear += d.proposeEntry(id, entry)
			want[id] = append(want[id], entry)
		}
	}
	for id := range groups.ID(groups.Count) {
		add(id, 5)
	}
	d.eventually("the leads are spread", func() bool {
		led := map[int]int{}
		for id := range groups.ID(groups.Count) {
			led[d.groupLeader(id)]++
		}
		return len(led) == 3 && max(led[0], led[1], led[2]) <= 3
	})
	first := d.groupLeader(0)
	began := time.Now()
	d.kill(first)
	add(0, 1)
	t.Logf("group 0 went on after %v", time.Since(began))
	for id := range groups.ID(groups.Count) {
		add(id, 3)
	}
	d.start(first)
	// An entry with an ambiguous outcome was proposed again: it may stand twice, one behind the other, and no other one does.
	alike := func() bool {
		for i := range 3 {
			twice := 0
			for id, entries := range want {
				all := d.groupEntries(i, id)
				once := slices.Compact(slices.Clone(all))
				if twice += len(all) - len(once); !slices.Equal(once, entries) {
					return false
				}
			}
			must.LessEq(t, unclear, twice)
		}
		return true
	}
	d.eventually("all have the same", alike)
	for i := range 4 {
		d.kill(i)
	}
	for i := range 4 {
		d.start(i)
	}
	for id := range groups.ID(groups.Count) {
		add(id, 1)
	}
	d.eventually("all have the same again", alike)
	h := d.running[3]
	d.eventually("a node without a disk knows who leads", func() bool {
		known := 0
		h.loop.Turn(func() {
			for id := range groups.ID(groups.Count) {
				if _, ok := h.groups.Leader(id); ok && len(h.groups.LeaderCandidates(id)) == maxGuesses {
					known++
				}
			}
		})
		return known == groups.Count
	})
	for _, h := range d.running {
		if l, ok := h.groups.app.(*listApplication); ok {
			must.Eq(t, "", l.violation)
		}
	}
}
