package statemachine

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// Machine is the state machine of the configuration log, see the package comment. It is not safe for concurrent use.
type Machine struct {
	Configs  *routing.Register
	Rollouts *rollout.State
	slots    []membership.SlotHolder // nodes that have a slot, indexed by slot
	// founders are the nodes on whose disks the coordination groups were bootstrapped. The coordination groups are the replicated logs
	// that order the calls on locks, counters and keys, see package groups. nil means that they have not been bootstrapped yet.
	founders []membership.Founder
}

// New returns a machine in the state before the first entry.
func New() *Machine { return &Machine{Configs: routing.NewRegister(), Rollouts: rollout.NewState()} }

// routingKind returns the routing.Kind for a kind that routing.Register implements, and false for all other kinds.
func routingKind(kind Kind) (routing.Kind, bool) {
	switch kind {
	case KindReplaceConfig:
		return routing.Replace, true
	case KindAmendConfig:
		return routing.Amend, true
	}
	return 0, false
}

// Decide returns the result that Apply would return now for an entry that concerns a configuration or a roll-out. For all other kinds
// it returns Accepted, because only Apply validates such entries. Decide does not change the state.
func (m *Machine) Decide(kind Kind, body []byte) (routing.Result, error) {
	if kind == KindRollout {
		return handleRolloutEntry(body, m.Rollouts.Decide)
	}
	if config, ok := routingKind(kind); ok {
		return m.Configs.Decide(config, body)
	}
	return routing.Accepted, nil
}

// DecideFinal returns the result for an entry without changing the state. It reports in final whether
// the result would be the same in every later state. If final is true, a node may answer with the result even though the node's own
// state is stale. If final is false, the result may differ from the result of Decide.
func (m *Machine) DecideFinal(kind Kind, body []byte) (result routing.Result, err error, final bool) {
	if config, ok := routingKind(kind); ok {
		return m.Configs.DecideFinal(config, body)
	}
	if kind != KindRollout {
		return routing.Accepted, nil, false
	}
	result, err = handleRolloutEntry(body, m.finalRolloutResult)
	return result, err, result != routing.Accepted
}

// finalRolloutResult returns the result for an entry of a roll-out if no later entry can change that result. If a later entry can
// change the result, finalRolloutResult returns Accepted.
func (m *Machine) finalRolloutResult(e *rollout.Entry) (routing.Result, error) {
	if m.Rollouts.IsCallApplied(e.CallID) {
		return routing.Duplicate, nil
	}
	if err := e.Validate(); err != nil {
		return routing.Invalid, err
	}
	return routing.Accepted, nil
}

// handleRolloutEntry decodes an entry of a roll-out and returns the result of handle for it. It returns Invalid if the entry cannot be
// decoded.
func handleRolloutEntry(body []byte, handle func(*rollout.Entry) (routing.Result, error)) (routing.Result, error) {
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return routing.Invalid, err
	}
	return handle(e)
}

// Apply applies an entry to the state and returns the result. An entry that cannot be decoded or has an unknown kind changes nothing.
func (m *Machine) Apply(entry []byte) (routing.Result, error) {
	if len(entry) == 0 {
		return routing.Invalid, ErrEmptyEntry
	}
	kind, body := Kind(entry[0]), entry[1:]
	if config, ok := routingKind(kind); ok {
		return m.Configs.Apply(config, body)
	}
	switch kind {
	case KindRollout:
		return handleRolloutEntry(body, m.Rollouts.Apply)
	case KindBootstrapGroups:
		return m.bootstrapGroups(body)
	case KindAssignSlot:
		return m.assignSlot(body)
	}
	return routing.Invalid, &UnknownKindError{kind}
}

// Snapshot returns the encoding of the complete state.
func (m *Machine) Snapshot() []byte {
	return logentry.Encode(storedState{
		Bills:    m.Configs.Snapshot(),
		Seats:    toStoredSlots(m.slots),
		Rollouts: m.Rollouts.Snapshot(),
		Founders: toStoredFounders(m.founders),
	})
}

// Restore returns a machine with the state that a snapshot encodes.
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
	return &Machine{Configs: configs, Rollouts: rollouts, slots: fromStoredSlots(stored.Seats), founders: fromStoredFounders(stored.Founders)}, nil
}
