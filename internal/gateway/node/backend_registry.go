package node

import (
	"bytes"
	"encoding/gob"
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/registry"
)

// softStateInterval is the least time between two writes of the backends beside the log. The stored backends help after the loss of all
// nodes, and nothing rests on them. Departures are stored at once instead: see registry.StoreDepartures.
const softStateInterval = 500 * time.Millisecond

// registryHost is what a node keeps for its registry of backends.
type registryHost struct {
	timerSeq      uint32
	unsaved       bool // it changed since it was last saved
	saveScheduled bool // it is to be saved with the next write
	savedAt       time.Duration
	pending       map[registry.Ticket]pendingHeartbeat
}

// pendingHeartbeat is a backend's call that waits for its acknowledgement.
type pendingHeartbeat struct {
	permission quorumcontact.Permission // required when the call is acknowledged
	done       func(ok bool, ownerAddr string)
}

// Heartbeat takes a backend's heartbeat. done is called in this turn or a later one: ok is an acknowledgement, else another node may give
// it; ownerAddr is where the backend's next heartbeats are best sent, "" anywhere. Without contact with a majority the heartbeat is
// recorded here, and left to another node to acknowledge, which can spread it.
func (n *Node) Heartbeat(r registry.Record, done func(ok bool, ownerAddr string)) {
	p := quorumcontact.AcknowledgeBackend
	if r.Phase == registry.Draining {
		p = quorumcontact.AcknowledgeDrain
	}
	n.awaitAcknowledgement(p, done, func() registry.Ticket { return n.registry.Heartbeat(r) })
}

// Deregister takes the end of a backend. done is as for Heartbeat.
func (n *Node) Deregister(id string, done func(ok bool, ownerAddr string)) {
	n.awaitAcknowledgement(quorumcontact.AcknowledgeDrain, done, func() registry.Ticket { return n.registry.Deregister(id) })
}

// awaitAcknowledgement hands a call to the registry, and calls done when the registry acknowledges it, if the permission holds both now
// and then.
func (n *Node) awaitAcknowledgement(p quorumcontact.Permission, done func(ok bool, ownerAddr string), submit func() registry.Ticket) {
	if n.registry == nil { // before the node has a slot
		done(false, "")
		return
	}
	n.registry.Tick(n.loop.Now())
	ticket := submit()
	if !n.permitted(p) {
		done(false, "")
		return
	}
	n.registryHost.pending[ticket] = pendingHeartbeat{p, done}
}

// openRegistry begins the registry, once this node has one of so many slots.
func (n *Node) openRegistry(self membership.Slot, slots int) {
	n.registry = registry.New(registry.Slot(self), registry.Config{HeartbeatInterval: n.settings.HeartbeatInterval,
		MinCopies: n.minDrainCopies(), Incarnation: uint32(n.incarnation), HasDisk: n.core != nil}, n.loop.Now())
	n.logInfo(nodePart).Int("slot", int(self)).Int("slots", slots).Msg("slot assigned")
	if n.core != nil {
		n.restoreRegistry()
	}
}

// minDrainCopies is the number of nodes with a disk that must have the end of a backend before it is acknowledged: one survives the
// losses that are tolerated.
func (n *Node) minDrainCopies() int {
	if n.knobs.AckDrainWithoutCopies {
		return 0
	}
	return n.settings.Tolerance.Machines + 1
}

// syncRegistryTo sends a node all backends.
func (n *Node) syncRegistryTo(addr string) {
	if s := n.roster.Slot(addr); s != membership.NoSlot && n.registry != nil {
		n.registry.Tick(n.loop.Now())
		n.registry.SyncPeer(registry.Slot(s))
	}
}

// updateRegistryLearner notifies the registry whether a node has its entries from this one.
func (n *Node) updateRegistryLearner(addr string) {
	if s := n.roster.Slot(addr); s != membership.NoSlot && n.registry != nil {
		n.registry.Tick(n.loop.Now())
		n.registry.SetFollower(registry.Slot(s), n.streamSender.isLearner(addr))
	}
}

