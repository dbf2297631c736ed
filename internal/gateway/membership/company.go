// Package membership knows the doors of a house: who there is, who is heard, which seats they have, and, at the first
// start of all, which doors found the core. It is free of I/O: inputs only update what is known, the host pulls
// actions with Next.
package membership

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Seat is a door's number, given once by the core; owners of buckets and keepers of backends are hashed over seats.
type Seat int

// NoSeat is the seat of a door that has none yet.
const NoSeat Seat = -1

// Disk names a door's disk; nought: it has none. A wiped disk is another one.
type Disk uint64

// Door is what a door says of itself.
type Door struct {
	Name    string
	Addr    string // where it takes frames: IP and first inner port
	Control string // where it takes control calls
	Zone    string
	Disk    Disk
	First   bool   // the first start of the whole house
	Life    uint64 // drawn at each start
	Founded bool   // its disk holds a state of the core
	Leaving bool   // it was told to end
	House   uint64 // which founding that is
}

// Hello is what doors tell each other when a link comes up, and when something of it changes.
type Hello struct {
	Door  Door
	Known []string // addresses of doors that the other one is to keep links to
	Begun bool     // one that it has met holds a state of the core
}

// Founder is a door that begins the core.
type Founder struct {
	Disk Disk
	Addr string
}

// Verb is what an action asks of the host.
type Verb int

const (
	Want    Verb = iota // keep a link to Addr
	Leave               // keep it no longer
	Greet               // say Hello to Addr
	Found               // tell the door at Addr that Founders begin the core
	Changed             // the live doors are others than before
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
	Tolerates int      // doors with a disk that may be lost at once
	House     func([]Founder) uint64
}

const (
	silentFor  = 2200 * time.Millisecond // a door that is not heard for longer counts as lost
	standstill = time.Second
	forgetIn   = 90 * time.Second        // and after this it is dialed no more, unless it is a seed or has a seat
	foundHeard = 1100 * time.Millisecond // and the seeds were heard within this: one that has just been cut off must not begin it
	foundCalm  = 500 * time.Millisecond  // no further door with a disk came for so long
	foundMost  = 3 * time.Second         // with fewer than are needed, the core begins all the same
	foundNext  = 2500 * time.Millisecond // the next seed begins it where the ones before are silent
	foundLate  = 6 * time.Second         // as long waits one that has lived before: others may still come with a state
	foundAgain = time.Second
	lookEvery  = 200 * time.Millisecond
	guestFor   = 5 * time.Second // a door without a disk is answered by another one for so long after its hello
	doorsMost  = 1024            // as many as there may be seats
)

type door struct {
	Door
	met    bool // it said hello in its present life
	knows  bool // of one that holds a state of the core
	named  bool // as one to keep a link to
	linked bool // we want a link to it
	up     bool // and have it
	heard  time.Duration
	known  time.Duration
	asked  time.Duration // when it last said hello
	live   bool
}

// Company is one door's knowledge of all.
type Company struct {
	now, born time.Duration
	me        Door
	terms     Terms
	seeds     []string // as the settings name them now
	doors     map[string]*door
	seats     map[string]Seat
	opinions  map[string]opinion
	order     []Seated
	ready     []Action
	looked    time.Duration
	lastDisk  time.Duration            // when a door with a disk was first met
	founders  []Founder                // who begin the core, where this door says so
	toldAt    map[string]time.Duration // them, by address
	changed   bool
}

// Seated is a door's entry in the order of seats.
type Seated struct{ Name, Addr, Control, Zone string }

// New makes one that knows its seeds.
func New(me Door, t Terms, now time.Duration) *Company {
	c := &Company{now: now, born: now, me: me, terms: t, doors: map[string]*door{}, seats: map[string]Seat{}, opinions: map[string]opinion{},
		toldAt: map[string]time.Duration{}, looked: now, lastDisk: now}
	c.SetSeeds(t.Seeds)
	return c
}

// Now sets the clock. A long step means that this door stood still and could hear nobody: silence counts anew. Else it would
// take all for lost for a moment, and leave the door that it follows though all that this one sent lies unread.
func (c *Company) Now(t time.Duration) {
	if step := t - c.now; step > standstill {
		c.lastDisk = t // others may have begun the core meanwhile: their word of it lies unread
		for _, d := range c.doors {
			d.heard += step
		}
		for a, o := range c.opinions {
			o.at += step
			c.opinions[a] = o
		}
	}
	c.now = max(c.now, t)
}

// Me is what this door says of itself.
func (c *Company) Me() Door { return c.me }

