package membership

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// event is one input to a roster.
type event func(*Roster)

// interleave tries all orders of several sequences, each of which keeps its own.
func interleave(seqs [][]event, try func([]event)) {
	var order []event
	var step func()
	step = func() {
		done := true
		for i, s := range seqs {
			if len(s) == 0 {
				continue
			}
			done = false
			order, seqs[i] = append(order, s[0]), s[1:]
			step()
			order, seqs[i] = order[:len(order)-1], s
		}
		if done {
			try(order)
		}
	}
	step()
}

func drain(r *Roster) (all []Action) {
	for a, ok := r.Next(); ok; a, ok = r.Next() {
		all = append(all, a)
	}
	return all
}

func count(all []Action, v ActionKind, addr string) (n int) {
	for _, a := range all {
		if a.Kind == v && a.Addr == addr {
			n++
		}
	}
	return n
}

// A link comes and goes by itself, and the other node's hellos come on another: whatever the order between nodes, and between a node's
// hellos and the link to it, the same nodes are live in the end.
func TestEventOrdersConverge(t *testing.T) {
	hello := func(a string, disk DiskID, life uint64, known ...string) event {
		return func(r *Roster) {
			r.HandleHello(a, Hello{Node: Node{Name: a, Addr: "elsewhere", Disk: disk, Incarnation: life}, KnownAddrs: known})
		}
	}
	up := func(a string) event { return func(r *Roster) { r.LinkUp(a) } }
	down := func(a string) event { return func(r *Roster) { r.LinkDown(a) } }
	tries := 0
	interleave([][]event{{hello("a", 1, 1, "b", "x"), up("a")}, {down("b"), up("b")},
		{hello("b", 2, 1), hello("b", 3, 2)}, {up("d"), down("d")}, {hello("d", 4, 1)}}, func(order []event) {
		r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"me", "a", "b", "d"}, ToleratedLosses: 1}, 0)
		var did []Action
		for _, e := range order {
			e(r)
			did = append(did, drain(r)...)
		}
		tries++
		must.True(t, slices.Equal([]Node{{Addr: "me", Disk: 9}, {Name: "a", Addr: "a", Disk: 1, Incarnation: 1},
			{Name: "b", Addr: "b", Disk: 3, Incarnation: 2}}, r.LiveDiskNodes())) // those that are live
		must.True(t, slices.Equal([]string{"a", "b", "d", "x"}, r.Addrs()))
		must.Eq(t, "1 1 1", fmt.Sprint(count(did, Connect, "x"), count(did, SendHello, "a"), count(did, SendHello, "b")))
	})
	must.Eq(t, 22680, tries)
}

// simNode is a node in a small world of nodes that send hellos, bootstrap, stop and come back.
type simNode struct {
	*Roster
	stopped  bool
	linkUp   map[string]bool
	founders []Founder // what its disk holds: those of the first bootstrap that it was sent
}

type world struct {
	now            time.Duration
	config         Config
	nodes          map[string]*simNode
	names          []string
	connected      func(a, b string) bool     // they reach each other now
	dropsBootstrap func(from, to string) bool // a Bootstrap is lost
	proposals      map[string]bool            // all lists of founders that were sent
	bootstrappers  []string                   // who chose founders, in order
}

func clusterIDOf(list []Founder) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, list)
	return h.Sum64() | 1
}

func newWorld(seeds string, disks ...string) *world {
	w := &world{config: Config{strings.Split(seeds, ""), 1, clusterIDOf}, nodes: map[string]*simNode{}, proposals: map[string]bool{},
		connected: func(string, string) bool { return true }, dropsBootstrap: func(string, string) bool { return false }}
	for i, n := range disks {
		w.start(n, DiskID(i+1), true)
	}
	return w
}

