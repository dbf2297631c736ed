package registry

import (
	"slices"
	"sort"
	"time"
)

const (
	// resendTimeout is how long a message waits for its acknowledgement before the first resend. It is several round trips of
	// a link between zones.
	resendTimeout = 300 * time.Millisecond
	// maxResendDoublings is the number of times that the resend time-out doubles. The longest time-out is 4.8 s.
	maxResendDoublings = 4
	// maxResends is the number of times that a message is resent before its receiver counts as unresponsive. The last resend
	// is 14 s after the first transmission.
	maxResends = 6
	// probeInterval is the interval between two probes of an unresponsive node.
	probeInterval = time.Second
	// maxInFlight limits the unacknowledged messages to one node.
	maxInFlight = 4
	// maxPendingAcks limits the acknowledgements that wait to be sent to one node. Further acknowledgements are dropped, and
	// the node then resends its message.
	maxPendingAcks = 256
)

// peer is this node's state for another node, with the records and messages that the other node has not acknowledged yet.
type peer struct {
	node Node
	// Time at which the peer was last lost or reset, initially the time at which it became known.
	lostAt time.Duration
	seq    uint64 // sequence number of the last message to the peer

	// Ids of the backends whose records wait to be sent, in order of sending.
	pendingIDs  []string
	pendingSet  map[string]bool    // the same ids as a set
	sendAt      time.Duration      // time from which the pending records may be sent
	inFlight    []*inFlightMessage // messages sent and not acknowledged
	retransmits []*inFlightMessage // messages in flight that are due to be resent
	// True if the peer has acknowledged a message since the last reset. The messages of the peer then come from its present
	// incarnation.
	confirmed bool
	// True if the peer acknowledges nothing. The peer is then only probed, and is synced when it answers a probe.
	unresponsive bool

	active       bool     // the peer's slot is in Registry.activePeers
	fullSyncNext bool     // the next message starts a full sync
	syncing      bool     // a sync of this follower is running
	suspicions   []string // ids of suspected backends to report
	heartbeats   []Record // heartbeats to relay
	acks         []uint64 // sequence numbers to acknowledge
	// Those of acks whose messages carry departures that are not on this node's disk yet.
	unstoredAcks []uint64
	// Departures on this node's disk that are to be reported to the peer.
	stored []Departure
}

// inFlightMessage is a message that was sent and not acknowledged. A resent message carries the present records of the same
// backends.
type inFlightMessage struct {
	seq uint64
	ids []string
	// Departure states in the first transmission, by index of ids. An acknowledgement proves that the receiver has recorded
	// these departure states.
	departures []departureState
	suspicions []string
	fullSync   bool
	sentAt     time.Duration // time of the last transmission
	attempts   int           // number of time-outs so far
}

// findOrCreatePeer returns the peer with slot s, and creates it if there is none.
func (r *Registry) findOrCreatePeer(s Slot) *peer {
	p := r.peers[s]
	if p == nil {
		p = &peer{node: Node{Slot: s}, seq: uint64(r.config.Incarnation) << 32, pendingSet: map[string]bool{}, lostAt: r.now}
		r.peers[s] = p
		at := sort.Search(len(r.peerSlots), func(i int) bool { return r.peerSlots[i] >= s })
		r.peerSlots = slices.Insert(r.peerSlots, at, s)
	}
	return p
}

// resetPeer discards all messages to a peer and the knowledge of which departures the peer has. The peer may come back in
// another incarnation that has lost all state.
func (r *Registry) resetPeer(p *peer) {
	p.lostAt = r.now
	p.pendingIDs, p.inFlight, p.retransmits, p.suspicions, p.heartbeats = nil, nil, nil, nil, nil
	p.acks, p.unstoredAcks, p.stored = nil, nil, nil
	p.unresponsive, p.fullSyncNext, p.syncing, p.confirmed = false, false, false, false
	clear(p.pendingSet)
	r.syncQueue = slices.DeleteFunc(r.syncQueue, func(s syncRequest) bool { return s.target == p.node.Slot })
	for _, e := range r.sorted {
		delete(e.notified, p.node.Slot)
		delete(e.copies.remote, p.node.Slot)
		delete(e.copies.waiting, p.node.Slot)
	}
}

