package quota

import "clovergap/control"

// requestSnapshot schedules a report of an account to the owner, because the owner answers each report with a snapshot. The report
// may have 0 units. requestSnapshot schedules no other report while the answer to an earlier report may still arrive in time
// (answerTimeout).
func (l *Limiter) requestSnapshot(a *Account) {
	if a.snapshotRequestedAt == 0 {
		a.snapshotRequestedAt = l.now
	} else if l.now-a.reportedAt < l.answerTimeout(a) {
		return
	}
	l.scheduleReport(a)
}

// scheduleReport queues an account for the next deltas to its owner.
func (l *Limiter) scheduleReport(a *Account) {
	if !a.reportQueued && a.owner != l.self {
		a.reportQueued = true
		p := l.peers[a.owner]
		p.reportQueue = append(p.reportQueue, a)
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

// schedulePeer queues a peer, so that NextDatagram creates a message to the peer. It does nothing if datagrams to peers are disabled.
func (l *Limiter) schedulePeer(p *peer) {
	if !p.queued && l.options.PeersEnabled {
		p.queued = true
		l.pendingPeers = append(l.pendingPeers, p)
	}
}

// NextDatagram returns the next datagram that is due and the peer to send it to. If no datagram is due, ok is false. Peers are served
// in the order in which they were queued.
func (l *Limiter) NextDatagram() (to control.GatewayID, payload []byte, ok bool) {
	queue := l.pendingPeers
	l.pendingPeers = l.pendingPeers[:0]
	for i, p := range queue {
		p.queued = len(p.reportQueue) > 0 || p.ackPending || len(p.unacked) > 0
		if !p.queued {
			continue
		}
		l.pendingPeers = append(l.pendingPeers, p)
		if l.now-p.sentAt < max(p.interval, l.config.MinInterval) && p.sentAt > 0 {
			continue
		}
		m := l.newMessage(p)
		if m.Seq == 0 && !p.ackPending {
			continue
		}
		l.pendingPeers = append(l.pendingPeers, queue[i+1:]...)
		return p.id, l.completeAndEncodeMessage(p, m), true
	}
	return 0, nil, false
}

// newMessage creates a message to a peer with the deltas that are due. The deltas are either unacknowledged deltas, which are sent again
// with their former sequence number, or new deltas. If no deltas are due, the sequence number is 0.
func (l *Limiter) newMessage(p *peer) *Message {
	m := &Message{Epoch: l.epoch, Interval: l.interval, Age: l.now - l.startedAt,
		AckEpoch: p.epoch, AckHigh: p.appliedHigh, AckMask: p.appliedMask}
	switch {
	case len(p.unacked) > 0 && l.now > p.resendTime():
		oldest := p.unacked[0]
		oldest.sentAt, oldest.resends = l.now, min(oldest.resends+1, maxResendDoublings)
		p.unacked = append(p.unacked[1:], oldest)
		m.Seq, m.Deltas = oldest.seq, l.refreshInFlight(oldest.deltas)
	case len(p.reportQueue) > 0:
		l.packDeltas(p, m)
	}
	return m
}

// packDeltas takes accounts from the report queue and adds a delta for each account to the message. It stops when the part of the
// message for deltas (deltaEighths) is full. The accounts that were queued first come first, so that no account waits forever.
func (l *Limiter) packDeltas(p *peer, m *Message) {
	p.lastSeq++
	m.Seq = p.lastSeq
	allowance := map[control.CustomerID]float64{}
	for room := m.remainingBytes() * deltaEighths / 8; len(p.reportQueue) > 0 && room >= maxDeltaBytes; {
		a := p.reportQueue[0]
		p.reportQueue = p.reportQueue[1:]
		a.reportQueued = false
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
		room -= len(d.appendTo(nil))
	}
	if len(p.unacked) == 0 {
		p.unackedSince = l.now
	}
	p.unacked = append(p.unacked, &unackedMessage{seq: m.Seq, sentAt: l.now, firstSentAt: l.now, deltas: m.Deltas, allowanceUnits: allowance})
}

// refreshInFlight updates the field InFlight of deltas that are sent again, and returns the deltas. All other fields keep their values.
// Without strict mode, InFlight also keeps its value.
func (l *Limiter) refreshInFlight(deltas []Delta) []Delta {
	for i := range deltas {
		if a := l.accounts[deltas[i].Customer]; l.config.Strict && a != nil {
			deltas[i].InFlight = l.reportedInFlight(a, deltas[i].Units)
		}
	}
	return deltas
}

// completeAndEncodeMessage adds the snapshots and observations to a message and returns the encoded message.
func (l *Limiter) completeAndEncodeMessage(p *peer, m *Message) []byte {
	l.packSnapshots(p, m)
	l.attachObservations(p, m)
	p.ackPending = len(p.snapshotQueue) > 0
	p.sentAt = l.now
	return m.Encode()
}

// packSnapshots adds the queued snapshots for a peer to the message until the message is full.
func (l *Limiter) packSnapshots(p *peer, m *Message) {
	l.version++
	m.Version = l.version
	for room := m.remainingBytes(); len(p.snapshotQueue) > 0 && room >= maxSnapshotBytes; {
		id := p.snapshotQueue[0]
		delete(p.snapshotQueued, id)
		p.snapshotQueue = p.snapshotQueue[1:]
		a := l.accounts[id]
		if a == nil || a.owner != l.self {
			continue
		}
		s := l.snapshotFor(p, a)
		m.Snapshots = append(m.Snapshots, s)
		room -= len(s.appendTo(nil))
	}
}

// snapshotFor returns the snapshot for one reporter of an account that this gateway owns. The snapshot's level is the level of the bucket
// less the units that are reserved at this gateway or promised to other gateways. In strict mode, the snapshot's grant is the number of
// units that are now set aside for the reporter. Without strict mode, the grant comes from the pool of the hard limit.
func (l *Limiter) snapshotFor(p *peer, a *Account) Snapshot {
	l.refillBucket(a)
	others, inFlight, promised := l.recentReporterTotals(a, p)
	r := a.getOrCreateReporterState(p.id)
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
		grant = l.grantFromHardPool(a, r)
	}
	r.unitsWanted = 0
	return Snapshot{Customer: a.id, Level: left, Reporters: others + 1, InFlightElsewhere: inFlight + a.inFlight, Grant: grant}
}

// attachObservations adds the host's latest observations of backends to a message. It adds all observations that have not been sent to
// the peer yet. If the message has too little space for all of these observations, it adds none.
func (l *Limiter) attachObservations(p *peer, m *Message) {
	if l.options.LastObservations == nil {
		return
	}
	last, count := l.options.LastObservations()
	if fresh := min(count-p.observationsSent, len(last)); m.remainingBytes() >= fresh*observationBytes {
		m.Observations, p.observationsSent = last[len(last)-fresh:], count
	}
}
