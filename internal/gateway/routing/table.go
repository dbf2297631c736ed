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

// Defaults of what a configuration leaves out or gives as 0. The limits are those of PROTOCOL.md's example.
const (
	DefaultDeadline       = 30 * time.Second
	DefaultMaxAttempts    = 2
	DefaultHealthPath     = "/health"
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 64 << 20
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// maxHostBytes bounds a host name that is looked up, in bytes; DNS allows 253.
const maxHostBytes = 256

// RouteKey is equal for routes whose fields are all equal, in whichever table: statistics of one hold for the other. It
// is kept in memory only.
type RouteKey string

// Route is a route as nodes use it.
type Route struct {
	Key           RouteKey
	Name          string
	Host          string // in lower case
	Prefix        string
	Effectful     bool          // not idempotent: it may run once for each attempt of a client
	Deadline      time.Duration // of a request, from when it came
	LatencyTarget time.Duration // of a response, its latency objective; the deadline where it is left out
	Priority      int           // 0 is highest
	MaxAttempts   int           // backends that one request may be sent to, 1 or more
	Public        bool          // carries no key
	Targets       []Target      // one or more, weights above 0 whose sum fits 32 bits
}

// Target is a service that may answer a route, and its weight among the route's targets.
type Target struct {
	Service string
	Weight  int
}

// Tenant is a tenant as nodes use it.
type Tenant struct {
	Name     string
	Priority int     // goes before the route's, 0 is highest
	Rate     float64 // requests a second over all nodes, 0 = no limit
	Burst    float64 // requests on top
}

// Service is a service as nodes use it.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // of one backend, from all callers together; 0 = not given
	Protocol   string
	TLS        bool
}

// Limits bound what a client may send and how long it may take. All are above 0.
type Limits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is what a node routes by. It is immutable and safe for concurrent use; what it returns is not to be changed.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string]*host
	keys     map[string]*Tenant
	services map[string]*Service
	routes   []*Route
	tenants  []*Tenant
}

// host holds the routes of a host by their prefix, and the lengths of these, longest first: a look-up tries
// each length once, however many routes there are.
type host struct {
	routes        map[string]*Route
	prefixLengths []int
}

// NewTable builds the table of a checked configuration; of nil, one with no routes and the default limits.
// Where two routes have the same host and prefix, or two tenants the same key, the first one counts.
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

// addHost adds the routes of a host; a configuration may name one more than once.
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

// newRoute fills in what a configuration leaves out of a route.
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
	key, err := json.Marshal(r) // it has no key yet
	invariant.Assert(err == nil, "a route has a key")
	r.Key = RouteKey(key)
	return r
}

// scaleWeights halves weights until their sum fits 32 bits; none becomes 0.
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

// newLimits fills in what a configuration leaves out of the limits.
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

// Route finds the route of a request: among those of its host the one with the longest prefix that begins
// the path. A port after the host and a query after the path are passed over; letters of the host may be of
// either case. It allocates nothing.
func (t *Table) Route(hostname, path []byte) (*Route, bool) {
	if i := bytes.LastIndexByte(hostname, ':'); i >= 0 && bytes.IndexByte(hostname[i:], ']') < 0 {
		hostname = hostname[:i]
	}
	var buffer [maxHostBytes]byte // on the stack
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

// Tenant finds the tenant that holds a key. It allocates nothing.
func (t *Table) Tenant(key []byte) (*Tenant, bool) {
	tenant := t.keys[string(key)]
	return tenant, tenant != nil
}

// HasTenants tells whether requests on routes that are not public carry a key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// Service finds a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	s := t.services[name]
	return s, s != nil
}

// Version is the generation that the table was built from, 0 if none.
func (t *Table) Version() uint64 { return t.version }

// Limits are the bounds on what clients send.
func (t *Table) Limits() Limits { return t.limits }

// Routes are all routes, in the configuration's order.
func (t *Table) Routes() []*Route { return t.routes }

// Tenants are all tenants, in the configuration's order.
func (t *Table) Tenants() []*Tenant { return t.tenants }
