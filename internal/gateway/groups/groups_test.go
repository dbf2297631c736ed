package groups

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Which group a name is in is part of what is on disk: these stand as they are.
func TestGroupOfIsStable(t *testing.T) {
	var seen [Count]int
	for i := range 4000 {
		seen[GroupOf(fmt.Sprintf("l%xf", i))]++
	}
	for id, n := range seen {
		must.Between(t, 400, n, 600, must.Sprint("group ", id))
	}
	must.Eq(t, []ID{1, 4, 1, 1}, []ID{GroupOf("l1f"), GroupOf("n2"), GroupOf("g1."), GroupOf("")})
	must.Eq(t, "g1.", KeyGroup("g1.2d.x"))
	must.Eq(t, "g1", KeyGroup("g1"))
}

// Each disk has its share, whatever the order they are named in; when one goes, of the groups that others had few move.
func TestPreferredLeaders(t *testing.T) {
	for n := 1; n <= 12; n++ {
		var disks []uint64
		for i := range n {
			disks = append(disks, uint64(i+1)*7919)
		}
		to := PreferredLeaders(disks)
		has := map[uint64]int{}
		for _, disk := range to {
			has[disk]++
			must.LessEq(t, (Count+n-1)/n, has[disk])
		}
		slices.Reverse(disks)
		must.Eq(t, to, PreferredLeaders(disks))
		if n < 3 {
			continue
		}
		left, moved := PreferredLeaders(disks[1:]), 0
		for id := range to {
			if to[id] != disks[0] && to[id] != left[id] {
				moved++
			}
		}
		must.LessEq(t, Count/2, moved, must.Sprintf("%d disks", n))
	}
	must.Eq(t, [Count]uint64{}, PreferredLeaders(nil))
}
