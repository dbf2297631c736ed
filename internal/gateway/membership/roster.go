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
	Name         string
	Addr         string // where it takes frames: IP and first inner port
	ControlAddr  string // where it takes control calls
	Zone         string
	Disk         Disk
	FirstStart   bool   // the first start of the whole deployment
	Incarnation  uint64 // drawn at each start
	Bootstrapped bool   // its disk holds a state of the core
	Leaving      bool   // it was told to end
	ClusterID    uint64 // which founding that is
}

// Hello is what nodes tell each other when a link comes up, and when something of it changes.
type Hello struct {
	Node          Node
	KnownAddrs    []string // addresses of nodes that the other one is to keep links to
	ClusterExists bool     // one that it has met holds a state of the core
	ChunkedCalls  bool     // its program takes large calls in parts
	Acknowledged  uint64   // what its sender last heard of whom it is for, see Node.stamp; 0: nothing
}

// Founder is a node that begins the core.
type Founder struct {
	Disk Disk
	Addr string
}

// ActionKind is what an action asks of the host.
type ActionKind int

// What may become of a link.
const (
	Connect          ActionKind = iota // keep a link to Addr
	Disconnect                         // keep it no longer
	SendHello                          // say Hello to Addr
	Bootstrap                          // tell the node at Addr that Founders begin the core
	LiveNodesChanged                   // the live nodes are others than before
)

// Action is one thing to do now.
type Action struct {
	Kind     ActionKind
	Addr     string
	Founders []Founder
}

// Config are what a deployment sets.
type Config struct {
	Seeds           []string // inner addresses, in the order of the settings
	ToleratedLosses int      // peers with a disk that may be lost at once
	ClusterID       func([]Founder) uint64
}

const (
	livenessTimeout         = 2200 * time.Millisecond // a node that is not heard for longer counts as lost
	stallThreshold          = time.Second
	forgetAfter             = 90 * time.Second        // and after this it is dialed no more, unless it is a seed or has a slot
	bootstrapContactTimeout = 1100 * time.Millisecond // and the seeds were heard within this: one that has just been cut off must not begin it
	bootstrapQuietPeriod    = 500 * time.Millisecond  // no further node with a disk came for so long
	bootstrapTimeout        = 3 * time.Second         // with fewer than are needed, the core begins all the same
	bootstrapSeedInterval   = 2500 * time.Millisecond // the next seed begins it where the ones before are silent
	bootstrapRestartDelay   = 6 * time.Second         // as long waits one that has lived before: others may still come with a state
	bootstrapResendInterval = time.Second
	refreshInterval         = 200 * time.Millisecond
	passiveDialDelay        = 2 * time.Second // a node without a disk that said nothing yet is dialed after so long: it may not find its way
	guestLinkTimeout        = 5 * time.Second // a node without a disk is answered by another one for so long after its hello
	maxNodes                = 1024            // as many as there may be slots
)

type peer struct {
	Node
	introduced   bool // it said hello in its present life
	knowsCluster bool // of one that holds a state of the core
	advertised   bool // as one to keep a link to
	linkWanted   bool // we want a link to it
	linkUp       bool // and have it
	receivedAt   time.Duration
	discoveredAt time.Duration
	helloAt      time.Duration // when it last said hello
	hello        helloState    // what was said to it
	live         bool
}

// Roster is one node's knowledge of all.
type Roster struct {
	now, startedAt  time.Duration
	self            Node
	config          Config
	seeds           []string // as the settings name them now
	peers           map[string]*peer
	slots           map[string]Slot
	livenessReports map[string]livenessReport
	slotHolders     []SlotHolder
	actions         []Action
	refreshedAt     time.Duration
	lastDiskAt      time.Duration            // when a node with a disk was first met
	founders        []Founder                // who begin the core, where this node says so
	bootstrapSentAt map[string]time.Duration // them, by address
	changed         bool
}

// SlotHolder is a node's entry in the order of slots.
type SlotHolder struct{ Name, Addr, Control, Zone string }

// New makes one that knows its seeds.
func New(me Node, t Config, now time.Duration) *Roster {
	c := &Roster{now: now, startedAt: now, self: me, config: t, peers: map[string]*peer{}, slots: map[string]Slot{}, livenessReports: map[string]livenessReport{},
		bootstrapSentAt: map[string]time.Duration{}, refreshedAt: now, lastDiskAt: now}
	c.SetSeeds(t.Seeds)
	return c
}

// Tick sets the clock. A long step means that this node stood still and could hear nobody: silence counts anew. Else it would
// take all for lost for a moment, and leave the node that it follows though all that this one sent lies unread.
func (r *Roster) Tick(t time.Duration) {
	if step := t - r.now; step > stallThreshold {
		r.lastDiskAt = t // others may have begun the core meanwhile: their word of it lies unread
		for _, d := range r.peers {
			d.receivedAt += step
		}
		for a, o := range r.livenessReports {
			o.receivedAt += step
			r.livenessReports[a] = o
		}
	}
	r.now = max(r.now, t)
}

