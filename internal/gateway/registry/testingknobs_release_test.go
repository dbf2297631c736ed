//go:build !debug && !testingknobs

package registry

// safeguardDisabledCases lists whether a safeguard is disabled in the cases of a test that shows what the safeguard
// prevents. A release build cannot disable a safeguard, so the test runs only with the safeguard.
var safeguardDisabledCases = []bool{false}

// knobsTrustingPeers returns the empty testing knobs of a release build. The argument has no effect.
func knobsTrustingPeers(bool) TestingKnobs { return TestingKnobs{} }
