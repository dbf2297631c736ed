package emulator

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/counters"
)

// verdict is how a request ended at its client.
type verdict int

const (
	verdictDeclined verdict = iota
	verdictVoided
	verdictExpired
	verdictLost
)

// Second is what happened in one second of the run.
type Second struct {
	At       int     `json:"at"`
	Offered  float64 `json:"offered"` // worth asked for inside the quotas
	Served   float64 `json:"served"`  // of it, settled in time, by the second of the first try
	Requests int     `json:"requests"`
	Declined int     `json:"declined"` // requests that ended so
	Voided   int     `json:"voided"`
	Late     int     `json:"late"`
	Beyond   int     `json:"beyond"`
}

// Group is a plan's or a zone's part.
type Group struct {
	Name    string  `json:"name"`
	Offered float64 `json:"offered"`
	Served  float64 `json:"served"`
	Service float64 `json:"service"`
}

// Result is what a run came to. It holds nothing that depends on the machine.
type Result struct {
	Name        string         `json:"name"`
	Policy      string         `json:"policy"`
	Seed        uint64         `json:"seed"`
	Build       string         `json:"build"`
	File        string         `json:"file"`
	Point       string         `json:"point,omitempty"` // of a sweep
	Seconds     float64        `json:"seconds"`
	Nodes       int            `json:"nodes"`
	Backends    int            `json:"backends"`
	Events      uint64         `json:"events"`
	Requests    int            `json:"requests"`
	Tries       int            `json:"tries"`
	Submissions int            `json:"submissions"`
	Handshakes  int            `json:"handshakes"`
	Crossed     int            `json:"crossed"`
	Messages    int            `json:"messages"`
	Beyond      int            `json:"beyond"`
	Settled     int            `json:"settled"`
	Late        int            `json:"late"`
	Declined    int            `json:"declined"` // tries
	Voided      int            `json:"voided"`
	Service     float64        `json:"service"` // worth settled in time, of what was offered inside quotas
	OverCost    float64        `json:"over_cost"`
	Score       float64        `json:"score"` // service less what went beyond quotas cost
	Worst       float64        `json:"worst_second"`
	High        float64        `json:"high,omitempty"` // the seeing mark's score on the same day
	Low         float64        `json:"low,omitempty"`  // the plain mark's
	Place       float64        `json:"place"`          // between the two; 1 is the upper
	P50         float64        `json:"p50_ms"`
	P90         float64        `json:"p90_ms"`
	P99         float64        `json:"p99_ms"`
	Reasons     map[string]int `json:"reasons"` // of declines and voids, by what was lacking
	Plans       []Group        `json:"plans"`
	Zones       []Group        `json:"zones"`
	Course      []Second       `json:"course"`
	Notes       []string       `json:"notes"`
	RulesBroken int            `json:"rules_broken"`
	Broken      []Broken       `json:"broken,omitempty"`
	Fallen      int            `json:"fallen"` // cold backends pushed over
}

// recorder adds up a run.
type recorder struct {
	w           *world
	r           Result
	hist        *hdrhistogram.Histogram
	over        float64
	offered     float64
	served      float64
	submissions int
	handshakes  int
	crossed     int
	messages    int
	tries       int
	declined    int
	voided      int
}

func newRecorder(w *world) *recorder {
	s := w.s
	rec := &recorder{w: w, hist: hdrhistogram.New(1, 600_000_000, 3)}
	rec.r = Result{Name: s.Name, Policy: s.Policy, Seed: s.Seed, Seconds: s.For.D().Seconds(),
		Nodes: s.Nodes.Count, Backends: s.Backends.Count, Reasons: map[string]int{}}
	for _, p := range s.Plans {
		rec.r.Plans = append(rec.r.Plans, Group{Name: p.Name})
	}
	for _, h := range s.Zones.Names {
		rec.r.Zones = append(rec.r.Zones, Group{Name: h})
	}
	return rec
}

func (rec *recorder) second(at time.Duration) *Second {
	n := int((at - origin) / time.Second)
	for len(rec.r.Course) <= n {
		rec.r.Course = append(rec.r.Course, Second{At: len(rec.r.Course)})
	}
	return &rec.r.Course[n]
}

// worth is a request's, in time.
func (rec *recorder) worth(r *request) float64 {
	return rec.w.s.Products[r.product].Value * rec.w.s.Plans[r.c.plan].Price
}

// zone is that of the first front door of the customer's set.
func (rec *recorder) zone(r *request) int { return r.c.first % len(rec.r.Zones) }

