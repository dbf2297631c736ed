// Package registry keeps the list of backends as one node knows it.
//
// Each backend has one registrar among the live nodes with a disk, named by its id. Beats are steered there; the registrar
// watches for silence and tells the other nodes with a disk what changed, and each of these tells the nodes that follow
// it. Beats themselves do not travel, and nodes without a disk tell each other nothing: what goes over a link does not
// grow with their number. What nodes know of a backend joins in any order to the same result: see join. The registry does no I/O: inputs update what is
// known, the host then pulls with Next until nothing is left. All times are the host's steady clock since
// its start.
package registry

import (
	"slices"
	"strings"
	"time"

	"clovergap/internal/proxy/invariant"
)

// Slot is a node's number, the same at every node and in every life of it.
type Slot int

// None is no node.
const None Slot = -1

// Phase is where a backend is in its life.
type Phase uint8

// The phases of a backend.
const (
	Ready    Phase = iota // takes requests
	Draining              // takes no new ones; never becomes Ready again
	Gone                  // silent, left, or another is at its address
)

func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "gone"
}

// Record is what one node knows of one backend. Of a beat, the host sets the fields up to Seq.
type Record struct {
	ID         string
	Service    string
	Addr       string // host:port
	Zone       string
	Generation string
	Capacity   int           // requests at a time
	Phase      Phase         // Gone is not for beats: see Leave
	ColdLeft   time.Duration // how long it stays slow, from the time of the word
	Seq        uint64        // call_seq

	Drained bool          // has once said draining: sticky
	Final   bool          // has left: nothing revives it
	Age     time.Duration // since the first node heard of it, at the time of the word
	Keeper  Slot          // who watches it
	Fence   uint64        // how often it changed hands; 0: nobody watches yet
	Missed  Slot          // whom the registrar took it from unasked, as it no longer heard that node; else None
}

// Message is what nodes tell each other. Nr 0 wants no confirmation.
type Message struct {
	Nr     uint64
	Words  []Record // what changed, or the registry on a greeting
	Beats  []Record // beats that came to a node which is not the registrar
	Doubts []Record // somebody else answered at the address of these
	Acks   []uint64 // numbers of messages taken in
	All    bool     // from here on the sender tells all that it has

	Unreached []Slot // with ends among Words: nodes with a disk that the sender does not reach, and the receiver may
}

// Node is a node that is known, this one too, live or not.
type Node struct {
	Seat    Slot
	Control string // address for beats; a live node without one keeps nothing
	Zone    string // backends are kept in their own zone where a node lives there; "" everywhere: any node
	Live    bool   // heard of late; for this node it does not matter
	Firm    bool   // has a disk and counts as a loss: such keep backends, and copies at them are what a drain rests on
	Hears   bool   // it follows this node, and is told all that becomes known here
}

// Terms are the figures of the settings file that bind the registry.
type Terms struct {
	BeatInterval time.Duration // between two beats of a backend
	Enough       int           // nodes with a disk that must hold an end before it is acknowledged: tolerated losses + 1
	Life         uint32        // differs between lives of this node: old confirmations match nothing
}

// Ticket names a call of a backend that waits for Acknowledge.
type Ticket uint64

// Action is what the host is to do: Send, Changed, Acknowledge or Wake.
type Action interface{ action() }

// Send goes to another node; it may be lost.
type Send struct {
	To      Slot
	Message Message
}

// Changed tells the view of one backend that differs from the last told. ColdUntil is on the host's clock.
type Changed struct {
	Word      Record
	ColdUntil time.Duration
}

// Acknowledge ends a ticket: 200 with Target as beat_target where OK, else 503.
type Acknowledge struct {
	Ticket Ticket
	Target string // may be empty
	OK     bool
}

// Wake asks for Now at a time, or earlier. The newest counts.
type Wake struct{ At time.Duration }

func (Send) action()        {}
func (Changed) action()     {}
func (Acknowledge) action() {}
func (Wake) action()        {}

const (
	most       = 8192                   // backends that are known, tombstones too
	tombs      = 4096                   // of them gone
	tombFor    = 60 * time.Second       // how long a gone one is remembered
	nameFor    = 3 * time.Second        // for so long the node that is followed may pause while it tells all it has
	nameMost   = 10 * time.Second       // and take in all
	tick       = 500 * time.Millisecond // longest sleep while there is something to watch
	standstill = time.Second            // a longer step of the clock was a freeze of this node
	never      = time.Duration(1<<63 - 1)
)

