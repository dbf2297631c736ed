package node

import (
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
)

// Came, Heard, Up and Down are the links': each in a turn.

// PeerConnected is told when another node has dialed this one. It may be the node that it follows, which dialed it anew. It may have given up a link before and with it the wish to follow:
// without a new one it would say nothing, and for two seconds nothing would tell of that.
func (n *Node) PeerConnected(from string) {
	n.core.resetLiveness(from)
	n.streamReceiver.linkReset(from)
}

// FrameReceived takes a frame from another node.
func (n *Node) FrameReceived(from string, f *Frame) {
	n.roster.Tick(n.loop.Now())
	n.roster.FrameReceived(from)
	n.streamReceiver.frameReceived(from)
	switch {
	case f.Hello != nil:
		hello := f.Hello.Hello()
		n.roster.HandleHello(from, hello)
		n.calls.chunks.supportedBy[from] = hello.ChunkedCalls
		n.resendBootstrap(from, hello.Node)
	case f.Ping != nil:
		n.receiveHeartbeat(from, f.Ping)
	case f.Found != nil:
		n.bootstrap(f.Found)
	case f.Core != nil && n.core != nil:
		n.core.receiveLiveness(from, f.Core)
		n.core.replica.Tick(n.loop.Now())
		n.core.replica.Step(f.Core.From, f.Core.Message)
	case f.Groups != nil && n.core != nil:
		n.groups.receive(f.Groups)
	case f.Board != nil && n.registry != nil:
		if s := n.roster.Slot(from); s != membership.NoSlot {
			n.registry.Tick(n.loop.Now())
			n.registry.Receive(registry.Slot(s), f.Board.Message())
		}
	case f.Follow != nil:
		n.receiveStreamRequest(from, f.Follow)
	case f.Feed != nil:
		n.streamReceiver.receive(from, f.Feed)
	case f.Call != nil:
		n.calls.receiveCall(from, f.Call)
	case f.Reply != nil:
		n.calls.receiveReply(from, f.Reply)
	case f.Part != nil:
		n.calls.chunks.receive(from, f.Part)
	case f.Rollout != nil:
		n.rollouts.receive(from, f.Rollout)
	case f.Coordination != nil:
		n.receiveCoordination(from, f.Coordination)
	}
}

// LinkUp is told when the link to another node stands.
func (n *Node) LinkUp(to string) {
	n.roster.Tick(n.loop.Now())
	n.roster.LinkUp(to)
	if d, ok := n.roster.Node(to); ok {
		n.resendBootstrap(to, d)
	}
	n.streamSender.resume(to)
	n.syncRegistryTo(to) // it may have started anew
	n.streamReceiver.linkReset(to)
}

// LinkDown is told when the link to another node ended.
func (n *Node) LinkDown(to string) {
	n.roster.Tick(n.loop.Now())
	n.roster.LinkDown(to)
	n.core.resetLiveness(to)
	n.groups.linkDown(to)
	n.streamSender.remove(to)
	n.coordination.PeerDisconnected(to)
	n.calls.linkDown(to)
}
