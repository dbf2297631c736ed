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

func drain(c *Roster) (all []Action) {
	for a, ok := c.Next(); ok; a, ok = c.Next() {
		all = append(all, a)
	}
	return all
}

func count(all []Action, v Verb, addr string) (n int) {
	for _, a := range all {
		if a.Verb == v && a.Addr == addr {
			n++
		}
	}
	return n
}

// A link comes and goes on its own, and what the other node says comes on another: whatever the order between nodes,
// and between a node's hellos and our link to it, the same nodes are live in the end.
func TestOrdersEndAlike(t *testing.T) {
	hello := func(a string, disk Disk, life uint64, known ...string) event {
		return func(c *Roster) {
			c.Hello(a, Hello{Door: Node{Name: a, Addr: "elsewhere", Disk: disk, Life: life}, Known: known})
		}
	}
	up := func(a string) event { return func(c *Roster) { c.Up(a) } }
	down := func(a string) event { return func(c *Roster) { c.Down(a) } }
	tries := 0
	interleave([][]event{{hello("a", 1, 1, "b", "x"), up("a")}, {down("b"), up("b")},
		{hello("b", 2, 1), hello("b", 3, 2)}, {up("d"), down("d")}, {hello("d", 4, 1)}}, func(order []event) {
		c := New(Node{Addr: "me", Disk: 9}, Terms{Seeds: []string{"me", "a", "b", "d"}, Tolerates: 1}, 0)
		var did []Action
		for _, e := range order {
			e(c)
			did = append(did, drain(c)...)
		}
		tries++
		must.True(t, slices.Equal([]Node{{Addr: "me", Disk: 9}, {Name: "a", Addr: "a", Disk: 1, Life: 1},
			{Name: "b", Addr: "b", Disk: 3, Life: 2}}, c.Disks())) // those that live
		must.True(t, slices.Equal([]string{"a", "b", "d", "x"}, c.Addrs()))
		must.Eq(t, "1 1 1", fmt.Sprint(count(did, Want, "x"), count(did, Greet, "a"), count(did, Greet, "b")))
	})
	must.Eq(t, 22680, tries)
}

// simNode is a node in a small world of nodes that say hello, found, die and come back.
type simNode struct {
	*Roster
	dead bool
	up   map[string]bool
	took []Founder // what its disk holds: the first word of a founding that it was told
}

type world struct {
	now    time.Duration
	terms  Terms
	actors map[string]*simNode
	names  []string
	joins  func(a, b string) bool     // they reach each other now
	loses  func(from, to string) bool // a Found is lost
	told   map[string]bool            // all lists of founders that were told
	by     []string                   // who began, in order
}

func clusterIDOf(list []Founder) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, list)
	return h.Sum64() | 1
}

func newWorld(seeds string, disks ...string) *world {
	w := &world{terms: Terms{strings.Split(seeds, ""), 1, clusterIDOf}, actors: map[string]*simNode{}, told: map[string]bool{},
		joins: func(string, string) bool { return true }, loses: func(string, string) bool { return false }}
	for i, n := range disks {
		w.start(n, Disk(i+1), true)
	}
	return w
}

// start begins a life of a node; its disk keeps what it took.
func (w *world) start(name string, disk Disk, first bool) *simNode {
	a := w.actors[name]
	if a == nil {
		a = &simNode{}
		w.actors[name] = a
		w.names = append(w.names, name)
	}
	me := Node{Name: name, Addr: name, Disk: disk, First: first, Life: uint64(w.now) + 1, Founded: a.took != nil}
	if a.took != nil {
		me.House = clusterIDOf(a.took)
	}
	a.Roster, a.dead, a.up = New(me, w.terms, w.now), false, map[string]bool{}
	return a
}

func (w *world) reach(a, b string) bool {
	x := w.actors[b]
	return x != nil && !x.dead && !w.actors[a].dead && w.joins(a, b)
}

// step lets a fifth of a second pass.
func (w *world) step() {
	w.now += 200 * ms
	for _, n := range w.names {
		a := w.actors[n]
		if a.dead {
			continue
		}
		a.Now(w.now)
		for _, to := range a.Addrs() {
			if is := w.reach(n, to); is != a.up[to] {
				if a.up[to] = is; is {
					a.Up(to)
				} else {
					a.Down(to)
				}
			}
			if w.reach(to, n) && w.actors[to].up[n] && slices.Contains(w.actors[to].Watchers(), n) {
				a.Heard(to)
			}
		}
	}
	for again := true; again; {
		again = false
		for _, n := range w.names {
			a := w.actors[n]
			for _, do := range drain(a.Roster) {
				if again = true; do.Verb == Found {
					w.found(n, do)
				}
				if do.Verb == Greet && w.reach(n, do.Addr) {
					w.actors[do.Addr].Hello(n, a.Say(do.Addr))
				}
			}
		}
	}
}

