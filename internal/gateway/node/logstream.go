package node

import (
	"time"

	"clovergap/internal/gateway/statemachine"
)

// openLogStream makes both ends of the log stream, of which a node uses one: a member sends, a node without a disk receives.
func (n *Node) openLogStream() {
	n.contact = n.newContact()
	n.streamSender = newStreamSender((*streamHost)(n), nil, n.contact)
	if n.core != nil {
		n.streamSender.log = n.core.replica
	}
	n.streamReceiver = &streamReceiver{host: (*streamHost)(n), roster: n.roster, contact: n.contact, knobs: &n.knobs, member: n.core != nil,
		addr: n.peerAddr, zone: n.settings.Zone, reports: map[string]upstreamReport{}}
}

// receiveStreamRequest takes the request of a node without a disk, and sends what it lacks.
func (n *Node) receiveStreamRequest(from string, r *streamRequest) {
	switch n.streamSender.receiveRequest(from, r) {
	case requestIgnored:
		return
	case learnerLeft:
		n.updateRegistryLearner(from)
		return
	case learnerJoined:
		n.updateRegistryLearner(from)
		n.heartbeatAt = 0 // it does not know yet which nodes live
	case learnerRestarted:
		n.syncRegistryTo(from)
	case learnerContinues:
	}
	n.streamSender.respond(from)
}

// streamHost is what the ends of the log stream need of their node.
type streamHost Node

var (
	_ streamSenderHost   = (*streamHost)(nil)
	_ streamReceiverHost = (*streamHost)(nil)
)

// Now is the time of this turn.
func (s *streamHost) Now() time.Duration { return s.loop.Now() }

// AppliedIndex is that of the last entry applied here.
func (s *streamHost) AppliedIndex() uint64 { return s.appliedIndex }

// SendStreamData sends to a learner.
func (s *streamHost) SendStreamData(to string, d *streamData) {
	s.links.Send(to, &Frame{Feed: d.wire()})
}

// SendStreamRequest sends to a member.
func (s *streamHost) SendStreamRequest(to string, r *streamRequest) {
	s.links.Send(to, &Frame{Follow: r.wire()})
}

// InstallState begins with a state that came.
func (s *streamHost) InstallState(index uint64, m *statemachine.Machine) {
	(*Node)(s).installState(index, m)
}

// ApplyEntry applies the next entry.
func (s *streamHost) ApplyEntry(index uint64, data []byte) { (*Node)(s).applyEntry(index, data) }

// UpstreamChanged logs which member the stream is requested from.
func (s *streamHost) UpstreamChanged(addr string) {
	(*Node)(s).logInfo(streamPart).Str("peer", addr).Uint64("index", s.appliedIndex).Msg("upstream chosen")
}

// StreamUnreadable logs data that can't be decoded.
func (s *streamHost) StreamUnreadable(after uint64, err error) {
	(*Node)(s).logWarn(streamPart).Uint64("index", after).Err(err).Msg("stream data unreadable")
}
