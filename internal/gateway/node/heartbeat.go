package node

import (
	"time"

	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
)

// Heartbeats between nodes. What comes from a node, whatever it is, tells that it lives; a heartbeat tells more: to those who follow
// how old this node's word of the core is, to other members which slots this one hears. Between a leader and a member the log has words
// several times a second, so the slots go with one of these. A heartbeat by itself goes where the log has nothing to say, and to a
// program that has not shown yet that it knows the other way.

// heartbeatInterval is the time between two heartbeats to the same node.
const heartbeatInterval = 700 * time.Millisecond

// livenessMaxDelay is how long the slots that are heard wait for a message of the log: two of a leader's heartbeats.
const livenessMaxDelay = 300 * time.Millisecond

// livenessState is what a node with a disk knows of telling another one the slots that it hears by messages of the log.
type livenessState struct {
	piggybacks   bool          // the other one's program does so too
	pendingSince time.Duration // since when the slots wait for a message; 0: they don't
}

// sendHeartbeats tells the watchers that this node lives, and those who follow it who does. A follower asks, with its clock, and is answered at
// once; unasked it is told what is new, and at times.
func (n *Node) sendHeartbeats(news bool) {
	told := map[string]bool{}
	if n.core != nil {
		for _, addr := range n.streamSender.addrs() {
			told[addr] = true
			if _, askedAt := n.streamSender.clockOf(addr); news || n.loop.Now()-askedAt > 3*heartbeatInterval/2 {
				n.links.Send(addr, &Frame{Ping: n.learnerHeartbeat(addr)})
			}
		}
	}
	_, view, _ := n.contact.Contact(n.loop.Now())
	p := Heartbeat{Stale: n.contactAge(), Index: n.appliedIndex, View: view}
	if n.core != nil {
		p.Lives = n.roster.ReachableSlots()
	} else if upstream := n.streamReceiver.upstream; upstream != "" {
		told[upstream] = true
		n.links.Send(upstream, &Frame{Ping: &Heartbeat{Stale: p.Stale, Index: p.Index, View: p.View, Clock: n.contact.Stamp(n.loop.Now())}})
	}
	f, toDisk := &Frame{Ping: &p}, &Frame{Ping: &Heartbeat{Lives: p.Lives}}
	for _, addr := range n.roster.Watchers() {
		node, met := n.roster.Node(addr)
		switch {
		case told[addr] || n.core != nil && n.deferLiveness(addr, news):
		case n.core != nil && met && node.Disk != 0: // it has its own word of the core
			n.links.Send(addr, toDisk)
		default:
			n.links.Send(addr, f)
		}
	}
}

// learnerHeartbeat is what a follower is told.
func (n *Node) learnerHeartbeat(addr string) *Heartbeat {
	_, term, _ := n.contact.Contact(n.loop.Now())
	clock, _ := n.streamSender.clockOf(addr)
	return &Heartbeat{Stale: n.contactAge(), Index: n.appliedIndex, Lives: n.roster.LiveSlots(), View: term, Echo: clock,
		Leaders: n.groups.leaderSlots()}
}

// receiveHeartbeat takes another node's heartbeat. A learner that asks for one is answered at once.
func (n *Node) receiveHeartbeat(from string, h *Heartbeat) {
	n.streamReceiver.receiveReport(from, h.Stale, h.Index, h.View)
	upstream := n.streamReceiver.isUpstream(from)
	if h.Lives != nil && (n.core != nil || upstream) {
		n.roster.HandleLiveness(from, h.Lives)
	}
	if upstream {
		n.contact.Learn(quorumcontact.Report{Age: h.Stale, Term: h.View, Echo: h.Echo, Index: h.Index}, n.appliedIndex, n.loop.Now())
		n.groups.learnLeaders(h.Leaders)
	}
	if h.Clock != 0 && n.streamSender.isLearner(from) {
		n.streamSender.receiveClock(from, h.Clock)
		n.links.Send(from, &Frame{Ping: n.learnerHeartbeat(from)})
	}
}

// deferLiveness has the slots that this node hears go with the next message of the log to another one. True: a heartbeat is not needed
// beside, unless no message goes soon.
func (n *Node) deferLiveness(addr string, news bool) bool {
	x := n.core.liveness[addr]
	if news { // at once
		x.pendingSince = 0
		n.core.liveness[addr] = x
		return false
	}
	x.pendingSince = n.loop.Now()
	n.core.liveness[addr] = x
	return x.piggybacks
}

// coreMessage is a message of the log to another member, with the slots that this one hears if they wait.
func (c *core) coreMessage(addr string, m replication.Message) *CoreMessage {
	line := &CoreMessage{From: c.self.ID, Message: m.Wire()}
	if x := c.liveness[addr]; x.pendingSince > 0 {
		x.pendingSince = 0
		c.liveness[addr] = x
		line.Hears = c.node.roster.ReachableSlots()
	}
	return line
}

// receiveLiveness takes what came with a message of the log.
func (c *core) receiveLiveness(from string, line *CoreMessage) {
	if line.Hears == nil {
		return
	}
	x := c.liveness[from]
	x.piggybacks = true
	c.liveness[from] = x
	c.node.roster.HandleLiveness(from, line.Hears)
}

// resetLiveness: a link to or from a node begins or has ended; its program may be another one.
func (c *core) resetLiveness(addr string) {
	if c != nil {
		delete(c.liveness, addr)
	}
}

// sendOverdueLiveness sends heartbeats where slots waited for a message of the log in vain.
func (n *Node) sendOverdueLiveness() {
	if n.core == nil {
		return
	}
	now := n.loop.Now()
	for _, addr := range n.roster.Watchers() {
		if x := n.core.liveness[addr]; x.piggybacks && x.pendingSince > 0 && now-x.pendingSince >= livenessMaxDelay {
			n.core.liveness[addr] = livenessState{}
			n.links.Send(addr, &Frame{Ping: &Heartbeat{Lives: n.roster.ReachableSlots()}})
		}
	}
}
