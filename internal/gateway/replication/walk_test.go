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

// walk is a random walk through the states of a simulated cluster: messages are delayed, lost and duplicated, links are partitioned, nodes
// crash, disks are lost and members change at random. The seed decides all of that. Invariants are checked at each event.
type walk struct {
	t              *testing.T
	rng            *rand.Rand
	now            time.Duration
	nodes          []*simNode
	events         []event
	committed      []Entry           // committed entries from index 2 on, as applied by the first node that applied each entry
	hostStates     []string          // the host's state after each entry of committed
	ackedIndex     uint64            // the highest index that was acknowledged to a caller
	ackedAtRead    map[uint64]uint64 // by token of a read: the highest acknowledged index when the read was requested
	finishedTokens map[uint64]bool   // tokens of proposals and reads that have an Outcome
	partitioned    map[[2]int]bool   // links that lose all messages, each from one node to another
	lastToken      uint64
	lastMemberID   MemberID
	// ackedProposals is the number of proposals with OutcomeCommitted.
	ackedProposals int
	// While faultless is true, no faults are injected and no message is lost, duplicated or late.
	faultless      bool
	minMembers     int           // minimum length of a member list; 0: not checked
	detectionDelay time.Duration // time until a host detects that a node has stopped
	syncDelay      time.Duration // added to the duration of each sync
	config         Config
	bytesSent      map[int]int // bytes of snapshot states and entry data that were sent to each node, by node index
	violation      string      // the first violated invariant; empty: none

	acks        []acknowledgement        // acknowledged proposals, in the order of time
	leaderSince map[uint64]time.Duration // by term: when the term was first seen to have a leader
}

// simNode is a node of a walk, with its replica, which is nil while the process does not run, and its simulated disk.
type simNode struct {
	replica *Replica
	disk    PersistentState
	// incarnation counts the starts and stops of the process.
	incarnation   int
	diskBusyUntil time.Duration // the disk completes no write before this time
	// deadline is the Deadline of the last Wake.
	deadline time.Duration
	// appliedIndex is the index of the last applied entry, and hostState the state after it.
	appliedIndex        uint64
	hostState           string
	writeDoneAt         time.Duration   // when the last write is synced
	diskBeforeLastWrite PersistentState // the disk with all writes of this incarnation but the last
	lastWrite           Write
	suspendedUntil      time.Duration // the process is suspended until this time
	draining            bool
	formerMember        Member        // the member that ran here before the last call of stopNode
	stoppedAt           time.Duration // time of the last call of stopNode
}

// event is a function that the simulation calls once the simulated time reaches the event's time.
type event struct {
	time   time.Duration
	action func()
}

// schedule schedules a call of the function do after a delay.
func (w *walk) schedule(delay time.Duration, do func()) {
	w.events = append(w.events, event{w.now + delay, do})
}

// randomDelay returns a random duration of at most maxMillis milliseconds.
func (w *walk) randomDelay(maxMillis int) time.Duration {
	return time.Duration(w.rng.Intn(maxMillis*1000)+1) * time.Microsecond
}

// startNode starts the node at nodeIndex with the contents of its disk.
func (w *walk) startNode(nodeIndex int) {
	node := w.nodes[nodeIndex]
	node.incarnation++
	node.appliedIndex, node.hostState, node.writeDoneAt, node.deadline = 0, "", 0, never
	node.diskBeforeLastWrite, node.lastWrite = node.disk, Write{}
	node.replica = New(Member{node.disk.ID, fmt.Sprint("node", nodeIndex)}, node.disk, w.config, w.rng.Int63(), w.now)
	w.drainActions(nodeIndex)
}

// startNodeWithEmptyDisk starts the node at nodeIndex with an empty disk and a new member ID.
func (w *walk) startNodeWithEmptyDisk(nodeIndex int) {
	w.lastMemberID++
	w.nodes[nodeIndex].disk = PersistentState{ID: w.lastMemberID}
	w.startNode(nodeIndex)
}

