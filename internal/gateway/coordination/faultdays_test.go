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

const daySpan = 25 * time.Second

// Days of all faults at once break no rule, and at their end every call is answered. COORDINATION_DAYS sets the number of days.
func TestDays(t *testing.T) {
	days := uint64(60)
	if invariant.Debug {
		days = 12
	}
	if n, err := strconv.ParseUint(os.Getenv("COORDINATION_DAYS"), 10, 32); err == nil {
		days = n
	}
	calls := 0
	for seed := range days {
		d := newDay(seed, coordination.TestingKnobs{})
		for _, v := range d.play(daySpan) {
			t.Errorf("seed %d: %v", seed, v)
		}
		if seed%6 == 0 {
			broken, undecided := callhistory.Linearizable(d.history, 5*time.Second)
			for _, v := range broken {
				t.Errorf("seed %d: %v", seed, v)
			}
			test.SliceEmpty(t, undecided)
		}
		calls += len(d.history)
		if t.Failed() {
			return
		}
	}
	t.Logf("%d days, %d calls", days, calls)
}

// The days notice the removal of each defence; TestExploreNoticesFaults has those that are about rare orders.
func TestDaysNoticeFaults(t *testing.T) {
	for name, knobs := range faultsOfDays() {
		began, found := time.Now(), ""
		seed := uint64(0)
		for ; seed < 60 && found == ""; seed++ {
			if broken := newDay(seed, knobs).play(daySpan); len(broken) > 0 {
				found = broken[0].String()
			}
		}
		t.Logf("%s: day %d, %v: %s", name, seed, time.Since(began).Round(time.Millisecond), found)
		test.NotEq(t, "", found, test.Sprint(name))
	}
}
