package quota

import (
	"clovergap/control"
)

// DatagramReceived takes a peer's message and tells whether it may change what is covered. What does not decode is
// dropped and counted.
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
	if m.AckEpoch == l.epoch {
		l.applySnapshots(p, m)
	}
	if l.plans.Observed != nil {
		l.plans.Observed(m.Observations)
	}
	return m.Seq > 0 || m.AckEpoch == l.epoch
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