// Registry is one node's list. It is not safe for concurrent use.
type Registry struct {
	me    Slot
	terms Terms
	now   time.Duration
	calm  time.Duration // silence counts from here at the earliest
	next  time.Duration // next look at all backends
	woken time.Duration // last Wake given

	all    map[string]*entry
	list   []*entry // all, by id
	byAddr map[string][]*entry
	gone   int

	met    bool   // SetNodes was told
	nodes  []Node // those that may keep: live, with an address for beats, by slot
	known  int    // other nodes, live or not
	live   int    // other nodes that live
	firm   bool   // a firm node lives
	disks  bool   // a firm node is known, live or not
	self   Node
	feeder Slot          // who last began to tell all that it has
	fedAt  time.Duration // and when
	askAt  time.Duration // when what it did not name is told to it; never: it was
	slots  []Slot        // of peers, sorted
	busy   []Slot        // of peers that are to be told something, or have yet to confirm it, sorted
	queued []transfer    // who follows and waits to be told what there is
	peers  map[Slot]*peer
	tail   Ticket
	waits  []wait
	out    []Action // acknowledgements that are due
	fresh  []*entry // whose view may have changed
	refuse uint64   // backends not taken as the registry was full
}

// entry is what is known of one backend. In w, Phase, ColdLeft and Age are unused: see word.
type entry struct {
	w      Record
	gone   bool // by silence, at this Seq and Fence
	goneAt time.Duration
	born   time.Duration
	cold   time.Duration // until when
	beatAt time.Duration // last sign of life, or since when this node watches
	kept   time.Duration // since when the registrar is known as such
	named  time.Duration // when the feeder last said a word of it
	signAt time.Duration // last beat that came here or was passed on to this node
	here   bool          // and it came here
	shy    time.Duration // until then not taken over: another node still hears its registrar
	doubt  bool          // gone by what this node saw, until its registrar says so too
	told   map[Slot]level

	queued    bool
	shown     Record
	shownCold time.Duration
	everShown bool
}

// level is how much of an end is known.
type level uint8

const (
	noEnd level = iota
	drains
	left
)

func (e *entry) level() level {
	switch {
	case e.w.Final:
		return left
	case e.w.Drained:
		return drains
	}
	return noEnd
}

func (e *entry) phase() Phase {
	switch {
	case e.w.Final || e.gone:
		return Gone
	case e.w.Drained:
		return Draining
	}
	return Ready
}

// New makes an empty registry; heartbeats fill it. Until Nodes is told, no end of a backend is acknowledged.
func New(me Slot, terms Terms, now time.Duration) *Registry {
	invariant.That(me >= 0, "a registry has a slot")
	return &Registry{me: me, terms: terms, now: now, calm: now, next: now + tick, woken: never, feeder: None, askAt: never,
		all: map[string]*entry{}, byAddr: map[string][]*entry{}, peers: map[Slot]*peer{}}
}

// SetTerms takes figures that changed while running.
func (b *Registry) SetTerms(t Terms) { t.Life, b.terms = b.terms.Life, t }

// Now moves the clock; earlier times are passed over. A step of over a second means that this node stood
// still: no beat could come, so silence counts anew.
func (b *Registry) Now(t time.Duration) {
	if t < b.now {
		return
	}
	if t >= b.woken {
		b.woken = never
	}
	if t-b.now > standstill {
		b.calm = t
		for _, e := range b.list {
			e.beatAt = t
		}
	}
	b.now = t
	for _, s := range b.busy {
		if p := b.peers[s]; p != nil {
			b.resend(p)
		}
	}
	if t >= b.next {
		b.look()
	}
	b.settle()
}

// Beat takes a backend's call that names its phase. The host answers when the ticket is acknowledged.
func (b *Registry) Beat(w Record) Ticket {
	b.tail++
	e := b.entry(w.ID)
	if e == nil {
		b.out = append(b.out, Acknowledge{Ticket: b.tail})
		return b.tail
	}
	w.Final, w.Fence, w.Keeper, w.Missed, w.Age = false, 0, None, None, 0
	w.Drained = w.Phase == Draining
	asked := noEnd
	if w.Drained {
		asked = drains
	}
	b.beat(e, w, true)
	b.ticket(e, asked)
	return b.tail
}

// Leave takes a backend's last call.
func (b *Registry) Leave(id string, seq uint64) Ticket {
	b.tail++
	e := b.entry(id)
	if e == nil {
		b.out = append(b.out, Acknowledge{Ticket: b.tail})
		return b.tail
	}
	was := e.level()
	b.join(e, Record{ID: id, Phase: Gone, Final: true, Keeper: None, Missed: None})
	if was != left {
		b.spread(e, true)
	}
	b.ticket(e, left)
	return b.tail
}

// Remember takes what this node knew before its start, from a disk. It may be old: all are watched for silence from now
// on, and whoever knows newer goes before it. After the loss of all nodes it spares them a wait for the beats. What is
// wrong in it costs a submission that can't be sent or is turned away by another backend's id.
func (b *Registry) Remember(words []Record) {
	for _, w := range words {
		if e := b.entry(w.ID); e != nil && w.Phase != Gone {
			w.ColdLeft = 0 // nobody knows how long ago that was
			b.join(e, w)
		}
	}
}

