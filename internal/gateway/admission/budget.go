package admission

import "time"

// A token expires after one window at the latest. So a retry in any window uses a token that was deposited in that window or the one before.
// The retries of a window are at most 2 x depositShare x ratio x the requests of the larger of the two windows, plus 2 x refillShare x allowance
// over all nodes. The nodes keep this bound without any messages. A restarted node begins without tokens, so it stays below the bound.
const (
	// depositShare is the share of the configured ratio that each request deposits.
	depositShare = 0.5
	// refillShare is the share of a node's part of the configured allowance that is deposited over a window.
	refillShare = 0.4
	// windowSlices is the number of slices of a window by which the age of tokens is known.
	windowSlices = 10
)

// retryBudget holds the tokens for retries at one service.
type retryBudget struct {
	window    time.Duration
	tokens    [windowSlices]float64 // by the slice in which they were deposited
	slice     int64                 // number of the present slice
	updatedAt time.Duration
}

func newRetryBudget(window, now time.Duration) *retryBudget {
	return &retryBudget{window: window, updatedAt: now, slice: int64(now / (window / windowSlices))}
}

// advance brings the budget up to now: it deposits the refill, which is in tokens per window, and drops tokens older than a window.
func (b *retryBudget) advance(now time.Duration, refill float64) {
	sliceLength := b.window / windowSlices
	for end := time.Duration(b.slice+1) * sliceLength; now >= end; end += sliceLength {
		if now-end > b.window { // idle for longer than a window: all tokens have expired
			b.tokens = [windowSlices]float64{}
			b.slice, b.updatedAt = int64((now-b.window)/sliceLength), (now-b.window)/sliceLength*sliceLength
			end = time.Duration(b.slice) * sliceLength
			continue
		}
		b.tokens[b.slice%windowSlices] += refill * float64(end-b.updatedAt) / float64(b.window)
		b.slice, b.updatedAt = b.slice+1, end
		b.tokens[b.slice%windowSlices] = 0
	}
	b.tokens[b.slice%windowSlices] += refill * float64(now-b.updatedAt) / float64(b.window)
	b.updatedAt = now
}

// deposit adds tokens.
func (b *retryBudget) deposit(tokens float64) { b.tokens[b.slice%windowSlices] += tokens }

// available returns the number of tokens.
func (b *retryBudget) available() (sum float64) {
	for _, n := range b.tokens {
		sum += n
	}
	return sum
}

// tryWithdraw takes one token, the oldest first. It returns false if there is less than one token.
func (b *retryBudget) tryWithdraw() bool {
	if b.available() < 1 {
		return false
	}
	need := 1.0
	for i := int64(1); i <= windowSlices && need > 0; i++ {
		tokens := &b.tokens[(b.slice+i)%windowSlices]
		taken := min(*tokens, need)
		*tokens, need = *tokens-taken, need-taken
	}
	return true
}
