//go:build !debug && !testingknobs

package replication

// knobsFor plants nothing in a release build, where the tests of mutations are left out.
func knobsFor(mutation) TestingKnobs { return TestingKnobs{} }
