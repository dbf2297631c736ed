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

// forEachInterleaving calls visit with every interleaving of several sequences. Each sequence keeps its own order.
func forEachInterleaving(sequences [][]event, visit func([]event)) {
	var order []event
	var step func()
	step = func() {
		done := true
		for i, s := range sequences {
			if len(s) == 0 {
				continue
			}
			done = false
			order, sequences[i] = append(order, s[0]), s[1:]
			step()
			order, sequences[i] = order[:len(order)-1], s
		}
		if done {
			visit(order)
		}
	}
	step()
}

// takeActions calls Next until it returns no action, and returns the actions.
func takeActions(r *Roster) (all []Action) {
	for a, ok := r.Next(); ok; a, ok = r.Next() {
		all = append(all, a)
	}
	return all
}

// countActions returns the number of actions of a kind for an address.
func countActions(actions []Action, kind ActionKind, addr string) (n int) {
	for _, a := range actions {
		if a.Kind == kind && a.Addr == addr {
			n++
		}
	}
	return n
}

// Guards against a set of live nodes that depends on the order of inputs. LinkUp and LinkDown concern the link on which this node
// sends to another node. The other node's hellos may arrive over a second link. So the inputs of different nodes, and the hellos and
// the link events of one node, may come in any order.
func TestEventOrdersConverge(t *testing.T) {
	helloEvent := func(a string, disk DiskID, incarnation uint64, known ...string) event {
		return func(r *Roster) {
			r.HandleHello(a, Hello{Node: Node{Name: a, Addr: "elsewhere", Disk: disk, Incarnation: incarnation}, KnownAddrs: known})
		}
	}
	linkUpEvent := func(a string) event { return func(r *Roster) { r.LinkUp(a) } }
	linkDownEvent := func(a string) event { return func(r *Roster) { r.LinkDown(a) } }
	orderCount := 0
	forEachInterleaving([][]event{{helloEvent("a", 1, 1, "b", "x"), linkUpEvent("a")}, {linkDownEvent("b"), linkUpEvent("b")},
		{helloEvent("b", 2, 1), helloEvent("b", 3, 2)}, {linkUpEvent("d"), linkDownEvent("d")}, {helloEvent("d", 4, 1)}}, func(order []event) {
		r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"me", "a", "b", "d"}, ToleratedLosses: 1}, 0)
		var actions []Action
		for _, e := range order {
			e(r)
			actions = append(actions, takeActions(r)...)
		}
		orderCount++
		must.True(t, slices.Equal([]Node{{Addr: "me", Disk: 9}, {Name: "a", Addr: "a", Disk: 1, Incarnation: 1},
			{Name: "b", Addr: "b", Disk: 3, Incarnation: 2}}, r.LiveDiskNodes()))
		must.True(t, slices.Equal([]string{"a", "b", "d", "x"}, r.Addrs()))
		must.Eq(t, "1 1 1", fmt.Sprint(countActions(actions, Connect, "x"), countActions(actions, SendHello, "a"), countActions(actions, SendHello, "b")))
	})
	must.Eq(t, 22680, orderCount)
}

// simNode is a node in a small simulated deployment whose nodes send hellos, bootstrap, stop and restart.
type simNode struct {
	*Roster
	stopped  bool
	linkUp   map[string]bool // whether the link to another node is up, by the other node's address
	founders []Founder       // the first list of founders that the node received, which is stored on its disk
}

// simCluster is a simulated deployment. The name of a node is also its address.
type simCluster struct {
	now            time.Duration
	config         Config
	nodes          map[string]*simNode
	names          []string                   // names of all nodes, in the order of their first start
	connected      func(a, b string) bool     // returns whether the two nodes can reach each other now
	dropsBootstrap func(from, to string) bool // returns whether a Bootstrap message is lost
	proposals      map[string]bool            // all lists of founders that were sent
	bootstrappers  []string                   // the nodes that chose founders, in order
}

// testClusterID implements Config.ClusterID with a hash of the list of founders.
func testClusterID(list []Founder) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, list)
	return h.Sum64() | 1
}

