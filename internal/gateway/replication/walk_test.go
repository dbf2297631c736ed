package replication

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// walk is a run of nodes under chance: delays, losses, duplicates, partitions, crashes, power, lost disks, changes
// of members.
type walk struct {
	t              *testing.T
	rng            *rand.Rand
	now            time.Duration
	nodes          []*simNode
	events         []event
	committed      []Entry           // as delivered first, from index 2 on
	states         []string          // the host's state after each of them
	acked          uint64            // the newest index that was acknowledged
	reads          map[uint64]uint64 // what was acknowledged when a read came
	finished       map[uint64]bool   // proposals with an Outcome
	partitioned    map[[2]int]bool   // one way
	token          uint64
	nextID         MemberID
	acknowledged   int
	faultless      bool
	minMembers     int           // fewer members than these are too few
	detectionDelay time.Duration // until a host finds a member lost
	syncDelay      time.Duration // of any disk, on top
	config         Config
	bytes          map[int]int // of state and data that were sent to a node
	violation      string

	acks     []acknowledgement        // by time
	ledSince map[uint64]time.Duration // since when a term was led
}

type simNode struct {
	replica        *Replica
	disk           PersistentState
	incarnation    int
	diskBusyUntil  time.Duration // the disk hangs until then
	deadline       time.Duration
	index          uint64
	state          string
	writeDoneAt    time.Duration   // the last write is synced then
	diskBeforeLast PersistentState // the disk before the last write of this incarnation, with all before it
	lastWrite      Write
	pausedUntil    time.Duration // the process stands still until then
	draining       bool
	formerMember   Member        // of a process that has ended
	stoppedAt      time.Duration // when
}

type event struct {
	time   time.Duration
	action func()
}

func (w *walk) after(d time.Duration, do func()) { w.events = append(w.events, event{w.now + d, do}) }

func (w *walk) randomDelay(n int) time.Duration {
	return time.Duration(w.rng.Intn(n*1000)+1) * time.Microsecond
}

func (w *walk) start(i int) {
	d := w.nodes[i]
	d.incarnation++
	d.index, d.state, d.writeDoneAt, d.deadline = 0, "", 0, never
	d.diskBeforeLast, d.lastWrite = d.disk, Write{}
	d.replica = New(Member{d.disk.ID, fmt.Sprint("node", i)}, d.disk, w.config, w.rng.Int63(), w.now)
	w.drainActions(i)
}

func (w *walk) startEmpty(i int) {
	w.nextID++
	w.nodes[i].disk = PersistentState{ID: w.nextID}
	w.start(i)
}

func (w *walk) down(i int, d time.Duration, then func(int)) {
	w.nodes[i].replica = nil
	w.nodes[i].incarnation++
	w.after(d, func() { then(i) })
}

func (w *walk) fail(f string, a ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(f, a...)
	}
}

// onNode does something with a node, if it has not ended since.
func (w *walk) onNode(i int, do func(*simNode)) func() {
	life := w.nodes[i].incarnation
	var act func()
	act = func() {
		if d := w.nodes[i]; d.incarnation == life && d.replica != nil && !w.deferWhilePaused(d, act) {
			d.replica.Tick(w.now)
			do(d)
			w.drainActions(i)
		}
	}
	return act
}

func (w *walk) drainActions(i int) {
	d := w.nodes[i]
	for a, ok := d.replica.Next(); ok; a, ok = d.replica.Next() {
		switch a := a.(type) {
		case Send:
			w.transmit(i, a)
		case Write:
			w.checkMerge(i, a)
			d.writeDoneAt = max(d.writeDoneAt, d.diskBusyUntil, w.now) + w.randomDelay(5) + w.syncDelay
			w.after(d.writeDoneAt-w.now, w.onNode(i, func(d *simNode) { d.disk.Apply(a); d.replica.ReportSynced(a.Seq) }))
		case Restore:
			d.index, d.state = a.Index, string(a.State)
			if a.Index > 1 && (a.Index-2 >= uint64(len(w.states)) || w.states[a.Index-2] != d.state) {
				w.fail("node %d restores another state at %d", i, a.Index)
			}
		case Commit:
			w.applyCommit(i, d, a.Entry)
		case Outcome:
			since, read := w.reads[a.Token]
			switch {
			case !read && w.finished[a.Token]:
				w.fail("node %d gives a second outcome of proposal %d: %v", i, a.Token, a.Status)
			case a.Status == OutcomeCommitted && !read && string(w.committed[a.Index-2].Data) != string(proposalData(a.Token)):
				w.fail("node %d has proposal %d at %d, where another is", i, a.Token, a.Index)
			case a.Status != OutcomeCommitted:
			case read && a.Index < since:
				w.fail("a read gave %d, acknowledged was %d", a.Index, since)
			case !read:
				w.acked = max(w.acked, a.Index)
				w.acks = append(w.acks, acknowledgement{w.now, a.Index})
				w.acknowledged++
			}
			w.finished[a.Token] = true
		case Wake:
			if d.deadline = a.Deadline; a.Deadline < never {
				w.after(a.Deadline-w.now, w.onNode(i, func(*simNode) {}))
			}
		}
	}
	if d.replica.role == roleLeader && d.index < w.acked && d.replica.log.lastIndex() < w.acked {
		w.checkDeposed(i)
	}
	w.checkContact(i)
}

