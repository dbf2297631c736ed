//go:build !debug && !testingknobs

package registry

// safeguardDisabledCases are the cases of a test that shows what a safeguard prevents. A release build cannot disable a
// safeguard.
var safeguardDisabledCases = []bool{false}

func knobsTrustingPeers(bool) TestingKnobs { return TestingKnobs{} }
