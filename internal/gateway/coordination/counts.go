package coordination

import "clovergap/internal/gateway/groups"

// Counts are what a service did since its start.
type Counts struct {
	Calls    [LockList + 1]uint64 // taken from callers, by operation
	Answers  [Unclear + 1]uint64  // given to callers, by status
	PassedOn uint64               // sent to another node, tries included
	Late     uint64               // came from another node too late to count
	Gained   uint64               // leads of groups
	Lost     uint64
}

// ServiceStatus is what a service holds now.
type ServiceStatus struct {
	Counts   Counts
	Pending  int // calls that wait for an answer
	Watchers int // watches of callers that wait
	Parked   int // watches of all nodes that wait where their group is led
	Groups   []GroupStatus
}

// GroupStatus is a group at a node that has its state.
type GroupStatus struct {
	ID       groups.ID
	Leads    bool
	Locks    int
	Numbers  int
	Keys     int
	KeyBytes int
	Events   int // bytes of history
}

// Status tells what the service holds.
func (s *Service) Status() ServiceStatus {
	all := ServiceStatus{Counts: s.counts, Pending: len(s.pending), Watchers: s.watched, Parked: len(s.parked)}
	for id := range s.led {
		state := s.led[id].state
		if state == nil {
			continue
		}
		g := GroupStatus{ID: groups.ID(id), Leads: s.leads(groups.ID(id)), Locks: len(state.locks), Numbers: len(state.numbers),
			KeyBytes: state.keys.bytes, Events: state.keys.events}
		for _, k := range state.keys.groups {
			g.Keys += len(k.keys)
		}
		all.Groups = append(all.Groups, g)
	}
	return all
}
