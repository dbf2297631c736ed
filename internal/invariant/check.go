// Package invariant holds what must hold: a debug build stops where it does not, a release build counts it.
package invariant

import "sync/atomic"

var broken atomic.Uint64

// That asserts what must hold.
func That(holds bool, what string) {
	if !holds {
		broken.Add(1)
		fail(what)
	}
}

// Broken counts what did not hold.
func Broken() uint64 { return broken.Load() }