// checkDeposed: a leader that lacks what was acknowledged must be one of an earlier term.
func (w *walk) checkDeposed(i int) {
	if !slices.ContainsFunc(w.nodes, func(o *simNode) bool { return o.disk.Term > w.nodes[i].replica.term }) {
		w.fail("node %d leads the newest term without %d", i, w.acked)
	}
}

func (w *walk) applyCommit(i int, d *simNode, e Entry) {
	if e.Index != max(d.index, 1)+1 {
		w.fail("node %d is given %d after %d", i, e.Index, d.index)
		return
	}
	sum := sha256.Sum256(append([]byte(d.state), e.Data...))
	d.index, d.state = e.Index, string(sum[:8])
	if n := e.Index - 2; n < uint64(len(w.committed)) {
		if !sameEntry(w.committed[n], e) {
			w.fail("entry %d is of term %d, and at node %d of term %d", e.Index, w.committed[n].Term, i, e.Term)
		}
	} else {
		w.committed, w.states = append(w.committed, e), append(w.states, d.state)
	}
	if w.rng.Intn(20) == 0 {
		d.replica.Compact(d.index, []byte(d.state))
	}
}

func (w *walk) transmit(from int, s Send) {
	id := w.nodes[from].disk.ID
	for i, d := range w.nodes {
		there := s.Recipient.Addr == fmt.Sprint("node", i) || s.Recipient.Addr == "" && d.disk.ID == s.Recipient.ID
		if !there || w.partitioned[[2]int{from, i}] {
			continue
		}
		w.bytes[i] += payloadBytes(s.Message)
		n := 1
		if !w.faultless {
			n = [...]int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[w.rng.Intn(10)]
		}
		for range n {
			late := w.randomDelay(8)
			if !w.faultless && w.rng.Intn(20) == 0 {
				late += w.randomDelay(1500)
			}
			life := d.incarnation
			var act func()
			act = func() {
				if d.incarnation == life || !w.faultless { // a late one may reach who moved in since
					if d.replica != nil && !w.deferWhilePaused(d, act) {
						d.replica.Tick(w.now)
						d.replica.Step(id, s.Message)
						w.drainActions(i)
					}
				}
			}
			w.after(late, act)
		}
	}
}

// checkMerge sees that two writes in one do what they do one after the other.
func (w *walk) checkMerge(i int, a Write) {
	d := w.nodes[i]
	if d.lastWrite.Seq > 0 {
		one, two := d.diskBeforeLast, d.diskBeforeLast
		one.Apply(d.lastWrite.Merge(a))
		two.Apply(d.lastWrite)
		d.diskBeforeLast = two
		two.Apply(a)
		if fmt.Sprint(one) != fmt.Sprint(two) || one.Validate() != nil {
			w.fail("node %d: two writes in one make %v of the disk, one by one %v", i, one, two)
		}
	}
	d.lastWrite = a
}

// proposalData is data that has its token; one in eight is long.
func proposalData(token uint64) []byte {
	if token%8 == 0 {
		return fmt.Appendf(nil, "%011d", token)
	}
	return strconv.AppendUint(nil, token, 10)
}

