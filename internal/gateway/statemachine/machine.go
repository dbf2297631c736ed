// Package statemachine is the state that the core's ordered log tells: the configuration in force, what was taken, who has which
// slot, and which roll-outs there are. Every node folds it from the same entries, so that all come to the same. It is free of I/O.
package statemachine

import (
	"bytes"
	"encoding/gob"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// Kind is what an entry changes; its first byte in the log.
type Kind byte

// The kinds of entries.
const (
	KindReplaceConfig   Kind = 'r' // the whole configuration
	KindAmendConfig     Kind = 'a' // named items of it
	KindAssignSlot      Kind = 's' // a node asks for a slot
	KindRollout         Kind = 'u' // an rollout.Entry: an order to a roll-out, or a verdict on one
	KindBootstrapGroups Kind = 'f' // the coordination groups begin, with the disks that it names
)

// maxSlots bounds the order of slots.
const maxSlots = 1024

// Machine is the state.
type Machine struct {
	Configs  *routing.Register
	Rollouts *rollout.State
	slots    []membership.SlotHolder
	founders []membership.Founder // of the coordination groups
}

// New is the state before the first entry.
func New() *Machine { return &Machine{Configs: routing.NewRegister(), Rollouts: rollout.NewState()} }

// Gob numbers types in the order in which a process first uses them, and the numbers are part of its bytes. A snapshot's types come first
// here, so that equal states give equal bytes in all processes of a version: who is sent a snapshot in chunks goes on with another
// sender's.
func init() { New().Snapshot() }

// EncodeEntry words a change for the log.
func EncodeEntry(k Kind, body []byte) []byte { return append([]byte{byte(k)}, body...) }

// AssignSlotEntry words a node's wish for a slot.
func AssignSlotEntry(d membership.SlotHolder) []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(d) // of texts alone: it can't fail
	return EncodeEntry(KindAssignSlot, b.Bytes())
}

// Slots is the order of slots.
func (m *Machine) Slots() []membership.SlotHolder { return m.slots }

func configKind(k Kind) (routing.Kind, bool) {
	switch k {
	case KindReplaceConfig:
		return routing.Replace, true
	case KindAmendConfig:
		return routing.Amend, true
	}
	return 0, false
}

// Decide tells what would become of a change now.
func (m *Machine) Decide(k Kind, body []byte) (routing.Result, error) {
	if k == KindRollout {
		return m.rollout(body, m.Rollouts.Decide)
	}
	kind, ok := configKind(k)
	if !ok {
		return routing.Accepted, nil
	}
	return m.Configs.Decide(kind, body)
}

// DecideFinal is as Decide, and tells besides whether the verdict is the same in every later state: what a node that is behind may
// answer by.
func (m *Machine) DecideFinal(k Kind, body []byte) (v routing.Result, err error, final bool) {
	if kind, ok := configKind(k); ok {
		return m.Configs.Final(kind, body)
	}
	if k != KindRollout {
		return routing.Accepted, nil, false
	}
	v, err = m.rollout(body, func(e *rollout.Entry) (routing.Result, error) {
		if m.Rollouts.CallApplied(e.Mark) {
			return routing.Duplicate, nil
		}
		if wrong := e.Validate(); wrong != nil {
			return routing.Invalid, wrong
		}
		return routing.Accepted, nil
	})
	return v, err, v != routing.Accepted
}

// rollout reads an entry on roll-outs and hands it on.
func (m *Machine) rollout(body []byte, to func(*rollout.Entry) (routing.Result, error)) (routing.Result, error) {
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return routing.Invalid, err
	}
	return to(e)
}

// Apply takes an entry. What it can't read changes nothing: an entry of a newer program must not stop an older one.
func (m *Machine) Apply(entry []byte) (routing.Result, error) {
	if len(entry) == 0 {
		return routing.Invalid, errors.New("empty entry")
	}
	k, body := Kind(entry[0]), entry[1:]
	if kind, ok := configKind(k); ok {
		return m.Configs.Apply(kind, body)
	}
	if k == KindRollout {
		return m.rollout(body, m.Rollouts.Apply)
	}
	if k == KindBootstrapGroups {
		return m.bootstrapGroups(body)
	}
	if k != KindAssignSlot {
		return routing.Invalid, errors.Errorf("entry of unknown kind %q", k)
	}
	var d membership.SlotHolder
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&d); err != nil {
		return routing.Invalid, errors.Wrap(err, "slot")
	}
	for i, o := range m.slots {
		if o.Addr == d.Addr {
			m.slots[i] = d
			return routing.Duplicate, nil
		}
	}
	if len(m.slots) >= maxSlots {
		return routing.Invalid, errors.New("no slot is left")
	}
	m.slots = append(m.slots, d)
	return routing.Accepted, nil
}

type storedState struct {
	Bills    []byte
	Seats    []membership.SlotHolder
	Rollouts []byte               // not in snapshots of older programs
	Founders []membership.Founder // nor this
}

// Snapshot is the whole state.
func (m *Machine) Snapshot() []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(storedState{m.Configs.Snapshot(), m.slots, m.Rollouts.Snapshot(), m.founders}) // of bytes and texts: it can't fail
	return b.Bytes()
}

// Restore reads one.
func Restore(b []byte) (*Machine, error) {
	var k storedState
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&k); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	configs, err := routing.Restore(k.Bills)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	rollouts, err := rollout.Restore(k.Rollouts)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return &Machine{configs, rollouts, k.Seats, k.Founders}, nil
}