// Self is what this node says of itself.
func (r *Roster) Self() Node { return r.self }

// SetCluster says which founding this node's disk holds a state of from now on; all are told.
func (r *Roster) SetCluster(disk Disk, clusterID uint64) {
	if r.self.Disk != disk || r.self.ClusterID != clusterID {
		r.self.Disk, r.self.Bootstrapped, r.self.ClusterID = disk, clusterID != 0, clusterID
		r.helloAll()
	}
}

// MayBootstrap tells whether the word of a founding may go to a node: to seeds first, which hold one alone each, and to all others once more
// than half of the seeds hold it, so that no two foundings ever come that far. A seed without a disk can hold none: being there is
// all that it says, as when the core is begun.
func (r *Roster) MayBootstrap(clusterID uint64, to string) bool {
	n := 0
	for _, a := range r.config.Seeds {
		d, ok := r.Node(a)
		if ok && (d.Disk != 0 && d.ClusterID == clusterID || d.Disk == 0 && r.Live(a)) {
			n++
		}
	}
	return 2*n > len(r.config.Seeds) || slices.Contains(r.config.Seeds, to)
}

// AnnounceShutdown says that this node ends; all are told.
func (r *Roster) AnnounceShutdown() {
	r.self.Leaving = true
	r.helloAll()
}

func (r *Roster) helloAll() {
	for _, a := range r.Addrs() {
		p := r.peers[a]
		p.hello.repeats, p.hello.confirmed = 0, false
		if p.linkUp {
			r.sendHello(a, p)
		}
	}
}

func (r *Roster) push(a Action) { r.actions = append(r.actions, a) }

func (r *Roster) discover(addr string) *peer {
	d := r.peers[addr]
	if d != nil || addr == r.self.Addr || addr == "" || len(r.peers) >= maxNodes {
		return d
	}
	d = &peer{Node: Node{Addr: addr}, receivedAt: r.now - livenessTimeout, discoveredAt: r.now, helloAt: r.now - guestLinkTimeout}
	r.peers[addr] = d
	r.updateLink(addr, d)
	return d
}

// updateLink keeps or leaves our link to a node. Nodes with a disk keep links to all, the others to those alone, so that links
// and what goes over them grow with the nodes and not with their square. Two nodes without a disk are linked only while one
// of them may know nobody else: it dials its seeds until it has a slot and a node with a disk, and is answered meanwhile.
// A node without a disk that has said nothing is left to dial first: a node with a disk that starts knows hundreds by the order
// of slots, and would dial them all in the moment in which they all dial it.
func (r *Roster) updateLink(addr string, d *peer) {
	want := r.self.Disk != 0 && (d.introduced || r.now-d.receivedAt < livenessTimeout || r.now-d.discoveredAt >= passiveDialDelay) || d.Disk != 0 || d.advertised && !d.introduced || r.now-d.helloAt < guestLinkTimeout ||
		slices.Contains(r.seeds, addr) && !r.attached()
	switch {
	case want && !d.linkWanted:
		r.push(Action{Kind: Connect, Addr: addr})
	case !want && d.linkWanted:
		d.linkUp = false
		r.push(Action{Kind: Disconnect, Addr: addr})
	}
	d.linkWanted = want
}

// attached tells whether this node needs its seeds no more: the core has told who there is, and a node with a disk lives.
func (r *Roster) attached() bool {
	if len(r.slotHolders) == 0 {
		return false
	}
	for _, d := range r.peers {
		if d.live && d.Disk != 0 {
			return true
		}
	}
	return false
}

// SetSeeds takes the seeds that the settings name by now. Who begins the core goes by those of the start: they are alike
// at all nodes.
func (r *Roster) SetSeeds(all []string) {
	r.seeds = all
	for _, a := range all {
		if d := r.discover(a); d != nil {
			r.updateLink(a, d)
		}
	}
}

// LinkUp and Down tell how our link to a node is.
func (r *Roster) LinkUp(addr string) {
	if d := r.peers[addr]; d != nil {
		d.linkUp = true
		r.sendHello(addr, d)
		r.refresh() // its hello may have come before
	}
}

// LinkDown is told when the link to a node ended.
func (r *Roster) LinkDown(addr string) {
	if d := r.peers[addr]; d != nil {
		d.linkUp = false
		r.refresh()
	}
}

// FrameReceived is told when something came from a node.
func (r *Roster) FrameReceived(addr string) {
	if d := r.discover(addr); d != nil {
		d.receivedAt = r.now
		if !d.live {
			r.refresh()
		}
	}
}