// payloadBytes is how many bytes of state and data a message has.
func payloadBytes(m Message) (n int) {
	if m.Snapshot != nil {
		n += len(m.Snapshot.State)
	}
	if m.Chunk != nil {
		n += len(m.Chunk.Data)
	}
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

func (w *walk) leader() (found int) {
	found = -1
	for i, d := range w.nodes {
		if d.replica != nil && d.replica.IsLeader() && (found < 0 || d.replica.term > w.nodes[found].replica.term) {
			found = i
		}
	}
	return found
}

// membersInSync reports whether all members have the newest list on disk: a disk may be lost again.
func (w *walk) membersInSync() bool {
	l := w.leader()
	if l < 0 || !w.nodes[l].replica.canReconfigure() {
		return false
	}
	list := w.nodes[l].replica.memberConfigs
	for _, m := range w.nodes[l].replica.Members() {
		if !slices.ContainsFunc(w.nodes, func(d *simNode) bool {
			return d.replica != nil && d.disk.ID == m.ID && d.disk.ClusterID != 0 && d.disk.Commit >= list[len(list)-1].index
		}) {
			return false
		}
	}
	return true
}

func (w *walk) proposeSome() {
	for range w.rng.Intn(3) {
		w.token++
		token, i := w.token, w.rng.Intn(len(w.nodes))
		if l := w.leader(); l >= 0 && w.rng.Intn(3) > 0 {
			i = l
		}
		w.onNode(i, func(d *simNode) {
			if w.rng.Intn(2) == 0 {
				w.reads[token] = w.acked
				d.replica.Read(token)
			} else {
				d.replica.Propose(token, proposalData(token))
			}
		})()
	}
	w.after(w.randomDelay(120), w.proposeSome)
}

func (w *walk) injectFault() {
	if w.faultless {
		return
	}
	i := w.rng.Intn(len(w.nodes))
	d := w.nodes[i]
	switch w.rng.Intn(9) {
	case 0, 1: // power: what was not synced is lost
		if d.replica != nil {
			w.down(i, w.randomDelay(1500), w.start)
		}
	case 2: // all at once
		for i, d := range w.nodes {
			if d.replica != nil {
				w.down(i, w.randomDelay(900), w.start)
			}
		}
	case 3: // a disk, and at times power for the others
		if d.replica != nil && w.membersInSync() {
			all := w.rng.Intn(2) == 0
			for o, x := range w.nodes {
				if all && o != i && x.replica != nil {
					w.down(o, w.randomDelay(900), w.start)
				}
			}
			w.down(i, w.randomDelay(900), w.startEmpty)
		}
	case 4, 5:
		link := [2]int{i, w.rng.Intn(len(w.nodes))}
		w.partitioned[link] = true
		w.after(w.randomDelay(4000), func() { delete(w.partitioned, link) })
	case 6: // cut off from all
		for o := range w.nodes {
			w.partitioned[[2]int{i, o}], w.partitioned[[2]int{o, i}] = true, true
		}
		w.after(w.randomDelay(3000), func() { clear(w.partitioned) })
	case 7:
		d.diskBusyUntil = w.now + w.randomDelay(3000)
	case 8:
		if l := w.leader(); l >= 0 {
			w.onNode(l, func(x *simNode) {
				if len(x.replica.Members()) > 3 && w.rng.Intn(2) == 0 {
					x.replica.RemoveMember(d.disk.ID)
				} else {
					x.replica.TransferLeadership()
				}
			})()
		}
	}
	w.after(w.randomDelay(1200), w.injectFault)
}

func (w *walk) runUntil(t time.Duration) {
	for w.violation == "" {
		n := 0
		for i, e := range w.events {
			if e.time < w.events[n].time {
				n = i
			}
		}
		e := w.events[n]
		if e.time > t {
			break
		}
		last := len(w.events) - 1
		w.events[n] = w.events[last]
		w.events = w.events[:last]
		w.now = max(w.now, e.time)
		e.action()
	}
	w.now = t
}

// bootstrapped sets up nodes, of which three are the first members.
func bootstrapped(t *testing.T, nodes int, seed int64, planted mutation) *walk {
	return bootstrappedBy(t, nodes, 3, seed, planted)
}

func bootstrappedBy(t *testing.T, nodes, founders int, seed int64, planted mutation) *walk {
	return bootstrappedWith(t, DefaultConfig(), nodes, founders, seed, planted)
}

// bootstrappedWith is as bootstrappedBy, under other terms.
func bootstrappedWith(t *testing.T, config Config, nodes, founders int, seed int64, planted mutation) *walk {
	w := &walk{t: t, rng: rand.New(rand.NewSource(seed)), config: config, bytes: map[int]int{}}
	w.config.TestingKnobs = knobsFor(planted)
	if seed%2 == 1 { // states and one change in eight go in chunks
		w.config.MaxInflightBytes, w.config.ChunkBytes, w.config.TrailingBytes = 4, 2, 300
	}
	w.ledSince = map[uint64]time.Duration{}
	w.partitioned, w.reads, w.finished = map[[2]int]bool{}, map[uint64]uint64{}, map[uint64]bool{}
	var list []Member
	for i := range nodes {
		w.nodes = append(w.nodes, &simNode{})
		w.startEmpty(i)
		if i < founders {
			list = append(list, w.nodes[i].replica.self)
		}
	}
	for i := range list {
		w.onNode(i, func(d *simNode) { must.NoError(t, d.replica.Bootstrap(list)) })()
	}
	return w
}

func faultWalk(t *testing.T, seed int64, planted mutation) *walk {
	return walkWithFaults(t, seed, planted, (*walk).injectFault, 40*time.Second)
}

// walkWithFaults is a walk on three to five nodes with faults until a time, and ten seconds without after it.
func walkWithFaults(t *testing.T, seed int64, planted mutation, trouble func(*walk), until time.Duration) *walk {
	return bootstrapped(t, 3+int(seed%3), seed, planted).runWithFaults(trouble, until)
}

// groupFaultWalk is a walk of a coordination group.
func groupFaultWalk(t *testing.T, seed int64, planted mutation) *walk {
	return bootstrappedWith(t, GroupConfig(1), 3+int(seed%3), 3, seed, planted).runWithFaults((*walk).injectFault, 40*time.Second)
}

// runWithFaults goes on with faults until a time, and ten seconds without after it.
func (w *walk) runWithFaults(trouble func(*walk), until time.Duration) *walk {
	w.reconcileMembers(1)
	w.proposeSome()
	w.after(3*time.Second, func() { trouble(w) })
	w.runUntil(until)
	w.faultless = true
	clear(w.partitioned)
	w.runUntil(until + 10*time.Second)
	return w
}

// forEachSeed plays as many walks as REPLICATION_WALKS says.
func forEachSeed(t *testing.T, play func(t *testing.T, seed int64)) {
	walks := 40
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_WALKS")); err == nil {
		walks = n
	}
	for seed := range int64(walks) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// After any walk: one order, nothing acknowledged lost, reads new enough, and ten calm seconds later all go
// on.
func TestWalks(t *testing.T) { requireRecovery(t, faultWalk) }

// The same with a group's config: quick elections, read sequences that go to a bare majority.
func TestWalksOfGroups(t *testing.T) { requireRecovery(t, groupFaultWalk) }

func requireRecovery(t *testing.T, play func(*testing.T, int64, mutation) *walk) {
	forEachSeed(t, func(t *testing.T, seed int64) {
		w := play(t, seed, noMutation)
		must.Eq(t, "", w.violation)
		done, l := w.acknowledged, w.leader()
		must.NotEq(t, -1, l, must.Sprint("nobody leads"))
		w.runUntil(52 * time.Second)
		must.Eq(t, "", w.violation)
		must.Greater(t, done, w.acknowledged, must.Sprint("nothing goes on"))
		for i, d := range w.nodes {
			must.True(t, w.nodes[l].replica.isMember(d.disk.ID), must.Sprintf("node %d is no member", i))
			must.Between(t, w.acked-9, d.index, w.acked+9, must.Sprintf("node %d", i))
		}
	})
}

// A leader whose messages arrive, and to whom none do, steps down within QuorumTimeout, refuses proposals, and lets another lead.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	w := faultlessWalk(t)
	l := w.leader()
	for i := range w.nodes {
		w.partitioned[[2]int{i, l}] = true
	}
	w.runUntil(w.now + DefaultConfig().QuorumTimeout + 2*DefaultConfig().HeartbeatInterval)
	must.False(t, w.nodes[l].replica.IsLeader())
	must.Eq(t, OutcomeNoLeader, w.nodes[l].replica.admissionStatus(0))
	w.runUntil(w.now + time.Second)
	must.NotEq(t, -1, w.leader())
	must.NotEq(t, l, w.leader())
}

