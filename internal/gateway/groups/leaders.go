package groups

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// PreferredLeaders returns the preferred leader of each group as the member ID of a disk. It goes through the groups in order
// and assigns each to the disk that ranks highest for the group and has fewer than its share of groups so far. The result does
// not depend on the order of disks. If a disk is removed, few of the groups that other disks lead move to another leader.
// Without disks, all preferred leaders are 0.
func PreferredLeaders(disks []uint64) (leaders [Count]uint64) {
	if len(disks) == 0 {
		return leaders
	}
	share := (Count + len(disks) - 1) / len(disks)
	groupsLed := map[uint64]int{}
	for id := range leaders {
		for _, disk := range RankDisks(ID(id), disks) {
			if groupsLed[disk] < share {
				groupsLed[disk]++
				leaders[id] = disk
				break
			}
		}
	}
	return leaders
}

// RankDisks returns the disks in the order of their rendezvous weights for a group, the highest first.
func RankDisks(id ID, disks []uint64) []uint64 {
	ranked := slices.Clone(disks)
	slices.SortFunc(ranked, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(id, b), rendezvousWeight(id, a)), cmp.Compare(a, b))
	})
	return ranked
}

// rendezvousWeight returns a hash of a group and a disk. The high bits of FNV differ little between two short inputs. The
// multiplication by a constant of MurmurHash3's finalizer mixes them.
func rendezvousWeight(id ID, disk uint64) uint64 {
	const mix = 0xff51afd7ed558ccd
	sum := fnv.New64a()
	sum.Write(binary.BigEndian.AppendUint64([]byte{byte(id)}, disk))
	hash := sum.Sum64()
	hash = (hash ^ hash>>33) * mix
	return hash ^ hash>>33
}
