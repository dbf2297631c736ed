package house

import (
	"runtime"
	"time"

	"clovergap/internal/callsheet"
	"clovergap/internal/check"
)

// Life of a door that is told to end: it says that it is not ready, and goes on taking clients until the platform has
// asked twice and the last connection that it passed on has come; then connections close between requests, then new ones are
// refused. What was taken is answered, within the grace.
const (
	comingFor  = 2300 * time.Millisecond
	quietFor   = 2700 * time.Millisecond
	endMargin  = 400 * time.Millisecond
	endLook    = 20 * time.Millisecond
	settleFor  = 150 * time.Millisecond // for what others still want of a door that ends
	graceUsual = 6 * time.Second
)

// End ends a door in order.
func (h *House) End() {
	began := time.Now()
	grace := h.sheet.Bounds.Grace
	if grace <= 0 {
		grace = graceUsual
	}
	h.e.Turn(func() {
		h.leaving = true
		h.say(doorPart, "ends, %d requests held", h.gate.Held())
		if h.core != nil {
			h.core.p.Now(h.e.Now())
			h.core.p.HandOver()
		}
	})
	for over := false; !over && time.Since(began) < grace-endMargin; time.Sleep(endLook) {
		if time.Since(began) < comingFor {
			continue
		}
		h.e.Turn(func() {
			h.front.Drain()
			if time.Since(began) > quietFor {
				h.e.Deafen()
				over = h.gate.Held() == 0 && h.front.Clients() == 0
			}
		})
	}
	h.e.Turn(func() { h.say(doorPart, "ended, %d requests held", h.gate.Held()) })
	time.Sleep(settleFor)
}

// Reload reads the settings again. A file that can't be read or is wrong changes nothing; what can't move waits for a restart.
func (h *House) Reload(path string) {
	s, err := callsheet.Load(path)
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
		h.say(doorPart, "counters: %s; heap %d KB of %d, held %d, clients %d, must holds broken %d", h.e.Count.Text(),
			m.HeapAlloc>>10, m.Sys>>10, h.gate.Held(), h.front.Clients(), check.Broken())
	})
}