// start begins an incarnation of a node; its disk keeps what it took.
func (w *world) start(name string, disk DiskID, first bool) *simNode {
	a := w.nodes[name]
	if a == nil {
		a = &simNode{}
		w.nodes[name] = a
		w.names = append(w.names, name)
	}
	me := Node{Name: name, Addr: name, Disk: disk, FirstStart: first, Incarnation: uint64(w.now) + 1, Bootstrapped: a.founders != nil}
	if a.founders != nil {
		me.ClusterID = clusterIDOf(a.founders)
	}
	a.Roster, a.stopped, a.linkUp = New(me, w.config, w.now), false, map[string]bool{}
	return a
}

func (w *world) reachable(a, b string) bool {
	x := w.nodes[b]
	return x != nil && !x.stopped && !w.nodes[a].stopped && w.connected(a, b)
}

// step lets a fifth of a second pass.
func (w *world) step() {
	w.now += 200 * ms
	for _, n := range w.names {
		a := w.nodes[n]
		if a.stopped {
			continue
		}
		a.Tick(w.now)
		for _, to := range a.Addrs() {
			if is := w.reachable(n, to); is != a.linkUp[to] {
				if a.linkUp[to] = is; is {
					a.LinkUp(to)
				} else {
					a.LinkDown(to)
				}
			}
			if w.reachable(to, n) && w.nodes[to].linkUp[n] && slices.Contains(w.nodes[to].HeartbeatTargets(), n) {
				a.FrameReceived(to)
			}
		}
	}
	for again := true; again; {
		again = false
		for _, n := range w.names {
			a := w.nodes[n]
			for _, do := range drain(a.Roster) {
				if again = true; do.Kind == Bootstrap {
					w.deliverBootstrap(n, do)
				}
				if do.Kind == SendHello && w.reachable(n, do.Addr) {
					w.nodes[do.Addr].HandleHello(n, a.HelloTo(do.Addr))
				}
			}
		}
	}
}

func (w *world) deliverBootstrap(from string, do Action) {
	if list := fmt.Sprint(do.Founders); !w.proposals[list] {
		w.proposals[list], w.bootstrappers = true, append(w.bootstrappers, from)
	}
	to := w.nodes[do.Addr]
	if from != do.Addr && (!w.reachable(from, do.Addr) || w.dropsBootstrap(from, do.Addr)) || to.founders != nil {
		return
	}
	if me := (Founder{to.Self().Disk, do.Addr}); slices.Contains(do.Founders, me) {
		to.founders = do.Founders
		to.SetCluster(me.Disk, clusterIDOf(do.Founders))
	}
}

func (w *world) stop(names ...string) {
	for _, n := range names {
		w.nodes[n].stopped = true
	}
}

func (w *world) until(t time.Duration) *world {
	for w.now < t {
		w.step()
	}
	return w
}

// majorities counts the lists of founders that a majority of them holds.
func (w *world) majorities() (n int) {
	holds := map[string]int{}
	for _, a := range w.nodes {
		if a.founders != nil {
			list := fmt.Sprint(a.founders)
			if holds[list]++; holds[list] == len(a.founders)/2+1 {
				n++
			}
		}
	}
	return n
}

// Three nodes with disks and one without meet: the first seed bootstraps the core, once, with all of them, and sends it again where it was
// lost.
func TestFirstSeedBootstraps(t *testing.T) {
	w := newWorld("abc", "a", "b", "c")
	w.start("d", 0, true)
	lost := 0
	w.dropsBootstrap = func(_, to string) bool { lost++; return to == "c" && lost < 4 }
	w.until(400 * ms)
	must.MapEmpty(t, w.proposals)
	w.until(2 * time.Second)
	must.Eq(t, []string{"a"}, w.bootstrappers)
	all := []Founder{{1, "a"}, {2, "b"}, {3, "c"}}
	must.Eq(t, all, w.nodes["b"].founders)
	must.SliceEmpty(t, w.nodes["c"].founders)
	w.until(8 * time.Second)
	must.Eq(t, all, w.nodes["c"].founders)
	must.SliceEmpty(t, w.nodes["d"].founders)
	must.Eq(t, []string{"a"}, w.bootstrappers)
	sent := lost
	w.until(20 * time.Second) // all have it: nothing is sent again
	must.Eq(t, sent, lost)
}

