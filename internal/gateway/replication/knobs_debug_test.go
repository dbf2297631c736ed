//go:build debug || testingknobs

package replication

func knobsFor(planted mutation) TestingKnobs { return TestingKnobs{planted} }
