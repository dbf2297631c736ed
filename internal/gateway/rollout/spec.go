package rollout

import (
	"fmt"
	"slices"
	"time"

	"clovergap/internal/gateway/logentry"
)

// FullShare is the share of all users. Shares are in basis points (1/10000).
const FullShare = 10000

// Number identifies a roll-out. Each roll-out has a number that no other roll-out of any service has. 0 means no roll-out.
type Number uint64

// Duration is a duration that is written with its unit in JSON.
type Duration = logentry.Duration

// Spec is an operator's specification of a roll-out. It names both versions, the steps and the limits. A version is the generation that
// backends send in their heartbeats.
type Spec struct {
	Service string          `json:"service" validate:"required,max=128"`
	Old     string          `json:"old" validate:"required,max=128"`             // the baseline's generation
	New     string          `json:"new" validate:"required,max=128,nefield=Old"` // the canary's generation
	Steps   []Step          `json:"steps" validate:"required,max=16,dive"`
	Limits  Limits          `json:"limits"`
	Failing FailureCriteria `json:"failing"`
	Advance string          `json:"advance" validate:"oneof=time word"` // AdvanceByTime or AdvanceByCommand
}

// Values of Spec.Advance, which say who starts the next step.
const (
	AdvanceByTime    = "time" // the coordinator, after the minimum time and requests of the step
	AdvanceByCommand = "word" // an operator (default)
)

// Step is the share of users on the canary, and the conditions for the next step.
type Step struct {
	Share    int      `json:"share" validate:"min=1,max=9000"`    // basis points; a tenth of the users stays on the baseline for comparison
	MinTime  Duration `json:"min_time" validate:"min=1000000000"` // at least one second
	Requests int      `json:"requests" validate:"min=0"`          // minimum number on the canary, over all nodes
}

// Limits restricts a roll-out to a part of the traffic. An empty list means no restriction. Zones are those of the gateway nodes.
type Limits struct {
	Tenants []string `json:"tenants" validate:"max=64,dive,required"`
	Routes  []string `json:"routes" validate:"max=256,dive,required"`
	Zones   []string `json:"zones" validate:"max=32,dive,required"`
}

// Scope is the tenant, route and zone of a request. An empty field means that the request has none.
type Scope struct{ Tenant, Route, Zone string }

// includes reports whether the limits include a request with the given scope.
func (l *Limits) includes(s Scope) bool {
	allows := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return allows(l.Tenants, s.Tenant) && allows(l.Routes, s.Route) && allows(l.Zones, s.Zone)
}

// FailureCriteria defines which outcomes count as failures. Failures are always compared with those of the baseline in the same span. Fields
// that are not set get the values of DefaultFailureCriteria.
type FailureCriteria struct {
	Causes   []string `json:"causes" validate:"required,dive,oneof=5xx none wrong full"` // names of Cause values
	Extra    int      `json:"extra" validate:"min=0,max=5000"`                           // tolerated additional failures, in basis points
	Quantile int      `json:"quantile" validate:"min=5000,max=9900"`                     // quantile of the baseline's latencies, in basis points
	Slower   int      `json:"slower" validate:"min=100,max=1000"`                        // tolerated latency, in percent of that quantile
}

// DefaultFailureCriteria returns the criteria for fields that a Spec does not set.
func DefaultFailureCriteria() FailureCriteria {
	return FailureCriteria{Causes: []string{"5xx", "none", "wrong"}, Extra: 10, Quantile: 9500, Slower: 130}
}

// Normalize sets the defaults and checks the spec, independent of the state and the configuration. It returns a logentry.FieldError for an
// invalid field.
func (s *Spec) Normalize() error {
	s.setDefaults()
	if err := logentry.Validate(s); err != nil {
		return err
	}
	for i := 1; i < len(s.Steps); i++ {
		if s.Steps[i].Share <= s.Steps[i-1].Share {
			return logentry.FieldErrorf(fmt.Sprintf("steps[%d].share", i), "%d is not above the share of the previous step", s.Steps[i].Share)
		}
	}
	return nil
}

// setDefaults sets the fields that have no value. If Causes is not set, Extra is raised to at least its default. If Causes is
// set, Extra stays as it is.
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

// Capacity is the capacity of a service's backends in concurrent requests, by version. PeakInUse is the highest number of requests that
// were in progress at the same time, or 0 if unknown. If it is unknown, CheckCapacity assumes defaultUtilization of the total capacity.
type Capacity struct{ Baseline, Canary, PeakInUse int }

const (
	spareFactor        = 1.25 // required ratio of a version's capacity to its expected peak use
	defaultUtilization = 0.7  // peak use as a fraction of the total capacity, assumed if PeakInUse is unknown
)

// CheckCapacity returns an error if the baseline does not have the capacity to take all users back at any time, or if the canary does
// not have the capacity for its largest share.
func (s *Spec) CheckCapacity(c Capacity) error {
	switch {
	case c.Baseline <= 0:
		return logentry.FieldErrorf("old", "%s has room for none of the requests: the capacity of its backends is 0", s.Old)
	case c.Canary <= 0:
		return logentry.FieldErrorf("new", "%s has room for none of the requests: the capacity of its backends is 0", s.New)
	}
	peakInUse := float64(c.PeakInUse)
	if c.PeakInUse <= 0 {
		peakInUse = defaultUtilization * float64(c.Baseline+c.Canary)
	}
	if required := peakInUse * spareFactor; float64(c.Baseline) < required {
		return logentry.FieldErrorf("old", "%s has room for %d concurrent requests, but %.0f are needed to take all users back", s.Old, c.Baseline, required)
	}
	last := len(s.Steps) - 1
	if required := peakInUse * spareFactor * float64(s.Steps[last].Share) / FullShare; float64(c.Canary) < required {
		return logentry.FieldErrorf(fmt.Sprintf("steps[%d].share", last), "%s has room for %d concurrent requests, but this share needs %.0f",
			s.New, c.Canary, required)
	}
	return nil
}

// CheckReferences returns an error if the spec names a service, route, tenant or zone that the configuration in force does not contain. Each
// argument is a function that reports whether the configuration contains an object of that type with the given name.
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

// minTime returns MinTime as a time.Duration.
func (s Step) minTime() time.Duration { return time.Duration(s.MinTime) }

// String returns a summary with the service, both versions and the number of steps.
func (s *Spec) String() string {
	return fmt.Sprintf("%s from %s to %s in %d steps", s.Service, s.Old, s.New, len(s.Steps))
}
