//go:build debug || testingknobs

package routing

// knobsByViolation maps the violation that the model finds to the knob that disables the safety check against it.
var knobsByViolation = map[string]TestingKnobs{
	"accepted call was answered with Conflict or Invalid":                             {IgnoreHorizon: true},
	"one of the last accepted calls was answered with neither Accepted nor Duplicate": {OmitWindow: true},
	"call that is valid in the newest state was answered with Conflict or Invalid":    {TrustStaleRejections: true},
}
