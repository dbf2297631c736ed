//go:build !debug && !testingknobs

package registry

// TestingKnobs is empty in a release build. No safeguard can be disabled, and the compiler removes the branches.
type TestingKnobs struct{}

func (TestingKnobs) trustUnconfirmedPeers() bool { return false }
