package registry

import (
	"slices"
	"sort"
	"time"
)

// peer is another node, and what it has yet to be told.
type peer struct {
	node   Node
	lostAt time.Duration
	seq    uint64

	pendingIDs   []string // ids whose words wait to be sent
	pendingSet   map[string]bool
	sendAt       time.Duration      // when they go
	inFlight     []*inFlightMessage // sent and not confirmed
	retransmits  []*inFlightMessage // to be sent once more
	confirmed    bool               // has confirmed something since it was greeted: what it says is of its present life
	unresponsive bool               // gave no confirmation: only asked for a sign, and greeted when there is one

	active       bool // its slot is among the registry's busy ones
	fullSyncNext bool // the next message begins to tell all there is
	syncing      bool // and it is being told all that
	suspicions   []string
	heartbeats   []Record
	acks         []uint64
}

// inFlightMessage is one message on its way, with what it said when it was first sent.
type inFlightMessage struct {
	seq        uint64
	ids        []string
	departures []departure
	suspicions []string
	fullSync   bool
	sentAt     time.Duration
	attempts   int
}

func (r *Registry) peerAt(s Slot) *peer {
	p := r.peers[s]
	if p == nil {
		p = &peer{node: Node{Slot: s}, seq: uint64(r.config.Incarnation) << 32, pendingSet: map[string]bool{},
			lostAt: r.now}
		r.peers[s] = p
		at := sort.Search(len(r.peerSlots), func(i int) bool { return r.peerSlots[i] >= s })
		r.peerSlots = slices.Insert(r.peerSlots, at, s)
	}
	return p
}

// trustUnconfirmedPeers takes a defence out; only a test sets it.
var trustUnconfirmedPeers bool

// resetPeer forgets what was on its way to a node: it may come back in a new life that has heard nothing.
func (r *Registry) resetPeer(p *peer) {
	p.lostAt = r.now
	p.pendingIDs, p.inFlight, p.retransmits, p.suspicions, p.heartbeats, p.acks = nil, nil, nil, nil, nil, nil
	p.unresponsive, p.fullSyncNext, p.syncing, p.confirmed = false, false, false, false
	clear(p.pendingSet)
	r.syncQueue = slices.DeleteFunc(r.syncQueue, func(t syncRequest) bool { return t.target == p.node.Slot })
	for _, e := range r.sorted {
		delete(e.notified, p.node.Slot)
	}
}

// informs tells whether a node gets this one's words: where a node with a disk lives, such ones do, and those who follow
// this node.
func (r *Registry) informs(p *peer) bool {
	return p.node.Live && (!r.hasLiveDisk || p.node.HasDisk || p.node.Follows)
}

// SyncPeer tells a node that is connected anew, or follows anew. One that follows gets all backends that are not gone. Nodes
// with a disk tell each other those kept here, those that the other should keep, those whose registrar is missing and that
// fall to this node, and all ends: together they tell it the whole registry. A node without a disk tells the ends of
// backends that are still there; more of what it knows follows where the other turns out not to have it.
func (r *Registry) SyncPeer(s Slot) {
	p := r.peers[s]
	if p == nil {
		return
	}
	r.resetPeer(p)
	if !r.informs(p) {
		return
	}
	if p.node.Follows {
		r.enqueueSync(p)
		r.startSyncs()
		return
	}
	for _, e := range r.sorted {
		k, there := e.record.Owner, e.phase() != Gone
		var tell bool
		switch {
		case r.hasLiveDisk && !r.local.HasDisk:
			tell = there && e.departure() > notDeparting
		default:
			tell = k == r.localSlot || k == s || e.departure() > notDeparting || r.unreachable(k) && r.ownerFor(e, s).Slot == r.localSlot
		}
		if tell {
			r.enqueueUpdate(p, e.record.ID, true)
		}
	}
}

// reportMissing tells the node that is followed what it did not name a while after it began to tell all it has: so it learns
// what it should have had, or this node that it is gone.
func (r *Registry) reportMissing() {
	if r.now < r.reportMissingAt {
		return
	}
	r.reportMissingAt = never
	p := r.peers[r.syncSource]
	if p == nil || !r.informs(p) {
		return
	}
	for _, e := range r.sorted {
		if e.phase() != Gone && e.syncedAt < r.syncStartedAt {
			r.enqueueUpdate(p, e.record.ID, false)
		}
	}
}

