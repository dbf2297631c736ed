// Package membership knows the nodes of a deployment: who there is, who is heard, which slots they have, and, at the first
// start of all, which nodes found the core. It is free of I/O: inputs only update what is known, the host pulls
// actions with Next.
package membership

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Slot is a node's number, given once by the core; owners of buckets and registrars of backends are hashed over slots.
type Slot int

// NoSlot is the slot of a node that has none yet.
const NoSlot Slot = -1

// Disk names a node's disk; nought: it has none. A wiped disk is another one.
type Disk uint64

// Node is what a node says of itself.
type Node struct {
	Name    string
	Addr    string // where it takes frames: IP and first inner port
	Control string // where it takes control calls
	Zone    string
	Disk    Disk
	First   bool   // the first start of the whole deployment
	Life    uint64 // drawn at each start
	Founded bool   // its disk holds a state of the core
	Leaving bool   // it was told to end
	House   uint64 // which founding that is
}

// Hello is what nodes tell each other when a link comes up, and when something of it changes.
type Hello struct {
	Door  Node
	Known []string // addresses of nodes that the other one is to keep links to
	Begun bool     // one that it has met holds a state of the core
	Parts bool     // its program takes large calls in parts
	Knows uint64   // what its sender last heard of whom it is for, see Node.stamp; 0: nothing
}

// Founder is a node that begins the core.
type Founder struct {
	Disk Disk
	Addr string
}

// Verb is what an action asks of the host.
type Verb int

// What may become of a link.
const (
	Want    Verb = iota // keep a link to Addr
	Leave               // keep it no longer
	Greet               // say Hello to Addr
	Found               // tell the node at Addr that Founders begin the core
	Changed             // the live nodes are others than before
)

// Action is one thing to do now.
type Action struct {
	Verb     Verb
	Addr     string
	Founders []Founder
}

// Terms are what a deployment sets.
type Terms struct {
	Seeds     []string // inner addresses, in the order of the settings
	Tolerates int      // peers with a disk that may be lost at once
	ClusterID func([]Founder) uint64
}

const (
	silentFor  = 2200 * time.Millisecond // a node that is not heard for longer counts as lost
	standstill = time.Second
	forgetIn   = 90 * time.Second        // and after this it is dialed no more, unless it is a seed or has a slot
	foundHeard = 1100 * time.Millisecond // and the seeds were heard within this: one that has just been cut off must not begin it
	foundCalm  = 500 * time.Millisecond  // no further node with a disk came for so long
	foundMost  = 3 * time.Second         // with fewer than are needed, the core begins all the same
	foundNext  = 2500 * time.Millisecond // the next seed begins it where the ones before are silent
	foundLate  = 6 * time.Second         // as long waits one that has lived before: others may still come with a state
	foundAgain = time.Second
	lookEvery  = 200 * time.Millisecond
	dialLate   = 2 * time.Second // a node without a disk that said nothing yet is dialed after so long: it may not find its way
	guestFor   = 5 * time.Second // a node without a disk is answered by another one for so long after its hello
	maxNodes   = 1024            // as many as there may be slots
)

type peer struct {
	Node
	met    bool // it said hello in its present life
	knows  bool // of one that holds a state of the core
	named  bool // as one to keep a link to
	linked bool // we want a link to it
	up     bool // and have it
	heard  time.Duration
	known  time.Duration
	asked  time.Duration // when it last said hello
	hello  hello         // what was said to it
	live   bool
}

// Roster is one node's knowledge of all.
type Roster struct {
	now, born time.Duration
	me        Node
	terms     Terms
	seeds     []string // as the settings name them now
	peers     map[string]*peer
	slots     map[string]Slot
	opinions  map[string]opinion
	order     []SlotHolder
	ready     []Action
	looked    time.Duration
	lastDisk  time.Duration            // when a node with a disk was first met
	founders  []Founder                // who begin the core, where this node says so
	toldAt    map[string]time.Duration // them, by address
	changed   bool
}

// SlotHolder is a node's entry in the order of slots.
type SlotHolder struct{ Name, Addr, Control, Zone string }

// New makes one that knows its seeds.
func New(me Node, t Terms, now time.Duration) *Roster {
	c := &Roster{now: now, born: now, me: me, terms: t, peers: map[string]*peer{}, slots: map[string]Slot{}, opinions: map[string]opinion{},
		toldAt: map[string]time.Duration{}, looked: now, lastDisk: now}
	c.SetSeeds(t.Seeds)
	return c
}

