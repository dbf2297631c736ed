package faultrig

import (
	"context"
	"fmt"

	"clovergap/internal/lab/spec"
)

// Shrink looks for as few of a schedule's faults as still fail: it leaves out halves, then quarters, down to single
// ones, as long as what is left fails. A failure may rest on chance, so each try is played up to so many times. What the
// context ends gives the least that was found by then.
func Shrink(ctx context.Context, s *spec.Spec, times int, fails func(*spec.Spec) (bool, error), told func(left, tried int)) (*spec.Spec, error) {
	tried := 0
	try := func(faults []spec.Fault) (bool, error) {
		c := *s
		c.Faults = append([]spec.Fault(nil), faults...)
		for i := 0; i < times && ctx.Err() == nil; i++ {
			tried++
			bad, err := fails(&c)
			if bad || err != nil {
				return bad, err
			}
		}
		return false, nil
	}
	left := append([]spec.Fault(nil), s.Faults...)
	for parts := 2; len(left) > 1 && ctx.Err() == nil; {
		size := (len(left) + parts - 1) / parts
		shrunk := false
		for from := 0; from < len(left) && ctx.Err() == nil; from += size {
			rest := append(append([]spec.Fault(nil), left[:from]...), left[min(from+size, len(left)):]...)
			if len(rest) == 0 {
				continue
			}
			bad, err := try(rest)
			if err != nil {
				return nil, err
			}
			if bad {
				left, shrunk = rest, true
				told(len(left), tried)
				break
			}
		}
		switch {
		case shrunk:
			parts = max(2, parts-1)
		case size == 1:
			parts = len(left) + 1
		default:
			parts = min(2*parts, len(left))
		}
		if parts > len(left) {
			break
		}
	}
	c := *s
	c.Faults = left
	if len(left) == len(s.Faults) && ctx.Err() != nil {
		return &c, fmt.Errorf("stopped before anything could be left out")
	}
	return &c, nil
}
