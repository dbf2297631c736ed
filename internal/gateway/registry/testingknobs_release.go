//go:build !debug && !testingknobs

package registry

// TestingKnobs is empty in a release build: no defence can be taken out, and the compiler removes the branches.
type TestingKnobs struct{}

func (TestingKnobs) trustUnconfirmedPeers() bool { return false }
