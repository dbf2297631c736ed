package statemachine

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// Machine is the state. It is for one goroutine at a time.
type Machine struct {
	Configs  *routing.Register
	Rollouts *rollout.State
	slots    []membership.SlotHolder // by slot
	founders []membership.Founder    // of the coordination groups
}

// New returns the state before the first entry.
func New() *Machine { return &Machine{Configs: routing.NewRegister(), Rollouts: rollout.NewState()} }

// configKind is a kind of this log as routing.Register knows it, and false for a kind that is not the register's.
func configKind(kind Kind) (routing.Kind, bool) {
	switch kind {
	case KindReplaceConfig:
		return routing.Replace, true
	case KindAmendConfig:
		return routing.Amend, true
	}
	return 0, false
}

// Decide returns the verdict that Apply would give now. Kinds that only Apply decides are taken.
func (m *Machine) Decide(kind Kind, body []byte) (routing.Result, error) {
	if kind == KindRollout {
		return withRolloutEntry(body, m.Rollouts.Decide)
	}
	if config, ok := configKind(kind); ok {
		return m.Configs.Decide(config, body)
	}
	return routing.Accepted, nil
}

// DecideFinal is Decide, and reports besides whether the verdict is the same in every later state: then a node may answer by it
// though its state is stale.
func (m *Machine) DecideFinal(kind Kind, body []byte) (v routing.Result, err error, final bool) {
	if config, ok := configKind(kind); ok {
		return m.Configs.Final(config, body)
	}
	if kind != KindRollout {
		return routing.Accepted, nil, false
	}
	v, err = withRolloutEntry(body, m.decideRolloutFinal)
	return v, err, v != routing.Accepted
}

// decideRolloutFinal gives the verdicts on a roll-out's entry that no later entry changes.
func (m *Machine) decideRolloutFinal(e *rollout.Entry) (routing.Result, error) {
	if m.Rollouts.CallApplied(e.CallID) {
		return routing.Duplicate, nil
	}
	if err := e.Validate(); err != nil {
		return routing.Invalid, err
	}
	return routing.Accepted, nil
}

// withRolloutEntry hands on a roll-out's entry if it can be read.
func withRolloutEntry(body []byte, to func(*rollout.Entry) (routing.Result, error)) (routing.Result, error) {
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return routing.Invalid, err
	}
	return to(e)
}

// Apply changes the state by an entry. One that can't be read, or is of an unknown kind, changes nothing.
func (m *Machine) Apply(entry []byte) (routing.Result, error) {
	if len(entry) == 0 {
		return routing.Invalid, ErrEmptyEntry
	}
	kind, body := Kind(entry[0]), entry[1:]
	if config, ok := configKind(kind); ok {
		return m.Configs.Apply(config, body)
	}
	switch kind {
	case KindRollout:
		return withRolloutEntry(body, m.Rollouts.Apply)
	case KindBootstrapGroups:
		return m.bootstrapGroups(body)
	case KindAssignSlot:
		return m.assignSlot(body)
	}
	return routing.Invalid, &UnknownKindError{kind}
}

// Snapshot encodes the complete state.
func (m *Machine) Snapshot() []byte {
	return logentry.Encode(storedState{
		Bills:    m.Configs.Snapshot(),
		Seats:    storeSlots(m.slots),
		Rollouts: m.Rollouts.Snapshot(),
		Founders: storeFounders(m.founders),
	})
}

// Restore returns the state that a snapshot encodes.
func Restore(snapshot []byte) (*Machine, error) {
	var stored storedState
	if err := logentry.Decode(snapshot, &stored, "snapshot"); err != nil {
		return nil, err
	}
	configs, err := routing.Restore(stored.Bills)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	rollouts, err := rollout.Restore(stored.Rollouts)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return &Machine{Configs: configs, Rollouts: rollouts, slots: slotsOf(stored.Seats), founders: foundersOf(stored.Founders)}, nil
}