// Now sets the clock. A long step means that this node stood still and could hear nobody: silence counts anew. Else it would
// take all for lost for a moment, and leave the node that it follows though all that this one sent lies unread.
func (c *Roster) Now(t time.Duration) {
	if step := t - c.now; step > standstill {
		c.lastDisk = t // others may have begun the core meanwhile: their word of it lies unread
		for _, d := range c.peers {
			d.heard += step
		}
		for a, o := range c.opinions {
			o.at += step
			c.opinions[a] = o
		}
	}
	c.now = max(c.now, t)
}

// Me is what this node says of itself.
func (c *Roster) Me() Node { return c.me }

// Settle says which founding this node's disk holds a state of from now on; all are told.
func (c *Roster) Settle(disk Disk, clusterID uint64) {
	if c.me.Disk != disk || c.me.House != clusterID {
		c.me.Disk, c.me.Founded, c.me.House = disk, clusterID != 0, clusterID
		c.greetAll()
	}
}

// Spreads tells whether the word of a founding may go to a node: to seeds first, which hold one alone each, and to all others once more
// than half of the seeds hold it, so that no two foundings ever come that far. A seed without a disk can hold none: being there is
// all that it says, as when the core is begun.
func (c *Roster) Spreads(clusterID uint64, to string) bool {
	n := 0
	for _, a := range c.terms.Seeds {
		d, ok := c.Node(a)
		if ok && (d.Disk != 0 && d.House == clusterID || d.Disk == 0 && c.Live(a)) {
			n++
		}
	}
	return 2*n > len(c.terms.Seeds) || slices.Contains(c.terms.Seeds, to)
}

// End says that this node ends; all are told.
func (c *Roster) End() {
	c.me.Leaving = true
	c.greetAll()
}

func (c *Roster) greetAll() {
	for _, a := range c.Addrs() {
		p := c.peers[a]
		p.hello.again, p.hello.confirms = 0, false
		if p.up {
			c.greet(a, p)
		}
	}
}

func (c *Roster) do(a Action) { c.ready = append(c.ready, a) }

func (c *Roster) learn(addr string) *peer {
	d := c.peers[addr]
	if d != nil || addr == c.me.Addr || addr == "" || len(c.peers) >= maxNodes {
		return d
	}
	d = &peer{Node: Node{Addr: addr}, heard: c.now - silentFor, known: c.now, asked: c.now - guestFor}
	c.peers[addr] = d
	c.link(addr, d)
	return d
}

// link keeps or leaves our link to a node. Nodes with a disk keep links to all, the others to those alone, so that links
// and what goes over them grow with the nodes and not with their square. Two nodes without a disk are linked only while one
// of them may know nobody else: it dials its seeds until it has a slot and a node with a disk, and is answered meanwhile.
// A node without a disk that has said nothing is left to dial first: a node with a disk that starts knows hundreds by the order
// of slots, and would dial them all in the moment in which they all dial it.
func (c *Roster) link(addr string, d *peer) {
	want := c.me.Disk != 0 && (d.met || c.now-d.heard < silentFor || c.now-d.known >= dialLate) || d.Disk != 0 || d.named && !d.met || c.now-d.asked < guestFor ||
		slices.Contains(c.seeds, addr) && !c.tied()
	switch {
	case want && !d.linked:
		c.do(Action{Verb: Want, Addr: addr})
	case !want && d.linked:
		d.up = false
		c.do(Action{Verb: Leave, Addr: addr})
	}
	d.linked = want
}

// tied tells whether this node needs its seeds no more: the core has told who there is, and a node with a disk lives.
func (c *Roster) tied() bool {
	if len(c.order) == 0 {
		return false
	}
	for _, d := range c.peers {
		if d.live && d.Disk != 0 {
			return true
		}
	}
	return false
}

// SetSeeds takes the seeds that the settings name by now. Who begins the core goes by those of the start: they are alike
// at all nodes.
func (c *Roster) SetSeeds(all []string) {
	c.seeds = all
	for _, a := range all {
		if d := c.learn(a); d != nil {
			c.link(a, d)
		}
	}
}

// Up and Down tell how our link to a node is.
func (c *Roster) Up(addr string) {
	if d := c.peers[addr]; d != nil {
		d.up = true
		c.greet(addr, d)
		c.look() // its hello may have come before
	}
}

// Down is told when the link to a node ended.
func (c *Roster) Down(addr string) {
	if d := c.peers[addr]; d != nil {
		d.up = false
		c.look()
	}
}

