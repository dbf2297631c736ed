//go:build debug || testingknobs

package routing

// knobsByViolation are the defences of the register, each taken out, and what the model finds then.
var knobsByViolation = map[string]TestingKnobs{
	"taken, and refused":                     {IgnoreHorizon: true},
	"taken a moment ago, and not confirmed":  {OmitWindow: true},
	"valid on the newest state, and refused": {TrustStaleRejections: true},
}
