package rollout

import "math"

// quantileEstimate follows a quantile of the baseline's latency on one route: it moves up with each answer above it and down with
// each below, so that it settles where the parts are right.
type quantileEstimate struct {
	seconds float64
	samples int
}

const (
	minQuantileSamples = 20   // answers before it is used
	minQuantileStep    = 0.04 // relative; a longer one to begin with
	maxQuantileRoutes  = 512
	latencySlack       = 0.010 // seconds that are tolerated in any case: another zone, a new connection
)

// observe takes an answer's latency in seconds; quantile is from 0 to 1.
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
