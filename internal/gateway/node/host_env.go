package node

import (
	"slices"
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/eventloop"
)

// What the hosts of calls and groups ask of their node.
var (
	_ callEnv  = (*Node)(nil)
	_ groupEnv = (*Node)(nil)
)

// now is the node's steady time.
func (n *Node) now() time.Duration { return n.loop.Now() }

func (n *Node) schedule(at time.Duration, to eventloop.Alarm, number uint32) {
	n.loop.At(at, to, number)
}

func (n *Node) sendFrame(to string, f *Frame) bool { return n.links.Send(to, f) }

// mayTakeCalls tells whether this node's contact with a majority is recent enough for a call to be worth its wait.
func (n *Node) mayTakeCalls() bool { return n.permitted(permitCalls) }

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
	if n.roster.Live(n.upstream) {
		return n.upstream
	}
	return ""
}

// noQuorumAt has a node that follows one without contact with a majority look for another: one that has may be there.
func (n *Node) noQuorumAt(addr string) {
	if addr == n.upstream && n.core == nil {
		n.upstreamReports[n.upstream] = upstreamReport{n.now(), neverAge, 0, 0}
		n.checkUpstream()
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

// announceLeaders has the nodes that follow this one told at the next tick who leads: they pass calls on by it.
func (n *Node) announceLeaders() { n.heartbeatAt = 0 }