// broadcast tells all nodes that this one tells, at once or together with other small news.
func (r *Registry) broadcast(e *entry, now bool) { r.forward(e, nil, now) }

// forward tells what came from one node to the others: what a node with a disk told it has told all that have one, so it is
// for those who follow; what another told is for all.
func (r *Registry) forward(e *entry, from *peer, now bool) {
	for _, s := range r.peerSlots {
		if p := r.peers[s]; p != from && r.informs(p) && !(from != nil && from.node.HasDisk && p.node.HasDisk) {
			r.enqueueUpdate(p, e.record.ID, now)
		}
	}
}

func (r *Registry) enqueueUpdate(p *peer, id string, now bool) {
	at := r.now
	if !now {
		at += batchDelay
	}
	r.activate(p)
	if len(p.pendingIDs) == 0 || at < p.sendAt {
		p.sendAt = at
	}
	if !p.pendingSet[id] {
		p.pendingSet[id] = true
		p.pendingIDs = append(p.pendingIDs, id)
	}
}

// relayHeartbeat passes a beat on; the next beat makes up for a lost one.
func (r *Registry) relayHeartbeat(e *entry, s Slot) {
	if p := r.peers[s]; p != nil && p.node.Live && len(p.heartbeats) < maxUpdatesPerMessage {
		r.activate(p)
		p.heartbeats = append(p.heartbeats, r.recordOf(e))
	}
}

// nextMessage takes what is due for a node.
func (r *Registry) nextMessage(p *peer) (m Message, ok bool) {
	m.Acks, p.acks = p.acks, nil
	if !p.node.Live {
		return m, len(m.Acks) > 0
	}
	m.Heartbeats, p.heartbeats = p.heartbeats, nil
	if len(p.retransmits) > 0 {
		f := p.retransmits[0]
		p.retransmits = p.retransmits[1:]
		return r.buildMessage(m, f), true
	}
	due := len(p.pendingIDs) > 0 && r.now >= p.sendAt || p.fullSyncNext
	if !due && len(p.suspicions) == 0 || p.unresponsive || len(p.inFlight) >= maxInFlight {
		return m, len(m.Acks)+len(m.Heartbeats) > 0
	}
	p.seq++
	f := &inFlightMessage{seq: p.seq, sentAt: r.now, suspicions: p.suspicions, fullSync: p.fullSyncNext}
	p.suspicions, p.fullSyncNext = nil, false
	if due {
		n := min(len(p.pendingIDs), maxUpdatesPerMessage)
		f.ids, p.pendingIDs = slices.Clone(p.pendingIDs[:n]), p.pendingIDs[n:]
	}
	for _, id := range f.ids {
		delete(p.pendingSet, id)
		l := notDeparting
		if e := r.entries[id]; e != nil {
			l = e.departure()
		}
		f.departures = append(f.departures, l)
	}
	p.inFlight = append(p.inFlight, f)
	return r.buildMessage(m, f), true
}

// unconfirmedDepartures are the backends whose end a node has been sent, or was about to be, and has not confirmed.
func (r *Registry) unconfirmedDepartures(p *peer) (ids []string) {
	ends := func(all []string) {
		for _, id := range all {
			if e := r.entries[id]; e != nil && e.departure() > e.notified[p.node.Slot] {
				ids = append(ids, id)
			}
		}
	}
	ends(p.pendingIDs)
	for _, f := range p.inFlight {
		ends(f.ids)
	}
	return ids
}

// rebroadcastDepartures tells the other nodes with a disk once more of ends that did not reach one of them: they may reach it.
func (r *Registry) rebroadcastDepartures(ids []string) {
	for _, id := range ids {
		for _, s := range r.peerSlots {
			if p := r.peers[s]; p.node.HasDisk && r.informs(p) {
				r.enqueueUpdate(p, id, true)
			}
		}
	}
}

// unreachableDiskNodes are the nodes with a disk that this one does not reach.
func (r *Registry) unreachableDiskNodes() (all []Slot) {
	for _, s := range r.peerSlots {
		if p := r.peers[s]; p.node.HasDisk && !p.node.Live {
			all = append(all, s)
		}
	}
	return all
}

