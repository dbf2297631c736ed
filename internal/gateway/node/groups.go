package node

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/invariant"
)

const (
	maxGuesses            = 3
	maxGroupFrameBytes    = 64 << 10         // bytes of messages of the groups in one frame
	minCompactBytes       = 64 << 10         // bytes of entries that go into a snapshot at the least,
	maxCompactBytes       = 512 << 10        // and at the most: eight groups and the configuration share a disk of 64 MB
	foundingWait          = 3 * time.Second  // the groups begin with the members that there are
	foundingRetryInterval = time.Second      // and the wish for them goes again
	coordinationContract  = "coord"          // the contract of deployments whose applications call for coordination
	leaderHintTTL         = 10 * time.Second // what another node said of who leads is forgotten after that
)

// newGroupApplication makes what the groups order, at a node with a disk. Nil: there are no groups.
var newGroupApplication = func(h *Node) groups.Application { return groupsApplication{h.coordination, h} }

// groupHost runs this node's part in the coordination groups.
type groupHost struct {
	node           *Node
	app            groups.Application
	replicas       [groups.Count]*groupReplica // nil without a disk
	founded        bool                        // the founding is known here, or a disk holds a state
	leaderHints    [groups.Count]leaderHint
	outbox         map[string][]groupMessage // by address, of this turn
	requestedAt    time.Duration             // when a call first wanted groups that have not begun
	foundingSentAt time.Duration             // when the wish last went out
	maintainedAt   time.Duration
	balancer       leadBalancer
}

// leaderHint is what another node said of who leads a group.
type leaderHint struct {
	addr       string
	receivedAt time.Duration
}

// groupReplica is this node's part in one group.
type groupReplica struct {
	replicaHost
	host          *groupHost
	id            groups.ID
	machine       groups.StateMachine
	pending       map[uint64]groupRequest // by token
	lastToken     uint64
	logBytes      int // bytes of entries since the last snapshot
	snapshotBytes int // bytes of that
	lastApplied   appliedEntry
	leadTerm      uint64 // led, as the application knows it; 0: not
	leadSince     time.Duration
	leaderTerm    uint64 // the last one whose leader was known
	leader        replication.MemberID
}

// appliedEntry is the result of an entry, and of no other that ever stood at its index.
type appliedEntry struct {
	index         uint64
	entry, result []byte
}

// groupRequest is a proposal or a read that waits for its end.
type groupRequest struct {
	entry      []byte
	onProposed func(groups.Outcome, []byte)
	onRead     func(ok bool)
}

// open makes the replicas from what the disk holds.
func (g *groupHost) open(kept map[replication.LogID]replication.PersistentState) {
	if newGroupApplication == nil {
		return
	}
	g.app, g.outbox = newGroupApplication(g.node), map[string][]groupMessage{}
	g.balancer = leadBalancer{penalties: map[replication.MemberID]leadPenalty{}}
	core := g.node.core
	for i := range g.replicas {
		id := groups.ID(i)
		k := kept[logID(id)]
		k.ID = core.self.ID
		g.founded = g.founded || k.ClusterID != 0
		r := &groupReplica{host: g, id: id, machine: g.app.StateMachine(id), pending: map[uint64]groupRequest{}, snapshotBytes: len(k.Snapshot.State)}
		r.replicaHost = replicaHost{node: g.node, self: core.self, logID: logID(id), disk: core.disk, owner: r, ready: true}
		r.replica = replication.New(r.self, k, replication.GroupConfig(r.logID), g.node.seed+int64(i)+1, g.node.loop.Now())
		g.replicas[i] = r
	}
}

// participates tells whether this node takes part in the groups.
func (g *groupHost) participates() bool { return g.app != nil && g.founded }

// found begins the groups, where the configuration's log says with which disks.
func (g *groupHost) found(founders []membership.Founder) {
	if len(founders) == 0 || g.founded && g.app == nil {
		return
	}
	g.founded = true
	members := founderMembers(founders)
	if g.app == nil || !slices.ContainsFunc(members, func(m replication.Member) bool { return m.ID == g.node.core.self.ID }) {
		return
	}
	for _, r := range g.replicas {
		if r.replica.Bootstrapped() {
			continue
		}
		if err := r.advance().Bootstrap(members); err != nil {
			g.node.warn(groupPart, "founding of group %d: %v", r.id, err)
		}
	}
}

// handleReady carries out what the replicas ask for, and what the application asks for when it is told.
func (g *groupHost) handleReady() {
	if g.app == nil {
		return
	}
	for again := true; again; {
		again = false
		for _, r := range g.replicas {
			if r.ready {
				again = true
				r.advance()
				r.handleActions()
				r.notifyLeadership()
			}
		}
	}
	g.flushOutbox()
}

