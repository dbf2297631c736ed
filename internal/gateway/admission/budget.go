package admission

import "time"

// A token lives for one window at the most, so what is sent again in any window was earned in that one or the one before: by requests
// at most 2 x earnShare x ratio of the larger of the two, by the drip at most 2 x dripShare x allowance over all nodes. No node needs to
// hear from another for that, and one that has started again has earned less.
const (
	// earnShare of the configured ratio is earned by a request.
	earnShare = 0.5
	// dripShare of a node's part of the configured allowance is earned in a window.
	dripShare = 0.4
	// budgetParts of a window are told apart, by which tokens grow old.
	budgetParts = 10
)

// budget holds the tokens for retries at one service.
type budget struct {
	window    time.Duration
	tokens    [budgetParts]float64 // by the part in which they were earned
	part      int64                // number of the present part
	updatedAt time.Duration
}

func newBudget(window, now time.Duration) *budget {
	return &budget{window: window, updatedAt: now, part: int64(now / (window / budgetParts))}
}

// advance brings the budget up to now; the drip is in tokens a window.
func (b *budget) advance(now time.Duration, drip float64) {
	length := b.window / budgetParts
	for end := time.Duration(b.part+1) * length; now >= end; end += length {
		if now-end > b.window { // long idle: all tokens are too old
			b.tokens = [budgetParts]float64{}
			b.part, b.updatedAt = int64((now-b.window)/length), (now-b.window)/length*length
			end = time.Duration(b.part) * length
			continue
		}
		b.tokens[b.part%budgetParts] += drip * float64(end-b.updatedAt) / float64(b.window)
		b.part, b.updatedAt = b.part+1, end
		b.tokens[b.part%budgetParts] = 0
	}
	b.tokens[b.part%budgetParts] += drip * float64(now-b.updatedAt) / float64(b.window)
	b.updatedAt = now
}

// earn adds tokens.
func (b *budget) earn(tokens float64) { b.tokens[b.part%budgetParts] += tokens }

// available sums up the tokens.
func (b *budget) available() (sum float64) {
	for _, n := range b.tokens {
		sum += n
	}
	return sum
}

// take takes one token, the oldest first; false: there is none.
func (b *budget) take() bool {
	if b.available() < 1 {
		return false
	}
	need := 1.0
	for i := int64(1); i <= budgetParts && need > 0; i++ {
		tokens := &b.tokens[(b.part+i)%budgetParts]
		taken := min(*tokens, need)
		*tokens, need = *tokens-taken, need-taken
	}
	return true
}
