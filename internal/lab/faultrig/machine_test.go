package faultrig

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Rules that rest on times hold for a machine that keeps up, and for no other: neither one that holds the rig up nor one whose disk takes longer for
// a sync than a core bears. A sync that has not ended counts.
func TestTimesOfASlowMachineAreNotTrusted(t *testing.T) {
	for _, test := range []struct {
		name        string
		stall, sync time.Duration
		underWay    time.Duration // since the begin of a sync that has not ended
		trusted     bool
	}{
		{name: "fast", trusted: true},
		{name: "at the bounds", stall: maxRigStall, sync: maxDiskSync, trusted: true},
		{name: "held up", stall: maxRigStall + 1},
		{name: "slow disk", sync: maxDiskSync + 1},
		{name: "hanging disk", underWay: maxDiskSync + time.Second},
	} {
		m := &machineWatch{}
		m.stall.Store(int64(test.stall))
		m.sync.Store(int64(test.sync))
		if test.underWay > 0 {
			m.syncAt.Store(time.Now().Add(-test.underWay).UnixNano())
		}
		must.Eq(t, test.trusted, m.trusted(), must.Sprint(test.name))
		r := GatewayResult{Slow: m.longestStall(), SlowDisk: m.longestSync()}
		must.Eq(t, test.trusted, r.TimesTrusted(), must.Sprint(test.name))
	}
}

// The watch measures syncs of the disk, ends when it is closed, and leaves no file behind.
func TestMachineWatchMeasures(t *testing.T) {
	m, err := watchMachine()
	must.NoError(t, err)
	for end := time.Now().Add(time.Minute); m.sync.Load() == 0; {
		must.True(t, time.Now().Before(end))
	}
	m.close()
	m.close()
	must.Greater(t, 0, m.longestSync())
	must.DirNotExists(t, m.dir)
}
