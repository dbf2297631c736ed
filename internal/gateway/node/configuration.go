package node

import (
	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

// installState begins with a state of the configuration log. One that is older than what is applied here is passed over: a node never
// goes back within an incarnation.
func (n *Node) installState(index uint64, s *statemachine.Machine) {
	if index < n.appliedIndex {
		return
	}
	n.appliedIndex, n.machine = index, s
	n.roster.SetSlots(s.SlotHolders())
	n.installConfiguration()
	n.rollouts.applyState()
	n.groups.found(s.Founders())
	n.streamSender.streamToAll()
}

// applyEntry applies the next entry of the configuration log. Empty data is the log's own.
func (n *Node) applyEntry(index uint64, data []byte) (v routing.Result, err error) {
	n.appliedIndex = index
	if len(data) > 0 {
		before, slots := n.machine.Configs.Version(), len(n.machine.SlotHolders())
		if v, err = n.machine.Apply(data); err != nil && v != routing.Conflict {
			n.logInfo(corePart).Uint64("index", index).Err(err).Msg("entry changes nothing")
		}
		if n.machine.Configs.Version() != before {
			n.logInfo(corePart).Uint64("version", n.machine.Configs.Version()).Msg("configuration applied")
			n.installConfiguration()
		}
		n.groups.found(n.machine.Founders())
		n.slotsChanged = n.slotsChanged || len(n.machine.SlotHolders()) != slots
		n.rollouts.applyState()
	}
	n.streamSender.entryApplied(len(data) > 0 && statemachine.Kind(data[0]) == statemachine.KindAssignSlot)
	return v, err
}

// Change has the leader take a change, unless the outcome is known here for every later state: that the change was taken, or that it is
// invalid in itself. A node whose knowledge is too old refuses nothing by its own state. done gets an HTTP status, see controlapi.Node.
func (n *Node) Change(kind statemachine.Kind, body []byte, done func(status int, body []byte)) {
	if v, err, final := n.machine.DecideFinal(kind, body); final && (v != routing.Invalid || n.permitted(quorumcontact.RefuseRequests)) {
		done(responseOf(v, err))
		return
	}
	n.callLeader(kind, body, 0, done)
}

// ReadConfiguration asks the leader for the newest configuration.
func (n *Node) ReadConfiguration(done func(status int, body []byte)) {
	n.callLeader(ReadConfig, nil, 0, done)
}

// responseOf is the answer to a change with an outcome.
func responseOf(v routing.Result, err error) (int, []byte) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	switch v {
	case routing.Accepted, routing.Duplicate:
		return 200, nil
	case routing.Conflict:
		return 412, []byte(text)
	case routing.Ambiguous:
		return controlapi.StatusAmbiguous, []byte(text)
	}
	return 400, []byte(text)
}
