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

// minConnsPerNode are how many connections to a backend each node may have in any case, where the backend's bound is split over the nodes.
const minConnsPerNode = 4

// catalog numbers what admission and the balancer know by number. Names are the configuration's and the backends'; a number once given to
// a name stays this incarnation's.
type catalog struct {
	productIDs      map[routing.RouteKey]control.ProductID // of the routes in force
	routesByProduct map[control.ProductID]*routing.Route
	lastProduct     control.ProductID
	services        map[string]control.ServiceID
	serviceNames    []string // by number
	zones           map[string]control.ZoneID
	backendNames    map[control.BackendID]string
}

func newCatalog() catalog {
	return catalog{productIDs: map[routing.RouteKey]control.ProductID{}, routesByProduct: map[control.ProductID]*routing.Route{},
		services: map[string]control.ServiceID{}, zones: map[string]control.ZoneID{}, backendNames: map[control.BackendID]string{}}
}

// zoneID is the number of a zone; a new one is given to a new name.
func (c *catalog) zoneID(name string) control.ZoneID {
	if _, ok := c.zones[name]; !ok {
		c.zones[name] = control.ZoneID(len(c.zones))
	}
	return c.zones[name]
}

// serviceID is the number of a service; a new one is given to a new name.
func (c *catalog) serviceID(name string) control.ServiceID {
	if _, ok := c.services[name]; !ok {
		c.services[name] = control.ServiceID(len(c.services))
		c.serviceNames = append(c.serviceNames, name)
	}
	return c.services[name]
}

// backendIDOf is the number of a backend: a hash of its id, alike at every node.
func backendIDOf(id string) control.BackendID {
	sum := fnv.New64a()
	sum.Write([]byte(id))
	return control.BackendID(sum.Sum64())
}

// installConfiguration has all parts go by the newest configuration, in this turn.
func (n *Node) installConfiguration() {
	config := n.machine.Configs.Config()
	if config == nil {
		return
	}
	previous := n.table
	n.table = routing.NewTable(config)
	n.installRoutes()
	n.installTenants(previous)
	l := n.table.Limits()
	n.frontend.SetBounds(ingress.DownstreamBounds(ingress.Limits{MaxHeadBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}))
}

// installRoutes updates admission to the routes of the table.
func (n *Node) installRoutes() {
	installed := map[routing.RouteKey]control.ProductID{}
	for _, route := range n.table.Routes() {
		id, known := n.catalog.productIDs[route.Key]
		if !known {
			n.catalog.lastProduct++
			id = n.catalog.lastProduct
			n.admission.SetRoute(id, n.admissionRoute(route))
		}
		installed[route.Key], n.catalog.routesByProduct[id] = id, route
	}
	for key, id := range n.catalog.productIDs {
		if _, ok := installed[key]; !ok {
			n.removeRoute(id)
		}
	}
	n.catalog.productIDs = installed
}

// admissionRoute is a route as admission knows it.
func (n *Node) admissionRoute(route *routing.Route) admission.Route {
	r := admission.Route{Effectful: route.Effectful, LatencyTarget: route.LatencyTarget, Deadline: route.Deadline, MaxAttempts: route.MaxAttempts,
		Priority: route.Priority}
	for _, target := range route.Targets {
		r.Targets = append(r.Targets, admission.Target{Service: n.catalog.serviceID(target.Service), Weight: target.Weight})
	}
	return r
}

// removeRoute removes a route. Its requests in flight are attempted no more often than its successor allows.
func (n *Node) removeRoute(id control.ProductID) {
	if old := n.catalog.routesByProduct[id]; old != nil {
		if successor, ok := n.table.Route([]byte(old.Host), []byte(old.Prefix)); ok {
			n.admission.LowerMaxAttempts(id, successor.MaxAttempts)
		}
	}
	n.admission.RemoveRoute(id)
	delete(n.catalog.routesByProduct, id)
}

// installTenants updates the quota to the limits of the table's tenants.
func (n *Node) installTenants(previous *routing.Table) {
	present := map[string]bool{}
	for _, tenant := range n.table.Tenants() {
		present[tenant.Name] = true
		n.quota.SetLimit(customerID(tenant.Name), tenant.Rate, tenant.Burst)
	}
	for _, tenant := range previous.Tenants() {
		if !present[tenant.Name] {
			n.quota.SetLimit(customerID(tenant.Name), 0, 0)
		}
	}
}

// Admit finds the route and the tenant of a request, or the reason to refuse it. A node without recent quorum contact refuses nothing by its own
// configuration: the reason is then that it does not know yet.
func (n *Node) Admit(host, path, key []byte) (a ingress.Admission, no ingress.Rejection) {
	current := n.permitted(quorumcontact.RefuseRequests)
	route, ok := n.table.Route(host, path)
	switch {
	case !ok && !current:
		return a, ingress.ConfigurationPending
	case !ok:
		return a, ingress.NoRoute
	}
	a = ingress.Admission{Product: n.catalog.productIDs[route.Key], Deadline: route.Deadline, AtMostOnce: route.Effectful}
	if route.Public || !n.table.HasTenants() {
		return a, ingress.NotRejected
	}
	tenant, ok := n.table.Tenant(key)
	switch {
	case !ok && !current:
		return a, ingress.ConfigurationPending
	case !ok:
		return a, ingress.InvalidKey
	}
	a.Tenant, a.Priority = tenant.Name, tenant.Priority
	if a.Metered = tenant.Rate > 0; a.Metered {
		a.Customer = customerID(tenant.Name)
	}
	return a, ingress.NotRejected
}

// BackendName is the id that a backend goes by in its own calls.
func (n *Node) BackendName(id control.BackendID) string { return n.catalog.backendNames[id] }

// BackendReplaced is called when another backend answered at this one's address.
func (n *Node) BackendReplaced(id control.BackendID) {
	if n.registry != nil {
		n.registry.ReportAddressConflict(n.catalog.backendNames[id])
	}
}

// updateListing takes a change of a backend to the connections and to the balancer.
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
	n.gate.EndpointsChanged(false, []control.Endpoint{{ID: id, Zone: n.catalog.zoneID(c.Record.Zone), State: state,
		Capacity: float64(max(c.Record.Capacity, 1)), Service: n.catalog.serviceID(n.rollouts.serviceOf(c.Record)), WarmingUntil: c.SlowStartUntil}})
	if state == control.Gone {
		delete(n.catalog.backendNames, id)
	}
}
