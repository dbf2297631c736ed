package node

import (
	"time"

	"clovergap/control/quota"
	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/peers"
)

// A datagram may not have waited unread for longer than the quota counts with. The constant overflows if it may.
const _ = uint(quota.MaxDatagramDelay - peers.MaxDelay)

// A call may not have waited unread for longer than the coordination service counts with. The constant overflows if the event loop's account is
// less exact.
const _ = uint(coordination.MaxUnknownInputDelay - eventloop.MaxUnknownDelay)

// Coordinate takes an application's call that may have waited unread for inputDelay. The clock is read first: what lies unread in a socket may
// have been sent after this turn began, if the process stood still, and a lock's time must not count from before its request.
func (n *Node) Coordinate(c coordination.Call, inputDelay time.Duration, then func(coordination.Result)) {
	n.loop.Refresh()
	n.coordination.Submit(c, inputDelay, then)
}

// receiveCoordination takes a message of another node's coordination service.
func (n *Node) receiveCoordination(from string, bytes []byte) {
	m, err := coordination.DecodeMessage(bytes)
	if err != nil {
		n.logWarn(groupPart).Str("peer", from).Err(err).Msg("coordination message unreadable")
		return
	}
	n.loop.Refresh()
	n.coordination.Receive(from, m)
}

// coordinationEnv is what a coordination.Service needs of its node.
type coordinationEnv Node

// Send sends a message to another node; false: it is not on its way.
func (c *coordinationEnv) Send(to string, m *coordination.Message) bool {
	return c.links.Send(to, &Frame{Coordination: m.Encode()})
}

// ScheduleAt schedules a timer of the service.
func (c *coordinationEnv) ScheduleAt(at time.Duration, number uint32) {
	c.loop.At(at, c.coordination, number)
}

// HasQuorumContact reports whether this node can take calls.
func (c *coordinationEnv) HasQuorumContact() bool { return (*Node)(c).mayTakeCalls() }

// groupsApplication is the coordination service as the application of the groups. It logs the end of a group's leadership; the host
// logs its beginning.
type groupsApplication struct {
	*coordination.Service
	node *Node
}

// groupApplication is what the groups of this node order: the calls of its coordination service.
func (n *Node) groupApplication() groups.Application {
	if n.knobs.GroupApplications != nil {
		return n.knobs.GroupApplications.NewApplication()
	}
	return groupsApplication{n.coordination, n}
}

// LeadershipLost logs that this node leads a group no longer, and notifies the service.
func (g groupsApplication) LeadershipLost(id groups.ID, term uint64) {
	g.node.logInfo(groupPart).Int("group", int(id)).Uint64("term", term).Msg("lost group leadership")
	g.Service.LeadershipLost(id, term)
}

var _ groups.Application = groupsApplication{}

// GroupList is how the groups stand, as this node knows it.
func (n *Node) GroupList() controlapi.GroupList {
	status := n.coordination.Status()
	list := controlapi.GroupList{Node: n.settings.NodeName, Calls: callCounts(&status)}
	for id := range groups.ID(groups.Count) {
		list.Groups = append(list.Groups, n.groupStatus(id, &status))
	}
	return list
}

// groupStatus is how a group stands, as this node knows it.
func (n *Node) groupStatus(id groups.ID, service *coordination.ServiceStatus) controlapi.GroupStatus {
	g := controlapi.GroupStatus{Group: int(id)}
	if leader, ok := n.groups.Leader(id); ok {
		g.Leader = leader
		if node, known := n.roster.Node(leader); known {
			g.Control = node.ControlAddr
		}
	}
	if replica, ok := n.GroupStatus(id); ok {
		g.View, g.Synced = replica.Term, replica.SyncedIndex
		for _, m := range replica.Members {
			g.Members = append(g.Members, n.memberAddr(m))
		}
	}
	for _, state := range service.Groups {
		if state.ID == id {
			g.Leads, g.Locks, g.Numbers, g.Keys = state.IsLeader, state.Locks, state.Numbers, state.Keys
			g.KeyBytes, g.HistoryBytes = state.KeyBytes, state.HistoryBytes
		}
	}
	return g
}

// callCounts is what a service has done, and what is pending in it.
func callCounts(s *coordination.ServiceStatus) controlapi.CallCounts {
	c := controlapi.CallCounts{Calls: map[string]uint64{}, Answers: map[string]uint64{}, PassedOn: s.Counters.Forwarded, Late: s.Counters.LateRequests,
		LeadsGained: s.Counters.LeadershipsGained, LeadsLost: s.Counters.LeadershipsLost, Pending: s.Pending, Watchers: s.Watchers, Parked: s.ParkedWatches}
	for o, n := range s.Counters.Calls {
		if n > 0 {
			c.Calls[coordination.Operation(o).String()] = n
		}
	}
	for status, n := range s.Counters.Results {
		if n > 0 {
			c.Answers[coordination.Status(status).String()] = n
		}
	}
	return c
}
