package coordination

import "clovergap/internal/gateway/groups"

// Counters count what a service did since its start.
type Counters struct {
	Calls             [LockList + 1]uint64        // taken from callers, by operation
	Results           [StatusAmbiguous + 1]uint64 // given to callers, by status
	Forwarded         uint64                      // attempts sent to another node
	LateRequests      uint64                      // forwarded calls of other nodes that came after their deadline
	LeadershipsGained uint64
	LeadershipsLost   uint64
}

// ServiceStatus is what a service holds now.
type ServiceStatus struct {
	Counters      Counters
	Pending       int           // calls that were taken here and have not ended
	Watchers      int           // callers of this node that wait in shared watches
	ParkedWatches int           // watches of all nodes that wait here, at the leader of their group
	Groups        []GroupStatus // those whose state this node has
}

// GroupStatus is a group at a node that has its state.
type GroupStatus struct {
	ID           groups.ID
	IsLeader     bool
	Locks        int
	Numbers      int
	Keys         int
	KeyBytes     int
	HistoryBytes int
}

// Status is what the service holds, and its counters.
func (s *Service) Status() ServiceStatus {
	status := ServiceStatus{
		Counters:      s.counters,
		Pending:       len(s.pending),
		Watchers:      s.watcherCount,
		ParkedWatches: len(s.parkedWatches),
	}
	for id := range groups.ID(groups.Count) {
		if state := s.hosted[id].state; state != nil {
			status.Groups = append(status.Groups, state.status(id, s.isLeader(id)))
		}
	}
	return status
}

func (s *State) status(id groups.ID, isLeader bool) GroupStatus {
	status := GroupStatus{
		ID:           id,
		IsLeader:     isLeader,
		Locks:        len(s.locks),
		Numbers:      len(s.numbers),
		KeyBytes:     s.keys.bytes,
		HistoryBytes: s.keys.historyBytes,
	}
	for _, g := range s.keys.groups {
		status.Keys += len(g.keys)
	}
	return status
}
