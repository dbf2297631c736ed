package rollout

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// Kind of request.
type Kind uint8

// Reads may run more than once, writes at most once.
const (
	Read Kind = iota
	Write
)

// Cause is how a first submission ended.
type Cause uint8

// A 4xx is the service's own word and Fine.
const (
	Success         Cause = iota
	ServerError           // "5xx": an answer of 5xx
	NoResponse            // "none": time-out, reset, no connection
	InvalidResponse       // "wrong": an answer that is not ours, such as bytes without a seal
	Rejected              // "full": turned away unseen
	causeCount
)

var causeNames = [causeCount]string{"", "5xx", "none", "wrong", "full"}

// Outcome is the one end of a request's first submission. Further tries are not told: they go only where the first
// one failed. Nor is what ended by this node's own doing.
type Outcome struct {
	Side      Side
	Kind      Kind
	Route     uint32 // the route, by a number of this node's: each has its own usual time
	Tenant    uint32 // alike at every node
	Backend   uint64 // alike at every node, not 0
	Cause     Cause
	Latency   time.Duration // from its sending to the whole answer
	WarmingUp bool          // the backend is still slow from its start: how long it took says nothing
}

// LatencyBuckets of a Tally's times: bucket i ends at 2^(i/2) milliseconds, the last one nowhere.
const LatencyBuckets = 26

// Tally is what ended on one side, of one kind.
type Tally struct {
	Ends  uint32
	By    [causeCount]uint32     // by Cause
	Times [LatencyBuckets]uint32 // answers of warm backends
}

// Counts are of one step: by Side and Kind.
type Counts [2][2]Tally

// Add sums.
func (c *Counts) Add(o *Counts) {
	for s := range c {
		for k := range c[s] {
			t, u := &c[s][k], &o[s][k]
			t.Ends += u.Ends
			for i := range t.By {
				t.By[i] += u.By[i]
			}
			for i := range t.Times {
				t.Times[i] += u.Times[i]
			}
		}
	}
}

// Quantile is the upper bound of the time that a part of the answers (0 to 1) had; 0 without any.
func (t *Tally) Quantile(part float64) time.Duration {
	sum, left := uint32(0), 0.0
	for _, n := range t.Times {
		sum += n
	}
	left = part * float64(sum)
	for i, n := range t.Times {
		if left -= float64(n); n > 0 && left <= 0 {
			return time.Duration(math.Pow(2, float64(i)/2) * float64(time.Millisecond))
		}
	}
	return 0
}

// What is tested: failing ends by kind over all and by group of tenants, and slow answers by kind.
const (
	tenantGroups = 16 // of tenants, by hash
	failureTests = 1 + tenantGroups
	latencyTests = 2 * failureTests
	testCount    = latencyTests + 2
	ratioCount   = 4
	windowCount  = 2 // evidence since the step began, and of the present lap
	maxBackends  = 32
)

// failureRatios are how many times as often the new version may fail: the test bets on each of them.
var failureRatios = [ratioCount]float64{1.4, 2.2, 6, 40}

type logWealth [testCount][ratioCount]float64

// evidence against the new version, in nats, for each window; and the part of it that rests on one backend's
// failures.
type evidence struct {
	total      [windowCount]logWealth
	perBackend map[uint64]*[windowCount]logWealth
}

// Ends are put together for a span before they are weighed: a short one where the new version has enough of
// them. One failing end among few weighs little, however sure the bet.
const (
	shortSpan         = 500 * time.Millisecond
	longSpan          = 4 * shortSpan
	shortSpanOutcomes = 10 // of the new version
)

// span counts the ends of one span at one node. These are compared with each other only: what befalls both
// sides, in this span and at this node, cancels.
type span struct {
	outcomes, failures [2][testCount]uint32 // ends and bad ones
	perBackend         map[uint64]*[testCount]uint32
}

