package node

import (
	"hash/fnv"

	"clovergap/control"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/ingress"
	"clovergap/internal/gateway/quorumcontact"
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

func (c *catalog) zoneID(name string) control.ZoneID {
	if _, ok := c.zones[name]; !ok {
		c.zones[name] = control.ZoneID(len(c.zones))
	}
	return c.zones[name]
}

func (c *catalog) serviceID(name string) control.ServiceID {
	if _, ok := c.services[name]; !ok {
		c.services[name] = control.ServiceID(len(c.services))
		c.serviceNames = append(c.serviceNames, name)
	}
	return c.services[name]
}

// backend names one by its id, alike at every node.
func backendIDOf(id string) control.BackendID {
	f := fnv.New64a()
	f.Write([]byte(id))
	return control.BackendID(f.Sum64())
}

// installConfiguration puts a new table in force, whole, in this turn.
func (n *Node) installConfiguration() {
	config := n.machine.Configs.Config()
	if config == nil {
		return
	}
	old := n.table
	n.table = routing.NewTable(config)
	kept := map[routing.RouteKey]control.ProductID{}
	for _, r := range n.table.Routes() {
		id, ok := n.catalog.productIDs[r.Key]
		if !ok {
			n.catalog.lastProduct++
			id = n.catalog.lastProduct
			c := admission.Route{Effectful: r.Effectful, LatencyTarget: r.Target, Deadline: r.Deadline, MaxAttempts: r.MaxTries,
				Priority: r.Priority}
			for _, t := range r.Targets {
				c.Targets = append(c.Targets, admission.Target{Service: n.catalog.serviceID(t.Service), Weight: t.Weight})
			}
			n.admission.SetRoute(id, c)
		}
		kept[r.Key], n.catalog.routesByProduct[id] = id, r
	}
	for key, id := range n.catalog.productIDs {
		if _, ok := kept[key]; !ok {
			if old := n.catalog.routesByProduct[id]; old != nil {
				if now, ok := n.table.Route([]byte(old.Host), []byte(old.Prefix)); ok {
					n.admission.LowerMaxAttempts(id, now.MaxTries)
				}
			}
			n.admission.RemoveRoute(id)
			delete(n.catalog.routesByProduct, id)
		}
	}
	n.catalog.productIDs = kept
	had := map[string]bool{}
	for _, t := range n.table.Tenants() {
		had[t.Name] = true
		n.quota.SetLimit(customerID(t.Name), t.Rate, t.Burst)
	}
	for _, t := range old.Tenants() {
		if !had[t.Name] {
			n.quota.SetLimit(customerID(t.Name), 0, 0)
		}
	}
	l := n.table.Limits()
	n.frontend.SetBounds(ingress.Bounds(ingress.Limits{Head: l.MostHeader, Body: l.MostBody, HeadIn: l.HeaderTimeout, Idle: l.IdleTimeout}))
}

// Admit tells what a request is: its route, its tenant, or why it may not go on.
func (n *Node) Admit(host, path, key []byte) (a ingress.Admission, no ingress.Refusal) {
	sure := n.permitted(quorumcontact.Refuse)
	r, ok := n.table.Route(host, path)
	if !ok {
		if !sure {
			return a, ingress.UnknownYet
		}
		return a, ingress.NoRoute
	}
	a = ingress.Admission{Product: n.catalog.productIDs[r.Key], Deadline: r.Deadline, Once: r.Effectful}
	if r.Public || !n.table.HasTenants() {
		return a, ingress.None
	}
	t, ok := n.table.Tenant(key)
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
func (n *Node) BackendName(id control.BackendID) string { return n.catalog.backendNames[id] }

// Gone is told when another backend answered at this one's address.
func (n *Node) Gone(id control.BackendID) {
	if n.registry != nil {
		n.registry.AddressTaken(n.catalog.backendNames[id])
	}
}

// updateListing takes news of a backend to those who go by it.
func (n *Node) updateListing(c registry.Changed) {
	id := backendIDOf(c.Record.ID)
	state := control.Ready
	switch c.Record.Phase {
	case registry.Draining:
		state = control.Draining
	case registry.Gone:
		state = control.Gone
	}
	n.catalog.backendNames[id] = c.Record.ID
	n.dispatcher.SetBackend(id, c.Record.Addr, 0, state == control.Ready)
	if s, ok := n.table.Service(c.Record.Service); ok && s.MaxConns > 0 {
		n.dispatcher.SetMaxConns(id, max(minConnsPerNode, s.MaxConns/max(n.slotCount, 1)))
	}
	n.gate.Listed(false, []control.Endpoint{{ID: id, Zone: n.catalog.zoneID(c.Record.Zone), State: state,
		Capacity: float64(max(c.Record.Capacity, 1)), Service: n.poolOf(c.Record), WarmingUntil: c.SlowStartUntil}})
	if state == control.Gone {
		delete(n.catalog.backendNames, id)
	}
}