// The next seed bootstraps only where the one before was never there, is gone, or has run before; and nobody does where a node that was met
// holds a state.
func TestBootstrapTurns(t *testing.T) {
	for _, c := range []struct {
		name  string
		seeds string
		do    func(w *world)
		by    string // who chose founders
		size  int    // of the list
	}{
		{"the first is never there", "abc", func(w *world) { w.stop("a") }, "b", 2},
		{"the first dies early", "abc", func(w *world) { w.until(200 * ms).stop("a") }, "b", 3},
		{"it comes back with a new life", "abc", func(w *world) {
			w.until(200 * ms).stop("a")
			w.until(1000*ms).start("a", 1, false)
		}, "b", 3},
		{"it comes back late, while it is waited for", "abc", func(w *world) {
			w.stop("a")
			w.until(2200*ms).start("a", 1, true)
		}, "a", 3},
		{"it comes back with a state", "abc", func(w *world) {
			w.until(200 * ms).stop("a")
			w.nodes["a"].founders = []Founder{{1, "a"}}
			w.until(1000*ms).start("a", 1, false)
		}, "", 0},
		{"another holds a state", "abc", func(w *world) {
			w.nodes["c"].founders = []Founder{{3, "c"}}
			w.start("c", 3, false)
		}, "", 0},
		{"two are never there", "abc", func(w *world) { w.stop("a", "b") }, "", 0},
		{"no seed has a disk to found with", "def", func(w *world) {
			for _, n := range []string{"d", "e", "f"} {
				w.start(n, 0, true)
			}
			w.stop("d", "c")
		}, "e", 2},
		{"a seed without a disk hears two that do not hear each other", "abf", func(w *world) {
			w.start("f", 0, true)
			w.start("d", 4, true)
			w.connected = func(a, b string) bool { return strings.Contains("af fa bf fb ad da bc cb", a+b) }
		}, "a", 2},
		{"all were killed before a word of it was on disk", "abc", func(w *world) {
			for nr, n := range []string{"a", "b", "c"} {
				w.start(n, DiskID(nr+1), false)
			}
		}, "a", 3},
		{"all but one, and that was wiped as well", "abc", func(w *world) {
			w.stop("a", "b")
			w.start("c", 9, false)
		}, "", 0},
		{"one seed, and it is alone", "a", func(w *world) { w.connected = func(_, _ string) bool { return false } }, "a", 1},
		{"all seeds are the same", "bbb", func(*world) {}, "b", 3},
	} {
		w := newWorld(c.seeds, "a", "b", "c")
		c.do(w)
		w.until(12 * time.Second)
		by := strings.Join(w.bootstrappers, "")
		must.Eq(t, c.by, by, must.Sprint(c.name))
		for list := range w.proposals {
			must.Eq(t, c.size, strings.Count(list, "{"), must.Sprint(c.name))
		}
	}
}

// However three seeds and another node with a disk come to reach each other, whichever messages of a bootstrap are lost, and whether or not
// the first seed stops on the way: no two clusters have a majority; one has once all reach each other, unless the first seed alone wrote
// its founders down and stopped.
func TestPartitionsBootstrapOneCluster(t *testing.T) {
	const far = time.Hour
	at := []time.Duration{0, 1600 * ms, 6 * time.Second, far} // when two of the seeds first reach each other
	tries := 0
	for meet := range 64 * 3 {
		when := map[string]time.Duration{"ab": at[meet&3], "ac": at[meet>>2&3], "bc": at[meet>>4&3],
			"ad": at[2], "bd": at[2], "cd": at[2]}
		when[[]string{"ad", "bd", "cd"}[meet>>6]] = 0
		for _, stopsAt := range []time.Duration{far, 400 * ms, 3400 * ms} {
			lossy := tries%2 > 0
			w := newWorld("abc", "a", "b", "c", "d")
			w.connected = func(a, b string) bool { return w.now >= min(when[min(a, b)+max(a, b)], 10*time.Second) }
			w.dropsBootstrap = func(_, to string) bool { return lossy && w.now < 7*time.Second && to != "d" }
			alone := false
			for w.now < 14*time.Second {
				w.step()
				must.LessEq(t, 1, w.majorities(), must.Sprintf("meet %o, stops at %v: %v", meet, stopsAt, w.bootstrappers))
				if a := w.nodes["a"]; w.now == stopsAt {
					a.stopped = true
					alone = a.founders != nil && w.majorities() == 0
				} else if w.now == stopsAt+800*ms {
					w.start("a", 1, false)
				}
			}
			if tries++; !alone {
				must.Eq(t, 1, w.majorities(), must.Sprintf("meet %o, stops at %v: %v", meet, stopsAt, w.bootstrappers))
			}
		}
	}
}