// Seen421 says that another backend answers at the address of this one: it is gone here, and its registrar is
// told. Its next beat revives it everywhere.
func (b *Registry) Seen421(id string) {
	e := b.all[id]
	if e == nil || e.phase() == Gone {
		return
	}
	b.hush(e)
	if e.w.Keeper == b.me {
		b.spread(e, true)
	} else {
		e.doubt = true
		b.ask(e)
	}
}

// Next gives what is to be done; call it until there is nothing more, after every input.
func (b *Registry) Next() (Action, bool) {
	if len(b.out) > 0 {
		a := b.out[0]
		b.out = b.out[1:]
		return a, true
	}
	b.out = nil
	for len(b.fresh) > 0 {
		e := b.fresh[0]
		b.fresh = b.fresh[1:]
		e.queued = false
		if a, ok := b.show(e); ok {
			return a, true
		}
	}
	b.fresh = nil
	b.transfer()
	for _, s := range b.busy {
		if p := b.peers[s]; p != nil {
			if m, ok := b.load(p); ok {
				return Send{To: s, Message: m}, true
			}
		}
	}
	b.rest()
	if at := b.wake(); at != b.woken {
		b.woken = at
		return Wake{At: at}, true
	}
	return nil, false
}

// All gives the backends that are not gone, by id; ColdLeft and Age are as of the last Now.
func (b *Registry) All() []Record {
	var words []Record
	for _, e := range b.list {
		if b.view(e) != Gone {
			words = append(words, b.record(e))
		}
	}
	return words
}

// Status is for operators.
type Status struct {
	Ready, Draining, Gone int // backends
	Kept                  int // watched by this node
	Unwatched             int // whose registrar is not heard
	Waiting               int // calls that wait for other nodes
	Unconfirmed           int // records that other nodes have not confirmed
	Refused               uint64
}

// Serves tells whether a backend is ready. It looks no further than the first: it is asked each second and more.
func (b *Registry) Serves() bool {
	return slices.ContainsFunc(b.list, func(e *entry) bool { return b.view(e) == Ready })
}

// Status counts what there is.
func (b *Registry) Status() Status {
	s := Status{Waiting: len(b.waits), Refused: b.refuse}
	for _, e := range b.list {
		switch b.view(e) {
		case Ready:
			s.Ready++
		case Draining:
			s.Draining++
		case Gone:
			s.Gone++
		}
		if e.phase() == Gone {
			continue
		}
		if e.w.Keeper == b.me {
			s.Kept++
		} else if b.lost(e.w.Keeper) {
			s.Unwatched++
		}
	}
	for _, p := range b.peers {
		s.Unconfirmed += len(p.order)
		for _, f := range p.flight {
			s.Unconfirmed += len(f.ids)
		}
	}
	return s
}

// entry finds or makes one; nil when the registry is full.
func (b *Registry) entry(id string) *entry {
	if e := b.all[id]; e != nil {
		return e
	}
	if id == "" {
		return nil
	}
	if len(b.all) >= most {
		b.refuse++
		return nil
	}
	e := &entry{w: Record{ID: id, Keeper: None, Missed: None}, born: b.now, beatAt: b.now, kept: b.now,
		signAt: -never / 2}
	b.all[id] = e
	at, _ := slices.BinarySearchFunc(b.list, id, byID)
	b.list = slices.Insert(b.list, at, e)
	return e
}

func byID(e *entry, id string) int { return strings.Compare(e.w.ID, id) }

// record is the entry as it travels.
func (b *Registry) record(e *entry) Record {
	w := e.w
	w.Phase = e.phase()
	w.ColdLeft = max(0, e.cold-b.now)
	w.Age = b.now - e.born
	return w
}

// wake is when Now is wanted next.
func (b *Registry) wake() time.Duration {
	at := never
	if len(b.all) > b.gone {
		at = b.next
	}
	for _, w := range b.waits {
		at = min(at, w.due(b.now))
	}
	for _, s := range b.busy {
		at = min(at, b.peers[s].due())
	}
	return at
}

// work notes that a node is to be looked at: a turn that concerns few nodes must not go over all of them.
func (b *Registry) work(p *peer) {
	if p.busy {
		return
	}
	p.busy = true
	at, _ := slices.BinarySearch(b.busy, p.node.Seat)
	b.busy = slices.Insert(b.busy, at, p.node.Seat)
}

// rest lets those go that have nothing more to be told, and have confirmed all.
func (b *Registry) rest() {
	b.busy = slices.DeleteFunc(b.busy, func(s Slot) bool {
		p := b.peers[s]
		if p == nil {
			return true
		}
		p.busy = p.greet || len(p.order)+len(p.flight)+len(p.again)+len(p.doubts)+len(p.beats)+len(p.acks) > 0
		return !p.busy
	})
}
