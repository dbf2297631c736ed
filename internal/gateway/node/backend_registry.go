package node

import (
	"bytes"
	"encoding/gob"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/registry"
)

// pendingHeartbeat is a backend's call that waits for its acknowledgement, and what that takes of this node.
type pendingHeartbeat struct {
	permission quorumcontact.Permission
	answer     func(ok bool, target string)
}

// Heartbeat takes what a backend says of itself; before this node has a slot another one may take it. Without word of a majority it is
// noted here, and left for another node to acknowledge, which can tell the others.
func (n *Node) Heartbeat(w registry.Record, then func(ok bool, target string)) {
	p := quorumcontact.AcknowledgeBackend
	if w.Phase == registry.Draining {
		p = quorumcontact.AcknowledgeDrain
	}
	n.awaitAcknowledgement(p, then, func() registry.Ticket { return n.registry.Heartbeat(w) })
}

// Deregister takes a backend's last word.
func (n *Node) Deregister(id string, then func(ok bool, target string)) {
	n.awaitAcknowledgement(quorumcontact.AcknowledgeDrain, then, func() registry.Ticket { return n.registry.Deregister(id, 0) })
}

func (n *Node) awaitAcknowledgement(p quorumcontact.Permission, then func(ok bool, target string), note func() registry.Ticket) {
	if n.registry == nil {
		then(false, "")
		return
	}
	n.registry.Tick(n.loop.Now())
	ticket := note()
	if !n.permitted(p) {
		then(false, "")
		return
	}
	n.pendingHeartbeats[ticket] = pendingHeartbeat{p, then}
}

// minDrainCopies is at how many nodes with a disk the end of a backend is to be before it is acknowledged.
func (n *Node) minDrainCopies() int {
	if n.knobs.AckDrainWithoutCopies {
		return 0
	}
	return n.settings.Tolerance.Machines + 1
}

// syncRegistryTo tells a node of the backends.
func (n *Node) syncRegistryTo(addr string) {
	if s := n.roster.Slot(addr); s != membership.NoSlot && n.registry != nil {
		n.registry.Tick(n.loop.Now())
		n.registry.SyncPeer(registry.Slot(s))
	}
}

// updateRegistryLearner tells the registry whether a node has its entries from this one.
func (n *Node) updateRegistryLearner(addr string) {
	if s := n.roster.Slot(addr); s != membership.NoSlot && n.registry != nil {
		n.registry.Tick(n.loop.Now())
		n.registry.SetFollower(registry.Slot(s), n.streamSender.isLearner(addr))
	}
}

// saveRegistry has the registry kept beside the log, where it changed, now and then.
func (c *core) saveRegistry() {
	now := c.node.loop.Now()
	if !c.node.registryDirty || now-c.softStateSavedAt < softStateInterval || c.node.registry == nil {
		return
	}
	c.node.registryDirty, c.softStateSavedAt = false, now
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(registry.ToWire(c.node.registry.Backends())) // of texts and numbers: it can't fail
	c.disk.softState = b.Bytes()
}

// loadRegistry gives the registry what was kept of it.
func (c *core) loadRegistry() {
	var records []registry.WireRecord
	if noted := c.disk.disk.SoftState(); noted != nil && gob.NewDecoder(bytes.NewReader(noted)).Decode(&records) == nil {
		c.node.registry.Tick(c.node.loop.Now())
		c.node.registry.Restore(registry.FromWire(records))
		c.node.logInfo(registryPart).Int("backends", len(records)).Msg("registry restored")
	}
}

// handleRegistryActions carries out what the registry asks for.
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
			if s, ok := n.roster.SlotHolderAt(membership.Slot(a.Target)); ok {
				n.links.Send(s.Addr, &Frame{Board: a.Message.Wire()})
			}
		case registry.Changed:
			n.registryDirty = true
			n.updateListing(a)
		case registry.Acknowledge:
			if then, ok := n.pendingHeartbeats[a.Ticket]; ok {
				delete(n.pendingHeartbeats, a.Ticket)
				then.answer(a.Confirmed && n.permitted(then.permission), a.OwnerAddr)
			}
		case registry.Wake:
			n.registryTimerSeq++
			n.loop.At(a.Deadline, (*registryTimer)(n), n.registryTimerSeq)
		}
	}
}

// registryTimer brings the registry's due time; the pull at the end of the turn does the rest.
type registryTimer Node

func (r *registryTimer) Live(nr uint32) bool { return nr == r.registryTimerSeq }
func (r *registryTimer) Due(uint32)          {}
