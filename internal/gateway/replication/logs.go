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
	if m.Snap != nil {
		n += len(m.Snap.State)
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
func (p *Replica) clusterIDFor(members []Member) uint64 {
	name := ClusterIDOf(members)
	if p.config.LogID == ConfigurationLog || p.fault == oneFounding {
		return name
	}
	sum := fnv.New32a()
	sum.Write(binary.BigEndian.AppendUint64([]byte{byte(p.config.LogID)}, name))
	return uint64(sum.Sum32()) | 1
}

// LeaderTerm is the view that this member leads, once an entry of it is committed: all that was acknowledged in earlier views is committed
// here then. It says nothing for sure about this very moment: that takes a Read.
func (p *Replica) LeaderTerm() (view uint64, leads bool) {
	return p.term, p.role == roleLeader && p.commitIndex >= p.termStartIndex
}

// ReportUnreachable tells that the link to a member broke. If it leads, this member has lost it, and asks the others soon: together with those
// whose links broke too. Those who still hear it say so.
func (p *Replica) ReportUnreachable(id MemberID) {
	if p.role != roleFollower || p.leaderID != id || p.electionDeadline == never {
		return
	}
	p.leaderContactAt = min(p.leaderContactAt, p.now-p.config.ElectionTimeout)
	p.electionDeadline = min(p.electionDeadline, p.now+p.random(p.config.HeartbeatInterval/2))
}

// TransferLeadershipTo lets a certain member lead, as soon as it has all; another one, where that one is not heard. Proposals are refused
// meanwhile, as with TransferLeadership.
func (p *Replica) TransferLeadershipTo(id MemberID) {
	p.transferee = id
	p.TransferLeadership()
}

// CanTransferTo tells whether a member could take the lead at once, as far as is known here.
func (p *Replica) CanTransferTo(id MemberID) bool {
	w := p.peers[id]
	return p.role == roleLeader && w != nil && p.canReconfigure() && p.isMember(id) && p.recentlyActive(w) && w.matchIndex == p.lastIndex() &&
		p.now-w.lastResponseAt <= maxMissedHeartbeats*p.config.HeartbeatInterval
}

// eligibleTransferee tells whether the lead may be handed to a member.
func (p *Replica) eligibleTransferee(w *progress) bool {
	if !p.recentlyActive(w) || !p.isMember(w.ID) {
		return false
	}
	wished := p.peers[p.transferee]
	return wished == nil || wished == w || !p.recentlyActive(wished) || !p.isMember(wished.ID)
}
