package routing

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"clovergap/internal/invariant"
)

// Defaults of values that a configuration omits or sets to 0. The limits are those of the example in PROTOCOL.md.
const (
	DefaultDeadline       = 30 * time.Second
	DefaultMaxAttempts    = 2
	DefaultHealthPath     = "/health"
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 64 << 20
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// maxHostBytes is the maximum length of a host name in a look-up, in bytes. DNS allows 253.
const maxHostBytes = 256

// RouteKey identifies a route by its content. Routes of different tables have the same key if all their fields are equal, so that
// statistics of a route are kept when the table changes. Keys exist in memory only and are not stored.
type RouteKey string

// Route is a route of a Table, with all defaults filled in.
type Route struct {
	Key           RouteKey
	Name          string
	Host          string // host name in lower case
	Prefix        string
	Effectful     bool          // requests are not idempotent: each may be executed at most once for each attempt of a client
	Deadline      time.Duration // maximum time from the arrival of a request to the response
	LatencyTarget time.Duration // latency objective of a response; Deadline if the configuration omits it
	Priority      int           // 0 is the highest priority
	MaxAttempts   int           // maximum number of backends that a request is sent to, at least 1
	Public        bool          // requests need no API key
	Targets       []Target      // at least one; weights are above 0, and their sum fits into 32 bits
}

// Target is a service that serves a route, and its weight among the targets of the route.
type Target struct {
	Service string
	Weight  int
}

// Tenant is a tenant of a Table, with its priority and its rate limit.
type Tenant struct {
	Name     string
	Priority int     // 0 is the highest priority; compared before the priority of the route
	Rate     float64 // requests per second over all nodes; 0 means no limit
	Burst    float64 // requests above Rate that are admitted at once
}

// Service is a service of a Table, with all defaults filled in.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // maximum connections to one backend, from all callers together; 0 means not configured
	Protocol   string
	TLS        bool
}

// Limits bound the size and the duration of client requests. All limits are above 0.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is the routing table of a node: the configuration in force, indexed for look-ups. A Table is immutable and safe for concurrent
// use. Callers must not modify the values that its methods return.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string]*host
	keys     map[string]*Tenant
	services map[string]*Service
	routes   []*Route
	tenants  []*Tenant
}

// host holds the routes of a host by prefix, and the distinct lengths of these prefixes in descending order. A look-up tries each
// length once, so that its cost does not depend on the number of routes.
type host struct {
	routes        map[string]*Route
	prefixLengths []int
}

// NewTable returns the table of a validated configuration. If the configuration is nil, the table has no routes and the default
// limits. If several routes have the same host and prefix, or several tenants have the same API key, the first of them is used.
func NewTable(c *Config) *Table {
	if c == nil {
		c = new(Config)
	}
	t := &Table{
		version:  c.Generation,
		limits:   newLimits(c.Limits),
		hosts:    make(map[string]*host, len(c.Vhosts)),
		keys:     make(map[string]*Tenant),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.addService(&c.Services[i])
	}
	for i := range c.Tenants {
		t.addTenant(&c.Tenants[i])
	}
	for i := range c.Vhosts {
		t.addHost(&c.Vhosts[i])
	}
	return t
}

// addService adds a service. If the table already has a service of this name, addService changes nothing.
func (t *Table) addService(c *ConfigService) {
	if t.services[c.Name] != nil {
		return
	}
	t.services[c.Name] = &Service{
		Name:       c.Name,
		HealthPath: cmp.Or(c.HealthPath, DefaultHealthPath),
		MaxConns:   max(c.MaxConns, 0),
		Protocol:   c.Protocol,
		TLS:        c.Tls,
	}
}

// addTenant adds a tenant and its API keys. If an earlier tenant has the same key, the key stays with the earlier tenant.
func (t *Table) addTenant(c *ConfigTenant) {
	tenant := &Tenant{
		Name:     c.Name,
		Priority: c.Priority,
		Rate:     max(c.RatePerS, 0),
		Burst:    max(c.Burst, 0),
	}
	t.tenants = append(t.tenants, tenant)
	for _, key := range c.ApiKeys {
		if t.keys[key] == nil {
			t.keys[key] = tenant
		}
	}
}

