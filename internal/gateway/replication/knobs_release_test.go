//go:build !debug && !testingknobs

package replication

// knobsFor plants nothing in a release build. The tests of mutations are not part of that build.
func knobsFor(mutation) TestingKnobs { return TestingKnobs{} }
