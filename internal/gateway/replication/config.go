package replication

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// LogID tells one of the logs that a disk keeps from the others.
type LogID uint8

// ConfigurationLog is the log that orders configurations; the coordination groups' follow it.
const ConfigurationLog LogID = 0

// LogWrite is a write to one of a disk's logs.
type LogWrite struct {
	Log   LogID
	Write Write
}

// Size is about how many bytes it puts on disk.
func (w *Write) Size() (n int) {
	if w.Snapshot != nil {
		n = len(w.Snapshot.State)
	}
	for i := range w.Entries {
		n += w.Entries[i].size()
	}
	return n
}

// Size is about how many bytes it takes on a link.
func (m *Message) Size() int {
	n := 64
	for i := range m.Entries {
		n += m.Entries[i].size()
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.State)
	}
	if m.Chunk != nil {
		n += len(m.Chunk.Data)
	}
	return n
}

// GroupConfig are those of a coordination group: calls wait for a change of leaders, so it is quicker than a configuration's.
// The machines have 0.4 of a core and disks of up to 5 ms a sync: three heartbeats may be missed.
func GroupConfig(log LogID) Config {
	t := DefaultConfig()
	t.LogID = log
	t.HeartbeatInterval, t.ElectionTimeout, t.ElectionJitter, t.QuorumTimeout = 100*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
	t.CommitNotifyDelay = t.HeartbeatInterval // only who leads answers by what is committed
	t.MaxUncommittedBytes, t.TrailingBytes, t.ReadMinimalQuorum = 1<<20, 16<<10, true
	return t
}

// clusterIDFor names the founding of this log by these members: each log of a disk has another.
func (r *Replica) clusterIDFor(members []Member) uint64 {
	name := ClusterIDOf(members)
	if r.config.LogID == ConfigurationLog || r.fault == oneFounding {
		return name
	}
	sum := fnv.New32a()
	sum.Write(binary.BigEndian.AppendUint64([]byte{byte(r.config.LogID)}, name))
	return uint64(sum.Sum32()) | 1
}

// LeaderTerm is the view that this member leads, once an entry of it is committed: all that was acknowledged in earlier views is committed
// here then. It says nothing for sure about this very moment: that takes a Read.
func (r *Replica) LeaderTerm() (view uint64, leads bool) {
	return r.term, r.role == roleLeader && r.commitIndex >= r.termStartIndex
}

// ReportUnreachable tells that the link to a member broke. If it leads, this member has lost it, and asks the others soon: together with those
// whose links broke too. Those who still hear it say so.
func (r *Replica) ReportUnreachable(id MemberID) {
	if r.role != roleFollower || r.leaderID != id || r.electionDeadline == never {
		return
	}
	r.leaderContactAt = min(r.leaderContactAt, r.now-r.config.ElectionTimeout)
	r.electionDeadline = min(r.electionDeadline, r.now+r.random(r.config.HeartbeatInterval/2))
}

// TransferLeadershipTo lets a certain member lead, as soon as it has all; another one, where that one is not heard. Proposals are refused
// meanwhile, as with TransferLeadership.
func (r *Replica) TransferLeadershipTo(id MemberID) {
	r.transferee = id
	r.TransferLeadership()
}

// CanTransferTo tells whether a member could take the lead at once, as far as is known here.
func (r *Replica) CanTransferTo(id MemberID) bool {
	w := r.peers[id]
	return r.role == roleLeader && w != nil && r.canReconfigure() && r.isMember(id) && r.recentlyActive(w) && w.matchIndex == r.lastIndex() &&
		r.now-w.lastResponseAt <= maxMissedHeartbeats*r.config.HeartbeatInterval
}

// eligibleTransferee tells whether the lead may be handed to a member.
func (r *Replica) eligibleTransferee(w *progress) bool {
	if !r.recentlyActive(w) || !r.isMember(w.ID) {
		return false
	}
	wished := r.peers[r.transferee]
	return wished == nil || wished == w || !r.recentlyActive(wished) || !r.isMember(wished.ID)
}