func (w *world) found(from string, do Action) {
	if list := fmt.Sprint(do.Founders); !w.told[list] {
		w.told[list], w.by = true, append(w.by, from)
	}
	to := w.actors[do.Addr]
	if from != do.Addr && (!w.reach(from, do.Addr) || w.loses(from, do.Addr)) || to.took != nil {
		return
	}
	if me := (Founder{to.Me().Disk, do.Addr}); slices.Contains(do.Founders, me) {
		to.took = do.Founders
		to.Settle(me.Disk, clusterIDOf(do.Founders))
	}
}

func (w *world) die(names ...string) {
	for _, n := range names {
		w.actors[n].dead = true
	}
}

func (w *world) until(t time.Duration) *world {
	for w.now < t {
		w.step()
	}
	return w
}

// systems counts the lists of founders that a majority of them holds.
func (w *world) systems() (n int) {
	holds := map[string]int{}
	for _, a := range w.actors {
		if a.took != nil {
			list := fmt.Sprint(a.took)
			if holds[list]++; holds[list] == len(a.took)/2+1 {
				n++
			}
		}
	}
	return n
}

// Three nodes with disks and one without meet: the first seed begins the core, once, with all of them, and says it
// again where the word was lost.
func TestFirstSeedFounds(t *testing.T) {
	w := newWorld("abc", "a", "b", "c")
	w.start("d", 0, true)
	lost := 0
	w.loses = func(_, to string) bool { lost++; return to == "c" && lost < 4 }
	w.until(400 * ms)
	must.MapEmpty(t, w.told)
	w.until(2 * time.Second)
	must.Eq(t, []string{"a"}, w.by)
	all := []Founder{{1, "a"}, {2, "b"}, {3, "c"}}
	must.Eq(t, all, w.actors["b"].took)
	must.SliceEmpty(t, w.actors["c"].took)
	w.until(8 * time.Second)
	must.Eq(t, all, w.actors["c"].took)
	must.SliceEmpty(t, w.actors["d"].took)
	must.Eq(t, []string{"a"}, w.by)
	said := lost
	w.until(20 * time.Second) // all have it: nothing is said again
	must.Eq(t, said, lost)
}

// Whose turn it is: the next seed begins only where the one before was never there, is gone, or has lived before; and
// nobody does where one that was met holds a state.
func TestWhoseTurn(t *testing.T) {
	for _, c := range []struct {
		name  string
		seeds string
		do    func(w *world)
		by    string // who began
		size  int    // of the list
	}{
		{"the first is never there", "abc", func(w *world) { w.die("a") }, "b", 2},
		{"the first dies early", "abc", func(w *world) { w.until(200 * ms).die("a") }, "b", 3},
		{"it comes back with a new life", "abc", func(w *world) {
			w.until(200 * ms).die("a")
			w.until(1000*ms).start("a", 1, false)
		}, "b", 3},
		{"it comes back late, while it is waited for", "abc", func(w *world) {
			w.die("a")
			w.until(2200*ms).start("a", 1, true)
		}, "a", 3},
		{"it comes back with a state", "abc", func(w *world) {
			w.until(200 * ms).die("a")
			w.actors["a"].took = []Founder{{1, "a"}}
			w.until(1000*ms).start("a", 1, false)
		}, "", 0},
		{"another holds a state", "abc", func(w *world) {
			w.actors["c"].took = []Founder{{3, "c"}}
			w.start("c", 3, false)
		}, "", 0},
		{"two are never there", "abc", func(w *world) { w.die("a", "b") }, "", 0},
		{"no seed has a disk to found with", "def", func(w *world) {
			for _, n := range []string{"d", "e", "f"} {
				w.start(n, 0, true)
			}
			w.die("d", "c")
		}, "e", 2},
		{"a seed without a disk hears two that do not hear each other", "abf", func(w *world) {
			w.start("f", 0, true)
			w.start("d", 4, true)
			w.joins = func(a, b string) bool { return strings.Contains("af fa bf fb ad da bc cb", a+b) }
		}, "a", 2},
		{"all were killed before a word of it was on disk", "abc", func(w *world) {
			for nr, n := range []string{"a", "b", "c"} {
				w.start(n, Disk(nr+1), false)
			}
		}, "a", 3},
		{"all but one, and that was wiped as well", "abc", func(w *world) {
			w.die("a", "b")
			w.start("c", 9, false)
		}, "", 0},
		{"one seed, and it is alone", "a", func(w *world) { w.joins = func(a, b string) bool { return false } }, "a", 1},
		{"all seeds are the same", "bbb", func(*world) {}, "b", 3},
	} {
		w := newWorld(c.seeds, "a", "b", "c")
		c.do(w)
		w.until(12 * time.Second)
		by := strings.Join(w.by, "")
		must.Eq(t, c.by, by, must.Sprint(c.name))
		for list := range w.told {
			must.Eq(t, c.size, strings.Count(list, "{"), must.Sprint(c.name))
		}
	}
}

