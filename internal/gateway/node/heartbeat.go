package node

import (
	"time"

	"clovergap/internal/gateway/replication"
)

// Heartbeats between nodes. What comes from a node, whatever it is, tells that it lives; a heartbeat tells more: to those who follow
// how old this node's word of the core is, to other members which slots this one hears. Between a leader and a member the log has words
// several times a second, so the slots go with one of these. A heartbeat by itself goes where the log has nothing to say, and to a
// program that has not shown yet that it knows the other way.

// hearsLate is how long the slots that are heard wait for a message of the log: two of a leader's heartbeats.
const hearsLate = 300 * time.Millisecond

// hearsWith is what a node with a disk knows of telling another one the slots that it hears by messages of the log.
type hearsWith struct {
	knows bool          // the other one's program does so too
	due   time.Duration // since when the slots wait for a message; 0: they don't
}

// ping tells the watchers that this node lives, and those who follow it who does. A follower asks, with its clock, and is answered at
// once; unasked it is told what is new, and at times.
func (h *Node) ping(news bool) {
	told := map[string]bool{}
	if h.core != nil {
		for _, addr := range h.following() {
			told[addr] = true
			if news || h.e.Now()-h.echoes[addr].at > 3*pingEvery/2 {
				h.links.Send(addr, &Frame{Ping: h.pingTo(addr)})
			}
		}
	}
	_, view, _ := h.contact()
	p := Ping{Stale: h.stale(), Index: h.applied, View: view}
	if h.core != nil {
		p.Lives = h.roster.Hears()
	} else if h.feeder != "" {
		told[h.feeder] = true
		h.links.Send(h.feeder, &Frame{Ping: &Ping{Stale: p.Stale, Index: p.Index, View: p.View, Clock: h.clock.Stamp(h.e.Now())}})
	}
	f, toDisk := &Frame{Ping: &p}, &Frame{Ping: &Ping{Lives: p.Lives}}
	for _, addr := range h.roster.Watchers() {
		node, met := h.roster.Node(addr)
		switch {
		case told[addr] || h.core != nil && h.hearsWait(addr, news):
		case h.core != nil && met && node.Disk != 0: // it has its own word of the core
			h.links.Send(addr, toDisk)
		default:
			h.links.Send(addr, f)
		}
	}
}

// pingTo is what a follower is told.
func (h *Node) pingTo(addr string) *Ping {
	_, view, _ := h.contact()
	return &Ping{Stale: h.stale(), Index: h.applied, Lives: h.roster.Lives(), View: view, Echo: h.echoes[addr].clock,
		Leaders: h.groups.leaders()}
}

// hearsWait has the slots that this node hears go with the next message of the log to another one. True: a heartbeat is not needed
// beside, unless no message goes soon.
func (h *Node) hearsWait(addr string, news bool) bool {
	x := h.core.hears[addr]
	if news { // at once
		x.due = 0
		h.core.hears[addr] = x
		return false
	}
	x.due = h.e.Now()
	h.core.hears[addr] = x
	return x.knows
}

// line is a message of the log to another member, with the slots that this one hears if they wait.
func (c *core) line(addr string, m replication.Message) *Line {
	line := &Line{From: c.me.ID, Message: m}
	if x := c.hears[addr]; x.due > 0 {
		x.due = 0
		c.hears[addr] = x
		line.Hears = c.h.roster.Hears()
	}
	return line
}

// lineHeard takes what came with a message of the log.
func (c *core) lineHeard(from string, line *Line) {
	if line.Hears == nil {
		return
	}
	x := c.hears[from]
	x.knows = true
	c.hears[from] = x
	c.h.roster.Told(from, line.Hears)
}

// forget: a link to or from a node begins or has ended; its program may be another one.
func (c *core) forget(addr string) {
	if c != nil {
		delete(c.hears, addr)
	}
}

// hearsOverdue sends heartbeats where slots waited for a message of the log in vain.
func (h *Node) hearsOverdue() {
	if h.core == nil {
		return
	}
	now := h.e.Now()
	for _, addr := range h.roster.Watchers() {
		if x := h.core.hears[addr]; x.knows && x.due > 0 && now-x.due >= hearsLate {
			h.core.hears[addr] = hearsWith{}
			h.links.Send(addr, &Frame{Ping: &Ping{Lives: h.roster.Hears()}})
		}
	}
}
