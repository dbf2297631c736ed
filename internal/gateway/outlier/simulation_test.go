package outlier

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/routing"
)

const (
	tick = 50 * time.Millisecond
	ms   = time.Millisecond
	long = time.Hour // never, in these plays
)

// trade is a service of the simulated site.
type trade struct {
	name          string
	backs         int
	writes, reads float64 // a second, over all nodes
	work          time.Duration
	deadline      time.Duration
	all           []*simBack
}

// fault is what a backend does to a request, beside answering it: None for nothing.
type fault func(w *world, node *simNode, m Mode) (kind EvidenceKind, slower float64)

type simBack struct {
	Backend
	trade *trade
	fault fault
	from  time.Duration // the fault's
	to    time.Duration // and its end; 0: never
	dead  bool
	speed float64
	first time.Duration // first evidence that a node saw
	ever  bool          // has a fault of its own
	reqs  []*request    // under way
}

type request struct {
	node *simNode
	back *simBack
	key  Key
	rev  uint64
	sent time.Duration
	seen AttemptEnd
	also EvidenceKind // seen a moment later
	done bool
}

type simNode struct {
	*Node
	slot    Slot
	zone    int
	state   *State
	at      int                   // entries applied
	due     map[int]time.Duration // when an entry comes
	bind    map[Key]SetAccess
	out     map[Key]int // under way
	sentAt  map[Key]time.Duration
	liar    func(d *simNode) *Report
	refused int
}

// world is a site of nodes in three zones, its backends, the core's log and the links between them.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	trades []*trade
	backs  []*simBack
	nodes  []*simNode
	duty   *Coordinator
	dutyAt int // its node
	log    []Entry
	logAt  []time.Duration
	state  *State
	later  map[time.Duration][]func()
	cuts   []cut
	base   float64 // share of 5xx that all backends have
	nr     int

	met             map[EvidenceKind]int // requests that met a fault
	verdicts, wrong int
	firstTo, lastTo []time.Duration // first evidence to the entry, and the entry to the last node in touch
	told            int
	worst           float64       // share of the patient that is shut, against the bound
	shutWrong       time.Duration // healthy backends shut by verdicts, times how long, of all nodes' time
	ownWrong        time.Duration // and by nodes' own holds
	bad             map[InstanceID]bool
	most            int // cases that a liar has out alone
}

// cut takes a zone or a node from all others for a while.
type cut struct {
	zone, node int // -1: any
	from, to   time.Duration
}

func site() []*trade {
	return []*trade{
		{"libro", 48, 560, 0, 160 * ms, 2 * time.Second, nil},
		{"catalogo", 64, 80, 900, 120 * ms, 1500 * ms, nil},
		{"archivo", 32, 0, 300, 300 * ms, 3 * time.Second, nil},
	}
}

func small() []*trade {
	return []*trade{
		{"libro", 6, 69, 0, 160 * ms, 2 * time.Second, nil},
		{"catalogo", 13, 10, 217, 120 * ms, 1500 * ms, nil},
		{"archivo", 9, 0, 61, 300 * ms, 3 * time.Second, nil},
	}
}

func newWorld(seed int64, nodes int, trades []*trade) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), trades: trades, state: NewState(),
		later: map[time.Duration][]func(){}, met: map[EvidenceKind]int{}, bad: map[InstanceID]bool{}}
	for i := range nodes {
		w.nodes = append(w.nodes, &simNode{Node: NewNode(zone(i%3), uint64(seed)*1000+uint64(i), 0), slot: Slot(i), zone: i % 3,
			state: NewState(), due: map[int]time.Duration{}, bind: map[Key]SetAccess{}, out: map[Key]int{},
			sentAt: map[Key]time.Duration{}})
		w.nodes[i].SetNodeCount(nodes)
		w.nodes[i].SetConnected(true)
	}
	w.newDuty(1, 0)
	for _, t := range trades {
		for i := range t.backs {
			w.start(t, i%3)
		}
	}
	w.append(Entry{Verb: SetSettings, Settings: &Settings{Enabled: true}})
	return w
}

