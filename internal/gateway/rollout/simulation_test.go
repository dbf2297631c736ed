package rollout

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulation is a simulated service: nodes in three zones, their requests, a roll-out.
type simulation struct {
	rng           *rand.Rand
	nodes         []*Node
	coordinator   *Coordinator
	state         *State
	rate          float64 // requests a second, over all nodes; three in ten are writes
	failureRate   float64 // share that fails on both sides
	backendSpeed  map[uint64]float64
	commonFactors func(now time.Duration) (fails, slower float64) // times as much, on both sides
	fault         func(now time.Duration, e *Outcome, zone int, tenant int) (fails, slower float64)
	now           time.Duration

	canaryRequests, canaryFailures int // requests that met the new version, and failed there
	lostOfSeven                    int // reports lost, of seven
	evidenceBytes                  int
	rollbackReason                 string
	localRollbacks                 int
}

const (
	baselineCount, canaryCount = 7, 6
	tick                       = 250 * time.Millisecond
)

func newSimulation(seed int64, nodes int, rate float64, o *Spec) *simulation {
	w := &simulation{rng: rand.New(rand.NewSource(seed)), rate: rate, failureRate: 0.004, state: NewState(),
		coordinator: NewCoordinator(1, 0), backendSpeed: map[uint64]float64{}, lostOfSeven: 1}
	w.commonFactors = func(time.Duration) (float64, float64) { return 1, 1 }
	w.fault = func(time.Duration, *Outcome, int, int) (float64, float64) { return 0, 1 }
	e := startEntry(o, 0, "")
	e.Capacity.Canary = 1000
	if _, err := w.state.Apply(e); err != nil {
		panic(err)
	}
	for i := range nodes {
		d := NewNode(fmt.Sprint("zone-", i%3), uint64(seed)+uint64(i), 0)
		d.SetConnected(true)
		w.nodes = append(w.nodes, d)
	}
	for b := range uint64(baselineCount + canaryCount) {
		w.backendSpeed[b+1] = math.Exp(0.15 * w.rng.NormFloat64())
	}
	w.applyState()
	return w
}

func (s *simulation) applyState() {
	s.coordinator.ApplyState(s.state)
	for _, d := range s.nodes {
		d.ApplyState(s.state)
	}
}

// step plays one tick: the requests of each node, then what they say and what comes of it. A verdict is in
// force at the nodes with the next.
func (s *simulation) step() {
	s.now += tick
	cf, cs := s.commonFactors(s.now)
	for i, d := range s.nodes {
		n := s.rate * tick.Seconds() / float64(len(s.nodes))
		for range int(n + s.rng.Float64()) {
			s.request(i, d, cf, cs)
		}
		d.Tick(s.now)
		for a, ok := d.Next(); ok; a, ok = d.Next() {
			switch a := a.(type) {
			case SendReport:
				s.evidenceBytes += len(a.Report.Evidence)
				if s.rng.Intn(7) >= s.lostOfSeven {
					if err := s.coordinator.HandleReport(NodeID(i), a.Report); err != nil {
						panic(err)
					}
				}
			case LocalRollback:
				s.localRollbacks++
			}
		}
	}
	s.coordinator.Tick(s.now)
	for a, ok := s.coordinator.Next(); ok; a, ok = s.coordinator.Next() {
		switch a := a.(type) {
		case BroadcastLap:
			for _, d := range s.nodes {
				d.HandleLap(a.Lap)
			}
		case Propose:
			if _, err := s.state.Apply(&a.Entry); err != nil {
				panic(err)
			}
			if a.Entry.Verb == Rollback {
				s.rollbackReason = a.Entry.Reason
			}
			s.applyState()
		}
	}
}

func (s *simulation) request(node int, d *Node, cf, cs float64) {
	user := s.rng.Intn(4000)
	name := binary.LittleEndian.AppendUint16(nil, uint16(user))
	tenant := user % 8
	side, counts := d.ChooseSide("libro", name, Scope{})
	e := Outcome{Side: side, Tenant: uint32(tenant), Backend: uint64(1 + s.rng.Intn(baselineCount))}
	if s.rng.Float64() < 0.3 {
		e.Kind, e.Route = Write, 1
	}
	if side == Canary {
		e.Backend = uint64(1 + baselineCount + s.rng.Intn(canaryCount))
		e.WarmingUp = s.now < 8*time.Second
		s.canaryRequests++
	}
	fails, slower := s.fault(s.now, &e, node%3, tenant)
	took := 0.12 * s.backendSpeed[e.Backend] * cs * slower * math.Exp(0.4*s.rng.NormFloat64())
	e.Latency = time.Duration(took * float64(time.Second))
	if e.WarmingUp {
		e.Latency *= 3
	}
	if s.rng.Float64() < s.failureRate*cf+fails {
		e.Cause = Cause(1 + s.rng.Intn(3))
		if side == Canary {
			s.canaryFailures++
		}
	}
	if counts {
		d.RecordOutcome("libro", d.RunningNumber("libro"), e)
	}
}

