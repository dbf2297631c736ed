package simulation

import (
	"time"

	"clovergap/internal/failpoint"
)

// retransmission is what a connection's kernel repeats while acknowledgements do not come back: the first segment that is not
// acknowledged, later and later (failpoint.NextRetransmission). What is written later follows once an
// acknowledgement has come.
type retransmission struct {
	firstUnacked time.Duration // when the first segment without an acknowledgement was sent, 0: all are acknowledged
	lastUnacked  time.Duration // when a segment was last known to get no acknowledgement
}

// unacknowledged records that a segment is sent now and gets no acknowledgement.
func (r *retransmission) unacknowledged(now time.Duration) {
	if r.firstUnacked == 0 {
		r.firstUnacked = now
	}
	r.lastUnacked = now
}

// resumesAt returns when a segment that is written now gets through, though acknowledgements come back again: at the first
// repetition since they do.
func (r *retransmission) resumesAt(now time.Duration) time.Duration {
	if r.firstUnacked == 0 {
		return now
	}
	repetition := failpoint.NextRetransmission(r.firstUnacked, r.lastUnacked)
	if repetition <= now {
		r.firstUnacked = 0
		return now
	}
	return repetition
}
