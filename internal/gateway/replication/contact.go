package replication

import "time"

// Contact with a majority: how old a member's word of the core is at the most, as the safe time of a bounded-staleness read. All that
// was acknowledged so long ago is committed here. No write and no read rests on it: it tells a host what its state is worth.
//
// All messages between a leader and the others carry their sender's clock and give back the newest clock that was heard from the
// other in this view. Who answers a clock of the leader's had promised no newer view when it was sent, so when a majority has, no
// other leader had acknowledged anything by then, and what this one had is committed in it. The leader tells that age; a
// follower adds the time since it sent the clock that comes back with it, not since the word came: what was long on its way, or
// waited while a process stood still, is as old as it is. The clocks of a life begin at a number of its own, so that
// those of another life match nothing.

// contactState is what this member has word of: all that was acknowledged before at is committed here, as told in view.
type contactState struct {
	since time.Duration // before any word: a long time ago
	term  uint64
}

const noContact = -never

// Clock is a steady clock as others give it back: in ms, rounded down, from a number by chance on.
type Clock struct{ origin uint32 }

// maxStampAge is how old a clock may be that comes back: older ones are no news, and those of another life are all but surely older, or
// ahead.
const maxStampAge = 8 * time.Second

// NewClock makes that of a life.
func NewClock(life uint64) Clock { return Clock{uint32(life * 0x9e3779b97f4a7c15 >> 32)} }

// Stamp words a time; never 0.
func (c Clock) Stamp(now time.Duration) uint32 {
	told := c.origin + uint32(now/time.Millisecond)
	if told == 0 {
		told--
	}
	return told
}

// SentAt is when it was told, at the earliest.
func (c Clock) SentAt(told uint32, now time.Duration) (time.Duration, bool) {
	since := (time.Duration(c.Stamp(now)-told) + 1) * time.Millisecond
	return now - since, told != 0 && since <= maxStampAge
}

// reportsContact: what a node may do goes by the configuration's log alone, and its contact is told by no other.
func (r *Replica) reportsContact() bool { return r.config.LogID == ConfigurationLog }

// QuorumContact is how long ago a majority was in contact at the latest, as far as is known here, and the newest view that this is known
// of; false while there was no word of it in this life.
func (r *Replica) QuorumContact(now time.Duration) (age time.Duration, view uint64, ok bool) {
	if r.quorumContact.since == noContact {
		view, _ = r.termAt(r.commitIndex)
		return never, view, false
	}
	return max(now, r.now) - r.quorumContact.since, r.quorumContact.term, true
}

// advanceContact goes on to newer word.
func (r *Replica) advanceContact(at time.Duration, view uint64) {
	if at >= r.quorumContact.since {
		r.quorumContact = contactState{at, max(view, r.quorumContact.term)}
	}
}

// recordResponseClock notes that a member followed this view when the clock that it gives back was told. A node of the version before
// tells none: then it is when its answer came.
func (r *Replica) recordResponseClock(w *progress, m Message) {
	at, ok := r.clock.SentAt(m.EchoedClock, r.now)
	if m.Clock == 0 || r.fault == contactByReceipt {
		at, ok = r.now, true
	}
	w.lastClock = m.Clock
	if ok {
		w.contactAt = max(w.contactAt, at)
	}
}

// updateQuorumContact is the leader's: the newest of its times since which a majority, of both lists while they change, was in
// contact. Before an entry of this view is committed, others' entries may be acknowledged and not yet known here to be.
func (r *Replica) updateQuorumContact() {
	if r.role != roleLeader || !r.reportsContact() || r.commitIndex < r.termStartIndex && r.fault != contactEarly {
		return
	}
	since := func(t time.Duration) bool {
		return r.hasQuorum(func(id MemberID) bool { return id == r.self.ID || r.peers[id] != nil && r.peers[id].contactAt >= t })
	}
	if since(r.now) || r.fault == contactLeads {
		r.advanceContact(r.now, r.term)
		return
	}
	for _, w := range r.peers {
		if w.contactAt > r.quorumContact.since && since(w.contactAt) {
			r.advanceContact(w.contactAt, r.term)
		}
	}
}

// attachContact puts the leader's word into what it sends.
func (r *Replica) attachContact(w *progress, m *Message) {
	if m.ContactAgeMillis = -1; !r.reportsContact() {
		return
	}
	r.updateQuorumContact()
	m.Clock, m.EchoedClock, m.ContactAgeMillis = r.clock.Stamp(r.now), w.lastClock, -1
	if age, _, ok := r.QuorumContact(r.now); ok {
		m.ContactAgeMillis = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
}

// receiveContact takes the leader's word, once all that it had committed is committed here.
func (r *Replica) receiveContact(m Message) {
	at, ok := r.clock.SentAt(m.EchoedClock, r.now)
	if m.Clock == 0 || r.fault == followByReceipt {
		at, ok = r.now, true
	}
	if ok && m.ContactAgeMillis >= 0 && (r.commitIndex >= m.Commit || r.fault == contactAhead) {
		r.advanceContact(at-time.Duration(m.ContactAgeMillis)*time.Millisecond, m.Term)
	}
}
