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

	"clovergap/internal/invariant"
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
	ID            string
	Service       string
	Addr          string // host:port
	Zone          string
	Generation    string
	Capacity      int           // requests at a time
	Phase         Phase         // Gone is not for beats: see Leave
	SlowStartLeft time.Duration // how long it stays slow, from the time of the word
	Seq           uint64        // call_seq

	Draining     bool          // has once said draining: sticky
	Left         bool          // has left: nothing revives it
	Age          time.Duration // since the first node heard of it, at the time of the word
	Owner        Slot          // who watches it
	FencingToken uint64        // how often it changed hands; 0: nobody watches yet
	LostOwner    Slot          // whom the registrar took it from unasked, as it no longer heard that node; else None
}

// Message is what nodes tell each other. Nr 0 wants no confirmation.
type Message struct {
	Seq        uint64
	Updates    []Record // what changed, or the registry on a greeting
	Heartbeats []Record // beats that came to a node which is not the registrar
	Suspicions []Record // somebody else answered at the address of these
	Acks       []uint64 // numbers of messages taken in
	FullSync   bool     // from here on the sender tells all that it has

	Unreachable []Slot // with ends among Words: nodes with a disk that the sender does not reach, and the receiver may
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

// entry is what is known of one backend. In w, Phase, SlowStartLeft and Age are unused: see word.
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
	case e.record.Left:
		return departed
	case e.record.Draining:
		return draining
	}
	return notDeparting
}

func (e *entry) phase() Phase {
	switch {
	case e.record.Left || e.timedOut:
		return Gone
	case e.record.Draining:
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
func (r *Registry) SetConfig(t Config) { t.Incarnation, r.config = r.config.Incarnation, t }

// Tick moves the clock; earlier times are passed over. A step of over a second means that this node stood
// still: no beat could come, so silence counts anew.
func (r *Registry) Tick(t time.Duration) {
	if t < r.now {
		return
	}
	if t >= r.wakeAt {
		r.wakeAt = never
	}
	if t-r.now > stallThreshold {
		r.timeoutFloor = t
		for _, e := range r.sorted {
			e.lastSeenAt = t
		}
	}
	r.now = t
	for _, s := range r.activePeers {
		if p := r.peers[s]; p != nil {
			r.resendOverdue(p)
		}
	}
	if t >= r.nextScanAt {
		r.scan()
	}
	r.answerDecided()
}

// Heartbeat takes a backend's call that names its phase. The host answers when the ticket is acknowledged.
func (r *Registry) Heartbeat(w Record) Ticket {
	r.lastTicket++
	e := r.entryFor(w.ID)
	if e == nil {
		r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: r.lastTicket})
		return r.lastTicket
	}
	w.Left, w.FencingToken, w.Owner, w.LostOwner, w.Age = false, 0, NoSlot, NoSlot, 0
	w.Draining = w.Phase == Draining
	asked := notDeparting
	if w.Draining {
		asked = draining
	}
	r.handleHeartbeat(e, w, true)
	r.trackCall(e, asked)
	return r.lastTicket
}

// Deregister takes a backend's last call.
func (r *Registry) Deregister(id string, seq uint64) Ticket {
	r.lastTicket++
	e := r.entryFor(id)
	if e == nil {
		r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: r.lastTicket})
		return r.lastTicket
	}
	was := e.departure()
	r.merge(e, Record{ID: id, Phase: Gone, Left: true, Owner: NoSlot, LostOwner: NoSlot})
	if was != departed {
		r.broadcast(e, true)
	}
	r.trackCall(e, departed)
	return r.lastTicket
}

// Restore takes what this node knew before its start, from a disk. It may be old: all are watched for silence from now
// on, and whoever knows newer goes before it. After the loss of all nodes it spares them a wait for the beats. What is
// wrong in it costs a submission that can't be sent or is turned away by another backend's id.
func (r *Registry) Restore(words []Record) {
	for _, w := range words {
		if e := r.entryFor(w.ID); e != nil && w.Phase != Gone {
			w.SlowStartLeft = 0 // nobody knows how long ago that was
			r.merge(e, w)
		}
	}
}

// AddressTaken says that another backend answers at the address of this one: it is gone here, and its registrar is
// told. Its next beat revives it everywhere.
func (r *Registry) AddressTaken(id string) {
	e := r.entries[id]
	if e == nil || e.phase() == Gone {
		return
	}
	r.expire(e)
	if e.record.Owner == r.localSlot {
		r.broadcast(e, true)
	} else {
		e.suspected = true
		r.reportSuspicion(e)
	}
}

