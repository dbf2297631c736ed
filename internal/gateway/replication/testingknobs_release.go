//go:build !debug && !testingknobs

package replication

// TestingKnobs is empty in a release build. Mutations cannot be injected, and the compiler removes their branches.
type TestingKnobs struct{}

func (TestingKnobs) hasMutation(mutation) bool { return false }

func (TestingKnobs) hasAnyMutation() bool { return false }
