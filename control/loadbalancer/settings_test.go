package loadbalancer

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// The first setting that is missing or wrong is named, so that an operator need not look for it.
func TestSettingErrors(t *testing.T) {
	for _, tc := range []struct{ name, value, problem string }{
		{"me", "", "missing"},
		{"zone", "-1", "not a whole number in range"},
		{"rules.cold_from", "much", "not a number"},
		{"products.1.sla_time", "", "missing"},
		{"quota.mail_per_s", "x", "not a number"},
	} {
		s := settings(0)
		if s[tc.name] = tc.value; tc.value == "" {
			delete(s, tc.name)
		}
		_, err := New(1, s, 0)
		var wrong *SettingError
		must.True(t, errors.As(err, &wrong), must.Sprint(tc))
		must.Eq(t, SettingError{Name: tc.name, Problem: tc.problem}, *wrong)
	}
	_, err := New(1, control.Settings{}, 0)
	must.EqError(t, err, "setting me: missing")
}