func (rec *recorder) offer(r *request) {
	rec.r.Requests++
	s := rec.second(r.at)
	s.Requests++
	v := rec.worth(r)
	if !r.inside {
		v *= rec.w.s.Plans[r.c.plan].OverValue
	}
	s.Offered += v
	rec.offered += v
	rec.r.Plans[r.c.plan].Offered += v
	rec.r.Zones[rec.zone(r)].Offered += v
}

func (rec *recorder) settled(r *request) {
	rec.r.Settled++
	p := rec.w.s.Products[r.product]
	took := rec.w.now - r.at
	rec.hist.RecordValue(took.Microseconds())
	v := rec.worth(r)
	if r.beyond {
		v *= rec.w.s.Plans[r.c.plan].OverValue
	}
	s := rec.second(r.at)
	if took > p.SLA.D() {
		v *= p.LateValue
		rec.r.Late++
		s.Late++
	}
	s.Served += v
	rec.served += v
	rec.r.Plans[r.c.plan].Served += v
	rec.r.Zones[rec.zone(r)].Served += v
}

// beyond: a try was sent on beyond its quota.
func (rec *recorder) beyond(r *request) {
	rec.over += rec.worth(r) * rec.w.s.Plans[r.c.plan].OverCost
	rec.second(rec.w.now).Beyond++
}

// close: a request ended without an answer that serves it.
func (rec *recorder) close(r *request, v verdict) {
	if r.done {
		return
	}
	r.done = true
	s := rec.second(r.at)
	if v == verdictDeclined {
		s.Declined++
	} else {
		s.Voided++
	}
}

func (rec *recorder) note(format string, v ...any) {
	rec.r.Notes = append(rec.r.Notes, fmt.Sprintf("%.1fs ", (rec.w.now-origin).Seconds())+fmt.Sprintf(format, v...))
}

// add takes a front door's counters when its life ends.
func (rec *recorder) add(c *counters.Set) {
	if c == nil {
		return
	}
	for id := counters.GaveUpTime; id <= counters.GaveUpBackends; id++ {
		if n := int(c[id]); n > 0 {
			rec.r.Reasons[counters.Name(id)[len("gave up: "):]] += n
		}
	}
}

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

func (rec *recorder) result() *Result {
	w, r := rec.w, &rec.r
	for _, d := range w.nodes {
		if d.up {
			rec.add(d.count)
		}
	}
	r.Events, r.Tries, r.Submissions, r.Handshakes = w.events, rec.tries, rec.submissions, rec.handshakes
	r.Crossed, r.Messages, r.Declined, r.Voided = rec.crossed, rec.messages, rec.declined, rec.voided
	r.Beyond, r.RulesBroken, r.Broken = w.judge.beyond, w.judge.many, w.judge.broken
	r.Service, r.OverCost = share(rec.served, rec.offered), share(rec.over, rec.offered)
	r.Score = r.Service - r.OverCost
	r.Worst = 1
	for i := range r.Course {
		if s := r.Course[i]; s.Offered > 0 && float64(s.At) < r.Seconds {
			r.Worst = min(r.Worst, share(s.Served, s.Offered))
		}
	}
	ms := func(q float64) float64 { return float64(rec.hist.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P90, r.P99 = ms(50), ms(90), ms(99)
	for i := range r.Plans {
		r.Plans[i].Service = share(r.Plans[i].Served, r.Plans[i].Offered)
	}
	for i := range r.Zones {
		r.Zones[i].Service = share(r.Zones[i].Served, r.Zones[i].Offered)
	}
	for _, b := range w.all {
		if b.fallen {
			r.Fallen++
		}
	}
	return r
}

// Run plays an experiment once, by its policy.
func Run(s *spec.Spec) (*Result, error) {
	m, ok := map[string]maker{"module": module, "seeing": seeing, "plain": plain, "counted": counted}[s.Policy]
	if !ok {
		return nil, fmt.Errorf("no such policy: %q", s.Policy)
	}
	return play(s, m)
}

func play(s *spec.Spec, m maker) (*Result, error) {
	w, err := newWorld(s, m)
	if err != nil {
		return nil, err
	}
	w.run()
	return w.res.result(), nil
}

// Marked plays it, and both marks on the same day, and says where between them it lies.
func Marked(s *spec.Spec) (*Result, error) {
	r, err := Run(s)
	if err != nil {
		return nil, err
	}
	for _, mark := range []struct {
		policy string
		score  *float64
	}{{"seeing", &r.High}, {"plain", &r.Low}} {
		c := *s
		c.Policy = mark.policy
		x, err := Run(&c)
		if err != nil {
			return nil, err
		}
		*mark.score = x.Score
	}
	if r.Place = share(r.Score-r.Low, r.High-r.Low); r.RulesBroken > 0 {
		r.Place = 0
	}
	return r, nil
}