// flushOutbox gives each peer what the groups have for it, together.
func (g *groupHost) flushOutbox() {
	if len(g.outbox) == 0 {
		return
	}
	for _, addr := range slices.Sorted(maps.Keys(g.outbox)) {
		f := &GroupMessages{From: g.node.core.self.ID}
		for i := range g.outbox[addr] {
			line := &g.outbox[addr][i]
			if len(f.Lines) > 0 && len(f.Lines)+line.message.Size() > maxGroupFrameBytes {
				g.node.links.Send(addr, &Frame{Groups: f})
				f = &GroupMessages{From: f.From}
			}
			f.append(line)
		}
		g.node.links.Send(addr, &Frame{Groups: f})
	}
	clear(g.outbox)
}

// receive takes what another node's groups say.
func (g *groupHost) receive(f *GroupMessages) {
	if g.app == nil {
		return
	}
	g.founded = true
	err := f.forEach(func(line *groupMessage) {
		r := g.replicas[line.group]
		if line.message.Kind == replication.MsgTimeoutNow && r.disk.stalledFor() > minStallTimeout {
			return // who can't sync can't lead
		}
		r.advance().Step(f.From, line.message)
	})
	if err != nil {
		g.node.warn(groupPart, "message of %d can't be read: %v", f.From, err)
	}
}

// linkDown tells that a link to a node broke.
func (g *groupHost) linkDown(addr string) {
	if !g.participates() {
		return
	}
	for _, r := range g.replicas {
		if m, _, ok := r.replica.Leader(); ok && m.ID != r.self.ID && g.node.memberAddr(m) == addr {
			r.advance().ReportUnreachable(m.ID)
		}
	}
}

func (g *groupReplica) sendMessage(to replication.Member, m replication.Message) {
	if addr := g.node.memberAddr(to); addr != "" {
		g.host.outbox[addr] = append(g.host.outbox[addr], groupMessage{g.id, m})
	}
}

func (g *groupReplica) restoreState(index uint64, state []byte) {
	if err := g.machine.Restore(state); err != nil {
		g.node.warn(groupPart, "state of group %d at %d can't be read: %v", g.id, index, err)
	}
	g.logBytes, g.snapshotBytes = 0, len(state)
}

// applyCommitted applies an entry, and puts the log into a snapshot once it has as many bytes as that, so that writing snapshots costs no
// more than writing entries: alike at all members.
func (g *groupReplica) applyCommitted(e replication.Entry) {
	g.lastApplied = appliedEntry{}
	if e.Kind == replication.EntryNormal {
		g.lastApplied = appliedEntry{e.Index, e.Data, g.machine.Apply(e.Index, e.Data)}
	}
	g.logBytes += e.Size()
	if g.logBytes >= min(max(minCompactBytes, g.snapshotBytes), maxCompactBytes) {
		state := g.machine.Snapshot()
		g.logBytes, g.snapshotBytes = 0, len(state)
		g.replica.Compact(e.Index, state)
	}
}

func (g *groupReplica) completeProposal(o replication.Outcome) {
	c, ok := g.pending[o.Token]
	delete(g.pending, o.Token)
	switch {
	case !ok:
	case c.onRead != nil:
		c.onRead(o.Status == replication.OutcomeCommitted)
	case o.Status == replication.OutcomeCommitted:
		if g.lastApplied.index != o.Index || !bytes.Equal(g.lastApplied.entry, c.entry) {
			invariant.That(false, "a proposal ends by its own entry")
			c.onProposed(groups.Ambiguous, nil)
			return
		}
		c.onProposed(groups.Applied, g.lastApplied.result)
	case o.Status == replication.OutcomeUnknown:
		c.onProposed(groups.Ambiguous, nil)
	default:
		c.onProposed(groups.NotProposed, nil)
	}
}

// notifyLeadership tells the application, and who follows this node, who leads.
func (g *groupReplica) notifyLeadership() {
	view, leads := g.replica.LeaderTerm()
	if g.leadTerm != 0 && (!leads || view != g.leadTerm) {
		lost := g.leadTerm
		g.leadTerm = 0
		g.host.app.LeadershipLost(g.id, lost)
	}
	if leads && g.leadTerm == 0 {
		g.leadTerm, g.leadSince = view, g.node.loop.Now()
		g.host.balancer.penalizeFormerLeader(g, g.leader, g.leadSince)
		g.host.app.LeadershipGained(g.id, view)
	}
	if m, view, ok := g.replica.Leader(); ok && view != g.leaderTerm {
		g.leaderTerm, g.leader = view, m.ID
		g.node.heartbeatAt = 0 // who follows passes calls on by it
		if m.ID == g.self.ID {
			g.node.say(groupPart, "leads group %d in view %d", g.id, view)
		}
	}
}