// Settle says which founding this door's disk holds a state of from now on; all are told.
func (c *Company) Settle(disk Disk, house uint64) {
	if c.me.Disk != disk || c.me.House != house {
		c.me.Disk, c.me.Founded, c.me.House = disk, house != 0, house
		c.greetAll()
	}
}

// Spreads tells whether the word of a founding may go to a door: to seeds first, which hold one alone each, and to all others once more
// than half of the seeds hold it, so that no two foundings ever come that far. A seed without a disk can hold none: being there is
// all that it says, as when the core is begun.
func (c *Company) Spreads(house uint64, to string) bool {
	n := 0
	for _, a := range c.terms.Seeds {
		d, ok := c.Door(a)
		if ok && (d.Disk != 0 && d.House == house || d.Disk == 0 && c.Live(a)) {
			n++
		}
	}
	return 2*n > len(c.terms.Seeds) || slices.Contains(c.terms.Seeds, to)
}

// End says that this door ends; all are told.
func (c *Company) End() {
	c.me.Leaving = true
	c.greetAll()
}

func (c *Company) greetAll() {
	for _, a := range c.Addrs() {
		if c.doors[a].up {
			c.do(Action{Verb: Greet, Addr: a})
		}
	}
}

func (c *Company) do(a Action) { c.ready = append(c.ready, a) }

func (c *Company) learn(addr string) *door {
	d := c.doors[addr]
	if d != nil || addr == c.me.Addr || addr == "" || len(c.doors) >= doorsMost {
		return d
	}
	d = &door{Door: Door{Addr: addr}, heard: c.now - silentFor, known: c.now, asked: c.now - guestFor}
	c.doors[addr] = d
	c.link(addr, d)
	return d
}