// Where each sync takes longer than the first election time-out there is a leader all the same: each election in vain doubles the time-out.
// Without that nobody led for as long as a machine's disk was that slow.
func TestSlowDisksStillLead(t *testing.T) {
	for seed := range int64(20) {
		w := bootstrapped(t, 3, seed, noMutation)
		w.faultless, w.syncDelay = true, 600*time.Millisecond
		w.runUntil(20 * time.Second)
		l := w.leader()
		must.NotEq(t, -1, l, must.Sprintf("seed %d: nobody leads", seed))
		for i := range 9 {
			w.onNode(l, func(d *simNode) { d.replica.Propose(uint64(i+1), proposalData(uint64(i+1))) })()
			w.runUntil(w.now + 2*time.Second)
		}
		must.Eq(t, "", w.violation)
		must.Eq(t, 9, w.acknowledged, must.Sprintf("seed %d", seed))
	}
}

// A member that was partitioned comes back without a new term; a leader that drains transfers its leadership within a few round trips.
func TestPreVoteAndLeadershipTransfer(t *testing.T) {
	w := faultlessWalk(t)
	l := w.leader()
	view, away := w.nodes[l].replica.term, (l+1)%3
	for i := range w.nodes {
		w.partitioned[[2]int{i, away}], w.partitioned[[2]int{away, i}] = true, true
	}
	w.runUntil(w.now + 5*time.Second)
	clear(w.partitioned)
	w.runUntil(w.now + time.Second)
	must.Eq(t, view, w.nodes[l].replica.term)
	must.True(t, w.nodes[l].replica.IsLeader())
	w.onNode(l, func(d *simNode) { d.replica.TransferLeadership() })()
	w.runUntil(w.now + 100*time.Millisecond)
	must.NotEq(t, -1, w.leader())
	must.NotEq(t, l, w.leader())
	must.Eq(t, view+1, w.nodes[l].replica.term)
}

