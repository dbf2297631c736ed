package quota

import (
	"clovergap/control"
)

// requestSnapshot makes the account part of the next delta, with nought if need be, unless a question is on its way.
func (l *Limiter) requestSnapshot(a *Account) {
	if a.requestedAt == 0 {
		a.requestedAt = l.now
	} else if l.now-a.reportedAt < l.answerTimeout(a) {
		return
	}
	l.scheduleReport(a)
}

func (l *Limiter) scheduleReport(a *Account) {
	if !a.dirty && a.owner != l.self {
		a.dirty = true
		p := l.peers[a.owner]
		p.dirty = append(p.dirty, a)
		l.schedulePeer(p)
	}
}

// scheduleSnapshot queues an account for the next snapshot to the peer.
func (l *Limiter) scheduleSnapshot(p *peer, id control.CustomerID) {
	p.ackPending = true
	l.schedulePeer(p)
	if p.snapshotQueued == nil {
		p.snapshotQueued = map[control.CustomerID]bool{}
	}
	if !p.snapshotQueued[id] {
		p.snapshotQueued[id] = true
		p.snapshotQueue = append(p.snapshotQueue, id)
	}
}

// schedulePeer notes that something is due to a peer.
func (l *Limiter) schedulePeer(p *peer) {
	if !p.pending && l.plans.PeersEnabled {
		p.pending = true
		l.pending = append(l.pending, p)
	}
}

// NextDatagram gives what is due to a peer now: one packed message, deltas and answers together.
func (l *Limiter) NextDatagram() (to control.GatewayID, payload []byte, ok bool) {
	posted := l.pending
	l.pending = l.pending[:0]
	for i, p := range posted {
		p.pending = len(p.dirty) > 0 || p.ackPending || len(p.unacked) > 0
		if !p.pending {
			continue
		}
		l.pending = append(l.pending, p)
		if l.now-p.sentAt < max(p.interval, l.config.MinInterval) && p.sentAt > 0 {
			continue
		}
		m := &Message{Epoch: l.epoch, Interval: l.interval, Age: l.now - l.startedAt,
			AckEpoch: p.epoch, AckHigh: p.appliedHigh, AckMask: p.appliedMask}
		if len(p.unacked) > 0 && l.now-p.unacked[0].sentAt > (resendAfter+p.interval)<<p.unacked[0].resends {
			f := p.unacked[0] // again under its sequence
			f.sentAt, f.resends = l.now, min(f.resends+1, maxResendDoublings)
			p.unacked = append(p.unacked[1:], f)
			m.Seq, m.Deltas = f.seq, l.refreshDeltas(f.deltas)
		} else if len(p.dirty) > 0 {
			l.packDeltas(p, m)
		}
		if m.Seq == 0 && !p.ackPending {
			continue
		}
		l.pending = append(l.pending, posted[i+1:]...)
		return p.id, l.finishMessage(p, m), true
	}
	return 0, nil, false
}

// packDeltas moves unreported use into a new parcel, oldest first, so that none starves.
func (l *Limiter) packDeltas(p *peer, m *Message) {
	p.lastSeq++
	m.Seq = p.lastSeq
	bare := map[control.CustomerID]float64{}
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

// refreshDeltas brings up to date, in lines that go again, what else is to be told of.
func (l *Limiter) refreshDeltas(lines []Delta) []Delta {
	for i := range lines {
		if a := l.accounts[lines[i].Customer]; l.config.Strict && a != nil {
			lines[i].InFlight = l.reportedInFlight(a, lines[i].Units)
		}
	}
	return lines
}

// finishMessage adds to a message what goes along anyway, answers and more, and gives its bytes.
func (l *Limiter) finishMessage(p *peer, m *Message) []byte {
	l.packSnapshots(p, m)
	l.attachObservations(p, m)
	p.ackPending = len(p.snapshotQueue) > 0
	p.sentAt = l.now
	return m.Encode()
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
