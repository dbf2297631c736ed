package loadbalancer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// effect is the consequence of running a txn twice. It determines whether a txn that may have run may be retried.
type effect string

const (
	inquiryLike effect = "inquiry-like" // running the txn again changes nothing, so a retry is allowed at any time
	referenced  effect = "referenced"   // backends drop a repeat within a time window and a scope
	onceOnly    effect = "once-only"    // running the txn again repeats its consequences, so a txn that may have run must not be retried
)

// scope is the set of backends that drop a repeat of a referenced txn.
type scope string

const (
	scopeAll  scope = "all"
	scopeZone scope = "zone" // backends of the zone in which the txn ran first
	scopePod  scope = "pod"  // backends of the pod in which the txn ran first
)

// product is a kind of txn.
type product struct {
	effect       effect
	repeatScope  scope         // for referenced products: backends that drop repeats
	repeatWindow time.Duration // for referenced products: time after the first submission that may have run; backends drop repeats in it
	slaTime      time.Duration // time within which the operator wants a response
}

// plan holds the limits of a customer and the terms of use beyond the quota.
type plan struct {
	quota.Limit
	overQuotaValue float64 // value of a response beyond the quota
	overQuotaCost  float64 // charge to the customer for a response beyond the quota
}

// SettingError is the error for a missing or invalid setting.
type SettingError struct {
	Name    string // name of the setting, or names of several related settings
	Problem string // what is wrong with the setting, for example "missing"
}

func (s *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", s.Name, s.Problem) }

// settingsReader reads settings and records the first error.
type settingsReader struct {
	settings control.Settings
	err      error // nil or a *SettingError
}

// recordError records an error if no earlier error is recorded.
func (s *settingsReader) recordError(name, problem string) {
	if s.err == nil {
		s.err = &SettingError{Name: name, Problem: problem}
	}
}

func (s *settingsReader) readText(name string) string {
	v, ok := s.settings[name]
	if !ok {
		s.recordError(name, "missing")
	}
	return v
}

func (s *settingsReader) readNumber(name string) float64 {
	v, err := strconv.ParseFloat(s.readText(name), 64)
	if err != nil {
		s.recordError(name, "not a number")
	}
	return v
}

// checkNumbers checks settings that must be numbers but on which no decision depends.
func (s *settingsReader) checkNumbers(names ...string) {
	for _, name := range names {
		s.readNumber(name)
	}
}

func (s *settingsReader) readCount(name string, maxValue int) int {
	v, err := strconv.Atoi(s.readText(name))
	if err != nil || v < 0 || v > maxValue {
		s.recordError(name, "not an integer in the allowed range")
		return 0
	}
	return v
}

// readDuration reads a number of microseconds.
func (s *settingsReader) readDuration(name string) time.Duration {
	return time.Duration(s.readNumber(name) * float64(time.Microsecond))
}

func (s *settingsReader) readBoolean(name string) bool { return s.readText(name) == "true" }

// readList reads names that are separated by commas. It returns nil for a missing or empty setting.
func (s *settingsReader) readList(name string) []string {
	if s.settings[name] == "" {
		return nil
	}
	return strings.Split(s.settings[name], ",")
}

func (s *settingsReader) readProducts() (all []product) {
	for i := range s.readCount("products.count", 255) {
		at := fmt.Sprintf("products.%d.", i)
		s.checkNumbers(at+"value", at+"late_value", at+"expiry")
		all = append(all, product{
			slaTime:      s.readDuration(at + "sla_time"),
			effect:       effect(s.readText(at + "effect")),
			repeatScope:  scope(s.readText(at + "repeat_scope")),
			repeatWindow: s.readDuration(at + "repeat_window"),
		})
	}
	return all
}

func (s *settingsReader) readPlans() (all []plan) {
	for i := range s.readCount("plans.count", 1<<16) {
		at := fmt.Sprintf("plans.%d.", i)
		s.checkNumbers(at + "price")
		all = append(all, plan{
			Limit: quota.Limit{
				Rate:        s.readNumber(at + "rate"),
				Burst:       s.readNumber(at + "burst"),
				MaxInFlight: s.readCount(at+"open_cap", 1<<20),
				HardRate:    s.readNumber(at + "ceiling_rate"),
				HardBurst:   s.readNumber(at + "ceiling_burst"),
			},
			overQuotaValue: s.readNumber(at + "over_value"),
			overQuotaCost:  s.readNumber(at + "over_cost"),
		})
	}
	return all
}
