package quota

import "clovergap/control"

// DatagramReceived applies a peer's datagram. It returns true if the datagram may change the result of a check. In that case, the
// caller must check pending requests again. DatagramReceived drops a datagram that is malformed or does not come from a
// known peer, and counts the datagram in BadDatagramCount. It drops a datagram from a former epoch of the peer without counting it.
func (l *Limiter) DatagramReceived(from control.GatewayID, payload []byte) (recheck bool) {
	m, err := DecodeMessage(payload)
	if err != nil || from < 0 || int(from) >= len(l.peers) || from == l.self {
		l.badDatagrams++
		return false
	}
	p := l.peers[from]
	l.datagramsSinceSweep++
	if p.receivedAt <= l.sweptAt {
		l.sendersSinceSweep++
	}
	l.detectFreshCluster(p, m.Age)
	p.receivedAt, p.interval = l.now, m.Interval
	if m.Epoch != p.epoch && !l.beginPeerEpoch(p, m.Epoch) {
		return false
	}
	if m.Seq > 0 {
		l.applyDeltas(p, m)
	}
	forThisEpoch := m.AckEpoch == l.epoch
	if forThisEpoch {
		l.removeAcknowledgedMessages(p, m)
		l.applySnapshots(p, m)
	}
	if l.options.ObservationsReceived != nil {
		l.options.ObservationsReceived(m.Observations)
	}
	return m.Seq > 0 || forThisEpoch
}

// beginPeerEpoch starts a new epoch of a peer, which is a new run of the peer's process. It returns false if the epoch is a former epoch
// of the peer. Reports to the former epoch are dropped. The buckets that the peer owns start empty in the new epoch, and the empty
// buckets account for all units that were consumed before.
func (l *Limiter) beginPeerEpoch(p *peer, epoch uint32) bool {
	if p.isRetiredEpoch(epoch) {
		return false
	}
	if p.epoch != 0 {
		l.discardPeerState(p)
	}
	for _, a := range l.orderedAccounts {
		for _, r := range a.reporterStates {
			if r.from == p.id {
				r.withheld = 0 // not released: the former epoch may have consumed these units, and the new epoch does not report them
			}
		}
	}
	p.beginEpoch(epoch)
	return true
}

// discardPeerState discards the reports that a peer has not acknowledged. It also discards the snapshots and grants that the peer sent
// for the accounts that it owns.
func (l *Limiter) discardPeerState(p *peer) {
	for _, u := range p.unacked {
		for _, d := range u.deltas {
			if a := l.accounts[d.Customer]; a != nil {
				a.unacked -= d.Units
				a.allowanceUsed = max(0, a.allowanceUsed-u.allowanceUnits[a.id])
			}
		}
	}
	p.unacked = nil
	for _, a := range l.orderedAccounts {
		if a.owner == p.id {
			a.hasSnapshot, a.version, a.snapshotRequestedAt = false, 0, 0
			a.granted, a.grantUsed, a.lastAckedSentAt = 0, 0, 0
		}
	}
}

// canApplyDeltas reports whether the deltas of a message may be applied. If limits are set by SetLimit, a delta may arrive before this
// gateway knows the customer or knows that it owns the customer's bucket. In that case none of the message's deltas is applied, and the
// message is not acknowledged, so the peer sends the deltas again.
func (l *Limiter) canApplyDeltas(m *Message) bool {
	if l.options.PlanLimit != nil {
		return true
	}
	for _, d := range m.Deltas {
		a := l.accounts[d.Customer]
		if _, removed := l.removedAt[d.Customer]; a == nil && !removed || a != nil && a.owner != l.self {
			return false
		}
	}
	return true
}

// applyDeltas applies the deltas of a message at most once and schedules a snapshot of each of their accounts as the answer.
func (l *Limiter) applyDeltas(p *peer, m *Message) {
	if !l.canApplyDeltas(m) {
		l.badDatagrams++
		return
	}
	firstTime := p.recordApplied(m.Seq)
	p.ackPending = true
	l.schedulePeer(p)
	for _, d := range m.Deltas {
		if a := l.getOrCreateOwnedAccount(d); a != nil {
			l.applyDelta(p, m, a, d, firstTime)
			l.scheduleSnapshot(p, a.id)
		}
	}
}

