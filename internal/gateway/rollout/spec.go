// Package rollout shifts a share of a service's users onto a new version of it, and pulls them back when that
// version fails. A node asks it for the side of each request and tells it how each ended; the node with the duty
// sums what all nodes found and judges; orders and verdicts are entries of the core's ordered log. It does no
// I/O: inputs only update what is known, the host pulls with Next. See docs/rollouts.md.
package rollout

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// FullShare is all users: shares are in 1/10000.
const FullShare = 10000

// Number names a roll-out: no two have the same. 0 is none.
type Number uint64

// Duration is a time that JSON writes with its unit.
type Duration = logentry.Duration

// Spec is an order: which version takes over from which, and how.
type Spec struct {
	Service string          `json:"service" validate:"required,max=128"`
	Old     string          `json:"old" validate:"required,max=128"`             // generation in the backends' beats
	New     string          `json:"new" validate:"required,max=128,nefield=Old"` // generation
	Steps   []Step          `json:"steps" validate:"required,max=16,dive"`
	Limits  Limits          `json:"limits"`
	Failing FailureCriteria `json:"failing"`
	Advance string          `json:"advance" validate:"oneof=time word"` // who goes on to the next step
}

// Step is a share of users, and what must pass before the next one.
type Step struct {
	Share    int      `json:"share" validate:"min=1,max=9000"`    // in 1/10000; a tenth stays to compare with
	MinTime  Duration `json:"min_time" validate:"min=1000000000"` // a second or more
	Requests int      `json:"requests" validate:"min=0"`          // on the new side, over all nodes
}

// Limits bind a roll-out to some of the traffic; an empty list binds nothing. Zones are the nodes'.
type Limits struct {
	Tenants []string `json:"tenants" validate:"max=64,dive,required"`
	Routes  []string `json:"routes" validate:"max=256,dive,required"`
	Zones   []string `json:"zones" validate:"max=32,dive,required"`
}

// FailureCriteria tells what counts, always against the old version in the same span. What is left out has the value
// of Usual.
type FailureCriteria struct {
	Causes   []string `json:"causes" validate:"required,dive,oneof=5xx none wrong full"`
	Extra    int      `json:"extra" validate:"min=0,max=5000"`       // so many more failing, in 1/10000, are borne
	Quantile int      `json:"quantile" validate:"min=5000,max=9900"` // in 1/10000, of the old version's times
	Slower   int      `json:"slower" validate:"min=100,max=1000"`    // so many hundredths of it are borne
}

// DefaultFailureCriteria is what failing means where an order does not say.
func DefaultFailureCriteria() FailureCriteria {
	return FailureCriteria{Causes: []string{"5xx", "none", "wrong"}, Extra: 10, Quantile: 9500, Slower: 130}
}

// Capacity is a service's backends, in requests at a time: those of the old version, of the new one, and how many
// are used at the busiest (0: not known, then seven tenths of all).
type Capacity struct{ Old, New, Busy int }

// spareFactor is what must be free beyond the busiest: a quarter.
const spareFactor = 1.25

// Normalize fills in what is left out and tells what is wrong, by the name of the field.
func (s *Spec) Normalize() error {
	u, f := DefaultFailureCriteria(), &s.Failing
	if len(f.Causes) == 0 {
		f.Causes, f.Extra = u.Causes, max(f.Extra, u.Extra)
	}
	if f.Quantile == 0 {
		f.Quantile = u.Quantile
	}
	if f.Slower == 0 {
		f.Slower = u.Slower
	}
	if s.Advance == "" {
		s.Advance = "word"
	}
	if err := logentry.Validate(s); err != nil {
		return err
	}
	for i := 1; i < len(s.Steps); i++ {
		if s.Steps[i].Share <= s.Steps[i-1].Share {
			return errors.Errorf("steps[%d].share: %d is not above the step before", i, s.Steps[i].Share)
		}
	}
	return nil
}

