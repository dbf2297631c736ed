//go:build debug || testingknobs

package replication

// TestingKnobs selects the mutation that a test injects.
type TestingKnobs struct{ mutation mutation }

func (t TestingKnobs) hasMutation(m mutation) bool { return t.mutation == m }

// hasAnyMutation reports whether any mutation is injected.
func (t TestingKnobs) hasAnyMutation() bool { return t.mutation != noMutation }
