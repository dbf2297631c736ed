package groups

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// PreferredLeaders spreads the groups over disks: group by group, the disk with the highest weight for it that has fewer than its share so far. The
// same disks, in whatever order, give the same; where one goes, the groups of the others move little. None: all are 0.
func PreferredLeaders(disks []uint64) (to [Count]uint64) {
	if len(disks) == 0 {
		return to
	}
	share, has := (Count+len(disks)-1)/len(disks), map[uint64]int{}
	for id := range to {
		for _, disk := range RankDisks(ID(id), disks) {
			if has[disk] < share {
				has[disk]++
				to[id] = disk
				break
			}
		}
	}
	return to
}

// RankDisks are the disks by their weight for a group, the highest first.
func RankDisks(id ID, disks []uint64) []uint64 {
	ranked := slices.Clone(disks)
	slices.SortFunc(ranked, func(a, b uint64) int {
		if byWeight := cmp.Compare(rendezvousWeight(id, b), rendezvousWeight(id, a)); byWeight != 0 {
			return byWeight
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// rendezvousWeight is a rendezvous hash.
func rendezvousWeight(id ID, disk uint64) uint64 {
	sum := fnv.New64a()
	sum.Write(binary.BigEndian.AppendUint64([]byte{byte(id)}, disk))
	hash := sum.Sum64()
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd // FNV leaves the high bits of two short texts much alike
	return hash ^ hash>>33
}