// HandleHello takes what a node says of itself.
func (r *Roster) HandleHello(from string, h Hello) {
	d := r.discover(from)
	if d == nil {
		return
	}
	if h.Node.Disk != 0 && d.Disk != h.Node.Disk {
		r.lastDiskAt = r.now
	}
	again := d.introduced && d.Incarnation != h.Node.Incarnation
	found := h.Node.Disk != 0 && (!d.introduced || d.Disk != h.Node.Disk)
	begun := r.clusterExists()
	d.hello.received(h, d, r.self)
	d.Node, d.introduced, d.knowsCluster, d.receivedAt, d.helloAt = h.Node, true, h.ClusterExists, r.now, r.now
	d.Addr = from
	r.updateLink(from, d)
	switch {
	case begun && !r.clusterExists(): // it held a founding that nobody joined, and has laid it aside: who was told of it must not wait on
		r.helloAll()
	case begun != r.clusterExists():
		r.notifySeeds()
	}
	for _, a := range h.KnownAddrs {
		if o := r.discover(a); o != nil {
			o.advertised = true
			r.updateLink(a, o)
		}
	}
	if found && r.self.Disk == 0 { // whoever has dialed this node as a seed waits for such a one
		for _, a := range r.Addrs() {
			if o := r.peers[a]; o.linkUp && o.Disk == 0 {
				r.sendHello(a, o)
			}
		}
	}
	if again {
		r.changed = true
	}
	r.refresh()
}

// clusterExists tells whether a node that was met holds a state of the core.
func (r *Roster) clusterExists() bool {
	for _, d := range r.peers {
		if d.introduced && d.Bootstrapped {
			return true
		}
	}
	return false
}

// notifySeeds tells the seeds that may still begin the core whether another one has: they may not reach it themselves.
func (r *Roster) notifySeeds() {
	for _, a := range r.config.Seeds {
		if d := r.peers[a]; d != nil && d.linkUp && d.introduced && d.FirstStart && !d.Bootstrapped {
			r.sendHello(a, d)
		}
	}
}

// SetSlots takes the order of slots as the core has it.
func (r *Roster) SetSlots(order []SlotHolder) {
	r.slotHolders = order
	clear(r.slots)
	for i, s := range order {
		r.slots[s.Addr] = Slot(i)
		r.discover(s.Addr)
	}
	r.changed = true
}

// Slot of an address, or NoSlot.
func (r *Roster) Slot(addr string) Slot {
	if s, ok := r.slots[addr]; ok {
		return s
	}
	return NoSlot
}

// SlotHolderAt is who has a slot.
func (r *Roster) SlotHolderAt(s Slot) (SlotHolder, bool) {
	if s < 0 || int(s) >= len(r.slotHolders) {
		return SlotHolder{}, false
	}
	return r.slotHolders[s], true
}

// SlotHolders is all slots.
func (r *Roster) SlotHolders() []SlotHolder { return r.slotHolders }

// Live tells whether a node is linked both ways.
func (r *Roster) Live(addr string) bool {
	d := r.peers[addr]
	return addr == r.self.Addr || d != nil && d.live
}

// Node is what a node last said of itself.
func (r *Roster) Node(addr string) (Node, bool) {
	if addr == r.self.Addr {
		return r.self, true
	}
	d := r.peers[addr]
	if d == nil || !d.introduced {
		return Node{}, false
	}
	return d.Node, true
}

// LiveDiskNodes are the live nodes with a disk, this one among them, in the order of their addresses.
func (r *Roster) LiveDiskNodes() (all []Node) {
	if r.self.Disk != 0 {
		all = append(all, r.self)
	}
	for _, a := range r.Addrs() {
		if d := r.peers[a]; d.live && d.Disk != 0 {
			all = append(all, d.Node)
		}
	}
	return all
}

// LinkedDiskNodes are the other nodes with a disk that our links reach, live or not, in the order of their addresses: where nobody lives
// as far as this node is told, it is one of these that may tell more.
func (r *Roster) LinkedDiskNodes() (all []Node) {
	for _, a := range r.Addrs() {
		if d := r.peers[a]; d.linkUp && d.introduced && d.Disk != 0 {
			all = append(all, d.Node)
		}
	}
	return all
}

// Addrs are the other nodes that are known, in order.
func (r *Roster) Addrs() []string {
	all := make([]string, 0, len(r.peers))
	for a := range r.peers {
		all = append(all, a)
	}
	sort.Strings(all)
	return all
}

// HelloTo is this node's hello to another one: it names the nodes with a disk, and to one with a disk those without that have no slot yet.
// Who has a slot is in the core's order, which all are fed: to name them again in each hello would be the square of the deployment.
func (r *Roster) HelloTo(to string) Hello {
	d := r.peers[to]
	h := Hello{Node: r.self, ClusterExists: r.clusterExists()}
	if d != nil && d.introduced {
		h.Acknowledged = d.fingerprint()
	}
	for _, a := range r.Addrs() {
		if a != to && (r.peers[a].Disk != 0 || d != nil && d.Disk != 0 && r.Slot(a) == NoSlot) {
			h.KnownAddrs = append(h.KnownAddrs, a)
		}
	}
	return h
}