// A node that sends nothing is not live, one that sends nothing for long is forgotten, and a seed or one with a slot is not.
func TestLivenessTimeout(t *testing.T) {
	r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"s"}}, 0)
	for _, a := range []string{"s", "x", "y"} {
		r.HandleHello(a, Hello{Node: Node{Name: a, Incarnation: 1}, Acknowledged: r.self.fingerprint()})
		r.LinkUp(a)
	}
	r.SetSlots([]SlotHolder{{Addr: "me"}, {Addr: "y"}})
	must.Eq(t, 1, count(drain(r), LiveNodesChanged, ""))
	must.Eq(t, Slot(1), r.Slot("y"))
	must.Eq(t, NoSlot, r.Slot("x"))
	for at := time.Duration(0); at < livenessTimeout; at += 100 * ms {
		r.Tick(at)
		r.FrameReceived("x")
		must.SliceEmpty(t, drain(r))
	}
	r.Tick(livenessTimeout)
	must.Eq(t, 1, count(drain(r), LiveNodesChanged, "")) // s and y have gone, at once
	pass := func(until time.Duration) {
		for at := r.now; at < until; at += 500 * ms {
			r.Tick(at)
		}
		r.Tick(until)
	}
	must.True(t, r.Live("x"))
	must.False(t, r.Live("y"))
	r.FrameReceived("y")
	must.True(t, r.Live("y")) // its link never ended
	r.HandleHello("y", Hello{Node: Node{Name: "y", Incarnation: 2}})
	must.Eq(t, 1, count(drain(r), LiveNodesChanged, "")) // another incarnation of it, though it stays live
	pass(livenessTimeout + forgetAfter + ms)
	gone := drain(r)
	must.Eq(t, 1, count(gone, Disconnect, "x"))
	must.Eq(t, []string{"s", "y"}, r.Addrs())
	r.FrameReceived("x")
	must.Eq(t, 1, count(drain(r), Connect, "x"))
	var many []string
	for i := range 2 * maxNodes {
		many = append(many, fmt.Sprint("z", i))
	}
	r.SetSeeds(many)
	must.Len(t, maxNodes, r.Addrs())
	r.HandleHello("x", Hello{Node: Node{Name: "x", Disk: 5}}) // a full table still takes hellos of those in it
	d, _ := r.Node("x")
	must.Eq(t, DiskID(5), d.Disk)
}

