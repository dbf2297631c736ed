package outlier

import (
	"time"
)

// Constants for the gaps between the answers of a zone's backends.
const (
	// A gap of up to this multiple of the smoothed gap is tolerated.
	gapFactor = 8
	// The lower bound of the tolerance.
	minGap = 300 * time.Millisecond
	// The upper bound of the tolerance, and of a gap in the average.
	maxGap = 3 * time.Second
	// The weight of a new gap in the exponential moving average.
	gapSmoothing = 0.05
)

// zonePath determines from the gaps between answers whether the backends of a zone are reachable.
type zonePath struct {
	lastAnswerAt time.Duration
	// The exponential moving average of the gap between two answers, in seconds.
	smoothedGap float64
	// No gap has exceeded the tolerance since this time.
	steadySince time.Duration
}

// newZonePath returns a zonePath that starts with the longest tolerance.
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

// wasIntact reports whether the zone's answers have arrived without a long gap in the time between from and now. They must have arrived so
// frequently that a partition for half of that time would have been noticed. intact returns false for a nil zonePath.
func (z *zonePath) wasIntact(from, now time.Duration) bool {
	return z != nil && z.steadySince <= from && z.lastAnswerAt > from && now-z.lastAnswerAt <= z.gapTolerance() && z.gapTolerance() <= max((now-from)/2, minGap)
}
