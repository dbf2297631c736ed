package replication

import "time"

// Quorum contact: how stale a member's state is at the most, like the closed timestamp of a bounded-staleness read. All that was
// acknowledged before that time is committed here. No read or write depends on it; it is how a host knows whether its state is good enough.
//
// Messages between a leader and the others carry their sender's clock, and echo the newest clock that was received from the other
// in this term. A member that echoes the leader's clock followed no newer term when that clock was sent. So when a majority has
// echoed it, no other leader had acknowledged anything by then, and what this leader had acknowledged is committed at it. The
// leader sends the age of that time. A follower adds the time since it sent the clock that comes back with it, and not the time
// since the message came: what was long on its way, or waited while a process was suspended, counts as that stale. Clocks start at
// a number that differs between incarnations of a process, so that echoes of an earlier one match nothing.

// contactState is the newest time at which a majority is known to have been in contact, by the leader of a term.
type contactState struct {
	lastContactAt time.Duration // noContact before the first
	term          uint64
}

const noContact = -never

// maxTimestampAge bounds the age of an echo that is accepted: older ones bring nothing new, and those of another incarnation are
// almost certainly older, or in the future.
const maxTimestampAge = 8 * time.Second

// Clock is a monotonic clock in milliseconds, rounded down, that starts at a random number and wraps after 49 days.
type Clock struct{ origin uint32 }

// NewClock returns the clock of an incarnation, which is any number that differs between them.
func NewClock(incarnation uint64) Clock {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / φ: spreads near numbers (Knuth, 6.4)
	return Clock{uint32(incarnation * goldenRatio >> 32)}
}

// Timestamp is a time by this clock; never 0.
func (c Clock) Timestamp(now time.Duration) uint32 {
	timestamp := c.origin + uint32(now/time.Millisecond)
	if timestamp == 0 {
		timestamp--
	}
	return timestamp
}

// SentAt is the earliest time that a timestamp can be of, and false if it is not this clock's or too long ago.
func (c Clock) TimeOf(timestamp uint32, now time.Duration) (time.Duration, bool) {
	age := (time.Duration(c.Timestamp(now)-timestamp) + 1) * time.Millisecond
	return now - age, timestamp != 0 && age <= maxTimestampAge
}

// reportsContact reports whether this log has quorum contact: what a node may do depends only on the configuration's log.
func (r *Replica) tracksQuorumContact() bool { return r.config.LogID == ConfigurationLog }

// QuorumContact returns how long ago a majority was in contact at the latest, as far as is known here, and the newest term in
// which that is known. It returns false, and the term of the commit index, if it is not known since the process started.
func (r *Replica) QuorumContact(now time.Duration) (age time.Duration, term uint64, ok bool) {
	if r.quorumContact.lastContactAt == noContact {
		term, _ = r.log.termAt(r.commitIndex)
		return never, term, false
	}
	return max(now, r.now) - r.quorumContact.lastContactAt, r.quorumContact.term, true
}

// advanceContact takes over a newer time.
func (r *Replica) advanceQuorumContact(contactAt time.Duration, term uint64) {
	if contactAt >= r.quorumContact.lastContactAt {
		r.quorumContact = contactState{contactAt, max(term, r.quorumContact.term)}
	}
}

// recordResponseClock records that a member followed this term when the clock that it echoes was sent. A member of the first
// version sends no clock: it counts from when its answer came.
func (r *Replica) recordMemberContact(peer *progress, m Message) {
	sentAt, ok := r.clock.TimeOf(m.EchoedClock, r.now)
	if m.Clock == 0 || r.hasMutation(contactFromAckTime) {
		sentAt, ok = r.now, true
	}
	peer.lastReceivedClock = m.Clock
	if ok {
		peer.lastContactAt = max(peer.lastContactAt, sentAt)
	}
}

// updateQuorumContact is the leader's: the newest time since which a majority, of both lists in a joint configuration, was in
// contact. Before an entry of this term is committed, entries that others acknowledged may not be known to be committed here.
func (r *Replica) updateQuorumContact() {
	if r.role != roleLeader || !r.tracksQuorumContact() || r.commitIndex < r.termStartIndex && !r.hasMutation(contactBeforeNoOp) {
		return
	}
	quorumSince := func(t time.Duration) bool {
		return r.hasQuorum(func(id MemberID) bool { return id == r.self.ID || r.peers[id] != nil && r.peers[id].lastContactAt >= t })
	}
	if quorumSince(r.now) || r.hasMutation(contactWhileLeading) {
		r.advanceQuorumContact(r.now, r.term)
		return
	}
	for _, peer := range r.peers {
		if peer.lastContactAt > r.quorumContact.lastContactAt && quorumSince(peer.lastContactAt) {
			r.advanceQuorumContact(peer.lastContactAt, r.term)
		}
	}
}

// attachContact puts clocks and the age of contact into a leader's message.
func (r *Replica) attachQuorumContact(peer *progress, m *Message) {
	m.ContactAgeMillis = -1
	if !r.tracksQuorumContact() {
		return
	}
	r.updateQuorumContact()
	m.Clock, m.EchoedClock = r.clock.Timestamp(r.now), peer.lastReceivedClock
	if age, _, ok := r.QuorumContact(r.now); ok {
		m.ContactAgeMillis = int64((age + time.Millisecond - 1) / time.Millisecond) // rounded up
	}
}

// receiveContact takes over the leader's, once all that it had committed is committed here.
func (r *Replica) receiveQuorumContact(m Message) {
	sentAt, ok := r.clock.TimeOf(m.EchoedClock, r.now)
	if m.Clock == 0 || r.hasMutation(contactFromAppendTime) {
		sentAt, ok = r.now, true
	}
	if ok && m.ContactAgeMillis >= 0 && (r.commitIndex >= m.Commit || r.hasMutation(contactBeforeCommit)) {
		r.advanceQuorumContact(sentAt-time.Duration(m.ContactAgeMillis)*time.Millisecond, m.Term)
	}
}
