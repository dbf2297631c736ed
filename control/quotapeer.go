// What the quota exchanges with a peer: deltas and snapshots, packed, taken once and acknowledged.

package control

import "time"

// peer is another gateway.
type peer struct {
	id               GatewayID
	epoch            uint32 // its present life
	retiredEpochs    []uint32
	appliedHigh      uint64 // sequences of its deltas that are applied
	appliedMask      uint64
	lastSeq          uint64 // sequence of the last delta sent to it
	unacked          []*unackedDelta
	observationsSent int           // the last one told
	unackedSince     time.Duration // it owes an acknowledgement
	dirty            []*account
	snapshotQueue    []CustomerID
	snapshotQueued   map[CustomerID]bool
	ackPending       bool
	pending          bool          // among those with something due
	interval         time.Duration // between messages to it, as it wishes
	sentAt           time.Duration
	receivedAt       time.Duration
	unreachableSince time.Duration // when the host last found it out of reach; nought: it is in reach
	grantVersion     uint64        // version of the last message whose grants were taken
}

// unackedDelta is a delta message that waits for its acknowledgement.
type unackedDelta struct {
	seq         uint64
	sentAt      time.Duration
	firstSentAt time.Duration // for the first time
	resends     int
	deltas      []delta
	allowance   map[CustomerID]float64 // of their units, those spent on no word
}

// acceptsDeltas tells whether a delta may be taken: here it is known that its customers are metered, and owned here.
// One that comes too early or too late is neither applied nor acknowledged, in no part of it: it comes again.
func (q *Limiter) acceptsDeltas(m *message) bool {
	if q.planLimit != nil {
		return true
	}
	for _, l := range m.deltas {
		a := q.accounts[l.customer]
		if _, gone := q.removed[l.customer]; a == nil && !gone || a != nil && a.owner != q.self {
			return false
		}
	}
	return true
}

// schedulePeer notes that something is due to a peer.
func (q *Limiter) schedulePeer(p *peer) {
	if !p.pending && q.peersEnabled {
		p.pending = true
		q.pending = append(q.pending, p)
	}
}

func (q *Limiter) packSnapshots(p *peer, m *message) {
	q.version++
	m.version = q.version
	for room := m.remaining(); len(p.snapshotQueue) > 0 && room >= maxSnapshotBytes; {
		a := q.accounts[p.snapshotQueue[0]]
		delete(p.snapshotQueued, p.snapshotQueue[0])
		p.snapshotQueue = p.snapshotQueue[1:]
		if a == nil || a.owner != q.self {
			continue
		}
		q.refill(a)
		sharers, out, told := q.recentReporters(a, p)
		r := a.report(p.id)
		left, given := max(0, a.level-told-a.reserved-q.outstandingGrants(a)), 0.0
		if r.snapshotLevel = left; q.config.Strict {
			given = q.grantUnits(a, r, left)
		} else {
			r.granted, r.grantedAt = 0, q.now
			if left >= r.unitsWanted {
				r.granted = r.unitsWanted
			}
			given = q.grantHardShare(a, r)
		}
		r.unitsWanted = 0
		m.snapshots = append(m.snapshots, snapshot{a.id, left, sharers + 1, out + a.inFlight, given})
		room -= len(m.snapshots[len(m.snapshots)-1].append(nil))
	}
}

// beginPeerEpoch notes that a peer has started again; a message of a life that is over is dropped.
// What was reported to the old life is dropped: the new bucket starts empty, which stands for all use before.
func (q *Limiter) beginPeerEpoch(p *peer, epoch uint32) bool {
	if p.isRetired(epoch) {
		return false
	}
	if p.epoch != 0 {
		for _, f := range p.unacked {
			for _, l := range f.deltas {
				if a := q.accounts[l.customer]; a != nil {
					a.unacked -= l.units
					a.allowanceUsed = max(0, a.allowanceUsed-f.allowance[a.id])
				}
			}
		}
		p.unacked = nil
		for _, a := range q.ordered {
			if a.owner == p.id {
				a.hasSnapshot, a.requestedAt, a.version, a.granted, a.grantUsed, a.ackedSince = false, 0, 0, 0, 0, 0
			}
		}
	}
	for _, a := range q.ordered {
		for _, r := range a.reports {
			if r.from == p.id {
				r.withheld = 0 // nobody tells what its former life spent of it
			}
		}
	}
	p.beginEpoch(epoch)
	return true
}

// applyDeltas applies a delta once and marks its accounts for an answer.
func (q *Limiter) applyDeltas(p *peer, m *message) {
	if !q.acceptsDeltas(m) {
		q.badDatagrams++
		return
	}
	fresh := p.recordApplied(m.seq)
	p.ackPending = true
	q.schedulePeer(p)
	for _, l := range m.deltas {
		if q.planLimit == nil && q.accounts[l.customer] == nil {
			continue // not metered any more
		}
		if q.planLimit != nil && q.planLimit(l.plan) == nil {
			q.badDatagrams++
			continue
		}
		a := q.account(l.customer, l.plan)
		if !a.placed { // a txn's own word goes before a peer's
			q.assignOwner(a, l.setFirst, l.setWidth)
		}
		if a.owner != q.self {
			q.badDatagrams++
			continue
		}
		q.refill(a)
		r := a.report(p.id)
		if r.receivedAt = q.now; m.seq == p.appliedHigh {
			r.inFlight, r.unitsWanted = l.inFlight, l.unitsWanted
			q.releaseWithheld(a, r, r.withheld-float64(l.inFlight)) // what it has yet to tell of may have been spent of its part
		}
		if q.config.Strict && fresh {
			r.granted = max(0, r.granted-max(l.transfer, 0))
		} else if !q.config.Strict {
			r.granted = max(0, r.granted-l.units)
		}
		if fresh {
			q.releaseWithheld(a, r, l.units-max(l.transfer, 0))
			q.draw(a, l.units)
		}
		if fresh && m.ackEpoch == q.epoch && a.inSet && a.limit.hardRate > 0 {
			r.hardWanted = max(-l.transfer, 0)
		}
		q.scheduleSnapshot(p, a.id)
	}
}

