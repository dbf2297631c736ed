package quota

import "clovergap/control"

// requestSnapshot reports an account to its owner, with 0 units if need be, since the owner answers each report with a snapshot. While a report
// is under way it does nothing.
func (l *Limiter) requestSnapshot(a *Account) {
	if a.requestedAt == 0 {
		a.requestedAt = l.now
	} else if l.now-a.reportedAt < l.answerTimeout(a) {
		return
	}
	l.scheduleReport(a)
}

// scheduleReport queues an account for the next delta to its owner.
func (l *Limiter) scheduleReport(a *Account) {
	if !a.dirty && a.owner != l.self {
		a.dirty = true
		p := l.peers[a.owner]
		p.dirty = append(p.dirty, a)
		l.schedulePeer(p)
	}
}

// scheduleSnapshot queues a customer for the next snapshots to a peer.
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

func (l *Limiter) schedulePeer(p *peer) {
	if !p.pending && l.plans.PeersEnabled {
		p.pending = true
		l.pending = append(l.pending, p)
	}
}

// NextDatagram gives the next datagram that is to be sent now, and to whom; false when there is none. Peers take turns in the order in
// which something to send came up.
func (l *Limiter) NextDatagram() (to control.GatewayID, payload []byte, ok bool) {
	queue := l.pending
	l.pending = l.pending[:0]
	for i, p := range queue {
		p.pending = len(p.dirty) > 0 || p.ackPending || len(p.unacked) > 0
		if !p.pending {
			continue
		}
		l.pending = append(l.pending, p)
		if l.now-p.sentAt < max(p.interval, l.config.MinInterval) && p.sentAt > 0 {
			continue
		}
		m := l.newMessage(p)
		if m.Seq == 0 && !p.ackPending {
			continue
		}
		l.pending = append(l.pending, queue[i+1:]...)
		return p.id, l.finishMessage(p, m), true
	}
	return 0, nil, false
}

// newMessage begins a message with the deltas that are to be sent: old ones again, under their sequence, or new ones.
func (l *Limiter) newMessage(p *peer) *Message {
	m := &Message{Epoch: l.epoch, Interval: l.interval, Age: l.now - l.startedAt,
		AckEpoch: p.epoch, AckHigh: p.appliedHigh, AckMask: p.appliedMask}
	switch {
	case len(p.unacked) > 0 && l.now > p.resendAt():
		oldest := p.unacked[0]
		oldest.sentAt, oldest.resends = l.now, min(oldest.resends+1, maxResendDoublings)
		p.unacked = append(p.unacked[1:], oldest)
		m.Seq, m.Deltas = oldest.seq, l.refreshDeltas(oldest.deltas)
	case len(p.dirty) > 0:
		l.packDeltas(p, m)
	}
	return m
}

// packDeltas moves what is to be reported into the message, oldest first so that no account starves, as far as there is room.
func (l *Limiter) packDeltas(p *peer, m *Message) {
	p.lastSeq++
	m.Seq = p.lastSeq
	allowance := map[control.CustomerID]float64{}
	for room := m.remaining() * deltaEighths / 8; len(p.dirty) > 0 && room >= maxDeltaBytes; {
		a := p.dirty[0]
		p.dirty = p.dirty[1:]
		a.dirty = false
		d := Delta{
			Customer: a.id, Plan: a.planID, Units: a.unreported, InFlight: l.reportedInFlight(a, a.unreported), Transfer: l.takeTransfer(a),
			SetFirst: a.setFirst, UnitsWanted: a.unitsWanted, SetWidth: a.setWidth,
		}
		m.Deltas = append(m.Deltas, d)
		if a.allowanceUnreported > 0 {
			allowance[a.id] = a.allowanceUnreported
		}
		a.unacked += a.unreported
		a.unreported, a.unitsWanted, a.reportedAt, a.allowanceUnreported = 0, 0, l.now, 0
		room -= len(d.append(nil))
	}
	if len(p.unacked) == 0 {
		p.unackedSince = l.now
	}
	p.unacked = append(p.unacked, &unackedDelta{seq: m.Seq, sentAt: l.now, firstSentAt: l.now, deltas: m.Deltas, allowance: allowance})
}

// refreshDeltas brings up to date what deltas that are sent again say beside their units.
func (l *Limiter) refreshDeltas(deltas []Delta) []Delta {
	for i := range deltas {
		if a := l.accounts[deltas[i].Customer]; l.config.Strict && a != nil {
			deltas[i].InFlight = l.reportedInFlight(a, deltas[i].Units)
		}
	}
	return deltas
}

// finishMessage adds what goes along with any message, and encodes it.
func (l *Limiter) finishMessage(p *peer, m *Message) []byte {
	l.packSnapshots(p, m)
	l.attachObservations(p, m)
	p.ackPending = len(p.snapshotQueue) > 0
	p.sentAt = l.now
	return m.Encode()
}

// packSnapshots adds the snapshots that a peer is to get, as far as there is room.
func (l *Limiter) packSnapshots(p *peer, m *Message) {
	l.version++
	m.Version = l.version
	for room := m.remaining(); len(p.snapshotQueue) > 0 && room >= maxSnapshotBytes; {
		id := p.snapshotQueue[0]
		delete(p.snapshotQueued, id)
		p.snapshotQueue = p.snapshotQueue[1:]
		a := l.accounts[id]
		if a == nil || a.owner != l.self {
			continue
		}
		s := l.snapshotFor(p, a)
		m.Snapshots = append(m.Snapshots, s)
		room -= len(s.append(nil))
	}
}

// snapshotFor makes the snapshot of an owned account for one reporter: what is left without what others have been promised, and what is
// granted to it.
func (l *Limiter) snapshotFor(p *peer, a *Account) Snapshot {
	l.refill(a)
	others, inFlight, promised := l.recentReporters(a, p)
	r := a.report(p.id)
	left := max(0, a.level-promised-a.reserved-l.outstandingGrants(a))
	r.snapshotLevel = left
	var grant float64
	if l.config.Strict {
		grant = l.grantUnits(r, left)
	} else {
		r.granted, r.grantedAt = 0, l.now
		if left >= r.unitsWanted {
			r.granted = r.unitsWanted
		}
		grant = l.grantHardShare(a, r)
	}
	r.unitsWanted = 0
	return Snapshot{Customer: a.id, Level: left, Reporters: others + 1, InFlightElsewhere: inFlight + a.inFlight, Grant: grant}
}

// attachObservations adds the host's last observations, all of the new ones or, where there is no room, none.
func (l *Limiter) attachObservations(p *peer, m *Message) {
	if l.plans.LastObservations == nil {
		return
	}
	last, count := l.plans.LastObservations()
	if fresh := min(count-p.observationsSent, len(last)); m.remaining() >= fresh*observationBytes {
		m.Observations, p.observationsSent = last[len(last)-fresh:], count
	}
}
