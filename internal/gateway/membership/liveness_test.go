package membership

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Each node without a disk chooses an upstream, which is the node with a disk whose log stream it applies. Guards against the fault
// that all nodes in a zone without a disk chose the first upstream by address. With six nodes with a disk, the first of the six
// then received twice the mean load.
func TestNodesPreferDifferentUpstreams(t *testing.T) {
	const nodes, disks = 600, 6
	preferredBy := map[string]int{}
	for i := range nodes {
		from, best := fmt.Sprintf("10.0.%d.%d:7110", i/200, i%200), ""
		for d := range disks {
			if a := fmt.Sprintf("10.1.0.%d:7110", d); best == "" || Prefers(from, a, best) {
				best = a
			}
		}
		preferredBy[best]++
	}
	must.MapLen(t, disks, preferredBy)
	for a, n := range preferredBy {
		must.Between(t, nodes/disks/2, n, nodes/disks*3/2, must.Sprint(a))
	}
	must.False(t, Prefers("a", "b", "b"))
	must.NotEq(t, Prefers("a", "b", "c"), Prefers("a", "c", "b"))
}
