package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/gatewaystandin"
)

// A node without a disk follows one that loses its disk and is back soon, while it cannot feed anybody yet. The wish to follow was passed
// over by it without a word, and as it said other things the follower stayed with it for 5 s: it went by a configuration for longer than
// a change may take to be in force (lab/days/mvk-anadolu-36.toml).
func TestFollowsOneThatComesBackEmpty(t *testing.T) {
	t.Parallel()
	for lost := range 3 {
		for _, away := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			w := newWorld(&Day{Site: Site{Nodes: 12, Disks: 3}.Usual(), Seed: 5, For: time.Second})
			for _, m := range w.machines {
				m.start()
			}
			w.operator.open(func() {})
			level := func() bool { // with whatever was acknowledged so long ago
				for _, m := range w.machines[3:] {
					for gen, v := range w.operator.versions {
						if v.Acked > 0 && w.now-v.Acked > gatewaystandin.Bounds().ApplyWithin && gen > m.process.node.Status().Generation {
							return false
						}
					}
				}
				return true
			}
			w.until(w.now+5*time.Second, nil)
			must.True(t, level())
			m := w.machines[lost]
			m.kill(true)
			m.loseDisk()
			w.after(away, m.start)
			behind := false
			w.every(checkInterval, func() bool { behind = behind || !level(); return true })
			w.until(w.now+7*time.Second, nil)
			must.False(t, behind, must.Sprint(lost, " ", away))
		}
	}
}
