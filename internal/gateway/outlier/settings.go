package outlier

import (
	"cmp"
	"time"

	"clovergap/internal/gateway/logentry"
)

// Settings are set by operators, with an entry of the log like any other. What is 0 has the value of DefaultSettings.
type Settings struct {
	Enabled             bool              `json:"on"`
	Routes              []Route           `json:"routes" validate:"max=256,unique=Route,dive"`
	MinInService        int               `json:"floor_number" validate:"min=1,max=1000"`          // so many of a service's backends stay in service for patient requests
	MinInServicePercent int               `json:"floor_share" validate:"min=10,max=100"`           // and so many percent of the ready ones
	SoleWitnessPercent  int               `json:"alone_share" validate:"min=1,max=50"`             // of a service: what one witness alone may have ejected
	SoleWitnessMax      int               `json:"alone_most" validate:"min=1,max=64"`              // of all services: as many
	BaseEjectionTime    logentry.Duration `json:"rest" validate:"min=1000000000,max=600000000000"` // 1 s to 10 min, doubled with each repetition
	ProbeIdleAfter      logentry.Duration `json:"probe_silent" validate:"min=0"`                   // 0: none that is in service is probed
}

// Route sets the mode of a route's requests, whatever its variant.
type Route struct {
	Route string `json:"route" validate:"required,max=128"`
	Mode  string `json:"manner" validate:"oneof=strict patient off"`
}

// DefaultSettings are in force where Settings say nothing.
func DefaultSettings() Settings {
	return Settings{MinInService: 2, MinInServicePercent: 50, SoleWitnessPercent: 13, SoleWitnessMax: 4, BaseEjectionTime: logentry.Duration(5 * time.Second)}
}

// Normalize fills in the defaults and checks the settings. Its errors are FieldErrors of logentry.
func (s *Settings) Normalize() error {
	defaults := DefaultSettings()
	s.MinInService = cmp.Or(s.MinInService, defaults.MinInService)
	s.MinInServicePercent = cmp.Or(s.MinInServicePercent, defaults.MinInServicePercent)
	s.SoleWitnessPercent = cmp.Or(s.SoleWitnessPercent, defaults.SoleWitnessPercent)
	s.SoleWitnessMax = cmp.Or(s.SoleWitnessMax, defaults.SoleWitnessMax)
	s.BaseEjectionTime = cmp.Or(s.BaseEjectionTime, defaults.BaseEjectionTime)
	if err := logentry.Validate(s); err != nil {
		return err
	}
	if p := time.Duration(s.ProbeIdleAfter); p > 0 && p < time.Second {
		return logentry.FieldErrorf("probe_silent", "%v is below a second", p)
	}
	return nil
}

// ModeFor is the mode of a route's requests; effectful ones are Strict where no route says otherwise.
func (s *Settings) ModeFor(route string, effectful bool) Mode {
	for _, r := range s.Routes {
		if r.Route != route {
			continue
		}
		for m, name := range modeNames {
			if name == r.Mode {
				return Mode(m)
			}
		}
	}
	if effectful {
		return Strict
	}
	return Patient
}

// minInService is how many of a service's ready backends stay in service for patient requests.
func (s *Settings) minInService(ready int) int {
	return min(ready, max(s.MinInService, (ready*s.MinInServicePercent+99)/100))
}

// soleWitnessLimits are how many of a service's ready backends, and of all, one witness alone may have ejected, after some refutations.
func (s *Settings) soleWitnessLimits(ready, refuted int) (ofService, ofAll int) {
	return max(1, ready*s.SoleWitnessPercent/100) >> refuted, s.SoleWitnessMax >> refuted
}
