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

// Simulations in which all kinds of faults occur violate no guarantee and leave no call unanswered. The environment variable
// COORDINATION_DAYS sets the number of simulations.
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
			t.Errorf("simulation with seed=%d violates a guarantee: %v", seed, v)
		}
		if seed%6 == 0 {
			violations, undecided := callhistory.Linearizable(s.history, 5*time.Second)
			for _, v := range violations {
				t.Errorf("history of the simulation with seed=%d is not linearizable: %v", seed, v)
			}
			test.SliceEmpty(t, undecided)
		}
		calls += len(s.history)
		if t.Failed() {
			return
		}
	}
	t.Logf("ran %d simulations with %d calls", runs, calls)
}

// The simulations detect each fault in simulationFaults. TestExplorerDetectsFaults covers the faults that show only in rare orders of calls.
func TestSimulationDetectsFaults(t *testing.T) {
	for name, knobs := range simulationFaults() {
		start, violation := time.Now(), ""
		seed := uint64(0)
		for ; seed < 60 && violation == ""; seed++ {
			if violations := newSimulation(seed, knobs).runAndAudit(simulationDuration); len(violations) > 0 {
				violation = violations[0].String()
			}
		}
		t.Logf("fault %q: ran %d simulations in %v, violation: %s", name, seed, time.Since(start).Round(time.Millisecond), violation)
		test.NotEq(t, "", violation, test.Sprint(name))
	}
}