func zone(i int) string { return fmt.Sprint("zone-", i) }

func (w *world) start(t *trade, z int) *simBack {
	w.nr++
	b := &simBack{Backend: Backend{ID: InstanceID(fmt.Sprintf("i-%03d", w.nr)), Service: t.name, Zone: zone(z)}, trade: t,
		speed: math.Exp(0.15 * w.rng.NormFloat64()), from: long, first: long}
	w.backs, t.all = append(w.backs, b), append(t.all, b)
	w.tell(b)
	return b
}

func (w *world) tell(b *simBack) {
	for i, d := range w.nodes {
		l := b.Backend
		l.Owned = i == w.nr*7919%len(w.nodes)
		d.SetBackend(l)
	}
	w.duty.SetBackend(b.Backend)
}

func (w *world) newDuty(fence uint64, at int) {
	w.duty, w.dutyAt = NewCoordinator(fence, w.now), at
	w.duty.SetNodeCount(len(w.nodes))
	for _, b := range w.backs {
		if b.Phase == Ready {
			w.duty.SetBackend(b.Backend)
		}
	}
	w.duty.ApplyState(w.state, nil)
}

// apart tells whether two places hear each other, and until when they do not.
func (w *world) apart(nodeA, zoneA, nodeB, zoneB int) (until time.Duration) {
	for _, c := range w.cuts {
		if w.now < c.from || w.now >= c.to {
			continue
		}
		in := func(node, zone int) bool { return node == c.node && node >= 0 || zone == c.zone && c.zone >= 0 }
		if in(nodeA, zoneA) != in(nodeB, zoneB) {
			until = max(until, c.to)
		}
	}
	return until
}

func (w *world) after(in time.Duration, f func()) {
	at := (w.now + max(in, tick)).Truncate(tick)
	w.later[at] = append(w.later[at], f)
}

// append puts an entry into the log, if the state takes it; each node has it a little later, in order.
func (w *world) append(e Entry) {
	was := w.state.Ejection(e.Key)
	if v, _ := w.state.Apply(&e); v != routing.Accepted {
		return
	}
	w.log, w.logAt = append(w.log, e), append(w.logAt, w.now)
	w.duty.ApplyState(w.state, &e)
	if e.Verb == Eject {
		w.verdicts++
		for _, b := range w.backs {
			if b.ID != e.Key.ID {
				continue
			}
			if !b.ever && !b.dead {
				w.wrong++
				w.bad[b.ID] = true
			}
			if b.first < w.now && was == nil {
				w.firstTo = append(w.firstTo, w.now-b.first)
			}
		}
	}
	for _, d := range w.nodes {
		d.due[len(w.log)-1] = w.now + 20*ms + time.Duration(w.rng.Intn(100))*ms
	}
}

func (w *world) feed(d *simNode) {
	touch := w.apart(int(d.slot), d.zone, w.dutyAt, w.dutyAt%3) == 0
	if d.SetConnected(touch); !touch {
		return
	}
	for d.at < len(w.log) && d.due[d.at] <= w.now {
		if _, err := d.state.Apply(&w.log[d.at]); err != nil {
			panic(err)
		}
		delete(d.due, d.at)
		if d.at++; w.log[d.at-1].Verb == Eject {
			if late := w.now - w.logAt[d.at-1]; late < time.Second {
				w.lastTo = append(w.lastTo, late)
			}
		}
		d.ApplyState(d.state, &w.log[d.at-1])
	}
}

// play goes on for a time.
func (w *world) play(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *world) step() {
	w.now += tick
	for _, f := range w.later[w.now] {
		f()
	}
	delete(w.later, w.now)
	for _, t := range w.trades {
		w.ask(t, Strict, t.writes)
		w.ask(t, Patient, t.reads)
	}
	for _, d := range w.nodes {
		w.feed(d)
		if w.now%(2*tick) == 0 || len(d.delayed) > 0 {
			d.Tick(w.now)
		}
		w.pull(d)
		w.check(d)
	}
	w.duty.Tick(w.now)
	for a, ok := w.duty.Next(); ok; a, ok = w.duty.Next() {
		switch a := a.(type) {
		case Propose:
			if w.core() {
				w.after(tick, func() { w.append(a.Entry) })
			}
		case BroadcastRequest:
			for _, d := range w.nodes {
				if w.apart(int(d.slot), d.zone, w.dutyAt, w.dutyAt%3) == 0 && w.rng.Intn(50) > 0 {
					w.after(tick, func() { d.HandleRequest(a.Request) })
				}
			}
		}
	}
}

