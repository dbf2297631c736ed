package failpoint

import "time"

// RetransmitDelay is the time after which a kernel repeats a segment for the first time.
const RetransmitDelay = 200 * time.Millisecond

// NextRetransmission returns when a kernel repeats a segment for the first time after a moment: RetransmitDelay after the segment was sent, and then
// each time after twice as long. All times are on one clock.
func NextRetransmission(sent, after time.Duration) time.Duration {
	repetition := sent
	for delay := RetransmitDelay; repetition <= after; delay *= 2 {
		repetition += delay
	}
	return repetition
}
