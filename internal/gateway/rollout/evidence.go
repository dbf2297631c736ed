package rollout

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// Indexes of the tests that compare both versions in a step. For each kind of request, the first test compares the failures of all users,
// and the next tenantGroups tests compare the failures of one group of tenants each. The tests of slow responses, one for each kind of
// request, come last.
const (
	tenantGroups = 16 // a tenant's group is chosen by a hash
	failureTests = 1 + tenantGroups
	latencyTests = 2 * failureTests // index of the first latency test
	testCount    = latencyTests + 2
)

const (
	ratioCount  = 4  // number of failureRatios
	windowCount = 2  // number of windows: stepWindow and lapWindow
	maxBackends = 32 // maximum number of the canary's backends for which one node keeps separate evidence
)

// Windows over which evidence is added up.
const (
	stepWindow = iota // since the start of the step
	lapWindow         // since the start of the lap
)

// failureRatios are the assumed ratios of the canary's failure rate to the baseline's failure rate. Each test has one bet for each ratio.
var failureRatios = [ratioCount]float64{1.4, 2.2, 6, 40}

// logWealth is the natural logarithm of the wealth of each test's bets, by ratio. The initial wealth of each bet is 1 here. The
// function totalWealth multiplies the wealth by the actual stakes.
type logWealth [testCount][ratioCount]float64

// evidence is the evidence against the canary for each window. The evidence of a bet is ln(wealth/stake), the natural logarithm of the factor
// by which the bet's wealth has changed. Its unit is the nat: a value of 1 means that the wealth grew by the factor e. perBackend is the
// part of the evidence that comes from the failures of each backend.
type evidence struct {
	total      [windowCount]logWealth
	perBackend map[uint64]*[windowCount]logWealth
}

// newEvidence returns evidence without outcomes.
func newEvidence() evidence { return evidence{perBackend: map[uint64]*[windowCount]logWealth{}} }

// ensureBackend returns the part of the evidence that comes from the failures of a backend. It first adds an empty part if the backend has
// none.
func (e *evidence) ensureBackend(id uint64) *[windowCount]logWealth {
	wealth := e.perBackend[id]
	if wealth == nil {
		wealth = new([windowCount]logWealth)
		e.perBackend[id] = wealth
	}
	return wealth
}

// Outcomes are collected for a span before they are added to the evidence. The span is short if the canary has enough outcomes. If the
// canary has fewer outcomes, a longer span is needed, because one failure among few outcomes adds little evidence, whatever the ratio of
// the bet.
const (
	shortSpan         = 500 * time.Millisecond
	longSpan          = 4 * shortSpan
	shortSpanOutcomes = 10 // outcomes of the canary
)

// span counts the outcomes of one time span at one node. Outcomes are compared only with outcomes of the same span and node, so that a fault
// that affects both sides in this span at this node cancels out.
type span struct {
	outcomes, failures [2][testCount]uint32 // by Side and test
	perBackend         map[uint64]*[testCount]uint32
}

// reset removes all counts from the span.
func (s *span) reset() {
	s.outcomes, s.failures = [2][testCount]uint32{}, [2][testCount]uint32{}
	clear(s.perBackend)
}

// addSpan adds a span to the evidence. n0 is the number of outcomes of the baseline, and n1 is that of the canary. If the versions are
// equal, each failure is on the canary with probability n1/(n0+n1), given the number of failures on both sides. The wealth of the bet on
// a ratio (see the package comment) is multiplied by c1 = ratio*c0 for each failure of the canary and by c0 for each failure of the
// baseline. The expected factor is at most 1. toleratedRate returns the rate of additional failures that a test tolerates. The expected
// effect of these additional failures is subtracted. docs/rollouts.md explains why the product of the factors does not grow by chance.
func (e *evidence) addSpan(s *span, toleratedRate func(test int) float64) {
	for test := range testCount {
		n0, n1 := float64(s.outcomes[Baseline][test]), float64(s.outcomes[Canary][test])
		if n0 == 0 || n1 == 0 {
			continue
		}
		failed0, failed1, expected := float64(s.failures[Baseline][test]), float64(s.failures[Canary][test]), n1*toleratedRate(test)
		for i, ratio := range failureRatios {
			c0 := (n0 + n1) / (ratio*n1 + n0)
			gain := math.Log(ratio * c0)
			change := failed1*gain + failed0*math.Log(c0) - expected*(ratio*c0-1)
			for w := range e.total {
				e.total[w][test][i] += change
			}
			e.addBackendFailures(s, test, i, gain)
		}
	}
}