// CheckCapacity tells whether there is room: the old version can take all back at any moment, the new one bears its
// largest share.
func (s *Spec) CheckCapacity(m Capacity) error {
	switch {
	case m.Old <= 0:
		return errors.Errorf("old: %s has room for none", s.Old)
	case m.New <= 0:
		return errors.Errorf("new: %s has room for none", s.New)
	}
	busy := float64(m.Busy)
	if m.Busy <= 0 {
		busy = 0.7 * float64(m.Old+m.New)
	}
	if need := busy * spareFactor; float64(m.Old) < need {
		return errors.Errorf("old: %s has room for %d at a time, %.0f must stay to take all users back",
			s.Old, m.Old, need)
	}
	last := len(s.Steps) - 1
	if need := busy * spareFactor * float64(s.Steps[last].Share) / FullShare; float64(m.New) < need {
		return errors.Errorf("steps[%d].share: %s has room for %d at a time, %.0f are needed", last, s.New, m.New, need)
	}
	return nil
}

// CheckReferences tells whether the configuration in force has what an order names.
func (s *Spec) CheckReferences(service, route, tenant, zone func(string) bool) error {
	if !service(s.Service) {
		return errors.Errorf("service: no %q in the configuration", s.Service)
	}
	for _, l := range []struct {
		field string
		names []string
		has   func(string) bool
	}{{"routes", s.Limits.Routes, route}, {"tenants", s.Limits.Tenants, tenant}, {"zones", s.Limits.Zones, zone}} {
		if i := slices.IndexFunc(l.names, func(n string) bool { return !l.has(n) }); i >= 0 {
			return errors.Errorf("limits.%s[%d]: no %q in the configuration", l.field, i, l.names[i])
		}
	}
	return nil
}

// Scope is where a request belongs. Empty: to none.
type Scope struct{ Tenant, Route, Zone string }

func (l *Limits) matches(s Scope) bool {
	in := func(list []string, one string) bool { return len(list) == 0 || slices.Contains(list, one) }
	return in(l.Tenants, s.Tenant) && in(l.Routes, s.Route) && in(l.Zones, s.Zone)
}

// Side is a version of a service.
type Side uint8

// Old is also the side of all that no order is about.
const (
	Baseline Side = iota
	Canary
)

func (s Side) String() string { return [...]string{"old", "new"}[s] }

// MayAttempt tells whether a request that began on one side may go, or go again, to another: never from old to new.
func MayAttempt(began, to Side) bool { return to == Baseline || began == Canary }

const fnvOffset, fnvPrime = 14695981039346656037, 1099511628211

func fnv1a[T string | []byte](h uint64, b T) uint64 {
	for i := range len(b) {
		h = (h ^ uint64(b[i])) * fnvPrime
	}
	return h
}

// hashSalt makes every roll-out begin with other users.
func hashSalt(service string, n Number) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	return fnv1a(fnv1a(fnvOffset, service), b[:])
}

// mixBits spreads all bits over all: the hash alone leaves its upper bits alike for texts that end alike. Murmur3's
// finalizer (Appleby).
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// userPosition of a user among all, 0 to Whole-1. It does not depend on shares, so whoever is on the new side stays
// there while they grow; and it is the same at every node.
func userPosition(salt uint64, user []byte) int {
	hi, _ := bits.Mul64(mixBits(fnv1a(salt, user)), FullShare)
	return int(hi)
}

// CountMoved counts how many of some users each step of an order would move: for a dry run, where users are few.
func (s *Spec) CountMoved(n Number, users [][]byte) []int {
	counts, count := make([]int, len(s.Steps)), hashSalt(s.Service, n)
	for _, u := range users {
		p := userPosition(count, u)
		for i := range s.Steps {
			if p < s.Steps[i].Share {
				counts[i]++
			}
		}
	}
	return counts
}

func (s *Spec) String() string {
	return fmt.Sprintf("%s from %s to %s in %d steps", s.Service, s.Old, s.New, len(s.Steps))
}
