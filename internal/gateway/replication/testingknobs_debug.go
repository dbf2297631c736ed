//go:build debug || testingknobs

package replication

// TestingKnobs plants a fault for a test.
type TestingKnobs struct{ mutation mutation }

func (t TestingKnobs) hasMutation(m mutation) bool { return t.mutation == m }

// any reports whether any fault is planted.
func (t TestingKnobs) hasAnyMutation() bool { return t.mutation != noMutation }
