// What the quota exchanges with a peer: deltas and snapshots, packed, taken once and acknowledged.

package control

import "time"

// peer is another gateway.
type peer struct {
	id       GatewayID
	epoch    uint32 // its present life
	retired  []uint32
	high     uint64 // sequences of its deltas that are applied
	mask     uint64
	seq      uint64 // sequence of the last delta sent to it
	flight   []*parcel
	sightNr  int           // the last one told
	since    time.Duration // it owes an acknowledgement
	dirty    []*account
	answers  []CustomerID
	answer   map[CustomerID]bool
	ackDue   bool
	posted   bool          // among those with something due
	gap      time.Duration // between messages to it, as it wishes
	lastSent time.Duration
	heard    time.Duration
	lostAt   time.Duration // when the host last found it out of reach; nought: it is in reach
	granted  uint64        // version of the last message whose grants were taken
}

// parcel is a delta message that waits for its acknowledgement.
type parcel struct {
	seq   uint64
	at    time.Duration
	sent  time.Duration // for the first time
	tries int
	lines []deltaLine
	bare  map[CustomerID]float64 // of their units, those spent on no word
}

// takes tells whether a delta may be taken: here it is known that its customers are metered, and owned here.
// One that comes too early or too late is neither applied nor acknowledged, in no part of it: it comes again.
func (q *Quota) takes(m *message) bool {
	if q.ofPlan != nil {
		return true
	}
	for _, l := range m.deltas {
		a := q.accounts[l.customer]
		if _, gone := q.gone[l.customer]; a == nil && !gone || a != nil && a.owner != q.me {
			return false
		}
	}
	return true
}

// post notes that something is due to a peer.
func (q *Quota) post(p *peer) {
	if !p.posted && q.tells {
		p.posted = true
		q.posted = append(q.posted, p)
	}
}

func (q *Quota) packAnswers(p *peer, m *message) {
	q.version++
	m.version = q.version
	for room := m.room(); len(p.answers) > 0 && room >= snapMost; {
		a := q.accounts[p.answers[0]]
		delete(p.answer, p.answers[0])
		p.answers = p.answers[1:]
		if a == nil || a.owner != q.me {
			continue
		}
		q.refill(a)
		sharers, out, told := q.reporters(a, p)
		r := a.report(p.id)
		left, given := max(0, a.level-told-a.kept-q.lentOut(a)), 0.0
		if r.left = left; q.terms.Parts {
			given = q.lend(a, r, left)
		} else {
			r.units, r.told = 0, q.now
			if left >= r.wanted {
				r.units = r.wanted
			}
			given = q.grant(a, r)
		}
		r.wanted = 0
		m.snaps = append(m.snaps, snapLine{a.id, left, sharers + 1, out + a.out, given})
		room -= len(m.snaps[len(m.snaps)-1].append(nil))
	}
}

// newLife notes that a peer has started again; a message of a life that is over is dropped.
// What was reported to the old life is dropped: the new bucket starts empty, which stands for all use before.
func (q *Quota) newLife(p *peer, epoch uint32) bool {
	if p.over(epoch) {
		return false
	}
	if p.epoch != 0 {
		for _, f := range p.flight {
			for _, l := range f.lines {
				if a := q.accounts[l.customer]; a != nil {
					a.unacked -= l.units
					a.bareOut = max(0, a.bareOut-f.bare[a.id])
				}
			}
		}
		p.flight = nil
		for _, a := range q.order {
			if a.owner == p.id {
				a.known, a.asked, a.version, a.lent, a.lentGone, a.toldAt = false, 0, 0, 0, 0, 0
			}
		}
	}
	for _, a := range q.order {
		for _, r := range a.reports {
			if r.from == p.id {
				r.part = 0 // nobody tells what its former life spent of it
			}
		}
	}
	p.begin(epoch)
	return true
}

// takeDelta applies a delta once and marks its accounts for an answer.
func (q *Quota) takeDelta(p *peer, m *message) {
	if !q.takes(m) {
		q.badDatagrams++
		return
	}
	fresh := p.first(m.seq)
	p.ackDue = true
	q.post(p)
	for _, l := range m.deltas {
		if q.ofPlan == nil && q.accounts[l.customer] == nil {
			continue // not metered any more
		}
		if q.ofPlan != nil && q.ofPlan(l.plan) == nil {
			q.badDatagrams++
			continue
		}
		a := q.account(l.customer, l.plan)
		if !a.inSet { // a txn's own word goes before a peer's
			q.place(a, l.first, l.width)
		}
		if a.owner != q.me {
			q.badDatagrams++
			continue
		}
		q.refill(a)
		r := a.report(p.id)
		if r.at = q.now; m.seq == p.high {
			r.out, r.wanted = l.out, l.wanted
			q.give(a, r, r.part-float64(l.out)) // what it has yet to tell of may have been spent of its part
		}
		if q.terms.Parts && fresh {
			r.units = max(0, r.units-max(l.part, 0))
		} else if !q.terms.Parts {
			r.units = max(0, r.units-l.units)
		}
		if fresh {
			q.give(a, r, l.units-max(l.part, 0))
			q.draw(a, l.units)
		}
		if fresh && m.ackEpoch == q.epoch && a.listened && a.limit.ceilRate > 0 {
			r.want = max(-l.part, 0)
		}
		q.owe(p, a.id)
	}
}

