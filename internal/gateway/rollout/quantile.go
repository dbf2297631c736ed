package rollout

import "math"

// quantileEstimate estimates a quantile of the baseline's latency on one route. A latency above the estimate raises the estimate. Any other
// latency lowers the estimate. Both changes are weighted so that the estimate converges to the quantile.
type quantileEstimate struct {
	seconds float64 // current estimate
	samples int     // number of observed responses
}

const (
	minQuantileSamples = 20   // number of responses needed before the estimate is used
	minQuantileStep    = 0.04 // smallest relative step of the estimate before it is weighted; the first steps are larger
	maxQuantileRoutes  = 512  // maximum number of routes with an estimate; latencies of further routes are not compared
	// latencySlack is the additional latency in seconds that is always tolerated. A backend in another zone or a new connection can cause it.
	latencySlack = 0.010
)

// observe updates the estimate with the latency of a response in seconds. The quantile is between 0 and 1.
func (q *quantileEstimate) observe(latency, quantile float64) {
	if q.samples++; q.samples == 1 {
		q.seconds = latency
		return
	}
	step := max(minQuantileStep, 1/math.Sqrt(float64(q.samples)))
	if latency > q.seconds {
		q.seconds *= math.Exp(step * quantile)
	} else {
		q.seconds *= math.Exp(-step * (1 - quantile))
	}
}
