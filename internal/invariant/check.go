// Package invariant holds what must hold: a debug build stops where it does not, a release build counts it.
package invariant

import "sync/atomic"

var broken atomic.Uint64

// Assert records a violation if holds is false.
func Assert(holds bool, what string) {
	if !holds {
		broken.Add(1)
		fail(what)
	}
}

// Violations returns the number of failed assertions.
func Violations() uint64 { return broken.Load() }