// crashNodeFor crashes the node at nodeIndex. After the downtime, it calls the function then with the node's index.
func (w *walk) crashNodeFor(nodeIndex int, downtime time.Duration, then func(int)) {
	w.nodes[nodeIndex].replica = nil
	w.nodes[nodeIndex].incarnation++
	w.schedule(downtime, func() { then(nodeIndex) })
}

// recordViolation records the first violation of an invariant with its time. Later violations are ignored.
func (w *walk) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// actionOnNode returns a function that advances the time of the node at nodeIndex, calls do and carries out the node's actions. If the node has stopped or
// restarted in the meantime, the function does nothing. If the node is suspended, the function runs once it resumes.
func (w *walk) actionOnNode(nodeIndex int, do func(*simNode)) func() {
	incarnation := w.nodes[nodeIndex].incarnation
	var action func()
	action = func() {
		if node := w.nodes[nodeIndex]; node.incarnation == incarnation && node.replica != nil && !w.deferIfSuspended(node, action) {
			node.replica.Tick(w.now)
			do(node)
			w.drainActions(nodeIndex)
		}
	}
	return action
}

// drainActions carries out the actions of the node at nodeIndex and checks them.
func (w *walk) drainActions(nodeIndex int) {
	node := w.nodes[nodeIndex]
	for a, ok := node.replica.Next(); ok; a, ok = node.replica.Next() {
		switch a := a.(type) {
		case Send:
			w.transmit(nodeIndex, a)
		case Write:
			w.checkMerge(nodeIndex, a)
			node.writeDoneAt = max(node.writeDoneAt, node.diskBusyUntil, w.now) + w.randomDelay(5) + w.syncDelay
			w.schedule(node.writeDoneAt-w.now, w.actionOnNode(nodeIndex, func(node *simNode) { node.disk.Apply(a); node.replica.ReportSynced(a.Seq) }))
		case Restore:
			node.appliedIndex, node.hostState = a.Index, string(a.State)
			if a.Index > 1 && (a.Index-2 >= uint64(len(w.hostStates)) || w.hostStates[a.Index-2] != node.hostState) {
				w.recordViolation("node %d restored a state at index %d that differs from the state of the other nodes", nodeIndex, a.Index)
			}
		case Commit:
			w.applyCommit(nodeIndex, node, a.Entry)
		case Outcome:
			since, read := w.ackedAtRead[a.Token]
			switch {
			case !read && w.finishedTokens[a.Token]:
				w.recordViolation("node %d returned a second Outcome for proposal token=%d: status=%v", nodeIndex, a.Token, a.Status)
			case a.Status == OutcomeCommitted && !read && string(w.committed[a.Index-2].Data) != string(proposalData(a.Token)):
				w.recordViolation("node %d reported proposal token=%d as committed at index=%d, where another entry was committed", nodeIndex, a.Token, a.Index)
			case a.Status != OutcomeCommitted:
			case read && a.Index < since:
				w.recordViolation("a read returned index=%d, want at least the acknowledged index %d", a.Index, since)
			case !read:
				w.ackedIndex = max(w.ackedIndex, a.Index)
				w.acks = append(w.acks, acknowledgement{w.now, a.Index})
				w.ackedProposals++
			}
			w.finishedTokens[a.Token] = true
		case Wake:
			if node.deadline = a.Deadline; a.Deadline < never {
				w.schedule(a.Deadline-w.now, w.actionOnNode(nodeIndex, func(*simNode) {}))
			}
		}
	}
	if node.replica.role == roleLeader && node.appliedIndex < w.ackedIndex && node.replica.log.lastIndex() < w.ackedIndex {
		w.checkStaleLeader(nodeIndex)
	}
	w.checkQuorumContact(nodeIndex)
}

// checkStaleLeader checks a leader that lacks an acknowledged entry: another node must already have a newer term on disk.
func (w *walk) checkStaleLeader(nodeIndex int) {
	if !slices.ContainsFunc(w.nodes, func(o *simNode) bool { return o.disk.Term > w.nodes[nodeIndex].replica.term }) {
		w.recordViolation("node %d leads the newest term but lacks acknowledged entry %d", nodeIndex, w.ackedIndex)
	}
}

