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

// world is a simulated service: nodes in three zones, their requests, a roll-out.
type world struct {
	rng    *rand.Rand
	nodes  []*Node
	duty   *Coordinator
	state  *State
	rate   float64 // requests a second, over all nodes; three in ten are writes
	wrong  float64 // share that fails on both sides
	speed  map[uint64]float64
	common func(now time.Duration) (fails, slower float64) // times as much, on both sides
	fault  func(now time.Duration, e *End, zone int, tenant int) (fails, slower float64)
	now    time.Duration

	met, failed int // requests that met the new version, and failed there
	lost        int // reports lost, of seven
	bytes       int
	end         string
	alone       int
}

const (
	oldBacks, newBacks = 7, 6
	tick               = 250 * time.Millisecond
)

func newWorld(seed int64, nodes int, rate float64, o *Rollout) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), rate: rate, wrong: 0.004, state: NewState(),
		duty: NewCoordinator(1, 0), speed: map[uint64]float64{}, lost: 1}
	w.common = func(time.Duration) (float64, float64) { return 1, 1 }
	w.fault = func(time.Duration, *End, int, int) (float64, float64) { return 0, 1 }
	e := startEntry(o, 0, "")
	e.Room.New = 1000
	if _, err := w.state.Apply(e); err != nil {
		panic(err)
	}
	for i := range nodes {
		d := NewNode(fmt.Sprint("zone-", i%3), uint64(seed)+uint64(i), 0)
		d.Touch(true)
		w.nodes = append(w.nodes, d)
	}
	for b := range uint64(oldBacks + newBacks) {
		w.speed[b+1] = math.Exp(0.15 * w.rng.NormFloat64())
	}
	w.fold()
	return w
}

func (w *world) fold() {
	w.duty.Fold(w.state)
	for _, d := range w.nodes {
		d.Fold(w.state)
	}
}

// step plays one tick: the requests of each node, then what they say and what comes of it. A verdict is in
// force at the nodes with the next.
func (w *world) step() {
	w.now += tick
	cf, cs := w.common(w.now)
	for i, d := range w.nodes {
		n := w.rate * tick.Seconds() / float64(len(w.nodes))
		for range int(n + w.rng.Float64()) {
			w.request(i, d, cf, cs)
		}
		d.Now(w.now)
		for a, ok := d.Next(); ok; a, ok = d.Next() {
			switch a := a.(type) {
			case Tell:
				w.bytes += len(a.Report.Evidence)
				if w.rng.Intn(7) >= w.lost {
					if err := w.duty.Heard(NodeID(i), a.Report); err != nil {
						panic(err)
					}
				}
			case Lowered:
				w.alone++
			}
		}
	}
	w.duty.Now(w.now)
	for a, ok := w.duty.Next(); ok; a, ok = w.duty.Next() {
		switch a := a.(type) {
		case Laps:
			for _, d := range w.nodes {
				d.Lap(a.Lap)
			}
		case Propose:
			if _, err := w.state.Apply(&a.Entry); err != nil {
				panic(err)
			}
			if a.Entry.Verb == PullBack {
				w.end = a.Entry.Why
			}
			w.fold()
		}
	}
}

func (w *world) request(node int, d *Node, cf, cs float64) {
	user := w.rng.Intn(4000)
	name := binary.LittleEndian.AppendUint16(nil, uint16(user))
	tenant := user % 8
	side, counts := d.Side("libro", name, Scope{})
	e := End{Side: side, Tenant: uint32(tenant), Backend: uint64(1 + w.rng.Intn(oldBacks))}
	if w.rng.Float64() < 0.3 {
		e.Kind, e.Call = Write, 1
	}
	if side == New {
		e.Backend = uint64(1 + oldBacks + w.rng.Intn(newBacks))
		e.Cold = w.now < 8*time.Second
		w.met++
	}
	fails, slower := w.fault(w.now, &e, node%3, tenant)
	took := 0.12 * w.speed[e.Backend] * cs * slower * math.Exp(0.4*w.rng.NormFloat64())
	e.Took = time.Duration(took * float64(time.Second))
	if e.Cold {
		e.Took *= 3
	}
	if w.rng.Float64() < w.wrong*cf+fails {
		e.Cause = Cause(1 + w.rng.Intn(3))
		if side == New {
			w.failed++
		}
	}
	if counts {
		d.Ended("libro", d.Number("libro"), e)
	}
}