// add weighs a span. Given how many were bad on both sides together, each of them was on the new side with
// chance n1/(n0+n1) if the versions are alike; the bet on theta multiplies by c1 for one on the new side, by
// c0 for one on the old, and its mean is at most 1. Extra bad ends are borne at the rate given: their mean
// effect is taken off. See the note for why the product never grows by chance.
func (e *evidence) add(s *span, extra func(test int) float64) {
	for t := range testCount {
		n0, n1 := float64(s.outcomes[Baseline][t]), float64(s.outcomes[Canary][t])
		if n0 == 0 || n1 == 0 {
			continue
		}
		x0, x1, borne := float64(s.failures[Baseline][t]), float64(s.failures[Canary][t]), n1*extra(t)
		for i, th := range failureRatios {
			c0 := (n0 + n1) / (th*n1 + n0)
			gain := math.Log(th * c0)
			d := x1*gain + x0*math.Log(c0) - borne*(th*c0-1)
			for w := range e.total {
				e.total[w][t][i] += d
			}
			for b, x := range s.perBackend {
				if x[t] == 0 {
					continue
				}
				v := e.perBackend[b]
				if v == nil {
					v = new([windowCount]logWealth)
					e.perBackend[b] = v
				}
				for w := range v {
					v[w][t][i] += float64(x[t]) * gain
				}
			}
		}
	}
}

// resetWindow forgets one window.
func (e *evidence) resetWindow(w int) {
	e.total[w] = logWealth{}
	for _, v := range e.perBackend {
		v[w] = logWealth{}
	}
}

// evidencePerNat of packed evidence, in parts of a nat. It is rounded against a pull-back.
const evidencePerNat = 64

// encode writes evidence: for each line its test and window, the backend (0: all), the bets.
func (e *evidence) encode() []byte {
	var b []byte
	put := func(back uint64, w, t int, v *[ratioCount]float64, round func(float64) float64) {
		if *v == ([ratioCount]float64{}) {
			return
		}
		b = binary.AppendUvarint(append(b, byte(t<<1|w)), back)
		for _, x := range v {
			b = binary.AppendVarint(b, int64(round(x*evidencePerNat)))
		}
	}
	for w := range windowCount {
		for t := range testCount {
			put(0, w, t, &e.total[w][t], math.Floor)
			for back, v := range e.perBackend {
				put(back, w, t, &v[w][t], math.Ceil)
			}
		}
	}
	return b
}

// decodeEvidence reads it.
func decodeEvidence(b []byte) (*evidence, error) {
	e := &evidence{perBackend: map[uint64]*[windowCount]logWealth{}}
	for len(b) > 0 {
		w, t := int(b[0]&1), int(b[0]>>1)
		back, n := binary.Uvarint(b[1:])
		if n <= 0 || t >= testCount {
			return nil, errors.New("evidence: broken line")
		}
		b = b[1+n:]
		to := &e.total[w][t]
		if back != 0 {
			v := e.perBackend[back]
			if v == nil {
				if len(e.perBackend) >= maxBackends {
					return nil, errors.New("evidence: too many backends")
				}
				v = new([windowCount]logWealth)
				e.perBackend[back] = v
			}
			to = &v[w][t]
		}
		for i := range to {
			x, n := binary.Varint(b)
			if n <= 0 {
				return nil, errors.New("evidence: cut short")
			}
			to[i], b = float64(x)/evidencePerNat, b[n:]
		}
	}
	return e, nil
}

// quantileEstimate is the old version's time at the quantile, for one route: it moves up with each answer above it and
// down with each below, so that it settles where the parts are right.
type quantileEstimate struct {
	seconds float64 // seconds
	samples int
}

const (
	minQuantileSamples = 20   // answers before it is used
	minQuantileStep    = 0.04 // a longer one to begin with
	maxQuantileRoutes  = 512
	latencySlack       = 0.010 // seconds that are borne in any case: another zone, a new connection
)

func (q *quantileEstimate) observe(took, quantile float64) {
	if q.samples++; q.samples == 1 {
		q.seconds = took
		return
	}
	step := max(minQuantileStep, 1/math.Sqrt(float64(q.samples)))
	if took > q.seconds {
		q.seconds *= math.Exp(step * quantile)
	} else {
		q.seconds *= math.Exp(-step * (1 - quantile))
	}
}