// addHost adds the routes of a host. A configuration may contain the same host several times; of several routes
// with the same prefix, the first is used.
func (t *Table) addHost(c *ConfigHost) {
	name := strings.ToLower(c.Hostname)
	h := t.hosts[name]
	if h == nil {
		h = &host{routes: make(map[string]*Route, len(c.PathList))}
		t.hosts[name] = h
	}
	for i := range c.PathList {
		r := newRoute(name, &c.PathList[i])
		if h.routes[r.Prefix] != nil {
			continue
		}
		h.routes[r.Prefix] = r
		t.routes = append(t.routes, r)
		if !slices.Contains(h.prefixLengths, len(r.Prefix)) {
			h.prefixLengths = append(h.prefixLengths, len(r.Prefix))
		}
	}
	slices.SortFunc(h.prefixLengths, func(x, y int) int { return y - x })
}

// newRoute returns the route of a configuration, with defaults for omitted fields.
func newRoute(host string, c *ConfigRoute) *Route {
	r := &Route{
		Name:        c.Name,
		Host:        host,
		Prefix:      c.PathPrefix,
		Effectful:   c.Variant != Pure,
		Deadline:    durationOrDefault(c.Deadline, DefaultDeadline),
		Priority:    c.Priority,
		MaxAttempts: c.MaxTries,
		Public:      c.Public,
	}
	r.LatencyTarget = durationOrDefault(c.TargetLatency, r.Deadline)
	if r.MaxAttempts <= 0 {
		r.MaxAttempts = DefaultMaxAttempts
	}
	for _, t := range c.WeightedTargets {
		if t.Weight > 0 {
			r.Targets = append(r.Targets, Target{t.Target, t.Weight})
		}
	}
	scaleWeights(r.Targets)
	if len(r.Targets) == 0 {
		r.Targets = []Target{{c.Target, 1}}
	}
	key, err := json.Marshal(r) // r.Key is still empty
	invariant.Assert(err == nil, "a route can be encoded as JSON")
	r.Key = RouteKey(key)
	return r
}

// scaleWeights halves all weights until their sum fits into 32 bits. It rounds up, so that no weight becomes 0.
func scaleWeights(weights []Target) {
	for {
		sum := 0.0
		for _, t := range weights {
			sum += float64(t.Weight)
		}
		if sum <= math.MaxInt32 {
			return
		}
		for i := range weights {
			weights[i].Weight -= weights[i].Weight / 2
		}
	}
}

// newLimits returns the limits of a configuration, with defaults for omitted fields. The configuration may be nil.
func newLimits(c *ConfigLimits) Limits {
	if c == nil {
		c = new(ConfigLimits)
	}
	l := Limits{
		MaxHeaderBytes: c.MaxHeaderBytes,
		MaxBodyBytes:   c.MaxBodyBytes,
		HeaderTimeout:  durationOrDefault(c.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:    durationOrDefault(c.IdleTimeout, DefaultIdleTimeout),
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return l
}

// Route returns the route of a request: the route of the host with the longest prefix that matches the path. It ignores a port after
// the host name, the case of the host name, and a query after the path. It returns false if no route matches. Route does not allocate.
func (t *Table) Route(hostname, path []byte) (*Route, bool) {
	if i := bytes.LastIndexByte(hostname, ':'); i >= 0 && bytes.IndexByte(hostname[i:], ']') < 0 {
		hostname = hostname[:i]
	}
	var buffer [maxHostBytes]byte // stays on the stack
	if len(hostname) > len(buffer) {
		return nil, false
	}
	lower := buffer[:len(hostname)]
	for i, c := range hostname {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	h := t.hosts[string(lower)]
	if h == nil {
		return nil, false
	}
	if i := bytes.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		if r := h.routes[string(path[:n])]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Tenant returns the tenant with an API key, and whether there is one. Tenant does not allocate.
func (t *Table) Tenant(key []byte) (*Tenant, bool) {
	tenant := t.keys[string(key)]
	return tenant, tenant != nil
}

// HasTenants reports whether the configuration has tenants. If it does, requests on routes that are not public need an API key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// Service returns the service with a name, and whether there is one.
func (t *Table) Service(name string) (*Service, bool) {
	s := t.services[name]
	return s, s != nil
}

// Version returns the generation of the configuration that the table was built from, 0 if there was none.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on client requests.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns all routes, in the order of the configuration.
func (t *Table) Routes() []*Route { return t.routes }

// Tenants returns all tenants, in the order of the configuration.
func (t *Table) Tenants() []*Tenant { return t.tenants }