// However three seeds and another node with a disk come to reach each other, whichever words of a founding are lost,
// and whether or not the first seed dies on the way: no two systems have a majority; one has once all reach each other,
// unless the first seed alone wrote its founding down and forgot whom to tell.
func TestHalvesFoundOneSystem(t *testing.T) {
	const far = time.Hour
	at := []time.Duration{0, 1600 * ms, 6 * time.Second, far} // when two of the seeds first reach each other
	tries := 0
	for meet := range 64 * 3 {
		when := map[string]time.Duration{"ab": at[meet&3], "ac": at[meet>>2&3], "bc": at[meet>>4&3],
			"ad": at[2], "bd": at[2], "cd": at[2]}
		when[[]string{"ad", "bd", "cd"}[meet>>6]] = 0
		for _, dies := range []time.Duration{far, 400 * ms, 3400 * ms} {
			lossy := tries%2 > 0
			w := newWorld("abc", "a", "b", "c", "d")
			w.joins = func(a, b string) bool { return w.now >= min(when[min(a, b)+max(a, b)], 10*time.Second) }
			w.loses = func(_, to string) bool { return lossy && w.now < 7*time.Second && to != "d" }
			alone := false
			for w.now < 14*time.Second {
				w.step()
				must.LessEq(t, 1, w.systems(), must.Sprintf("meet %o, dies %v: %v", meet, dies, w.by))
				if a := w.actors["a"]; w.now == dies {
					a.dead = true
					alone = a.took != nil && w.systems() == 0
				} else if w.now == dies+800*ms {
					w.start("a", 1, false)
				}
			}
			if tries++; !alone {
				must.Eq(t, 1, w.systems(), must.Sprintf("meet %o, dies %v: %v", meet, dies, w.by))
			}
		}
	}
}

// A node that says nothing is not live, one that is not heard for long is forgotten, and a seed or one with a slot is not.
func TestSilence(t *testing.T) {
	c := New(Node{Addr: "me", Disk: 9}, Terms{Seeds: []string{"s"}}, 0)
	for _, a := range []string{"s", "x", "y"} {
		c.Hello(a, Hello{Door: Node{Name: a, Life: 1}, Knows: c.me.stamp()})
		c.Up(a)
	}
	c.SetSlots([]SlotHolder{{Addr: "me"}, {Addr: "y"}})
	must.Eq(t, 1, count(drain(c), Changed, ""))
	must.Eq(t, Slot(1), c.Slot("y"))
	must.Eq(t, NoSlot, c.Slot("x"))
	for at := time.Duration(0); at < silentFor; at += 100 * ms {
		c.Now(at)
		c.Heard("x")
		must.SliceEmpty(t, drain(c))
	}
	c.Now(silentFor)
	must.Eq(t, 1, count(drain(c), Changed, "")) // s and y have gone, at once
	pass := func(until time.Duration) {
		for at := c.now; at < until; at += 500 * ms {
			c.Now(at)
		}
		c.Now(until)
	}
	must.True(t, c.Live("x"))
	must.False(t, c.Live("y"))
	c.Heard("y")
	must.True(t, c.Live("y")) // its link never ended
	c.Hello("y", Hello{Door: Node{Name: "y", Life: 2}})
	must.Eq(t, 1, count(drain(c), Changed, "")) // another life of it, though it stays live
	pass(silentFor + forgetIn + ms)
	gone := drain(c)
	must.Eq(t, 1, count(gone, Leave, "x"))
	must.Eq(t, []string{"s", "y"}, c.Addrs())
	c.Heard("x")
	must.Eq(t, 1, count(drain(c), Want, "x"))
	var many []string
	for i := range 2 * maxNodes {
		many = append(many, fmt.Sprint("z", i))
	}
	c.SetSeeds(many)
	must.Len(t, maxNodes, c.Addrs())
	c.Hello("x", Hello{Door: Node{Name: "x", Disk: 5}}) // a full table still takes word of those in it
	d, _ := c.Node("x")
	must.Eq(t, Disk(5), d.Disk)
}