// applyCommit applies an entry to the state of the node at nodeIndex, and checks that the entry is the next one and the same as at the other nodes. It
// compacts the log after one entry in twenty.
func (w *walk) applyCommit(nodeIndex int, node *simNode, e Entry) {
	if e.Index != max(node.appliedIndex, 1)+1 {
		w.recordViolation("node %d applied index %d after index %d, want the next index", nodeIndex, e.Index, node.appliedIndex)
		return
	}
	sum := sha256.Sum256(append([]byte(node.hostState), e.Data...))
	node.appliedIndex, node.hostState = e.Index, string(sum[:8])
	if position := e.Index - 2; position < uint64(len(w.committed)) {
		if !isSameEntry(w.committed[position], e) {
			w.recordViolation("index %d: the entry committed first has term %d, node %d applied a different entry of term %d",
				e.Index, w.committed[position].Term, nodeIndex, e.Term)
		}
	} else {
		w.committed, w.hostStates = append(w.committed, e), append(w.hostStates, node.hostState)
	}
	if w.rng.Intn(20) == 0 {
		node.replica.Compact(node.appliedIndex, []byte(node.hostState))
	}
}

// transmit sends a message to the node at the recipient's address, or to the recipient's disk if no address is known. Unless the walk is
// faultless, messages are lost, duplicated and delayed at random.
func (w *walk) transmit(senderIndex int, send Send) {
	id := w.nodes[senderIndex].disk.ID
	for i, node := range w.nodes {
		isRecipient := send.Recipient.Addr == fmt.Sprint("node", i) || send.Recipient.Addr == "" && node.disk.ID == send.Recipient.ID
		if !isRecipient || w.partitioned[[2]int{senderIndex, i}] {
			continue
		}
		w.bytesSent[i] += payloadBytes(send.Message)
		copies := 1
		if !w.faultless {
			copies = [...]int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[w.rng.Intn(10)]
		}
		for range copies {
			delay := w.randomDelay(8)
			if !w.faultless && w.rng.Intn(20) == 0 {
				delay += w.randomDelay(1500)
			}
			incarnation := node.incarnation
			var action func()
			action = func() {
				// With faults, a late message may reach the next incarnation of the node.
				if node.incarnation == incarnation || !w.faultless {
					if node.replica != nil && !w.deferIfSuspended(node, action) {
						node.replica.Tick(w.now)
						node.replica.Step(id, send.Message)
						w.drainActions(i)
					}
				}
			}
			w.schedule(delay, action)
		}
	}
}

// checkMerge checks that the merge of the last two writes of the node at nodeIndex has the same effect on the disk as one write after the other.
func (w *walk) checkMerge(nodeIndex int, write Write) {
	node := w.nodes[nodeIndex]
	if node.lastWrite.Seq > 0 {
		merged, separate := node.diskBeforeLastWrite, node.diskBeforeLastWrite
		merged.Apply(node.lastWrite.Merge(write))
		separate.Apply(node.lastWrite)
		node.diskBeforeLastWrite = separate
		separate.Apply(write)
		if fmt.Sprint(merged) != fmt.Sprint(separate) || merged.Validate() != nil {
			w.recordViolation("node %d: disk is %v after the merged write, want %v as after two writes", nodeIndex, merged, separate)
		}
	}
	node.lastWrite = write
}

// proposalData returns the data of a proposal, which contains the token. For one token in eight, the data is padded to 11 bytes. This
// exceeds the MaxInflightBytes that newWalkWithConfig sets for odd seeds, so that such an entry is sent in chunks.
func proposalData(token uint64) []byte {
	if token%8 == 0 {
		return fmt.Appendf(nil, "%011d", token)
	}
	return strconv.AppendUint(nil, token, 10)
}

// payloadBytes returns the number of bytes of snapshot state, chunk data and entry data in a message.
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

// leaderIndex returns the index of the node that leads the newest term. It returns -1 if no node is a leader.
func (w *walk) leaderIndex() (index int) {
	index = -1
	for i, node := range w.nodes {
		if node.replica != nil && node.replica.IsLeader() && (index < 0 || node.replica.term > w.nodes[index].replica.term) {
			index = i
		}
	}
	return index
}

