package quota

import (
	"slices"
	"time"

	"clovergap/control"
)

// peer is another gateway.
type peer struct {
	id               control.GatewayID
	epoch            uint32 // its present life
	retiredEpochs    []uint32
	appliedHigh      uint64 // sequences of its deltas that are applied
	appliedMask      uint64
	lastSeq          uint64 // sequence of the last delta sent to it
	unacked          []*unackedDelta
	observationsSent int           // the last one told
	unackedSince     time.Duration // it owes an acknowledgement
	dirty            []*Account
	snapshotQueue    []control.CustomerID
	snapshotQueued   map[control.CustomerID]bool
	ackPending       bool
	pending          bool          // among those with something due
	interval         time.Duration // between messages to it, as it wishes
	sentAt           time.Duration
	receivedAt       time.Duration
	unreachableSince time.Duration // when the host last found it out of reach; nought: it is in reach
	grantVersion     uint64        // version of the last message whose grants were taken
}

// unackedDelta is a delta message that waits for its acknowledgement.
type unackedDelta struct {
	seq         uint64
	sentAt      time.Duration
	firstSentAt time.Duration // for the first time
	resends     int
	deltas      []Delta
	allowance   map[control.CustomerID]float64 // of their units, those spent on no word
}

// isRetired tells whether an epoch is of a life that has ended.
func (p *peer) isRetired(epoch uint32) bool { return slices.Contains(p.retiredEpochs, epoch) }

// beginEpoch starts the peer's next life.
func (p *peer) beginEpoch(epoch uint32) {
	if p.epoch != 0 {
		p.retiredEpochs = append(p.retiredEpochs, p.epoch)
		p.retiredEpochs = p.retiredEpochs[max(0, len(p.retiredEpochs)-8):]
	}
	p.epoch, p.appliedHigh, p.appliedMask, p.grantVersion = epoch, 0, 0, 0 // versions begin anew as well
}

// recordApplied tells whether a sequence comes for the first time, and notes it.
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
