//go:build debug

package invariant

// Debug is true in a debug build, where a violation panics.
const Debug = true

// fail panics with the text of the violated invariant.
func fail(invariant string) { panic("invariant violated: " + invariant) }
