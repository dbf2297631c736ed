package loadbalancer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// settingsReader reads settings and keeps the first complaint.
type settingsReader struct {
	settings control.Settings
	err      error
}

func (s *settingsReader) fail(name, why string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: %s", name, why)
	}
}

func (s *settingsReader) text(name string) string {
	v, ok := s.settings[name]
	if !ok {
		s.fail(name, "missing")
	}
	return v
}

func (s *settingsReader) number(name string) float64 {
	v, err := strconv.ParseFloat(s.text(name), 64)
	if err != nil {
		s.fail(name, "not a number")
	}
	return v
}

func (s *settingsReader) count(name string, most int) int {
	v, err := strconv.Atoi(s.text(name))
	if err != nil || v < 0 || v > most {
		s.fail(name, "not a whole number in range")
		return 0
	}
	return v
}

func (s *settingsReader) duration(name string) time.Duration {
	return time.Duration(s.number(name) * float64(time.Microsecond))
}

func (s *settingsReader) boolean(name string) bool { return s.text(name) == "true" }

func (s *settingsReader) list(name string) []string {
	if s.settings[name] == "" {
		return nil
	}
	return strings.Split(s.settings[name], ",")
}

// product, plan: a kind of txn and a kind of customer, as the settings have them.
type product struct {
	slaTime, repeatWindow time.Duration
	clientTimeout         time.Duration // how long a client waits in all, over all its tries
	attemptTimeout        time.Duration // and how long in one, as first tries show
	value, lateValue      float64
	effect, repeatScope   string
}

type plan struct {
	quota.Limit
	price, overValue, overCost float64
}

func (s *settingsReader) products() (all []product) {
	for i := 0; i < s.count("products.count", 255); i++ {
		at := fmt.Sprintf("products.%d.", i)
		all = append(all, product{slaTime: s.duration(at + "sla_time"), effect: s.text(at + "effect"),
			repeatScope: s.text(at + "repeat_scope"), repeatWindow: s.duration(at + "repeat_window"),
			value: s.number(at + "value"), lateValue: s.number(at + "late_value"), clientTimeout: s.duration(at + "expiry")})
	}
	return all
}

func (s *settingsReader) plans() (all []plan) {
	for i := 0; i < s.count("plans.count", 1<<16); i++ {
		at := fmt.Sprintf("plans.%d.", i)
		all = append(all, plan{quota.Limit{Rate: s.number(at + "rate"), Burst: s.number(at + "burst"),
			MaxInFlight: s.count(at+"open_cap", 1<<20), HardRate: s.number(at + "ceiling_rate"),
			HardBurst: s.number(at + "ceiling_burst")},
			s.number(at + "price"), s.number(at + "over_value"), s.number(at + "over_cost")})
	}
	return all
}