// core tells whether the duty's node is with the majority: two zones of three.
func (w *world) core() bool {
	for _, c := range w.cuts {
		if w.now >= c.from && w.now < c.to && (c.zone == w.dutyAt%3 || c.node == w.dutyAt) {
			return false
		}
	}
	return true
}

func (w *world) pull(d *simNode) {
	for a, ok := d.Next(); ok; a, ok = d.Next() {
		switch a := a.(type) {
		case SendReport:
			r := a.Report
			if d.liar != nil {
				continue
			}
			w.send(d, r)
		case SetAccess:
			d.bind[a.Key] = a
		case Probe:
			for _, b := range w.backs {
				if b.ID == a.ID && !b.dead && w.apart(int(d.slot), d.zone, -1, zoneOf(b)) == 0 {
					w.after(2*tick, func() { d.HandleProbe(b.ID, b.ID, true) }) // it lies: always well
				}
			}
		}
	}
	if d.liar != nil {
		if r := d.liar(d); r != nil {
			w.send(d, *r)
		}
	}
}

func zoneOf(b *simBack) int { return int(b.Zone[len(b.Zone)-1] - '0') }

// send takes a report to the duty; one of fifty is lost, one of fifty comes twice.
func (w *world) send(d *simNode, r Report) {
	w.told++
	n := 1
	switch w.rng.Intn(50) {
	case 0:
		n = 0
	case 1:
		n = 2
	}
	for range n {
		w.after(time.Duration(w.rng.Intn(60))*ms, func() {
			if w.apart(int(d.slot), d.zone, w.dutyAt, w.dutyAt%3) == 0 {
				w.duty.HandleReport(d.slot, r)
			}
		})
	}
}

// ask sends a tick's requests of one manner.
func (w *world) ask(t *trade, m Mode, rate float64) {
	for n := rate * tick.Seconds(); n > 0; n-- {
		if n < 1 && w.rng.Float64() > n {
			break
		}
		d := w.nodes[w.rng.Intn(len(w.nodes))]
		if b := w.pick(d, t, m); b != nil {
			w.request(d, b, m)
		} else {
			d.refused++
		}
	}
}

// pick chooses one in the node's zone, else any, as its binds let it.
func (w *world) pick(d *simNode, t *trade, m Mode) *simBack {
	var near, far []*simBack
	for _, b := range t.all {
		k := Key{b.ID, m}
		if b.Phase != Ready {
			continue
		}
		switch x := d.bind[k]; {
		case x.Access == Closed, x.Access == Limited && (d.out[k] > 0 || w.now-d.sentAt[k] < x.Interval):
		case zoneOf(b) == d.zone:
			near = append(near, b)
		default:
			far = append(far, b)
		}
	}
	if len(near) == 0 || w.rng.Intn(10) == 0 && len(far) > 0 { // some cross anyway
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.Intn(len(near))]
}

