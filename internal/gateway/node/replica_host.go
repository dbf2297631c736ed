package node

import (
	"clovergap/internal/gateway/replication"
)

// replicaHost carries between one of this node's replicas, its timer, the disk and whoever goes by its log.
type replicaHost struct {
	node     *Node
	self     replication.Member
	replica  *replication.Replica
	logID    replication.LogID
	disk     *diskQueue
	owner    replicaOwner
	timerSeq uint32
	ready    bool // something came since it was last pulled
}

// replicaOwner takes what a replica decides for its host: replication.Send, Restore, Commit and Outcome.
type replicaOwner interface {
	sendMessage(to replication.Member, m replication.Message)
	restoreState(index uint64, state []byte)
	applyCommitted(e replication.Entry)
	completeProposal(o replication.Outcome)
}

// handleActions carries out what the replica asks for.
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
			r.node.loop.At(a.Deadline, (*replicaTimer)(r), r.timerSeq)
		}
	}
}

// advance tells the replica the time, and has it pulled at the end of the turn.
func (r *replicaHost) advance() *replication.Replica {
	r.ready = true
	r.replica.Tick(r.node.loop.Now())
	return r.replica
}

// addr of a member: where its node says that it is, since a view may name an older place.
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

// replicaTimer brings a replica's own due time; the pull at the end of the turn does the rest.
type replicaTimer replicaHost

func (r *replicaTimer) Live(nr uint32) bool { return nr == r.timerSeq }
func (r *replicaTimer) Due(uint32)          { (*replicaHost)(r).advance() }
