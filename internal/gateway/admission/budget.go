package admission

import "time"

// Shares of what the rule on further tries allows that this node takes of it. A token lives for one window at
// the most, so what goes out in any window was earned in that one or the one before: from requests at most 2
// x earnShare x ratio of the larger of the two, by the drip at most 2 x dripShare x extra, over all nodes. No
// node needs a word of another for that, and one that starts again, with nothing, has earned less.
const (
	earnShare   = 0.5
	dripShare   = 0.4
	budgetParts = 10 // of a window, by which tokens grow old
)

// budget holds the tokens for arrivals at one service after the first of each request.
type budget struct {
	window    time.Duration
	tokens    [budgetParts]float64 // tokens by the part of a window in which they were earned
	part      int64                // of the present part
	updatedAt time.Duration
}

// advance brings the budget up to now. The drip is in tokens a window.
func (b *budget) advance(now time.Duration, drip float64) {
	part := b.window / budgetParts
	for end := time.Duration(b.part+1) * part; now >= end; end += part {
		if now-end > b.window { // long idle: all of it is too old
			b.tokens, b.part, b.updatedAt = [budgetParts]float64{}, int64((now-b.window)/part), (now-b.window)/part*part
			end = time.Duration(b.part) * part
			continue
		}
		b.tokens[b.part%budgetParts] += drip * float64(end-b.updatedAt) / float64(b.window)
		b.part, b.updatedAt = b.part+1, end
		b.tokens[b.part%budgetParts] = 0
	}
	b.tokens[b.part%budgetParts] += drip * float64(now-b.updatedAt) / float64(b.window)
	b.updatedAt = now
}

// earn adds what a first arrival at the service earns.
func (b *budget) earn(tokens float64) { b.tokens[b.part%budgetParts] += tokens }

func (b *budget) available() (sum float64) {
	for _, n := range b.tokens {
		sum += n
	}
	return sum
}

// take takes one token, the oldest first.
func (b *budget) take() bool {
	if b.available() < 1 {
		return false
	}
	need := 1.0
	for i := int64(1); i <= budgetParts && need > 0; i++ {
		n := &b.tokens[(b.part+i)%budgetParts]
		take := min(*n, need)
		*n, need = *n-take, need-take
	}
	return true
}
