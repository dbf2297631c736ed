package registry

import (
	"slices"
	"time"
)

const (
	// allCopiesTimeout is how long a departure waits for the acknowledgements of all peers that this node sends updates to,
	// even if MinCopies nodes already have the departure.
	allCopiesTimeout = 500 * time.Millisecond
	// minCopiesTimeout is how long a departure waits until MinCopies nodes have the departure. After this time the call fails.
	minCopiesTimeout = 800 * time.Millisecond
	// callTimeout is the age of a call from which the answer would reach the backend too late. The backend calls another node
	// if it has no answer within 1 s, and the answer takes time to arrive.
	callTimeout = 950 * time.Millisecond
)

// pendingCall is a call that reports a departure and waits until other nodes have the departure. The call is not answered
// earlier, because this node may be killed immediately after its answer.
//
// A departure is confirmed when Config.MinCopies nodes with a disk have it. This is one copy more than the number of nodes
// that may be lost. The rule does not depend on which node answers or on how many nodes are reachable. Copies at all
// reachable nodes would not suffice, because a partition that has just begun may leave very few nodes reachable.
//
// The copies ensure that a departure survives the loss of nodes. They do not ensure that every node that reaches a majority
// of the nodes applies the departure. For this purpose, the following steps must happen within the drain time:
//
//   - A node with a disk sends the departure to all other nodes with a disk. The first node that has the departure
//     sends it to each of these nodes. A node that the first node does not reach gets the departure from another node
//     that reaches both (Message.Unreachable). For this step, a node that has the departure must reach a node that
//     reaches a majority.
//   - A node with a disk sends the departure to all of its followers. A follower is in the list of followers of the node
//     with the disk, or in the list of a node that forwards this node's updates.
//   - A node without a disk follows only a node that reaches a majority. When the node without a disk follows a new
//     upstream, it receives all departures.
//
// Any path that carries updates from nodes with a disk to the other nodes must preserve the last two steps. This
// requirement applies to a path on which each node carries its own updates, and to a path on which one node carries the
// updates for its zone.
type pendingCall struct {
	ticket    Ticket
	entry     *entry
	requested departureState // the departure that the call reports
	since     time.Duration  // time of the call
}

// nextCheckAt returns the time at which the call must be checked again. This is the end of allCopiesTimeout, or the end of
// minCopiesTimeout if allCopiesTimeout has ended.
func (p pendingCall) nextCheckAt(now time.Duration) time.Duration {
	if now < p.since+allCopiesTimeout {
		return p.since + allCopiesTimeout
	}
	return p.since + minCopiesTimeout
}

// rejectLastCall answers the call with the ticket lastTicket as not confirmed, and returns the ticket. A call is rejected if
// the registry is full or if the call has no backend id.
func (r *Registry) rejectLastCall() Ticket {
	r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: r.lastTicket})
	return r.lastTicket
}

// answerOrStoreLastCall answers the call with the ticket lastTicket if decideCall can decide the call now. If not, it stores
// the call as pending. It also sends the departure that the call reports to each peer that does not have the departure yet.
func (r *Registry) answerOrStoreLastCall(e *entry, requested departureState) {
	call := pendingCall{ticket: r.lastTicket, entry: e, requested: requested, since: r.now}
	if requested != notDeparting {
		for _, s := range r.peerSlots {
			p := r.peers[s]
			if r.sendsUpdatesTo(p) && r.lacksCopy(p, e, requested) && !p.hasDepartureInFlight(e.record.ID, requested) {
				r.enqueueUpdate(p, e.record.ID, true)
			}
		}
	}
	if confirmed, decided := r.decideCall(call); decided {
		r.answerCall(call, confirmed)
		return
	}
	r.pendingCalls = append(r.pendingCalls, call)
}

// answerCall queues the Acknowledge of a call. The Acknowledge carries the control address of the node that should own the
// backend.
func (r *Registry) answerCall(call pendingCall, confirmed bool) {
	owner := r.ownerFor(call.entry, NoSlot)
	r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: call.ticket, OwnerAddr: owner.ControlAddr, Confirmed: confirmed})
}

// answerDecidedCalls answers and removes all pending calls that decideCall decides.
func (r *Registry) answerDecidedCalls() {
	r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(call pendingCall) bool {
		confirmed, decided := r.decideCall(call)
		if decided {
			r.answerCall(call, confirmed)
		}
		return decided
	})
}

// decideCall reports in decided whether a call can be answered now, and in confirmed with which result. A departure is
// confirmed when MinCopies nodes with a disk have it and all peers that this node sends updates to have it. These nodes
// forward the departure to the remaining nodes. After allCopiesTimeout, MinCopies copies are sufficient if at least one
// other node has the departure. If too few nodes with a disk are reachable, the call fails at once, because another node
// may reach enough nodes with a disk.
func (r *Registry) decideCall(call pendingCall) (confirmed, decided bool) {
	if call.requested == notDeparting {
		return true, true
	}
	age := r.now - call.since
	if r.isOnlyNode() {
		confirmed = r.hasCopy(call.entry, call.requested)
		return confirmed, confirmed || age >= minCopiesTimeout
	}
	copies := r.countCopies(call)
	if r.liveCount == 0 || copies.reachable < copies.required {
		return false, true
	}
	enough := copies.confirmed >= copies.required
	if enough && (copies.allNotified || age >= allCopiesTimeout && age < callTimeout && copies.notifiedPeers > 0) {
		return true, true
	}
	return false, age >= minCopiesTimeout
}

