package node

import (
	"time"
)

// A graceful shutdown. The node says that it is not ready, and goes on taking clients until the platform has asked twice and the last
// connection that it passed on has come; then connections close between requests, and then new ones are refused. Requests that were taken
// are answered, within the grace. A member hands over what it leads, and stays within the grace until everything that it knows as committed
// is on a majority's disks without its own: a node that is lost next must not take the last copy along.
const (
	drainDelay         = 2300 * time.Millisecond // after the beginning, connections close between requests
	stopListeningDelay = 2700 * time.Millisecond // after the beginning, connections are refused
	shutdownMargin     = 400 * time.Millisecond  // before the end of the grace, the node stops waiting
	shutdownLinger     = 150 * time.Millisecond  // for frames that other nodes still request
	defaultGrace       = 6 * time.Second         // where the settings name none

	shutdownPollInterval = 20 * time.Millisecond
)

// BeginShutdown says that the node is not ready, and hands over what it leads.
func (n *Node) BeginShutdown() {
	n.shuttingDown = true
	n.roster.AnnounceShutdown()
	n.logInfo(nodePart).Int("in_flight", n.gate.InFlight()).Msg("shutdown begins")
	if n.core != nil {
		n.core.replica.Tick(n.loop.Now())
		n.core.replica.TransferLeadership()
		n.groups.transferLeadership()
	}
}

// ContinueShutdown does what is due so long after BeginShutdown, and reports whether all is done.
func (n *Node) ContinueShutdown(since time.Duration) bool {
	replicated := n.core == nil || n.core.replicatedElsewhere() && n.groups.replicatedElsewhere()
	if since < drainDelay {
		return false
	}
	n.frontend.Drain()
	if since <= stopListeningDelay {
		return false
	}
	n.frontend.StopListening()
	return replicated && n.gate.InFlight() == 0 && n.frontend.Clients() == 0 && n.frontend.CallsInFlight() <= n.coordination.Watchers()
}

// replicatedElsewhere reports whether a majority without this member has what it knows as committed. If it leads still, or again, it hands
// over.
func (c *core) replicatedElsewhere() bool {
	c.replica.Tick(c.env.now())
	if c.replica.IsLeader() {
		c.replica.TransferLeadership()
		return len(c.replica.Members()) == 1
	}
	return !c.replica.Bootstrapped() || c.replica.IndexReplicatedElsewhere() >= c.replica.CommitIndex()
}

// Shutdown ends the node, and returns when it is done or the grace is over. It is not for a turn.
func (n *Node) Shutdown() {
	began := time.Now()
	grace := n.settings.Bounds.ShutdownGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	n.loop.Turn(n.BeginShutdown)
	for over := false; !over && time.Since(began) < grace-shutdownMargin; time.Sleep(shutdownPollInterval) {
		n.loop.Turn(func() { over = n.ContinueShutdown(time.Since(began)) })
	}
	n.loop.Turn(func() { n.logInfo(nodePart).Int("in_flight", n.gate.InFlight()).Msg("shutdown complete") })
	time.Sleep(shutdownLinger)
}
