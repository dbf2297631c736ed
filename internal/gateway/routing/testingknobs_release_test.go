//go:build !debug && !testingknobs

package routing

// knobsByViolation is empty: a release build has all defences.
var knobsByViolation = map[string]TestingKnobs{}
