package gatewaystandin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
)

// Service is one of those that are played.
type Service struct {
	Name string
	Work time.Duration // the least of a request is half of it, the mean all
}

// Services are those of First.
var Services = []Service{{"programme", 15 * time.Millisecond}, {"tickets", 25 * time.Millisecond}}

// Hosts of the deployment.
const (
	hostProgramme = "programme.example"
	hostTickets   = "tickets.example"
	hostGuests    = "guests.example" // its routes come and go
)

// Kinds of events of configurations, beside the history's own: N is the version, Key what it builds on.
const (
	Proposes history.Kind = "propose" // sent for the first time
	Taken    history.Kind = "taken"   // acknowledged
	Refused  history.Kind = "refused" // 4xx: it is not in force and never will be
	Unclear  history.Kind = "unclear" // no clear answer
	Reads    history.Kind = "reads"   // asked for the newest
	ReadBack history.Kind = "read"    // and what came; Due is when it was asked
)

// First is the configuration that the deployment begins with.
func First() *routing.Config {
	span := func(s string) *string { return &s }
	route := func(name, prefix string, v routing.ConfigRouteVariant, deadline, aim string, public bool,
		to ...routing.ConfigTarget) routing.ConfigRoute {
		r := routing.ConfigRoute{Name: name, PathPrefix: prefix, Variant: v, Deadline: span(deadline),
			TargetLatency: span(aim), MaxTries: 2, Public: public}
		if len(to) == 1 {
			r.Target = to[0].Target
		} else {
			r.WeightedTargets = to
		}
		return r
	}
	one := func(s string) routing.ConfigTarget { return routing.ConfigTarget{Target: s, Weight: 1} }
	b := &routing.Config{Generation: 1, Limits: limits(),
		Tenants: []routing.ConfigTenant{{Name: "patrons", ApiKeys: []string{"patronskey1", "patronskey2"},
			Priority: 1},
			{Name: "clubs", ApiKeys: []string{"clubskey1"}, Priority: 1, RatePerS: 20, Burst: 20},
			{Name: "touts", ApiKeys: []string{"toutskey1"}, Priority: 2, RatePerS: 6, Burst: 6}},
		Vhosts: []routing.ConfigHost{
			{Hostname: hostProgramme, PathList: []routing.ConfigRoute{
				route("r-browse", "/browse/", routing.Pure, "1500ms", "400ms", false, one("programme")),
				route("r-lobby", "/lobby/", routing.Pure, "1500ms", "400ms", true,
					routing.ConfigTarget{Target: "programme", Weight: 80},
					routing.ConfigTarget{Target: "tickets", Weight: 20})}},
			{Hostname: hostTickets, PathList: []routing.ConfigRoute{
				route("r-book", "/book/", routing.Effectful, "2000ms", "500ms", false, one("tickets"))}}}}
	b.Services = listed(Services)
	return b
}

func limits() *routing.ConfigLimits {
	header, idle := "3000ms", "15000ms"
	return &routing.ConfigLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: &header, IdleTimeout: &idle}
}

func listed(all []Service) (out []routing.ConfigService) {
	for _, s := range all {
		out = append(out, routing.ConfigService{Name: s.Name, HealthPath: "/health", MaxConns: 130, Protocol: "h1"})
	}
	return out
}

// Version is one configuration as the operator sent it, and what results from it.
type Version struct {
	Config       *routing.Config
	Parent       uint64
	Sent, Acked  time.Duration // by the history's clock; nought: not yet
	Lost         bool          // refused
	Refusal      string        // in what words
	WellKnownBad bool          // invalid on purpose
}

// Operator changes the configuration, sends the same bytes again until the answer is clear, and reads.
type Operator struct {
	MaxRetryInterval time.Duration // the longest between two calls of one change

	deployment *Deployment
	mu         sync.Mutex
	rng        *rand.Rand
	versions   map[uint64]*Version
	known      uint64 // the newest that it knows to be in force
	top        uint64 // the highest number that it has used
	ambiguous  bool   // a change had no clear answer since
	nextNode   int
}

func newOperator(t *Deployment) *Operator {
	return &Operator{MaxRetryInterval: 500 * time.Millisecond, deployment: t, rng: t.source(0x09e7a702), versions: map[uint64]*Version{}, nextNode: 0}
}

// Clear tells whether a status ends an operator's call at once.
func Clear(status int) bool {
	switch status {
	case 400, 409, 412, 413, 422:
		return true
	}
	return status/100 == 2
}

// ClearMost bounds how long a call is sent again.
const ClearMost = 12 * time.Second