// applySnapshots settles acknowledged deltas, then takes the owner's figures if they are not older than held.
func (q *Limiter) applySnapshots(p *peer, m *message) {
	kept := p.unacked[:0]
	for _, f := range p.unacked {
		if !m.acknowledges(f.seq) {
			kept = append(kept, f)
			continue
		}
		for _, l := range f.deltas {
			if a := q.accounts[l.customer]; a != nil {
				a.unacked -= l.units
				a.level -= l.units
				a.allowanceAcked += f.allowance[a.id]
				a.ackedSince = max(a.ackedSince, f.firstSentAt)
			}
		}
	}
	p.unacked = kept
	once := m.version > p.grantVersion
	p.grantVersion = max(p.grantVersion, m.version)
	for _, l := range m.snapshots {
		a := q.accounts[l.customer]
		if once && a != nil && a.owner == p.id && a.limit.hardRate > 0 && a.inSet {
			a.hardShare = min(q.hardShareCap(a), q.hardShareNow(a)+l.grant)
		}
		if once && a != nil && a.owner == p.id && q.config.Strict {
			if q.currentGrant(a); q.now-q.pausedUntil > q.answerTimeout(a) && l.grant > 0 { // else it may be of long ago
				a.granted, a.grantedAt = a.granted+l.grant, q.now
			}
			q.confirmAllowance(a, l.level)
		}
		if a == nil || a.owner != p.id || m.version < a.version && a.hasSnapshot {
			continue
		}
		a.level, a.levelAt, a.hasSnapshot, a.version = l.level, q.now, true, m.version
		a.reporters, a.inFlightElsewhere, a.requestedAt = max(l.reporters, 1), l.inFlightElsewhere, 0
	}
}

// refreshDeltas brings up to date, in lines that go again, what else is to be told of.
func (q *Limiter) refreshDeltas(lines []delta) []delta {
	for i := range lines {
		if a := q.accounts[lines[i].customer]; q.config.Strict && a != nil {
			lines[i].inFlight = q.reportedInFlight(a, lines[i].units)
		}
	}
	return lines
}

// packDeltas moves unreported use into a new parcel, oldest first, so that none starves.
func (q *Limiter) packDeltas(p *peer, m *message) {
	p.lastSeq++
	m.seq = p.lastSeq
	bare := map[CustomerID]float64{}
	for room := m.remaining() * deltaEighths / 8; len(p.dirty) > 0 && room >= maxDeltaBytes; {
		a := p.dirty[0]
		p.dirty = p.dirty[1:]
		a.dirty = false
		m.deltas = append(m.deltas, delta{a.id, a.planID, a.unreported, q.reportedInFlight(a, a.unreported), q.takeTransfer(a), a.setFirst, a.unitsWanted,
			a.setWidth})
		if a.allowanceUnreported > 0 {
			bare[a.id] = a.allowanceUnreported
		}
		a.unacked += a.unreported
		a.unreported, a.unitsWanted, a.reportedAt, a.allowanceUnreported = 0, 0, q.now, 0
		room -= len(m.deltas[len(m.deltas)-1].append(nil))
	}
	if len(p.unacked) == 0 {
		p.unackedSince = q.now
	}
	p.unacked = append(p.unacked, &unackedDelta{seq: m.seq, sentAt: q.now, firstSentAt: q.now, deltas: m.deltas, allowance: bare})
}

// DatagramReceived takes a peer's message and tells whether it may change what is covered. What does not decode is
// dropped and counted.
func (q *Limiter) DatagramReceived(from GatewayID, payload []byte) (news bool) {
	m, err := decodeMessage(payload)
	if err != nil || from < 0 || int(from) >= len(q.peers) || from == q.self {
		q.badDatagrams++
		return false
	}
	p := q.peers[from]
	q.received++
	if p.receivedAt <= q.sweptAt {
		q.senders++
	}
	q.learnAge(p, m.age)
	p.receivedAt, p.interval = q.now, m.interval
	if m.epoch != p.epoch && !q.beginPeerEpoch(p, m.epoch) {
		return false
	}
	if m.seq > 0 {
		q.applyDeltas(p, m)
	}
	if m.ackEpoch == q.epoch {
		q.applySnapshots(p, m)
	}
	if q.onObservations != nil {
		q.onObservations(m.observations)
	}
	return m.seq > 0 || m.ackEpoch == q.epoch
}

// finishMessage adds to a message what goes along anyway, answers and more, and gives its bytes.
func (q *Limiter) finishMessage(p *peer, m *message) []byte {
	q.packSnapshots(p, m)
	if q.attach != nil {
		q.attach(p, m)
	}
	p.ackPending = len(p.snapshotQueue) > 0
	p.sentAt = q.now
	return m.encode()
}

// scheduleSnapshot queues an account for the next snapshot to the peer.
func (q *Limiter) scheduleSnapshot(p *peer, id CustomerID) {
	p.ackPending = true
	q.schedulePeer(p)
	if p.snapshotQueued == nil {
		p.snapshotQueued = map[CustomerID]bool{}
	}
	if !p.snapshotQueued[id] {
		p.snapshotQueued[id] = true
		p.snapshotQueue = append(p.snapshotQueue, id)
	}
}