// allMembersInSync reports whether all members run and have the newest member list on disk as committed. A fault may erase a disk only
// if this is true.
func (w *walk) allMembersInSync() bool {
	leader := w.leaderIndex()
	if leader < 0 || !w.nodes[leader].replica.canReconfigure() {
		return false
	}
	configs := w.nodes[leader].replica.memberConfigs
	for _, m := range w.nodes[leader].replica.Members() {
		if !slices.ContainsFunc(w.nodes, func(node *simNode) bool {
			return node.replica != nil && node.disk.ID == m.ID && node.disk.ClusterID != 0 && node.disk.Commit >= configs[len(configs)-1].index
		}) {
			return false
		}
	}
	return true
}

// issueRequests issues up to two proposals or reads, most of them at the leader, and schedules its own next call.
func (w *walk) issueRequests() {
	for range w.rng.Intn(3) {
		w.lastToken++
		token, i := w.lastToken, w.rng.Intn(len(w.nodes))
		if leader := w.leaderIndex(); leader >= 0 && w.rng.Intn(3) > 0 {
			i = leader
		}
		w.actionOnNode(i, func(node *simNode) {
			if w.rng.Intn(2) == 0 {
				w.ackedAtRead[token] = w.ackedIndex
				node.replica.Read(token)
			} else {
				node.replica.Propose(token, proposalData(token))
			}
		})()
	}
	w.schedule(w.randomDelay(120), w.issueRequests)
}

// injectFault injects a random fault and schedules its own next call. It does nothing once the walk is faultless.
func (w *walk) injectFault() {
	if w.faultless {
		return
	}
	i := w.rng.Intn(len(w.nodes))
	node := w.nodes[i]
	switch w.rng.Intn(9) {
	case 0, 1: // a crash: writes that were not synced are lost
		if node.replica != nil {
			w.crashNodeFor(i, w.randomDelay(1500), w.startNode)
		}
	case 2: // a crash of all nodes at once
		for i, node := range w.nodes {
			if node.replica != nil {
				w.crashNodeFor(i, w.randomDelay(900), w.startNode)
			}
		}
	case 3: // a lost disk, in half of the cases with a crash of all other nodes
		if node.replica != nil && w.allMembersInSync() {
			all := w.rng.Intn(2) == 0
			for o, other := range w.nodes {
				if all && o != i && other.replica != nil {
					w.crashNodeFor(o, w.randomDelay(900), w.startNode)
				}
			}
			w.crashNodeFor(i, w.randomDelay(900), w.startNodeWithEmptyDisk)
		}
	case 4, 5:
		// Messages of one link are lost in one direction.
		link := [2]int{i, w.rng.Intn(len(w.nodes))}
		w.partitioned[link] = true
		w.schedule(w.randomDelay(4000), func() { delete(w.partitioned, link) })
	case 6: // a partition of one node from all others
		for o := range w.nodes {
			w.partitioned[[2]int{i, o}], w.partitioned[[2]int{o, i}] = true, true
		}
		w.schedule(w.randomDelay(3000), func() { clear(w.partitioned) })
	case 7:
		// The disk hangs.
		node.diskBusyUntil = w.now + w.randomDelay(3000)
	case 8:
		// The leader removes a member or transfers its leadership.
		if leader := w.leaderIndex(); leader >= 0 {
			w.actionOnNode(leader, func(leaderNode *simNode) {
				if len(leaderNode.replica.Members()) > 3 && w.rng.Intn(2) == 0 {
					leaderNode.replica.RemoveMember(node.disk.ID)
				} else {
					leaderNode.replica.TransferLeadership()
				}
			})()
		}
	}
	w.schedule(w.randomDelay(1200), w.injectFault)
}

// runUntil processes the events up to a time, or until an invariant is violated.
func (w *walk) runUntil(until time.Duration) {
	for w.violation == "" {
		earliest := 0
		for i, next := range w.events {
			if next.time < w.events[earliest].time {
				earliest = i
			}
		}
		next := w.events[earliest]
		if next.time > until {
			break
		}
		last := len(w.events) - 1
		w.events[earliest] = w.events[last]
		w.events = w.events[:last]
		w.now = max(w.now, next.time)
		next.action()
	}
	w.now = until
}

