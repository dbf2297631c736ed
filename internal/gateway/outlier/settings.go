package outlier

import (
	"cmp"
	"time"

	"clovergap/internal/gateway/logentry"
)

// Settings are the operators' settings of outlier detection. They change only by a SetSettings entry. A number or duration of 0 is replaced by the
// value of DefaultSettings.
type Settings struct {
	Enabled bool    `json:"on"`
	Routes  []Route `json:"routes" validate:"max=256,unique=Route,dive"`
	// The minimum number of a service's backends that stay in service for patient requests.
	MinInService int `json:"floor_number" validate:"min=1,max=1000"`
	// The minimum percentage of a service's ready backends that stay in service for patient requests.
	MinInServicePercent int `json:"floor_share" validate:"min=10,max=100"`
	// The percentage of a service's ready backends that may be ejected on the evidence of one witness alone.
	SoleWitnessPercent int `json:"alone_share" validate:"min=1,max=50"`
	// The number of ejections, over all services, that may rest on the evidence of one witness alone.
	SoleWitnessMax int `json:"alone_most" validate:"min=1,max=64"`
	// The minimum duration of an ejection, from 1 s to 10 min, doubled with each repeated ejection.
	BaseEjectionTime logentry.Duration `json:"rest" validate:"min=1000000000,max=600000000000"`
	// A backend in service is probed when it has not answered a request or a probe for this time. 0: backends in service are not probed.
	ProbeIdleAfter logentry.Duration `json:"probe_silent" validate:"min=0"`
}

// Route sets the mode of the requests of a route. The mode applies to all variants of the route.
type Route struct {
	Route string `json:"route" validate:"required,max=128"`
	Mode  string `json:"manner" validate:"oneof=strict patient off"`
}

// DefaultSettings returns the values that replace zero values in Settings.
func DefaultSettings() Settings {
	return Settings{MinInService: 2, MinInServicePercent: 50, SoleWitnessPercent: 13, SoleWitnessMax: 4, BaseEjectionTime: logentry.Duration(5 * time.Second)}
}

// Normalize replaces zero values by the defaults and validates the settings. An error is of type logentry.FieldError.
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
		return logentry.FieldErrorf("probe_silent", "idle time %v is less than the minimum of 1 s", p)
	}
	return nil
}

// ModeFor returns the mode of a route's requests. Without a setting for the route, the mode is Strict for requests with side effects (effectful)
// and Patient for others.
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

// minBackendsInService returns how many of a service's ready backends must stay in service for patient requests.
func (s *Settings) minBackendsInService(readyBackends int) int {
	return min(readyBackends, max(s.MinInService, (readyBackends*s.MinInServicePercent+99)/100))
}

// soleWitnessLimits returns how many of a service's ready backends, and how many backends in total, may be ejected on the evidence of one
// witness alone. Each refutation of the witness halves both limits.
func (s *Settings) soleWitnessLimits(readyBackends, refutations int) (perService, total int) {
	return max(1, readyBackends*s.SoleWitnessPercent/100) >> refutations, s.SoleWitnessMax >> refutations
}
