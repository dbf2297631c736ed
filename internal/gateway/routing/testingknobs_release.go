//go:build !debug && !testingknobs

package routing

// TestingKnobs is empty in a release build. No safety check can be disabled, and the compiler removes the branches.
type TestingKnobs struct{}

func (TestingKnobs) ignoreHorizon() bool        { return false }
func (TestingKnobs) omitWindow() bool           { return false }
func (TestingKnobs) trustStaleRejections() bool { return false }