// isOnlyNode reports whether a departure needs no copy but the one on this node's disk, because the deployment has no other
// node, or none with a disk yet. At the first start, the other nodes may have no slots yet.
func (r *Registry) isOnlyNode() bool {
	return r.hasNodes && r.knownCount == 0 && r.config.HasDisk && !r.hasDiskWithoutSlot
}

// copyCounts holds the numbers that decide whether a departure is confirmed. Only copies at nodes with a disk count. If no
// node with a disk is known, copies at all nodes count.
type copyCounts struct {
	required int // number of copies needed to confirm the departure
	// Number of reachable nodes whose copies count. This node is included if its copy counts.
	reachable int
	// Number of the nodes in reachable that have the departure on their disk.
	confirmed int
	// Number of other nodes that have the departure. Nodes whose copies do not count are included.
	notifiedPeers int
	// True if all peers that this node sends updates to have the departure.
	allNotified bool
}

// lacksCopy reports whether a peer does not have a departure yet, or whether its copy may count and is not known to be on
// its disk.
func (r *Registry) lacksCopy(p *peer, e *entry, state departureState) bool {
	return e.notified[p.node.Slot] < state || r.mayCount(p) && e.copies.remote[p.node.Slot] < state
}

// mayCount reports whether copies of departures at a peer count. Only nodes with a disk count, or all nodes if no node with
// a disk is known.
func (r *Registry) mayCount(p *peer) bool { return !r.hasKnownDisk || p.node.HasDisk }

// countCopies counts the nodes that have the departure that a call reports. This node has the departure. Another node has
// the departure if it has sent or acknowledged the departure (entry.notified). A copy counts as confirmed only when it is on
// the node's disk (durableCopies). Only nodes with a disk count as copies, or all nodes if no node with a disk is known.
func (r *Registry) countCopies(call pendingCall) copyCounts {
	c := copyCounts{required: r.config.MinCopies, allNotified: true}
	if !r.hasKnownDisk {
		c.required = min(c.required, r.knownCount+1)
	}
	if !r.hasKnownDisk || r.local.HasDisk {
		c.reachable = 1
		if r.hasCopy(call.entry, call.requested) {
			c.confirmed = 1
		}
	}
	for _, s := range r.peerSlots {
		p := r.peers[s]
		if !r.sendsUpdatesTo(p) {
			continue
		}
		if r.mayCount(p) {
			c.reachable++
			if call.entry.copies.remote[s] >= call.requested {
				c.confirmed++
			}
		}
		if call.entry.notified[s] < call.requested {
			c.allNotified = false
			continue
		}
		c.notifiedPeers++
	}
	return c
}

// recordNotified records that a node has recorded the given departure state of the backend.
func (e *entry) recordNotified(node Slot, state departureState) {
	if e.notified == nil {
		e.notified = map[Slot]departureState{}
	}
	e.notified[node] = max(e.notified[node], state)
}

// unconfirmedDepartures returns the ids of the backends whose departure is pending for a peer or in flight to it, and
// which the peer has not acknowledged.
func (r *Registry) unconfirmedDepartures(p *peer) (ids []string) {
	collect := func(candidates []string) {
		for _, id := range candidates {
			if e := r.entries[id]; e != nil && e.departureState() > e.notified[p.node.Slot] {
				ids = append(ids, id)
			}
		}
	}
	collect(p.pendingIDs)
	for _, f := range p.inFlight {
		collect(f.ids)
	}
	return ids
}

// rebroadcastDepartures sends departures again to all reachable nodes with a disk. A lost node with a disk may not have
// received these departures. The reachable nodes may still reach the lost node and forward the departures to it.
func (r *Registry) rebroadcastDepartures(ids []string) {
	for _, id := range ids {
		for _, s := range r.peerSlots {
			if p := r.peers[s]; p.node.HasDisk && r.sendsUpdatesTo(p) {
				r.enqueueUpdate(p, id, true)
			}
		}
	}
}

// unreachableDiskNodes returns the nodes with a disk that this node does not reach.
func (r *Registry) unreachableDiskNodes() (slots []Slot) {
	for _, s := range r.peerSlots {
		if p := r.peers[s]; p.node.HasDisk && !p.node.Live {
			slots = append(slots, s)
		}
	}
	return slots
}

// forwardDepartures forwards the departures of a message to the nodes with a disk that the sender does not reach. It does
// nothing if this node has no disk.
func (r *Registry) forwardDepartures(m *Message) {
	if !r.local.HasDisk {
		return
	}
	for _, s := range m.Unreachable {
		p := r.peers[s]
		if p == nil || !p.node.HasDisk || !r.sendsUpdatesTo(p) {
			continue
		}
		for _, update := range m.Updates {
			if e := r.entries[update.ID]; e != nil && e.departureState() > e.notified[s] && !p.hasDepartureInFlight(update.ID, e.departureState()) {
				r.enqueueUpdate(p, update.ID, true)
			}
		}
	}
}
