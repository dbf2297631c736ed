package rollout

import (
	"fmt"
	"slices"
	"time"

	"clovergap/internal/gateway/logentry"
)

// FullShare is all users: shares are in basis points, 1/10000.
const FullShare = 10000

// Number names a roll-out: no two have the same. 0 is none.
type Number uint64

// Duration is a time that JSON writes with its unit.
type Duration = logentry.Duration

// Spec is an operator's order: which version takes over from which, and how. Versions are the generations in the backends' heartbeats.
type Spec struct {
	Service string          `json:"service" validate:"required,max=128"`
	Old     string          `json:"old" validate:"required,max=128"`             // the baseline's generation
	New     string          `json:"new" validate:"required,max=128,nefield=Old"` // the canary's generation
	Steps   []Step          `json:"steps" validate:"required,max=16,dive"`
	Limits  Limits          `json:"limits"`
	Failing FailureCriteria `json:"failing"`
	Advance string          `json:"advance" validate:"oneof=time word"` // AdvanceByTime or AdvanceByCommand
}

// Who goes on to the next step, as Spec.Advance says it.
const (
	AdvanceByTime    = "time" // the coordinator, once the step's least time and requests are there
	AdvanceByCommand = "word" // an operator; the default
)

// Step is a share of users, and what must pass before the next one.
type Step struct {
	Share    int      `json:"share" validate:"min=1,max=9000"`    // in basis points; a tenth stays to compare with
	MinTime  Duration `json:"min_time" validate:"min=1000000000"` // a second or more
	Requests int      `json:"requests" validate:"min=0"`          // on the canary, over all nodes
}

// Limits bind a roll-out to some of the traffic; an empty list binds nothing. Zones are the nodes'.
type Limits struct {
	Tenants []string `json:"tenants" validate:"max=64,dive,required"`
	Routes  []string `json:"routes" validate:"max=256,dive,required"`
	Zones   []string `json:"zones" validate:"max=32,dive,required"`
}

// Scope is where a request belongs. Empty: to none.
type Scope struct{ Tenant, Route, Zone string }

// matches reports whether a request of a scope is among the traffic that the limits name.
func (l *Limits) matches(s Scope) bool {
	allows := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return allows(l.Tenants, s.Tenant) && allows(l.Routes, s.Route) && allows(l.Zones, s.Zone)
}

// FailureCriteria say what counts as a failure, always against the baseline in the same span. What is left out has the value of
// DefaultFailureCriteria.
type FailureCriteria struct {
	Causes   []string `json:"causes" validate:"required,dive,oneof=5xx none wrong full"` // names of a Cause
	Extra    int      `json:"extra" validate:"min=0,max=5000"`                           // additional failures that are tolerated, in basis points
	Quantile int      `json:"quantile" validate:"min=5000,max=9900"`                     // of the baseline's latencies, in basis points
	Slower   int      `json:"slower" validate:"min=100,max=1000"`                        // so many hundredths of that latency are tolerated
}

// DefaultFailureCriteria are in force where a Spec says nothing.
func DefaultFailureCriteria() FailureCriteria {
	return FailureCriteria{Causes: []string{"5xx", "none", "wrong"}, Extra: 10, Quantile: 9500, Slower: 130}
}

// Normalize fills in the defaults and checks the spec by itself. Its errors are FieldErrors of logentry.
func (s *Spec) Normalize() error {
	s.setDefaults()
	if err := logentry.Validate(s); err != nil {
		return err
	}
	for i := 1; i < len(s.Steps); i++ {
		if s.Steps[i].Share <= s.Steps[i-1].Share {
			return logentry.FieldErrorf(fmt.Sprintf("steps[%d].share", i), "%d is not above the step before", s.Steps[i].Share)
		}
	}
	return nil
}

func (s *Spec) setDefaults() {
	defaults, criteria := DefaultFailureCriteria(), &s.Failing
	if len(criteria.Causes) == 0 {
		criteria.Causes, criteria.Extra = defaults.Causes, max(criteria.Extra, defaults.Extra)
	}
	if criteria.Quantile == 0 {
		criteria.Quantile = defaults.Quantile
	}
	if criteria.Slower == 0 {
		criteria.Slower = defaults.Slower
	}
	if s.Advance == "" {
		s.Advance = AdvanceByCommand
	}
}

// Capacity is that of a service's backends, in concurrent requests: of the baseline, of the canary, and how many are in use at the
// busiest (0: not known, then defaultUtilization of all).
type Capacity struct{ Baseline, Canary, PeakInUse int }

const (
	spareFactor        = 1.25 // capacity over the busiest use that must be there
	defaultUtilization = 0.7  // of all capacity, where the busiest use isn't known
)

// CheckCapacity tells whether there is capacity: the baseline can take all users back at any moment, the canary bears its
// largest share.
func (s *Spec) CheckCapacity(c Capacity) error {
	switch {
	case c.Baseline <= 0:
		return logentry.FieldErrorf("old", "%s has room for none", s.Old)
	case c.Canary <= 0:
		return logentry.FieldErrorf("new", "%s has room for none", s.New)
	}
	busy := float64(c.PeakInUse)
	if c.PeakInUse <= 0 {
		busy = defaultUtilization * float64(c.Baseline+c.Canary)
	}
	if need := busy * spareFactor; float64(c.Baseline) < need {
		return logentry.FieldErrorf("old", "%s has room for %d at a time, %.0f must stay to take all users back", s.Old, c.Baseline, need)
	}
	last := len(s.Steps) - 1
	if need := busy * spareFactor * float64(s.Steps[last].Share) / FullShare; float64(c.Canary) < need {
		return logentry.FieldErrorf(fmt.Sprintf("steps[%d].share", last), "%s has room for %d at a time, %.0f are needed", s.New, c.Canary, need)
	}
	return nil
}

// CheckReferences tells whether the configuration in force has what a spec names.
func (s *Spec) CheckReferences(service, route, tenant, zone func(string) bool) error {
	if !service(s.Service) {
		return logentry.FieldErrorf("service", "no %q in the configuration", s.Service)
	}
	for _, list := range []struct {
		field  string
		names  []string
		exists func(string) bool
	}{{"routes", s.Limits.Routes, route}, {"tenants", s.Limits.Tenants, tenant}, {"zones", s.Limits.Zones, zone}} {
		if i := slices.IndexFunc(list.names, func(name string) bool { return !list.exists(name) }); i >= 0 {
			return logentry.FieldErrorf(fmt.Sprintf("limits.%s[%d]", list.field, i), "no %q in the configuration", list.names[i])
		}
	}
	return nil
}

// minTime is how long a step takes at the least.
func (s Step) minTime() time.Duration { return time.Duration(s.MinTime) }

// String gives the service, both versions and the number of steps.
func (s *Spec) String() string {
	return fmt.Sprintf("%s from %s to %s in %d steps", s.Service, s.Old, s.New, len(s.Steps))
}
