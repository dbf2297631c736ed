package node

import (
	"time"

	"clovergap/internal/gateway/replication"
	"clovergap/internal/proxy/eventloop"
)

// replicaHost runs one of this node's replicas: it keeps its timer, queues its writes, and hands its owner what it decided.
type replicaHost struct {
	env      replicaEnv
	self     replication.Member
	replica  *replication.Replica
	logID    replication.LogID
	disk     *diskQueue
	owner    replicaOwner
	timerSeq uint32
	ready    bool // it may have decided something since handleActions
}

// replicaEnv is what a replica's host needs of its node: the time, and timers.
type replicaEnv interface {
	now() time.Duration
	schedule(at time.Duration, to eventloop.Alarm, ref uint32)
}

// replicaOwner applies a replica's log: it takes replication.Send, Restore, Commit and Outcome.
type replicaOwner interface {
	sendMessage(to replication.Member, m replication.Message)
	restoreState(index uint64, state []byte)
	applyCommitted(e replication.Entry)
	completeProposal(o replication.Outcome)
}

// handleActions carries out what the replica decided.
func (r *replicaHost) handleActions() {
	r.ready = false
	for {
		a, ok := r.replica.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case replication.Send:
			r.owner.sendMessage(a.Recipient, a.Message)
		case replication.Write:
			r.disk.Put(r.logID, a)
		case replication.Restore:
			r.owner.restoreState(a.Index, a.State)
		case replication.Commit:
			r.owner.applyCommitted(a.Entry)
		case replication.Outcome:
			r.owner.completeProposal(a)
		case replication.Wake:
			r.timerSeq++
			r.env.schedule(a.Deadline, (*replicaTimer)(r), r.timerSeq)
		}
	}
}

// advance gives the replica the time. What it decides is handled at the end of the turn.
func (r *replicaHost) advance() *replication.Replica {
	r.ready = true
	r.replica.Tick(r.env.now())
	return r.replica
}

// memberAddr is the present address of a member's node; the list of members may name an older one.
func (n *Node) memberAddr(m replication.Member) string {
	if d, ok := n.roster.Node(m.Addr); ok && replication.MemberID(d.Disk) == m.ID {
		return m.Addr
	}
	for _, d := range n.roster.LiveDiskNodes() {
		if replication.MemberID(d.Disk) == m.ID {
			return d.Addr
		}
	}
	return m.Addr
}

// replicaTimer is a replica's next deadline.
type replicaTimer replicaHost

// Live reports whether no later deadline took this one's place.
func (r *replicaTimer) Live(seq uint32) bool { return seq == r.timerSeq }

// Due advances the replica.
func (r *replicaTimer) Due(uint32) { (*replicaHost)(r).advance() }
