package loadbalancer

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// Guards against an error that names the wrong setting or no setting. New must report the name of the first setting that is missing or
// invalid.
func TestNewReportsFirstInvalidSetting(t *testing.T) {
	for _, tc := range []struct{ name, value, problem string }{
		{"me", "", "missing"},
		{"zone", "-1", "not an integer in the allowed range"},
		{"rules.cold_from", "much", "not a number"},
		{"products.1.sla_time", "", "missing"},
		{"products.1.late_value", "", "missing"},
		{"plans.1.price", "x", "not a number"},
		{"quota.mail_per_s", "x", "not a number"},
	} {
		s := defaultTestSettings(0)
		if s[tc.name] = tc.value; tc.value == "" {
			delete(s, tc.name)
		}
		_, err := New(1, s, 0)
		var settingErr *SettingError
		must.True(t, errors.As(err, &settingErr), must.Sprint(tc))
		must.Eq(t, SettingError{Name: tc.name, Problem: tc.problem}, *settingErr)
	}
	_, err := New(1, control.Settings{}, 0)
	must.EqError(t, err, "setting me: missing")
}