// link keeps or leaves our link to a door. Doors with a disk keep links to all, the others to those alone, so that links
// and what goes over them grow with the doors and not with their square. Two doors without a disk are linked only while one
// of them may know nobody else: it dials its seeds until it has a seat and a door with a disk, and is answered meanwhile.
func (c *Company) link(addr string, d *door) {
	want := c.me.Disk != 0 || d.Disk != 0 || d.named && !d.met || c.now-d.asked < guestFor ||
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

// tied tells whether this door needs its seeds no more: the core has told who there is, and a door with a disk lives.
func (c *Company) tied() bool {
	if len(c.order) == 0 {
		return false
	}
	for _, d := range c.doors {
		if d.live && d.Disk != 0 {
			return true
		}
	}
	return false
}

// SetSeeds takes the seeds that the settings name by now. Who begins the core goes by those of the start: they are alike
// at all doors.
func (c *Company) SetSeeds(all []string) {
	c.seeds = all
	for _, a := range all {
		if d := c.learn(a); d != nil {
			c.link(a, d)
		}
	}
}

// Up and Down tell how our link to a door is.
func (c *Company) Up(addr string) {
	if d := c.doors[addr]; d != nil {
		d.up = true
		c.do(Action{Verb: Greet, Addr: addr})
		c.look() // its hello may have come before
	}
}

func (c *Company) Down(addr string) {
	if d := c.doors[addr]; d != nil {
		d.up = false
		c.look()
	}
}

// Heard: something came from a door.
func (c *Company) Heard(addr string) {
	if d := c.learn(addr); d != nil {
		d.heard = c.now
		if !d.live {
			c.look()
		}
	}
}

// Hello takes what a door says of itself.
func (c *Company) Hello(from string, h Hello) {
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
	d.Door, d.met, d.knows, d.heard, d.asked = h.Door, true, h.Begun, c.now, c.now
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
	if found && c.me.Disk == 0 { // whoever has dialed this door as a seed waits for such a one
		for _, a := range c.Addrs() {
			if o := c.doors[a]; o.up && o.Disk == 0 {
				c.do(Action{Verb: Greet, Addr: a})
			}
		}
	}
	if again {
		c.changed = true
	}
	c.look()
}

// begun tells whether a door that was met holds a state of the core.
func (c *Company) begun() bool {
	for _, d := range c.doors {
		if d.met && d.Founded {
			return true
		}
	}
	return false
}

// warn tells the seeds that may still begin the core whether another one has: they may not reach it themselves.
func (c *Company) warn() {
	for _, a := range c.terms.Seeds {
		if d := c.doors[a]; d != nil && d.up && d.met && d.First && !d.Founded {
			c.do(Action{Verb: Greet, Addr: a})
		}
	}
}

// Seats takes the order of seats as the core has it.
func (c *Company) Seats(order []Seated) {
	c.order = order
	clear(c.seats)
	for i, s := range order {
		c.seats[s.Addr] = Seat(i)
		c.learn(s.Addr)
	}
	c.changed = true
}

// Seat of an address, or NoSeat.
func (c *Company) Seat(addr string) Seat {
	if s, ok := c.seats[addr]; ok {
		return s
	}
	return NoSeat
}

// At is who has a seat.
func (c *Company) At(s Seat) (Seated, bool) {
	if s < 0 || int(s) >= len(c.order) {
		return Seated{}, false
	}
	return c.order[s], true
}

// Order is all seats.
func (c *Company) Order() []Seated { return c.order }

// Live tells whether a door is linked both ways.
func (c *Company) Live(addr string) bool {
	d := c.doors[addr]
	return addr == c.me.Addr || d != nil && d.live
}

// Door is what a door last said of itself.
func (c *Company) Door(addr string) (Door, bool) {
	if addr == c.me.Addr {
		return c.me, true
	}
	d := c.doors[addr]
	if d == nil || !d.met {
		return Door{}, false
	}
	return d.Door, true
}

// Disks are the live doors with a disk, this one among them, in the order of their addresses.
func (c *Company) Disks() (all []Door) {
	if c.me.Disk != 0 {
		all = append(all, c.me)
	}
	for _, a := range c.Addrs() {
		if d := c.doors[a]; d.live && d.Disk != 0 {
			all = append(all, d.Door)
		}
	}
	return all
}

// Linked are the other doors with a disk that our links reach, live or not, in the order of their addresses: where nobody lives
// as far as this door is told, it is one of these that may tell more.
func (c *Company) Linked() (all []Door) {
	for _, a := range c.Addrs() {
		if d := c.doors[a]; d.up && d.met && d.Disk != 0 {
			all = append(all, d.Door)
		}
	}
	return all
}

// Addrs are the other doors that are known, in order.
func (c *Company) Addrs() []string {
	all := make([]string, 0, len(c.doors))
	for a := range c.doors {
		all = append(all, a)
	}
	sort.Strings(all)
	return all
}

// Say is this door's hello to another one: it names all doors to one with a disk, and those with a disk to the others.
func (c *Company) Say(to string) Hello {
	h := Hello{Door: c.me, Begun: c.begun()}
	d := c.doors[to]
	for _, a := range c.Addrs() {
		if a != to && (d != nil && d.Disk != 0 || c.doors[a].Disk != 0) {
			h.Known = append(h.Known, a)
		}
	}
	return h
}

// look works out who is live.
func (c *Company) look() {
	c.looked = c.now
	for _, a := range c.Addrs() { // in order: what is asked for must not go by chance
		d := c.doors[a]
		live := (!d.linked || d.up && d.met) && (c.hears(a) || c.told(c.Seat(a)))
		if live != d.live {
			d.live, c.changed = live, true
		}
		c.link(a, d)
		if c.Seat(a) == NoSeat && !slices.Contains(c.seeds, a) && c.now-max(d.heard, d.known) > forgetIn {
			delete(c.doors, a)
			if d.linked {
				c.do(Action{Verb: Leave, Addr: a})
			}
		}
	}
	c.found()
}

// found begins the core at the first start of all: the first seed does, once no further door with a disk comes. Only
// where the seeds before are silent, or have lived before, does the next one. If all of them were killed before the first word
// was on disk, none is at its first start any more, and none may wait for ever: then the first live seed begins it, later, where
// as many disks are empty as a core needs, so that nothing can have been acknowledged. Doors that have a state take
// no such word, and nobody begins anything where one that is met has a state or knows of one that has, or without
// more than half of the seeds: two halves must not found two systems (see Spreads). Who begins it is settled once in a life; the word
// goes again to those that have not written it down, since a link may have lost it.
func (c *Company) found() {
	if c.founders == nil && !c.begin() {
		return
	}
	house := c.terms.House(c.founders)
	for _, f := range c.founders {
		d := c.doors[f.Addr]
		if at, told := c.toldAt[f.Addr]; !c.Spreads(house, f.Addr) || told && c.now-at < foundAgain {
			continue
		}
		if f.Addr == c.me.Addr && !c.me.Founded || d != nil && d.up && d.Disk == f.Disk && !d.Founded {
			c.toldAt[f.Addr] = c.now
			c.do(Action{Verb: Found, Addr: f.Addr, Founders: c.founders})
		}
	}
}

// begin tells whether this door is to begin the core now, and names the founders.
func (c *Company) begin() bool {
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
		if d := c.doors[a]; a == c.me.Addr || d != nil && d.live && c.now-d.heard < foundHeard {
			seeds++
		}
	}
	if 2*seeds <= len(c.terms.Seeds) {
		return false
	}
	for a, d := range c.doors {
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
func (c *Company) Next() (Action, bool) {
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
