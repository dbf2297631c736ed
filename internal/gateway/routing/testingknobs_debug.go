//go:build debug || testingknobs

package routing

// TestingKnobs disable safety checks of a Register, so that a test can show which violation each check prevents.
type TestingKnobs struct {
	IgnoreHorizon        bool // decides a call at or below the horizon as if it had never been accepted
	OmitWindow           bool // omits the window of accepted calls from snapshots
	TrustStaleRejections bool // reports each rejection as final, even if a later state may accept the call
}

func (t TestingKnobs) ignoreHorizon() bool        { return t.IgnoreHorizon }
func (t TestingKnobs) omitWindow() bool           { return t.OmitWindow }
func (t TestingKnobs) trustStaleRejections() bool { return t.TrustStaleRejections }
