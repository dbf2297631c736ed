package emulator

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/counters"
)

// requestOutcome is how a request ended at its client.
type requestOutcome int

const (
	outcomeRejected requestOutcome = iota
	outcomeFailed
	outcomeExpired
	outcomeLost
)

// Second is what happened in one second of the run.
type Second struct {
	Start    int     `json:"at"`
	Offered  float64 `json:"offered"` // worth asked for inside the quotas
	Served   float64 `json:"served"`  // of it, settled in time, by the second of the first try
	Requests int     `json:"requests"`
	Rejected int     `json:"declined"` // requests that ended so
	Failed   int     `json:"voided"`
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
	Attempts    int            `json:"tries"`
	Submissions int            `json:"submissions"`
	Handshakes  int            `json:"handshakes"`
	Crossed     int            `json:"crossed"`
	Messages    int            `json:"messages"`
	Beyond      int            `json:"beyond"`
	Succeeded   int            `json:"settled"`
	Late        int            `json:"late"`
	Rejected    int            `json:"declined"` // tries
	Failed      int            `json:"voided"`
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
	Broken      []Violation    `json:"broken,omitempty"`
	Fallen      int            `json:"fallen"` // cold backends pushed over
}

// recorder adds up a run.
type recorder struct {
	world       *world
	res         Result
	latencies   *hdrhistogram.Histogram
	overCost    float64
	offered     float64
	served      float64
	submissions int
	handshakes  int
	crossed     int
	messages    int
	attempts    int
	rejected    int
	failed      int
}

func newRecorder(w *world) *recorder {
	s := w.spec
	rec := &recorder{world: w, latencies: hdrhistogram.New(1, 600_000_000, 3)}
	rec.res = Result{Name: s.Name, Policy: s.Policy, Seed: s.Seed, Seconds: s.For.D().Seconds(),
		Nodes: s.Nodes.Count, Backends: s.Backends.Count, Reasons: map[string]int{}}
	for _, p := range s.Plans {
		rec.res.Plans = append(rec.res.Plans, Group{Name: p.Name})
	}
	for _, h := range s.Zones.Names {
		rec.res.Zones = append(rec.res.Zones, Group{Name: h})
	}
	return rec
}

func (rec *recorder) second(at time.Duration) *Second {
	n := int((at - origin) / time.Second)
	for len(rec.res.Course) <= n {
		rec.res.Course = append(rec.res.Course, Second{Start: len(rec.res.Course)})
	}
	return &rec.res.Course[n]
}

// value is a request's, in time.
func (rec *recorder) value(r *request) float64 {
	return rec.world.spec.Products[r.product].Value * rec.world.spec.Plans[r.customer.plan].Price
}

// zone is that of the first front door of the customer's set.
func (rec *recorder) zone(r *request) int { return r.customer.first % len(rec.res.Zones) }

func (rec *recorder) offer(r *request) {
	rec.res.Requests++
	s := rec.second(r.firstSent)
	s.Requests++
	v := rec.value(r)
	if !r.withinQuota {
		v *= rec.world.spec.Plans[r.customer.plan].OverValue
	}
	s.Offered += v
	rec.offered += v
	rec.res.Plans[r.customer.plan].Offered += v
	rec.res.Zones[rec.zone(r)].Offered += v
}

func (rec *recorder) succeeded(r *request) {
	rec.res.Succeeded++
	p := rec.world.spec.Products[r.product]
	took := rec.world.now - r.firstSent
	rec.latencies.RecordValue(took.Microseconds())
	v := rec.value(r)
	if r.beyondQuota {
		v *= rec.world.spec.Plans[r.customer.plan].OverValue
	}
	s := rec.second(r.firstSent)
	if took > p.SLA.D() {
		v *= p.LateValue
		rec.res.Late++
		s.Late++
	}
	s.Served += v
	rec.served += v
	rec.res.Plans[r.customer.plan].Served += v
	rec.res.Zones[rec.zone(r)].Served += v
}

// beyondQuota: a try was sent on beyond its quota.
func (rec *recorder) beyondQuota(r *request) {
	rec.overCost += rec.value(r) * rec.world.spec.Plans[r.customer.plan].OverCost
	rec.second(rec.world.now).Beyond++
}

// close: a request ended without an answer that serves it.
func (rec *recorder) close(r *request, v requestOutcome) {
	if r.done {
		return
	}
	r.done = true
	s := rec.second(r.firstSent)
	if v == outcomeRejected {
		s.Rejected++
	} else {
		s.Failed++
	}
}

func (rec *recorder) logf(format string, v ...any) {
	rec.res.Notes = append(rec.res.Notes, fmt.Sprintf("%.1fs ", (rec.world.now-origin).Seconds())+fmt.Sprintf(format, v...))
}

// add takes a front door's counters when its life ends.
func (rec *recorder) add(c *counters.Set) {
	if c == nil {
		return
	}
	for id := counters.GaveUpTime; id <= counters.GaveUpBackends; id++ {
		if n := int(c[id]); n > 0 {
			rec.res.Reasons[counters.Name(id)[len("gave up: "):]] += n
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
	w, r := rec.world, &rec.res
	for _, d := range w.nodes {
		if d.running {
			rec.add(d.counters)
		}
	}
	r.Events, r.Attempts, r.Submissions, r.Handshakes = w.events, rec.attempts, rec.submissions, rec.handshakes
	r.Crossed, r.Messages, r.Rejected, r.Failed = rec.crossed, rec.messages, rec.rejected, rec.failed
	r.Beyond, r.RulesBroken, r.Broken = w.checker.beyondQuota, w.checker.violations, w.checker.listed
	r.Service, r.OverCost = share(rec.served, rec.offered), share(rec.overCost, rec.offered)
	r.Score = r.Service - r.OverCost
	r.Worst = 1
	for i := range r.Course {
		if s := r.Course[i]; s.Offered > 0 && float64(s.Start) < r.Seconds {
			r.Worst = min(r.Worst, share(s.Served, s.Offered))
		}
	}
	ms := func(q float64) float64 { return float64(rec.latencies.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P90, r.P99 = ms(50), ms(90), ms(99)
	for i := range r.Plans {
		r.Plans[i].Service = share(r.Plans[i].Served, r.Plans[i].Offered)
	}
	for i := range r.Zones {
		r.Zones[i].Service = share(r.Zones[i].Served, r.Zones[i].Offered)
	}
	for _, b := range w.all {
		if b.overloaded {
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
	return w.recorder.result(), nil
}

// RunScored plays it, and both marks on the same day, and says where between them it lies.
func RunScored(s *spec.Spec) (*Result, error) {
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
