package node

import (
	"math"
	"slices"
	"time"

	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/eventloop"
)

// What the hosts of calls, groups and roll-outs ask of their node: callEnv, groupEnv, rolloutPeers and rolloutBackends.

var (
	_ callEnv         = (*Node)(nil)
	_ groupEnv        = (*Node)(nil)
	_ rolloutPeers    = (*Node)(nil)
	_ rolloutBackends = (*Node)(nil)
)

// now is the node's steady time.
func (n *Node) now() time.Duration { return n.loop.Now() }

// schedule has a timer called at a time, with a number.
func (n *Node) schedule(at time.Duration, to eventloop.Alarm, number uint32) {
	n.loop.At(at, to, number)
}

// sendFrame sends to another node; false: the frame was dropped at once. It may be lost in any case.
func (n *Node) sendFrame(to string, f *Frame) bool { return n.links.Send(to, f) }

// mayTakeCalls reports whether this node's contact with a majority is recent enough to take calls.
func (n *Node) mayTakeCalls() bool { return n.permitted(quorumcontact.AcceptCalls) }

// callLeader takes a call to the leader of the configuration log: see callRouter.
func (n *Node) callLeader(kind statemachine.Kind, body []byte, hops int, done callDone) {
	n.calls.callLeader(kind, body, hops, done)
}

// forwardTarget is the node to pass calls on to: the leader where it is known, else the node that this one follows.
func (n *Node) forwardTarget() string {
	if n.core != nil {
		if m, _, ok := n.core.replica.Leader(); ok && m.ID != n.core.self.ID {
			return m.Addr
		}
		return ""
	}
	if upstream := n.streamReceiver.upstream; n.roster.IsLive(upstream) {
		return upstream
	}
	return ""
}

// noQuorumAt has a node that follows one without contact with a majority look for another: one that has may be there.
func (n *Node) noQuorumAt(addr string) {
	if n.core == nil && n.streamReceiver.isUpstream(addr) {
		n.streamReceiver.upstreamLacksQuorum()
	}
}

// membershipRoster is what this node knows of the others.
func (n *Node) membershipRoster() *membership.Roster { return n.roster }

// coordinationIsContract reports whether the deployment's contracts name coordination.
func (n *Node) coordinationIsContract() bool {
	return slices.Contains(n.settings.Contracts, coordinationContract)
}

// coreFounded reports whether the configuration log has begun.
func (n *Node) coreFounded() bool { return n.core.replica.Bootstrapped() }

// coreMembers are the members of the configuration's log.
func (n *Node) coreMembers() []replication.Member { return n.core.replica.Members() }

// diskStalledFor is how long the disk has had a write in flight.
func (n *Node) diskStalledFor() time.Duration { return n.core.disk.stalledFor() }

// toleratedLosses is how many machines may be lost at one time.
func (n *Node) toleratedLosses() int { return n.settings.Tolerance.Machines }

// announceLeaders has the learners notified of the leaders at the next tick: they forward calls by it.
func (n *Node) announceLeaders() { n.heartbeatAt = 0 }

// rolloutState is the state of all roll-outs, as far as entries are applied here.
func (n *Node) rolloutState() *rollout.State { return n.machine.Rollouts }

// isCurrent reports whether what this node knows is recent enough to refuse requests by it.
func (n *Node) isCurrent() bool { return n.permitted(quorumcontact.RefuseRequests) }

// isMember reports whether this node has a disk, and with it a replica of the configuration log.
func (n *Node) isMember() bool { return n.core != nil }

// ledTerm is the term of the configuration's log in which this node leads.
func (n *Node) ledTerm() (term uint64, leads bool) {
	if !n.isLeader() {
		return 0, false
	}
	_, term, _ = n.core.replica.Leader()
	return term, true
}

// clusterSize is the number of slots.
func (n *Node) clusterSize() int { return n.slotCount }

// readRollouts reads the status of all roll-outs from the leader.
func (n *Node) readRollouts(done callDone) { n.callLeader(ReadRollouts, nil, 0, done) }

// proposeRollout puts a decision of the coordinator into the log that this node leads.
func (n *Node) proposeRollout(e rollout.Entry) {
	e.UnixMilli = time.Now().UnixMilli()
	n.core.propose(statemachine.KindRollout, e.Encode(), func(status int, body []byte) {
		if status != statusOK {
			n.logInfo(rolloutPart).Str("service", e.Service).Uint64("rollout", uint64(e.Number)).Str("verb", string(e.Verb)).
				Int("status", status).Str("reason", string(body)).Msg("decision not taken")
		}
	})
}

// sendTowardsLeader sends a report to the leader, or to the node that this one follows, unless that is where it came from.
func (n *Node) sendTowardsLeader(report *rolloutMessage, from string) {
	if to := n.forwardTarget(); to != "" && to != from {
		n.sendFrame(to, &Frame{Rollout: report.wire()})
	}
}

// sendToMembers sends the beginning of a lap to the other members of the configuration log.
func (n *Node) sendToMembers(lap *rolloutMessage) {
	f := &Frame{Rollout: lap.wire()}
	for _, m := range n.coreMembers() {
		if addr := n.memberAddr(m); addr != "" && addr != n.peerAddr {
			n.sendFrame(addr, f)
		}
	}
}

// sendToLearners sends the beginning of a lap to the learners of this node, but to the one that it came from.
func (n *Node) sendToLearners(lap *rolloutMessage, except string) {
	f := &Frame{Rollout: lap.wire()}
	for addr := range n.streamSender.learners {
		if addr != except {
			n.sendFrame(addr, f)
		}
	}
}

// serviceRecords are the registrations of a service; false: this node has no registry yet.
func (n *Node) serviceRecords(service string) ([]registry.Record, bool) {
	if n.registry == nil {
		return nil, false
	}
	other := func(r registry.Record) bool { return r.Service != service }
	return slices.DeleteFunc(n.registry.Backends(), other), true
}

// tickRegistry brings the registry's clock up to this turn.
func (n *Node) tickRegistry() {
	if n.registry != nil {
		n.registry.Tick(n.now())
	}
}

// setRollout updates admission on who may go to the version beside a service.
func (n *Node) setRollout(service string, open admission.CanaryAccess) {
	primary := n.catalog.serviceID(service)
	n.admission.SetRollout(primary, n.catalog.serviceID(secondaryService(service)), open)
}

// busyEverywhere is how many requests a service has at a time on all nodes, as extrapolated from this node's own.
func (n *Node) busyEverywhere(service string) int {
	return int(math.Ceil(n.admission.PeakConcurrency(n.catalog.serviceID(service)) * float64(max(n.slotCount, 1))))
}

// isConfigured reports whether the configuration has a service; true while there is no configuration.
func (n *Node) isConfigured(service string) bool {
	_, known := n.table.Service(service)
	return known || n.table.Version() == 0
}