// A good version under the sites' usual faults: 1,000 roll-outs in four steps.
func TestGoodVersionStays(t *testing.T) {
	t.Parallel()
	const plays = 1000
	var wrong, alone, finished, bytes int
	var mu sync.Mutex
	var all sync.WaitGroup
	for part := range 8 {
		all.Go(func() {
			for seed := part; seed < plays; seed += 8 {
				w := newSimulation(int64(seed), 6, 150, testSpec(100, 500, 2500, 5000))
				w.failureRate = 0.004 + 0.026*w.rng.Float64()
				injectFaults(w)
				for w.now < 45*time.Second && w.rollbackReason == "" {
					w.step()
				}
				mu.Lock()
				if alone += w.localRollbacks; w.rollbackReason != "" {
					wrong++
					t.Logf("seed %d at %v: %s", seed, w.now, w.rollbackReason)
				}
				if w.state.Run("libro").Step == 4 {
					finished++
				}
				bytes += w.evidenceBytes
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d rolled back, by %d nodes alone; %d at the last step; %d bytes of evidence a node and second",
		wrong, plays, alone, finished, bytes/plays/45/6)
	must.LessEq(t, plays/100, wrong) // the stated share
	must.GreaterEq(t, plays*8/10, finished)
}

// injectFaults of one kind or another: worse and slower for all at once, one backend that crashes or is bad all the
// time, one node that has trouble with the way.
func injectFaults(w *simulation) {
	from := time.Duration(5+w.rng.Intn(30)) * time.Second
	in := func(now, long time.Duration) bool { return now >= from && now < from+long }
	bad := uint64(1 + w.rng.Intn(baselineCount+canaryCount))
	unhealthy := w.rng.Intn(3)
	switch w.rng.Intn(5) {
	case 0:
		w.commonFactors = func(now time.Duration) (float64, float64) {
			if in(now, 6*time.Second) {
				return 15, 2.5
			}
			return 1, 1
		}
	case 1: // what balancer lets through of a crashed one
		w.fault = func(now time.Duration, e *Outcome, _, _ int) (float64, float64) {
			if e.Backend == bad && in(now, time.Second) {
				return 1, 1
			}
			return 0, 1
		}
	case 2:
		w.fault = func(_ time.Duration, e *Outcome, _, _ int) (float64, float64) {
			if e.Backend == bad {
				return 0.2, 2
			}
			return 0, 1
		}
	case 3: // the zone's nodes reach the others badly, on both sides
		w.fault = func(now time.Duration, _ *Outcome, zone, _ int) (float64, float64) {
			if zone == unhealthy && in(now, 5*time.Second) {
				return 0.3, 1.5
			}
			return 0, 1
		}
	}
}

// What fails is rolled back; the table is that of docs/rollouts.md.
func TestFailingVersionsAreRolledBack(t *testing.T) {
	t.Parallel()
	type fault = func(now time.Duration, e *Outcome, zone, tenant int) (float64, float64)
	type only = func(now time.Duration, e *Outcome, zone, tenant int) bool
	always := func(fails, slower float64, only only) fault {
		return func(now time.Duration, e *Outcome, zone, tenant int) (float64, float64) {
			if e.Side == Canary && only(now, e, zone, tenant) {
				return fails, slower
			}
			return 0, 1
		}
	}
	third := func(_ time.Duration, _ *Outcome, zone, _ int) bool { return zone == 1 }
	eighth := func(_ time.Duration, _ *Outcome, _, tenant int) bool { return tenant == 3 }
	cold := func(_ time.Duration, e *Outcome, _, _ int) bool { return e.WarmingUp }
	later := func(now time.Duration, _ *Outcome, _, _ int) bool { return now > 10*time.Minute }
	everything := func(time.Duration, *Outcome, int, int) bool { return true }
	writes := func(_ time.Duration, e *Outcome, _, _ int) bool { return e.Kind == Write }
	for _, c := range []struct {
		name  string
		share int
		rate  float64
		fault fault
		most  time.Duration // stated, for the median
	}{
		{"all writes, one in five", 100, 350, always(.2, 1, writes), 80 * time.Second},
		{"all writes, one in five", 1000, 350, always(.2, 1, writes), 8 * time.Second},
		{"all writes, one in five", 5000, 350, always(.2, 1, writes), 5 * time.Second},
		{"all writes, one in five", 9000, 350, always(.2, 1, writes), 15 * time.Second},
		{"all writes, one in five", 1000, 3500, always(.2, 1, writes), 3 * time.Second},
		{"everything, wrong bytes", 100, 350, always(1, 1, everything), 6 * time.Second},
		{"everything, wrong bytes", 5000, 350, always(1, 1, everything), 3 * time.Second},
		{"one in 200", 2500, 3500, always(.005, 1, everything), 90 * time.Second},
		{"one in 50", 2500, 350, always(.02, 1, everything), 40 * time.Second},
		{"one tenant of eight, half", 1000, 350, always(.5, 1, eighth), 25 * time.Second},
		{"one zone of three, one in five", 1000, 350, always(.2, 1, third), 15 * time.Second},
		{"twice as slow", 1000, 350, always(0, 2, everything), 45 * time.Second},
		{"three times as slow", 1000, 350, always(0, 3, everything), 15 * time.Second},
		{"only when cold, one in five", 1000, 350, always(.2, 1, cold), 8 * time.Second},
		{"after ten minutes, one in five", 1000, 60, always(.2, 1, later), 60 * time.Second},
	} {
		const plays = 5
		var took []time.Duration
		var met, failed []int
		alone, late := 0, time.Duration(0)
		if c.rate == 60 {
			late = 10 * time.Minute
		}
		for seed := range int64(plays) {
			w := newSimulation(seed, 12, c.rate, testSpec(c.share))
			w.fault = c.fault
			was := 0
			for w.rollbackReason == "" && w.now < late+2*time.Minute {
				if w.step(); w.now == late {
					was = w.canaryRequests
				}
			}
			took, met, failed = append(took, w.now-late), append(met, w.canaryRequests-was), append(failed, w.canaryFailures)
			alone += w.localRollbacks
		}
		slices.Sort(took)
		slices.Sort(met)
		slices.Sort(failed)
		t.Logf("%-30s | %2d %% | %4.0f/s | %4.1f s, %4.1f s | %4d, %4d | %3d | alone %d", c.name, c.share/100, c.rate,
			took[2].Seconds(), took[4].Seconds(), met[2], met[4], failed[2], alone)
		if took[2] > c.most {
			t.Errorf("%s: %v", c.name, took[2])
		}
	}
}

// Reports that are lost, doubled and reordered in every way come to the same sums, each counted once; a node that
// starts anew is another incarnation; a new coordinator has all with one more of each.
func TestAllOrdersOfReports(t *testing.T) {
	t.Parallel()
	w := newSimulation(1, 2, 400, testSpec(5000))
	w.lostOfSeven = 7
	var reports []Report
	for range 3 {
		for range 4 {
			w.now += tick
			for i, d := range w.nodes {
				for range 40 {
					w.request(i, d, 1, 1)
				}
				d.Tick(w.now)
				for a, ok := d.Next(); ok; a, ok = d.Next() {
					reports = append(reports, a.(SendReport).Report)
				}
			}
		}
	}
	must.Eq(t, 6, len(reports))
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(reports[5]))
	must.Less(t, 4096, b.Len())
	var want Counts
	want.Add(&reports[4].Counts)
	want.Add(&reports[5].Counts)
	must.Eq(t, uint32(480*2), want[0][0].Outcomes+want[0][1].Outcomes+want[1][0].Outcomes+want[1][1].Outcomes)
	var each func(left, done []int)
	each = func(left, done []int) {
		d := NewCoordinator(2, w.now)
		d.ApplyState(w.state)
		for _, i := range append(done, done...) {
			must.NoError(t, d.HandleReport(NodeID(i%2), reports[i]))
		}
		if slices.Contains(done, 4) && slices.Contains(done, 5) {
			got, _ := d.Counts("libro")
			must.Eq(t, want, got)
			old := reports[4]
			old.Number++
			must.NoError(t, d.HandleReport(0, old))
			got, _ = d.Counts("libro")
			must.Eq(t, want, got)
		}
		for i := range left {
			rest := slices.Delete(slices.Clone(left), i, i+1)
			each(rest, append(slices.Clone(done), left[i]))
		}
	}
	each([]int{0, 1, 2, 3, 4, 5}, nil)
	broken := reports[5]
	broken.Evidence = broken.Evidence[:len(broken.Evidence)-1]
	d := NewCoordinator(2, 0)
	d.ApplyState(w.state)
	must.Error(t, d.HandleReport(1, broken))
}

// One unhealthy node never rolls back: neither while it is the first whose report has come, nor by several incarnations of it.
func TestOneNodeDoesNotRollBack(t *testing.T) {
	s := NewState()
	e := startEntry(testSpec(5000), 0, "")
	_, err := s.Apply(e)
	must.NoError(t, err)
	d := NewCoordinator(2, 0)
	d.SetNodeCount(12)
	d.ApplyState(s)
	now := time.Duration(0)
	reports := func(id NodeID, incarnation uint64) (rolledBack bool) {
		node := NewNode("a", incarnation, now)
		node.ApplyState(s)
		node.SetConnected(true)
		for end := now + 3*time.Second; now < end; now += tick {
			for i := range 20 {
				node.RecordOutcome("libro", 1, Outcome{Side: Side(i % 2), Backend: uint64(1 + i%6), Cause: Cause(i % 2)})
			}
			node.Tick(now)
			for a, ok := node.Next(); ok; a, ok = node.Next() {
				if tell, is := a.(SendReport); is {
					must.NoError(t, d.HandleReport(id, tell.Report))
				}
			}
			d.Tick(now)
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				p, is := a.(Propose)
				rolledBack = rolledBack || is && p.Entry.Verb == Rollback
			}
		}
		return rolledBack
	}
	must.False(t, reports(3, 1))
	must.False(t, reports(3, 2))
	must.True(t, reports(4, 3)) // but two do
}
