package groups

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Checks the assignment of names to groups. Stored data depends on it, so the expected groups must never change.
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

// Checks that no disk leads more than its share of groups and that the order of the disks does not matter. Also checks the
// removal of a disk: few of the groups that other disks lead may move to another leader.
func TestPreferredLeadersAreBalanced(t *testing.T) {
	for n := 1; n <= 12; n++ {
		var disks []uint64
		for i := range n {
			disks = append(disks, uint64(i+1)*7919)
		}
		leaders := PreferredLeaders(disks)
		groupsLed := map[uint64]int{}
		for _, disk := range leaders {
			groupsLed[disk]++
			must.LessEq(t, (Count+n-1)/n, groupsLed[disk])
		}
		slices.Reverse(disks)
		must.Eq(t, leaders, PreferredLeaders(disks))
		if n < 3 {
			continue
		}
		remaining, moved := PreferredLeaders(disks[1:]), 0
		for id := range leaders {
			if leaders[id] != disks[0] && leaders[id] != remaining[id] {
				moved++
			}
		}
		must.LessEq(t, Count/2, moved, must.Sprintf("%d disks", n))
	}
	must.Eq(t, [Count]uint64{}, PreferredLeaders(nil))
}

// Checks that nodes of different versions compute the same leaders. The expected values are those of commit dd5a45a.
func TestPreferredLeadersAreStable(t *testing.T) {
	const a, b, c = 347707248338, 363783961311, 774665722114
	must.Eq(t, [Count]uint64{b, a, c, a, b, a, c, b}, PreferredLeaders([]uint64{a, b, c}))
	must.Eq(t, []uint64{a, c, b}, RankDisks(3, []uint64{a, b, c}))
	must.Eq(t, [Count]uint64{5, 2, 3, 1, 1, 4, 2, 5}, PreferredLeaders([]uint64{1, 2, 3, 4, 5}))
	must.Eq(t, []uint64{1, 5, 4, 3, 2}, RankDisks(3, []uint64{1, 2, 3, 4, 5}))
}