// takeSnapshot settles acknowledged deltas, then takes the owner's figures if they are not older than held.
func (q *Quota) takeSnapshot(p *peer, m *message) {
	kept := p.flight[:0]
	for _, f := range p.flight {
		if !m.acknowledges(f.seq) {
			kept = append(kept, f)
			continue
		}
		for _, l := range f.lines {
			if a := q.accounts[l.customer]; a != nil {
				a.unacked -= l.units
				a.level -= l.units
				a.proving += f.bare[a.id]
				a.toldAt = max(a.toldAt, f.sent)
			}
		}
	}
	p.flight = kept
	once := m.version > p.granted
	p.granted = max(p.granted, m.version)
	for _, l := range m.snaps {
		a := q.accounts[l.customer]
		if once && a != nil && a.owner == p.id && a.limit.ceilRate > 0 && a.listened {
			a.part = min(q.partCap(a), q.partNow(a)+l.grant)
		}
		if once && a != nil && a.owner == p.id && q.terms.Parts {
			if q.lentNow(a); q.now-q.stallTo > q.answerIn(a) && l.grant > 0 { // else it may be of long ago
				a.lent, a.lentAt = a.lent+l.grant, q.now
			}
			q.proved(a, l.left)
		}
		if a == nil || a.owner != p.id || m.version < a.version && a.known {
			continue
		}
		a.level, a.levelAt, a.known, a.version = l.left, q.now, true, m.version
		a.sharers, a.outElse, a.asked = max(l.sharers, 1), l.outElse, 0
	}
}

// told brings up to date, in lines that go again, what else is to be told of.
func (q *Quota) told(lines []deltaLine) []deltaLine {
	for i := range lines {
		if a := q.accounts[lines[i].customer]; q.terms.Parts && a != nil {
			lines[i].out = q.outOf(a, lines[i].units)
		}
	}
	return lines
}

// packDeltas moves unreported use into a new parcel, oldest first, so that none starves.
func (q *Quota) packDeltas(p *peer, m *message) {
	p.seq++
	m.seq = p.seq
	bare := map[CustomerID]float64{}
	for room := m.room() * deltaPart / 8; len(p.dirty) > 0 && room >= deltaMost; {
		a := p.dirty[0]
		p.dirty = p.dirty[1:]
		a.dirty = false
		m.deltas = append(m.deltas, deltaLine{a.id, a.planID, a.unsent, q.outOf(a, a.unsent), q.move(a), a.first, a.wanted,
			a.width})
		if a.bareSent > 0 {
			bare[a.id] = a.bareSent
		}
		a.unacked += a.unsent
		a.unsent, a.wanted, a.packed, a.bareSent = 0, 0, q.now, 0
		room -= len(m.deltas[len(m.deltas)-1].append(nil))
	}
	if len(p.flight) == 0 {
		p.since = q.now
	}
	p.flight = append(p.flight, &parcel{seq: m.seq, at: q.now, sent: q.now, lines: m.deltas, bare: bare})
}

// PeerSaid takes a peer's message and tells whether it may change what is covered. What does not decode is
// dropped and counted.
func (q *Quota) PeerSaid(from GatewayID, payload []byte) (news bool) {
	m, err := decodeMessage(payload)
	if err != nil || from < 0 || int(from) >= len(q.peers) || from == q.me {
		q.badDatagrams++
		return false
	}
	p := q.peers[from]
	q.datagramsIn++
	if p.heard <= q.tick {
		q.writers++
	}
	q.meet(p, m.age)
	p.heard, p.gap = q.now, m.gap
	if m.epoch != p.epoch && !q.newLife(p, m.epoch) {
		return false
	}
	if m.seq > 0 {
		q.takeDelta(p, m)
	}
	if m.ackEpoch == q.epoch {
		q.takeSnapshot(p, m)
	}
	if q.heardOf != nil {
		q.heardOf(m.sights)
	}
	return m.seq > 0 || m.ackEpoch == q.epoch
}

// seal adds to a message what goes along anyway, answers and more, and gives its bytes.
func (q *Quota) seal(p *peer, m *message) []byte {
	q.packAnswers(p, m)
	if q.along != nil {
		q.along(p, m)
	}
	p.ackDue = len(p.answers) > 0
	p.lastSent = q.now
	return m.encode()
}

// owe queues an account for the next snapshot to the peer.
func (q *Quota) owe(p *peer, id CustomerID) {
	p.ackDue = true
	q.post(p)
	if p.answer == nil {
		p.answer = map[CustomerID]bool{}
	}
	if !p.answer[id] {
		p.answer[id] = true
		p.answers = append(p.answers, id)
	}
}
