package gatewaystandin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

// Clients ask nodes by host and path with their tenants' keys, and try again as the protocol says.
type Clients struct {
	deployment  *Deployment
	Rate        func() float64 // requests a second now
	CancelShare float64        // share of requests whose client gives up early
	KeepNodes   bool           // clients stay with their node until they get no answer from it
	http        *http.Client
	fresh       *http.Client // a new connection for each
	rng         *rand.Rand
	next        atomic.Uint64

	mu      sync.Mutex
	outcome standin.Outcome
	status  map[int]int // by the last try's answer; nought: none
	kinds   map[string]*standin.Outcome
	known   Known
	missed  []int // times in a row that a node was not ready
	ready   []bool
	kept    [keptNodes]*Node // nodes that clients stay with; nil: the platform chooses one
}

// responseGrace is how long after its time a client still listens: an answer that comes late is told from none.
const responseGrace = time.Second

// MaxAttempts of one request, by its client.
const MaxAttempts = 4

// keptNodes is how many clients stay with a node of their own, where KeepNodes is set.
const keptNodes = 24

// maxRemovedRoutes routes that were taken away are asked on.
const maxRemovedRoutes = 4

// NewClients makes clients; watch must be called for them to know which nodes are ready.
func NewClients(t *Deployment) *Clients {
	dial := (&net.Dialer{Timeout: time.Second}).DialContext
	rate := t.Config.Rate
	return &Clients{deployment: t, Rate: func() float64 { return rate }, rng: t.source(0xc11e), status: map[int]int{},
		kinds: map[string]*standin.Outcome{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
			DisableCompression: true,
			DialContext:        dial}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: dial}},
		missed: make([]int, len(t.Nodes)), ready: make([]bool, len(t.Nodes))}
}

// Watch asks every node each second whether it is ready, as the platform does, until the context ends.
func (c *Clients) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for i, d := range c.deployment.Nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				yes, _ := c.deployment.ready(ctx, d)
				c.mu.Lock()
				if c.missed[i]++; yes {
					c.missed[i], c.ready[i] = 0, true
				}
				c.mu.Unlock()
				sleep(ctx, time.Second)
			}
		}()
	}
	wg.Wait()
}

// Ready counts the nodes that get new connections.
func (c *Clients) Ready() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.missed {
		if c.in(i) {
			n++
		}
	}
	return n
}

func (c *Clients) in(i int) bool { return c.ready[i] && c.missed[i] < 2 }

// node is where the platform passes a new connection of a zone; the lock is held.
func (c *Clients) node(zone string) *Node {
	return c.deployment.Nodes[Pass(c.rng, zone, len(c.deployment.Nodes), func(i int) string { return c.deployment.Nodes[i].Zone }, c.in)]
}

// nodeOf is the node that a client stays with, or the one that the platform chooses; the lock is held.
func (c *Clients) nodeOf(client int, zone string) *Node {
	if !c.KeepNodes {
		return c.node(zone)
	}
	if c.kept[client] == nil {
		c.kept[client] = c.node(zone)
	}
	return c.kept[client]
}

// leaveNode has a client leave a node that gave it no answer.
func (c *Clients) leaveNode(client int, from *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept[client] == from {
		c.kept[client] = nil
	}
}

// Pass chooses where the platform passes a new connection of a zone, by which nodes are in.
func Pass(rng *rand.Rand, zone string, nodes int, zoneOf func(int) string, in func(int) bool) int {
	var ready, all, any, every []int
	for i := range nodes {
		every = append(every, i)
		if in(i) {
			any = append(any, i)
		}
		if zoneOf(i) == zone {
			if all = append(all, i); in(i) {
				ready = append(ready, i)
			}
		}
	}
	switch {
	case len(ready) == 0 && len(any) > 0:
		ready = any
	case 2*len(ready) < len(all):
		ready = all
	case len(ready) == 0:
		ready = every
	}
	return ready[rng.IntN(len(ready))]
}

// Request is one request of a client.
type Request struct {
	Kind, Host, Path, Tenant, Key string
	Effectful                     bool
	LatencyTarget, Deadline       time.Duration
	Zone                          string
	User                          int    // from 1; nought: nobody in particular
	ClientID                      string // the client's own
	Bytes                         int    // of the answer
}

// wantFrom is a request of a zone, with the times that most have.
func wantFrom(rng *rand.Rand, zones []string) Request {
	return Request{Zone: zones[rng.IntN(len(zones))], LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond}
}

// Known are the routes that come and go, as clients know them.
type Known struct{ guests, gone []routing.ConfigRoute }

// Learn takes a configuration.
func (k *Known) Learn(b *routing.Config) {
	now := Guests(b)
	for _, g := range k.guests {
		if !slices.ContainsFunc(now, func(x routing.ConfigRoute) bool { return x.Name == g.Name }) {
			k.gone = append(k.gone, g)
			k.gone = k.gone[max(0, len(k.gone)-maxRemovedRoutes):]
		}
	}
	k.guests = now
}

