//go:build debug

package invariant

// Debug is true in a debug build, where a violation panics.
const Debug = true

func fail(invariant string) { panic("invariant violated: " + invariant) }