func (w *world) request(d *simNode, b *simBack, m Mode) {
	t := b.trade
	x := &request{node: d, back: b, key: Key{b.ID, m}, rev: d.Revision(Key{b.ID, m}), sent: w.now, seen: AttemptEnd{Ending: control.Succeeded}}
	d.out[x.key]++
	d.sentAt[x.key] = w.now
	kind, slower := NoEvidence, 1.0
	if b.fault != nil && w.now >= b.from {
		kind, slower = b.fault(w, d, m)
	}
	if kind == NoEvidence && w.rng.Float64() < w.base {
		kind = ServerError
	}
	took := time.Duration(float64(t.work) * b.speed * slower * math.Exp(0.4*w.rng.NormFloat64()))
	if b.to > 0 { // it goes on at its usual pace then
		took = min(took, b.to-w.now+time.Duration(float64(took)/slower))
	}
	if until := w.apart(int(d.slot), d.zone, -1, zoneOf(b)); until > 0 {
		took += until - w.now + time.Duration(200+w.rng.Intn(800))*ms
	}
	for _, c := range w.cuts { // one that begins on its way
		in := func(node, zone int) bool { return c.node >= 0 && node == c.node || c.zone >= 0 && zone == c.zone }
		if c.from > w.now && c.from < w.now+took && in(int(d.slot), d.zone) != in(-1, zoneOf(b)) {
			took += c.to - c.from + time.Duration(200+w.rng.Intn(800))*ms
		}
	}
	switch kind {
	case LostAnswer:
		took = long
	case ServerError:
		x.seen.Ending = control.Errored
	case MalformedAnswer:
		x.seen = AttemptEnd{Ending: control.Errored, Malformed: true}
	case ConnectionReset:
		x.seen = AttemptEnd{Ending: control.ConnectionLost, PartialAnswer: true}
	case DuplicateAnswer, StrayAnswer:
		x.also = kind
	}
	if kind != NoEvidence {
		w.met[kind]++
	}
	if took > t.deadline {
		took, x.seen = t.deadline, AttemptEnd{Ending: control.TimedOut}
	}
	if b.dead {
		x.seen = AttemptEnd{Ending: control.Unreachable}
		took = tick
	}
	b.reqs = append(slices.DeleteFunc(b.reqs, func(r *request) bool { return r.done }), x)
	w.after(took, func() { w.end(x) })
}

func (w *world) end(x *request) {
	if x.done {
		return
	}
	x.done = true
	d := x.node
	d.out[x.key]--
	if k := x.seen.Evidence(); k > CleanAnswer && x.back.first == long && w.now > x.back.from {
		x.back.first = w.now
	}
	d.Node.now = w.now
	d.RecordAttempt(x.key, x.rev, x.sent, x.seen)
	if x.also != NoEvidence {
		w.after(2*tick, func() {
			if x.back.first == long {
				x.back.first = w.now
			}
			d.RecordEvidence(x.key, x.rev, x.also)
		})
	}
	w.pull(d)
}

// check holds every node against the floor, at every moment.
func (w *world) check(d *simNode) {
	if w.now%(10*tick) != 0 {
		return
	}
	for _, t := range w.trades {
		ready, open := 0, 0
		for _, b := range t.all {
			if b.Phase != Ready {
				continue
			}
			ready++
			if d.bind[Key{b.ID, Patient}].Access == Open {
				open++
			}
			if x := d.bind[Key{b.ID, Strict}]; x.Access == Closed && !b.ever && !b.dead {
				if x.Local {
					w.ownWrong += 10 * tick / time.Duration(len(w.nodes))
				} else {
					w.shutWrong += 10 * tick / time.Duration(len(w.nodes))
				}
			}
		}
		floor := d.state.Settings().minInService(ready)
		if open < floor {
			panic(fmt.Sprintf("node %d has %d of %d open, floor %d", d.slot, open, ready, floor))
		}
		w.worst = max(w.worst, float64(ready-open)/float64(max(ready-floor, 1)))
	}
}

// sick makes some of a service's backends do a thing to a share of a manner's requests, from callers of a zone (-1: any).
func (w *world) sick(service string, part float64, m Mode, kind EvidenceKind, share float64, caller int) {
	var all []*simBack
	for _, b := range w.backs {
		if b.Service == service {
			all = append(all, b)
		}
	}
	for _, b := range all[:int(part*float64(len(all)))] {
		b.from, b.ever = 5*time.Second+time.Duration(w.rng.Intn(2000))*ms, caller < 0
		b.fault = func(w *world, d *simNode, is Mode) (EvidenceKind, float64) {
			if is == m && w.rng.Float64() < share && (caller < 0 || caller == d.zone && caller != zoneOf(b)) {
				return kind, 1
			}
			return NoEvidence, 1
		}
	}
}