// addActivePeer adds a peer to Registry.activePeers. Next checks only the active peers for messages. The cost of a call or a
// message that this node receives therefore does not grow with the number of idle peers.
func (r *Registry) addActivePeer(p *peer) {
	if p.active {
		return
	}
	p.active = true
	at, _ := slices.BinarySearch(r.activePeers, p.node.Slot)
	r.activePeers = slices.Insert(r.activePeers, at, p.node.Slot)
}

// removeIdlePeers removes idle peers from Registry.activePeers.
func (r *Registry) removeIdlePeers() {
	r.activePeers = slices.DeleteFunc(r.activePeers, func(s Slot) bool {
		p := r.peers[s]
		if p == nil {
			return true
		}
		p.active = !p.isIdle()
		return !p.active
	})
}

// isIdle reports whether nothing is to be sent to the peer and the peer has acknowledged all messages.
func (p *peer) isIdle() bool {
	return !p.fullSyncNext && len(p.pendingIDs)+len(p.inFlight)+len(p.retransmits)+len(p.suspicions)+len(p.heartbeats)+len(p.acks)+len(p.stored) == 0
}

// nextCheckAt returns the next time at which a message to the peer must be sent or resent, or never.
func (p *peer) nextCheckAt() time.Duration {
	at := never
	for _, f := range p.inFlight {
		at = min(at, f.sentAt+p.ackTimeout(f))
	}
	if p.node.Live && !p.unresponsive && len(p.pendingIDs) > 0 && len(p.inFlight) < maxInFlight {
		at = min(at, p.sendAt)
	}
	return at
}

// ackTimeout returns the time after which an unacknowledged message is resent. This time doubles after each attempt, up to
// maxResendDoublings times. A link loses no messages while the link is up. An unacknowledged message therefore usually waits
// at an overloaded receiver, and an early resend would only add load. For an unresponsive peer the time is probeInterval.
func (p *peer) ackTimeout(f *inFlightMessage) time.Duration {
	if p.unresponsive {
		return probeInterval
	}
	return resendTimeout << min(f.attempts, maxResendDoublings)
}

// resendOverdueMessages schedules the resend of messages whose acknowledgement is overdue. If a message has been resent maxResends
// times, the peer counts as unresponsive. From then on the peer is only sent an empty message as a probe, once in each
// probeInterval.
func (r *Registry) resendOverdueMessages(p *peer) {
	for _, f := range p.inFlight {
		if r.now-f.sentAt < p.ackTimeout(f) {
			continue
		}
		if f.attempts++; f.attempts > maxResends && !p.unresponsive {
			r.resetPeer(p)
			p.unresponsive = true
			p.seq++
			probe := &inFlightMessage{seq: p.seq, sentAt: r.now}
			p.inFlight, p.retransmits = []*inFlightMessage{probe}, []*inFlightMessage{probe}
			return
		}
		f.sentAt = r.now
		if !slices.Contains(p.retransmits, f) {
			p.retransmits = append(p.retransmits, f)
		}
	}
}

// handleAck removes an acknowledged message from the messages in flight. It records that the peer has the departures that
// the message carried. stored is false if the peer has a disk and does not have all of these departures on it yet.
func (r *Registry) handleAck(p *peer, seq uint64, stored bool) {
	for i, f := range p.inFlight {
		if f.seq != seq {
			continue
		}
		for j, id := range f.ids {
			if e := r.entries[id]; e != nil && f.departures[j] > notDeparting {
				e.recordNotified(p.node.Slot, f.departures[j])
				if stored || r.config.TestingKnobs.countUnstoredCopies() {
					e.copies.recordRemote(p.node.Slot, f.departures[j])
				}
			}
		}
		p.confirmed = true
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
		p.retransmits = slices.DeleteFunc(p.retransmits, func(x *inFlightMessage) bool { return x == f })
		return
	}
}

// hasDepartureInFlight reports whether a message in flight to the peer carries at least the departure state d of the backend
// with the given id.
func (p *peer) hasDepartureInFlight(id string, d departureState) bool {
	for _, f := range p.inFlight {
		if i := slices.Index(f.ids, id); i >= 0 && f.departures[i] >= d {
			return true
		}
	}
	return false
}
