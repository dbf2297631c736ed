package node

import (
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/quorumcontact"
)

// Coordinate takes an application's call. The clock is read first: what lies unread in a socket may have been sent after this turn
// began, if the process stood still, and a lock's time must not count from before its caller asked for it.
func (n *Node) Coordinate(c coordination.Call, then func(coordination.Result)) {
	n.loop.Refresh()
	n.coordination.Submit(c, then)
}

// receiveCoordination takes what another node's coordination says.
func (n *Node) receiveCoordination(from string, bytes []byte) {
	m, err := coordination.DecodeMessage(bytes)
	if err != nil {
		n.warn(groupPart, "call from %s can't be read: %v", from, err)
		return
	}
	n.loop.Refresh()
	n.coordination.Receive(from, m)
}

// coordinationEnv is what a coordination.Service needs of its node.
type coordinationEnv Node

func (c *coordinationEnv) Send(to string, m *coordination.Message) bool {
	return c.links.Send(to, &Frame{Coordination: m.Encode()})
}

func (c *coordinationEnv) ScheduleAt(at time.Duration, number uint32) {
	c.loop.At(at, c.coordination, number)
}

func (c *coordinationEnv) InputDelay() time.Duration { return c.loop.InputDelay() }

func (c *coordinationEnv) HasQuorumContact() bool {
	return (*Node)(c).permitted(quorumcontact.TakeCalls)
}

// groupsApplication hands a service the groups, and logs that they are led no longer; the host logs who leads.
type groupsApplication struct {
	*coordination.Service
	node *Node
}

// LeadershipLost tells that it does no longer.
func (g groupsApplication) LeadershipLost(id groups.ID, term uint64) {
	g.node.say(groupPart, "%d is led here no longer, view %d", id, term)
	g.Service.LeadershipLost(id, term)
}

var _ groups.Application = groupsApplication{}

// GroupList is how the groups stand, as this node knows it.
func (n *Node) GroupList() controlapi.GroupList {
	status := n.coordination.Status()
	list := controlapi.GroupList{Node: n.settings.NodeName, Calls: callCounts(&status)}
	for id := range groups.ID(groups.Count) {
		g := controlapi.GroupStatus{Group: int(id)}
		if leader, ok := n.groups.Leader(id); ok {
			g.Leader = leader
			if node, known := n.roster.Node(leader); known {
				g.Control = node.Control
			}
		}
		if replica, ok := n.GroupStatus(id); ok {
			g.View, g.Synced = replica.Term, replica.SyncedIndex
			for _, m := range replica.Members {
				g.Members = append(g.Members, n.memberAddr(m))
			}
		}
		for _, held := range status.Groups {
			if held.ID == id {
				g.Leads, g.Locks, g.Numbers, g.Keys = held.IsLeader, held.Locks, held.Numbers, held.Keys
				g.KeyBytes, g.HistoryBytes = held.KeyBytes, held.HistoryBytes
			}
		}
		list.Groups = append(list.Groups, g)
	}
	return list
}

// callCounts words what a service did and holds.
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