// breaks ends what is under way at a backend, or from a node, by a reset.
func (w *world) breaks(is func(x *request) bool) {
	for _, b := range w.backs {
		for _, x := range slices.Clone(b.reqs) {
			if !x.done && is(x) {
				x.seen, x.also = AttemptEnd{Ending: control.ConnectionLost}, NoEvidence
				w.end(x)
			}
		}
	}
}

// crash ends a backend without a word; its registrar tells of it 3 s later, another begins after 5.
func (w *world) crash(b *simBack) {
	if b.dead || b.Phase != Ready {
		return
	}
	b.dead = true
	if w.rng.Intn(2) == 0 {
		w.breaks(func(x *request) bool { return x.back == b })
	}
	w.after(3*time.Second, func() { w.phase(b, Gone) })
	w.after(5*time.Second, func() { w.start(b.trade, zoneOf(b)) })
}

func (w *world) phase(b *simBack, p Phase) {
	b.Phase = p
	if p == Gone {
		b.trade.all = slices.DeleteFunc(b.trade.all, func(o *simBack) bool { return o == b })
	}
	w.tell(b)
}

// usual are the troubles of the sites: none of them is a sick backend.
func (w *world) usual(every time.Duration) {
	w.base = 0.01
	any := func() *simBack {
		t := w.trades[w.rng.Intn(len(w.trades))]
		return t.all[w.rng.Intn(len(t.all))]
	}
	cutFor := func(c cut, from time.Duration) {
		c.from, c.to = from, from+time.Duration(1000+w.rng.Intn(7000))*ms
		w.cuts = append(w.cuts, c)
		if c.zone == w.dutyAt%3 || c.node == w.dutyAt { // who follows is on the other side
			w.after(c.from-w.now+1500*ms, func() { w.newDuty(w.duty.fencingToken+1, (w.dutyAt+1)%len(w.nodes)) })
		}
	}
	for at := every; at < long/20; at += time.Duration((0.5 + w.rng.Float64()) * float64(every)) {
		what := w.rng.Intn(7)
		w.after(at, func() {
			switch what {
			case 0:
				w.crash(any())
			case 1: // many at once
				for range 4 {
					w.crash(any())
				}
			case 2:
				cutFor(cut{zone: w.rng.Intn(3), node: -1}, w.now+time.Second)
			case 3:
				cutFor(cut{zone: -1, node: w.rng.Intn(len(w.nodes))}, w.now+time.Second)
			case 4: // all connections of a node
				d := w.nodes[w.rng.Intn(len(w.nodes))]
				w.breaks(func(x *request) bool { return x.node == d })
			case 5: // slow for ten seconds
				b, times := any(), []float64{3, 10, 100}[w.rng.Intn(3)]
				b.from, b.to = w.now, w.now+10*time.Second
				b.fault = func(*world, *simNode, Mode) (EvidenceKind, float64) { return NoEvidence, times }
				w.after(10*time.Second, func() { b.fault, b.to = nil, 0 })
			case 6:
				if b := any(); b.Phase == Ready && !b.dead {
					w.phase(b, Draining)
					w.after(2*time.Second, func() { w.phase(b, Gone) })
					w.start(b.trade, zoneOf(b))
				}
			}
		})
	}
}

// agree: once nothing is cut, all nodes have come to the same, whatever they heard in between.
func (w *world) agree() {
	w.cuts = nil
	for _, d := range w.nodes {
		d.due = map[int]time.Duration{}
		w.feed(d)
		w.pull(d)
		if !bytes.Equal(w.state.Snapshot(), d.state.Snapshot()) {
			panic(fmt.Sprint("node ", d.slot, " has another state"))
		}
		for k, b := range d.bind {
			if o := w.nodes[0].bind[k]; !b.Local && !o.Local && b.Access != o.Access {
				panic(fmt.Sprintf("nodes %d and 0 bind %v otherwise", d.slot, k))
			}
		}
	}
}

// plays runs seeds on three cores.
func plays(n int, play func(seed int64) *world, each func(w *world)) {
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan int64)
	for range 3 {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed := range next {
				w := play(seed)
				mu.Lock()
				each(w)
				mu.Unlock()
			}
		}()
	}
	for seed := range int64(n) {
		next <- seed
	}
	close(next)
	all.Wait()
}