// forwardDepartures tells ends to nodes with a disk that whoever told this one does not reach.
func (r *Registry) forwardDepartures(m Message) {
	if !r.local.HasDisk {
		return
	}
	for _, s := range m.Unreachable {
		p := r.peers[s]
		if p == nil || !p.node.HasDisk || !r.informs(p) {
			continue
		}
		for _, w := range m.Updates {
			if e := r.entries[w.ID]; e != nil && e.departure() > e.notified[s] && !p.hasInFlight(w.ID, e.departure()) {
				r.enqueueUpdate(p, w.ID, true)
			}
		}
	}
}

// buildMessage writes the words of a parcel as they are now.
func (r *Registry) buildMessage(m Message, f *inFlightMessage) Message {
	m.Seq, m.FullSync = f.seq, f.fullSync
	ends := false
	for _, id := range f.ids {
		if e := r.entries[id]; e != nil {
			m.Updates = append(m.Updates, r.recordOf(e))
			ends = ends || e.departure() > notDeparting
		}
	}
	if ends {
		m.Unreachable = r.unreachableDiskNodes()
	}
	for _, id := range f.suspicions {
		if e := r.entries[id]; e != nil {
			m.Suspicions = append(m.Suspicions, r.recordOf(e))
		}
	}
	return m
}

// resendOverdue repeats what was not confirmed, and gives up on a node that confirms nothing.
func (r *Registry) resendOverdue(p *peer) {
	for _, f := range p.inFlight {
		if r.now-f.sentAt < p.ackTimeout(f) {
			continue
		}
		if f.attempts++; f.attempts > maxResends && !p.unresponsive {
			r.resetPeer(p)
			p.unresponsive = true
			p.seq++
			f = &inFlightMessage{seq: p.seq, sentAt: r.now}
			p.inFlight, p.retransmits = []*inFlightMessage{f}, []*inFlightMessage{f}
			return
		}
		f.sentAt = r.now
		if !slices.Contains(p.retransmits, f) {
			p.retransmits = append(p.retransmits, f)
		}
	}
}

// ackTimeout is how long a confirmation is waited for: twice as long after each time. Links lose nothing while they are up, so what is not
// confirmed mostly waits where the node has more to do than it can, and the same again is no help to it.
func (p *peer) ackTimeout(f *inFlightMessage) time.Duration {
	if p.unresponsive {
		return probeInterval
	}
	return resendTimeout << min(f.attempts, maxResendDoublings)
}

// nextDeadline is when the node wants to be looked at again.
func (p *peer) nextDeadline() time.Duration {
	at := never
	for _, f := range p.inFlight {
		at = min(at, f.sentAt+p.ackTimeout(f))
	}
	if p.node.Live && !p.unresponsive && len(p.pendingIDs) > 0 && len(p.inFlight) < maxInFlight {
		at = min(at, p.sendAt)
	}
	return at
}

// Receive takes a message of another node.
func (r *Registry) Receive(from Slot, m Message) {
	p := r.peers[from]
	if p == nil {
		if from < 0 || from == r.localSlot {
			return
		}
		p = r.peerAt(from)
	}
	if p.unresponsive && p.node.Live {
		r.SyncPeer(from)
	}
	if m.FullSync {
		r.syncSource, r.syncStartedAt, r.reportMissingAt = from, r.now, r.now+fullSyncGrace
	}
	for _, nr := range m.Acks {
		r.handleAck(p, nr)
	}
	if from == r.syncSource && len(m.Updates) > 0 && r.reportMissingAt != never { // it is still telling all it has
		r.reportMissingAt = max(r.reportMissingAt, min(r.now+fullSyncGrace, r.syncStartedAt+fullSyncTimeout))
	}
	for _, w := range m.Updates {
		r.handleUpdate(p, w)
	}
	r.forwardDepartures(m)
	for _, w := range m.Heartbeats {
		if e := r.entryFor(w.ID); e != nil {
			r.handleHeartbeat(e, w, false)
		}
	}
	for _, w := range m.Suspicions {
		r.handleSuspicion(p, w)
	}
	if m.Seq != 0 && len(p.acks) < maxPendingAcks {
		r.activate(p)
		p.acks = append(p.acks, m.Seq)
	}
	r.answerDecided()
}

