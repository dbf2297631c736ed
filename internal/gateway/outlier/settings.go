package outlier

import (
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// Settings are the operators' word, an entry of the log like any other. Nought is the usual.
type Settings struct {
	Enabled             bool              `json:"on"`
	Routes              []Route           `json:"routes" validate:"max=256,unique=Route,dive"`
	MinInService        int               `json:"floor_number" validate:"min=1,max=1000"` // patient: so many stay in service
	MinInServicePercent int               `json:"floor_share" validate:"min=10,max=100"`  // in 1/100 of the ready ones, at least
	SoleWitnessPercent  int               `json:"alone_share" validate:"min=1,max=50"`    // in 1/100 of a service: by one witness
	SoleWitnessMax      int               `json:"alone_most" validate:"min=1,max=64"`     // of all services
	BaseEjectionTime    logentry.Duration `json:"rest" validate:"min=1000000000,max=600000000000"`
	ProbeIdleAfter      logentry.Duration `json:"probe_silent" validate:"min=0"` // 0: none that is in service is probed
}

// Route says how a route's requests judge and are bound, whatever its variant.
type Route struct {
	Route string `json:"route" validate:"required,max=128"`
	Mode  string `json:"manner" validate:"oneof=strict patient off"`
}

// DefaultSettings is what goes where settings do not say.
func DefaultSettings() Settings {
	return Settings{MinInService: 2, MinInServicePercent: 50, SoleWitnessPercent: 13, SoleWitnessMax: 4, BaseEjectionTime: logentry.Duration(5 * time.Second)}
}

// Normalize fills in what is left out and tells what is wrong, by the name of the field.
func (s *Settings) Normalize() error {
	u := DefaultSettings()
	for _, f := range []struct{ is, usual *int }{{&s.MinInService, &u.MinInService}, {&s.MinInServicePercent, &u.MinInServicePercent},
		{&s.SoleWitnessPercent, &u.SoleWitnessPercent}, {&s.SoleWitnessMax, &u.SoleWitnessMax}} {
		if *f.is == 0 {
			*f.is = *f.usual
		}
	}
	if s.BaseEjectionTime == 0 {
		s.BaseEjectionTime = u.BaseEjectionTime
	}
	if err := logentry.Validate(s); err != nil {
		return err
	}
	if p := time.Duration(s.ProbeIdleAfter); p > 0 && p < time.Second {
		return errors.Errorf("probe_silent: %v is below a second", p)
	}
	return nil
}

// ModeFor is how a route's requests judge.
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

// soleWitnessLimits is how many of a service's ready backends one witness may have out by its own word, after some of its verdicts
// were refuted.
func (s *Settings) soleWitnessLimits(ready, refuted int) (ofService, ofAll int) {
	return max(1, ready*s.SoleWitnessPercent/100) >> refuted, s.SoleWitnessMax >> refuted
}
