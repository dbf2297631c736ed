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

// NoSlot is no node.
const NoSlot Slot = -1

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
	Slot        Slot
	ControlAddr string // address for beats; a live node without one keeps nothing
	Zone        string // backends are kept in their own zone where a node lives there; "" everywhere: any node
	Live        bool   // heard of late; for this node it does not matter
	HasDisk     bool   // has a disk and counts as a loss: such keep backends, and copies at them are what a drain rests on
	Follows     bool   // it follows this node, and is told all that becomes known here
}

// Config are the figures of the settings file that bind the registry.
type Config struct {
	HeartbeatInterval time.Duration // between two beats of a backend
	MinCopies         int           // nodes with a disk that must hold an end before it is acknowledged: tolerated losses + 1
	Incarnation       uint32        // differs between lives of this node: old confirmations match nothing
}

// Ticket names a call of a backend that waits for Acknowledge.
type Ticket uint64

// Action is what the host is to do: Send, Changed, Acknowledge or Wake.
type Action interface{ action() }

// Send goes to another node; it may be lost.
type Send struct {
	Target  Slot
	Message Message
}

// Changed tells the view of one backend that differs from the last told. SlowStartUntil is on the host's clock.
type Changed struct {
	Record         Record
	SlowStartUntil time.Duration
}

// Acknowledge ends a ticket: 200 with Target as beat_target where OK, else 503.
type Acknowledge struct {
	Ticket    Ticket
	OwnerAddr string // may be empty
	Confirmed bool
}

// Wake asks for Now at a time, or earlier. The newest counts.
type Wake struct{ Deadline time.Duration }

func (Send) action()        {}
func (Changed) action()     {}
func (Acknowledge) action() {}
func (Wake) action()        {}

const (
	maxBackends     = 8192                   // backends that are known, tombstones too
	maxTombstones   = 4096                   // of them gone
	tombstoneTTL    = 60 * time.Second       // how long a gone one is remembered
	fullSyncGrace   = 3 * time.Second        // for so long the node that is followed may pause while it tells all it has
	fullSyncTimeout = 10 * time.Second       // and take in all
	tickInterval    = 500 * time.Millisecond // longest sleep while there is something to watch
	stallThreshold  = time.Second            // a longer step of the clock was a freeze of this node
	never           = time.Duration(1<<63 - 1)
)

// Registry is one node's list. It is not safe for concurrent use.
type Registry struct {
	localSlot    Slot
	config       Config
	now          time.Duration
	timeoutFloor time.Duration // silence counts from here at the earliest
	nextScanAt   time.Duration // next look at all backends
	wakeAt       time.Duration // last Wake given

	entries   map[string]*entry
	sorted    []*entry // all, by id
	byAddr    map[string][]*entry
	goneCount int

	hasNodes         bool   // SetNodes was told
	ownerCandidates  []Node // those that may keep: live, with an address for beats, by slot
	knownCount       int    // other nodes, live or not
	liveCount        int    // other nodes that live
	hasLiveDisk      bool   // a firm node lives
	hasKnownDisk     bool   // a firm node is known, live or not
	local            Node
	syncSource       Slot          // who last began to tell all that it has
	syncStartedAt    time.Duration // and when
	reportMissingAt  time.Duration // when what it did not name is told to it; never: it was
	peerSlots        []Slot        // of peers, sorted
	activePeers      []Slot        // of peers that are to be told something, or have yet to confirm it, sorted
	syncQueue        []syncRequest // who follows and waits to be told what there is
	peers            map[Slot]*peer
	lastTicket       Ticket
	pendingCalls     []pendingCall
	acknowledgements []Action // acknowledgements that are due
	changedEntries   []*entry // whose view may have changed
	refused          uint64   // backends not taken as the registry was full
}

// entry is what is known of one backend. In w, Phase, ColdLeft and Age are unused: see word.
type entry struct {
	record          Record
	timedOut        bool // by silence, at this Seq and Fence
	goneAt          time.Duration
	firstSeenAt     time.Duration
	slowStartUntil  time.Duration // until when
	lastSeenAt      time.Duration // last sign of life, or since when this node watches
	ownerSince      time.Duration // since when the registrar is known as such
	syncedAt        time.Duration // when the feeder last said a word of it
	lastHeartbeatAt time.Duration // last beat that came here or was passed on to this node
	directHeartbeat bool          // and it came here
	noTakeoverUntil time.Duration // until then not taken over: another node still hears its registrar
	suspected       bool          // gone by what this node saw, until its registrar says so too
	notified        map[Slot]departure

	changeQueued       bool
	published          Record
	publishedSlowStart time.Duration
	everPublished      bool
}

