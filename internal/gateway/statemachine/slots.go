package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// maxSlots is the maximum number of slots. A slot is never released, because messages and bit sets identify a node by its slot
// permanently.
const maxSlots = 1024

// SlotHolders returns the nodes that have a slot, indexed by slot.
func (m *Machine) SlotHolders() []membership.SlotHolder { return m.slots }

// assignSlot assigns the next slot to a node. If a node with the same address already has a slot, that slot is kept and the record of
// the node is replaced.
func (m *Machine) assignSlot(body []byte) (routing.Result, error) {
	var stored storedSlot
	if err := logentry.Decode(body, &stored, "read slot entry"); err != nil {
		return routing.Invalid, err
	}
	holder := stored.toMembershipSlot()
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
