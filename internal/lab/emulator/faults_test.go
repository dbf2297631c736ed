package emulator

import (
	"testing"

	"clovergap/internal/lab/spec"
)

// A kind that the table says is played here has an action: without one a drawn schedule would end in a panic.
func TestFaultKinds(t *testing.T) {
	for _, name := range spec.Kinds(spec.Emulator) {
		f := spec.Fault{Kind: name}
		if effects[f.Effect()] == nil {
			t.Errorf("%s is not played in the emulator", name)
		}
	}
}
