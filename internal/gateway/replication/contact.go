package replication

import "time"

// Quorum contact bounds the staleness of a member's state, like the closed timestamp of a bounded-staleness read. All entries
// that were acknowledged before the time of quorum contact are committed on this member. No read or write depends on quorum
// contact. A host uses it to decide whether its state is fresh enough.
//
// Messages between a leader and the other members carry the sender's clock. They also echo the newest clock that the sender has
// received from the other side in this term. A member that echoes the leader's clock had not moved to a newer term when the
// leader sent that clock. So once a majority has echoed a clock, no leader of a newer term had acknowledged anything at that
// time, and every entry that this leader had acknowledged by then is committed.
//
// The leader sends the age of this time to its followers. A follower measures from the time when it sent the clock that the
// leader echoes, and not from the arrival of the leader's message. Network delay and process suspension therefore count as
// staleness. Clocks start at a number that differs between incarnations of a process, so that an echo of an earlier
// incarnation's clock does not match.

// contactState is the newest time at which a majority is known to have been in contact with the leader of a term.
type contactState struct {
	lastContactAt time.Duration // noContact if no contact is known yet
	term          uint64
}

const noContact = -never

// maxTimestampAge is the maximum age of an accepted echo. An older echo adds no information. An echo of another incarnation's
// clock is almost certainly older than this limit or in the future.
const maxTimestampAge = 8 * time.Second

// Clock is a monotonic clock in milliseconds, rounded down. It starts at a random number and wraps around after 49 days.
type Clock struct{ origin uint32 }

// NewClock returns the clock of an incarnation. The incarnation is any number that differs for each start of the process.
func NewClock(incarnation uint64) Clock {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / φ: multiplicative hashing spreads close numbers (Knuth, 6.4)
	return Clock{uint32(incarnation * goldenRatio >> 32)}
}

// Timestamp returns the time by this clock. It never returns 0.
func (c Clock) Timestamp(now time.Duration) uint32 {
	timestamp := c.origin + uint32(now/time.Millisecond)
	if timestamp == 0 {
		timestamp--
	}
	return timestamp
}

// TimeOf returns the earliest time at which the timestamp can have been taken. It returns false if the timestamp is not from this
// clock or is older than maxTimestampAge.
func (c Clock) TimeOf(timestamp uint32, now time.Duration) (time.Duration, bool) {
	age := (time.Duration(c.Timestamp(now)-timestamp) + 1) * time.Millisecond
	return now - age, timestamp != 0 && age <= maxTimestampAge
}

// tracksQuorumContact reports whether this log tracks quorum contact. Only the configuration log does, because what a node is
// allowed to do depends only on that log.
func (r *Replica) tracksQuorumContact() bool { return r.config.LogID == ConfigurationLog }

// QuorumContact returns the time since the last known contact with a majority, and the newest term in which such contact is
// known. It returns false and the term of the commit index if no contact is known since the process started.
func (r *Replica) QuorumContact(now time.Duration) (age time.Duration, term uint64, ok bool) {
	if r.quorumContact.lastContactAt == noContact {
		term, _ = r.log.termAt(r.commitIndex)
		return never, term, false
	}
	return max(now, r.now) - r.quorumContact.lastContactAt, r.quorumContact.term, true
}

// advanceQuorumContact stores the time of a quorum contact unless a newer time is already known.
func (r *Replica) advanceQuorumContact(contactAt time.Duration, term uint64) {
	if contactAt >= r.quorumContact.lastContactAt {
		r.quorumContact = contactState{contactAt, max(term, r.quorumContact.term)}
	}
}

// recordMemberContact records that a member followed this term when the leader sent the clock that the member echoes. A member
// of the first software version sends no clock, so the arrival time of its response is used.
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

// updateQuorumContact updates the leader's quorum contact, which is the newest time at which a majority was in contact. In a joint
// configuration, a majority of both member lists is needed. The function does nothing before an entry of this term is committed:
// until then, entries that earlier leaders acknowledged may not be known to be committed here.
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

// attachQuorumContact adds the clocks and the age of the quorum contact to a message of the leader.
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

// receiveQuorumContact stores the leader's quorum contact once this member has committed everything up to the leader's commit index.
func (r *Replica) receiveQuorumContact(m Message) {
	sentAt, ok := r.clock.TimeOf(m.EchoedClock, r.now)
	if m.Clock == 0 || r.hasMutation(contactFromAppendTime) {
		sentAt, ok = r.now, true
	}
	if ok && m.ContactAgeMillis >= 0 && (r.commitIndex >= m.Commit || r.hasMutation(contactBeforeCommit)) {
		r.advanceQuorumContact(sentAt-time.Duration(m.ContactAgeMillis)*time.Millisecond, m.Term)
	}
}
