package node

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/proxy/invariant"
)

const (
	guessesMost = 3
	frameLines  = 64 << 10         // bytes of messages of the groups in one frame
	compactLog  = 64 << 10         // bytes of entries that go into a snapshot at the least,
	compactMost = 512 << 10        // and at the most: eight groups and the configuration share a disk of 64 MB
	foundWithin = 3 * time.Second  // the groups begin with the members that there are
	wantEvery   = time.Second      // and the wish for them goes again
	coordinates = "coord"          // the contract of deployments whose applications call for coordination
	hintFor     = 10 * time.Second // what another node said of who leads is forgotten after that
)

// newApplication makes what the groups order, at a node with a disk. Nil: there are no groups.
var newApplication = func(h *Node) groups.Application { return groupsApplication{h.coordination, h} }

// groupHost runs this node's part in the coordination groups.
type groupHost struct {
	h        *Node
	app      groups.Application
	replicas [groups.Count]*groupReplica // nil without a disk
	begun    bool                        // the founding is known here, or a disk holds a state
	hints    [groups.Count]hint
	out      map[string][]groupLine // by address, of this turn
	wanted   time.Duration          // when a call first wanted groups that have not begun
	wantedAt time.Duration          // when the wish last went out
	tendedAt time.Duration
	balancer balancer
}

// hint is what another node said of who leads a group.
type hint struct {
	addr string
	at   time.Duration
}

// groupReplica is this node's part in one group.
type groupReplica struct {
	replicaHost
	host    *groupHost
	id      groups.ID
	machine groups.StateMachine
	waits   map[uint64]groupCall // by token
	token   uint64
	size    int // bytes of entries since the last snapshot
	snap    int // bytes of that
	last    applied
	term    uint64 // led, as the application knows it; 0: not
	since   time.Duration
	view    uint64 // the last one whose leader was known
	leader  replication.MemberID
}

// applied is the result of an entry, and of no other that ever stood at its index.
type applied struct {
	index         uint64
	entry, result []byte
}

// groupCall is a proposal or a read that waits for its end.
type groupCall struct {
	entry    []byte
	proposed func(groups.Outcome, []byte)
	read     func(ok bool)
}

// open makes the replicas from what the disk holds.
func (g *groupHost) open(kept map[replication.LogID]replication.PersistentState) {
	if newApplication == nil {
		return
	}
	g.app, g.out = newApplication(g.h), map[string][]groupLine{}
	g.balancer = balancer{trouble: map[replication.MemberID]trouble{}}
	core := g.h.core
	for i := range g.replicas {
		id := groups.ID(i)
		k := kept[logOf(id)]
		k.ID = core.me.ID
		g.begun = g.begun || k.ClusterID != 0
		r := &groupReplica{host: g, id: id, machine: g.app.StateMachine(id), waits: map[uint64]groupCall{}, snap: len(k.Snapshot.State)}
		r.replicaHost = replicaHost{h: g.h, me: core.me, log: logOf(id), disk: core.disk, owner: r, due: true}
		r.p = replication.New(r.me, k, replication.GroupConfig(r.log), g.h.seed+int64(i)+1, g.h.e.Now())
		g.replicas[i] = r
	}
}

// runs tells whether this node takes part in the groups.
func (g *groupHost) runs() bool { return g.app != nil && g.begun }

// found begins the groups, where the configuration's log says with which disks.
func (g *groupHost) found(founders []membership.Founder) {
	if len(founders) == 0 || g.begun && g.app == nil {
		return
	}
	g.begun = true
	members := membersOf(founders)
	if g.app == nil || !slices.ContainsFunc(members, func(m replication.Member) bool { return m.ID == g.h.core.me.ID }) {
		return
	}
	for _, r := range g.replicas {
		if r.p.Bootstrapped() {
			continue
		}
		if err := r.now().Bootstrap(members); err != nil {
			g.h.warn(groupPart, "founding of group %d: %v", r.id, err)
		}
	}
}

// pull carries out what the replicas ask for, and what the application asks for when it is told.
func (g *groupHost) pull() {
	if g.app == nil {
		return
	}
	for again := true; again; {
		again = false
		for _, r := range g.replicas {
			if r.due {
				again = true
				r.now()
				r.drain()
				r.tellLead()
			}
		}
	}
	g.send()
}

