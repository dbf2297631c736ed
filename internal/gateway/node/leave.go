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
	comingFor  = 2300 * time.Millisecond
	quietFor   = 2700 * time.Millisecond
	endMargin  = 400 * time.Millisecond
	endLook    = 20 * time.Millisecond
	settleFor  = 150 * time.Millisecond // for what others still want of a node that ends
	graceUsual = 6 * time.Second
)

// Leaving begins the end of a node, in a turn: it says that it is not ready, and hands over what it leads.
func (h *Node) Leaving() {
	h.leaving = true
	h.roster.End()
	h.say(nodePart, "ends, %d requests held", h.gate.Held())
	if h.core != nil {
		h.core.p.Tick(h.e.Now())
		h.core.p.TransferLeadership()
		h.groups.handOver()
	}
}

// Ends goes on with it so long after it began, in a turn, and tells whether all is done.
func (h *Node) Ends(since time.Duration) bool {
	kept := h.core == nil || h.core.left() && h.groups.left()
	if since < comingFor {
		return false
	}
	h.front.Drain()
	if since <= quietFor {
		return false
	}
	h.front.Deafen()
	return kept && h.gate.Held() == 0 && h.front.Clients() == 0
}

// left tells whether the others have what this member has; one that leads still, or again, hands over.
func (c *core) left() bool {
	c.p.Tick(c.h.e.Now())
	if c.p.IsLeader() {
		c.p.TransferLeadership()
		return len(c.p.Members()) == 1
	}
	return !c.p.Bootstrapped() || c.p.ReplicatedElsewhere() >= c.p.CommitIndex()
}

// End ends a node in order.
func (h *Node) End() {
	began := time.Now()
	grace := h.settings.Bounds.ShutdownGrace
	if grace <= 0 {
		grace = graceUsual
	}
	h.e.Turn(h.Leaving)
	for over := false; !over && time.Since(began) < grace-endMargin; time.Sleep(endLook) {
		h.e.Turn(func() { over = h.Ends(time.Since(began)) })
	}
	h.e.Turn(func() { h.say(nodePart, "ended, %d requests held", h.gate.Held()) })
	time.Sleep(settleFor)
}

// Reload reads the settings again. A file that can't be read or is wrong changes nothing; what can't move waits for a restart.
func (h *Node) Reload(path string) {
	s, err := settings.Load(path)
	h.e.Turn(func() {
		if err != nil {
			h.warn(nodePart, "settings not taken, the old ones stand: %v", err)
			return
		}
		if fixed := h.settings.RestartRequired(s); len(fixed) > 0 {
			h.warn(nodePart, "settings that wait for a restart: %v", fixed)
		}
		h.roster.Now(h.e.Now())
		h.roster.SetSeeds(h.innersOf(s.SeedAddrs)) // nodes that the settings name now are said hello to
		h.settings.SeedAddrs, h.settings.Bounds, h.settings.Tolerance = s.SeedAddrs, s.Bounds, s.Tolerance
		h.say(nodePart, "settings taken")
	})
}

// Tell writes the counters to the log.
func (h *Node) Tell() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	h.e.Turn(func() {
		h.say(nodePart, "counters: %s; heap %d KB of %d, held %d, clients %d, must holds broken %d", h.count.Text(),
			m.HeapAlloc>>10, m.Sys>>10, h.gate.Held(), h.front.Clients(), invariant.Broken())
	})
}
