package node

import (
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

const (
	// coordinationContract is the contract of deployments whose applications call for coordination.
	coordinationContract = "coord"
	// foundingGrace is how long the founding is put off until all reachable disks are members of the configuration's log; then the groups
	// begin with the members that there are.
	foundingGrace = 3 * time.Second
	// foundingRetryInterval is how often the founding is requested.
	foundingRetryInterval = time.Second
)

// groupFounding is when a node wanted the groups that have not begun.
type groupFounding struct {
	wantedAt    time.Duration // first; 0: not yet
	requestedAt time.Duration // last
}

// requestGroups reports whether this node takes part in the groups. Where they are not founded, it wants them from now on.
func (g *groupHost) requestGroups() bool {
	if !g.founded && g.founding.wantedAt == 0 {
		g.founding.wantedAt = max(g.env.now(), 1)
	}
	return g.participates()
}

// requestFounding has the groups founded, where the deployment's contracts or a call that came want it.
func (g *groupHost) requestFounding() {
	f, now := &g.founding, g.env.now()
	if g.founded || now-f.requestedAt < foundingRetryInterval || !g.env.mayTakeCalls() {
		return
	}
	if f.wantedAt == 0 {
		if !g.env.coordinationIsContract() || !g.env.isLeader() {
			return
		}
		f.wantedAt = now
	}
	if g.env.isLeader() && !g.membersComplete() {
		return
	}
	f.requestedAt = now
	g.env.callLeader(statemachine.KindBootstrapGroups, nil, 0, func(status int, body []byte) {
		if status != statusOK {
			g.env.logInfo(groupPart).Int("status", status).Str("reason", string(body)).Msg("groups not founded yet")
		}
	})
}

// membersComplete reports whether all disks in reach are members of the configuration's log, or foundingGrace is over.
func (g *groupHost) membersComplete() bool {
	if g.env.now()-g.founding.wantedAt > foundingGrace {
		return true
	}
	for _, d := range g.env.reachableDisks() {
		if !containsMember(g.env.coreMembers(), d.ID) {
			return false
		}
	}
	return true
}

// found begins the groups, where the configuration's log says with which disks.
func (g *groupHost) found(founders []membership.Founder) {
	if len(founders) == 0 || g.founded && g.app == nil {
		return
	}
	g.founded = true
	members := founderMembers(founders)
	if g.app == nil || !containsMember(members, g.self()) {
		return
	}
	for _, r := range g.replicas {
		if r.replica.Bootstrapped() {
			continue
		}
		if err := r.advance().Bootstrap(members); err != nil {
			g.env.logWarn(groupPart).Int("group", int(r.id)).Err(err).Msg("group not founded")
		}
	}
}

// groupFounders is the entry that founds the groups with the present members.
func (c *core) groupFounders() []byte {
	var founders []membership.Founder
	for _, m := range c.replica.Members() {
		founders = append(founders, membership.Founder{Disk: membership.DiskID(m.ID), Addr: m.Addr})
	}
	return statemachine.EncodeBootstrapGroupsBody(founders)
}

func containsMember(members []replication.Member, id replication.MemberID) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}