// ask brings a call to one node after another until one gives a clear answer: a 2xx or a 4xx that says no.
func (o *Operator) ask(ctx context.Context, method, path string, body []byte) (status int, text []byte,
	clear bool) {
	ctx, cancel := context.WithTimeout(ctx, ClearMost)
	defer cancel()
	o.mu.Lock()
	o.nextNode = o.rng.IntN(len(o.deployment.Nodes))
	at := o.nextNode
	o.mu.Unlock()
	strange := 0
	for wait := 30 * time.Millisecond; ctx.Err() == nil; wait = min(2*wait, o.MaxRetryInterval) {
		status, text, err := o.deployment.call(ctx, method, o.deployment.Nodes[at%len(o.deployment.Nodes)].Control, path, body, time.Second)
		at++
		switch {
		case err != nil:
		case Clear(status):
			return status, text, true
		case status/100 == 4 && status != 408 && status != 429:
			if strange++; strange == 3 {
				return status, text, true
			}
		}
		sleep(ctx, wait)
	}
	return 0, nil, false
}

// propose sends a change of a kind; what results is the operator's own idea of it.
func (o *Operator) propose(ctx context.Context, path string, body any, v *Version) (status int, clear bool) {
	text, _ := json.Marshal(body)
	gen := v.Config.Generation
	log := o.deployment.Config.History
	o.mu.Lock()
	v.Sent = history.Now()
	o.versions[gen] = v
	o.top = max(o.top, gen)
	o.mu.Unlock()
	note := func(k history.Kind, what string) {
		log.Add(history.Event{Who: "operator", Kind: k, Number: float64(gen), Key: fmt.Sprint(v.Parent), What: what})
	}
	note(Proposes, path)
	status, answer, clear := o.ask(ctx, "POST", path, text)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case clear && status == http.StatusOK:
		v.Acked = history.Now()
		if gen > o.known {
			o.known = gen
		}
		note(Taken, "")
	case clear:
		v.Lost, v.Refusal = true, fmt.Sprint(status, " ", string(answer))
		note(Refused, v.Refusal)
	default:
		o.ambiguous = true
		note(Unclear, "")
	}
	return status, clear
}

// Open sends the first configuration, again and again until it is taken.
func (o *Operator) Open(ctx context.Context) bool {
	for ctx.Err() == nil {
		v := &Version{Config: o.deployment.play().first()}
		if status, clear := o.propose(ctx, ReplacePath, v.Config, v); clear && status == http.StatusOK {
			return true
		} else if clear {
			return false
		}
	}
	return false
}

// Read asks for the newest configuration; nil if none came in time.
func (o *Operator) Read(ctx context.Context) *routing.Config {
	began := history.Now()
	status, text, clear := o.ask(ctx, "GET", "/api/Config.Read", nil)
	if !clear || status != http.StatusOK {
		return nil
	}
	b := new(routing.Config)
	if json.Unmarshal(text, b) != nil {
		return nil
	}
	o.deployment.Config.History.Add(history.Event{Who: "operator", Kind: ReadBack, Number: float64(b.Generation), Deadline: began})
	return b
}

// current gives the version that the next change builds on: after an unclear answer it is read first.
func (o *Operator) current(ctx context.Context) (uint64, *routing.Config) {
	o.mu.Lock()
	unsure := o.ambiguous
	o.mu.Unlock()
	if unsure {
		b := o.Read(ctx)
		if b == nil {
			return 0, nil
		}
		o.mu.Lock()
		o.ambiguous, o.known = false, b.Generation
		o.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.versions[o.known]
	if v == nil {
		return 0, nil
	}
	return o.known, v.Config
}

// Versions copies what was sent, by number.
func (o *Operator) Versions() map[uint64]Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[uint64]Version{}
	for n, v := range o.versions {
		out[n] = *v
	}
	return out
}

// number is a new one, by an uneven step.
func (o *Operator) number() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.top += 1 + o.rng.Uint64N(3)
	return o.top
}

func (o *Operator) draw(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.IntN(n)
}

// Change is one that an operator may send.
type Change struct {
	Path string
	Body any
	Version
}

// Step makes one change of a kind drawn, or two that race.
func (o *Operator) Step(ctx context.Context) {
	parent, config := o.current(ctx)
	if config == nil {
		return
	}
	changes := Draft(o.draw, o.number, parent, config)
	var all sync.WaitGroup
	for _, c := range changes {
		all.Add(1)
		go func() { defer all.Done(); o.propose(ctx, c.Path, c.Body, &c.Version) }()
	}
	all.Wait()
	if len(changes) > 1 {
		o.mu.Lock()
		o.ambiguous = true // who has won is read
		o.mu.Unlock()
	}
}

// Change makes one proper change, and tells whether it was acknowledged.
func (o *Operator) Change(ctx context.Context) bool {
	parent, config := o.current(ctx)
	if config == nil {
		return false
	}
	d := draft{o.draw, o.number, parent, config}
	c := d.amend()
	o.propose(ctx, c.Path, c.Body, &c.Version)
	known, _ := o.Known()
	return known != parent
}

