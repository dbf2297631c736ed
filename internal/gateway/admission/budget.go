package admission

import "time"

// Shares of what the rule on further tries allows that this node takes of it. A token lives for one window at
// the most, so what goes out in any window was earned in that one or the one before: from requests at most 2
// x earnPart x ratio of the larger of the two, by the drip at most 2 x dripPart x extra, over all nodes. No
// node needs a word of another for that, and one that starts again, with nothing, has earned less.
const (
	earnPart = 0.5
	dripPart = 0.4
	parts    = 10 // of a window, by which tokens grow old
)

// budget holds the tokens for arrivals at one service after the first of each request.
type budget struct {
	window time.Duration
	slot   [parts]float64 // tokens by the part of a window in which they were earned
	nr     int64          // of the present part
	at     time.Duration
}

// turn brings the budget up to now. The drip is in tokens a window.
func (b *budget) turn(now time.Duration, drip float64) {
	part := b.window / parts
	for end := time.Duration(b.nr+1) * part; now >= end; end += part {
		if now-end > b.window { // long idle: all of it is too old
			b.slot, b.nr, b.at = [parts]float64{}, int64((now-b.window)/part), (now-b.window)/part*part
			end = time.Duration(b.nr) * part
			continue
		}
		b.slot[b.nr%parts] += drip * float64(end-b.at) / float64(b.window)
		b.nr, b.at = b.nr+1, end
		b.slot[b.nr%parts] = 0
	}
	b.slot[b.nr%parts] += drip * float64(now-b.at) / float64(b.window)
	b.at = now
}

// earn adds what a first arrival at the service earns.
func (b *budget) earn(tokens float64) { b.slot[b.nr%parts] += tokens }

func (b *budget) held() (sum float64) {
	for _, n := range b.slot {
		sum += n
	}
	return sum
}

// spend takes one token, the oldest first.
func (b *budget) spend() bool {
	if b.held() < 1 {
		return false
	}
	need := 1.0
	for i := int64(1); i <= parts && need > 0; i++ {
		n := &b.slot[(b.nr+i)%parts]
		take := min(*n, need)
		*n, need = *n-take, need-take
	}
	return true
}