// handleUpdate joins a word and says otherwise where more is known here.
func (r *Registry) handleUpdate(p *peer, w Record) {
	e := r.entryFor(w.ID)
	if e == nil {
		return
	}
	mine := e.record.Owner == r.localSlot && e.phase() != Gone
	recent := r.now-e.lastHeartbeatAt < missedHeartbeats*r.config.HeartbeatInterval
	before, was, levelBefore, cold, doubt := e.record, e.phase(), e.departure(), e.slowStartUntil, e.suspected
	r.merge(e, w)
	if p.node.Slot == r.syncSource {
		e.syncedAt = r.now
	}
	// What this node alone held for gone, nobody was told.
	turned := e.phase() != was || e.departure() > levelBefore || doubt && w.Phase == Gone
	news := turned || recordChanged(before, e.record)
	switch {
	case e.record.Owner == r.localSlot && (before.Owner != r.localSlot || news):
		// The registrar answers for what all know: others may have believed it, or have come up with it.
		r.broadcast(e, turned)
	case r.local.HasDisk && (news || e.slowStartUntil != cold):
		r.forward(e, p, turned)
	}
	if k := r.peers[e.record.Owner]; r.local.HasDisk && before.Service == "" && e.phase() != Gone && k != nil && k != p && k.node.Live {
		r.enqueueUpdate(k, e.record.ID, false) // new here, and not from its registrar: that one may have forgotten it, and watches again
	}
	if w.Phase == Gone && p.node.Slot == e.record.Owner {
		e.suspected = false
	}
	// It holds the end itself, if it has said so in its present life: a late word of the former one is no copy.
	if l := departureOf(w); l > notDeparting && (p.confirmed || trustUnconfirmedPeers) {
		r.recordNotified(e, p.node.Slot, l)
	}
	if w.LostOwner != NoSlot && w.FencingToken == e.record.FencingToken && w.Owner == e.record.Owner {
		if w.LostOwner == r.localSlot && mine && recent {
			// Somebody thinks this node missing, but the beats still come here.
			r.takeOwnership(e, NoSlot)
			r.broadcast(e, true)
			return
		}
		if m := r.peers[w.LostOwner]; w.LostOwner != p.node.Slot && m != nil && m.node.Live {
			r.enqueueUpdate(m, e.record.ID, true)
		}
	}
	is := r.recordOf(e)
	switch {
	case w.Phase == Gone && is.Phase != Gone && (e.record.Owner == r.localSlot || recent):
		r.broadcast(e, true) // whoever believed it must be told
	case w.Phase != is.Phase || departureOf(w) != departureOf(is) ||
		w.Owner != is.Owner && (w.FencingToken < is.FencingToken || w.FencingToken == is.FencingToken && w.Owner < is.Owner),
		w.Seq < is.Seq && is.Phase != Gone && p.node.Slot == is.Owner: // its silence would be of a beat that was not the last
		if p.node.Live {
			r.enqueueUpdate(p, e.record.ID, true)
		}
	}
}

// handleSuspicion hears that another backend answered at the address: the next beat shows who is right.
func (r *Registry) handleSuspicion(p *peer, w Record) {
	e := r.entryFor(w.ID)
	if e == nil {
		return
	}
	before := e.phase()
	r.merge(e, w)
	if e.phase() != Gone {
		r.expire(e)
	}
	if before != Gone {
		r.broadcast(e, true)
	} else {
		r.enqueueUpdate(p, e.record.ID, true)
	}
}

// reportSuspicion tells the registrar of a doubt.
func (r *Registry) reportSuspicion(e *entry) {
	e.ownerSince = r.now
	if p := r.peers[e.record.Owner]; p != nil && p.node.Live && !slices.Contains(p.suspicions, e.record.ID) {
		r.activate(p)
		p.suspicions = append(p.suspicions, e.record.ID)
	}
}

func departureOf(w Record) departure {
	switch {
	case w.Left:
		return departed
	case w.Draining || w.Phase == Draining:
		return draining
	}
	return notDeparting
}

// handleAck notes what a node has taken in.
func (r *Registry) handleAck(p *peer, nr uint64) {
	for i, f := range p.inFlight {
		if f.seq != nr {
			continue
		}
		for j, id := range f.ids {
			if e := r.entries[id]; e != nil && f.departures[j] > notDeparting {
				r.recordNotified(e, p.node.Slot, f.departures[j])
			}
		}
		p.confirmed = true
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
		p.retransmits = slices.DeleteFunc(p.retransmits, func(x *inFlightMessage) bool { return x == f })
		return
	}
}

// recordNotified notes that a node knows of an end.
func (r *Registry) recordNotified(e *entry, s Slot, l departure) {
	if e.notified == nil {
		e.notified = map[Slot]departure{}
	}
	e.notified[s] = max(e.notified[s], l)
}