func faultlessWalk(t *testing.T) *walk {
	w := bootstrapped(t, 3, 1, noMutation)
	w.faultless = true
	w.runUntil(3 * time.Second)
	must.NotEq(t, -1, w.leader())
	return w
}

// A node may die after its bootstrap, before the others had the list: any of its members passes it on while nothing else is known to be
// committed, and an empty disk takes it as if it were the first.
func TestBootstrapIsPassedOn(t *testing.T) {
	list := []Member{{1, "a"}, {2, "b"}, {3, "c"}}
	at := func(id MemberID, k PersistentState) *Replica {
		k.ID = id
		return New(Member{id, string(rune('a' + id - 1))}, k, DefaultConfig(), 1, 0)
	}
	first := at(1, PersistentState{})
	must.Nil(t, first.BootstrapMembers())
	must.NoError(t, first.Bootstrap(list))
	var kept PersistentState
	for a, ok := first.Next(); ok; a, ok = first.Next() {
		if w, is := a.(Write); is {
			kept.Apply(w)
			first.ReportSynced(w.Seq)
		}
	}
	again, second := at(1, kept), at(2, PersistentState{})
	must.Eq(t, list, again.BootstrapMembers())
	must.NoError(t, second.Bootstrap(again.BootstrapMembers()))
	must.Eq(t, list, second.Members())
	must.Error(t, at(9, PersistentState{}).Bootstrap(again.BootstrapMembers()))
}

// timeToLeader is how long it takes until a core of two founders has a leader that the other one follows.
func timeToLeader(t *testing.T, seed int64, sync time.Duration, planted mutation) time.Duration {
	w := bootstrappedBy(t, 2, 2, seed, planted)
	w.faultless, w.syncDelay = true, sync
	for w.now < 30*time.Second {
		w.runUntil(w.now + 10*time.Millisecond)
		if l := w.leader(); l >= 0 {
			if m, _, ok := w.nodes[1-l].replica.Leader(); ok && m.ID == w.nodes[l].replica.self.ID {
				return w.now
			}
		}
	}
	return w.now
}

// slowestElection is the longest and the mean time of a hundred first elections between two members.
func slowestElection(t *testing.T, sync time.Duration, planted mutation) (worst, mean time.Duration) {
	t.Helper()
	const runs = 100
	for seed := range int64(runs) {
		took := timeToLeader(t, seed, sync, planted)
		mean, worst = mean+took/runs, max(worst, took)
	}
	return worst, mean
}

// syncTimes are of disks that are quick, and slower than elections start.
var syncTimes = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}

// Two members that start at the same time both become candidates of a term where a vote takes its time, and keep each other from a
// majority: once each needed a longer time-out, up to seconds. Now the one with the lower ID starts the next term at once.
func TestTwoMembersElectLeaderSoon(t *testing.T) {
	for _, sync := range syncTimes {
		worst, mean := slowestElection(t, sync, noMutation)
		t.Logf("syncs of %v: a leader after %v in the mean, %v at worst", sync, mean, worst)
		must.LessEq(t, time.Second+5*sync, worst)
	}
}
