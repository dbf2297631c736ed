package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// maxSlots is the maximum number of slots. Slots are never released, because a slot identifies its node permanently in messages
// and bit sets.
const maxSlots = 1024

// SlotHolders returns the nodes that have a slot, indexed by slot.
func (m *Machine) SlotHolders() []membership.SlotHolder { return m.slots }

// assignSlot assigns the next slot to a node. If the node's address already has a slot, the node keeps it and the record of the
// node is replaced.
func (m *Machine) assignSlot(body []byte) (routing.Result, error) {
	var stored storedSlot
	if err := logentry.Decode(body, &stored, "read slot entry"); err != nil {
		return routing.Invalid, err
	}
	holder := stored.slotHolder()
	for i, other := range m.slots {
		if other.Addr == holder.Addr {
			m.slots[i] = holder
			return routing.Duplicate, nil
		}
	}
	if len(m.slots) >= maxSlots {
		return routing.Invalid, ErrNoSlotLeft
	}
	m.slots = append(m.slots, holder)
	return routing.Accepted, nil
}