// newSimCluster returns a simulated deployment with a node for each name in diskNodes. Each of these nodes has a disk and is at its
// first start. Each letter of seedNames is the name of a seed.
func newSimCluster(seedNames string, diskNodes ...string) *simCluster {
	sim := &simCluster{config: Config{strings.Split(seedNames, ""), 1, testClusterID}, nodes: map[string]*simNode{}, proposals: map[string]bool{},
		connected: func(string, string) bool { return true }, dropsBootstrap: func(string, string) bool { return false }}
	for i, n := range diskNodes {
		sim.startNode(n, DiskID(i+1), true)
	}
	return sim
}

// startNode begins an incarnation of a node. The node's disk keeps the founders that were stored in earlier incarnations.
func (sim *simCluster) startNode(name string, disk DiskID, firstStart bool) *simNode {
	a := sim.nodes[name]
	if a == nil {
		a = &simNode{}
		sim.nodes[name] = a
		sim.names = append(sim.names, name)
	}
	me := Node{Name: name, Addr: name, Disk: disk, FirstStart: firstStart, Incarnation: uint64(sim.now) + 1, Bootstrapped: a.founders != nil}
	if a.founders != nil {
		me.ClusterID = testClusterID(a.founders)
	}
	a.Roster, a.stopped, a.linkUp = New(me, sim.config, sim.now), false, map[string]bool{}
	return a
}

// canReach reports whether frames from node a reach node b now. Both nodes must be running.
func (sim *simCluster) canReach(a, b string) bool {
	x := sim.nodes[b]
	return x != nil && !x.stopped && !sim.nodes[a].stopped && sim.connected(a, b)
}

// advanceOneStep advances the simulation by 200 ms and performs all actions of the running nodes.
func (sim *simCluster) advanceOneStep() {
	sim.now += 200 * ms
	for _, n := range sim.names {
		a := sim.nodes[n]
		if a.stopped {
			continue
		}
		a.Tick(sim.now)
		for _, to := range a.Addrs() {
			if up := sim.canReach(n, to); up != a.linkUp[to] {
				if a.linkUp[to] = up; up {
					a.LinkUp(to)
				} else {
					a.LinkDown(to)
				}
			}
			if sim.canReach(to, n) && sim.nodes[to].linkUp[n] && slices.Contains(sim.nodes[to].HeartbeatTargets(), n) {
				a.FrameReceived(to)
			}
		}
	}
	for again := true; again; {
		again = false
		for _, n := range sim.names {
			a := sim.nodes[n]
			for _, action := range takeActions(a.Roster) {
				if again = true; action.Kind == Bootstrap {
					sim.deliverBootstrap(n, action)
				}
				if action.Kind == SendHello && sim.canReach(n, action.Addr) {
					sim.nodes[action.Addr].HandleHello(n, a.HelloTo(action.Addr))
				}
			}
		}
	}
}

// deliverBootstrap records the founders of a Bootstrap action and stores them at the receiver, unless the message is lost or the
// receiver has stored other founders.
func (sim *simCluster) deliverBootstrap(from string, action Action) {
	if founders := fmt.Sprint(action.Founders); !sim.proposals[founders] {
		sim.proposals[founders], sim.bootstrappers = true, append(sim.bootstrappers, from)
	}
	to := sim.nodes[action.Addr]
	if from != action.Addr && (!sim.canReach(from, action.Addr) || sim.dropsBootstrap(from, action.Addr)) || to.founders != nil {
		return
	}
	if self := (Founder{to.Self().Disk, action.Addr}); slices.Contains(action.Founders, self) {
		to.founders = action.Founders
		to.SetCluster(self.Disk, testClusterID(action.Founders))
	}
}

func (sim *simCluster) stopNodes(names ...string) {
	for _, n := range names {
		sim.nodes[n].stopped = true
	}
}

func (sim *simCluster) runUntil(t time.Duration) *simCluster {
	for sim.now < t {
		sim.advanceOneStep()
	}
	return sim
}

// majorityListCount returns the number of lists of founders that more than half of the listed founders have stored.
func (sim *simCluster) majorityListCount() (n int) {
	storedCount := map[string]int{}
	for _, a := range sim.nodes {
		if a.founders != nil {
			list := fmt.Sprint(a.founders)
			if storedCount[list]++; storedCount[list] == len(a.founders)/2+1 {
				n++
			}
		}
	}
	return n
}