// newWalk returns a walk with a number of nodes, of which the first three are the first members.
func newWalk(t *testing.T, nodeCount int, seed int64, planted mutation) *walk {
	return newWalkWithMembers(t, nodeCount, 3, seed, planted)
}

// newWalkWithMembers returns a walk with a number of nodes, of which the first ones are the initial members.
func newWalkWithMembers(t *testing.T, nodeCount, initialMembers int, seed int64, planted mutation) *walk {
	return newWalkWithConfig(t, DefaultConfig(), nodeCount, initialMembers, seed, planted)
}

// newWalkWithConfig returns a walk like newWalkWithMembers, but with the given Config instead of DefaultConfig.
func newWalkWithConfig(t *testing.T, config Config, nodeCount, initialMembers int, seed int64, planted mutation) *walk {
	w := &walk{t: t, rng: rand.New(rand.NewSource(seed)), config: config, bytesSent: map[int]int{}}
	w.config.TestingKnobs = knobsFor(planted)
	// With an odd seed, data above 4 bytes is sent in chunks: all snapshots, and the longer one of eight proposals (see proposalData).
	if seed%2 == 1 {
		w.config.MaxInflightBytes, w.config.ChunkBytes, w.config.TrailingBytes = 4, 2, 300
	}
	w.leaderSince = map[uint64]time.Duration{}
	w.partitioned, w.ackedAtRead, w.finishedTokens = map[[2]int]bool{}, map[uint64]uint64{}, map[uint64]bool{}
	var members []Member
	for i := range nodeCount {
		w.nodes = append(w.nodes, &simNode{})
		w.startNodeWithEmptyDisk(i)
		if i < initialMembers {
			members = append(members, w.nodes[i].replica.self)
		}
	}
	for i := range members {
		w.actionOnNode(i, func(node *simNode) { must.NoError(t, node.replica.Bootstrap(members)) })()
	}
	return w
}

// runFaultWalk runs a walk with the faults of injectFault until 40 s, and for 10 s more without faults. It returns the finished walk.
func runFaultWalk(t *testing.T, seed int64, planted mutation) *walk {
	return runWalkWithFaults(t, seed, planted, (*walk).injectFault, 40*time.Second)
}

// runWalkWithFaults runs a walk on three to five nodes, with faults until a simulated time and for 10 s more without faults. It returns
// the finished walk.
func runWalkWithFaults(t *testing.T, seed int64, planted mutation, injectFaults func(*walk), until time.Duration) *walk {
	return newWalk(t, 3+int(seed%3), seed, planted).runWithFaults(injectFaults, until)
}

// runFaultWalkWithGroupConfig runs a walk like runFaultWalk, but with the configuration of a coordination group (GroupConfig).
func runFaultWalkWithGroupConfig(t *testing.T, seed int64, planted mutation) *walk {
	return newWalkWithConfig(t, GroupConfig(1), 3+int(seed%3), 3, seed, planted).runWithFaults((*walk).injectFault, 40*time.Second)
}

// runWithFaults runs a walk with faults until a simulated time, and for 10 s more without faults.
func (w *walk) runWithFaults(injectFaults func(*walk), until time.Duration) *walk {
	w.reconcileMembers(1)
	w.issueRequests()
	w.schedule(3*time.Second, func() { injectFaults(w) })
	w.runUntil(until)
	w.faultless = true
	clear(w.partitioned)
	w.runUntil(until + 10*time.Second)
	return w
}

// forEachSeed runs a subtest for each seed. REPLICATION_WALKS sets the number of seeds; the default is 40.
func forEachSeed(t *testing.T, run func(t *testing.T, seed int64)) {
	walks := 40
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_WALKS")); err == nil {
		walks = n
	}
	for seed := range int64(walks) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// Guards against diverging logs, lost acknowledged entries and stale reads under random faults, and against a cluster that does not recover
