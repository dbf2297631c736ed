//go:build debug || testingknobs

package registry

// withoutDefence are the cases of a test that shows what a defence is for: with it, and with it taken out.
var withoutDefence = []bool{false, true}

func knobsTrustingPeers(trust bool) TestingKnobs { return TestingKnobs{TrustUnconfirmedPeers: trust} }