// Links must not grow with the square of the nodes, and nobody may be left without one: a node without a disk that knows only
// seeds without a disk is brought to those that have one, leaves the seeds when it has a slot, and goes back to them when
// all nodes with a disk are gone.
func TestLinksGoThroughDiskNodes(t *testing.T) {
	w := newWorld("dea", "a", "b", "c")
	for _, n := range []string{"d", "e", "f", "g"} {
		w.start(n, 0, true)
	}
	slots := func() {
		var order []SlotHolder
		for _, n := range w.names {
			order = append(order, SlotHolder{Name: n, Addr: n})
		}
		for _, n := range w.names {
			w.nodes[n].SetSlots(order)
		}
	}
	linked := func(n string) (all string) {
		for _, a := range w.nodes[n].Addrs() {
			if w.nodes[n].peers[a].linkWanted {
				all += a
			}
		}
		return all
	}
	report := func(d time.Duration) { // those with a disk report to the others who is live
		for end := w.now + d; w.now < end; {
			w.step()
			for _, n := range w.names {
				if a := w.nodes[n]; !a.stopped && a.Self().Disk != 0 {
					for _, o := range w.names {
						if b := w.nodes[o]; b != a && !b.stopped && b.Self().Disk != 0 {
							b.HandleLiveness(n, a.ReachableSlots())
						} else if !b.stopped && n == "b" {
							b.FrameReceived(n)
							b.HandleLiveness(n, a.LiveSlots())
						}
					}
				}
			}
		}
	}
	w.until(3 * time.Second)
	slots()
	report(10 * time.Second)
	must.Eq(t, "bcdefg", linked("a"))
	for _, n := range []string{"d", "e", "f", "g"} {
		must.Eq(t, "abc", linked(n))
		must.True(t, w.nodes[n].Live("d")) // by the reports of those with a disk
		must.Eq(t, []string{"a", "b", "c"}, w.nodes[n].HelloTo("f").KnownAddrs)
	}
	w.nodes["a"].stopped = true // the one seed with a disk
	w.start("h", 0, false)
	report(time.Second)
	must.Eq(t, "abcde", linked("h")) // a is a seed: it may come back
	slots()
	report(10 * time.Second)
	must.Eq(t, "abc", linked("h"))
	must.Eq(t, "abc", linked("d"))
	w.stop("b", "c")
	w.until(w.now + 4*time.Second)
	must.Eq(t, "abcde", linked("h"))
	must.Eq(t, "abce", linked("d"))
}

// A node that stood still for seconds goes on with all that others sent unread: it must not take them for lost before it has read it.
// Guards against one that left its upstream so, dropped the entries that lay unread, and went by an old configuration for seconds.
func TestStallIsNotATimeout(t *testing.T) {
	r := New(Node{Addr: "me"}, Config{}, 0)
	r.HandleHello("a", Hello{Node: Node{Name: "a", Disk: 1, Incarnation: 1}, Acknowledged: r.self.fingerprint()})
	r.LinkUp("a")
	r.SetSlots([]SlotHolder{{Addr: "me"}, {Addr: "a"}, {Addr: "b"}})
	r.HandleLiveness("a", []byte{7})
	must.True(t, r.Live("a") && r.Live("b"))
	r.Tick(500 * ms)
	drain(r)
	r.Tick(20 * time.Second)
	must.SliceEmpty(t, drain(r))
	must.True(t, r.Live("a") && r.Live("b"))
	for at := 20 * time.Second; at < 21900*ms; at += 500 * ms {
		r.Tick(at)
		drain(r)
	}
	must.True(t, r.Live("a") && r.Live("b"))
	r.Tick(22 * time.Second)
	drain(r)
	must.False(t, r.Live("a") || r.Live("b")) // nothing for 2.2 s, of which 0.5 s came before the stall
}

// The first seed stalls before it bootstraps the core, or was just partitioned: it reads first what the others have sent, and does not go by
// nodes that it has not heard for a second. Guards against a cluster of its own, which the others never join.
func TestIsolatedSeedDoesNotBootstrap(t *testing.T) {
	began := func(pause time.Duration, hears bool) bool {
		r := New(Node{Addr: "a", Disk: 1, FirstStart: true}, Config{Seeds: []string{"a", "b", "c"}, ToleratedLosses: 1, ClusterID: clusterIDOf}, 0)
		for i, n := range []string{"b", "c"} {
			r.HandleHello(n, Hello{Node: Node{Name: n, Disk: DiskID(i + 2), FirstStart: true, Incarnation: 1}})
			r.LinkUp(n)
		}
		drain(r)
		for r.now < 400*ms {
			r.Tick(r.now + 100*ms)
		}
		r.Tick(r.now + pause)
		did := drain(r)
		for end := r.now + time.Second; r.now < end; did = append(did, drain(r)...) {
			if r.Tick(r.now + 100*ms); hears {
				r.FrameReceived("b")
				r.HandleHello("c", Hello{Node: Node{Name: "c", Disk: 3, FirstStart: true, Incarnation: 1, Bootstrapped: pause > 0}})
			}
		}
		return count(did, Bootstrap, "a") > 0
	}
	must.True(t, began(0, true))
	must.False(t, began(6*time.Second, true)) // another has bootstrapped it
	must.False(t, began(800*ms, false))       // nobody was heard for 1.2 s
}

