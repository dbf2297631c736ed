package simulation

import (
	"testing"

	"clovergap/internal/lab/spec"
)

// A kind that is drawn for a day, or that the table says is played here, has an action: without one the day would end in a panic,
// at a seed that nobody has tried.
func TestFaultKinds(t *testing.T) {
	for _, name := range append(append(spec.Kinds(spec.Simulation), kinds...), hardKinds...) {
		f := spec.Fault{Kind: name}
		if !spec.PlayedIn(spec.Simulation, name) || effects[f.Effect()] == nil {
			t.Errorf("%s is not played in simulated time", name)
		}
	}
}
