//go:build debug || testingknobs

package registry

// safeguardDisabledCases lists whether a safeguard is disabled in the cases of a test that shows what the safeguard
// prevents. The test runs once with the safeguard and once without it.
var safeguardDisabledCases = []bool{false, true}

// knobsTrustingPeers returns testing knobs with the given value of TrustUnconfirmedPeers.
func knobsTrustingPeers(trust bool) TestingKnobs { return TestingKnobs{TrustUnconfirmedPeers: trust} }
