package rehearsal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Days of all shapes keep the rules, and the same day gives the same bytes: no map and no clock has a say.
func TestDays(t *testing.T) {
	served := 0
	for seed, site := range []Site{{Doors: 5, Disks: 3}, {Doors: 3, Disks: 3}, {Doors: 7, Disks: 5, Mbps: 2}, {Doors: 1, Disks: 1},
		{Doors: 6, Disks: 3, Turn: 100 * time.Microsecond}, {Doors: 12, Disks: 3}} {
		for n := range 2 {
			day := func() *Result { return Play(Draw(site, uint64(10*seed+n), 6, 8*time.Second)) }
			r := day()
			for _, b := range r.Broken {
				t.Errorf("seed %d: %s", r.Day.Seed, b)
			}
			must.Eq(t, r.Digest, day().Digest)
			served += r.Counts.Served
		}
	}
	must.Greater(t, 4000, served)
}
