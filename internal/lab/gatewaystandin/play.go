package gatewaystandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

// Play is what a deployment plays: services, the kinds of requests for them, and users who ask.
type Play struct {
	Name     string
	Leading  string // the service that a new version takes over
	Kinds    []Kind
	slots    int // of a backend
	busy     int // requests of the leading service at a time, as its operator knows it
	services []Service
	first    func() *routing.Config
}

// Kind is one kind of requests, by a route of its own.
type Kind struct {
	Name, Service                 string
	Effectful                     bool
	Work, LatencyTarget, Deadline time.Duration
	Share                         int           // of the requests, in hundredths
	Every                         time.Duration // one each so often, beside the others; nought: none
	Bytes                         int           // of an answer that comes in pieces while the backend works
}

const (
	longestDraw = 6 // of an exponential of mean one, in a backend's work
	guestShare  = 4 // of a play's requests go by routes that come and go, in hundredths
	tenantsEach = 4
	keysEach    = 30 // of a tenant; every key has a user without a mark and one with
	usersEach   = 2 * tenantsEach * keysEach
)

// fakeNode is the small one.
var fakeNode = &Play{Name: "small", slots: SlotsEach, services: Services, first: First}

// SaleDay is an auction deployment's: bids, hammers that close a lot, views of lots, and long appraisals that are read
// while bids go on.
func SaleDay() *Play {
	return written(&Play{Name: "sale-day", Leading: "saleroom", slots: 8, busy: 14, Kinds: []Kind{
		{Name: "bids", Service: "saleroom", Effectful: true, Work: 25 * ms, LatencyTarget: 500 * ms, Deadline: 2000 * ms, Share: 38},
		{Name: "hammers", Service: "saleroom", Effectful: true, Work: 40 * ms, LatencyTarget: 500 * ms, Deadline: 2500 * ms,
			Every: 2500 * ms},
		{Name: "lots", Service: "saleroom", Work: 12 * ms, LatencyTarget: 400 * ms, Deadline: 1500 * ms, Share: 42},
		{Name: "appraisals", Service: "saleroom", Work: 2000 * ms, LatencyTarget: 5000 * ms, Deadline: 12000 * ms, Share: 2,
			Bytes: 60000},
		{Name: "catalogue", Service: "library", Work: 15 * ms, LatencyTarget: 400 * ms, Deadline: 1500 * ms, Share: 14}}})
}

// CertificationWeek is a test laboratory's: submissions, lookups, datasheets, and certificates of several seconds.
func CertificationWeek() *Play {
	return written(&Play{Name: "certification-week", Leading: "bench", slots: 10, busy: 18, Kinds: []Kind{
		{Name: "submissions", Service: "bench", Effectful: true, Work: 45 * ms, LatencyTarget: 800 * ms, Deadline: 3000 * ms,
			Share: 26},
		{Name: "lookups", Service: "bench", Work: 8 * ms, LatencyTarget: 300 * ms, Deadline: 1500 * ms, Share: 48},
		{Name: "certificates", Service: "bench", Work: 3000 * ms, LatencyTarget: 8000 * ms, Deadline: 15000 * ms, Share: 2,
			Bytes: 90000},
		{Name: "datasheets", Service: "archive", Work: 60 * ms, LatencyTarget: 600 * ms, Deadline: 2000 * ms, Share: 20,
			Bytes: 6000}}})
}

const ms = time.Millisecond

// Plays are those that there are, by name.
func Plays() map[string]func() *Play {
	return map[string]func() *Play{"sale-day": SaleDay, "certification-week": CertificationWeek}
}

