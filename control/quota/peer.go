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
	epoch         uint32 // epoch of the peer; 0 if nothing has been received from it
	retiredEpochs []uint32
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

	// Deltas to the peer for accounts that it owns.
	reportQueue  []*Account // accounts to report, oldest first
	lastSeq      uint64
	unacked      []*unackedMessage
	unackedSince time.Duration // start of the wait for an acknowledgement
	grantVersion uint64        // version of the last message whose grants were applied

	observationsSent int // number of the host's observations that were sent or skipped
}

// unackedMessage is a sent message whose deltas the peer has not acknowledged.
type unackedMessage struct {
	seq            uint64
	firstSentAt    time.Duration
	sentAt         time.Duration
	resends        int
	deltas         []Delta
	allowanceUnits map[control.CustomerID]float64 // units of the deltas that came from the allowance
}

// isRetiredEpoch reports whether an epoch is one of the peer's last former epochs.
func (p *peer) isRetiredEpoch(epoch uint32) bool { return slices.Contains(p.retiredEpochs, epoch) }

// beginEpoch records the start of a new epoch of the peer. The sequence numbers and versions of the new epoch start again.
func (p *peer) beginEpoch(epoch uint32) {
	if p.epoch != 0 {
		p.retiredEpochs = append(p.retiredEpochs, p.epoch)
		p.retiredEpochs = p.retiredEpochs[max(0, len(p.retiredEpochs)-maxRetiredEpochs):]
	}
	p.epoch, p.appliedHigh, p.appliedMask, p.grantVersion = epoch, 0, 0, 0
}

// recordApplied records a sequence number as applied and reports whether the number is new. A number that is too low for the window
// of 64 counts as applied before.
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

// resendTime returns the time at which the oldest unacknowledged message is due to be sent again.
func (p *peer) resendTime() time.Duration {
	oldest := p.unacked[0]
	return oldest.sentAt + (resendAfter+p.interval)<<oldest.resends
}
