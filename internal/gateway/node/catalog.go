package node

import (
	"hash/fnv"

	"clovergap/control"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/ingress"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/routing"
)

// catalog numbers what the parts know by number: names are the edge's.
type catalog struct {
	productIDs      map[routing.RouteKey]control.ProductID
	routesByProduct map[control.ProductID]*routing.Route
	services        map[string]control.ServiceID
	zones           map[string]control.ZoneID
	backendNames    map[control.BackendID]string
	serviceNames    []string // services by number
	lastProduct     control.ProductID
}

// minConnsPerNode of a backend are this node's in any case, where its bound is split over the nodes.
const minConnsPerNode = 4

func newCatalog() catalog {
	return catalog{productIDs: map[routing.RouteKey]control.ProductID{}, routesByProduct: map[control.ProductID]*routing.Route{},
		services: map[string]control.ServiceID{}, zones: map[string]control.ZoneID{}, backendNames: map[control.BackendID]string{}}
}

func (s *catalog) zoneID(name string) control.ZoneID {
	if _, ok := s.zones[name]; !ok {
		s.zones[name] = control.ZoneID(len(s.zones))
	}
	return s.zones[name]
}

func (s *catalog) serviceID(name string) control.ServiceID {
	if _, ok := s.services[name]; !ok {
		s.services[name] = control.ServiceID(len(s.services))
		s.serviceNames = append(s.serviceNames, name)
	}
	return s.services[name]
}

// backend names one by its id, alike at every node.
func backendIDOf(id string) control.BackendID {
	f := fnv.New64a()
	f.Write([]byte(id))
	return control.BackendID(f.Sum64())
}

// installConfiguration puts a new table in force, whole, in this turn.
func (h *Node) installConfiguration() {
	config := h.machine.Configs.Config()
	if config == nil {
		return
	}
	old := h.table
	h.table = routing.NewTable(config)
	kept := map[routing.RouteKey]control.ProductID{}
	for _, r := range h.table.Routes() {
		id, ok := h.catalog.productIDs[r.Key]
		if !ok {
			h.catalog.lastProduct++
			id = h.catalog.lastProduct
			c := admission.Route{Effectful: r.Effectful, LatencyTarget: r.Target, Deadline: r.Deadline, MaxAttempts: r.MaxTries,
				Priority: r.Priority}
			for _, t := range r.Targets {
				c.Targets = append(c.Targets, admission.Target{Service: h.catalog.serviceID(t.Service), Weight: t.Weight})
			}
			h.admission.SetRoute(id, c)
		}
		kept[r.Key], h.catalog.routesByProduct[id] = id, r
	}
	for key, id := range h.catalog.productIDs {
		if _, ok := kept[key]; !ok {
			if old := h.catalog.routesByProduct[id]; old != nil {
				if now, ok := h.table.Route([]byte(old.Host), []byte(old.Prefix)); ok {
					h.admission.LowerMaxAttempts(id, now.MaxTries)
				}
			}
			h.admission.RemoveRoute(id)
			delete(h.catalog.routesByProduct, id)
		}
	}
	h.catalog.productIDs = kept
	had := map[string]bool{}
	for _, t := range h.table.Tenants() {
		had[t.Name] = true
		h.quota.SetLimit(customerID(t.Name), t.Rate, t.Burst)
	}
	for _, t := range old.Tenants() {
		if !had[t.Name] {
			h.quota.SetLimit(customerID(t.Name), 0, 0)
		}
	}
	l := h.table.Limits()
	h.frontend.SetBounds(ingress.Bounds(ingress.Limits{Head: l.MostHeader, Body: l.MostBody, HeadIn: l.HeaderTimeout, Idle: l.IdleTimeout}))
}

// Admit tells what a request is: its route, its tenant, or why it may not go on.
func (h *Node) Admit(host, path, key []byte) (a ingress.Admission, no ingress.Refusal) {
	sure := h.permitted(permitRefuse)
	r, ok := h.table.Route(host, path)
	if !ok {
		if !sure {
			return a, ingress.UnknownYet
		}
		return a, ingress.NoRoute
	}
	a = ingress.Admission{Product: h.catalog.productIDs[r.Key], Deadline: r.Deadline, Once: r.Effectful}
	if r.Public || !h.table.HasTenants() {
		return a, ingress.None
	}
	t, ok := h.table.Tenant(key)
	if !ok {
		if !sure {
			return a, ingress.UnknownYet
		}
		return a, ingress.NoKey
	}
	a.Tenant, a.Rank = t.Name, t.Priority
	if a.Metered = t.Rate > 0; a.Metered {
		a.Customer = customerID(t.Name)
	}
	return a, ingress.None
}

// BackendName is a backend's id in its own words.
func (h *Node) BackendName(id control.BackendID) string { return h.catalog.backendNames[id] }

// Gone is told when another backend answered at this one's address.
func (h *Node) Gone(id control.BackendID) {
	if h.registry != nil {
		h.registry.AddressTaken(h.catalog.backendNames[id])
	}
}

// updateListing takes news of a backend to those who go by it.
func (h *Node) updateListing(c registry.Changed) {
	id := backendIDOf(c.Record.ID)
	state := control.Ready
	switch c.Record.Phase {
	case registry.Draining:
		state = control.Draining
	case registry.Gone:
		state = control.Gone
	}
	h.catalog.backendNames[id] = c.Record.ID
	h.dispatcher.SetBackend(id, c.Record.Addr, 0, state == control.Ready)
	if s, ok := h.table.Service(c.Record.Service); ok && s.MaxConns > 0 {
		h.dispatcher.SetMaxConns(id, max(minConnsPerNode, s.MaxConns/max(h.slotCount, 1)))
	}
	h.gate.Listed(false, []control.Endpoint{{ID: id, Zone: h.catalog.zoneID(c.Record.Zone), State: state,
		Capacity: float64(max(c.Record.Capacity, 1)), Service: h.poolOf(c.Record), WarmingUntil: c.SlowStartUntil}})
	if state == control.Gone {
		delete(h.catalog.backendNames, id)
	}
}
