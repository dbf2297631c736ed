package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/logstore"
)

// largeConfig is a configuration of about so many bytes, mostly tenants.
func largeConfig(generation, parent, bytes int) string {
	b := configBody(generation, parent)
	var t strings.Builder
	for i := 0; t.Len() < bytes; i++ {
		fmt.Fprintf(&t, `,{"name":"t%06d","api_keys":["key-of-the-tenant-%06d-%d"],"priority":1,"rate_per_s":5,"burst":5}`, i, i, generation)
	}
	return strings.Replace(b, `"services"`, `"tenants":[`+t.String()[1:]+`],"services"`, 1)
}

func envInt(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// A member that is away for many large configurations has the newest soon after it is back, and so has a learner; no file grows with their
// number; a configuration that is too large for the disk is refused before it is taken, with the bound.
func TestAwayForManyLargeConfigurations(t *testing.T) {
	const replace = "/api/Config.Replace"
	size, times := envInt("CONFIG_BYTES", 200<<10), envInt("CONFIG_CHANGES", 8)
	d := startCluster(t, 4)
	d.eventuallyAll("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	d.callUntilClear(0, 200, "POST", replace, largeConfig(1, 0, size))
	away := 0
	for i := range 3 {
		if d.status(i).Core.Role != "leading" {
			away = i
		}
	}
	d.kill(away)
	d.kill(3)
	left := (away + 1) % 3
	began := time.Now()
	for n := range times {
		d.callUntilClear(left, 200, "POST", replace, largeConfig(n+2, n+1, size))
	}
	took := time.Since(began)
	level := func(s controlapi.NodeStatus) bool { return s.Generation == uint64(times+1) }
	for _, i := range []int{away, 3} {
		began = time.Now()
		d.start(i)
		d.eventually("to be level", func() bool { return level(d.status(i)) })
		t.Logf("node %d is level after %v; %d changes took %v", i, time.Since(began), times, took)
	}
	d.eventuallyAll("the newest", level)
	for i := range 3 {
		info, err := os.Stat(filepath.Join(d.settings[i].DataDir, logstore.FileName))
		must.NoError(t, err)
		t.Logf("node %d: %d KB on disk", i, info.Size()>>10)
		must.LessEq(t, int64(diskCopiesPerState*size+1<<20), info.Size())
	}
	most := 1 << 20 / diskCopiesPerState // a disk of 1 MB
	for i := range 3 {
		d.running[i].loop.Turn(func() { d.running[i].settings.Limits.DiskMB = 1 })
	}
	text := d.callUntilClear(left, 413, "POST", replace, largeConfig(times+2, times+1, most+most/10))
	must.StrContains(t, text, `"too_large"`)
	must.StrContains(t, text, fmt.Sprint("at most ", most, " fit"))
	d.callUntilClear(left, 412, "POST", replace, largeConfig(times+2, times, most+most/10)) // not its size is what is wrong
	d.callUntilClear(left, 200, "POST", replace, largeConfig(times+2, times+1, most-most/5))
}
