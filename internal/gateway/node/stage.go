package node

import (
	"fmt"
	"strconv"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

// Ready reports whether clients may come, as far as this node knows.
func (h *Node) Ready() bool { return len(h.unreadyReasons()) == 0 }

// unreadyReasons tells in words why no clients are wanted.
func (h *Node) unreadyReasons() (why []string) {
	say := func(is bool, what string) {
		if is {
			why = append(why, what)
		}
	}
	say(h.shuttingDown, "it is told to end")
	say(h.table.Version() == 0, "no configuration")
	say(!h.hasContactFor(permitReady), "not heard of the core of late")
	say(h.registry == nil, "no slot")
	say(h.registry != nil && !h.registry.HasReady(), "no backend is ready")
	return why
}

// Version is of the configuration that this node routes by; 0: none yet.
func (h *Node) Version() uint64 { return h.table.Version() }

// ConfigurationVersion and Serves are Version and Ready for who is not in a turn.
func (h *Node) ConfigurationVersion() (v uint64) {
	h.loop.Turn(func() { v = h.Version() })
	return v
}

// IsServing is Ready for callers outside of a turn.
func (h *Node) IsServing() (is bool) {
	h.loop.Turn(func() { is = h.Ready() })
	return is
}

// Change brings a change to whoever leads, unless what is known here settles it for every later state: that it was taken, or that
// it is wrong in itself. A node that is behind refuses nothing by its own state.
func (h *Node) Change(kind statemachine.Kind, body []byte, then func(status int, body []byte)) {
	if v, err, final := h.machine.DecideFinal(kind, body); final && (v != routing.Invalid || h.permitted(permitRefuse)) {
		then(responseOf(v, err))
		return
	}
	h.callLeader(kind, body, 0, then)
}

// ReadConfiguration reads the newest configuration.
func (h *Node) ReadConfiguration(then func(status int, body []byte)) {
	h.callLeader(ReadConfig, nil, 0, then)
}

// pendingHeartbeat is a backend's call that waits for its acknowledgement, and what that takes of this node.
type pendingHeartbeat struct {
	permission permission
	answer     func(ok bool, target string)
}

// Heartbeat takes what a backend says of itself; before this node has a slot another one may take it. Without word of a majority it is
// noted here, and left for another node to acknowledge, which can tell the others.
func (h *Node) Heartbeat(w registry.Record, then func(ok bool, target string)) {
	r := permitAckHeartbeat
	if w.Phase == registry.Draining {
		r = permitAckDrain
	}
	h.awaitAcknowledgement(r, then, func() registry.Ticket { return h.registry.Heartbeat(w) })
}

// Deregister takes a backend's last word.
func (h *Node) Deregister(id string, then func(ok bool, target string)) {
	h.awaitAcknowledgement(permitAckDrain, then, func() registry.Ticket { return h.registry.Deregister(id, 0) })
}

func (h *Node) awaitAcknowledgement(r permission, then func(ok bool, target string), note func() registry.Ticket) {
	if h.registry == nil {
		then(false, "")
		return
	}
	h.registry.Tick(h.loop.Now())
	ticket := note()
	if !h.permitted(r) {
		then(false, "")
		return
	}
	h.pendingHeartbeats[ticket] = pendingHeartbeat{r, then}
}

// Status is for operators: what this node knows now, asking no other.
func (h *Node) Status() controlapi.NodeStatus {
	why := h.unreadyReasons()
	s := controlapi.NodeStatus{Node: h.settings.NodeName, Address: h.peerAddr, Zone: h.settings.Zone, Ready: len(why) == 0,
		Unready: why, Generation: h.table.Version(), Applied: h.appliedIndex, Feeder: h.upstream, Held: h.gate.Held(),
		Clients: h.frontend.Clients(), Counters: h.counters.Text(), Nodes: h.statusNodes(),
		Backends: []controlapi.StatusBackend{}}
	if me := h.slot(); me != membership.NoSlot {
		s.Slot = ptr(int(me))
	}
	if stale := h.contactAge(); stale < maxKnownAge {
		s.StaleMs = ptr(stale.Milliseconds())
	}
	if h.core != nil {
		s.Core = h.coreStatus()
	}
	if h.registry != nil {
		b := h.registry.Status()
		s.Registry = &controlapi.StatusRegistry{Ready: b.Ready, Draining: b.Draining, Gone: b.Gone, Kept: b.Owned,
			Unwatched: b.OwnerLost, Waiting: b.PendingCalls, Unconfirmed: b.Unconfirmed, Refused: b.Refused}
		for _, w := range h.registry.Backends() {
			s.Backends = append(s.Backends, backendStatus(w))
		}
	}
	return s
}

// Staleness is how old this node's word of a majority is, and the generation of the configuration that it goes by.
func (h *Node) Staleness() (age time.Duration, generation uint64) {
	return h.contactAge(), h.table.Version()
}

// maxKnownAge is below what stale says where no word of the core ever came.
const maxKnownAge = neverAge / 2

func ptr[T any](v T) *T { return &v }

// statusNodes is all nodes known here: those with a slot in the order of slots, then the others.
func (h *Node) statusNodes() []controlapi.StatusNode {
	var all []controlapi.StatusNode
	seen := map[string]bool{}
	add := func(addr string, from membership.SlotHolder) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		d := controlapi.StatusNode{Name: from.Name, Address: addr, Control: from.Control, Zone: from.Zone,
			Live: h.roster.Live(addr)}
		if now, ok := h.roster.Node(addr); ok { // what it says itself is newer than its entry
			d.Name, d.Control, d.Zone, d.Disk = now.Name, now.Control, now.Zone, now.Disk != 0
		}
		if slot := h.roster.Slot(addr); slot != membership.NoSlot {
			d.Slot = ptr(int(slot))
		}
		all = append(all, d)
	}
	for _, s := range h.roster.SlotHolders() {
		add(s.Addr, s)
	}
	add(h.peerAddr, membership.SlotHolder{})
	for _, a := range h.roster.Addrs() {
		add(a, membership.SlotHolder{})
	}
	return all
}

