//go:build !debug && !testingknobs

package registry

// TestingKnobs is empty in a release build, so that no safeguard can be disabled. The compiler removes the code that tests
// the knobs.
type TestingKnobs struct{}

// trustUnconfirmedPeers returns false, because a release build always has the safeguard.
func (TestingKnobs) trustUnconfirmedPeers() bool { return false }

// countUnstoredCopies returns false, because a release build always has the safeguard.
func (TestingKnobs) countUnstoredCopies() bool { return false }
