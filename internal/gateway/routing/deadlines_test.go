package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a change that sets the deadline of a route to 0, so that each request on the route times out before it begins. A long
// random simulation once accepted such a change. Routes with another deadline or without a deadline pass the check.
func TestCheckDeadlinesRejectsZero(t *testing.T) {
	vhostsField := func(deadline string) string {
		return `"vhosts":[{"hostname":"a.example","path_list":[{"name":"r","path_prefix":"/a/","variant":"pure","target":"s"` + deadline + `}]}]`
	}
	for deadline, wantError := range map[string]bool{
		`,"deadline":"0ms"`: true, `,"deadline":"0s"`: true, `,"deadline":"0.0s"`: true, ``: false, `,"deadline":"1ms"`: false,
		`,"deadline":"0.5s"`: false, `,"deadline":"soon"`: false, // an invalid duration is rejected by validation, not by CheckDeadlines
	} {
		replaceErr, amendErr := CheckDeadlines([]byte("{"+vhostsField(deadline)+"}")), CheckDeadlines([]byte(`{"upserts":{`+vhostsField(deadline)+"}}"))
		must.Eq(t, wantError, replaceErr != nil, must.Sprint(deadline))
		must.Eq(t, wantError, amendErr != nil, must.Sprint(deadline))
		if wantError {
			must.StrContains(t, replaceErr.Error(), "vhosts[0].path_list[0].deadline")
			must.StrContains(t, amendErr.Error(), "upserts.vhosts[0].path_list[0].deadline")
			must.StrContains(t, replaceErr.Error(), "must be above 0")
		}
	}
	must.NoError(t, CheckDeadlines([]byte("{")))
}
