package node

import (
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// maxGroupFrameBytes bounds the groups' messages in one frame.
const maxGroupFrameBytes = 64 << 10

// groupHost runs this node's part in the coordination groups: a replica of each at a node with a disk, and everywhere what is known of
// who leads them. It is a groups.Host. It is called in turns of the node.
type groupHost struct {
	env      groupEnv
	app      groups.Application          // nil without a disk
	replicas [groups.Count]*groupReplica // nil without a disk
	outbox   map[string][]groupMessage   // by address, of this turn
	founded  bool                        // the founding is known here, or the disk has a state
	founding groupFounding               // until then
	leads    leadBalancer                // at a node with a disk
	hints    [groups.Count]leaderHint    // at a node without
}

// groupEnv is what a groupHost needs of its node.
type groupEnv interface {
	replicaEnv
	sendFrame(to string, f *Frame) bool
	// mayTakeCalls reports whether this node's contact with a majority is recent enough to take calls.
	mayTakeCalls() bool
	// isLeader reports whether this node leads the configuration's log.
	isLeader() bool
	callLeader(kind statemachine.Kind, body []byte, hops int, done callDone)
	// coordinationIsContract reports whether the deployment's contracts name coordination.
	coordinationIsContract() bool
	// coreFounded reports whether the configuration's log has begun.
	coreFounded() bool
	// coreMembers are the members of the configuration's log.
	coreMembers() []replication.Member
	// reachableDisks are the nodes with a disk that this one reaches, itself among them.
	reachableDisks() []replication.ReachableNode
	// diskStalledFor is how long the disk has had a write under way.
	diskStalledFor() time.Duration
	// toleratedLosses is how many nodes may be lost at one time.
	toleratedLosses() int
	// memberAddr is where a member's node says that it is.
	memberAddr(m replication.Member) string
	// membershipRoster is what this node knows of the others.
	membershipRoster() *membership.Roster
	// announceLeaders has the learners of this node notified at the next tick of the groups' leaders.
	announceLeaders()
	logInfo(p logPart) *log.Entry
	logWarn(p logPart) *log.Entry
}

var _ groups.Host = (*groupHost)(nil)

// groupConfig is what the replicas of the groups begin with, at a node with a disk.
type groupConfig struct {
	app    groups.Application
	self   replication.Member
	disk   *diskQueue
	seed   int64 // each group's random numbers have a seed of their own, by this one
	stored map[replication.LogID]replication.PersistentState
}

// open makes the replicas from what is on disk.
func (g *groupHost) open(config groupConfig) {
	g.app, g.outbox = config.app, map[string][]groupMessage{}
	g.leads = newLeadBalancer()
	for i := range g.replicas {
		id := groups.ID(i)
		g.founded = g.founded || config.stored[logID(id)].ClusterID != 0
		g.replicas[i] = newGroupReplica(g, id, &config)
	}
}

// participates reports whether this node has replicas of the groups, and they are founded.
func (g *groupHost) participates() bool { return g.app != nil && g.founded }

// handleReady carries out what the replicas ask for, and what the application asks for when it is notified.
func (g *groupHost) handleReady() {
	if g.app == nil {
		return
	}
	for again := true; again; {
		again = false
		for _, r := range g.replicas {
			if r.ready {
				again = true
				r.advance()
				r.handleActions()
				r.notifyLeadership()
			}
		}
	}
	g.flushOutbox()
}

// flushOutbox sends each peer what the groups have for it, together.
func (g *groupHost) flushOutbox() {
	if len(g.outbox) == 0 {
		return
	}
	for _, addr := range slices.Sorted(maps.Keys(g.outbox)) {
		frame := &GroupMessages{From: g.self()}
		for i := range g.outbox[addr] {
			line := &g.outbox[addr][i]
			if len(frame.Lines) > 0 && len(frame.Lines)+line.message.Size() > maxGroupFrameBytes {
				g.env.sendFrame(addr, &Frame{Groups: frame})
				frame = &GroupMessages{From: frame.From}
			}
			frame.append(line)
		}
		g.env.sendFrame(addr, &Frame{Groups: frame})
	}
	clear(g.outbox)
}

// self is this node's member ID, alike in all groups.
func (g *groupHost) self() replication.MemberID { return g.replicas[0].self.ID }

// receive takes the messages of another node's groups.
func (g *groupHost) receive(frame *GroupMessages) {
	if g.app == nil {
		return
	}
	g.founded = true
	err := frame.forEach(func(line *groupMessage) {
		r := g.replicas[line.group]
		if line.message.Kind == replication.MsgTimeoutNow && r.disk.stalledFor() > minStallTimeout {
			return // a member whose disk is stalled can't lead
		}
		r.advance().Step(frame.From, line.message)
	})
	if err != nil {
		g.env.logWarn(groupPart).Uint64("member", uint64(frame.From)).Err(err).Msg("group messages unreadable")
	}
}

// linkDown takes that a link to a node has ended: a leader there may be lost.
func (g *groupHost) linkDown(addr string) {
	if !g.participates() {
		return
	}
	for _, r := range g.replicas {
		if m, _, ok := r.replica.Leader(); ok && m.ID != r.self.ID && g.env.memberAddr(m) == addr {
			r.advance().ReportUnreachable(m.ID)
		}
	}
}

// Propose puts an entry into the log of a group that this node leads.
func (g *groupHost) Propose(id groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	if !g.requestGroups() {
		then(groups.NotProposed, nil)
		return
	}
	r := g.replicas[id]
	r.advance().Propose(r.await(groupRequest{entry: entry, onProposed: then}), entry)
}

// ReadIndex confirms that this node leads a group, and has all that was committed.
func (g *groupHost) ReadIndex(id groups.ID, then func(ok bool)) {
	if !g.requestGroups() {
		then(false)
		return
	}
	r := g.replicas[id]
	r.advance().Read(r.await(groupRequest{onRead: then}))
}

// Leadership reports whether this node leads a group, in which term and since when.
func (g *groupHost) Leadership(id groups.ID) (term uint64, since time.Duration, ok bool) {
	if !g.requestGroups() {
		return 0, 0, false
	}
	r := g.replicas[id]
	if term, leads := r.advance().LeaderTerm(); !leads || term != r.leadTerm {
		return 0, 0, false
	}
	return r.leadTerm, r.leadSince, true
}

// Now is the node's steady time.
func (g *groupHost) Now() time.Duration { return g.env.now() }

// GroupStatus is how a group's replica here stands; false: there is none.
func (n *Node) GroupStatus(id groups.ID) (replication.Status, bool) {
	if !n.groups.participates() {
		return replication.Status{}, false
	}
	return n.groups.replicas[id].replica.Status(), true
}

// Groups runs the coordination groups at this node: see groups.Host.
func (n *Node) Groups() groups.Host { return n.groups }
