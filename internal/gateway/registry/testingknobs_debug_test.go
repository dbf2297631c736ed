//go:build debug || testingknobs

package registry

// safeguardDisabledCases are the cases of a test that shows what a safeguard prevents. The test runs once with the
// safeguard and once with the safeguard disabled.
var safeguardDisabledCases = []bool{false, true}

func knobsTrustingPeers(trust bool) TestingKnobs { return TestingKnobs{TrustUnconfirmedPeers: trust} }
