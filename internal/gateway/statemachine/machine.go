package statemachine

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// Machine holds the state. It is not safe for concurrent use.
type Machine struct {
	Configs  *routing.Register
	Rollouts *rollout.State
	slots    []membership.SlotHolder // indexed by slot
	founders []membership.Founder    // of the coordination groups
}

// New returns the state before the first entry.
func New() *Machine { return &Machine{Configs: routing.NewRegister(), Rollouts: rollout.NewState()} }

// configKind returns the routing.Kind of a kind that routing.Register implements, and false for all other kinds.
func configKind(kind Kind) (routing.Kind, bool) {
	switch kind {
	case KindReplaceConfig:
		return routing.Replace, true
	case KindAmendConfig:
		return routing.Amend, true
	}
	return 0, false
}

// Decide returns the result that Apply would return now. It accepts every entry of a kind that only Apply decides.
func (m *Machine) Decide(kind Kind, body []byte) (routing.Result, error) {
	if kind == KindRollout {
		return withRolloutEntry(body, m.Rollouts.Decide)
	}
	if config, ok := configKind(kind); ok {
		return m.Configs.Decide(config, body)
	}
	return routing.Accepted, nil
}

// DecideFinal returns the same as Decide, and also reports whether the result is the same in every later state. If it is, a node
// may answer with it even though its own state is stale.
func (m *Machine) DecideFinal(kind Kind, body []byte) (result routing.Result, err error, final bool) {
	if config, ok := configKind(kind); ok {
		return m.Configs.Final(config, body)
	}
	if kind != KindRollout {
		return routing.Accepted, nil, false
	}
	result, err = withRolloutEntry(body, m.decideRolloutFinal)
	return result, err, result != routing.Accepted
}

// decideRolloutFinal returns the result for an entry of a roll-out if no later entry can change that result, and otherwise
// Accepted.
func (m *Machine) decideRolloutFinal(e *rollout.Entry) (routing.Result, error) {
	if m.Rollouts.IsCallApplied(e.CallID) {
		return routing.Duplicate, nil
	}
	if err := e.Validate(); err != nil {
		return routing.Invalid, err
	}
	return routing.Accepted, nil
}

// withRolloutEntry decodes an entry of a roll-out and passes it to handle. It returns Invalid if the entry cannot be decoded.
func withRolloutEntry(body []byte, handle func(*rollout.Entry) (routing.Result, error)) (routing.Result, error) {
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return routing.Invalid, err
	}
	return handle(e)
}

// Apply applies an entry to the state. An entry that cannot be decoded or has an unknown kind changes nothing.
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
	if err := logentry.Decode(snapshot, &stored, "read snapshot"); err != nil {
		return nil, err
	}
	configs, err := routing.Restore(stored.Bills)
	if err != nil {
		return nil, errors.Wrap(err, "restore configurations")
	}
	rollouts, err := rollout.Restore(stored.Rollouts)
	if err != nil {
		return nil, errors.Wrap(err, "restore roll-outs")
	}
	return &Machine{Configs: configs, Rollouts: rollouts, slots: slotsOf(stored.Seats), founders: foundersOf(stored.Founders)}, nil
}
