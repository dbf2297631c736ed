package node

import (
	"bytes"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/invariant"
)

const (
	// compactEntries and compactBytes are what is committed before the log goes into a snapshot, whichever comes first. They are alike at
	// all members, whose snapshots are the same.
	compactEntries = 64
	compactBytes   = 256 << 10
	// memberCheckInterval is how often the members are compared with the disks in reach.
	memberCheckInterval = 300 * time.Millisecond
)

// core is this node's part in the replicated log that orders configurations. A node without a disk has none.
type core struct {
	replicaHost
	proposals        map[uint64]proposal // that wait for their outcome, by token
	lastToken        uint64
	lastApplied      appliedChange
	membersCheckedAt time.Duration
	leaderTerm       uint64                   // the last one whose leader was known
	liveness         map[string]livenessState // by address
}

// proposal is a call that waits for the log.
type proposal struct {
	kind  statemachine.Kind
	entry []byte // nil of a read
	done  func(status int, body []byte)
}

// appliedChange is the outcome of the entry applied last, and of no other that ever stood at its index.
type appliedChange struct {
	index   uint64
	entry   []byte
	outcome routing.Result
	err     error
}

// openCore opens the disk, and the replicas of the log and of the groups with what it holds.
func (n *Node) openCore(b Environment) error {
	if n.settings.DataDir == "" {
		return nil
	}
	disk, kept, err := b.Disk()
	if err != nil {
		return err
	}
	c := &core{proposals: map[uint64]proposal{}, liveness: map[string]livenessState{}}
	c.replicaHost = replicaHost{node: n, self: replication.Member{ID: kept.ID, Addr: n.peerAddr}, owner: c,
		disk: &diskQueue{node: n, disk: disk, onSynced: c.writeSynced}}
	c.replica = replication.New(c.self, kept, replication.DefaultConfig(), n.seed, n.loop.Now())
	n.core = c
	n.groups.open(n, disk.GroupLogs())
	return nil
}

// writeSynced tells the replica of a log that a write of it is on disk.
func (c *core) writeSynced(log replication.LogID, seq uint64) {
	r := &c.replicaHost
	if log != replication.ConfigurationLog {
		r = &c.node.groups.replicas[log-1].replicaHost
	}
	r.advance().Synced(seq)
}

// handleReady carries out what the replica decided, and notices a new leader.
func (c *core) handleReady() {
	c.advance()
	c.checkMembers()
	c.handleActions()
	if m, term, ok := c.replica.Leader(); ok && term != c.leaderTerm {
		c.leaderTerm = term
		c.node.heartbeatAt = 0 // learners wait to hear that somebody leads
		if m.ID == c.self.ID {
			c.node.logInfo(corePart).Uint64("term", term).Msg("became leader")
		} else {
			c.node.logInfo(corePart).Uint64("term", term).Str("leader", m.Addr).Msg("leader changed")
		}
	}
	c.node.roster.SetCluster(membership.Disk(c.self.ID), c.replica.ClusterID())
}

// sendMessage sends to another member.
func (c *core) sendMessage(to replication.Member, m replication.Message) {
	if addr := c.node.memberAddr(to); addr != "" {
		c.node.links.Send(addr, &Frame{Core: c.coreMessage(addr, m)})
	}
}

// restoreState begins with a snapshot. One that can't be read is of a newer program: this node stays behind until it runs that.
func (c *core) restoreState(index uint64, state []byte) {
	s := statemachine.New()
	if len(state) > 0 {
		var err error
		if s, err = statemachine.Restore(state); err != nil {
			c.node.logWarn(corePart).Uint64("index", index).Err(err).Msg("state unreadable")
			return
		}
	}
	c.node.installState(index, s)
}

// applyCommitted applies an entry, and compacts the log.
func (c *core) applyCommitted(e replication.Entry) {
	var data []byte
	if e.Kind == replication.EntryNormal {
		data = e.Data
	}
	v, err := c.node.applyEntry(e.Index, data)
	c.lastApplied = appliedChange{e.Index, data, v, err}
	if e.Index%compactEntries == 0 || c.replica.UncompactedBytes(e.Index) >= compactBytes {
		c.replica.Compact(e.Index, c.node.machine.Snapshot())
	}
}

// checkMembers tells the replica which nodes with a disk are in reach, each memberCheckInterval. A leader adds them as members, in the
// place of lost ones.
func (c *core) checkMembers() {
	now := c.node.loop.Now()
	if now-c.membersCheckedAt < memberCheckInterval {
		return
	}
	c.membersCheckedAt = now
	reach := c.node.reachableDisks()
	c.replica.ReconcileMembers(reach, c.node.settings.Tolerance.Machines)
	c.abandonLoneBootstrap()
}

// reachableDisks are the nodes with a disk in reach, this one among them.
func (n *Node) reachableDisks() (reach []replication.ReachableNode) {
	for _, d := range n.roster.LiveDiskNodes() {
		reach = append(reach, replication.ReachableNode{Member: replication.Member{ID: replication.MemberID(d.Disk), Addr: d.Addr}, Draining: d.Leaving})
	}
	return reach
}

// propose puts a change into the log, or reads once a majority confirmed that this node leads; done gets the outcome.
func (c *core) propose(kind statemachine.Kind, body []byte, done func(status int, body []byte)) {
	c.lastToken++
	c.replica.Tick(c.node.loop.Now())
	if kind == ReadConfig || kind == ReadRollouts {
		c.proposals[c.lastToken] = proposal{kind, nil, done}
		c.replica.Read(c.lastToken)
		return
	}
	entry := statemachine.EncodeEntry(kind, body)
	c.proposals[c.lastToken] = proposal{kind, entry, done}
	c.replica.Propose(c.lastToken, entry)
}

// completeProposal ends a call whose outcome is known.
func (c *core) completeProposal(o replication.Outcome) {
	p, ok := c.proposals[o.Token]
	delete(c.proposals, o.Token)
	switch {
	case !ok:
	case o.Status == replication.OutcomeUnknown:
		p.done(controlapi.StatusAmbiguous, []byte(o.Status.String()))
	case o.Status != replication.OutcomeCommitted:
		p.done(503, []byte(o.Status.String()))
	case p.kind == ReadConfig:
		p.done(200, c.node.machine.Configs.Body())
	case p.kind == ReadRollouts:
		p.done(200, c.node.rolloutStatusBody())
	default:
		applied := c.lastApplied
		if applied.index != o.Index || !bytes.Equal(applied.entry, p.entry) {
			invariant.That(false, "a proposal ends by its own entry")
			applied = appliedChange{outcome: routing.Ambiguous}
		}
		p.done(responseOf(applied.outcome, applied.err))
	}
}
