//go:build debug || testingknobs

package routing

// knobsByViolation maps the violation that the model finds to the knob that disables the safety check against it.
var knobsByViolation = map[string]TestingKnobs{
	"accepted call was rejected":                  {IgnoreHorizon: true},
	"recently accepted call was not confirmed":    {OmitWindow: true},
	"call valid in the newest state was rejected": {TrustStaleRejections: true},
}
