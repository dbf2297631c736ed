package rollout

import "time"

// stepCounter is what one node knows of one running step.
type stepCounter struct {
	criteria       FailureCriteria
	countedCauses  [causeCount]bool // those that the criteria name
	counts         Counts
	span           span
	spanStart      time.Duration
	evidence       evidence
	latencyByRoute map[uint32]*quantileEstimate
	canaryBackends map[uint64]struct{} // seen at work
	changed        bool                // since it was last evaluated
}

func newStepCounter(criteria FailureCriteria, now time.Duration) *stepCounter {
	s := &stepCounter{criteria: criteria, spanStart: now, evidence: newEvidence(), span: span{perBackend: map[uint64]*[testCount]uint32{}},
		latencyByRoute: map[uint32]*quantileEstimate{}, canaryBackends: map[uint64]struct{}{}}
	for cause := range causeNames {
		for _, name := range criteria.Causes {
			s.countedCauses[cause] = s.countedCauses[cause] || name == causeNames[cause]
		}
	}
	return s
}

// record takes an outcome.
func (s *stepCounter) record(o Outcome) {
	tally := &s.counts[o.Side][o.Kind]
	tally.record(o.Cause)
	s.changed = true
	if o.Side == Canary && len(s.canaryBackends) < maxBackends {
		s.canaryBackends[o.Backend] = struct{}{}
	}
	failed := s.countedCauses[o.Cause]
	overall := int(o.Kind) * failureTests
	s.recordTest(o, overall, failed)
	s.recordTest(o, overall+1+int(mixBits(uint64(o.Tenant))%tenantGroups), failed)
	if o.Cause != Success || o.WarmingUp {
		return
	}
	tally.recordLatency(o.Latency)
	s.recordLatency(o)
}

// recordLatency compares an answer with the baseline's usual latency on its route.
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
	if o.Side == Baseline { // after its own comparison: the estimate must not know what is compared with it
		estimate.observe(latency, float64(s.criteria.Quantile)/FullShare)
	}
}

// recordTest counts an outcome for one test.
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
			return // beyond the bound a backend can't be left out of the evidence
		}
		failures = new([testCount]uint32)
		s.span.perBackend[o.Backend] = failures
	}
	failures[test]++
}

// toleratedSlowRate of the canary's answers may be slow beyond what the criteria tolerate.
const toleratedSlowRate = 0.01

// closeSpan weighs the present span and begins another.
func (s *stepCounter) closeSpan(now time.Duration) {
	s.evidence.add(&s.span, func(test int) float64 {
		if test >= latencyTests {
			return toleratedSlowRate
		}
		return float64(s.criteria.Extra) / FullShare
	})
	s.span.reset()
	s.spanStart = now
}

// spanEnd is when the present span ends.
func (s *stepCounter) spanEnd() time.Duration {
	if n := &s.span.outcomes[Canary]; n[0]+n[failureTests] < shortSpanOutcomes {
		return s.spanStart + longSpan
	}
	return s.spanStart + shortSpan
}
