package node

import (
	"runtime"
	"time"

	"clovergap/internal/gateway/settings"
	"clovergap/internal/proxy/invariant"
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
func (h *Node) BeginShutdown() {
	h.shuttingDown = true
	h.roster.AnnounceShutdown()
	h.say(nodePart, "ends, %d requests held", h.gate.Held())
	if h.core != nil {
		h.core.replica.Tick(h.loop.Now())
		h.core.replica.TransferLeadership()
		h.groups.transferLeadership()
	}
}

// ContinueShutdown goes on with it so long after it began, in a turn, and tells whether all is done.
func (h *Node) ContinueShutdown(since time.Duration) bool {
	kept := h.core == nil || h.core.replicatedElsewhere() && h.groups.replicatedElsewhere()
	if since < drainDelay {
		return false
	}
	h.frontend.Drain()
	if since <= stopListeningDelay {
		return false
	}
	h.frontend.StopListening()
	return kept && h.gate.Held() == 0 && h.frontend.Clients() == 0
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
func (h *Node) Shutdown() {
	began := time.Now()
	grace := h.settings.Bounds.ShutdownGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	h.loop.Turn(h.BeginShutdown)
	for over := false; !over && time.Since(began) < grace-shutdownMargin; time.Sleep(shutdownPollInterval) {
		h.loop.Turn(func() { over = h.ContinueShutdown(time.Since(began)) })
	}
	h.loop.Turn(func() { h.say(nodePart, "ended, %d requests held", h.gate.Held()) })
	time.Sleep(shutdownLinger)
}

// Reload reads the settings again. A file that can't be read or is wrong changes nothing; what can't move waits for a restart.
func (h *Node) Reload(path string) {
	s, err := settings.Load(path)
	h.loop.Turn(func() {
		if err != nil {
			h.warn(nodePart, "settings not taken, the old ones stand: %v", err)
			return
		}
		if fixed := h.settings.RestartRequired(s); len(fixed) > 0 {
			h.warn(nodePart, "settings that wait for a restart: %v", fixed)
		}
		h.roster.Tick(h.loop.Now())
		h.roster.SetSeeds(h.peerAddrs(s.SeedAddrs)) // nodes that the settings name now are said hello to
		h.settings.SeedAddrs, h.settings.Bounds, h.settings.Tolerance = s.SeedAddrs, s.Bounds, s.Tolerance
		h.say(nodePart, "settings taken")
	})
}

// LogCounters writes the counters to the log.
func (h *Node) LogCounters() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	h.loop.Turn(func() {
		h.say(nodePart, "counters: %s; heap %d KB of %d, held %d, clients %d, must holds broken %d", h.counters.Text(),
			m.HeapAlloc>>10, m.Sys>>10, h.gate.Held(), h.frontend.Clients(), invariant.Broken())
	})
}
