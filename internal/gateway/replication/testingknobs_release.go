//go:build !debug && !testingknobs

package replication

// TestingKnobs is empty in a release build: no fault can be planted, and the compiler removes the branches.
type TestingKnobs struct{}

func (TestingKnobs) has(mutation) bool { return false }

func (TestingKnobs) any() bool { return false }
