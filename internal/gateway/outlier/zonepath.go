package outlier

import (
	"time"
)

// Gaps between the answers of a zone's backends.
const (
	gapFactor    = 8 // so many times the usual gap are tolerated
	minGap       = 300 * time.Millisecond
	maxGap       = 3 * time.Second
	gapSmoothing = 0.05
)

// zonePath tells whether the backends of a zone are reachable, by the gaps between their answers.
type zonePath struct {
	lastAnswerAt time.Duration
	smoothedGap  float64       // between two answers, in seconds, smoothed
	steadySince  time.Duration // since then no gap was long
}

func newZonePath(now time.Duration) *zonePath {
	return &zonePath{lastAnswerAt: now, steadySince: now, smoothedGap: maxGap.Seconds() / gapFactor}
}

// tolerance is the longest gap that is none.
func (z *zonePath) tolerance() time.Duration {
	return min(max(time.Duration(gapFactor*z.smoothedGap*float64(time.Second)), minGap), maxGap)
}

// observeAnswer takes an answer of one of the zone's backends.
func (z *zonePath) observeAnswer(now time.Duration) {
	if now-z.lastAnswerAt > z.tolerance() {
		z.steadySince = now
	}
	z.smoothedGap += gapSmoothing * (min(now-z.lastAnswerAt, maxGap).Seconds() - z.smoothedGap)
	z.lastAnswerAt = now
}

// intact reports whether answers kept coming from a time on, so often that a partition half as long would show.
func (z *zonePath) intact(from, now time.Duration) bool {
	return z != nil && z.steadySince <= from && z.lastAnswerAt > from && now-z.lastAnswerAt <= z.tolerance() && z.tolerance() <= max((now-from)/2, minGap)
}
