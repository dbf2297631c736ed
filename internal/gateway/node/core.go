package node

import (
	"bytes"
	"time"

	"github.com/phuslu/log"

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

// core hosts this node's replica of the log that orders configurations. A node without a disk has none.
type core struct {
	replicaHost
	env              coreEnv
	proposals        map[uint64]proposal // that wait for their outcome, by token
	lastToken        uint64
	lastApplied      appliedChange
	membersCheckedAt time.Duration
	leaderTerm       uint64 // the last one whose leader was known
	liveness         livenessReports
}

// coreEnv is what a core needs of its node.
type coreEnv interface {
	replicaEnv
	sendFrame(to string, f *Frame) bool
	// memberAddr is the present address of a member's node.
	memberAddr(m replication.Member) string
	membershipRoster() *membership.Roster
	// reachableDisks are the nodes with a disk in reach, this one among them.
	reachableDisks() []replication.ReachableNode
	// toleratedLosses is how many nodes may be lost at one time.
	toleratedLosses() int
	// announceLeaders has learners notified at the next tick that there is a leader.
	announceLeaders()
	installState(index uint64, s *statemachine.Machine)
	applyEntry(index uint64, data []byte) (routing.Result, error)
	// snapshot is the state at the last entry applied.
	snapshot() []byte
	// readResult is the body of the answer to a read.
	readResult(kind statemachine.Kind) []byte
	// groupReplicaHost is the host of the replica of a coordination group.
	groupReplicaHost(log replication.LogID) *replicaHost
	logInfo(p logPart) *log.Entry
	logWarn(p logPart) *log.Entry
}

var _ coreEnv = (*Node)(nil)

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
func (n *Node) openCore(env Environment) error {
	if n.settings.DataDir == "" {
		return nil
	}
	disk, stored, err := env.Disk()
	if err != nil {
		return err
	}
	c := newCore(n, replication.Member{ID: stored.ID, Addr: n.peerAddr})
	c.disk = &diskQueue{clock: n, disk: disk, softState: n.takeSoftState, onSynced: c.writeSynced, onDeparturesStored: n.departuresStored}
	c.replica = replication.New(c.self, stored, replication.DefaultConfig(), n.seed, n.now())
	n.core = c
	n.groups.open(groupConfig{n.groupApplication(), c.self, c.disk, n.seed, disk.GroupLogs()})
	return nil
}

// newCore makes a core whose replica and disk are still to be set.
func newCore(env coreEnv, self replication.Member) *core {
	c := &core{env: env, proposals: map[uint64]proposal{}, liveness: livenessReports{}}
	c.replicaHost = replicaHost{env: env, self: self, owner: c}
	return c
}

// writeSynced notifies the replica of a log that a write of it is on disk.
func (c *core) writeSynced(log replication.LogID, seq uint64) {
	host := &c.replicaHost
	if log != replication.ConfigurationLog {
		host = c.env.groupReplicaHost(log)
	}
	host.advance().ReportSynced(seq)
}

// handleReady carries out what the replica decided, and notices a new leader.
func (c *core) handleReady() {
	c.advance()
	c.checkMembers()
	c.handleActions()
	if m, term, ok := c.replica.Leader(); ok && term != c.leaderTerm {
		c.leaderTerm = term
		c.env.announceLeaders()
		if m.ID == c.self.ID {
			c.env.logInfo(corePart).Uint64("term", term).Msg("became leader")
		} else {
			c.env.logInfo(corePart).Uint64("term", term).Str("leader", m.Addr).Msg("leader changed")
		}
	}
	c.env.membershipRoster().SetCluster(membership.DiskID(c.self.ID), c.replica.ClusterID())
}

// sendMessage sends to another member.
func (c *core) sendMessage(to replication.Member, m replication.Message) {
	if addr := c.env.memberAddr(to); addr != "" {
		c.env.sendFrame(addr, &Frame{Core: c.coreMessage(addr, m)})
	}
}

// restoreState begins with a snapshot. One that can't be read is of a newer program: this node stays behind until it runs that.
func (c *core) restoreState(index uint64, state []byte) {
	s := statemachine.New()
	if len(state) > 0 {
		var err error
		if s, err = statemachine.Restore(state); err != nil {
			c.env.logWarn(corePart).Uint64("index", index).Err(err).Msg("state unreadable")
			return
		}
	}
	c.env.installState(index, s)
}

// applyCommitted applies an entry, and compacts the log.
func (c *core) applyCommitted(e replication.Entry) {
	var data []byte
	if e.Kind == replication.EntryNormal {
		data = e.Data
	}
	v, err := c.env.applyEntry(e.Index, data)
	c.lastApplied = appliedChange{e.Index, data, v, err}
	if e.Index%compactEntries == 0 || c.replica.UncompactedBytes(e.Index) >= compactBytes {
		c.replica.Compact(e.Index, c.env.snapshot())
	}
}

// checkMembers notifies the replica which nodes with a disk are in reach, each memberCheckInterval. A leader adds them as members, in the
// place of lost ones.
func (c *core) checkMembers() {
	now := c.env.now()
	if now-c.membersCheckedAt < memberCheckInterval {
		return
	}
	c.membersCheckedAt = now
	c.replica.ReconcileMembers(c.env.reachableDisks(), c.env.toleratedLosses())
	c.abandonLoneBootstrap()
}

// reachableDisks are the nodes with a disk in reach.
func (n *Node) reachableDisks() (reach []replication.ReachableNode) {
	for _, d := range n.roster.LiveDiskNodes() {
		reach = append(reach, replication.ReachableNode{Member: replication.Member{ID: replication.MemberID(d.Disk), Addr: d.Addr}, Draining: d.Leaving})
	}
	return reach
}

// propose puts a change into the log, or reads once a majority confirmed that this node leads; done gets the outcome.
func (c *core) propose(kind statemachine.Kind, body []byte, done func(status int, body []byte)) {
	c.lastToken++
	c.replica.Tick(c.env.now())
	if isRead(kind) {
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
		p.done(statusUnavailable, []byte(o.Status.String()))
	case isRead(p.kind):
		p.done(statusOK, c.env.readResult(p.kind))
	default:
		applied := c.lastApplied
		if applied.index != o.Index || !bytes.Equal(applied.entry, p.entry) {
			invariant.Assert(false, "a proposal ends by its own entry")
			applied = appliedChange{outcome: routing.Ambiguous}
		}
		p.done(responseOf(applied.outcome, applied.err))
	}
}

// isRead reports whether a call reads, and puts nothing into the log.
func isRead(kind statemachine.Kind) bool { return kind == ReadConfig || kind == ReadRollouts }

// readResult is what a confirmed leader answers to a read.
func (n *Node) readResult(kind statemachine.Kind) []byte {
	if kind == ReadRollouts {
		return n.rolloutStatusBody()
	}
	return n.machine.Configs.Body()
}

// snapshot is the state at the last entry applied.
func (n *Node) snapshot() []byte { return n.machine.Snapshot() }

// groupReplicaHost is the host of the replica of the group whose log that is.
func (n *Node) groupReplicaHost(log replication.LogID) *replicaHost {
	return &n.groups.replicas[log-1].replicaHost
}
