// Package spec describes an experiment: a fleet of front doors, the world it serves, its clients, and what goes
// wrong when. The emulator plays it in simulated time, the stand-ins on sockets; both read the same file.
package spec

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"clovergap/internal/tomlfile"
)

// Span is a time.Duration written as "150ms".
type Span time.Duration

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no time span such as \"150ms\"", b)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D gives it as the library's type.
func (s Span) D() time.Duration { return time.Duration(s) }

// Range is a least and a most.
type Range [2]Span

// Spec is one experiment.
type Spec struct {
	Name      string    `toml:"name"`
	Seed      uint64    `toml:"seed"`
	For       Span      `toml:"for"`    // simulated time in which clients come
	Policy    string    `toml:"policy"` // "module", or a mark: "seeing", "plain"
	Nodes     Nodes     `toml:"nodes"`
	Zones     Zones     `toml:"zones"`
	Backends  Backends  `toml:"backends"`
	Peers     Peers     `toml:"peers"`
	Discovery Discovery `toml:"discovery"`
	Clients   Clients   `toml:"clients"`
	Limits    Limits    `toml:"limits"`
	Rules     Rules     `toml:"rules"`
	Products  []Product `toml:"products"`
	Plans     []Plan    `toml:"plans"`
	Faults    []Fault   `toml:"faults"`
}

// Nodes are the front doors.
type Nodes struct {
	Count  int   `toml:"count"`
	Spread Range `toml:"spread"` // of their starts, before clients come
}

// Zones are where front doors and backends stand, dealt out in turn.
type Zones struct {
	Names  []string `toml:"names"`
	Same   Range    `toml:"same"`  // one way within a zone
	Cross  Range    `toml:"cross"` // and between two
	Client Range    `toml:"client"`
}

// Backends serve.
type Backends struct {
	Count       int     `toml:"count"`
	Cores       float64 `toml:"cores"`
	Speed       float64 `toml:"speed_spread"` // each is faster or slower by up to this share
	Slots       int     `toml:"slots"`        // txns in work at once
	Queue       int     `toml:"queue"`        // and waiting; more are turned away
	Pods        int     `toml:"pods"`
	ErrorRate   float64 `toml:"error_rate"`
	ReportEvery Span    `toml:"report_every"`
	ReportLate  Span    `toml:"report_late"`
	Handshake   Span    `toml:"handshake"` // added to a new connection's way; the backend's work for it is left out
	RoundTrips  int     `toml:"round_trips"`
	ConnIdle    Span    `toml:"conn_idle"`
	DialLimit   Span    `toml:"dial_limit"`
}

// Peers are the datagrams between front doors.
type Peers struct {
	Delay  Range   `toml:"delay"`
	Loss   float64 `toml:"loss"`
	PerSec float64 `toml:"per_second"` // that a front door takes in
}

// Discovery tells the list late.
type Discovery struct {
	Late  Range `toml:"late"`  // of drains and ends
	Added Range `toml:"added"` // of new backends
}

// Clients ask.
type Clients struct {
	Load     float64     `toml:"load"`    // asked inside the quotas, as a share of what the backends can do
	Use      float64     `toml:"use"`     // of its quota that a usual customer asks for: with the load it gives their number
	Skew     float64     `toml:"skew"`    // of a customer's front doors: weight 1/rank^skew
	Heavy    float64     `toml:"heavy"`   // share of the customers that ask beyond their quota
	HeavyBy  float64     `toml:"heavy_x"` // times their rate
	Retries  int         `toml:"retries"`
	TryShare float64     `toml:"try_share"` // of the expiry that one try may take
	Backoff  Range       `toml:"backoff"`   // doubled each time
	Honour   float64     `toml:"honour"`    // share that heeds advice
	Marks    bool        `toml:"mark_repeats"`
	Leave    float64     `toml:"leave_early"`
	Notice   Range       `toml:"notice"` // until the front notices a dead front door
	Shape    [][]float64 `toml:"shape"`  // second, factor of the load from there
}

// Limits are the site's, as the module's settings have them.
type Limits struct {
	Submissions   int  `toml:"submissions"`
	Cancel        bool `toml:"cancel"`
	Advice        bool `toml:"advice"`
	LongestAdvice Span `toml:"longest_advice"`
}

