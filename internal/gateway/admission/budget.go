package admission

import "time"

// Each retry after an attempt uses one token. A token expires one window (Config.RetryWindow) after its deposit at the latest. So a retry in any
// window uses a token that was deposited in that window or in the window before it. Over all nodes, the number of retries in a window is at most
// 2 x depositShare x ratio x (requests in the window with more requests of the two) + 2 x refillShare x allowance. ratio is Config.RetryRatio and
// allowance is Config.RetryAllowance. The nodes keep this bound without exchanging messages. A node starts without tokens, so that a restart does
// not exceed the bound.
const (
	// depositShare is the share of Config.RetryRatio that each request deposits, in tokens, at its first submission.
	depositShare = 0.5
	// refillShare is the share of a node's part of Config.RetryAllowance that is deposited over a window.
	refillShare = 0.4
	// windowSlices is the number of slices into which a window is divided. Tokens are counted by the slice in which they were deposited.
	windowSlices = 10
)

// retryBudget holds the tokens for retries at one service.
type retryBudget struct {
	window    time.Duration
	tokens    [windowSlices]float64 // by slice number modulo windowSlices
	slice     int64                 // number of the present slice
	updatedAt time.Duration         // time up to which the refill was deposited
}

// newRetryBudget returns a budget without tokens.
func newRetryBudget(window, now time.Duration) *retryBudget {
	return &retryBudget{window: window, updatedAt: now, slice: int64(now / (window / windowSlices))}
}

// advance deposits the refill for the time since the last call and removes tokens older than a window. refillPerWindow is the number of tokens that
// are deposited over one window.
func (r *retryBudget) advance(now time.Duration, refillPerWindow float64) {
	sliceLength := r.window / windowSlices
	for end := time.Duration(r.slice+1) * sliceLength; now >= end; end += sliceLength {
		if now-end > r.window { // idle for longer than a window: all tokens have expired
			r.tokens = [windowSlices]float64{}
			r.slice, r.updatedAt = int64((now-r.window)/sliceLength), (now-r.window)/sliceLength*sliceLength
			end = time.Duration(r.slice) * sliceLength
			continue
		}
		r.tokens[r.slice%windowSlices] += refillPerWindow * float64(end-r.updatedAt) / float64(r.window)
		r.slice, r.updatedAt = r.slice+1, end
		r.tokens[r.slice%windowSlices] = 0
	}
	r.tokens[r.slice%windowSlices] += refillPerWindow * float64(now-r.updatedAt) / float64(r.window)
	r.updatedAt = now
}

// depositTokens adds tokens to the present slice.
func (r *retryBudget) depositTokens(tokens float64) { r.tokens[r.slice%windowSlices] += tokens }

// availableTokens returns the number of tokens that have not expired.
func (r *retryBudget) availableTokens() (sum float64) {
	for _, n := range r.tokens {
		sum += n
	}
	return sum
}

// withdrawToken removes one token in total, from the oldest slices first. It returns false if there is less than one token.
func (r *retryBudget) withdrawToken() bool {
	if r.availableTokens() < 1 {
		return false
	}
	need := 1.0
	for i := int64(1); i <= windowSlices && need > 0; i++ {
		tokens := &r.tokens[(r.slice+i)%windowSlices]
		taken := min(*tokens, need)
		*tokens, need = *tokens-taken, need-taken
	}
	return true
}
