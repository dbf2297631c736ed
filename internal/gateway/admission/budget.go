package admission

import "time"

// Each retry uses one token. A token expires after one window (Config.RetryWindow) at the latest. So a retry in any window uses a token that was
// deposited in that window or in the window before. Over all nodes, the retries of a window are at most
// 2 x depositShare x ratio x (requests in the window with more requests of the two) + 2 x refillShare x allowance. ratio is Config.RetryRatio and
// allowance is Config.RetryAllowance. The nodes keep this bound without any messages. A restarted node begins without tokens, so it stays below
// the bound.
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

// advance sets the time of the budget to now. It deposits the refill for the time that has passed and drops tokens older than a window. refill is in
// tokens per window.
func (r *retryBudget) advance(now time.Duration, refill float64) {
	sliceLength := r.window / windowSlices
	for end := time.Duration(r.slice+1) * sliceLength; now >= end; end += sliceLength {
		if now-end > r.window { // idle for longer than a window: all tokens have expired
			r.tokens = [windowSlices]float64{}
			r.slice, r.updatedAt = int64((now-r.window)/sliceLength), (now-r.window)/sliceLength*sliceLength
			end = time.Duration(r.slice) * sliceLength
			continue
		}
		r.tokens[r.slice%windowSlices] += refill * float64(end-r.updatedAt) / float64(r.window)
		r.slice, r.updatedAt = r.slice+1, end
		r.tokens[r.slice%windowSlices] = 0
	}
	r.tokens[r.slice%windowSlices] += refill * float64(now-r.updatedAt) / float64(r.window)
	r.updatedAt = now
}

// deposit adds tokens.
func (r *retryBudget) depositTokens(tokens float64) { r.tokens[r.slice%windowSlices] += tokens }

// available returns the number of tokens.
func (r *retryBudget) availableTokens() (sum float64) {
	for _, n := range r.tokens {
		sum += n
	}
	return sum
}

// withdraw takes one token, the oldest first. It returns false if there is less than one token.
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