// Heard is told when something came from a node.
func (c *Roster) Heard(addr string) {
	if d := c.learn(addr); d != nil {
		d.heard = c.now
		if !d.live {
			c.look()
		}
	}
}

// Hello takes what a node says of itself.
func (c *Roster) Hello(from string, h Hello) {
	d := c.learn(from)
	if d == nil {
		return
	}
	if h.Door.Disk != 0 && d.Disk != h.Door.Disk {
		c.lastDisk = c.now
	}
	again := d.met && d.Life != h.Door.Life
	found := h.Door.Disk != 0 && (!d.met || d.Disk != h.Door.Disk)
	begun := c.begun()
	d.hello.heard(h, d, c.me)
	d.Node, d.met, d.knows, d.heard, d.asked = h.Door, true, h.Begun, c.now, c.now
	d.Addr = from
	c.link(from, d)
	switch {
	case begun && !c.begun(): // it held a founding that nobody joined, and has laid it aside: who was told of it must not wait on
		c.greetAll()
	case begun != c.begun():
		c.warn()
	}
	for _, a := range h.Known {
		if o := c.learn(a); o != nil {
			o.named = true
			c.link(a, o)
		}
	}
	if found && c.me.Disk == 0 { // whoever has dialed this node as a seed waits for such a one
		for _, a := range c.Addrs() {
			if o := c.peers[a]; o.up && o.Disk == 0 {
				c.greet(a, o)
			}
		}
	}
	if again {
		c.changed = true
	}
	c.look()
}

// begun tells whether a node that was met holds a state of the core.
func (c *Roster) begun() bool {
	for _, d := range c.peers {
		if d.met && d.Founded {
			return true
		}
	}
	return false
}

// warn tells the seeds that may still begin the core whether another one has: they may not reach it themselves.
func (c *Roster) warn() {
	for _, a := range c.terms.Seeds {
		if d := c.peers[a]; d != nil && d.up && d.met && d.First && !d.Founded {
			c.greet(a, d)
		}
	}
}

// SetSlots takes the order of slots as the core has it.
func (c *Roster) SetSlots(order []SlotHolder) {
	c.order = order
	clear(c.slots)
	for i, s := range order {
		c.slots[s.Addr] = Slot(i)
		c.learn(s.Addr)
	}
	c.changed = true
}

// Slot of an address, or NoSlot.
func (c *Roster) Slot(addr string) Slot {
	if s, ok := c.slots[addr]; ok {
		return s
	}
	return NoSlot
}

// At is who has a slot.
func (c *Roster) At(s Slot) (SlotHolder, bool) {
	if s < 0 || int(s) >= len(c.order) {
		return SlotHolder{}, false
	}
	return c.order[s], true
}

// Order is all slots.
func (c *Roster) Order() []SlotHolder { return c.order }

// Live tells whether a node is linked both ways.
func (c *Roster) Live(addr string) bool {
	d := c.peers[addr]
	return addr == c.me.Addr || d != nil && d.live
}

// Node is what a node last said of itself.
func (c *Roster) Node(addr string) (Node, bool) {
	if addr == c.me.Addr {
		return c.me, true
	}
	d := c.peers[addr]
	if d == nil || !d.met {
		return Node{}, false
	}
	return d.Node, true
}

// Disks are the live nodes with a disk, this one among them, in the order of their addresses.
func (c *Roster) Disks() (all []Node) {
	if c.me.Disk != 0 {
		all = append(all, c.me)
	}
	for _, a := range c.Addrs() {
		if d := c.peers[a]; d.live && d.Disk != 0 {
			all = append(all, d.Node)
		}
	}
	return all
}

// Linked are the other nodes with a disk that our links reach, live or not, in the order of their addresses: where nobody lives
// as far as this node is told, it is one of these that may tell more.
func (c *Roster) Linked() (all []Node) {
	for _, a := range c.Addrs() {
		if d := c.peers[a]; d.up && d.met && d.Disk != 0 {
			all = append(all, d.Node)
		}
	}
	return all
}

// Addrs are the other nodes that are known, in order.
func (c *Roster) Addrs() []string {
	all := make([]string, 0, len(c.peers))
	for a := range c.peers {
		all = append(all, a)
	}
	sort.Strings(all)
	return all
}