// seeds are more where OUTLIER_SEEDS says so.
func seeds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("OUTLIER_SEEDS")); err == nil {
		return n
	}
	return usual
}

// The usual troubles, one every five seconds, are no verdicts; what is shut wrongly is counted.
func TestUsualTroubles(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		nodes  int
		trades func() []*trade
		n      int
	}{{12, small, seeds(24)}, {96, site, seeds(6)}} {
		wrong, verdicts, worst, played, own, told := 0, 0, 0.0, time.Duration(0), time.Duration(0), 0
		plays(c.n, func(seed int64) *world {
			w := newWorld(seed, c.nodes, c.trades())
			w.usual(5 * time.Second)
			w.play(60 * time.Second)
			w.agree()
			return w
		}, func(w *world) {
			wrong, verdicts, worst, played = wrong+w.wrong, verdicts+w.verdicts, max(worst, w.worst), played+w.now
			own, told = own+w.ownWrong, told+w.told
			for _, p := range w.state.History() {
				if p.Verb == Eject && w.bad[p.Key.ID] {
					t.Log(p.Key, p.Reason, p.Witnesses)
				}
			}
		})
		t.Logf("%d nodes: %d seeds, %v: %d wrong of %d verdicts; patient: %.2f of its bound shut; held off by single nodes: %v; %.1f reports/s",
			c.nodes, c.n, played, wrong, verdicts, worst, own.Round(ms), float64(told)/played.Seconds())
		must.LessEq(t, 1+int(played.Hours()/10), wrong)
	}
}

// lies says of forty backends whatever may convict, bears out what others say, and says that all else is well.
func (w *world) lies(d *simNode) *Report {
	if w.now%(4*tick) != 0 || w.now < 5*time.Second {
		return nil
	}
	d.seq++
	r := &Report{Zone: zone(w.rng.Intn(3)), Incarnation: 1, Seq: d.seq}
	var late []Window
	for range maxReportedSlots {
		late = append(late, Window{Clean: 50, LatencyMillis: 500})
	}
	for _, i := range w.rng.Perm(len(w.backs))[:min(40, len(w.backs))] {
		for m := range modeCount {
			f := Observation{Key: Key{w.backs[i].ID, m}, Window: Window{0, 1000, 0}, ServiceWindow: Window{1 << 20, 0, 0}, Slots: late,
				Totals: Totals{Failing: 1 << 20}}
			f.Rev = d.state.revision(f.Key)
			for k := ServerError; k < evidenceKinds; k++ {
				f.Evidence = append(f.Evidence, Evidence{k, 0, 2 * time.Second})
			}
			r.Observations = append(r.Observations, f)
		}
	}
	return r
}

// A node that sees nonsense on purpose has out what its bound says at every moment, and less with each refuted verdict.
func TestOneLyingNode(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		nodes    int
		trades   func() []*trade
		troubles bool
		n        int
	}{{96, site, false, seeds(1)}, {12, small, false, seeds(6)}, {12, small, true, seeds(6)}} {
		most, verdicts, shut, by, others := 0, 0, time.Duration(0), time.Duration(0), 0
		plays(c.n, func(seed int64) *world {
			w := newWorld(seed, c.nodes, c.trades())
			if c.troubles {
				w.usual(5 * time.Second)
			}
			w.base = 0.004
			liar := w.nodes[1]
			liar.liar = w.lies
			for w.now < 90*time.Second {
				w.step()
				n, of := 0, map[string]int{}
				for _, x := range w.state.Ejections() {
					if x.Step != InService && x.SoleWitness == liar.slot {
						n++
						of[x.Service+x.Mode.String()]++
					} else if x.Step != InService && !c.troubles {
						panic(fmt.Sprintf("%v is out by more than the liar", x))
					}
				}
				w.most = max(w.most, n)
				for _, x := range w.trades {
					for m := range modeCount {
						a, all := w.state.Settings().soleWitnessLimits(len(x.all), 0)
						if k := of[x.name+m.String()]; k > a && !c.troubles || n > all {
							panic(fmt.Sprintf("node %d alone has %d of %s out, %d in all", liar.slot, k, x.name, n))
						}
					}
				}
			}
			return w
		}, func(w *world) {
			most, verdicts, shut, by = max(most, w.most), verdicts+w.verdicts, shut+w.shutWrong, by+w.now
			for _, p := range w.state.History() {
				if p.Verb == Eject && len(p.Witnesses) > 1 && w.bad[p.Key.ID] {
					others++
				}
			}
		})
		t.Logf("%d nodes, troubles %v: %d seeds, %v: at most %d out at once, %d verdicts (%d by more than the liar), shut for writes %v",
			c.nodes, c.troubles, c.n, by, most, verdicts, others, shut.Round(time.Second))
	}
}

