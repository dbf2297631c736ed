package node

import (
	"runtime"
	"time"

	"clovergap/internal/gateway/settings"
	"clovergap/internal/invariant"
)

// Life of a node that is told to end: it says that it is not ready, and goes on taking clients until the platform has
// asked twice and the last connection that it passed on has come; then connections close between requests, then new ones are
// refused. What was taken is answered, within the grace. A member of the core hands over what it leads, and stays within the grace
// until all that it knows as committed is on a majority's disks without its own: who is lost next must not take the last copy along.
const (
	drainDelay           = 2300 * time.Millisecond
	stopListeningDelay   = 2700 * time.Millisecond
	shutdownMargin       = 400 * time.Millisecond
	shutdownPollInterval = 20 * time.Millisecond
	shutdownLinger       = 150 * time.Millisecond // for what others still want of a node that ends
	defaultGrace         = 6 * time.Second
)

// BeginShutdown begins the end of a node, in a turn: it says that it is not ready, and hands over what it leads.
func (n *Node) BeginShutdown() {
	n.shuttingDown = true
	n.roster.AnnounceShutdown()
	n.logInfo(nodePart).Int("in_flight", n.gate.Held()).Msg("shutdown begins")
	if n.core != nil {
		n.core.replica.Tick(n.loop.Now())
		n.core.replica.TransferLeadership()
		n.groups.transferLeadership()
	}
}

// ContinueShutdown goes on with it so long after it began, in a turn, and tells whether all is done.
func (n *Node) ContinueShutdown(since time.Duration) bool {
	kept := n.core == nil || n.core.replicatedElsewhere() && n.groups.replicatedElsewhere()
	if since < drainDelay {
		return false
	}
	n.frontend.Drain()
	if since <= stopListeningDelay {
		return false
	}
	n.frontend.StopListening()
	return kept && n.gate.Held() == 0 && n.frontend.Clients() == 0
}

// replicatedElsewhere tells whether the others have what this member has; one that leads still, or again, hands over.
func (c *core) replicatedElsewhere() bool {
	c.replica.Tick(c.node.loop.Now())
	if c.replica.IsLeader() {
		c.replica.TransferLeadership()
		return len(c.replica.Members()) == 1
	}
	return !c.replica.Bootstrapped() || c.replica.ReplicatedElsewhere() >= c.replica.CommitIndex()
}

// Shutdown ends a node in order.
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
	n.loop.Turn(func() { n.logInfo(nodePart).Int("in_flight", n.gate.Held()).Msg("shutdown complete") })
	time.Sleep(shutdownLinger)
}

// Reload reads the settings again. A file that can't be read or is wrong changes nothing; what can't move waits for a restart.
func (n *Node) Reload(path string) {
	s, err := settings.Load(path)
	n.loop.Turn(func() {
		if err != nil {
			n.logWarn(nodePart).Err(err).Msg("settings rejected, the former ones stay")
			return
		}
		if fixed := n.settings.RestartRequired(s); len(fixed) > 0 {
			n.logWarn(nodePart).Strs("settings", fixed).Msg("settings need a restart")
		}
		n.roster.Tick(n.loop.Now())
		n.roster.SetSeeds(n.peerAddrs(s.SeedAddrs)) // nodes that the settings name now are said hello to
		n.settings.SeedAddrs, n.settings.Bounds, n.settings.Tolerance = s.SeedAddrs, s.Bounds, s.Tolerance
		n.logInfo(nodePart).Msg("settings reloaded")
	})
}

// LogCounters writes the counters to the log.
func (n *Node) LogCounters() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n.loop.Turn(func() {
		n.logInfo(nodePart).Str("counters", n.counters.Text()).Uint64("heap_kb", m.HeapAlloc>>10).Uint64("memory_kb", m.Sys>>10).
			Int("in_flight", n.gate.Held()).Int("clients", n.frontend.Clients()).Uint64("invariants_broken", invariant.Broken()).Msg("counters")
	})
}
