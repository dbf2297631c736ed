package simulation

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// applicationDay draws a day on which applications call, the hard ones every other time.
func applicationDay(seed uint64) *Day {
	site := []Site{{Nodes: 10, Disks: 8}, {Nodes: 6, Disks: 5}, {Nodes: 9, Disks: 8, Mbps: 2}, {Nodes: 5, Disks: 3}}[seed%4]
	d := Draw(site, seed, 6, 8*time.Second)
	if seed%2 == 1 {
		d = DrawHard(site, seed, 6, 8*time.Second)
	}
	d.Callers = 5
	return d
}

// Days on which applications call for locks, numbers, keys and watches, over real groups: no rule on these is broken, whatever befalls the
// nodes. APPLICATION_DAYS plays so many, from APPLICATION_SEED on.
func TestApplicationDays(t *testing.T) {
	t.Parallel()
	days, first := 8, 0
	if n, err := strconv.Atoi(os.Getenv("APPLICATION_DAYS")); err == nil {
		days = n
	}
	if n, err := strconv.Atoi(os.Getenv("APPLICATION_SEED")); err == nil {
		first = n
	}
	calls, clear, wrong := 0, 0, 0
	for seed := first; seed < first+days; seed++ {
		r := Play(applicationDay(uint64(seed)))
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
			wrong++
		}
		must.Zero(t, r.Undecided)
		calls, clear = calls+r.Calls, clear+r.ClearCalls
		if wrong > 20 {
			break
		}
	}
	t.Logf("%d days, %d calls of applications, %d of them answered clearly", days, calls, clear)
	must.Greater(t, calls*3/4, clear)
}
