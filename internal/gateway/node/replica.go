package node

import (
	"clovergap/internal/gateway/replication"
)

// replicaHost carries between one of this node's replicas, its timer, the disk and whoever goes by its log.
type replicaHost struct {
	h     *Node
	me    replication.Member
	p     *replication.Replica
	log   replication.LogID
	disk  *diskQueue
	owner replicaOwner
	wake  uint32
	due   bool // something came since it was last pulled
}

// replicaOwner takes what a replica decides for its host: replication.Send, Restore, Commit and Outcome.
type replicaOwner interface {
	send(to replication.Member, m replication.Message)
	restore(index uint64, state []byte)
	commit(e replication.Entry)
	settle(o replication.Outcome)
}

// drain carries out what the replica asks for.
func (r *replicaHost) drain() {
	r.due = false
	for {
		a, ok := r.p.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case replication.Send:
			r.owner.send(a.Recipient, a.Message)
		case replication.Write:
			r.disk.Put(r.log, a)
		case replication.Restore:
			r.owner.restore(a.Index, a.State)
		case replication.Commit:
			r.owner.commit(a.Entry)
		case replication.Outcome:
			r.owner.settle(a)
		case replication.Wake:
			r.wake++
			r.h.e.At(a.Deadline, (*replicaAlarm)(r), r.wake)
		}
	}
}

// now tells the replica the time, and has it pulled at the end of the turn.
func (r *replicaHost) now() *replication.Replica {
	r.due = true
	r.p.Tick(r.h.e.Now())
	return r.p
}

// addr of a member: where its node says that it is, since a view may name an older place.
func (h *Node) addrOf(m replication.Member) string {
	if d, ok := h.roster.Node(m.Addr); ok && replication.MemberID(d.Disk) == m.ID {
		return m.Addr
	}
	for _, d := range h.roster.Disks() {
		if replication.MemberID(d.Disk) == m.ID {
			return d.Addr
		}
	}
	return m.Addr
}

// replicaAlarm brings a replica's own due time; the pull at the end of the turn does the rest.
type replicaAlarm replicaHost

func (a *replicaAlarm) Live(nr uint32) bool { return nr == a.wake }
func (a *replicaAlarm) Due(uint32)          { (*replicaHost)(a).now() }
