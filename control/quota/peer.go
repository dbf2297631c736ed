package quota

import (
	"slices"
	"time"

	"clovergap/control"
)

// maxRetiredEpochs is how many of a peer's former epochs are remembered: late datagrams of those are dropped.
const maxRetiredEpochs = 8

// peer is another gateway.
type peer struct {
	id            control.GatewayID
	epoch         uint32 // 0: nothing came from it yet
	retiredEpochs []uint32
	receivedAt    time.Duration // last datagram from it
	sentAt        time.Duration // last datagram to it
	interval      time.Duration // between datagrams to it, as it asked
	// unreachableSince is when the host found it out of reach; 0: it is in reach.
	unreachableSince time.Duration
	pending          bool // in Limiter.pending

	// Deltas from it, for accounts that are owned here.
	appliedHigh uint64 // highest sequence applied
	appliedMask uint64 // those below, bit i for appliedHigh-i
	ackPending  bool   // an acknowledgement or snapshots are to be sent
	// snapshotQueue are the customers whose snapshots are to be sent, each once.
	snapshotQueue  []control.CustomerID
	snapshotQueued map[control.CustomerID]bool

	// Deltas to it, for accounts that it owns.
	dirty        []*Account // with something to report, oldest first
	lastSeq      uint64
	unacked      []*unackedDelta
	unackedSince time.Duration // since when it owes an acknowledgement
	grantVersion uint64        // of the last message whose grants were taken

	observationsSent int // how many of the host's were sent, or left out
}

// unackedDelta are the deltas of one message that waits for its acknowledgement.
type unackedDelta struct {
	seq         uint64
	firstSentAt time.Duration
	sentAt      time.Duration
	resends     int
	deltas      []Delta
	allowance   map[control.CustomerID]float64 // units of the deltas that were taken from the allowance
}

// isRetired tells whether an epoch has ended.
func (p *peer) isRetired(epoch uint32) bool { return slices.Contains(p.retiredEpochs, epoch) }

// beginEpoch starts the peer's next epoch. Its sequences and versions begin anew.
func (p *peer) beginEpoch(epoch uint32) {
	if p.epoch != 0 {
		p.retiredEpochs = append(p.retiredEpochs, p.epoch)
		p.retiredEpochs = p.retiredEpochs[max(0, len(p.retiredEpochs)-maxRetiredEpochs):]
	}
	p.epoch, p.appliedHigh, p.appliedMask, p.grantVersion = epoch, 0, 0, 0
}

// recordApplied notes a sequence, and tells whether it comes for the first time. One too old for the window counts as applied.
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

// resendAt is when the oldest unacknowledged delta is to be sent again.
func (p *peer) resendAt() time.Duration {
	oldest := p.unacked[0]
	return oldest.sentAt + (resendAfter+p.interval)<<oldest.resends
}
