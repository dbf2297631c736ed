package groups

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// PreferredLeaders spreads the groups over disks, by their member IDs: group by group, the disk of the highest rank for it that has fewer
// than its share so far. The same disks, in whatever order, give the same; where one goes, few groups of the others move. Without disks
// all are 0.
func PreferredLeaders(disks []uint64) (leaders [Count]uint64) {
	if len(disks) == 0 {
		return leaders
	}
	share := (Count + len(disks) - 1) / len(disks)
	led := map[uint64]int{}
	for id := range leaders {
		for _, disk := range RankDisks(ID(id), disks) {
			if led[disk] < share {
				led[disk]++
				leaders[id] = disk
				break
			}
		}
	}
	return leaders
}

// RankDisks orders disks by their rendezvous weight for a group, the highest first.
func RankDisks(id ID, disks []uint64) []uint64 {
	ranked := slices.Clone(disks)
	slices.SortFunc(ranked, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(id, b), rendezvousWeight(id, a)), cmp.Compare(a, b))
	})
	return ranked
}

// rendezvousWeight is a hash of a group and a disk. FNV leaves the high bits of two short texts much alike; the multiplication, by a
// constant of MurmurHash3's finalizer, mixes them.
func rendezvousWeight(id ID, disk uint64) uint64 {
	const mix = 0xff51afd7ed558ccd
	sum := fnv.New64a()
	sum.Write(binary.BigEndian.AppendUint64([]byte{byte(id)}, disk))
	hash := sum.Sum64()
	hash = (hash ^ hash>>33) * mix
	return hash ^ hash>>33
}