// Links must not grow with the square of the nodes, and nobody may be left without one: a node without a disk that knows only
// seeds without a disk is brought to those that have one, leaves the seeds when it has a slot, and goes back to them when
// all nodes with a disk are gone.
func TestLinksGoByNodesWithADisk(t *testing.T) {
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
			w.actors[n].SetSlots(order)
		}
	}
	linked := func(n string) (all string) {
		for _, a := range w.actors[n].Addrs() {
			if w.actors[n].peers[a].linked {
				all += a
			}
		}
		return all
	}
	feed := func(d time.Duration) { // those with a disk tell the others who lives
		for end := w.now + d; w.now < end; {
			w.step()
			for _, n := range w.names {
				if a := w.actors[n]; !a.dead && a.Me().Disk != 0 {
					for _, o := range w.names {
						if b := w.actors[o]; b != a && !b.dead && b.Me().Disk != 0 {
							b.Told(n, a.Hears())
						} else if !b.dead && n == "b" {
							b.Heard(n)
							b.Told(n, a.Lives())
						}
					}
				}
			}
		}
	}
	w.until(3 * time.Second)
	slots()
	feed(10 * time.Second)
	must.Eq(t, "bcdefg", linked("a"))
	for _, n := range []string{"d", "e", "f", "g"} {
		must.Eq(t, "abc", linked(n))
		must.True(t, w.actors[n].Live("d")) // by the word of those with a disk
		must.Eq(t, []string{"a", "b", "c"}, w.actors[n].Say("f").Known)
	}
	w.actors["a"].dead = true // the one seed with a disk
	w.start("h", 0, false)
	feed(time.Second)
	must.Eq(t, "abcde", linked("h")) // a is a seed: it may come back
	slots()
	feed(10 * time.Second)
	must.Eq(t, "abc", linked("h"))
	must.Eq(t, "abc", linked("d"))
	w.die("b", "c")
	w.until(w.now + 4*time.Second)
	must.Eq(t, "abcde", linked("h"))
	must.Eq(t, "abce", linked("d"))
}

// A node that was frozen for seconds wakes with all that others sent unread: it must not hold them for lost before it has read
// it. One left the node that it followed so, dropped the news that lay unread, and went by an old configuration for seconds.
func TestStandstillIsNotSilence(t *testing.T) {
	c := New(Node{Addr: "me"}, Terms{}, 0)
	c.Hello("a", Hello{Door: Node{Name: "a", Disk: 1, Life: 1}, Knows: c.me.stamp()})
	c.Up("a")
	c.SetSlots([]SlotHolder{{Addr: "me"}, {Addr: "a"}, {Addr: "b"}})
	c.Told("a", []byte{7})
	must.True(t, c.Live("a") && c.Live("b"))
	c.Now(500 * ms)
	drain(c)
	c.Now(20 * time.Second)
	must.SliceEmpty(t, drain(c))
	must.True(t, c.Live("a") && c.Live("b"))
	for at := 20 * time.Second; at < 21900*ms; at += 500 * ms {
		c.Now(at)
		drain(c)
	}
	must.True(t, c.Live("a") && c.Live("b"))
	c.Now(22 * time.Second)
	drain(c)
	must.False(t, c.Live("a") || c.Live("b")) // 2.2 s of silence, of which 0.5 s came before
}