// stepCounter is what one node knows of one running step.
type stepCounter struct {
	criteria       FailureCriteria
	countedCauses  [causeCount]bool
	counts         Counts
	span           span
	spanStart      time.Duration
	evidence       evidence
	latencyByRoute map[uint32]*quantileEstimate
	canaryBackends map[uint64]struct{} // of the new version, seen at work
	changed        bool
}

func newStepCounter(f FailureCriteria, now time.Duration) *stepCounter {
	c := &stepCounter{criteria: f, spanStart: now, latencyByRoute: map[uint32]*quantileEstimate{}, canaryBackends: map[uint64]struct{}{}}
	c.evidence.perBackend, c.span.perBackend = map[uint64]*[windowCount]logWealth{}, map[uint64]*[testCount]uint32{}
	for i := range causeNames {
		for _, n := range f.Causes {
			c.countedCauses[i] = c.countedCauses[i] || n == causeNames[i]
		}
	}
	return c
}

// record takes an end.
func (s *stepCounter) record(e Outcome) {
	t := &s.counts[e.Side][e.Kind]
	t.Ends++
	t.By[e.Cause]++
	s.changed = true
	if e.Side == Canary && len(s.canaryBackends) < maxBackends {
		s.canaryBackends[e.Backend] = struct{}{}
	}
	bad := s.countedCauses[e.Cause]
	base := int(e.Kind) * failureTests
	s.recordTest(e, base, bad)
	s.recordTest(e, base+1+int(mixBits(uint64(e.Tenant))%tenantGroups), bad)
	if e.Cause != Success || e.WarmingUp {
		return
	}
	took := e.Latency.Seconds()
	t.Times[min(max(int(math.Ceil(2*math.Log2(took*1000))), 0), LatencyBuckets-1)]++
	l := s.latencyByRoute[e.Route]
	if l == nil {
		if len(s.latencyByRoute) >= maxQuantileRoutes {
			return
		}
		l = &quantileEstimate{}
		s.latencyByRoute[e.Route] = l
	}
	if l.samples >= minQuantileSamples {
		most := l.seconds + latencySlack
		if e.Side == Canary {
			most = l.seconds*float64(s.criteria.Slower)/100 + latencySlack
		}
		s.recordTest(e, latencyTests+int(e.Kind), took > most)
	}
	if e.Side == Baseline { // after its own comparison: the limit must not know what is compared with it
		l.observe(took, float64(s.criteria.Quantile)/FullShare)
	}
}

func (s *stepCounter) recordTest(e Outcome, test int, bad bool) {
	s.span.outcomes[e.Side][test]++
	if !bad {
		return
	}
	s.span.failures[e.Side][test]++
	if e.Side == Baseline {
		return
	}
	v := s.span.perBackend[e.Backend]
	if v == nil {
		if _, old := s.evidence.perBackend[e.Backend]; !old && len(s.evidence.perBackend)+len(s.span.perBackend) >= maxBackends {
			return // beyond the bound a backend can't be left out
		}
		v = new([testCount]uint32)
		s.span.perBackend[e.Backend] = v
	}
	v[test]++
}

// closeSpan ends a span and weighs it.
func (s *stepCounter) closeSpan(now time.Duration) {
	s.evidence.add(&s.span, func(t int) float64 {
		if t >= latencyTests {
			return toleratedSlowRate
		}
		return float64(s.criteria.Extra) / FullShare
	})
	s.span.outcomes, s.span.failures = [2][testCount]uint32{}, [2][testCount]uint32{}
	clear(s.span.perBackend)
	s.spanStart = now
}

// spanEnd is when the span ends.
func (s *stepCounter) spanEnd() time.Duration {
	if n := &s.span.outcomes[Canary]; n[0]+n[failureTests] < shortSpanOutcomes {
		return s.spanStart + longSpan
	}
	return s.spanStart + shortSpan
}

// toleratedSlowRate of the answers may be slow beyond what the order bears.
const toleratedSlowRate = 0.01
