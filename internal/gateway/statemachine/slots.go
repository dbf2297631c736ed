package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// maxSlots bounds the slots. They are never given back: a slot is a node's number in messages and bit sets for good.
const maxSlots = 1024

// Slots are the nodes that have a slot, by its number.
func (m *Machine) Slots() []membership.SlotHolder { return m.slots }

// assignSlot gives a node the next slot. A node at an address that has one keeps that, and what is known of it is replaced.
func (m *Machine) assignSlot(body []byte) (routing.Result, error) {
	var stored storedSlot
	if err := logentry.Decode(body, &stored, "slot"); err != nil {
		return routing.Invalid, err
	}
	holder := stored.slot()
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
