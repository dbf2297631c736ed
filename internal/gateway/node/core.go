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
	compactEntries      = 64        // committed entries after which the log is put into a snapshot
	compactBytes        = 256 << 10 // or so many bytes of them: alike at all members, whose snapshots are the same
	memberCheckInterval = 300 * time.Millisecond
	softStateInterval   = 500 * time.Millisecond
)

// core is this node's part in the log that orders configurations: none without a disk.
type core struct {
	replicaHost
	softStateSavedAt time.Duration       // when the registry last was, beside the log
	proposals        map[uint64]proposal // by token
	lastToken        uint64
	lastApplied      appliedChange // of the last entry applied
	membersCheckedAt time.Duration
	leaderTerm       uint64                   // the last one whose leader was known
	liveness         map[string]livenessState // by address
}

// proposal is a call that the log settles.
type proposal struct {
	kind  statemachine.Kind
	entry []byte // nil of a read
	done  func(status int, body []byte)
}

// appliedChange is on an entry, and on no other that ever stood at its index.
type appliedChange struct {
	index   uint64
	entry   []byte
	outcome routing.Verdict
	err     error
}

// openCore begins with what the disk holds.
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

// writeSynced tells a replica what is on disk.
func (c *core) writeSynced(log replication.LogID, nr uint64) {
	r := &c.replicaHost
	if log != replication.ConfigurationLog {
		r = &c.node.groups.replicas[log-1].replicaHost
	}
	r.advance().Synced(nr)
}

// handleReady carries out what the log asks for.
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

func (c *core) sendMessage(to replication.Member, m replication.Message) {
	if addr := c.node.memberAddr(to); addr != "" {
		c.node.links.Send(addr, &Frame{Core: c.coreMessage(addr, m)})
	}
}

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

// checkMembers tells the log which disks are reached: it lets new ones in, in the place of lost ones (replica/members.go).
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

// reachableDisks are the nodes with a disk that this one reaches, itself among them.
func (n *Node) reachableDisks() (reach []replication.ReachableNode) {
	for _, d := range n.roster.LiveDiskNodes() {
		reach = append(reach, replication.ReachableNode{Member: replication.Member{ID: replication.MemberID(d.Disk), Addr: d.Addr}, Draining: d.Leaving})
	}
	return reach
}

// propose puts a change into the log, or reads; then is told how it ended.
func (c *core) propose(kind statemachine.Kind, body []byte, then func(status int, body []byte)) {
	c.lastToken++
	c.replica.Tick(c.node.loop.Now())
	if kind == ReadConfig || kind == ReadRollouts {
		c.proposals[c.lastToken] = proposal{kind, nil, then}
		c.replica.Read(c.lastToken)
		return
	}
	entry := statemachine.EncodeEntry(kind, body)
	c.proposals[c.lastToken] = proposal{kind, entry, then}
	c.replica.Propose(c.lastToken, entry)
}

// completeProposal answers a call whose place in the log is known.
func (c *core) completeProposal(o replication.Outcome) {
	w, ok := c.proposals[o.Token]
	delete(c.proposals, o.Token)
	switch {
	case !ok:
	case o.Status == replication.OutcomeUnknown:
		w.done(controlapi.Unclear, []byte(o.Status.String()))
	case o.Status != replication.OutcomeCommitted:
		w.done(503, []byte(o.Status.String()))
	case w.kind == ReadConfig:
		w.done(200, c.node.machine.Configs.Body())
	case w.kind == ReadRollouts:
		w.done(200, c.node.rolloutStatusBody())
	default:
		v := c.lastApplied
		if v.index != o.Index || !bytes.Equal(v.entry, w.entry) {
			invariant.That(false, "a proposal ends by its own entry")
			v = appliedChange{outcome: routing.Unclear}
		}
		w.done(responseOf(v.outcome, v.err))
	}
}
