// Package emulator plays a fleet of front doors in simulated time: each is the real decision module behind the
// real gate, before modelled backends, zones, discovery, datagrams and clients. The same seed gives the same
// result to the byte, on any machine. The five rules are judged from the model's own full sight.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"clovergap/control"
	"clovergap/control/loadbalancer"
	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/lab/spec"
	"clovergap/internal/timerqueue"
)

// origin is the clock at the start: nought stands for "long ago" in the module's lists.
const origin = time.Hour

// after the last client comes the world goes on until all is answered.
const tail = 200 * time.Millisecond

// world is one run.
type world struct {
	spec             *spec.Spec
	now, end         time.Duration
	timers           timerqueue.Queue[func()]
	events           uint64
	netRand          *rand.Rand // of everything that travels and fails; arrivals have a source of their own
	nodes            []*node
	backends         []*backend
	all              []*backend // those that were replaced too
	byID             map[control.BackendID]*backend
	clients          *clients
	checker          *checker
	recorder         *recorder
	newDecider       func(*node) decider
	partitionedZones map[int]int   // zones cut off, by how many faults
	lossBy           spec.Factors  // of datagrams, by faults under way
	resetBy          spec.Factors  // of submissions
	lostBy           spec.Factors  // of answers
	listDelays       int           // faults that hold lists back
	links            *netfault.Set // what faults do to datagrams
	counter          *sharedcounter.Counter
	counterFaults    []func(*sharedcounter.Mode)
	nextUID          int
}

// maker makes what decides at a front door.
type maker func(*node) decider

func newWorld(s *spec.Spec, m maker) (*world, error) {
	w := &world{spec: s, now: origin, end: origin + s.For.D(), newDecider: m, byID: map[control.BackendID]*backend{},
		partitionedZones: map[int]int{}, netRand: rand.New(rand.NewPCG(s.Seed, 0x6e6574))}
	w.links = netfault.New(rand.New(rand.NewPCG(s.Seed, 0x11a7)))
	w.counter = sharedcounter.New(rand.New(rand.NewPCG(s.Seed, 0x7a11)))
	w.checker = newChecker(w)
	w.recorder = newRecorder(w)
	for i := 0; i < s.Backends.Count; i++ {
		w.addBackend(i%len(s.Zones.Names), i%s.Backends.Pods, 0)
	}
	for i := 0; i < s.Nodes.Count; i++ {
		w.nodes = append(w.nodes, newNode(w, i, i%len(s.Zones.Names)))
	}
	w.clients = newClients(w)
	for _, d := range w.nodes {
		d := d
		w.at(w.now-s.Nodes.Spread[1].D()+w.between(s.Nodes.Spread), func() { d.start() })
	}
	if err := w.probe(); err != nil {
		return nil, err
	}
	if err := s.OnlyProcesses(); err != nil {
		return nil, err
	}
	w.plan()
	w.clients.begin()
	return w, nil
}

// probe makes one module to find bad settings before the run.
func (w *world) probe() error {
	if w.spec.Policy != "module" {
		return nil
	}
	_, err := loadbalancer.New(1, settings(w.spec, 0, 0), origin)
	return err
}

// at hangs something on the clock; what is past is due now.
func (w *world) at(t time.Duration, do func()) {
	w.timers.Add(t, do)
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// run plays until nothing that counts is left.
func (w *world) run() {
	last := w.end + w.longest() + tail
	for {
		at, _ := w.timers.NextDeadline()
		do, ok := w.timers.Take(last)
		if !ok {
			break
		}
		w.now = max(w.now, at)
		w.events++
		do()
	}
	w.now = last
	w.checker.finish()
}

// longest is the longest expiry.
func (w *world) longest() (most time.Duration) {
	for _, p := range w.spec.Products {
		most = max(most, p.Expiry.D())
	}
	return most
}

// between draws a span.
func (w *world) between(r spec.Range) time.Duration {
	return r[0].D() + time.Duration(w.netRand.Float64()*float64(r[1]-r[0]))
}

// hop is the way between two zones, one way.
func (w *world) hop(a, b int) time.Duration {
	if a == b {
		return w.between(w.spec.Zones.Same)
	}
	return w.between(w.spec.Zones.Cross)
}

// partitioned tells whether no word gets from one zone to the other now.
func (w *world) partitioned(a, b int) bool {
	return a != b && (w.partitionedZones[a] > 0 || w.partitionedZones[b] > 0)
}

// drawsFault draws whether any of some faults under way hits.
func (w *world) drawsFault(shares []float64) bool {
	for _, s := range shares {
		if w.netRand.Float64() < s {
			return true
		}
	}
	return false
}

// settings are the module's, as the platform would give them to one front door.
func settings(s *spec.Spec, me, zone int) control.Settings {
	micros := func(d spec.Span) string { return fmt.Sprint(d.D().Microseconds()) }
	g := control.Settings{"me": fmt.Sprint(me), "gateways": fmt.Sprint(s.Nodes.Count), "zone": fmt.Sprint(zone),
		"limits.probes": "false", "limits.peers": "true", "limits.cancel": fmt.Sprint(s.Limits.Cancel),
		"limits.advice": fmt.Sprint(s.Limits.Advice), "limits.longest_advice": micros(s.Limits.LongestAdvice),
		"limits.max_submissions": fmt.Sprint(s.Limits.Submissions), "report.how": "answers", "report.fields": "inflight",
		"rules.warm_by": micros(s.Rules.WarmBy), "rules.fall_window": micros(s.Rules.FallWindow),
		"rules.cold_from": fmt.Sprint(s.Rules.ColdFrom), "rules.fall_multiple": fmt.Sprint(s.Rules.FallMultiple),
		"quota.most_units": "1", "quota.mail_per_s": fmt.Sprint(s.Peers.PerSec),
		"products.count": fmt.Sprint(len(s.Products)), "plans.count": fmt.Sprint(len(s.Plans))}
	for i, p := range s.Products {
		at := fmt.Sprintf("products.%d.", i)
		g[at+"sla_time"], g[at+"expiry"], g[at+"effect"] = micros(p.SLA), micros(p.Expiry), p.Effect
		g[at+"repeat_scope"], g[at+"repeat_window"] = p.Scope, micros(p.Window)
		g[at+"value"], g[at+"late_value"] = fmt.Sprint(p.Value), fmt.Sprint(p.LateValue)
	}
	for i, p := range s.Plans {
		at := fmt.Sprintf("plans.%d.", i)
		g[at+"rate"], g[at+"burst"], g[at+"price"] = fmt.Sprint(p.Rate), fmt.Sprint(p.Burst), fmt.Sprint(p.Price)
		g[at+"over_value"], g[at+"over_cost"] = fmt.Sprint(p.OverValue), fmt.Sprint(p.OverCost)
		g[at+"open_cap"], g[at+"ceiling_rate"] = fmt.Sprint(p.OpenCap), fmt.Sprint(p.Ceiling*p.Rate)
		g[at+"ceiling_burst"] = fmt.Sprint(p.Ceiling * p.Burst)
	}
	return g
}

// lognormal draws with a mean and a coefficient of variation; exponential where that is nought.
func lognormal(r *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean * r.ExpFloat64()
	}
	v := math.Log(1 + cv*cv)
	return mean * math.Exp(r.NormFloat64()*math.Sqrt(v)-v/2)
}

// sample gives a share of some things, at least one, chosen by the fault's source or the world's.
func sample[T any](w *world, from []T, f *spec.Fault) (out []T) {
	for _, i := range spec.Hits(len(from), f.Share, f.Source(w.netRand)) {
		out = append(out, from[i])
	}
	return out
}
