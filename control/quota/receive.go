package quota

import "clovergap/control"

// DatagramReceived takes a peer's datagram, and tells whether it may change what is covered: then pending requests are to be checked again.
// A datagram that is malformed, or from no peer, is dropped and counted; one of a former epoch is dropped.
func (l *Limiter) DatagramReceived(from control.GatewayID, payload []byte) (news bool) {
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
	forThisEpoch := m.AckEpoch == l.epoch
	if forThisEpoch {
		l.removeAcknowledged(p, m)
		l.applySnapshots(p, m)
	}
	if l.plans.ObservationsReceived != nil {
		l.plans.ObservationsReceived(m.Observations)
	}
	return m.Seq > 0 || forThisEpoch
}

// beginPeerEpoch notes that a peer has started again; false: that epoch has ended. What was reported to the former epoch is dropped: the new
// one's buckets begin empty, which stands for all use before.
func (l *Limiter) beginPeerEpoch(p *peer, epoch uint32) bool {
	if p.isRetired(epoch) {
		return false
	}
	if p.epoch != 0 {
		l.dropReported(p)
	}
	for _, a := range l.ordered {
		for _, r := range a.reports {
			if r.from == p.id {
				r.withheld = 0 // nobody reports what was consumed of it before
			}
		}
	}
	p.beginEpoch(epoch)
	return true
}

// dropReported forgets what was exchanged with a peer about the accounts that it owns.
func (l *Limiter) dropReported(p *peer) {
	for _, u := range p.unacked {
		for _, d := range u.deltas {
			if a := l.accounts[d.Customer]; a != nil {
				a.unacked -= d.Units
				a.allowanceUsed = max(0, a.allowanceUsed-u.allowance[a.id])
			}
		}
	}
	p.unacked = nil
	for _, a := range l.ordered {
		if a.owner == p.id {
			a.hasSnapshot, a.version, a.requestedAt = false, 0, 0
			a.granted, a.grantUsed, a.ackedSince = 0, 0, 0
		}
	}
}

// acceptsDeltas tells whether a message's deltas may be applied. Where limits are set by SetLimit, a delta may come before this gateway knows
// its customer, or that it owns it. Then no part of the message is applied or acknowledged, and the peer sends it again.
func (l *Limiter) acceptsDeltas(m *Message) bool {
	if l.plans.PlanLimit != nil {
		return true
	}
	for _, d := range m.Deltas {
		a := l.accounts[d.Customer]
		if _, removed := l.removed[d.Customer]; a == nil && !removed || a != nil && a.owner != l.self {
			return false
		}
	}
	return true
}

// applyDeltas applies a message's deltas, once, and queues a snapshot of each account as the answer.
func (l *Limiter) applyDeltas(p *peer, m *Message) {
	if !l.acceptsDeltas(m) {
		l.badDatagrams++
		return
	}
	first := p.recordApplied(m.Seq)
	p.ackPending = true
	l.schedulePeer(p)
	for _, d := range m.Deltas {
		if a := l.accountOf(d); a != nil {
			l.applyDelta(p, m, a, d, first)
			l.scheduleSnapshot(p, a.id)
		}
	}
}

// accountOf finds or makes the owned account that a delta is for; nil if there is none.
func (l *Limiter) accountOf(d Delta) *Account {
	if l.plans.PlanLimit == nil && l.accounts[d.Customer] == nil {
		return nil // not metered any more
	}
	if l.plans.PlanLimit != nil && l.plans.PlanLimit(d.Plan) == nil {
		l.badDatagrams++
		return nil
	}
	a := l.account(d.Customer, d.Plan)
	if !a.placed { // what a txn here says goes before what a peer says
		l.assignOwner(a, d.SetFirst, d.SetWidth)
	}
	if a.owner != l.self {
		l.badDatagrams++
		return nil
	}
	return a
}

// applyDelta applies one delta. Units count only the first time that it comes; what it says of the present only if no later one has come.
func (l *Limiter) applyDelta(p *peer, m *Message, a *Account, d Delta, first bool) {
	l.refill(a)
	r := a.report(p.id)
	r.receivedAt = l.now
	if m.Seq == p.appliedHigh {
		r.inFlight, r.unitsWanted = d.InFlight, d.UnitsWanted
		l.releaseWithheld(a, r, r.withheld-float64(d.InFlight)) // what it has yet to report may have been of the withheld part
	}
	switch {
	case !l.config.Strict:
		r.granted = max(0, r.granted-d.Units)
	case first:
		r.granted = max(0, r.granted-max(d.Transfer, 0))
	}
	if !first {
		return
	}
	l.releaseWithheld(a, r, d.Units-max(d.Transfer, 0))
	l.draw(a, d.Units)
	if m.AckEpoch == l.epoch && a.inSet && a.limit.HardRate > 0 {
		r.hardWanted = max(-d.Transfer, 0)
	}
}

// removeAcknowledged takes the deltas that a message acknowledges off the unacknowledged ones, and their units off the level.
func (l *Limiter) removeAcknowledged(p *peer, m *Message) {
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
				a.allowanceAcked += u.allowance[a.id]
				a.ackedSince = max(a.ackedSince, u.firstSentAt)
			}
		}
	}
	p.unacked = kept
}

// applySnapshots takes a message's grants, once, and its levels unless later ones have come.
func (l *Limiter) applySnapshots(p *peer, m *Message) {
	takeGrants := m.Version > p.grantVersion
	p.grantVersion = max(p.grantVersion, m.Version)
	for _, s := range m.Snapshots {
		a := l.accounts[s.Customer]
		if a == nil || a.owner != p.id {
			continue
		}
		if takeGrants {
			l.takeGrant(a, s)
		}
		if m.Version < a.version && a.hasSnapshot {
			continue
		}
		a.level, a.levelAt, a.hasSnapshot, a.version = s.Level, l.now, true, m.Version
		a.reporters, a.inFlightElsewhere, a.requestedAt = max(s.Reporters, 1), s.InFlightElsewhere, 0
	}
}

// takeGrant adds what a snapshot grants: a part of the hard limit; in strict mode, units. After a standstill of this process the message may be old,
// and units that it grants have expired.
func (l *Limiter) takeGrant(a *Account, s Snapshot) {
	if a.limit.HardRate > 0 && a.inSet {
		a.hardShare = min(l.hardShareCap(a), l.hardShareNow(a)+s.Grant)
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