// Say is this node's hello to another one: it names the nodes with a disk, and to one with a disk those without that have no slot yet.
// Who has a slot is in the core's order, which all are fed: to name them again in each hello would be the square of the deployment.
func (c *Roster) Say(to string) Hello {
	d := c.peers[to]
	h := Hello{Door: c.me, Begun: c.begun()}
	if d != nil && d.met {
		h.Knows = d.stamp()
	}
	for _, a := range c.Addrs() {
		if a != to && (c.peers[a].Disk != 0 || d != nil && d.Disk != 0 && c.Slot(a) == NoSlot) {
			h.Known = append(h.Known, a)
		}
	}
	return h
}

// look works out who is live.
func (c *Roster) look() {
	c.looked = c.now
	for _, a := range c.Addrs() { // in order: what is asked for must not go by chance
		d := c.peers[a]
		live := (!d.linked || d.up && d.met) && (c.hears(a) || c.told(c.Slot(a)))
		if live != d.live {
			d.live, c.changed = live, true
		}
		c.link(a, d)
		c.helloAgain(a, d)
		if c.Slot(a) == NoSlot && !slices.Contains(c.seeds, a) && c.now-max(d.heard, d.known) > forgetIn {
			delete(c.peers, a)
			if d.linked {
				c.do(Action{Verb: Leave, Addr: a})
			}
		}
	}
	c.found()
}

// found begins the core at the first start of all: the first seed does, once no further node with a disk comes. Only
// where the seeds before are silent, or have lived before, does the next one. If all of them were killed before the first word
// was on disk, none is at its first start any more, and none may wait for ever: then the first live seed begins it, later, where
// as many disks are empty as a core needs, so that nothing can have been acknowledged. Nodes that have a state take
// no such word, and nobody begins anything where one that is met has a state or knows of one that has, or without
// more than half of the seeds: two halves must not found two systems (see Spreads). Who begins it is settled once in a life; the word
// goes again to those that have not written it down, since a link may have lost it.
func (c *Roster) found() {
	if c.founders == nil && !c.begin() {
		return
	}
	clusterID := c.terms.ClusterID(c.founders)
	for _, f := range c.founders {
		d := c.peers[f.Addr]
		if at, told := c.toldAt[f.Addr]; !c.Spreads(clusterID, f.Addr) || told && c.now-at < foundAgain {
			continue
		}
		if f.Addr == c.me.Addr && !c.me.Founded || d != nil && d.up && d.Disk == f.Disk && !d.Founded {
			c.toldAt[f.Addr] = c.now
			c.do(Action{Verb: Found, Addr: f.Addr, Founders: c.founders})
		}
	}
}

// begin tells whether this node is to begin the core now, and names the founders.
func (c *Roster) begin() bool {
	rank := slices.Index(c.terms.Seeds, c.me.Addr)
	turn := time.Duration(rank) * foundNext
	if !c.me.First {
		turn += foundLate
	}
	if c.me.Founded || rank < 0 || c.now-c.born < turn {
		return false
	}
	var with []Founder
	if c.me.Disk != 0 {
		with = append(with, Founder{c.me.Disk, c.me.Addr})
	}
	seeds := 0
	for _, a := range c.terms.Seeds {
		if d := c.peers[a]; a == c.me.Addr || d != nil && d.live && c.now-d.heard < foundHeard {
			seeds++
		}
	}
	if 2*seeds <= len(c.terms.Seeds) {
		return false
	}
	for a, d := range c.peers {
		if d.met && (d.Founded || d.knows) || slices.Contains(c.terms.Seeds[:rank], a) && d.live && (d.First || !c.me.First) {
			return false // it has begun, or is for a seed before to begin
		}
		if d.Disk != 0 && (d.live || d.met && c.me.First) { // it is empty, whichever life this is
			with = append(with, Founder{d.Disk, a})
		}
	}
	need := 2*c.terms.Tolerates + 1
	calm := c.now-c.lastDisk >= foundCalm && c.now-c.born >= foundCalm
	if len(with) == 0 || !calm || len(with) < need && c.now-c.born < foundMost+turn || !c.me.First && len(with) < need {
		return false
	}
	slices.SortFunc(with, func(a, b Founder) int { return strings.Compare(a.Addr, b.Addr) })
	c.founders = with
	return true
}

// Next gives the next thing to do now, or false.
func (c *Roster) Next() (Action, bool) {
	if c.now-c.looked >= lookEvery {
		c.look()
	}
	if len(c.ready) > 0 {
		a := c.ready[0]
		c.ready = c.ready[1:]
		return a, true
	}
	if c.changed {
		c.changed = false
		return Action{Verb: Changed}, true
	}
	return Action{}, false
}