// departure is how much of an end is known.
type departure uint8

const (
	notDeparting departure = iota
	draining
	departed
)

func (e *entry) departure() departure {
	switch {
	case e.record.Final:
		return departed
	case e.record.Drained:
		return draining
	}
	return notDeparting
}

func (e *entry) phase() Phase {
	switch {
	case e.record.Final || e.timedOut:
		return Gone
	case e.record.Drained:
		return Draining
	}
	return Ready
}

// New makes an empty registry; heartbeats fill it. Until Nodes is told, no end of a backend is acknowledged.
func New(me Slot, terms Config, now time.Duration) *Registry {
	invariant.That(me >= 0, "a registry has a slot")
	return &Registry{localSlot: me, config: terms, now: now, timeoutFloor: now, nextScanAt: now + tickInterval, wakeAt: never, syncSource: NoSlot, reportMissingAt: never,
		entries: map[string]*entry{}, byAddr: map[string][]*entry{}, peers: map[Slot]*peer{}}
}

// SetConfig takes figures that changed while running.
func (b *Registry) SetConfig(t Config) { t.Incarnation, b.config = b.config.Incarnation, t }

// Tick moves the clock; earlier times are passed over. A step of over a second means that this node stood
// still: no beat could come, so silence counts anew.
func (b *Registry) Tick(t time.Duration) {
	if t < b.now {
		return
	}
	if t >= b.wakeAt {
		b.wakeAt = never
	}
	if t-b.now > stallThreshold {
		b.timeoutFloor = t
		for _, e := range b.sorted {
			e.lastSeenAt = t
		}
	}
	b.now = t
	for _, s := range b.activePeers {
		if p := b.peers[s]; p != nil {
			b.resendOverdue(p)
		}
	}
	if t >= b.nextScanAt {
		b.scan()
	}
	b.answerDecided()
}

// Heartbeat takes a backend's call that names its phase. The host answers when the ticket is acknowledged.
func (b *Registry) Heartbeat(w Record) Ticket {
	b.lastTicket++
	e := b.entryFor(w.ID)
	if e == nil {
		b.acknowledgements = append(b.acknowledgements, Acknowledge{Ticket: b.lastTicket})
		return b.lastTicket
	}
	w.Final, w.Fence, w.Keeper, w.Missed, w.Age = false, 0, NoSlot, NoSlot, 0
	w.Drained = w.Phase == Draining
	asked := notDeparting
	if w.Drained {
		asked = draining
	}
	b.handleHeartbeat(e, w, true)
	b.trackCall(e, asked)
	return b.lastTicket
}

// Deregister takes a backend's last call.
func (b *Registry) Deregister(id string, seq uint64) Ticket {
	b.lastTicket++
	e := b.entryFor(id)
	if e == nil {
		b.acknowledgements = append(b.acknowledgements, Acknowledge{Ticket: b.lastTicket})
		return b.lastTicket
	}
	was := e.departure()
	b.merge(e, Record{ID: id, Phase: Gone, Final: true, Keeper: NoSlot, Missed: NoSlot})
	if was != departed {
		b.broadcast(e, true)
	}
	b.trackCall(e, departed)
	return b.lastTicket
}

// Restore takes what this node knew before its start, from a disk. It may be old: all are watched for silence from now
// on, and whoever knows newer goes before it. After the loss of all nodes it spares them a wait for the beats. What is
// wrong in it costs a submission that can't be sent or is turned away by another backend's id.
func (b *Registry) Restore(words []Record) {
	for _, w := range words {
		if e := b.entryFor(w.ID); e != nil && w.Phase != Gone {
			w.ColdLeft = 0 // nobody knows how long ago that was
			b.merge(e, w)
		}
	}
}

// AddressTaken says that another backend answers at the address of this one: it is gone here, and its registrar is
// told. Its next beat revives it everywhere.
func (b *Registry) AddressTaken(id string) {
	e := b.entries[id]
	if e == nil || e.phase() == Gone {
		return
	}
	b.expire(e)
	if e.record.Keeper == b.localSlot {
		b.broadcast(e, true)
	} else {
		e.suspected = true
		b.reportSuspicion(e)
	}
}

