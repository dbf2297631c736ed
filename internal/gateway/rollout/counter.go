package rollout

import "time"

// stepCounter holds the counts and evidence that one node has gathered in the current step of a roll-out.
type stepCounter struct {
	criteria       FailureCriteria
	failureCauses  [causeCount]bool // causes that the criteria count as failures
	counts         Counts
	span           span // outcomes that are not yet part of the evidence
	spanStart      time.Duration
	evidence       evidence
	latencyByRoute map[uint32]*quantileEstimate // latency quantile of the baseline, by Outcome.Route
	canaryBackends map[uint64]struct{}          // backends of the canary with at least one outcome, up to maxBackends
	changed        bool                         // outcomes were recorded after the last evaluation
}

// newStepCounter returns a counter without outcomes. The first span of the counter starts now.
func newStepCounter(criteria FailureCriteria, now time.Duration) *stepCounter {
	s := &stepCounter{criteria: criteria, spanStart: now, evidence: newEvidence(), span: span{perBackend: map[uint64]*[testCount]uint32{}},
		latencyByRoute: map[uint32]*quantileEstimate{}, canaryBackends: map[uint64]struct{}{}}
	for cause := range causeNames {
		for _, name := range criteria.Causes {
			s.failureCauses[cause] = s.failureCauses[cause] || name == causeNames[cause]
		}
	}
	return s
}

// record counts an outcome in the tallies, in the failure test of all users and in the failure test of the tenant's group. It also records
// the latency of a successful response, unless the backend is warming up.
func (s *stepCounter) record(o Outcome) {
	tally := &s.counts[o.Side][o.Kind]
	tally.record(o.Cause)
	s.changed = true
	if o.Side == Canary && len(s.canaryBackends) < maxBackends {
		s.canaryBackends[o.Backend] = struct{}{}
	}
	failed := s.failureCauses[o.Cause]
	overall := int(o.Kind) * failureTests
	s.recordTest(o, overall, failed)
	s.recordTest(o, overall+1+int(mixBits(uint64(o.Tenant))%tenantGroups), failed)
	if o.Cause != Success || o.WarmingUp {
		return
	}
	tally.recordLatency(o.Latency)
	s.recordLatency(o)
}

// recordLatency counts a response in the test of slow responses. A response is slow if its latency exceeds a limit that depends on the
// estimated latency quantile of the baseline on the same route. A response of the baseline then updates this estimate. recordLatency does
// not count responses on a route that has fewer than minQuantileSamples responses of the baseline.
func (s *stepCounter) recordLatency(o Outcome) {
	estimate := s.latencyByRoute[o.Route]
	if estimate == nil {
		if len(s.latencyByRoute) >= maxQuantileRoutes {
			return
		}
		estimate = &quantileEstimate{}
		s.latencyByRoute[o.Route] = estimate
	}
	latency := o.Latency.Seconds()
	if estimate.samples >= minQuantileSamples {
		limit := estimate.seconds + latencySlack
		if o.Side == Canary {
			limit = estimate.seconds*float64(s.criteria.Slower)/100 + latencySlack
		}
		s.recordTest(o, latencyTests+int(o.Kind), latency > limit)
	}
	// The estimate is updated after the comparison, because it must not depend on the response that is compared with it.
	if o.Side == Baseline {
		estimate.observe(latency, float64(s.criteria.Quantile)/FullShare)
	}
}

// recordTest counts an outcome for one test in the current span. It also counts failures of the canary by backend.
func (s *stepCounter) recordTest(o Outcome, test int, failed bool) {
	s.span.outcomes[o.Side][test]++
	if !failed {
		return
	}
	s.span.failures[o.Side][test]++
	if o.Side == Baseline {
		return
	}
	failures := s.span.perBackend[o.Backend]
	if failures == nil {
		if _, known := s.evidence.perBackend[o.Backend]; !known && len(s.evidence.perBackend)+len(s.span.perBackend) >= maxBackends {
			// Failures of backends above the limit are not counted by backend. evaluate therefore cannot exclude them.
			return
		}
		failures = new([testCount]uint32)
		s.span.perBackend[o.Backend] = failures
	}
	failures[test]++
}

// toleratedSlowRate is the fraction of the canary's responses that may exceed the tolerated latency in addition to those that would
// exceed it on the baseline.
const toleratedSlowRate = 0.01

// closeSpan adds the current span to the evidence and starts the next span.
func (s *stepCounter) closeSpan(now time.Duration) {
	s.evidence.addSpan(&s.span, func(test int) float64 {
		if test >= latencyTests {
			return toleratedSlowRate
		}
		return float64(s.criteria.Extra) / FullShare
	})
	s.span.reset()
	s.spanStart = now
}

// spanEnd returns the time at which the current span ends. A span with few outcomes of the canary lasts longer.
func (s *stepCounter) spanEnd() time.Duration {
	if n := &s.span.outcomes[Canary]; n[0]+n[failureTests] < shortSpanOutcomes {
		return s.spanStart + longSpan
	}
	return s.spanStart + shortSpan
}