// receiveRegistry takes another node's message.
func (n *Node) receiveRegistry(from string, m *registry.WireMessage) {
	if s := n.roster.Slot(from); s != membership.NoSlot {
		n.registry.Tick(n.loop.Now())
		n.registry.Receive(registry.Slot(s), m.ToMessage())
	}
}

// scheduleRegistrySave has the registry stored beside the log with the next write, if it changed, each softStateInterval.
func (n *Node) scheduleRegistrySave() {
	now, host := n.loop.Now(), &n.registryHost
	if !host.unsaved || now-host.savedAt < softStateInterval || n.registry == nil {
		return
	}
	host.unsaved, host.savedAt, host.saveScheduled = false, now, true
}

// takeSoftState returns the state of the registry if it is to be saved, and nil if it is not.
func (n *Node) takeSoftState() *SoftState {
	if !n.registryHost.saveScheduled {
		return nil
	}
	n.registryHost.saveScheduled = false
	return &SoftState{Backends: encodeBackends(n.registry.Backends()), DepartingIDs: n.registry.DepartingIDs()}
}

// departuresStored notifies the registry that departures are on this node's disk.
func (n *Node) departuresStored(departures []registry.Departure) {
	if n.registry != nil && len(departures) > 0 {
		n.registry.Tick(n.loop.Now())
		n.registry.DeparturesStored(departures)
	}
}

// restoreRegistry gives the registry what the disk stored of it. The departures are certain. The backends may be out of date.
func (n *Node) restoreRegistry() {
	departures := n.core.disk.disk.Departures()
	n.registry.Tick(n.loop.Now())
	n.registry.RestoreDepartures(departures)
	stored := n.core.disk.disk.SoftState()
	if stored == nil && len(departures) == 0 {
		return
	}
	records, err := decodeBackends(stored)
	if err == nil { // else it is of another program's form: backends send heartbeats anyway
		n.registry.Restore(records)
	}
	n.logInfo(registryPart).Int("backends", len(records)).Int("departures", len(departures)).Msg("registry restored")
}

// encodeBackends is the stored form of the backends.
func encodeBackends(records []registry.Record) []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(registry.ToWireRecords(records)) // of texts and numbers: it can't fail
	return b.Bytes()
}

// decodeBackends reads the stored form.
func decodeBackends(stored []byte) ([]registry.Record, error) {
	if len(stored) == 0 {
		return nil, nil
	}
	var records []registry.WireRecord
	if err := gob.NewDecoder(bytes.NewReader(stored)).Decode(&records); err != nil {
		return nil, err
	}
	return registry.FromWireRecords(records), nil
}

// handleRegistryActions carries out what the registry decided.
func (n *Node) handleRegistryActions() {
	if n.registry == nil {
		return
	}
	n.registry.Tick(n.loop.Now())
	for {
		a, ok := n.registry.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case registry.Send:
			if s, ok := n.roster.NodeAtSlot(membership.Slot(a.Target)); ok {
				n.links.Send(s.Addr, &Frame{Board: a.Message.ToWire()})
			}
		case registry.StoreDepartures:
			n.core.disk.departures = append(n.core.disk.departures, a.Departures...)
		case registry.Changed:
			n.registryHost.unsaved = true
			n.updateListing(a)
		case registry.Acknowledge:
			if call, ok := n.registryHost.pending[a.Ticket]; ok {
				delete(n.registryHost.pending, a.Ticket)
				call.done(a.Confirmed && n.permitted(call.permission), a.OwnerAddr)
			}
		case registry.Wake:
			n.registryHost.timerSeq++
			n.loop.At(a.Deadline, (*registryTimer)(n), n.registryHost.timerSeq)
		}
	}
}

// registryTimer is the registry's due time; the end of the turn does the rest.
type registryTimer Node

// Live reports whether no later time took this one's place.
func (r *registryTimer) Live(seq uint32) bool { return seq == r.registryHost.timerSeq }

// Due does nothing: the turn's end asks the registry.
func (r *registryTimer) Due(uint32) {}