// Next gives what is to be done; call it until there is nothing more, after every input.
func (b *Registry) Next() (Action, bool) {
	if len(b.acknowledgements) > 0 {
		a := b.acknowledgements[0]
		b.acknowledgements = b.acknowledgements[1:]
		return a, true
	}
	b.acknowledgements = nil
	for len(b.changedEntries) > 0 {
		e := b.changedEntries[0]
		b.changedEntries = b.changedEntries[1:]
		e.changeQueued = false
		if a, ok := b.publish(e); ok {
			return a, true
		}
	}
	b.changedEntries = nil
	b.startSyncs()
	for _, s := range b.activePeers {
		if p := b.peers[s]; p != nil {
			if m, ok := b.nextMessage(p); ok {
				return Send{Target: s, Message: m}, true
			}
		}
	}
	b.deactivateIdle()
	if at := b.nextWake(); at != b.wakeAt {
		b.wakeAt = at
		return Wake{Deadline: at}, true
	}
	return nil, false
}

// Backends gives the backends that are not gone, by id; ColdLeft and Age are as of the last Now.
func (b *Registry) Backends() []Record {
	var words []Record
	for _, e := range b.sorted {
		if b.visiblePhase(e) != Gone {
			words = append(words, b.recordOf(e))
		}
	}
	return words
}

// Status is for operators.
type Status struct {
	Ready, Draining, Gone int // backends
	Owned                 int // watched by this node
	OwnerLost             int // whose registrar is not heard
	PendingCalls          int // calls that wait for other nodes
	Unconfirmed           int // records that other nodes have not confirmed
	Refused               uint64
}

// HasReady tells whether a backend is ready. It looks no further than the first: it is asked each second and more.
func (b *Registry) HasReady() bool {
	return slices.ContainsFunc(b.sorted, func(e *entry) bool { return b.visiblePhase(e) == Ready })
}

// Status counts what there is.
func (b *Registry) Status() Status {
	s := Status{PendingCalls: len(b.pendingCalls), Refused: b.refused}
	for _, e := range b.sorted {
		switch b.visiblePhase(e) {
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
		if e.record.Keeper == b.localSlot {
			s.Owned++
		} else if b.unreachable(e.record.Keeper) {
			s.OwnerLost++
		}
	}
	for _, p := range b.peers {
		s.Unconfirmed += len(p.pendingIDs)
		for _, f := range p.inFlight {
			s.Unconfirmed += len(f.ids)
		}
	}
	return s
}

// entryFor finds or makes one; nil when the registry is full.
func (b *Registry) entryFor(id string) *entry {
	if e := b.entries[id]; e != nil {
		return e
	}
	if id == "" {
		return nil
	}
	if len(b.entries) >= maxBackends {
		b.refused++
		return nil
	}
	e := &entry{record: Record{ID: id, Keeper: NoSlot, Missed: NoSlot}, firstSeenAt: b.now, lastSeenAt: b.now, ownerSince: b.now,
		lastHeartbeatAt: -never / 2}
	b.entries[id] = e
	at, _ := slices.BinarySearchFunc(b.sorted, id, compareID)
	b.sorted = slices.Insert(b.sorted, at, e)
	return e
}

func compareID(e *entry, id string) int { return strings.Compare(e.record.ID, id) }

// recordOf is the entry as it travels.
func (b *Registry) recordOf(e *entry) Record {
	w := e.record
	w.Phase = e.phase()
	w.ColdLeft = max(0, e.slowStartUntil-b.now)
	w.Age = b.now - e.firstSeenAt
	return w
}

// nextWake is when Now is wanted next.
func (b *Registry) nextWake() time.Duration {
	at := never
	if len(b.entries) > b.goneCount {
		at = b.nextScanAt
	}
	for _, w := range b.pendingCalls {
		at = min(at, w.deadline(b.now))
	}
	for _, s := range b.activePeers {
		at = min(at, b.peers[s].nextDeadline())
	}
	return at
}

// activate notes that a node is to be looked at: a turn that concerns few nodes must not go over all of them.
func (b *Registry) activate(p *peer) {
	if p.active {
		return
	}
	p.active = true
	at, _ := slices.BinarySearch(b.activePeers, p.node.Slot)
	b.activePeers = slices.Insert(b.activePeers, at, p.node.Slot)
}

// deactivateIdle lets those go that have nothing more to be told, and have confirmed all.
func (b *Registry) deactivateIdle() {
	b.activePeers = slices.DeleteFunc(b.activePeers, func(s Slot) bool {
		p := b.peers[s]
		if p == nil {
			return true
		}
		p.active = p.fullSyncNext || len(p.pendingIDs)+len(p.inFlight)+len(p.retransmits)+len(p.suspicions)+len(p.heartbeats)+len(p.acks) > 0
		return !p.active
	})
}
