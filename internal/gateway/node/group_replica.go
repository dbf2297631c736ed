package node

import (
	"bytes"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/invariant"
)

const (
	// minCompactBytes of entries go into a snapshot at the least.
	minCompactBytes = 64 << 10
	// maxCompactBytes of entries at the most go into one snapshot: eight groups and the configuration share a disk of 64 MB.
	maxCompactBytes = 512 << 10
)

// groupReplica is this node's part in one group: the replica of its log, and what the log folds to.
type groupReplica struct {
	replicaHost
	host          *groupHost
	id            groups.ID
	machine       groups.StateMachine
	pending       map[uint64]groupRequest // by token
	lastToken     uint64
	logBytes      int // of entries since the last snapshot
	snapshotBytes int
	lastApplied   appliedEntry
	leadTerm      uint64 // in which this node leads, as the application knows it; 0: it doesn't
	leadSince     time.Duration
	leaderTerm    uint64 // the last one whose leader was known
	leader        replication.MemberID
}

// appliedEntry is the result of an entry, and of no other that ever stood at its index.
type appliedEntry struct {
	index         uint64
	entry, result []byte
}

// groupRequest is a pending proposal or read.
type groupRequest struct {
	entry      []byte
	onProposed func(groups.Outcome, []byte)
	onRead     func(ok bool)
}

// newGroupReplica makes a group's replica from what is on disk.
func newGroupReplica(host *groupHost, id groups.ID, config *groupConfig) *groupReplica {
	stored := config.stored[logID(id)]
	stored.ID = config.self.ID
	r := &groupReplica{host: host, id: id, machine: host.app.StateMachine(id), pending: map[uint64]groupRequest{},
		snapshotBytes: len(stored.Snapshot.State)}
	r.replicaHost = replicaHost{env: host.env, self: config.self, logID: logID(id), disk: config.disk, owner: r, ready: true}
	r.replica = replication.New(r.self, stored, replication.GroupConfig(r.logID), config.seed+int64(id)+1, host.env.now())
	return r
}

// await makes a request pending, until the outcome of its token.
func (g *groupReplica) await(request groupRequest) (token uint64) {
	g.lastToken++
	g.pending[g.lastToken] = request
	return g.lastToken
}

// sendMessage puts a message into the outbox of this turn.
func (g *groupReplica) sendMessage(to replication.Member, m replication.Message) {
	if addr := g.host.env.memberAddr(to); addr != "" {
		g.host.outbox[addr] = append(g.host.outbox[addr], groupMessage{g.id, m})
	}
}

// restoreState begins from a snapshot.
func (g *groupReplica) restoreState(index uint64, state []byte) {
	if err := g.machine.Restore(state); err != nil {
		g.host.env.logWarn(groupPart).Int("group", int(g.id)).Uint64("index", index).Err(err).Msg("group state unreadable")
	}
	g.logBytes, g.snapshotBytes = 0, len(state)
}

// applyCommitted applies an entry, and puts the log into a snapshot once it has as many bytes as the last one, so that writing snapshots costs
// no more than writing entries: alike at all members.
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

// completeProposal ends a proposal or a read.
func (g *groupReplica) completeProposal(o replication.Outcome) {
	request, ok := g.pending[o.Token]
	delete(g.pending, o.Token)
	switch {
	case !ok:
	case request.onRead != nil:
		request.onRead(o.Status == replication.OutcomeCommitted)
	default:
		request.onProposed(g.outcomeOf(o, request.entry))
	}
}

// outcomeOf is how the proposal of an entry ended, with its result if it was applied.
func (g *groupReplica) outcomeOf(o replication.Outcome, entry []byte) (groups.Outcome, []byte) {
	switch o.Status {
	case replication.OutcomeCommitted:
		if g.lastApplied.index != o.Index || !bytes.Equal(g.lastApplied.entry, entry) {
			invariant.Assert(false, "a proposal ends by its own entry")
			return groups.Ambiguous, nil
		}
		return groups.Applied, g.lastApplied.result
	case replication.OutcomeUnknown:
		return groups.Ambiguous, nil
	}
	return groups.NotProposed, nil
}

// notifyLeadership notifies the application that this node has become the group's leader or is no longer, and the learners of a new leader.
func (g *groupReplica) notifyLeadership() {
	term, leads := g.replica.LeaderTerm()
	if g.leadTerm != 0 && (!leads || term != g.leadTerm) {
		lost := g.leadTerm
		g.leadTerm = 0
		g.host.app.LeadershipLost(g.id, lost)
	}
	if leads && g.leadTerm == 0 {
		g.leadTerm, g.leadSince = term, g.host.env.now()
		g.host.penalizeFormerLeader(g)
		g.host.app.LeadershipGained(g.id, term)
	}
	if m, term, ok := g.replica.Leader(); ok && term != g.leaderTerm {
		g.leaderTerm, g.leader = term, m.ID
		g.host.env.announceLeaders()
		if m.ID == g.self.ID {
			g.host.env.logInfo(groupPart).Int("group", int(g.id)).Uint64("term", term).Msg("leads group")
		}
	}
}