// Next gives what is to be done; call it until there is nothing more, after every input.
func (r *Registry) Next() (Action, bool) {
	if len(r.acknowledgements) > 0 {
		a := r.acknowledgements[0]
		r.acknowledgements = r.acknowledgements[1:]
		return a, true
	}
	r.acknowledgements = nil
	for len(r.changedEntries) > 0 {
		e := r.changedEntries[0]
		r.changedEntries = r.changedEntries[1:]
		e.changeQueued = false
		if a, ok := r.publish(e); ok {
			return a, true
		}
	}
	r.changedEntries = nil
	r.startSyncs()
	for _, s := range r.activePeers {
		if p := r.peers[s]; p != nil {
			if m, ok := r.nextMessage(p); ok {
				return Send{Target: s, Message: m}, true
			}
		}
	}
	r.deactivateIdle()
	if at := r.nextWake(); at != r.wakeAt {
		r.wakeAt = at
		return Wake{Deadline: at}, true
	}
	return nil, false
}

// Backends gives the backends that are not gone, by id; SlowStartLeft and Age are as of the last Now.
func (r *Registry) Backends() []Record {
	var words []Record
	for _, e := range r.sorted {
		if r.visiblePhase(e) != Gone {
			words = append(words, r.recordOf(e))
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
func (r *Registry) HasReady() bool {
	return slices.ContainsFunc(r.sorted, func(e *entry) bool { return r.visiblePhase(e) == Ready })
}

// Status counts what there is.
func (r *Registry) Status() Status {
	s := Status{PendingCalls: len(r.pendingCalls), Refused: r.refused}
	for _, e := range r.sorted {
		switch r.visiblePhase(e) {
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
		if e.record.Owner == r.localSlot {
			s.Owned++
		} else if r.unreachable(e.record.Owner) {
			s.OwnerLost++
		}
	}
	for _, p := range r.peers {
		s.Unconfirmed += len(p.pendingIDs)
		for _, f := range p.inFlight {
			s.Unconfirmed += len(f.ids)
		}
	}
	return s
}

// entryFor finds or makes one; nil when the registry is full.
func (r *Registry) entryFor(id string) *entry {
	if e := r.entries[id]; e != nil {
		return e
	}
	if id == "" {
		return nil
	}
	if len(r.entries) >= maxBackends {
		r.refused++
		return nil
	}
	e := &entry{record: Record{ID: id, Owner: NoSlot, LostOwner: NoSlot}, firstSeenAt: r.now, lastSeenAt: r.now, ownerSince: r.now,
		lastHeartbeatAt: -never / 2}
	r.entries[id] = e
	at, _ := slices.BinarySearchFunc(r.sorted, id, compareID)
	r.sorted = slices.Insert(r.sorted, at, e)
	return e
}

func compareID(e *entry, id string) int { return strings.Compare(e.record.ID, id) }

// recordOf is the entry as it travels.
func (r *Registry) recordOf(e *entry) Record {
	w := e.record
	w.Phase = e.phase()
	w.SlowStartLeft = max(0, e.slowStartUntil-r.now)
	w.Age = r.now - e.firstSeenAt
	return w
}

// nextWake is when Now is wanted next.
func (r *Registry) nextWake() time.Duration {
	at := never
	if len(r.entries) > r.goneCount {
		at = r.nextScanAt
	}
	for _, w := range r.pendingCalls {
		at = min(at, w.deadline(r.now))
	}
	for _, s := range r.activePeers {
		at = min(at, r.peers[s].nextDeadline())
	}
	return at
}

// activate notes that a node is to be looked at: a turn that concerns few nodes must not go over all of them.
func (r *Registry) activate(p *peer) {
	if p.active {
		return
	}
	p.active = true
	at, _ := slices.BinarySearch(r.activePeers, p.node.Slot)
	r.activePeers = slices.Insert(r.activePeers, at, p.node.Slot)
}

// deactivateIdle lets those go that have nothing more to be told, and have confirmed all.
func (r *Registry) deactivateIdle() {
	r.activePeers = slices.DeleteFunc(r.activePeers, func(s Slot) bool {
		p := r.peers[s]
		if p == nil {
			return true
		}
		p.active = p.fullSyncNext || len(p.pendingIDs)+len(p.inFlight)+len(p.retransmits)+len(p.suspicions)+len(p.heartbeats)+len(p.acks) > 0
		return !p.active
	})
}
