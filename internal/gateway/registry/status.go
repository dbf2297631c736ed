package registry

import "slices"

// Status counts what there is, for operators.
type Status struct {
	Ready, Draining, Gone int    // backends, as requests should see them
	Owned                 int    // backends that this node watches
	OwnerLost             int    // backends whose owner this node does not reach
	PendingCalls          int    // calls that wait for other nodes
	Unconfirmed           int    // records that other nodes have not acknowledged
	Refused               uint64 // calls and updates of backends that found the registry full, since the start
}

// Status counts what there is.
func (r *Registry) Status() Status {
	s := Status{PendingCalls: len(r.pendingCalls), Refused: r.refused}
	for _, e := range r.sorted {
		switch r.visiblePhase(e) {
		case Ready:
			s.Ready++
		case Draining:
			s.Draining++
		case Gone:
			s.Gone++
		}
		if e.phase() == Gone {
			continue
		}
		if e.record.Owner == r.localSlot {
			s.Owned++
		} else if r.unreachable(e.record.Owner) {
			s.OwnerLost++
		}
	}
	for _, p := range r.peers {
		s.Unconfirmed += len(p.pendingIDs)
		for _, f := range p.inFlight {
			s.Unconfirmed += len(f.ids)
		}
	}
	return s
}

// Backends gives the backends that are not gone, by id. SlowStartLeft and Age are as of the last Tick.
func (r *Registry) Backends() []Record {
	var records []Record
	for _, e := range r.sorted {
		if r.visiblePhase(e) != Gone {
			records = append(records, r.recordOf(e))
		}
	}
	return records
}

// HasReady tells whether any backend is ready. It looks no further than the first: readiness is asked for each second and more.
func (r *Registry) HasReady() bool {
	return slices.ContainsFunc(r.sorted, func(e *entry) bool { return r.visiblePhase(e) == Ready })
}