// written has the services of the kinds and a configuration with a route for each.
func written(p *Play) *Play {
	var list []Service
	for _, k := range p.Kinds {
		if len(list) == 0 || list[len(list)-1].Name != k.Service {
			list = append(list, Service{Name: k.Service})
		}
	}
	p.services = list
	p.first = func() *routing.Config {
		b := &routing.Config{Generation: 1, Limits: limits(), Services: listed(list)}
		for i := range tenantsEach {
			t := routing.ConfigTenant{Name: tenant(i), Priority: 1}
			for k := range keysEach {
				t.ApiKeys = append(t.ApiKeys, key(i, k))
			}
			b.Tenants = append(b.Tenants, t)
		}
		for _, k := range p.Kinds {
			deadline, aim := span(k.Deadline), span(k.LatencyTarget)
			r := routing.ConfigRoute{Name: k.Name, PathPrefix: "/" + k.Name + "/", Variant: routing.Pure, Deadline: &deadline,
				TargetLatency: &aim, MaxTries: 2, Target: k.Service}
			if k.Effectful {
				r.Variant = routing.Effectful
			}
			if n := len(b.Vhosts); n > 0 && b.Vhosts[n-1].Hostname == host(k) {
				b.Vhosts[n-1].PathList = append(b.Vhosts[n-1].PathList, r)
			} else {
				b.Vhosts = append(b.Vhosts, routing.ConfigHost{Hostname: host(k), PathList: []routing.ConfigRoute{r}})
			}
		}
		return b
	}
	return p
}

func span(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }
func tenant(i int) string         { return fmt.Sprintf("tenant%d", i) }
func key(tenant, k int) string    { return fmt.Sprintf("tenant%dkey%d", tenant, k) }
func host(k Kind) string          { return k.Service + ".example" }

// Tenant is the name of one of a play's.
func (p *Play) Tenant(i int) string { return tenant(i % tenantsEach) }

// play is what is played.
func (d *Deployment) play() *Play {
	if d.Config.Play != nil {
		return d.Config.Play
	}
	return fakeNode
}

// kind names what is asked for, for the work it takes: in the small deployment all of a service is alike.
func (d *Deployment) kind(service, path string) string {
	if name, _, ok := strings.Cut(strings.TrimPrefix(path, "/"), "/"); ok && d.play().of(name) != nil {
		return name
	}
	return service
}

func (p *Play) of(kind string) *Kind {
	for i := range p.Kinds {
		if p.Kinds[i].Name == kind {
			return &p.Kinds[i]
		}
	}
	return nil
}

// work is how long a request of a kind takes in the middle.
func (d *Deployment) work(kind string) time.Duration {
	if k := d.play().of(kind); k != nil {
		return k.Work
	}
	for _, s := range d.play().services {
		if s.Name == kind && s.Work > 0 {
			return s.Work
		}
	}
	return 15 * ms // of a guest's route
}

// drawPlay draws a request of a play.
func (k *Known) drawPlay(p *Play, rng *rand.Rand, zones []string) Request {
	w := wantFrom(rng, zones)
	x := rng.IntN(100)
	if x >= 100-guestShare && len(k.guests) > 0 {
		k.drawGuest(rng, &w)
	} else {
		for i, left := 0, x*(100-guestShare)/100; ; i = (i + 1) % len(p.Kinds) {
			if left -= p.Kinds[i].Share; left < 0 {
				w.of(p.Kinds[i])
				break
			}
		}
	}
	w.someone(rng)
	return w
}

// someone is a user who asks for something that nobody else asks for.
func (r *Request) someone(rng *rand.Rand) {
	r.by(1 + rng.IntN(usersEach))
	r.Path += strconv.FormatUint(rng.Uint64(), 16) // of a write: which one it is
}

func (r *Request) of(k Kind) {
	r.Kind, r.Host, r.Path, r.Effectful = k.Name, host(k), "/"+k.Name+"/", k.Effectful
	r.LatencyTarget, r.Deadline, r.Bytes = k.LatencyTarget, k.Deadline, k.Bytes
}

// by says which user asks.
func (r *Request) by(user int) {
	x := user - 1
	r.User, r.Tenant = user, tenant(x%tenantsEach)
	r.Key = key(x%tenantsEach, x/tenantsEach%keysEach)
	if x >= tenantsEach*keysEach {
		r.ClientID = fmt.Sprintf("client-%d", user)
	}
}