// getOrCreateOwnedAccount returns the account of a delta's customer, whose bucket this gateway owns. If the customer has no account, the
// account is created. The result is nil if the customer is not metered, if the plan does not exist, or if another gateway owns the bucket.
func (l *Limiter) getOrCreateOwnedAccount(d Delta) *Account {
	if l.options.PlanLimit == nil && l.accounts[d.Customer] == nil {
		return nil // the customer is no longer metered
	}
	if l.options.PlanLimit != nil && l.options.PlanLimit(d.Plan) == nil {
		l.badDatagrams++
		return nil
	}
	a := l.getOrCreateAccount(d.Customer, d.Plan)
	if !a.setAssigned { // a set from a txn takes precedence over a set from a peer's delta
		l.assignOwner(a, d.SetFirst, d.SetWidth)
	}
	if a.owner != l.self {
		l.badDatagrams++
		return nil
	}
	return a
}

// applyDelta applies one delta of a message. The units of the delta are applied only if the message arrives for the first time
// (firstTime). The fields InFlight and UnitsWanted are applied only if no message with later deltas has arrived.
func (l *Limiter) applyDelta(p *peer, m *Message, a *Account, d Delta, firstTime bool) {
	l.refillBucket(a)
	r := a.getOrCreateReporterState(p.id)
	r.receivedAt = l.now
	if m.Seq == p.appliedHigh {
		r.inFlight, r.unitsWanted = d.InFlight, d.UnitsWanted
		l.releaseWithheld(a, r, r.withheld-float64(d.InFlight)) // InFlight counts units that the reporter may have consumed from the withheld part
	}
	switch {
	case !l.config.Strict:
		r.granted = max(0, r.granted-d.Units)
	case firstTime:
		r.granted = max(0, r.granted-max(d.Transfer, 0))
	}
	if !firstTime {
		return
	}
	l.releaseWithheld(a, r, d.Units-max(d.Transfer, 0))
	l.drawFromBucket(a, d.Units)
	if m.AckEpoch == l.epoch && a.inSet && a.limit.HardRate > 0 {
		r.hardUnitsWanted = max(-d.Transfer, 0)
	}
}

// removeAcknowledgedMessages applies the acknowledgement in a message m from a peer. It removes the messages that the peer has now
// acknowledged from p.unacked. For each delta of a removed message, it subtracts the units from the level of the last snapshot that the
// peer sent, because the peer's bucket no longer holds them.
func (l *Limiter) removeAcknowledgedMessages(p *peer, m *Message) {
	kept := p.unacked[:0]
	for _, u := range p.unacked {
		if !m.acknowledges(u.seq) {
			kept = append(kept, u)
			continue
		}
		for _, d := range u.deltas {
			if a := l.accounts[d.Customer]; a != nil {
				a.unacked -= d.Units
				a.level -= d.Units
				a.allowanceAcked += u.allowanceUnits[a.id]
				a.lastAckedSentAt = max(a.lastAckedSentAt, u.firstSentAt)
			}
		}
	}
	p.unacked = kept
}

// applySnapshots applies the snapshots in a message from a peer. It applies the grants only if the message is newer than all messages
// whose grants were applied. It applies the level of a snapshot only if no newer snapshot of the account has arrived.
func (l *Limiter) applySnapshots(p *peer, m *Message) {
	takeGrants := m.Version > p.grantVersion
	p.grantVersion = max(p.grantVersion, m.Version)
	for _, s := range m.Snapshots {
		a := l.accounts[s.Customer]
		if a == nil || a.owner != p.id {
			continue
		}
		if takeGrants {
			l.applyGrant(a, s)
		}
		if m.Version < a.version && a.hasSnapshot {
			continue
		}
		a.level, a.levelAt, a.hasSnapshot, a.version = s.Level, l.now, true, m.Version
		a.reporterCount, a.inFlightElsewhere, a.snapshotRequestedAt = max(s.Reporters, 1), s.InFlightElsewhere, 0
	}
}

// applyGrant adds the units that a snapshot grants. Without strict mode, the grant has units of the hard limit. In strict mode, the
// grant has units of the bucket. Shortly after a pause of this process, units of the bucket are ignored, because the message may be old
// and the grant may have expired.
func (l *Limiter) applyGrant(a *Account, s Snapshot) {
	if a.limit.HardRate > 0 && a.inSet {
		a.hardShare = min(l.hardShareCap(a), l.refillHardShare(a)+s.Grant)
	}
	if !l.config.Strict {
		return
	}
	l.currentGrant(a)
	if l.now-l.pausedUntil > l.answerTimeout(a) && s.Grant > 0 {
		a.granted, a.grantedAt = a.granted+s.Grant, l.now
	}
	l.confirmAllowance(a, s.Level)
}
