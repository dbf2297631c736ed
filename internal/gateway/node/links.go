package node

import (
	"clovergap/internal/gateway/transport"
)

// A node is the transport.Host of its links; each of its methods is called in a turn.
var _ transport.Host[Frame] = (*Node)(nil)

// PeerConnected is called when another node has dialed this one. If that is the upstream, it may have given up its link before, and with it
// this node's request: it would send nothing, and for two seconds nothing would show that.
func (n *Node) PeerConnected(from string) {
	n.core.resetLiveness(from)
	n.streamReceiver.linkReset(from)
}

// FrameReceived hands a frame to the part that it is for. Those for a part that this node does not have are dropped.
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
		n.receiveHeartbeat(from, f.Ping.heartbeat())
	case f.Found != nil:
		n.bootstrap(f.Found)
	case f.Core != nil && n.core != nil:
		n.core.receiveLiveness(from, f.Core)
		n.core.replica.Tick(n.loop.Now())
		n.core.replica.Step(f.Core.From, f.Core.Message.Message())
	case f.Groups != nil && n.core != nil:
		n.groups.receive(f.Groups)
	case f.Board != nil && n.registry != nil:
		n.receiveRegistry(from, f.Board)
	case f.Follow != nil:
		n.receiveStreamRequest(from, f.Follow.request())
	case f.Feed != nil:
		n.streamReceiver.receive(from, f.Feed.data())
	case f.Call != nil:
		n.calls.receiveCall(from, f.Call.call())
	case f.Reply != nil:
		n.calls.receiveReply(from, f.Reply.reply())
	case f.Part != nil:
		n.calls.chunks.receive(from, f.Part.chunk())
	case f.Rollout != nil:
		n.rollouts.receive(from, f.Rollout.message())
	case f.Coordination != nil:
		n.receiveCoordination(from, f.Coordination)
	}
}

// LinkUp is called when the link to another node stands.
func (n *Node) LinkUp(to string) {
	n.roster.Tick(n.loop.Now())
	n.roster.LinkUp(to)
	if d, ok := n.roster.Node(to); ok {
		n.resendBootstrap(to, d)
	}
	n.streamSender.resume(to)
	n.syncRegistryTo(to)           // it may have restarted
	n.streamReceiver.linkReset(to) // the request may have been lost with the link before
}

// LinkDown is called when the link to another node has ended.
func (n *Node) LinkDown(to string) {
	n.roster.Tick(n.loop.Now())
	n.roster.LinkDown(to)
	n.core.resetLiveness(to)
	n.groups.linkDown(to)
	n.streamSender.remove(to)
	n.coordination.PeerDisconnected(to)
	n.calls.linkDown(to)
}
