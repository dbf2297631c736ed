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
func (n *Node) Ready() bool { return len(n.unreadyReasons()) == 0 }

// unreadyReasons tells in words why no clients are wanted.
func (n *Node) unreadyReasons() (why []string) {
	say := func(is bool, what string) {
		if is {
			why = append(why, what)
		}
	}
	say(n.shuttingDown, "it is told to end")
	say(n.table.Version() == 0, "no configuration")
	say(!n.hasContactFor(permitReady), "not heard of the core of late")
	say(n.registry == nil, "no slot")
	say(n.registry != nil && !n.registry.HasReady(), "no backend is ready")
	return why
}

// Version is of the configuration that this node routes by; 0: none yet.
func (n *Node) Version() uint64 { return n.table.Version() }

// ConfigurationVersion and Serves are Version and Ready for who is not in a turn.
func (n *Node) ConfigurationVersion() (v uint64) {
	n.loop.Turn(func() { v = n.Version() })
	return v
}

// IsServing is Ready for callers outside of a turn.
func (n *Node) IsServing() (is bool) {
	n.loop.Turn(func() { is = n.Ready() })
	return is
}

// Change brings a change to whoever leads, unless what is known here settles it for every later state: that it was taken, or that
// it is wrong in itself. A node that is behind refuses nothing by its own state.
func (n *Node) Change(kind statemachine.Kind, body []byte, then func(status int, body []byte)) {
	if v, err, final := n.machine.DecideFinal(kind, body); final && (v != routing.Invalid || n.permitted(permitRefuse)) {
		then(responseOf(v, err))
		return
	}
	n.callLeader(kind, body, 0, then)
}

// ReadConfiguration reads the newest configuration.
func (n *Node) ReadConfiguration(then func(status int, body []byte)) {
	n.callLeader(ReadConfig, nil, 0, then)
}

// pendingHeartbeat is a backend's call that waits for its acknowledgement, and what that takes of this node.
type pendingHeartbeat struct {
	permission permission
	answer     func(ok bool, target string)
}

// Heartbeat takes what a backend says of itself; before this node has a slot another one may take it. Without word of a majority it is
// noted here, and left for another node to acknowledge, which can tell the others.
func (n *Node) Heartbeat(w registry.Record, then func(ok bool, target string)) {
	r := permitAckHeartbeat
	if w.Phase == registry.Draining {
		r = permitAckDrain
	}
	n.awaitAcknowledgement(r, then, func() registry.Ticket { return n.registry.Heartbeat(w) })
}

// Deregister takes a backend's last word.
func (n *Node) Deregister(id string, then func(ok bool, target string)) {
	n.awaitAcknowledgement(permitAckDrain, then, func() registry.Ticket { return n.registry.Deregister(id, 0) })
}

func (n *Node) awaitAcknowledgement(r permission, then func(ok bool, target string), note func() registry.Ticket) {
	if n.registry == nil {
		then(false, "")
		return
	}
	n.registry.Tick(n.loop.Now())
	ticket := note()
	if !n.permitted(r) {
		then(false, "")
		return
	}
	n.pendingHeartbeats[ticket] = pendingHeartbeat{r, then}
}

// Status is for operators: what this node knows now, asking no other.
func (n *Node) Status() controlapi.NodeStatus {
	why := n.unreadyReasons()
	s := controlapi.NodeStatus{Node: n.settings.NodeName, Address: n.peerAddr, Zone: n.settings.Zone, Ready: len(why) == 0,
		Unready: why, Generation: n.table.Version(), Applied: n.appliedIndex, Feeder: n.upstream, Held: n.gate.Held(),
		Clients: n.frontend.Clients(), Counters: n.counters.Text(), Nodes: n.statusNodes(),
		Backends: []controlapi.StatusBackend{}}
	if me := n.slot(); me != membership.NoSlot {
		s.Slot = ptr(int(me))
	}
	if stale := n.contactAge(); stale < maxKnownAge {
		s.StaleMs = ptr(stale.Milliseconds())
	}
	if n.core != nil {
		s.Core = n.coreStatus()
	}
	if n.registry != nil {
		b := n.registry.Status()
		s.Registry = &controlapi.StatusRegistry{Ready: b.Ready, Draining: b.Draining, Gone: b.Gone, Kept: b.Owned,
			Unwatched: b.OwnerLost, Waiting: b.PendingCalls, Unconfirmed: b.Unconfirmed, Refused: b.Refused}
		for _, w := range n.registry.Backends() {
			s.Backends = append(s.Backends, backendStatus(w))
		}
	}
	return s
}

// Staleness is how old this node's word of a majority is, and the generation of the configuration that it goes by.
func (n *Node) Staleness() (age time.Duration, generation uint64) {
	return n.contactAge(), n.table.Version()
}

// maxKnownAge is below what stale says where no word of the core ever came.
const maxKnownAge = neverAge / 2

func ptr[T any](v T) *T { return &v }

// statusNodes is all nodes known here: those with a slot in the order of slots, then the others.
func (n *Node) statusNodes() []controlapi.StatusNode {
	var all []controlapi.StatusNode
	seen := map[string]bool{}
	add := func(addr string, from membership.SlotHolder) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		d := controlapi.StatusNode{Name: from.Name, Address: addr, Control: from.Control, Zone: from.Zone,
			Live: n.roster.Live(addr)}
		if now, ok := n.roster.Node(addr); ok { // what it says itself is newer than its entry
			d.Name, d.Control, d.Zone, d.Disk = now.Name, now.ControlAddr, now.Zone, now.Disk != 0
		}
		if slot := n.roster.Slot(addr); slot != membership.NoSlot {
			d.Slot = ptr(int(slot))
		}
		all = append(all, d)
	}
	for _, s := range n.roster.SlotHolders() {
		add(s.Addr, s)
	}
	add(n.peerAddr, membership.SlotHolder{})
	for _, a := range n.roster.Addrs() {
		add(a, membership.SlotHolder{})
	}
	return all
}

// coreStatus is this node's part in the core.
func (n *Node) coreStatus() *controlapi.StatusCore {
	c := n.core.replica.Status()
	s := &controlapi.StatusCore{Me: formatMemberID(c.Self.ID), Role: c.Role, View: c.Term, Leader: c.Leader.Addr,
		Settled: c.MembersCommitted, First: c.FirstIndex, Last: c.LastIndex, Synced: c.SyncedIndex, Behind: c.Uncommitted, Waiting: c.Pending,
		Members: []controlapi.StatusMember{}}
	if c.Learner != 0 {
		s.Learner = formatMemberID(c.Learner)
	}
	for _, m := range c.Members {
		d, ok := n.roster.Node(m.Addr)
		live := ok && n.roster.Live(m.Addr) && replication.MemberID(d.Disk) == m.ID
		s.Members = append(s.Members, controlapi.StatusMember{Id: formatMemberID(m.ID), Address: m.Addr, Live: live})
	}
	return s
}

// formatMemberID words a member's id: it has 40 bits.
func formatMemberID(id replication.MemberID) string { return fmt.Sprintf("%010x", uint64(id)) }

func backendStatus(w registry.Record) controlapi.StatusBackend {
	b := controlapi.StatusBackend{Id: w.ID, Target: w.Service, Address: w.Addr, Zone: w.Zone, Generation: w.Generation,
		Capacity: w.Capacity, Phase: w.Phase.String(), Registrar: int(w.Owner), Fence: w.FencingToken, CallSeq: w.Seq}
	if w.SlowStartLeft > 0 {
		b.ColdLeft = strconv.FormatInt(w.SlowStartLeft.Milliseconds(), 10) + "ms"
	}
	return b
}
