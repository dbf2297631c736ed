package sharedcounter

import "clovergap/internal/lab/spec"

// FaultOf is what a fault makes the counter do wrong; nil where it does nothing to it.
func FaultOf(f *spec.Fault) func(*Mode) {
	switch f.Effect() {
	case spec.CounterDown:
		return func(m *Mode) { m.Down = true }
	case spec.CounterBusy:
		return func(m *Mode) { m.Busy = either(m.Busy, f.Share) }
	case spec.CounterSpoilt:
		return func(m *Mode) { m.Malformed = either(m.Malformed, f.Share) }
	case spec.CounterMute:
		return func(m *Mode) { m.Unanswered = either(m.Unanswered, f.Share) }
	case spec.CounterLate:
		return func(m *Mode) { m.Delay += f.Delay.D() }
	}
	return nil
}

// either is the chance that one of two things happens that don't depend on each other.
func either(a, b float64) float64 { return 1 - (1-a)*(1-b) }
