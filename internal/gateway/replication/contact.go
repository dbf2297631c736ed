package replication

import "time"

// Quorum contact is the last time at which a majority is known to have followed the leader. It bounds the staleness of a member's state,
// like the closed timestamp of a bounded-staleness read: all entries that were acknowledged before the time of quorum contact are
// committed on this member. No read or write depends on quorum contact. A host uses quorum contact to decide whether the host's state
// is fresh enough.
//
// Messages between a leader and the other members carry the sender's clock. They also echo the newest clock that the sender has
// received from the other side in this term. A member that echoes the leader's clock had not moved to a newer term when the
// leader sent that clock. So once a majority has echoed a clock, no leader of a newer term had acknowledged anything at that
// time, and every entry that this leader had acknowledged by then is committed.
//
// The leader sends the age of its quorum contact to its followers. A follower measures from the time when it sent the clock that the
// leader echoes, and not from the arrival of the leader's message. Network delay and process suspension therefore count as
// staleness. Clocks start at a number that differs between incarnations of a process, so that an echo of an earlier
// incarnation's clock does not match.

// contactState is a quorum contact: the newest time at which a majority is known to have followed the leader of a term.
type contactState struct {
	lastContactAt time.Duration // time of the quorum contact; noContact if none is known yet
	term          uint64        // the newest term in which a quorum contact is known
}

const noContact = -never

// maxTimestampAge is the maximum age of an accepted echo, which is a clock that the other side returned. An older echo adds no
// information. An echo of a clock from another incarnation of the process is almost certainly older than this limit or in the future.
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

// QuorumContact returns the time since the last known quorum contact, and the newest term in which a quorum contact is known. If no
// quorum contact is known since the process started, it returns false and the term of the entry at the commit index.
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

// recordMemberContact records on the leader that a member followed this term when the leader sent the clock that the member echoes. A
// member of the first software version sends no clock, so the arrival time of its response is used instead.
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

// updateQuorumContact updates the leader's quorum contact, which is the newest time at which a majority is known to have followed the
// leader. In a joint configuration, a majority of each of both member lists is needed. The function does nothing before an entry of this
// term is committed: until then, this leader may not know that entries that earlier leaders acknowledged are committed.
func (r *Replica) updateQuorumContact() {
	if r.role != roleLeader || !r.tracksQuorumContact() || r.commitIndex < r.termStartIndex && !r.hasMutation(contactBeforeNoOp) {
		return
	}
	hasQuorumSince := func(t time.Duration) bool {
		return r.hasQuorum(func(id MemberID) bool { return id == r.self.ID || r.peers[id] != nil && r.peers[id].lastContactAt >= t })
	}
	if hasQuorumSince(r.now) || r.hasMutation(contactWhileLeading) {
		r.advanceQuorumContact(r.now, r.term)
		return
	}
	for _, peer := range r.peers {
		if peer.lastContactAt > r.quorumContact.lastContactAt && hasQuorumSince(peer.lastContactAt) {
			r.advanceQuorumContact(peer.lastContactAt, r.term)
		}
	}
}

// attachQuorumContact adds the leader's clock, the member's echoed clock and the age of the quorum contact to a message to the member.
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

// receiveQuorumContact stores the quorum contact that the leader sent with an append, if this member has committed all entries up to the
// leader's commit index.
func (r *Replica) receiveQuorumContact(m Message) {
	sentAt, ok := r.clock.TimeOf(m.EchoedClock, r.now)
	if m.Clock == 0 || r.hasMutation(contactFromAppendTime) {
		sentAt, ok = r.now, true
	}
	if ok && m.ContactAgeMillis >= 0 && (r.commitIndex >= m.Commit || r.hasMutation(contactBeforeCommit)) {
		r.advanceQuorumContact(sentAt-time.Duration(m.ContactAgeMillis)*time.Millisecond, m.Term)
	}
}