// A good version under the sites' usual troubles: 1,000 roll-outs in four steps.
func TestAGoodVersionStays(t *testing.T) {
	t.Parallel()
	const plays = 1000
	var wrong, alone, finished, bytes int
	var mu sync.Mutex
	var all sync.WaitGroup
	for part := range 8 {
		all.Go(func() {
			for seed := part; seed < plays; seed += 8 {
				w := newWorld(int64(seed), 6, 150, order(100, 500, 2500, 5000))
				w.wrong = 0.004 + 0.026*w.rng.Float64()
				troubles(w)
				for w.now < 45*time.Second && w.end == "" {
					w.step()
				}
				mu.Lock()
				if alone += w.alone; w.end != "" {
					wrong++
					t.Logf("seed %d at %v: %s", seed, w.now, w.end)
				}
				if w.state.Run("libro").Step == 4 {
					finished++
				}
				bytes += w.bytes
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d pulled back, by %d nodes alone; %d at the last step; %d bytes of evidence a node and second",
		wrong, plays, alone, finished, bytes/plays/45/6)
	must.LessEq(t, plays/100, wrong) // the stated share
	must.GreaterEq(t, plays*8/10, finished)
}

// troubles of one kind or another: worse and slower for all at once, one backend that crashes or is bad all the
// time, one node that has trouble with the way.
func troubles(w *world) {
	from := time.Duration(5+w.rng.Intn(30)) * time.Second
	in := func(now, long time.Duration) bool { return now >= from && now < from+long }
	bad := uint64(1 + w.rng.Intn(oldBacks+newBacks))
	sick := w.rng.Intn(3)
	switch w.rng.Intn(5) {
	case 0:
		w.common = func(now time.Duration) (float64, float64) {
			if in(now, 6*time.Second) {
				return 15, 2.5
			}
			return 1, 1
		}
	case 1: // what balancer lets through of a crashed one
		w.fault = func(now time.Duration, e *End, _, _ int) (float64, float64) {
			if e.Backend == bad && in(now, time.Second) {
				return 1, 1
			}
			return 0, 1
		}
	case 2:
		w.fault = func(_ time.Duration, e *End, _, _ int) (float64, float64) {
			if e.Backend == bad {
				return 0.2, 2
			}
			return 0, 1
		}
	case 3: // the zone's nodes reach the others badly, on both sides
		w.fault = func(now time.Duration, _ *End, zone, _ int) (float64, float64) {
			if zone == sick && in(now, 5*time.Second) {
				return 0.3, 1.5
			}
			return 0, 1
		}
	}
}

// What fails is pulled back; the table is that of the note.
func TestFailingVersionsArePulledBack(t *testing.T) {
	t.Parallel()
	type fault = func(now time.Duration, e *End, zone, tenant int) (float64, float64)
	type only = func(now time.Duration, e *End, zone, tenant int) bool
	always := func(fails, slower float64, only only) fault {
		return func(now time.Duration, e *End, zone, tenant int) (float64, float64) {
			if e.Side == New && only(now, e, zone, tenant) {
				return fails, slower
			}
			return 0, 1
		}
	}
	third := func(_ time.Duration, _ *End, zone, _ int) bool { return zone == 1 }
	eighth := func(_ time.Duration, _ *End, _, tenant int) bool { return tenant == 3 }
	cold := func(_ time.Duration, e *End, _, _ int) bool { return e.Cold }
	later := func(now time.Duration, _ *End, _, _ int) bool { return now > 10*time.Minute }
	any := func(time.Duration, *End, int, int) bool { return true }
	writes := func(_ time.Duration, e *End, _, _ int) bool { return e.Kind == Write }
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
		{"everything, wrong bytes", 100, 350, always(1, 1, any), 6 * time.Second},
		{"everything, wrong bytes", 5000, 350, always(1, 1, any), 3 * time.Second},
		{"one in 200", 2500, 3500, always(.005, 1, any), 90 * time.Second},
		{"one in 50", 2500, 350, always(.02, 1, any), 40 * time.Second},
		{"one tenant of eight, half", 1000, 350, always(.5, 1, eighth), 25 * time.Second},
		{"one zone of three, one in five", 1000, 350, always(.2, 1, third), 15 * time.Second},
		{"twice as slow", 1000, 350, always(0, 2, any), 45 * time.Second},
		{"three times as slow", 1000, 350, always(0, 3, any), 15 * time.Second},
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
			w := newWorld(seed, 12, c.rate, order(c.share))
			w.fault = c.fault
			was := 0
			for w.end == "" && w.now < late+2*time.Minute {
				if w.step(); w.now == late {
					was = w.met
				}
			}
			took, met, failed = append(took, w.now-late), append(met, w.met-was), append(failed, w.failed)
			alone += w.alone
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
// starts anew is another life; whoever takes the duty over has all with one more of each.
func TestAllOrdersOfReports(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 400, order(5000))
	w.lost = 7
	var told []Report
	for range 3 {
		for range 4 {
			w.now += tick
			for i, d := range w.nodes {
				for range 40 {
					w.request(i, d, 1, 1)
				}
				d.Now(w.now)
				for a, ok := d.Next(); ok; a, ok = d.Next() {
					told = append(told, a.(Tell).Report)
				}
			}
		}
	}
	must.Eq(t, 6, len(told))
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(told[5]))
	must.Less(t, 4096, b.Len())
	var want Counts
	want.Add(&told[4].Counts)
	want.Add(&told[5].Counts)
	must.Eq(t, uint32(480*2), want[0][0].Ends+want[0][1].Ends+want[1][0].Ends+want[1][1].Ends)
	var each func(left, done []int)
	each = func(left, done []int) {
		d := NewCoordinator(2, w.now)
		d.Fold(w.state)
		for _, i := range append(done, done...) {
			must.NoError(t, d.Heard(NodeID(i%2), told[i]))
		}
		if slices.Contains(done, 4) && slices.Contains(done, 5) {
			got, _ := d.Counts("libro")
			must.Eq(t, want, got)
			old := told[4]
			old.Number++
			must.NoError(t, d.Heard(0, old))
			got, _ = d.Counts("libro")
			must.Eq(t, want, got)
		}
		for i := range left {
			rest := slices.Delete(slices.Clone(left), i, i+1)
			each(rest, append(slices.Clone(done), left[i]))
		}
	}
	each([]int{0, 1, 2, 3, 4, 5}, nil)
	broken := told[5]
	broken.Evidence = broken.Evidence[:len(broken.Evidence)-1]
	d := NewCoordinator(2, 0)
	d.Fold(w.state)
	must.Error(t, d.Heard(1, broken))
}

// One sick node is never a verdict: neither while it is the first whose report has come, nor by several lives of it.
func TestOneNodeIsNoVerdict(t *testing.T) {
	s := NewState()
	e := startEntry(order(5000), 0, "")
	_, err := s.Apply(e)
	must.NoError(t, err)
	d := NewCoordinator(2, 0)
	d.SetNodes(12)
	d.Fold(s)
	now := time.Duration(0)
	sick := func(id NodeID, life uint64) (pulled bool) {
		node := NewNode("a", life, now)
		node.Fold(s)
		node.Touch(true)
		for end := now + 3*time.Second; now < end; now += tick {
			for i := range 20 {
				node.Ended("libro", 1, End{Side: Side(i % 2), Backend: uint64(1 + i%6), Cause: Cause(i % 2)})
			}
			node.Now(now)
			for a, ok := node.Next(); ok; a, ok = node.Next() {
				if tell, is := a.(Tell); is {
					must.NoError(t, d.Heard(id, tell.Report))
				}
			}
			d.Now(now)
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				p, is := a.(Propose)
				pulled = pulled || is && p.Entry.Verb == PullBack
			}
		}
		return pulled
	}
	must.False(t, sick(3, 1))
	must.False(t, sick(3, 2))
	must.True(t, sick(4, 3)) // and a second node is one
}
