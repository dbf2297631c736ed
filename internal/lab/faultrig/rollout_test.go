package faultrig

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/gatewaystandin"
)

// A schedule comes again from its seed, its arms differ in nothing that is drawn, and its order is sound.
func TestDrawRollout(t *testing.T) {
	causes := map[string]int{}
	for seed := range uint64(200) {
		for play := range gatewaystandin.Plays() {
			s := DrawRollout(play, Judged, seed, 5, 12*time.Second)
			other := DrawRollout(play, Unjudged, seed, 5, 12*time.Second)
			must.Eq(t, s.Faults, other.Faults)
			must.Eq(t, s.Flaw, other.Flaw)
			for _, s := range []*RolloutSchedule{s, other} {
				o := s.order()
				must.NoError(t, o.Normalize())
				must.Len(t, 4, o.Steps)
			}
			must.Between(t, 2, s.Step, 4)
			causes[s.Flaw.Cause]++
		}
	}
	must.MapLen(t, len(gatewaystandin.Causes), causes)
}

func TestRolloutsAreSummed(t *testing.T) {
	run := func(pulled int, last time.Duration, met int) *RolloutResult {
		r := &RolloutResult{Pulled: pulled, Met: gatewaystandin.Met{Last: last, Requests: met}, Recorded: 10,
			Open: gatewaystandin.Open{All: 1, Why: map[string]int{"never sent on": 1}}}
		r.Nodes = 5
		return r
	}
	s := SumRollouts([]*RolloutResult{run(5, 3*time.Second, 30), run(5, time.Second, 10), run(5, 2*time.Second, 20), run(0, 0, 900)})
	must.Eq(t, Distribution{2 * time.Second, 3 * time.Second}, s.Last)
	must.Eq(t, [2]int{20, 30}, s.Met) // of those that were pulled back
	must.Eq(t, 3, s.Pulled)
	must.Eq(t, 4, s.Why["never sent on"])
	must.Eq(t, [2]int{900, 900}, SumRollouts([]*RolloutResult{run(0, 0, 900)}).Met)
}