// Guards against a bootstrap that omits a node with a disk or that ends when messages are lost. Of four nodes, three have a disk. The
// first seed bootstraps the core once, with these three as founders, and sends a lost message again.
func TestFirstSeedBootstraps(t *testing.T) {
	sim := newSimCluster("abc", "a", "b", "c")
	sim.startNode("d", 0, true)
	bootstrapMessages := 0
	sim.dropsBootstrap = func(_, to string) bool { bootstrapMessages++; return to == "c" && bootstrapMessages < 4 }
	sim.runUntil(400 * ms)
	must.MapEmpty(t, sim.proposals)
	sim.runUntil(2 * time.Second)
	must.Eq(t, []string{"a"}, sim.bootstrappers)
	founders := []Founder{{1, "a"}, {2, "b"}, {3, "c"}}
	must.Eq(t, founders, sim.nodes["b"].founders)
	must.SliceEmpty(t, sim.nodes["c"].founders)
	sim.runUntil(8 * time.Second)
	must.Eq(t, founders, sim.nodes["c"].founders)
	must.SliceEmpty(t, sim.nodes["d"].founders)
	must.Eq(t, []string{"a"}, sim.bootstrappers)
	sent := bootstrapMessages
	sim.runUntil(20 * time.Second) // all founders have stored the list, so nothing is sent again
	must.Eq(t, sent, bootstrapMessages)
}

// Guards against two seeds that both bootstrap, and against a deployment in which no seed does. A later seed bootstraps only if each
// seed before it was never live, is no longer live, or is not at its first start. No seed bootstraps the core if it has a hello from
// a node that holds a state of the core.
func TestSeedsBootstrapInTurn(t *testing.T) {
	for _, c := range []struct {
		name         string
		seeds        string                // names of the seeds, one letter each
		setUp        func(sim *simCluster) // prepares the deployment and may run it for a time
		bootstrapper string                // name of the node that must choose the founders; empty if no node may choose founders
		founderCount int                   // number of founders that each chosen list must contain
	}{
		{"first seed never starts", "abc", func(sim *simCluster) { sim.stopNodes("a") }, "b", 2},
		{"first seed stops early", "abc", func(sim *simCluster) { sim.runUntil(200 * ms).stopNodes("a") }, "b", 3},
		{"first seed stops and restarts in another incarnation", "abc", func(sim *simCluster) {
			sim.runUntil(200 * ms).stopNodes("a")
			sim.runUntil(1000*ms).startNode("a", 1, false)
		}, "b", 3},
		{"first seed starts while the second seed waits for its turn", "abc", func(sim *simCluster) {
			sim.stopNodes("a")
			sim.runUntil(2200*ms).startNode("a", 1, true)
		}, "a", 3},
		{"first seed restarts and its disk holds the state of an existing cluster", "abc", func(sim *simCluster) {
			sim.runUntil(200 * ms).stopNodes("a")
			sim.nodes["a"].founders = []Founder{{1, "a"}}
			sim.runUntil(1000*ms).startNode("a", 1, false)
		}, "", 0},
		{"the disk of a seed other than the first holds the state of an existing cluster", "abc", func(sim *simCluster) {
			sim.nodes["c"].founders = []Founder{{3, "c"}}
			sim.startNode("c", 3, false)
		}, "", 0},
		{"two of three seeds never start", "abc", func(sim *simCluster) { sim.stopNodes("a", "b") }, "", 0},
		{"no seed has a disk", "def", func(sim *simCluster) {
			for _, n := range []string{"d", "e", "f"} {
				sim.startNode(n, 0, true)
			}
			sim.stopNodes("d", "c")
		}, "e", 2},
		{"a seed without a disk reaches two seeds that do not reach each other", "abf", func(sim *simCluster) {
			sim.startNode("f", 0, true)
			sim.startNode("d", 4, true)
			sim.connected = func(a, b string) bool { return strings.Contains("af fa bf fb ad da bc cb", a+b) }
		}, "a", 2},
		{"all nodes were killed before a bootstrap was on disk", "abc", func(sim *simCluster) {
			for nr, n := range []string{"a", "b", "c"} {
				sim.startNode(n, DiskID(nr+1), false)
			}
		}, "a", 3},
		{"all nodes but one are stopped, and the disk of the remaining node was wiped", "abc", func(sim *simCluster) {
			sim.stopNodes("a", "b")
			sim.startNode("c", 9, false)
		}, "", 0},
		{"the only seed reaches no other node", "a", func(sim *simCluster) { sim.connected = func(_, _ string) bool { return false } }, "a", 1},
		{"all seeds have the same address", "bbb", func(*simCluster) {}, "b", 3},
	} {
		sim := newSimCluster(c.seeds, "a", "b", "c")
		c.setUp(sim)
		sim.runUntil(12 * time.Second)
		by := strings.Join(sim.bootstrappers, "")
		must.Eq(t, c.bootstrapper, by, must.Sprint(c.name))
		for list := range sim.proposals {
			must.Eq(t, c.founderCount, strings.Count(list, "{"), must.Sprint(c.name))
		}
	}
}