// from the faults within 10 s.
func TestWalksKeepInvariants(t *testing.T) { requireRecovery(t, runFaultWalk) }

// Guards against diverging logs, lost acknowledged entries and stale reads with the configuration of a coordination group, which has
// shorter election timeouts and sends read sequences only to as many members as a majority needs.
func TestWalksOfGroupsKeepInvariants(t *testing.T) { requireRecovery(t, runFaultWalkWithGroupConfig) }

// requireRecovery runs a walk for each seed. It requires that no invariant is violated. 10 s after the last fault, a leader must commit
// proposals, and all nodes must be members that have applied all but the last 9 acknowledged entries.
func requireRecovery(t *testing.T, run func(*testing.T, int64, mutation) *walk) {
	forEachSeed(t, func(t *testing.T, seed int64) {
		w := run(t, seed, noMutation)
		must.Eq(t, "", w.violation)
		ackedBefore, leader := w.ackedProposals, w.leaderIndex()
		must.NotEq(t, -1, leader, must.Sprint("no node leads 10 s after the last fault"))
		w.runUntil(52 * time.Second)
		must.Eq(t, "", w.violation)
		must.Greater(t, ackedBefore, w.ackedProposals, must.Sprint("no proposal was committed within 2 s"))
		for i, node := range w.nodes {
			must.True(t, w.nodes[leader].replica.isMember(node.disk.ID), must.Sprintf("node %d is not a member", i))
			must.Between(t, w.ackedIndex-9, node.appliedIndex, w.ackedIndex+9, must.Sprintf("index that node %d has applied", i))
		}
	})
}

// Guards against a leader that continues to lead although it receives no messages, while its own messages still arrive at the other
// members. The leader must step down within QuorumTimeout and refuse proposals, and another member must become leader.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	w := newFaultlessWalk(t)
	leader := w.leaderIndex()
	for i := range w.nodes {
		w.partitioned[[2]int{i, leader}] = true
	}
	w.runUntil(w.now + DefaultConfig().QuorumTimeout + 2*DefaultConfig().HeartbeatInterval)
	must.False(t, w.nodes[leader].replica.IsLeader())
	must.Eq(t, OutcomeNoLeader, w.nodes[leader].replica.admissionStatus(0))
	w.runUntil(w.now + time.Second)
	must.NotEq(t, -1, w.leaderIndex())
	must.NotEq(t, leader, w.leaderIndex())
}

// Guards against a cluster that elects no leader because each sync takes longer than the first election timeout. Each failed election
// doubles the timeout. Without this backoff, a cluster had no leader for as long as the disks were slow.
func TestClusterWithSlowDisksElectsLeader(t *testing.T) {
	for seed := range int64(20) {
		w := newWalk(t, 3, seed, noMutation)
		w.faultless, w.syncDelay = true, 600*time.Millisecond
		w.runUntil(20 * time.Second)
		leader := w.leaderIndex()
		must.NotEq(t, -1, leader, must.Sprintf("seed=%d: no node leads", seed))
		for i := range 9 {
			w.actionOnNode(leader, func(node *simNode) { node.replica.Propose(uint64(i+1), proposalData(uint64(i+1))) })()
			w.runUntil(w.now + 2*time.Second)
		}
		must.Eq(t, "", w.violation)
		must.Eq(t, 9, w.ackedProposals, must.Sprintf("seed=%d: number of acknowledged proposals", seed))
	}
}

// Guards against a partitioned member that increases the term and deposes the leader when the partition heals: the pre-vote must keep the
// term and the leader. Also guards against a leadership transfer that takes longer than a few round trips.
func TestPreVoteAndLeadershipTransfer(t *testing.T) {
	w := newFaultlessWalk(t)
	leader := w.leaderIndex()
	term, isolated := w.nodes[leader].replica.term, (leader+1)%3
	for i := range w.nodes {
		w.partitioned[[2]int{i, isolated}], w.partitioned[[2]int{isolated, i}] = true, true
	}
	w.runUntil(w.now + 5*time.Second)
	clear(w.partitioned)
	w.runUntil(w.now + time.Second)
	must.Eq(t, term, w.nodes[leader].replica.term)
	must.True(t, w.nodes[leader].replica.IsLeader())
	w.actionOnNode(leader, func(node *simNode) { node.replica.TransferLeadership() })()
	w.runUntil(w.now + 100*time.Millisecond)
	must.NotEq(t, -1, w.leaderIndex())
	must.NotEq(t, leader, w.leaderIndex())
	must.Eq(t, term+1, w.nodes[leader].replica.term)
}

