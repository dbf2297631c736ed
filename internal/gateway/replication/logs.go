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
	if w.Snap != nil {
		n = len(w.Snap.State)
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

// GroupTerms are those of a coordination group: calls wait for a change of leaders, so it is quicker than a configuration's.
// The machines have 0.4 of a core and disks of up to 5 ms a sync: three heartbeats may be missed.
func GroupTerms(log LogID) Terms {
	t := DefaultTerms()
	t.Log = log
	t.Beat, t.Patience, t.Spread, t.Silence = 100*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
	t.Tell = t.Beat // only who leads answers by what is committed
	t.Held, t.Trail, t.Narrow = 1<<20, 16<<10, true
	return t
}

// foundingOf names the founding of this log by these members: each log of a disk has another.
func (p *Replica) foundingOf(members []Member) uint64 {
	name := ClusterIDOf(members)
	if p.terms.Log == ConfigurationLog || p.fault == oneFounding {
		return name
	}
	sum := fnv.New32a()
	sum.Write(binary.BigEndian.AppendUint64([]byte{byte(p.terms.Log)}, name))
	return uint64(sum.Sum32()) | 1
}

// Term is the view that this member leads, once an entry of it is committed: all that was acknowledged in earlier views is committed
// here then. It says nothing for sure about this very moment: that takes a Read.
func (p *Replica) Term() (view uint64, leads bool) {
	return p.promise, p.role == leading && p.committed >= p.noOp
}

// Suspect tells that the link to a member broke. If it leads, this member has lost it, and asks the others soon: together with those
// whose links broke too. Those who still hear it say so.
func (p *Replica) Suspect(id MemberID) {
	if p.role != following || p.leader != id || p.due == never {
		return
	}
	p.heardAt = min(p.heardAt, p.now-p.terms.Patience)
	p.due = min(p.due, p.now+p.chance(p.terms.Beat/2))
}

// TransferTo lets a certain member lead, as soon as it has all; another one, where that one is not heard. Proposals are refused
// meanwhile, as with HandOver.
func (p *Replica) TransferTo(id MemberID) {
	p.successor = id
	p.HandOver()
}

// CanTransfer tells whether a member could take the lead at once, as far as is known here.
func (p *Replica) CanTransfer(id MemberID) bool {
	w := p.peers[id]
	return p.role == leading && w != nil && p.mayReconfigure() && p.member(id) && p.fresh(w) && w.match == p.last() &&
		p.now-w.heard <= quietMost*p.terms.Beat
}

// takesOver tells whether the lead may be handed to a member.
func (p *Replica) takesOver(w *progress) bool {
	if !p.fresh(w) || !p.member(w.ID) {
		return false
	}
	wished := p.peers[p.successor]
	return wished == nil || wished == w || !p.fresh(wished) || !p.member(wished.ID)
}
