//go:build !debug && !testingknobs

package registry

// withoutDefence are the cases of a test that shows what a defence is for. A release build has all defences.
var withoutDefence = []bool{false}

func knobsTrustingPeers(bool) TestingKnobs { return TestingKnobs{} }
