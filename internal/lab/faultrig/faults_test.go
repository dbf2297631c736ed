package faultrig

import (
	"testing"

	"clovergap/internal/lab/spec"
)

// A kind that the table says is played here has an action: without one a run of real processes would end with an error, at a
// schedule that nobody has tried.
func TestFaultKinds(t *testing.T) {
	for _, name := range spec.Kinds(spec.FrontDoors) {
		f := spec.Fault{Kind: name}
		if effects[f.Effect()] == nil && f.Effect() != spec.StartLate { // play itself starts those
			t.Errorf("%s is not played on front doors", name)
		}
	}
	for _, name := range spec.Kinds(spec.Gateways) {
		f := spec.Fault{Kind: name}
		if gatewayEffects[f.Effect()] == nil {
			t.Errorf("%s is not played on the gateway's nodes", name)
		}
	}
}
