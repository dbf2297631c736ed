package coordination

import "clovergap/internal/gateway/groups"

// Counters are what a service did since its start.
type Counters struct {
	Calls             [LockList + 1]uint64        // taken from callers, by operation
	Results           [StatusAmbiguous + 1]uint64 // given to callers, by status
	Forwarded         uint64                      // sent to another node, tries included
	LateRequests      uint64                      // came from another node too late to count
	LeadershipsGained uint64                      // leads of groups
	LeadershipsLost   uint64
}

// ServiceStatus is what a service holds now.
type ServiceStatus struct {
	Counters      Counters
	Pending       int // calls that wait for an answer
	Watchers      int // watches of callers that wait
	ParkedWatches int // watches of all nodes that wait where their group is led
	Groups        []GroupStatus
}

// GroupStatus is a group at a node that has its state.
type GroupStatus struct {
	ID           groups.ID
	IsLeader     bool
	Locks        int
	Numbers      int
	Keys         int
	KeyBytes     int
	HistoryBytes int // bytes of history
}

// Status tells what the service holds.
func (s *Service) Status() ServiceStatus {
	all := ServiceStatus{Counters: s.counters, Pending: len(s.pending), Watchers: s.watcherCount, ParkedWatches: len(s.parkedWatches)}
	for id := range s.hosted {
		state := s.hosted[id].state
		if state == nil {
			continue
		}
		g := GroupStatus{ID: groups.ID(id), IsLeader: s.isLeader(groups.ID(id)), Locks: len(state.locks), Numbers: len(state.numbers),
			KeyBytes: state.keys.bytes, HistoryBytes: state.keys.historyBytes}
		for _, k := range state.keys.groups {
			g.Keys += len(k.keys)
		}
		all.Groups = append(all.Groups, g)
	}
	return all
}
