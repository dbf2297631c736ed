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
	dirty            []*Account
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
	deltas      []Delta
	allowance   map[CustomerID]float64 // of their units, those spent on no word
}

// acceptsDeltas tells whether a delta may be taken: here it is known that its customers are metered, and owned here.
// One that comes too early or too late is neither applied nor acknowledged, in no part of it: it comes again.
func (l *Limiter) acceptsDeltas(m *Message) bool {
	if l.plans.Limit != nil {
		return true
	}
	for _, delta := range m.Deltas {
		a := l.accounts[delta.Customer]
		if _, gone := l.removed[delta.Customer]; a == nil && !gone || a != nil && a.owner != l.self {
			return false
		}
	}
	return true
}

// schedulePeer notes that something is due to a peer.
func (l *Limiter) schedulePeer(p *peer) {
	if !p.pending && l.plans.PeersEnabled {
		p.pending = true
		l.pending = append(l.pending, p)
	}
}

func (l *Limiter) packSnapshots(p *peer, m *Message) {
	l.version++
	m.Version = l.version
	for room := m.remaining(); len(p.snapshotQueue) > 0 && room >= maxSnapshotBytes; {
		a := l.accounts[p.snapshotQueue[0]]
		delete(p.snapshotQueued, p.snapshotQueue[0])
		p.snapshotQueue = p.snapshotQueue[1:]
		if a == nil || a.owner != l.self {
			continue
		}
		l.refill(a)
		sharers, out, told := l.recentReporters(a, p)
		r := a.report(p.id)
		left, given := max(0, a.level-told-a.reserved-l.outstandingGrants(a)), 0.0
		if r.snapshotLevel = left; l.config.Strict {
			given = l.grantUnits(a, r, left)
		} else {
			r.granted, r.grantedAt = 0, l.now
			if left >= r.unitsWanted {
				r.granted = r.unitsWanted
			}
			given = l.grantHardShare(a, r)
		}
		r.unitsWanted = 0
		m.Snapshots = append(m.Snapshots, Snapshot{a.id, left, sharers + 1, out + a.inFlight, given})
		room -= len(m.Snapshots[len(m.Snapshots)-1].append(nil))
	}
}