func (c *Clients) playProbes(p *Play) (all []Request) {
	for _, k := range p.Kinds {
		if k.Work < time.Second {
			w := Request{}
			w.of(k)
			w.by(1)
			w.Deadline = probeMost
			w.Path += "probe" + strconv.FormatUint(c.next.Add(1), 16)
			all = append(all, w)
		}
	}
	return all
}

// Regular sends what comes every so often, such as the hammers, until the context ends, and waits for all.
func (c *Clients) Regular(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, k := range c.deployment.play().Kinds {
		if k.Every <= 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			standin.Pace(ctx, k.Every.Seconds, func(meant time.Time) func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				w := wantFrom(c.rng, c.deployment.Config.Zones)
				w.of(k)
				w.someone(c.rng)
				return func() { c.Send(context.WithoutCancel(ctx), w, meant) }
			})
		}()
	}
}

// Flaw is what a version does wrong with some of its requests.
type Flaw struct {
	Cause         string  // 5xx, reset, silent, wrong or slow
	Share         float64 // of those it hits
	SlowFactor    float64 // slow: so many times slower
	Writes        bool    // writes alone
	Tenant        string  // this one alone; empty: all
	WarmingUpOnly bool    // only while it is cold
}

// Causes of flaws.
var Causes = []string{"5xx", "reset", "silent", "wrong", "slow"}

func (f *Flaw) String() string {
	s := fmt.Sprintf("%.0f%% %s", 100*f.Share, f.Cause)
	if f.Cause == "slow" {
		s += fmt.Sprintf(" x%.0f", f.SlowFactor)
	}
	if f.Writes {
		s += " of writes"
	}
	if f.Tenant != "" {
		s += " of one tenant"
	}
	if f.WarmingUpOnly {
		s += " while cold"
	}
	return s
}

// Spoil lets all backends of a version have a flaw, those that come later too; nil ends it.
func (d *Deployment) Spoil(version string, f *Flaw) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f == nil {
		delete(d.flaws, version)
		return
	}
	if d.flaws == nil {
		d.flaws = map[string]Flaw{}
	}
	d.flaws[version] = *f
}

// Kinds of events of versions.
const (
	Flawed   history.Kind = "flaw"   // the version does this one wrong: What is the cause
	Recorded history.Kind = "record" // a write is in the books of its service: Txn the try, At the write
)

// spoil lets a request meet its version's flaw, and says how long its answer is.
func (h *HeartbeatBackend) spoil(t *standin.Task, r *http.Request) {
	if k := h.deployment.play().of(t.Kind); k != nil {
		t.Bytes = k.Bytes
	}
	h.deployment.mu.Lock()
	f, bad := h.deployment.flaws[h.Version]
	h.deployment.mu.Unlock()
	if !bad || f.Writes && r.Method == http.MethodGet || f.Tenant != "" && f.Tenant != t.Tenant ||
		f.WarmingUpOnly && time.Since(h.from) > h.slowStart || !h.Chance(f.Share) {
		return
	}
	switch f.Cause {
	case "5xx":
		t.Does = &standin.Mode{Fail: 1}
	case "reset":
		t.Does = &standin.Mode{ResetIn: 1}
	case "silent":
		t.Does = &standin.Mode{Silent: 1}
	case "slow":
		t.Does = &standin.Mode{Slow: f.SlowFactor}
	case "wrong":
		t.Bare = true
	}
	h.deployment.Config.History.Add(history.Event{Who: h.ID, Kind: Flawed, Txn: t.ID, Target: t.At, What: f.Cause})
}

// record puts a write in the books once its work is done, before anybody is told.
func (h *HeartbeatBackend) record(t standin.Task) {
	if k := h.deployment.play().of(t.Kind); k != nil && k.Effectful {
		h.deployment.Config.History.Add(history.Event{Who: h.ID, Kind: Recorded, Txn: t.ID, Target: t.At, Key: t.Tenant})
	}
}
