//go:build !debug && !testingknobs

package routing

// withoutDefence is empty: a release build has all defences.
var withoutDefence = map[string]TestingKnobs{}
