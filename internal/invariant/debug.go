//go:build debug

package invariant

// Debug tells which build this is.
const Debug = true

func fail(what string) { panic("must hold: " + what) }
