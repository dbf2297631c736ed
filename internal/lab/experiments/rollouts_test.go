package experiments

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/gatewaystandin"
)

// The page has both versions' courses and the moment of the pull-back, where there was one.
func TestRolloutsAreDrawn(t *testing.T) {
	pulled := &faultrig.RolloutResult{Play: "sale-day", Flaw: "20% 5xx <of writes>", Pulled: 5, SpoiltAt: 0.7, PulledAt: 1.2,
		Met:    gatewaystandin.Met{Last: 2 * time.Second, Requests: 40, Failing: 8},
		Course: []gatewaystandin.Moment{{At: 0, Old: 50, New: 5}, {At: 0.5, Old: 40, New: 15, NewBad: 3}, {At: 1, Old: 60}}}
	good := &faultrig.RolloutResult{Play: "sale-day", Arm: faultrig.Good}
	pulled.Nodes, good.Nodes = 5, 5
	var b bytes.Buffer
	must.NoError(t, Rollouts(&b, "a day", []*faultrig.RolloutResult{pulled, good}))
	page := b.String()
	for _, want := range []string{"a day", "20% 5xx &lt;of writes&gt;", "1 pulled back", "2s (median)"} {
		must.True(t, strings.Contains(page, want), must.Sprint(want))
	}
	must.Eq(t, 4, strings.Count(page, "<svg"))
	must.Eq(t, 2, strings.Count(page, "it begins to fail")) // in the charts of the one that failed
}
