package outlier

import (
	"slices"
	"time"

	"clovergap/internal/invariant"
)

// queueService has a service's access looked at again.
func (n *Node) queueService(svc *service) {
	if !svc.changed {
		svc.changed = true
		n.changed = append(n.changed, svc)
	}
}

// updateAccess tells the host what has changed of what backends get.
func (n *Node) updateAccess() {
	for _, svc := range n.changed {
		svc.changed = false
		n.updatePatient(svc)
		n.updateStrict(svc)
	}
	n.changed = n.changed[:0]
}

// accessOf is the access that a key's ejection leaves it.
func (n *Node) accessOf(k Key) Access {
	if ejection := n.state.Ejection(k); ejection != nil && n.state.Enabled() {
		return ejection.access()
	}
	return Open
}

// updatePatient keeps the least unhealthy in service, as many as the settings ask for at the least.
func (n *Node) updatePatient(svc *service) {
	var ejected []*Ejection
	for _, instance := range svc.backends {
		if k := instance.keys[Patient].key; n.accessOf(k) != Open {
			ejected = append(ejected, n.state.Ejection(k))
		}
	}
	slices.SortFunc(ejected, func(a, b *Ejection) int {
		switch { // the least unhealthy first
		case a.Step != b.Step:
			return int(b.Step) - int(a.Step)
		case a.Score != b.Score:
			return a.Score - b.Score
		}
		return a.compare(b.Key)
	})
	shortfall := max(0, n.state.Settings().minInService(len(svc.backends))-(len(svc.backends)-len(ejected)))
	invariant.Assert(shortfall <= len(ejected), "a floor is not above all")
	kept := map[InstanceID]bool{}
	for _, ejection := range ejected[:shortfall] {
		kept[ejection.ID] = true
	}
	for _, instance := range svc.backends {
		if state := &instance.keys[Patient]; kept[instance.ID] {
			n.setAccess(state, Open, false)
		} else {
			n.setAccess(state, n.accessOf(state.key), false)
		}
	}
}

// updateStrict keeps none in service: a write is better rejected than lost.
func (n *Node) updateStrict(svc *service) {
	available := false
	for _, instance := range svc.backends {
		state := &instance.keys[Strict]
		access := n.accessOf(state.key)
		local := access != Closed && n.state.Enabled() && state.locallyEjected(n.now)
		if local {
			access = Closed
		}
		available = available || access != Closed
		n.setAccess(state, access, local)
	}
	switch {
	case available || len(svc.backends) == 0:
		svc.noneAvailableAt = 0
	case svc.noneAvailableAt == 0 || n.now-svc.noneAvailableAt >= noneAvailableRepeatInterval:
		svc.noneAvailableAt = n.now
		n.push(NoneAvailable{svc.name, Strict, len(svc.backends)})
	}
}

// setAccess tells the host of a key's access, if it has changed.
func (n *Node) setAccess(state *keyState, access Access, local bool) {
	if state.access == access && state.local == local {
		return
	}
	state.access, state.local = access, local
	n.push(SetAccess{state.key, access, time.Duration(n.nodeCount) * time.Second / limitedPerSecond, local})
}
