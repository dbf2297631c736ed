//go:build debug || testingknobs

package replication

// knobsFor returns knobs that plant a mutation.
func knobsFor(planted mutation) TestingKnobs { return TestingKnobs{planted} }
