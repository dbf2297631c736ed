package statemachine

import "clovergap/internal/gateway/membership"

// The forms in which gob keeps entries and snapshots. Gob goes by the names of fields, and other versions read what this one
// writes, so these names stay as they are.
type (
	storedState struct {
		Bills    []byte // routing.Register's snapshot
		Seats    []storedSlot
		Rollouts []byte          // rollout.State's snapshot; not in snapshots of the first version
		Founders []storedFounder // nor are these
	}
	storedSlot    struct{ Name, Addr, Control, Zone string }
	storedFounder struct {
		Disk membership.DiskID
		Addr string
	}
)

// init encodes an empty state. Gob numbers types in the order in which a process first encodes them, and the numbers are part of
// its bytes: with a snapshot's types first, equal states have equal bytes in all processes of a version.
func init() { New().Snapshot() }

func storeSlot(holder membership.SlotHolder) storedSlot {
	return storedSlot{Name: holder.Name, Addr: holder.Addr, Control: holder.Control, Zone: holder.Zone}
}

func (s storedSlot) slot() membership.SlotHolder {
	return membership.SlotHolder{Name: s.Name, Addr: s.Addr, Control: s.Control, Zone: s.Zone}
}

// storeSlots gives nil for none, as do the others: gob omits both, but a restored state must equal its original.
func storeSlots(holders []membership.SlotHolder) (stored []storedSlot) {
	for _, holder := range holders {
		stored = append(stored, storeSlot(holder))
	}
	return stored
}

func slotsOf(stored []storedSlot) (holders []membership.SlotHolder) {
	for _, s := range stored {
		holders = append(holders, s.slot())
	}
	return holders
}

func storeFounders(founders []membership.Founder) (stored []storedFounder) {
	for _, founder := range founders {
		stored = append(stored, storedFounder{Disk: founder.Disk, Addr: founder.Addr})
	}
	return stored
}

func foundersOf(stored []storedFounder) (founders []membership.Founder) {
	for _, founder := range stored {
		founders = append(founders, membership.Founder{Disk: founder.Disk, Addr: founder.Addr})
	}
	return founders
}
