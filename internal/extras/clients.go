package extras

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

	"clovergap/internal/history"
	"clovergap/internal/playbill"
	"clovergap/internal/standin"
)

// Clients ask doors by host and path with their tenants' keys, and try again as the protocol says.
type Clients struct {
	t     *Troupe
	Rate  func() float64 // requests a second now
	http  *http.Client
	fresh *http.Client // a new connection for each
	rng   *rand.Rand
	next  atomic.Uint64

	mu     sync.Mutex
	by     standin.Outcome
	status map[int]int // by the last try's answer; nought: none
	kinds  map[string]*standin.Outcome
	guests []playbill.BillRoute
	gone   []playbill.BillRoute // the last that were guests
	missed []int                // times in a row that a door was not ready
	known  []bool
}

// listens is how long after its time a client still listens: an answer that comes late is told from none.
const listens = time.Second

// triesMost of one request, by its client.
const triesMost = 4

// goneMost routes that were taken away are asked on.
const goneMost = 4

// NewClients makes clients; watch must be called for them to know which doors are ready.
func NewClients(t *Troupe) *Clients {
	dial := (&net.Dialer{Timeout: time.Second}).DialContext
	rate := t.Terms.Rate
	return &Clients{t: t, Rate: func() float64 { return rate }, rng: t.source(0xc11e), status: map[int]int{},
		kinds: map[string]*standin.Outcome{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
			DisableCompression: true,
			DialContext:        dial}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: dial}},
		missed: make([]int, len(t.Doors)), known: make([]bool, len(t.Doors))}
}

// Watch asks every door each second whether it is ready, as the platform does, until the context ends.
func (c *Clients) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for i, d := range c.t.Doors {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				yes, _ := c.t.ready(ctx, d)
				c.mu.Lock()
				if c.missed[i]++; yes {
					c.missed[i], c.known[i] = 0, true
				}
				c.mu.Unlock()
				pause(ctx, time.Second)
			}
		}()
	}
	wg.Wait()
}

// Ready counts the doors that get new connections.
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

func (c *Clients) in(i int) bool { return c.known[i] && c.missed[i] < 2 }

// door is where the platform passes a new connection of a zone; the lock is held.
func (c *Clients) door(zone string) *Door {
	var in, all, any []*Door
	for i, d := range c.t.Doors {
		if c.in(i) {
			any = append(any, d)
		}
		if d.Zone == zone {
			if all = append(all, d); c.in(i) {
				in = append(in, d)
			}
		}
	}
	switch {
	case len(in) == 0 && len(any) > 0:
		in = any
	case 2*len(in) < len(all):
		in = all
	case len(in) == 0:
		in = c.t.Doors
	}
	return in[c.rng.IntN(len(in))]
}

// want is one request of a client.
type want struct {
	kind, host, path, tenant, key string
	effectful                     bool
	aim, deadline                 time.Duration
	zone                          string
	user                          int    // from 1; nought: nobody in particular
	mark                          string // the client's own
	bytes                         int    // of the answer
}

// Learn tells the clients of routes that come and go.
func (c *Clients) Learn(b *playbill.Bill) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := Guests(b)
	for _, g := range c.guests {
		if !slices.ContainsFunc(now, func(x playbill.BillRoute) bool { return x.Name == g.Name }) {
			c.gone = append(c.gone, g)
			c.gone = c.gone[max(0, len(c.gone)-goneMost):]
		}
	}
	c.guests = now
}

func (c *Clients) draw() want {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := want{zone: c.t.Terms.Zones[c.rng.IntN(len(c.t.Terms.Zones))], aim: 400 * time.Millisecond,
		deadline: 1500 * time.Millisecond}
	if p := c.t.Terms.Play; p != nil {
		c.drawPlay(p, &w)
		return w
	}
	switch x := c.rng.IntN(100); {
	case x < 50:
		w.tenant, w.key = "patrons", []string{"patronskey1", "patronskey2"}[c.rng.IntN(2)]
	case x < 75:
		w.tenant, w.key = "clubs", "clubskey1"
	default:
		w.tenant, w.key = "touts", "toutskey1"
	}
	switch x := c.rng.IntN(100); {
	case x < 40:
		w.kind, w.host, w.path = "r-browse", hostProgramme, "/browse/"
	case x < 50:
		w.kind, w.host, w.path, w.tenant, w.key = "r-lobby", hostProgramme, "/lobby/", "", ""
	case x < 85 || len(c.guests) == 0:
		w.kind, w.host, w.path, w.effectful = "r-book", hostTickets, "/book/", true
		w.aim, w.deadline = 500*time.Millisecond, 2*time.Second
	default:
		c.drawGuest(&w)
	}
	w.path += strconv.FormatUint(c.rng.Uint64N(1000), 16)
	return w
}

// drawGuest asks by a route that comes and goes; the lock is held.
func (c *Clients) drawGuest(w *want) {
	g := c.guests[c.rng.IntN(len(c.guests))]
	if len(c.gone) > 0 && c.rng.IntN(4) == 0 {
		g = c.gone[c.rng.IntN(len(c.gone))]
	}
	w.kind, w.host, w.path = g.Name, hostGuests, g.PathPrefix
}

