package registry

import (
	"time"

	"clovergap/internal/invariant"
)

// stallThreshold is the step between two calls of Tick above which this process counts as stalled. Without a stall, the
// host calls Tick at least once in each scanInterval.
const stallThreshold = time.Second

// maxHeartbeatDelay is the longest time for which a heartbeat may have waited unread. A backend that has no answer after that time calls
// another node. What the old call reports may no longer hold: the backend may have ended, and a successor may have its address.
const maxHeartbeatDelay = time.Second

// Config holds the settings of a registry.
type Config struct {
	HeartbeatInterval time.Duration // interval between two heartbeats of a backend
	// Number of nodes with a disk that must have a departure before the departure is confirmed. It is one more than the
	// number of nodes that may be lost at once.
	MinCopies int
	// A number that differs between two incarnations of this node. Acknowledgements to a former incarnation then match no
	// message of the present one.
	Incarnation uint32
	// True if this node has a disk. The host then carries out StoreDepartures actions.
	HasDisk      bool
	TestingKnobs TestingKnobs // empty in a release build
}

// Registry is one node's list of backends. It is not safe for concurrent use.
type Registry struct {
	localSlot Slot
	config    Config
	now       time.Duration
	// Time-outs of backends and owners are not measured from an earlier time. It is the time of New, or the end of the last
	// stall of this process (stallThreshold).
	timeoutFloor time.Duration
	nextScanAt   time.Duration
	wakeAt       time.Duration // deadline of the last Wake

	entries   map[string]*entry
	sorted    []*entry // all entries, sorted by id
	byAddr    map[string][]*entry
	goneCount int    // number of entries whose phase is Gone
	refused   uint64 // see Status.Refused

	// State of the nodes as of the last SetNodes.
	hasNodes        bool // true if SetNodes was called
	local           Node
	ownerCandidates []Node // sorted by slot
	knownCount      int    // number of other nodes, live or not
	liveCount       int    // number of other live nodes
	hasLiveDisk     bool   // true if a node with a disk is live
	hasKnownDisk    bool   // true if a node with a disk is known, live or not
	// True if a node with a disk has no slot yet.
	hasDiskWithoutSlot bool

	peers     map[Slot]*peer
	peerSlots []Slot // slots of peers, sorted
	// Slots of peers with something to send or with unacknowledged messages, sorted.
	activePeers []Slot
	syncQueue   []syncRequest // followers that wait for a sync

	// State of the full sync that this node receives from its upstream.
	syncSource    Slot          // node that last started a full sync to this node, or NoSlot
	syncStartedAt time.Duration // time at which that full sync started
	// Time at which the backends that the full sync left out are sent to the upstream (reportMissingBackends). The value is
	// the constant never if these backends were already sent, or if no full sync was received.
	reportMissingAt time.Duration

	lastTicket       Ticket // ticket of the last call
	pendingCalls     []pendingCall
	acknowledgements []Action    // Acknowledge actions that Next has not returned yet
	unstored         []Departure // departures that Next has not returned in a StoreDepartures action yet
	// Entries that may differ from their last published state.
	changedEntries []*entry
}

// New returns an empty registry of the node with the given slot. Heartbeats and messages from other nodes fill it. No
// departure is confirmed before SetNodes is called.
func New(localSlot Slot, config Config, now time.Duration) *Registry {
	invariant.Assert(localSlot >= 0, "the slot of the registry's node is not negative")
	return &Registry{localSlot: localSlot, config: config, now: now, timeoutFloor: now, nextScanAt: now + scanInterval, wakeAt: never,
		syncSource: NoSlot, reportMissingAt: never, entries: map[string]*entry{}, byAddr: map[string][]*entry{}, peers: map[Slot]*peer{}}
}

// SetConfig applies settings that changed at run time. Incarnation, HasDisk and TestingKnobs do not change.
func (r *Registry) SetConfig(config Config) {
	config.Incarnation, config.HasDisk, config.TestingKnobs = r.config.Incarnation, r.config.HasDisk, r.config.TestingKnobs
	r.config = config
}

// Tick advances the clock to now and does the work that has become due. A time earlier than the present one is ignored. A
// step above stallThreshold means that this process was stalled and could read no heartbeats. All time-outs then restart.
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
			r.resendOverdueMessages(p)
		}
	}
	if now >= r.nextScanAt {
		r.scanBackends()
	}
	r.answerDecidedCalls()
}

