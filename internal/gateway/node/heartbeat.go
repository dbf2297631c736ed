package node

import (
	"time"

	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
)

// Heartbeats between nodes. Any frame of a node shows that it lives; a heartbeat says more: to a learner the contact of its upstream, to
// other members the slots that this one receives frames from (its liveness report). Between a leader and a member the log has messages
// several times a second, so the report goes with one of these (piggybacked). A heartbeat of its own goes where the log has no message for
// a while, and to a program that has not shown yet that it knows the other way.

// heartbeatInterval is the time between two heartbeats to the same node.
const heartbeatInterval = 700 * time.Millisecond

// sendHeartbeats sends heartbeats to this node's heartbeat targets, its learners and its upstream. A learner sends its clock with its own
// heartbeat and is answered at once. It gets a heartbeat from here only if it has not sent its clock for a while. If urgent is true, all get
// a heartbeat now.
func (n *Node) sendHeartbeats(urgent bool) {
	sent := map[string]bool{}
	if n.core != nil {
		for _, addr := range n.streamSender.addrs() {
			sent[addr] = true
			if _, askedAt := n.streamSender.clockOf(addr); urgent || n.loop.Now()-askedAt > 3*heartbeatInterval/2 {
				n.links.Send(addr, heartbeatFrame(n.learnerHeartbeat(addr)))
			}
		}
	}
	h := heartbeat{contact: n.contactReport()}
	if n.core != nil {
		h.liveSlots = n.roster.ReachableSlots()
	} else if upstream := n.streamReceiver.upstream; upstream != "" {
		sent[upstream] = true
		n.links.Send(upstream, heartbeatFrame(&heartbeat{contact: h.contact, clock: n.contact.Timestamp(n.loop.Now())}))
	}
	full, toDisk := heartbeatFrame(&h), heartbeatFrame(&heartbeat{liveSlots: h.liveSlots})
	for _, addr := range n.roster.HeartbeatTargets() {
		node, met := n.roster.Node(addr)
		switch {
		case sent[addr] || n.core != nil && n.deferLiveness(addr, urgent):
		case n.core != nil && met && node.Disk != 0: // it has a contact of its own
			n.links.Send(addr, toDisk)
		default:
			n.links.Send(addr, full)
		}
	}
}

// learnerHeartbeat is the heartbeat for a learner.
func (n *Node) learnerHeartbeat(addr string) *heartbeat {
	h := &heartbeat{contact: n.contactReport(), liveSlots: n.roster.LiveSlots(), leaders: n.groups.leaderSlots()}
	h.contact.Echo, _ = n.streamSender.clockOf(addr)
	return h
}

// contactReport is this node's contact for others.
func (n *Node) contactReport() quorumcontact.Report {
	_, term, _ := n.contact.Contact(n.loop.Now())
	return quorumcontact.Report{Age: n.contactAge(), Term: term, Index: n.appliedIndex}
}

// heartbeatFrame carries a heartbeat.
func heartbeatFrame(h *heartbeat) *Frame { return &Frame{Ping: h.wire()} }

// receiveHeartbeat takes another node's heartbeat. A learner that asks for one is answered at once.
func (n *Node) receiveHeartbeat(from string, h *heartbeat) {
	n.streamReceiver.receiveReport(from, h.contact)
	upstream := n.streamReceiver.isUpstream(from)
	if h.liveSlots != nil && (n.core != nil || upstream) {
		n.roster.HandleLiveness(from, h.liveSlots)
	}
	if upstream {
		n.contact.HandleReport(h.contact, n.appliedIndex, n.loop.Now())
		n.groups.learnLeaders(h.leaders)
	}
	if h.clock != 0 && n.streamSender.isLearner(from) {
		n.streamSender.receiveClock(from, h.clock)
		n.links.Send(from, heartbeatFrame(n.learnerHeartbeat(from)))
	}
}

// deferLiveness has the next message of the log to a node carry the liveness report. True: no heartbeat is needed now.
func (n *Node) deferLiveness(addr string, urgent bool) bool {
	if urgent {
		n.core.liveness.cancel(addr)
		return false
	}
	return n.core.liveness.deferReport(addr, n.loop.Now())
}

// coreMessage is a message of the log to another member, with the liveness report if one is pending.
func (c *core) coreMessage(addr string, m replication.Message) *CoreMessage {
	message := &CoreMessage{From: c.self.ID, Message: m.Wire()}
	if c.liveness.take(addr) {
		message.Hears = c.env.membershipRoster().ReachableSlots()
	}
	return message
}

// receiveLiveness takes the liveness report that came with a message of the log, if there is one.
func (c *core) receiveLiveness(from string, m *CoreMessage) {
	if m.Hears == nil {
		return
	}
	c.liveness.received(from)
	c.env.membershipRoster().HandleLiveness(from, m.Hears)
}

// resetLiveness is for the beginning and the end of a link to or from a node: it may run another program.
func (c *core) resetLiveness(addr string) {
	if c != nil {
		c.liveness.reset(addr)
	}
}

// sendOverdueLiveness sends heartbeats where a liveness report waited for a message of the log in vain.
func (n *Node) sendOverdueLiveness() {
	if n.core == nil {
		return
	}
	now := n.loop.Now()
	for _, addr := range n.roster.HeartbeatTargets() {
		if n.core.liveness.takeOverdue(addr, now) {
			n.links.Send(addr, heartbeatFrame(&heartbeat{liveSlots: n.roster.ReachableSlots()}))
		}
	}
}
