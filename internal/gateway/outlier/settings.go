package outlier

import (
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// Settings are the operators' word, an entry of the log like any other. Nought is the usual.
type Settings struct {
	On          bool              `json:"on"`
	Routes      []Route           `json:"routes" validate:"max=256,unique=Route,dive"`
	FloorNumber int               `json:"floor_number" validate:"min=1,max=1000"` // patient: so many stay in service
	FloorShare  int               `json:"floor_share" validate:"min=10,max=100"`  // in 1/100 of the ready ones, at least
	AloneShare  int               `json:"alone_share" validate:"min=1,max=50"`    // in 1/100 of a service: by one witness
	AloneMost   int               `json:"alone_most" validate:"min=1,max=64"`     // of all services
	Rest        logentry.Duration `json:"rest" validate:"min=1000000000,max=600000000000"`
	ProbeSilent logentry.Duration `json:"probe_silent" validate:"min=0"` // 0: none that is in service is probed
}

// Route says how a route's requests judge and are bound, whatever its variant.
type Route struct {
	Route  string `json:"route" validate:"required,max=128"`
	Manner string `json:"manner" validate:"oneof=strict patient off"`
}

// Usual is what goes where settings do not say.
func Usual() Settings {
	return Settings{FloorNumber: 2, FloorShare: 50, AloneShare: 13, AloneMost: 4, Rest: logentry.Duration(5 * time.Second)}
}

// Check fills in what is left out and tells what is wrong, by the name of the field.
func (s *Settings) Check() error {
	u := Usual()
	for _, f := range []struct{ is, usual *int }{{&s.FloorNumber, &u.FloorNumber}, {&s.FloorShare, &u.FloorShare},
		{&s.AloneShare, &u.AloneShare}, {&s.AloneMost, &u.AloneMost}} {
		if *f.is == 0 {
			*f.is = *f.usual
		}
	}
	if s.Rest == 0 {
		s.Rest = u.Rest
	}
	if err := logentry.Validate(s); err != nil {
		return err
	}
	if p := time.Duration(s.ProbeSilent); p > 0 && p < time.Second {
		return errors.Errorf("probe_silent: %v is below a second", p)
	}
	return nil
}

// Manner is how a route's requests judge.
func (s *Settings) Manner(route string, effectful bool) Manner {
	for _, r := range s.Routes {
		if r.Route != route {
			continue
		}
		for m, name := range mannerNames {
			if name == r.Manner {
				return Manner(m)
			}
		}
	}
	if effectful {
		return Strict
	}
	return Patient
}

// floor is how many of a service's ready backends stay in service for patient requests.
func (s *Settings) floor(ready int) int {
	return min(ready, max(s.FloorNumber, (ready*s.FloorShare+99)/100))
}

// alone is how many of a service's ready backends one witness may have out by its own word, after some of its verdicts
// were refuted.
func (s *Settings) alone(ready, refuted int) (ofService, ofAll int) {
	return max(1, ready*s.AloneShare/100) >> refuted, s.AloneMost >> refuted
}
