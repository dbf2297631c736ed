package registry

import "slices"

// Status holds counts for operators.
type Status struct {
	Ready, Draining, Gone int // numbers of backends by visible phase
	Owned                 int // number of backends that this node owns and that are not gone
	OwnerLost             int // number of backends that are not gone and whose owner this node does not reach
	PendingCalls          int // number of calls that wait until other nodes have the departure
	Unconfirmed           int // number of records to peers that are waiting to be sent or to be acknowledged
	// Number of calls and updates of new backends that were rejected because the registry was full, since the start of the
	// node.
	Refused uint64
}

// Status returns the counts as of the last input.
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
		} else if r.isUnreachable(e.record.Owner) {
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

// Backends returns the backends whose visible phase is not Gone, sorted by id. SlowStartLeft and Age are as of the last Tick.
func (r *Registry) Backends() []Record {
	var records []Record
	for _, e := range r.sorted {
		if r.visiblePhase(e) != Gone {
			records = append(records, r.currentRecord(e))
		}
	}
	return records
}

// HasReadyBackend reports whether the visible phase of any backend is Ready. It stops at the first such backend, because the
// host calls HasReadyBackend at least once a second.
func (r *Registry) HasReadyBackend() bool {
	return slices.ContainsFunc(r.sorted, func(e *entry) bool { return r.visiblePhase(e) == Ready })
}