// Guards against two clusters that both have a majority, and against no cluster with a majority once all nodes reach each other.
// Three seeds and another node with a disk begin to reach each other at different times. Messages of a bootstrap are lost, and the
// first seed may stop during the bootstrap. A missing cluster is allowed only if the first seed alone had stored the founders when it
// stopped.
func TestPartitionsBootstrapOneCluster(t *testing.T) {
	const never = time.Hour
	// meetingTimes are the times at which two seeds may first reach each other. Bits 0-1, 2-3 and 4-5 of meet are the indexes in
	// meetingTimes for the pairs a-b, a-c and b-c. The higher bits are the number (0 to 2) of the seed that reaches node d from the start.
	meetingTimes := []time.Duration{0, 1600 * ms, 6 * time.Second, never}
	runs := 0
	for meet := range 64 * 3 {
		reachableFrom := map[string]time.Duration{"ab": meetingTimes[meet&3], "ac": meetingTimes[meet>>2&3], "bc": meetingTimes[meet>>4&3],
			"ad": meetingTimes[2], "bd": meetingTimes[2], "cd": meetingTimes[2]}
		reachableFrom[[]string{"ad", "bd", "cd"}[meet>>6]] = 0
		for _, stopsAt := range []time.Duration{never, 400 * ms, 3400 * ms} {
			lossy := runs%2 > 0
			sim := newSimCluster("abc", "a", "b", "c", "d")
			sim.connected = func(a, b string) bool { return sim.now >= min(reachableFrom[min(a, b)+max(a, b)], 10*time.Second) }
			sim.dropsBootstrap = func(_, to string) bool { return lossy && sim.now < 7*time.Second && to != "d" }
			onlyFirstSeedHolds := false
			for sim.now < 14*time.Second {
				sim.advanceOneStep()
				must.LessEq(t, 1, sim.majorityListCount(),
					must.Sprintf("contact times %o (octal, see meetingTimes), seed a stops at %v, bootstrapped by %v", meet, stopsAt, sim.bootstrappers))
				if a := sim.nodes["a"]; sim.now == stopsAt {
					a.stopped = true
					onlyFirstSeedHolds = a.founders != nil && sim.majorityListCount() == 0
				} else if sim.now == stopsAt+800*ms {
					sim.startNode("a", 1, false)
				}
			}
			if runs++; !onlyFirstSeedHolds {
				must.Eq(t, 1, sim.majorityListCount(),
					must.Sprintf("contact times %o (octal, see meetingTimes), seed a stops at %v, bootstrapped by %v", meet, stopsAt, sim.bootstrappers))
			}
		}
	}
}

