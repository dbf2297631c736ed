//go:build !debug && !testingknobs

package replication

// TestingKnobs is empty in a release build: no fault can be planted, and the compiler removes the branches.
type TestingKnobs struct{}

func (TestingKnobs) hasMutation(mutation) bool { return false }

func (TestingKnobs) hasAnyMutation() bool { return false }