// newFaultlessWalk returns a walk on three nodes without faults. The walk has run for 3 s and has a leader.
func newFaultlessWalk(t *testing.T) *walk {
	w := newWalk(t, 3, 1, noMutation)
	w.faultless = true
	w.runUntil(3 * time.Second)
	must.NotEq(t, -1, w.leaderIndex())
	return w
}

// Guards against a bootstrap that stays incomplete forever, because the node that started it stopped before the other members had the member
// list. Any bootstrapped member must return the list, also after a restart, and an empty disk on the list must accept it.
func TestAnyMemberReturnsBootstrapMembers(t *testing.T) {
	members := []Member{{1, "a"}, {2, "b"}, {3, "c"}}
	newReplica := func(id MemberID, state PersistentState) *Replica {
		state.ID = id
		return New(Member{id, string(rune('a' + id - 1))}, state, DefaultConfig(), 1, 0)
	}
	first := newReplica(1, PersistentState{})
	must.Nil(t, first.BootstrapMembers())
	must.NoError(t, first.Bootstrap(members))
	var firstDisk PersistentState
	for action, ok := first.Next(); ok; action, ok = first.Next() {
		if write, isWrite := action.(Write); isWrite {
			firstDisk.Apply(write)
			first.ReportSynced(write.Seq)
		}
	}
	restarted, second := newReplica(1, firstDisk), newReplica(2, PersistentState{})
	must.Eq(t, members, restarted.BootstrapMembers())
	must.NoError(t, second.Bootstrap(restarted.BootstrapMembers()))
	must.Eq(t, members, second.Members())
	must.Error(t, newReplica(9, PersistentState{}).Bootstrap(restarted.BootstrapMembers()))
}

// timeToLeader returns how long a cluster of two members takes to elect a leader that the other member follows, at most 30 s.
func timeToLeader(t *testing.T, seed int64, syncDelay time.Duration, planted mutation) time.Duration {
	w := newWalkWithMembers(t, 2, 2, seed, planted)
	w.faultless, w.syncDelay = true, syncDelay
	for w.now < 30*time.Second {
		w.runUntil(w.now + 10*time.Millisecond)
		if leader := w.leaderIndex(); leader >= 0 {
			if m, _, ok := w.nodes[1-leader].replica.Leader(); ok && m.ID == w.nodes[leader].replica.self.ID {
				return w.now
			}
		}
	}
	return w.now
}

// electionTimes returns the longest and the mean time that a hundred clusters of two members take to elect their first leader.
func electionTimes(t *testing.T, syncDelay time.Duration, planted mutation) (longest, mean time.Duration) {
	t.Helper()
	const clusters = 100
	for seed := range int64(clusters) {
		duration := timeToLeader(t, seed, syncDelay, planted)
		mean, longest = mean+duration/clusters, max(longest, duration)
	}
	return longest, mean
}

// syncDelays are the durations that are added to each sync, from a fast disk to a disk that is slower than the first election timeout.
var syncDelays = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}

// Guards against slow first elections between two members. If a vote takes long to sync, both members become candidates of the same
// term, and neither gets a majority. Earlier, both then waited for another and longer election timeout, up to seconds. Now the
// candidate with the lower ID starts the next term at once.
func TestTwoMembersElectLeaderSoon(t *testing.T) {
	for _, syncDelay := range syncDelays {
		longest, mean := electionTimes(t, syncDelay, noMutation)
		t.Logf("sync delay=%v: time to leader mean=%v max=%v", syncDelay, mean, longest)
		must.LessEq(t, time.Second+5*syncDelay, longest)
	}
}