// Guards against nodes that stay live or stay known although they send nothing. A node that sends nothing for livenessTimeout is not
// live. A node that sends nothing for forgetAfter is forgotten, unless it is a seed or has a slot.
func TestLivenessTimeout(t *testing.T) {
	r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"s"}}, 0)
	for _, a := range []string{"s", "x", "y"} {
		r.HandleHello(a, Hello{Node: Node{Name: a, Incarnation: 1}, Acknowledged: r.self.fingerprint()})
		r.LinkUp(a)
	}
	r.SetSlots([]SlotHolder{{Addr: "me"}, {Addr: "y"}})
	must.Eq(t, 1, countActions(takeActions(r), LiveNodesChanged, ""))
	must.Eq(t, Slot(1), r.Slot("y"))
	must.Eq(t, NoSlot, r.Slot("x"))
	for at := time.Duration(0); at < livenessTimeout; at += 100 * ms {
		r.Tick(at)
		r.FrameReceived("x")
		must.SliceEmpty(t, takeActions(r))
	}
	r.Tick(livenessTimeout)
	must.Eq(t, 1, countActions(takeActions(r), LiveNodesChanged, "")) // s and y are lost at the same time
	tickUntil := func(until time.Duration) {
		for at := r.now; at < until; at += 500 * ms {
			r.Tick(at)
		}
		r.Tick(until)
	}
	must.True(t, r.IsLive("x"))
	must.False(t, r.IsLive("y"))
	r.FrameReceived("y")
	must.True(t, r.IsLive("y")) // the link to y never ended
	r.HandleHello("y", Hello{Node: Node{Name: "y", Incarnation: 2}})
	must.Eq(t, 1, countActions(takeActions(r), LiveNodesChanged, "")) // y stays live, but in another incarnation
	tickUntil(livenessTimeout + forgetAfter + ms)
	actions := takeActions(r)
	must.Eq(t, 1, countActions(actions, Disconnect, "x"))
	must.Eq(t, []string{"s", "y"}, r.Addrs())
	r.FrameReceived("x")
	must.Eq(t, 1, countActions(takeActions(r), Connect, "x"))
	var addrs []string
	for i := range 2 * maxNodes {
		addrs = append(addrs, fmt.Sprint("z", i))
	}
	r.SetSeeds(addrs)
	must.Len(t, maxNodes, r.Addrs())
	r.HandleHello("x", Hello{Node: Node{Name: "x", Disk: 5}}) // a full table still accepts hellos from known nodes
	d, _ := r.Node("x")
	must.Eq(t, DiskID(5), d.Disk)
}