// Learn tells the clients of routes that come and go.
func (c *Clients) Learn(b *routing.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.Learn(b)
}

func (c *Clients) draw() Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.deployment.Config.Play; p != nil {
		return c.known.drawPlay(p, c.rng, c.deployment.Config.Zones)
	}
	return c.known.Draw(c.rng, c.deployment.Config.Zones)
}

// Draw draws a request in the small deployment.
func (k *Known) Draw(rng *rand.Rand, zones []string) Request {
	w := wantFrom(rng, zones)
	switch x := rng.IntN(100); {
	case x < 50:
		w.Tenant, w.Key = "patrons", []string{"patronskey1", "patronskey2"}[rng.IntN(2)]
	case x < 75:
		w.Tenant, w.Key = "clubs", "clubskey1"
	default:
		w.Tenant, w.Key = "touts", "toutskey1"
	}
	switch x := rng.IntN(100); {
	case x < 40:
		w.Kind, w.Host, w.Path = "r-browse", hostProgramme, "/browse/"
	case x < 50:
		w.Kind, w.Host, w.Path, w.Tenant, w.Key = "r-lobby", hostProgramme, "/lobby/", "", ""
	case x < 85 || len(k.guests) == 0:
		w.Kind, w.Host, w.Path, w.Effectful = "r-book", hostTickets, "/book/", true
		w.LatencyTarget, w.Deadline = 500*time.Millisecond, 2*time.Second
	default:
		k.drawGuest(rng, &w)
	}
	w.Path += strconv.FormatUint(rng.Uint64N(1000), 16)
	return w
}

// drawGuest asks by a route that comes and goes, of which there is one at the least.
func (k *Known) drawGuest(rng *rand.Rand, w *Request) {
	g := k.guests[rng.IntN(len(k.guests))]
	if len(k.gone) > 0 && rng.IntN(4) == 0 {
		g = k.gone[rng.IntN(len(k.gone))]
	}
	w.Kind, w.Host, w.Path = g.Name, hostGuests, g.PathPrefix
}

// ComesAndGoes tells whether a request asks by a route that the first configuration does not have.
func ComesAndGoes(w *Request) bool { return w.Host == hostGuests }

// probeMost is what a probe waits.
const probeMost = 2 * time.Second

// Probes are a request by each of the small deployment's first routes.
func Probes() []Request {
	all := []Request{{Kind: "r-lobby", Host: hostProgramme, Path: "/lobby/probe"},
		{Kind: "r-browse", Host: hostProgramme, Path: "/browse/probe", Tenant: "patrons", Key: "patronskey1"},
		{Kind: "r-book", Host: hostTickets, Path: "/book/probe", Tenant: "patrons", Key: "patronskey2", Effectful: true}}
	for i := range all {
		all[i].Deadline = probeMost
	}
	return all
}

// One asks a node by a route, once, without a client's further tries.
func (c *Clients) One(ctx context.Context, d *Node, w Request) int {
	status, _, _ := c.attempt(ctx, c.fresh, d, w, w.Deadline, always)
	return status
}

// Probe asks a node by each of the first routes; it tells whether all were served.
func (c *Clients) Probe(ctx context.Context, d *Node) bool {
	for _, w := range c.probes() {
		if c.One(ctx, d, w) != http.StatusOK {
			return false
		}
	}
	return true
}

// probes are one request by each of the first routes.
func (c *Clients) probes() []Request {
	if p := c.deployment.Config.Play; p != nil {
		return c.playProbes(p)
	}
	return Probes()
}

// attempt sends one try by its own id. Its client leaves after the time that it stays, at the latest a while after its deadline.
func (c *Clients) attempt(ctx context.Context, with *http.Client, d *Node, w Request,
	left, stays time.Duration) (status int, h http.Header, wrong bool) {
	ctx, cancel := context.WithTimeout(ctx, min(left+responseGrace, stays))
	defer cancel()
	id := fmt.Sprintf("%08x%08x", uint32(c.deployment.Config.Seed), c.next.Add(1))
	method, text := "GET", ""
	if w.Effectful {
		method, text = "POST", "{\"item\":7}"
	}
	// A body that the library can't get anew: it must not send anything again by itself.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Front+w.Path,
		struct{ io.Reader }{strings.NewReader(text)})
	if err != nil {
		return 0, nil, false
	}
	r.ContentLength, r.Host = int64(len(text)), w.Host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	r.Header.Set("X-Tenant", "nobody") // the system's own word counts
	if w.Key != "" {
		r.Header.Set("Authorization", "Token "+w.Key)
	}
	if w.ClientID != "" {
		r.Header.Set("X-Client-Mark", w.ClientID)
	}
	what := "pure"
	if w.Effectful {
		what = "effectful"
	}
	asked := history.Event{Who: "clients", Kind: history.Requested, Txn: id, Key: w.Tenant, Target: d.Name, Number: 1,
		What: what, Deadline: history.Now() + left}
	c.deployment.Config.History.Add(history.Event{Who: "clients", Kind: Route, Txn: id, Key: w.Host, Target: w.Path,
		What: w.Kind, Number: float64(w.User)})
	status, h, body := standin.SendAndRecord(with, c.deployment.Config.History, r, asked)
	whole := "done " + id
	if w.Bytes > 0 {
		whole = standin.Long(whole, w.Bytes)
	}
	if status/100 == 2 && (body != whole || h.Get("X-Backend-Seal") == "" || h.Get("X-Attempt-Id") != id) {
		wrong = true
		c.deployment.Config.History.Add(history.Event{Who: "clients", Kind: Mixed, Txn: id, Target: d.Name,
			What: fmt.Sprintf("%.80q of %d bytes, seal %q", body, len(body),
				h.Get("X-Backend-Seal"))})
	}
	if seal := h.Get("X-Backend-Seal"); status/100 != 2 && seal != "" {
		c.deployment.Config.History.Add(history.Event{Who: "clients", Kind: Sealed, Txn: id, Target: d.Name, Number: float64(status), What: seal})
	}
	return status, h, wrong
}