// Heartbeat processes a backend's call that reports its phase, Ready or Draining. The host answers the call when Next
// returns an Acknowledge with the ticket that Heartbeat returned. record.Age is how long the call may have waited unread. A call
// that is older than maxHeartbeatDelay has no effect unless the backend is draining, which it stays.
func (r *Registry) Heartbeat(record Record) Ticket {
	r.lastTicket++
	if record.Age > maxHeartbeatDelay && record.Phase != Draining {
		return r.rejectLastCall()
	}
	e := r.findOrCreateEntry(record.ID)
	if e == nil {
		return r.rejectLastCall()
	}
	record.Deregistered, record.FencingToken, record.Owner, record.LostOwner = false, 0, NoSlot, NoSlot
	record.Draining = record.Phase == Draining
	requested := notDeparting
	if record.Draining {
		requested = draining
	}
	r.handleHeartbeat(e, record, true)
	r.answerOrStoreLastCall(e, requested)
	return r.lastTicket
}

// Deregister processes a backend's last call. The host answers the call when Next returns an Acknowledge with the ticket
// that Deregister returned.
func (r *Registry) Deregister(id string) Ticket {
	r.lastTicket++
	e := r.findOrCreateEntry(id)
	if e == nil {
		return r.rejectLastCall()
	}
	before := e.departureState()
	r.merge(e, Record{ID: id, Phase: Gone, Deregistered: true, Owner: NoSlot, LostOwner: NoSlot})
	if before != departed {
		r.broadcastRecord(e, true)
	}
	r.answerOrStoreLastCall(e, departed)
	return r.lastTicket
}

// Restore loads the records that this node's disk stored. The records may be outdated. The time-out of each backend is
// therefore measured from now on, and newer records from other nodes replace the restored ones. After the loss of all nodes,
// a restore saves the wait for the first heartbeats. A departure that RestoreDepartures loaded before is kept. A request to a backend with an outdated address fails to connect, or
// another backend answers the request with HTTP 421.
func (r *Registry) Restore(records []Record) {
	for _, record := range records {
		if e := r.findOrCreateEntry(record.ID); e != nil && record.Phase != Gone {
			record.SlowStartLeft = 0 // The age of the stored record is unknown.
			r.merge(e, record)
		}
	}
}

// ReportAddressConflict records that another backend answers at the address of the backend with the given id (HTTP 421).
// The backend is timed out at this node, and the backend's owner is sent the suspicion. The next heartbeat of the backend
// revives it at all nodes.
func (r *Registry) ReportAddressConflict(id string) {
	e := r.entries[id]
	if e == nil || e.phase() == Gone {
		return
	}
	r.timeOutBackend(e)
	if e.record.Owner == r.localSlot {
		r.broadcastRecord(e, true)
	} else {
		e.suspected = true
		r.reportSuspicion(e)
	}
}

// Next returns the next action for the host. The second result is false if there is none. The host calls Next after every
// input until Next returns false.
func (r *Registry) Next() (Action, bool) {
	if len(r.acknowledgements) > 0 {
		a := r.acknowledgements[0]
		r.acknowledgements = r.acknowledgements[1:]
		return a, true
	}
	r.acknowledgements = nil
	if a, ok := r.nextStore(); ok {
		return a, true
	}
	for len(r.changedEntries) > 0 {
		e := r.changedEntries[0]
		r.changedEntries = r.changedEntries[1:]
		e.changeQueued = false
		if a, ok := r.publishIfChanged(e); ok {
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
	r.removeIdlePeers()
	if at := r.nextWake(); at != r.wakeAt {
		r.wakeAt = at
		return Wake{Deadline: at}, true
	}
	return nil, false
}

// nextWake returns the latest time by which Tick must be called, or never if nothing is scheduled.
func (r *Registry) nextWake() time.Duration {
	at := never
	if len(r.entries) > r.goneCount {
		at = r.nextScanAt
	}
	for _, c := range r.pendingCalls {
		at = min(at, c.nextCheckAt(r.now))
	}
	for _, s := range r.activePeers {
		at = min(at, r.peers[s].nextCheckAt())
	}
	return at
}
