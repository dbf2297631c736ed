package statemachine

import "clovergap/internal/gateway/membership"

// These types are the gob encoding of entries and snapshots. Gob matches fields by name, and other versions of the program read
// entries and snapshots that this version writes. So the names of the fields must not change.
type (
	storedState struct {
		Bills    []byte          // snapshot of routing.Register
		Seats    []storedSlot    // the slot holders, indexed by slot
		Rollouts []byte          // snapshot of rollout.State; not in snapshots of the first version
		Founders []storedFounder // see Machine.founders; not in snapshots of the first version
	}
	// storedSlot is the encoding of a membership.SlotHolder.
	storedSlot struct{ Name, Addr, Control, Zone string }
	// storedFounder is the encoding of a membership.Founder.
	storedFounder struct {
		Disk membership.DiskID
		Addr string
	}
)

// init encodes an empty state. Gob numbers types in the order in which a process first encodes them, and these numbers are part
// of the encoded bytes. As the types of a snapshot are encoded first, equal states have equal bytes in all processes of a
// version.
func init() { New().Snapshot() }

func toStoredSlot(holder membership.SlotHolder) storedSlot {
	return storedSlot{Name: holder.Name, Addr: holder.Addr, Control: holder.Control, Zone: holder.Zone}
}

func (s storedSlot) toMembershipSlot() membership.SlotHolder {
	return membership.SlotHolder{Name: s.Name, Addr: s.Addr, Control: s.Control, Zone: s.Zone}
}

// toStoredSlots returns nil for an empty list, and so do fromStoredSlots, toStoredFounders and fromStoredFounders. Gob omits nil lists
// and empty lists alike, so both are decoded as nil. A restored state must equal its original.
func toStoredSlots(holders []membership.SlotHolder) (stored []storedSlot) {
	for _, holder := range holders {
		stored = append(stored, toStoredSlot(holder))
	}
	return stored
}

func fromStoredSlots(stored []storedSlot) (holders []membership.SlotHolder) {
	for _, s := range stored {
		holders = append(holders, s.toMembershipSlot())
	}
	return holders
}

func toStoredFounders(founders []membership.Founder) (stored []storedFounder) {
	for _, founder := range founders {
		stored = append(stored, storedFounder{Disk: founder.Disk, Addr: founder.Addr})
	}
	return stored
}

func fromStoredFounders(stored []storedFounder) (founders []membership.Founder) {
	for _, founder := range stored {
		founders = append(founders, membership.Founder{Disk: founder.Disk, Addr: founder.Addr})
	}
	return founders
}