// Kinds of clients' events beside the history's own.
const (
	Route history.Kind = "route" // what a try asks: Key the host, At the path, What the route
	Mixed history.Kind = "mixed" // a success that is not the backend's
)

// Again tells whether a client tries again after a status; nought: it got none.
func Again(status int, effectful bool) bool {
	switch status {
	case 429, 503, 408, 421:
		return true
	case 400, 401, 404, 413, 431:
		return false
	}
	return status/100 != 2 && !effectful
}

// Send sends one request, with further tries within its time.
func (c *Clients) Send(ctx context.Context, w Request, meant time.Time) {
	until := meant.Add(w.Deadline)
	status, wrong := 0, false
	leaves := c.cancelTime(meant)
	for try := 1; try <= MaxAttempts; try++ {
		left := time.Until(until)
		if left < 20*time.Millisecond && try > 1 {
			break
		}
		c.mu.Lock()
		client := c.rng.IntN(keptNodes)
		d, with := c.nodeOf(client, w.Zone), c.http
		if !c.KeepNodes && (try > 1 || c.rng.IntN(4) == 0) {
			with = c.fresh
		}
		c.mu.Unlock()
		var h http.Header
		status, h, wrong = c.attempt(ctx, with, d, w, max(left, time.Millisecond), time.Until(leaves))
		if status == 0 {
			c.leaveNode(client, d)
		}
		if status == 0 && time.Now().After(leaves) {
			return // it counts as no outcome: its client wants none
		}
		if !Again(status, w.Effectful) {
			break
		}
		wait := time.Duration(20+c.drawn(60)) * time.Millisecond
		if after, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(after*1e9), time.Until(until)/3)
		}
		sleep(ctx, wait)
	}
	took := time.Since(meant)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[status]++
	k := c.kinds[w.Tenant]
	if k == nil {
		k = &standin.Outcome{}
		c.kinds[w.Tenant] = k
	}
	for _, o := range []*standin.Outcome{&c.outcome, k} {
		o.Requests++
		switch {
		case wrong:
			o.Wrong++
		case status/100 == 2:
			if o.Settled++; took <= w.LatencyTarget {
				o.InTime++
			}
		case status == 429 || status == 503:
			o.Declined++
		case status > 0:
			o.Voided++
		default:
			o.Failed++
		}
	}
}

// Clients that give up early do so within this.
const minCancelDelay, maxCancelDelay = 20 * time.Millisecond, 400 * time.Millisecond

// cancelTime is when the client of a request gives up, long after its deadline for most.
func (c *Clients) cancelTime(meant time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.CancelShare <= 0 || c.rng.Float64() >= c.CancelShare {
		return meant.Add(time.Hour)
	}
	return meant.Add(minCancelDelay + time.Duration(c.rng.Int64N(int64(maxCancelDelay-minCancelDelay))))
}

func (c *Clients) drawn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// Open sends at a rate, whatever becomes of what was sent before, until the context ends, and waits for all.
func (c *Clients) Open(ctx context.Context) {
	standin.Pace(ctx, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.rng.ExpFloat64() / max(c.Rate(), 0.1)
	}, func(meant time.Time) func() {
		w := c.draw()
		return func() { c.Send(context.WithoutCancel(ctx), w, meant) }
	})
}

// Outcomes are how requests ended, all and by tenant, and the last answers' statuses.
func (c *Clients) Outcomes() (all standin.Outcome, by map[string]standin.Outcome, status map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by, status = map[string]standin.Outcome{}, map[int]int{}
	for k, o := range c.kinds {
		by[k] = *o
	}
	for s, n := range c.status {
		status[s] = n
	}
	return c.outcome, by, status
}

// Close ends the clients' connections.
func (c *Clients) Close() {
	c.http.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Times multiplies the rate from now on.
func (c *Clients) Times(by float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.Rate
	c.Rate = func() float64 { return by * was() }
}
