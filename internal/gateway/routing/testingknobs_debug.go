//go:build debug || testingknobs

package routing

// TestingKnobs take defences out, for a test that shows what these are for.
type TestingKnobs struct {
	IgnoreHorizon        bool // decides on a call below the window's horizon as if it had never been accepted
	OmitWindow           bool // leaves the window of accepted calls out of a snapshot
	TrustStaleRejections bool // counts a rejection by this state as one by every later state
}

func (t TestingKnobs) ignoreHorizon() bool        { return t.IgnoreHorizon }
func (t TestingKnobs) omitWindow() bool           { return t.OmitWindow }
func (t TestingKnobs) trustStaleRejections() bool { return t.TrustStaleRejections }