func median(d []time.Duration) (mid, worst time.Duration) {
	if len(d) == 0 {
		return 0, 0
	}
	slices.Sort(d)
	return d[len(d)/2], d[len(d)-1]
}

// From the first evidence of a backend to its verdict, and to the last node in touch; what is no verdict.
func TestHowSoon(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		nodes   int
		trades  func() []*trade
		service string
		part    float64
		manner  Mode
		kind    EvidenceKind
		share   float64
		caller  int           // of this zone only, at backends elsewhere; -1: any
		most    time.Duration // stated, for the median; 0: no verdict
	}{
		{"one answer in forty lost", 12, small, "libro", 0.5, Strict, LostAnswer, 1. / 40, -1, 15 * time.Second},
		{"one answer in forty lost", 96, site, "libro", 0.5, Strict, LostAnswer, 1. / 40, -1, 15 * time.Second},
		{"one in forty answered twice", 12, small, "libro", 0.5, Strict, DuplicateAnswer, 1. / 40, -1, 300 * ms},
		{"one in forty answered twice", 96, site, "libro", 0.5, Strict, DuplicateAnswer, 1. / 40, -1, 300 * ms},
		{"all within two seconds, no seal", 12, small, "libro", 1, Strict, MalformedAnswer, 1, -1, time.Second},
		{"one in five fails by 5xx", 12, small, "libro", 0.5, Strict, ServerError, 0.2, -1, 15 * time.Second},
		{"one in five fails by 5xx", 96, site, "libro", 0.5, Strict, ServerError, 0.2, -1, 20 * time.Second},
		{"nine reads in ten without a seal", 96, site, "catalogo", 0.5, Patient, MalformedAnswer, 0.9, -1, 15 * time.Second},
		{"one in ten lost, from one zone", 12, small, "libro", 1, Strict, LostAnswer, 0.1, 2, 0},
		{"one in ten lost, from one zone", 96, site, "libro", 1, Strict, LostAnswer, 0.1, 2, 0},
		{"all fail by 5xx alike", 12, small, "libro", 1, Strict, ServerError, 0.5, -1, 0},
	} {
		var first, last []time.Duration
		met, verdicts, sick, refused := 0, 0, 0, 0
		n := max(1, seeds(36/c.nodes))
		plays(n, func(seed int64) *world {
			w := newWorld(seed, c.nodes, c.trades())
			w.base = 0.004
			w.sick(c.service, c.part, c.manner, c.kind, c.share, c.caller)
			w.play(45 * time.Second)
			return w
		}, func(w *world) {
			first, last = append(first, w.firstTo...), append(last, w.lastTo...)
			met, verdicts, sick = met+w.met[c.kind], verdicts+w.verdicts, sick+len(w.state.Ejections())
			for _, d := range w.nodes {
				refused += d.refused
			}
			must.Eq(t, 0, w.wrong)
		})
		mid, worst := median(first)
		mid2, worst2 := median(last)
		t.Logf("%-32s | %2d nodes | %v, %v | %v, %v | met %d | %d verdicts on %d | refused %d", c.name, c.nodes, mid, worst, mid2,
			worst2, met/n, verdicts, sick, refused)
		must.True(t, mid <= c.most && (verdicts > 0) == (c.most > 0), must.Sprint(c.name))
	}
}