// refresh works out who is live.
func (r *Roster) refresh() {
	r.refreshedAt = r.now
	for _, a := range r.Addrs() { // in order: what is asked for must not go by chance
		d := r.peers[a]
		live := (!d.linkWanted || d.linkUp && d.introduced) && (r.reachable(a) || r.reportedLive(r.Slot(a)))
		if live != d.live {
			d.live, r.changed = live, true
		}
		r.updateLink(a, d)
		r.repeatHello(a, d)
		if r.Slot(a) == NoSlot && !slices.Contains(r.seeds, a) && r.now-max(d.receivedAt, d.discoveredAt) > forgetAfter {
			delete(r.peers, a)
			if d.linkWanted {
				r.push(Action{Kind: Disconnect, Addr: a})
			}
		}
	}
	r.bootstrap()
}

// bootstrap begins the core at the first start of all: the first seed does, once no further node with a disk comes. Only
// where the seeds before are silent, or have lived before, does the next one. If all of them were killed before the first word
// was on disk, none is at its first start any more, and none may wait for ever: then the first live seed begins it, later, where
// as many disks are empty as a core needs, so that nothing can have been acknowledged. Nodes that have a state take
// no such word, and nobody begins anything where one that is met has a state or knows of one that has, or without
// more than half of the seeds: two halves must not found two systems (see Spreads). Who begins it is settled once in a life; the word
// goes again to those that have not written it down, since a link may have lost it.
func (r *Roster) bootstrap() {
	if r.founders == nil && !r.chooseFounders() {
		return
	}
	clusterID := r.config.ClusterID(r.founders)
	for _, f := range r.founders {
		d := r.peers[f.Addr]
		if at, told := r.bootstrapSentAt[f.Addr]; !r.MayBootstrap(clusterID, f.Addr) || told && r.now-at < bootstrapResendInterval {
			continue
		}
		if f.Addr == r.self.Addr && !r.self.Bootstrapped || d != nil && d.linkUp && d.Disk == f.Disk && !d.Bootstrapped {
			r.bootstrapSentAt[f.Addr] = r.now
			r.push(Action{Kind: Bootstrap, Addr: f.Addr, Founders: r.founders})
		}
	}
}

// chooseFounders tells whether this node is to begin the core now, and names the founders.
func (r *Roster) chooseFounders() bool {
	rank := slices.Index(r.config.Seeds, r.self.Addr)
	turn := time.Duration(rank) * bootstrapSeedInterval
	if !r.self.FirstStart {
		turn += bootstrapRestartDelay
	}
	if r.self.Bootstrapped || rank < 0 || r.now-r.startedAt < turn {
		return false
	}
	var with []Founder
	if r.self.Disk != 0 {
		with = append(with, Founder{r.self.Disk, r.self.Addr})
	}
	seeds := 0
	for _, a := range r.config.Seeds {
		if d := r.peers[a]; a == r.self.Addr || d != nil && d.live && r.now-d.receivedAt < bootstrapContactTimeout {
			seeds++
		}
	}
	if 2*seeds <= len(r.config.Seeds) {
		return false
	}
	for a, d := range r.peers {
		if d.introduced && (d.Bootstrapped || d.knowsCluster) || slices.Contains(r.config.Seeds[:rank], a) && d.live && (d.FirstStart || !r.self.FirstStart) {
			return false // it has begun, or is for a seed before to begin
		}
		if d.Disk != 0 && (d.live || d.introduced && r.self.FirstStart) { // it is empty, whichever life this is
			with = append(with, Founder{d.Disk, a})
		}
	}
	need := 2*r.config.ToleratedLosses + 1
	calm := r.now-r.lastDiskAt >= bootstrapQuietPeriod && r.now-r.startedAt >= bootstrapQuietPeriod
	if len(with) == 0 || !calm || len(with) < need && r.now-r.startedAt < bootstrapTimeout+turn || !r.self.FirstStart && len(with) < need {
		return false
	}
	slices.SortFunc(with, func(a, b Founder) int { return strings.Compare(a.Addr, b.Addr) })
	r.founders = with
	return true
}

// Next gives the next thing to do now, or false.
func (r *Roster) Next() (Action, bool) {
	if r.now-r.refreshedAt >= refreshInterval {
		r.refresh()
	}
	if len(r.actions) > 0 {
		a := r.actions[0]
		r.actions = r.actions[1:]
		return a, true
	}
	if r.changed {
		r.changed = false
		return Action{Kind: LiveNodesChanged}, true
	}
	return Action{}, false
}
