package quota

import (
	"slices"
	"time"

	"clovergap/control"
)

// maxRetiredEpochs is the maximum number of a peer's former epochs that are kept in retiredEpochs. Late datagrams from these epochs
// are dropped.
const maxRetiredEpochs = 8

// peer is the state that this gateway keeps of another gateway.
type peer struct {
	id            control.GatewayID
	epoch         uint32        // epoch of the peer; 0 if no datagram from the peer has arrived
	retiredEpochs []uint32      // former epochs of the peer, oldest first, at most maxRetiredEpochs
	receivedAt    time.Duration // time of the last datagram from the peer
	sentAt        time.Duration // time of the last datagram to the peer
	interval      time.Duration // minimum interval between datagrams to the peer, as requested by the peer
	// unreachableSince is the time when the host found the peer unreachable. It is 0 while the peer is reachable.
	unreachableSince time.Duration
	queued           bool // the peer is in Limiter.pendingPeers

	// Deltas from the peer for accounts that this gateway owns.
	appliedHigh uint64 // highest sequence number applied
	appliedMask uint64 // bitmap of sequence numbers; bit i is 1 if appliedHigh-i was applied
	ackPending  bool   // an acknowledgement or a snapshot has to be sent
	// snapshotQueue holds the customers whose snapshots have to be sent to the peer, without duplicates.
	snapshotQueue  []control.CustomerID
	snapshotQueued map[control.CustomerID]bool

	// Deltas to the peer for accounts that the peer owns.
	reportQueue  []*Account        // accounts to report, oldest first
	lastSeq      uint64            // sequence number of the last message with new deltas to the peer
	unacked      []*unackedMessage // messages without an acknowledgement, in the order in which they are due again
	unackedSince time.Duration     // time at which unacked last changed from empty to not empty
	grantVersion uint64            // highest version of a message whose grants were applied

	observationsSent int // number of the host's observations since its start that were sent to the peer or skipped
}

// unackedMessage is a sent message whose deltas the peer has not acknowledged.
type unackedMessage struct {
	seq            uint64
	firstSentAt    time.Duration // time at which the message was first sent
	sentAt         time.Duration // time at which the message was last sent
	resends        int           // number of times that the message was sent again; maxResendDoublings stands for this number or more
	deltas         []Delta
	allowanceUnits map[control.CustomerID]float64 // units in the deltas that were consumed from the allowance, by customer
}

// isRetiredEpoch reports whether an epoch is one of the former epochs of the peer that are still remembered.
func (p *peer) isRetiredEpoch(epoch uint32) bool { return slices.Contains(p.retiredEpochs, epoch) }

// beginEpoch records a new epoch of the peer. In the new epoch, the sequence numbers and versions of the peer start at 1 again.
func (p *peer) beginEpoch(epoch uint32) {
	if p.epoch != 0 {
		p.retiredEpochs = append(p.retiredEpochs, p.epoch)
		p.retiredEpochs = p.retiredEpochs[max(0, len(p.retiredEpochs)-maxRetiredEpochs):]
	}
	p.epoch, p.appliedHigh, p.appliedMask, p.grantVersion = epoch, 0, 0, 0
}

// recordApplied records that the deltas with a sequence number are applied. It returns true if they have not been applied before. A
// number that is 64 or more below the highest applied number counts as applied before.
func (p *peer) recordApplied(seq uint64) bool {
	if seq > p.appliedHigh {
		p.appliedMask = p.appliedMask<<min(seq-p.appliedHigh, 64) | 1
		p.appliedHigh = seq
		return true
	}
	back := p.appliedHigh - seq
	if back >= 64 || p.appliedMask>>back&1 == 1 {
		return false
	}
	p.appliedMask |= 1 << back
	return true
}

// resendTime returns the time at which the first message in unacked is due to be sent again.
func (p *peer) resendTime() time.Duration {
	oldest := p.unacked[0]
	return oldest.sentAt + (resendAfter+p.interval)<<oldest.resends
}
