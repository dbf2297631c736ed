//go:build !debug && !testingknobs

package routing

// knobsByViolation is empty in a release build, which cannot disable a safety check.
var knobsByViolation = map[string]TestingKnobs{}