// The first seed is frozen before it begins the core, or was just cut off: it reads first what the others have said, and does not
// go by nodes that it has not heard for a second. It would else begin a system of its own, which the others never join.
func TestWhoWasAwayDoesNotBegin(t *testing.T) {
	began := func(pause time.Duration, hears bool) bool {
		c := New(Node{Addr: "a", Disk: 1, First: true}, Terms{Seeds: []string{"a", "b", "c"}, Tolerates: 1, ClusterID: clusterIDOf}, 0)
		for i, n := range []string{"b", "c"} {
			c.Hello(n, Hello{Door: Node{Name: n, Disk: Disk(i + 2), First: true, Life: 1}})
			c.Up(n)
		}
		drain(c)
		for c.now < 400*ms {
			c.Now(c.now + 100*ms)
		}
		c.Now(c.now + pause)
		did := drain(c)
		for end := c.now + time.Second; c.now < end; did = append(did, drain(c)...) {
			if c.Now(c.now + 100*ms); hears {
				c.Heard("b")
				c.Hello("c", Hello{Door: Node{Name: "c", Disk: 3, First: true, Life: 1, Founded: pause > 0}})
			}
		}
		return count(did, Found, "a") > 0
	}
	must.True(t, began(0, true))
	must.False(t, began(6*time.Second, true)) // another has begun it
	must.False(t, began(800*ms, false))       // nobody is heard since 1.2 s
}

// Two nodes with a disk that the second and third seed never met begin the core with the first one, which is cut off from these two as it
// tells the word: three of five hold it. The other two seeds, which know of three disks, begin one of their own: two of three. Both systems
// would take orders. So the word goes to the seeds first, and to the others once more than half of the seeds hold it.
func TestSeedsHoldTheWordFirst(t *testing.T) {
	for cut := 400 * ms; cut < 1600*ms; cut += 100 * ms {
		w := newWorld("abc", "a", "b", "c", "d", "e")
		w.joins = func(x, y string) bool {
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
			must.LessEq(t, 1, w.systems(), must.Sprintf("cut at %v: %v", cut, w.by))
		}
	}
}

// Hellos must not carry the square of a deployment: who has a slot is known by the core's order, so that a hello to a node with a disk
// names those alone that have none yet, beside the nodes with a disk. A node that nobody has in the order is still made known.
func TestHellosNameNobodyWithASlot(t *testing.T) {
	c := New(Node{Addr: "me", Disk: 9}, Terms{Seeds: []string{"disk"}, ClusterID: clusterIDOf}, 0)
	var order []SlotHolder
	for i := range 300 {
		addr := fmt.Sprint("node-", i)
		c.Hello(addr, Hello{Door: Node{Name: addr, Addr: addr}})
		order = append(order, SlotHolder{Name: addr, Addr: addr})
	}
	for _, d := range []string{"disk", "disk-2"} {
		c.Hello(d, Hello{Door: Node{Addr: d, Disk: Disk(len(d))}})
	}
	must.Len(t, 301, c.Say("disk").Known)
	c.SetSlots(order[:299])
	must.Eq(t, []string{"disk-2", "node-299"}, c.Say("disk").Known)
	must.Eq(t, []string{"disk", "disk-2"}, c.Say("node-5").Known)
}

// A node with a disk that starts knows hundreds of nodes by the order of slots. It leaves them to dial first, which they all do in that
// moment, and answers; those that say nothing are dialed a little later, for they may not find their way. Guards against a member
// with no descriptors left right after a loss of power: its 300 dials came beside theirs.
func TestSlotHoldersDialFirst(t *testing.T) {
	c := New(Node{Addr: "me", Disk: 9}, Terms{Seeds: []string{"me"}, ClusterID: clusterIDOf}, 0)
	var order []SlotHolder
	for i := range 300 {
		addr := fmt.Sprint("node-", i)
		order = append(order, SlotHolder{Name: addr, Addr: addr})
	}
	c.SetSlots(order)
	c.Now(300 * ms)
	must.Eq(t, 0, count(drain(c), Want, "node-7"))
	c.Heard("node-7")
	c.Hello("node-8", Hello{Door: Node{Addr: "node-8"}})
	all := drain(c)
	must.Eq(t, 1, count(all, Want, "node-7"))
	must.Eq(t, 1, count(all, Want, "node-8"))
	must.Eq(t, 0, count(all, Want, "node-9"))
	for at := 400 * ms; at <= dialLate+lookEvery; at += lookEvery {
		c.Now(at)
		all = append(all, drain(c)...)
	}
	must.Eq(t, 1, count(all, Want, "node-9"))
	must.Eq(t, 1, count(all, Want, "node-7"))
	must.Eq(t, 0, count(all, Leave, "node-7"))
}
