package node

import (
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// Coordinate takes an application's call. The clock is read first: what lies unread in a socket may have been sent after this turn
// began, if the process stood still, and a lock's time must not count from before its caller asked for it.
func (h *Node) Coordinate(c coordination.Call, then func(coordination.Answer)) {
	if h.groups == nil {
		then(coordination.Answer{Status: coordination.Unavailable})
		return
	}
	h.e.Refresh()
	h.coordination.Take(c, then)
}

// coordinationHeard takes what another node's coordination says.
func (h *Node) coordinationHeard(from string, m *coordination.Message) {
	if h.groups == nil {
		return
	}
	h.e.Refresh()
	h.coordination.Heard(from, m)
}

// coordinate says which groups this node's coordination stands on.
func (h *Node) coordinate(host groups.Host) {
	h.groups = host
	h.coordination.Over(host)
}

// coordinator is what a coordination.Service needs of its node.
type coordinator Node

func (c *coordinator) Send(to string, m *coordination.Message) bool {
	return c.links.Send(to, &Frame{Coordination: m})
}

func (c *coordinator) At(at time.Duration, number uint32) { c.e.At(at, c.coordination, number) }

func (c *coordinator) InTouch() bool { return (*Node)(c).may(takeCalls) }

// groupsApplication hands a service the groups, and logs who leads them.
type groupsApplication struct {
	*coordination.Service
	h *Node
}

// Gained tells that this node leads a group.
func (a groupsApplication) Gained(id groups.ID, term uint64) {
	a.h.say(groupPart, "%d is led here, term %d", id, term)
	a.Service.Gained(id, term)
}

// Lost tells that it does no longer.
func (a groupsApplication) Lost(id groups.ID, term uint64) {
	a.h.say(groupPart, "%d is led here no longer, term %d", id, term)
	a.Service.Lost(id, term)
}

var _ groups.Application = groupsApplication{}
