package outlier

import (
	"time"
)

// Constants for the gaps between the answers of a zone's backends. A gap is the time between two successive answers.
const (
	// A gap is normal up to this multiple of the average gap.
	gapFactor = 8
	// The lower bound of gapTolerance.
	minGap = 300 * time.Millisecond
	// The upper bound of gapTolerance. A longer gap enters the average as a gap of this duration.
	maxGap = 3 * time.Second
	// The weight of a new gap in the exponential moving average.
	gapSmoothing = 0.05
)

// zonePath determines from the gaps between answers whether this node's network path to the backends of a zone works.
type zonePath struct {
	lastAnswerAt time.Duration
	// The exponential moving average of the gap between two answers, in seconds.
	smoothedGap float64
	// The end of the last gap that exceeded gapTolerance. Initially the time at which the zonePath was created.
	steadySince time.Duration
}

// newZonePath returns a zonePath whose gapTolerance is maxGap.
func newZonePath(now time.Duration) *zonePath {
	return &zonePath{lastAnswerAt: now, steadySince: now, smoothedGap: maxGap.Seconds() / gapFactor}
}

// gapTolerance returns the longest gap between two answers that is considered normal.
func (z *zonePath) gapTolerance() time.Duration {
	return min(max(time.Duration(gapFactor*z.smoothedGap*float64(time.Second)), minGap), maxGap)
}

// observeAnswer records an answer of one of the zone's backends.
func (z *zonePath) observeAnswer(now time.Duration) {
	if now-z.lastAnswerAt > z.gapTolerance() {
		z.steadySince = now
	}
	z.smoothedGap += gapSmoothing * (min(now-z.lastAnswerAt, maxGap).Seconds() - z.smoothedGap)
	z.lastAnswerAt = now
}

// wasIntact reports whether the zone's answers arrived without a gap above gapTolerance between the times from and now. If the answers are so
// rare that a partition for half of the time between from and now would not cause a gap above gapTolerance, the result is false. For a nil
// zonePath the result is false.
func (z *zonePath) wasIntact(from, now time.Duration) bool {
	return z != nil && z.steadySince <= from && z.lastAnswerAt > from && now-z.lastAnswerAt <= z.gapTolerance() && z.gapTolerance() <= max((now-from)/2, minGap)
}
