package node

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

// diskCopiesPerState is how many copies of the largest state the disk's file has room for, rounded up: see logstore.
const diskCopiesPerState = 10

// changeProposal is a control call that this node handles as the leader.
type changeProposal struct {
	kind   statemachine.Kind
	body   []byte
	wanted func() bool // false: it has ended, or was passed on to another leader
	done   callDone
}

// propose appends a call to the log, which decides on it. What this node refuses before, it refuses by its own state: only after a linearizable
// read has confirmed that it is still the leader, and that its state has all that was acknowledged.
func (n *Node) propose(p changeProposal) { n.proposeOrRefuse(p, false) }

// proposeOrRefuse proposes a call that this node doesn't refuse. confirmed: a linearizable read has succeeded since it came.
func (n *Node) proposeOrRefuse(p changeProposal, confirmed bool) {
	if !p.wanted() {
		return
	}
	entry, err := n.checkedEntry(p.kind, p.body)
	switch {
	case err == nil:
		n.core.propose(p.kind, entry, func(status int, body []byte) {
			p.done(status, n.answerBody(p.kind, p.body, status, body))
		})
	case confirmed:
		p.done(refusalStatus(err), []byte(err.Error()))
	default:
		n.core.propose(ReadConfig, nil, func(status int, body []byte) {
			if status != statusOK {
				p.done(status, body)
				return
			}
			n.proposeOrRefuse(p, true)
		})
	}
}

// checkedEntry is what a call adds to the log, or why the leader refuses it.
func (n *Node) checkedEntry(kind statemachine.Kind, body []byte) ([]byte, error) {
	switch kind {
	case statemachine.KindBootstrapGroups:
		return n.core.groupFounders(), nil
	case statemachine.KindRollout:
		return n.rollouts.prepareEntry(body, n.checkKnown)
	case statemachine.KindReplaceConfig, statemachine.KindAmendConfig:
		return body, n.checkConfiguration(kind, body)
	}
	return body, nil
}

// refusalStatus is the status of a call that the leader refuses.
func refusalStatus(err error) int {
	if tooLarge := (*sizeError)(nil); errors.As(err, &tooLarge) {
		return statusTooLarge
	}
	return statusInvalid
}

// checkConfiguration is the error of a configuration that would be taken and can't be served. The leader decides it, before anything is proposed:
// what is in the log is applied everywhere, whatever a node's disk.
func (n *Node) checkConfiguration(kind statemachine.Kind, body []byte) error {
	err := routing.CheckDeadlines(body)
	if err == nil {
		err = n.checkSize(kind, body)
	}
	if err == nil {
		return nil
	}
	if verdict, _ := n.machine.Decide(kind, body); verdict != routing.Accepted {
		return nil // its answer is another
	}
	return err
}

// checkSize reports whether a configuration grows beyond what the disk is for. An amendment counts in full, whatever it removes.
func (n *Node) checkSize(kind statemachine.Kind, body []byte) error {
	size, limit := len(body), maxControlBodyBytes
	if disk := n.settings.Limits.DiskMB; disk > 0 {
		limit = min(limit, disk<<20/diskCopiesPerState)
	}
	if kind == statemachine.KindAmendConfig {
		size += len(n.machine.Configs.Body())
	}
	if size <= limit {
		return nil
	}
	return &sizeError{size, limit}
}