// Guards against a number of links that grows with the square of the number of nodes, and against a node without any link. A node
// without a disk, whose seeds have no disk either, is linked to the nodes with a disk. It closes its links to these seeds when it has
// a slot, and connects to them again when no node with a disk is live any more.
func TestLinksGoThroughDiskNodes(t *testing.T) {
	sim := newSimCluster("dea", "a", "b", "c")
	for _, n := range []string{"d", "e", "f", "g"} {
		sim.startNode(n, 0, true)
	}
	assignSlots := func() {
		var holders []SlotHolder
		for _, n := range sim.names {
			holders = append(holders, SlotHolder{Name: n, Addr: n})
		}
		for _, n := range sim.names {
			sim.nodes[n].SetSlots(holders)
		}
	}
	linkedAddrs := func(n string) (addrs string) {
		for _, a := range sim.nodes[n].Addrs() {
			if sim.nodes[n].peers[a].linkWanted {
				addrs += a
			}
		}
		return addrs
	}
	// reportLiveness runs the simulation for d. At each step the nodes with a disk report to the other nodes which nodes are live.
	reportLiveness := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; {
			sim.advanceOneStep()
			for _, n := range sim.names {
				if a := sim.nodes[n]; !a.stopped && a.Self().Disk != 0 {
					for _, o := range sim.names {
						if b := sim.nodes[o]; b != a && !b.stopped && b.Self().Disk != 0 {
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
	sim.runUntil(3 * time.Second)
	assignSlots()
	reportLiveness(10 * time.Second)
	must.Eq(t, "bcdefg", linkedAddrs("a"))
	for _, n := range []string{"d", "e", "f", "g"} {
		must.Eq(t, "abc", linkedAddrs(n))
		must.True(t, sim.nodes[n].IsLive("d")) // as reported by the nodes with a disk
		must.Eq(t, []string{"a", "b", "c"}, sim.nodes[n].HelloTo("f").KnownAddrs)
	}
	sim.nodes["a"].stopped = true // the only seed with a disk
	sim.startNode("h", 0, false)
	reportLiveness(time.Second)
	must.Eq(t, "abcde", linkedAddrs("h")) // a is a seed and may come back
	assignSlots()
	reportLiveness(10 * time.Second)
	must.Eq(t, "abc", linkedAddrs("h"))
	must.Eq(t, "abc", linkedAddrs("d"))
	sim.stopNodes("b", "c")
	sim.runUntil(sim.now + 4*time.Second)
	must.Eq(t, "abcde", linkedAddrs("h"))
	must.Eq(t, "abce", linkedAddrs("d"))
}

// Guards against a node that considers its upstream lost after a stall of its own process. Such a node changed to another upstream,
// dropped the unread log entries, and used an old configuration for seconds. After a stall, the frames that the other nodes sent are
// still unread, so the stall must not count towards the time-out.
func TestStallIsNotATimeout(t *testing.T) {
	r := New(Node{Addr: "me"}, Config{}, 0)
	r.HandleHello("a", Hello{Node: Node{Name: "a", Disk: 1, Incarnation: 1}, Acknowledged: r.self.fingerprint()})
	r.LinkUp("a")
	r.SetSlots([]SlotHolder{{Addr: "me"}, {Addr: "a"}, {Addr: "b"}})
	r.HandleLiveness("a", []byte{7})
	must.True(t, r.IsLive("a") && r.IsLive("b"))
	r.Tick(500 * ms)
	takeActions(r)
	r.Tick(20 * time.Second)
	must.SliceEmpty(t, takeActions(r))
	must.True(t, r.IsLive("a") && r.IsLive("b"))
	for at := 20 * time.Second; at < 21900*ms; at += 500 * ms {
		r.Tick(at)
		takeActions(r)
	}
	must.True(t, r.IsLive("a") && r.IsLive("b"))
	r.Tick(22 * time.Second)
	takeActions(r)
	must.False(t, r.IsLive("a") || r.IsLive("b")) // no frame came for 0.5 s before the stall and 2 s after the stall, which exceeds 2.2 s
}

// Guards against a first seed that creates a cluster which the other nodes never join. The first seed either stalls for 6 s before it
// bootstraps the core, or is partitioned for 1.2 s. After the stall it must first read the frames that the other nodes have sent.
// During the partition it must not count nodes that have sent nothing for longer than bootstrapContactTimeout.
func TestIsolatedSeedDoesNotBootstrap(t *testing.T) {
	firstSeedBootstraps := func(pause time.Duration, othersSend bool) bool {
		r := New(Node{Addr: "a", Disk: 1, FirstStart: true}, Config{Seeds: []string{"a", "b", "c"}, ToleratedLosses: 1, ClusterID: testClusterID}, 0)
		for i, n := range []string{"b", "c"} {
			r.HandleHello(n, Hello{Node: Node{Name: n, Disk: DiskID(i + 2), FirstStart: true, Incarnation: 1}})
			r.LinkUp(n)
		}
		takeActions(r)
		for r.now < 400*ms {
			r.Tick(r.now + 100*ms)
		}
		r.Tick(r.now + pause)
		actions := takeActions(r)
		for end := r.now + time.Second; r.now < end; actions = append(actions, takeActions(r)...) {
			if r.Tick(r.now + 100*ms); othersSend {
				r.FrameReceived("b")
				r.HandleHello("c", Hello{Node: Node{Name: "c", Disk: 3, FirstStart: true, Incarnation: 1, Bootstrapped: pause > 0}})
			}
		}
		return countActions(actions, Bootstrap, "a") > 0
	}
	must.True(t, firstSeedBootstraps(0, true))
	must.False(t, firstSeedBootstraps(6*time.Second, true)) // another node has bootstrapped the core
	must.False(t, firstSeedBootstraps(800*ms, false))       // the first seed received no frame for 1.2 s
}

// Guards against two clusters that both accept changes. Nodes a, b and c are the seeds. Nodes d and e also have a disk, and a is
// the only seed that reaches d and e. The fault came about as follows. Seed a chose all five nodes as founders, and was partitioned
// from b and c while it sent the list of founders. Nodes a, d and e stored the list, which made three of five founders. Seeds b and
// c knew only the disks of a, b and c. They chose these three nodes as founders, and b and c stored that list, which made two of
// three founders. So each cluster had a majority. To prevent this, a node sends the list to the seeds first. It sends the list to
// the other nodes once more than half of the seeds have stored it.
func TestSeedsHoldFoundersFirst(t *testing.T) {
	for partitionedAt := 400 * ms; partitionedAt < 1600*ms; partitionedAt += 100 * ms {
		sim := newSimCluster("abc", "a", "b", "c", "d", "e")
		sim.connected = func(x, y string) bool {
			x, y = min(x, y), max(x, y)
			switch {
			case sim.now > 20*time.Second:
				return true
			case strings.Contains("bd be cd ce", x+y):
				return false
			}
			return sim.now < partitionedAt || !strings.Contains("ab ac", x+y)
		}
		for sim.now < 20*time.Second {
			sim.advanceOneStep()
			must.LessEq(t, 1, sim.majorityListCount(),
				must.Sprintf("seed a partitioned from b and c at %v, founders chosen by %v", partitionedAt, sim.bootstrappers))
		}
	}
}

// Guards against hellos whose traffic grows with the square of the number of nodes. Slot holders are known from the core's log, so
// a hello to a node with a disk names only the nodes with a disk and the nodes that have no slot yet. A node without a slot must be
// named, because it is not in the log.
func TestHellosOmitSlotHolders(t *testing.T) {
	r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"disk"}, ClusterID: testClusterID}, 0)
	var holders []SlotHolder
	for i := range 300 {
		addr := fmt.Sprint("node-", i)
		r.HandleHello(addr, Hello{Node: Node{Name: addr, Addr: addr}})
		holders = append(holders, SlotHolder{Name: addr, Addr: addr})
	}
	for _, d := range []string{"disk", "disk-2"} {
		r.HandleHello(d, Hello{Node: Node{Addr: d, Disk: DiskID(len(d))}})
	}
	must.Len(t, 301, r.HelloTo("disk").KnownAddrs)
	r.SetSlots(holders[:299])
	must.Eq(t, []string{"disk-2", "node-299"}, r.HelloTo("disk").KnownAddrs)
	must.Eq(t, []string{"disk", "disk-2"}, r.HelloTo("node-5").KnownAddrs)
}

// Guards against a member that runs out of file descriptors right after a power loss. A node with a disk that starts knows hundreds
// of slot holders, and all of these dial it at that moment. Its own 300 dials were added to the 300 dials of the others. So the node
// waits for the others to dial first. After passiveDialDelay it dials the nodes that have sent nothing, because these may not be able
// to establish the link themselves.
func TestSlotHoldersDialFirst(t *testing.T) {
	r := New(Node{Addr: "me", Disk: 9}, Config{Seeds: []string{"me"}, ClusterID: testClusterID}, 0)
	var holders []SlotHolder
	for i := range 300 {
		addr := fmt.Sprint("node-", i)
		holders = append(holders, SlotHolder{Name: addr, Addr: addr})
	}
	r.SetSlots(holders)
	r.Tick(300 * ms)
	must.Eq(t, 0, countActions(takeActions(r), Connect, "node-7"))
	r.FrameReceived("node-7")
	r.HandleHello("node-8", Hello{Node: Node{Addr: "node-8"}})
	actions := takeActions(r)
	must.Eq(t, 1, countActions(actions, Connect, "node-7"))
	must.Eq(t, 1, countActions(actions, Connect, "node-8"))
	must.Eq(t, 0, countActions(actions, Connect, "node-9"))
	for at := 400 * ms; at <= passiveDialDelay+refreshInterval; at += refreshInterval {
		r.Tick(at)
		actions = append(actions, takeActions(r)...)
	}
	must.Eq(t, 1, countActions(actions, Connect, "node-9"))
	must.Eq(t, 1, countActions(actions, Connect, "node-7"))
	must.Eq(t, 0, countActions(actions, Disconnect, "node-7"))
}
