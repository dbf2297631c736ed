package node

import (
	"time"

	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/eventloop"
)

// What the router of calls asks of its node.
var _ callEnv = (*Node)(nil)

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