// addBackendFailures adds the failures of a test to the evidence of the backends on which they occurred.
func (e *evidence) addBackendFailures(s *span, test, ratio int, gain float64) {
	for id, failures := range s.perBackend {
		if failures[test] == 0 {
			continue
		}
		wealth := e.ensureBackend(id)
		for w := range wealth {
			wealth[w][test][ratio] += float64(failures[test]) * gain
		}
	}
}

// resetWindow removes the evidence of one window.
func (e *evidence) resetWindow(w int) {
	e.total[w] = logWealth{}
	for _, wealth := range e.perBackend {
		wealth[w] = logWealth{}
	}
}

// withoutWindow returns a copy of the evidence in which one window is empty.
func (e *evidence) withoutWindow(w int) *evidence {
	c := &evidence{total: e.total, perBackend: map[uint64]*[windowCount]logWealth{}}
	for id, wealth := range e.perBackend {
		copied := *wealth
		c.perBackend[id] = &copied
	}
	c.resetWindow(w)
	return c
}

// evidenceUnitsPerNat is the resolution of encoded evidence. Evidence of x nats (see the type evidence) is sent as the integer 64*x. The
// total is rounded down and the part of each backend is rounded up. Both directions make a rollback less likely.
const evidenceUnitsPerNat = 64

// encode returns the binary form of the evidence. The binary form has one record for each test and window with a value other than 0. A
// record is one byte with the test and the window, the backend as a varint (0 for the total) and the evidence of the bet on each ratio as
// a varint.
func (e *evidence) encode() []byte {
	var b []byte
	put := func(backend uint64, window, test int, wealth *[ratioCount]float64, round func(float64) float64) {
		if *wealth == ([ratioCount]float64{}) {
			return
		}
		b = binary.AppendUvarint(append(b, byte(test<<1|window)), backend)
		for _, nats := range wealth {
			b = binary.AppendVarint(b, int64(round(nats*evidenceUnitsPerNat)))
		}
	}
	for window := range windowCount {
		for test := range testCount {
			put(0, window, test, &e.total[window][test], math.Floor)
			for id, wealth := range e.perBackend {
				put(id, window, test, &wealth[window][test], math.Ceil)
			}
		}
	}
	return b
}

// Errors of decodeEvidence.
var (
	ErrMalformedEvidence = errors.New("decode evidence: malformed record header")
	ErrTruncatedEvidence = errors.New("decode evidence: truncated record")
	ErrTooManyBackends   = errors.New("decode evidence: too many backends")
)

// decodeEvidence decodes the result of evidence.encode.
func decodeEvidence(b []byte) (*evidence, error) {
	e := newEvidence()
	for len(b) > 0 {
		window, test := int(b[0]&1), int(b[0]>>1)
		id, n := binary.Uvarint(b[1:])
		if n <= 0 || test >= testCount {
			return nil, ErrMalformedEvidence
		}
		b = b[1+n:]
		wealth := &e.total[window][test]
		if id != 0 {
			if e.perBackend[id] == nil && len(e.perBackend) >= maxBackends {
				return nil, ErrTooManyBackends
			}
			wealth = &e.ensureBackend(id)[window][test]
		}
		for i := range wealth {
			nats, n := binary.Varint(b)
			if n <= 0 {
				return nil, ErrTruncatedEvidence
			}
			wealth[i], b = float64(nats)/evidenceUnitsPerNat, b[n:]
		}
	}
	return &e, nil
}
