package outlier

import (
	"slices"
	"time"

	"clovergap/internal/invariant"
)

// queueAccessUpdate queues a service for the next call of updateAccess. A service that is already queued is not queued again.
func (n *Node) queueAccessUpdate(svc *service) {
	if !svc.changed {
		svc.changed = true
		n.changed = append(n.changed, svc)
	}
}

// updateAccess recomputes the access of the backends of every queued service and pushes a SetAccess action for each change.
func (n *Node) updateAccess() {
	for _, svc := range n.changed {
		svc.changed = false
		n.updatePatientAccess(svc)
		n.updateStrictAccess(svc)
	}
	n.changed = n.changed[:0]
}

// ejectionAccess returns the access that a key's ejection allows. It is Open if the key has no ejection or if outlier detection is disabled.
func (n *Node) ejectionAccess(k Key) Access {
	if ejection := n.state.Ejection(k); ejection != nil && n.state.Enabled() {
		return ejection.allowedAccess()
	}
	return Open
}

// updatePatientAccess sets this node's access to each backend of a service for patient requests. If the ejections leave fewer backends open
// than Settings.minBackendsInService returns, the least unhealthy ejected backends are opened until the required number is open.
func (n *Node) updatePatientAccess(svc *service) {
	var ejected []*Ejection
	for _, instance := range svc.backends {
		if k := instance.keys[Patient].key; n.ejectionAccess(k) != Open {
			ejected = append(ejected, n.state.Ejection(k))
		}
	}
	slices.SortFunc(ejected, func(a, b *Ejection) int {
		switch { // The least unhealthy backend comes first.
		case a.Step != b.Step:
			return int(b.Step) - int(a.Step)
		case a.Score != b.Score:
			return a.Score - b.Score
		}
		return a.compare(b.Key)
	})
	shortfall := max(0, n.state.Settings().minBackendsInService(len(svc.backends))-(len(svc.backends)-len(ejected)))
	invariant.Assert(shortfall <= len(ejected), "the required number of open backends is at most the number of ready backends")
	kept := map[InstanceID]bool{}
	for _, ejection := range ejected[:shortfall] {
		kept[ejection.ID] = true
	}
	for _, instance := range svc.backends {
		if state := &instance.keys[Patient]; kept[instance.ID] {
			n.setAccess(state, Open, false)
		} else {
			n.setAccess(state, n.ejectionAccess(state.key), false)
		}
	}
}

// updateStrictAccess sets this node's access to each backend of a service for strict requests. It keeps no minimum number of backends open,
// because rejecting a write is better than losing the write. If no backend of the service is available, the function pushes a NoneAvailable
// action, but only one in each noneAvailableInterval.
func (n *Node) updateStrictAccess(svc *service) {
	available := false
	for _, instance := range svc.backends {
		state := &instance.keys[Strict]
		access := n.ejectionAccess(state.key)
		local := access != Closed && n.state.Enabled() && state.isLocallyEjected(n.now)
		if local {
			access = Closed
		}
		available = available || access != Closed
		n.setAccess(state, access, local)
	}
	switch {
	case available || len(svc.backends) == 0:
		svc.noneAvailableAt = 0
	case svc.noneAvailableAt == 0 || n.now-svc.noneAvailableAt >= noneAvailableInterval:
		svc.noneAvailableAt = n.now
		n.push(NoneAvailable{svc.name, Strict, len(svc.backends)})
	}
}

// setAccess stores the access of a key and pushes a SetAccess action if the access has changed. local is true if this node closed the backend
// by a local ejection.
func (n *Node) setAccess(state *keyState, access Access, local bool) {
	if state.access == access && state.local == local {
		return
	}
	state.access, state.local = access, local
	n.push(SetAccess{state.key, access, time.Duration(n.nodeCount) * time.Second / limitedPerSecond, local})
}
