package node

import (
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// Coordinate takes an application's call. The clock is read first: what lies unread in a socket may have been sent after this turn
// began, if the process stood still, and a lock's time must not count from before its caller asked for it.
func (h *Node) Coordinate(c coordination.Call, then func(coordination.Answer)) {
	h.e.Refresh()
	h.coordination.Take(c, then)
}

// coordinationHeard takes what another node's coordination says.
func (h *Node) coordinationHeard(from string, m *coordination.Message) {
	h.e.Refresh()
	h.coordination.Heard(from, m)
}

// coordinator is what a coordination.Service needs of its node.
type coordinator Node

func (c *coordinator) Send(to string, m *coordination.Message) bool {
	return c.links.Send(to, &Frame{Coordination: m})
}

func (c *coordinator) At(at time.Duration, number uint32) { c.e.At(at, c.coordination, number) }

func (c *coordinator) Waited() time.Duration { return c.e.Waited() }

func (c *coordinator) InTouch() bool { return (*Node)(c).may(takeCalls) }

// groupsApplication hands a service the groups, and logs that they are led no longer; the host logs who leads.
type groupsApplication struct {
	*coordination.Service
	h *Node
}

// Lost tells that it does no longer.
func (a groupsApplication) Lost(id groups.ID, term uint64) {
	a.h.say(groupPart, "%d is led here no longer, view %d", id, term)
	a.Service.Lost(id, term)
}

var _ groups.Application = groupsApplication{}
