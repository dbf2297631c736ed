package coordination_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/invariant"
	"clovergap/internal/lab/callhistory"
)

const simulationDuration = 25 * time.Second

// Simulations with all faults at once violate no guarantee, and at their end every call is answered. COORDINATION_DAYS sets the number of
// simulations.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	runs := uint64(60)
	if invariant.Debug {
		runs = 12
	}
	if n, err := strconv.ParseUint(os.Getenv("COORDINATION_DAYS"), 10, 32); err == nil {
		runs = n
	}
	calls := 0
	for seed := range runs {
		s := newSimulation(seed, coordination.TestingKnobs{})
		for _, v := range s.runAndAudit(simulationDuration) {
			t.Errorf("seed %d: %v", seed, v)
		}
		if seed%6 == 0 {
			violations, undecided := callhistory.Linearizable(s.history, 5*time.Second)
			for _, v := range violations {
				t.Errorf("seed %d: %v", seed, v)
			}
			test.SliceEmpty(t, undecided)
		}
		calls += len(s.history)
		if t.Failed() {
			return
		}
	}
	t.Logf("%d simulations, %d calls", runs, calls)
}

// The simulations detect the absence of each safeguard in simulationFaults. TestExplorerDetectsFaults covers the safeguards that matter
// only in rare orders of calls.
func TestSimulationDetectsFaults(t *testing.T) {
	for name, knobs := range simulationFaults() {
		start, violation := time.Now(), ""
		seed := uint64(0)
		for ; seed < 60 && violation == ""; seed++ {
			if violations := newSimulation(seed, knobs).runAndAudit(simulationDuration); len(violations) > 0 {
				violation = violations[0].String()
			}
		}
		t.Logf("%s: %d simulations in %v: %s", name, seed, time.Since(start).Round(time.Millisecond), violation)
		test.NotEq(t, "", violation, test.Sprint(name))
	}
}