// Rules are the figures of the five rules.
type Rules struct {
	AnswerSlack  Span    `toml:"answer_slack"`
	DrainGrace   Span    `toml:"drain_grace"`
	ColdFrom     float64 `toml:"cold_from"`
	WarmBy       Span    `toml:"warm_by"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallWindow   Span    `toml:"fall_window"`
	CeilingSlack float64 `toml:"ceiling_slack"` // share of the ceiling's store, one txn at the least
}

// Product is a kind of txn.
type Product struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Work      Span    `toml:"work"` // mean core time
	Spread    float64 `toml:"cv"`   // of a lognormal distribution; 0: exponential
	SLA       Span    `toml:"sla"`
	Expiry    Span    `toml:"expiry"`
	Value     float64 `toml:"value"`
	LateValue float64 `toml:"late_value"`
	Effect    string  `toml:"effect"` // inquiry-like, referenced, once-only
	Scope     string  `toml:"repeat_scope"`
	Window    Span    `toml:"repeat_window"`
}

// Plan is a kind of customer.
type Plan struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // of the load
	Rate      float64 `toml:"rate"`
	Burst     float64 `toml:"burst"`
	Price     float64 `toml:"price"`
	OverValue float64 `toml:"over_value"`
	OverCost  float64 `toml:"over_cost"`
	OpenCap   int     `toml:"open_cap"`
	Ceiling   float64 `toml:"ceiling"` // times rate and burst; 0: none
	Width     float64 `toml:"width"`   // share of the front doors in a customer's set
}

// Policies are what may decide: the module, two marks, and quotas by a call to the counter for each txn.
var Policies = []string{"module", "seeing", "plain", "counted"}

// Default is a calm fleet of ten front doors before eight backends in two zones.
func Default() Spec {
	ms := func(n float64) Span { return Span(n * float64(time.Millisecond)) }
	return Spec{Name: "default", Seed: 1, For: ms(30000), Policy: "module",
		Nodes:    Nodes{10, Range{ms(20), ms(300)}},
		Zones:    Zones{[]string{"a", "b"}, Range{ms(.1), ms(.3)}, Range{ms(.7), ms(1.3)}, Range{ms(.4), ms(.9)}},
		Backends: Backends{8, 2, 0.1, 8, 40, 4, 0.001, ms(400), ms(100), ms(0.8), 2, ms(30000), ms(250)},
		Peers:    Peers{Range{ms(2), ms(30)}, 0.05, 100}, Discovery: Discovery{Range{ms(1200), ms(4000)}, Range{ms(400), ms(2200)}},
		Clients: Clients{Load: 0.5, Use: 0.45, Skew: 0.6, Heavy: 0.1, HeavyBy: 6, Retries: 2, TryShare: 1,
			Backoff: Range{ms(25), ms(200)}, Honour: 0.6, Marks: true, Leave: 0.005, Notice: Range{ms(1200), ms(3300)}},
		Limits: Limits{5, true, true, ms(2000)},
		Rules:  Rules{ms(16), ms(1000), 0.3, ms(12000), 2.5, ms(1000), 0.1},
		Products: []Product{
			{"read", 0.6, ms(60), 0, ms(500), ms(1500), 3, 0.2, "inquiry-like", "all", ms(5000)},
			{"bid", 0.25, ms(90), 1, ms(600), ms(2000), 3, 0, "referenced", "all", ms(1200)},
			{"pay", 0.15, ms(60), 0.8, ms(600), ms(2500), 2, 0, "once-only", "all", ms(5000)}},
		Plans: []Plan{{"small", 0.4, 1, 4, 0.5, 0, 0.8, 0, 0, 1}, {"large", 0.3, 6, 12, 1.1, 0, 0.8, 0, 0, 1},
			{"capped", 0.3, 14, 28, 1.4, 0, 1, 8, 2, 1}}}
}

// Load reads an experiment over the defaults.
func Load(file string) (*Spec, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads its text. Products and plans that it names replace the default ones whole.
func Parse(file string, text []byte) (*Spec, error) {
	s := Default()
	var own struct {
		Products []Product
		Plans    []Plan
	}
	if toml.Unmarshal(text, &own) == nil {
		if own.Products != nil {
			s.Products = nil
		}
		if own.Plans != nil {
			s.Plans = nil
		}
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, tomlfile.Where(file, err)
	}
	if key, what := s.wrong(); what != "" {
		return nil, &tomlfile.Error{File: file, Position: line(text, key), What: key + ": " + what}
	}
	return &s, nil
}

var indexed = regexp.MustCompile(`^(\w+)\[(\d+)\]`)

// line finds a key's table, so that what the whole shows to be wrong has a place too.
func line(text []byte, key string) string {
	want, nth := strings.SplitN(key, ".", 2)[0], 0
	if m := indexed.FindStringSubmatch(key); m != nil {
		want = m[1]
		fmt.Sscan(m[2], &nth)
	}
	last := key[strings.LastIndex(key, ".")+1:]
	found := 0
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		switch {
		case strings.Trim(l, "[] ") == want && strings.HasPrefix(l, "["):
			if nth--; nth < 0 && found == 0 || !strings.HasPrefix(l, "[[") {
				found = i + 1
			}
		case strings.HasPrefix(l, "[") && found > 0:
			return fmt.Sprint(found)
		case found > 0 && strings.HasPrefix(l, last) || want == last && strings.HasPrefix(l, last):
			return fmt.Sprint(i + 1)
		}
	}
	if found == 0 {
		return ""
	}
	return fmt.Sprint(found)
}

// wrong gives the first key that can't be, and why.
func (s *Spec) wrong() (key, what string) {
	say := func(bad bool, k, w string) {
		if bad && what == "" {
			key, what = k, w
		}
	}
	say(s.For <= 0, "for", "must be more than nought")
	say(!slices.Contains(Policies, s.Policy), "policy", "must be "+strings.Join(Policies, ", "))
	say(s.Nodes.Count < 1 || s.Nodes.Count > 1000, "nodes.count", "must be 1 to 1000")
	say(s.Backends.Count < 1 || s.Backends.Count > 2000, "backends.count", "must be 1 to 2000")
	say(len(s.Zones.Names) < 1, "zones.names", "names no zone")
	say(s.Backends.Cores <= 0 || s.Backends.Slots < 1, "backends.slots", "cores and slots must be more than nought")
	say(s.Backends.Pods < 1, "backends.pods", "must be 1 at the least")
	say(s.Clients.Load <= 0, "clients.load", "must be more than nought")
	say(s.Clients.Use <= 0, "clients.use", "must be more than nought")
	say(s.Clients.TryShare <= 0 || s.Clients.TryShare > 1, "clients.try_share", "must be over 0 and at most 1")
	say(s.Rules.ColdFrom <= 0 || s.Rules.ColdFrom > 1, "rules.cold_from", "must be over 0 and at most 1")
	for name, r := range map[string]Range{"zones.same": s.Zones.Same, "zones.cross": s.Zones.Cross, "zones.client": s.Zones.Client,
		"peers.delay": s.Peers.Delay, "discovery.late": s.Discovery.Late, "discovery.added": s.Discovery.Added,
		"clients.backoff": s.Clients.Backoff, "clients.notice": s.Clients.Notice, "nodes.spread": s.Nodes.Spread} {
		say(r[0] < 0 || r[1] < r[0], name, "must be a least and a most, neither below nought")
	}
	say(len(s.Products) == 0, "products", "names none")
	for i, p := range s.Products {
		at := fmt.Sprintf("products[%d].", i)
		say(p.Work <= 0 || p.SLA <= 0 || p.Expiry < p.SLA, at+"expiry", "work and sla must be more than nought, expiry no less than sla")
		say(p.Effect != "inquiry-like" && p.Effect != "referenced" && p.Effect != "once-only", at+"effect",
			"must be inquiry-like, referenced or once-only")
		say(p.Scope != "all" && p.Scope != "zone" && p.Scope != "pod", at+"repeat_scope", "must be all, zone or pod")
	}
	say(len(s.Plans) == 0, "plans", "names none")
	for i, p := range s.Plans {
		at := fmt.Sprintf("plans[%d].", i)
		say(p.Rate <= 0 || p.Burst < 1, at+"rate", "rate must be more than nought, burst 1 at the least")
		say(p.Width <= 0 || p.Width > 1, at+"width", "must be over 0 and at most 1")
	}
	for i := range s.Faults {
		s.Faults[i].wrong(s, fmt.Sprintf("faults[%d].", i), say)
	}
	return key, what
}