// send gives each peer what the groups have for it, together.
func (g *groupHost) send() {
	if len(g.out) == 0 {
		return
	}
	for _, addr := range slices.Sorted(maps.Keys(g.out)) {
		f := &GroupLines{From: g.h.core.me.ID}
		for i := range g.out[addr] {
			line := &g.out[addr][i]
			if len(f.Lines) > 0 && len(f.Lines)+line.message.Size() > frameLines {
				g.h.links.Send(addr, &Frame{Groups: f})
				f = &GroupLines{From: f.From}
			}
			f.append(line)
		}
		g.h.links.Send(addr, &Frame{Groups: f})
	}
	clear(g.out)
}

// heard takes what another node's groups say.
func (g *groupHost) heard(f *GroupLines) {
	if g.app == nil {
		return
	}
	g.begun = true
	err := f.each(func(line *groupLine) {
		r := g.replicas[line.group]
		if line.message.Kind == replication.MsgTimeoutNow && r.disk.stalled() > stallAfter {
			return // who can't sync can't lead
		}
		r.now().Step(f.From, line.message)
	})
	if err != nil {
		g.h.warn(groupPart, "message of %d can't be read: %v", f.From, err)
	}
}

// down tells that a link to a node broke.
func (g *groupHost) down(addr string) {
	if !g.runs() {
		return
	}
	for _, r := range g.replicas {
		if m, _, ok := r.p.Leader(); ok && m.ID != r.me.ID && g.h.addrOf(m) == addr {
			r.now().ReportUnreachable(m.ID)
		}
	}
}

func (r *groupReplica) send(to replication.Member, m replication.Message) {
	if addr := r.h.addrOf(to); addr != "" {
		r.host.out[addr] = append(r.host.out[addr], groupLine{r.id, m})
	}
}

func (r *groupReplica) restore(index uint64, state []byte) {
	if err := r.machine.Restore(state); err != nil {
		r.h.warn(groupPart, "state of group %d at %d can't be read: %v", r.id, index, err)
	}
	r.size, r.snap = 0, len(state)
}

// commit applies an entry, and puts the log into a snapshot once it has as many bytes as that, so that writing snapshots costs no
// more than writing entries: alike at all members.
func (r *groupReplica) commit(e replication.Entry) {
	r.last = applied{}
	if e.Kind == replication.EntryNormal {
		r.last = applied{e.Index, e.Data, r.machine.Apply(e.Index, e.Data)}
	}
	r.size += e.Size()
	if r.size >= min(max(compactLog, r.snap), compactMost) {
		state := r.machine.Snapshot()
		r.size, r.snap = 0, len(state)
		r.p.Compact(e.Index, state)
	}
}

func (r *groupReplica) settle(o replication.Outcome) {
	c, ok := r.waits[o.Token]
	delete(r.waits, o.Token)
	switch {
	case !ok:
	case c.read != nil:
		c.read(o.Status == replication.OutcomeCommitted)
	case o.Status == replication.OutcomeCommitted:
		if r.last.index != o.Index || !bytes.Equal(r.last.entry, c.entry) {
			invariant.That(false, "a proposal ends by its own entry")
			c.proposed(groups.Ambiguous, nil)
			return
		}
		c.proposed(groups.Applied, r.last.result)
	case o.Status == replication.OutcomeUnknown:
		c.proposed(groups.Ambiguous, nil)
	default:
		c.proposed(groups.NotProposed, nil)
	}
}

// tellLead tells the application, and who follows this node, who leads.
func (r *groupReplica) tellLead() {
	view, leads := r.p.LeaderTerm()
	if r.term != 0 && (!leads || view != r.term) {
		lost := r.term
		r.term = 0
		r.host.app.LeadershipLost(r.id, lost)
	}
	if leads && r.term == 0 {
		r.term, r.since = view, r.h.e.Now()
		r.host.balancer.gained(r, r.leader, r.since)
		r.host.app.LeadershipGained(r.id, view)
	}
	if m, view, ok := r.p.Leader(); ok && view != r.view {
		r.view, r.leader = view, m.ID
		r.h.pingedAt = 0 // who follows passes calls on by it
		if m.ID == r.me.ID {
			r.h.say(groupPart, "leads group %d in view %d", r.id, view)
		}
	}
}
