package registry

import (
	"time"

	"clovergap/internal/invariant"
)

// stallThreshold is the step of the clock above which this process stood still: the host ticks every scanInterval at the latest.
const stallThreshold = time.Second

// Config binds a registry to its deployment.
type Config struct {
	HeartbeatInterval time.Duration // between two heartbeats of a backend
	MinCopies         int           // nodes with a disk that must have a departure before it is confirmed: tolerated losses + 1
	Incarnation       uint32        // differs between two runs of this node, so that acknowledgements to a former one match nothing
	TestingKnobs      TestingKnobs  // empty in a release build
}

// Registry is one node's list of backends. It is not safe for concurrent use.
type Registry struct {
	localSlot    Slot
	config       Config
	now          time.Duration
	timeoutFloor time.Duration // time-outs of backends and owners count from here at the earliest
	nextScanAt   time.Duration
	wakeAt       time.Duration // of the last Wake given

	entries   map[string]*entry
	sorted    []*entry // all entries, by id
	byAddr    map[string][]*entry
	goneCount int // entries whose phase is Gone
	refused   uint64

	// Nodes, as SetNodes gave them.
	hasNodes        bool // SetNodes was called
	local           Node
	ownerCandidates []Node // by slot
	knownCount      int    // other nodes, live or not
	liveCount       int    // other nodes that live
	hasLiveDisk     bool   // a node with a disk is live
	hasKnownDisk    bool   // a node with a disk is known, live or not

	peers       map[Slot]*peer
	peerSlots   []Slot        // of peers, sorted
	activePeers []Slot        // of peers with something to send or to be acknowledged, sorted
	syncQueue   []syncRequest // followers that wait for their full sync

	// The full sync that this node takes from its upstream.
	syncSource      Slot // who last began one
	syncStartedAt   time.Duration
	reportMissingAt time.Duration // when the upstream is sent what its full sync left out; never: it was

	lastTicket       Ticket
	pendingCalls     []pendingCall
	acknowledgements []Action // due
	changedEntries   []*entry // may differ from what was last published of them
}

// New makes an empty registry of the node with a slot; heartbeats and other nodes fill it. Until SetNodes is called, no departure
// is confirmed.
func New(slot Slot, config Config, now time.Duration) *Registry {
	invariant.Assert(slot >= 0, "a registry has a slot")
	return &Registry{localSlot: slot, config: config, now: now, timeoutFloor: now, nextScanAt: now + scanInterval, wakeAt: never,
		syncSource: NoSlot, reportMissingAt: never, entries: map[string]*entry{}, byAddr: map[string][]*entry{}, peers: map[Slot]*peer{}}
}

// SetConfig takes settings that changed while running. Incarnation and TestingKnobs stay.
func (r *Registry) SetConfig(config Config) {
	config.Incarnation, config.TestingKnobs = r.config.Incarnation, r.config.TestingKnobs
	r.config = config
}

// Tick moves the clock; earlier times are passed over. A step above stallThreshold means that this process stood still: no heartbeat
// could be read, so that all time-outs begin anew.
func (r *Registry) Tick(now time.Duration) {
	if now < r.now {
		return
	}
	if now >= r.wakeAt {
		r.wakeAt = never
	}
	if now-r.now > stallThreshold {
		r.timeoutFloor = now
		for _, e := range r.sorted {
			e.lastSeenAt = now
		}
	}
	r.now = now
	for _, s := range r.activePeers {
		if p := r.peers[s]; p != nil {
			r.resendOverdue(p)
		}
	}
	if now >= r.nextScanAt {
		r.scan()
	}
	r.answerDecided()
}

// Heartbeat takes a backend's call that names its phase, Ready or Draining. The host answers it on the ticket's Acknowledge.
func (r *Registry) Heartbeat(record Record) Ticket {
	r.lastTicket++
	e := r.entryFor(record.ID)
	if e == nil {
		return r.rejectCall()
	}
	record.Left, record.FencingToken, record.Owner, record.LostOwner, record.Age = false, 0, NoSlot, NoSlot, 0
	record.Draining = record.Phase == Draining
	requested := notDeparting
	if record.Draining {
		requested = draining
	}
	r.handleHeartbeat(e, record, true)
	r.trackCall(e, requested)
	return r.lastTicket
}

// Deregister takes a backend's last call. The host answers it on the ticket's Acknowledge.
func (r *Registry) Deregister(id string) Ticket {
	r.lastTicket++
	e := r.entryFor(id)
	if e == nil {
		return r.rejectCall()
	}
	before := e.departure()
	r.merge(e, Record{ID: id, Phase: Gone, Left: true, Owner: NoSlot, LostOwner: NoSlot})
	if before != departed {
		r.broadcast(e, true)
	}
	r.trackCall(e, departed)
	return r.lastTicket
}

// Restore takes what this node's disk kept of the registry. It may be old: all of it is watched for time-outs from now on, and whoever
// knows newer records prevails. After the loss of all nodes it spares them a wait for the first heartbeats. What is wrong in it
// costs a request that can't be sent, or is answered 421 by another backend.
func (r *Registry) Restore(records []Record) {
	for _, record := range records {
		if e := r.entryFor(record.ID); e != nil && record.Phase != Gone {
			record.SlowStartLeft = 0 // nobody knows how long ago that was
			r.merge(e, record)
		}
	}
}

// AddressTaken notes that another backend answers at the address of this one (HTTP 421): it is gone at this node, and its owner is
// sent the suspicion. Its next heartbeat revives it everywhere.
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

// Next gives what is to be done. It is called after every input until there is nothing more.
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

// nextWake is when Tick is wanted next.
func (r *Registry) nextWake() time.Duration {
	at := never
	if len(r.entries) > r.goneCount {
		at = r.nextScanAt
	}
	for _, c := range r.pendingCalls {
		at = min(at, c.deadline(r.now))
	}
	for _, s := range r.activePeers {
		at = min(at, r.peers[s].nextDeadline())
	}
	return at
}
