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

func (n *Node) schedule(at time.Duration, to eventloop.Alarm, number uint32) {
	n.loop.At(at, to, number)
}

func (n *Node) sendFrame(to string, f *Frame) bool { return n.links.Send(to, f) }

// mayTakeCalls reports whether this node's contact with a majority is recent enough to take calls.
func (n *Node) mayTakeCalls() bool { return n.permitted(quorumcontact.TakeCalls) }

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
	if upstream := n.streamReceiver.upstream; n.roster.Live(upstream) {
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

func (n *Node) coordinationIsContract() bool {
	return slices.Contains(n.settings.Contracts, coordinationContract)
}

func (n *Node) coreFounded() bool { return n.core.replica.Bootstrapped() }

// coreMembers are the members of the configuration's log.
func (n *Node) coreMembers() []replication.Member { return n.core.replica.Members() }

func (n *Node) diskStalledFor() time.Duration { return n.core.disk.stalledFor() }

func (n *Node) toleratedLosses() int { return n.settings.Tolerance.Machines }

// announceLeaders has the learners notified of the leaders at the next tick: they forward calls by it.
func (n *Node) announceLeaders() { n.heartbeatAt = 0 }

func (n *Node) rolloutState() *rollout.State { return n.machine.Rollouts }

// isCurrent reports whether what this node knows is recent enough to refuse requests by it.
func (n *Node) isCurrent() bool { return n.permitted(quorumcontact.Refuse) }

func (n *Node) isMember() bool { return n.core != nil }

// ledTerm is the term of the configuration's log in which this node leads.
func (n *Node) ledTerm() (term uint64, leads bool) {
	if !n.isLeader() {
		return 0, false
	}
	_, term, _ = n.core.replica.Leader()
	return term, true
}

func (n *Node) clusterSize() int { return n.slotCount }

func (n *Node) readRollouts(done callDone) { n.callLeader(ReadRollouts, nil, 0, done) }

// proposeRollout puts a decision of the coordinator into the log that this node leads.
func (n *Node) proposeRollout(e rollout.Entry) {
	e.At = time.Now().UnixMilli()
	n.core.propose(statemachine.KindRollout, e.Encode(), func(status int, body []byte) {
		if status != statusOK {
			n.logInfo(rolloutPart).Str("service", e.Service).Uint64("rollout", uint64(e.Number)).Str("verb", string(e.Verb)).
				Int("status", status).Str("reason", string(body)).Msg("decision not taken")
		}
	})
}

// sendTowardsLeader sends a report to the leader, or to the node that this one follows, unless that is where it came from.
func (n *Node) sendTowardsLeader(report *RolloutMessage, from string) {
	if to := n.forwardTarget(); to != "" && to != from {
		n.sendFrame(to, &Frame{Rollout: report})
	}
}

func (n *Node) sendToMembers(lap *RolloutMessage) {
	f := &Frame{Rollout: lap}
	for _, m := range n.coreMembers() {
		if addr := n.memberAddr(m); addr != "" && addr != n.peerAddr {
			n.sendFrame(addr, f)
		}
	}
}

func (n *Node) sendToFollowers(lap *RolloutMessage, except string) {
	f := &Frame{Rollout: lap}
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

func (n *Node) tickRegistry() {
	if n.registry != nil {
		n.registry.Tick(n.now())
	}
}

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
