// Package invariant checks assertions at run time. A debug build panics at the first violation. A release build counts
// violations and goes on.
package invariant

import "sync/atomic"

var violations atomic.Uint64

// Assert checks that condition is true, and otherwise counts a violation. In a debug build it then panics with the text of the
// invariant.
func Assert(condition bool, invariant string) {
	if !condition {
		violations.Add(1)
		fail(invariant)
	}
}

// Violations returns the number of assertions that failed since the process started.
func Violations() uint64 { return violations.Load() }
