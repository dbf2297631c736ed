package rollout

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// The tests that a step is under, each by its index: failures of each kind of request over all users and by group of tenants, then
// slow answers of each kind.
const (
	tenantGroups = 16 // by hash of the tenant
	failureTests = 1 + tenantGroups
	latencyTests = 2 * failureTests // the first of them
	testCount    = latencyTests + 2
)

const (
	ratioCount  = 4
	windowCount = 2
	maxBackends = 32 // of the canary, told apart in one node's evidence
)

// The windows of evidence.
const (
	stepWindow = iota // since the step began
	lapWindow         // of the present lap
)

// failureRatios are how many times as often the canary may fail: each test bets on each of them.
var failureRatios = [ratioCount]float64{1.4, 2.2, 6, 40}

// logWealth is the logarithm of what the bets of each test came to, by ratio.
type logWealth [testCount][ratioCount]float64

// evidence against the canary, in nats, for each window; and the part of it that rests on one backend's failures.
type evidence struct {
	total      [windowCount]logWealth
	perBackend map[uint64]*[windowCount]logWealth
}

func newEvidence() evidence { return evidence{perBackend: map[uint64]*[windowCount]logWealth{}} }

// backend gives the part of one backend's failures.
func (e *evidence) backend(id uint64) *[windowCount]logWealth {
	wealth := e.perBackend[id]
	if wealth == nil {
		wealth = new([windowCount]logWealth)
		e.perBackend[id] = wealth
	}
	return wealth
}

// Outcomes are put together for a span before they are weighed: a short one where the canary has enough of them. One failure among few
// outcomes weighs little, however sure the bet.
const (
	shortSpan         = 500 * time.Millisecond
	longSpan          = 4 * shortSpan
	shortSpanOutcomes = 10 // of the canary
)

// span counts the outcomes of one span at one node. They are compared with each other only: what befalls both
// sides, in this span and at this node, cancels.
type span struct {
	outcomes, failures [2][testCount]uint32 // by Side
	perBackend         map[uint64]*[testCount]uint32
}

// reset empties a span.
func (s *span) reset() {
	s.outcomes, s.failures = [2][testCount]uint32{}, [2][testCount]uint32{}
	clear(s.perBackend)
}

// add weighs a span. Given how many failed on both sides together, each of them was on the canary's side with chance n1/(n0+n1) if the
// versions are alike; the bet on a ratio multiplies by c1 for one on the canary's side, by c0 for one on the baseline's, and its mean
// is at most 1. Additional failures are tolerated at the rate given by test: their mean effect is taken off. docs/rollouts.md says why the
// product never grows by chance.
func (e *evidence) add(s *span, tolerated func(test int) float64) {
	for test := range testCount {
		n0, n1 := float64(s.outcomes[Baseline][test]), float64(s.outcomes[Canary][test])
		if n0 == 0 || n1 == 0 {
			continue
		}
		failed0, failed1, expected := float64(s.failures[Baseline][test]), float64(s.failures[Canary][test]), n1*tolerated(test)
		for i, ratio := range failureRatios {
			c0 := (n0 + n1) / (ratio*n1 + n0)
			gain := math.Log(ratio * c0)
			change := failed1*gain + failed0*math.Log(c0) - expected*(ratio*c0-1)
			for w := range e.total {
				e.total[w][test][i] += change
			}
			e.addBackends(s, test, i, gain)
		}
	}
}

// addBackends attributes a test's failures to the backends that they are of.
func (e *evidence) addBackends(s *span, test, ratio int, gain float64) {
	for id, failures := range s.perBackend {
		if failures[test] == 0 {
			continue
		}
		wealth := e.backend(id)
		for w := range wealth {
			wealth[w][test][ratio] += float64(failures[test]) * gain
		}
	}
}

// resetWindow empties one window.
func (e *evidence) resetWindow(w int) {
	e.total[w] = logWealth{}
	for _, wealth := range e.perBackend {
		wealth[w] = logWealth{}
	}
}

// withoutWindow is a copy with one window empty.
func (e *evidence) withoutWindow(w int) *evidence {
	c := &evidence{total: e.total, perBackend: map[uint64]*[windowCount]logWealth{}}
	for id, wealth := range e.perBackend {
		copied := *wealth
		c.perBackend[id] = &copied
	}
	c.resetWindow(w)
	return c
}

// evidencePerNat is the grain of encoded evidence. It is rounded against a rollback.
const evidencePerNat = 64

// encode writes evidence: for each test and window with any, a byte of both, the backend (0: all), and the bets as varints.
func (e *evidence) encode() []byte {
	var b []byte
	put := func(backend uint64, window, test int, wealth *[ratioCount]float64, round func(float64) float64) {
		if *wealth == ([ratioCount]float64{}) {
			return
		}
		b = binary.AppendUvarint(append(b, byte(test<<1|window)), backend)
		for _, nats := range wealth {
			b = binary.AppendVarint(b, int64(round(nats*evidencePerNat)))
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

// What encoded evidence may be refused for.
var (
	ErrMalformedEvidence = errors.New("evidence: malformed record")
	ErrTruncatedEvidence = errors.New("evidence: truncated")
	ErrTooManyBackends   = errors.New("evidence: too many backends")
)

// decodeEvidence reads what encode wrote.
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
			wealth = &e.backend(id)[window][test]
		}
		for i := range wealth {
			nats, n := binary.Varint(b)
			if n <= 0 {
				return nil, ErrTruncatedEvidence
			}
			wealth[i], b = float64(nats)/evidencePerNat, b[n:]
		}
	}
	return &e, nil
}
