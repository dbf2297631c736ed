package coordination

import "clovergap/internal/gateway/groups"

// Counters holds the numbers of events at a service since the service's start.
type Counters struct {
	Calls             [LockList + 1]uint64        // calls received from callers, by operation
	Results           [StatusAmbiguous + 1]uint64 // results returned to callers, by status
	Forwarded         uint64                      // attempts sent to another node
	LateRequests      uint64                      // forwarded calls from other nodes that arrived after their deadline
	LeadershipsGained uint64
	LeadershipsLost   uint64
}

// ServiceStatus describes the current load of a service.
type ServiceStatus struct {
	Counters      Counters
	Pending       int           // calls that this node received and that have not ended
	Watchers      int           // callers of this node that wait in shared watches
	ParkedWatches int           // watches from all nodes that wait at this node, as the leader of their group
	Groups        []GroupStatus // the groups whose state this node has
}

// GroupStatus describes a group at a node that has its state.
type GroupStatus struct {
	ID           groups.ID
	IsLeader     bool
	Locks        int
	Numbers      int
	Keys         int
	KeyBytes     int
	HistoryBytes int
}

// Watchers returns the number of callers of this node that wait in watches.
func (s *Service) Watchers() int { return s.watcherCount }

// Status returns the current load of the service and its counters.
func (s *Service) Status() ServiceStatus {
	status := ServiceStatus{
		Counters:      s.counters,
		Pending:       len(s.pending),
		Watchers:      s.watcherCount,
		ParkedWatches: len(s.parkedWatches),
	}
	for id := range groups.ID(groups.Count) {
		if state := s.hosted[id].state; state != nil {
			status.Groups = append(status.Groups, state.groupStatus(id, s.isLeader(id)))
		}
	}
	return status
}

// groupStatus returns the status of the state's group for ServiceStatus.
func (s *State) groupStatus(id groups.ID, isLeader bool) GroupStatus {
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
