package outlier

import (
	"time"
)

// Bounds of what a node keeps and reports of a key.
const (
	windowSlots      = 20
	slotDuration     = 500 * time.Millisecond
	windowDuration   = windowSlots * slotDuration
	maxReportedSlots = 12 // of one observation
	evidenceTTL      = 60 * time.Second
	maxEvidence      = 8 // of one observation: the newest
)

// Window counts what ended within windowDuration, or a part of it.
type Window struct {
	Clean         uint32
	Failing       uint32 // by the mode's weights
	LatencyMillis uint32 // of the clean ones together
}

// add sums.
func (w *Window) add(o Window) {
	w.Clean += o.Clean
	w.Failing += o.Failing
	w.LatencyMillis += o.LatencyMillis
}

// sub takes another window's counts off, down to 0.
func (w Window) sub(o Window) Window {
	return Window{w.Clean - min(o.Clean, w.Clean), w.Failing - min(o.Failing, w.Failing), w.LatencyMillis - min(o.LatencyMillis, w.LatencyMillis)}
}

// total is all that ended.
func (w Window) total() uint32 { return w.Clean + w.Failing }

// failureRate is the part that failed, 0 to 1.
func (w Window) failureRate() float64 { return float64(w.Failing) / max(float64(w.total()), 1) }

// slidingWindow counts what ended within the last windowDuration, by slots.
type slidingWindow struct {
	slots      [windowSlots]Window
	newestSlot time.Duration // its number
}

// slotAt gives the slot of a time, and empties those that it has moved over.
func (s *slidingWindow) slotAt(now time.Duration) *Window {
	slot := now / slotDuration
	for i := max(s.newestSlot+1, slot-windowSlots+1); i <= slot; i++ {
		s.slots[i%windowSlots] = Window{}
	}
	s.newestSlot = max(s.newestSlot, slot)
	return &s.slots[s.newestSlot%windowSlots]
}

// sum is all of the window.
func (s *slidingWindow) sum(now time.Duration) (w Window) {
	s.slotAt(now)
	for _, window := range s.slots {
		w.add(window)
	}
	return w
}

// completedSlots are the last complete slots, the newest first.
func (s *slidingWindow) completedSlots(now time.Duration) (list []Window) {
	s.slotAt(now)
	for i := range min(maxReportedSlots, s.newestSlot) {
		list = append(list, s.slots[(s.newestSlot-1-i)%windowSlots])
	}
	return list
}

// Totals are what a node counted since the last change of a key's ejection.
type Totals struct {
	Clean, Failing uint32
	Reads          uint32 // strict: clean reads of the same instance
	Probes         uint32 // clean ones in a row
}

// add sums.
func (t *Totals) add(o Totals) {
	t.Clean += o.Clean
	t.Failing += o.Failing
	t.Reads += o.Reads
	t.Probes += o.Probes
}
