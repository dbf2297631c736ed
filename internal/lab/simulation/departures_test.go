package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/history"
)

// Guards against an acknowledged departure that is forgotten when all processes end, by a kill or a loss of power. On the days of the first two
// seeds that happens if nodes do not store departures. On the days of the others it happens if a node counts a copy of a departure before the
// copy is on the disk, while disks hang, are slow or full.
func TestDepartures(t *testing.T) {
	t.Parallel()
	site := Site{Nodes: 6, Disks: 3}
	for _, seed := range []uint64{1, 6, 104, 184} {
		day := DrawDepartures(site, seed, 22*time.Second)
		must.Eq(t, day, DrawDepartures(site, seed, 22*time.Second))
		r := Play(day)
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		departures := 0
		for _, e := range r.History {
			if e.Kind == history.Notified {
				departures++
			}
		}
		must.Greater(t, 0, departures, must.Sprint("seed ", seed))
		must.Greater(t, r.Counts.Requested/2, r.Counts.Served, must.Sprint("seed ", seed))
	}
}
