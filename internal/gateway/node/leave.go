package node

import (
	"runtime"
	"time"

	"clovergap/internal/gateway/settings"
	"clovergap/internal/proxy/invariant"
)

// Life of a door that is told to end: it says that it is not ready, and goes on taking clients until the platform has
// asked twice and the last connection that it passed on has come; then connections close between requests, then new ones are
// refused. What was taken is answered, within the grace. A member of the core hands over what it leads, and stays within the grace
// until all that it knows as committed is on a majority's disks without its own: who is lost next must not take the last copy along.
const (
	comingFor  = 2300 * time.Millisecond
	quietFor   = 2700 * time.Millisecond
	endMargin  = 400 * time.Millisecond
	endLook    = 20 * time.Millisecond
	settleFor  = 150 * time.Millisecond // for what others still want of a door that ends
	graceUsual = 6 * time.Second
)

// Leaving begins the end of a door, in a turn: it says that it is not ready, and hands over what it leads.
func (h *House) Leaving() {
	h.leaving = true
	h.company.End()
	h.say(doorPart, "ends, %d requests held", h.gate.Held())
	if h.core != nil {
		h.core.p.Now(h.e.Now())
		h.core.p.HandOver()
	}
}

// Ends goes on with it so long after it began, in a turn, and tells whether all is done.
func (h *House) Ends(since time.Duration) bool {
	kept := h.core == nil || h.core.left()
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
	c.p.Now(c.h.e.Now())
	if c.p.Leading() {
		c.p.HandOver()
		return len(c.p.Members()) == 1
	}
	return !c.p.Founded() || c.p.Elsewhere() >= c.p.Committed()
}

// End ends a door in order.
func (h *House) End() {
	began := time.Now()
	grace := h.sheet.Bounds.Grace
	if grace <= 0 {
		grace = graceUsual
	}
	h.e.Turn(h.Leaving)
	for over := false; !over && time.Since(began) < grace-endMargin; time.Sleep(endLook) {
		h.e.Turn(func() { over = h.Ends(time.Since(began)) })
	}
	h.e.Turn(func() { h.say(doorPart, "ended, %d requests held", h.gate.Held()) })
	time.Sleep(settleFor)
}

// Reload reads the settings again. A file that can't be read or is wrong changes nothing; what can't move waits for a restart.
func (h *House) Reload(path string) {
	s, err := settings.Load(path)
	h.e.Turn(func() {
		if err != nil {
			h.warn(doorPart, "settings not taken, the old ones stand: %v", err)
			return
		}
		if fixed := h.sheet.Fixed(s); len(fixed) > 0 {
			h.warn(doorPart, "settings that wait for a restart: %v", fixed)
		}
		h.company.Now(h.e.Now())
		h.company.SetSeeds(h.innersOf(s.SeedAddrs)) // doors that the settings name now are said hello to
		h.sheet.SeedAddrs, h.sheet.Bounds, h.sheet.Tolerates = s.SeedAddrs, s.Bounds, s.Tolerates
		h.say(doorPart, "settings taken")
	})
}

// Tell writes the counters to the log.
func (h *House) Tell() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	h.e.Turn(func() {
		h.say(doorPart, "counters: %s; heap %d KB of %d, held %d, clients %d, must holds broken %d", h.count.Text(),
			m.HeapAlloc>>10, m.Sys>>10, h.gate.Held(), h.front.Clients(), invariant.Broken())
	})
}