// Two nodes with a disk that the second and third seed never met bootstrap the core with the first one, which is partitioned from these two as it
// sends the founders: three of five hold them. The other two seeds, which know of three disks, bootstrap one of their own: two of three. Both
// clusters would take changes. So the founders go to the seeds first, and to the others once more than half of the seeds hold them.
func TestSeedsHoldFoundersFirst(t *testing.T) {
	for cut := 400 * ms; cut < 1600*ms; cut += 100 * ms {
		w := newWorld("abc", "a", "b", "c", "d", "e")
		w.connected = func(x, y string) bool {
			x, y = min(x, y), max(x, y)
			switch {
			case w.now > 20*time.Second:
				return true
			case strings.Contains("bd be cd ce", x+y):
				return false
			}
			return w.now < cut || !strings.Contains("ab ac", x+y)
		}
		for w.now < 20*time.Second {
			w.step()
			must.LessEq(t, 1, w.majorities(), must.Sprintf("cut at %v: %v", cut, w.bootstrappers))
		}
	}
}

// Hellos must not carry the square of a deployment: slot holders are known from the core's log, so that a hello to a node with a disk names
// those alone that have no slot yet, beside the nodes with a disk. A node without a slot is still made known.
func TestHellosOmitSlotHolders(t *testing.T) {
	r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"disk"}, ClusterID: clusterIDOf}, 0)
	var order []SlotHolder
	for i := range 300 {
		addr := fmt.Sprint("node-", i)
		r.HandleHello(addr, Hello{Node: Node{Name: addr, Addr: addr}})
		order = append(order, SlotHolder{Name: addr, Addr: addr})
	}
	for _, d := range []string{"disk", "disk-2"} {
		r.HandleHello(d, Hello{Node: Node{Addr: d, Disk: DiskID(len(d))}})
	}
	must.Len(t, 301, r.HelloTo("disk").KnownAddrs)
	r.SetSlots(order[:299])
	must.Eq(t, []string{"disk-2", "node-299"}, r.HelloTo("disk").KnownAddrs)
	must.Eq(t, []string{"disk", "disk-2"}, r.HelloTo("node-5").KnownAddrs)
}

// A node with a disk that starts knows hundreds of nodes by their slots. It leaves them to dial first, which they all do in that
// moment, and answers; those that send nothing are dialed a little later, for they may not find their way. Guards against a member
// with no descriptors left right after a loss of power: its 300 dials came beside theirs.
func TestSlotHoldersDialFirst(t *testing.T) {
	r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"me"}, ClusterID: clusterIDOf}, 0)
	var order []SlotHolder
	for i := range 300 {
		addr := fmt.Sprint("node-", i)
		order = append(order, SlotHolder{Name: addr, Addr: addr})
	}
	r.SetSlots(order)
	r.Tick(300 * ms)
	must.Eq(t, 0, count(drain(r), Connect, "node-7"))
	r.FrameReceived("node-7")
	r.HandleHello("node-8", Hello{Node: Node{Addr: "node-8"}})
	all := drain(r)
	must.Eq(t, 1, count(all, Connect, "node-7"))
	must.Eq(t, 1, count(all, Connect, "node-8"))
	must.Eq(t, 0, count(all, Connect, "node-9"))
	for at := 400 * ms; at <= passiveDialDelay+refreshInterval; at += refreshInterval {
		r.Tick(at)
		all = append(all, drain(r)...)
	}
	must.Eq(t, 1, count(all, Connect, "node-9"))
	must.Eq(t, 1, count(all, Connect, "node-7"))
	must.Eq(t, 0, count(all, Disconnect, "node-7"))
}