// beginPeerEpoch notes that a peer has started again; a message of a life that is over is dropped.
// What was reported to the old life is dropped: the new bucket starts empty, which stands for all use before.
func (l *Limiter) beginPeerEpoch(p *peer, epoch uint32) bool {
	if p.isRetired(epoch) {
		return false
	}
	if p.epoch != 0 {
		for _, f := range p.unacked {
			for _, delta := range f.deltas {
				if a := l.accounts[delta.Customer]; a != nil {
					a.unacked -= delta.Units
					a.allowanceUsed = max(0, a.allowanceUsed-f.allowance[a.id])
				}
			}
		}
		p.unacked = nil
		for _, a := range l.ordered {
			if a.owner == p.id {
				a.hasSnapshot, a.requestedAt, a.version, a.granted, a.grantUsed, a.ackedSince = false, 0, 0, 0, 0, 0
			}
		}
	}
	for _, a := range l.ordered {
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
func (l *Limiter) applyDeltas(p *peer, m *Message) {
	if !l.acceptsDeltas(m) {
		l.badDatagrams++
		return
	}
	fresh := p.recordApplied(m.Seq)
	p.ackPending = true
	l.schedulePeer(p)
	for _, delta := range m.Deltas {
		if l.plans.Limit == nil && l.accounts[delta.Customer] == nil {
			continue // not metered any more
		}
		if l.plans.Limit != nil && l.plans.Limit(delta.Plan) == nil {
			l.badDatagrams++
			continue
		}
		a := l.account(delta.Customer, delta.Plan)
		if !a.placed { // a txn's own word goes before a peer's
			l.assignOwner(a, delta.SetFirst, delta.SetWidth)
		}
		if a.owner != l.self {
			l.badDatagrams++
			continue
		}
		l.refill(a)
		r := a.report(p.id)
		if r.receivedAt = l.now; m.Seq == p.appliedHigh {
			r.inFlight, r.unitsWanted = delta.InFlight, delta.UnitsWanted
			l.releaseWithheld(a, r, r.withheld-float64(delta.InFlight)) // what it has yet to tell of may have been spent of its part
		}
		if l.config.Strict && fresh {
			r.granted = max(0, r.granted-max(delta.Transfer, 0))
		} else if !l.config.Strict {
			r.granted = max(0, r.granted-delta.Units)
		}
		if fresh {
			l.releaseWithheld(a, r, delta.Units-max(delta.Transfer, 0))
			l.draw(a, delta.Units)
		}
		if fresh && m.AckEpoch == l.epoch && a.inSet && a.limit.HardRate > 0 {
			r.hardWanted = max(-delta.Transfer, 0)
		}
		l.scheduleSnapshot(p, a.id)
	}
}

// applySnapshots settles acknowledged deltas, then takes the owner's figures if they are not older than held.
func (l *Limiter) applySnapshots(p *peer, m *Message) {
	kept := p.unacked[:0]
	for _, f := range p.unacked {
		if !m.acknowledges(f.seq) {
			kept = append(kept, f)
			continue
		}
		for _, delta := range f.deltas {
			if a := l.accounts[delta.Customer]; a != nil {
				a.unacked -= delta.Units
				a.level -= delta.Units
				a.allowanceAcked += f.allowance[a.id]
				a.ackedSince = max(a.ackedSince, f.firstSentAt)
			}
		}
	}
	p.unacked = kept
	once := m.Version > p.grantVersion
	p.grantVersion = max(p.grantVersion, m.Version)
	for _, snapshot := range m.Snapshots {
		a := l.accounts[snapshot.Customer]
		if once && a != nil && a.owner == p.id && a.limit.HardRate > 0 && a.inSet {
			a.hardShare = min(l.hardShareCap(a), l.hardShareNow(a)+snapshot.Grant)
		}
		if once && a != nil && a.owner == p.id && l.config.Strict {
			if l.currentGrant(a); l.now-l.pausedUntil > l.answerTimeout(a) && snapshot.Grant > 0 { // else it may be of long ago
				a.granted, a.grantedAt = a.granted+snapshot.Grant, l.now
			}
			l.confirmAllowance(a, snapshot.Level)
		}
		if a == nil || a.owner != p.id || m.Version < a.version && a.hasSnapshot {
			continue
		}
		a.level, a.levelAt, a.hasSnapshot, a.version = snapshot.Level, l.now, true, m.Version
		a.reporters, a.inFlightElsewhere, a.requestedAt = max(snapshot.Reporters, 1), snapshot.InFlightElsewhere, 0
	}
}

// refreshDeltas brings up to date, in lines that go again, what else is to be told of.
func (l *Limiter) refreshDeltas(lines []Delta) []Delta {
	for i := range lines {
		if a := l.accounts[lines[i].Customer]; l.config.Strict && a != nil {
			lines[i].InFlight = l.reportedInFlight(a, lines[i].Units)
		}
	}
	return lines
}

// packDeltas moves unreported use into a new parcel, oldest first, so that none starves.
func (l *Limiter) packDeltas(p *peer, m *Message) {
	p.lastSeq++
	m.Seq = p.lastSeq
	bare := map[CustomerID]float64{}
	for room := m.remaining() * deltaEighths / 8; len(p.dirty) > 0 && room >= maxDeltaBytes; {
		a := p.dirty[0]
		p.dirty = p.dirty[1:]
		a.dirty = false
		m.Deltas = append(m.Deltas, Delta{a.id, a.planID, a.unreported, l.reportedInFlight(a, a.unreported), l.takeTransfer(a), a.setFirst, a.unitsWanted,
			a.setWidth})
		if a.allowanceUnreported > 0 {
			bare[a.id] = a.allowanceUnreported
		}
		a.unacked += a.unreported
		a.unreported, a.unitsWanted, a.reportedAt, a.allowanceUnreported = 0, 0, l.now, 0
		room -= len(m.Deltas[len(m.Deltas)-1].append(nil))
	}
	if len(p.unacked) == 0 {
		p.unackedSince = l.now
	}
	p.unacked = append(p.unacked, &unackedDelta{seq: m.Seq, sentAt: l.now, firstSentAt: l.now, deltas: m.Deltas, allowance: bare})
}

// DatagramReceived takes a peer's message and tells whether it may change what is covered. What does not decode is
// dropped and counted.
func (l *Limiter) DatagramReceived(from GatewayID, payload []byte) (news bool) {
	m, err := DecodeMessage(payload)
	if err != nil || from < 0 || int(from) >= len(l.peers) || from == l.self {
		l.badDatagrams++
		return false
	}
	p := l.peers[from]
	l.received++
	if p.receivedAt <= l.sweptAt {
		l.senders++
	}
	l.learnAge(p, m.Age)
	p.receivedAt, p.interval = l.now, m.Interval
	if m.Epoch != p.epoch && !l.beginPeerEpoch(p, m.Epoch) {
		return false
	}
	if m.Seq > 0 {
		l.applyDeltas(p, m)
	}
	if m.AckEpoch == l.epoch {
		l.applySnapshots(p, m)
	}
	if l.plans.Observed != nil {
		l.plans.Observed(m.Observations)
	}
	return m.Seq > 0 || m.AckEpoch == l.epoch
}

// finishMessage adds to a message what goes along anyway, answers and more, and gives its bytes.
func (l *Limiter) finishMessage(p *peer, m *Message) []byte {
	l.packSnapshots(p, m)
	l.attachObservations(p, m)
	p.ackPending = len(p.snapshotQueue) > 0
	p.sentAt = l.now
	return m.Encode()
}

// scheduleSnapshot queues an account for the next snapshot to the peer.
func (l *Limiter) scheduleSnapshot(p *peer, id CustomerID) {
	p.ackPending = true
	l.schedulePeer(p)
	if p.snapshotQueued == nil {
		p.snapshotQueued = map[CustomerID]bool{}
	}
	if !p.snapshotQueued[id] {
		p.snapshotQueued[id] = true
		p.snapshotQueue = append(p.snapshotQueue, id)
	}
}

// attachObservations adds to a message, if there is room, how the host's last submissions went.
func (l *Limiter) attachObservations(p *peer, m *Message) {
	if l.plans.Observations == nil {
		return
	}
	last, count := l.plans.Observations()
	if fresh := min(count-p.observationsSent, len(last)); m.remaining() >= fresh*observationBytes {
		m.Observations, p.observationsSent = last[len(last)-fresh:], count
	}
}