// Draft draws what an operator does next on top of a configuration: a guest's route is added, moved or removed by name, the
// whole is replaced, two changes race, or something invalid is sent.
func Draft(draw func(n int) int, number func() uint64, parent uint64, config *routing.Config) []Change {
	d := draft{draw, number, parent, config}
	switch x := draw(10); {
	case x < 6:
		return []Change{d.amend()}
	case x < 8:
		n := d.next()
		guest(n, d.guestRoute(n.Generation))
		return []Change{{ReplacePath, n, Version{Config: n, Parent: parent}}}
	case x < 9:
		return []Change{d.amend(), d.amend()}
	}
	n := d.next()
	n.Vhosts[0].PathList[0].Target = "nobody"
	return []Change{{ReplacePath, n, Version{Config: n, Parent: parent, WellKnownBad: true}}}
}

// The calls that change the configuration.
const (
	ReplacePath = "/api/Config.Replace"
	AmendPath   = "/api/Config.Amend"
)

// draft is a change under way.
type draft struct {
	draw   func(n int) int
	number func() uint64
	parent uint64
	config *routing.Config
}

// next is the whole configuration under a new number.
func (d *draft) next() *routing.Config {
	n := clone(d.config)
	n.Generation, n.ParentVersion = d.number(), d.parent
	return n
}

func (d *draft) guestRoute(n uint64) routing.ConfigRoute {
	deadline, aim := "1500ms", "400ms"
	return routing.ConfigRoute{Name: fmt.Sprintf("g-%d", n), PathPrefix: fmt.Sprintf("/g%d/", n),
		Variant: routing.Pure, Deadline: &deadline,
		TargetLatency: &aim, MaxTries: 2, Target: d.config.Services[d.draw(len(d.config.Services))].Name}
}

// amend changes named items.
func (d *draft) amend() Change {
	n := d.next()
	a := routing.Amendment{Generation: n.Generation, ParentVersion: d.parent}
	guests := Guests(d.config)
	if x := d.draw(3); x == 0 && len(guests) > 2 {
		gone := guests[d.draw(len(guests))].Name
		a.Removals = &routing.Removals{Routes: []string{gone}}
		for i := range n.Vhosts {
			n.Vhosts[i].PathList = slices.DeleteFunc(n.Vhosts[i].PathList,
				func(r routing.ConfigRoute) bool { return r.Name == gone })
		}
	} else {
		r := d.guestRoute(n.Generation)
		if x == 1 && len(guests) > 0 { // one moves to a service, maybe another
			old := guests[d.draw(len(guests))]
			r.Name, r.PathPrefix = old.Name, old.PathPrefix
		}
		a.Upserts = &routing.Upserts{Vhosts: []routing.ConfigHost{{Hostname: hostGuests,
			PathList: []routing.ConfigRoute{r}}}}
		guest(n, r)
	}
	return Change{AmendPath, a, Version{Config: n, Parent: d.parent}}
}

// Guests are the routes that come and go.
func Guests(b *routing.Config) []routing.ConfigRoute {
	for _, h := range b.Vhosts {
		if h.Hostname == hostGuests {
			return h.PathList
		}
	}
	return nil
}

// guest adds a route to the guests' host, or replaces it by name.
func guest(b *routing.Config, r routing.ConfigRoute) {
	for i := range b.Vhosts {
		if h := &b.Vhosts[i]; h.Hostname == hostGuests {
			for k := range h.PathList {
				if h.PathList[k].Name == r.Name {
					h.PathList[k] = r
					return
				}
			}
			h.PathList = append(h.PathList, r)
			return
		}
	}
	b.Vhosts = append(b.Vhosts, routing.ConfigHost{Hostname: hostGuests, PathList: []routing.ConfigRoute{r}})
}

func clone(b *routing.Config) *routing.Config {
	text, _ := json.Marshal(b)
	out := new(routing.Config)
	json.Unmarshal(text, out)
	return out
}

// Same tells whether two configurations say the same, whatever the order of hosts and routes.
func Same(a, b *routing.Config) bool { return plain(a) == plain(b) }

func plain(b *routing.Config) string {
	c := clone(b)
	c.ParentVersion = 0
	c.Vhosts = slices.DeleteFunc(c.Vhosts, func(h routing.ConfigHost) bool { return len(h.PathList) == 0 })
	slices.SortFunc(c.Vhosts, func(x, y routing.ConfigHost) int {
		return strings.Compare(x.Hostname,
			y.Hostname)
	})
	for _, h := range c.Vhosts {
		slices.SortFunc(h.PathList, func(x, y routing.ConfigRoute) int { return strings.Compare(x.Name, y.Name) })
	}
	text, _ := json.Marshal(c)
	return string(text)
}

// Known is the newest configuration that the operator knows to be in force; nil if none is.
func (o *Operator) Known() (uint64, *routing.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v := o.versions[o.known]; v != nil {
		return o.known, v.Config
	}
	return 0, nil
}
