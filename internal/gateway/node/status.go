package node

import (
	"fmt"
	"runtime"
	"strconv"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/invariant"
)

// Status is what this node knows now, for operators; it asks no other node.
func (n *Node) Status() controlapi.NodeStatus {
	why := n.unreadyReasons()
	s := controlapi.NodeStatus{Node: n.settings.NodeName, Address: n.peerAddr, Zone: n.settings.Zone, Ready: len(why) == 0,
		Unready: why, Generation: n.table.Version(), Applied: n.appliedIndex, Feeder: n.streamReceiver.upstream, Held: n.gate.InFlight(),
		Clients: n.frontend.Clients(), Counters: n.counters.Text(), Nodes: n.statusNodes(),
		Backends: []controlapi.StatusBackend{}}
	if me := n.slot(); me != membership.NoSlot {
		s.Slot = ptr(int(me))
	}
	if stale := n.contactAge(); stale < quorumcontact.MaxKnownAge {
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

// Staleness is the age of this node's contact with a majority, and the version of the configuration that it routes by.
func (n *Node) Staleness() (age time.Duration, generation uint64) {
	return n.contactAge(), n.table.Version()
}

// ptr is for fields that may be absent.
func ptr[T any](v T) *T { return &v }

// statusNodes are all nodes known here: those with a slot in the order of slots, then the others.
func (n *Node) statusNodes() []controlapi.StatusNode {
	var all []controlapi.StatusNode
	seen := map[string]bool{}
	add := func(addr string, from membership.SlotHolder) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		d := controlapi.StatusNode{Name: from.Name, Address: addr, Control: from.Control, Zone: from.Zone,
			Live: n.roster.IsLive(addr)}
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

// coreStatus is this node's replica of the configuration log.
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
		live := ok && n.roster.IsLive(m.Addr) && replication.MemberID(d.Disk) == m.ID
		s.Members = append(s.Members, controlapi.StatusMember{Id: formatMemberID(m.ID), Address: m.Addr, Live: live})
	}
	return s
}

// formatMemberID writes the 40 bits of a member's ID.
func formatMemberID(id replication.MemberID) string { return fmt.Sprintf("%010x", uint64(id)) }

// backendStatus is a backend for operators.
func backendStatus(w registry.Record) controlapi.StatusBackend {
	b := controlapi.StatusBackend{Id: w.ID, Target: w.Service, Address: w.Addr, Zone: w.Zone, Generation: w.Generation,
		Capacity: w.Capacity, Phase: w.Phase.String(), Registrar: int(w.Owner), Fence: w.FencingToken, CallSeq: w.Seq}
	if w.SlowStartLeft > 0 {
		b.ColdLeft = strconv.FormatInt(w.SlowStartLeft.Milliseconds(), 10) + "ms"
	}
	return b
}

// LogCounters writes the counters to the log. It is not for a turn.
func (n *Node) LogCounters() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n.loop.Turn(func() {
		n.logInfo(nodePart).Str("counters", n.counters.Text()).Uint64("heap_kb", m.HeapAlloc>>10).Uint64("memory_kb", m.Sys>>10).
			Int("goroutines", runtime.NumGoroutine()).Int("in_flight", n.gate.InFlight()).Int("clients", n.frontend.Clients()).Uint64("invariants_broken", invariant.Violations()).Msg("counters")
	})
}
