package rollout

import "math"

// quantileEstimate estimates a quantile of the baseline's latency on one route. A latency above the estimate raises the estimate. Any other
// latency lowers the estimate. The steps are weighted so that the estimate converges to the quantile.
type quantileEstimate struct {
	seconds float64
	samples int
}

const (
	minQuantileSamples = 20   // responses needed before the estimate is used
	minQuantileStep    = 0.04 // relative step; the first steps are larger
	maxQuantileRoutes  = 512
	latencySlack       = 0.010 // seconds that are always tolerated, for a backend in another zone or a new connection
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