// coreStatus is this node's part in the core.
func (h *Node) coreStatus() *controlapi.StatusCore {
	c := h.core.replica.Status()
	s := &controlapi.StatusCore{Me: formatMemberID(c.Self.ID), Role: c.Role, View: c.Term, Leader: c.Leader.Addr,
		Settled: c.MembersCommitted, First: c.FirstIndex, Last: c.LastIndex, Synced: c.SyncedIndex, Behind: c.Uncommitted, Waiting: c.Pending,
		Members: []controlapi.StatusMember{}}
	if c.Learner != 0 {
		s.Learner = formatMemberID(c.Learner)
	}
	for _, m := range c.Members {
		d, ok := h.roster.Node(m.Addr)
		live := ok && h.roster.Live(m.Addr) && replication.MemberID(d.Disk) == m.ID
		s.Members = append(s.Members, controlapi.StatusMember{Id: formatMemberID(m.ID), Address: m.Addr, Live: live})
	}
	return s
}

// formatMemberID words a member's id: it has 40 bits.
func formatMemberID(id replication.MemberID) string { return fmt.Sprintf("%010x", uint64(id)) }

func backendStatus(w registry.Record) controlapi.StatusBackend {
	b := controlapi.StatusBackend{Id: w.ID, Target: w.Service, Address: w.Addr, Zone: w.Zone, Generation: w.Generation,
		Capacity: w.Capacity, Phase: w.Phase.String(), Registrar: int(w.Keeper), Fence: w.Fence, CallSeq: w.Seq}
	if w.ColdLeft > 0 {
		b.ColdLeft = strconv.FormatInt(w.ColdLeft.Milliseconds(), 10) + "ms"
	}
	return b
}