// One asks a door by a route, once, without a client's further tries.
func (c *Clients) One(ctx context.Context, d *Door, w want) int {
	status, _, _ := c.try(ctx, c.fresh, d, w, w.deadline)
	return status
}

// Probe asks a door by each of the first routes; it tells whether all were served.
func (c *Clients) Probe(ctx context.Context, d *Door) bool {
	for _, w := range c.probes() {
		w.deadline = 2 * time.Second
		if c.One(ctx, d, w) != http.StatusOK {
			return false
		}
	}
	return true
}

// probes are one request by each of the first routes.
func (c *Clients) probes() []want {
	if p := c.t.Terms.Play; p != nil {
		return c.playProbes(p)
	}
	return []want{{kind: "r-lobby", host: hostProgramme, path: "/lobby/probe"},
		{kind: "r-browse", host: hostProgramme, path: "/browse/probe", tenant: "patrons", key: "patronskey1"},
		{kind: "r-book", host: hostTickets, path: "/book/probe", tenant: "patrons", key: "patronskey2",
			effectful: true}}
}

// try sends one try by its own id.
func (c *Clients) try(ctx context.Context, with *http.Client, d *Door, w want,
	left time.Duration) (status int, h http.Header, wrong bool) {
	ctx, cancel := context.WithTimeout(ctx, left+listens)
	defer cancel()
	id := fmt.Sprintf("%08x%08x", uint32(c.t.Terms.Seed), c.next.Add(1))
	method, text := "GET", ""
	if w.effectful {
		method, text = "POST", "{\"seat\":7}"
	}
	// A body that the library can't get anew: it must not send anything again by itself.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Front+w.path,
		struct{ io.Reader }{strings.NewReader(text)})
	if err != nil {
		return 0, nil, false
	}
	r.ContentLength, r.Host = int64(len(text)), w.host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	r.Header.Set("X-Tenant", "nobody") // the system's own word counts
	if w.key != "" {
		r.Header.Set("Authorization", "Token "+w.key)
	}
	if w.mark != "" {
		r.Header.Set("X-Client-Mark", w.mark)
	}
	what := "pure"
	if w.effectful {
		what = "effectful"
	}
	asked := history.Event{Who: "clients", Kind: history.Asked, Txn: id, Key: w.tenant, At: d.Name, N: 1,
		What: what, Due: history.Now() + left}
	c.t.Terms.History.Add(history.Event{Who: "clients", Kind: Route, Txn: id, Key: w.host, At: w.path,
		What: w.kind, N: float64(w.user)})
	status, h, body := standin.Try(with, c.t.Terms.History, r, asked)
	whole := "done " + id
	if w.bytes > 0 {
		whole = standin.Long(whole, w.bytes)
	}
	if status/100 == 2 && (body != whole || h.Get("X-Backend-Seal") == "" || h.Get("X-Attempt-Id") != id) {
		wrong = true
		c.t.Terms.History.Add(history.Event{Who: "clients", Kind: Mixed, Txn: id, At: d.Name,
			What: fmt.Sprintf("%.80q of %d bytes, seal %q", body, len(body),
				h.Get("X-Backend-Seal"))})
	}
	return status, h, wrong
}

// Kinds of clients' events beside the history's own.
const (
	Route history.Kind = "route" // what a try asks: Key the host, At the path, What the route
	Mixed history.Kind = "mixed" // a success that is not the backend's
)

// Send sends one request, with further tries within its time.
func (c *Clients) Send(ctx context.Context, w want, meant time.Time) {
	until := meant.Add(w.deadline)
	status, wrong := 0, false
	for try := 1; try <= triesMost; try++ {
		left := time.Until(until)
		if left < 20*time.Millisecond && try > 1 {
			break
		}
		c.mu.Lock()
		d, with := c.door(w.zone), c.http
		if try > 1 || c.rng.IntN(4) == 0 {
			with = c.fresh
		}
		c.mu.Unlock()
		var h http.Header
		status, h, wrong = c.try(ctx, with, d, w, max(left, time.Millisecond))
		promise := status == 429 || status == 503 || status == 408 || status == 421
		if status/100 == 2 || status == 400 || status == 401 || status == 404 || status == 413 || status == 431 ||
			w.effectful && !promise {
			break
		}
		wait := time.Duration(20+c.drawn(60)) * time.Millisecond
		if after, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(after*1e9), time.Until(until)/3)
		}
		pause(ctx, wait)
	}
	took := time.Since(meant)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[status]++
	k := c.kinds[w.tenant]
	if k == nil {
		k = &standin.Outcome{}
		c.kinds[w.tenant] = k
	}
	for _, o := range []*standin.Outcome{&c.by, k} {
		o.Requests++
		switch {
		case wrong:
			o.Wrong++
		case status/100 == 2:
			if o.Settled++; took <= w.aim {
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
	return c.by, by, status
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
